#include "engine_memory.h"

#include <algorithm>
#include <cmath>

#include "routing.h"

namespace foxtailquay {

namespace {

// Weight of a new request in the mean size.
constexpr double kMeanWeight = 0.05;
// Time in which the largest recent size halves.
constexpr absl::Duration kLargestHalfLife = absl::Seconds(30);
// Number of requests of the largest size that other gateways may send at the
// same time. With 2, 23 gateways with 25 requests/s for each engine exceeded
// the capacity in 1 of 5 simulated runs.
constexpr double kRacingRequests = 3;
// Part of the capacity that is left free, since the statements of some gateways
// stand for all while an engine is not tight. Without it, 23 gateways exceeded
// the capacity by up to 7% in 3 of 12 simulated runs.
constexpr double kSampleError = 0.12;
// Age from which a statement contributes nothing that matters.
const absl::Duration kForgetTime = kHoldingValidity + 8 * kHoldingHalfLife;

double ComputeDecay(absl::Duration aAge, absl::Duration aHalfLife)
{
  return std::exp2(
    -absl::FDivDuration(std::max(absl::ZeroDuration(), aAge), aHalfLife));
}

double ComputeLargest(const holding_sizes& aSizes, absl::Time aNow)
{
  return aSizes.mLargest *
         ComputeDecay(aNow - aSizes.mLargestAt, kLargestHalfLife);
}

// What the other gateways are estimated to hold.
struct peer_estimate
{
  double mTokens = 0;
  absl::Time mStatedAt = absl::InfinitePast();
};

peer_estimate EstimateFromStatements(const engine_memory& aMemory,
                                     const memory_need& aNeed)
{
  peer_estimate estimate;
  int current = 0;
  for (const auto& [name, holding] : aMemory.mPeers) {
    const absl::Duration age = aNeed.mNow - holding.mStatedAt;
    estimate.mTokens += static_cast<double>(holding.mTokens) *
                        ComputeDecay(age - kHoldingValidity, kHoldingHalfLife);
    estimate.mStatedAt = std::max(estimate.mStatedAt, holding.mStatedAt);
    current += age <= kHoldingValidity ? 1 : 0;
  }
  // The others state what they hold once the engine is tight.
  const double extrapolated = estimate.mTokens * aNeed.mPeers /
                              std::max({ 1, current, aNeed.mReportingPeers });
  const double tight = kTightFraction * static_cast<double>(aMemory.mCapacity);
  estimate.mTokens = std::max(estimate.mTokens, std::min(extrapolated, tight));
  return estimate;
}

bool IsValid(absl::Time aStatedAt, const memory_need& aNeed)
{
  return aNeed.mNow - aStatedAt <= kHoldingValidity;
}

// Returns the tokens that the other gateways are estimated to hold.
peer_estimate EstimateOthers(const backend_view& aView,
                             const memory_need& aNeed)
{
  peer_estimate others = EstimateFromStatements(aView.mMemory, aNeed);
  const bool isLoadKnown = IsValid(aView.mReportedAt, aNeed);
  if (isLoadKnown) {
    const double requests = std::max(
      0, aView.mReport.mRunning + aView.mReport.mQueued - aView.mOutstanding);
    others.mTokens = std::max(others.mTokens, requests * aNeed.mSizes.mMean);
    others.mStatedAt = std::max(others.mStatedAt, aView.mReportedAt);
  } else if (!IsValid(others.mStatedAt, aNeed)) {
    // Nothing is known, so each of the others may have sent as much.
    others.mTokens =
      std::max(others.mTokens,
               static_cast<double>(aView.mMemory.mOwnTokens) * aNeed.mPeers);
  }
  return others;
}

} // namespace

void RecordSize(holding_sizes& aSizes, token_count aTokens, absl::Time aNow)
{
  const auto size = static_cast<double>(aTokens);
  aSizes.mMean += aSizes.mMean > 0 ? (size - aSizes.mMean) * kMeanWeight : size;
  aSizes.mLargest =
    std::max(size, aSizes.mLargest *
                     ComputeDecay(aNow - aSizes.mLargestAt, kLargestHalfLife));
  aSizes.mLargestAt = aNow;
}

void RecordHolding(engine_memory& aMemory, token_count aTokens)
{
  aMemory.mOwnTokens = AddTokens(aMemory.mOwnTokens, aTokens);
}

void ReleaseHolding(engine_memory& aMemory, token_count aTokens)
{
  aMemory.mOwnTokens = std::max<token_count>(0, aMemory.mOwnTokens - aTokens);
}

void RecordPeerHolding(engine_memory& aMemory, const std::string& aPeer,
                       token_count aTokens, absl::Time aNow)
{
  aMemory.mPeers[aPeer] = { aTokens, aNow };
}

void ForgetOldHoldings(engine_memory& aMemory, absl::Time aNow)
{
  for (auto it = aMemory.mPeers.begin(); it != aMemory.mPeers.end();) {
    it = aNow - it->second.mStatedAt > kForgetTime ? aMemory.mPeers.erase(it)
                                                   : std::next(it);
  }
}

double EstimateHeldTokens(const backend_view& aView, const memory_need& aNeed)
{
  return static_cast<double>(aView.mMemory.mOwnTokens) +
         EstimateOthers(aView, aNeed).mTokens;
}

bool FitsMemory(const backend_view& aView, const routing_query& aQuery)
{
  const memory_need& need = aQuery.mMemory;
  const engine_memory& memory = aView.mMemory;
  if (memory.mCapacity <= 0 || need.mTokens <= 0) {
    return true;
  }
  const peer_estimate others = EstimateOthers(aView, need);
  const double held = static_cast<double>(memory.mOwnTokens) + others.mTokens;
  const auto tokens = static_cast<double>(need.mTokens);
  const auto capacity = static_cast<double>(memory.mCapacity);
  if (held < 1 && memory.mOwnTokens == 0) {
    return tokens <= capacity;
  }
  const double margin =
    need.mPeers == 0
      ? 0
      : kSampleError * capacity +
          kRacingRequests * ComputeLargest(need.mSizes, need.mNow) +
          others.mTokens *
            std::clamp(
              absl::FDivDuration(need.mNow - others.mStatedAt, kHoldingTime),
              0.0, 1.0);
  return held + margin + tokens <= capacity;
}

bool IsTight(const backend_view& aView, const memory_need& aNeed)
{
  // What is only assumed, because nothing is known, does not count. Otherwise
  // each request for an engine that no other gateway uses led to reports to
  // all.
  const bool isKnown =
    IsValid(aView.mReportedAt, aNeed) ||
    std::any_of(aView.mMemory.mPeers.begin(), aView.mMemory.mPeers.end(),
                [&](const auto& aEach) {
                  return IsValid(aEach.second.mStatedAt, aNeed);
                });
  const double held = isKnown ? EstimateHeldTokens(aView, aNeed)
                              : static_cast<double>(aView.mMemory.mOwnTokens);
  return held > kTightFraction * static_cast<double>(aView.mMemory.mCapacity);
}

} // namespace foxtailquay
