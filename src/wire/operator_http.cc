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

error Invalid(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidRequest, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

result<Json::Value> ReadBody(const http_request& aRequest)
{
  auto json = ParseJson(aRequest.mBody);
  if (!IsOk(json)) {
    return Invalid("body", "the body " + GetError(json).mDetail);
  }
  return json;
}

template<typename T>
result<T> ReadBodyAs(const http_request& aRequest)
{
  auto json = ReadBody(aRequest);
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

// Parses "/admin/config", "/admin/budgets/{id}/topups" and the like.
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

result<operator_request> ReadPatch(const http_request& aRequest)
{
  auto json = ReadBody(aRequest);
  if (!IsOk(json)) {
    return GetError(json);
  }
  if (!GetValue(json).isObject() || !GetValue(json).isMember("if_version")) {
    return Invalid("if_version",
                   "must be the version that the patch was made for");
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

result<operator_request> ReadTopUp(const budget_id& aBudget,
                                   const http_request& aRequest)
{
  auto body = ReadBodyAs<top_up_body>(aRequest);
  if (!IsOk(body)) {
    return GetError(body);
  }
  if (GetValue(body).mId.empty()) {
    return Invalid("id", "must not be empty");
  }
  if (GetValue(body).mAmount <= 0) {
    return Invalid("amount", "must be a whole number of at least 1");
  }
  return operator_request(
    top_up_request{ aBudget, GetValue(body).mId, GetValue(body).mAmount });
}

result<operator_request> ReadRelease(const budget_id& aBudget,
                                     const http_request& aRequest)
{
  auto body = ReadBodyAs<release_body>(aRequest);
  if (!IsOk(body)) {
    return GetError(body);
  }
  return operator_request(release_held_request{
    { aBudget, { GetValue(body).mHolder, GetValue(body).mIncarnation } } });
}

// The request to the node, for the resources that need one.
result<operator_request> ReadRequest(const admin_path& aPath,
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
        return ReadPatch(aRequest);
      }
      break;
    case admin_resource::TopUps:
      if (isPost) {
        return ReadTopUp(aPath.mBudget, aRequest);
      }
      break;
    case admin_resource::Release:
      if (isPost) {
        return ReadRelease(aPath.mBudget, aRequest);
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
                absl::StrCat("no ", aRequest.mMethod, " here"),
                absl::ZeroDuration() };
}

// --- Answers ----------------------------------------------------------------

http_response JsonReply(const Json::Value& aJson)
{
  http_response reply;
  reply.mBody = ToText(aJson);
  return reply;
}

http_response ReplyFor(const admin_path& aPath, const operator_result& aDone)
{
  if (aPath.mResource == admin_resource::Config) {
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64(aDone.mConfigVersion);
    return JsonReply(json);
  }
  if (aDone.mAccount) {
    return JsonReply(AccountSummary(aPath.mBudget, *aDone.mAccount));
  }
  return JsonReply(Json::Value(Json::objectValue));
}

http_response AskNode(router_link& aLink, const admin_path& aPath,
                      operator_request aRequest)
{
  const request_handle handle = aLink.mNextHandle++;
  operator_mailbox box;
  const handle_entry<operator_mailbox> entry(aLink.mOperators, handle, box);
  auto posted = PostEvent(aLink, operator_event{ handle, std::move(aRequest) },
                          event_class::NewWork);
  if (!IsOk(posted)) {
    return MakeErrorResponse(GetError(posted));
  }
  const auto answer = Take(box, MonotonicNow() + kOperatorTimeout);
  if (!answer) {
    return MakeErrorResponse(
      { error_code::StoreOutcomeUnknown, executed::Unknown, "",
        "the store did not answer in time", absl::Seconds(5) });
  }
  return IsOk(*answer) ? ReplyFor(aPath, GetValue(*answer))
                       : MakeErrorResponse(GetError(*answer));
}

// Reads from the configuration in force, without the store.
std::optional<http_response> ReadConfig(router_link& aLink,
                                        const admin_path& aPath)
{
  auto json =
    QueryRouter<Json::Value>(aLink, [&aPath](const router_state& aState) {
      return aPath.mResource == admin_resource::Config
               ? ToJson(GetConfig(aState))
               : WorkspaceList(GetConfig(aState));
    });
  return IsOk(json) ? JsonReply(GetValue(json))
                    : MakeErrorResponse(GetError(json));
}

} // namespace

bool IsOperator(const std::string& aOperatorKey, const http_request& aRequest)
{
  return !aOperatorKey.empty() &&
         IsSameKey(FindBearerToken(aRequest), aOperatorKey);
}

http_response OperatorUnauthorized()
{
  return MakeErrorResponse(
    { error_code::Unauthorized, executed::No, "Authorization",
      "must be Bearer and the operators' key", absl::ZeroDuration() });
}

http_response ServeOperator(router_link& aLink, const std::string& aOperatorKey,
                            const http_request& aRequest)
{
  if (!IsOperator(aOperatorKey, aRequest)) {
    Log(log_component::Operator, log_level::Warn, log_event::OperatorRefused,
        { { "path", aRequest.mPath }, { "remote", aRequest.mClientAddress } });
    return OperatorUnauthorized();
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
    return *ReadConfig(aLink, *path);
  }
  auto request = ReadRequest(*path, aRequest);
  return IsOk(request) ? AskNode(aLink, *path, GetValue(std::move(request)))
                       : MakeErrorResponse(GetError(request));
}

} // namespace foxtailquay
