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

std::string FindHeader(const http_request& aRequest, const std::string& aName)
{
  const auto found = aRequest.mHeaders.find(aName);
  return found == aRequest.mHeaders.end() ? "" : found->second;
}

std::string FindBearerToken(const http_request& aRequest)
{
  const std::string value = FindHeader(aRequest, "Authorization");
  constexpr absl::string_view kScheme = "Bearer ";
  if (!absl::StartsWithIgnoreCase(value, kScheme)) {
    return "";
  }
  return std::string(absl::StripAsciiWhitespace(value.substr(kScheme.size())));
}

http_response MakeErrorResponse(const error& aError)
{
  http_response response;
  response.mStatus = ToHttpStatus(aError.mCode);
  response.mHeaders.emplace_back("X-Foxtailquay-Ran",
                                 std::string(ToName(aError.mExecuted)));
  if (const int seconds = ToRetryAfterSeconds(aError); seconds > 0) {
    response.mHeaders.emplace_back("Retry-After", absl::StrCat(seconds));
  }
  response.mBody = ToText(ToJson(aError));
  return response;
}

} // namespace foxtailquay
