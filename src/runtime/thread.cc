#include "runtime/thread.h"

#include <memory>
#include <utility>

namespace foxtailquay {

namespace {

struct thread_start
{
  std::string mName;
  std::function<void()> mBody;
};

void* RunBody(void* aStart)
{
  const std::unique_ptr<thread_start> start(static_cast<thread_start*>(aStart));
  pthread_setname_np(pthread_self(), start->mName.c_str());
  start->mBody();
  return nullptr;
}

} // namespace

result<posix_thread> StartThread(const std::string& aName,
                                 std::function<void()> aBody)
{
  // Linux limits a thread name to 15 characters and a terminating zero.
  auto start = std::make_unique<thread_start>(
    thread_start{ aName.substr(0, 15), std::move(aBody) });
  posix_thread thread;
  if (pthread_create(&thread.mId, nullptr, &RunBody, start.get()) != 0) {
    return error{ error_code::Overloaded, executed::No, "",
                  "cannot create a thread", absl::ZeroDuration() };
  }
  // The new thread has taken ownership of the object.
  (void)start.release();
  thread.mJoinable = true;
  return thread;
}

void Join(posix_thread& aThread)
{
  if (aThread.mJoinable) {
    pthread_join(aThread.mId, nullptr);
    aThread.mJoinable = false;
  }
}

} // namespace foxtailquay
