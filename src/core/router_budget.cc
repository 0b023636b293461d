// Budget shares: grants, transfers between routers, settlement.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Grants wait this long for other operations on the same shard.
constexpr absl::Duration kGrantDelay = absl::Milliseconds(2);
// Peers asked for tokens at once when a budget's account is used up.
constexpr std::size_t kMaxPeersAsked = 3;
// A peer that has not answered after this time is not waited for.
constexpr absl::Duration kPeerPatience = absl::Seconds(1);
// Failures in a row after which the store counts as unavailable.
constexpr int kUnhealthyFailures = 2;
// Surplus that is given back has to exceed this multiple of the target, so
// that shares do not swing.
constexpr token_count kSurplusFactor = 3;

std::uint32_t ComputeShard(const router_state& aState, const budget_id& aBudget)
{
  return ComputeShard(aBudget, aState.mNode.mConfig.mFleet.mAccountShards);
}

// The workspace setting that applies to a budget.
absl::Duration HorizonOf(const router_state& aState, const budget_id& aBudget)
{
  const auto owner = aState.mBudgetWorkspaces.find(aBudget);
  if (owner == aState.mBudgetWorkspaces.end()) {
    return absl::Seconds(1);
  }
  return aState.mNode.mConfig.mWorkspaces.at(owner->second).mShareHorizon;
}

// A share counts as idle after this time without use; a budget that is used
// rarely must not lose its share between two requests.
absl::Duration IdleTimeOf(const router_state& aState, const budget_id& aBudget)
{
  return std::max(aState.mOptions.mIdleAfter, HorizonOf(aState, aBudget));
}

// Tokens that waiting requests lack.
token_count MissingTokens(const router_state& aState, const share_state& aShare)
{
  token_count needed = 0;
  for (request_handle handle : aShare.mWaiting) {
    const auto found = aState.mRequests.find(handle);
    if (found != aState.mRequests.end()) {
      needed += found->second.mWorstCaseCost;
    }
  }
  return std::max<token_count>(0, needed - ComputeFreeTokens(aShare));
}

struct share_context
{
  const router_state& mState;
  const share_state& mShare;
};

bool EvaluateGuard(share_guard aGuard, const share_context& aContext)
{
  switch (aGuard) {
    case share_guard::CoversWaiting:
      return MissingTokens(aContext.mState, aContext.mShare) == 0;
    case share_guard::AccountHasMore:
      return aContext.mShare.mUnallocated > 0;
  }
  return false;
}

void RequestGrant(router_state& aState, share_state& aShare, absl::Time aNow)
{
  if (aShare.mGrantPending) {
    return;
  }
  const token_count missing = MissingTokens(aState, aShare);
  const token_count target = TargetTokens(
    aShare, HorizonOf(aState, aShare.mId.mBudget), aState.mOptions.mMinGrant);
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

// Routers that hold unspent tokens of the budget, most first, by the account
// as last committed; any active routers if it is not known.
std::vector<member_id> HoldersOf(router_state& aState,
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
    if (ids.size() < kMaxPeersAsked) {
      ids.push_back(id);
    }
  }
  if (found == queue.mCommitted.mAccounts.end()) {
    return ChooseRandom(aState.mNode, active, kMaxPeersAsked);
  }
  return ids;
}

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

// Refuses waiting requests once neither the store nor a peer can help.
void RefuseIfHopeless(router_state& aState, share_state& aShare,
                      absl::Time aNow)
{
  if (aShare.mAsked.empty() && !aShare.mGrantPending) {
    RefuseWaiting(aState, aShare, aNow);
  }
}

void ForgetSilentPeers(router_state& aState, share_state& aShare,
                       absl::Time aNow)
{
  if (!aShare.mAsked.empty() && aShare.mAskedUntil <= aNow) {
    aShare.mAsked.clear();
    RefuseIfHopeless(aState, aShare, aNow);
  }
}

// Reserves for the waiting requests that are covered, in order of arrival. A
// small request may pass a large one that is not covered.
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

void SubmitClose(router_state& aState, share_state& aShare, absl::Time aNow)
{
  RefuseWaiting(aState, aShare, aNow);
  SubmitAccountOp(aState, close_share_op{ aShare.mId, 0 }, 0, aNow);
}

void RunAction(router_state& aState, share_state& aShare, share_action aAction,
               absl::Time aNow)
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

void GiveBackSurplus(router_state& aState, share_state& aShare, absl::Time aNow)
{
  if (aShare.mGrantPending || aShare.mReturnPending > 0 ||
      !aShare.mWaiting.empty() || !IsStoreHealthy(aState)) {
    return;
  }
  const token_count free = ComputeFreeTokens(aShare);
  const bool idle =
    aShare.mLastUsed + IdleTimeOf(aState, aShare.mId.mBudget) <= aNow;
  const token_count target = TargetTokens(
    aShare, HorizonOf(aState, aShare.mId.mBudget), aState.mOptions.mMinGrant);
  token_count keep =
    idle ? TargetTokens(aShare, absl::ZeroDuration(), aState.mOptions.mMinGrant)
         : target;
  // What is left of an almost spent account must not rest on idle routers.
  if (idle && aShare.mUnallocated < aState.mOptions.mMinGrant) {
    keep = 0;
  }
  const bool surplus = idle ? free > keep : free > kSurplusFactor * target;
  if (!surplus) {
    return;
  }
  return_op back;
  back.mShare = aShare.mId;
  back.mAdjustment = ++aShare.mAdjustment;
  back.mAmount = free - keep;
  aShare.mReturnPending = back.mAmount;
  SubmitAccountOp(aState, back, 0, aNow + aState.mSettleDelay);
}

} // namespace

void AskPeers(router_state& aState, share_state& aShare, absl::Time aNow)
{
  const token_count missing = MissingTokens(aState, aShare);
  if (missing == 0 || !aShare.mAsked.empty()) {
    return;
  }
  aShare.mAskedUntil = aNow + kPeerPatience;
  for (const member_id& peer : HoldersOf(aState, aShare)) {
    aShare.mAsked.insert(peer);
    Send(aState.mNode, peer,
         transfer_request_message{ aShare.mId.mBudget, missing });
  }
  RefuseIfHopeless(aState, aShare, aNow);
}

bool IsStoreHealthy(const router_state& aState)
{
  for (const auto& [shard, queue] : aState.mAccounts) {
    if (queue.mFailures >= kUnhealthyFailures) {
      return false;
    }
  }
  return aState.mNode.mMembersQueue.mFailures < kUnhealthyFailures;
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
                     std::uint64_t aOperationId, absl::Time aDue)
{
  account_queue& queue = GetOrCreateAccountQueue(aState, GetBudget(aOp));
  Submit(queue, std::move(aOp), aOperationId, aDue);
}

share_state& GetOrCreateShare(router_state& aState, const budget_id& aBudget)
{
  const auto [found, added] = aState.mShares.try_emplace(aBudget);
  share_state& share = found->second;
  // A share of an earlier incarnation has been given up.
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
    RunAction(aState, aShare, action, aNow);
  }
}

void ReserveForRequest(router_state& aState, request_state& aRequest,
                       absl::Time aNow)
{
  if (aState.mNode.mSelf.mIncarnation == 0) {
    // A retry, or a queued request, of a router that was fenced meanwhile.
    FailRequest(aState, aRequest, request_event::Unfunded,
                error{ error_code::NotReady, executed::No, "",
                       "this router is joining again", absl::Seconds(1) },
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
    ForgetSilentPeers(aState, share, aNow);
    if (share.mStatus != share_status::Open ||
        !(share.mId.mHolder == aState.mNode.mSelf)) {
      continue;
    }
    UpdateRate(share, elapsed, HorizonOf(aState, budget));
    const bool active = share.mLastUsed + IdleTimeOf(aState, budget) > aNow;
    const token_count target =
      TargetTokens(share, HorizonOf(aState, budget), aState.mOptions.mMinGrant);
    // A remainder below the smallest grant is left for requests that need it;
    // asking for a part of it would write every second to no effect.
    if (active && ComputeFreeTokens(share) < target / 2 &&
        share.mUnallocated >= aState.mOptions.mMinGrant) {
      FireShare(aState, share, share_event::Demand, aNow);
    } else {
      GiveBackSurplus(aState, share, aNow);
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
    transfer = GiveTransfer(share->second, aFrom, aMessage.mRequested);
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
  share.mAsked.erase(aFrom.mMember);
  const bool mine = aTransfer.mTo == aState.mNode.mSelf &&
                    !IsRefused(aState.mNode, aTransfer.mFrom.mShare.mHolder);
  if (aTransfer.mAmount > 0 && mine && TakeTransfer(share, aTransfer)) {
    SubmitAccountOp(aState, aTransfer, 0, aNow + aState.mSettleDelay);
    if (aState.mRecordedLossEpoch > 0) {
      SubmitAccountOp(
        aState, record_loss_epoch_op{ share.mId, aState.mRecordedLossEpoch }, 0,
        aNow + aState.mSettleDelay);
    }
    FireShare(aState, share, share_event::TransferReceived, aNow);
  }
  RefuseIfHopeless(aState, share, aNow);
}

void OnPeerUnresponsive(router_state& aState, const member_id& aPeer,
                        absl::Time aNow)
{
  for (auto& [budget, share] : aState.mShares) {
    if (share.mAsked.erase(aPeer) != 0) {
      RefuseIfHopeless(aState, share, aNow);
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
      // Queued behind all settlements and transfers submitted so far.
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
