// How many tokens of a prepaid total each gateway should hold: its own demand,
// the target that follows from it, and the parts that are placed before any
// request has arrived.
//
//   AddDemand(demand, amount, since, now);
//   const token_count part = ComputeEqualPart(prepaid, gateways);
//   const token_count target = ComputeTarget(demand, since, part, now);
//   if (free < target * kRefillFraction) {
//     ... request target - free
//   }
//
// Pure functions over plain structs. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_TOKEN_PLACEMENT_H
#define FOXTAILQUAY_CORE_TOKEN_PLACEMENT_H

#include <map>
#include <string>

#include "absl/time/time.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// Demand, as a time, that a gateway holds tokens for: the longest partition
// that must pass without a refusal.
constexpr absl::Duration kPlacementHorizon = absl::Seconds(9);
// Averaging time of the own demand. At one request every two seconds it holds
// five requests.
constexpr absl::Duration kDemandWindow = absl::Seconds(10);
// Shortest time that a demand is taken to be spread over, so that the first
// request of a workspace does not count as a high rate: the interval of one
// request every two seconds.
constexpr absl::Duration kMinDemandTime = absl::Seconds(2);
// Time without a request after which a gateway keeps no tokens of a workspace.
// It is longer than kPlacementHorizon, so that a part that was placed for a
// partition is not returned before the partition may end.
constexpr absl::Duration kIdleTime = absl::Seconds(12);
// Fraction of the target below which tokens are requested ahead of need. A
// gateway that loses all contact just before still holds 6.75 s of demand. With
// a half, all gateways alone for 9 s refused 10.6% of the requests in
// token_fleet_test, with three quarters 7.2%, at 22% more messages.
constexpr double kRefillFraction = 0.75;
// Multiple of what a gateway should hold above which it returns the rest. It is
// far above the target that a refill leads to, so that tokens do not go back
// and forth while the estimate of the demand varies.
constexpr token_count kReturnFactor = 2;
// Demand, as a time, that a coordinator holds for transfers to others: two
// rounds of a grant write and a tick with a slow store.
constexpr absl::Duration kPoolTime = absl::Seconds(2);
// Fraction of what is left of a total that is placed before any request has
// arrived.
constexpr double kPlacedFraction = 0.33;
// Largest fraction of what is unspent that all gateways hold ahead of need. A
// power loss of all gateways loses it. The targets of 23 gateways add up to 0.3
// of a total of 1.3 times the demand of 34 s, and some gateways hold more than
// their target: with 0.33, gateways alone for 9 s refused 15.2% of the requests
// in token_fleet_test, with 0.4 13.7%.
constexpr double kHeldFraction = 0.45;
// Smallest useful part: a small request.
constexpr token_count kMinUsefulPart = 2000;
// Largest number of gateways that get a first part of a workspace, which bounds
// the messages in large fleets.
constexpr int kMaxPlacedGateways = 128;

// Average of the demand for tokens. Memory: constant.
struct demand_average
{
  // Sums over the requests of their tokens and of their squares, which decay
  // with kDemandWindow, as of mAt.
  double mTokens = 0;
  double mSquares = 0;
  absl::Time mAt = absl::InfinitePast();
};

// Adds a request for aAmount tokens. Precondition: aAmount >= 0.
void AddDemand(demand_average& aDemand, token_count aAmount, absl::Time aNow);

// Returns the expected demand over aTime, in tokens. aSince: time from which
// requests were counted.
token_count EstimateMean(const demand_average& aDemand, absl::Time aSince,
                         absl::Duration aTime, absl::Time aNow);

// Returns the mean size of a request, weighted by size: a mean token belongs to
// a request of this size. Returns 0 without demand.
token_count EstimateRequestSize(const demand_average& aDemand);

// Returns true if there was a request within kIdleTime.
bool HasDemand(const demand_average& aDemand, absl::Time aNow);

// Returns the part of each of aGateways gateways if they share kPlacedFraction
// of aLeft tokens equally. Precondition: aGateways > 0.
token_count ComputeEqualPart(token_count aLeft, int aGateways);

// Returns the number of tokens that a gateway with this demand should hold: the
// mean of kPlacementHorizon and one standard deviation of it. The deviation
// counts up to aEqualPart, or up to a third of the mean, so that all gateways
// together hold about kPlacedFraction of a total whose mean demand over the
// horizon is less than that.
token_count ComputeTarget(const demand_average& aDemand, absl::Time aSince,
                          token_count aEqualPart, absl::Time aNow);

// First parts of one workspace.
struct placement_parts
{
  // Tokens of each part; 0 if there are none.
  token_count mPart = 0;
  // Number of gateways, including the coordinator, that get one.
  int mGateways = 0;
};

// Divides kPlacedFraction of aLeft among aGateways. If the parts would be
// smaller than kMinUsefulPart, fewer gateways get one. Precondition: aGateways
// > 0.
placement_parts PlanParts(token_count aLeft, int aGateways);

// What the other gateways hold, as far as their requests have stated it. A
// value stays until the gateway states another one: one that has spent a
// quarter of its target requests more, and one without demand returns what it
// has. Memory: one entry per listed gateway.
struct peer_holdings
{
  std::map<std::string, token_count> mPeers;
  // Sum of mPeers.
  token_count mTokens = 0;
};

// Records that aPeer holds aTokens.
void SetHolding(peer_holdings& aHoldings, const std::string& aPeer,
                token_count aTokens);
// Adds tokens that were transferred to aPeer; less than 0 if it returned some.
void AddHolding(peer_holdings& aHoldings, const std::string& aPeer,
                token_count aTokens);
// Removes a gateway that is gone: what it held is lost.
void RemoveHolding(peer_holdings& aHoldings, const std::string& aPeer);

// Returns the number of tokens that the coordinator may transfer ahead of need:
// all gateways together hold at most kHeldFraction of what is unspent, so
// that the rest is left after a power loss of all. aRoom: tokens that are not
// granted. aOwn: tokens that the coordinator holds for its own callers.
token_count ComputeTransferable(const peer_holdings& aHoldings,
                                token_count aRoom, token_count aOwn);

} // namespace foxtailquay

#endif
