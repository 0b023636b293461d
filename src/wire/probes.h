// Responses to /healthz, /readyz, /metrics and /debug/state of routers and
// agents.
//
// Functions with a link wait for the control thread and must not be called on
// it. Any other thread.

#ifndef FOXTAILQUAY_WIRE_PROBES_H
#define FOXTAILQUAY_WIRE_PROBES_H

#include "wire/agent_link.h"
#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

// Returns status 200: the process is running.
http_response MakeHealthResponse();

// Returns status 200 if the node accepts work, else 503.
http_response MakeRouterReadyResponse(router_link& aLink);
http_response MakeAgentReadyResponse(agent_link& aLink);

http_response MakeRouterMetricsResponse(router_link& aLink);
http_response MakeAgentMetricsResponse(agent_link& aLink);

http_response MakeRouterStateResponse(router_link& aLink);
http_response MakeAgentStateResponse(agent_link& aLink);

} // namespace foxtailquay

#endif
