#include "runtime/signals.h"

#include <csignal>
#include <utility>

namespace foxtailquay {

namespace {

// Ends the signal thread itself; not a stop signal for the process.
constexpr int kEndThread = SIGUSR1;

sigset_t StopSet()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigaddset(&set, kEndThread);
  return set;
}

void WaitForSignals(const std::function<void(int)>& aOnSignal)
{
  const sigset_t set = StopSet();
  for (;;) {
    int signal = 0;
    if (sigwait(&set, &signal) != 0) {
      continue;
    }
    if (signal == kEndThread) {
      return;
    }
    aOnSignal(signal);
  }
}

} // namespace

void BlockStopSignals()
{
  const sigset_t set = StopSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

result<success> StartSignals(signal_thread& aSignals,
                             std::function<void(int)> aOnSignal)
{
  auto thread = StartThread(
    "signals", [onSignal = std::move(aOnSignal)] { WaitForSignals(onSignal); });
  if (!IsOk(thread)) {
    return GetError(thread);
  }
  aSignals.mThread = GetValue(thread);
  return success{};
}

void StopSignals(signal_thread& aSignals)
{
  if (aSignals.mThread.mJoinable) {
    pthread_kill(aSignals.mThread.mId, kEndThread);
    Join(aSignals.mThread);
  }
}

} // namespace foxtailquay
