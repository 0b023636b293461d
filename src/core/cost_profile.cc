#include "cost_profile.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

// Time after the first request from which rates are estimated.
constexpr absl::Duration kMinEstimateTime = absl::Milliseconds(500);

double ComputeDecay(absl::Duration aTime)
{
  return std::exp(-absl::FDivDuration(aTime, kCostMemory));
}

} // namespace

void AddCost(cost_profile& aProfile, double aCost, absl::Time aNow)
{
  const double decay = ComputeDecay(aNow - aProfile.mUpdatedAt);
  for (double& rate : aProfile.mRates) {
    rate *= decay;
  }
  aProfile.mUpdatedAt = aNow;
  aProfile.mStartedAt = std::min(aProfile.mStartedAt, aNow);
  const int group = std::clamp(std::ilogb(std::max(1.0, aCost)), 0,
                               static_cast<int>(kCostGroups) - 1);
  aProfile.mRates[static_cast<std::size_t>(group)] +=
    1 / absl::ToDoubleSeconds(kCostMemory);
}

double FindCostOfTop(const cost_profile& aProfile, double aRate,
                     absl::Time aNow)
{
  const double decay = ComputeDecay(aNow - aProfile.mUpdatedAt);
  // Fraction of the weights that lies after the first request.
  const double known =
    1 - ComputeDecay(std::max(kMinEstimateTime, aNow - aProfile.mStartedAt));
  double rate = 0;
  for (std::size_t group = kCostGroups; group-- > 0;) {
    rate += aProfile.mRates[group] * decay / known;
    if (rate >= aRate) {
      return std::exp2(static_cast<double>(group));
    }
  }
  return 0;
}

} // namespace foxtailquay
