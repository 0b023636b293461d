// Takes the process's stop signals on one thread of its own.
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

// Blocks SIGTERM and SIGINT in the calling thread and all it starts later, and
// ignores SIGPIPE, so that a write to a closed connection is an error return.
void BlockStopSignals();

// Calls aOnStop(signal number) for each SIGTERM and SIGINT. Precondition:
// BlockStopSignals was called. Errors: Overloaded if no thread is available.
result<success> StartSignals(signal_thread& aSignals,
                             std::function<void(int)> aOnStop);

void StopSignals(signal_thread& aSignals);

} // namespace foxtailquay

#endif
