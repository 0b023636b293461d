#include "slowness.h"

#include <algorithm>

namespace foxtailquay {

void RecordSlowness(stated_slowness& aSlowness, double aFactor, absl::Time aNow)
{
  aSlowness.mFactor = std::clamp(aFactor, kMinSlowness, kMaxSlowness);
  aSlowness.mStatedAt = aNow;
}

absl::Duration EstimateSlowdown(const stated_slowness& aSlowness,
                                absl::Duration aWork, absl::Time aNow)
{
  if (aSlowness.mFactor == 1) {
    return absl::ZeroDuration();
  }
  const absl::Duration age =
    std::max(absl::ZeroDuration(), aNow - aSlowness.mStatedAt);
  if (age >= kSlownessPeriod) {
    return absl::ZeroDuration();
  }
  // Mean time that is left of the period if it has not ended yet.
  const double left = absl::ToDoubleSeconds(kSlownessPeriod - age) / 2;
  const double probability = 1 - absl::FDivDuration(age, kSlownessPeriod);
  const double usual = absl::ToDoubleSeconds(aWork);
  const double slow = usual * aSlowness.mFactor;
  // Work that is left at the end of the period continues at the usual speed.
  const double time =
    slow <= left ? slow : left + usual - left / aSlowness.mFactor;
  return absl::Seconds(probability * (time - usual));
}

} // namespace foxtailquay
