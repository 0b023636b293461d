// Runs an agent process: the control thread, which owns the agent's state and
// performs its actions, the HTTP port for routers and peers, and the I/O.
//
//   auto host = StartAgent(settings);
//   RequestStop(*host);        any thread
//   WaitUntilStopped(*host);

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
// or Overloaded if no thread is available.
result<agent_host_ptr> StartAgent(const daemon_settings& aSettings);

// Requests a graceful stop. Any thread; does not wait.
void RequestStop(agent_host& aHost);

// Waits until the agent has stopped, then ends all threads. Precondition:
// called once, on a thread that is not one of the host's.
void WaitUntilStopped(agent_host& aHost);

} // namespace foxtailquay

#endif
