#include "fleet.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

#include "xxhash.h"

namespace foxtailquay {

namespace {

const char* const kModel = "loom-7b";
// Numbers of prompt templates per workspace and class, and of conversations per
// template.
constexpr std::uint64_t kTemplateCount = 8;
constexpr std::uint64_t kConversationCount = 50;
// Delay between a caller and its router.
constexpr absl::Duration kClientDelay = absl::Milliseconds(1);
constexpr absl::Duration kSampleInterval = absl::Milliseconds(100);
const absl::Time kStart = absl::UnixEpoch();

enum class sim_event
{
  Arrive,  // a caller's request reaches its router
  Reach,   // a dispatched request reaches its engine
  Finish,  // an engine has generated the last token
  Ended,   // the end of the response reaches the router
  Report,  // an engine makes a load report
  Deliver, // a load report reaches all routers
  Expire,  // a router removes expired requests from its queue
  Sample,  // the load of all engines is measured
};

struct sim_request
{
  std::size_t mClass = 0;
  std::size_t mWorkspace = 0;
  std::size_t mRouter = 0;
  std::size_t mEngine = 0;
  absl::Time mSentAt;
  token_count mOutputTokens = 0;
  routing_query mQuery;
};

struct sim_router
{
  std::map<backend_id, backend_view> mViews;
  routing_options mRouting;
  admission_state mAdmission;
  std::size_t mNextEngine = 0;
};

struct sim_entry
{
  absl::Time mAt;
  std::uint64_t mSequenceNumber = 0;
  sim_event mEvent = sim_event::Arrive;
  // Index of the request, engine, report or router.
  std::size_t mSubjectIndex = 0;

  friend bool operator>(const sim_entry& aLeft, const sim_entry& aRight)
  {
    return std::tie(aLeft.mAt, aLeft.mSequenceNumber) >
           std::tie(aRight.mAt, aRight.mSequenceNumber);
  }
};

struct simulation
{
  simulation(const fleet_options& aOptions, bench_rule aRule, double aRate,
             std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRule(aRule)
    , mRate(aRate)
    , mRandom(aSeed)
  {}

  const fleet_options& mOptions;
  bench_rule mRule = bench_rule::Policy;
  double mRate = 0;
  random_engine mRandom;
  absl::Time mNow = kStart;
  std::uint64_t mSequenceNumber = 0;
  std::priority_queue<sim_entry, std::vector<sim_entry>, std::greater<>>
    mEvents;
  std::vector<sim_request> mRequests;
  std::vector<fake_engine> mEngines;
  std::vector<sim_router> mRouters;
  std::vector<backend_id> mIds;
  std::vector<load_report> mReports;
  // Number of requests that have not ended.
  std::size_t mOpenRequests = 0;
  fleet_result mResult;
};

void ScheduleEvent(simulation& aSim, absl::Duration aDelay, sim_event aEvent,
                   std::size_t aSubject)
{
  aSim.mEvents.push(
    { aSim.mNow + aDelay, ++aSim.mSequenceNumber, aEvent, aSubject });
}

absl::Duration ComputeZoneDelay(const simulation& aSim,
                                const sim_request& aRequest)
{
  const auto zones = static_cast<std::size_t>(aSim.mOptions.mZones);
  return aRequest.mRouter % zones == aRequest.mEngine % zones
           ? absl::Microseconds(200)
           : aSim.mOptions.mRouting.mZoneDelay;
}

bool IsMeasured(const simulation& aSim, const sim_request& aRequest)
{
  return aRequest.mSentAt >= kStart + aSim.mOptions.mWarmUp;
}

double CountTokens(const sim_request& aRequest)
{
  return static_cast<double>(aRequest.mQuery.mPromptTokens +
                             aRequest.mOutputTokens);
}

// Returns the chunk hashes of a prompt: a template of its workspace and class
// (two chunks), a conversation (one chunk) and a unique chunk.
std::vector<std::uint64_t> MakePrefixes(simulation& aSim,
                                        const sim_request& aRequest)
{
  const std::uint64_t templateId =
    (aRequest.mWorkspace * kRequestClasses + aRequest.mClass) * kTemplateCount +
    aSim.mRandom() % kTemplateCount;
  const std::uint64_t conversation = aSim.mRandom() % kConversationCount;
  const auto hash = [](std::uint64_t aChunk, std::uint64_t aSeed) {
    return XXH3_64bits_withSeed(&aChunk, sizeof aChunk, aSeed);
  };
  return { hash(templateId, 1), hash(templateId, 2),
           hash(templateId * kConversationCount + conversation, 3),
           aSim.mRandom() };
}

std::size_t ChooseWeighted(simulation& aSim,
                           const std::vector<double>& aWeights)
{
  return std::discrete_distribution<std::size_t>(aWeights.begin(),
                                                 aWeights.end())(aSim.mRandom);
}

void RecordRefusal(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  --aSim.mOpenRequests;
  if (IsMeasured(aSim, request)) {
    ++aSim.mResult.mClasses[request.mClass].mRefused;
  }
}

std::optional<std::size_t> ChooseEngine(simulation& aSim, sim_router& aRouter,
                                        const routing_query& aQuery)
{
  const std::size_t count = aSim.mEngines.size();
  switch (aSim.mRule) {
    case bench_rule::Random:
      return aSim.mRandom() % count;
    case bench_rule::RoundRobin:
      return aRouter.mNextEngine++ % count;
    case bench_rule::LeastOutstanding: {
      const std::size_t first = aSim.mRandom() % count;
      std::size_t best = first;
      for (std::size_t i = 0; i < count; ++i) {
        const std::size_t other = (first + i) % count;
        if (aRouter.mViews[aSim.mIds[other]].mOutstanding <
            aRouter.mViews[aSim.mIds[best]].mOutstanding) {
          best = other;
        }
      }
      return best;
    }
    case bench_rule::Policy:
    case bench_rule::RoutingOnly:
      break;
  }
  const auto chosen = ChooseBackend(aRouter.mViews, aQuery, aRouter.mRouting,
                                    aSim.mNow, aSim.mRandom);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  return std::lower_bound(aSim.mIds.begin(), aSim.mIds.end(), *chosen) -
         aSim.mIds.begin();
}

void Dispatch(simulation& aSim, std::size_t aRequest)
{
  sim_request& request = aSim.mRequests[aRequest];
  sim_router& router = aSim.mRouters[request.mRouter];
  const auto engine = ChooseEngine(aSim, router, request.mQuery);
  if (!engine.has_value()) {
    RecordRequestEnd(router.mAdmission, { std::to_string(request.mWorkspace) });
    RecordRefusal(aSim, aRequest);
    return;
  }
  request.mEngine = *engine;
  RecordDispatch(router.mViews[aSim.mIds[*engine]], request.mQuery,
                 router.mRouting, aSim.mNow);
  ScheduleEvent(aSim, ComputeZoneDelay(aSim, request), sim_event::Reach,
                aRequest);
}

// Removes expired requests from the queue of a router and dispatches admitted
// ones to free slots.
void AdvanceQueue(simulation& aSim, sim_router& aRouter)
{
  for (request_handle handle : TakeExpired(aRouter.mAdmission, aSim.mNow)) {
    RecordRefusal(aSim, handle);
  }
  for (const std::string& target : ListQueuedTargets(aRouter.mAdmission)) {
    routing_query query;
    query.mTarget = target;
    const int free =
      EstimateFreeSlots(aRouter.mViews, query, aRouter.mRouting, aSim.mNow);
    for (request_handle handle : TakeAdmitted(
           aRouter.mAdmission, target, free, aSim.mNow,
           CountSlots(aRouter.mViews, query, aRouter.mRouting, aSim.mNow))) {
      Dispatch(aSim, handle);
    }
  }
}

void OnRequestAtRouter(simulation& aSim, std::size_t aRequest)
{
  sim_request& request = aSim.mRequests[aRequest];
  sim_router& router = aSim.mRouters[request.mRouter];
  if (IsMeasured(aSim, request)) {
    ++aSim.mResult.mClasses[request.mClass].mOffered;
    aSim.mResult.mOffered[request.mWorkspace] += CountTokens(request);
  }
  if (aSim.mRule != bench_rule::Policy) {
    Dispatch(aSim, aRequest);
    return;
  }
  const admission_request admissionRequest = {
    aRequest,
    { std::to_string(request.mWorkspace) },
    kModel,
    request.mQuery.mPriority,
    request.mSentAt + aSim.mOptions.mFleet.mRequestTimeout,
    static_cast<token_count>(CountTokens(request)),
    1,
  };
  const int free = EstimateFreeSlots(router.mViews, request.mQuery,
                                     router.mRouting, aSim.mNow);
  switch (
    Admit(router.mAdmission, admissionRequest, {}, aSim.mOptions.mFleet, free,
          aSim.mNow,
          CountSlots(router.mViews, request.mQuery, router.mRouting, aSim.mNow))
      .mOutcome) {
    case admission_outcome::Admitted:
      Dispatch(aSim, aRequest);
      break;
    case admission_outcome::Queued:
      ScheduleEvent(aSim, aSim.mOptions.mFleet.mQueueTimeout, sim_event::Expire,
                    request.mRouter);
      break;
    case admission_outcome::Refused:
      RecordRefusal(aSim, aRequest);
      break;
  }
  AdvanceQueue(aSim, router);
}

void RecordStart(simulation& aSim, const started_run& aRun)
{
  const sim_request& request = aSim.mRequests[aRun.mRequest];
  ScheduleEvent(aSim, aRun.mFinished - aSim.mNow, sim_event::Finish,
                aRun.mRequest);
  if (!IsMeasured(aSim, request)) {
    return;
  }
  class_result& result = aSim.mResult.mClasses[request.mClass];
  const absl::Duration delay = aRun.mFirstToken +
                               ComputeZoneDelay(aSim, request) + kClientDelay -
                               request.mSentAt;
  result.mFirstToken(absl::ToDoubleSeconds(delay));
  result.mLate += delay > kFirstTokenTarget ? 1 : 0;
  result.mHitTokens += aRun.mCachedTokens;
  result.mPromptTokens += static_cast<double>(request.mQuery.mPromptTokens);
  if (delay <= aSim.mOptions.mFleet.mQueueTimeout + kFirstTokenTarget) {
    result.mUsefulTokens += static_cast<std::uint64_t>(request.mOutputTokens);
    aSim.mResult.mServed[request.mWorkspace] += CountTokens(request);
  }
}

void StartQueuedRuns(simulation& aSim, fake_engine& aEngine)
{
  for (const started_run& run :
       StartRuns(aEngine, aSim.mOptions.mEngine, aSim.mNow)) {
    RecordStart(aSim, run);
  }
}

void OnRequestAtEngine(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  fake_engine& engine = aSim.mEngines[request.mEngine];
  Enqueue(engine, { aRequest, static_cast<double>(request.mQuery.mPromptTokens),
                    static_cast<double>(request.mOutputTokens),
                    request.mQuery.mPriority, request.mQuery.mPrefixes });
  StartQueuedRuns(aSim, engine);
}

void OnRunFinished(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  fake_engine& engine = aSim.mEngines[request.mEngine];
  --engine.mRunning;
  ScheduleEvent(aSim, ComputeZoneDelay(aSim, request), sim_event::Ended,
                aRequest);
  StartQueuedRuns(aSim, engine);
}

void SendReport(simulation& aSim, std::size_t aEngine)
{
  load_report report =
    MakeReport(aSim.mEngines[aEngine], aSim.mOptions.mEngine, aSim.mRandom);
  report.mBackend = aSim.mIds[aEngine];
  report.mLoadedModels = { { kModel } };
  aSim.mReports.push_back(std::move(report));
  ScheduleEvent(aSim, aSim.mOptions.mReportLag, sim_event::Deliver,
                aSim.mReports.size() - 1);
  ScheduleEvent(aSim, aSim.mOptions.mReportInterval, sim_event::Report,
                aEngine);
}

void OnReport(simulation& aSim, std::size_t aReport)
{
  load_report& report = aSim.mReports[aReport];
  for (sim_router& router : aSim.mRouters) {
    RecordLoadReport(router.mViews[report.mBackend], report, router.mRouting,
                     aSim.mNow);
    AdvanceQueue(aSim, router);
  }
  report = {};
}

void SampleLoad(simulation& aSim)
{
  int maxLoad = 0;
  int total = 0;
  for (const fake_engine& engine : aSim.mEngines) {
    maxLoad = std::max(maxLoad, CountRequests(engine));
    total += CountRequests(engine);
  }
  const absl::Time measuredFrom = kStart + aSim.mOptions.mWarmUp;
  if (total > 0 && aSim.mNow >= measuredFrom &&
      aSim.mNow < kStart + aSim.mOptions.mArrivalTime) {
    aSim.mResult.mImbalanceSum +=
      static_cast<double>(maxLoad) * aSim.mOptions.mEngineCount / total;
    aSim.mResult.mImbalanceSamples += 1;
  }
  ScheduleEvent(aSim, kSampleInterval, sim_event::Sample, 0);
}

void OnEndAtRouter(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  sim_router& router = aSim.mRouters[request.mRouter];
  RecordRunEnd(router.mViews[aSim.mIds[request.mEngine]], false,
               router.mRouting, aSim.mNow);
  RecordRequestEnd(router.mAdmission, { std::to_string(request.mWorkspace) });
  --aSim.mOpenRequests;
  AdvanceQueue(aSim, router);
}

// Schedules the requests of the whole run as a Poisson process. They are
// generated before the run, so that they are the same under every rule.
void MakeArrivals(simulation& aSim)
{
  const fleet_options& options = aSim.mOptions;
  std::vector<double> classWeights;
  for (const class_traffic& each : options.mClasses) {
    classWeights.push_back(each.mFraction);
  }
  // The platform's load balancer does not distribute requests evenly.
  std::vector<double> routerWeights(static_cast<std::size_t>(options.mRouters),
                                    1.0);
  routerWeights[0] = 1.5;
  std::exponential_distribution<double> interarrivalTime(aSim.mRate);
  std::exponential_distribution<double> size(1);
  absl::Duration at = absl::ZeroDuration();
  while ((at += absl::Seconds(interarrivalTime(aSim.mRandom))) <
         options.mArrivalTime) {
    sim_request request;
    request.mClass = ChooseWeighted(aSim, classWeights);
    request.mWorkspace = ChooseWeighted(aSim, options.mWorkspaceWeights);
    request.mRouter = ChooseWeighted(aSim, routerWeights);
    request.mSentAt = kStart + at;
    const class_traffic& traffic = options.mClasses[request.mClass];
    // Half of each length is fixed; the other half is exponentially
    // distributed.
    const auto randomLength = [&](token_count aMean) {
      return std::max<token_count>(
        1, static_cast<token_count>(static_cast<double>(aMean) *
                                    (0.5 + 0.5 * size(aSim.mRandom))));
    };
    request.mOutputTokens = randomLength(traffic.mOutputTokens);
    request.mQuery.mPromptTokens = randomLength(traffic.mPromptTokens);
    request.mQuery.mTarget = kModel;
    request.mQuery.mPriority = traffic.mPriority;
    request.mQuery.mZone =
      aSim.mRouters[request.mRouter].mViews.begin()->second.mConfig.mZone;
    request.mQuery.mPrefixes = MakePrefixes(aSim, request);
    aSim.mRequests.push_back(std::move(request));
    ScheduleEvent(aSim, at + kClientDelay, sim_event::Arrive,
                  aSim.mRequests.size() - 1);
  }
}

void MakeNodes(simulation& aSim)
{
  const fleet_options& options = aSim.mOptions;
  aSim.mEngines.resize(static_cast<std::size_t>(options.mEngineCount));
  aSim.mRouters.resize(static_cast<std::size_t>(options.mRouters));
  for (std::size_t i = 0; i < aSim.mEngines.size(); ++i) {
    // All numbers have three digits, so that names sort in the order of the
    // indices.
    aSim.mIds.push_back({ "w" + std::to_string(100 + i) });
    ScheduleEvent(aSim,
                  options.mReportInterval *
                    (static_cast<double>(i) / options.mEngineCount),
                  sim_event::Report, i);
  }
  for (std::size_t r = 0; r < aSim.mRouters.size(); ++r) {
    sim_router& router = aSim.mRouters[r];
    router.mRouting = options.mRouting;
    router.mAdmission.mOptions = options.mAdmission;
    router.mRouting.mRouter = { "router-" + std::to_string(r) };
    router.mRouting.mRouters = options.mRouters;
    router.mRouting.mReportLag = options.mReportLag;
    router.mRouting.mPrefillTokensPerSecond =
      options.mEngine.mPrefillTokensPerSecond;
    for (std::size_t i = 0; i < aSim.mIds.size(); ++i) {
      backend_view& view = router.mViews[aSim.mIds[i]];
      view.mConfig.mZone = { "z" + std::to_string(i % static_cast<std::size_t>(
                                                        options.mZones)) };
      view.mConfig.mModels = { { kModel } };
      view.mConfig.mMaxConcurrency = options.mEngine.mSlots;
      view.mAddress = "127.0.0.1:1";
    }
  }
  ScheduleEvent(aSim, kSampleInterval, sim_event::Sample, 0);
}

void OnEvent(simulation& aSim, const sim_entry& aEntry)
{
  switch (aEntry.mEvent) {
    case sim_event::Arrive:
      return OnRequestAtRouter(aSim, aEntry.mSubjectIndex);
    case sim_event::Reach:
      return OnRequestAtEngine(aSim, aEntry.mSubjectIndex);
    case sim_event::Finish:
      return OnRunFinished(aSim, aEntry.mSubjectIndex);
    case sim_event::Ended:
      return OnEndAtRouter(aSim, aEntry.mSubjectIndex);
    case sim_event::Report:
      return SendReport(aSim, aEntry.mSubjectIndex);
    case sim_event::Deliver:
      return OnReport(aSim, aEntry.mSubjectIndex);
    case sim_event::Expire:
      return AdvanceQueue(aSim, aSim.mRouters[aEntry.mSubjectIndex]);
    case sim_event::Sample:
      return SampleLoad(aSim);
  }
}

} // namespace

double ComputeCapacity(const fleet_options& aOptions)
{
  double seconds = 0;
  for (const class_traffic& each : aOptions.mClasses) {
    seconds += each.mFraction * (static_cast<double>(each.mPromptTokens) /
                                   aOptions.mEngine.mPrefillTokensPerSecond +
                                 static_cast<double>(each.mOutputTokens) *
                                   aOptions.mEngine.mFullTokenSeconds);
  }
  return aOptions.mEngineCount * aOptions.mEngine.mSlots / seconds;
}

fleet_result RunFleet(const fleet_options& aOptions, bench_rule aRule,
                      double aLoad, std::uint64_t aSeed)
{
  simulation sim(aOptions, aRule, aLoad * ComputeCapacity(aOptions), aSeed);
  sim.mResult.mOffered.resize(aOptions.mWorkspaceWeights.size());
  sim.mResult.mServed.resize(aOptions.mWorkspaceWeights.size());
  sim.mResult.mMeasuredSeconds =
    absl::ToDoubleSeconds(aOptions.mArrivalTime - aOptions.mWarmUp);
  MakeNodes(sim);
  MakeArrivals(sim);
  sim.mOpenRequests = sim.mRequests.size();
  while (sim.mOpenRequests > 0) {
    const sim_entry entry = sim.mEvents.top();
    sim.mEvents.pop();
    sim.mNow = entry.mAt;
    OnEvent(sim, entry);
  }
  return std::move(sim.mResult);
}

} // namespace foxtailquay
