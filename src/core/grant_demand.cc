#include "grant_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace foxtailquay {

namespace {

// Returns the factor, in 0..1, by which the averaged rates have decayed at
// aNow.
double ComputeDecay(const grant_share& aShare, const grant_options& aOptions,
                    absl::Time aNow)
{
  return std::exp(
    -absl::FDivDuration(std::max(absl::ZeroDuration(), aNow - aShare.mRateAt),
                        aOptions.mRateWindow));
}

// Averaged rate, in tokens per second, below which there is no demand: the
// average never becomes zero. A request needs some hundred tokens.
constexpr double kMinDemandRate = 1;

bool IsDemand(double aRate)
{
  return aRate >= kMinDemandRate;
}

// Returns the number of priorities higher than aPriority that have demand.
std::ptrdiff_t CountHigherPriorities(const grant_share& aShare, int aPriority)
{
  return std::count_if(aShare.mRates.begin(), aShare.mRates.begin() + aPriority,
                       &IsDemand);
}

} // namespace

int FindHighestPriorityEnd(const grant_share& aShare)
{
  const auto first =
    std::find_if(aShare.mRates.begin(), aShare.mRates.end(), &IsDemand);
  return first == aShare.mRates.end()
           ? 0
           : static_cast<int>(first - aShare.mRates.begin()) + 1;
}

token_count ComputeReserved(const grant_share& aShare, token_count aPrepaid,
                            const grant_options& aOptions)
{
  const bool isMixed = CountHigherPriorities(aShare, kRequestPriorities) > 1;
  return isMixed ? static_cast<token_count>(aOptions.mReservedFraction *
                                            static_cast<double>(aPrepaid))
                 : 0;
}

token_count EstimateDemandBefore(const grant_share& aShare, int aEnd,
                                 absl::Duration aTime,
                                 const grant_options& aOptions, absl::Time aNow)
{
  const double rate =
    std::accumulate(aShare.mRates.begin(), aShare.mRates.begin() + aEnd, 0.0);
  // A number beyond the range of the type would be converted without a defined
  // result.
  return static_cast<token_count>(
    std::min(static_cast<double>(kMaxTokenCount),
             rate * ComputeDecay(aShare, aOptions, aNow) *
               absl::ToDoubleSeconds(aTime)));
}

void RecordDemand(grant_share& aShare, token_count aAmount, int aPriority,
                  const grant_options& aOptions, absl::Time aNow)
{
  const double decay = ComputeDecay(aShare, aOptions, aNow);
  for (double& rate : aShare.mRates) {
    rate *= decay;
  }
  aShare.mRates[static_cast<std::size_t>(aPriority)] +=
    static_cast<double>(aAmount) / absl::ToDoubleSeconds(aOptions.mRateWindow);
  aShare.mRateAt = aNow;
}

bool HasHigherPriorityDemand(const grant_share& aShare, int aPriority)
{
  return CountHigherPriorities(aShare, aPriority) > 0;
}

token_count ComputeHeadroom(const grant_share& aShare, int aPriority,
                            absl::Duration aMaxTime,
                            const grant_options& aOptions, absl::Time aNow)
{
  if (!HasHigherPriorityDemand(aShare, aPriority)) {
    return 0;
  }
  return EstimateDemandBefore(aShare, FindHighestPriorityEnd(aShare),
                              std::min(aMaxTime, aOptions.mHeadroomTime),
                              aOptions, aNow);
}

token_count EstimateDemand(const grant_share& aShare, absl::Duration aTime,
                           const grant_options& aOptions, absl::Time aNow)
{
  return EstimateDemandBefore(aShare, kRequestPriorities, aTime, aOptions,
                              aNow);
}

} // namespace foxtailquay
