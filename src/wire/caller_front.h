// The HTTP server of a router's caller port: completions, service calls and the
// list of models for callers, and on the same port probes, metrics, the state
// dump and the operators' interface.

#ifndef FOXTAILQUAY_WIRE_CALLER_FRONT_H
#define FOXTAILQUAY_WIRE_CALLER_FRONT_H

#include <optional>
#include <string>

#include "wire/caller_session.h"
#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

struct caller_front
{
  router_link& mLink;
  session_options mSession;
  // Key of the operators' interface; if empty, all its requests are rejected.
  std::string mOperatorKey;
  // Prefix of new request ids; makes them unique across processes and restarts.
  std::string mIdPrefix;
};

// Handles one request. Returns the response, or nothing if it was streamed to
// aConnection. Any thread; blocks until the response is complete.
std::optional<http_response> HandleCallerRequest(caller_front& aFront,
                                                 const http_request& aRequest,
                                                 http_connection& aConnection);

// Parses a request for POST /v1/chat/completions or /v1/completions. Errors:
// InvalidRequest, Unauthorized.
result<caller_request_event> ParseCompletionRequest(
  completion_endpoint aEndpoint, const http_request& aRequest);

// Parses a request for /v1/services/{service}/{path}. Errors: InvalidRequest,
// Unauthorized.
result<caller_request_event> ParseServiceRequest(const http_request& aRequest);

} // namespace foxtailquay

#endif
