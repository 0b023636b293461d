// Bounded event queue of a control thread.
//
//   control_queue<item> queue{ options };
//   Post(queue, item, event_class::NewWork)          any thread
//   RunControlLoop(queue, onItem, getNextWakeTime)    the control thread
//
// New work is refused while the queue is full. Events that conclude admitted
// work are always accepted, because without them the work would never end.
// Their number is bounded by the open connections and outstanding calls of the
// process.

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
  // Number of queued items from which on new work is refused.
  std::size_t mMaxQueued = 4096;
};

// Decides whether a full queue accepts an event.
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

// Appends aItem to the queue. Any thread. Errors: Overloaded if aItem is new
// work and the queue is full, ShuttingDown if the queue is closed; the item
// is then discarded.
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

// Closes the queue: Post fails from now on, and the control loop returns after
// it has handled the remaining items. Any thread.
template<typename Item>
void Close(control_queue<Item>& aQueue)
{
  absl::MutexLock lock(&aQueue.mMutex);
  aQueue.mClosed = true;
  aQueue.mChanged.SignalAll();
}

// Returns the number of queued items. Any thread.
template<typename Item>
std::size_t GetSize(control_queue<Item>& aQueue)
{
  absl::MutexLock lock(&aQueue.mMutex);
  return aQueue.mItems.size();
}

// Waits until the queue has items, aWakeTime is reached or the queue is
// closed. Removes and returns all queued items, which can be none, and sets
// *aClosed to whether the queue is closed.
template<typename Item>
std::deque<Item> TakeAll(control_queue<Item>& aQueue, absl::Time aWakeTime,
                         bool* aClosed)
{
  absl::MutexLock lock(&aQueue.mMutex);
  while (aQueue.mItems.empty() && !aQueue.mClosed) {
    const absl::Duration remaining = aWakeTime - MonotonicNow();
    if (remaining <= absl::ZeroDuration()) {
      break;
    }
    aQueue.mChanged.WaitWithTimeout(&aQueue.mMutex, remaining);
  }
  *aClosed = aQueue.mClosed;
  std::deque<Item> items;
  items.swap(aQueue.mItems);
  return items;
}

// Handles items on the calling thread until the queue is closed. aOnItem has
// the type void(std::optional<Item>) and is called with each item, and without
// an item when the time that aGetNextWakeTime returns has been reached.
// aGetNextWakeTime has the type absl::Time().
template<typename Item, typename ItemHandler, typename GetNextWakeTime>
void RunControlLoop(control_queue<Item>& aQueue, ItemHandler aOnItem,
                    GetNextWakeTime aGetNextWakeTime)
{
  bool isClosed = false;
  while (!isClosed) {
    std::deque<Item> items = TakeAll(aQueue, aGetNextWakeTime(), &isClosed);
    for (Item& item : items) {
      aOnItem(std::optional<Item>(std::move(item)));
    }
    // Due timers run after each batch of items, so that a queue that is never
    // empty does not delay them.
    if (!isClosed && aGetNextWakeTime() <= MonotonicNow()) {
      aOnItem(std::optional<Item>());
    }
  }
}

} // namespace foxtailquay

#endif
