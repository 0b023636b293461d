#include "runtime/signals.h"

#include <csignal>
#include <utility>

namespace foxtailquay {

namespace {

// Ends the signal thread; it does not stop the process.
constexpr int kEndThreadSignal = SIGUSR1;

// Returns the signals that the signal thread waits for.
sigset_t MakeSignalSet()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigaddset(&set, kEndThreadSignal);
  return set;
}

void RunSignalLoop(const std::function<void(int)>& aOnSignal)
{
  const sigset_t set = MakeSignalSet();
  for (;;) {
    int signal = 0;
    if (sigwait(&set, &signal) != 0) {
      continue;
    }
    if (signal == kEndThreadSignal) {
      return;
    }
    aOnSignal(signal);
  }
}

} // namespace

void BlockSignals()
{
  const sigset_t set = MakeSignalSet();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

result<success> StartSignalThread(signal_thread& aSignals,
                                  std::function<void(int)> aOnSignal)
{
  auto thread = StartThread(
    "signals", [onSignal = std::move(aOnSignal)] { RunSignalLoop(onSignal); });
  if (!IsOk(thread)) {
    return GetError(thread);
  }
  aSignals.mThread = GetValue(thread);
  return success{};
}

void StopSignalThread(signal_thread& aSignals)
{
  if (aSignals.mThread.mJoinable) {
    pthread_kill(aSignals.mThread.mId, kEndThreadSignal);
    Join(aSignals.mThread);
  }
}

} // namespace foxtailquay
