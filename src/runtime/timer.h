// Runs callbacks at given times on one thread of its own.
//
//   timer timer;
//   StartTimer(timer);
//   timer_id id = Schedule(timer, MonotonicNow() + timeout, [&] { Stop(call);
//   }); Cancel(timer, id); StopTimer(timer);
//
// Callbacks must be short: they delay each other.

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

using timer_id = std::pair<absl::Time, std::uint64_t>;

struct timer
{
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::map<timer_id, std::function<void()>> mEntries;
  std::uint64_t mNextNumber = 1;
  // The entry whose callback is running; number 0 if none is.
  timer_id mRunning{ absl::InfinitePast(), 0 };
  bool mStopping = false;
  posix_thread mThread;
};

// Errors: Overloaded if no thread is available.
result<success> StartTimer(timer& aTimer);

// Any thread.
timer_id Schedule(timer& aTimer, absl::Time aWhen,
                  std::function<void()> aCallback);

// Any thread but the timer's. After the return the callback neither runs nor
// will run.
void Cancel(timer& aTimer, const timer_id& aId);

// Drops all entries and ends the thread.
void StopTimer(timer& aTimer);

} // namespace foxtailquay

#endif
