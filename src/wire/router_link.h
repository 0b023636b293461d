// State that the front ends of a router share with its control thread: the
// event queue, the open requests of callers and operators, and the metrics.
//
// Front ends do not access the router's state; they post events and wait for
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

// A function that reads the router's state on the control thread.
using router_query = std::function<void(const router_state&)>;
using router_item = std::variant<router_event, router_query>;

// Tells the thread of a caller's connection to dispatch a run. The stopper is
// shared because the control thread may stop the run at any time, and the run
// may outlive the caller's thread.
struct dispatch_decision
{
  dispatch_action mAction;
  std::shared_ptr<call_stopper> mStopper;
};

// Decision that the control thread sends to the thread of a caller's
// connection.
using caller_decision = std::variant<dispatch_decision, caller_response>;

// An open request of a caller.
struct caller_exchange
{
  mailbox<caller_decision> mDecisions;
  absl::Mutex mMutex;
  // Response and usage of a service call, set before the end of its run is
  // posted to the control thread.
  stored_response mResponse;
  token_usage mUsage;
};

using operator_mailbox = mailbox<result<operator_result>>;

struct router_link
{
  router_link(control_queue_options aQueue,
              elastic_pool_options aServiceCallPool)
    : mServiceCallPool(std::move(aServiceCallPool))
  {
    mQueue.mOptions = aQueue;
  }

  control_queue<router_item> mQueue;
  handle_table<caller_exchange> mCallers;
  handle_table<operator_mailbox> mOperators;
  // Threads for service calls. The response of a service call that must not be
  // repeated is read completely even if the caller already got a response at
  // its deadline or has disconnected.
  elastic_pool mServiceCallPool;
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
  mailbox<T> resultMailbox;
  auto posted = Post(aLink.mQueue,
                     router_item(router_query([&](const router_state& aState) {
                       Put(resultMailbox, T(aRead(aState)));
                     })),
                     event_class::NewWork);
  if (!IsOk(posted)) {
    return GetError(posted);
  }
  // The control thread handles every item that it accepted, so this wait ends.
  return std::move(*Take(resultMailbox, absl::InfiniteFuture()));
}

} // namespace foxtailquay

#endif
