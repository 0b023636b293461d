#include "transport/http_reader.h"

#include <algorithm>
#include <limits>
#include <type_traits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "absl/strings/match.h"

namespace foxtailquay {

namespace http = boost::beast::http;
using boost::beast::string_view;

namespace {

std::string ToText(string_view aText)
{
  return std::string(aText.data(), aText.size());
}

// Stores the parts of a message in an http_reader.
template<bool IsRequest>
class reader_parser : public http::basic_parser<IsRequest>
{
public:
  explicit reader_parser(http_reader& aReader)
    : mReader(aReader)
  {}

private:
  using failure = boost::system::error_code;

  // NOLINTBEGIN: names and signatures are the library's.
  void on_request_impl(http::verb, string_view aMethod, string_view aTarget,
                       int aVersion, failure&) override
  {
    mReader.mHead.mMethod = ToText(aMethod);
    mReader.mHead.mTarget = ToText(aTarget);
    mReader.mHead.mVersion = aVersion;
  }
  void on_response_impl(int aStatus, string_view aReason, int aVersion,
                        failure&) override
  {
    mReader.mHead.mStatus = aStatus;
    mReader.mHead.mReason = ToText(aReason);
    mReader.mHead.mVersion = aVersion;
  }
  void on_field_impl(http::field, string_view aName, string_view aValue,
                     failure&) override
  {
    mReader.mHead.mFields.push_back({ ToText(aName), ToText(aValue) });
  }
  void on_header_impl(failure&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         failure&) override
  {}
  std::size_t on_body_impl(string_view aBody, failure&) override
  {
    mReader.mBody.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, failure&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, string_view aBody,
                                 failure&) override
  {
    mReader.mBody.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl(failure&) override {}
  // NOLINTEND

  http_reader& mReader;
};

template<typename Parser>
void ApplyLimits(Parser& aParser, const reader_limits& aLimits)
{
  aParser.eager(true);
  aParser.header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
    aLimits.mMaxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
  aParser.body_limit(aLimits.mMaxBodyBytes);
}

// Precondition: the header section is complete.
template<typename Parser>
body_framing GetFraming(const Parser& aParser)
{
  if (aParser.chunked()) {
    return body_framing::Chunks;
  }
  return aParser.need_eof() ? body_framing::ConnectionEnd
                            : body_framing::Length;
}

// Returns true if the message has a transfer coding other than "chunked" alone.
// The library takes a request with such a coding for one without a body.
bool HasUnknownCoding(const message_head& aHead)
{
  int codings = 0;
  for (const header_field& field : aHead.mFields) {
    if (!IsSameFieldName(field.mName, "Transfer-Encoding")) {
      continue;
    }
    ++codings;
    if (codings > 1 || !IsSameFieldName(field.mValue, "chunked")) {
      return true;
    }
  }
  return false;
}

// Returns true if the status is one of the classes 1xx to 5xx. Others have no
// meaning (RFC 9110, section 15).
bool IsDefinedStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

template<typename Parser>
void UpdateState(http_reader& aReader, const Parser& aParser)
{
  aReader.mIsHeadComplete = aParser.is_header_done();
  aReader.mIsComplete = aParser.is_done();
  if (aReader.mIsHeadComplete) {
    aReader.mKeepAlive = aParser.keep_alive();
    aReader.mFraming = GetFraming(aParser);
  }
}

void RecordFailure(http_reader& aReader,
                   const boost::system::error_code& aError)
{
  if (!aError || aError == http::error::need_more) {
    return;
  }
  if (aError == http::error::header_limit) {
    aReader.mFailure = reader_failure::HeaderTooLarge;
  } else if (aError == http::error::body_limit) {
    aReader.mFailure = reader_failure::BodyTooLarge;
  } else {
    aReader.mFailure = reader_failure::Malformed;
  }
}

template<typename Parser>
void RunParser(http_reader& aReader, Parser& aParser, std::string& aInput)
{
  std::size_t used = 0;
  boost::system::error_code failure;
  while (used < aInput.size() && !failure && !aParser.is_done()) {
    used += aParser.put(
      boost::asio::buffer(aInput.data() + used, aInput.size() - used), failure);
  }
  aReader.mHasStarted = aReader.mHasStarted || !aInput.empty();
  aInput.erase(0, used);
  RecordFailure(aReader, failure);
  // The library bounds header sections only; chunk extensions and trailers
  // would be buffered without end.
  if (aReader.mFailure == reader_failure::None && !aParser.is_done() &&
      aInput.size() > aReader.mMaxUnparsedBytes) {
    aReader.mFailure = aParser.is_header_done()
                         ? reader_failure::BodyTooLarge
                         : reader_failure::HeaderTooLarge;
  }
  constexpr bool kIsResponse = std::is_same_v<Parser, reader_parser<false>>;
  if (!aReader.mIsHeadComplete && aParser.is_header_done() &&
      (HasUnknownCoding(aReader.mHead) ||
       (kIsResponse && !IsDefinedStatus(aReader.mHead.mStatus)))) {
    aReader.mFailure = reader_failure::Malformed;
  }
  UpdateState(aReader, aParser);
}

} // namespace

struct beast_parser
{
  std::unique_ptr<reader_parser<true>> mRequest;
  std::unique_ptr<reader_parser<false>> mResponse;
};

void beast_parser_deleter::operator()(beast_parser* aParser) const
{
  delete aParser;
}

bool IsSameFieldName(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(
    absl::string_view(aLeft.data(), aLeft.size()),
    absl::string_view(aRight.data(), aRight.size()));
}

const std::string* FindField(const message_head& aHead, std::string_view aName)
{
  for (const header_field& field : aHead.mFields) {
    if (IsSameFieldName(field.mName, aName)) {
      return &field.mValue;
    }
  }
  return nullptr;
}

void StartReading(http_reader& aReader, message_kind aKind,
                  const reader_limits& aLimits)
{
  aReader = http_reader{};
  aReader.mParser.reset(new beast_parser);
  aReader.mMaxUnparsedBytes = aLimits.mMaxHeaderBytes;
  if (aKind == message_kind::Request) {
    aReader.mParser->mRequest = std::make_unique<reader_parser<true>>(aReader);
    ApplyLimits(*aReader.mParser->mRequest, aLimits);
    return;
  }
  aReader.mParser->mResponse = std::make_unique<reader_parser<false>>(aReader);
  ApplyLimits(*aReader.mParser->mResponse, aLimits);
  aReader.mParser->mResponse->skip(aKind == message_kind::ResponseWithoutBody);
}

void ParseInput(http_reader& aReader, std::string& aInput)
{
  if (aReader.mFailure != reader_failure::None || aReader.mIsComplete) {
    return;
  }
  if (aReader.mParser->mRequest) {
    RunParser(aReader, *aReader.mParser->mRequest, aInput);
  } else {
    RunParser(aReader, *aReader.mParser->mResponse, aInput);
  }
}

void OnInputEnded(http_reader& aReader)
{
  if (!aReader.mParser || !aReader.mParser->mResponse ||
      aReader.mFailure != reader_failure::None || aReader.mIsComplete ||
      !aReader.mIsHeadComplete) {
    return;
  }
  auto& parser = *aReader.mParser->mResponse;
  if (!parser.need_eof()) {
    return;
  }
  boost::system::error_code failure;
  parser.put_eof(failure);
  RecordFailure(aReader, failure);
  aReader.mIsComplete = parser.is_done();
  aReader.mKeepAlive = false;
}

} // namespace foxtailquay
