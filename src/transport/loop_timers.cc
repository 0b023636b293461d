// Timers of the event loop.

#include <algorithm>

#include "runtime/clock.h"
#include "transport/event_loop_impl.h"

namespace foxtailquay {

namespace {

void ArmWakeTimer(event_loop& aLoop);

// Calls the callbacks of all timers that are due.
void AdvanceTimers(event_loop& aLoop)
{
  auto& impl = *aLoop.mImpl;
  impl.mWakeAt = absl::InfiniteFuture();
  while (!impl.mTimers.empty() &&
         impl.mTimers.begin()->first.first <= MonotonicNow()) {
    const auto callback = std::move(impl.mTimers.begin()->second);
    impl.mTimerDeadlines.erase(impl.mTimers.begin()->first.second);
    impl.mTimers.erase(impl.mTimers.begin());
    callback();
  }
  ArmWakeTimer(aLoop);
}

// Sets mWakeTimer to the next timer if it is due before mWakeAt.
void ArmWakeTimer(event_loop& aLoop)
{
  auto& impl = *aLoop.mImpl;
  if (impl.mTimers.empty() ||
      impl.mTimers.begin()->first.first >= impl.mWakeAt) {
    return;
  }
  impl.mWakeAt = impl.mTimers.begin()->first.first;
  impl.mWakeTimer.expires_after(absl::ToChronoNanoseconds(
    std::max(absl::ZeroDuration(), impl.mWakeAt - MonotonicNow())));
  impl.mWakeTimer.async_wait([&aLoop](const loop_failure& aFailure) {
    if (!aFailure) {
      AdvanceTimers(aLoop);
    }
  });
}

} // namespace

std::uint64_t StartTimer(event_loop& aLoop, absl::Duration aDelay,
                         std::function<void()> aCallback)
{
  auto& impl = *aLoop.mImpl;
  const std::uint64_t number = impl.mNextId++;
  const absl::Time when = MonotonicNow() + aDelay;
  impl.mTimers[{ when, number }] = std::move(aCallback);
  impl.mTimerDeadlines[number] = when;
  ArmWakeTimer(aLoop);
  return number;
}

void CancelTimer(event_loop& aLoop, std::uint64_t aTimer)
{
  auto& impl = *aLoop.mImpl;
  const auto found = impl.mTimerDeadlines.find(aTimer);
  if (found != impl.mTimerDeadlines.end()) {
    impl.mTimers.erase({ found->second, aTimer });
    impl.mTimerDeadlines.erase(found);
  }
}

} // namespace foxtailquay
