#include "wire/operator_http.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "runtime/log.h"
#include "wire/document_codec.h"
#include "wire/json_fields.h"
#include "wire/key_check.h"
#include "wire/state_json.h"

namespace foxtailquay {

namespace {

// --- Bodies -----------------------------------------------------------------

struct top_up_body
{
  std::string mId;
  token_count mAmount = 0;
};

constexpr auto ListFields(const top_up_body*)
{
  return std::make_tuple(Required("id", &top_up_body::mId),
                         Required("amount", &top_up_body::mAmount));
}

struct release_body
{
  member_id mHolder;
  incarnation_number mIncarnation = 0;
};

constexpr auto ListFields(const release_body*)
{
  return std::make_tuple(Required("holder", &release_body::mHolder),
                         Required("incarnation", &release_body::mIncarnation));
}

error MakeRequestError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidRequest, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

result<Json::Value> ParseBody(const http_request& aRequest)
{
  auto json = ParseJson(aRequest.mBody);
  if (!IsOk(json)) {
    return MakeRequestError("body", "the body " + GetError(json).mDetail);
  }
  return json;
}

template<typename T>
result<T> ParseBodyAs(const http_request& aRequest)
{
  auto json = ParseBody(aRequest);
  if (!IsOk(json)) {
    return GetError(json);
  }
  return DecodeAs<T>(GetValue(json), error_code::InvalidRequest);
}

// --- Requests ---------------------------------------------------------------

enum class admin_resource
{
  Config,
  Workspaces,
  Budget,
  TopUps,
  Release,
  Drain,
};

constexpr auto NameTable(admin_resource)
{
  using r = admin_resource;
  return MakeNameTable<r>({ { r::Config, "config" },
                            { r::Workspaces, "workspaces" },
                            { r::Budget, "budgets" },
                            { r::TopUps, "topups" },
                            { r::Release, "release" },
                            { r::Drain, "drain" } });
}

struct admin_path
{
  admin_resource mResource = admin_resource::Config;
  budget_id mBudget;
};

// Parses a path such as "/admin/config" or "/admin/budgets/{id}/topups".
// Returns nothing for an unknown one. Precondition: aPath begins with
// "/admin/".
std::optional<admin_path> ParsePath(const std::string& aPath)
{
  const std::vector<std::string> parts =
    absl::StrSplit(absl::string_view(aPath).substr(sizeof("/admin/") - 1), '/');
  const auto first = FromName<admin_resource>(parts[0]);
  if (!first || *first == admin_resource::TopUps ||
      *first == admin_resource::Release) {
    return std::nullopt;
  }
  if (*first != admin_resource::Budget) {
    return parts.size() == 1 ? std::optional(admin_path{ *first, {} })
                             : std::nullopt;
  }
  if (parts.size() < 2 || parts.size() > 3 || parts[1].empty()) {
    return std::nullopt;
  }
  if (parts.size() == 2) {
    return admin_path{ *first, { parts[1] } };
  }
  const auto action = FromName<admin_resource>(parts[2]);
  if (action != admin_resource::TopUps && action != admin_resource::Release) {
    return std::nullopt;
  }
  return admin_path{ *action, { parts[1] } };
}

result<operator_request> ParsePatch(const http_request& aRequest)
{
  auto json = ParseBody(aRequest);
  if (!IsOk(json)) {
    return GetError(json);
  }
  if (!GetValue(json).isObject() || !GetValue(json).isMember("if_version")) {
    return MakeRequestError(
      "if_version", "must be the configuration version that the patch is for");
  }
  auto patch = PatchFromJson(GetValue(json));
  if (!IsOk(patch)) {
    return GetError(patch);
  }
  patch_request request{ GetValue(std::move(patch)) };
  if (request.mPatch.mPatchId.empty()) {
    request.mPatch.mPatchId = MakeRandomHex(16);
  }
  return operator_request(std::move(request));
}

result<operator_request> ParseTopUp(const budget_id& aBudget,
                                    const http_request& aRequest)
{
  auto body = ParseBodyAs<top_up_body>(aRequest);
  if (!IsOk(body)) {
    return GetError(body);
  }
  if (GetValue(body).mId.empty()) {
    return MakeRequestError("id", "must not be empty");
  }
  if (GetValue(body).mAmount <= 0) {
    return MakeRequestError("amount", "must be a whole number of at least 1");
  }
  return operator_request(
    top_up_request{ aBudget, GetValue(body).mId, GetValue(body).mAmount });
}

result<operator_request> ParseRelease(const budget_id& aBudget,
                                      const http_request& aRequest)
{
  auto body = ParseBodyAs<release_body>(aRequest);
  if (!IsOk(body)) {
    return GetError(body);
  }
  return operator_request(release_held_request{
    { aBudget, { GetValue(body).mHolder, GetValue(body).mIncarnation } } });
}

// Returns the request to the control thread. Errors: NotFound for a method that
// the resource does not have, InvalidRequest.
result<operator_request> ParseOperatorRequest(const admin_path& aPath,
                                              const http_request& aRequest)
{
  const bool isPost = aRequest.mMethod == "POST";
  switch (aPath.mResource) {
    case admin_resource::Budget:
      if (!isPost) {
        return operator_request(usage_request{ aPath.mBudget });
      }
      break;
    case admin_resource::Config:
      if (isPost) {
        return ParsePatch(aRequest);
      }
      break;
    case admin_resource::TopUps:
      if (isPost) {
        return ParseTopUp(aPath.mBudget, aRequest);
      }
      break;
    case admin_resource::Release:
      if (isPost) {
        return ParseRelease(aPath.mBudget, aRequest);
      }
      break;
    case admin_resource::Drain:
      if (isPost) {
        return operator_request(drain_request{});
      }
      break;
    case admin_resource::Workspaces:
      break;
  }
  return error{ error_code::NotFound, executed::No, "",
                absl::StrCat("no such resource for method ", aRequest.mMethod),
                absl::ZeroDuration() };
}

// --- Responses --------------------------------------------------------------

http_response MakeJsonResponse(const Json::Value& aJson)
{
  http_response response;
  response.mBody = ToText(aJson);
  return response;
}

http_response MakeResultResponse(const admin_path& aPath,
                                 const operator_result& aDone)
{
  if (aPath.mResource == admin_resource::Config) {
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64(aDone.mConfigVersion);
    return MakeJsonResponse(json);
  }
  if (aDone.mAccount) {
    return MakeJsonResponse(MakeAccountSummary(aPath.mBudget, *aDone.mAccount));
  }
  return MakeJsonResponse(Json::Value(Json::objectValue));
}

http_response CallRouter(router_link& aLink, const admin_path& aPath,
                         operator_request aRequest)
{
  const request_handle handle = aLink.mNextHandle++;
  operator_mailbox mailbox;
  const handle_entry<operator_mailbox> entry(aLink.mOperators, handle, mailbox);
  auto posted = PostEvent(aLink, operator_event{ handle, std::move(aRequest) },
                          event_class::NewWork);
  if (!IsOk(posted)) {
    return MakeErrorResponse(GetError(posted));
  }
  const auto response = Take(mailbox, MonotonicNow() + kOperatorTimeout);
  if (!response) {
    return MakeErrorResponse(
      { error_code::StoreOutcomeUnknown, executed::Unknown, "",
        "the store did not respond in time", absl::Seconds(5) });
  }
  return IsOk(*response) ? MakeResultResponse(aPath, GetValue(*response))
                         : MakeErrorResponse(GetError(*response));
}

// Responds from the router's current configuration, without the store.
std::optional<http_response> HandleConfigRead(router_link& aLink,
                                              const admin_path& aPath)
{
  auto json =
    QueryRouter<Json::Value>(aLink, [&aPath](const router_state& aState) {
      return aPath.mResource == admin_resource::Config
               ? ToJson(GetConfig(aState))
               : MakeWorkspaceList(GetConfig(aState));
    });
  return IsOk(json) ? MakeJsonResponse(GetValue(json))
                    : MakeErrorResponse(GetError(json));
}

} // namespace

bool IsOperator(const std::string& aOperatorKey, const http_request& aRequest)
{
  return !aOperatorKey.empty() &&
         IsSameKey(FindBearerToken(aRequest), aOperatorKey);
}

http_response MakeOperatorUnauthorizedResponse()
{
  return MakeErrorResponse(
    { error_code::Unauthorized, executed::No, "Authorization",
      "must be Bearer and the operators' key", absl::ZeroDuration() });
}

http_response HandleOperatorRequest(router_link& aLink,
                                    const std::string& aOperatorKey,
                                    const http_request& aRequest)
{
  if (!IsOperator(aOperatorKey, aRequest)) {
    Log(log_component::Operator, log_level::Warn, log_event::OperatorRefused,
        { { "path", aRequest.mPath }, { "remote", aRequest.mClientAddress } });
    return MakeOperatorUnauthorizedResponse();
  }
  Log(log_component::Operator, log_level::Info, log_event::OperatorRequest,
      { { "method", aRequest.mMethod }, { "path", aRequest.mPath } });
  const auto path = ParsePath(aRequest.mPath);
  if (!path) {
    return MakeErrorResponse({ error_code::NotFound, executed::No, "",
                               "no such resource", absl::ZeroDuration() });
  }
  const bool isGet = aRequest.mMethod == "GET";
  if (isGet && (path->mResource == admin_resource::Config ||
                path->mResource == admin_resource::Workspaces)) {
    return *HandleConfigRead(aLink, *path);
  }
  auto request = ParseOperatorRequest(*path, aRequest);
  return IsOk(request) ? CallRouter(aLink, *path, GetValue(std::move(request)))
                       : MakeErrorResponse(GetError(request));
}

} // namespace foxtailquay
