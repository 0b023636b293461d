// Commits of account operations: group commit by this router, or by the
// committer of the shard, to which other routers forward their operations.
//
// One committer per shard, chosen by rendezvous hashing, keeps the number of
// writes independent of the number of routers. The compare-and-swap alone
// makes commits safe, so two routers that both think they are the committer
// only cause conflicts.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Other routers' shares in a response; as many as are asked for a transfer.
constexpr std::size_t kHoldersInAnswer = 2;
// Answers that take longer lead to a commit by the router itself.
constexpr absl::Duration kForwardPatience = absl::Seconds(1);
// Failures in a row after which a committer asks its peers to wait.
constexpr int kFailuresBeforeRefusal = 2;
// Failures in a row after which a router that reaches the store stops
// relying on the committer.
constexpr int kFailuresBeforeDirect = 4;
// How long a router commits for itself after a committer failed it.
constexpr absl::Duration kDirectTime = absl::Seconds(5);

// Tells agents that the usage records of committed runs may be dropped.
void AcknowledgeRecords(router_state& aState,
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

// Handles a decided operation on one of this router's own shares.
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
  } else if (const auto* back = std::get_if<return_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(back->mShare.mBudget);
    if (share != aState.mShares.end() && share->second.mId == back->mShare) {
      share->second.mReturnPending = 0;
    }
  } else if (const auto* given = std::get_if<transfer_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(given->mFrom.mShare.mBudget);
    if (share != aState.mShares.end() &&
        given->mTo == share->second.mId.mHolder) {
      DropTransfer(share->second, given->mFrom);
    }
  } else if (const auto* close = std::get_if<close_share_op>(&aDone.mOp)) {
    const auto share = aState.mShares.find(close->mShare.mBudget);
    if (share != aState.mShares.end() && share->second.mId == close->mShare) {
      FireShare(aState, share->second, share_event::CloseCommitted, aNow);
    }
  }
}

bool HasOpenFence(const member_list& aMembers, const process_id& aProcess)
{
  return std::any_of(aMembers.mFences.begin(), aMembers.mFences.end(),
                     [&aProcess](const fence_record& aFence) {
                       return aFence.mFenced == aProcess;
                     });
}

// Closes shares that a fenced router opened with a write that reached the
// store after its fence was complete. Agents refuse that incarnation, so
// nothing was spent from them.
void CloseStrayShares(router_state& aState, const account_queue& aQueue,
                      absl::Time aNow)
{
  const member_list& members = aState.mNode.mMembers;
  for (const auto& [budget, owner] : aQueue.mCommitted.mAccounts) {
    for (const auto& [holder, share] : owner.mShares) {
      if (!share.mHeld && !(holder == aState.mNode.mSelf) &&
          IsFenced(members, holder) && !HasOpenFence(members, holder)) {
        SubmitAccountOp(aState, close_share_op{ { budget, holder }, 0 }, 0,
                        aNow + aState.mSettleDelay);
      }
    }
  }
}

// Takes the figures of committed accounts into the shares. Figures older than
// those seen before are ignored: an old grant could count tokens that have
// been given back since.
void TakeFigures(router_state& aState, std::uint32_t aShard,
                 const std::map<budget_id, account>& aAccounts,
                 store_version aVersion, bool aComplete)
{
  store_version& seen = aState.mUsedShardVersions[aShard];
  if (aVersion < seen) {
    return;
  }
  seen = aVersion;
  for (const auto& [budget, owner] : aAccounts) {
    const auto share = aState.mShares.find(budget);
    if (share != aState.mShares.end()) {
      RefreshFrom(share->second, owner, aComplete);
    }
  }
}

// What a router needs of an account: its own share, what is unallocated and,
// if that is nothing, the shares with the most unspent tokens. The response's
// size then does not grow with the number of routers that draw on the budget.
account TrimFor(const account& aAccount, const process_id& aRouter)
{
  // Peers are asked for tokens only when the account has none left.
  const bool scarce = ComputeUnallocated(aAccount) <= 0;
  std::vector<std::pair<token_count, process_id>> holders;
  for (const auto& [holder, record] : aAccount.mShares) {
    if (scarce && !(holder == aRouter) && !record.mHeld) {
      holders.emplace_back(record.mSpent - record.mGranted, holder);
    }
  }
  const std::size_t kept = std::min(kHoldersInAnswer, holders.size());
  std::partial_sort(holders.begin(),
                    holders.begin() + static_cast<std::ptrdiff_t>(kept),
                    holders.end());
  holders.resize(kept);
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
      // Keeps the unallocated part right.
      trimmed.mClosedSpent += std::max(record.mGranted, record.mSpent);
    }
  }
  return trimmed;
}

// Adds outcomes to the answers that peers wait for, and sends the complete
// ones.
void AnswerPeers(router_state& aState, const account_queue& aQueue,
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
        response.mResult.mAccounts.emplace(budget,
                                           TrimFor(found->second, key.first));
      }
    }
    Send(aState.mNode, key.first.mMember, std::move(response.mResult));
    aState.mForwardResponses.erase(key);
  }
}

void TakeDecided(router_state& aState, const account_queue& aQueue,
                 const std::vector<pending_op<account_op>>& aDecided,
                 absl::Time aNow)
{
  AcknowledgeRecords(aState, aDecided);
  for (const auto& done : aDecided) {
    OnShareOpDone(aState, done, aNow);
    if (done.mOperationId != 0) {
      OnOperationDone(aState, done.mOperationId, aNow);
      OnOperatorOpDone(aState, done.mOperationId, done.mOutcome,
                       &aQueue.mCommitted, aNow);
    }
  }
}

std::uint64_t RankOf(const member_id& aRouter, std::uint32_t aShard)
{
  return XXH64(aRouter.mValue.data(), aRouter.mValue.size(), aShard);
}

// The router that commits a shard; this router if it is to do so itself.
member_id CommitterOf(const router_state& aState, std::uint32_t aShard,
                      absl::Time aNow)
{
  const member_id& self = aState.mNode.mSelf.mMember;
  const auto direct = aState.mDirectCommitUntil.find(aShard);
  if (aState.mNode.mStatus != process_status::Ready ||
      (direct != aState.mDirectCommitUntil.end() && direct->second > aNow)) {
    return self;
  }
  member_id best = self;
  std::uint64_t rank = RankOf(self, aShard);
  for (const member_id& id :
       ListActiveMembers(aState.mNode, process_role::Router)) {
    const std::uint64_t other = RankOf(id, aShard);
    if (other > rank && aState.mNode.mSuspectedSince.count(id) == 0) {
      best = id;
      rank = other;
    }
  }
  return best;
}

void Forward(router_state& aState, account_queue& aQueue,
             const member_id& aCommitter, absl::Time aNow)
{
  forward_progress& progress = aState.mForwards[aQueue.mKey.mShard];
  progress.mCommitter = aCommitter;
  progress.mNumber = AllocateOperationId(aState);
  progress.mExpiresAt =
    aNow + kForwardPatience + 2 * aState.mAccountCommitOptions.mMinInterval;
  commit_ops_message forward;
  forward.mKey = aQueue.mKey;
  forward.mNumber = progress.mNumber;
  for (auto& pending : aQueue.mPending) {
    pending.mForwarded = true;
    pending.mMayBeApplied = true;
    forward.mOps.emplace_back(pending.mId, pending.mOp);
  }
  aQueue.mPhase = commit_phase::Forwarded;
  Send(aState.mNode, aCommitter, std::move(forward));
}

// Stops waiting for a committer; this router commits for itself for a while.
void GiveUpForward(router_state& aState, std::uint32_t aShard, absl::Time aNow)
{
  account_queue& queue = aState.mAccounts[aShard];
  if (queue.mPhase == commit_phase::Forwarded) {
    queue.mPhase = commit_phase::Idle;
    aState.mDirectCommitUntil[aShard] = aNow + kDirectTime;
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
  const bool known = aResponse.mStatus == store_status::Ok;
  if (known) {
    TakeFigures(aState, aResponse.mKey.mShard, queue.mCommitted.mAccounts,
                queue.mVersion, true);
  }
  if (known && !aResponse.mIsWrite) {
    CloseStrayShares(aState, queue, aNow);
  }
  AnswerPeers(aState, queue, decided);
  TakeDecided(aState, queue, decided, aNow);
  if (!aResponse.mIsWrite) {
    SendUsageResponses(aState, aResponse.mKey.mShard, known, aNow);
  }
  if (!known && !IsStoreHealthy(aState)) {
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
    // Neither open nor waiting for a commit: it is committed.
    if (number < share->second.mNextNumber &&
        share->second.mOpen.count(number) == 0 &&
        share->second.mUncommitted.count(number) == 0) {
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
  const bool known =
    aMessage.mKey.mArea == store_area::Accounts &&
    aMessage.mKey.mShard < aState.mNode.mConfig.mFleet.mAccountShards;
  // Only failures on this shard count: two routers that each wait for the
  // other's shard would otherwise refuse one another for ever.
  const auto own = aState.mAccounts.find(aMessage.mKey.mShard);
  const bool healthy = own == aState.mAccounts.end() ||
                       own->second.mFailures < kFailuresBeforeRefusal;
  if (!known || aMessage.mOps.empty() ||
      aState.mNode.mStatus != process_status::Ready ||
      IsRefused(aState.mNode, aFrom) || !healthy) {
    result.mRetryLater = known && !healthy;
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
    // If every router tried the store itself, an outage would end under a
    // load that grows with the fleet.
    aState.mForwards.erase(progress);
    queue.mPhase = commit_phase::Idle;
    ++queue.mFailures;
    queue.mNotBefore =
      aNow + BackoffAfter(queue.mFailures, aState.mAccountCommitOptions);
    return;
  }
  if (aMessage.mOutcomes.empty()) {
    GiveUpForward(aState, shard, aNow);
    return;
  }
  aState.mForwards.erase(progress);
  queue.mPhase = commit_phase::Idle;
  queue.mFailures = 0;
  queue.mNotBefore = aNow + aState.mAccountCommitOptions.mMinInterval;
  std::map<std::uint64_t, op_outcome> outcomes(aMessage.mOutcomes.begin(),
                                               aMessage.mOutcomes.end());
  std::vector<pending_op<account_op>> decided;
  std::vector<pending_op<account_op>> waiting;
  for (auto& pending : queue.mPending) {
    const auto outcome = outcomes.find(pending.mId);
    if (outcome == outcomes.end()) {
      waiting.push_back(std::move(pending));
    } else {
      pending.mOutcome = outcome->second;
      decided.push_back(std::move(pending));
    }
  }
  queue.mPending = std::move(waiting);
  if (aMessage.mVersion >= aState.mUsedShardVersions[shard]) {
    // Only the touched accounts are new; the value as a whole is not known.
    for (const auto& [budget, owner] : aMessage.mAccounts) {
      queue.mCommitted.mAccounts[budget] = owner;
    }
    queue.mKnown = false;
  }
  TakeFigures(aState, shard, aMessage.mAccounts, aMessage.mVersion, false);
  TakeDecided(aState, queue, decided, aNow);
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
    GiveUpForward(aState, shard, aNow);
  }
}

void OnStoreReached(router_state& aState, absl::Time aNow)
{
  for (auto& [shard, queue] : aState.mAccounts) {
    if (queue.mFailures >= kFailuresBeforeDirect &&
        queue.mPhase == commit_phase::Idle) {
      aState.mDirectCommitUntil[shard] = aNow + kDirectTime;
    }
  }
}

void AdvanceAccountQueues(router_state& aState, absl::Time aNow)
{
  std::vector<std::uint32_t> late;
  for (const auto& [shard, progress] : aState.mForwards) {
    if (progress.mExpiresAt <= aNow) {
      late.push_back(shard);
    }
  }
  for (std::uint32_t shard : late) {
    GiveUpForward(aState, shard, aNow);
  }
  for (auto& [shard, queue] : aState.mAccounts) {
    if (GetNextWakeTime(queue) > aNow) {
      continue;
    }
    if (!queue.mRefresh) {
      const member_id committer = CommitterOf(aState, shard, aNow);
      if (committer != aState.mNode.mSelf.mMember) {
        Forward(aState, queue, committer, aNow);
        continue;
      }
    }
    if (auto request = NextRequest(queue, aNow)) {
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
