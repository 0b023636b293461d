// Members: gossip, suspicion, fences, and what follows from their changes.

#include <algorithm>
#include <limits>

#include "router_state.h"

namespace foxtailquay {

namespace {

// Random members that each gossip round and each push of news goes to.
constexpr std::size_t kGossipFanOut = 2;
constexpr std::size_t kPushFanOut = 4;
// Newest load reports passed on in one message.
constexpr std::size_t kMaxReportsPerMessage = 10;
// Suspects named in one message, and probed for a peer.
constexpr std::size_t kMaxSuspects = 8;
constexpr absl::Duration kViewRefreshInterval = absl::Seconds(1);
// A backend server whose reports since its refusal say that it takes work
// again has been put back into use.
constexpr absl::Duration kRejoinAfter = absl::Seconds(2);
// Settlements wait longer in a large fleet, so that each message to a
// committer carries several.
constexpr absl::Duration kSettleDelayPerRouter = absl::Milliseconds(10);
constexpr absl::Duration kMaxSettleDelay = absl::Seconds(5);
// Routers that do not poll the store try it this often while their committers
// report it as unavailable.
constexpr absl::Duration kProbeInterval = absl::Seconds(30);
// Witnesses of a fence are asked again at this interval.
constexpr absl::Duration kFenceQueryInterval = absl::Seconds(1);

void RefreshView(router_state& aState, const backend_id& aId,
                 backend_view& aView, absl::Time aNow);

std::vector<load_report> NewestReports(const router_state& aState)
{
  std::vector<const backend_view*> views;
  for (const auto& [id, view] : aState.mBackends) {
    if (view.mReportedAt > absl::InfinitePast()) {
      views.push_back(&view);
    }
  }
  std::stable_sort(views.begin(), views.end(),
                   [](const backend_view* aLeft, const backend_view* aRight) {
                     return aLeft->mReportedAt > aRight->mReportedAt;
                   });
  std::vector<load_report> reports;
  for (const backend_view* view : views) {
    if (reports.size() == kMaxReportsPerMessage) {
      break;
    }
    reports.push_back(view->mReport);
  }
  return reports;
}

std::vector<process_id> Suspects(const router_state& aState)
{
  std::vector<process_id> suspects;
  for (const auto& [id, since] : aState.mNode.mSuspectedSince) {
    const auto member = aState.mNode.mMembers.mMembers.find(id);
    if (member != aState.mNode.mMembers.mMembers.end() &&
        suspects.size() < kMaxSuspects) {
      suspects.push_back({ id, member->second.mIncarnation });
    }
  }
  return suspects;
}

gossip_message MakeGossip(const router_state& aState, bool aIsReply)
{
  gossip_message gossip;
  // Answers repeat little that is new, so reports travel one way only.
  if (!aIsReply) {
    gossip.mLoad = NewestReports(aState);
  }
  gossip.mSuspects = Suspects(aState);
  gossip.mIsResponse = aIsReply;
  return gossip;
}

void TakeReports(router_state& aState, const gossip_message& aGossip,
                 absl::Time aNow)
{
  for (const load_report& report : aGossip.mLoad) {
    const auto view = aState.mBackends.find(report.mBackend);
    if (view != aState.mBackends.end()) {
      RecordLoadReport(view->second, report, aState.mRouting, aNow);
      RefreshView(aState, view->first, view->second, aNow);
    }
  }
}

void OnGossip(router_state& aState, const process_id& aFrom,
              const gossip_message& aGossip, absl::Time aNow)
{
  TakeReports(aState, aGossip, aNow);
  for (const process_id& alive : aGossip.mAlive) {
    aState.mNode.mSuspectedSince.erase(alive.mMember);
  }
  if (aGossip.mIsResponse) {
    return;
  }
  gossip_message response = MakeGossip(aState, true);
  for (const process_id& suspect : aGossip.mSuspects) {
    const auto heard = aState.mNode.mLastMessageAt.find(suspect.mMember);
    if (heard != aState.mNode.mLastMessageAt.end() &&
        heard->second + aState.mOptions.mSuspectAfter > aNow) {
      response.mAlive.push_back(suspect);
    } else if (suspect.mMember != aState.mNode.mSelf.mMember) {
      Send(aState.mNode, suspect.mMember, MakeGossip(aState, false));
    }
  }
  Send(aState.mNode, aFrom.mMember, std::move(response));
}

// Acknowledges a fence, with everything this router holds of the fenced one.
fence_ack_message MakeFenceAck(router_state& aState, const process_id& aFenced)
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
  for (const auto& [request, record] : aState.mForeignRecords) {
    if (request.mShare.mHolder == aFenced) {
      ack.mRecords.push_back(record);
    }
  }
  return ack;
}

void OnFenceQuery(router_state& aState, const process_id& aFrom,
                  const fence_query_message& aQuery)
{
  Send(aState.mNode, aFrom.mMember, MakeFenceAck(aState, aQuery.mFenced));
}

// Submits an operation that a fence waits for.
void SubmitForFence(router_state& aState, fence_progress& aProgress,
                    account_op aOp, absl::Time aNow)
{
  const std::uint64_t operationId = AllocateOperationId(aState);
  aProgress.mOperationIds.insert(operationId);
  SubmitAccountOp(aState, std::move(aOp), operationId, aNow);
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

// True if this router is the one that carries fences through. Two routers
// that both think so do no harm, as all operations are idempotent.
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

enum class witness_state
{
  Acknowledged,
  Awaited,
  // Vanished before it acknowledged; its records may be lost.
  Lost,
};

witness_state StateOf(const router_state& aState,
                      const fence_progress& aProgress, const member_id& aId,
                      incarnation_number aIncarnation)
{
  if (aProgress.mAcknowledged.count(aId) != 0) {
    return witness_state::Acknowledged;
  }
  const auto member = aState.mNode.mMembers.mMembers.find(aId);
  const bool current = member != aState.mNode.mMembers.mMembers.end() &&
                       member->second.mIncarnation == aIncarnation;
  return current ? witness_state::Awaited : witness_state::Lost;
}

// Closes the fenced router's shares in one account shard as committed.
void CloseSharesIn(router_state& aState, fence_progress& aProgress,
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
    const auto asked = aProgress.mShardsAsked.find(shard);
    if (asked == aProgress.mShardsAsked.end()) {
      // The fence is complete now; the value must be read after this.
      aProgress.mShardsAsked[shard] =
        queue.mReads + (queue.mPhase == commit_phase::Reading ? 1 : 0);
      queue.mReadRequested = true;
      all = false;
    } else if (queue.mReads <= asked->second) {
      // A read that was under way may have failed.
      queue.mReadRequested =
        queue.mReadRequested || queue.mPhase != commit_phase::Reading;
      all = false;
    } else {
      CloseSharesIn(aState, aProgress, queue, aFence.mFenced, epoch, aNow);
      aProgress.mShardsClosed.insert(shard);
    }
  }
  if (all && aProgress.mOperationIds.empty() && !aProgress.mFinishing) {
    aProgress.mFinishing = true;
    Submit(aState.mNode.mMembersQueue,
           member_op(finish_fence_op{ aFence.mFenced }), 0, aNow);
  }
}

void AdvanceFence(router_state& aState, const fence_record& aFence,
                  absl::Time aNow)
{
  fence_progress& progress = aState.mFences[aFence.mFenced];
  const process_id& self = aState.mNode.mSelf;
  if (progress.mAcknowledged.count(self.mMember) == 0) {
    OnFenceAck(aState, self, MakeFenceAck(aState, aFence.mFenced), aNow);
  }
  bool awaited = false;
  bool lost = false;
  const bool query = progress.mNextQuery <= aNow;
  for (const auto& [id, incarnation] : aFence.mAcknowledgers) {
    switch (StateOf(aState, progress, id, incarnation)) {
      case witness_state::Acknowledged:
        break;
      case witness_state::Awaited:
        awaited = true;
        if (query) {
          Send(aState.mNode, id, fence_query_message{ aFence.mFenced });
        }
        break;
      case witness_state::Lost:
        lost = true;
        break;
    }
  }
  if (query) {
    progress.mNextQuery = aNow + kFenceQueryInterval;
  }
  // Shares are closed only after the records that witnesses handed over.
  progress.mCollected =
    progress.mCollected || (!awaited && progress.mOperationIds.empty());
  progress.mLostAcknowledger = progress.mLostAcknowledger || lost;
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
    // Not submitted again before another full period of silence.
    since = aNow;
  }
}

// Rebuilds what is derived from the configuration.
void IndexConfig(router_state& aState)
{
  const config_document& config = aState.mNode.mConfig;
  aState.mIndexedConfig = config.mVersion;
  aState.mAccountCommitOptions.mMinInterval =
    std::max(aState.mOptions.mStoreMinInterval,
             absl::Seconds(1) * config.mFleet.mAccountShards /
               aState.mOptions.mStoreWritesPerSecond);
  aState.mBudgetWorkspaces.clear();
  for (const auto& [id, workspace] : config.mWorkspaces) {
    for (const budget_config& budget : workspace.mBudgets) {
      aState.mBudgetWorkspaces[budget.mBudget] = id;
    }
  }
  for (auto it = aState.mBackends.begin(); it != aState.mBackends.end();) {
    it = config.mBackends.count(it->first) == 0 ? aState.mBackends.erase(it)
                                                : std::next(it);
  }
  for (const auto& [id, backend] : config.mBackends) {
    aState.mBackends[id].mConfig = backend;
    aState.mBackends[id].mReport.mBackend = id;
  }
}

void NoteRejoined(router_state& aState, backend_view& aView, absl::Time aNow)
{
  if (aView.mLeaving) {
    aView.mLeaving = false;
    FireHealth(aView, backend_event::Rejoined, &aState.mNode.mCharts->mBackend,
               aState.mRouting, aNow);
  }
}

// Follows the backend server's agent in the member list.
void RefreshView(router_state& aState, const backend_id& aId,
                 backend_view& aView, absl::Time aNow)
{
  const auto& members = aState.mNode.mMembers.mMembers;
  AdvanceHealth(aView, &aState.mNode.mCharts->mBackend, aState.mRouting, aNow);
  aView.mAgent = member_id{ aId.mValue };
  const auto agent = members.find(aView.mAgent);
  if (agent == members.end()) {
    aView.mAddress.clear();
    return;
  }
  aView.mAddress = agent->second.mAddress;
  if (aView.mAgentIncarnation != agent->second.mIncarnation) {
    aView.mAgentIncarnation = agent->second.mIncarnation;
    aView.mReport.mLeaving = false;
    NoteRejoined(aState, aView, aNow);
  }
  if (agent->second.mStatus == member_status::Leaving ||
      aView.mReport.mLeaving) {
    NoteLeaving(aState, aView, aNow);
  } else if (aView.mLeaving &&
             aView.mLeavingSince + kRejoinAfter < aView.mReportedAt) {
    NoteRejoined(aState, aView, aNow);
  }
}

} // namespace

void OnMessage(router_state& aState, const envelope& aEnvelope, absl::Time aNow)
{
  const process_id& from = aEnvelope.mSender;
  RecordSender(aState.mNode, aEnvelope, aNow);
  if (OnUpdateMessage(aState.mNode, aEnvelope)) {
    return;
  }
  const message& body = aEnvelope.mBody;
  if (const auto* gossip = std::get_if<gossip_message>(&body)) {
    OnGossip(aState, from, *gossip, aNow);
  } else if (const auto* report = std::get_if<usage_report_message>(&body)) {
    OnUsageReport(aState, from, *report);
  } else if (const auto* query = std::get_if<fence_query_message>(&body)) {
    OnFenceQuery(aState, from, *query);
  } else if (const auto* ack = std::get_if<fence_ack_message>(&body)) {
    OnFenceAck(aState, from, *ack, aNow);
  } else if (const auto* asked = std::get_if<transfer_request_message>(&body)) {
    OnTransferRequest(aState, from, *asked, aNow);
  } else if (const auto* given = std::get_if<transfer_message>(&body)) {
    OnTransfer(aState, from, given->mTransfer, aNow);
  } else if (const auto* ops = std::get_if<commit_ops_message>(&body)) {
    OnCommitOps(aState, from, *ops, aNow);
  } else if (const auto* result = std::get_if<commit_result_message>(&body)) {
    OnCommitResult(aState, from, *result, aNow);
  } else if (std::holds_alternative<hand_over_message>(body)) {
    OnHandOver(aState, aEnvelope, aNow);
  } else if (std::holds_alternative<hand_over_ack_message>(body)) {
    if (from.mMember == aState.mHandOverPeer) {
      FireProcess(aState, process_event::HandedOver, aNow);
    }
  }
}

void OnPeerUnreachable(router_state& aState, const member_id& aPeer,
                       absl::Time aNow)
{
  const auto member = aState.mNode.mMembers.mMembers.find(aPeer);
  if (member != aState.mNode.mMembers.mMembers.end() &&
      member->second.mRole == process_role::Router) {
    aState.mNode.mSuspectedSince.emplace(aPeer, aNow);
  }
  OnPeerUnresponsive(aState, aPeer, aNow);
  OnCommitterUnreachable(aState, aPeer, aNow);
}

void OnVmRemoved(router_state& aState, const vm_removed_event& aEvent,
                 absl::Time aNow)
{
  for (const member_id& id : aEvent.mMembers) {
    const auto member = aState.mNode.mMembers.mMembers.find(id);
    if (member != aState.mNode.mMembers.mMembers.end() &&
        id != aState.mNode.mSelf.mMember) {
      Submit(aState.mNode.mMembersQueue,
             member_op(remove_lost_op{ { id, member->second.mIncarnation } }),
             0, aNow);
    }
  }
}

void Gossip(router_state& aState, absl::Time aNow)
{
  aState.mNextGossip = aNow + aState.mOptions.mGossipInterval;
  auto targets = ChooseRandom(
    aState.mNode, ListActiveMembers(aState.mNode, process_role::Router),
    kGossipFanOut);
  const auto agents = ChooseRandom(
    aState.mNode, ListActiveMembers(aState.mNode, process_role::Agent), 1);
  targets.insert(targets.end(), agents.begin(), agents.end());
  for (const process_id& suspect : Suspects(aState)) {
    if (std::find(targets.begin(), targets.end(), suspect.mMember) ==
        targets.end()) {
      targets.push_back(suspect.mMember);
    }
  }
  for (const member_id& target : targets) {
    Send(aState.mNode, target, MakeGossip(aState, false));
  }
  RaiseFences(aState, aNow);
}

void SendUpdates(router_state& aState)
{
  if (!aState.mNode.mHasUpdates) {
    return;
  }
  aState.mNode.mHasUpdates = false;
  auto everyone = ListActiveMembers(aState.mNode, process_role::Router);
  const auto agents = ListActiveMembers(aState.mNode, process_role::Agent);
  everyone.insert(everyone.end(), agents.begin(), agents.end());
  for (const member_id& target :
       ChooseRandom(aState.mNode, std::move(everyone), kPushFanOut)) {
    Send(aState.mNode, target, MakeGossip(aState, false));
  }
}

void PollStore(router_state& aState, absl::Time aNow)
{
  aState.mNextStorePoll = aNow + aState.mOptions.mStorePollInterval;
  int rank = 0;
  bool alone = true;
  for (const member_id& id :
       ListActiveMembers(aState.mNode, process_role::Router)) {
    const bool reachable = aState.mNode.mSuspectedSince.count(id) == 0;
    alone = alone && !reachable;
    if (id < aState.mNode.mSelf.mMember && reachable) {
      ++rank;
    }
  }
  // A router that only its committers keep from the store looks for itself.
  const bool probe = !IsStoreHealthy(aState) && aState.mNextProbe <= aNow;
  if (probe) {
    aState.mNextProbe = aNow + kProbeInterval;
  }
  if (rank < aState.mOptions.mStorePollers || alone || probe) {
    aState.mNode.mMembersQueue.mReadRequested = true;
    aState.mNode.mConfigQueue.mReadRequested = true;
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
  // A fenced router may have given tokens to another fenced router without
  // either having reached the store. Its remainder must not return while the
  // receiver can still spend it, so all open fences close their shares
  // together.
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

void NoteLeaving(router_state& aState, backend_view& aView, absl::Time aNow)
{
  if (!aView.mLeaving) {
    aView.mLeaving = true;
    aView.mLeavingSince = aNow;
    FireHealth(aView, backend_event::LeaveAnnounced,
               &aState.mNode.mCharts->mBackend, aState.mRouting, aNow);
  }
}

void RefreshViews(router_state& aState, absl::Time aNow)
{
  const node_core& node = aState.mNode;
  const bool changed = node.mConfig.mVersion != aState.mIndexedConfig ||
                       node.mMembersVersion != aState.mIndexedMembers;
  if (node.mConfig.mVersion != aState.mIndexedConfig) {
    IndexConfig(aState);
  }
  if (node.mMembersVersion != aState.mIndexedMembers) {
    aState.mIndexedMembers = node.mMembersVersion;
    const auto routers = ListActiveMembers(node, process_role::Router);
    aState.mRouting.mRouters = static_cast<int>(routers.size()) + 1;
    aState.mAdmission.mOptions.mRouters = aState.mRouting.mRouters;
    aState.mSettleDelay =
      std::clamp(kSettleDelayPerRouter * aState.mRouting.mRouters,
                 aState.mOptions.mSettleDelay, kMaxSettleDelay);
  }
  // Between changes of the inputs only ejection times pass, for which a look
  // a second is enough.
  if (changed || aState.mNextViewRefresh <= aNow) {
    aState.mNextViewRefresh = aNow + kViewRefreshInterval;
    for (auto& [id, view] : aState.mBackends) {
      RefreshView(aState, id, view, aNow);
    }
  }
}

} // namespace foxtailquay
