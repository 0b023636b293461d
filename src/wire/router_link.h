// What the front ends of a router share with its control thread: the queue
// of events, the open exchanges with callers and operators, and the metrics.
//
// Front ends know nothing of the node's state; they post events and wait for
// decisions.

#ifndef FOXTAILQUAY_WIRE_ROUTER_LINK_H
#define FOXTAILQUAY_WIRE_ROUTER_LINK_H

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "absl/synchronization/mutex.h"
#include "foxtailquay/router.h"
#include "runtime/control_queue.h"
#include "runtime/mailbox.h"
#include "runtime/metrics.h"
#include "wire/http_call.h"

namespace foxtailquay {

// A read of the node's state on the control thread.
using router_query = std::function<void(const router_state&)>;
using router_item = std::variant<router_event, router_query>;

// What the control thread tells the thread of a caller's connection.
using caller_decision = std::variant<dispatch_action, caller_answer>;

struct caller_exchange
{
  mailbox<caller_decision> mDecisions;
  absl::Mutex mMutex;
  // The dispatch in progress.
  call_stopper* mRunning = nullptr;
  request_id mRunningRequest;
  // Set if the cancellation came before the dispatch began.
  std::optional<request_id> mCancelled;
};

using operator_box = mailbox<result<operator_done>>;

struct router_link
{
  explicit router_link(control_queue_options aOptions) { mQueue.mOptions = aOptions; }

  control_queue<router_item> mQueue;
  handle_table<caller_exchange> mCallers;
  handle_table<operator_box> mOperators;
  metrics_ptr mMetrics = MakeMetrics();
  std::atomic<request_handle> mNextHandle{ 1 };
};

inline result<success> PostEvent(router_link& aLink, router_event aEvent,
                                 event_class aClass)
{
  return Post(aLink.mQueue, router_item(std::move(aEvent)), aClass);
}

// Runs aRead(const router_state&) on the control thread and returns its
// result. Must not be called on the control thread. Errors: Overloaded,
// ShuttingDown.
template<typename T, typename Read>
result<T> QueryRouter(router_link& aLink, Read aRead)
{
  mailbox<T> box;
  auto posted = Post(aLink.mQueue,
                     router_item(router_query([&](const router_state& aState) {
                       Put(box, T(aRead(aState)));
                     })),
                     event_class::NewWork);
  if (!IsOk(posted)) {
    return ErrorOf(posted);
  }
  // Every item that was taken in is handled, so this wait ends.
  return std::move(*Take(box, absl::InfiniteFuture()));
}

// Control thread: stops the run of an exchange, or keeps it from starting.
void CancelRun(caller_exchange& aExchange, const request_id& aRequest);

} // namespace foxtailquay

#endif
