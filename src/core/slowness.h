// How long work takes on a backend server now, as the server states it.
//
//   RecordSlowness(slowness, stated, now);
//   work += EstimateSlowdown(slowness, work, period, now);
//
// A server is slow for short times, so what it stated loses its meaning soon. A
// statement changes an estimate by at most the time for which it is expected to
// hold. All functions take constant time. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_SLOWNESS_H
#define FOXTAILQUAY_CORE_SLOWNESS_H

#include "absl/time/time.h"

namespace foxtailquay {

// Range of the factors that are taken into account. A factor beyond it is a
// false statement, or leaves the server no work in either case.
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 10;

struct stated_slowness
{
  // Time that work takes, as a multiple of its usual time.
  double mFactor = 1;
  absl::Time mStatedAt = absl::InfinitePast();
};

// Records a statement that was received at aNow.
void RecordSlowness(stated_slowness& aSlowness, double aFactor,
                    absl::Time aNow);

// Returns the additional time, in seconds, for work that usually takes aWork
// seconds; negative if the server is faster than usual, zero if it has stated
// nothing within aPeriod, the positive time for which servers are slow or fast
// at a time (slowness_period.h). The moment of the statement within its period
// is unknown, so the probability that it still holds falls evenly with its age.
double EstimateSlowdown(const stated_slowness& aSlowness, double aWork,
                        absl::Duration aPeriod, absl::Time aNow);

} // namespace foxtailquay

#endif
