#include "wire/usage_meter.h"

#include <algorithm>

namespace foxtailquay {

namespace {

const Json::Value& Member(const Json::Value& aJson, const char* aName)
{
  return aJson.isObject() ? aJson[aName] : Json::Value::nullSingleton();
}

bool IsText(const Json::Value& aValue)
{
  return aValue.isString() && !aValue.asString().empty();
}

bool HasContent(const Json::Value& aChoice)
{
  const Json::Value& delta = Member(aChoice, "delta");
  return IsText(Member(aChoice, "text")) || IsText(Member(delta, "content")) ||
         IsText(Member(delta, "reasoning_content")) ||
         (Member(delta, "tool_calls").isArray() &&
          !Member(delta, "tool_calls").empty());
}

token_count CountEnumerators(const Json::Value& aUsage, const char* aName)
{
  const Json::Value& value = Member(aUsage, aName);
  return value.isInt64() ? std::max<token_count>(value.asInt64(), 0) : 0;
}

// Four bytes per token is usual for prose; used only if a stream ends before
// the engine reports.
constexpr token_count kEstimatedBytesPerToken = 4;

} // namespace

bool UpdateUsage(usage_meter& aMeter, const Json::Value& aEvent)
{
  const Json::Value& usage = Member(aEvent, "usage");
  if (usage.isObject()) {
    aMeter.mReported =
      token_usage{ CountEnumerators(usage, "prompt_tokens"),
                   CountEnumerators(usage, "completion_tokens") };
  }
  const Json::Value& choices = Member(aEvent, "choices");
  if (!choices.isArray() || choices.empty() || !HasContent(choices[0])) {
    return true;
  }
  if (aMeter.mContentEvents >= aMeter.mLimits.mMaxCompletionTokens) {
    return false;
  }
  ++aMeter.mContentEvents;
  return true;
}

token_usage GetUsage(const usage_meter& aMeter)
{
  const usage_limits& limits = aMeter.mLimits;
  token_usage usage;
  if (aMeter.mReported) {
    usage = *aMeter.mReported;
    // A report that came before the last content is out of date.
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

Json::Value UsageToJson(const token_usage& aUsage)
{
  Json::Value json(Json::objectValue);
  json["prompt_tokens"] = Json::Int64(aUsage.mPromptTokens);
  json["completion_tokens"] = Json::Int64(aUsage.mCompletionTokens);
  json["total_tokens"] =
    Json::Int64(aUsage.mPromptTokens + aUsage.mCompletionTokens);
  return json;
}

} // namespace foxtailquay
