#include "work_sim.h"

#include <algorithm>

#include "work_parts.h"

namespace foxtailquay {

namespace {

// Engine: time of a step, its increase with each running request, prompt tokens
// a millisecond, and largest number of prompt tokens in a step.
constexpr double kStepMs = 3.79;
constexpr double kStepRequestMs = 0.09;
constexpr double kPromptTokensPerMs = 75;
constexpr double kChunkTokens = 1024;
constexpr double kCachedTokens = 60000;
constexpr absl::Duration kReportDelay = absl::Milliseconds(15);
constexpr absl::Duration kHop = absl::Milliseconds(1);
constexpr absl::Duration kZoneHop = absl::Milliseconds(5);
constexpr absl::Duration kTick = absl::Milliseconds(250);
constexpr token_count kLongPrompt = 2000;

bool IsMeasured(const work_sim& aSim, const sim_call& aCall)
{
  return aCall.mSentAt >= kWorkStart + aSim.mOptions.mWarmUp;
}

absl::Duration ComputeHop(const sim_call& aCall)
{
  return aCall.mGateway % kWorkZones == aCall.mServer % kWorkZones ? kHop
                                                                   : kZoneHop;
}

backend_view& GetView(work_sim& aSim, const sim_call& aCall)
{
  return aSim.mGateways[aCall.mGateway][aSim.mIds[aCall.mServer]];
}

// Returns the tokens of the prompt that the engine has not cached, and makes
// its shared parts the most recently used ones.
double UseCache(work_sim& aSim, sim_server& aServer, const sim_call& aCall)
{
  const routing_query& query = aCall.mQuery;
  double cached = 0;
  bool hit = true;
  for (std::size_t i = 0; i + 1 < query.mPrefixes.size(); ++i) {
    const std::uint64_t part = query.mPrefixes[i];
    const double tokens = static_cast<double>(
      query.mPrefixTokens[i] - (i == 0 ? 0 : query.mPrefixTokens[i - 1]));
    const auto found =
      std::find_if(aServer.mCache.begin(), aServer.mCache.end(),
                   [part](const auto& aEach) { return aEach.first == part; });
    hit = hit && found != aServer.mCache.end();
    if (found != aServer.mCache.end()) {
      aServer.mCache.erase(found);
    }
    aServer.mCache.emplace_front(part, tokens);
    if (hit) {
      cached += tokens;
    } else if (!aSim.mSeenParts.insert(part).second &&
               IsMeasured(aSim, aCall)) {
      aSim.mResult.mRepeatedTokens += tokens;
    }
  }
  double total = 0;
  std::size_t kept = 0;
  while (kept < aServer.mCache.size() && total < kCachedTokens) {
    total += aServer.mCache[kept++].second;
  }
  aServer.mCache.resize(kept);
  return std::max(1.0, static_cast<double>(query.mPromptTokens) - cached);
}

double GetFactor(const sim_server& aServer)
{
  return aServer.mSlowness / aServer.mSpeed;
}

// Starts the next step of an engine.
void StartStep(work_sim& aSim, std::size_t aServer)
{
  sim_server& server = aSim.mServers[aServer];
  const auto slots = static_cast<std::size_t>(aSim.mOptions.mSlots);
  while (!server.mWaiting.empty() &&
         server.mRunning.size() + server.mPrompts.size() < slots) {
    server.mPrompts.push_back(server.mWaiting.front());
    server.mWaiting.pop_front();
  }
  server.mIsStepping = !server.mRunning.empty() || !server.mPrompts.empty();
  if (!server.mIsStepping) {
    return;
  }
  double chunk = 0;
  for (std::size_t call : server.mPrompts) {
    chunk = std::min(kChunkTokens, chunk + aSim.mCalls[call].mPromptLeft);
  }
  const double ms =
    kStepMs + kStepRequestMs * static_cast<double>(server.mRunning.size()) +
    chunk / kPromptTokensPerMs;
  Schedule(aSim, absl::Milliseconds(ms * GetFactor(server)), sim_kind::Step,
           aServer);
}

void State(const sim_server& aServer, sim_call& aCall)
{
  aCall.mStatedRunning =
    static_cast<int>(aServer.mRunning.size() + aServer.mPrompts.size());
  aCall.mStatedQueued = static_cast<int>(aServer.mWaiting.size());
  aCall.mStatedSlowness = aServer.mSlowness;
}

void OnStep(work_sim& aSim, std::size_t aServer)
{
  sim_server& server = aSim.mServers[aServer];
  std::vector<std::size_t> running;
  for (std::size_t index : server.mRunning) {
    sim_call& call = aSim.mCalls[index];
    ++call.mProduced;
    if (call.mProduced == std::min(kWorkTokensPerEvent, call.mOutput)) {
      State(server, call);
      Schedule(aSim, ComputeHop(call), sim_kind::First, index);
    }
    if (call.mProduced >= call.mOutput) {
      Schedule(aSim, ComputeHop(call), sim_kind::End, index);
    } else {
      running.push_back(index);
    }
  }
  server.mRunning = std::move(running);
  double chunk = kChunkTokens;
  while (!server.mPrompts.empty() && chunk > 0) {
    sim_call& call = aSim.mCalls[server.mPrompts.front()];
    const double used = std::min(chunk, call.mPromptLeft);
    call.mPromptLeft -= used;
    chunk -= used;
    if (call.mPromptLeft <= 0) {
      server.mRunning.push_back(server.mPrompts.front());
      server.mPrompts.pop_front();
    }
  }
  StartStep(aSim, aServer);
}

// Starts the waiting calls of a plain server that has free slots.
void StartCalls(work_sim& aSim, std::size_t aServer)
{
  sim_server& server = aSim.mServers[aServer];
  while (!server.mWaiting.empty() &&
         server.mRunning.size() <
           static_cast<std::size_t>(aSim.mOptions.mSlots)) {
    const std::size_t index = server.mWaiting.front();
    server.mWaiting.pop_front();
    server.mRunning.push_back(index);
    sim_call& call = aSim.mCalls[index];
    const absl::Duration time = call.mCallTime * GetFactor(server);
    Schedule(aSim, time + ComputeHop(call), sim_kind::First, index);
    Schedule(aSim, time + ComputeHop(call), sim_kind::End, index);
  }
}

void OnReach(work_sim& aSim, std::size_t aCall)
{
  sim_call& call = aSim.mCalls[aCall];
  sim_server& server = aSim.mServers[call.mServer];
  server.mWaiting.push_back(aCall);
  if (!aSim.mOptions.mIsEngine) {
    StartCalls(aSim, call.mServer);
    return;
  }
  call.mPromptLeft = UseCache(aSim, server, call);
  if (IsMeasured(aSim, call)) {
    aSim.mResult.mProcessedTokens += call.mPromptLeft;
  }
  if (!server.mIsStepping) {
    StartStep(aSim, call.mServer);
  }
}

// Records a prompt as the gateway does (gateway_share.cc).
void ReportPrompt(work_sim& aSim, const sim_call& aCall)
{
  if (Draw(aSim) < aSim.mOptions.mLostReports) {
    return;
  }
  sim_reports& reports = aSim.mReports[aCall.mGateway];
  reports.mPrompts.push_back(
    { aCall.mServer, aCall.mUncached, aCall.mQuery.mPrefixes });
  const bool isLarge = aCall.mUncached >= aSim.mOptions.mLargePrompt;
  reports.mHasLarge = reports.mHasLarge || isLarge;
  const absl::Time due =
    aSim.mNow + (isLarge ? kReportDelay : aSim.mOptions.mSmallReportDelay);
  if (due < reports.mDueAt) {
    reports.mDueAt = due;
    Schedule(aSim, due - aSim.mNow, sim_kind::Report, aCall.mGateway);
  }
}

void OnArrive(work_sim& aSim, std::size_t aCall)
{
  sim_call& call = aSim.mCalls[aCall];
  auto& views = aSim.mGateways[call.mGateway];
  const auto chosen =
    ChooseBackend(views, call.mQuery, aSim.mRouting, aSim.mNow, aSim.mRandom);
  if (!chosen) {
    --aSim.mOpen;
    return;
  }
  call.mServer = static_cast<std::size_t>(
    std::lower_bound(aSim.mIds.begin(), aSim.mIds.end(), *chosen) -
    aSim.mIds.begin());
  backend_view& view = views[*chosen];
  call.mUncached =
    EstimateUncachedTokens(view, call.mQuery, aSim.mRouting, aSim.mNow);
  const double backlog = EstimateBacklog(
    view.mRemaining, GetPromptRate(view, aSim.mRouting), aSim.mNow);
  RecordDispatch(view, call.mQuery, aSim.mRouting, aSim.mNow);
  call.mHasWaited =
    view.mReport.mQueued > 0 ||
    (aSim.mOptions.mIsEngine
       ? backlog > 0.25 * static_cast<double>(call.mUncached)
       : view.mReport.mRunning + 1 >= view.mConfig.mMaxConcurrency);
  if (aSim.mOptions.mIsEngine) {
    if (aSim.mOptions.mLearns) {
      StartWaiting(view.mRemaining, call.mPrompt,
                   static_cast<double>(call.mUncached));
    }
    ReportPrompt(aSim, call);
  }
  Schedule(aSim, ComputeHop(call), sim_kind::Reach, aCall);
}

void OnFirst(work_sim& aSim, std::size_t aCall)
{
  sim_call& call = aSim.mCalls[aCall];
  call.mFirstAt = aSim.mNow;
  if (!aSim.mOptions.mIsEngine) {
    State(aSim.mServers[call.mServer], call);
  }
  backend_view& view = GetView(aSim, call);
  load_report report;
  report.mSequence = ++aSim.mSequence;
  report.mRunning = call.mStatedRunning;
  report.mQueued = call.mStatedQueued;
  report.mLoadedModels = view.mConfig.mModels;
  RecordLoadReport(view, report, aSim.mNow);
  if (aSim.mOptions.mUsesSlowness) {
    RecordSlowness(view.mSlowness, call.mStatedSlowness, aSim.mNow);
  }
  if (aSim.mOptions.mUsesSlowness && aSim.mOptions.mLearnsPeriod) {
    RecordStatedSlowness(aSim.mModels[call.mGateway], kWorkService,
                         view.mStatements, call.mStatedSlowness, aSim.mNow);
  }
  if (aSim.mOptions.mLearns) {
    RecordFirstOutput(view.mRemaining, call.mPrompt,
                      GetPromptRate(view, aSim.mRouting), aSim.mNow);
  }
  if (!IsMeasured(aSim, call)) {
    return;
  }
  const absl::Duration time = aSim.mNow - call.mSentAt;
  const bool isLong = call.mQuery.mPromptTokens >= kLongPrompt;
  work_result& result = aSim.mResult;
  (isLong ? result.mLong : result.mShort) += 1;
  (isLong ? result.mLongLate : result.mShortLate) +=
    time > call.mObjective ? 1 : 0;
  result.mFirstTimes.push_back(absl::ToDoubleSeconds(time));
}

void OnEnd(work_sim& aSim, std::size_t aCall)
{
  sim_call& call = aSim.mCalls[aCall];
  --aSim.mOpen;
  backend_view& view = GetView(aSim, call);
  RecordRunEnd(view, false, aSim.mRouting, aSim.mNow);
  if (!aSim.mOptions.mIsEngine) {
    auto& running = aSim.mServers[call.mServer].mRunning;
    running.erase(std::remove(running.begin(), running.end(), aCall),
                  running.end());
    StartCalls(aSim, call.mServer);
  }
  if (!aSim.mOptions.mLearns) {
    return;
  }
  work_features features;
  features.mService = kWorkService;
  features.mRoute = "r";
  features.mIsEngine = aSim.mOptions.mIsEngine;
  features.mPromptTokens = call.mQuery.mPromptTokens;
  features.mCachedTokens = call.mQuery.mPromptTokens - call.mUncached;
  features.mMaxOutputTokens = 2 * call.mOutput;
  measured_run run;
  run.mFirstTime = call.mFirstAt - call.mSentAt;
  run.mTotalTime = aSim.mNow - call.mSentAt;
  run.mEvents = (call.mOutput + kWorkTokensPerEvent - 1) / kWorkTokensPerEvent;
  run.mTokensPerEvent = kWorkTokensPerEvent;
  run.mUncachedTokens = call.mUncached;
  run.mHasWaited = call.mHasWaited || call.mStatedQueued > 0;
  RecordRun(aSim.mModels[call.mGateway], features, run, view.mSpeed, aSim.mNow);
  RecordUsualLoad(aSim.mModels[call.mGateway], kWorkService,
                  call.mStatedRunning + call.mStatedQueued, aSim.mNow);
}

void OnReport(work_sim& aSim, std::size_t aGateway)
{
  sim_reports& reports = aSim.mReports[aGateway];
  if (aSim.mNow < reports.mDueAt) {
    return;
  }
  const std::size_t count = aSim.mGateways.size();
  const auto limit =
    static_cast<std::size_t>(reports.mHasLarge ? aSim.mOptions.mLargeTargets
                                               : aSim.mOptions.mSmallTargets);
  for (std::size_t i = 1; i <= limit && i < count; ++i) {
    aSim.mResult.mMessages += 1;
    for (const sim_reports::prompt& prompt : reports.mPrompts) {
      RecordRemotePrompt(
        aSim.mGateways[(aGateway + i) % count][aSim.mIds[prompt.mServer]],
        prompt.mTokens, prompt.mPrefixes, aSim.mRouting, aSim.mNow);
    }
  }
  reports = {};
}

void OnTick(work_sim& aSim)
{
  if (aSim.mOptions.mLearns) {
    for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
      for (const auto& each : aSim.mGateways[i]) {
        PoolStatedSlowness(aSim.mModels[i], kWorkService,
                           each.second.mStatements, aSim.mNow);
      }
      UpdateSlownessPeriods(aSim.mModels[i]);
      for (auto& each : aSim.mGateways[i]) {
        each.second.mRates = EstimateRates(aSim.mModels[i], kWorkService,
                                           each.second.mSpeed, aSim.mNow);
      }
    }
  }
  double highest = 0;
  double total = 0;
  for (const sim_server& server : aSim.mServers) {
    const auto load = static_cast<double>(
      server.mRunning.size() + server.mPrompts.size() + server.mWaiting.size());
    highest = std::max(highest, load);
    total += load;
  }
  if (total > 0 && aSim.mNow >= kWorkStart + aSim.mOptions.mWarmUp) {
    aSim.mResult.mImbalanceSum +=
      highest * static_cast<double>(aSim.mServers.size()) / total;
    aSim.mResult.mImbalanceSamples += 1;
  }
  Schedule(aSim, kTick, sim_kind::Tick, 0);
}

void OnSlowness(work_sim& aSim)
{
  for (sim_server& server : aSim.mServers) {
    server.mSlowness =
      Draw(aSim) < aSim.mOptions.mSlowFraction ? aSim.mOptions.mSlowFactor : 1;
  }
  Schedule(aSim, aSim.mOptions.mSlowPeriod, sim_kind::Slowness, 0);
}

void OnItem(work_sim& aSim, const sim_item& aItem)
{
  switch (aItem.mKind) {
    case sim_kind::Arrive:
      return OnArrive(aSim, aItem.mSubject);
    case sim_kind::Reach:
      return OnReach(aSim, aItem.mSubject);
    case sim_kind::Step:
      return OnStep(aSim, aItem.mSubject);
    case sim_kind::First:
      return OnFirst(aSim, aItem.mSubject);
    case sim_kind::End:
      return OnEnd(aSim, aItem.mSubject);
    case sim_kind::Report:
      return OnReport(aSim, aItem.mSubject);
    case sim_kind::Tick:
      return OnTick(aSim);
    case sim_kind::Slowness:
      return OnSlowness(aSim);
  }
}

} // namespace

work_result RunWorkFleet(const work_fleet_options& aOptions,
                         std::uint64_t aSeed)
{
  work_sim sim(aOptions, aSeed);
  sim.mRouting = MakeRouting(aOptions.mGateways);
  sim.mRouting.mAffinityWeight = aOptions.mAffinityWeight;
  MakeServers(sim);
  MakeCalls(sim);
  Schedule(sim, kTick, sim_kind::Tick, 0);
  Schedule(sim, absl::ZeroDuration(), sim_kind::Slowness, 0);
  while (sim.mOpen > 0) {
    const sim_item item = sim.mItems.top();
    sim.mItems.pop();
    sim.mNow = item.mAt;
    OnItem(sim, item);
  }
  return std::move(sim.mResult);
}

void AddWorkResult(work_result& aInto, const work_result& aFrom)
{
  aInto.mLong += aFrom.mLong;
  aInto.mLongLate += aFrom.mLongLate;
  aInto.mShort += aFrom.mShort;
  aInto.mShortLate += aFrom.mShortLate;
  aInto.mRepeatedTokens += aFrom.mRepeatedTokens;
  aInto.mMessages += aFrom.mMessages;
  aInto.mProcessedTokens += aFrom.mProcessedTokens;
  aInto.mImbalanceSum += aFrom.mImbalanceSum;
  aInto.mImbalanceSamples += aFrom.mImbalanceSamples;
  aInto.mFirstTimes.insert(aInto.mFirstTimes.end(), aFrom.mFirstTimes.begin(),
                           aFrom.mFirstTimes.end());
}

} // namespace foxtailquay
