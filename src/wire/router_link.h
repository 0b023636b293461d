// What the front ends of a router share with its control thread: the queue
// of events, the open exchanges with callers and operators, and the metrics.
//
// Front ends know nothing of the node's state; they post events and wait for
// decisions.

#ifndef FOXTAILQUAY_WIRE_ROUTER_LINK_H
#define FOXTAILQUAY_WIRE_ROUTER_LINK_H

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "absl/synchronization/mutex.h"
#include "foxtailquay/router.h"
#include "runtime/control_queue.h"
#include "runtime/elastic_pool.h"
#include "runtime/mailbox.h"
#include "runtime/metrics.h"
#include "wire/http_call.h"

namespace foxtailquay {

// A read of the node's state on the control thread.
using router_query = std::function<void(const router_state&)>;
using router_item = std::variant<router_event, router_query>;

// A dispatch for the thread that serves the caller. The stopper is shared
// because the control thread may stop a run at any time of its life, and the
// run may outlast the caller's thread.
struct run_dispatch_order
{
  dispatch_action mAction;
  std::shared_ptr<call_stopper> mStopper;
};

// What the control thread tells the thread of a caller's connection.
using caller_decision = std::variant<run_dispatch_order, caller_response>;

struct caller_exchange
{
  mailbox<caller_decision> mDecisions;
  absl::Mutex mMutex;
  // The answer of a service call, set before the run is reported.
  stored_response mResponse;
  token_usage mUsage;
};

using operator_mailbox = mailbox<result<operator_result>>;

struct router_link
{
  router_link(control_queue_options aQueue, elastic_pool_options aServices)
    : mServices(std::move(aServices))
  {
    mQueue.mOptions = aQueue;
  }

  control_queue<router_item> mQueue;
  handle_table<caller_exchange> mCallers;
  handle_table<operator_mailbox> mOperators;
  // Runs service calls: a call that may run only once is read to its end even
  // if the caller was answered at its deadline or is gone.
  elastic_pool mServices;
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
    return GetError(posted);
  }
  // Every item that was taken in is handled, so this wait ends.
  return std::move(*Take(box, absl::InfiniteFuture()));
}

} // namespace foxtailquay

#endif
