// The clock that a process uses for all times: the wall-clock time of the
// first call plus the monotonic time since then, so that it never goes
// backwards.

#ifndef FOXTAILQUAY_RUNTIME_CLOCK_H
#define FOXTAILQUAY_RUNTIME_CLOCK_H

#include "absl/time/time.h"

namespace foxtailquay {

// Returns the current time. Any thread.
absl::Time MonotonicNow();

} // namespace foxtailquay

#endif
