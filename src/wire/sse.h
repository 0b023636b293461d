// Server-sent events: splitting a byte stream into events and writing them.
//
//   sse_parser parser;
//   auto fed = Feed(parser, bytes, [&](std::string_view payload) { ... });
//
// Only `data` lines matter here; comments and other fields are skipped.

#ifndef FOXTAILQUAY_WIRE_SSE_H
#define FOXTAILQUAY_WIRE_SSE_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "foxtailquay/result.h"

namespace foxtailquay {

// Payload that ends a completion's stream.
constexpr std::string_view kSseDone = "[DONE]";
// Bounds the memory of one event.
constexpr std::size_t kMaxSseEventBytes = 1 << 20;

struct sse_parser
{
  // The line that is not complete yet.
  std::string mLine;
  // Data lines of the event that is not complete yet.
  std::string mData;
  bool mHasData = false;
  // The last byte was a carriage return, so a line feed belongs to it.
  bool mAfterReturn = false;
};

// Returns false to stop.
using sse_handler = std::function<bool(std::string_view aPayload)>;

// Calls aHandler for each complete event. Returns whether it ever returned
// false as `false`. Errors: ProtocolViolation for an event above
// kMaxSseEventBytes.
result<bool> Feed(sse_parser& aParser, std::string_view aBytes,
                  const sse_handler& aHandler);

// "data: payload" and an empty line; a payload of several lines becomes
// several data lines.
std::string SseEvent(std::string_view aPayload);

// The payload of one SseEvent.
std::string SsePayload(std::string_view aEvent);

} // namespace foxtailquay

#endif
