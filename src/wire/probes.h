// /healthz, /readyz, /metrics and /debug/state of both roles.

#ifndef FOXTAILQUAY_WIRE_PROBES_H
#define FOXTAILQUAY_WIRE_PROBES_H

#include "wire/agent_link.h"
#include "wire/http_server.h"
#include "wire/router_link.h"

namespace foxtailquay {

// The process runs.
http_reply HealthReply();

// 200 if the node takes work, else 503.
http_reply RouterReadyReply(router_link& aLink);
http_reply AgentReadyReply(agent_link& aLink);

http_reply RouterMetricsReply(router_link& aLink);
http_reply AgentMetricsReply(agent_link& aLink);

http_reply RouterStateReply(router_link& aLink);
http_reply AgentStateReply(agent_link& aLink);

} // namespace foxtailquay

#endif
