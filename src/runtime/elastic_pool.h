// Bounded thread pool whose threads are created on demand and end when idle.
//
//   elastic_pool pool(options);
//   if (!TrySubmit(pool, task)) { refuse the work }
//   StopPool(pool);
//
// At most mMaxThreads tasks run and at most mMaxQueued wait. StopPool must be
// called before destruction.

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
  // Maximum number of tasks that wait while all threads are busy.
  std::size_t mMaxQueued = 0;
  // Time without a task after which a thread ends.
  absl::Duration mIdleTimeout = absl::Seconds(10);
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
  // Threads that have ended and have not been joined.
  std::vector<posix_thread> mEndedThreads;
  // Tasks that are running or waiting. There is a thread for each of them, up
  // to mMaxThreads threads.
  std::size_t mTaskCount = 0;
  std::uint64_t mNextThreadNumber = 0;
  bool mStopping = false;
};

// Queues aTask. Any thread. Returns false, and discards aTask, if all threads
// are busy and the queue is full, if the pool is stopping, or if there is no
// thread and none can be created.
bool TrySubmit(elastic_pool& aPool, std::function<void()> aTask);

// Returns the current number of threads. Any thread.
std::size_t CountThreads(elastic_pool& aPool);

// Runs the waiting tasks, then ends all threads. Precondition: the calling
// thread does not belong to the pool.
void StopPool(elastic_pool& aPool);

} // namespace foxtailquay

#endif
