// Requests at a gateway: admission, choice of backend servers, attempts, end.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_choice.h"
#include "gateway_cold.h"
#include "gateway_directory.h"
#include "gateway_statements.h"
#include "gateway_work.h"

namespace foxtailquay {

namespace {

struct forward_context
{
  const gateway& mGateway;
  const forwarded_request& mRequest;
  absl::Time mNow;
};

// Shortest time before the deadline for which another attempt is made.
constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(50);
// Largest number of further attempts if no byte was sent in any attempt.
constexpr int kMaxUnsentAttempts = 3;
// A server that sent nothing counts as failed if the caller disconnects after
// more than this multiple of the route's latency objective.
constexpr int kUnresponsiveObjectives = 4;

// A stream has stalled if no event arrives for the longest of these, which is
// how long callers wait for the next event, and the margin.
constexpr absl::Duration kMinStallTime = absl::Seconds(2);
constexpr int kStallObjectives = 4;
constexpr int kStallGapObjectives = 8;
constexpr absl::Duration kStallMargin = absl::Seconds(1);

absl::Duration ComputeStallTimeout(const traffic_route& aRoute)
{
  return std::max({ kMinStallTime, kStallObjectives * aRoute.mObjective,
                    kStallGapObjectives * aRoute.mGapObjective }) +
         kStallMargin;
}

// Returns the retry budget of a service, capped by the share of this gateway in
// the fleet-wide limit.
retry_state& GetOrCreateRetryState(gateway& aGateway,
                                   const service_id& aService, absl::Time aNow)
{
  retry_state& state =
    aGateway.mRetryStates.try_emplace(aService.mValue, retry_state{ 0 })
      .first->second;
  const double cap = aGateway.mSettings.mRepeatSlack * kRepeatSlackFraction /
                     CountGateways(aGateway, aNow);
  state.mRetryBudget = std::min(state.mRetryBudget, cap);
  return state;
}

retry_options MakeRetryOptions(const gateway& aGateway, absl::Time aNow)
{
  retry_options options;
  options.mRetryBudgetRatio =
    aGateway.mSettings.mRepeatRatio * kRepeatRatioFraction;
  options.mMaxRetryBudget = aGateway.mSettings.mRepeatSlack *
                            kRepeatSlackFraction /
                            CountGateways(aGateway, aNow);
  return options;
}

// Returns true if another attempt is safe and within the limits.
bool MayRepeat(const forward_context& aContext)
{
  const forwarded_request& request = aContext.mRequest;
  if (request.mDeadline - aContext.mNow < kMinAttemptTime) {
    return false;
  }
  // An attempt of which no byte was sent was not executed and does not count.
  if (request.mIsLastUnsent && request.mSentAttempts == 0) {
    return request.mAttempts <= kMaxUnsentAttempts;
  }
  if (request.mMayHaveExecuted && (!IsRepeatable(request.mRoute) ||
                                   HasSuspect(aContext.mGateway, request))) {
    return false;
  }
  if (request.mSentAttempts >= request.mRoute.mMaxAttempts) {
    return false;
  }
  const auto repeats =
    aContext.mGateway.mRetryStates.find(request.mService.mValue);
  return repeats != aContext.mGateway.mRetryStates.end() &&
         repeats->second.mRetryBudget >= 1;
}

bool EvaluateGuard(forward_guard aGuard, const forward_context& aContext)
{
  switch (aGuard) {
    case forward_guard::MayRepeat:
      return MayRepeat(aContext);
    case forward_guard::HoldsFailure:
      return aContext.mRequest.mHasHeldFailure;
  }
  return false;
}

void RefuseRequest(gateway& aGateway, forwarded_request& aRequest,
                   absl::Time aNow)
{
  error refusal = aRequest.mError;
  if (aRequest.mMayHaveExecuted && refusal.mExecuted == executed::No) {
    refusal.mExecuted = executed::Unknown;
    refusal.mCode = error_code::OutcomeUnknown;
  }
  aGateway.mActions.push_back(send_error{ aRequest.mCaller.mHandle, refusal });
  RecordRequestRefused(aGateway, aRequest, refusal, aNow);
}

// Ends the current attempt, if there is one, in the health and load state of
// its backend server.
void EndAttempt(gateway& aGateway, forwarded_request& aRequest, bool aFailed,
                absl::Time aNow)
{
  ReleaseHeldTokens(aGateway, aRequest, aNow);
  if (backend_view* view = FindAttemptView(aGateway, aRequest)) {
    EndWork(aRequest, *view);
    const backend_status before = view->mStatus;
    RecordRunEnd(*view, aFailed, aGateway.mRouting, aNow,
                 &aGateway.mCharts.mBackend);
    if (view->mStatus != before) {
      RecordDecision(
        aGateway, decision::BackendChanged,
        { { "backend", aRequest.mBackend.mValue },
          { "state", std::string(ToName(view->mStatus)) },
          { "cause", aFailed ? "failed attempt" : "successful attempt" },
          { "request", aRequest.mCaller.mAttemptId } });
    }
  }
  if (!aRequest.mBackend.mValue.empty()) {
    RecordAttemptEnd(aGateway, aRequest);
  }
  aRequest.mBackend = backend_id{};
}

// Sends the request to a backend server, or fires Unroutable if none can take
// it.
void Dispatch(gateway& aGateway, forwarded_request& aRequest, absl::Time aNow)
{
  const bool isRepeat = aRequest.mSentAttempts > 0;
  // Servers may have crashed under the request while it waited.
  if (auto refusal = CheckQuarantine(aGateway, aRequest, aNow)) {
    aRequest.mError = *std::move(refusal);
    FireRequest(aGateway, aRequest.mCaller.mHandle, forward_event::Unroutable,
                aNow);
    return;
  }
  aGateway.mRouting.mRouters = CountGateways(aGateway, aNow);
  const std::string& service = aRequest.mService.mValue;
  const dispatch_choice choice = ChooseDispatch(
    aGateway, aRequest, aGateway.mRouting,
    { aGateway.mCosts[service], aGateway.mPaces[service], aGateway.mRandom },
    aNow);
  const routing_query& query = choice.mQuery;
  const std::optional<backend_id>& chosen = choice.mBackend;
  aRequest.mDemandRank = choice.mDemandRank;
  aRequest.mHasTurn = false;
  if (choice.mMustWait) {
    FireRequest(aGateway, aRequest.mCaller.mHandle, forward_event::NoRoom,
                aNow);
    return;
  }
  if (!chosen) {
    aRequest.mError = MakeUnroutableError(aGateway, query, aNow);
    FireRequest(aGateway, aRequest.mCaller.mHandle, forward_event::Unroutable,
                aNow);
    return;
  }
  backend_view& view = aGateway.mViews.at(*chosen);
  const double backlog = StartWork(aGateway, aRequest, *chosen, query, aNow);
  const retry_options options = MakeRetryOptions(aGateway, aNow);
  retry_state& repeats =
    GetOrCreateRetryState(aGateway, aRequest.mService, aNow);
  if (isRepeat) {
    repeats.mRetryBudget -= 1;
  } else if (aRequest.mAttempts == 0) {
    RecordFirstAttempt(repeats, options);
  }
  ++aRequest.mAttempts;
  ++aRequest.mSentAttempts;
  aRequest.mBackend = *chosen;
  aRequest.mBackendStartedMs = aGateway.mListings[*chosen].mEntry.mStartedMs;
  HoldTokens(aGateway, aRequest, *chosen, view, aNow);
  aRequest.mTriedBackends.insert(*chosen);
  aRequest.mMayHaveExecuted = true;
  aRequest.mHasHeldFailure = false;
  aRequest.mHasResponseStarted = false;
  aRequest.mDispatchedAt = aNow;
  RecordAttemptStart(aGateway, aRequest, aNow);
  dispatch_request action;
  action.mHandle = aRequest.mCaller.mHandle;
  action.mAttempt = aRequest.mAttempts;
  action.mAddress = view.mAddress;
  action.mBackend = *chosen;
  action.mWorkspace = aRequest.mWorkspace;
  action.mKind = aRequest.mRoute.mKind;
  action.mResumable = aRequest.mRoute.mResumable;
  action.mRepeatable = IsRepeatable(aRequest.mRoute);
  action.mDeadline = aRequest.mDeadline;
  action.mStallTimeout = ComputeStallTimeout(aRequest.mRoute);
  action.mPriority = aRequest.mPriority;
  action.mMaxConnections =
    std::max(1, aRequest.mMaxConnections / aGateway.mRouting.mRouters);
  aGateway.mActions.push_back(std::move(action));
  RecordRequestDispatched(aGateway, aRequest, view, backlog, aNow);
}

void PerformAction(gateway& aGateway, forwarded_request& aRequest,
                   forward_action aAction, absl::Time aNow)
{
  switch (aAction) {
    case forward_action::Reserve:
      ReserveForRequest(aGateway, aRequest, aNow);
      break;
    case forward_action::Dispatch:
      Dispatch(aGateway, aRequest, aNow);
      break;
    case forward_action::Enqueue:
      EnqueueRequest(aGateway, aRequest, aNow);
      break;
    case forward_action::LeaveQueue:
      LeaveQueue(aGateway, aRequest);
      break;
    case forward_action::Settle:
      SettleRequest(aGateway, aRequest);
      break;
    case forward_action::Refuse:
      RefuseRequest(aGateway, aRequest, aNow);
      break;
    case forward_action::PassFailure:
      aGateway.mActions.push_back(deliver_failure{ aRequest.mCaller.mHandle });
      break;
    case forward_action::Cancel:
      aGateway.mActions.push_back(cancel_request{ aRequest.mCaller.mHandle });
      RecordDecision(
        aGateway, decision::RequestCancelled,
        { { "request", aRequest.mCaller.mAttemptId },
          { "backend", aRequest.mBackend.mValue },
          { "workspace", aRequest.mWorkspace.mValue },
          { "spent", absl::StrCat(ComputeSpentTokens(aRequest)) } });
      break;
  }
}

// Applies the report of an attempt to the request and its backend server. Sets
// the error that the caller receives if this was the last attempt.
void ApplyAttemptReport(gateway& aGateway, forwarded_request& aRequest,
                        const attempt_report& aReport, absl::Time aNow)
{
  aRequest.mEvents = std::max(aRequest.mEvents, aReport.mEvents);
  const backend_id backend = aRequest.mBackend;
  RecordWork(aGateway, aRequest, aReport, aNow);
  ApplyServerReport(aGateway, aRequest, aReport, aNow);
  bool failed = true;
  switch (aReport.mOutcome) {
    case attempt_outcome::Delivered:
      failed = false;
      break;
    case attempt_outcome::Failed:
      failed = aReport.mStatus >= 500;
      aRequest.mHasHeldFailure = true;
      aRequest.mError =
        MakeError(error_code::BackendServerFailed, executed::Yes,
                  "the backend server responded with a failure");
      break;
    case attempt_outcome::NotRun: {
      auto view = aGateway.mViews.find(backend);
      const bool full = view != aGateway.mViews.end() && aReport.mLoad &&
                        aReport.mLoad->mRunning + aReport.mLoad->mQueued >=
                          view->second.mConfig.mMaxConcurrency;
      // A server that states for how long it refuses is not at fault.
      const bool backsOff =
        aReport.mStatement && aReport.mStatement->mBackoff.has_value();
      failed = !full && !aReport.mWrongServer && !backsOff;
      aRequest.mMayHaveExecuted = aRequest.mEarlierMayHaveExecuted;
      aRequest.mError = MakeError(error_code::Overloaded, executed::No,
                                  "the backend server rejected the request");
      break;
    }
    case attempt_outcome::NotSent:
      --aRequest.mSentAttempts;
      aRequest.mMayHaveExecuted = aRequest.mEarlierMayHaveExecuted;
      aRequest.mError = MakeError(error_code::NoBackendServer, executed::No,
                                  "the backend server cannot be reached");
      break;
    case attempt_outcome::Broken:
      aRequest.mError =
        MakeError(error_code::OutcomeUnknown, executed::Unknown,
                  "the connection to the backend server was interrupted");
      break;
    case attempt_outcome::BrokenMidway:
      aRequest.mError =
        MakeError(error_code::StreamBroken, executed::Yes,
                  "the response of the backend server was interrupted");
      break;
  }
  aRequest.mEarlierMayHaveExecuted = aRequest.mMayHaveExecuted;
  aRequest.mIsLastUnsent = aReport.mOutcome == attempt_outcome::NotSent;
  EndAttempt(aGateway, aRequest, failed, aNow);
  if (aReport.mWrongServer) {
    ExcludeBackend(aGateway, backend, aNow);
  }
}

} // namespace

routing_query MakeRoutingQuery(const gateway& aGateway,
                               const forwarded_request& aRequest,
                               absl::Time aNow)
{
  routing_query query;
  query.mKind =
    aRequest.mIsEngine ? backend_kind::Engine : backend_kind::Service;
  query.mTarget = aRequest.mService.mValue;
  query.mZone = aGateway.mSettings.mZone;
  query.mPromptTokens = aRequest.mCaller.mPromptTokens;
  token_count length = 0;
  for (const prompt_part& part : aRequest.mCaller.mPromptParts) {
    query.mSharedTokens = length;
    length = AddTokens(length, part.mTokens);
    query.mPrefixes.push_back(part.mHash);
    query.mPrefixTokens.push_back(length);
  }
  // The last part of the prompt is specific to the request.
  const auto& parts = aRequest.mCaller.mPromptParts;
  if (parts.size() >= 2) {
    query.mAffinity = parts[parts.size() - 2].mHash;
  }
  query.mExcludedBackends = aRequest.mTriedBackends;
  query.mMemory = MakeMemoryNeed(aGateway, aRequest, aNow);
  return query;
}

std::vector<forward_action> FireForwardChart(const gateway& aGateway,
                                             forwarded_request& aRequest,
                                             forward_event aEvent,
                                             absl::Time aNow)
{
  const forward_context context{ aGateway, aRequest, aNow };
  return Fire(aGateway.mCharts.mForward, aRequest.mStatus, aEvent, context,
              &EvaluateGuard);
}

void FireRequest(gateway& aGateway, request_handle aHandle,
                 forward_event aEvent, absl::Time aNow)
{
  auto found = aGateway.mRequests.find(aHandle);
  if (found == aGateway.mRequests.end()) {
    return;
  }
  forwarded_request& request = *found->second;
  for (forward_action action :
       FireForwardChart(aGateway, request, aEvent, aNow)) {
    PerformAction(aGateway, request, action, aNow);
    // An action may have ended the request by firing another event.
    if (aGateway.mRequests.find(aHandle) == aGateway.mRequests.end()) {
      return;
    }
  }
  if (IsFinal(aGateway.mCharts.mForward, request.mStatus)) {
    if (!request.mBackend.mValue.empty()) {
      EndAttempt(aGateway, request, false, aNow);
    }
    aGateway.mDeadlines.erase({ request.mDeadline, aHandle });
    aGateway.mRequests.erase(aHandle);
  }
}

void OnRequest(gateway& aGateway, const caller_request& aRequest,
               absl::Time aNow)
{
  auto request = std::make_unique<forwarded_request>();
  request->mCaller = aRequest;
  request->mStatus = GetInitialState(aGateway.mCharts.mForward);
  request->mArrivedAt = aNow;
  request->mDeadline = absl::InfiniteFuture();
  const auto admitted = AdmitRequest(aGateway, *request, aNow);
  if (!IsOk(admitted)) {
    request->mError = GetError(admitted);
  }
  if (request->mDeadline != absl::InfiniteFuture()) {
    aGateway.mDeadlines.insert({ request->mDeadline, aRequest.mHandle });
  }
  aGateway.mRequests[aRequest.mHandle] = std::move(request);
  FireRequest(aGateway, aRequest.mHandle,
              IsOk(admitted) ? forward_event::Admitted : forward_event::Refused,
              aNow);
}

void OnAttemptReport(gateway& aGateway, const attempt_report& aReport,
                     absl::Time aNow)
{
  auto found = aGateway.mRequests.find(aReport.mHandle);
  if (found == aGateway.mRequests.end() ||
      found->second->mAttempts != aReport.mAttempt ||
      found->second->mBackend.mValue.empty()) {
    return;
  }
  forwarded_request& request = *found->second;
  const backend_id backend = request.mBackend;
  RecordAttemptLoad(aGateway, request, aReport.mLoad,
                    aReport.mOutcome == attempt_outcome::Delivered, aNow);
  ApplyAttemptReport(aGateway, request, aReport, aNow);
  RecordRequestFinished(aGateway, request, aReport, backend, aNow);
  RecordCrashEvidence(aGateway, request, aReport, backend, aNow);
  FireRequest(aGateway, aReport.mHandle,
              aReport.mOutcome == attempt_outcome::Delivered
                ? forward_event::Delivered
                : forward_event::AttemptFailed,
              aNow);
  AdvanceAdmission(aGateway, aNow);
}

void OnFirstByte(gateway& aGateway, const first_byte& aEvent, absl::Time aNow)
{
  auto found = aGateway.mRequests.find(aEvent.mHandle);
  if (found == aGateway.mRequests.end() ||
      found->second->mAttempts != aEvent.mAttempt) {
    return;
  }
  found->second->mHasResponseStarted = true;
  RecordFirstEvent(aGateway, *found->second, aEvent.mLoad, aNow);
  RecordLoad(aGateway, *found->second, aEvent.mLoad, aNow);
  ApplyStatement(aGateway, *found->second, aEvent.mStatement, aNow);
  RecordColdStatement(aGateway, *found->second, aEvent.mStatement, aNow);
}

void OnCallerDisconnected(gateway& aGateway, const caller_disconnected& aEvent,
                          absl::Time aNow)
{
  auto found = aGateway.mRequests.find(aEvent.mHandle);
  if (found == aGateway.mRequests.end()) {
    return;
  }
  forwarded_request& request = *found->second;
  request.mEvents = std::max(request.mEvents, aEvent.mEvents);
  if (aEvent.mIsAttemptUnsent) {
    request.mMayHaveExecuted = request.mEarlierMayHaveExecuted;
  }
  const bool isUnresponsive =
    !aEvent.mIsAttemptUnsent && !request.mHasResponseStarted &&
    !request.mBackend.mValue.empty() &&
    aNow - request.mDispatchedAt >
      kUnresponsiveObjectives * request.mRoute.mObjective;
  if (isUnresponsive) {
    EndAttempt(aGateway, request, true, aNow);
  }
  FireRequest(aGateway, aEvent.mHandle, forward_event::CallerGone, aNow);
}

void AdvanceDeadlines(gateway& aGateway, absl::Time aNow)
{
  while (!aGateway.mDeadlines.empty() &&
         aGateway.mDeadlines.begin()->first <= aNow) {
    const request_handle handle = aGateway.mDeadlines.begin()->second;
    aGateway.mDeadlines.erase(aGateway.mDeadlines.begin());
    auto found = aGateway.mRequests.find(handle);
    if (found == aGateway.mRequests.end()) {
      continue;
    }
    forwarded_request& request = *found->second;
    request.mError =
      MakeError(error_code::DeadlineExceeded,
                request.mMayHaveExecuted ? executed::Unknown : executed::No,
                "the request's deadline has passed");
    if (!request.mBackend.mValue.empty()) {
      EndAttempt(aGateway, request, !request.mHasResponseStarted, aNow);
    }
    FireRequest(aGateway, handle, forward_event::Deadline, aNow);
  }
}

} // namespace foxtailquay
