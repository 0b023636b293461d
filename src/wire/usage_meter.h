// Measures the tokens of one completion from the events of its stream.
//
// The agent bills the measured usage; the router uses it if a stream is
// interrupted before its final frame. The usage is the engine's report if there
// is one; otherwise it is one token per event with content, and the prompt's
// tokens are estimated. Both counts are limited to what was reserved, so that
// no more than the reservation is billed.
//
// Pure functions on plain structs; one thread at a time per object.

#ifndef FOXTAILQUAY_WIRE_USAGE_METER_H
#define FOXTAILQUAY_WIRE_USAGE_METER_H

#include <optional>

#include "foxtailquay/types.h"
#include "json/json.h"

namespace foxtailquay {

// The reserved tokens.
struct usage_limits
{
  token_count mMaxPromptTokens = 0;
  token_count mMaxCompletionTokens = 0;
};

struct usage_meter
{
  usage_limits mLimits;
  // Events with content so far.
  token_count mContentEvents = 0;
  // The engine's latest report.
  std::optional<token_usage> mReported;
};

// Records one parsed event of the stream. Returns false if the event has
// content beyond mMaxCompletionTokens; it must then not be relayed.
bool UpdateUsage(usage_meter& aMeter, const Json::Value& aEvent);

// Returns the usage so far, within the limits.
token_usage ComputeUsage(const usage_meter& aMeter);

// Returns {"prompt_tokens", "completion_tokens", "total_tokens"}.
Json::Value ToJson(const token_usage& aUsage);

} // namespace foxtailquay

#endif
