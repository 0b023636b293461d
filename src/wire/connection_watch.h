// Calls back when a peer closes its connection. One thread waits in epoll for
// all watched connections.
//
//   connection_watch watch;
//   StartWatch(watch);
//   std::uint64_t id = AddWatch(watch, socket, [&] { ... });
//   RemoveWatch(watch, id);            before the socket is closed
//   StopWatch(watch);
//
// AddWatch and RemoveWatch are safe on any thread.

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
  // Empty once it was called.
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

// Starts the thread. Errors: Overloaded if the system has no file descriptor
// or thread left.
result<success> StartWatch(connection_watch& aWatch);

// Watches a socket and returns the id of the watch. aOnClosed is called at
// most once, on the watch's thread and with its mutex held: it must be short
// and must not call functions of the watch.
std::uint64_t AddWatch(connection_watch& aWatch, int aSocket,
                       std::function<void()> aOnClosed);

// Ends a watch. After it returns, the callback is not running and is not
// called again. Must not be called from a callback.
void RemoveWatch(connection_watch& aWatch, std::uint64_t aId);

// Ends the thread. Does nothing if it was not started.
void StopWatch(connection_watch& aWatch);

} // namespace foxtailquay

#endif
