// Prepaid totals of a gateway: writes grants and transfers tokens between
// gateways.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_acquisition.h"
#include "gateway_coordinator.h"
#include "gateway_placement.h"
#include "gateway_state.h"
#include "gateway_waiters.h"

namespace foxtailquay {

namespace {

// Shortest interval between two grant writes of this gateway.
constexpr absl::Duration kWriteInterval = absl::Milliseconds(25);

grant_write MakeGrantWrite(const gateway& aGateway)
{
  grant_write write;
  write.mEra = aGateway.mEra;
  write.mMarksEra = aGateway.mMarksEra;
  return write;
}

// Plans the next write of a workspace, if there is one.
std::optional<grant_plan> PlanWrite(gateway& aGateway,
                                    const workspace_id& aWorkspace,
                                    workspace_tokens& aTokens, bool aIsDue,
                                    absl::Time aNow)
{
  grant_options options = aGateway.mSettings.mGrants;
  // A gateway that gets token requests acts in place of a coordinator that
  // cannot transfer tokens.
  const bool isCoordinator =
    UpdateCoordinator(aGateway, aWorkspace, aTokens, aNow) ||
    HasPeerWaiting(aTokens);
  const std::optional<token_count> hold = aTokens.mShare.mTokensToHold;
  if (!isCoordinator && IsActing(aTokens, aNow)) {
    // The coordinator grants what is ahead of need: if each gateway did, all
    // would hold more than may be lost.
    options.mHasFloor = false;
    aTokens.mShare.mTokensToHold = EstimateSoonNeeded(aGateway, aTokens, aNow);
  }
  auto plan = PlanGrant(aTokens.mShare, aGateway.mHolder, aTokens.mPrepaid,
                        isCoordinator || IsActing(aTokens, aNow), aIsDue,
                        options, MakeGrantClock(aGateway, aNow));
  aTokens.mShare.mTokensToHold = hold;
  return plan;
}

// Returns the free tokens above aRetained to the coordinator.
void ReturnToCoordinator(gateway& aGateway, const workspace_id& aWorkspace,
                         token_count aRetained, absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  const coordinator_choice coordinator =
    FindCoordinator(aGateway, aWorkspace, true, token_call::Need, aNow);
  const grant_clock clock = MakeGrantClock(aGateway, aNow);
  const token_count surplus = std::min(tokens.mShare.mFreeTokens - aRetained,
                                       ComputeAvailable(tokens.mShare, clock));
  if (coordinator.mPeer.empty() || surplus <= 0 ||
      !Reserve(tokens.mShare, surplus, clock)) {
    return;
  }
  aGateway.mActions.push_back(
    return_tokens{ coordinator.mPeer, coordinator.mAddress, aWorkspace, surplus,
                   aGateway.mSettings.mName });
}

// Applies the outcome of a grant write to the tokens of one workspace. Returns
// the number of tokens that the write has granted.
token_count ApplyWriteOutcome(gateway& aGateway,
                              const grant_write::entry& aEntry,
                              const grant_write_response& aEvent)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aEntry.mWorkspace];
  const token_count before = tokens.mShare.mFreeTokens;
  const token_count totalBefore = ComputeTotal(tokens.mShare.mRecord);
  if (aEvent.mOutcome == grant_outcome::Conflict) {
    for (const grant_state& state : aEvent.mStates) {
      if (state.mWorkspace == aEntry.mWorkspace) {
        // One changed record fails the complete write, also the entries whose
        // records are unchanged.
        const bool isUnchanged = state.mVersion == aEntry.mPlan.mExpected;
        RecordGrantWrite(tokens.mShare, aGateway.mHolder,
                         isUnchanged ? grant_outcome::NotWritten
                                     : grant_outcome::Conflict,
                         state.mRecord, state.mVersion);
      }
    }
  } else {
    RecordGrantWrite(tokens.mShare, aGateway.mHolder, aEvent.mOutcome,
                     aEntry.mPlan.mRecord, aEvent.mRevision);
  }
  if (tokens.mShare.mFreeTokens != before ||
      ComputeTotal(tokens.mShare.mRecord) < totalBefore) {
    RecordDecision(
      aGateway, decision::GrantChanged,
      { { "workspace", aEntry.mWorkspace.mValue },
        { "outcome", std::string(ToName(aEvent.mOutcome)) },
        { "free", absl::StrCat(tokens.mShare.mFreeTokens) },
        { "limit", absl::StrCat(tokens.mShare.mEntry.mLimit) },
        { "granted", absl::StrCat(tokens.mShare.mEntry.mGranted) },
        { "out", absl::StrCat(tokens.mShare.mUsedTokens) },
        { "granted_to_all", absl::StrCat(ComputeTotal(tokens.mShare.mRecord)) },
        { "prepaid", absl::StrCat(tokens.mPrepaid) },
        { "revision", absl::StrCat(tokens.mShare.mVersion) },
        { "era", absl::StrCat(tokens.mShare.mRecord.mEra) } });
  }
  return std::max<token_count>(0, tokens.mShare.mFreeTokens - before);
}

} // namespace

void StartActing(gateway& aGateway, const workspace_id& aWorkspace,
                 const std::string& aCoordinator, std::string_view aCause,
                 absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  if (aNow >= tokens.mActsUntil) {
    RecordDecision(aGateway, decision::GrantActing,
                   { { "workspace", aWorkspace.mValue },
                     { "coordinator", aCoordinator },
                     { "cause", std::string(aCause) } });
  }
  tokens.mActsUntil = aNow + kFundingTimeout;
}

bool IsActing(const workspace_tokens& aTokens, absl::Time aNow)
{
  return aNow < aTokens.mActsUntil && !aTokens.mWaiters.empty();
}

void WriteGrants(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mEntriesInFlight.empty() || aNow < aGateway.mNextWriteAt ||
      IsReturningGrants(aGateway) || !MayWriteGrants(aGateway) ||
      aGateway.mWorkspaceTokens.empty()) {
    return;
  }
  const bool isPeriodic = aNow >= aGateway.mNextPeriodicWriteAt;
  grant_write write = MakeGrantWrite(aGateway);
  for (auto& entry : aGateway.mWorkspaceTokens) {
    workspace_tokens& tokens = entry.second;
    tokens.mShare.mEra = aGateway.mEra;
    UpdateNeededTokens(tokens, aGateway.mSettings.mGrants, aNow);
    UpdatePlannedTokens(tokens);
    const bool isDue = isPeriodic && !(entry.first < aGateway.mPeriodicFrom);
    auto plan = PlanWrite(aGateway, entry.first, tokens, isDue, aNow);
    if (plan) {
      write.mEntries.push_back({ entry.first, std::move(*plan) });
    }
    if (write.mEntries.size() == kMaxGrantEntries) {
      // The next write continues after this workspace. If each write began
      // with the first one, those beyond the first twelve would get none.
      aGateway.mPeriodicFrom = std::max(aGateway.mPeriodicFrom, entry.first);
      break;
    }
  }
  if (isPeriodic && write.mEntries.size() < kMaxGrantEntries) {
    aGateway.mNextPeriodicWriteAt = aNow + kLimitInterval;
    aGateway.mPeriodicFrom = {};
  }
  if (!write.mEntries.empty()) {
    aGateway.mEntriesInFlight = write.mEntries;
    aGateway.mActions.push_back(std::move(write));
  }
}

bool IsReturningGrants(const gateway& aGateway)
{
  return aGateway.mReturnDeadline != absl::InfiniteFuture();
}

grant_clock MakeGrantClock(const gateway& aGateway, absl::Time aNow)
{
  return { aNow,
           absl::ToInt64Milliseconds(aNow - aGateway.mSettings.mBootStart) };
}

void ReserveForRequest(gateway& aGateway, forwarded_request& aRequest,
                       absl::Time aNow)
{
  const request_handle handle = aRequest.mCaller.mHandle;
  if (!NeedsTokens(aRequest)) {
    FireRequest(aGateway, handle, forward_event::Funded, aNow);
    return;
  }
  const workspace_id workspace = aRequest.mWorkspace;
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[workspace];
  RecordOwnDemand(aGateway, tokens, aRequest.mWorstCaseCost,
                  aRequest.mRoutePriority, aNow);
  tokens.mWaiters.push_back(MakeWaiter(aRequest, aNow));
  ReserveForWaiters(aGateway, workspace, false, aNow);
  if (!tokens.mWaiters.empty()) {
    AcquireTokens(aGateway, workspace, aNow);
  } else {
    WriteGrants(aGateway, aNow);
  }
}

token_count ComputeSpentTokens(const forwarded_request& aRequest)
{
  if (!aRequest.mMayHaveExecuted) {
    return 0;
  }
  const token_count output =
    std::min(aRequest.mCaller.mMaxOutputTokens,
             MultiplyTokens(aRequest.mTokensPerEvent, aRequest.mEvents));
  return std::min(aRequest.mReserved,
                  AddTokens(aRequest.mCaller.mPromptTokens, output));
}

void SettleRequest(gateway& aGateway, forwarded_request& aRequest)
{
  if (aRequest.mReserved == 0) {
    return;
  }
  Settle(aGateway.mWorkspaceTokens[aRequest.mWorkspace].mShare,
         aRequest.mReserved, ComputeSpentTokens(aRequest));
  aRequest.mReserved = 0;
}

void OnGrantWriteResponse(gateway& aGateway, const grant_write_response& aEvent,
                          absl::Time aNow)
{
  const era_match match = MatchEra(aGateway, aEvent.mEra, aNow);
  if (match == era_match::Superseded) {
    return;
  }
  if (match == era_match::Unsound) {
    grant_write_response unknown;
    unknown.mEra.mKnown = aGateway.mEra;
    OnGrantWriteResponse(aGateway, unknown, aNow);
    return;
  }
  std::vector<grant_write::entry> entries;
  entries.swap(aGateway.mEntriesInFlight);
  aGateway.mMarksEra =
    aGateway.mMarksEra && aEvent.mOutcome != grant_outcome::Written;
  const bool failed = aEvent.mOutcome == grant_outcome::Unknown ||
                      aEvent.mOutcome == grant_outcome::NotWritten;
  aGateway.mWriteFailed = failed;
  aGateway.mNextWriteAt =
    aNow + (failed ? kInitialBackoff * 2 : kWriteInterval);
  std::vector<grant_replication::amount> granted;
  for (const grant_write::entry& entry : entries) {
    const token_count tokens = ApplyWriteOutcome(aGateway, entry, aEvent);
    const bool isKnown = aEvent.mOutcome == grant_outcome::Written ||
                         aEvent.mOutcome == grant_outcome::Conflict;
    if (tokens > 0 && isKnown) {
      granted.push_back({ entry.mWorkspace, tokens });
    }
  }
  ReplicateGrants(aGateway, std::move(granted), aNow);
  for (const grant_write::entry& entry : entries) {
    ResumeWaiters(aGateway, entry.mWorkspace, aNow);
  }
  if (aEvent.mOutcome == grant_outcome::Conflict) {
    aGateway.mNextWriteAt = aNow;
    // The periodic part of the failed write is due again.
    aGateway.mNextPeriodicWriteAt = aNow;
    if (!entries.empty()) {
      aGateway.mPeriodicFrom = entries.front().mWorkspace;
    }
  }
  WriteGrants(aGateway, aNow);
}

void ResumeWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                   absl::Time aNow)
{
  ReserveForWaiters(aGateway, aWorkspace, false, aNow);
  if (!aGateway.mWorkspaceTokens[aWorkspace].mWaiters.empty()) {
    AcquireTokens(aGateway, aWorkspace, aNow);
  }
}

void OnTokensRequested(gateway& aGateway, const tokens_requested& aEvent,
                       absl::Time aNow)
{
  auto found = aGateway.mWorkspaceTokens.find(aEvent.mWorkspace);
  const bool isReturning = IsReturningGrants(aGateway);
  if (found == aGateway.mWorkspaceTokens.end() || aEvent.mAmount <= 0 ||
      isReturning) {
    aGateway.mActions.push_back(send_token_response{
      aEvent.mCall,
      { 0, false, isReturning || IsStoreUnavailable(aGateway) } });
    return;
  }
  workspace_tokens& tokens = found->second;
  const token_count needed =
    std::min(aEvent.mAmount, aEvent.mNeeded.value_or(aEvent.mAmount));
  if (needed <= 0) {
    ServeRefill(aGateway, aEvent, tokens, aNow);
    WriteGrants(aGateway, aNow);
    return;
  }
  tokens.mWaiters.push_back({ 0, aEvent.mCall, needed, aEvent.mPriority,
                              aNow + kFundingTimeout / 2, aEvent.mPeer,
                              aEvent.mAmount - needed });
  ReserveForWaiters(aGateway, aEvent.mWorkspace, false, aNow);
  if (IsStoreUnavailable(aGateway)) {
    if (HasPeerWaiting(tokens) &&
        RecallTokens(aGateway, aEvent.mWorkspace,
                     IsExhausted(tokens.mShare, tokens.mPrepaid), aNow)) {
      return;
    }
    // The requesting gateway tries another peer. Token requests are not
    // forwarded to a third gateway.
    EndPeerWaiters(aGateway, aEvent.mWorkspace, aNow);
    return;
  }
  RecallIfUsedUp(aGateway, aEvent.mWorkspace, aNow);
  WriteGrants(aGateway, aNow);
}

void OnTokensReturned(gateway& aGateway, const tokens_returned& aEvent,
                      absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aEvent.mWorkspace];
  const token_count amount = std::max<token_count>(0, aEvent.mAmount);
  AddReceivedTokens(tokens.mShare, amount);
  if (aGateway.mPeers.count(aEvent.mPeer) > 0) {
    AddHolding(tokens.mHoldings, aEvent.mPeer, -amount);
  }
  tokens.mPartsOut = std::max<token_count>(0, tokens.mPartsOut - amount);
  ReserveForWaiters(aGateway, aEvent.mWorkspace, false, aNow);
}

void OnTokenResponse(gateway& aGateway, const token_response_received& aEvent,
                     absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aEvent.mWorkspace];
  if (aEvent.mResponse) {
    TrustPeer(aGateway, aEvent.mPeer);
    AddReceivedTokens(tokens.mShare, aEvent.mResponse->mAmount);
  } else {
    SuspectPeer(aGateway, aEvent.mPeer, aNow);
  }
  switch (aEvent.mKind) {
    case token_call::Recall:
      RecordRecallResponse(aGateway, aEvent, aNow);
      ResumeWaiters(aGateway, aEvent.mWorkspace, aNow);
      return;
    case token_call::Refill:
      RecordRefill(tokens,
                   aEvent.mResponse &&
                     aEvent.mResponse->mAmount >= tokens.mRefillAmount,
                   aNow);
      ReserveForWaiters(aGateway, aEvent.mWorkspace, false, aNow);
      return;
    case token_call::Need:
      break;
  }
  tokens.mIsRequesting = false;
  RecordExhaustion(tokens, aEvent.mResponse && aEvent.mResponse->mExhausted,
                   aNow);
  // A refill that brings nothing does not show that the coordinator cannot
  // serve requests: it recalls tokens for those.
  const bool isAway = aEvent.mResponse && aEvent.mResponse->mStoreUnavailable;
  if (isAway) {
    tokens.mAvoidUntil[aEvent.mPeer] = aNow + kAvoidTime;
  }
  if (!aEvent.mResponse || isAway) {
    AcquireTokens(aGateway, aEvent.mWorkspace, aNow);
    return;
  }
  bool isRefused = aEvent.mResponse->mAmount == 0;
  tokens.mStatedLeft = aEvent.mResponse->mLeft;
  tokens.mStatedLeftAt = aNow;
  if (isRefused && !aEvent.mResponse->mExhausted &&
      MayHaveRoom(aGateway, tokens)) {
    // A coordinator that has just started may have no tokens yet.
    StartActing(aGateway, aEvent.mWorkspace, aEvent.mPeer, "no_tokens", aNow);
    tokens.mNextRequestAt = tokens.mActsUntil;
    isRefused = false;
  }
  ReserveForWaiters(aGateway, aEvent.mWorkspace, isRefused, aNow);
  if (!tokens.mWaiters.empty()) {
    AcquireTokens(aGateway, aEvent.mWorkspace, aNow);
  } else if (isRefused) {
    // A part of what was needed, which came before, serves smaller requests
    // elsewhere.
    ReturnToCoordinator(aGateway, aEvent.mWorkspace,
                        EstimateSoonNeeded(aGateway, tokens, aNow), aNow);
  }
}

void UpdatePrepaidTotals(gateway& aGateway, absl::Time aNow)
{
  for (const traffic_workspace& workspace :
       aGateway.mTable->mConfig.mWorkspaces) {
    if (!workspace.mPrepaid) {
      continue;
    }
    workspace_tokens& tokens = aGateway.mWorkspaceTokens[workspace.mId];
    const bool lowered = *workspace.mPrepaid < tokens.mPrepaid;
    if (*workspace.mPrepaid != tokens.mPrepaid) {
      RecordExhaustion(tokens, false, aNow);
      tokens.mStatedLeft.reset();
    }
    tokens.mPrepaid = *workspace.mPrepaid;
    ScheduleFirstParts(tokens, aNow);
    if (lowered) {
      ReturnToCoordinator(aGateway, workspace.mId, 0, aNow);
    }
  }
  ReviewRecovery(aGateway, aNow);
  WriteGrants(aGateway, aNow);
}

void AdvanceGrants(gateway& aGateway, absl::Time aNow)
{
  aGateway.mMessagesLeft = kMaxTokenMessages;
  aGateway.mTokensHeld = 0;
  aGateway.mTokensTarget = 0;
  for (auto& entry : aGateway.mWorkspaceTokens) {
    workspace_tokens& tokens = entry.second;
    UpdateTargets(aGateway, tokens, aNow);
    aGateway.mTokensHeld += tokens.mShare.mFreeTokens;
    aGateway.mTokensTarget += tokens.mTarget;
    ReserveForWaiters(aGateway, entry.first, false, aNow);
    PlaceFirstParts(aGateway, entry.first, aNow);
    if (!tokens.mWaiters.empty()) {
      AcquireTokens(aGateway, entry.first, aNow);
      continue;
    }
    RefillTokens(aGateway, entry.first, aNow);
    const token_count retained = ComputeRetained(aGateway, tokens, aNow);
    if (tokens.mShare.mFreeTokens > kReturnFactor * retained) {
      ReturnToCoordinator(aGateway, entry.first, retained, aNow);
    }
  }
  WriteGrants(aGateway, aNow);
}

bool ReturnAllTokens(gateway& aGateway, absl::Time aNow)
{
  bool done = aGateway.mEntriesInFlight.empty();
  grant_write write = MakeGrantWrite(aGateway);
  for (auto& entry : aGateway.mWorkspaceTokens) {
    ReturnToCoordinator(aGateway, entry.first, 0, aNow);
    if (!aGateway.mEntriesInFlight.empty() ||
        write.mEntries.size() == kMaxGrantEntries) {
      continue;
    }
    auto plan = PlanReturn(entry.second.mShare, aGateway.mHolder,
                           MakeGrantClock(aGateway, aNow));
    if (plan) {
      write.mEntries.push_back({ entry.first, std::move(*plan) });
    }
  }
  if (!write.mEntries.empty()) {
    aGateway.mEntriesInFlight = write.mEntries;
    aGateway.mActions.push_back(std::move(write));
    done = false;
  }
  return done;
}

} // namespace foxtailquay
