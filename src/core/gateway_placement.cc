#include "gateway_placement.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_coordinator.h"
#include "gateway_directory.h"
#include "gateway_waiters.h"

namespace foxtailquay {

namespace {

// Time from the first configuration with a workspace to its first parts. Within
// it, gateways that start together have registered and know each other.
constexpr absl::Duration kPlacementDelay = absl::Milliseconds(1500);
// Time from then on after which parts are not sent any more: callers may have
// come, and the gateways request what they need.
constexpr absl::Duration kPlacementTime = absl::Seconds(10);
// Fraction of a total that gateways may have been granted while they started
// and did not know each other yet. If more is granted, the record is older than
// this start.
constexpr double kMaxStartFraction = 0.2;
// Demand, as a time, for which a gateway retains tokens in a recall of a total
// that is used up.
constexpr absl::Duration kUsedUpRetainedTime = absl::Seconds(1);
// If so few gateways have requested tokens this time after the first request,
// the workspace arrives at them only. Of a workspace that arrives at all
// gateways, three have requested tokens by then, at two requests a second.
constexpr std::size_t kFewRequesters = 2;
constexpr absl::Duration kRequestersTime = absl::Seconds(2);
// Shortest interval between two recalls of a workspace.
constexpr absl::Duration kRecallInterval = absl::Seconds(1);
// Number of intervals for which the outcome of a recall counts, so that a
// coordinator with waiting requests always knows a recent one.
constexpr int kRecallValidity = 2;
// Shortest interval between two recalls of a workspace for each gateway that is
// asked: 128 calls a second. In larger fleets recalls are less frequent: one
// that left out some gateways would refuse callers while those hold tokens.
constexpr absl::Duration kRecallTimePerPeer = absl::Microseconds(7800);

token_count ComputeOwnPart(const gateway& aGateway,
                           const workspace_tokens& aTokens)
{
  return ComputeEqualPart(aTokens.mPrepaid, CountListedGateways(aGateway));
}

void UpdateTarget(gateway& aGateway, workspace_tokens& aTokens, absl::Time aNow)
{
  const token_count target =
    ComputeTarget(aTokens.mDemand, aGateway.mTrafficSince,
                  ComputeOwnPart(aGateway, aTokens), aNow);
  const token_count startPart = aNow - aGateway.mTrafficSince < kIdleTime
                                  ? aTokens.mPlacement.mStartPart
                                  : 0;
  aTokens.mTarget = std::max(
    startPart, std::min(target, ComputeEqualPart(aTokens.mPrepaid, 1)));
}

// Returns true if all peers were asked and have responded.
bool IsComplete(const token_recall& aRecall)
{
  return aRecall.mIsComplete && aRecall.mOpenPeers.empty() &&
         aRecall.mDoubtfulPeers.empty();
}

absl::Duration ComputeRecallInterval(const gateway& aGateway)
{
  return std::max(kRecallInterval, static_cast<double>(aGateway.mPeers.size()) *
                                     kRecallTimePerPeer);
}

// Returns the tokens that can be transferred now without those that this
// gateway holds for its own callers.
token_count ComputeSpare(const gateway& aGateway,
                         const workspace_tokens& aTokens, absl::Time aNow)
{
  return std::min(
    aTokens.mShare.mFreeTokens - aTokens.mTarget,
    ComputeAvailable(aTokens.mShare, MakeGrantClock(aGateway, aNow)));
}

// Returns the tokens of the total that are not granted.
token_count ComputeRoom(const workspace_tokens& aTokens)
{
  return std::max<token_count>(0, aTokens.mPrepaid -
                                    ComputeTotal(aTokens.mShare.mRecord));
}

// Returns true if a recall may start now. One of a used-up total brings more
// than an earlier one did.
bool IsRecallDue(const gateway& aGateway, const workspace_tokens& aTokens,
                 bool aIsUsedUp, absl::Time aNow)
{
  const token_recall& recall = aTokens.mRecall;
  return recall.mOpenPeers.empty() &&
         (aNow >= FindNextRecallTime(aGateway, aTokens) ||
          (aIsUsedUp && !recall.mIsUsedUp));
}

// Returns true if tokens of the total were granted before this process started.
bool IsKnownTotal(const workspace_tokens& aTokens)
{
  const grant_record& record = aTokens.mShare.mRecord;
  return record.mClosed != 0 ||
         static_cast<double>(ComputeTotal(record)) >
           kMaxStartFraction * static_cast<double>(aTokens.mPrepaid);
}

// Returns true if so few gateways have demand that the parts of the others are
// better recalled at once.
bool HasFewRequesters(const workspace_tokens& aTokens, absl::Time aNow)
{
  return aTokens.mRequesters.size() <= kFewRequesters &&
         aNow - aTokens.mRequestedSince >= kRequestersTime;
}

// Chooses the gateways that get first parts. Their order is random and thus
// independent of zones, so that parts for fewer gateways are spread over them.
void PlanFirstParts(gateway& aGateway, const workspace_id& aWorkspace,
                    workspace_tokens& aTokens)
{
  first_placement& placement = aTokens.mPlacement;
  const token_count left =
    ComputeRoom(aTokens) + std::max<token_count>(0, aTokens.mShare.mFreeTokens);
  const placement_parts parts = PlanParts(left, CountListedGateways(aGateway));
  placement.mIsPlanned = true;
  placement.mPart = parts.mPart;
  for (const auto& peer : aGateway.mPeers) {
    placement.mTargets.push_back(peer.first);
  }
  std::shuffle(placement.mTargets.begin(), placement.mTargets.end(),
               aGateway.mRandom);
  // The coordinator keeps one of the parts.
  placement.mTargets.resize(
    std::min(placement.mTargets.size(),
             static_cast<std::size_t>(std::max(0, parts.mGateways - 1))));
  UpdatePlannedTokens(aTokens);
  RecordDecision(aGateway, decision::TokensPlaced,
                 { { "workspace", aWorkspace.mValue },
                   { "part", absl::StrCat(placement.mPart) },
                   { "gateways", absl::StrCat(placement.mTargets.size()) },
                   { "prepaid", absl::StrCat(aTokens.mPrepaid) } });
}

void EndPlacement(workspace_tokens& aTokens)
{
  aTokens.mPlacement.mDueAt = absl::InfiniteFuture();
  aTokens.mPlacement.mTargets.clear();
  UpdatePlannedTokens(aTokens);
}

} // namespace

void RecordOwnDemand(gateway& aGateway, workspace_tokens& aTokens,
                     token_count aAmount, int aPriority, absl::Time aNow)
{
  aGateway.mTrafficSince = std::min(aGateway.mTrafficSince, aNow);
  // A request above the total is never served.
  AddDemand(aTokens.mDemand, std::min(aAmount, aTokens.mPrepaid), aNow);
  aTokens.mPriority = aPriority;
  UpdateTarget(aGateway, aTokens, aNow);
}

void UpdatePlannedTokens(workspace_tokens& aTokens)
{
  const first_placement& placement = aTokens.mPlacement;
  const token_count parts =
    placement.mPart * static_cast<token_count>(placement.mTargets.size());
  aTokens.mShare.mPlanned =
    AddTokens(parts, std::max(aTokens.mUnserved, aTokens.mUnservedBefore));
}

void UpdateTargets(gateway& aGateway, workspace_tokens& aTokens,
                   absl::Time aNow)
{
  UpdateTarget(aGateway, aTokens, aNow);
  aTokens.mShare.mTokensToHold = AddTokens(
    aTokens.mTarget,
    EstimateMean(aTokens.mTransfers, aGateway.mTrafficSince, kPoolTime, aNow));
  aTokens.mUnservedBefore = aTokens.mUnserved;
  aTokens.mUnserved = 0;
  UpdatePlannedTokens(aTokens);
}

void ScheduleFirstParts(workspace_tokens& aTokens, absl::Time aNow)
{
  if (!aTokens.mPlacement.mIsNamed) {
    aTokens.mPlacement.mIsNamed = true;
    aTokens.mPlacement.mDueAt = aNow + kPlacementDelay;
  }
}

void PlaceFirstParts(gateway& aGateway, const workspace_id& aWorkspace,
                     absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  first_placement& placement = tokens.mPlacement;
  if (aNow < placement.mDueAt) {
    return;
  }
  if (!placement.mIsPlanned && MayWriteGrants(aGateway) &&
      IsKnownTotal(tokens)) {
    // Other gateways may hold their parts. Each requests its own if it needs
    // one.
    const token_count part =
      ComputeEqualPart(ComputeRoom(tokens), CountListedGateways(aGateway));
    placement.mStartPart = part < kMinUsefulPart ? 0 : part;
    EndPlacement(tokens);
    return;
  }
  if (aNow >= placement.mDueAt + kPlacementTime || aGateway.mStopping ||
      !UpdateCoordinator(aGateway, aWorkspace, tokens, aNow)) {
    EndPlacement(tokens);
    return;
  }
  if (!MayWriteGrants(aGateway) || IsStoreUnavailable(aGateway) ||
      !MaySpend(tokens.mShare, tokens.mPrepaid)) {
    return;
  }
  if (!placement.mIsPlanned) {
    PlanFirstParts(aGateway, aWorkspace, tokens);
  }
  const grant_clock clock = MakeGrantClock(aGateway, aNow);
  while (!placement.mTargets.empty() && aGateway.mMessagesLeft > 0 &&
         ComputeSpare(aGateway, tokens, aNow) >= placement.mPart &&
         Reserve(tokens.mShare, placement.mPart, clock)) {
    const auto peer = aGateway.mPeers.find(placement.mTargets.back());
    AddHolding(tokens.mHoldings, placement.mTargets.back(), placement.mPart);
    placement.mTargets.pop_back();
    if (peer == aGateway.mPeers.end()) {
      AddReceivedTokens(tokens.mShare, placement.mPart);
      continue;
    }
    --aGateway.mMessagesLeft;
    aGateway.mActions.push_back(
      return_tokens{ peer->first, peer->second.mPeer.mAddress, aWorkspace,
                     placement.mPart, aGateway.mSettings.mName });
  }
  UpdatePlannedTokens(tokens);
  if (placement.mTargets.empty()) {
    EndPlacement(tokens);
  }
}

void RefillTokens(gateway& aGateway, const workspace_id& aWorkspace,
                  absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  const token_count free = tokens.mShare.mFreeTokens;
  if (tokens.mIsRefilling || aNow < tokens.mNextRefillAt ||
      tokens.mIsRequesting || aGateway.mStopping ||
      aGateway.mMessagesLeft <= 0 || tokens.mTarget <= 0 ||
      static_cast<double>(free) >=
        kRefillFraction * static_cast<double>(tokens.mTarget) ||
      !MaySpend(tokens.mShare, tokens.mPrepaid)) {
    return;
  }
  const coordinator_choice coordinator =
    FindCoordinator(aGateway, aWorkspace, true, token_call::Refill, aNow);
  if (coordinator.mPeer.empty()) {
    return;
  }
  --aGateway.mMessagesLeft;
  tokens.mIsRefilling = true;
  tokens.mRefillAmount = tokens.mTarget - free;
  aGateway.mActions.push_back(request_tokens{
    coordinator.mPeer, coordinator.mAddress, aWorkspace, tokens.mTarget - free,
    tokens.mPriority, 0, aGateway.mSettings.mName, free, token_call::Refill });
}

token_count ComputeRetained(const gateway& aGateway,
                            const workspace_tokens& aTokens, absl::Time aNow)
{
  const token_count retained =
    HasDemand(aTokens.mDemand, aNow) ? aTokens.mTarget : 0;
  // The first requests do not show the demand yet.
  return aNow - aGateway.mTrafficSince < kIdleTime
           ? std::max(retained, ComputeOwnPart(aGateway, aTokens))
           : retained;
}

token_count EstimateSoonNeeded(const gateway& aGateway,
                               const workspace_tokens& aTokens, absl::Time aNow)
{
  const token_count mean = EstimateMean(aTokens.mDemand, aGateway.mTrafficSince,
                                        kUsedUpRetainedTime, aNow);
  return mean < EstimateRequestSize(aTokens.mDemand) ? 0 : mean;
}

token_count TakeSpareTokens(gateway& aGateway, workspace_tokens& aTokens,
                            token_count aAmount, int aPriority, absl::Time aNow)
{
  const token_count taken =
    std::min(aAmount, ComputeSpare(aGateway, aTokens, aNow));
  if (taken <= 0 || !MaySpend(aTokens.mShare, aTokens.mPrepaid) ||
      !Reserve(aTokens.mShare, taken, MakeGrantClock(aGateway, aNow))) {
    return 0;
  }
  RecordDemand(aTokens.mShare, taken, aPriority, aGateway.mSettings.mGrants,
               aNow);
  AddDemand(aTokens.mTransfers, taken, aNow);
  return taken;
}

token_count LimitAheadOfNeed(const workspace_tokens& aTokens,
                             token_count aAmount, absl::Time aNow)
{
  // What a recall of a used-up total has brought is for requests that wait. In
  // small parts it would serve nobody.
  const token_recall& recall = aTokens.mRecall;
  if (recall.mIsUsedUp && aNow - recall.mStartedAt < kPlacementHorizon &&
      ComputeRoom(aTokens) == 0) {
    return 0;
  }
  const token_count own = std::min(aTokens.mTarget, aTokens.mShare.mFreeTokens);
  // Free tokens above the own target are to be transferred, as are those that
  // are not granted.
  const token_count room =
    AddTokens(ComputeRoom(aTokens),
              std::max<token_count>(0, aTokens.mShare.mFreeTokens - own));
  return std::min(aAmount, ComputeTransferable(aTokens.mHoldings, room, own));
}

void AddUnserved(workspace_tokens& aTokens, token_count aAmount,
                 absl::Time aNow)
{
  // Several requests within one tick do not raise the bound.
  aTokens.mUnserved = std::min(AddTokens(aTokens.mUnserved, aAmount),
                               LimitAheadOfNeed(aTokens, kMaxTokenCount, aNow));
  UpdatePlannedTokens(aTokens);
}

void RecordRefill(workspace_tokens& aTokens, bool aIsComplete, absl::Time aNow)
{
  aTokens.mIsRefilling = false;
  aTokens.mShortRefills = aIsComplete ? 0 : aTokens.mShortRefills + 1;
  // The first two repetitions come at the next ticks.
  constexpr int kMaxDoublings = 3;
  const int doublings = std::min(aTokens.mShortRefills - 2, kMaxDoublings);
  aTokens.mNextRefillAt =
    doublings > 0 ? aNow + kTickInterval * (1 << doublings) : aNow;
}

void ForgetPeerTokens(gateway& aGateway, const std::string& aPeer)
{
  for (auto& entry : aGateway.mWorkspaceTokens) {
    workspace_tokens& tokens = entry.second;
    RemoveHolding(tokens.mHoldings, aPeer);
    tokens.mRequesters.erase(aPeer);
    tokens.mAvoidUntil.erase(aPeer);
  }
}

void ServeRefill(gateway& aGateway, const tokens_requested& aEvent,
                 workspace_tokens& aTokens, absl::Time aNow)
{
  const bool isListed = aGateway.mPeers.count(aEvent.mPeer) > 0;
  if (isListed) {
    SetHolding(aTokens.mHoldings, aEvent.mPeer, aEvent.mHeld);
    aTokens.mRequesters.insert(aEvent.mPeer);
    aTokens.mRequestedSince = std::min(aTokens.mRequestedSince, aNow);
  }
  const token_count amount = LimitAheadOfNeed(aTokens, aEvent.mAmount, aNow);
  const token_count taken =
    TakeSpareTokens(aGateway, aTokens, amount, aEvent.mPriority, aNow);
  if (isListed) {
    AddHolding(aTokens.mHoldings, aEvent.mPeer, taken);
  }
  AddUnserved(aTokens, amount - taken, aNow);
  if (taken < aEvent.mAmount && HasFewRequesters(aTokens, aNow)) {
    RecallTokens(aGateway, aEvent.mWorkspace, false, aNow);
  }
  aGateway.mActions.push_back(send_token_response{
    aEvent.mCall,
    { taken, false, taken == 0 && IsStoreUnavailable(aGateway) } });
}

std::optional<recall_plan> PlanRecall(const gateway& aGateway,
                                      const workspace_id& aWorkspace,
                                      const workspace_tokens& aTokens,
                                      bool aIsUsedUp, absl::Time aNow)
{
  if (!IsRecallDue(aGateway, aTokens, aIsUsedUp, aNow) ||
      !IsCoordinator(aGateway, aWorkspace, aTokens, aNow)) {
    return std::nullopt;
  }
  recall_plan plan;
  plan.mRecall.mStartedAt = aNow;
  plan.mRecall.mIsUsedUp = aIsUsedUp;
  plan.mRecall.mIsComplete = true;
  for (const auto& [name, peer] : aGateway.mPeers) {
    if (aNow < peer.mSuspectUntil) {
      plan.mRecall.mIsComplete = false;
      continue;
    }
    // A doubtful peer is asked, but its response is not waited for.
    (peer.mIsDoubtful ? plan.mRecall.mDoubtfulPeers : plan.mRecall.mOpenPeers)
      .insert(name);
    plan.mCalls.push_back({ name, peer.mPeer.mAddress, aWorkspace, aIsUsedUp });
  }
  return plan;
}

bool ApplyRecall(gateway& aGateway, const workspace_id& aWorkspace,
                 std::optional<recall_plan> aPlan)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  token_recall& recall = tokens.mRecall;
  if (aPlan) {
    UpdateCoordinator(aGateway, aWorkspace, tokens, aPlan->mRecall.mStartedAt);
    recall = std::move(aPlan->mRecall);
    for (recall_tokens& call : aPlan->mCalls) {
      aGateway.mActions.push_back(std::move(call));
    }
  }
  return !recall.mOpenPeers.empty();
}

bool RecallTokens(gateway& aGateway, const workspace_id& aWorkspace,
                  bool aIsUsedUp, absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  if (IsRecallDue(aGateway, tokens, aIsUsedUp, aNow)) {
    UpdateCoordinator(aGateway, aWorkspace, tokens, aNow);
  }
  return ApplyRecall(aGateway, aWorkspace,
                     PlanRecall(aGateway, aWorkspace, tokens, aIsUsedUp, aNow));
}

void RecordRecallResponse(gateway& aGateway,
                          const token_response_received& aEvent,
                          absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aEvent.mWorkspace];
  token_recall& recall = tokens.mRecall;
  recall.mIsComplete = recall.mIsComplete && aEvent.mResponse;
  const token_count amount = aEvent.mResponse ? aEvent.mResponse->mAmount : 0;
  recall.mAmount += amount;
  if (aEvent.mResponse && aEvent.mResponse->mLeft) {
    recall.mRetained = AddTokens(recall.mRetained, *aEvent.mResponse->mLeft);
  } else {
    recall.mIsRetainedKnown = false;
  }
  if (aGateway.mPeers.count(aEvent.mPeer) > 0) {
    AddHolding(tokens.mHoldings, aEvent.mPeer, -amount);
  }
  if (aEvent.mResponse) {
    recall.mDoubtfulPeers.erase(aEvent.mPeer);
  }
  if (recall.mOpenPeers.erase(aEvent.mPeer) == 0 ||
      !recall.mOpenPeers.empty()) {
    return;
  }
  RecordDecision(aGateway, decision::TokensRecalled,
                 { { "workspace", aEvent.mWorkspace.mValue },
                   { "amount", absl::StrCat(recall.mAmount) },
                   { "retained", absl::StrCat(recall.mRetained) },
                   { "used_up", recall.mIsUsedUp ? "true" : "false" },
                   { "complete", IsComplete(recall) ? "true" : "false" },
                   { "after_ms", absl::StrCat(absl::ToInt64Milliseconds(
                                   aNow - recall.mStartedAt)) } });
}

bool HasRecalledAll(const gateway& aGateway, const workspace_tokens& aTokens,
                    absl::Time aNow)
{
  const token_recall& recall = aTokens.mRecall;
  return aGateway.mPeers.empty() ||
         (recall.mIsUsedUp && IsComplete(recall) &&
          aNow - recall.mStartedAt <
            kRecallValidity * ComputeRecallInterval(aGateway));
}

absl::Time FindNextRecallTime(const gateway& aGateway,
                              const workspace_tokens& aTokens)
{
  return aTokens.mRecall.mStartedAt + ComputeRecallInterval(aGateway);
}

std::optional<token_count> FindLeft(const gateway& aGateway,
                                    const workspace_tokens& aTokens,
                                    int aPriority, absl::Time aNow)
{
  const grant_share& share = aTokens.mShare;
  if (share.mVersion == 0 || share.mPending || IsFromEarlierEra(share) ||
      !HasRecalledAll(aGateway, aTokens, aNow) ||
      !aTokens.mRecall.mIsRetainedKnown) {
    return std::nullopt;
  }
  const token_count own = share.mFreeTokens + share.mWithheldTokens +
                          ComputeRoomFor(share, aPriority, aTokens.mPrepaid,
                                         aGateway.mSettings.mGrants);
  const token_count out = aNow < aTokens.mPartsOutUntil ? aTokens.mPartsOut : 0;
  return AddTokens(std::max<token_count>(0, own),
                   AddTokens(aTokens.mRecall.mRetained, out));
}

void OnTokensRecalled(gateway& aGateway, const tokens_recalled& aEvent,
                      absl::Time aNow)
{
  const auto found = aGateway.mWorkspaceTokens.find(aEvent.mWorkspace);
  token_count returned = 0;
  token_count left = 0;
  if (found != aGateway.mWorkspaceTokens.end()) {
    workspace_tokens& tokens = found->second;
    token_count retained = 0;
    if (HasDemand(tokens.mDemand, aNow)) {
      retained = aEvent.mIsUsedUp ? EstimateSoonNeeded(aGateway, tokens, aNow)
                                  : tokens.mTarget;
    }
    const grant_clock clock = MakeGrantClock(aGateway, aNow);
    const token_count available = ComputeAvailable(tokens.mShare, clock);
    const token_count surplus =
      std::min(tokens.mShare.mFreeTokens - retained, available);
    if (surplus == available && aEvent.mIsUsedUp) {
      // The next write of the limit covers what the next recall takes.
      tokens.mUnserved =
        std::max(tokens.mUnserved, tokens.mShare.mFreeTokens - retained);
      UpdatePlannedTokens(tokens);
    }
    if (surplus > 0 && Reserve(tokens.mShare, surplus, clock)) {
      returned = surplus;
    }
    left = std::max<token_count>(0, tokens.mShare.mFreeTokens +
                                      tokens.mShare.mWithheldTokens);
  }
  aGateway.mActions.push_back(
    send_token_response{ aEvent.mCall, { returned, false, false, left } });
}

} // namespace foxtailquay
