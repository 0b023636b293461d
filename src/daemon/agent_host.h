// An agent process around the agent node: the control thread that performs
// its actions, the peers' port, and the I/O.

#ifndef FOXTAILQUAY_DAEMON_AGENT_HOST_H
#define FOXTAILQUAY_DAEMON_AGENT_HOST_H

#include <memory>

#include "foxtailquay/result.h"
#include "runtime/settings.h"

namespace foxtailquay {

struct agent_host;

struct agent_host_deleter
{
  void operator()(agent_host* aHost) const;
};
using agent_host_ptr = std::unique_ptr<agent_host, agent_host_deleter>;

// Starts all threads and binds the port. Errors: InvalidSetting, InvalidChart,
// Overloaded.
result<agent_host_ptr> StartAgent(const daemon_settings& aSettings);

// Asks for a graceful stop. Any thread.
void RequestStop(agent_host& aHost);

// Waits until the node has stopped and ends all threads.
void WaitUntilStopped(agent_host& aHost);

} // namespace foxtailquay

#endif
