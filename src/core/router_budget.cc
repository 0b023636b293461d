// Manages the router's budget shares: grants, transfers between routers,
// reservations and settlement.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Delay of a grant, for batching with other operations on the same account
// shard.
constexpr absl::Duration kGrantDelay = absl::Milliseconds(2);
// Maximum number of peers from which a transfer is requested at a time, when
// the budget's account has no unallocated tokens or the store is unavailable.
constexpr std::size_t kMaxTransferPeers = 3;
// Time to wait for a peer's response to a transfer request.
constexpr absl::Duration kTransferTimeout = absl::Seconds(1);
// Failures in a row on one queue after which the store counts as unavailable.
constexpr int kFailuresBeforeUnhealthy = 2;
// Free tokens of an active share are returned only if they exceed this multiple
// of the target, so that the share does not alternate between grants and
// returns.
constexpr token_count kSurplusFactor = 3;

// Returns the account shard of a budget.
std::uint32_t ComputeShard(const router_state& aState, const budget_id& aBudget)
{
  return ComputeShard(aBudget, aState.mNode.mConfig.mFleet.mAccountShards);
}

// Returns the share horizon that the workspace of the budget is configured
// with, or a second if the budget has no workspace.
absl::Duration GetShareHorizon(const router_state& aState,
                               const budget_id& aBudget)
{
  const auto owner = aState.mBudgetWorkspaces.find(aBudget);
  if (owner == aState.mBudgetWorkspaces.end()) {
    return absl::Seconds(1);
  }
  return aState.mNode.mConfig.mWorkspaces.at(owner->second).mShareHorizon;
}

// Returns the time without use after which a share counts as idle. It is at
// least the share horizon, so that a rarely used budget does not lose its share
// between two requests.
absl::Duration ComputeIdleTime(const router_state& aState,
                               const budget_id& aBudget)
{
  return std::max(aState.mOptions.mIdleAfter, GetShareHorizon(aState, aBudget));
}

// Returns the tokens that the waiting requests need beyond the free tokens.
token_count ComputeMissingTokens(const router_state& aState,
                                 const share_state& aShare)
{
  token_count needed = 0;
  for (request_handle handle : aShare.mWaiting) {
    const auto found = aState.mRequests.find(handle);
    if (found != aState.mRequests.end()) {
      needed = AddTokens(needed, found->second.mWorstCaseCost);
    }
  }
  return std::max<token_count>(0, needed - ComputeFreeTokens(aShare));
}

struct share_context
{
  const router_state& mState;
  const share_state& mShare;
};

// Returns the value of a guard of the share chart.
bool EvaluateGuard(share_guard aGuard, const share_context& aContext)
{
  switch (aGuard) {
    case share_guard::CoversWaiting:
      return ComputeMissingTokens(aContext.mState, aContext.mShare) == 0;
    case share_guard::AccountHasMore:
      return aContext.mShare.mUnallocated > 0;
  }
  return false;
}

// Submits a grant for the waiting requests and the target of the share,
// together with the recorded loss epoch. Does nothing if a grant is pending.
void RequestGrant(router_state& aState, share_state& aShare, absl::Time aNow)
{
  if (aShare.mGrantPending) {
    return;
  }
  const token_count missing = ComputeMissingTokens(aState, aShare);
  const token_count target =
    ComputeTargetTokens(aShare, GetShareHorizon(aState, aShare.mId.mBudget),
                        aState.mOptions.mMinGrant);
  grant_op grant;
  grant.mShare = aShare.mId;
  grant.mAdjustment = ++aShare.mAdjustment;
  grant.mRequired = missing;
  grant.mRequested =
    missing +
    std::max<token_count>(
      0, target - std::max<token_count>(0, ComputeFreeTokens(aShare)));
  grant.mMaxPermille = aState.mOptions.mMaxGrantPermille;
  aShare.mGrantPending = true;
  SubmitAccountOp(aState, grant, 0, aNow + kGrantDelay);
  if (aState.mRecordedLossEpoch > 0) {
    SubmitAccountOp(
      aState, record_loss_epoch_op{ aShare.mId, aState.mRecordedLossEpoch }, 0,
      aNow + kGrantDelay);
  }
}

// Returns up to kMaxTransferPeers reachable routers that hold unspent tokens of
// the budget according to the last committed account, in descending order of
// these tokens. Returns random active routers if the account is not known.
std::vector<member_id> ListHolders(router_state& aState,
                                   const share_state& aShare)
{
  std::vector<std::pair<token_count, member_id>> holders;
  const account_queue& queue =
    GetOrCreateAccountQueue(aState, aShare.mId.mBudget);
  const auto found = queue.mCommitted.mAccounts.find(aShare.mId.mBudget);
  const auto active = ListActiveMembers(aState.mNode, process_role::Router);
  if (found != queue.mCommitted.mAccounts.end()) {
    for (const auto& [holder, record] : found->second.mShares) {
      const bool reachable =
        std::find(active.begin(), active.end(), holder.mMember) !=
          active.end() &&
        aState.mNode.mSuspectedSince.count(holder.mMember) == 0;
      if (reachable && record.mGranted > record.mSpent) {
        holders.emplace_back(record.mSpent - record.mGranted, holder.mMember);
      }
    }
  }
  std::sort(holders.begin(), holders.end());
  std::vector<member_id> ids;
  for (const auto& [free, id] : holders) {
    if (ids.size() < kMaxTransferPeers) {
      ids.push_back(id);
    }
  }
  if (found == queue.mCommitted.mAccounts.end()) {
    return ChooseRandom(aState.mNode, active, kMaxTransferPeers);
  }
  return ids;
}

// Refuses all waiting requests of the share.
void RefuseWaiting(router_state& aState, share_state& aShare, absl::Time aNow)
{
  const std::vector<request_handle> waiting = std::move(aShare.mWaiting);
  aShare.mWaiting.clear();
  for (request_handle handle : waiting) {
    const auto found = aState.mRequests.find(handle);
    if (found == aState.mRequests.end()) {
      continue;
    }
    FailRequest(aState, found->second, request_event::Unfunded,
                error{ error_code::BudgetExhausted, executed::No, "",
                       absl::StrCat("budget \"", aShare.mId.mBudget.mValue,
                                    "\" cannot cover the request's worst-case "
                                    "cost of ",
                                    found->second.mWorstCaseCost, " tokens"),
                       absl::ZeroDuration() },
                aNow);
  }
}

// Refuses the waiting requests if neither a grant nor a transfer request is
// pending.
void RefuseWaitingIfNoSource(router_state& aState, share_state& aShare,
                             absl::Time aNow)
{
  if (aShare.mTransferPeers.empty() && !aShare.mGrantPending) {
    RefuseWaiting(aState, aShare, aNow);
  }
}

// Stops waiting for peers that have not responded in time.
void ExpireTransferRequests(router_state& aState, share_state& aShare,
                            absl::Time aNow)
{
  if (!aShare.mTransferPeers.empty() && aShare.mTransferDeadline <= aNow) {
    aShare.mTransferPeers.clear();
    RefuseWaitingIfNoSource(aState, aShare, aNow);
  }
}

// Reserves tokens for the waiting requests that the free tokens cover, in order
// of arrival. A small request may overtake a large one that is not covered.
void FundWaiting(router_state& aState, share_state& aShare, absl::Time aNow)
{
  std::vector<request_handle> waiting;
  waiting.swap(aShare.mWaiting);
  std::vector<request_handle> uncovered;
  for (request_handle handle : waiting) {
    const auto found = aState.mRequests.find(handle);
    if (found == aState.mRequests.end()) {
      continue;
    }
    request_state& request = found->second;
    const auto number = Reserve(aShare, request.mWorstCaseCost, aNow);
    if (!number) {
      uncovered.push_back(handle);
      continue;
    }
    request.mRun = { aShare.mId, *number };
    request.mReserved = true;
    FireRequest(aState, request, request_event::Funded, aNow);
  }
  aShare.mWaiting.insert(aShare.mWaiting.begin(), uncovered.begin(),
                         uncovered.end());
}

// Refuses the waiting requests and submits the close of the share.
void SubmitClose(router_state& aState, share_state& aShare, absl::Time aNow)
{
  RefuseWaiting(aState, aShare, aNow);
  SubmitAccountOp(aState, close_share_op{ aShare.mId, 0 }, 0, aNow);
}

// Performs an action of the share chart.
void PerformAction(router_state& aState, share_state& aShare,
                   share_action aAction, absl::Time aNow)
{
  switch (aAction) {
    case share_action::RequestGrant:
      RequestGrant(aState, aShare, aNow);
      if (!IsStoreHealthy(aState)) {
        AskPeers(aState, aShare, aNow);
      }
      break;
    case share_action::FundWaiting:
      FundWaiting(aState, aShare, aNow);
      break;
    case share_action::AskPeers:
      AskPeers(aState, aShare, aNow);
      break;
    case share_action::SubmitClose:
      SubmitClose(aState, aShare, aNow);
      break;
    case share_action::RefuseWaiting:
      RefuseWaiting(aState, aShare, aNow);
      break;
  }
}

// Submits a return of the surplus of free tokens, if there is one. Does
// nothing while the share has a pending grant or return or waiting requests, or
// the store is not healthy.
void ReturnSurplus(router_state& aState, share_state& aShare, absl::Time aNow)
{
  if (aShare.mGrantPending || aShare.mReturnPending > 0 ||
      !aShare.mWaiting.empty() || !IsStoreHealthy(aState)) {
    return;
  }
  const token_count free = ComputeFreeTokens(aShare);
  const bool idle =
    aShare.mLastUsed + ComputeIdleTime(aState, aShare.mId.mBudget) <= aNow;
  const token_count target =
    ComputeTargetTokens(aShare, GetShareHorizon(aState, aShare.mId.mBudget),
                        aState.mOptions.mMinGrant);
  token_count keep = idle ? ComputeTargetTokens(aShare, absl::ZeroDuration(),
                                                aState.mOptions.mMinGrant)
                          : target;
  // If the account is almost used up, idle routers return all free tokens so
  // that other routers can spend them.
  if (idle && aShare.mUnallocated < aState.mOptions.mMinGrant) {
    keep = 0;
  }
  const bool surplus = idle ? free > keep : free > kSurplusFactor * target;
  if (!surplus) {
    return;
  }
  return_op returned;
  returned.mShare = aShare.mId;
  returned.mAdjustment = ++aShare.mAdjustment;
  returned.mAmount = free - keep;
  aShare.mReturnPending = returned.mAmount;
  SubmitAccountOp(aState, returned, 0, aNow + aState.mSettleDelay);
}

} // namespace

void AskPeers(router_state& aState, share_state& aShare, absl::Time aNow)
{
  const token_count missing = ComputeMissingTokens(aState, aShare);
  if (missing == 0 || !aShare.mTransferPeers.empty()) {
    return;
  }
  aShare.mTransferDeadline = aNow + kTransferTimeout;
  for (const member_id& peer : ListHolders(aState, aShare)) {
    aShare.mTransferPeers.insert(peer);
    Send(aState.mNode, peer,
         transfer_request_message{ aShare.mId.mBudget, missing });
  }
  RefuseWaitingIfNoSource(aState, aShare, aNow);
}

bool IsStoreHealthy(const router_state& aState)
{
  for (const auto& [shard, queue] : aState.mAccounts) {
    if (queue.mFailures >= kFailuresBeforeUnhealthy) {
      return false;
    }
  }
  return aState.mNode.mMembersQueue.mFailures < kFailuresBeforeUnhealthy;
}

account_queue& GetOrCreateAccountQueue(router_state& aState,
                                       const budget_id& aBudget)
{
  const std::uint32_t shard = ComputeShard(aState, aBudget);
  account_queue& queue = aState.mAccounts[shard];
  queue.mKey = { store_area::Accounts, shard };
  queue.mSeed = aState.mNode.mSettings.mSeed;
  return queue;
}

void SubmitAccountOp(router_state& aState, account_op aOp,
                     std::uint64_t aOperationId, absl::Time aDueAt)
{
  account_queue& queue = GetOrCreateAccountQueue(aState, GetBudget(aOp));
  Submit(queue, std::move(aOp), aOperationId, aDueAt);
}

share_state& GetOrCreateShare(router_state& aState, const budget_id& aBudget)
{
  const auto [found, added] = aState.mShares.try_emplace(aBudget);
  share_state& share = found->second;
  // A share of an earlier incarnation of this router is not valid any more.
  if (added || !(share.mId.mHolder == aState.mNode.mSelf)) {
    share = share_state{};
    share.mId = { aBudget, aState.mNode.mSelf };
  }
  return share;
}

void FireShare(router_state& aState, share_state& aShare, share_event aEvent,
               absl::Time aNow)
{
  const auto actions =
    Fire(aState.mNode.mCharts->mShare, aShare.mStatus, aEvent,
         share_context{ aState, aShare }, &EvaluateGuard);
  for (share_action action : actions) {
    PerformAction(aState, aShare, action, aNow);
  }
}

void ReserveForRequest(router_state& aState, request_state& aRequest,
                       absl::Time aNow)
{
  if (aState.mNode.mSelf.mIncarnation == 0) {
    // The router was fenced after it admitted this request.
    FailRequest(aState, aRequest, request_event::Unfunded,
                error{ error_code::NotReady, executed::No, "",
                       "this router was fenced and is rejoining the fleet",
                       absl::Seconds(1) },
                aNow);
    return;
  }
  share_state& share = GetOrCreateShare(aState, aRequest.mBudget);
  share.mLastUsed = aNow;
  share.mWaiting.push_back(aRequest.mHandle);
  aRequest.mFundingDeadline = aNow + aState.mOptions.mGrantWait;
  if (share.mStatus == share_status::Open) {
    FundWaiting(aState, share, aNow);
  }
  if (aRequest.mStatus != request_status::Funding) {
    return;
  }
  StartTimer(aState, aRequest, request_timer::FundingDeadline,
             aRequest.mFundingDeadline);
  FireShare(aState, share, share_event::Demand, aNow);
}

void CancelWaiting(router_state& aState, const request_state& aRequest)
{
  const auto share = aState.mShares.find(aRequest.mBudget);
  if (share == aState.mShares.end()) {
    return;
  }
  auto& waiting = share->second.mWaiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), aRequest.mHandle),
                waiting.end());
}

void SettleRun(router_state& aState, request_state& aRequest, token_count aCost,
               absl::Time aNow)
{
  if (!aRequest.mReserved) {
    return;
  }
  aRequest.mReserved = false;
  const share_id& id = aRequest.mRun.mShare;
  const auto share = aState.mShares.find(id.mBudget);
  if (share != aState.mShares.end() && share->second.mId == id) {
    SettleLocally(share->second, aRequest.mRun.mNumber, aCost);
    share->second.mLastUsed = aNow;
  }
  SubmitAccountOp(aState, settle_op{ aRequest.mRun, aCost }, 0,
                  aNow + aState.mSettleDelay);
}

void AdvanceShares(router_state& aState, absl::Time aNow)
{
  const absl::Duration elapsed = aNow - aState.mLastShareAdvance;
  aState.mLastShareAdvance = aNow;
  for (auto& [budget, share] : aState.mShares) {
    ExpireTransferRequests(aState, share, aNow);
    if (share.mStatus != share_status::Open ||
        !(share.mId.mHolder == aState.mNode.mSelf)) {
      continue;
    }
    UpdateRate(share, elapsed, GetShareHorizon(aState, budget));
    const bool active =
      share.mLastUsed + ComputeIdleTime(aState, budget) > aNow;
    const token_count target = ComputeTargetTokens(
      share, GetShareHorizon(aState, budget), aState.mOptions.mMinGrant);
    // Unallocated tokens below the minimum grant are left for requests that
    // need them. Otherwise the share would submit a grant every second to no
    // effect.
    if (active && ComputeFreeTokens(share) < target / 2 &&
        share.mUnallocated >= aState.mOptions.mMinGrant) {
      FireShare(aState, share, share_event::Demand, aNow);
    } else {
      ReturnSurplus(aState, share, aNow);
    }
  }
}

void OnTransferRequest(router_state& aState, const process_id& aFrom,
                       const transfer_request_message& aMessage,
                       absl::Time aNow)
{
  transfer_op transfer;
  transfer.mFrom.mShare = { aMessage.mBudget, aState.mNode.mSelf };
  transfer.mTo = aFrom;
  const auto share = aState.mShares.find(aMessage.mBudget);
  const bool allowed = !IsRefused(aState.mNode, aFrom) &&
                       aState.mNode.mStatus == process_status::Ready;
  if (share != aState.mShares.end() && allowed) {
    transfer = TransferTokens(share->second, aFrom, aMessage.mRequested);
    if (transfer.mAmount > 0) {
      SubmitAccountOp(aState, transfer, 0, aNow + aState.mSettleDelay);
    }
  }
  Send(aState.mNode, aFrom.mMember, transfer_message{ transfer });
}

void OnTransfer(router_state& aState, const process_id& aFrom,
                const transfer_op& aTransfer, absl::Time aNow)
{
  if (aState.mNode.mSelf.mIncarnation == 0) {
    return;
  }
  share_state& share = GetOrCreateShare(aState, aTransfer.mFrom.mShare.mBudget);
  share.mTransferPeers.erase(aFrom.mMember);
  const bool accepted =
    aTransfer.mTo == aState.mNode.mSelf &&
    !IsRefused(aState.mNode, aTransfer.mFrom.mShare.mHolder);
  if (aTransfer.mAmount > 0 && accepted && RecordTransfer(share, aTransfer)) {
    SubmitAccountOp(aState, aTransfer, 0, aNow + aState.mSettleDelay);
    if (aState.mRecordedLossEpoch > 0) {
      SubmitAccountOp(
        aState, record_loss_epoch_op{ share.mId, aState.mRecordedLossEpoch }, 0,
        aNow + aState.mSettleDelay);
    }
    FireShare(aState, share, share_event::TransferReceived, aNow);
  }
  RefuseWaitingIfNoSource(aState, share, aNow);
}

void OnPeerUnresponsive(router_state& aState, const member_id& aPeer,
                        absl::Time aNow)
{
  for (auto& [budget, share] : aState.mShares) {
    if (share.mTransferPeers.erase(aPeer) != 0) {
      RefuseWaitingIfNoSource(aState, share, aNow);
    }
  }
}

void RecordLosses(router_state& aState, absl::Time aNow)
{
  const member_list& members = aState.mNode.mMembers;
  if (members.mLossEpoch <= aState.mRecordedLossEpoch) {
    return;
  }
  for (const auto& [handle, request] : aState.mRequests) {
    if (!request.mReserved || request.mBackend.mValue.empty()) {
      continue;
    }
    const auto agent =
      members.mMembers.find(member_id{ request.mBackend.mValue });
    if (agent == members.mMembers.end() ||
        agent->second.mIncarnation != request.mAgentIncarnation) {
      return;
    }
  }
  aState.mRecordedLossEpoch = members.mLossEpoch;
  for (const auto& [budget, share] : aState.mShares) {
    if (share.mStatus == share_status::Open ||
        share.mStatus == share_status::Requesting) {
      // The queue applies it after all settlements and transfers submitted so
      // far.
      SubmitAccountOp(aState,
                      record_loss_epoch_op{ share.mId, members.mLossEpoch }, 0,
                      aNow + aState.mSettleDelay);
    }
  }
}

void RemoveShares(router_state& aState, absl::Time aNow)
{
  for (auto& [budget, share] : aState.mShares) {
    FireShare(aState, share, share_event::Fenced, aNow);
  }
}

} // namespace foxtailquay
