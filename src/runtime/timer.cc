#include "runtime/timer.h"

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

void RunTimer(timer& aTimer)
{
  absl::MutexLock lock(&aTimer.mMutex);
  while (!aTimer.mStopping) {
    if (aTimer.mEntries.empty()) {
      aTimer.mChanged.Wait(&aTimer.mMutex);
      continue;
    }
    const auto first = aTimer.mEntries.begin();
    const absl::Duration remaining = first->first.first - MonotonicNow();
    if (remaining > absl::ZeroDuration()) {
      aTimer.mChanged.WaitWithTimeout(&aTimer.mMutex, remaining);
      continue;
    }
    const std::function<void()> callback = std::move(first->second);
    aTimer.mRunningId = first->first;
    aTimer.mEntries.erase(first);
    aTimer.mMutex.Unlock();
    callback();
    aTimer.mMutex.Lock();
    aTimer.mRunningId = { absl::InfinitePast(), 0 };
    aTimer.mChanged.SignalAll();
  }
}

} // namespace

result<success> StartTimer(timer& aTimer)
{
  auto thread = StartThread("timer", [&aTimer] { RunTimer(aTimer); });
  if (!IsOk(thread)) {
    return GetError(thread);
  }
  aTimer.mThread = GetValue(thread);
  return success{};
}

timer_id Schedule(timer& aTimer, absl::Time aStartAt,
                  std::function<void()> aCallback)
{
  absl::MutexLock lock(&aTimer.mMutex);
  const timer_id id{ aStartAt, aTimer.mNextEntryNumber++ };
  aTimer.mEntries[id] = std::move(aCallback);
  aTimer.mChanged.SignalAll();
  return id;
}

void Cancel(timer& aTimer, const timer_id& aId)
{
  absl::MutexLock lock(&aTimer.mMutex);
  aTimer.mEntries.erase(aId);
  while (aTimer.mRunningId == aId) {
    aTimer.mChanged.Wait(&aTimer.mMutex);
  }
}

void StopTimer(timer& aTimer)
{
  {
    absl::MutexLock lock(&aTimer.mMutex);
    aTimer.mStopping = true;
    aTimer.mEntries.clear();
    aTimer.mChanged.SignalAll();
  }
  Join(aTimer.mThread);
}

} // namespace foxtailquay
