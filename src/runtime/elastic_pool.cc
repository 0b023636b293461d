#include "runtime/elastic_pool.h"

#include <utility>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

// Waits for a task up to the idle time. Returns an empty function if the
// thread should end. Precondition: mMutex is held.
std::function<void()> NextTask(elastic_pool& aPool)
  ABSL_EXCLUSIVE_LOCKS_REQUIRED(aPool.mMutex)
{
  const absl::Time until = MonotonicNow() + aPool.mOptions.mIdleTime;
  while (aPool.mTasks.empty() && !aPool.mStopping) {
    const absl::Duration left = until - MonotonicNow();
    if (left <= absl::ZeroDuration()) {
      break;
    }
    aPool.mChanged.WaitWithTimeout(&aPool.mMutex, left);
  }
  if (aPool.mTasks.empty()) {
    return nullptr;
  }
  std::function<void()> task = std::move(aPool.mTasks.front());
  aPool.mTasks.pop_front();
  return task;
}

void RunThread(elastic_pool& aPool, std::uint64_t aNumber)
{
  for (;;) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&aPool.mMutex);
      task = NextTask(aPool);
      if (!task) {
        const auto self = aPool.mThreads.find(aNumber);
        aPool.mEnded.push_back(self->second);
        aPool.mThreads.erase(self);
        aPool.mChanged.SignalAll();
        return;
      }
    }
    task();
    // Frees what the task holds before it counts as done.
    task = nullptr;
    absl::MutexLock lock(&aPool.mMutex);
    --aPool.mOpen;
  }
}

void JoinAll(std::vector<posix_thread> aThreads)
{
  for (posix_thread& thread : aThreads) {
    Join(thread);
  }
}

// Precondition: mMutex is held, so that the new thread cannot end before it
// is in mThreads.
bool AddThread(elastic_pool& aPool) ABSL_EXCLUSIVE_LOCKS_REQUIRED(aPool.mMutex)
{
  const std::uint64_t number = aPool.mNextThread++;
  auto thread = StartThread(aPool.mOptions.mName,
                            [&aPool, number] { RunThread(aPool, number); });
  if (!IsOk(thread)) {
    return false;
  }
  aPool.mThreads[number] = GetValue(thread);
  return true;
}

} // namespace

bool TrySubmit(elastic_pool& aPool, std::function<void()> aTask)
{
  std::vector<posix_thread> ended;
  {
    absl::MutexLock lock(&aPool.mMutex);
    if (aPool.mStopping) {
      return false;
    }
    const auto& options = aPool.mOptions;
    if (aPool.mOpen >= options.mMaxThreads + options.mMaxQueued) {
      return false;
    }
    if (aPool.mOpen >= aPool.mThreads.size() &&
        aPool.mThreads.size() < options.mMaxThreads && !AddThread(aPool) &&
        aPool.mThreads.empty()) {
      return false;
    }
    ++aPool.mOpen;
    aPool.mTasks.push_back(std::move(aTask));
    aPool.mChanged.Signal();
    ended.swap(aPool.mEnded);
  }
  JoinAll(std::move(ended));
  return true;
}

std::size_t CountThreads(elastic_pool& aPool)
{
  absl::MutexLock lock(&aPool.mMutex);
  return aPool.mThreads.size();
}

void Shutdown(elastic_pool& aPool)
{
  std::vector<posix_thread> ended;
  {
    absl::MutexLock lock(&aPool.mMutex);
    aPool.mStopping = true;
    aPool.mChanged.SignalAll();
    while (!aPool.mThreads.empty()) {
      aPool.mChanged.Wait(&aPool.mMutex);
    }
    ended.swap(aPool.mEnded);
  }
  JoinAll(std::move(ended));
}

} // namespace foxtailquay
