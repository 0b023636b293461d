// Incremental parsing of HTTP/1.1 messages on Boost.Beast's parser.
//
//   http_reader reader;
//   StartReading(reader, message_kind::Request, limits);
//   Feed(reader, input);          // erases what it has parsed from input
//   if (reader.mHeadDone) { use reader.mHead and reader.mBody }
//
// Beast rejects what could be read in two ways: conflicting or repeated
// lengths, a length together with chunks, and malformed chunk sizes. A message
// that breaks off is never reported as done. Memory is bounded by the limits
// as long as the user takes mBody from time to time. Not thread-safe.

#ifndef FOXTAILQUAY_TRANSPORT_HTTP_READER_H
#define FOXTAILQUAY_TRANSPORT_HTTP_READER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailquay {

struct header_field
{
  std::string mName;
  std::string mValue;
};

struct message_head
{
  // Requests.
  std::string mMethod;
  // Path and query as sent.
  std::string mTarget;
  // Answers.
  int mStatus = 0;
  std::string mReason;
  // 10 or 11.
  int mVersion = 11;
  std::vector<header_field> mFields;
};

// The value of the first field called aName, in any case; null if there is
// none.
const std::string* FindField(const message_head& aHead, std::string_view aName);

bool IsSameFieldName(std::string_view aLeft, std::string_view aRight);

enum class message_kind
{
  Request,
  Response,
  // The answer to a HEAD request: it has no body whatever its head says.
  AnswerWithoutBody,
};

struct reader_limits
{
  std::size_t mMaxHeaderBytes = 16384;
  std::uint64_t mMaxBodyBytes = 4194304;
};

struct beast_parser;
struct beast_parser_deleter
{
  void operator()(beast_parser* aParser) const;
};

struct http_reader
{
  message_head mHead;
  // Body bytes that were parsed and not yet taken.
  std::string mBody;
  bool mHeadDone = false;
  bool mDone = false;
  // The bytes are not a message; nothing further is parsed.
  bool mBad = false;
  // A limit was exceeded; mBad is set as well.
  bool mTooLarge = false;
  // The sender will accept or send another message on this connection.
  bool mKeepAlive = false;
  // A byte of the message has arrived.
  bool mStarted = false;
  std::unique_ptr<beast_parser, beast_parser_deleter> mParser;
};

// Prepares aReader for the next message and forgets the one before.
void StartReading(http_reader& aReader, message_kind aKind,
                  const reader_limits& aLimits);

// Parses the start of aInput and erases it, up to the end of the message.
// Precondition: StartReading was called.
void Feed(http_reader& aReader, std::string& aInput);

// The connection ended in order. Completes a message without a length; any
// other unfinished message stays unfinished.
void FeedEnd(http_reader& aReader);

} // namespace foxtailquay

#endif
