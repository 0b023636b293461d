// Runs a router process: the control thread, which owns the router's state and
// performs its actions, the HTTP ports for callers and peers, and the I/O.
//
//   auto host = StartRouter(settings);
//   RequestStop(*host);        any thread
//   WaitUntilStopped(*host);

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
// InvalidChart, or Overloaded if no thread is available.
result<router_host_ptr> StartRouter(const daemon_settings& aSettings);

// Requests a graceful stop. Any thread; does not wait.
void RequestStop(router_host& aHost);

// Waits until the router has stopped, then ends all threads. Precondition:
// called once, on a thread that is not one of the host's.
void WaitUntilStopped(router_host& aHost);

} // namespace foxtailquay

#endif
