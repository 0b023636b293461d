// The HTTP interface /admin/* of a router for operators: configuration, budgets
// and draining (docs/design.md section 7.1).

#ifndef FOXTAILQUAY_WIRE_OPERATOR_HTTP_H
#define FOXTAILQUAY_WIRE_OPERATOR_HTTP_H

#include <string>

#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

// Returns true if the request has the operators' key as its bearer token.
// Always false if aOperatorKey is empty.
bool IsOperator(const std::string& aOperatorKey, const http_request& aRequest);

// Returns the response to a request without the operators' key.
http_response MakeOperatorUnauthorizedResponse();

// Handles one request. Any thread; blocks for at most kOperatorTimeout.
http_response HandleOperatorRequest(router_link& aLink,
                                    const std::string& aOperatorKey,
                                    const http_request& aRequest);

// The control thread responds after the store has. If that takes longer, the
// operator gets the error StoreOutcomeUnknown.
constexpr absl::Duration kOperatorTimeout = absl::Seconds(30);

} // namespace foxtailquay

#endif
