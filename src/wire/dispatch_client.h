// Performs a router's dispatch_action: POST /run on the agent, checking and
// passing on the frames of the answer.

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
  // The node cancels runs at their deadline; this is for an agent that does
  // not notice.
  absl::Duration mReadSlack = absl::Seconds(5);
  // Largest answer of a service, and of an engine's refusal.
  std::size_t mMaxResponseBytes = 16 << 20;
};

// Called on the dispatching thread.
struct run_observer
{
  std::function<void()> mOnAccepted;
  std::function<void(const run_frame& aHead)> mOnHead;
  // aEvent is the parsed event of a completion's stream, null otherwise.
  std::function<void(const run_frame& aData, const Json::Value& aEvent)>
    mOnData;
};

using run_report =
  std::variant<run_refused_event, run_finished_event, run_failed_event>;

// Blocks until the run has ended; Stop on aStopper ends it early. The report's
// mRelayed is false; the caller knows what it passed on. The whole answer of a
// service or of a run with a status other than 200 is in
// run_finished_event::mResponse.
run_report PerformDispatch(const dispatch_action& aAction,
                           const dispatch_options& aOptions,
                           call_stopper& aStopper,
                           const run_observer& aObserver);

} // namespace foxtailquay

#endif
