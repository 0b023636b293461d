// Measures the load of the process.
//
//   process_usage before = MeasureUsage(loop);
//   ... kLoadInterval later, on a timer of the loop ...
//   process_usage after = MeasureUsage(loop);
//   load_measured load = ComputeLoad(limits, before, after);
//
// MeasureUsage must be called on the thread of the loop; ComputeLoad is a pure
// function; ComputeMaxBufferedBytes may be called on any thread.

#ifndef FOXTAILQUAY_DAEMON_PROCESS_LOAD_H
#define FOXTAILQUAY_DAEMON_PROCESS_LOAD_H

#include "absl/time/time.h"
#include "foxtailquay/gateway.h"
#include "transport/event_loop.h"

namespace foxtailquay {

// Interval between two measurements.
constexpr absl::Duration kLoadInterval = absl::Milliseconds(500);

// Limits of the process; 0 if not known.
struct process_limits
{
  // Bytes per second in each direction.
  double mLinkBytes = 0;
  double mConnections = 0;
};

// What the process has used up to a point in time.
struct process_usage
{
  absl::Time mAt;
  loop_totals mTotals;
};

process_usage MeasureUsage(const event_loop& aLoop);

// Returns the number of bytes of requests and responses that a process may hold
// on this machine: a part of its memory. Thread-safe.
std::size_t ComputeMaxBufferedBytes();

// Returns the load between two measurements that a timer of kLoadInterval
// separates.
load_measured ComputeLoad(const process_limits& aLimits,
                          const process_usage& aFrom, const process_usage& aTo);

} // namespace foxtailquay

#endif
