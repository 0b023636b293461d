// POSIX threads with a name.
//
//   result<posix_thread> thread = StartThread("control", [&] { Run(host); });
//   Join(GetValue(thread));
//
// A posix_thread must be joined before it is destroyed.

#ifndef FOXTAILQUAY_RUNTIME_THREAD_H
#define FOXTAILQUAY_RUNTIME_THREAD_H

#include <functional>
#include <string>

#include <pthread.h>

#include "foxtailquay/result.h"

namespace foxtailquay {

struct posix_thread
{
  pthread_t mId = 0;
  bool mJoinable = false;
};

// Runs aBody on a new thread. The thread's name is the first 15 characters of
// aName. Errors: Overloaded if the system cannot create another thread.
result<posix_thread> StartThread(const std::string& aName,
                                 std::function<void()> aBody);

// Waits until the thread has ended. No effect on a thread that was never
// started or has already been joined.
void Join(posix_thread& aThread);

} // namespace foxtailquay

#endif
