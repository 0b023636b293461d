// Runs a gateway: the control thread that owns its decisions, and the traffic
// thread with the callers, the servers, the peers and the store.
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

// Errors: InvalidSetting, InvalidChart, Overloaded.
result<gateway_host_ptr> StartGateway(const daemon_settings& aSettings);

// Starts a planned stop; open requests are finished. Any thread.
void RequestStop(gateway_host& aHost);

// Reads the platform's settings file again. Any thread.
void Reload(gateway_host& aHost);

// Returns when the stop is complete.
void WaitUntilStopped(gateway_host& aHost);

} // namespace foxtailquay

#endif
