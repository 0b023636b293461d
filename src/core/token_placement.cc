#include "token_placement.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

double ComputeDecay(absl::Duration aTime, absl::Duration aWindow)
{
  return std::exp(
    -absl::FDivDuration(std::max(absl::ZeroDuration(), aTime), aWindow));
}

// Returns the time, in seconds, that the decayed sums stand for.
double ComputeCountedSeconds(absl::Time aSince, absl::Time aNow)
{
  const double window = absl::ToDoubleSeconds(kDemandWindow);
  return std::max(absl::ToDoubleSeconds(kMinDemandTime),
                  window * (1 - ComputeDecay(aNow - aSince, kDemandWindow)));
}

token_count ToTokens(double aValue)
{
  return static_cast<token_count>(
    std::clamp(aValue, 0.0, static_cast<double>(kMaxTokenCount)));
}

} // namespace

void AddDemand(demand_average& aDemand, token_count aAmount, absl::Time aNow)
{
  const auto amount = static_cast<double>(aAmount);
  const double decay = ComputeDecay(aNow - aDemand.mAt, kDemandWindow);
  aDemand.mTokens = aDemand.mTokens * decay + amount;
  aDemand.mSquares = aDemand.mSquares * decay + amount * amount;
  aDemand.mAt = aNow;
}

token_count EstimateMean(const demand_average& aDemand, absl::Time aSince,
                         absl::Duration aTime, absl::Time aNow)
{
  return ToTokens(
    aDemand.mTokens * ComputeDecay(aNow - aDemand.mAt, kDemandWindow) *
    absl::ToDoubleSeconds(aTime) / ComputeCountedSeconds(aSince, aNow));
}

token_count EstimateRequestSize(const demand_average& aDemand)
{
  return aDemand.mTokens > 0 ? ToTokens(aDemand.mSquares / aDemand.mTokens) : 0;
}

bool HasDemand(const demand_average& aDemand, absl::Time aNow)
{
  return aNow - aDemand.mAt < kIdleTime;
}

token_count ComputeEqualPart(token_count aLeft, int aGateways)
{
  return ToTokens(kPlacedFraction * static_cast<double>(aLeft) / aGateways);
}

token_count ComputeTarget(const demand_average& aDemand, absl::Time aSince,
                          token_count aEqualPart, absl::Time aNow)
{
  const token_count mean =
    EstimateMean(aDemand, aSince, kPlacementHorizon, aNow);
  const double variance = aDemand.mSquares *
                          ComputeDecay(aNow - aDemand.mAt, kDemandWindow) *
                          absl::ToDoubleSeconds(kPlacementHorizon) /
                          ComputeCountedSeconds(aSince, aNow);
  const token_count deviation = ToTokens(std::sqrt(variance));
  return AddTokens(mean,
                   std::min(deviation, std::max(aEqualPart - mean, mean / 3)));
}

placement_parts PlanParts(token_count aLeft, int aGateways)
{
  const int gateways = std::min(aGateways, kMaxPlacedGateways);
  const token_count placed = ComputeEqualPart(aLeft, 1);
  const token_count part = std::max(placed / gateways, kMinUsefulPart);
  const token_count count = std::min<token_count>(gateways, placed / part);
  return { count > 0 ? part : 0, static_cast<int>(count) };
}

void SetHolding(peer_holdings& aHoldings, const std::string& aPeer,
                token_count aTokens)
{
  token_count& holding = aHoldings.mPeers[aPeer];
  aHoldings.mTokens += aTokens - holding;
  holding = aTokens;
}

void AddHolding(peer_holdings& aHoldings, const std::string& aPeer,
                token_count aTokens)
{
  const auto holding = aHoldings.mPeers.find(aPeer);
  const token_count before =
    holding == aHoldings.mPeers.end() ? 0 : holding->second;
  SetHolding(aHoldings, aPeer,
             std::clamp<token_count>(before + aTokens, 0, kMaxTokenCount));
}

void RemoveHolding(peer_holdings& aHoldings, const std::string& aPeer)
{
  SetHolding(aHoldings, aPeer, 0);
  aHoldings.mPeers.erase(aPeer);
}

token_count ComputeTransferable(const peer_holdings& aHoldings,
                                token_count aRoom, token_count aOwn)
{
  const auto held = static_cast<double>(AddTokens(aOwn, aHoldings.mTokens));
  return ToTokens(kHeldFraction * (held + static_cast<double>(aRoom)) - held);
}

} // namespace foxtailquay
