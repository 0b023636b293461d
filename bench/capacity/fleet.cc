#include "fleet.h"

#include <algorithm>
#include <ctime>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"
#include "wire/message_codec.h"

namespace foxtailquay {

namespace {

// Fixed times from sending to receiving a message, from a store request to its
// response, and of a run.
constexpr absl::Duration kMessageDelay = absl::Microseconds(1500);
constexpr absl::Duration kStoreDelay = absl::Milliseconds(3);
constexpr absl::Duration kRunTime = absl::Milliseconds(800);
constexpr token_count kTopUpTokens = 1'000'000'000;
constexpr int kZones = 8;
constexpr std::size_t kHashDigits = 64;

double ReadCpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

std::string MakeRouterName(int aIndex)
{
  return absl::StrCat("router-", aIndex);
}

std::string MakeEngineName(int aIndex)
{
  return absl::StrCat("engine-", aIndex);
}

std::string MakeZoneName(int aIndex)
{
  return absl::StrCat("zone-", aIndex % kZones);
}

// Returns the name of the workspace of a budget. A workspace has two budgets,
// as in a deployment with 11,000 budgets in 5,100 workspaces.
std::string MakeWorkspaceName(int aBudget)
{
  return absl::StrCat("workspace-", aBudget / 2);
}

std::string ComputeKeyHash(int aWorkspace)
{
  std::string digits = absl::StrCat(aWorkspace);
  return std::string(kHashDigits - digits.size(), '0') + digits;
}

void ScheduleEvent(fleet& aFleet, absl::Duration aDelay, std::size_t aNode,
                   std::variant<router_event, agent_event> aEvent)
{
  aFleet.mEvents.push(fleet_event{
    aFleet.mNow + aDelay, aFleet.mSequenceNumber++, aNode, std::move(aEvent) });
}

// Schedules an event that routers and agents have in common.
template<typename Event>
void ScheduleNodeEvent(fleet& aFleet, absl::Duration aDelay, std::size_t aNode,
                       Event aEvent)
{
  if (aFleet.mNodes[aNode].mRouter) {
    ScheduleEvent(aFleet, aDelay, aNode, router_event(std::move(aEvent)));
  } else {
    ScheduleEvent(aFleet, aDelay, aNode, agent_event(std::move(aEvent)));
  }
}

store_response HandleStoreRequest(fleet& aFleet, const store_request& aRequest)
{
  store_response response;
  response.mKey = aRequest.mKey;
  response.mIsWrite = aRequest.mWrite.has_value();
  if (aFleet.mStoreDown) {
    return response;
  }
  const auto found = aFleet.mStore.find(aRequest.mKey);
  response.mVersion = found == aFleet.mStore.end() ? 0 : found->second.first;
  response.mStatus = store_status::Ok;
  if (!aRequest.mWrite) {
    ++aFleet.mStoreCost.mReads;
    if (found != aFleet.mStore.end()) {
      response.mDocument = found->second.second;
    }
    return response;
  }
  ++aFleet.mStoreCost.mWrites;
  if (response.mVersion != aRequest.mIfVersion) {
    ++aFleet.mStoreCost.mConflicts;
    response.mStatus = store_status::Conflict;
    return response;
  }
  ++response.mVersion;
  aFleet.mStore[aRequest.mKey] = { response.mVersion, *aRequest.mWrite };
  return response;
}

role_cost& GetRoleCost(fleet& aFleet, std::size_t aNode)
{
  return aFleet.mNodes[aNode].mRouter ? aFleet.mRouterCost : aFleet.mAgentCost;
}

void Perform(fleet& aFleet, std::size_t aNode, store_action& aAction)
{
  ScheduleNodeEvent(
    aFleet, kStoreDelay, aNode,
    store_response_event{ HandleStoreRequest(aFleet, aAction.mRequest) });
}

void Perform(fleet& aFleet, std::size_t aNode, send_action& aAction)
{
  const auto found = aFleet.mNodesByName.find(aAction.mTo.mValue);
  const std::int64_t size =
    static_cast<std::int64_t>(ToText(ToJson(aAction.mEnvelope)).size());
  role_cost& sender = GetRoleCost(aFleet, aNode);
  ++sender.mMessages;
  sender.mBytes += size;
  aFleet.mBytesByKind[std::string(
    ToName(GetMessageKind(aAction.mEnvelope.mBody)))] += size;
  if (found != aFleet.mNodesByName.end()) {
    GetRoleCost(aFleet, found->second).mBytes += size;
    ScheduleNodeEvent(aFleet, kMessageDelay, found->second,
                      message_event{ std::move(aAction.mEnvelope) });
  }
}

void Perform(fleet&, std::size_t, stopped_action&) {}

void Perform(fleet& aFleet, std::size_t aNode, dispatch_action& aAction)
{
  const std::size_t agent = aFleet.mNodesByName.at(aAction.mAgent.mValue);
  const request_handle handle = aFleet.mNextHandle++;
  aFleet.mRuns[{ agent, handle }] = { aNode, aAction.mHandle,
                                      aAction.mRun.mRequest };
  ScheduleEvent(
    aFleet, kMessageDelay, agent,
    agent_event(run_requested_event{ handle, std::move(aAction.mHeader),
                                     std::move(aAction.mRun) }));
}

void Perform(fleet&, std::size_t, cancel_run_action&) {}

void Perform(fleet& aFleet, std::size_t, caller_response_action& aAction)
{
  if (const auto* refused = std::get_if<error>(&aAction.mResponse)) {
    ++aFleet.mRefusedRequests;
    ++aFleet.mRefusalsByCode[std::string(ToName(refused->mCode))];
  } else {
    ++aFleet.mCompletedRequests;
  }
}

void Perform(fleet&, std::size_t, operator_response_action&) {}

void Perform(fleet& aFleet, std::size_t aNode, start_run_action& aAction)
{
  const auto found = aFleet.mRuns.find({ aNode, aAction.mHandle });
  const fleet_run run = found->second;
  aFleet.mRuns.erase(found);
  const token_usage usage{ 50, 200 };
  ScheduleEvent(aFleet, kMessageDelay, run.mRouter,
                router_event(run_accepted_event{ run.mHandle, run.mRequest }));
  ScheduleEvent(aFleet, kRunTime, aNode,
                agent_event(run_ended_event{ aAction.mHandle, usage, true }));
  ScheduleEvent(
    aFleet, kRunTime + kMessageDelay, run.mRouter,
    router_event(run_finished_event{ run.mHandle, run.mRequest, usage, {} }));
}

void Perform(fleet& aFleet, std::size_t aNode, refuse_run_action& aAction)
{
  const auto found = aFleet.mRuns.find({ aNode, aAction.mHandle });
  const fleet_run run = found->second;
  aFleet.mRuns.erase(found);
  ScheduleEvent(aFleet, kMessageDelay, run.mRouter,
                router_event(run_refused_event{ run.mHandle, run.mRequest,
                                                aAction.mError }));
}

void Perform(fleet&, std::size_t, abort_run_action&) {}
void Perform(fleet&, std::size_t, command_response_action&) {}

template<typename Actions>
void PerformAll(fleet& aFleet, std::size_t aNode, Actions aActions)
{
  for (auto& action : aActions) {
    std::visit([&](auto& aTyped) { Perform(aFleet, aNode, aTyped); }, action);
  }
}

void StepNode(fleet& aFleet, std::size_t aNode,
              std::variant<router_event, agent_event> aEvent)
{
  fleet_node& node = aFleet.mNodes[aNode];
  role_cost& cost = GetRoleCost(aFleet, aNode);
  if (node.mRouter) {
    const double startSeconds = ReadCpuSeconds();
    auto actions = Step(*node.mRouter,
                        std::get<router_event>(std::move(aEvent)), aFleet.mNow);
    const absl::Time wake = GetNextWakeTime(*node.mRouter);
    cost.mCpuSeconds += ReadCpuSeconds() - startSeconds;
    PerformAll(aFleet, aNode, std::move(actions));
    node.mWakeAt = wake;
  } else {
    const double startSeconds = ReadCpuSeconds();
    auto actions =
      Step(*node.mAgent, std::get<agent_event>(std::move(aEvent)), aFleet.mNow);
    const absl::Time wake = GetNextWakeTime(*node.mAgent);
    cost.mCpuSeconds += ReadCpuSeconds() - startSeconds;
    PerformAll(aFleet, aNode, std::move(actions));
    node.mWakeAt = wake;
  }
}

void SendRequest(fleet& aFleet)
{
  std::uniform_int_distribution<int> router(0, aFleet.mSize.mRouters - 1);
  std::uniform_int_distribution<int> budget(0, aFleet.mSize.mBudgets - 1);
  std::uniform_int_distribution<int> model(0, aFleet.mSize.mModels - 1);
  caller_request_event request;
  request.mHandle = aFleet.mNextHandle++;
  request.mKeyHash = ComputeKeyHash(budget(aFleet.mRandom) / 2);
  request.mTarget = absl::StrCat("model-", model(aFleet.mRandom));
  request.mPromptTokensBound = 300;
  request.mMaxTokens = 400;
  request.mBody = std::string(300, 'x');
  ScheduleEvent(aFleet, absl::ZeroDuration(),
                static_cast<std::size_t>(router(aFleet.mRandom)),
                router_event(request));
  std::exponential_distribution<double> interarrivalTime(
    aFleet.mSize.mRequestsPerSecond);
  aFleet.mNextRequestAt =
    aFleet.mNow + absl::Seconds(interarrivalTime(aFleet.mRandom));
}

void StartNodes(fleet& aFleet, const std::string& aNonce)
{
  aFleet.mNodes.clear();
  const int count = aFleet.mSize.mRouters + aFleet.mSize.mAgents;
  for (int i = 0; i < count; ++i) {
    const bool router = i < aFleet.mSize.mRouters;
    node_settings settings;
    settings.mMember.mValue =
      router ? MakeRouterName(i) : MakeEngineName(i - aFleet.mSize.mRouters);
    settings.mZone.mValue = MakeZoneName(i);
    settings.mAddress = absl::StrCat("10.0.", i / 250, ".", i % 250, ":9000");
    settings.mNonce = absl::StrCat(aNonce, i);
    settings.mSeed = static_cast<std::uint64_t>(i) + 1;
    fleet_node node;
    if (router) {
      router_options options;
      options.mSettleDelay = aFleet.mSize.mSettleDelay;
      node.mRouter = MakeRouter(settings, options, *aFleet.mCharts);
    } else {
      node.mAgent = MakeAgent(settings, agent_options{}, *aFleet.mCharts);
    }
    node.mWakeAt = aFleet.mNow;
    aFleet.mNodesByName[settings.mMember.mValue] = static_cast<std::size_t>(i);
    aFleet.mNodes.push_back(std::move(node));
  }
}

// Handles the events and wake-ups that are due; returns the time of the next
// one.
absl::Time AdvanceNodes(fleet& aFleet)
{
  while (!aFleet.mEvents.empty() && aFleet.mEvents.top().mAt <= aFleet.mNow) {
    fleet_event event = aFleet.mEvents.top();
    aFleet.mEvents.pop();
    StepNode(aFleet, event.mNode, std::move(event.mEvent));
  }
  absl::Time next = aFleet.mNextRequestAt;
  for (std::size_t i = 0; i < aFleet.mNodes.size(); ++i) {
    if (aFleet.mNodes[i].mWakeAt <= aFleet.mNow) {
      StepNode(
        aFleet, i,
        aFleet.mNodes[i].mRouter
          ? std::variant<router_event, agent_event>(router_event(tick_event{}))
          : agent_event(tick_event{}));
    }
    next = std::min(next, aFleet.mNodes[i].mWakeAt);
  }
  if (!aFleet.mEvents.empty()) {
    next = std::min(next, aFleet.mEvents.top().mAt);
  }
  return next;
}

} // namespace

config_patch MakeConfig(const fleet_size& aSize)
{
  config_patch patch;
  patch.mPatchId = "capacity";
  patch.mFleet = fleet_config{};
  patch.mFleet->mAccountShards = aSize.mShards;
  patch.mFleet->mClaimShards = aSize.mShards;
  for (int i = 0; i < aSize.mModels; ++i) {
    patch.mModels[{ absl::StrCat("model-", i) }] = model_config{};
  }
  for (int i = 0; i < aSize.mAgents; ++i) {
    backend_config backend;
    backend.mZone.mValue = MakeZoneName(i);
    backend.mMaxConcurrency = 64;
    for (int m = 0; m < std::min(2, aSize.mModels); ++m) {
      backend.mModels.push_back(
        { absl::StrCat("model-", (i + m) % aSize.mModels) });
    }
    patch.mBackends[{ MakeEngineName(i) }] = backend;
  }
  for (int i = 0; i < aSize.mBudgets; i += 2) {
    workspace_config workspace;
    workspace.mKeyHashes = { ComputeKeyHash(i / 2) };
    workspace.mBudgets = { { { absl::StrCat("budget-", i) }, { "model-0" } },
                           { { absl::StrCat("budget-", i + 1) }, {} } };
    patch.mWorkspaces[{ MakeWorkspaceName(i) }] = workspace;
  }
  return patch;
}

fleet MakeFleet(const fleet_size& aSize,
                const std::map<std::string, std::string>& aCharts)
{
  fleet made;
  made.mSize = aSize;
  made.mRandom.seed(1);
  made.mCharts = GetValue(LoadCharts(aCharts));
  StartNodes(made, "start-");
  RunFor(made, absl::Seconds(5));
  ScheduleEvent(
    made, absl::ZeroDuration(), 0,
    router_event(operator_event{ 1, patch_request{ MakeConfig(aSize) } }));
  RunFor(made, absl::Seconds(5));
  for (int i = 0; i < aSize.mBudgets; ++i) {
    ScheduleEvent(
      made, absl::ZeroDuration(), 0,
      router_event(operator_event{
        2, top_up_request{
             { absl::StrCat("budget-", i) }, "first", kTopUpTokens } }));
  }
  RunFor(made, absl::Seconds(5));
  made.mSendsRequests = true;
  return made;
}

void RunFor(fleet& aFleet, absl::Duration aTime)
{
  const absl::Time end = aFleet.mNow + aTime;
  if (aFleet.mSendsRequests && aFleet.mSize.mRequestsPerSecond > 0 &&
      aFleet.mNextRequestAt == absl::InfiniteFuture()) {
    aFleet.mNextRequestAt = aFleet.mNow;
  }
  for (;;) {
    const absl::Time next = AdvanceNodes(aFleet);
    if (next > end) {
      break;
    }
    aFleet.mNow = std::max(aFleet.mNow, next);
    if (aFleet.mNextRequestAt <= aFleet.mNow) {
      SendRequest(aFleet);
    }
  }
  aFleet.mNow = end;
}

void ResetCosts(fleet& aFleet)
{
  aFleet.mRouterCost = {};
  aFleet.mAgentCost = {};
  aFleet.mStoreCost = {};
  aFleet.mCompletedRequests = 0;
  aFleet.mRefusedRequests = 0;
  aFleet.mRefusalsByCode.clear();
  aFleet.mBytesByKind.clear();
}

void RestartAll(fleet& aFleet)
{
  aFleet.mEvents = {};
  aFleet.mRuns.clear();
  StartNodes(aFleet,
             absl::StrCat("restart-", absl::ToUnixSeconds(aFleet.mNow), "-"));
}

} // namespace foxtailquay
