#include "gateway_acquisition.h"

#include <algorithm>

#include "gateway_waiters.h"

namespace foxtailquay {

namespace {

// Returns true if the tokens that are free or may still be granted do not cover
// the waiters.
bool LacksTokens(const workspace_tokens& aTokens)
{
  const grant_share& share = aTokens.mShare;
  token_count needed = 0;
  for (const token_waiter& waiter : aTokens.mWaiters) {
    needed = AddTokens(needed, waiter.mAmount);
  }
  return share.mVersion > 0 && !share.mPending && !IsFromEarlierEra(share) &&
         needed > share.mFreeTokens + share.mWithheldTokens + aTokens.mPrepaid -
                    ComputeTotal(share.mRecord);
}

// Returns true if no tokens are left to grant for a waiter.
bool IsShort(const workspace_tokens& aTokens, const grant_options& aOptions)
{
  return LacksTokens(aTokens) || HasExhaustedWaiter(aTokens, aOptions);
}

} // namespace

acquisition PlanAcquisition(const gateway& aGateway,
                            const workspace_id& aWorkspace,
                            const workspace_tokens& aTokens, absl::Time aNow)
{
  acquisition plan;
  plan.mCoordinator =
    FindCoordinator(aGateway, aWorkspace, true, token_call::Need, aNow);
  if (!plan.mCoordinator.mPeer.empty()) {
    plan.mSource = token_source::Coordinator;
    return plan;
  }
  const bool isStoreAway = IsStoreUnavailable(aGateway);
  const bool recalls =
    isStoreAway || IsShort(aTokens, aGateway.mSettings.mGrants);
  if (recalls) {
    plan.mRecall = PlanRecall(
      aGateway, aWorkspace, aTokens,
      !isStoreAway || IsExhausted(aTokens.mShare, aTokens.mPrepaid), aNow);
  }
  const token_recall& recall =
    plan.mRecall ? plan.mRecall->mRecall : aTokens.mRecall;
  if (recalls && !recall.mOpenPeers.empty()) {
    plan.mSource = token_source::Recall;
    return plan;
  }
  if (!isStoreAway) {
    plan.mSource = token_source::Grant;
    return plan;
  }
  plan.mCoordinator =
    FindCoordinator(aGateway, aWorkspace, false, token_call::Need, aNow);
  plan.mSource = plan.mCoordinator.mPeer.empty()
                   ? token_source::Unreachable
                   : token_source::OtherCoordinator;
  return plan;
}

bool MayHaveRoom(const gateway& aGateway, const workspace_tokens& aTokens)
{
  const grant_share& share = aTokens.mShare;
  const token_count left = AddTokens(
    share.mFreeTokens + share.mWithheldTokens,
    std::max<token_count>(0, aTokens.mPrepaid - ComputeTotal(share.mRecord)));
  return !IsStoreUnavailable(aGateway) && MayWriteGrants(aGateway) &&
         std::any_of(aTokens.mWaiters.begin(), aTokens.mWaiters.end(),
                     [&](const token_waiter& aWaiter) {
                       return aWaiter.mAmount <= left;
                     });
}

void RecallIfUsedUp(gateway& aGateway, const workspace_id& aWorkspace,
                    absl::Time aNow)
{
  const workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  if (!IsShort(tokens, aGateway.mSettings.mGrants) ||
      !RecallTokens(aGateway, aWorkspace, true, aNow)) {
    EndExhaustedWaiters(aGateway, aWorkspace, aNow);
  }
}

void AcquireTokens(gateway& aGateway, const workspace_id& aWorkspace,
                   absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  acquisition plan = PlanAcquisition(aGateway, aWorkspace, tokens, aNow);
  ApplyRecall(aGateway, aWorkspace, std::move(plan.mRecall));
  switch (plan.mSource) {
    case token_source::Recall:
      if (!IsStoreUnavailable(aGateway)) {
        WriteGrants(aGateway, aNow);
      }
      return;
    case token_source::Grant:
      EndExhaustedWaiters(aGateway, aWorkspace, aNow);
      WriteGrants(aGateway, aNow);
      return;
    case token_source::Unreachable:
      EndPeerWaiters(aGateway, aWorkspace, aNow);
      ReserveForWaiters(aGateway, aWorkspace, true, aNow);
      return;
    case token_source::OtherCoordinator:
      // Peers may still reach the store. Requests of other gateways are not
      // forwarded to them; those gateways try other peers themselves.
      EndPeerWaiters(aGateway, aWorkspace, aNow);
      break;
    case token_source::NotNeeded:
    case token_source::Held:
    case token_source::Coordinator:
      break;
  }
  const coordinator_choice& coordinator = plan.mCoordinator;
  if (tokens.mWaiters.empty()) {
    return;
  }
  const auto peer = aGateway.mPeers.find(coordinator.mPeer);
  if (peer != aGateway.mPeers.end() && !peer->second.mIsKnownAlive) {
    // After a restart of all gateways, the list names many that have not
    // started again, and a call to one of them takes longer than a request may
    // wait.
    StartActing(aGateway, aWorkspace, coordinator.mPeer, "not_known_alive",
                aNow);
  }
  if (IsActing(tokens, aNow)) {
    WriteGrants(aGateway, aNow);
  }
  if (tokens.mIsRequesting ||
      (aNow < tokens.mNextRequestAt && MayHaveRoom(aGateway, tokens))) {
    return;
  }
  // A request states one priority, because the coordinator leaves headroom for
  // higher ones.
  const grant_options& options = aGateway.mSettings.mGrants;
  const int priority = tokens.mWaiters.front().mPriority;
  token_count shortage =
    ComputeRequiredHeadroom(tokens.mShare, priority, options, aNow) -
    tokens.mShare.mFreeTokens;
  for (const token_waiter& waiter : tokens.mWaiters) {
    shortage =
      std::min(kMaxTokenCount,
               shortage + (waiter.mPriority == priority ? waiter.mAmount : 0));
  }
  if (shortage <= 0) {
    // The limit keeps free tokens from the waiters.
    WriteGrants(aGateway, aNow);
    return;
  }
  tokens.mIsRequesting = true;
  // The waiters take all free tokens, so that the target is missing as well.
  aGateway.mActions.push_back(request_tokens{
    coordinator.mPeer, coordinator.mAddress, aWorkspace,
    AddTokens(shortage, tokens.mTarget), priority, shortage,
    aGateway.mSettings.mName, tokens.mShare.mFreeTokens, token_call::Need });
}

} // namespace foxtailquay
