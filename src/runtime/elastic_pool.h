// A bounded pool of threads that are created on demand and end when idle.
//
//   elastic_pool pool(options);
//   if (!TrySubmit(pool, task)) { refuse the work }
//   Shutdown(pool);
//
// At most mMaxThreads tasks run and mMaxQueued wait. Shutdown must be called
// before destruction.

#ifndef FOXTAILQUAY_RUNTIME_ELASTIC_POOL_H
#define FOXTAILQUAY_RUNTIME_ELASTIC_POOL_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "runtime/thread.h"

namespace foxtailquay {

struct elastic_pool_options
{
  std::string mName = "pool";
  std::size_t mMaxThreads = 64;
  // Tasks that may wait while all threads are busy.
  std::size_t mMaxQueued = 0;
  // A thread without work for this long ends.
  absl::Duration mIdleTime = absl::Seconds(10);
};

struct elastic_pool
{
  explicit elastic_pool(elastic_pool_options aOptions)
    : mOptions(std::move(aOptions))
  {}

  const elastic_pool_options mOptions;
  absl::Mutex mMutex;
  absl::CondVar mChanged;
  std::deque<std::function<void()>> mTasks;
  std::map<std::uint64_t, posix_thread> mThreads;
  // Threads that have ended and wait to be joined.
  std::vector<posix_thread> mEnded;
  // Tasks that run or wait. There is a thread for each up to mMaxThreads.
  std::size_t mOpen = 0;
  std::uint64_t mNextThread = 0;
  bool mStopping = false;
};

// Any thread. Returns false, without running aTask, if all threads are busy
// and the queue is full, or the pool is stopping.
bool TrySubmit(elastic_pool& aPool, std::function<void()> aTask);

// Threads that exist at the moment. Any thread.
std::size_t CountThreads(elastic_pool& aPool);

// Runs the tasks that wait, then ends all threads. Must not be called from a
// task of the pool.
void Shutdown(elastic_pool& aPool);

} // namespace foxtailquay

#endif
