// Runs the steps of a scenario.

#include "scenario.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "enum_text.h"
#include "fake_store.h"
#include "sim_caller.h"
#include "sim_network.h"
#include "sim_process.h"
#include "xxhash.h"

namespace foxtailquay::scenario {

namespace {

// Maximum time that the fleet may take to become idle after the faults have
// ended.
constexpr absl::Duration kSettleLimit = absl::Minutes(5);
// Prompt bytes per token in the simulation.
constexpr token_count kBytesPerToken = 4;

using outcome = result<success>;

outcome CheckProcesses(const step& aStep, const world& aWorld,
                       const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (aWorld.mProcesses.count(name) == 0 && name != kStoreName) {
      return MakeStepError(aStep, "unknown process " + name);
    }
  }
  return success{};
}

outcome RunConfig(const step& aStep, world& aWorld)
{
  auto config = ApplyPatch(config_document{}, aStep.mFields.mPatch);
  if (!IsOk(config)) {
    return MakeStepError(aStep, ToString(GetError(config)));
  }
  SeedConfig(aWorld, GetValue(std::move(config)));
  return success{};
}

void StartProcesses(world& aWorld, const std::vector<std::string>& aNames,
                    process_role aRole)
{
  for (const std::string& name : aNames) {
    sim_process& process = aWorld.mProcesses[name];
    process.mRole = aRole;
    process.mZone = "z1";
    FireProcess(aWorld, name, process_event::Start);
  }
}

outcome RunStart(const step& aStep, world& aWorld)
{
  StartProcesses(aWorld, aStep.mFields.mRouters, process_role::Router);
  StartProcesses(aWorld, aStep.mFields.mAgents, process_role::Agent);
  return success{};
}

outcome RunAdvance(const step& aStep, world& aWorld)
{
  RunUntil(aWorld, aWorld.mNow + aStep.mFields.mFor);
  return success{};
}

outcome RunSettle(const step&, world& aWorld)
{
  Settle(aWorld);
  CheckIdle(aWorld);
  return success{};
}

outcome SendOperatorRequest(const step& aStep, world& aWorld,
                            const operator_request& aRequest)
{
  auto known = CheckProcesses(aStep, aWorld, aStep.mFields.mAt);
  if (!IsOk(known)) {
    return known;
  }
  for (const std::string& router : aStep.mFields.mAt) {
    AddOperatorCall(aWorld, aStep.mFields.mAs, router, aRequest);
  }
  return success{};
}

outcome RunTopUp(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  return SendOperatorRequest(
    aStep, aWorld,
    top_up_request{ { fields.mBudget },
                    fields.mId.empty() ? fields.mAs : fields.mId,
                    *fields.mAmount });
}

outcome RunRelease(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  const process_id holder{ { fields.mProcesses.front() }, fields.mIncarnation };
  return SendOperatorRequest(
    aStep, aWorld, release_held_request{ { { fields.mBudget }, holder } });
}

outcome RunPatch(const step& aStep, world& aWorld)
{
  patch_request request{ aStep.mFields.mPatch };
  request.mPatch.mIfVersion = aStep.mFields.mIfVersion;
  request.mPatch.mPatchId =
    aStep.mFields.mId.empty() ? aStep.mFields.mAs : aStep.mFields.mId;
  return SendOperatorRequest(aStep, aWorld, request);
}

// Calls aFunction with the name of each named process.
template<typename Function>
outcome ForEachProcess(const step& aStep, world& aWorld, Function aFunction)
{
  auto known = CheckProcesses(aStep, aWorld, aStep.mFields.mProcesses);
  if (IsOk(known)) {
    for (const std::string& name : aStep.mFields.mProcesses) {
      aFunction(name);
    }
  }
  return known;
}

outcome RunDrain(const step& aStep, world& aWorld)
{
  return ForEachProcess(aStep, aWorld, [&](const std::string& aName) {
    sim_process& process = aWorld.mProcesses.at(aName);
    if (process.mRole == process_role::Router && process.mRouter &&
        !process.mStopRequested) {
      process.mStopRequested = true;
      process.mStopRequestedAt = aWorld.mNow;
      AddOperatorCall(aWorld, "drain", aName, drain_request{});
    }
  });
}

outcome ChangeProcesses(const step& aStep, world& aWorld, process_event aEvent)
{
  return ForEachProcess(aStep, aWorld, [&](const std::string& aName) {
    FireProcess(aWorld, aName, aEvent);
  });
}

outcome RunKill(const step& aStep, world& aWorld)
{
  return ChangeProcesses(aStep, aWorld, process_event::Kill);
}

outcome RunRestart(const step& aStep, world& aWorld)
{
  return ChangeProcesses(aStep, aWorld, process_event::Start);
}

outcome RunPause(const step& aStep, world& aWorld)
{
  return ChangeProcesses(aStep, aWorld, process_event::Pause);
}

outcome RunResume(const step& aStep, world& aWorld)
{
  return ChangeProcesses(aStep, aWorld, process_event::Resume);
}

outcome RunStop(const step& aStep, world& aWorld)
{
  return ForEachProcess(aStep, aWorld, [&](const std::string& aName) {
    RequestStop(aWorld, aName);
  });
}

outcome RunVmGone(const step& aStep, world& aWorld)
{
  vm_removed_event event;
  for (const std::string& name : aStep.mFields.mProcesses) {
    event.mMembers.push_back({ name });
  }
  for (const std::string& router : aStep.mFields.mAt) {
    Schedule(aWorld, aWorld.mNow,
             { { router, 0 }, node_input{ router_event{ event } } });
  }
  return success{};
}

caller_request_event MakeCallerRequest(const step_fields& aFields,
                                       const std::string& aBody)
{
  caller_request_event request;
  request.mKeyHash = ComputeKeyHash(aFields.mWorkspace);
  request.mKind = aFields.mService.empty() ? request_kind::Completion
                                           : request_kind::ServiceCall;
  request.mTarget =
    aFields.mService.empty() ? aFields.mModel : aFields.mService;
  request.mPromptTokensBound =
    aFields.mService.empty() ? aFields.mPrompt * kBytesPerToken : 0;
  request.mMaxTokens = aFields.mMaxTokens;
  request.mTimeout = aFields.mTimeout;
  request.mIdempotencyKey = aFields.mKey;
  request.mMethod = "POST";
  request.mPath = aFields.mPath;
  request.mContentType = "application/json";
  request.mBody = aBody;
  request.mStream = aFields.mStream && aFields.mService.empty();
  const std::string call = absl::StrCat(request.mMethod, request.mPath, aBody);
  request.mFingerprint = XXH64(call.data(), call.size(), 0);
  return request;
}

// Returns true if the request may be executed more than once: a completion, or
// a service call whose path is listed in the configuration. It does not use the
// code of src/core.
bool MayRepeat(const world& aWorld, const step_fields& aFields)
{
  if (aFields.mService.empty()) {
    return true;
  }
  const config_document& config = aWorld.mObserver.mConfigs.rbegin()->second;
  const auto service = config.mServices.find({ aFields.mService });
  return service != config.mServices.end() &&
         std::any_of(service->second.mCalls.begin(),
                     service->second.mCalls.end(),
                     [&](const service_call_config& aCall) {
                       return aFields.mPath.rfind(aCall.mPathPrefix, 0) == 0;
                     });
}

outcome RunSend(const step& aStep, world& aWorld)
{
  const step_fields& fields = aStep.mFields;
  auto known = CheckProcesses(aStep, aWorld, fields.mAt);
  if (!IsOk(known)) {
    return known;
  }
  if (fields.mModel.empty() == fields.mService.empty()) {
    return MakeStepError(aStep, "expected either model or service in send");
  }
  for (int i = 0; i < fields.mCount.value_or(1); ++i) {
    // Requests with the same idempotency key are retries of one call.
    std::string body = absl::StrCat(fields.mAs, "-", aWorld.mRequests.size());
    if (!fields.mBody.empty() || !fields.mKey.empty()) {
      body = fields.mBody.empty() ? fields.mKey : fields.mBody;
    }
    sim_request request;
    request.mName = fields.mAs;
    request.mRouter = {
      fields.mAt[static_cast<std::size_t>(i) % fields.mAt.size()], 0
    };
    request.mWorkspace = fields.mWorkspace;
    request.mRequest = MakeCallerRequest(fields, body);
    request.mRepeatable = MayRepeat(aWorld, fields);
    aWorld.mWork[body] = { fields.mPrompt, fields.mTokens, fields.mInterval,
                           fields.mLatency, fields.mBreakAfter };
    AddRequest(aWorld, std::move(request),
               aWorld.mNow + static_cast<double>(i) * fields.mEvery);
  }
  return success{};
}

outcome RunDisconnect(const step& aStep, world& aWorld)
{
  for (std::size_t i = 0; i < aWorld.mRequests.size(); ++i) {
    if (aWorld.mRequests[i].mName == aStep.mFields.mRequest) {
      Disconnect(aWorld, i);
    }
  }
  return success{};
}

void SetCutsBetween(const step& aStep, world& aWorld, bool aCut)
{
  for (const std::string& left : aStep.mFields.mBetween) {
    for (const std::string& right : aStep.mFields.mAnd) {
      SetCut(aWorld, left, right, aCut);
      if (!aStep.mFields.mOneWay) {
        SetCut(aWorld, right, left, aCut);
      }
    }
  }
  ObserveTopology(aWorld);
}

outcome RunCut(const step& aStep, world& aWorld)
{
  for (const auto& group : { aStep.mFields.mBetween, aStep.mFields.mAnd }) {
    auto known = CheckProcesses(aStep, aWorld, group);
    if (!IsOk(known)) {
      return known;
    }
  }
  SetCutsBetween(aStep, aWorld, true);
  return success{};
}

outcome RunHeal(const step& aStep, world& aWorld)
{
  if (aStep.mFields.mBetween.empty()) {
    aWorld.mNetwork.mCuts.clear();
  }
  SetCutsBetween(aStep, aWorld, false);
  return success{};
}

outcome RunNetwork(const step& aStep, world& aWorld)
{
  fake_network& network = aWorld.mNetwork;
  const step_fields& fields = aStep.mFields;
  network.mDelay = fields.mNetworkDelay.value_or(network.mDelay);
  network.mJitter = fields.mJitter.value_or(network.mJitter);
  network.mLossPermille = fields.mLoss.value_or(network.mLossPermille);
  network.mDuplicatePermille =
    fields.mDuplicate.value_or(network.mDuplicatePermille);
  aWorld.mLastDisturbance = aWorld.mNow;
  ObserveTopology(aWorld);
  return success{};
}

outcome RunStore(const step& aStep, world& aWorld)
{
  aWorld.mStore.mMode = aStep.mFields.mMode.value_or(aWorld.mStore.mMode);
  aWorld.mStore.mDelay = aStep.mFields.mDelay;
  aWorld.mLastDisturbance = aWorld.mNow;
  ObserveTopology(aWorld);
  return success{};
}

outcome RunLoseAnswers(const step& aStep, world& aWorld)
{
  aWorld.mStore.mResponsesToLose = *aStep.mFields.mCount;
  aWorld.mStore.mLoseArea = aStep.mFields.mArea;
  aWorld.mLastDisturbance = aWorld.mNow;
  return success{};
}

outcome RunCommand(const step& aStep, world& aWorld)
{
  return ForEachProcess(aStep, aWorld, [&](const std::string& aName) {
    SendCommand(aWorld, aName, *aStep.mFields.mFencing);
  });
}

struct step_runner
{
  step_kind mKind;
  outcome (*mRun)(const step&, world&);
};

// In the order of step_kind.
constexpr step_runner kRunners[] = {
  { step_kind::Config, &RunConfig },
  { step_kind::Start, &RunStart },
  { step_kind::Advance, &RunAdvance },
  { step_kind::Settle, &RunSettle },
  { step_kind::TopUp, &RunTopUp },
  { step_kind::Release, &RunRelease },
  { step_kind::Patch, &RunPatch },
  { step_kind::Drain, &RunDrain },
  { step_kind::Send, &RunSend },
  { step_kind::Disconnect, &RunDisconnect },
  { step_kind::Cut, &RunCut },
  { step_kind::Heal, &RunHeal },
  { step_kind::Network, &RunNetwork },
  { step_kind::Kill, &RunKill },
  { step_kind::Restart, &RunRestart },
  { step_kind::Pause, &RunPause },
  { step_kind::Resume, &RunResume },
  { step_kind::Stop, &RunStop },
  { step_kind::VmGone, &RunVmGone },
  { step_kind::Store, &RunStore },
  { step_kind::LoseAnswers, &RunLoseAnswers },
  { step_kind::Command, &RunCommand },
  { step_kind::Expect, &RunExpect },
};
static_assert(std::size(kRunners) == CountEnumerators<step_kind>(),
              "every kind of step needs a function");

// Starts a router unless one is running.
void EnsureRunningRouter(world& aWorld)
{
  std::string down;
  for (const auto& [name, process] : aWorld.mProcesses) {
    if (process.mRole == process_role::Router) {
      if (process.mStatus == process_status::Running &&
          !process.mStopRequested) {
        return;
      }
      down = process.mStatus == process_status::Down ? name : down;
    }
  }
  if (!down.empty()) {
    FireProcess(aWorld, down, process_event::Start);
  }
}

// Sends each router the names of the processes that are down, as the platform
// does with its list of removed VMs.
void ReportRemovedVms(world& aWorld)
{
  vm_removed_event event;
  for (const auto& [name, process] : aWorld.mProcesses) {
    if (process.mStatus == process_status::Down) {
      event.mMembers.push_back({ name });
    }
  }
  for (const auto& [name, process] : aWorld.mProcesses) {
    if (process.mRole == process_role::Router) {
      Schedule(aWorld, aWorld.mNow,
               { { name, 0 }, node_input{ router_event{ event } } });
    }
  }
}

} // namespace

error MakeStepError(const step& aStep, std::string aDetail)
{
  return error{ error_code::Internal, executed::No, aStep.mLocation,
                std::move(aDetail), absl::ZeroDuration() };
}

void Settle(world& aWorld)
{
  aWorld.mNetwork.mCuts.clear();
  aWorld.mNetwork.mLossPermille = 0;
  aWorld.mNetwork.mDuplicatePermille = 0;
  aWorld.mStore.mMode = store_mode::Up;
  aWorld.mStore.mDelay = absl::ZeroDuration();
  aWorld.mStore.mResponsesToLose = 0;
  for (const auto& [name, process] : aWorld.mProcesses) {
    FireProcess(aWorld, name, process_event::Resume);
  }
  EnsureRunningRouter(aWorld);
  // The platform's list of VMs is updated with a delay. After 10 s each running
  // router has joined.
  RunUntil(aWorld, aWorld.mNow + absl::Seconds(10));
  ReportRemovedVms(aWorld);
  const absl::Time limit = aWorld.mNow + kSettleLimit;
  // The fleet may seem idle between two retries, so it must remain idle for
  // this long.
  constexpr int kRequiredIdleSeconds = 5;
  int idleSeconds = 0;
  while (idleSeconds < kRequiredIdleSeconds && aWorld.mNow < limit &&
         aWorld.mObserver.mViolations.empty()) {
    RunUntil(aWorld, aWorld.mNow + absl::Seconds(1));
    idleSeconds = IsIdle(aWorld) ? idleSeconds + 1 : 0;
  }
}

result<success> RunStep(const step& aStep, world& aWorld)
{
  const auto index = static_cast<std::size_t>(aStep.mKind);
  Trace(aWorld,
        absl::StrCat("--- ", aStep.mLocation, " ", ToEnumText(aStep.mKind)));
  auto done = kRunners[index].mRun(aStep, aWorld);
  if (!IsOk(done)) {
    return done;
  }
  CheckInstant(aWorld);
  if (!aWorld.mObserver.mViolations.empty()) {
    const violation& first = aWorld.mObserver.mViolations.front();
    return MakeStepError(
      aStep, absl::StrCat(ToEnumText(first.mCheck), ": ", first.mText));
  }
  return success{};
}

result<success> RunScenario(const scenario_file& aScenario, world& aWorld)
{
  for (const step& step : aScenario.mSteps) {
    auto done = RunStep(step, aWorld);
    if (!IsOk(done)) {
      return done;
    }
  }
  step last;
  last.mKind = step_kind::Settle;
  last.mLocation = aScenario.mName + ": after the last step";
  return RunStep(last, aWorld);
}

} // namespace foxtailquay::scenario
