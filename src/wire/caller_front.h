// The router's HTTP interface for callers, on its caller port: completions,
// services and the list of models. Probes, metrics and the operators'
// interface are on the same port.

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
  // Empty: the operators' interface is closed.
  std::string mOperatorKey;
  // Makes request ids unique across processes and restarts.
  std::string mIdPrefix;
};

// Answers one request. Any thread; blocks until the answer is complete.
std::optional<http_response> HandleCallerRequest(caller_front& aFront,
                                                 const http_request& aRequest,
                                                 http_connection& aConnection);

// Parses a request for POST /v1/chat/completions or /v1/completions. Errors:
// InvalidRequest, Unauthorized.
result<caller_request_event> ReadCompletionRequest(
  completion_endpoint aEndpoint, const http_request& aRequest);

// Parses a request for /v1/services/{service}/{path}. Errors: InvalidRequest,
// Unauthorized.
result<caller_request_event> ReadServiceRequest(const http_request& aRequest);

} // namespace foxtailquay

#endif
