// Notices that the other side has closed a connection, for many connections
// with one thread that waits in epoll.
//
//   connection_watch watch;
//   StartWatch(watch);
//   std::uint64_t id = AddWatch(watch, socket, [&] { ... });
//   RemoveWatch(watch, id);            before the socket is closed
//   StopWatch(watch);

#ifndef FOXTAILQUAY_WIRE_CONNECTION_WATCH_H
#define FOXTAILQUAY_WIRE_CONNECTION_WATCH_H

#include <cstdint>
#include <functional>
#include <map>

#include "absl/synchronization/mutex.h"
#include "runtime/thread.h"

namespace foxtailquay {

struct watched_connection
{
  int mSocket = -1;
  std::function<void()> mOnClosed;
};

struct connection_watch
{
  absl::Mutex mMutex;
  std::map<std::uint64_t, watched_connection> mWatched;
  std::uint64_t mNextId = 1;
  int mEpoll = -1;
  int mStopEvent = -1;
  posix_thread mThread;
};

// Errors: Overloaded if the system has no descriptor or thread left.
result<success> StartWatch(connection_watch& aWatch);

// Calls aOnClosed at most once. It must be short and must not use the watch.
std::uint64_t AddWatch(connection_watch& aWatch, int aSocket,
                       std::function<void()> aOnClosed);

// After the return the callback neither runs nor will run. Must not be called
// from a callback.
void RemoveWatch(connection_watch& aWatch, std::uint64_t aId);

void StopWatch(connection_watch& aWatch);

} // namespace foxtailquay

#endif
