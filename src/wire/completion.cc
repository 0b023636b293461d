#include "wire/completion.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"
#include "wire/usage_meter.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

error MakeRequestError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidRequest, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

// --- Prompts ----------------------------------------------------------------

// Appends a message's content, which is a string or an array of text parts.
result<success> AppendContent(const Json::Value& aContent,
                              const std::string& aPath, std::string& aPrompt)
{
  if (aContent.isNull()) {
    return success{};
  }
  if (aContent.isString()) {
    aPrompt += aContent.asString();
    return success{};
  }
  if (!aContent.isArray()) {
    return MakeRequestError(aPath,
                            "must be a string or an array of text parts");
  }
  for (Json::ArrayIndex i = 0; i < aContent.size(); ++i) {
    const Json::Value& part = aContent[i];
    // There is no known bound for the tokens of other kinds of parts.
    if (!part.isObject() || part["type"] != "text" ||
        !part["text"].isString()) {
      return MakeRequestError(absl::StrCat(aPath, "[", i, "]"),
                              "only parts of type text are supported");
    }
    aPrompt += part["text"].asString();
  }
  return success{};
}

// Upper bound of the tokens that an engine's chat template adds per message.
constexpr token_count kTemplateTokensPerMessage = 8;

result<success> ParseMessages(const Json::Value& aBody,
                              completion_request& aRequest)
{
  const Json::Value& messages = aBody["messages"];
  if (!messages.isArray() || messages.empty()) {
    return MakeRequestError("messages",
                            "must be an array with at least one message");
  }
  for (Json::ArrayIndex i = 0; i < messages.size(); ++i) {
    const std::string path = absl::StrCat("messages[", i, "]");
    const Json::Value& message = messages[i];
    if (!message.isObject() || !message["role"].isString()) {
      return MakeRequestError(path, "must be an object with a role");
    }
    aRequest.mPromptTokensBound +=
      kTemplateTokensPerMessage +
      static_cast<token_count>(message["role"].asString().size());
    auto content =
      AppendContent(message["content"], path + ".content", aRequest.mPrompt);
    if (!IsOk(content)) {
      return content;
    }
    if (message.isMember("tool_calls")) {
      aRequest.mPromptTokensBound +=
        static_cast<token_count>(ToText(message["tool_calls"]).size());
    }
    aRequest.mPrompt += "\n";
  }
  for (const char* name : { "tools", "functions", "response_format" }) {
    if (aBody.isMember(name)) {
      aRequest.mPromptTokensBound +=
        static_cast<token_count>(ToText(aBody[name]).size());
    }
  }
  return success{};
}

result<success> ParseTextPrompt(const Json::Value& aBody,
                                completion_request& aRequest)
{
  const Json::Value& prompt = aBody["prompt"];
  const Json::Value& text =
    prompt.isArray() && prompt.size() == 1 ? prompt[0] : prompt;
  if (!text.isString()) {
    return MakeRequestError("prompt", "must be a string");
  }
  aRequest.mPrompt = text.asString();
  return success{};
}

// --- Other fields -----------------------------------------------------------

result<success> ParseMaxTokens(const Json::Value& aBody,
                               completion_request& aRequest)
{
  for (const char* name : { "max_tokens", "max_completion_tokens" }) {
    const Json::Value& value = aBody[name];
    if (value.isNull()) {
      continue;
    }
    if (!value.isInt64() || value.asInt64() < 1) {
      return MakeRequestError(name, "must be a whole number of at least 1");
    }
    aRequest.mMaxTokens =
      std::min(aRequest.mMaxTokens.value_or(value.asInt64()), value.asInt64());
  }
  return success{};
}

result<success> ParseOptions(const Json::Value& aBody,
                             completion_request& aRequest)
{
  if (!aBody["model"].isString() || aBody["model"].asString().empty()) {
    return MakeRequestError("model", "must be the name of a model");
  }
  aRequest.mModel = aBody["model"].asString();
  const Json::Value& stream = aBody["stream"];
  if (!stream.isNull() && !stream.isBool()) {
    return MakeRequestError("stream", "must be true or false");
  }
  aRequest.mStream = stream.isBool() && stream.asBool();
  // The reservation covers one completion only.
  for (const char* name : { "n", "best_of" }) {
    if (!aBody[name].isNull() && aBody[name] != 1) {
      return MakeRequestError(name, "only 1 is supported");
    }
  }
  return ParseMaxTokens(aBody, aRequest);
}

// --- Responses --------------------------------------------------------------

const Json::Value& FindFirstChoice(const Json::Value& aEvent)
{
  const Json::Value& choices =
    aEvent.isObject() ? aEvent["choices"] : Json::Value::nullSingleton();
  return choices.isArray() && !choices.empty() && choices[0].isObject()
           ? choices[0]
           : Json::Value::nullSingleton();
}

void AppendText(const Json::Value& aValue, std::string& aText)
{
  if (aValue.isString()) {
    aText += aValue.asString();
  }
}

// Merges one chunk of a tool call: the chunks of `name` and `arguments` are
// concatenated.
void AddToolCall(completion_assembly& aAssembly, const Json::Value& aChunk)
{
  // Bounds the memory for an invalid index from an engine.
  constexpr unsigned kMaxToolCalls = 128;
  if (!aChunk.isObject()) {
    return;
  }
  const unsigned index =
    aChunk["index"].isUInt() ? aChunk["index"].asUInt() : 0;
  if (index >= kMaxToolCalls) {
    return;
  }
  if (aAssembly.mToolCalls.size() <= index) {
    aAssembly.mToolCalls.resize(index + 1, Json::Value(Json::objectValue));
  }
  Json::Value& call = aAssembly.mToolCalls[index];
  for (const char* name : { "id", "type" }) {
    if (aChunk[name].isString()) {
      call[name] = aChunk[name];
    }
  }
  const Json::Value& function = aChunk["function"];
  if (function.isObject()) {
    for (const char* name : { "name", "arguments" }) {
      std::string text = call["function"][name].asString();
      AppendText(function[name], text);
      call["function"][name] = text;
    }
  }
}

void AddDelta(completion_assembly& aAssembly, const Json::Value& aDelta)
{
  if (!aDelta.isObject()) {
    return;
  }
  AppendText(aDelta["content"], aAssembly.mText);
  AppendText(aDelta["reasoning_content"], aAssembly.mReasoning);
  if (aDelta["role"].isString()) {
    aAssembly.mRole = aDelta["role"].asString();
  }
  if (aDelta["tool_calls"].isArray()) {
    for (const Json::Value& chunk : aDelta["tool_calls"]) {
      AddToolCall(aAssembly, chunk);
    }
  }
}

Json::Value MakeChatMessage(const completion_assembly& aAssembly)
{
  Json::Value message(Json::objectValue);
  message["role"] = aAssembly.mRole;
  message["content"] = aAssembly.mText;
  if (!aAssembly.mReasoning.empty()) {
    message["reasoning_content"] = aAssembly.mReasoning;
  }
  if (!aAssembly.mToolCalls.empty()) {
    Json::Value calls(Json::arrayValue);
    for (const Json::Value& call : aAssembly.mToolCalls) {
      calls.append(call);
    }
    message["tool_calls"] = calls;
    if (aAssembly.mText.empty()) {
      message["content"] = Json::Value();
    }
  }
  return message;
}

// Returns the members of aEarlier that all events of a stream share.
Json::Value CopySharedMembers(const Json::Value& aEarlier)
{
  Json::Value shared(Json::objectValue);
  for (const char* name :
       { "id", "created", "model", "system_fingerprint", "object" }) {
    if (aEarlier.isObject() && aEarlier.isMember(name)) {
      shared[name] = aEarlier[name];
    }
  }
  return shared;
}

Json::Value MakeStreamEvent(completion_endpoint aEndpoint,
                            const Json::Value& aEarlier)
{
  Json::Value event = CopySharedMembers(aEarlier);
  if (!event.isMember("object")) {
    event["object"] = aEndpoint == completion_endpoint::Chat
                        ? "chat.completion.chunk"
                        : "text_completion";
  }
  event["choices"] = Json::Value(Json::arrayValue);
  return event;
}

} // namespace

result<completion_request> ParseCompletion(completion_endpoint aEndpoint,
                                           std::string_view aBody)
{
  auto json = ParseJson(aBody);
  if (!IsOk(json)) {
    return MakeRequestError("body",
                            absl::StrCat("the body ", GetError(json).mDetail));
  }
  const Json::Value& body = GetValue(json);
  if (!body.isObject()) {
    return MakeRequestError("body", "must be a JSON object");
  }
  completion_request request;
  auto outcome = ParseOptions(body, request);
  if (IsOk(outcome)) {
    outcome = aEndpoint == completion_endpoint::Chat
                ? ParseMessages(body, request)
                : ParseTextPrompt(body, request);
  }
  if (!IsOk(outcome)) {
    return GetError(outcome);
  }
  request.mPromptTokensBound +=
    static_cast<token_count>(request.mPrompt.size());
  return request;
}

std::vector<std::uint64_t> ComputePrefixHashes(std::string_view aPrompt)
{
  constexpr std::size_t kMinPrefixBytes = 256;
  constexpr std::size_t kMaxPrefixes = 8;
  std::vector<std::uint64_t> hashes;
  for (std::size_t size = kMinPrefixBytes;
       size <= aPrompt.size() && hashes.size() < kMaxPrefixes; size *= 2) {
    hashes.push_back(XXH64(aPrompt.data(), size, 0));
  }
  return hashes;
}

result<std::string> MakeEngineBody(const run_request& aRun)
{
  auto json = ParseJson(aRun.mBody);
  if (!IsOk(json) || !GetValue(json).isObject()) {
    return MakeRequestError("body", "must be a JSON object");
  }
  Json::Value body = GetValue(std::move(json));
  body.removeMember("max_completion_tokens");
  body["max_tokens"] = Json::Int64(aRun.mMaxTokens);
  body["stream"] = true;
  // Engines execute lower numbers first; priority_class has the same order.
  body["priority"] = static_cast<int>(aRun.mPriority);
  if (!body["stream_options"].isObject()) {
    body["stream_options"] = Json::Value(Json::objectValue);
  }
  body["stream_options"]["include_usage"] = true;
  return ToText(body);
}

void AddEvent(completion_assembly& aAssembly, const Json::Value& aEvent)
{
  if (aAssembly.mShared.isNull()) {
    aAssembly.mShared = CopySharedMembers(aEvent);
  }
  const Json::Value& choice = FindFirstChoice(aEvent);
  if (!choice.isObject()) {
    return;
  }
  AppendText(choice["text"], aAssembly.mText);
  AddDelta(aAssembly, choice["delta"]);
  if (choice["finish_reason"].isString()) {
    aAssembly.mFinishReason = choice["finish_reason"];
  }
}

std::string MakeResponseBody(const completion_assembly& aAssembly,
                             const token_usage& aUsage)
{
  const bool chat = aAssembly.mEndpoint == completion_endpoint::Chat;
  Json::Value response = aAssembly.mShared.isObject()
                           ? aAssembly.mShared
                           : Json::Value(Json::objectValue);
  response["object"] = chat ? "chat.completion" : "text_completion";
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["finish_reason"] = aAssembly.mFinishReason;
  choice["logprobs"] = Json::Value();
  if (chat) {
    choice["message"] = MakeChatMessage(aAssembly);
  } else {
    choice["text"] = aAssembly.mText;
  }
  response["choices"] = Json::Value(Json::arrayValue);
  response["choices"].append(choice);
  response["usage"] = ToJson(aUsage);
  return ToText(response);
}

Json::Value MakeUsageEvent(completion_endpoint aEndpoint,
                           const Json::Value& aEarlier,
                           const token_usage& aUsage)
{
  Json::Value event = MakeStreamEvent(aEndpoint, aEarlier);
  event["usage"] = ToJson(aUsage);
  return event;
}

Json::Value MakeLengthEvent(completion_endpoint aEndpoint,
                            const Json::Value& aEarlier)
{
  Json::Value event = MakeStreamEvent(aEndpoint, aEarlier);
  Json::Value choice(Json::objectValue);
  choice["index"] = 0;
  choice["finish_reason"] = "length";
  if (aEndpoint == completion_endpoint::Chat) {
    choice["delta"] = Json::Value(Json::objectValue);
  } else {
    choice["text"] = "";
  }
  event["choices"].append(choice);
  return event;
}

} // namespace foxtailquay
