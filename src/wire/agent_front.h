// Serves POST /run and POST /command on the peer port of an agent.

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

// Serves POST /run: executes a run and streams its frames. Returns nothing if
// frames were streamed, else the error response. Any thread; blocks until the
// run has ended.
std::optional<http_response> HandleRunRequest(agent_front& aFront,
                                              const http_request& aRequest,
                                              http_connection& aConnection);

// Serves POST /command with the body {"fencing_number", "command"}: forwards
// the command to the engine if the control thread accepts the fencing number.
// Any thread; blocks until the engine has responded.
http_response HandleCommandRequest(agent_front& aFront,
                                   const http_request& aRequest);

} // namespace foxtailquay

#endif
