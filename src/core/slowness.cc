#include "slowness.h"

#include <algorithm>

namespace foxtailquay {

void RecordSlowness(stated_slowness& aSlowness, double aFactor, absl::Time aNow)
{
  aSlowness.mFactor = std::clamp(aFactor, kMinSlowness, kMaxSlowness);
  aSlowness.mStatedAt = aNow;
}

double EstimateSlowdown(const stated_slowness& aSlowness, double aWork,
                        absl::Duration aPeriod, absl::Time aNow)
{
  if (aSlowness.mFactor == 1) {
    return 0;
  }
  const double period = absl::ToDoubleSeconds(aPeriod);
  const double age =
    std::max(0.0, absl::ToDoubleSeconds(aNow - aSlowness.mStatedAt));
  if (age >= period) {
    return 0;
  }
  // Mean time that is left of the period if it has not ended yet.
  const double left = (period - age) / 2;
  const double probability = 1 - age / period;
  const double slow = aWork * aSlowness.mFactor;
  // Work that is left at the end of the period continues at the usual speed.
  const double time =
    slow <= left ? slow : left + aWork - left / aSlowness.mFactor;
  return probability * (time - aWork);
}

} // namespace foxtailquay
