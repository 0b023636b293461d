// Admission of requests while all servers of their service are full: who waits
// at the gateway, for how long, and who is refused.

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_directory.h"

namespace foxtailquay {

namespace {

// Largest number of requests that wait for one service at one gateway: some
// seconds of what one gateway of the smallest size takes.
constexpr int kMaxWaiting = 128;
// Part of the latency objective that a request may be expected to wait here, at
// most. The rest is for the server, at which as many requests may wait as it
// runs.
constexpr double kMaxWaitFraction = 0.33;
// Part of the objective that a request may wait however long runs take.
constexpr double kMinWaitFraction = 0.1;
// Part of the objective that a request may be expected to wait while another
// workspace asks for much more than the others.
constexpr double kFavouredWaitFraction = 0.5;
// Attempts beyond the limit for which the workspaces are favoured beside such a
// workspace. The limit then falls, at the cost of that one.
constexpr double kFavouredAttempts = 1;
// Multiple of the mean time of a run that is kept for the server.
constexpr double kRunTimeReserve = 1.5;
// Interval at which waiting requests are reviewed without an event: a third of
// the mean time of a plain call, in which a server frees several slots.
constexpr absl::Duration kReviewInterval = absl::Milliseconds(20);
// Age from which a stated load does not show that a server is full. Plain calls
// take 60 ms, so its slots and a queue as long have emptied twice since.
constexpr absl::Duration kServiceLoadValidity = absl::Milliseconds(250);
// The same for engines, whose runs take 1 to 5 s.
constexpr absl::Duration kEngineLoadValidity = absl::Seconds(2);
// A server has room for as many queued requests as it has slots: stated loads
// lag, and a shorter queue would leave slots unused.
constexpr int kRoomFactor = 2;
// Multiple of its slots at which the limit holds the load of a server. It is
// below kRoomFactor: responses then come well within the objective, and the
// queue still bridges the time between the end of a run and the next request.
constexpr double kTargetFactor = 1.5;
// Largest part of the free slots that one gateway uses between two statements
// of a server, as a multiple of an equal part. Callers are spread unevenly.
constexpr double kMaxUnevenness = 6;
// Limit of the number of others that are assumed to have sent as many requests.
constexpr double kMaxAssumedPeers = 3;
// Time constant of the rates that are measured while requests wait.
constexpr absl::Duration kPaceWindow = absl::Seconds(1);
// Time after a statement that a server is full in which the number of this
// gateway's attempts is limited: several response times of a full server, so
// that a limit that is found is not lost between two statements.
constexpr absl::Duration kLimitTime = absl::Seconds(2);
// Change of the limit with each response. A gateway gets responses in
// proportion to its limit, so the limits of all change by the same factor and
// keep the proportions of the demand before the servers were full. With equal
// limits, a gateway with six times the mean would bear the shortage alone.
constexpr double kWindowStep = 0.1;
// Multiple of the step for a response of a server with free slots, which the
// limit leaves unused. With 1, a gateway with many callers was still limited
// seconds after an excess had ended.
constexpr double kFreeStepFactor = 3;
// Time constant of the demand of workspaces, some seconds in which a workspace
// with usual demand sends several requests.
constexpr absl::Duration kDemandWindow = absl::Seconds(5);
// Multiple of the mean demand of all workspaces from which a workspace may only
// wait for kMinWaitFraction.
constexpr double kHeavyFactor = 2;
// Part of a request below which the demand of a workspace is forgotten.
constexpr double kMinDemand = 0.01;
// Interval at which the decay of the demand is applied to the stored values. In
// between, they are relative to its start and new ones are scaled up: by 55 at
// most in four times kDemandWindow.
constexpr absl::Duration kDemandRescaleTime = absl::Seconds(20);
// Number of consecutive responses of full servers, of at least two of them,
// after which all count as full. Gateways with few callers hear of each server
// too seldom for their stated loads to be recent at the same time: with 100
// gateways, once a second from each of 3 servers.
constexpr int kMinFullResponses = 3;
// Shortest time between the first and the last of them: the queue of a server
// absorbs a shorter excess within the objective. A gateway with many callers
// would otherwise limit itself for an excess that the others do not notice.
// With 300 ms, gateways with twelve responses a second begin too late beside
// it.
constexpr absl::Duration kMinFullTime = absl::Milliseconds(250);
// Limit from which it states how many requests can be sent in the time of a
// run. With fewer attempts at the same time, the time until the next one ends
// varies too much.
constexpr double kMinPaceWindow = 2;
// Lowest limit: one attempt in ten times the time of a run.
constexpr double kMinWindow = 0.1;
// Weight of a new run in the mean time of runs.
constexpr double kRunTimeWeight = 0.1;
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(2);
// Priorities 0, 1 and above have a class each.
priority_class ToClass(int aPriority)
{
  return aPriority <= 0   ? priority_class::Interactive
         : aPriority == 1 ? priority_class::Standard
                          : priority_class::Batch;
}

bool HasQueue(const gateway& aGateway, const std::string& aName)
{
  return !aGateway.mAdmission.mQueued.empty() &&
         CountQueued(aGateway.mAdmission, aName) > 0;
}

// Returns true if the stated load and this gateway's own runs do not show that
// the server is full.
bool HasRoom(const gateway& aGateway, const backend_view& aView,
             const routing_options& aRouting, absl::Time aNow)
{
  const absl::Duration validity = aView.mConfig.mKind == backend_kind::Engine
                                    ? kEngineLoadValidity
                                    : kServiceLoadValidity;
  if (aNow - aView.mReportedAt > validity) {
    return aView.mOutstanding < aView.mConfig.mMaxConcurrency;
  }
  const double peers =
    std::min((aRouting.mRouters - 1) / kMaxUnevenness, kMaxAssumedPeers);
  return EstimateLoad(aView, 1 + peers, aGateway.mRoomRouting, aNow) <
         kRoomFactor * aView.mConfig.mMaxConcurrency;
}

bool HasRoomAtAny(const gateway& aGateway, const routing_query& aQuery,
                  const routing_options& aRouting, absl::Time aNow)
{
  const auto usable =
    ListUsableBackends(aGateway.mViews, aQuery, aRouting, aNow);
  return std::any_of(usable.begin(), usable.end(),
                     [&](const backend_view* aView) {
                       return HasRoom(aGateway, *aView, aRouting, aNow);
                     });
}

// Returns true while the number of attempts is limited, since the servers were
// full a short time ago.
bool IsLimited(const service_pace& aPace, absl::Time aNow)
{
  return aNow - aPace.mFullAt <= kLimitTime;
}

// Returns the limit for requests of workspaces of the rank.
double GetWindow(const service_pace& aPace, demand_rank aRank)
{
  return aPace.mWindow +
         (aRank == demand_rank::Favoured ? kFavouredAttempts : 0);
}

// Returns the number of runs a second that this gateway has completed.
double GetCompletionRate(const service_pace& aPace, absl::Time aNow)
{
  return aPace.mRuns *
         std::exp(-absl::FDivDuration(aNow - aPace.mAt, kPaceWindow)) /
         absl::ToDoubleSeconds(kPaceWindow);
}

// Returns the number of requests a second that this gateway can expect to send
// to the service while it is full: what it has completed, an equal part of what
// the servers complete, or what its limit allows.
double EstimatePace(const gateway& aGateway, const forwarded_request& aRequest,
                    const routing_query& aQuery,
                    const routing_options& aRouting, absl::Time aNow)
{
  const auto found = aGateway.mPaces.find(aRequest.mService.mValue);
  if (found == aGateway.mPaces.end() ||
      found->second.mRunTime <= absl::ZeroDuration()) {
    return 0;
  }
  const service_pace& pace = found->second;
  double slots = 0;
  for (const auto& [id, view] : aGateway.mViews) {
    if (IsConfiguredFor(view.mConfig, aQuery.mKind, aQuery.mTarget)) {
      slots += GetConcurrencyLimit(view, aNow);
    }
  }
  const double equalPart = slots / absl::ToDoubleSeconds(pace.mRunTime) /
                           std::max(1, aRouting.mRouters);
  const demand_rank rank = aRequest.mDemandRank;
  const double window = IsLimited(pace, aNow) ? GetWindow(pace, rank) : 0;
  const double allowed =
    window >= kMinPaceWindow || rank == demand_rank::Favoured
      ? window / absl::ToDoubleSeconds(pace.mRunTime)
      : 0;
  return std::max({ GetCompletionRate(pace, aNow), equalPart, allowed });
}

error MakeWaitError(std::string aDetail, absl::Duration aRetryAfter)
{
  error refusal =
    MakeError(error_code::Overloaded, executed::No, std::move(aDetail));
  refusal.mRetryAfter = std::clamp(aRetryAfter, kMinRetryAfter, kMaxRetryAfter);
  return refusal;
}

void RefuseWaiting(gateway& aGateway, forwarded_request& aRequest,
                   error aRefusal, absl::Time aNow)
{
  aRequest.mError = std::move(aRefusal);
  FireRequest(aGateway, aRequest.mCaller.mHandle, forward_event::Refused, aNow);
}

// Returns true if the limit allows another attempt.
bool HasWindow(const service_pace& aPace, demand_rank aRank, absl::Time aNow)
{
  return aPace.mOutstanding + 1 <= GetWindow(aPace, aRank) ||
         (aPace.mOutstanding == 0 &&
          aNow - aPace.mSentAt >= aPace.mRunTime / aPace.mWindow);
}

// Returns the part of the objective that a request may be expected to wait.
double GetWaitFraction(demand_rank aRank)
{
  switch (aRank) {
    case demand_rank::Usual:
      return kMaxWaitFraction;
    case demand_rank::Heavy:
      return kMinWaitFraction;
    case demand_rank::Favoured:
      return kFavouredWaitFraction;
  }
  return kMaxWaitFraction;
}

// Returns the factor by which a new value of the demand is scaled up.
double ComputeDemandScale(const service_pace& aPace, absl::Time aNow)
{
  return std::exp(absl::FDivDuration(
    std::max(absl::ZeroDuration(), aNow - aPace.mDemandAt), kDemandWindow));
}

// Returns the work that the request asks for.
token_count EstimateWork(const forwarded_request& aRequest)
{
  return aRequest.mIsEngine
           ? static_cast<token_count>(ComputeCost(aRequest.mCaller))
           : 1;
}

// Adds the work that a request of the workspace asks for, and returns what the
// workspace has asked for before. Most requests only add to one value: the
// values of all are brought up to date once in kDemandRescaleTime.
double RecordDemand(service_pace& aPace, const workspace_id& aWorkspace,
                    double aWork, absl::Time aNow)
{
  if (aNow - aPace.mDemandAt >= kDemandRescaleTime) {
    const double decay = 1 / ComputeDemandScale(aPace, aNow);
    for (auto it = aPace.mDemand.begin(); it != aPace.mDemand.end();) {
      it->second *= decay;
      it = it->second < kMinDemand * aWork ? aPace.mDemand.erase(it)
                                           : std::next(it);
    }
    aPace.mDemandAt = aNow;
  }
  double& demand = aPace.mDemand[aWorkspace];
  const double before = demand;
  demand += aWork * ComputeDemandScale(aPace, aNow);
  return before;
}

// Compares the demand of the workspace before its request, aBefore, with that
// of all. Without the request: a workspace with few would count as heavy with
// each.
demand_rank RankDemand(const service_pace& aPace, double aBefore, double aWork,
                       absl::Time aNow)
{
  const double least = kMinDemand * aWork * ComputeDemandScale(aPace, aNow);
  double sum = 0;
  double largest = 0;
  int workspaces = 0;
  for (const auto& entry : aPace.mDemand) {
    const bool counts = entry.second >= least;
    sum += counts ? entry.second : 0;
    workspaces += counts ? 1 : 0;
    largest = std::max(largest, entry.second);
  }
  const double heavy = kHeavyFactor * sum / std::max(1, workspaces);
  if (aBefore > heavy) {
    return demand_rank::Heavy;
  }
  return largest > heavy ? demand_rank::Favoured : demand_rank::Usual;
}

// Records that all servers are full. aLoad: load of one of them as a multiple
// of its slots. The limit starts at the part of the attempts in progress with
// which the load falls to kTargetFactor, and at least at aMinWindow.
void RecordFull(service_pace& aPace, double aLoad, double aMinWindow,
                absl::Time aNow)
{
  if (!IsLimited(aPace, aNow)) {
    aPace.mWindow =
      std::max(aPace.mOutstanding * kTargetFactor / aLoad, aMinWindow);
  }
  aPace.mFullAt = aNow;
}

// Returns true if the request at the head of a queue can be sent now.
bool CanSend(gateway& aGateway, const forwarded_request& aRequest,
             absl::Time aNow)
{
  const service_pace& pace = aGateway.mPaces[aRequest.mService.mValue];
  const routing_query query = MakeRoutingQuery(aGateway, aRequest, aNow);
  return IsLimited(pace, aNow)
           ? HasWindow(pace, aRequest.mDemandRank, aNow) &&
               !ListUsableBackends(aGateway.mViews, query, aGateway.mRouting,
                                   aNow)
                  .empty()
           : HasRoomAtAny(aGateway, query, aGateway.mRouting, aNow);
}

} // namespace

admission_options MakeAdmissionOptions()
{
  admission_options options;
  // Waits here last for parts of an objective of 0.3 to 2 s.
  options.mGuaranteeWait = absl::Milliseconds(50);
  options.mReservedFraction = {};
  options.mDequeueWindow = kPaceWindow;
  options.mMinRetryAfter = kMinRetryAfter;
  options.mMaxRetryAfter = kMaxRetryAfter;
  return options;
}

routing_options MakeRoomRouting(const routing_options& aRouting)
{
  routing_options options = aRouting;
  options.mMaxAssumedPeers = kMaxAssumedPeers;
  return options;
}

void RecordAttemptStart(gateway& aGateway, const forwarded_request& aRequest,
                        absl::Time aNow)
{
  service_pace& pace = aGateway.mPaces[aRequest.mService.mValue];
  ++pace.mOutstanding;
  pace.mSentAt = aNow;
}

void RecordAttemptEnd(gateway& aGateway, const forwarded_request& aRequest)
{
  service_pace& pace = aGateway.mPaces[aRequest.mService.mValue];
  pace.mOutstanding = std::max(0, pace.mOutstanding - 1);
}

namespace {

// Records whether a response shows that a server is full. aLoad: its load as a
// multiple of its slots.
void RecordFullResponse(service_pace& aPace, const backend_id& aBackend,
                        double aLoad, absl::Time aNow)
{
  if (aLoad < kRoomFactor) {
    aPace.mFullResponses = 0;
    return;
  }
  if (aPace.mFullResponses == 0) {
    aPace.mFirstFull = aBackend;
    aPace.mFirstFullAt = aNow;
    aPace.mIsFullAtSeveral = false;
  }
  ++aPace.mFullResponses;
  aPace.mIsFullAtSeveral =
    aPace.mIsFullAtSeveral || aBackend != aPace.mFirstFull;
  if (aPace.mFullResponses >= kMinFullResponses && aPace.mIsFullAtSeveral &&
      aNow - aPace.mFirstFullAt >= kMinFullTime) {
    // With few callers, the attempts in progress vary much. The limit starts at
    // what they were on average and one for the spread.
    const double used =
      GetCompletionRate(aPace, aNow) * absl::ToDoubleSeconds(aPace.mRunTime);
    RecordFull(aPace, aLoad, used + 1, aNow);
  }
}

} // namespace

void RecordAttemptLoad(gateway& aGateway, const forwarded_request& aRequest,
                       const std::optional<observed_load>& aLoad,
                       bool aIsServed, absl::Time aNow)
{
  service_pace& pace = aGateway.mPaces[aRequest.mService.mValue];
  if (aIsServed) {
    const absl::Duration time = aNow - aRequest.mDispatchedAt;
    pace.mRunTime = pace.mRunTime > absl::ZeroDuration()
                      ? pace.mRunTime + (time - pace.mRunTime) * kRunTimeWeight
                      : time;
    pace.mRuns =
      1 + pace.mRuns *
            std::exp(-absl::FDivDuration(
              std::max(absl::ZeroDuration(), aNow - pace.mAt), kPaceWindow));
    pace.mAt = aNow;
  }
  const auto view = aGateway.mViews.find(aRequest.mBackend);
  if (!aLoad || view == aGateway.mViews.end()) {
    return;
  }
  const double load = static_cast<double>(aLoad->mRunning + aLoad->mQueued) /
                      view->second.mConfig.mMaxConcurrency;
  RecordFullResponse(pace, aRequest.mBackend, load, aNow);
  if (!IsLimited(pace, aNow)) {
    return;
  }
  if (load >= kTargetFactor) {
    pace.mFullAt = aNow;
  }
  // A limit that is not used says nothing about the load that it leads to.
  if (pace.mOutstanding + 1 >= pace.mWindow) {
    pace.mWindow =
      load >= kTargetFactor
        ? std::max(kMinWindow, pace.mWindow - kWindowStep)
        : pace.mWindow + kWindowStep * (load < 1 ? kFreeStepFactor : 1);
  }
}

wait_decision DecideWait(const gateway& aGateway,
                         const forwarded_request& aRequest,
                         const routing_query& aQuery,
                         const backend_view* aChosen,
                         const routing_options& aRouting, service_pace& aPace,
                         absl::Time aNow)
{
  wait_decision decision{ false, aRequest.mDemandRank };
  // A request that may have been executed has its attempt at once or fails: its
  // caller has waited for one already.
  if (aRequest.mMayHaveExecuted || aRequest.mHasHeldFailure ||
      aRequest.mHasTurn) {
    return decision;
  }
  if (aChosen == nullptr) {
    decision.mMustWait =
      FindShortage(aGateway.mViews, aQuery, aNow) == shortage::Slots;
    return decision;
  }
  // Also while there is room, so that it is known once there is none.
  const auto work = static_cast<double>(EstimateWork(aRequest));
  const double before = RecordDemand(aPace, aRequest.mWorkspace, work, aNow);
  if (!HasRoom(aGateway, *aChosen, aRouting, aNow) &&
      !HasRoomAtAny(aGateway, aQuery, aRouting, aNow)) {
    const double stated = static_cast<double>(aChosen->mReport.mRunning +
                                              aChosen->mReport.mQueued) /
                          aChosen->mConfig.mMaxConcurrency;
    RecordFull(aPace, std::max<double>(kRoomFactor, stated), 1, aNow);
  }
  const bool hasQueue = HasQueue(aGateway, aRequest.mService.mValue);
  const bool isLimited = IsLimited(aPace, aNow);
  if (hasQueue || isLimited) {
    decision.mRank = RankDemand(aPace, before, work, aNow);
  }
  decision.mMustWait =
    hasQueue || (isLimited && !HasWindow(aPace, decision.mRank, aNow));
  return decision;
}

admission_request MakeWaitingRequest(const gateway& aGateway,
                                     const forwarded_request& aRequest,
                                     const routing_options& aRouting,
                                     absl::Time aNow)
{
  const absl::Duration objective = aRequest.mRoute.mObjective;
  const absl::Duration waited = aNow - aRequest.mArrivedAt;
  const auto pace = aGateway.mPaces.find(aRequest.mService.mValue);
  const absl::Duration runTime = pace == aGateway.mPaces.end()
                                   ? absl::ZeroDuration()
                                   : pace->second.mRunTime;
  const routing_query query = MakeRoutingQuery(aGateway, aRequest, aNow);
  admission_request waiting;
  waiting.mHandle = aRequest.mCaller.mHandle;
  waiting.mWorkspace = aRequest.mWorkspace;
  waiting.mTarget = aRequest.mService.mValue;
  waiting.mPriority = ToClass(aRequest.mPriority);
  const absl::Duration reserve =
    std::min(kRunTimeReserve * runTime, (1 - kMinWaitFraction) * objective);
  waiting.mDeadline =
    std::min(aRequest.mDeadline, aRequest.mArrivedAt + objective) -
    std::min(runTime, (1 - kMinWaitFraction) * objective);
  waiting.mCost = EstimateWork(aRequest);
  const double fraction = GetWaitFraction(aRequest.mDemandRank);
  waiting.mMaxWait =
    std::min(fraction * objective, objective - reserve) - waited;
  waiting.mExpectedRate =
    EstimatePace(aGateway, aRequest, query, aRouting, aNow);
  return waiting;
}

std::optional<error> QueueWaitingRequest(admission_state& aAdmission,
                                         const admission_request& aWaiting,
                                         const traffic_route& aRoute,
                                         absl::Time aNow)
{
  fleet_config limits;
  limits.mQueueLength = kMaxWaiting;
  limits.mQueueTimeout = aRoute.mObjective;
  const admission_decision decision =
    Admit(aAdmission, aWaiting, {}, limits, 0, aNow);
  if (decision.mOutcome != admission_outcome::Refused) {
    return std::nullopt;
  }
  return MakeWaitError(absl::StrCat("all servers of the service are full: ",
                                    decision.mError.mDetail),
                       decision.mError.mRetryAfter);
}

void EnqueueRequest(gateway& aGateway, forwarded_request& aRequest,
                    absl::Time aNow)
{
  const admission_request waiting =
    MakeWaitingRequest(aGateway, aRequest, aGateway.mRouting, aNow);
  if (auto refusal = QueueWaitingRequest(aGateway.mAdmission, waiting,
                                         aRequest.mRoute, aNow)) {
    RefuseWaiting(aGateway, aRequest, *std::move(refusal), aNow);
    return;
  }
  // No attempt was executed, so the servers that rejected one may take it once
  // they have room.
  aRequest.mTriedBackends.clear();
  aGateway.mNextReviewAt =
    std::min(aGateway.mNextReviewAt, aNow + kReviewInterval);
  RecordDecision(
    aGateway, decision::RequestWaiting,
    { { "request", aRequest.mCaller.mAttemptId },
      { "workspace", aRequest.mWorkspace.mValue },
      { "queue", waiting.mTarget },
      { "rank", std::string(ToName(aRequest.mDemandRank)) },
      { "waiting", absl::StrCat(aGateway.mAdmission.mQueued.size()) },
      { "pace", absl::StrCat(waiting.mExpectedRate) } });
}

void LeaveQueue(gateway& aGateway, const forwarded_request& aRequest)
{
  CancelQueued(aGateway.mAdmission, aRequest.mCaller.mHandle);
}

void AdvanceAdmission(gateway& aGateway, absl::Time aNow)
{
  admission_state& admission = aGateway.mAdmission;
  if (admission.mQueued.empty() && admission.mDisplaced.empty()) {
    aGateway.mNextReviewAt = absl::InfiniteFuture();
    return;
  }
  aGateway.mNextReviewAt = aNow + kReviewInterval;
  aGateway.mRouting.mRouters = CountGateways(aGateway, aNow);
  for (const request_handle handle : TakeExpired(admission, aNow)) {
    const auto found = aGateway.mRequests.find(handle);
    if (found != aGateway.mRequests.end()) {
      RefuseWaiting(aGateway, *found->second,
                    MakeWaitError("no server of the service had room in time",
                                  kMinRetryAfter),
                    aNow);
    }
  }
  for (const std::string& queue : ListQueuedTargets(admission)) {
    while (const auto next = FindNextAdmitted(admission, queue, 1, aNow)) {
      const auto found = aGateway.mRequests.find(*next);
      if (found != aGateway.mRequests.end() &&
          !CanSend(aGateway, *found->second, aNow)) {
        break;
      }
      TakeAdmitted(admission, queue, 1, aNow);
      if (found == aGateway.mRequests.end()) {
        continue;
      }
      RecordRequestEnd(admission, found->second->mWorkspace);
      found->second->mHasTurn = true;
      FireRequest(aGateway, *next, forward_event::Room, aNow);
    }
  }
}

absl::Time GetNextReviewTime(const gateway& aGateway)
{
  return std::min(aGateway.mNextReviewAt, GetNextExpiry(aGateway.mAdmission));
}

} // namespace foxtailquay
