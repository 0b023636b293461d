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

constexpr auto FieldsOf(const top_up_body*)
{
  return std::make_tuple(Required("id", &top_up_body::mId),
                         Required("amount", &top_up_body::mAmount));
}

struct release_body
{
  member_id mHolder;
  incarnation_number mIncarnation = 0;
};

constexpr auto FieldsOf(const release_body*)
{
  return std::make_tuple(Required("holder", &release_body::mHolder),
                         Required("incarnation", &release_body::mIncarnation));
}

error Invalid(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidRequest, ran::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

result<Json::Value> ReadBody(const http_request& aRequest)
{
  auto json = ParseJson(aRequest.mBody);
  if (!IsOk(json)) {
    return Invalid("body", "the body " + ErrorOf(json).mDetail);
  }
  return json;
}

template<typename T>
result<T> ReadBodyAs(const http_request& aRequest)
{
  auto json = ReadBody(aRequest);
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  return DecodeAs<T>(ValueOf(json), error_code::InvalidRequest);
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
    return ErrorOf(json);
  }
  if (!ValueOf(json).isObject() || !ValueOf(json).isMember("if_version")) {
    return Invalid("if_version",
                   "must be the version that the patch was made for");
  }
  auto patch = PatchFromJson(ValueOf(json));
  if (!IsOk(patch)) {
    return ErrorOf(patch);
  }
  patch_request request{ ValueOf(std::move(patch)) };
  if (request.mPatch.mPatchId.empty()) {
    request.mPatch.mPatchId = RandomHex(16);
  }
  return operator_request(std::move(request));
}

result<operator_request> ReadTopUp(const budget_id& aBudget,
                                   const http_request& aRequest)
{
  auto body = ReadBodyAs<top_up_body>(aRequest);
  if (!IsOk(body)) {
    return ErrorOf(body);
  }
  if (ValueOf(body).mId.empty()) {
    return Invalid("id", "must not be empty");
  }
  if (ValueOf(body).mAmount <= 0) {
    return Invalid("amount", "must be a whole number of at least 1");
  }
  return operator_request(
    top_up_request{ aBudget, ValueOf(body).mId, ValueOf(body).mAmount });
}

result<operator_request> ReadRelease(const budget_id& aBudget,
                                     const http_request& aRequest)
{
  auto body = ReadBodyAs<release_body>(aRequest);
  if (!IsOk(body)) {
    return ErrorOf(body);
  }
  return operator_request(release_held_request{
    { aBudget, { ValueOf(body).mHolder, ValueOf(body).mIncarnation } } });
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
  return error{ error_code::NotFound, ran::No, "",
                absl::StrCat("no ", aRequest.mMethod, " here"),
                absl::ZeroDuration() };
}

// --- Answers ----------------------------------------------------------------

http_reply JsonReply(const Json::Value& aJson)
{
  http_reply reply;
  reply.mBody = ToText(aJson);
  return reply;
}

http_reply ReplyFor(const admin_path& aPath, const operator_done& aDone)
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

http_reply AskNode(router_link& aLink, const admin_path& aPath,
                   operator_request aRequest)
{
  const request_handle handle = aLink.mNextHandle++;
  operator_box box;
  const handle_entry<operator_box> entry(aLink.mOperators, handle, box);
  auto posted = PostEvent(aLink, operator_event{ handle, std::move(aRequest) },
                          event_class::NewWork);
  if (!IsOk(posted)) {
    return ErrorReply(ErrorOf(posted));
  }
  const auto answer = Take(box, MonotonicNow() + kOperatorTimeout);
  if (!answer) {
    return ErrorReply({ error_code::StoreOutcomeUnknown, ran::Unknown, "",
                        "the store did not answer in time", absl::Seconds(5) });
  }
  return IsOk(*answer) ? ReplyFor(aPath, ValueOf(*answer))
                       : ErrorReply(ErrorOf(*answer));
}

// Reads from the configuration in force, without the store.
std::optional<http_reply> ReadConfig(router_link& aLink,
                                     const admin_path& aPath)
{
  auto json =
    QueryRouter<Json::Value>(aLink, [&aPath](const router_state& aState) {
      return aPath.mResource == admin_resource::Config
               ? ToJson(ConfigOf(aState))
               : WorkspaceList(ConfigOf(aState));
    });
  return IsOk(json) ? JsonReply(ValueOf(json)) : ErrorReply(ErrorOf(json));
}

} // namespace

bool IsOperator(const std::string& aOperatorKey, const http_request& aRequest)
{
  return !aOperatorKey.empty() && SameKey(BearerOf(aRequest), aOperatorKey);
}

http_reply OperatorUnauthorized()
{
  return ErrorReply({ error_code::Unauthorized, ran::No, "Authorization",
                      "must be Bearer and the operators' key",
                      absl::ZeroDuration() });
}

http_reply ServeOperator(router_link& aLink, const std::string& aOperatorKey,
                         const http_request& aRequest)
{
  if (!IsOperator(aOperatorKey, aRequest)) {
    Log(log_component::Operator, log_level::Warn, log_event::OperatorRefused,
        { { "path", aRequest.mPath }, { "remote", aRequest.mRemote } });
    return OperatorUnauthorized();
  }
  Log(log_component::Operator, log_level::Info, log_event::OperatorRequest,
      { { "method", aRequest.mMethod }, { "path", aRequest.mPath } });
  const auto path = ParsePath(aRequest.mPath);
  if (!path) {
    return ErrorReply({ error_code::NotFound, ran::No, "", "no such resource",
                        absl::ZeroDuration() });
  }
  const bool isGet = aRequest.mMethod == "GET";
  if (isGet && (path->mResource == admin_resource::Config ||
                path->mResource == admin_resource::Workspaces)) {
    return *ReadConfig(aLink, *path);
  }
  auto request = ReadRequest(*path, aRequest);
  return IsOk(request) ? AskNode(aLink, *path, ValueOf(std::move(request)))
                       : ErrorReply(ErrorOf(request));
}

} // namespace foxtailquay
