// One caller's request from its event to its answer: waits for the node's
// decisions, performs dispatches and relays the answer.
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

// Posts aEvent, whose mHandle is filled in, and serves the caller until the
// final answer. aRequestId goes into the log and the headers. Returns nothing
// if the answer was streamed.
std::optional<http_response> ServeCaller(router_link& aLink,
                                         const session_options& aOptions,
                                         caller_request_event aEvent,
                                         completion_endpoint aEndpoint,
                                         const std::string& aRequestId,
                                         http_connection& aConnection);

} // namespace foxtailquay

#endif
