// A router process around the router node: the control thread that performs
// its actions, the callers' and the peers' ports, and the I/O.

#ifndef FOXTAILQUAY_DAEMON_ROUTER_HOST_H
#define FOXTAILQUAY_DAEMON_ROUTER_HOST_H

#include <functional>
#include <memory>

#include "foxtailquay/result.h"
#include "runtime/settings.h"

namespace foxtailquay {

struct router_host;

struct router_host_deleter
{
  void operator()(router_host* aHost) const;
};
using router_host_ptr = std::unique_ptr<router_host, router_host_deleter>;

// Starts all threads and binds the ports. Errors: InvalidSetting,
// InvalidChart, Overloaded.
result<router_host_ptr> StartRouter(const daemon_settings& aSettings);

// Asks for a graceful stop. Any thread.
void RequestStop(router_host& aHost);

// Waits until the node has stopped and ends all threads.
void WaitUntilStopped(router_host& aHost);

} // namespace foxtailquay

#endif
