// Takes the process's stop and reload signals on one thread of its own.
//
//   BlockStopSignals();                before any other thread starts
//   signal_thread signals;
//   StartSignals(signals, [&](int aSignal) { ... });
//   StopSignals(signals);

#ifndef FOXTAILQUAY_RUNTIME_SIGNALS_H
#define FOXTAILQUAY_RUNTIME_SIGNALS_H

#include <functional>

#include "runtime/thread.h"

namespace foxtailquay {

struct signal_thread
{
  posix_thread mThread;
};

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and all it starts
// later, and ignores SIGPIPE, so that a write to a closed connection is an
// error return.
void BlockStopSignals();

// Calls aOnSignal(signal number) for each of these signals. Precondition:
// BlockStopSignals was called. Errors: Overloaded if no thread is available.
result<success> StartSignals(signal_thread& aSignals,
                             std::function<void(int)> aOnSignal);

void StopSignals(signal_thread& aSignals);

} // namespace foxtailquay

#endif
