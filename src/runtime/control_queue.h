// The bounded queue in front of a control thread.
//
//   control_queue<item> queue(options);
//   Post(queue, item, event_class::NewWork)       any thread
//   RunControlLoop(queue, handle, nextWake)       the control thread
//
// New work is refused when the queue is full. Events that conclude work that
// was admitted before are always taken, because dropping one would leave the
// node waiting for ever; their number is bounded by the open connections and
// outstanding calls of the process.

#ifndef FOXTAILQUAY_RUNTIME_CONTROL_QUEUE_H
#define FOXTAILQUAY_RUNTIME_CONTROL_QUEUE_H

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "foxtailquay/result.h"
#include "runtime/clock.h"

namespace foxtailquay {

struct control_queue_options
{
  // New work is refused beyond this many waiting events.
  std::size_t mMaxQueued = 4096;
};

enum class event_class
{
  NewWork,
  Conclusion,
};

constexpr auto NameTable(event_class)
{
  return MakeNameTable<event_class>(
    { { event_class::NewWork, "new_work" },
      { event_class::Conclusion, "conclusion" } });
}

template<typename Item>
struct control_queue
{
  control_queue_options mOptions;
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::deque<Item> mItems;
  bool mClosed = false;
};

// Any thread. Errors: Overloaded if aItem is new work and the queue is full,
// ShuttingDown if it is closed. A refused item has no effect.
template<typename Item>
result<success> Post(control_queue<Item>& aQueue, Item aItem,
                     event_class aClass)
{
  absl::MutexLock lock(&aQueue.mMutex);
  if (aQueue.mClosed) {
    return error{ error_code::ShuttingDown, executed::No, "",
                  "the process is stopping", absl::ZeroDuration() };
  }
  if (aClass == event_class::NewWork &&
      aQueue.mItems.size() >= aQueue.mOptions.mMaxQueued) {
    return error{ error_code::Overloaded, executed::No, "",
                  "the control queue is full", absl::Seconds(1) };
  }
  aQueue.mItems.push_back(std::move(aItem));
  aQueue.mChanged.Signal();
  return success{};
}

// Closes the queue: Post is refused from now on and the control loop returns.
template<typename Item>
void Close(control_queue<Item>& aQueue)
{
  absl::MutexLock lock(&aQueue.mMutex);
  aQueue.mClosed = true;
  aQueue.mChanged.SignalAll();
}

template<typename Item>
std::size_t GetSize(control_queue<Item>& aQueue)
{
  absl::MutexLock lock(&aQueue.mMutex);
  return aQueue.mItems.size();
}

// Waits until items arrive, aWakeTime is reached or the queue is closed, and
// returns all items that wait (none at aWakeTime).
template<typename Item>
std::deque<Item> TakeAll(control_queue<Item>& aQueue, absl::Time aWakeTime,
                         bool* aClosed)
{
  absl::MutexLock lock(&aQueue.mMutex);
  while (aQueue.mItems.empty() && !aQueue.mClosed) {
    const absl::Duration left = aWakeTime - MonotonicNow();
    if (left <= absl::ZeroDuration()) {
      break;
    }
    aQueue.mChanged.WaitWithTimeout(&aQueue.mMutex, left);
  }
  *aClosed = aQueue.mClosed;
  std::deque<Item> items;
  items.swap(aQueue.mItems);
  return items;
}

// Runs on the control thread until the queue is closed. aHandle is
// void(std::optional<Item>), called without an item when aGetNextWakeTime,
// which is absl::Time(), has come.
template<typename Item, typename Handle, typename GetNextWakeTime>
void RunControlLoop(control_queue<Item>& aQueue, Handle aHandle,
                    GetNextWakeTime aGetNextWakeTime)
{
  bool closed = false;
  while (!closed) {
    std::deque<Item> items = TakeAll(aQueue, aGetNextWakeTime(), &closed);
    for (Item& item : items) {
      aHandle(std::optional<Item>(std::move(item)));
    }
    // A full queue must not keep the node's timers from running.
    if (!closed && aGetNextWakeTime() <= MonotonicNow()) {
      aHandle(std::optional<Item>());
    }
  }
}

} // namespace foxtailquay

#endif
