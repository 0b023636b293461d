// Events, gossip, commands and the process chart of the agent node.

#include "foxtailquay/agent.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "agent_state.h"

namespace foxtailquay {

namespace {

// Number of random routers that receive each load report. Routers spread it
// further.
constexpr std::size_t kReportFanOut = 3;
// Time without a message after which a member counts as unresponsive. An agent
// reads the store if all routers are unresponsive.
constexpr absl::Duration kUnresponsiveTimeout = absl::Seconds(5);
// Low bits of a load report's sequence number, which count the reports. The
// incarnation is in the bits above, so that a new incarnation's reports are
// newer than those of the old one.
constexpr int kSequenceBits = 32;
// Time that each step of a stop waits for the store. After it, the agent hands
// its usage records over to routers.
constexpr absl::Duration kStopStoreTimeout = absl::Seconds(5);
// Number of routers that receive the usage records of an agent that stops
// during a store outage. With one router, that router could also be the one
// that holds the copies handed over by the share's holder, and its failure
// would lose both.
constexpr std::size_t kHandOverCopies = 2;
// Time that a command waits for the commit of its fencing number.
constexpr absl::Duration kCommandTimeout = absl::Seconds(5);
// Largest number of waiting commands. Operators and planners send a few a
// minute.
constexpr std::size_t kMaxWaitingCommands = 64;

// Returns a message with the current load report under a new sequence number.
gossip_message MakeLoadGossip(agent_state& aState, bool aIsResponse)
{
  aState.mLoad.mBackend = aState.mBackend;
  aState.mLoad.mLeaving = IsLeaving(aState);
  aState.mLoad.mSequence =
    (aState.mNode.mSelf.mIncarnation << kSequenceBits) + ++aState.mReportCount;
  gossip_message gossip;
  gossip.mLoad.push_back(aState.mLoad);
  gossip.mIsResponse = aIsResponse;
  return gossip;
}

// Responds with the load report and with those suspects from which this agent
// has received a message recently.
void OnGossip(agent_state& aState, const process_id& aFrom,
              const gossip_message& aGossip, absl::Time aNow)
{
  if (aGossip.mIsResponse) {
    return;
  }
  gossip_message response = MakeLoadGossip(aState, true);
  for (const process_id& suspect : aGossip.mSuspects) {
    const auto last = aState.mNode.mLastMessageAt.find(suspect.mMember);
    if (last != aState.mNode.mLastMessageAt.end() &&
        last->second + kUnresponsiveTimeout > aNow) {
      response.mAlive.push_back(suspect);
    }
  }
  Send(aState.mNode, aFrom.mMember, std::move(response));
}

void SendReports(agent_state& aState, absl::Time aNow)
{
  aState.mNextGossip = aNow + aState.mOptions.mGossipInterval;
  const auto routers = ChooseRandom(
    aState.mNode, ListActiveMembers(aState.mNode, process_role::Router),
    kReportFanOut);
  for (const member_id& router : routers) {
    Send(aState.mNode, router, MakeLoadGossip(aState, false));
  }
}

// Requests the member list and the configuration from the store if every router
// is unresponsive; otherwise routers send the updates.
void PollStore(agent_state& aState, absl::Time aNow)
{
  aState.mNextPoll = aNow + aState.mOptions.mStorePollInterval;
  for (const auto& [id, lastMessageAt] : aState.mNode.mLastMessageAt) {
    const auto member = aState.mNode.mMembers.mMembers.find(id);
    if (lastMessageAt + kUnresponsiveTimeout > aNow &&
        member != aState.mNode.mMembers.mMembers.end() &&
        member->second.mRole == process_role::Router) {
      return;
    }
  }
  aState.mNode.mMembersQueue.mReadRequested = true;
  aState.mNode.mConfigQueue.mReadRequested = true;
}

bool HasPeer(process_guard, const agent_state& aState)
{
  return !ListActiveMembers(aState.mNode, process_role::Router).empty();
}

// Returns up to kHandOverCopies random routers that have not acknowledged the
// hand-over of the usage records.
std::vector<member_id> ChooseHandOverTargets(agent_state& aState)
{
  auto routers = ListActiveMembers(aState.mNode, process_role::Router);
  routers.erase(std::remove_if(routers.begin(), routers.end(),
                               [&aState](const member_id& aId) {
                                 return aState.mHandOverAcknowledgers.count(
                                          aId) != 0;
                               }),
                routers.end());
  return ChooseRandom(aState.mNode, std::move(routers), kHandOverCopies);
}

// Sends the settlement of every run to the chosen routers.
void HandOver(agent_state& aState, absl::Time aNow)
{
  hand_over_message handOver;
  for (const auto& [id, run] : aState.mRuns) {
    handOver.mOps.emplace_back(settle_op{ id, run.mRecord.mCost });
  }
  aState.mStopDeadline = aNow + kStopStoreTimeout;
  for (const member_id& router : ChooseHandOverTargets(aState)) {
    Send(aState.mNode, router, handOver);
  }
}

void PerformAction(agent_state& aState, process_action aAction, absl::Time aNow)
{
  node_core& node = aState.mNode;
  switch (aAction) {
    case process_action::SubmitJoin:
      SubmitJoin(node, aNow);
      break;
    case process_action::MarkLeaving:
      Submit(node.mMembersQueue, member_op(mark_leaving_op{ node.mSelf }), 0,
             aNow);
      SendReports(aState, aNow);
      break;
    case process_action::ReturnAll:
      aState.mStopDeadline = aNow + kStopStoreTimeout;
      for (auto& [id, run] : aState.mRuns) {
        run.mReportAt = aNow;
      }
      break;
    case process_action::HandOver:
      HandOver(aState, aNow);
      break;
    case process_action::SubmitLeave:
      aState.mStopDeadline = aNow + kStopStoreTimeout;
      Submit(node.mMembersQueue, member_op(leave_op{ node.mSelf }), 0, aNow);
      break;
    case process_action::Forget:
      break;
    case process_action::Finish:
      aState.mActions.emplace_back(stopped_action{});
      break;
  }
}

// Fires aEvent in the process chart and performs the chart's actions.
void FireProcess(agent_state& aState, process_event aEvent, absl::Time aNow)
{
  const auto actions = Fire(aState.mNode.mCharts->mProcess,
                            aState.mNode.mStatus, aEvent, aState, &HasPeer);
  for (process_action action : actions) {
    PerformAction(aState, action, aNow);
  }
}

// Fires the events that are due in the process chart.
void AdvanceProcess(agent_state& aState, absl::Time aNow)
{
  node_core& node = aState.mNode;
  if (node.mStatus == process_status::Starting) {
    FireProcess(aState, process_event::Start, aNow);
  }
  if (node.mStatus == process_status::Joining && HasJoined(node)) {
    FireProcess(aState, process_event::Joined, aNow);
  }
  if (IsSelfFenced(node) && node.mStatus != process_status::Leaving) {
    FireProcess(aState, process_event::Fenced, aNow);
  }
  if (node.mStatus == process_status::Draining && aState.mByHandle.empty()) {
    FireProcess(aState, process_event::WorkDone, aNow);
  }
  if (node.mStatus == process_status::Returning && aState.mRuns.empty()) {
    FireProcess(aState, process_event::Returned, aNow);
  }
  const bool stopping = node.mStatus == process_status::Returning ||
                        node.mStatus == process_status::HandingOver ||
                        node.mStatus == process_status::Leaving;
  if (stopping && aState.mStopDeadline <= aNow) {
    aState.mStopDeadline = aNow + kStopStoreTimeout;
    FireProcess(aState, process_event::StoreLost, aNow);
  }
}

void OnEvent(agent_state& aState, run_requested_event&& aEvent, absl::Time aNow)
{
  const process_id router = aEvent.mHeader.mSender;
  RecordSender(aState.mNode, aEvent.mHeader, aNow);
  auto checked = CheckRun(aState, aEvent);
  if (!IsOk(checked)) {
    aState.mActions.emplace_back(
      refuse_run_action{ aEvent.mHandle, GetError(checked) });
    return;
  }
  run_state run;
  run.mHandle = aEvent.mHandle;
  run.mRun = std::move(aEvent.mRun);
  run.mRouter = router;
  const request_id id = run.mRun.mRequest;
  aState.mByHandle[run.mHandle] = id;
  aState.mActions.emplace_back(start_run_action{ run.mHandle, run.mRun });
  // The body is only needed to start the run.
  run.mRun.mBody.clear();
  aState.mRuns[id] = std::move(run);
}

void OnEvent(agent_state& aState, run_ended_event&& aEvent, absl::Time aNow)
{
  const auto found = aState.mByHandle.find(aEvent.mHandle);
  if (found == aState.mByHandle.end()) {
    return;
  }
  run_state& run = aState.mRuns[found->second];
  run.mRecord = { run.mRun.mRequest, aEvent.mUsage,
                  ComputeCost(run.mRun, aEvent.mUsage, aEvent.mComplete) };
  run.mReportAt = aNow + aState.mOptions.mReportInterval;
  FireRun(aState, run, run_event::Ended);
  AcknowledgeFence(aState, run.mRouter);
}

void OnEvent(agent_state& aState, backend_load_event&& aEvent, absl::Time)
{
  aState.mLoad.mRunning = aEvent.mRunning;
  aState.mLoad.mQueued = aEvent.mQueued;
  aState.mLoad.mCachedPrefixes = std::move(aEvent.mCachedPrefixes);
  aState.mLoad.mLoadedModels = std::move(aEvent.mLoadedModels);
}

void SendCommandResponse(agent_state& aState, request_handle aHandle,
                         result<success> aResponse)
{
  aState.mActions.emplace_back(
    command_response_action{ aHandle, std::move(aResponse) });
}

error MakeStaleCommandError(std::uint64_t aNumber)
{
  return { error_code::StaleFence, executed::No, "fencing_number",
           absl::StrCat(aNumber,
                        " is lower than the number of an earlier command"),
           absl::ZeroDuration() };
}

// Checks the fencing number on behalf of engines that ignore it. The number is
// committed before the command is forwarded, so that a later process beside the
// same engine rejects older numbers, too.
void OnEvent(agent_state& aState, command_event&& aEvent, absl::Time aNow)
{
  if (aState.mNode.mSelf.mIncarnation == 0 ||
      aState.mCommands.size() >= kMaxWaitingCommands) {
    SendCommandResponse(
      aState, aEvent.mHandle,
      error{ error_code::NotReady, executed::No, "",
             "cannot record the fencing number of the command: "
             "the agent has not joined, or too many commands are waiting; "
             "send the command again later",
             absl::ZeroDuration() });
    return;
  }
  const std::uint64_t operationId = ++aState.mLastOperationId;
  aState.mCommands[operationId] = { aEvent.mHandle, aEvent.mFencingNumber,
                                    aNow + kCommandTimeout };
  Submit(
    aState.mNode.mMembersQueue,
    member_op(command_fence_op{ aState.mNode.mSelf, aEvent.mFencingNumber }),
    operationId, aNow);
}

// Responds to the waiting command of the operation, if there is one. An
// operation is denied if a higher number is recorded or this process is no
// longer a member; both are reported as StaleFence.
void OnCommandRecorded(agent_state& aState, std::uint64_t aOperationId,
                       op_outcome aOutcome)
{
  const auto found = aState.mCommands.find(aOperationId);
  if (found == aState.mCommands.end()) {
    return;
  }
  const waiting_command command = found->second;
  aState.mCommands.erase(found);
  if (aOutcome == op_outcome::Denied) {
    SendCommandResponse(aState, command.mHandle,
                        MakeStaleCommandError(command.mFencingNumber));
  } else {
    SendCommandResponse(aState, command.mHandle, success{});
  }
}

// Rejects commands whose number has not been committed in time.
void ExpireCommands(agent_state& aState, absl::Time aNow)
{
  for (auto it = aState.mCommands.begin(); it != aState.mCommands.end();) {
    const waiting_command& command = it->second;
    if (command.mExpiresAt > aNow) {
      ++it;
      continue;
    }
    SendCommandResponse(
      aState, command.mHandle,
      error{ error_code::StoreUnavailable, executed::No, "",
             "cannot record the fencing number of the command: "
             "the store did not respond in time; send the command again later",
             absl::ZeroDuration() });
    it = aState.mCommands.erase(it);
  }
}

void OnEvent(agent_state& aState, message_event&& aEvent, absl::Time aNow)
{
  const envelope& received = aEvent.mEnvelope;
  RecordSender(aState.mNode, received, aNow);
  if (OnUpdateMessage(aState.mNode, received)) {
    return;
  }
  if (const auto* gossip = std::get_if<gossip_message>(&received.mBody)) {
    OnGossip(aState, received.mSender, *gossip, aNow);
  } else if (const auto* ack =
               std::get_if<usage_ack_message>(&received.mBody)) {
    for (const request_id& id : ack->mRequests) {
      AcknowledgeRecord(aState, id);
    }
  } else if (const auto* query =
               std::get_if<fence_query_message>(&received.mBody)) {
    OnFenceQuery(aState, received.mSender, query->mFenced);
  } else if (std::holds_alternative<hand_over_ack_message>(received.mBody)) {
    aState.mHandOverAcknowledgers.insert(received.mSender.mMember);
    const std::size_t routers =
      ListActiveMembers(aState.mNode, process_role::Router).size();
    if (aState.mHandOverAcknowledgers.size() >=
        std::min(kHandOverCopies, routers)) {
      FireProcess(aState, process_event::HandedOver, aNow);
    }
  }
}

void OnEvent(agent_state& aState, peer_unreachable_event&& aEvent, absl::Time)
{
  aState.mNode.mLastMessageAt.erase(aEvent.mMember);
}

void OnEvent(agent_state& aState, store_response_event&& aEvent,
             absl::Time aNow)
{
  if (aEvent.mResponse.mKey.mArea == store_area::Config) {
    OnConfigResponse(aState.mNode, aEvent.mResponse, aNow);
    return;
  }
  for (const auto& done :
       OnMembersResponse(aState.mNode, aEvent.mResponse, aNow)) {
    const auto* leave = std::get_if<leave_op>(&done.mOp);
    if (leave != nullptr && leave->mProcess == aState.mNode.mSelf) {
      FireProcess(aState, process_event::Left, aNow);
    }
    OnCommandRecorded(aState, done.mOperationId, done.mOutcome);
  }
}

void OnEvent(agent_state& aState, stop_event&&, absl::Time aNow)
{
  FireProcess(aState, process_event::Stop, aNow);
}

void OnEvent(agent_state&, tick_event&&, absl::Time) {}

// Returns the time of the next report of a usage record.
absl::Time GetNextReportTime(const agent_state& aState)
{
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [id, run] : aState.mRuns) {
    if (run.mStatus == run_status::Held) {
      next = std::min(next, run.mReportAt);
    }
  }
  return next;
}

} // namespace

void agent_state_deleter::operator()(agent_state* aState) const
{
  delete aState;
}

agent_ptr MakeAgent(const node_settings& aSettings,
                    const agent_options& aOptions, const node_charts& aCharts)
{
  agent_ptr agent(new agent_state);
  agent->mNode = MakeNodeCore(aSettings, process_role::Agent, aCharts,
                              commit_options{}.mMinInterval);
  agent->mOptions = aOptions;
  agent->mBackend = backend_id{ aSettings.mMember.mValue };
  return agent;
}

std::vector<agent_action> Step(agent_state& aState, agent_event aEvent,
                               absl::Time aNow)
{
  std::visit(
    [&aState, aNow](auto&& aTyped) {
      OnEvent(aState, std::forward<decltype(aTyped)>(aTyped), aNow);
    },
    std::move(aEvent));
  AdvanceProcess(aState, aNow);
  if (aState.mNode.mSelf.mIncarnation != 0) {
    if (aState.mNextGossip <= aNow) {
      SendReports(aState, aNow);
    }
    if (aState.mNextPoll <= aNow) {
      PollStore(aState, aNow);
    }
    AdvanceRecords(aState, aNow);
  }
  ExpireCommands(aState, aNow);
  AdvanceProcess(aState, aNow);
  AdvanceQueues(aState.mNode, aNow);
  std::vector<agent_action> actions = std::exchange(aState.mActions, {});
  for (auto& request : std::exchange(aState.mNode.mStoreRequests, {})) {
    actions.emplace_back(store_action{ std::move(request) });
  }
  for (auto& send : std::exchange(aState.mNode.mSends, {})) {
    actions.emplace_back(std::move(send));
  }
  return actions;
}

absl::Time GetNextWakeTime(const agent_state& aState)
{
  if (aState.mNode.mStatus == process_status::Starting) {
    return absl::InfinitePast();
  }
  absl::Time wake =
    std::min(GetNextQueueWakeTime(aState.mNode), aState.mStopDeadline);
  if (aState.mNode.mSelf.mIncarnation != 0) {
    wake = std::min({ wake, aState.mNextGossip, aState.mNextPoll,
                      GetNextReportTime(aState) });
  }
  for (const auto& [operationId, command] : aState.mCommands) {
    wake = std::min(wake, command.mExpiresAt);
  }
  return wake;
}

bool IsReady(const agent_state& aState)
{
  return aState.mNode.mStatus == process_status::Ready;
}

agent_dump Dump(const agent_state& aState)
{
  agent_dump dump;
  dump.mProcess = aState.mNode.mSelf;
  dump.mStatus = std::string(ToName(aState.mNode.mStatus));
  dump.mConfigVersion = aState.mNode.mConfig.mVersion;
  dump.mMembersVersion = aState.mNode.mMembersVersion;
  dump.mLoad = aState.mLoad;
  for (const auto& [id, run] : aState.mRuns) {
    dump.mRuns.push_back({ run.mHandle, id, std::string(ToName(run.mStatus)) });
    dump.mRecords += run.mStatus == run_status::Held ? 1 : 0;
  }
  return dump;
}

} // namespace foxtailquay
