// Handles the stop and reload signals of the process on a separate thread.
//
//   BlockSignals();                    before any other thread starts
//   signal_thread signals;
//   StartSignalThread(signals, [&](int aSignal) { ... });
//   StopSignalThread(signals);

#ifndef FOXTAILQUAY_RUNTIME_SIGNALS_H
#define FOXTAILQUAY_RUNTIME_SIGNALS_H

#include <functional>

#include "runtime/thread.h"

namespace foxtailquay {

struct signal_thread
{
  posix_thread mThread;
};

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in all threads
// that it starts later. Also ignores SIGPIPE, so that a write to a closed
// connection returns an error.
void BlockSignals();

// Starts a thread that calls aOnSignal(signal number) for each SIGTERM, SIGINT
// or SIGHUP. Precondition: BlockSignals was called. Errors: Overloaded if no
// thread is available.
result<success> StartSignalThread(signal_thread& aSignals,
                                  std::function<void(int)> aOnSignal);

// Ends the thread; no effect if it was not started.
void StopSignalThread(signal_thread& aSignals);

} // namespace foxtailquay

#endif
