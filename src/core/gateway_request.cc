#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_state.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

struct forward_context
{
  const gateway& mGateway;
  const forwarded_request& mRequest;
  absl::Time mNow;
};

// Time that must be left for another attempt to be worth it.
constexpr absl::Duration kLeastAttemptTime = absl::Milliseconds(50);
// Further servers that are tried when none could be reached.
constexpr int kMaxUnsentAttempts = 3;
// A server that sent nothing for so many times the objective before the caller
// left counts as failed.
constexpr int kSilentObjectives = 4;

retry_state& RepeatsOf(gateway& aGateway, const service_id& aService,
                       absl::Time aNow)
{
  retry_state& state =
    aGateway.mRepeats.try_emplace(aService.mValue, retry_state{ 0 })
      .first->second;
  const double cap = aGateway.mSettings.mRepeatSlack * kRepeatSlackPart /
                     CountRouters(aGateway, aNow);
  state.mRetryBudget = std::min(state.mRetryBudget, cap);
  return state;
}

retry_options RepeatOptions(const gateway& aGateway, absl::Time aNow)
{
  retry_options options;
  options.mRetryBudgetRatio =
    aGateway.mSettings.mRepeatRatio * kRepeatRatioPart;
  options.mMaxRetryBudget = aGateway.mSettings.mRepeatSlack * kRepeatSlackPart /
                            CountRouters(aGateway, aNow);
  return options;
}

bool MayRepeat(const forward_context& aContext)
{
  const forwarded_request& request = aContext.mRequest;
  if (request.mDeadline - aContext.mNow < kLeastAttemptTime) {
    return false;
  }
  // Without a byte sent, an attempt has not happened.
  if (request.mLastUnsent && request.mSent == 0) {
    return request.mAttempts <= kMaxUnsentAttempts;
  }
  if (request.mMayHaveExecuted && !IsRepeatable(request.mRoute)) {
    return false;
  }
  if (request.mSent >= request.mRoute.mMaxAttempts) {
    return false;
  }
  const auto repeats = aContext.mGateway.mRepeats.find(request.mService.mValue);
  return repeats != aContext.mGateway.mRepeats.end() &&
         repeats->second.mRetryBudget >= 1;
}

bool Evaluate(forward_guard aGuard, const forward_context& aContext)
{
  switch (aGuard) {
    case forward_guard::MayRepeat:
      return MayRepeat(aContext);
    case forward_guard::HoldsFailure:
      return aContext.mRequest.mHasHeldFailure;
  }
  return false;
}

routing_query QueryOf(const gateway& aGateway,
                      const forwarded_request& aRequest)
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
    length += part.mTokens;
    query.mPrefixes.push_back(part.mHash);
    query.mPrefixTokens.push_back(length);
  }
  // The last part belongs to the request itself.
  const auto& parts = aRequest.mCaller.mPromptParts;
  if (parts.size() >= 2) {
    query.mAffinity = parts[parts.size() - 2].mHash;
  }
  query.mExcludedBackends = aRequest.mTriedBackends;
  return query;
}

// The service for this request: the same for each of its attempts, in
// proportion to the weights over all requests.
service_id ServiceFor(const caller_request& aCaller,
                      const traffic_route& aRoute)
{
  double total = 0;
  for (const weighted_service& each : aRoute.mServices) {
    total += each.mWeight;
  }
  const std::uint64_t hash =
    XXH64(aCaller.mAttemptId.data(), aCaller.mAttemptId.size(), 1);
  double point = static_cast<double>(hash >> 11) /
                 static_cast<double>(std::uint64_t{ 1 } << 53) * total;
  for (const weighted_service& each : aRoute.mServices) {
    if (each.mWeight > 0 && point < each.mWeight) {
      return each.mService;
    }
    point -= each.mWeight;
  }
  return aRoute.mServices.empty() ? service_id{} : aRoute.mServices[0].mService;
}

void Describe(gateway& aGateway, forwarded_request& aRequest)
{
  const traffic_service* service =
    FindService(*aGateway.mTable, aRequest.mService);
  if (service != nullptr) {
    aRequest.mIsEngine = service->mIsEngine;
    aRequest.mTokensPerEvent = service->mTokensPerEvent;
    aRequest.mMaxConnections = service->mMaxConnections;
  }
  if (aRequest.mIsEngine) {
    aRequest.mCost =
      aRequest.mCaller.mPromptTokens + aRequest.mCaller.mMaxOutputTokens;
  }
}

// Finds the route and the payer. Errors: NotReady, NotFound, Unauthorized.
result<success> Admit(gateway& aGateway, forwarded_request& aRequest,
                      absl::Time aNow)
{
  const caller_request& caller = aRequest.mCaller;
  // Later requests might not end before the platform ends the process.
  if (aGateway.mStopping && aNow >= aGateway.mStopStart + kStopLinger) {
    return MakeError(error_code::ShuttingDown, executed::No,
                     "the gateway is stopping");
  }
  if (!IsDirectoryKnown(aGateway)) {
    return MakeError(error_code::NotReady, executed::No,
                     "no configuration is known yet");
  }
  const traffic_route* route =
    FindRoute(*aGateway.mTable, caller.mHost, caller.mPath);
  if (route == nullptr) {
    return MakeError(error_code::NotFound, executed::No,
                     "no route matches host and path");
  }
  const traffic_workspace* payer = FindWorkspace(*aGateway.mTable, caller.mKey);
  if (payer == nullptr && !route->mPublic &&
      !aGateway.mTable->mConfig.mWorkspaces.empty()) {
    return MakeError(error_code::Unauthorized, executed::No,
                     "the API key is not valid");
  }
  aRequest.mRoute = *route;
  aRequest.mRoutePriority =
    std::clamp(route->mPriority, 0, kRequestPriorities - 1);
  aRequest.mPriority = aRequest.mRoutePriority;
  if (payer != nullptr) {
    aRequest.mWorkspace = payer->mId;
    aRequest.mIsPrepaid = payer->mPrepaid.has_value();
    aRequest.mPriority = std::clamp(payer->mPriority.value_or(route->mPriority),
                                    0, kRequestPriorities - 1);
  }
  aRequest.mService = ServiceFor(caller, *route);
  Describe(aGateway, aRequest);
  aRequest.mDeadline =
    aNow + std::min(route->mTimeout,
                    caller.mCallerTimeout.value_or(absl::InfiniteDuration()));
  return success{};
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
  RecordDecision(
    aGateway,
    refusal.mExecuted == executed::No ? decision::RequestRefused
                                      : decision::RequestFailed,
    { { "request", aRequest.mCaller.mAttemptId },
      { "code", std::string(ToName(refusal.mCode)) },
      { "ran", std::string(ToName(refusal.mExecuted)) },
      { "detail", refusal.mDetail },
      { "route", aRequest.mRoute.mName },
      { "workspace", aRequest.mWorkspace.mValue },
      { "backend", aRequest.mBackend.mValue },
      { "attempts", absl::StrCat(aRequest.mAttempts) },
      { "held_ms",
        absl::StrCat(absl::ToInt64Milliseconds(aNow - aRequest.mArrivedAt)) },
      { "version",
        absl::StrCat(aGateway.mTable ? aGateway.mTable->mConfig.mVersion
                                     : 0) } });
}

void EndAttempt(gateway& aGateway, forwarded_request& aRequest, bool aFailed,
                absl::Time aNow)
{
  auto view = aGateway.mViews.find(aRequest.mBackend);
  if (!aRequest.mBackend.mValue.empty() && view != aGateway.mViews.end()) {
    const backend_status before = view->second.mStatus;
    RecordRunEnd(view->second, aFailed, aGateway.mRouting, aNow,
                 &aGateway.mCharts.mBackend);
    if (view->second.mStatus != before) {
      RecordDecision(
        aGateway, decision::BackendChanged,
        { { "backend", aRequest.mBackend.mValue },
          { "state", std::string(ToName(view->second.mStatus)) },
          { "cause", aFailed ? "failed attempt" : "successful attempt" },
          { "request", aRequest.mCaller.mAttemptId } });
    }
  }
  aRequest.mBackend = backend_id{};
}

void Dispatch(gateway& aGateway, forwarded_request& aRequest, absl::Time aNow)
{
  const bool isRepeat = aRequest.mSent > 0;
  aGateway.mRouting.mRouters = CountRouters(aGateway, aNow);
  const routing_query query = QueryOf(aGateway, aRequest);
  const auto chosen = ChooseBackend(aGateway.mViews, query, aGateway.mRouting,
                                    aNow, aGateway.mRandom);
  if (!chosen) {
    aRequest.mError = MakeError(error_code::NoBackendServer, executed::No,
                                "no backend server can take the request");
    FireRequest(aGateway, aRequest.mCaller.mHandle, forward_event::Unroutable,
                aNow);
    return;
  }
  backend_view& view = aGateway.mViews[*chosen];
  NotePrompt(aGateway, *chosen,
             EstimateUncachedTokens(view, query, aGateway.mRouting, aNow),
             query, aNow);
  RecordDispatch(view, query, aGateway.mRouting, aNow);
  const retry_options options = RepeatOptions(aGateway, aNow);
  retry_state& repeats = RepeatsOf(aGateway, aRequest.mService, aNow);
  if (isRepeat) {
    repeats.mRetryBudget -= 1;
  } else if (aRequest.mAttempts == 0) {
    RecordFirstAttempt(repeats, options);
  }
  ++aRequest.mAttempts;
  ++aRequest.mSent;
  aRequest.mBackend = *chosen;
  aRequest.mTriedBackends.insert(*chosen);
  aRequest.mMayHaveExecuted = true;
  aRequest.mHasHeldFailure = false;
  aRequest.mAnswering = false;
  aRequest.mDispatchedAt = aNow;
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
  action.mPriority = aRequest.mPriority;
  action.mMaxConnections =
    std::max(1, aRequest.mMaxConnections / aGateway.mRouting.mRouters);
  aGateway.mActions.push_back(std::move(action));
  RecordDecision(
    aGateway, decision::RequestDispatched,
    { { "request", aRequest.mCaller.mAttemptId },
      { "attempt", absl::StrCat(aRequest.mAttempts) },
      { "route", aRequest.mRoute.mName },
      { "workspace", aRequest.mWorkspace.mValue },
      { "backend", chosen->mValue },
      { "outstanding", absl::StrCat(view.mOutstanding) },
      { "running", absl::StrCat(view.mReport.mRunning) },
      { "queued", absl::StrCat(view.mReport.mQueued) },
      { "report_age_ms",
        view.mReportedAt == absl::InfinitePast()
          ? std::string("none")
          : absl::StrCat(absl::ToInt64Milliseconds(aNow - view.mReportedAt)) },
      { "reserved", absl::StrCat(aRequest.mReserved) },
      { "version", absl::StrCat(aGateway.mTable->mConfig.mVersion) } });
}

void Perform(gateway& aGateway, forwarded_request& aRequest,
             forward_action aAction, absl::Time aNow)
{
  switch (aAction) {
    case forward_action::Reserve:
      ReserveForRequest(aGateway, aRequest, aNow);
      break;
    case forward_action::Dispatch:
      Dispatch(aGateway, aRequest, aNow);
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
      RecordDecision(aGateway, decision::RequestCancelled,
                     { { "request", aRequest.mCaller.mAttemptId },
                       { "backend", aRequest.mBackend.mValue },
                       { "workspace", aRequest.mWorkspace.mValue },
                       { "spent", absl::StrCat(SpentTokens(aRequest)) } });
      break;
  }
}

void NoteLoad(gateway& aGateway, const backend_id& aBackend,
              const std::optional<observed_load>& aLoad, absl::Time aNow)
{
  auto view = aGateway.mViews.find(aBackend);
  if (!aLoad || view == aGateway.mViews.end()) {
    return;
  }
  load_report report;
  report.mBackend = aBackend;
  report.mSequence = ++aGateway.mLoadSequence;
  report.mRunning = aLoad->mRunning;
  report.mQueued = aLoad->mQueued;
  report.mLoadedModels = view->second.mConfig.mModels;
  RecordLoadReport(view->second, report, aNow);
}

// Takes what the attempt says about the request and its server, and sets the
// error that the caller gets if this was the last attempt.
void LearnFromAttempt(gateway& aGateway, forwarded_request& aRequest,
                      const attempt_report& aReport, absl::Time aNow)
{
  aRequest.mEvents = std::max(aRequest.mEvents, aReport.mEvents);
  const backend_id backend = aRequest.mBackend;
  NoteLoad(aGateway, backend, aReport.mLoad, aNow);
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
                  "the backend server answered with a failure");
      break;
    case attempt_outcome::NotRun: {
      auto view = aGateway.mViews.find(backend);
      const bool full = view != aGateway.mViews.end() && aReport.mLoad &&
                        aReport.mLoad->mRunning + aReport.mLoad->mQueued >=
                          view->second.mConfig.mMaxConcurrency;
      failed = !full && !aReport.mWrongServer;
      aRequest.mMayHaveExecuted = aRequest.mRanBefore;
      aRequest.mError = MakeError(error_code::Overloaded, executed::No,
                                  "the backend server did not take it");
      break;
    }
    case attempt_outcome::NotSent:
      --aRequest.mSent;
      aRequest.mMayHaveExecuted = aRequest.mRanBefore;
      aRequest.mError = MakeError(error_code::NoBackendServer, executed::No,
                                  "the backend server cannot be reached");
      break;
    case attempt_outcome::Broken:
      aRequest.mError = MakeError(error_code::OutcomeUnknown, executed::Unknown,
                                  "the connection to the backend server broke");
      break;
    case attempt_outcome::BrokenMidway:
      aRequest.mError = MakeError(error_code::StreamBroken, executed::Yes,
                                  "the backend server broke off its answer");
      break;
  }
  aRequest.mRanBefore = aRequest.mMayHaveExecuted;
  aRequest.mLastUnsent = aReport.mOutcome == attempt_outcome::NotSent;
  EndAttempt(aGateway, aRequest, failed, aNow);
  if (aReport.mWrongServer) {
    ForgetBackend(aGateway, backend, aNow);
  }
}

void NoteFinished(gateway& aGateway, const forwarded_request& aRequest,
                  const attempt_report& aReport, const backend_id& aBackend,
                  absl::Time aNow)
{
  RecordDecision(aGateway, decision::RequestFinished,
                 { { "request", aRequest.mCaller.mAttemptId },
                   { "attempt", absl::StrCat(aReport.mAttempt) },
                   { "backend", aBackend.mValue },
                   { "outcome", std::string(ToName(aReport.mOutcome)) },
                   { "status", absl::StrCat(aReport.mStatus) },
                   { "events", absl::StrCat(aReport.mEvents) },
                   { "workspace", aRequest.mWorkspace.mValue },
                   { "spent", absl::StrCat(SpentTokens(aRequest)) },
                   { "total_ms", absl::StrCat(absl::ToInt64Milliseconds(
                                   aNow - aRequest.mArrivedAt)) } });
}

} // namespace

void FireRequest(gateway& aGateway, request_handle aHandle,
                 forward_event aEvent, absl::Time aNow)
{
  auto found = aGateway.mRequests.find(aHandle);
  if (found == aGateway.mRequests.end()) {
    return;
  }
  forwarded_request& request = *found->second;
  const forward_context context{ aGateway, request, aNow };
  for (forward_action action : Fire(aGateway.mCharts.mForward, request.mStatus,
                                    aEvent, context, &Evaluate)) {
    Perform(aGateway, request, action, aNow);
    // An action may have ended the request through an event of its own.
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
  const auto admitted = Admit(aGateway, *request, aNow);
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

void OnAttempt(gateway& aGateway, const attempt_report& aReport,
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
  LearnFromAttempt(aGateway, request, aReport, aNow);
  NoteFinished(aGateway, request, aReport, backend, aNow);
  FireRequest(aGateway, aReport.mHandle,
              aReport.mOutcome == attempt_outcome::Delivered
                ? forward_event::Delivered
                : forward_event::AttemptFailed,
              aNow);
}

void OnFirstByte(gateway& aGateway, const first_byte& aEvent, absl::Time aNow)
{
  auto found = aGateway.mRequests.find(aEvent.mHandle);
  if (found == aGateway.mRequests.end() ||
      found->second->mAttempts != aEvent.mAttempt) {
    return;
  }
  found->second->mAnswering = true;
  NoteLoad(aGateway, found->second->mBackend, aEvent.mLoad, aNow);
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
  const bool isSilent = !request.mAnswering &&
                        !request.mBackend.mValue.empty() &&
                        aNow - request.mDispatchedAt >
                          kSilentObjectives * request.mRoute.mObjective;
  if (isSilent) {
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
                "the time allowed for the request is over");
    if (!request.mBackend.mValue.empty()) {
      EndAttempt(aGateway, request, !request.mAnswering, aNow);
    }
    FireRequest(aGateway, handle, forward_event::Deadline, aNow);
  }
}

} // namespace foxtailquay
