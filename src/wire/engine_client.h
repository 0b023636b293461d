// The agent's calls on its backend server: runs, load reports and commands.

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
  // The answer was complete.
  bool mComplete = false;
  // End or Broken; its number is not set.
  run_frame mLast;
};

// Makes the call of aRun and passes its answer on as head and data frames,
// whose numbers are not set. aEmit returns false if the router is gone. Blocks
// until the answer is complete, failed, stopped by aStopper, or aRun's timeout
// is over.
run_outcome CallBackend(const engine_options& aOptions, const run_request& aRun,
                        timer& aTimer, call_stopper& aStopper,
                        const std::function<bool(run_frame)>& aEmit);

// Reads GET /load. Nothing if the backend server does not answer.
std::optional<backend_load_event> ReadLoad(const engine_options& aOptions);

// Parses the body of a load report. Members may be missing. Errors:
// ProtocolViolation.
result<backend_load_event> ParseLoad(std::string_view aBody);

// Passes a command on, POST /command. Errors: StaleFence if the backend
// server refuses the number, BackendServerFailed.
result<success> SendCommand(const engine_options& aOptions,
                            std::uint64_t aFencingNumber,
                            const std::string& aCommand);

} // namespace foxtailquay

#endif
