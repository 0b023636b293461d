// HTTP requests and replies as plain values, independent of the HTTP library.

#ifndef FOXTAILQUAY_WIRE_HTTP_MESSAGE_H
#define FOXTAILQUAY_WIRE_HTTP_MESSAGE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "foxtailquay/error.h"

namespace foxtailquay {

struct case_insensitive_less
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

struct http_request
{
  std::string mMethod;
  // Decoded, without the query.
  std::string mPath;
  // As received, with the query.
  std::string mTarget;
  std::map<std::string, std::string, case_insensitive_less> mHeaders;
  std::string mBody;
  std::string mRemote;
};

// The header's value, empty if it is absent.
std::string FindHeader(const http_request& aRequest, const std::string& aName);

// The token of "Authorization: Bearer <token>", empty if there is none.
std::string BearerOf(const http_request& aRequest);

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_response
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  http_headers mHeaders;
  std::string mBody;
};

// The JSON error object with status, Retry-After and X-Foxtailquay-Ran.
http_response MakeErrorResponse(const error& aError);

} // namespace foxtailquay

#endif
