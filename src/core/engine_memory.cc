#include "engine_memory.h"

#include <algorithm>
#include <cmath>

#include "routing.h"

namespace foxtailquay {

namespace {

// Number of requests over which the mean size is taken. With 20, a single
// request of 55,000 tokens doubled a mean of 3,000, and engines that were an
// eighth full counted as tight.
constexpr int kMeanRequests = 200;
// Weight of a new statement in the mean load of the engines of a service.
constexpr double kLoadWeight = 0.05;
// Time in which the largest recent size halves.
constexpr absl::Duration kLargestHalfLife = absl::Seconds(30);
// Number of requests of the largest size that other gateways may send at the
// same time, before their statements arrive. With 2, a fifth of the messages
// lost and statements every 2 s, 6 of 12 simulated runs exceeded the capacity,
// with 3 there were 3.
constexpr double kRacingRequests = 3;
// Part of the capacity that is left free for errors of the estimate, such as
// lost statements. In 24 simulated runs with kRacingRequests = 2, 23 gateways
// held up to 387,290 of 400,000 tokens without it, and 342,223 with it.
constexpr double kEstimateError = 0.12;
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

// Returns what remains of a statement that fades.
double ComputeFaded(const peer_holding& aHolding, absl::Time aNow)
{
  return static_cast<double>(aHolding.mTokens) *
         ComputeDecay(aNow - aHolding.mStatedAt - kHoldingValidity,
                      kHoldingHalfLife);
}

// What the other gateways are estimated to hold.
struct peer_estimate
{
  double mTokens = 0;
  absl::Time mStatedAt = absl::InfinitePast();
};

double EstimateFading(const engine_memory& aMemory, absl::Time aNow)
{
  return aMemory.mFadingTokens <= 0
           ? 0
           : aMemory.mFadingTokens *
               ComputeDecay(aNow - aMemory.mFadingAt, kHoldingHalfLife);
}

peer_estimate EstimateFromStatements(const engine_memory& aMemory,
                                     const memory_need& aNeed)
{
  return { static_cast<double>(aMemory.mStatedTokens) +
             EstimateFading(aMemory, aNeed.mNow),
           aMemory.mStatedAt };
}

bool IsLoadValid(absl::Time aStatedAt, const memory_need& aNeed)
{
  return aNeed.mNow - aStatedAt <= kLoadValidity;
}

bool IsStatementValid(absl::Time aStatedAt, const memory_need& aNeed)
{
  return aNeed.mNow - aStatedAt <= kHoldingValidity;
}

// Returns the number of requests of other gateways of aRequests at the engine.
double CountOthers(const backend_view& aView, double aRequests)
{
  return std::max(0.0, aRequests - aView.mOutstanding);
}

// Returns the tokens that the other gateways are estimated to hold.
peer_estimate EstimateOthers(const backend_view& aView,
                             const memory_need& aNeed)
{
  peer_estimate others = EstimateFromStatements(aView.mMemory, aNeed);
  const bool isLoadKnown = IsLoadValid(aView.mReportedAt, aNeed);
  if (isLoadKnown) {
    const double requests =
      CountOthers(aView, aView.mReport.mRunning + aView.mReport.mQueued);
    others.mTokens = std::max(others.mTokens, requests * aNeed.mSizes.mMean);
    others.mStatedAt = std::max(others.mStatedAt, aView.mReportedAt);
  } else if (!IsStatementValid(others.mStatedAt, aNeed)) {
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
  aSizes.mRequests = std::min(aSizes.mRequests + 1, kMeanRequests);
  aSizes.mMean += (size - aSizes.mMean) / aSizes.mRequests;
  aSizes.mLargest =
    std::max(size, aSizes.mLargest *
                     ComputeDecay(aNow - aSizes.mLargestAt, kLargestHalfLife));
  aSizes.mLargestAt = aNow;
}

void RecordEngineLoad(holding_sizes& aSizes, int aRequests, absl::Time aNow)
{
  const bool isFirst = aSizes.mLoadAt == absl::InfinitePast();
  aSizes.mLoad += (aRequests - aSizes.mLoad) * (isFirst ? 1 : kLoadWeight);
  aSizes.mLoadAt = aNow;
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
  aMemory.mStatedAt = aNow;
  const auto earlier = aMemory.mPeers.find(aPeer);
  if (earlier != aMemory.mPeers.end()) {
    const peer_holding& holding = earlier->second;
    if (holding.mIsFading) {
      aMemory.mFadingTokens = std::max(0.0, EstimateFading(aMemory, aNow) -
                                              ComputeFaded(holding, aNow));
      aMemory.mFadingAt = aNow;
    } else {
      aMemory.mStatedTokens -= holding.mTokens;
    }
    aMemory.mPeers.erase(earlier);
  }
  if (aTokens > 0) {
    aMemory.mPeers[aPeer] = { aTokens, aNow };
    aMemory.mStatedTokens += aTokens;
  }
}

void AdvancePeerHoldings(engine_memory& aMemory, absl::Time aNow)
{
  aMemory.mFadingTokens = 0;
  aMemory.mFadingAt = aNow;
  for (auto it = aMemory.mPeers.begin(); it != aMemory.mPeers.end();) {
    peer_holding& holding = it->second;
    const absl::Duration age = aNow - holding.mStatedAt;
    if (age > kHoldingValidity && !holding.mIsFading) {
      holding.mIsFading = true;
      aMemory.mStatedTokens -= holding.mTokens;
    }
    if (age > kForgetTime) {
      it = aMemory.mPeers.erase(it);
      continue;
    }
    aMemory.mFadingTokens +=
      holding.mIsFading ? ComputeFaded(holding, aNow) : 0;
    ++it;
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
  if (need.mPeers == 0) {
    return held + tokens <= capacity;
  }
  const double age = std::clamp(
    absl::FDivDuration(need.mNow - others.mStatedAt, kHoldingTime), 0.0, 1.0);
  const double room =
    capacity - held - tokens - kEstimateError * capacity - others.mTokens * age;
  // Most engines have room for undecayed sizes, which saves the exponential.
  return kRacingRequests * need.mSizes.mLargest <= room ||
         kRacingRequests * ComputeLargest(need.mSizes, need.mNow) <= room;
}

bool IsTight(const backend_view& aView, const memory_need& aNeed)
{
  const auto own = static_cast<double>(aView.mMemory.mOwnTokens);
  double others = EstimateFromStatements(aView.mMemory, aNeed).mTokens;
  if (IsLoadValid(aView.mReportedAt, aNeed)) {
    others = EstimateOthers(aView, aNeed).mTokens;
  } else if (IsLoadValid(aNeed.mSizes.mLoadAt, aNeed)) {
    others = std::max(others, CountOthers(aView, aNeed.mSizes.mLoad) *
                                aNeed.mSizes.mMean);
  } else {
    const engine_memory& memory = aView.mMemory;
    const bool isStated = aNeed.mNow - memory.mReportedAt <= kHoldingInterval;
    const token_count unstated = std::max<token_count>(
      0, memory.mOwnTokens - (isStated ? memory.mReportedTokens : 0));
    others = std::max(others, static_cast<double>(unstated) * aNeed.mPeers);
  }
  return own + others >
         kTightFraction * static_cast<double>(aView.mMemory.mCapacity);
}

} // namespace foxtailquay
