// The one clock of a process: wall-clock time at the start plus monotonic
// time since then, so that it never goes backwards.

#ifndef FOXTAILQUAY_RUNTIME_CLOCK_H
#define FOXTAILQUAY_RUNTIME_CLOCK_H

#include "absl/time/time.h"

namespace foxtailquay {

// Safe on any thread.
absl::Time MonotonicNow();

} // namespace foxtailquay

#endif
