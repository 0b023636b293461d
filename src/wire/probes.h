// /healthz, /readyz, /metrics and /debug/state of both roles.

#ifndef FOXTAILQUAY_WIRE_PROBES_H
#define FOXTAILQUAY_WIRE_PROBES_H

#include "wire/agent_link.h"
#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

// The process runs.
http_response MakeHealthResponse();

// 200 if the node takes work, else 503.
http_response MakeRouterReadyResponse(router_link& aLink);
http_response MakeAgentReadyResponse(agent_link& aLink);

http_response MakeRouterMetricsResponse(router_link& aLink);
http_response MakeAgentMetricsResponse(agent_link& aLink);

http_response MakeRouterStateResponse(router_link& aLink);
http_response MakeAgentStateResponse(agent_link& aLink);

} // namespace foxtailquay

#endif
