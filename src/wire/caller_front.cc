#include "wire/caller_front.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "runtime/log.h"
#include "wire/document_codec.h"
#include "wire/key_check.h"
#include "wire/operator_http.h"
#include "wire/probes.h"
#include "wire/state_json.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

constexpr char kServices[] = "/v1/services/";

// The resource that a request is for. The names are the paths; a name that ends
// in "/" stands for all paths that begin with it.
enum class front_route
{
  ChatCompletions,
  Completions,
  Models,
  Services,
  Admin,
  DebugState,
  Health,
  Ready,
  Metrics,
};

constexpr auto NameTable(front_route)
{
  using r = front_route;
  return MakeNameTable<r>({ { r::ChatCompletions, "/v1/chat/completions" },
                            { r::Completions, "/v1/completions" },
                            { r::Models, "/v1/models" },
                            { r::Services, kServices },
                            { r::Admin, "/admin/" },
                            { r::DebugState, "/debug/state" },
                            { r::Health, "/healthz" },
                            { r::Ready, "/readyz" },
                            { r::Metrics, "/metrics" } });
}

std::optional<front_route> FindRoute(const std::string& aPath)
{
  for (const auto& entry : NameTable(front_route{})) {
    const bool isPrefix = entry.mName.back() == '/';
    if (isPrefix ? absl::StartsWith(aPath, entry.mName.data())
                 : aPath == entry.mName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

error MakeRequestError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidRequest, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

error MakeNotFoundError(const http_request& aRequest)
{
  return error{ error_code::NotFound, executed::No, "",
                absl::StrCat("no such resource for method ", aRequest.mMethod),
                absl::ZeroDuration() };
}

// --- Fields that all callers' requests have ---------------------------------

result<success> ParsePriority(const http_request& aRequest,
                              caller_request_event& aEvent)
{
  const std::string text = FindHeader(aRequest, "X-Priority");
  if (!text.empty()) {
    aEvent.mPriority = FromName<priority_class>(text);
    if (!aEvent.mPriority) {
      return MakeRequestError("X-Priority",
                              "must be interactive, standard or batch");
    }
  }
  return success{};
}

result<success> ParseTimeout(const http_request& aRequest,
                             caller_request_event& aEvent)
{
  const std::string text = FindHeader(aRequest, "X-Timeout-Ms");
  if (!text.empty()) {
    constexpr std::int64_t kMaxTimeoutMs = 86'400'000; // one day
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds < 1 ||
        milliseconds > kMaxTimeoutMs) {
      return MakeRequestError(
        "X-Timeout-Ms", absl::StrCat("must be from 1 to ", kMaxTimeoutMs));
    }
    aEvent.mTimeout = absl::Milliseconds(milliseconds);
  }
  return success{};
}

result<success> ParseIdempotencyKey(const http_request& aRequest,
                                    caller_request_event& aEvent)
{
  constexpr std::size_t kMaxKeyBytes = 255;
  aEvent.mIdempotencyKey = FindHeader(aRequest, "Idempotency-Key");
  if (aEvent.mIdempotencyKey.size() > kMaxKeyBytes) {
    return MakeRequestError(
      "Idempotency-Key",
      absl::StrCat("must have at most ", kMaxKeyBytes, " bytes"));
  }
  return success{};
}

std::uint64_t ComputeFingerprint(const caller_request_event& aEvent)
{
  // A zero byte occurs in neither method nor path, so that different requests
  // never give the same text.
  std::string text = aEvent.mMethod;
  text += '\0';
  text += aEvent.mPath;
  text += '\0';
  text += aEvent.mBody;
  return XXH64(text.data(), text.size(), 0);
}

// Parses what completions and service calls have in common: all but the target,
// which is in the path or the body. Errors: Unauthorized, InvalidRequest.
result<caller_request_event> ParseCommonFields(const http_request& aRequest)
{
  caller_request_event event;
  const std::string key = FindBearerToken(aRequest);
  if (key.empty()) {
    return error{ error_code::Unauthorized, executed::No, "Authorization",
                  "must be Bearer and an API key", absl::ZeroDuration() };
  }
  event.mKeyHash = ComputeSha256Hex(key);
  event.mMethod = aRequest.mMethod;
  event.mContentType = FindHeader(aRequest, "Content-Type");
  event.mBody = aRequest.mBody;
  for (auto* parse : { &ParsePriority, &ParseTimeout, &ParseIdempotencyKey }) {
    auto outcome = parse(aRequest, event);
    if (!IsOk(outcome)) {
      return GetError(outcome);
    }
  }
  return event;
}

// Returns false for a path that a service might resolve to another path than
// the one that the configuration's rules were matched with. aDecoded begins
// with '/'.
bool IsNormalizedPath(const std::string& aDecoded)
{
  const std::vector<std::string> segments =
    absl::StrSplit(absl::string_view(aDecoded).substr(1), '/');
  for (std::size_t i = 0; i < segments.size(); ++i) {
    const std::string& segment = segments[i];
    const bool isEmptyInside = segment.empty() && i + 1 < segments.size();
    if (isEmptyInside || segment == "." || segment == ".." ||
        std::any_of(segment.begin(), segment.end(), [](unsigned char aChar) {
          return aChar < ' ' || aChar == '\\' || aChar == 0x7f;
        })) {
      return false;
    }
  }
  return true;
}

// --- Responses without a run ------------------------------------------------

struct allowed_models
{
  bool mIsKeyKnown = false;
  std::vector<std::string> mNames;
};

allowed_models ListAllowedModels(const config_document& aConfig,
                                 const std::string& aKeyHash)
{
  allowed_models models;
  const auto* workspace = FindWorkspace(aConfig, aKeyHash);
  models.mIsKeyKnown = workspace != nullptr;
  for (const auto& [id, model] : aConfig.mModels) {
    if (models.mIsKeyKnown && IsAllowed(workspace->second, id.mValue)) {
      models.mNames.push_back(id.mValue);
    }
  }
  return models;
}

http_response HandleModels(caller_front& aFront, const http_request& aRequest)
{
  const std::string hash = ComputeSha256Hex(FindBearerToken(aRequest));
  auto models = QueryRouter<allowed_models>(
    aFront.mLink, [&hash](const router_state& aState) {
      return ListAllowedModels(GetConfig(aState), hash);
    });
  if (!IsOk(models)) {
    return MakeErrorResponse(GetError(models));
  }
  if (!GetValue(models).mIsKeyKnown) {
    return MakeErrorResponse({ error_code::Unauthorized, executed::No,
                               "Authorization", "unknown API key",
                               absl::ZeroDuration() });
  }
  Json::Value json(Json::objectValue);
  json["object"] = "list";
  json["data"] = Json::Value(Json::arrayValue);
  for (const std::string& name : GetValue(models).mNames) {
    Json::Value model(Json::objectValue);
    model["id"] = name;
    model["object"] = "model";
    model["created"] = 0;
    model["owned_by"] = "foxtailquay";
    json["data"].append(model);
  }
  http_response response;
  response.mBody = ToText(json);
  return response;
}

http_response HandleDebugState(caller_front& aFront,
                               const http_request& aRequest)
{
  if (!IsOperator(aFront.mOperatorKey, aRequest)) {
    return MakeOperatorUnauthorizedResponse();
  }
  return MakeRouterStateResponse(aFront.mLink);
}

// --- Callers' requests ------------------------------------------------------

// Returns the caller's X-Request-Id if it is safe in a log line, else a new id.
std::string ChooseRequestId(caller_front& aFront, const http_request& aRequest)
{
  constexpr std::size_t kMaxRequestIdBytes = 128;
  const std::string given = FindHeader(aRequest, "X-Request-Id");
  const bool isUsable =
    !given.empty() && given.size() <= kMaxRequestIdBytes &&
    std::all_of(given.begin(), given.end(), [](unsigned char aChar) {
      return absl::ascii_isalnum(aChar) || aChar == '-' || aChar == '_' ||
             aChar == '.' || aChar == ':' || aChar == '/';
    });
  return isUsable ? given
                  : absl::StrCat(aFront.mIdPrefix, "-", MakeRandomHex(8));
}

std::optional<http_response> RejectRequest(caller_front& aFront,
                                           const error& aError,
                                           const std::string& aRequestId)
{
  IncrementCounter(*aFront.mLink.mMetrics, counter::CallerErrors);
  Log(log_component::Frontend, log_level::Info, log_event::RequestRefused,
      { { "request", aRequestId }, { "error", ToString(aError) } });
  http_response response = MakeErrorResponse(aError);
  response.mHeaders.emplace_back("X-Request-Id", aRequestId);
  return response;
}

std::optional<http_response> HandleRunRequest(
  caller_front& aFront, result<caller_request_event> aEvent,
  completion_endpoint aEndpoint, const http_request& aRequest,
  http_connection& aConnection)
{
  const std::string requestId = ChooseRequestId(aFront, aRequest);
  if (!IsOk(aEvent)) {
    return RejectRequest(aFront, GetError(aEvent), requestId);
  }
  Log(log_component::Frontend, log_level::Debug, log_event::RequestReceived,
      { { "request", requestId },
        { "target", GetValue(aEvent).mTarget },
        { "method", aRequest.mMethod },
        { "path", aRequest.mPath } });
  return RunCallerSession(aFront.mLink, aFront.mSession,
                          GetValue(std::move(aEvent)), aEndpoint, requestId,
                          aConnection);
}

std::optional<http_response> HandleCompletion(caller_front& aFront,
                                              completion_endpoint aEndpoint,
                                              const http_request& aRequest,
                                              http_connection& aConnection)
{
  if (aRequest.mMethod != "POST") {
    return MakeErrorResponse(MakeNotFoundError(aRequest));
  }
  return HandleRunRequest(aFront, ParseCompletionRequest(aEndpoint, aRequest),
                          aEndpoint, aRequest, aConnection);
}

} // namespace

result<caller_request_event> ParseCompletionRequest(
  completion_endpoint aEndpoint, const http_request& aRequest)
{
  auto event = ParseCommonFields(aRequest);
  if (!IsOk(event)) {
    return event;
  }
  auto parsed = ParseCompletion(aEndpoint, aRequest.mBody);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const completion_request& completion = GetValue(parsed);
  caller_request_event request = GetValue(std::move(event));
  request.mKind = request_kind::Completion;
  request.mTarget = completion.mModel;
  request.mPromptTokensBound = completion.mPromptTokensBound;
  request.mMaxTokens = completion.mMaxTokens;
  request.mStream = completion.mStream;
  request.mPrefixes = ComputePrefixHashes(completion.mPrompt);
  request.mPath = std::string(ToName(aEndpoint));
  request.mFingerprint = ComputeFingerprint(request);
  return request;
}

result<caller_request_event> ParseServiceRequest(const http_request& aRequest)
{
  auto event = ParseCommonFields(aRequest);
  if (!IsOk(event)) {
    return event;
  }
  caller_request_event request = GetValue(std::move(event));
  const std::string decoded = aRequest.mPath.substr(sizeof(kServices) - 1);
  const auto slash = decoded.find('/');
  request.mKind = request_kind::ServiceCall;
  request.mTarget = decoded.substr(0, slash);
  const std::string prefix = kServices + request.mTarget;
  // The service's name must not be percent-encoded: the path at the service is
  // the rest of the target exactly as received.
  if (request.mTarget.empty() || !absl::StartsWith(aRequest.mTarget, prefix) ||
      !IsNormalizedPath(slash == std::string::npos ? "/"
                                                   : decoded.substr(slash))) {
    return MakeRequestError("path", "must be /v1/services/{service}/{path} "
                                    "without . or .. or empty segments");
  }
  request.mPath = aRequest.mTarget.substr(prefix.size());
  if (!absl::StartsWith(request.mPath, "/")) {
    request.mPath.insert(0, "/");
  }
  request.mFingerprint = ComputeFingerprint(request);
  return request;
}

std::optional<http_response> HandleCallerRequest(caller_front& aFront,
                                                 const http_request& aRequest,
                                                 http_connection& aConnection)
{
  const auto route = FindRoute(aRequest.mPath);
  if (!route) {
    return MakeErrorResponse(MakeNotFoundError(aRequest));
  }
  switch (*route) {
    case front_route::ChatCompletions:
      return HandleCompletion(aFront, completion_endpoint::Chat, aRequest,
                              aConnection);
    case front_route::Completions:
      return HandleCompletion(aFront, completion_endpoint::Text, aRequest,
                              aConnection);
    case front_route::Services:
      return HandleRunRequest(aFront, ParseServiceRequest(aRequest),
                              completion_endpoint::Chat, aRequest, aConnection);
    case front_route::Admin:
      return HandleOperatorRequest(aFront.mLink, aFront.mOperatorKey, aRequest);
    default:
      break;
  }
  if (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD") {
    return MakeErrorResponse(MakeNotFoundError(aRequest));
  }
  switch (*route) {
    case front_route::Models:
      return HandleModels(aFront, aRequest);
    case front_route::DebugState:
      return HandleDebugState(aFront, aRequest);
    case front_route::Health:
      return MakeHealthResponse();
    case front_route::Ready:
      return MakeRouterReadyResponse(aFront.mLink);
    case front_route::Metrics:
      return MakeRouterMetricsResponse(aFront.mLink);
    default:
      return MakeErrorResponse(MakeNotFoundError(aRequest));
  }
}

} // namespace foxtailquay
