// Performs a router's dispatch_action: sends POST /run to the agent, checks the
// frames of the response and passes them to an observer.

#ifndef FOXTAILQUAY_WIRE_DISPATCH_CLIENT_H
#define FOXTAILQUAY_WIRE_DISPATCH_CLIENT_H

#include <functional>
#include <string>
#include <variant>

#include "foxtailquay/router.h"
#include "wire/http_call.h"
#include "wire/run_codec.h"
#include "json/json.h"

namespace foxtailquay {

struct dispatch_options
{
  std::string mPeerKey;
  absl::Duration mConnectTimeout = absl::Seconds(1);
  // Added to the run's timeout for each read. The control thread cancels runs
  // at their deadline; the read timeout is for an agent that does not respond.
  absl::Duration mReadSlack = absl::Seconds(5);
  // Largest response of a service, and of an engine with a status other than
  // 200, in bytes.
  std::size_t mMaxResponseBytes = 16 << 20;
};

// Callbacks, all on the thread of PerformDispatch.
struct run_observer
{
  // The agent accepted the run.
  std::function<void()> mOnAccepted;
  std::function<void(const run_frame& aHead)> mOnHead;
  // aEvent is the parsed event of a completion's stream, or null.
  std::function<void(const run_frame& aData, const Json::Value& aEvent)>
    mOnData;
};

using run_report =
  std::variant<run_refused_event, run_finished_event, run_failed_event>;

// Blocks until the run has ended; Stop(aStopper) ends it early. In the returned
// report, run_failed_event::mRelayed is always false: the calling function sets
// it, since the observer decides what is relayed. run_finished_event::mResponse
// has the complete response of a service, or of an engine with a status other
// than 200.
run_report PerformDispatch(const dispatch_action& aAction,
                           const dispatch_options& aOptions,
                           call_stopper& aStopper,
                           const run_observer& aObserver);

} // namespace foxtailquay

#endif
