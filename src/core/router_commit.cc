// Commits account operations, by group commit in this router or by forwarding
// them to the router that is the committer of the account shard.
//
// Each shard has one committer, chosen by rendezvous hashing, so that the
// number of writes does not depend on the number of routers. The
// compare-and-swap alone makes commits safe: two routers that both act as
// committer of a shard only cause conflicts.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Maximum number of other routers' shares in a response to forwarded
// operations. The sender can request a transfer from these routers.
constexpr std::size_t kMaxHoldersInResponse = 2;
// Time to wait for a committer's response, in addition to two commit intervals.
// After it the router commits the operations itself.
constexpr absl::Duration kForwardTimeout = absl::Seconds(1);
// Store failures in a row after which a committer refuses forwarded operations
// and tells the sender to retry later.
constexpr int kFailuresBeforeRefusal = 2;
// Failures in a row after which a router that can reach the store commits by
// itself instead of forwarding.
constexpr int kFailuresBeforeDirectCommit = 4;
// Time for which a router commits by itself after a committer failed to respond
// or refused.
constexpr absl::Duration kDirectCommitTime = absl::Seconds(5);

// Tells agents which usage records are committed and may be removed.
void SendUsageAcks(router_state& aState,
                   const std::vector<pending_op<account_op>>& aDecided)
{
  std::map<member_id, usage_ack_message> acks;
  for (const auto& done : aDecided) {
    const auto* settle = std::get_if<settle_op>(&done.mOp);
    if (settle == nullptr) {
      continue;
    }
    const auto found = aState.mAcknowledgeTo.find(settle->mRequest);
    if (found != aState.mAcknowledgeTo.end()) {
      acks[found->second].mRequests.push_back(settle->mRequest);
      aState.mAcknowledgeTo.erase(found);
    }
  }
  for (auto& [agent, ack] : acks) {
    Send(aState.mNode, agent, std::move(ack));
  }
}

// Handles a decided operation if it concerns one of this router's shares.
void OnShareOpDone(router_state& aState, const pending_op<account_op>& aDone,
                   absl::Time aNow)
{
  if (const auto* grant = std::get_if<grant_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(grant->mShare.mBudget);
    if (share != aState.mShares.end() && share->second.mId == grant->mShare) {
      share->second.mGrantPending = false;
      FireShare(aState, share->second,
                aDone.mOutcome == op_outcome::Denied
                  ? share_event::GrantDenied
                  : share_event::GrantCommitted,
                aNow);
    }
  } else if (const auto* returned = std::get_if<return_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(returned->mShare.mBudget);
    if (share != aState.mShares.end() &&
        share->second.mId == returned->mShare) {
      share->second.mReturnPending = 0;
    }
  } else if (const auto* transfer = std::get_if<transfer_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(transfer->mFrom.mShare.mBudget);
    if (share != aState.mShares.end() &&
        transfer->mTo == share->second.mId.mHolder) {
      RemoveTransfer(share->second, transfer->mFrom);
    }
  } else if (const auto* close = std::get_if<close_share_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(close->mShare.mBudget);
    if (share != aState.mShares.end() && share->second.mId == close->mShare) {
      FireShare(aState, share->second, share_event::CloseCommitted, aNow);
    }
  }
}

// Returns true if a fence of aProcess is not complete yet.
bool HasOpenFence(const member_list& aMembers, const process_id& aProcess)
{
  return std::any_of(aMembers.mFences.begin(), aMembers.mFences.end(),
                     [&aProcess](const fence_record& aFence) {
                       return aFence.mFenced == aProcess;
                     });
}

// Closes the shares that a fenced router opened with a write that reached the
// store after the fence was complete. Agents refuse runs of that incarnation,
// so no tokens of these shares were spent.
void CloseFencedShares(router_state& aState, const account_queue& aQueue,
                       absl::Time aNow)
{
  const member_list& members = aState.mNode.mMembers;
  for (const auto& [budget, budgetAccount] : aQueue.mCommitted.mAccounts) {
    for (const auto& [holder, share] : budgetAccount.mShares) {
      if (!share.mHeld && !(holder == aState.mNode.mSelf) &&
          IsFenced(members, holder) && !HasOpenFence(members, holder)) {
        SubmitAccountOp(aState, close_share_op{ { budget, holder }, 0 }, 0,
                        aNow + aState.mSettleDelay);
      }
    }
  }
}

// Updates this router's shares from committed accounts. aComplete is false if
// the accounts may lack shares of other routers. Accounts older than those used
// before are ignored: an old grant could count tokens that were returned since.
void UpdateShares(router_state& aState, std::uint32_t aShard,
                  const std::map<budget_id, account>& aAccounts,
                  store_version aVersion, bool aComplete)
{
  store_version& usedVersion = aState.mUsedShardVersions[aShard];
  if (aVersion < usedVersion) {
    return;
  }
  usedVersion = aVersion;
  for (const auto& [budget, budgetAccount] : aAccounts) {
    const auto share = aState.mShares.find(budget);
    if (share != aState.mShares.end()) {
      UpdateShare(share->second, budgetAccount, aComplete);
    }
  }
}

// Returns the part of an account that aRouter needs: its share, the unallocated
// tokens and, if there are none, the shares with the most unspent tokens. The
// size of a response thus does not grow with the number of routers that use the
// budget.
account MakeTrimmedAccount(const account& aAccount, const process_id& aRouter)
{
  // While the store is available, tokens are requested from peers only if
  // none are unallocated.
  const bool scarce = ComputeUnallocated(aAccount) <= 0;
  std::vector<std::pair<token_count, process_id>> holders;
  for (const auto& [holder, record] : aAccount.mShares) {
    if (scarce && !(holder == aRouter) && !record.mHeld) {
      holders.emplace_back(record.mSpent - record.mGranted, holder);
    }
  }
  const std::size_t holderCount =
    std::min(kMaxHoldersInResponse, holders.size());
  std::partial_sort(holders.begin(),
                    holders.begin() + static_cast<std::ptrdiff_t>(holderCount),
                    holders.end());
  holders.resize(holderCount);
  std::set<process_id> keep{ aRouter };
  for (const auto& [free, holder] : holders) {
    keep.insert(holder);
  }
  account trimmed;
  trimmed.mPaidIn = aAccount.mPaidIn;
  trimmed.mClosedSpent = aAccount.mClosedSpent;
  for (const auto& [holder, record] : aAccount.mShares) {
    if (keep.count(holder) != 0) {
      trimmed.mShares.emplace(holder, record);
    } else {
      // Keeps the number of unallocated tokens correct.
      trimmed.mClosedSpent += std::max(record.mGranted, record.mSpent);
    }
  }
  return trimmed;
}

// Adds the outcomes of decided operations to the responses for the peers that
// forwarded them, and sends the responses that are complete.
void SendForwardResponses(router_state& aState, const account_queue& aQueue,
                          const std::vector<pending_op<account_op>>& aDecided)
{
  for (const auto& done : aDecided) {
    const auto origin = aState.mForwardOrigins.find(done.mOperationId);
    if (origin == aState.mForwardOrigins.end()) {
      continue;
    }
    const auto [key, id] = origin->second;
    aState.mForwardOrigins.erase(origin);
    forward_response& response = aState.mForwardResponses[key];
    response.mResult.mOutcomes.emplace_back(id, done.mOutcome);
    response.mBudgets.insert(GetBudget(done.mOp));
    if (--response.mRemaining > 0) {
      continue;
    }
    response.mResult.mVersion = aQueue.mVersion;
    for (const budget_id& budget : response.mBudgets) {
      const auto found = aQueue.mCommitted.mAccounts.find(budget);
      if (found != aQueue.mCommitted.mAccounts.end()) {
        response.mResult.mAccounts.emplace(
          budget, MakeTrimmedAccount(found->second, key.first));
      }
    }
    Send(aState.mNode, key.first.mMember, std::move(response.mResult));
    aState.mForwardResponses.erase(key);
  }
}

// Handles all decided operations of an account shard.
void OnOpsDone(router_state& aState, const account_queue& aQueue,
               const std::vector<pending_op<account_op>>& aDecided,
               absl::Time aNow)
{
  SendUsageAcks(aState, aDecided);
  for (const auto& done : aDecided) {
    OnShareOpDone(aState, done, aNow);
    if (done.mOperationId != 0) {
      OnOperationDone(aState, done.mOperationId, aNow);
      OnOperatorOpDone(aState, done.mOperationId, done.mOutcome,
                       &aQueue.mCommitted, aNow);
    }
  }
}

// Returns the rank of a router as committer of a shard (rendezvous hashing).
std::uint64_t ComputeRank(const member_id& aRouter, std::uint32_t aShard)
{
  return XXH64(aRouter.mValue.data(), aRouter.mValue.size(), aShard);
}

// Returns the router that commits the operations of the shard: this router if
// it is not ready or commits by itself for a while, otherwise the active router
// of the highest rank that is not suspected.
member_id ChooseCommitter(const router_state& aState, std::uint32_t aShard,
                          absl::Time aNow)
{
  const member_id& self = aState.mNode.mSelf.mMember;
  const auto direct = aState.mDirectCommitUntil.find(aShard);
  if (aState.mNode.mStatus != process_status::Ready ||
      (direct != aState.mDirectCommitUntil.end() && direct->second > aNow)) {
    return self;
  }
  member_id best = self;
  std::uint64_t rank = ComputeRank(self, aShard);
  for (const member_id& id :
       ListActiveMembers(aState.mNode, process_role::Router)) {
    const std::uint64_t other = ComputeRank(id, aShard);
    if (other > rank && aState.mNode.mSuspectedSince.count(id) == 0) {
      best = id;
      rank = other;
    }
  }
  return best;
}

// Sends the pending operations of a queue to the committer of its shard.
void ForwardOps(router_state& aState, account_queue& aQueue,
                const member_id& aCommitter, absl::Time aNow)
{
  forward_progress& progress = aState.mForwards[aQueue.mKey.mShard];
  progress.mCommitter = aCommitter;
  progress.mNumber = AllocateOperationId(aState);
  progress.mExpiresAt =
    aNow + kForwardTimeout + 2 * aState.mAccountCommitOptions.mMinInterval;
  commit_ops_message forward;
  forward.mKey = aQueue.mKey;
  forward.mNumber = progress.mNumber;
  for (auto& pending : aQueue.mPending) {
    pending.mForwarded = true;
    pending.mMayBeApplied = true;
    forward.mOps.emplace_back(pending.mOperationNumber, pending.mOp);
  }
  aQueue.mPhase = commit_phase::Forwarded;
  Send(aState.mNode, aCommitter, std::move(forward));
}

// Stops waiting for the committer of a shard. For kDirectCommitTime this router
// commits the operations on the shard itself.
void CancelForward(router_state& aState, std::uint32_t aShard, absl::Time aNow)
{
  account_queue& queue = aState.mAccounts[aShard];
  if (queue.mPhase == commit_phase::Forwarded) {
    queue.mPhase = commit_phase::Idle;
    aState.mDirectCommitUntil[aShard] = aNow + kDirectCommitTime;
  }
  aState.mForwards.erase(aShard);
}

} // namespace

void OnAccountsResponse(router_state& aState, const store_response& aResponse,
                        absl::Time aNow)
{
  account_queue& queue = aState.mAccounts[aResponse.mKey.mShard];
  const auto decided =
    OnResponse(queue, aResponse, aNow, aState.mAccountCommitOptions);
  const bool succeeded = aResponse.mStatus == store_status::Ok;
  if (succeeded) {
    UpdateShares(aState, aResponse.mKey.mShard, queue.mCommitted.mAccounts,
                 queue.mVersion, true);
  }
  if (succeeded && !aResponse.mIsWrite) {
    CloseFencedShares(aState, queue, aNow);
  }
  SendForwardResponses(aState, queue, decided);
  OnOpsDone(aState, queue, decided, aNow);
  if (!aResponse.mIsWrite) {
    SendUsageResponses(aState, aResponse.mKey.mShard, succeeded, aNow);
  }
  if (!succeeded && !IsStoreHealthy(aState)) {
    for (auto& [budget, share] : aState.mShares) {
      AskPeers(aState, share, aNow);
    }
  }
}

void OnUsageReport(router_state& aState, const process_id& aFrom,
                   const usage_report_message& aMessage)
{
  usage_ack_message ack;
  for (const usage_record& record : aMessage.mRecords) {
    const share_id& id = record.mRequest.mShare;
    if (!(id.mHolder == aState.mNode.mSelf)) {
      continue;
    }
    const auto share = aState.mShares.find(id.mBudget);
    if (share == aState.mShares.end() || !(share->second.mId == id)) {
      continue;
    }
    const std::uint64_t number = record.mRequest.mNumber;
    // A used number that is neither reserved nor uncommitted is committed.
    if (number < share->second.mNextNumber &&
        share->second.mReservations.count(number) == 0 &&
        share->second.mUncommittedCosts.count(number) == 0) {
      ack.mRequests.push_back(record.mRequest);
    }
  }
  if (!ack.mRequests.empty()) {
    Send(aState.mNode, aFrom.mMember, std::move(ack));
  }
}

void OnCommitOps(router_state& aState, const process_id& aFrom,
                 const commit_ops_message& aMessage, absl::Time aNow)
{
  commit_result_message result;
  result.mKey = aMessage.mKey;
  result.mNumber = aMessage.mNumber;
  const bool validKey =
    aMessage.mKey.mArea == store_area::Accounts &&
    aMessage.mKey.mShard < aState.mNode.mConfig.mFleet.mAccountShards;
  // Only failures on this shard count. If others did, two routers that each
  // forward to the other could refuse each other's operations forever.
  const auto found = aState.mAccounts.find(aMessage.mKey.mShard);
  const bool healthy = found == aState.mAccounts.end() ||
                       found->second.mFailures < kFailuresBeforeRefusal;
  if (!validKey || aMessage.mOps.empty() ||
      aState.mNode.mStatus != process_status::Ready ||
      IsRefused(aState.mNode, aFrom) || !healthy) {
    result.mRetryLater = validKey && !healthy;
    Send(aState.mNode, aFrom.mMember, std::move(result));
    return;
  }
  const forward_key key{ aFrom, aMessage.mNumber };
  const auto [response, added] = aState.mForwardResponses.try_emplace(key);
  if (!added) {
    return;
  }
  response->second.mResult = std::move(result);
  response->second.mRemaining = aMessage.mOps.size();
  account_queue& queue = aState.mAccounts[aMessage.mKey.mShard];
  queue.mKey = aMessage.mKey;
  for (const auto& [id, op] : aMessage.mOps) {
    const std::uint64_t operationId = AllocateOperationId(aState);
    aState.mForwardOrigins[operationId] = { key, id };
    Submit(queue, op, operationId, aNow);
  }
}

void OnCommitResult(router_state& aState, const process_id& aFrom,
                    const commit_result_message& aMessage, absl::Time aNow)
{
  const std::uint32_t shard = aMessage.mKey.mShard;
  const auto progress = aState.mForwards.find(shard);
  if (progress == aState.mForwards.end() ||
      progress->second.mCommitter != aFrom.mMember ||
      progress->second.mNumber != aMessage.mNumber) {
    return;
  }
  account_queue& queue = aState.mAccounts[shard];
  if (aMessage.mRetryLater) {
    // The router does not commit by itself here: if all routers did, the store
    // would recover from an outage under a load that grows with the fleet.
    aState.mForwards.erase(progress);
    queue.mPhase = commit_phase::Idle;
    ++queue.mFailures;
    queue.mNotBefore =
      aNow + ComputeBackoff(queue.mFailures, aState.mAccountCommitOptions);
    return;
  }
  if (aMessage.mOutcomes.empty()) {
    CancelForward(aState, shard, aNow);
    return;
  }
  aState.mForwards.erase(progress);
  queue.mPhase = commit_phase::Idle;
  queue.mFailures = 0;
  queue.mNotBefore = aNow + aState.mAccountCommitOptions.mMinInterval;
  std::map<std::uint64_t, op_outcome> outcomes(aMessage.mOutcomes.begin(),
                                               aMessage.mOutcomes.end());
  std::vector<pending_op<account_op>> decided;
  std::vector<pending_op<account_op>> undecided;
  for (auto& pending : queue.mPending) {
    const auto outcome = outcomes.find(pending.mOperationNumber);
    if (outcome == outcomes.end()) {
      undecided.push_back(std::move(pending));
    } else {
      pending.mOutcome = outcome->second;
      decided.push_back(std::move(pending));
    }
  }
  queue.mPending = std::move(undecided);
  if (aMessage.mVersion >= aState.mUsedShardVersions[shard]) {
    // The response contains only the accounts that were changed; the rest of
    // the shard's value may be out of date.
    for (const auto& [budget, budgetAccount] : aMessage.mAccounts) {
      queue.mCommitted.mAccounts[budget] = budgetAccount;
    }
    queue.mMayBeCurrent = false;
  }
  UpdateShares(aState, shard, aMessage.mAccounts, aMessage.mVersion, false);
  OnOpsDone(aState, queue, decided, aNow);
}

void OnCommitterUnreachable(router_state& aState, const member_id& aPeer,
                            absl::Time aNow)
{
  std::vector<std::uint32_t> shards;
  for (const auto& [shard, progress] : aState.mForwards) {
    if (progress.mCommitter == aPeer) {
      shards.push_back(shard);
    }
  }
  for (std::uint32_t shard : shards) {
    CancelForward(aState, shard, aNow);
  }
}

void OnStoreReached(router_state& aState, absl::Time aNow)
{
  for (auto& [shard, queue] : aState.mAccounts) {
    if (queue.mFailures >= kFailuresBeforeDirectCommit &&
        queue.mPhase == commit_phase::Idle) {
      aState.mDirectCommitUntil[shard] = aNow + kDirectCommitTime;
    }
  }
}

void AdvanceAccountQueues(router_state& aState, absl::Time aNow)
{
  std::vector<std::uint32_t> expired;
  for (const auto& [shard, progress] : aState.mForwards) {
    if (progress.mExpiresAt <= aNow) {
      expired.push_back(shard);
    }
  }
  for (std::uint32_t shard : expired) {
    CancelForward(aState, shard, aNow);
  }
  for (auto& [shard, queue] : aState.mAccounts) {
    if (GetNextWakeTime(queue) > aNow) {
      continue;
    }
    if (!queue.mReadRequested) {
      const member_id committer = ChooseCommitter(aState, shard, aNow);
      if (committer != aState.mNode.mSelf.mMember) {
        ForwardOps(aState, queue, committer, aNow);
        continue;
      }
    }
    if (auto request = TakeDueRequest(queue, aNow)) {
      aState.mNode.mStoreRequests.push_back(std::move(*request));
    }
  }
}

absl::Time GetNextForwardWakeTime(const router_state& aState)
{
  absl::Time wake = absl::InfiniteFuture();
  for (const auto& [shard, progress] : aState.mForwards) {
    wake = std::min(wake, progress.mExpiresAt);
  }
  return wake;
}

} // namespace foxtailquay
