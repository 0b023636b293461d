// State that the front ends of an agent share with its control thread: the
// event queue, the open runs and commands, and the metrics.

#ifndef FOXTAILQUAY_WIRE_AGENT_LINK_H
#define FOXTAILQUAY_WIRE_AGENT_LINK_H

#include <atomic>
#include <functional>
#include <utility>
#include <variant>

#include "foxtailquay/agent.h"
#include "runtime/control_queue.h"
#include "runtime/mailbox.h"
#include "runtime/metrics.h"
#include "wire/http_call.h"

namespace foxtailquay {

// A function that reads the agent's state on the control thread.
using agent_query = std::function<void(const agent_state&)>;
using agent_item = std::variant<agent_event, agent_query>;

// Decision that the control thread sends to the thread that serves the run
// request of a router.
using run_decision = std::variant<start_run_action, refuse_run_action>;

// An open run.
struct agent_run
{
  mailbox<run_decision> mDecisions;
  // Stops the call to the backend server.
  call_stopper mStopper;
};

using command_mailbox = mailbox<result<success>>;

struct agent_link
{
  explicit agent_link(control_queue_options aOptions)
  {
    mQueue.mOptions = aOptions;
  }

  control_queue<agent_item> mQueue;
  handle_table<agent_run> mRuns;
  handle_table<command_mailbox> mCommands;
  metrics_ptr mMetrics = MakeMetrics();
  std::atomic<request_handle> mNextHandle{ 1 };
};

inline result<success> PostEvent(agent_link& aLink, agent_event aEvent,
                                 event_class aClass)
{
  return Post(aLink.mQueue, agent_item(std::move(aEvent)), aClass);
}

// Runs aRead(const agent_state&) on the control thread and returns its result.
// Must not be called on the control thread. Errors: Overloaded, ShuttingDown.
template<typename T, typename Read>
result<T> QueryAgent(agent_link& aLink, Read aRead)
{
  mailbox<T> resultMailbox;
  auto posted =
    Post(aLink.mQueue, agent_item(agent_query([&](const agent_state& aState) {
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
