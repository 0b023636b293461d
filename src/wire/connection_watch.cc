#include "wire/connection_watch.h"

#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace foxtailquay {

namespace {

// The epoll id of mStopEvent; the ids of connections begin at 1.
constexpr std::uint64_t kStopEventId = 0;

bool AddToEpoll(int aEpoll, int aDescriptor, std::uint64_t aId,
                std::uint32_t aEvents)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = aId;
  return epoll_ctl(aEpoll, EPOLL_CTL_ADD, aDescriptor, &event) == 0;
}

void CallOnClosed(connection_watch& aWatch, std::uint64_t aId)
{
  // The mutex is held during the callback, so that RemoveWatch waits for its
  // end.
  absl::MutexLock lock(&aWatch.mMutex);
  const auto found = aWatch.mWatched.find(aId);
  if (found != aWatch.mWatched.end()) {
    const std::function<void()> callback =
      std::exchange(found->second.mOnClosed, nullptr);
    if (callback) {
      callback();
    }
  }
}

void RunWatch(connection_watch& aWatch)
{
  constexpr int kMaxEvents = 64;
  epoll_event events[kMaxEvents];
  for (;;) {
    const int count = epoll_wait(aWatch.mEpoll, events, kMaxEvents, -1);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kStopEventId) {
        return;
      }
      CallOnClosed(aWatch, events[i].data.u64);
    }
  }
}

} // namespace

result<success> StartWatch(connection_watch& aWatch)
{
  aWatch.mEpoll = epoll_create1(EPOLL_CLOEXEC);
  aWatch.mStopEvent = eventfd(0, EFD_CLOEXEC);
  if (aWatch.mEpoll < 0 || aWatch.mStopEvent < 0 ||
      !AddToEpoll(aWatch.mEpoll, aWatch.mStopEvent, kStopEventId, EPOLLIN)) {
    return error{ error_code::Overloaded, executed::No, "",
                  "cannot create the connection watch: no file descriptor left",
                  absl::ZeroDuration() };
  }
  auto thread = StartThread("watch", [&aWatch] { RunWatch(aWatch); });
  if (!IsOk(thread)) {
    return GetError(thread);
  }
  aWatch.mThread = GetValue(thread);
  return success{};
}

std::uint64_t AddWatch(connection_watch& aWatch, int aSocket,
                       std::function<void()> aOnClosed)
{
  absl::MutexLock lock(&aWatch.mMutex);
  const std::uint64_t id = aWatch.mNextId++;
  aWatch.mWatched[id] = { aSocket, std::move(aOnClosed) };
  // One-shot, because epoll would report a closed connection again and again.
  AddToEpoll(aWatch.mEpoll, aSocket, id, EPOLLRDHUP | EPOLLONESHOT);
  return id;
}

void RemoveWatch(connection_watch& aWatch, std::uint64_t aId)
{
  absl::MutexLock lock(&aWatch.mMutex);
  const auto found = aWatch.mWatched.find(aId);
  if (found != aWatch.mWatched.end()) {
    epoll_ctl(aWatch.mEpoll, EPOLL_CTL_DEL, found->second.mSocket, nullptr);
    aWatch.mWatched.erase(found);
  }
}

void StopWatch(connection_watch& aWatch)
{
  if (aWatch.mThread.mJoinable) {
    const std::uint64_t one = 1;
    (void)!write(aWatch.mStopEvent, &one, sizeof(one));
    Join(aWatch.mThread);
  }
  for (int* descriptor : { &aWatch.mEpoll, &aWatch.mStopEvent }) {
    if (*descriptor >= 0) {
      close(*descriptor);
      *descriptor = -1;
    }
  }
}

} // namespace foxtailquay
