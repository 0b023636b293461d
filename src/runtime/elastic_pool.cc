#include "runtime/elastic_pool.h"

#include <utility>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

// Waits for a task, at most for the idle timeout. Returns an empty function if
// the thread must end.
std::function<void()> AwaitTask(elastic_pool& aPool)
  ABSL_EXCLUSIVE_LOCKS_REQUIRED(aPool.mMutex)
{
  const absl::Time idleDeadline = MonotonicNow() + aPool.mOptions.mIdleTimeout;
  while (aPool.mTasks.empty() && !aPool.mStopping) {
    const absl::Duration remaining = idleDeadline - MonotonicNow();
    if (remaining <= absl::ZeroDuration()) {
      break;
    }
    aPool.mChanged.WaitWithTimeout(&aPool.mMutex, remaining);
  }
  if (aPool.mTasks.empty()) {
    return nullptr;
  }
  std::function<void()> task = std::move(aPool.mTasks.front());
  aPool.mTasks.pop_front();
  return task;
}

void RunWorker(elastic_pool& aPool, std::uint64_t aNumber)
{
  for (;;) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&aPool.mMutex);
      task = AwaitTask(aPool);
      if (!task) {
        const auto self = aPool.mThreads.find(aNumber);
        aPool.mEndedThreads.push_back(self->second);
        aPool.mThreads.erase(self);
        aPool.mChanged.SignalAll();
        return;
      }
    }
    task();
    // Destroys the task, with the objects that it holds, before the task is
    // counted as finished.
    task = nullptr;
    absl::MutexLock lock(&aPool.mMutex);
    --aPool.mTaskCount;
  }
}

void JoinAll(std::vector<posix_thread> aThreads)
{
  for (posix_thread& thread : aThreads) {
    Join(thread);
  }
}

// Returns false if no thread can be created. The mutex is held so that the new
// thread cannot end before it is in mThreads.
bool StartWorker(elastic_pool& aPool)
  ABSL_EXCLUSIVE_LOCKS_REQUIRED(aPool.mMutex)
{
  const std::uint64_t number = aPool.mNextThreadNumber++;
  auto thread = StartThread(aPool.mOptions.mName,
                            [&aPool, number] { RunWorker(aPool, number); });
  if (!IsOk(thread)) {
    return false;
  }
  aPool.mThreads[number] = GetValue(thread);
  return true;
}

} // namespace

bool TrySubmit(elastic_pool& aPool, std::function<void()> aTask)
{
  std::vector<posix_thread> endedThreads;
  {
    absl::MutexLock lock(&aPool.mMutex);
    if (aPool.mStopping) {
      return false;
    }
    const auto& options = aPool.mOptions;
    if (aPool.mTaskCount >= options.mMaxThreads + options.mMaxQueued) {
      return false;
    }
    if (aPool.mTaskCount >= aPool.mThreads.size() &&
        aPool.mThreads.size() < options.mMaxThreads && !StartWorker(aPool) &&
        aPool.mThreads.empty()) {
      return false;
    }
    ++aPool.mTaskCount;
    aPool.mTasks.push_back(std::move(aTask));
    aPool.mChanged.Signal();
    endedThreads.swap(aPool.mEndedThreads);
  }
  JoinAll(std::move(endedThreads));
  return true;
}

std::size_t CountThreads(elastic_pool& aPool)
{
  absl::MutexLock lock(&aPool.mMutex);
  return aPool.mThreads.size();
}

void StopPool(elastic_pool& aPool)
{
  std::vector<posix_thread> endedThreads;
  {
    absl::MutexLock lock(&aPool.mMutex);
    aPool.mStopping = true;
    aPool.mChanged.SignalAll();
    while (!aPool.mThreads.empty()) {
      aPool.mChanged.Wait(&aPool.mMutex);
    }
    endedThreads.swap(aPool.mEndedThreads);
  }
  JoinAll(std::move(endedThreads));
}

} // namespace foxtailquay
