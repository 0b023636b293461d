// Runs callbacks at given times on a separate thread.
//
//   timer timer;
//   StartTimer(timer);
//   timer_id id = Schedule(timer, startAt, callback);
//   Cancel(timer, id);
//   StopTimer(timer);
//
// Callbacks must be short, because a running callback delays the others.

#ifndef FOXTAILQUAY_RUNTIME_TIMER_H
#define FOXTAILQUAY_RUNTIME_TIMER_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "runtime/thread.h"

namespace foxtailquay {

// Start time and number of an entry; the number makes it unique.
using timer_id = std::pair<absl::Time, std::uint64_t>;

struct timer
{
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::map<timer_id, std::function<void()>> mEntries;
  std::uint64_t mNextEntryNumber = 1;
  // Entry whose callback is running; its number is 0 if none is.
  timer_id mRunningId{ absl::InfinitePast(), 0 };
  bool mStopping = false;
  posix_thread mThread;
};

// Starts the timer's thread. Errors: Overloaded if no thread is available.
result<success> StartTimer(timer& aTimer);

// Runs aCallback once at aStartAt, or as soon as possible if that has passed.
// Any thread.
timer_id Schedule(timer& aTimer, absl::Time aStartAt,
                  std::function<void()> aCallback);

// Removes an entry; if its callback is running, waits until it has ended. The
// callback does not run after the return. Any thread except the timer's.
void Cancel(timer& aTimer, const timer_id& aId);

// Removes all entries, waits for a running callback and ends the thread. Any
// thread except the timer's.
void StopTimer(timer& aTimer);

} // namespace foxtailquay

#endif
