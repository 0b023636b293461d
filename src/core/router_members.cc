// Membership at a router: gossip, suspected members, and the backend views that
// follow the member list.

#include <algorithm>

#include "router_state.h"

namespace foxtailquay {

namespace {

// Number of random members that receive gossip in each round, and after a
// change of the member list or configuration.
constexpr std::size_t kGossipFanOut = 2;
constexpr std::size_t kUpdateFanOut = 4;
// Maximum number of load reports in one message; the newest are sent.
constexpr std::size_t kMaxReportsPerMessage = 10;
// Maximum number of suspected members in one message. The receiver sends each
// of them a message, so this also bounds the messages caused by one message.
constexpr std::size_t kMaxSuspectsPerMessage = 8;
// Interval of updates that only expire ejection times.
constexpr absl::Duration kViewUpdateInterval = absl::Seconds(1);
// A backend server that refused work because it was leaving is used again once
// a load report that arrives more than this time after the refusal states that
// it accepts work.
constexpr absl::Duration kRejoinDelay = absl::Seconds(2);
// Settlements wait longer in a large fleet, so that each message to a committer
// contains several of them.
constexpr absl::Duration kSettleDelayPerRouter = absl::Milliseconds(10);
constexpr absl::Duration kMaxSettleDelay = absl::Seconds(5);
// Interval at which routers that do not poll the store read from it while their
// committers report it as unavailable.
constexpr absl::Duration kStoreProbeInterval = absl::Seconds(30);

void UpdateView(router_state& aState, const backend_id& aId,
                backend_view& aView, absl::Time aNow);

// Returns at most kMaxReportsPerMessage load reports, newest first.
std::vector<load_report> ListNewestReports(const router_state& aState)
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

// Returns at most kMaxSuspectsPerMessage members that this router suspects.
std::vector<process_id> ListSuspects(const router_state& aState)
{
  std::vector<process_id> suspects;
  for (const auto& [id, since] : aState.mNode.mSuspectedSince) {
    const auto member = aState.mNode.mMembers.mMembers.find(id);
    if (member != aState.mNode.mMembers.mMembers.end() &&
        suspects.size() < kMaxSuspectsPerMessage) {
      suspects.push_back({ id, member->second.mIncarnation });
    }
  }
  return suspects;
}

gossip_message MakeGossipMessage(const router_state& aState, bool aIsResponse)
{
  gossip_message gossip;
  // Responses contain no load reports, because most of them would be known to
  // the receiver.
  if (!aIsResponse) {
    gossip.mLoad = ListNewestReports(aState);
  }
  gossip.mSuspects = ListSuspects(aState);
  gossip.mIsResponse = aIsResponse;
  return gossip;
}

void RecordLoadReports(router_state& aState, const gossip_message& aGossip,
                       absl::Time aNow)
{
  for (const load_report& report : aGossip.mLoad) {
    const auto view = aState.mBackends.find(report.mBackend);
    if (view != aState.mBackends.end()) {
      RecordLoadReport(view->second, report, aState.mRouting, aNow);
      UpdateView(aState, view->first, view->second, aNow);
    }
  }
}

// Records load reports and reachable members, and responds unless the gossip is
// itself a response. The response lists the suspected members from which this
// router received a message within mSuspectAfter. It sends gossip to the other
// suspected members to find out whether they are reachable.
void OnGossip(router_state& aState, const process_id& aFrom,
              const gossip_message& aGossip, absl::Time aNow)
{
  RecordLoadReports(aState, aGossip, aNow);
  for (const process_id& alive : aGossip.mAlive) {
    aState.mNode.mSuspectedSince.erase(alive.mMember);
  }
  if (aGossip.mIsResponse) {
    return;
  }
  gossip_message response = MakeGossipMessage(aState, true);
  for (const process_id& suspect : aGossip.mSuspects) {
    const auto last = aState.mNode.mLastMessageAt.find(suspect.mMember);
    if (last != aState.mNode.mLastMessageAt.end() &&
        last->second + aState.mOptions.mSuspectAfter > aNow) {
      response.mAlive.push_back(suspect);
    } else if (suspect.mMember != aState.mNode.mSelf.mMember) {
      Send(aState.mNode, suspect.mMember, MakeGossipMessage(aState, false));
    }
  }
  Send(aState.mNode, aFrom.mMember, std::move(response));
}

// Rebuilds the values that are derived from the configuration.
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

// Records that a leaving backend server accepts work again.
void RecordRejoined(router_state& aState, backend_view& aView, absl::Time aNow)
{
  if (aView.mLeaving) {
    aView.mLeaving = false;
    FireHealth(aView, backend_event::Rejoined, &aState.mNode.mCharts->mBackend,
               aState.mRouting, aNow);
  }
}

// Updates the view of a backend server from its agent's entry in the member
// list and its load reports.
void UpdateView(router_state& aState, const backend_id& aId,
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
    RecordRejoined(aState, aView, aNow);
  }
  if (agent->second.mStatus == member_status::Leaving ||
      aView.mReport.mLeaving) {
    RecordLeaving(aState, aView, aNow);
  } else if (aView.mLeaving &&
             aView.mLeavingSince + kRejoinDelay < aView.mReportedAt) {
    RecordRejoined(aState, aView, aNow);
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
  } else if (const auto* request =
               std::get_if<transfer_request_message>(&body)) {
    OnTransferRequest(aState, from, *request, aNow);
  } else if (const auto* transfer = std::get_if<transfer_message>(&body)) {
    OnTransfer(aState, from, transfer->mTransfer, aNow);
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

void SendGossip(router_state& aState, absl::Time aNow)
{
  aState.mNextGossip = aNow + aState.mOptions.mGossipInterval;
  auto targets = ChooseRandom(
    aState.mNode, ListActiveMembers(aState.mNode, process_role::Router),
    kGossipFanOut);
  const auto agents = ChooseRandom(
    aState.mNode, ListActiveMembers(aState.mNode, process_role::Agent), 1);
  targets.insert(targets.end(), agents.begin(), agents.end());
  for (const process_id& suspect : ListSuspects(aState)) {
    if (std::find(targets.begin(), targets.end(), suspect.mMember) ==
        targets.end()) {
      targets.push_back(suspect.mMember);
    }
  }
  for (const member_id& target : targets) {
    Send(aState.mNode, target, MakeGossipMessage(aState, false));
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
       ChooseRandom(aState.mNode, std::move(everyone), kUpdateFanOut)) {
    Send(aState.mNode, target, MakeGossipMessage(aState, false));
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
  // Perhaps only the committers are unreachable, not the store. To find out,
  // this router reads from the store itself.
  const bool probe = !IsStoreHealthy(aState) && aState.mNextStoreProbe <= aNow;
  if (probe) {
    aState.mNextStoreProbe = aNow + kStoreProbeInterval;
  }
  if (rank < aState.mOptions.mStorePollers || alone || probe) {
    aState.mNode.mMembersQueue.mReadRequested = true;
    aState.mNode.mConfigQueue.mReadRequested = true;
  }
}

void RecordLeaving(router_state& aState, backend_view& aView, absl::Time aNow)
{
  if (!aView.mLeaving) {
    aView.mLeaving = true;
    aView.mLeavingSince = aNow;
    FireHealth(aView, backend_event::LeaveAnnounced,
               &aState.mNode.mCharts->mBackend, aState.mRouting, aNow);
  }
}

void UpdateViews(router_state& aState, absl::Time aNow)
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
  // Without changes of configuration or members, only ejection times expire;
  // one update per second is enough for these.
  if (changed || aState.mNextViewUpdate <= aNow) {
    aState.mNextViewUpdate = aNow + kViewUpdateInterval;
    for (auto& [id, view] : aState.mBackends) {
      UpdateView(aState, id, view, aNow);
    }
  }
}

} // namespace foxtailquay
