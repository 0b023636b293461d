// Operators' requests and the process chart of a router: joining, and the
// graceful stop that returns or hands over its shares.

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// An operator's request that the store has not decided after this time fails
// with StoreUnavailable or StoreOutcomeUnknown.
constexpr absl::Duration kOperatorTimeout = absl::Seconds(5);
// A hand-over that the peer has not acknowledged after this time is sent to
// another peer.
constexpr absl::Duration kHandOverTimeout = absl::Seconds(2);

void SendOperatorResponse(router_state& aState, std::uint64_t aOperationId,
                          result<operator_result> aResponse)
{
  const auto found = aState.mOperatorRequests.find(aOperationId);
  if (found == aState.mOperatorRequests.end()) {
    return;
  }
  aState.mActions.emplace_back(
    operator_response_action{ found->second.mHandle, std::move(aResponse) });
  aState.mOperatorRequests.erase(found);
}

// Returns the result with the account of aBudget, if aShard is not null.
operator_result MakeOperatorResult(const router_state& aState,
                                   const account_shard* aShard,
                                   const budget_id& aBudget)
{
  operator_result done;
  done.mConfigVersion = aState.mNode.mConfig.mVersion;
  if (aShard != nullptr) {
    const auto found = aShard->mAccounts.find(aBudget);
    done.mAccount =
      found == aShard->mAccounts.end() ? account{} : found->second;
  }
  return done;
}

error MakeStoreError(bool aOutcomeUnknown)
{
  return aOutcomeUnknown
           ? error{ error_code::StoreOutcomeUnknown, executed::Unknown, "",
                    "the store did not respond; repeat the request with the "
                    "same id",
                    absl::Seconds(1) }
           : error{ error_code::StoreUnavailable, executed::No, "",
                    "the store is unavailable; nothing was changed",
                    absl::Seconds(1) };
}

// Returns the budget that the request concerns, or null if there is none.
const budget_id* FindRequestBudget(const operator_request& aRequest)
{
  if (const auto* topUp = std::get_if<top_up_request>(&aRequest)) {
    return &topUp->mBudget;
  }
  if (const auto* usage = std::get_if<usage_request>(&aRequest)) {
    return &usage->mBudget;
  }
  if (const auto* held = std::get_if<release_held_request>(&aRequest)) {
    return &held->mShare.mBudget;
  }
  return nullptr;
}

struct patch_context
{
  router_state& mState;
  std::uint64_t mOperationId;
  const config_patch& mPatch;
};

// Returns true if the operation is pending and may be part of a write whose
// outcome is unknown.
bool IsOutcomeUnknown(const config_queue& aQueue, std::uint64_t aOperationId)
{
  for (const auto& pending : aQueue.mPending) {
    if (pending.mOperationId == aOperationId) {
      return pending.mMayBeApplied;
    }
  }
  return false;
}

bool EvaluateGuard(patch_guard aGuard, const patch_context& aContext)
{
  const node_core& node = aContext.mState.mNode;
  if (aGuard == patch_guard::InDoubt) {
    return IsOutcomeUnknown(node.mConfigQueue, aContext.mOperationId);
  }
  // A patch for a newer version than this router's may be valid; the
  // compare-and-swap decides. A patch that was applied before is also valid.
  config_document known = node.mConfig;
  return aContext.mPatch.mIfVersion > known.mVersion ||
         ApplyOp(known, aContext.mPatch) != op_outcome::Denied;
}

// Returns the reason for which the patch does not apply to the newest known
// configuration.
error MakePatchError(const router_state& aState, const config_patch& aPatch)
{
  const auto next = ApplyPatch(aState.mNode.mConfig, aPatch);
  if (!IsOk(next)) {
    return GetError(next);
  }
  return error{ error_code::VersionConflict, executed::No, "if_version",
                "the configuration has changed", absl::ZeroDuration() };
}

// Fires aEvent in the chart of a patch and performs the chart's actions.
void FirePatch(router_state& aState, std::uint64_t aOperationId,
               patch_event aEvent, absl::Time aNow)
{
  const auto found = aState.mOperatorRequests.find(aOperationId);
  if (found == aState.mOperatorRequests.end()) {
    return;
  }
  const config_patch patch =
    std::get<patch_request>(found->second.mRequest).mPatch;
  const patch_context context{ aState, aOperationId, patch };
  const auto actions = Fire(aState.mNode.mCharts->mPatch, found->second.mPatch,
                            aEvent, context, &EvaluateGuard);
  for (patch_action action : actions) {
    switch (action) {
      case patch_action::SubmitOp:
        Submit(aState.mNode.mConfigQueue, patch, aOperationId, aNow);
        break;
      case patch_action::WithdrawOp:
        CancelPending(aState.mNode.mConfigQueue, aOperationId);
        break;
      case patch_action::AnswerVersion: {
        operator_result done;
        done.mConfigVersion = patch.mIfVersion + 1;
        SendOperatorResponse(aState, aOperationId, done);
        break;
      }
      case patch_action::AnswerError:
        SendOperatorResponse(aState, aOperationId,
                             aEvent == patch_event::Timeout
                               ? MakeStoreError(false)
                               : MakePatchError(aState, patch));
        break;
      case patch_action::AnswerUnknown:
        SendOperatorResponse(aState, aOperationId, MakeStoreError(true));
        break;
    }
  }
}

// Returns false and sets aError if the amount or id is invalid.
bool IsTopUpValid(const top_up_request& aRequest, error& aError)
{
  if (aRequest.mAmount <= 0) {
    aError = { error_code::InvalidRequest, executed::No, "amount",
               absl::StrCat("expected a positive number, got ",
                            aRequest.mAmount),
               absl::ZeroDuration() };
    return false;
  }
  if (aRequest.mTopUpId.empty()) {
    aError = { error_code::InvalidRequest, executed::No, "id",
               "missing id; a top-up needs one to be repeatable",
               absl::ZeroDuration() };
    return false;
  }
  return true;
}

void SubmitOperatorOp(router_state& aState, account_op aOp,
                      std::uint64_t aOperationId, absl::Time aNow)
{
  SubmitAccountOp(aState, std::move(aOp), aOperationId, aNow);
}

// Returns true while caller requests are unfinished.
bool HasOpenRequests(const router_state& aState)
{
  return !aState.mRequests.empty();
}

// Returns true once all operations are committed and all shares are closed.
bool IsReturned(const router_state& aState)
{
  for (const auto& [shard, queue] : aState.mAccounts) {
    if (!queue.mPending.empty()) {
      return false;
    }
  }
  for (const auto& [shard, queue] : aState.mClaims) {
    if (!queue.mPending.empty()) {
      return false;
    }
  }
  for (const auto& [budget, share] : aState.mShares) {
    if (share.mStatus != share_status::Closed) {
      return false;
    }
  }
  return aState.mHandOvers.empty();
}

// Closes all shares, which returns their remaining tokens to the budgets.
void ReturnAll(router_state& aState, absl::Time aNow)
{
  aState.mStopDeadline = aNow + aState.mOptions.mStopStoreWait;
  for (auto& [budget, share] : aState.mShares) {
    FireShare(aState, share, share_event::CloseRequested, aNow);
  }
}

// Returns true if a close of the share may already have taken effect. The
// remainder of the share may then be in the budget again and must not be
// transferred to a peer.
bool IsCloseOutcomeUnknown(const account_queue& aQueue, const share_id& aShare)
{
  for (const auto& pending : aQueue.mPending) {
    const auto* close = std::get_if<close_share_op>(&pending.mOp);
    if (close != nullptr && close->mShare == aShare && pending.mMayBeApplied) {
      return true;
    }
  }
  return false;
}

// Collects the operations that a peer must commit for this router. They are
// collected only once: a second peer receives the same operations, so no token
// is transferred twice.
void PrepareHandOver(router_state& aState, const process_id& aPeer)
{
  if (!aState.mHandOver.mOps.empty()) {
    return;
  }
  for (const auto& [shard, queue] : aState.mAccounts) {
    for (const auto& pending : queue.mPending) {
      if (!std::holds_alternative<close_share_op>(pending.mOp)) {
        aState.mHandOver.mOps.push_back(pending.mOp);
      }
    }
  }
  for (auto& [budget, share] : aState.mShares) {
    if (share.mStatus != share_status::Closing) {
      continue;
    }
    const token_count free = ComputeFreeTokens(share);
    const account_queue& queue = GetOrCreateAccountQueue(aState, budget);
    if (free > 0 && !IsCloseOutcomeUnknown(queue, share.mId)) {
      transfer_op transfer{ { share.mId, share.mNextNumber++ }, aPeer, free };
      aState.mHandOver.mTransfers.push_back(transfer);
      aState.mHandOver.mOps.emplace_back(transfer);
    }
    aState.mHandOver.mOps.emplace_back(close_share_op{ share.mId, 0 });
  }
  // From now on only the peer writes. A later write of this router's own close
  // would return tokens that the peer may spend.
  aState.mAccounts.clear();
}

// Hands the uncommitted operations over to a random active router. Does nothing
// if there is none.
void HandOver(router_state& aState, absl::Time aNow)
{
  const auto peers = ChooseRandom(
    aState.mNode, ListActiveMembers(aState.mNode, process_role::Router), 1);
  if (peers.empty()) {
    return;
  }
  const auto& peer = aState.mNode.mMembers.mMembers.at(peers[0]);
  PrepareHandOver(aState, { peers[0], peer.mIncarnation });
  aState.mHandOverPeer = peers[0];
  aState.mStopDeadline = aNow + kHandOverTimeout;
  Send(aState.mNode, peers[0], aState.mHandOver);
}

struct process_context
{
  const router_state& mState;
};

bool HasPeer(process_guard, const process_context& aContext)
{
  return !ListActiveMembers(aContext.mState.mNode, process_role::Router)
            .empty();
}

void PerformAction(router_state& aState, process_action aAction,
                   absl::Time aNow)
{
  node_core& node = aState.mNode;
  switch (aAction) {
    case process_action::SubmitJoin:
      SubmitJoin(node, aNow);
      break;
    case process_action::MarkLeaving:
      Submit(node.mMembersQueue, member_op(mark_leaving_op{ node.mSelf }), 0,
             aNow);
      break;
    case process_action::ReturnAll:
      ReturnAll(aState, aNow);
      break;
    case process_action::HandOver:
      HandOver(aState, aNow);
      break;
    case process_action::SubmitLeave:
      aState.mStopDeadline = aNow + aState.mOptions.mStopStoreWait;
      Submit(node.mMembersQueue, member_op(leave_op{ node.mSelf }), 0, aNow);
      break;
    case process_action::Forget:
      RemoveShares(aState, aNow);
      break;
    case process_action::Finish:
      aState.mActions.emplace_back(stopped_action{});
      break;
  }
}

} // namespace

void FireProcess(router_state& aState, process_event aEvent, absl::Time aNow)
{
  const auto actions =
    Fire(aState.mNode.mCharts->mProcess, aState.mNode.mStatus, aEvent,
         process_context{ aState }, &HasPeer);
  for (process_action action : actions) {
    PerformAction(aState, action, aNow);
  }
}

void AdvanceProcess(router_state& aState, absl::Time aNow)
{
  node_core& node = aState.mNode;
  if (node.mStatus == process_status::Starting) {
    FireProcess(aState, process_event::Start, aNow);
  }
  if (node.mStatus == process_status::Joining && HasJoined(node)) {
    aState.mRecordedLossEpoch = node.mMembers.mLossEpoch;
    FireProcess(aState, process_event::Joined, aNow);
  }
  if (IsSelfFenced(node) && node.mStatus != process_status::Leaving) {
    FireProcess(aState, process_event::Fenced, aNow);
  }
  if (node.mStatus == process_status::Draining && !HasOpenRequests(aState)) {
    FireProcess(aState, process_event::WorkDone, aNow);
  }
  if (node.mStatus == process_status::Returning && IsReturned(aState)) {
    FireProcess(aState, process_event::Returned, aNow);
  }
  const bool stopping = node.mStatus == process_status::Returning ||
                        node.mStatus == process_status::HandingOver ||
                        node.mStatus == process_status::Leaving;
  if (stopping && aState.mStopDeadline <= aNow) {
    aState.mStopDeadline = aNow + aState.mOptions.mStopStoreWait;
    FireProcess(aState, process_event::StoreLost, aNow);
  }
}

void OnOperatorRequest(router_state& aState, operator_event aEvent,
                       absl::Time aNow)
{
  const std::uint64_t operationId = AllocateOperationId(aState);
  pending_operator_request& wait = aState.mOperatorRequests[operationId];
  wait.mHandle = aEvent.mHandle;
  wait.mRequest = std::move(aEvent.mRequest);
  wait.mExpiresAt = aNow + kOperatorTimeout;
  if (std::holds_alternative<drain_request>(wait.mRequest)) {
    SendOperatorResponse(aState, operationId, operator_result{});
    FireProcess(aState, process_event::Stop, aNow);
    return;
  }
  if (aState.mNode.mStatus != process_status::Ready) {
    SendOperatorResponse(aState, operationId,
                         error{ error_code::NotReady, executed::No, "",
                                "this router has not joined or is stopping",
                                absl::Seconds(1) });
    return;
  }
  if (const auto* topUp = std::get_if<top_up_request>(&wait.mRequest)) {
    error problem;
    if (!IsTopUpValid(*topUp, problem)) {
      SendOperatorResponse(aState, operationId, problem);
      return;
    }
    SubmitOperatorOp(
      aState, top_up_op{ topUp->mBudget, topUp->mTopUpId, topUp->mAmount },
      operationId, aNow);
  } else if (const auto* held =
               std::get_if<release_held_request>(&wait.mRequest)) {
    SubmitOperatorOp(aState, release_held_op{ held->mShare }, operationId,
                     aNow);
  } else if (const auto* usage = std::get_if<usage_request>(&wait.mRequest)) {
    GetOrCreateAccountQueue(aState, usage->mBudget).mReadRequested = true;
  } else {
    FirePatch(aState, operationId, patch_event::Check, aNow);
  }
}

void OnOperatorOpDone(router_state& aState, std::uint64_t aOperationId,
                      op_outcome aOutcome, const account_shard* aShard,
                      absl::Time)
{
  const auto found = aState.mOperatorRequests.find(aOperationId);
  if (found == aState.mOperatorRequests.end()) {
    return;
  }
  if (aOutcome == op_outcome::Denied) {
    SendOperatorResponse(aState, aOperationId,
                         error{ error_code::NotFound, executed::No, "",
                                "the share is not held",
                                absl::ZeroDuration() });
    return;
  }
  const budget_id* budget = FindRequestBudget(found->second.mRequest);
  SendOperatorResponse(
    aState, aOperationId,
    MakeOperatorResult(aState, aShard, budget ? *budget : budget_id{}));
}

void OnPatchDone(router_state& aState, const pending_op<config_patch>& aDone,
                 absl::Time aNow)
{
  FirePatch(aState, aDone.mOperationId,
            aDone.mOutcome == op_outcome::Denied ? patch_event::Denied
                                                 : patch_event::Committed,
            aNow);
}

void SendUsageResponses(router_state& aState, std::uint32_t aShard, bool aRead,
                        absl::Time)
{
  std::vector<std::uint64_t> operationIds;
  for (const auto& [operationId, wait] : aState.mOperatorRequests) {
    const auto* usage = std::get_if<usage_request>(&wait.mRequest);
    if (usage != nullptr &&
        GetOrCreateAccountQueue(aState, usage->mBudget).mKey.mShard == aShard) {
      operationIds.push_back(operationId);
    }
  }
  for (std::uint64_t operationId : operationIds) {
    const budget_id budget =
      std::get<usage_request>(aState.mOperatorRequests[operationId].mRequest)
        .mBudget;
    if (!aRead) {
      SendOperatorResponse(aState, operationId, MakeStoreError(false));
      continue;
    }
    const account_shard& shard =
      GetOrCreateAccountQueue(aState, budget).mCommitted;
    SendOperatorResponse(aState, operationId,
                         MakeOperatorResult(aState, &shard, budget));
  }
}

void ExpireOperatorRequests(router_state& aState, absl::Time aNow)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [operationId, wait] : aState.mOperatorRequests) {
    if (wait.mExpiresAt <= aNow) {
      expired.push_back(operationId);
    }
  }
  for (std::uint64_t operationId : expired) {
    const operator_request& request =
      aState.mOperatorRequests[operationId].mRequest;
    if (std::holds_alternative<patch_request>(request)) {
      FirePatch(aState, operationId, patch_event::Timeout, aNow);
      continue;
    }
    const budget_id* budget = FindRequestBudget(request);
    const bool outcomeUnknown =
      budget != nullptr && !std::holds_alternative<usage_request>(request) &&
      !CancelPending(GetOrCreateAccountQueue(aState, *budget), operationId);
    SendOperatorResponse(aState, operationId, MakeStoreError(outcomeUnknown));
  }
}

void OnHandOver(router_state& aState, const envelope& aEnvelope,
                absl::Time aNow)
{
  const auto& handOver = std::get<hand_over_message>(aEnvelope.mBody);
  const process_id& from = aEnvelope.mSender;
  if (aState.mNode.mStatus != process_status::Ready) {
    return;
  }
  Send(aState.mNode, from.mMember, hand_over_ack_message{});
  if (aEnvelope.mRole == process_role::Agent) {
    // The records belong to runs of other routers. They are needed if
    // such a router is fenced.
    for (const account_op& op : handOver.mOps) {
      if (const auto* settle = std::get_if<settle_op>(&op)) {
        aState.mHandedOverRecords[settle->mRequest] =
          usage_record{ settle->mRequest, {}, settle->mCost };
        // This router may have acknowledged the fence before it received the
        // record.
        if (aState.mFences.count(settle->mRequest.mShare.mHolder) != 0) {
          SubmitAccountOp(aState, op, 0, aNow);
        }
      }
    }
    return;
  }
  const auto [progress, added] = aState.mHandOvers.try_emplace(from);
  if (!added || IsRefused(aState.mNode, from)) {
    return;
  }
  if (handOver.mOps.empty()) {
    Submit(aState.mNode.mMembersQueue, member_op(leave_op{ from }), 0, aNow);
    aState.mHandOvers.erase(progress);
    return;
  }
  for (const transfer_op& transfer : handOver.mTransfers) {
    OnTransfer(aState, from, transfer, aNow);
  }
  for (const account_op& op : handOver.mOps) {
    const std::uint64_t operationId = AllocateOperationId(aState);
    progress->second.mOperationIds.insert(operationId);
    SubmitAccountOp(aState, op, operationId, aNow);
  }
}

} // namespace foxtailquay
