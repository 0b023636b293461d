#include "wire/usage_meter.h"

#include <algorithm>

namespace foxtailquay {

namespace {

const Json::Value& GetMember(const Json::Value& aJson, const char* aName)
{
  return aJson.isObject() ? aJson[aName] : Json::Value::nullSingleton();
}

bool IsNonEmptyText(const Json::Value& aValue)
{
  return aValue.isString() && !aValue.asString().empty();
}

bool HasContent(const Json::Value& aChoice)
{
  const Json::Value& delta = GetMember(aChoice, "delta");
  return IsNonEmptyText(GetMember(aChoice, "text")) ||
         IsNonEmptyText(GetMember(delta, "content")) ||
         IsNonEmptyText(GetMember(delta, "reasoning_content")) ||
         (GetMember(delta, "tool_calls").isArray() &&
          !GetMember(delta, "tool_calls").empty());
}

token_count GetTokenCount(const Json::Value& aUsage, const char* aName)
{
  const Json::Value& value = GetMember(aUsage, aName);
  return value.isInt64() ? std::max<token_count>(value.asInt64(), 0) : 0;
}

// The usual ratio for prose. Used only if a stream ends before the engine
// reports the usage.
constexpr token_count kEstimatedBytesPerToken = 4;

} // namespace

bool UpdateUsage(usage_meter& aMeter, const Json::Value& aEvent)
{
  const Json::Value& usage = GetMember(aEvent, "usage");
  if (usage.isObject()) {
    aMeter.mReported = token_usage{ GetTokenCount(usage, "prompt_tokens"),
                                    GetTokenCount(usage, "completion_tokens") };
  }
  const Json::Value& choices = GetMember(aEvent, "choices");
  if (!choices.isArray() || choices.empty() || !HasContent(choices[0])) {
    return true;
  }
  if (aMeter.mContentEvents >= aMeter.mLimits.mMaxCompletionTokens) {
    return false;
  }
  ++aMeter.mContentEvents;
  return true;
}

token_usage ComputeUsage(const usage_meter& aMeter)
{
  const usage_limits& limits = aMeter.mLimits;
  token_usage usage;
  if (aMeter.mReported) {
    usage = *aMeter.mReported;
    // A report that precedes the last content event is out of date.
    usage.mCompletionTokens =
      std::max(usage.mCompletionTokens, aMeter.mContentEvents);
  } else if (aMeter.mContentEvents > 0) {
    usage.mPromptTokens =
      (limits.mMaxPromptTokens + kEstimatedBytesPerToken - 1) /
      kEstimatedBytesPerToken;
    usage.mCompletionTokens = aMeter.mContentEvents;
  }
  usage.mPromptTokens = std::min(usage.mPromptTokens, limits.mMaxPromptTokens);
  usage.mCompletionTokens =
    std::min(usage.mCompletionTokens, limits.mMaxCompletionTokens);
  return usage;
}

Json::Value ToJson(const token_usage& aUsage)
{
  Json::Value json(Json::objectValue);
  json["prompt_tokens"] = Json::Int64(aUsage.mPromptTokens);
  json["completion_tokens"] = Json::Int64(aUsage.mCompletionTokens);
  json["total_tokens"] =
    Json::Int64(aUsage.mPromptTokens + aUsage.mCompletionTokens);
  return json;
}

} // namespace foxtailquay
