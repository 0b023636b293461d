// Calls an agent's backend server: runs, load reports and commands.
//
// All functions may be called on any thread; those that call the server block.

#ifndef FOXTAILQUAY_WIRE_ENGINE_CLIENT_H
#define FOXTAILQUAY_WIRE_ENGINE_CLIENT_H

#include <functional>
#include <optional>
#include <string>

#include "foxtailquay/agent.h"
#include "runtime/timer.h"
#include "wire/http_call.h"
#include "wire/run_codec.h"

namespace foxtailquay {

struct engine_options
{
  // "IP:port".
  std::string mAddress;
  absl::Duration mConnectTimeout = absl::Seconds(1);
  absl::Duration mLoadTimeout = absl::Milliseconds(900);
  absl::Duration mCommandTimeout = absl::Seconds(60);
};

struct run_outcome
{
  token_usage mUsage;
  // The response was received and relayed completely.
  bool mComplete = false;
  // The last frame, End or Broken; its number is not set.
  run_frame mLast;
};

// Sends aRun to the backend server and passes the response to aEmit as head and
// data frames, whose numbers are not set. aEmit returns false if the router is
// disconnected. Blocks until the response is complete, the call fails, aStopper
// stops it, or aRun.mTimeout has passed.
run_outcome CallBackend(const engine_options& aOptions, const run_request& aRun,
                        timer& aTimer, call_stopper& aStopper,
                        const std::function<bool(run_frame)>& aEmit);

// Reads the load with GET /load. Returns nothing if the backend server sends no
// valid load report within mLoadTimeout.
std::optional<backend_load_event> ReadLoad(const engine_options& aOptions);

// Parses the body of a load report. The lists may be missing; elements of
// another type are ignored. Errors: ProtocolViolation.
result<backend_load_event> ParseLoad(std::string_view aBody);

// Sends a command with POST /command. Errors: StaleFence if the backend server
// has a newer fencing number, BackendServerFailed for other failures.
result<success> SendCommand(const engine_options& aOptions,
                            std::uint64_t aFencingNumber,
                            const std::string& aCommand);

} // namespace foxtailquay

#endif
