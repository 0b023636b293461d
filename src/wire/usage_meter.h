// Measures the tokens of one completion from the events of its stream.
//
// The agent bills by it; the router uses it when a stream breaks off without a
// final frame. The engine's own report counts if there is one; otherwise one
// token per event with content, and the prompt is estimated. Both are capped
// by what was reserved, so that a bill never exceeds the reservation.

#ifndef FOXTAILQUAY_WIRE_USAGE_METER_H
#define FOXTAILQUAY_WIRE_USAGE_METER_H

#include <optional>

#include "foxtailquay/types.h"
#include "json/json.h"

namespace foxtailquay {

struct usage_limits
{
  token_count mMaxPromptTokens = 0;
  token_count mMaxCompletionTokens = 0;
};

struct usage_meter
{
  usage_limits mLimits;
  token_count mContentEvents = 0;
  std::optional<token_usage> mReported;
};

// Takes one event of the stream, parsed. Returns false if the event has
// content beyond the cap; it must then not be passed on.
bool UpdateUsage(usage_meter& aMeter, const Json::Value& aEvent);

token_usage GetUsage(const usage_meter& aMeter);

// {"prompt_tokens", "completion_tokens", "total_tokens"}
Json::Value UsageToJson(const token_usage& aUsage);

} // namespace foxtailquay

#endif
