// Incremental parser of HTTP/1.1 messages, based on Boost.Beast.
//
//   http_reader reader;
//   StartReading(reader, message_kind::Request, limits);
//   ParseInput(reader, input);  // removes the parsed bytes from input
//   if (reader.mIsHeadComplete) { use reader.mHead and reader.mBody }
//
// Beast rejects messages that two parsers could split differently: conflicting
// or repeated lengths, a length together with chunks, and malformed chunk
// sizes; the reader rejects transfer codings other than chunked and statuses
// outside 100 to 599. A message that
// is cut short is never reported as complete. Memory is bounded by the limits;
// a user that removes the bytes of mBody as they arrive needs less. Not
// thread-safe.

#ifndef FOXTAILQUAY_TRANSPORT_HTTP_READER_H
#define FOXTAILQUAY_TRANSPORT_HTTP_READER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailquay/name_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// One header.
struct header_field
{
  std::string mName;
  std::string mValue;
};

// The header section of a message.
struct message_head
{
  // Requests only.
  std::string mMethod;
  // Requests only: path and query as received.
  std::string mTarget;
  // Responses only.
  int mStatus = 0;
  // Responses only: the reason phrase.
  std::string mReason;
  // HTTP version: 10 for 1.0, 11 for 1.1.
  int mVersion = 11;
  std::vector<header_field> mFields;
};

// Returns the value of the first header with the name aName; null if there is
// none. Upper and lower case are equal.
const std::string* FindField(const message_head& aHead, std::string_view aName);

// Returns true if the header names are equal; upper and lower case are equal.
bool IsSameFieldName(std::string_view aLeft, std::string_view aRight);

// The message that a reader expects.
enum class message_kind
{
  Request,
  Response,
  // The response to a HEAD request. It has no body, whatever length its header
  // section states.
  ResponseWithoutBody,
};

// Why the bytes are not an acceptable message.
enum class reader_failure
{
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

constexpr auto NameTable(reader_failure)
{
  using f = reader_failure;
  return MakeNameTable<f>({ { f::None, "none" },
                            { f::Malformed, "malformed" },
                            { f::HeaderTooLarge, "header_too_large" },
                            { f::BodyTooLarge, "body_too_large" } });
}

// Largest sizes of a message.
struct reader_limits
{
  std::size_t mMaxHeaderBytes = 16384;
  std::uint64_t mMaxBodyBytes = 4194304;
};

// The private state of a reader.
struct beast_parser;
// Deleter for the private state type.
struct beast_parser_deleter
{
  void operator()(beast_parser* aParser) const;
};

// The state of parsing one message.
struct http_reader
{
  message_head mHead;
  // Parsed bytes of the body. The user may remove them at any time.
  std::string mBody;
  // True if the header section is complete.
  bool mIsHeadComplete = false;
  // True if the message is complete.
  bool mIsComplete = false;
  // Nothing further is parsed after a failure.
  reader_failure mFailure = reader_failure::None;
  // What marks the end of the body.
  body_framing mFraming = body_framing::Unknown;
  // True if the connection may be used for another message after this one.
  bool mKeepAlive = false;
  // True if a byte of the message has arrived.
  bool mHasStarted = false;
  // Largest number of bytes that may wait for the rest of a header section,
  // chunk header or trailer.
  std::size_t mMaxUnparsedBytes = 0;
  std::unique_ptr<beast_parser, beast_parser_deleter> mParser;
};

// Prepares aReader for the next message and discards the previous one.
void StartReading(http_reader& aReader, message_kind aKind,
                  const reader_limits& aLimits);

// Parses aInput up to the end of the message and removes the parsed bytes.
// Precondition: StartReading was called.
void ParseInput(http_reader& aReader, std::string& aInput);

// Reports that the peer has closed the connection after its last byte. This
// completes a response without a length; any other message stays incomplete.
void OnInputEnded(http_reader& aReader);

} // namespace foxtailquay

#endif
