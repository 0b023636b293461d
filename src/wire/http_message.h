// HTTP requests and responses as plain values, independent of the HTTP
// library.

#ifndef FOXTAILQUAY_WIRE_HTTP_MESSAGE_H
#define FOXTAILQUAY_WIRE_HTTP_MESSAGE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "foxtailquay/error.h"

namespace foxtailquay {

// Orders header names without regard to ASCII case.
struct case_insensitive_less
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

struct http_request
{
  std::string mMethod;
  // Percent-decoded, without the query.
  std::string mPath;
  // Path and query as received.
  std::string mTarget;
  std::map<std::string, std::string, case_insensitive_less> mHeaders;
  std::string mBody;
  // "IP:port" of the client.
  std::string mClientAddress;
};

// Returns the value of a header, or an empty string if it is absent.
std::string FindHeader(const http_request& aRequest, const std::string& aName);

// Returns the token of "Authorization: Bearer <token>", or an empty string if
// there is none.
std::string FindBearerToken(const http_request& aRequest);

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_response
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  http_headers mHeaders;
  std::string mBody;
};

// Returns the response for an error: its HTTP status, the error as a JSON
// object, X-Foxtailquay-Ran, and Retry-After if the error has a delay.
http_response MakeErrorResponse(const error& aError);

} // namespace foxtailquay

#endif
