// Parses and makes the bodies of completion requests and responses, in the form
// of OpenAI-compatible interfaces.
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

// The names are the paths, which routers and engines share.
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
  // The prompt, or the contents of the messages, each followed by a line feed.
  // Engines report cached prefixes of this text.
  std::string mPrompt;
  // Upper bound of the prompt's tokens: a token has at least one byte.
  token_count mPromptTokensBound = 0;
};

// Parses the body of a completion request. Errors: InvalidRequest with the
// field that is wrong.
result<completion_request> ParseCompletion(completion_endpoint aEndpoint,
                                           std::string_view aBody);

// Returns the XXH64 hashes of the prompt's prefixes of 256, 512, 1024, ...
// bytes, shortest first, at most 8.
std::vector<std::uint64_t> ComputePrefixHashes(std::string_view aPrompt);

// Returns the body for the engine: the caller's body with aRun.mMaxTokens and
// the priority, always for a stream that ends with a usage report. Errors:
// InvalidRequest if aRun.mBody is not a JSON object.
result<std::string> MakeEngineBody(const run_request& aRun);

// The state that assembles the events of a stream into one response, for a
// caller that did not request a stream.
struct completion_assembly
{
  completion_endpoint mEndpoint = completion_endpoint::Chat;
  // Members that all events share, such as id, created and model; null before
  // the first event.
  Json::Value mShared;
  std::string mText;
  std::string mReasoning;
  std::string mRole = "assistant";
  // Tool calls by their index in the events.
  std::vector<Json::Value> mToolCalls;
  Json::Value mFinishReason;
};

// Appends one parsed event. Ignores members of an unexpected type.
void AddEvent(completion_assembly& aAssembly, const Json::Value& aEvent);

// Returns the body of the assembled response.
std::string MakeResponseBody(const completion_assembly& aAssembly,
                             const token_usage& aUsage);

// Returns an event that reports the usage, with the shared members of aEarlier,
// an event of the same stream or null.
Json::Value MakeUsageEvent(completion_endpoint aEndpoint,
                           const Json::Value& aEarlier,
                           const token_usage& aUsage);

// Returns the event that ends a completion which reached its token limit, with
// the shared members of aEarlier.
Json::Value MakeLengthEvent(completion_endpoint aEndpoint,
                            const Json::Value& aEarlier);

} // namespace foxtailquay

#endif
