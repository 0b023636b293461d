#include "wire/gateway_codec.h"

#include <algorithm>

#include "wire/document_codec.h"
#include "wire/explain_codec.h"
#include "wire/grant_codec.h"
#include "json/json.h"

namespace foxtailquay {

namespace {

constexpr char kAskTokensMethod[] = "ask_tokens";
constexpr char kRecallTokensMethod[] = "recall_tokens";
constexpr char kReturnTokensMethod[] = "return_tokens";
constexpr char kSharePromptsMethod[] = "share_prompts";
constexpr char kShareGrantsMethod[] = "share_grants";
constexpr char kShareServersMethod[] = "share_servers";

Json::Value MakeTokenParams(const workspace_id& aWorkspace, token_count aAmount)
{
  Json::Value params(Json::objectValue);
  params["workspace"] = aWorkspace.mValue;
  params["amount"] = Json::Int64(aAmount);
  return params;
}

std::string EncodeCall(const char* aMethod, const Json::Value& aParams)
{
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = aMethod;
  call["params"] = aParams;
  return ToText(call);
}

std::string EncodeResult(const Json::Value& aResult)
{
  Json::Value response(Json::objectValue);
  response["jsonrpc"] = "2.0";
  response["id"] = 1;
  response["result"] = aResult;
  return ToText(response);
}

Json::Value EncodeCopies(const std::vector<grant_copy>& aCopies)
{
  Json::Value copies(Json::arrayValue);
  for (const grant_copy& each : aCopies) {
    Json::Value copy(Json::objectValue);
    copy["workspace"] = each.mWorkspace.mValue;
    copy["record"] = EncodeGrantRecord(each.mRecord);
    copies.append(std::move(copy));
  }
  return copies;
}

error MakeProtocolError(std::string aDetail)
{
  return error{ error_code::ProtocolViolation, executed::No, "tokens",
                std::move(aDetail), absl::ZeroDuration() };
}

} // namespace

std::string EncodeRequestTokens(const request_tokens& aCall)
{
  Json::Value params = MakeTokenParams(aCall.mWorkspace, aCall.mAmount);
  params["urgency"] = aCall.mPriority;
  params["needed"] = Json::Int64(aCall.mNeeded);
  params["gateway"] = aCall.mFrom;
  params["held"] = Json::Int64(aCall.mHeld);
  return EncodeCall(kAskTokensMethod, params);
}

std::string EncodeRecallTokens(const recall_tokens& aCall)
{
  Json::Value params(Json::objectValue);
  params["workspace"] = aCall.mWorkspace.mValue;
  params["used_up"] = aCall.mIsUsedUp;
  return EncodeCall(kRecallTokensMethod, params);
}

std::string EncodeReturnTokens(const return_tokens& aCall)
{
  Json::Value params = MakeTokenParams(aCall.mWorkspace, aCall.mAmount);
  if (!aCall.mFrom.empty()) {
    params["gateway"] = aCall.mFrom;
  }
  return EncodeCall(kReturnTokensMethod, params);
}

std::string EncodeReportPrompts(const report_prompts& aCall)
{
  Json::Value prompts(Json::arrayValue);
  for (const sent_prompt& each : aCall.mPrompts) {
    Json::Value prompt(Json::objectValue);
    prompt["backend"] = each.mBackend.mValue;
    prompt["tokens"] = Json::Int64(each.mTokens);
    prompt["prefixes"] = Json::Value(Json::arrayValue);
    for (std::uint64_t prefix : each.mPrefixes) {
      prompt["prefixes"].append(Json::UInt64(prefix));
    }
    if (each.mHeldTokens) {
      prompt["held"] = Json::Int64(*each.mHeldTokens);
    }
    if (each.mIsTight) {
      prompt["tight"] = true;
    }
    prompts.append(std::move(prompt));
  }
  Json::Value params(Json::objectValue);
  params["prompts"] = std::move(prompts);
  if (!aCall.mGateway.empty()) {
    params["gateway"] = aCall.mGateway;
  }
  return EncodeCall(kSharePromptsMethod, params);
}

std::string EncodeShareGrants(const share_grants& aCall)
{
  Json::Value params(Json::objectValue);
  params["era"] = Json::UInt64(aCall.mEra);
  params["wants_copies"] = aCall.mWantsCopies;
  params["copies"] = EncodeCopies(aCall.mCopies);
  return EncodeCall(kShareGrantsMethod, params);
}

std::string EncodeRequestServers()
{
  return EncodeCall(kShareServersMethod, Json::Value(Json::objectValue));
}

namespace {

// Returns the copies; absent if a field is missing or has another type.
std::optional<std::vector<grant_copy>> DecodeCopies(const Json::Value& aCopies)
{
  if (!aCopies.isArray()) {
    return std::nullopt;
  }
  std::vector<grant_copy> copies;
  for (const Json::Value& each : aCopies) {
    if (!each.isObject() || !each["workspace"].isString() ||
        !each["record"].isObject()) {
      return std::nullopt;
    }
    copies.push_back({ workspace_id{ each["workspace"].asString() },
                       DecodeGrantRecord(each["record"]) });
  }
  return copies;
}

result<gateway_message> DecodeGrants(const Json::Value& aParams)
{
  auto copies = DecodeCopies(aParams["copies"]);
  if (!aParams["era"].isUInt64() || !aParams["wants_copies"].isBool() ||
      !copies) {
    return MakeProtocolError("a field of shared grants is missing or has "
                             "another type");
  }
  return gateway_message(grants_shared{ 0, aParams["era"].asUInt64(),
                                        aParams["wants_copies"].asBool(),
                                        *std::move(copies) });
}

result<gateway_message> DecodeTokens(const std::string& aMethod,
                                     const Json::Value& aParams)
{
  if (!aParams["workspace"].isString() || !aParams["amount"].isInt64() ||
      aParams["amount"].asInt64() < 0) {
    return MakeProtocolError("a field is missing or has another type");
  }
  const workspace_id workspace{ aParams["workspace"].asString() };
  const token_count amount =
    std::min(kMaxTokenCount, aParams["amount"].asInt64());
  if (aMethod == kReturnTokensMethod) {
    const Json::Value& peer = aParams["gateway"];
    return gateway_message(tokens_returned{
      workspace, amount, peer.isString() ? peer.asString() : "" });
  }
  const Json::Value& urgency = aParams["urgency"];
  if (!urgency.isInt() || urgency.asInt() < 0 ||
      urgency.asInt() >= kRequestPriorities) {
    return MakeProtocolError("the urgency is missing or out of range");
  }
  tokens_requested request{ 0, workspace, amount, urgency.asInt() };
  const Json::Value& needed = aParams["needed"];
  if (!needed.isNull()) {
    if (!needed.isInt64() || needed.asInt64() < 0) {
      return MakeProtocolError("the needed amount has another type");
    }
    request.mNeeded = std::min(amount, needed.asInt64());
  }
  if (aParams["gateway"].isString() && aParams["held"].isInt64()) {
    request.mPeer = aParams["gateway"].asString();
    request.mHeld =
      std::clamp<token_count>(aParams["held"].asInt64(), 0, kMaxTokenCount);
  }
  return gateway_message(std::move(request));
}

result<gateway_message> DecodeRecall(const Json::Value& aParams)
{
  if (!aParams["workspace"].isString() || !aParams["used_up"].isBool()) {
    return MakeProtocolError("a field of a recall is missing or has another "
                             "type");
  }
  return gateway_message(
    tokens_recalled{ 0, workspace_id{ aParams["workspace"].asString() },
                     aParams["used_up"].asBool() });
}

result<gateway_message> DecodePrompts(const Json::Value& aParams)
{
  prompts_reported shared;
  if (!aParams["prompts"].isArray()) {
    return MakeProtocolError("missing prompts");
  }
  if (aParams["gateway"].isString()) {
    shared.mGateway = aParams["gateway"].asString();
  }
  for (const Json::Value& each : aParams["prompts"]) {
    if (!each.isObject() || !each["backend"].isString() ||
        !each["tokens"].isInt64() || each["tokens"].asInt64() < 0 ||
        !each["prefixes"].isArray()) {
      return MakeProtocolError(
        "a field of a prompt is missing or has another type");
    }
    sent_prompt prompt;
    prompt.mBackend = backend_id{ each["backend"].asString() };
    prompt.mTokens = std::min(kMaxTokenCount, each["tokens"].asInt64());
    for (const Json::Value& prefix : each["prefixes"]) {
      if (!prefix.isUInt64()) {
        return MakeProtocolError("a prefix of a prompt has another type");
      }
      prompt.mPrefixes.push_back(prefix.asUInt64());
    }
    // Earlier versions do not state it.
    const Json::Value& held = each["held"];
    if (!held.isNull()) {
      if (!held.isInt64() || held.asInt64() < 0) {
        return MakeProtocolError("the held tokens have another type");
      }
      prompt.mHeldTokens = std::min(kMaxTokenCount, held.asInt64());
    }
    const Json::Value& tight = each["tight"];
    if (!tight.isNull()) {
      if (!tight.isBool()) {
        return MakeProtocolError("the mark of a tight engine has another type");
      }
      prompt.mIsTight = tight.asBool();
    }
    shared.mPrompts.push_back(std::move(prompt));
  }
  return gateway_message(std::move(shared));
}

} // namespace

result<gateway_message> DecodeGatewayCall(const std::string& aText)
{
  auto parsed = ParseJson(aText);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const Json::Value& call = GetValue(parsed);
  if (!call.isObject() || !call["params"].isObject() ||
      !call["method"].isString()) {
    return MakeProtocolError("missing method or parameters of the call");
  }
  const std::string method = call["method"].asString();
  if (method == kSharePromptsMethod) {
    return DecodePrompts(call["params"]);
  }
  if (method == kShareGrantsMethod) {
    return DecodeGrants(call["params"]);
  }
  if (method == kShareServersMethod) {
    return gateway_message(servers_requested{});
  }
  if (method == kAskTokensMethod || method == kReturnTokensMethod) {
    return DecodeTokens(method, call["params"]);
  }
  if (method == kRecallTokensMethod) {
    return DecodeRecall(call["params"]);
  }
  if (method == kExplainMethod) {
    auto query = DecodeExplainQuery(call["params"]);
    if (!IsOk(query)) {
      return GetError(query);
    }
    return gateway_message(explain_requested{ 0, GetValue(std::move(query)) });
  }
  return MakeProtocolError("unknown method");
}

std::string EncodeTokenResponse(const token_response& aResponse)
{
  Json::Value result(Json::objectValue);
  result["amount"] = Json::Int64(aResponse.mAmount);
  result["exhausted"] = aResponse.mExhausted;
  result["store_lost"] = aResponse.mStoreUnavailable;
  if (aResponse.mLeft) {
    result["left"] = Json::Int64(*aResponse.mLeft);
  }
  return EncodeResult(result);
}

std::string EncodeShareResponse(const share_response& aResponse)
{
  Json::Value result(Json::objectValue);
  result["era"] = Json::UInt64(aResponse.mEra);
  result["first_era"] = Json::UInt64(aResponse.mFirstEra);
  result["copies"] = EncodeCopies(aResponse.mCopies);
  result["gateways"] = Json::Value(Json::arrayValue);
  for (const std::string& name : aResponse.mGateways) {
    result["gateways"].append(name);
  }
  return EncodeResult(result);
}

std::string EncodeServersResponse(const std::vector<known_server>& aServers)
{
  Json::Value servers(Json::arrayValue);
  for (const known_server& each : aServers) {
    Json::Value server(Json::objectValue);
    server["backend"] = each.mBackend.mValue;
    server["started_ms"] = Json::Int64(each.mStartedMs);
    server["address"] = each.mAddress;
    server["sequence"] = Json::Int64(each.mSequence);
    server["leaving"] = each.mIsLeaving;
    server["removed"] = each.mIsRemoved;
    servers.append(std::move(server));
  }
  Json::Value result(Json::objectValue);
  result["servers"] = std::move(servers);
  return EncodeResult(result);
}

result<std::vector<known_server>> DecodeServersResponse(
  const std::string& aText)
{
  auto parsed = ParseJson(aText);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const Json::Value& body = GetValue(parsed);
  if (!body.isObject() || !body["result"].isObject() ||
      !body["result"]["servers"].isArray()) {
    return MakeProtocolError("missing servers in the response");
  }
  std::vector<known_server> servers;
  for (const Json::Value& each : body["result"]["servers"]) {
    if (!each.isObject() || !each["backend"].isString() ||
        !each["started_ms"].isInt64() || !each["address"].isString() ||
        !each["sequence"].isInt64() || !each["leaving"].isBool() ||
        !each["removed"].isBool()) {
      return MakeProtocolError("a field of a server is missing or has another "
                               "type");
    }
    servers.push_back({ backend_id{ each["backend"].asString() },
                        each["started_ms"].asInt64(),
                        each["address"].asString(), each["sequence"].asInt64(),
                        each["leaving"].asBool(), each["removed"].asBool() });
  }
  return servers;
}

std::string EncodeExplanation(const explanation& aExplanation)
{
  return EncodeResult(ToJson(aExplanation));
}

result<share_response> DecodeShareResponse(const std::string& aText)
{
  auto parsed = ParseJson(aText);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const Json::Value& body = GetValue(parsed);
  if (!body.isObject() || !body["result"].isObject()) {
    return MakeProtocolError("missing result in the response");
  }
  const Json::Value& result = body["result"];
  auto copies = DecodeCopies(result["copies"]);
  if (!result["era"].isUInt64() || !result["first_era"].isUInt64() ||
      !result["gateways"].isArray() || !copies) {
    return MakeProtocolError("a field of the response is missing or has "
                             "another type");
  }
  share_response response{ result["era"].asUInt64(),
                           result["first_era"].asUInt64(),
                           *std::move(copies),
                           {} };
  for (const Json::Value& name : result["gateways"]) {
    if (name.isString()) {
      response.mGateways.push_back(name.asString());
    }
  }
  return response;
}

result<token_response> DecodeTokenResponse(const std::string& aText)
{
  auto parsed = ParseJson(aText);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const Json::Value& response = GetValue(parsed);
  if (!response.isObject() || !response["result"].isObject() ||
      !response["result"]["amount"].isInt64() ||
      response["result"]["amount"].asInt64() < 0) {
    return MakeProtocolError("missing amount in the response");
  }
  const Json::Value& result = response["result"];
  const auto flag = [&result](const char* aName) {
    return result[aName].isBool() && result[aName].asBool();
  };
  token_response decoded{ std::min(kMaxTokenCount, result["amount"].asInt64()),
                          flag("exhausted"), flag("store_lost") };
  // Earlier versions do not state it.
  const Json::Value& left = result["left"];
  if (!left.isNull()) {
    if (!left.isInt64() || left.asInt64() < 0) {
      return MakeProtocolError("the tokens that are left have another type");
    }
    decoded.mLeft = std::min(kMaxTokenCount, left.asInt64());
  }
  return decoded;
}

} // namespace foxtailquay
