// Callers with prepaid tokens, in the gateway simulation.

#include "gateway_sim/sim_parts.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace foxtailquay::gateway_sim {

namespace {

constexpr token_count kMaxOutput = 10 * kTokensPerEvent;
constexpr double kLargestRatio = 18;
// Time in which the gateways place the first parts.
constexpr absl::Duration kPlacementTime = absl::Seconds(8);
constexpr double kConcentratedFraction = 1.0 / 3;
// One in three of the other workspaces has an eighth of the demand.
constexpr double kSmallWeight = 0.125;

// Returns the fraction of the requests of each workspace.
std::vector<double> ComputeFractions(const token_load& aLoad)
{
  std::vector<double> fractions;
  double sum = 0;
  for (int i = aLoad.mConcentrated; i < aLoad.mWorkspaces; ++i) {
    sum += i % 3 == 0 ? kSmallWeight : 1;
  }
  for (int i = 0; i < aLoad.mWorkspaces; ++i) {
    const double weight = i % 3 == 0 ? kSmallWeight : 1;
    fractions.push_back(i < aLoad.mConcentrated
                          ? kConcentratedFraction / aLoad.mConcentrated
                          : (1 - kConcentratedFraction) * weight / sum);
  }
  return fractions;
}

// Returns the gateway of a request.
std::size_t DrawGatewayOf(fleet_sim& aSim, const token_load& aLoad,
                          int aWorkspace)
{
  const std::size_t count = aSim.mGateways.size();
  std::size_t index = DrawGateway(aSim);
  if (aWorkspace < aLoad.mConcentrated) {
    // Odd ones arrive at one gateway, even ones at two.
    const int place = aWorkspace % 2 == 0 ? Draw(aSim, 2) : 0;
    index = (static_cast<std::size_t>(4 * aWorkspace + place)) % count;
  }
  index = (index + aLoad.mOffset) % count;
  // The load balancer leaves out processes that have ended.
  for (std::size_t i = 0; i < count && !aSim.mGateways[index].mIsAlive; ++i) {
    index = (index + 1) % count;
  }
  return index;
}

// Sends a request of aPrompt tokens. aIsRepeated: its caller repeats it if it
// is refused.
void SendTokenRequest(fleet_sim& aSim, const token_load& aLoad, int aWorkspace,
                      token_count aPrompt, bool aIsRepeated)
{
  caller_request request;
  request.mHandle = aSim.mNextHandle++;
  request.mAttemptId = absl::StrCat("a", request.mHandle);
  request.mHost = "shop.example";
  request.mPath = "/chat/";
  request.mKey = absl::StrCat("key-", aWorkspace);
  request.mCallerTimeout = absl::Seconds(3);
  request.mPromptTokens = aPrompt;
  request.mMaxOutputTokens = kMaxOutput;
  sim_request& known = aSim.mRequests[request.mHandle];
  known.mWorkspace = workspace_id{ absl::StrCat("w", aWorkspace) };
  known.mKind = call_kind::Stream;
  known.mPrompt = request.mPromptTokens;
  known.mMaxOutput = request.mMaxOutputTokens;
  known.mSentAt = aSim.mNow;
  known.mIsRepeated = aIsRepeated;
  aSim.mTokens.mSent += 1;
  Deliver(aSim, DrawGatewayOf(aSim, aLoad, aWorkspace), request);
}

token_count DrawPrompt(fleet_sim& aSim, const token_load& aLoad)
{
  constexpr double kSpread = 1;
  std::lognormal_distribution<double> cost(
    std::log(aLoad.mMeanTokens) - kSpread * kSpread / 2, kSpread);
  return static_cast<token_count>(
    std::min(cost(aSim.mRandom), kLargestRatio * aLoad.mMeanTokens));
}

// Sends requests until aEnd.
void SendTokenRequests(fleet_sim& aSim, const token_load& aLoad,
                       absl::Time aEnd)
{
  const double rate = aLoad.mRequestsPerSecond + aLoad.mHotPerSecond;
  std::exponential_distribution<double> interval(rate);
  Schedule(aSim, absl::Seconds(interval(aSim.mRandom)), [&aSim, aLoad, aEnd] {
    if (aSim.mNow >= aEnd) {
      return;
    }
    std::vector<double> weights = ComputeFractions(aLoad);
    for (double& weight : weights) {
      weight *= aLoad.mRequestsPerSecond;
    }
    // The last workspace arrives at all gateways.
    weights.back() += aLoad.mHotPerSecond;
    std::discrete_distribution<int> workspace(weights.begin(), weights.end());
    const int drawn = workspace(aSim.mRandom);
    SendTokenRequest(aSim, aLoad, drawn, DrawPrompt(aSim, aLoad),
                     aLoad.mRetries);
    SendTokenRequests(aSim, aLoad, aEnd);
  });
}

} // namespace

void CountTokenMessage(fleet_sim& aSim, std::size_t aIndex)
{
  constexpr absl::Duration kBurstTime = absl::Milliseconds(200);
  sim_gateway& gateway = aSim.mGateways[aIndex];
  ++aSim.mTokens.mMessages;
  std::deque<absl::Time>& sent = gateway.mTokenMessages;
  sent.push_back(aSim.mNow);
  while (aSim.mNow - sent.front() >= kBurstTime) {
    sent.pop_front();
  }
  aSim.mTokens.mMaxBurst =
    std::max(aSim.mTokens.mMaxBurst, static_cast<int>(sent.size()));
}

void CountTokenRefusal(fleet_sim& aSim, std::size_t aIndex,
                       const sim_request& aRequest, const error& aError)
{
  const bool isUsedUp = aError.mCode == error_code::BudgetExhausted;
  if (!isUsedUp && aError.mCode != error_code::RateLimited) {
    return;
  }
  token_counts& counts = aSim.mTokens;
  ++(isUsedUp ? counts.mUsedUp : counts.mRefused);
  ++counts.mRefusedOf[aRequest.mWorkspace];
  const token_count needed = aRequest.mPrompt + aRequest.mMaxOutput;
  const token_count prepaid = aSim.mPrepaid[aRequest.mWorkspace];
  const token_count unspent = prepaid - aSim.mSpent[aRequest.mWorkspace];
  const bool isFalse =
    unspent >= needed &&
    static_cast<double>(unspent) >= 0.05 * static_cast<double>(prepaid);
  counts.mFalselyRefused += isFalse ? 1 : 0;
  const bool isUncovered =
    unspent < needed ||
    static_cast<double>(unspent) < 0.01 * static_cast<double>(prepaid);
  counts.mUncovered += isUncovered ? 1 : 0;
  counts.mMaxWait = std::max(counts.mMaxWait, aSim.mNow - aRequest.mSentAt);
  const refusal_cause cause =
    FindRefusalCause(aSim, aIndex, aRequest.mWorkspace, needed);
  ++counts.mCauses[cause];
  counts.mFalseCauses[cause] += isFalse ? 1 : 0;
  const bool isCovered =
    cause != refusal_cause::UsedUp && cause != refusal_cause::Lost;
  counts.mFalselyUsedUp += isUsedUp && isCovered ? 1 : 0;
  if (aSim.mTokenLoad.mRetries && !aRequest.mIsRepeated) {
    ++counts.mRefusedAgain;
  }
  if (isUsedUp || !aRequest.mIsRepeated) {
    return;
  }
  ++counts.mRepeated;
  const int workspace = std::stoi(aRequest.mWorkspace.mValue.substr(1));
  Schedule(aSim, aError.mRetryAfter,
           [&aSim, workspace, prompt = aRequest.mPrompt] {
             SendTokenRequest(aSim, aSim.mTokenLoad, workspace, prompt, false);
           });
}

std::unique_ptr<fleet_sim> MakeTokenSim(
  std::map<std::string, std::string> aCharts, std::uint64_t aSeed,
  const token_load& aLoad)
{
  auto sim = std::make_unique<fleet_sim>();
  sim->mCharts = std::move(aCharts);
  sim->mRandom.seed(aSeed);
  sim->mServersFail = false;
  const std::vector<double> fractions = ComputeFractions(aLoad);
  const double total = aLoad.mRequestsPerSecond * aLoad.mMeanTokens *
                       aLoad.mTotalRatio * absl::ToDoubleSeconds(aLoad.mDay);
  for (int i = 0; i < aLoad.mWorkspaces; ++i) {
    sim->mPrepaid[workspace_id{ absl::StrCat("w", i) }] =
      static_cast<token_count>(total * fractions[static_cast<std::size_t>(i)]);
  }
  StartFleet(*sim, aLoad.mGateways);
  RunUntil(*sim, kStart + kPlacementTime);
  return sim;
}

void RunTokenLoad(fleet_sim& aSim, const token_load& aLoad,
                  absl::Duration aTime)
{
  aSim.mTokenLoad = aLoad;
  SendTokenRequests(aSim, aLoad, aSim.mNow + aTime);
  RunUntil(aSim, aSim.mNow + aTime);
}

void SetAllAlone(fleet_sim& aSim, bool aIsAlone)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    aSim.mGateways[i].mIsDisconnected = aIsAlone;
    aSim.mGateways[i].mIsIsolated = aIsAlone;
    if (aIsAlone) {
      SilenceWatches(aSim, i);
    }
  }
}

void RaiseTotals(fleet_sim& aSim, double aRatio)
{
  for (auto& [workspace, prepaid] : aSim.mPrepaid) {
    prepaid = static_cast<token_count>(aRatio * static_cast<double>(prepaid));
  }
  PutConfig(aSim, aSim.mStore.mConfig.mVersion + 1);
}

} // namespace foxtailquay::gateway_sim
