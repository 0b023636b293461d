// Starts programs as child processes and ends them, for the demo and the
// real-process tests.
//
// A child is used from one thread, which must be the thread that started it
// and must outlive it: the kernel ends a child with the thread that started
// it, so that none is left behind.

#ifndef STANDINS_CHILD_PROCESS_H
#define STANDINS_CHILD_PROCESS_H

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "foxtailquay/result.h"

namespace foxtailquay {

// Calls aCondition until it is true, for at most aSeconds. Other processes
// offer no signal to wait for, so this asks every 20 ms.
bool AwaitCondition(const std::function<bool()>& aCondition, int aSeconds = 60);

struct child_process
{
  std::string mName;
  std::vector<std::string> mArguments;
  pid_t mPid = -1;
  // Standard output and error are appended here.
  std::string mLogFile;
};

// Starts mArguments[0], a program beside this one. Errors: Internal.
result<success> Start(child_process& aChild);
// Sends a signal if the process has not ended.
void Signal(const child_process& aChild, int aSignal);
// Waits until the process ends and returns its exit code, or 128 + signal.
// Kills it and returns -1 if it has not ended after aSeconds.
int AwaitExit(child_process& aChild, int aSeconds = 60);
// SIGKILL, and waits.
void Kill(child_process& aChild);

} // namespace foxtailquay

#endif
