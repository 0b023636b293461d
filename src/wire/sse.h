// Parses and encodes server-sent events.
//
//   sse_parser parser;
//   auto finished = Feed(parser, bytes, [&](std::string_view payload) { ... });
//
// The parser reads only `data` lines; it skips comments and other fields. Not
// thread-safe: one thread per parser.

#ifndef FOXTAILQUAY_WIRE_SSE_H
#define FOXTAILQUAY_WIRE_SSE_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "foxtailquay/result.h"

namespace foxtailquay {

// Payload of the event that ends the stream of a completion.
constexpr std::string_view kSseDone = "[DONE]";
// Bounds the memory that one event may use.
constexpr std::size_t kMaxSseEventBytes = 1 << 20;

struct sse_parser
{
  // The incomplete line at the end of the bytes received so far.
  std::string mLine;
  // The data lines received so far of the incomplete event.
  std::string mData;
  bool mHasData = false;
  // True if the last byte was a carriage return: a line feed right after it
  // is part of the same line end.
  bool mAfterCarriageReturn = false;
};

// Receives the payload of one event. Returns false to stop the parser.
using sse_handler = std::function<bool(std::string_view aPayload)>;

// Parses the next bytes of the stream and calls aHandler for each complete
// event. Returns false if aHandler returned false, in which case the remaining
// bytes are not parsed. Errors: ProtocolViolation for an event of more than
// kMaxSseEventBytes.
result<bool> Feed(sse_parser& aParser, std::string_view aBytes,
                  const sse_handler& aHandler);

// Moves the first line of aText to aLine, without its line end: CR, LF or both.
// Returns false, without effect, if no line is complete.
bool TakeSseLine(std::string_view& aText, std::string_view& aLine);

// Returns the size of the first event in the text, with the empty line that
// ends it; npos if none is complete. A line feed that arrives after a carriage
// return at the end of the text becomes an empty event of its own.
std::size_t FindSseEventEnd(std::string_view aText);

// Returns the event "data: payload", which ends with an empty line. Each line
// of the payload becomes one data line.
std::string EncodeSseEvent(std::string_view aPayload);

// Returns the payload of the first event in the text.
std::string DecodeSseEvent(std::string_view aEvent);

} // namespace foxtailquay

#endif
