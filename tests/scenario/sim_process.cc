#include "sim_process.h"

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "fake_store.h"
#include "sim_caller.h"
#include "sim_network.h"
#include "sim_stream.h"

namespace foxtailquay::scenario {

namespace {

// More ticks than this at one instant mean that the node requests wake-ups
// without end.
constexpr int kMaxTicksAtInstant = 100;

bool EvaluateGuard(process_guard aGuard, const sim_process& aProcess)
{
  switch (aGuard) {
    case process_guard::StopWasAsked:
      return aProcess.mStopRequested;
  }
  return false;
}

void ScheduleWakeUp(world& aWorld, const std::string& aName)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  const absl::Time due = process.mRouter ? GetNextWakeTime(*process.mRouter)
                                         : GetNextWakeTime(*process.mAgent);
  const absl::Time at = std::max(due, aWorld.mNow);
  if (at != process.mWakeAt && at != absl::InfiniteFuture()) {
    process.mWakeAt = at;
    Schedule(aWorld, at, { { aName, process.mGeneration }, wake_up{ at } });
  }
}

// --- Actions of nodes -------------------------------------------------------

void Perform(world& aWorld, const process_ref& aFrom,
             const dispatch_action& aAction)
{
  Dispatch(aWorld, aFrom, aAction);
}

void Perform(world& aWorld, const process_ref& aFrom,
             const cancel_run_action& aAction)
{
  CancelRun(aWorld, aFrom, aAction);
}

void Perform(world& aWorld, const process_ref& aFrom,
             const caller_response_action& aAction)
{
  SendCallerResponse(aWorld, aFrom, aAction);
}

void Perform(world& aWorld, const process_ref& aFrom,
             const send_action& aAction)
{
  SendMessage(aWorld, aFrom, aAction);
}

void Perform(world& aWorld, const process_ref& aFrom,
             const store_action& aAction)
{
  CallStore(aWorld, aFrom, aAction.mRequest);
}

void Perform(world& aWorld, const process_ref&,
             const operator_response_action& aAction)
{
  SendOperatorResponse(aWorld, aAction);
}

void Perform(world& aWorld, const process_ref& aFrom, const stopped_action&)
{
  FireProcess(aWorld, aFrom.mName, process_event::Exit);
}

void Perform(world& aWorld, const process_ref&, const start_run_action& aAction)
{
  FireRun(aWorld, aAction.mHandle - 1, run_event::Started);
}

void Perform(world& aWorld, const process_ref&,
             const refuse_run_action& aAction)
{
  const std::size_t stream = aAction.mHandle - 1;
  const bool leaving = aAction.mError.mCode == error_code::BackendServerLeaving;
  const bool fenced = aAction.mError.mCode == error_code::StaleIncarnation;
  const bool bypass =
    (leaving && HasFault(aWorld, injected_fault::WorkWhileLeaving)) ||
    (fenced && HasFault(aWorld, injected_fault::PassFence));
  FireRun(aWorld, stream, bypass ? run_event::Started : run_event::Refused,
          aAction.mError);
}

void Perform(world& aWorld, const process_ref&, const abort_run_action& aAction)
{
  FireRun(aWorld, aAction.mHandle - 1, run_event::Aborted);
}

void Perform(world& aWorld, const process_ref&,
             const command_response_action& aAction)
{
  SendCommandResponse(aWorld, aAction);
}

template<typename Node, typename Event>
void StepNode(world& aWorld, const std::string& aName, Node& aNode,
              Event aEvent)
{
  const process_ref self = GetProcessRef(aWorld, aName);
  const auto actions = Step(aNode, std::move(aEvent), aWorld.mNow);
  for (const auto& action : actions) {
    std::visit([&](const auto& aTyped) { Perform(aWorld, self, aTyped); },
               action);
  }
  if (IsAlive(aWorld, self)) {
    ScheduleWakeUp(aWorld, aName);
  }
}

// --- Actions of the process chart -------------------------------------------

node_settings MakeSettings(world& aWorld, const std::string& aName,
                           const sim_process& aProcess)
{
  node_settings settings;
  settings.mMember.mValue = aName;
  settings.mZone.mValue = aProcess.mZone;
  settings.mAddress = aName;
  settings.mNonce = absl::StrCat(aName, "-", aProcess.mGeneration);
  settings.mSeed = aWorld.mRandom();
  return settings;
}

void CreateNode(world& aWorld, const std::string& aName)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  ++process.mGeneration;
  process.mStopRequested = false;
  process.mStopRequestedAt = absl::InfiniteFuture();
  process.mWakeAt = absl::InfiniteFuture();
  const node_settings settings = MakeSettings(aWorld, aName, process);
  if (process.mRole == process_role::Router) {
    process.mRouter =
      MakeRouter(settings, aWorld.mRouterOptions, *aWorld.mCharts.mNodes);
  } else {
    process.mAgent =
      MakeAgent(settings, aWorld.mAgentOptions, *aWorld.mCharts.mNodes);
  }
  const process_ref self = GetProcessRef(aWorld, aName);
  Schedule(aWorld, aWorld.mNow, { self, wake_up{ aWorld.mNow } });
  process.mWakeAt = aWorld.mNow;
}

void DropNode(world& aWorld, const std::string& aName)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  std::deque<sim_event> inbox;
  inbox.swap(process.mInbox);
  process.mRouter.reset();
  process.mAgent.reset();
  for (sim_event& event : inbox) {
    // The process is down by then, so OnTargetDown handles the event.
    Schedule(aWorld, aWorld.mNow, std::move(event));
  }
}

void CloseConnections(world& aWorld, const std::string& aName)
{
  const process_ref self = GetProcessRef(aWorld, aName);
  for (std::size_t i = 0; i < aWorld.mStreams.size(); ++i) {
    if (aWorld.mStreams[i].mRouter.mName == aName) {
      CloseRouterEnd(aWorld, i);
    } else if (aWorld.mStreams[i].mAgent.mName == aName) {
      CloseAgentEnd(aWorld, i);
    }
  }
  for (sim_request& request : aWorld.mRequests) {
    if (request.mRouter.mName == aName &&
        request.mRouter.mGeneration == self.mGeneration &&
        request.mOutcome == request_outcome::Pending) {
      request.mOutcome = request_outcome::ConnectionLost;
      request.mEndedAt = aWorld.mNow;
    }
  }
  for (sim_operator_call& call : aWorld.mOperatorCalls) {
    call.mConnectionLost =
      call.mConnectionLost || (!call.mResponse && call.mRouter.mName == aName);
  }
}

void MarkStreamsFaulted(world& aWorld, const std::string& aName)
{
  aWorld.mLastDisturbance = aWorld.mNow;
  for (sim_stream& stream : aWorld.mStreams) {
    if (stream.mRouter.mName == aName || stream.mAgent.mName == aName) {
      stream.mFaulted = true;
    }
  }
}

void DeliverInbox(world& aWorld, const std::string& aName)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  std::deque<sim_event> inbox;
  inbox.swap(process.mInbox);
  for (sim_event& event : inbox) {
    Schedule(aWorld, aWorld.mNow, std::move(event));
  }
}

void Perform(world& aWorld, const std::string& aName, process_action aAction)
{
  switch (aAction) {
    case process_action::CreateNode:
      CreateNode(aWorld, aName);
      break;
    case process_action::DropNode:
      DropNode(aWorld, aName);
      break;
    case process_action::CloseConnections:
      ObserveProcessExit(aWorld, aName);
      CloseConnections(aWorld, aName);
      break;
    case process_action::MarkStreamsFaulted:
      MarkStreamsFaulted(aWorld, aName);
      break;
    case process_action::DeliverInbox:
      DeliverInbox(aWorld, aName);
      break;
    case process_action::ReportUnaskedExit:
      RecordViolation(aWorld, check_kind::NoStreamCutByStop,
                      aName + " exited although no stop was requested");
      break;
  }
}

} // namespace

void FireProcess(world& aWorld, const std::string& aName, process_event aEvent)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  Trace(aWorld, absl::StrCat(aName, " ", ToEnumText(aEvent)));
  if (aEvent == process_event::Kill) {
    aWorld.mObserver.mKilledAt.emplace(
      std::make_pair(aName, process.mGeneration), aWorld.mNow);
  }
  for (const process_action action :
       Fire(aWorld.mCharts.mProcess, process.mStatus, aEvent, process,
            &EvaluateGuard)) {
    Perform(aWorld, aName, action);
  }
  ObserveTopology(aWorld);
}

void RequestStop(world& aWorld, const std::string& aName)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  if (process.mStatus != process_status::Running || process.mStopRequested) {
    return;
  }
  process.mStopRequested = true;
  process.mStopRequestedAt = aWorld.mNow;
  Trace(aWorld, aName + " receives a stop request");
  if (HasFault(aWorld, injected_fault::StopCutsStreams)) {
    CloseConnections(aWorld, aName);
  }
  if (process.mRouter) {
    StepProcess(aWorld, aName, router_event{ stop_event{} });
  } else {
    StepProcess(aWorld, aName, agent_event{ stop_event{} });
  }
}

process_ref GetProcessRef(const world& aWorld, const std::string& aName)
{
  return { aName, aWorld.mProcesses.at(aName).mGeneration };
}

bool IsAlive(const world& aWorld, const process_ref& aRef)
{
  const auto found = aWorld.mProcesses.find(aRef.mName);
  return found != aWorld.mProcesses.end() &&
         found->second.mStatus != process_status::Down &&
         found->second.mGeneration == aRef.mGeneration;
}

bool IsReady(const sim_process& aProcess)
{
  return aProcess.mRouter
           ? IsReady(*aProcess.mRouter)
           : aProcess.mAgent != nullptr && IsReady(*aProcess.mAgent);
}

config_version GetConfigVersion(const sim_process& aProcess)
{
  if (aProcess.mRouter) {
    return GetConfig(*aProcess.mRouter).mVersion;
  }
  return aProcess.mAgent ? Dump(*aProcess.mAgent).mConfigVersion : 0;
}

void StepProcess(world& aWorld, const std::string& aName, router_event aEvent)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  if (const auto* request = std::get_if<caller_request_event>(&aEvent)) {
    aWorld.mRequests[request->mHandle - 1].mReachedRouter = true;
  }
  StepNode(aWorld, aName, *process.mRouter, std::move(aEvent));
}

void StepProcess(world& aWorld, const std::string& aName, agent_event aEvent)
{
  sim_process& process = aWorld.mProcesses.at(aName);
  StepNode(aWorld, aName, *process.mAgent, std::move(aEvent));
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const node_input& aInput)
{
  std::visit(
    [&](const auto& aEvent) { StepProcess(aWorld, aTarget.mName, aEvent); },
    aInput.mEvent);
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const wake_up& aWakeTime)
{
  sim_process& process = aWorld.mProcesses.at(aTarget.mName);
  if (process.mWakeAt != aWakeTime.mDueAt) {
    return;
  }
  process.mWakeAt = absl::InfiniteFuture();
  process.mTicksAtInstant =
    process.mLastTickAt == aWorld.mNow ? process.mTicksAtInstant + 1 : 0;
  process.mLastTickAt = aWorld.mNow;
  if (process.mTicksAtInstant > kMaxTicksAtInstant) {
    RecordViolation(aWorld, check_kind::ComesToRest,
                    aTarget.mName +
                      " requests wake-ups without end at one instant");
    return;
  }
  if (process.mRouter) {
    StepProcess(aWorld, aTarget.mName, router_event{ tick_event{} });
  } else {
    StepProcess(aWorld, aTarget.mName, agent_event{ tick_event{} });
  }
}

} // namespace foxtailquay::scenario
