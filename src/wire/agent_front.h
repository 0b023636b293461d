// The agent's HTTP interface on its peer port: POST /run and POST /command.

#ifndef FOXTAILQUAY_WIRE_AGENT_FRONT_H
#define FOXTAILQUAY_WIRE_AGENT_FRONT_H

#include <optional>
#include <string>

#include "runtime/timer.h"
#include "wire/agent_link.h"
#include "wire/engine_client.h"
#include "wire/http_server.h"

namespace foxtailquay {

struct agent_front
{
  agent_link& mLink;
  engine_options mEngine;
  std::string mPeerKey;
  timer& mTimer;
};

// Any thread; blocks until the run has ended. Returns nothing if frames were
// sent.
std::optional<http_response> HandleRunRequest(agent_front& aFront,
                                              const http_request& aRequest,
                                              http_connection& aConnection);

// {"fencing_number", "command"}: checks the number and passes the command on.
http_response HandleCommandRequest(agent_front& aFront,
                                   const http_request& aRequest);

} // namespace foxtailquay

#endif
