#include "daemon/process_load.h"

#include <algorithm>

#include <unistd.h>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

// Delay of the timer from which the traffic thread counts as fully loaded. A
// process whose share of a core is granted in slices of a tenth of a second is
// delayed by less while it has spare time.
constexpr absl::Duration kMaxTimerDelay = absl::Milliseconds(150);

// Part of the machine's memory for requests and responses in transit. The
// buffers that hold them may be twice as large.
constexpr std::size_t kBufferedFraction = 8;

double ComputeFraction(double aUsed, double aLimit)
{
  return aLimit > 0 ? aUsed / aLimit : 0;
}

} // namespace

process_usage MeasureUsage(const event_loop& aLoop)
{
  return { MonotonicNow(), GetTotals(aLoop) };
}

std::size_t ComputeMaxBufferedBytes()
{
  const auto pages = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES));
  const auto pageBytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return pages * pageBytes / kBufferedFraction;
}

load_measured ComputeLoad(const process_limits& aLimits,
                          const process_usage& aFrom, const process_usage& aTo)
{
  const absl::Duration elapsed = aTo.mAt - aFrom.mAt;
  const loop_totals& before = aFrom.mTotals;
  const loop_totals& after = aTo.mTotals;
  const auto bytes =
    static_cast<double>(std::max(after.mSentBytes - before.mSentBytes,
                                 after.mReceivedBytes - before.mReceivedBytes));
  load_measured load;
  load.mDelay = absl::FDivDuration(elapsed - kLoadInterval, kMaxTimerDelay);
  load.mLink =
    ComputeFraction(bytes, aLimits.mLinkBytes * absl::ToDoubleSeconds(elapsed));
  load.mConnections = ComputeFraction(static_cast<double>(after.mOpenChannels),
                                      aLimits.mConnections);
  return load;
}

} // namespace foxtailquay
