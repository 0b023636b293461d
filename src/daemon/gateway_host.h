// Runs a gateway process: the control thread, which owns the gateway's state
// and makes its decisions, and the traffic thread, which handles all I/O with
// callers, backend servers, peers and the store.
//
//   auto host = StartGateway(settings);
//   RequestStop(*host); Reload(*host);   any thread
//   WaitUntilStopped(*host);

#ifndef FOXTAILQUAY_DAEMON_GATEWAY_HOST_H
#define FOXTAILQUAY_DAEMON_GATEWAY_HOST_H

#include <memory>

#include "foxtailquay/result.h"
#include "runtime/settings.h"

namespace foxtailquay {

struct gateway_host;

struct gateway_host_deleter
{
  void operator()(gateway_host* aHost) const;
};
using gateway_host_ptr = std::unique_ptr<gateway_host, gateway_host_deleter>;

// Binds the ports and starts both threads. Errors: InvalidSetting,
// InvalidChart, or Overloaded if no thread is available.
result<gateway_host_ptr> StartGateway(const daemon_settings& aSettings);

// Requests a graceful stop, which lets open requests finish. Any thread; does
// not wait.
void RequestStop(gateway_host& aHost);

// Reads the platform's settings file again. Any thread; does not wait.
void Reload(gateway_host& aHost);

// Waits until the gateway has stopped and both threads have ended.
void WaitUntilStopped(gateway_host& aHost);

} // namespace foxtailquay

#endif
