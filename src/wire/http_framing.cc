#include "wire/http_framing.h"

#include <cstdint>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace foxtailquay {

bool HasBody(const httplib::Request& aRequest)
{
  const std::string length = aRequest.get_header_value("Content-Length");
  return aRequest.has_header("Transfer-Encoding") ||
         (!length.empty() && length != "0");
}

error MakeFramingError(std::string aDetail)
{
  return error{ error_code::InvalidRequest, executed::No, "",
                std::move(aDetail), absl::ZeroDuration() };
}

result<success> CheckFraming(const httplib::Request& aRequest,
                             std::size_t aMaxBody)
{
  const std::size_t lengths = aRequest.get_header_value_count("Content-Length");
  const std::size_t encodings =
    aRequest.get_header_value_count("Transfer-Encoding");
  if (lengths + encodings > 1) {
    return MakeFramingError(
      "expected at most one Content-Length or Transfer-Encoding header");
  }
  if (encodings == 1 &&
      !absl::EqualsIgnoreCase(aRequest.get_header_value("Transfer-Encoding"),
                              "chunked")) {
    return MakeFramingError("expected Transfer-Encoding chunked");
  }
  std::uint64_t length = 0;
  if (lengths == 1) {
    const std::string text = aRequest.get_header_value("Content-Length");
    if (text.empty() || !absl::ascii_isdigit(text[0]) ||
        !absl::SimpleAtoi(text, &length)) {
      return MakeFramingError(
        "expected Content-Length to be a number of bytes");
    }
  }
  if (length > aMaxBody) {
    return error{ error_code::BodyTooLarge, executed::No, "",
                  absl::StrCat("the body must not exceed ", aMaxBody, " bytes"),
                  absl::ZeroDuration() };
  }
  return success{};
}

} // namespace foxtailquay
