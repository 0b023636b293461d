#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <thread>

namespace foxtailquay {

namespace {

using steady = std::chrono::steady_clock;

error MakeError(const std::string& aDetail)
{
  return error{
    error_code::Internal, executed::No, {}, aDetail, absl::ZeroDuration()
  };
}

std::string GetProgramFolder()
{
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

// Executes the program in the child process. Between fork and exec, only
// async-signal-safe functions may be called.
[[noreturn]] void ExecuteProgram(int aLog, pid_t aParent,
                                 char* const* aArguments)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(126);
  }
  dup2(aLog, STDOUT_FILENO);
  dup2(aLog, STDERR_FILENO);
  execv(aArguments[0], aArguments);
  _exit(127);
}

} // namespace

bool AwaitCondition(const std::function<bool()>& aCondition, int aSeconds)
{
  const auto end = steady::now() + std::chrono::seconds(aSeconds);
  while (!aCondition()) {
    if (steady::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

result<success> Start(child_process& aChild)
{
  const std::string program = GetProgramFolder() + "/" + aChild.mArguments[0];
  std::vector<char*> arguments{ const_cast<char*>(program.c_str()) };
  for (std::size_t i = 1; i < aChild.mArguments.size(); ++i) {
    arguments.push_back(const_cast<char*>(aChild.mArguments[i].c_str()));
  }
  arguments.push_back(nullptr);
  const int log = open(aChild.mLogFile.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = getpid();
  aChild.mPid = log < 0 ? -1 : fork();
  if (aChild.mPid == 0) {
    ExecuteProgram(log, parent, arguments.data());
  }
  close(log);
  if (aChild.mPid < 0) {
    return MakeError("cannot start " + aChild.mName);
  }
  return success{};
}

void Signal(const child_process& aChild, int aSignal)
{
  if (aChild.mPid > 0) {
    kill(aChild.mPid, aSignal);
  }
}

int AwaitExit(child_process& aChild, int aSeconds)
{
  if (aChild.mPid <= 0) {
    return -1;
  }
  int status = 0;
  const bool ended = AwaitCondition(
    [&] { return waitpid(aChild.mPid, &status, WNOHANG) == aChild.mPid; },
    aSeconds);
  if (!ended) {
    Kill(aChild);
    return -1;
  }
  aChild.mPid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool HasEnded(child_process& aChild)
{
  if (aChild.mPid > 0 &&
      waitpid(aChild.mPid, nullptr, WNOHANG) == aChild.mPid) {
    aChild.mPid = -1;
  }
  return aChild.mPid <= 0;
}

void Kill(child_process& aChild)
{
  if (aChild.mPid > 0) {
    kill(aChild.mPid, SIGKILL);
    waitpid(aChild.mPid, nullptr, 0);
    aChild.mPid = -1;
  }
}

} // namespace foxtailquay
