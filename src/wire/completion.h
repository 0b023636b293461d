// Bodies of completion requests and answers, in the form of the usual
// OpenAI-compatible interfaces.
//
// Pure functions on plain values; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_COMPLETION_H
#define FOXTAILQUAY_WIRE_COMPLETION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailquay/messages.h"
#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

// The names are the paths, at the router as at the engine.
enum class completion_endpoint
{
  Chat,
  Text,
};

constexpr auto NameTable(completion_endpoint)
{
  return MakeNameTable<completion_endpoint>(
    { { completion_endpoint::Chat, "/v1/chat/completions" },
      { completion_endpoint::Text, "/v1/completions" } });
}

struct completion_request
{
  std::string mModel;
  std::optional<token_count> mMaxTokens;
  bool mStream = false;
  // The prompt, or the contents of the messages, each followed by a line feed:
  // the text whose prefixes engines report as cached.
  std::string mPrompt;
  // Upper bound of the prompt's tokens.
  token_count mPromptTokensBound = 0;
};

// Errors: InvalidRequest with the field at fault.
result<completion_request> ParseCompletion(completion_endpoint aEndpoint,
                                           std::string_view aBody);

// XXH64 of the prompt's prefixes of 256, 512, ... bytes, shortest first, at
// most 8.
std::vector<std::uint64_t> ComputePrefixHashes(std::string_view aPrompt);

// The body for the engine: the caller's, with the cap, always as a stream
// that ends with a usage report. Errors: InvalidRequest if aRun.mBody is not
// an object.
result<std::string> MakeEngineBody(const run_request& aRun);

// Puts the events of a stream together into the answer for a caller that did
// not ask for a stream.
struct completion_assembly
{
  completion_endpoint mEndpoint = completion_endpoint::Chat;
  // id, created, model and other members that all events share.
  Json::Value mShared;
  std::string mText;
  std::string mReasoning;
  std::string mRole = "assistant";
  // By index.
  std::vector<Json::Value> mToolCalls;
  Json::Value mFinishReason;
};

void AddEvent(completion_assembly& aAssembly, const Json::Value& aEvent);

// The answer's body.
std::string FinishAssembly(const completion_assembly& aAssembly,
                           const token_usage& aUsage);

// The event that reports the usage, modelled on an earlier event of the same
// stream.
Json::Value UsageEvent(completion_endpoint aEndpoint,
                       const Json::Value& aEarlier, const token_usage& aUsage);

// The event that ends a completion which reached its cap.
Json::Value LengthEvent(completion_endpoint aEndpoint,
                        const Json::Value& aEarlier);

} // namespace foxtailquay

#endif
