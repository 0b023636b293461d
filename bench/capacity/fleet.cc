#include "fleet.h"

#include <algorithm>
#include <ctime>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"
#include "wire/message_codec.h"

namespace foxtailquay {

namespace {

constexpr absl::Duration kMessageDelay = absl::Microseconds(1500);
constexpr absl::Duration kStoreDelay = absl::Milliseconds(3);
constexpr absl::Duration kRunTime = absl::Milliseconds(800);
constexpr token_count kTopUp = 1'000'000'000;
constexpr int kZones = 8;
constexpr std::size_t kHashDigits = 64;

double CpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

std::string RouterName(int aIndex)
{
  return absl::StrCat("router-", aIndex);
}

std::string EngineName(int aIndex)
{
  return absl::StrCat("engine-", aIndex);
}

std::string ZoneName(int aIndex)
{
  return absl::StrCat("zone-", aIndex % kZones);
}

// Budgets in groups of two to a workspace, as 11,000 are to 5,100.
std::string WorkspaceName(int aBudget)
{
  return absl::StrCat("workspace-", aBudget / 2);
}

std::string ComputeKeyHash(int aWorkspace)
{
  std::string digits = absl::StrCat(aWorkspace);
  return std::string(kHashDigits - digits.size(), '0') + digits;
}

void Push(fleet& aFleet, absl::Duration aDelay, std::size_t aNode,
          std::variant<router_event, agent_event> aEvent)
{
  aFleet.mEvents.push(fleet_event{ aFleet.mNow + aDelay, aFleet.mOrder++, aNode,
                                   std::move(aEvent) });
}

// The same event for a router or an agent.
template<typename Event>
void PushCommon(fleet& aFleet, absl::Duration aDelay, std::size_t aNode,
                Event aEvent)
{
  if (aFleet.mNodes[aNode].mRouter) {
    Push(aFleet, aDelay, aNode, router_event(std::move(aEvent)));
  } else {
    Push(aFleet, aDelay, aNode, agent_event(std::move(aEvent)));
  }
}

store_response Serve(fleet& aFleet, const store_request& aRequest)
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

role_cost& ComputeCost(fleet& aFleet, std::size_t aNode)
{
  return aFleet.mNodes[aNode].mRouter ? aFleet.mRouterCost : aFleet.mAgentCost;
}

void Perform(fleet& aFleet, std::size_t aNode, store_action& aAction)
{
  PushCommon(aFleet, kStoreDelay, aNode,
             store_response_event{ Serve(aFleet, aAction.mRequest) });
}

void Perform(fleet& aFleet, std::size_t aNode, send_action& aAction)
{
  const auto found = aFleet.mByName.find(aAction.mTo.mValue);
  const std::int64_t size =
    static_cast<std::int64_t>(ToText(ToJson(aAction.mEnvelope)).size());
  role_cost& sender = ComputeCost(aFleet, aNode);
  ++sender.mMessages;
  sender.mBytes += size;
  aFleet.mBytesByKind[std::string(
    ToName(GetMessageKind(aAction.mEnvelope.mBody)))] += size;
  if (found != aFleet.mByName.end()) {
    ComputeCost(aFleet, found->second).mBytes += size;
    PushCommon(aFleet, kMessageDelay, found->second,
               message_event{ std::move(aAction.mEnvelope) });
  }
}

void Perform(fleet&, std::size_t, stopped_action&) {}

void Perform(fleet& aFleet, std::size_t aNode, dispatch_action& aAction)
{
  const std::size_t agent = aFleet.mByName.at(aAction.mAgent.mValue);
  const request_handle handle = aFleet.mNextHandle++;
  aFleet.mRuns[{ agent, handle }] = { aNode, aAction.mHandle,
                                      aAction.mRun.mRequest };
  Push(aFleet, kMessageDelay, agent,
       agent_event(run_requested_event{ handle, std::move(aAction.mHeader),
                                        std::move(aAction.mRun) }));
}

void Perform(fleet&, std::size_t, cancel_run_action&) {}

void Perform(fleet& aFleet, std::size_t, caller_response_action& aAction)
{
  if (const auto* refused = std::get_if<error>(&aAction.mResponse)) {
    ++aFleet.mRefused;
    ++aFleet.mRefusals[std::string(ToName(refused->mCode))];
  } else {
    ++aFleet.mAnswered;
  }
}

void Perform(fleet&, std::size_t, operator_response_action&) {}

void Perform(fleet& aFleet, std::size_t aNode, start_run_action& aAction)
{
  const auto found = aFleet.mRuns.find({ aNode, aAction.mHandle });
  const fleet_run run = found->second;
  aFleet.mRuns.erase(found);
  const token_usage usage{ 50, 200 };
  Push(aFleet, kMessageDelay, run.mRouter,
       router_event(run_accepted_event{ run.mHandle, run.mRequest }));
  Push(aFleet, kRunTime, aNode,
       agent_event(run_ended_event{ aAction.mHandle, usage, true }));
  Push(
    aFleet, kRunTime + kMessageDelay, run.mRouter,
    router_event(run_finished_event{ run.mHandle, run.mRequest, usage, {} }));
}

void Perform(fleet& aFleet, std::size_t aNode, refuse_run_action& aAction)
{
  const auto found = aFleet.mRuns.find({ aNode, aAction.mHandle });
  const fleet_run run = found->second;
  aFleet.mRuns.erase(found);
  Push(aFleet, kMessageDelay, run.mRouter,
       router_event(
         run_refused_event{ run.mHandle, run.mRequest, aAction.mError }));
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
  role_cost& cost = ComputeCost(aFleet, aNode);
  if (node.mRouter) {
    const double before = CpuSeconds();
    auto actions = Step(*node.mRouter,
                        std::get<router_event>(std::move(aEvent)), aFleet.mNow);
    const absl::Time wake = GetNextWakeTime(*node.mRouter);
    cost.mCpuSeconds += CpuSeconds() - before;
    PerformAll(aFleet, aNode, std::move(actions));
    node.mWake = wake;
  } else {
    const double before = CpuSeconds();
    auto actions =
      Step(*node.mAgent, std::get<agent_event>(std::move(aEvent)), aFleet.mNow);
    const absl::Time wake = GetNextWakeTime(*node.mAgent);
    cost.mCpuSeconds += CpuSeconds() - before;
    PerformAll(aFleet, aNode, std::move(actions));
    node.mWake = wake;
  }
}

void SendRequest(fleet& aFleet)
{
  std::uniform_int_distribution<int> router(0, aFleet.mSize.mRouters - 1);
  std::uniform_int_distribution<int> budget(0, aFleet.mSize.mBudgets - 1);
  std::uniform_int_distribution<int> model(0, aFleet.mSize.mModels - 1);
  caller_request_event ask;
  ask.mHandle = aFleet.mNextHandle++;
  ask.mKeyHash = ComputeKeyHash(budget(aFleet.mRandom) / 2);
  ask.mTarget = absl::StrCat("model-", model(aFleet.mRandom));
  ask.mPromptTokensBound = 300;
  ask.mMaxTokens = 400;
  ask.mBody = std::string(300, 'x');
  Push(aFleet, absl::ZeroDuration(),
       static_cast<std::size_t>(router(aFleet.mRandom)), router_event(ask));
  std::exponential_distribution<double> gap(aFleet.mSize.mRequestsPerSecond);
  aFleet.mNextRequest = aFleet.mNow + absl::Seconds(gap(aFleet.mRandom));
}

void StartNodes(fleet& aFleet, const std::string& aNonce)
{
  aFleet.mNodes.clear();
  const int count = aFleet.mSize.mRouters + aFleet.mSize.mAgents;
  for (int i = 0; i < count; ++i) {
    const bool router = i < aFleet.mSize.mRouters;
    node_settings settings;
    settings.mMember.mValue =
      router ? RouterName(i) : EngineName(i - aFleet.mSize.mRouters);
    settings.mZone.mValue = ZoneName(i);
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
    node.mWake = aFleet.mNow;
    aFleet.mByName[settings.mMember.mValue] = static_cast<std::size_t>(i);
    aFleet.mNodes.push_back(std::move(node));
  }
}

// Performs what is due at the present time; returns the next time.
absl::Time Advance(fleet& aFleet)
{
  while (!aFleet.mEvents.empty() && aFleet.mEvents.top().mAt <= aFleet.mNow) {
    fleet_event event = aFleet.mEvents.top();
    aFleet.mEvents.pop();
    StepNode(aFleet, event.mNode, std::move(event.mEvent));
  }
  absl::Time next = aFleet.mNextRequest;
  for (std::size_t i = 0; i < aFleet.mNodes.size(); ++i) {
    if (aFleet.mNodes[i].mWake <= aFleet.mNow) {
      StepNode(
        aFleet, i,
        aFleet.mNodes[i].mRouter
          ? std::variant<router_event, agent_event>(router_event(tick_event{}))
          : agent_event(tick_event{}));
    }
    next = std::min(next, aFleet.mNodes[i].mWake);
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
    backend.mZone.mValue = ZoneName(i);
    backend.mMaxConcurrency = 64;
    for (int m = 0; m < std::min(2, aSize.mModels); ++m) {
      backend.mModels.push_back(
        { absl::StrCat("model-", (i + m) % aSize.mModels) });
    }
    patch.mBackends[{ EngineName(i) }] = backend;
  }
  for (int i = 0; i < aSize.mBudgets; i += 2) {
    workspace_config workspace;
    workspace.mKeyHashes = { ComputeKeyHash(i / 2) };
    workspace.mBudgets = { { { absl::StrCat("budget-", i) }, { "model-0" } },
                           { { absl::StrCat("budget-", i + 1) }, {} } };
    patch.mWorkspaces[{ WorkspaceName(i) }] = workspace;
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
  Push(made, absl::ZeroDuration(), 0,
       router_event(operator_event{ 1, patch_request{ MakeConfig(aSize) } }));
  RunFor(made, absl::Seconds(5));
  for (int i = 0; i < aSize.mBudgets; ++i) {
    Push(made, absl::ZeroDuration(), 0,
         router_event(operator_event{
           2, top_up_request{
                { absl::StrCat("budget-", i) }, "first", kTopUp } }));
  }
  RunFor(made, absl::Seconds(5));
  made.mServing = true;
  return made;
}

void RunFor(fleet& aFleet, absl::Duration aTime)
{
  const absl::Time end = aFleet.mNow + aTime;
  if (aFleet.mServing && aFleet.mSize.mRequestsPerSecond > 0 &&
      aFleet.mNextRequest == absl::InfiniteFuture()) {
    aFleet.mNextRequest = aFleet.mNow;
  }
  for (;;) {
    const absl::Time next = Advance(aFleet);
    if (next > end) {
      break;
    }
    aFleet.mNow = std::max(aFleet.mNow, next);
    if (aFleet.mNextRequest <= aFleet.mNow) {
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
  aFleet.mAnswered = 0;
  aFleet.mRefused = 0;
  aFleet.mRefusals.clear();
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
