#include "fleet.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

#include "xxhash.h"

namespace foxtailquay {

namespace {

const char* const kModel = "loom-7b";
// Prompt templates per workspace and class, conversations per template.
constexpr std::uint64_t kTemplates = 8;
constexpr std::uint64_t kConversations = 50;
constexpr absl::Duration kClientDelay = absl::Milliseconds(1);
constexpr absl::Duration kSampleInterval = absl::Milliseconds(100);
const absl::Time kStart = absl::UnixEpoch();

enum class sim_event
{
  Arrive,  // a caller's request reaches its router
  Reach,   // a dispatched request reaches its engine
  Finish,  // an engine has generated the last token
  Ended,   // the router learns of that
  Report,  // an engine makes a load report
  Deliver, // a load report reaches all routers
  Expire,  // a router looks for expired requests
  Sample,  // the load of all engines is measured
};

struct sim_request
{
  std::size_t mClass = 0;
  std::size_t mWorkspace = 0;
  std::size_t mRouter = 0;
  std::size_t mEngine = 0;
  absl::Time mSentAt;
  token_count mOutput = 0;
  routing_query mQuery;
};

struct sim_router
{
  std::map<backend_id, backend_view> mViews;
  routing_options mRouting;
  admission_state mAdmission;
  std::size_t mNext = 0;
};

struct sim_entry
{
  absl::Time mAt;
  std::uint64_t mOrder = 0;
  sim_event mEvent = sim_event::Arrive;
  // Index of the request, engine, report or router.
  std::size_t mSubject = 0;

  friend bool operator>(const sim_entry& aLeft, const sim_entry& aRight)
  {
    return std::tie(aLeft.mAt, aLeft.mOrder) >
           std::tie(aRight.mAt, aRight.mOrder);
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
  std::uint64_t mOrder = 0;
  std::priority_queue<sim_entry, std::vector<sim_entry>, std::greater<>>
    mAgenda;
  std::vector<sim_request> mRequests;
  std::vector<fake_engine> mEngines;
  std::vector<sim_router> mRouters;
  std::vector<backend_id> mIds;
  std::vector<load_report> mReports;
  // Requests that have not ended.
  std::size_t mOpen = 0;
  fleet_result mResult;
};

void At(simulation& aSim, absl::Duration aDelay, sim_event aEvent,
        std::size_t aSubject)
{
  aSim.mAgenda.push({ aSim.mNow + aDelay, ++aSim.mOrder, aEvent, aSubject });
}

absl::Duration ZoneDelay(const simulation& aSim, const sim_request& aRequest)
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

double Tokens(const sim_request& aRequest)
{
  return static_cast<double>(aRequest.mQuery.mPromptTokens + aRequest.mOutput);
}

// A prompt is a template of its workspace and class (two chunks), a
// conversation (one chunk) and a new part.
std::vector<std::uint64_t> MakePrefixes(simulation& aSim,
                                        const sim_request& aRequest)
{
  const std::uint64_t kind =
    (aRequest.mWorkspace * kBenchClasses + aRequest.mClass) * kTemplates +
    aSim.mRandom() % kTemplates;
  const std::uint64_t talk = aSim.mRandom() % kConversations;
  const auto hash = [](std::uint64_t aChunk, std::uint64_t aSeed) {
    return XXH3_64bits_withSeed(&aChunk, sizeof aChunk, aSeed);
  };
  return { hash(kind, 1), hash(kind, 2), hash(kind * kConversations + talk, 3),
           aSim.mRandom() };
}

std::size_t Weighted(simulation& aSim, const std::vector<double>& aWeights)
{
  return std::discrete_distribution<std::size_t>(aWeights.begin(),
                                                 aWeights.end())(aSim.mRandom);
}

void NoteRefused(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  --aSim.mOpen;
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
      return aRouter.mNext++ % count;
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
    NoteRefused(aSim, aRequest);
    return;
  }
  request.mEngine = *engine;
  RecordDispatch(router.mViews[aSim.mIds[*engine]], request.mQuery,
                 router.mRouting, aSim.mNow);
  At(aSim, ZoneDelay(aSim, request), sim_event::Reach, aRequest);
}

void Pump(simulation& aSim, sim_router& aRouter)
{
  for (request_handle handle : TakeExpired(aRouter.mAdmission, aSim.mNow)) {
    NoteRefused(aSim, handle);
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

void ArriveAtRouter(simulation& aSim, std::size_t aRequest)
{
  sim_request& request = aSim.mRequests[aRequest];
  sim_router& router = aSim.mRouters[request.mRouter];
  if (IsMeasured(aSim, request)) {
    ++aSim.mResult.mClasses[request.mClass].mOffered;
    aSim.mResult.mOffered[request.mWorkspace] += Tokens(request);
  }
  if (aSim.mRule != bench_rule::Policy) {
    Dispatch(aSim, aRequest);
    return;
  }
  const admission_request asked = {
    aRequest,
    { std::to_string(request.mWorkspace) },
    kModel,
    request.mQuery.mPriority,
    request.mSentAt + aSim.mOptions.mFleet.mRequestTimeout,
    static_cast<token_count>(Tokens(request)),
    1,
  };
  const int free = EstimateFreeSlots(router.mViews, request.mQuery,
                                     router.mRouting, aSim.mNow);
  switch (
    Admit(router.mAdmission, asked, {}, aSim.mOptions.mFleet, free, aSim.mNow,
          CountSlots(router.mViews, request.mQuery, router.mRouting, aSim.mNow))
      .mOutcome) {
    case admission_outcome::Admitted:
      Dispatch(aSim, aRequest);
      break;
    case admission_outcome::Queued:
      At(aSim, aSim.mOptions.mFleet.mQueueTimeout, sim_event::Expire,
         request.mRouter);
      break;
    case admission_outcome::Refused:
      NoteRefused(aSim, aRequest);
      break;
  }
  Pump(aSim, router);
}

void NoteStarted(simulation& aSim, const started_run& aRun)
{
  const sim_request& request = aSim.mRequests[aRun.mRequest];
  At(aSim, aRun.mFinished - aSim.mNow, sim_event::Finish, aRun.mRequest);
  if (!IsMeasured(aSim, request)) {
    return;
  }
  class_result& result = aSim.mResult.mClasses[request.mClass];
  const absl::Duration delay = aRun.mFirstToken + ZoneDelay(aSim, request) +
                               kClientDelay - request.mSentAt;
  result.mFirstToken(absl::ToDoubleSeconds(delay));
  result.mLate += delay > kFirstTokenGoal ? 1 : 0;
  result.mHitTokens += aRun.mCached;
  result.mPromptTokens += static_cast<double>(request.mQuery.mPromptTokens);
  if (delay <= aSim.mOptions.mFleet.mQueueTimeout + kFirstTokenGoal) {
    result.mUsefulTokens += static_cast<std::uint64_t>(request.mOutput);
    aSim.mResult.mServed[request.mWorkspace] += Tokens(request);
  }
}

void StartOn(simulation& aSim, fake_engine& aEngine)
{
  for (const started_run& run :
       StartRuns(aEngine, aSim.mOptions.mEngine, aSim.mNow)) {
    NoteStarted(aSim, run);
  }
}

void ReachEngine(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  fake_engine& engine = aSim.mEngines[request.mEngine];
  Enqueue(engine, { aRequest, static_cast<double>(request.mQuery.mPromptTokens),
                    static_cast<double>(request.mOutput),
                    request.mQuery.mPriority, request.mQuery.mPrefixes });
  StartOn(aSim, engine);
}

void FinishRun(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  fake_engine& engine = aSim.mEngines[request.mEngine];
  --engine.mRunning;
  At(aSim, ZoneDelay(aSim, request), sim_event::Ended, aRequest);
  StartOn(aSim, engine);
}

void SendReport(simulation& aSim, std::size_t aEngine)
{
  load_report report =
    MakeReport(aSim.mEngines[aEngine], aSim.mOptions.mEngine, aSim.mRandom);
  report.mBackend = aSim.mIds[aEngine];
  report.mLoadedModels = { { kModel } };
  aSim.mReports.push_back(std::move(report));
  At(aSim, aSim.mOptions.mReportLag, sim_event::Deliver,
     aSim.mReports.size() - 1);
  At(aSim, aSim.mOptions.mReportInterval, sim_event::Report, aEngine);
}

void DeliverReport(simulation& aSim, std::size_t aReport)
{
  load_report& report = aSim.mReports[aReport];
  for (sim_router& router : aSim.mRouters) {
    RecordLoadReport(router.mViews[report.mBackend], report, router.mRouting,
                     aSim.mNow);
    Pump(aSim, router);
  }
  report = {};
}

void SampleLoad(simulation& aSim)
{
  int largest = 0;
  int total = 0;
  for (const fake_engine& engine : aSim.mEngines) {
    largest = std::max(largest, LoadOf(engine));
    total += LoadOf(engine);
  }
  const absl::Time from = kStart + aSim.mOptions.mWarmUp;
  if (total > 0 && aSim.mNow >= from &&
      aSim.mNow < kStart + aSim.mOptions.mTime) {
    aSim.mResult.mSpreadSum +=
      static_cast<double>(largest) * aSim.mOptions.mWorkers / total;
    aSim.mResult.mSpreads += 1;
  }
  At(aSim, kSampleInterval, sim_event::Sample, 0);
}

void EndAtRouter(simulation& aSim, std::size_t aRequest)
{
  const sim_request& request = aSim.mRequests[aRequest];
  sim_router& router = aSim.mRouters[request.mRouter];
  RecordRunEnd(router.mViews[aSim.mIds[request.mEngine]], false,
               router.mRouting, aSim.mNow);
  RecordRequestEnd(router.mAdmission, { std::to_string(request.mWorkspace) });
  --aSim.mOpen;
  Pump(aSim, router);
}

// Requests arrive as a Poisson process; the arrivals of the whole run are
// drawn before it, so that they are the same under every rule.
void MakeArrivals(simulation& aSim)
{
  const fleet_options& options = aSim.mOptions;
  std::vector<double> shares;
  for (const class_traffic& each : options.mClasses) {
    shares.push_back(each.mShare);
  }
  // The platform's load balancer does not spread requests evenly.
  std::vector<double> routers(static_cast<std::size_t>(options.mRouters), 1.0);
  routers[0] = 1.5;
  std::exponential_distribution<double> gap(aSim.mRate);
  std::exponential_distribution<double> size(1);
  absl::Duration at = absl::ZeroDuration();
  while ((at += absl::Seconds(gap(aSim.mRandom))) < options.mTime) {
    sim_request request;
    request.mClass = Weighted(aSim, shares);
    request.mWorkspace = Weighted(aSim, options.mWorkspaces);
    request.mRouter = Weighted(aSim, routers);
    request.mSentAt = kStart + at;
    const class_traffic& traffic = options.mClasses[request.mClass];
    // Half of each length is fixed, half varies.
    const auto vary = [&](token_count aMean) {
      return std::max<token_count>(
        1, static_cast<token_count>(static_cast<double>(aMean) *
                                    (0.5 + 0.5 * size(aSim.mRandom))));
    };
    request.mOutput = vary(traffic.mOutput);
    request.mQuery.mPromptTokens = vary(traffic.mPrompt);
    request.mQuery.mTarget = kModel;
    request.mQuery.mPriority = traffic.mPriority;
    request.mQuery.mZone =
      aSim.mRouters[request.mRouter].mViews.begin()->second.mConfig.mZone;
    request.mQuery.mPrefixes = MakePrefixes(aSim, request);
    aSim.mRequests.push_back(std::move(request));
    At(aSim, at + kClientDelay, sim_event::Arrive, aSim.mRequests.size() - 1);
  }
}

void MakeFleet(simulation& aSim)
{
  const fleet_options& options = aSim.mOptions;
  aSim.mEngines.resize(static_cast<std::size_t>(options.mWorkers));
  aSim.mRouters.resize(static_cast<std::size_t>(options.mRouters));
  for (std::size_t i = 0; i < aSim.mEngines.size(); ++i) {
    // Three digits, so that the order of names is the order of indices.
    aSim.mIds.push_back({ "w" + std::to_string(100 + i) });
    At(aSim,
       options.mReportInterval * (static_cast<double>(i) / options.mWorkers),
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
  At(aSim, kSampleInterval, sim_event::Sample, 0);
}

void OnEvent(simulation& aSim, const sim_entry& aEntry)
{
  switch (aEntry.mEvent) {
    case sim_event::Arrive:
      return ArriveAtRouter(aSim, aEntry.mSubject);
    case sim_event::Reach:
      return ReachEngine(aSim, aEntry.mSubject);
    case sim_event::Finish:
      return FinishRun(aSim, aEntry.mSubject);
    case sim_event::Ended:
      return EndAtRouter(aSim, aEntry.mSubject);
    case sim_event::Report:
      return SendReport(aSim, aEntry.mSubject);
    case sim_event::Deliver:
      return DeliverReport(aSim, aEntry.mSubject);
    case sim_event::Expire:
      return Pump(aSim, aSim.mRouters[aEntry.mSubject]);
    case sim_event::Sample:
      return SampleLoad(aSim);
  }
}

} // namespace

double CapacityOf(const fleet_options& aOptions)
{
  double seconds = 0;
  for (const class_traffic& each : aOptions.mClasses) {
    seconds += each.mShare * (static_cast<double>(each.mPrompt) /
                                aOptions.mEngine.mPrefillTokensPerSecond +
                              static_cast<double>(each.mOutput) *
                                aOptions.mEngine.mFullTokenSeconds);
  }
  return aOptions.mWorkers * aOptions.mEngine.mSlots / seconds;
}

fleet_result RunFleet(const fleet_options& aOptions, bench_rule aRule,
                      double aLoad, std::uint64_t aSeed)
{
  simulation sim(aOptions, aRule, aLoad * CapacityOf(aOptions), aSeed);
  sim.mResult.mOffered.resize(aOptions.mWorkspaces.size());
  sim.mResult.mServed.resize(aOptions.mWorkspaces.size());
  sim.mResult.mMeasuredSeconds =
    absl::ToDoubleSeconds(aOptions.mTime - aOptions.mWarmUp);
  MakeFleet(sim);
  MakeArrivals(sim);
  sim.mOpen = sim.mRequests.size();
  while (sim.mOpen > 0) {
    const sim_entry entry = sim.mAgenda.top();
    sim.mAgenda.pop();
    sim.mNow = entry.mAt;
    OnEvent(sim, entry);
  }
  return std::move(sim.mResult);
}

} // namespace foxtailquay
