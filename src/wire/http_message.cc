#include "wire/http_message.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"
#include "wire/error_codec.h"

namespace foxtailquay {

bool case_insensitive_less::operator()(const std::string& aLeft,
                                       const std::string& aRight) const
{
  return std::lexicographical_compare(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
    [](unsigned char aOne, unsigned char aOther) {
      return absl::ascii_tolower(aOne) < absl::ascii_tolower(aOther);
    });
}

std::string HeaderOf(const http_request& aRequest, const std::string& aName)
{
  const auto found = aRequest.mHeaders.find(aName);
  return found == aRequest.mHeaders.end() ? "" : found->second;
}

std::string BearerOf(const http_request& aRequest)
{
  const std::string value = HeaderOf(aRequest, "Authorization");
  constexpr absl::string_view kScheme = "Bearer ";
  if (!absl::StartsWithIgnoreCase(value, kScheme)) {
    return "";
  }
  return std::string(absl::StripAsciiWhitespace(value.substr(kScheme.size())));
}

http_reply ErrorReply(const error& aError)
{
  http_reply reply;
  reply.mStatus = HttpStatusOf(aError.mCode);
  reply.mHeaders.emplace_back("X-Foxtailquay-Ran",
                              std::string(NameOf(aError.mRan)));
  if (const int seconds = RetryAfterSeconds(aError); seconds > 0) {
    reply.mHeaders.emplace_back("Retry-After", absl::StrCat(seconds));
  }
  reply.mBody = ToText(ToJson(aError));
  return reply;
}

} // namespace foxtailquay
