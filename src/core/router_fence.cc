// Fences at a router.
//
// A fence excludes a lost router: every member acknowledges it and hands over
// the usage records and transfers that it has from the fenced router. After
// these are committed, the coordinator closes the fenced router's shares.

#include <algorithm>
#include <limits>

#include "router_state.h"

namespace foxtailquay {

namespace {

// Interval at which missing acknowledgements of a fence are requested again.
constexpr absl::Duration kFenceQueryInterval = absl::Seconds(1);

// Acknowledges a fence and returns the acknowledgement, with the usage records
// and transfers of the fenced router that this router has. From then on,
// IsRefused is true for the fenced incarnation.
fence_ack_message AcknowledgeFence(router_state& aState,
                                   const process_id& aFenced)
{
  aState.mNode.mFenced.insert(aFenced);
  fence_ack_message ack;
  ack.mFenced = aFenced;
  for (const auto& [budget, share] : aState.mShares) {
    for (const transfer_op& transfer : share.mTransfersIn) {
      if (transfer.mFrom.mShare.mHolder == aFenced) {
        ack.mTransfers.push_back(transfer);
      }
    }
    for (const auto& [number, transfer] : share.mTransfersOut) {
      if (transfer.mTo == aFenced) {
        ack.mTransfers.push_back(transfer);
      }
    }
  }
  for (const auto& [request, record] : aState.mHandedOverRecords) {
    if (request.mShare.mHolder == aFenced) {
      ack.mRecords.push_back(record);
    }
  }
  return ack;
}

// Submits an operation that must be committed before the fence can finish.
void SubmitForFence(router_state& aState, fence_progress& aProgress,
                    account_op aOp, absl::Time aNow)
{
  const std::uint64_t operationId = AllocateOperationId(aState);
  aProgress.mOperationIds.insert(operationId);
  SubmitAccountOp(aState, std::move(aOp), operationId, aNow);
}

// Returns true if this router coordinates the fences: no active router with a
// lower id is reachable. Two coordinators at once are harmless, because all
// operations are idempotent.
bool IsCoordinator(const router_state& aState)
{
  for (const member_id& id :
       ListActiveMembers(aState.mNode, process_role::Router)) {
    if (id < aState.mNode.mSelf.mMember &&
        aState.mNode.mSuspectedSince.count(id) == 0) {
      return false;
    }
  }
  return true;
}

// State of a member that has to acknowledge a fence.
enum class acknowledger_state
{
  Acknowledged,
  Awaited,
  // Left the member list before it acknowledged; its records may be lost.
  Lost,
};

acknowledger_state ComputeAcknowledgerState(const router_state& aState,
                                            const fence_progress& aProgress,
                                            const member_id& aId,
                                            incarnation_number aIncarnation)
{
  if (aProgress.mAcknowledged.count(aId) != 0) {
    return acknowledger_state::Acknowledged;
  }
  const auto member = aState.mNode.mMembers.mMembers.find(aId);
  const bool current = member != aState.mNode.mMembers.mMembers.end() &&
                       member->second.mIncarnation == aIncarnation;
  return current ? acknowledger_state::Awaited : acknowledger_state::Lost;
}

// Submits the close of the fenced router's shares in one account shard, by the
// shard's committed value. Held shares stay as they are.
void CloseSharesInShard(router_state& aState, fence_progress& aProgress,
                        const account_queue& aQueue, const process_id& aFenced,
                        std::uint64_t aLossEpoch, absl::Time aNow)
{
  std::vector<budget_id> budgets;
  for (const auto& [budget, owner] : aQueue.mCommitted.mAccounts) {
    const auto share = owner.mShares.find(aFenced);
    if (share != owner.mShares.end() && !share->second.mHeld) {
      budgets.push_back(budget);
    }
  }
  for (const budget_id& budget : budgets) {
    SubmitForFence(aState, aProgress,
                   close_share_op{ { budget, aFenced }, aLossEpoch }, aNow);
  }
}

// Closes the fenced router's shares, shard by shard, and then submits the
// removal of the fence. If an acknowledger was lost, the largest loss epoch is
// used, so that shares whose usage may be incomplete are held and not returned.
void FinishFence(router_state& aState, const fence_record& aFence,
                 fence_progress& aProgress, bool aLostAcknowledger,
                 absl::Time aNow)
{
  const std::uint64_t epoch = aLostAcknowledger
                                ? std::numeric_limits<std::uint64_t>::max()
                                : aFence.mLossEpoch;
  const std::uint32_t shards = aState.mNode.mConfig.mFleet.mAccountShards;
  bool all = true;
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    if (aProgress.mShardsClosed.count(shard) != 0) {
      continue;
    }
    account_queue& queue = aState.mAccounts[shard];
    queue.mKey = { store_area::Accounts, shard };
    const auto reads = aProgress.mReadsWhenCollected.find(shard);
    if (reads == aProgress.mReadsWhenCollected.end()) {
      // All acknowledgements are collected; the shard must be read after this.
      aProgress.mReadsWhenCollected[shard] =
        queue.mReads + (queue.mPhase == commit_phase::Reading ? 1 : 0);
      queue.mReadRequested = true;
      all = false;
    } else if (queue.mReads <= reads->second) {
      // A read that was in flight may have failed.
      queue.mReadRequested =
        queue.mReadRequested || queue.mPhase != commit_phase::Reading;
      all = false;
    } else {
      CloseSharesInShard(aState, aProgress, queue, aFence.mFenced, epoch, aNow);
      aProgress.mShardsClosed.insert(shard);
    }
  }
  if (all && aProgress.mOperationIds.empty() && !aProgress.mFinishSubmitted) {
    aProgress.mFinishSubmitted = true;
    Submit(aState.mNode.mMembersQueue,
           member_op(finish_fence_op{ aFence.mFenced }), 0, aNow);
  }
}

// Requests missing acknowledgements and updates the progress of one fence.
void AdvanceFence(router_state& aState, const fence_record& aFence,
                  absl::Time aNow)
{
  fence_progress& progress = aState.mFences[aFence.mFenced];
  const process_id& self = aState.mNode.mSelf;
  if (progress.mAcknowledged.count(self.mMember) == 0) {
    OnFenceAck(aState, self, AcknowledgeFence(aState, aFence.mFenced), aNow);
  }
  bool awaited = false;
  bool lost = false;
  const bool query = progress.mNextQuery <= aNow;
  for (const auto& [id, incarnation] : aFence.mAcknowledgers) {
    switch (ComputeAcknowledgerState(aState, progress, id, incarnation)) {
      case acknowledger_state::Acknowledged:
        break;
      case acknowledger_state::Awaited:
        awaited = true;
        if (query) {
          Send(aState.mNode, id, fence_query_message{ aFence.mFenced });
        }
        break;
      case acknowledger_state::Lost:
        lost = true;
        break;
    }
  }
  if (query) {
    progress.mNextQuery = aNow + kFenceQueryInterval;
  }
  // Shares are closed only after the handed-over records are committed.
  progress.mCollected =
    progress.mCollected || (!awaited && progress.mOperationIds.empty());
  progress.mLostAcknowledger = progress.mLostAcknowledger || lost;
}

} // namespace

void OnFenceQuery(router_state& aState, const process_id& aFrom,
                  const fence_query_message& aQuery)
{
  Send(aState.mNode, aFrom.mMember, AcknowledgeFence(aState, aQuery.mFenced));
}

void OnFenceAck(router_state& aState, const process_id& aFrom,
                const fence_ack_message& aAck, absl::Time aNow)
{
  const auto found = aState.mFences.find(aAck.mFenced);
  if (found == aState.mFences.end() ||
      IsSuccessorOfAcknowledger(aState.mNode.mMembers, aAck.mFenced, aFrom) ||
      !found->second.mAcknowledged.insert(aFrom.mMember).second) {
    return;
  }
  for (const usage_record& record : aAck.mRecords) {
    SubmitForFence(aState, found->second,
                   settle_op{ record.mRequest, record.mCost }, aNow);
  }
  for (const transfer_op& transfer : aAck.mTransfers) {
    SubmitForFence(aState, found->second, transfer, aNow);
  }
}

void RaiseFences(router_state& aState, absl::Time aNow)
{
  if (!IsStoreHealthy(aState)) {
    return;
  }
  for (auto& [id, since] : aState.mNode.mSuspectedSince) {
    const auto member = aState.mNode.mMembers.mMembers.find(id);
    if (member == aState.mNode.mMembers.mMembers.end() ||
        member->second.mRole != process_role::Router ||
        since + aState.mOptions.mFenceAfter > aNow) {
      continue;
    }
    Submit(aState.mNode.mMembersQueue,
           member_op(raise_fence_op{ { id, member->second.mIncarnation } }), 0,
           aNow);
    // The period restarts, so that the fence is submitted again only if the
    // router stays unresponsive for another mFenceAfter.
    since = aNow;
  }
}

void AdvanceFences(router_state& aState, absl::Time aNow)
{
  const auto& fences = aState.mNode.mMembers.mFences;
  for (auto it = aState.mFences.begin(); it != aState.mFences.end();) {
    const bool open = std::any_of(fences.begin(), fences.end(),
                                  [&it](const fence_record& aFence) {
                                    return aFence.mFenced == it->first;
                                  });
    it = open ? std::next(it) : aState.mFences.erase(it);
  }
  if (fences.empty() || aState.mNode.mStatus != process_status::Ready ||
      !IsCoordinator(aState)) {
    return;
  }
  bool collected = true;
  for (const fence_record& fence : fences) {
    if (!(fence.mFenced == aState.mNode.mSelf)) {
      AdvanceFence(aState, fence, aNow);
      collected = collected && aState.mFences[fence.mFenced].mCollected;
    }
  }
  // A fenced router may have transferred tokens to another fenced router
  // without either of them having reached the store. The remainder of its share
  // must not be returned to the budget while the receiver can still spend it,
  // so the shares of all open fences are closed together.
  if (!collected) {
    return;
  }
  for (const fence_record& fence : fences) {
    if (!(fence.mFenced == aState.mNode.mSelf)) {
      fence_progress& progress = aState.mFences[fence.mFenced];
      FinishFence(aState, fence, progress, progress.mLostAcknowledger, aNow);
    }
  }
}

void OnOperationDone(router_state& aState, std::uint64_t aOperationId,
                     absl::Time aNow)
{
  for (auto& [fenced, progress] : aState.mFences) {
    progress.mOperationIds.erase(aOperationId);
  }
  for (auto it = aState.mHandOvers.begin(); it != aState.mHandOvers.end();) {
    if (it->second.mOperationIds.erase(aOperationId) != 0 &&
        it->second.mOperationIds.empty()) {
      Submit(aState.mNode.mMembersQueue, member_op(leave_op{ it->first }), 0,
             aNow);
      it = aState.mHandOvers.erase(it);
    } else {
      ++it;
    }
  }
}

} // namespace foxtailquay
