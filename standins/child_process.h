// Starts and stops programs as child processes, for the demo and the tests with
// real processes.
//
// A child is used from the thread that started it only. That thread must
// outlive the child: the kernel kills a child when the thread that started it
// ends, so that no process is left over.

#ifndef STANDINS_CHILD_PROCESS_H
#define STANDINS_CHILD_PROCESS_H

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "foxtailquay/result.h"

namespace foxtailquay {

// Waits until aCondition is true, for at most aSeconds. Returns whether it
// became true. Checks every 20 ms, since other processes send no notification.
bool AwaitCondition(const std::function<bool()>& aCondition, int aSeconds = 60);

struct child_process
{
  // Name in error messages.
  std::string mName;
  // Program, in the folder of the running program, and its arguments.
  std::vector<std::string> mArguments;
  // -1 if the process is not running.
  pid_t mPid = -1;
  // Standard output and error are appended here.
  std::string mLogFile;
};

// Starts the process. Errors: Internal if it cannot be started.
result<success> Start(child_process& aChild);
// Sends aSignal to the process unless it has ended.
void Signal(const child_process& aChild, int aSignal);
// Waits until the process ends. Returns its exit code, or 128 + the signal that
// ended it. Kills the process and returns -1 if it has not ended after
// aSeconds.
int AwaitExit(child_process& aChild, int aSeconds = 60);
// Returns whether the process has ended, without waiting.
bool HasEnded(child_process& aChild);
// Sends SIGKILL and waits until the process has ended.
void Kill(child_process& aChild);

} // namespace foxtailquay

#endif
