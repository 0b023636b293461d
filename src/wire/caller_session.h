// Handles one caller's request: posts its event to the router's control thread,
// waits for decisions, performs dispatches and relays the response.
//
// Runs on the thread of the caller's connection.

#ifndef FOXTAILQUAY_WIRE_CALLER_SESSION_H
#define FOXTAILQUAY_WIRE_CALLER_SESSION_H

#include <optional>
#include <string>

#include "foxtailquay/router.h"
#include "wire/completion.h"
#include "wire/dispatch_client.h"
#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

struct session_options
{
  dispatch_options mDispatch;
};

// Fills in aEvent.mHandle, posts aEvent and blocks until the response is
// complete. aRequestId goes into log lines and response headers. Returns
// nothing if the response was streamed.
std::optional<http_response> RunCallerSession(router_link& aLink,
                                              const session_options& aOptions,
                                              caller_request_event aEvent,
                                              completion_endpoint aEndpoint,
                                              const std::string& aRequestId,
                                              http_connection& aConnection);

} // namespace foxtailquay

#endif
