// The operators' interface /admin/* of a router (docs/design.md section 7.1).

#ifndef FOXTAILQUAY_WIRE_OPERATOR_HTTP_H
#define FOXTAILQUAY_WIRE_OPERATOR_HTTP_H

#include <string>

#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

// True if the request shows the operators' key. Always false if there is no
// key.
bool IsOperator(const std::string& aOperatorKey, const http_request& aRequest);

http_response OperatorUnauthorized();

// Answers one request. Any thread; blocks for at most kOperatorTimeout.
http_response ServeOperator(router_link& aLink, const std::string& aOperatorKey,
                            const http_request& aRequest);

// The node answers when the store does. After this time the operator is told
// that the outcome is unknown.
constexpr absl::Duration kOperatorTimeout = absl::Seconds(30);

} // namespace foxtailquay

#endif
