// Caller requests of a router: admission, dispatch, retries and responses.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

error MakeError(error_code aCode, executed aExecuted, std::string aField,
                std::string aDetail, absl::Duration aRetryAfter)
{
  return error{ aCode, aExecuted, std::move(aField), std::move(aDetail),
                aRetryAfter };
}

namespace {

backend_kind GetBackendKind(const request_state& aRequest)
{
  return aRequest.mCallerRequest.mKind == request_kind::Completion
           ? backend_kind::Engine
           : backend_kind::Service;
}

routing_query MakeRoutingQuery(const router_state& aState,
                               const request_state& aRequest)
{
  routing_query query;
  query.mKind = GetBackendKind(aRequest);
  query.mTarget = aRequest.mCallerRequest.mTarget;
  query.mZone = aState.mNode.mSettings.mZone;
  query.mPrefixes = aRequest.mCallerRequest.mPrefixes;
  query.mPriority = aRequest.mPriority;
  query.mPromptTokens = aRequest.mCallerRequest.mPromptTokensBound;
  query.mExcludedBackends = aRequest.mTriedBackends;
  return query;
}

// Returns the cost of the current attempt by its usage, at most the worst-case
// cost that was reserved.
token_count ComputeCost(const request_state& aRequest)
{
  if (aRequest.mCallerRequest.mKind == request_kind::ServiceCall) {
    return aRequest.mCallPrice;
  }
  const token_count cost =
    aRequest.mUsage.mPromptTokens * aRequest.mPromptPrice +
    aRequest.mUsage.mCompletionTokens * aRequest.mCompletionPrice;
  return std::min(cost, aRequest.mWorstCaseCost);
}

// Returns the cost of a run without a complete response. A completion without
// completion tokens costs nothing, since nothing reached the caller. A service
// call costs its price unless it is known that it was not executed.
token_count ComputeInterruptedCost(const request_state& aRequest)
{
  if (aRequest.mCallerRequest.mKind == request_kind::ServiceCall) {
    return aRequest.mError.mExecuted == executed::No ? 0 : aRequest.mCallPrice;
  }
  return aRequest.mUsage.mCompletionTokens > 0 ? ComputeCost(aRequest) : 0;
}

struct request_context
{
  const router_state& mState;
  const request_state& mRequest;
  absl::Time mNow;
};

// Returns true if another attempt is safe, the caller still waits for the
// response, and the attempt limit, retry budget and deadline allow it.
bool MayRetryRequest(const request_context& aContext)
{
  const request_state& request = aContext.mRequest;
  const bool safe = request.mError.mExecuted == executed::No ||
                    (request.mRepeatable && !request.mRelayed);
  return safe && !request.mHasResponse && !request.mCallerDisconnected &&
         MayRetry(aContext.mState.mRetries, request.mAttempts,
                  request.mDeadline, aContext.mNow,
                  aContext.mState.mRetryOptions);
}

bool EvaluateGuard(request_guard aGuard, const request_context& aContext)
{
  const request_state& request = aContext.mRequest;
  switch (aGuard) {
    case request_guard::NeedsClaim:
      return !request.mRepeatable && !request.mHasClaim &&
             !request.mCallerRequest.mIdempotencyKey.empty();
    case request_guard::HasClaim:
      return request.mHasClaim;
    case request_guard::MayRetry:
      return MayRetryRequest(aContext);
    case request_guard::RunsToCompletion:
      return !request.mRepeatable;
  }
  return false;
}

run_request MakeRunRequest(const router_state& aState,
                           const request_state& aRequest, absl::Time aNow)
{
  run_request run;
  run.mRequest = aRequest.mRun;
  run.mBackend = aRequest.mBackend;
  run.mKind = GetBackendKind(aRequest);
  run.mTarget = aRequest.mCallerRequest.mTarget;
  run.mConfigVersion = aState.mNode.mConfig.mVersion;
  run.mMaxTokens = aRequest.mMaxTokens;
  run.mMaxPromptTokens = aRequest.mCallerRequest.mPromptTokensBound;
  run.mPromptPrice = aRequest.mPromptPrice;
  run.mCompletionPrice = aRequest.mCompletionPrice;
  run.mCallPrice = aRequest.mCallPrice;
  run.mPriority = aRequest.mPriority;
  run.mTimeout = aRequest.mDeadline - aNow;
  run.mMethod = aRequest.mCallerRequest.mMethod;
  run.mPath = aRequest.mCallerRequest.mPath;
  run.mContentType = aRequest.mCallerRequest.mContentType;
  run.mBody = aRequest.mCallerRequest.mBody;
  run.mStream = aRequest.mCallerRequest.mStream;
  return run;
}

void Dispatch(router_state& aState, request_state& aRequest, absl::Time aNow)
{
  const routing_query query = MakeRoutingQuery(aState, aRequest);
  const auto chosen = ChooseBackend(aState.mBackends, query, aState.mRouting,
                                    aNow, aState.mNode.mRandom);
  if (!chosen) {
    FailRequest(
      aState, aRequest, request_event::Refused,
      MakeError(error_code::NoBackendServer, executed::No, "",
                absl::StrCat("no backend server can take \"",
                             aRequest.mCallerRequest.mTarget, "\" now"),
                absl::Seconds(1)),
      aNow);
    return;
  }
  backend_view& view = aState.mBackends[*chosen];
  aRequest.mBackend = *chosen;
  aRequest.mAgentIncarnation =
    aState.mNode.mMembers.mMembers.at(view.mAgent).mIncarnation;
  aRequest.mUsage = {};
  if (aRequest.mAttempts++ == 0) {
    RecordFirstAttempt(aState.mRetries, aState.mRetryOptions);
  }
  RecordDispatch(view, query, aState.mRouting, aNow);
  aState.mAcknowledgeTo[aRequest.mRun] = view.mAgent;
  aState.mActions.emplace_back(
    dispatch_action{ aRequest.mHandle, view.mAgent, view.mAddress,
                     MakeEnvelope(aState.mNode, message{}),
                     MakeRunRequest(aState, aRequest, aNow) });
}

void ScheduleRetry(router_state& aState, request_state& aRequest,
                   absl::Time aNow)
{
  const absl::Duration delay =
    ConsumeRetry(aState.mRetries, aRequest.mAttempts, aState.mRetryOptions,
                 aState.mNode.mRandom);
  // An agent that refused because this router's configuration is older can
  // accept the next attempt.
  if (aRequest.mError.mCode != error_code::StaleConfig) {
    aRequest.mTriedBackends.insert(aRequest.mBackend);
  }
  StartTimer(aState, aRequest, request_timer::RetryDue, aNow + delay);
}

// Sends the response to the caller, unless one has been sent.
void SendCallerResponse(router_state& aState, request_state& aRequest,
                        caller_response aResponse)
{
  if (aRequest.mHasResponse) {
    return;
  }
  aRequest.mHasResponse = true;
  aState.mActions.emplace_back(
    caller_response_action{ aRequest.mHandle, std::move(aResponse) });
}

void PerformAction(router_state& aState, request_state& aRequest,
                   request_action aAction, absl::Time aNow)
{
  switch (aAction) {
    case request_action::Reserve:
      aRequest.mAdmitted = true;
      ReserveForRequest(aState, aRequest, aNow);
      break;
    case request_action::ReleaseReservation:
    case request_action::SettleUnrun:
      SettleRun(aState, aRequest, 0, aNow);
      break;
    case request_action::SubmitClaim:
      SubmitClaim(aState, aRequest, aNow);
      break;
    case request_action::ReleaseClaim:
      ReleaseClaim(aState, aRequest, aNow);
      break;
    case request_action::Dispatch:
      Dispatch(aState, aRequest, aNow);
      break;
    case request_action::CancelRun:
      aState.mActions.emplace_back(
        cancel_run_action{ aRequest.mHandle, aRequest.mRun });
      break;
    case request_action::Settle:
      SettleRun(aState, aRequest,
                aRequest.mResponse.mComplete ? ComputeCost(aRequest)
                                             : ComputeInterruptedCost(aRequest),
                aNow);
      break;
    case request_action::StoreAnswer:
      StoreAnswer(aState, aRequest, aNow);
      break;
    case request_action::ScheduleRetry:
      ScheduleRetry(aState, aRequest, aNow);
      break;
    case request_action::AnswerSuccess:
      SendCallerResponse(aState, aRequest, response_relayed{ aRequest.mUsage });
      break;
    case request_action::AnswerReplay:
      SendCallerResponse(aState, aRequest, aRequest.mResponse);
      break;
    case request_action::AnswerError:
      if (aRequest.mMayHaveExecuted &&
          aRequest.mError.mExecuted == executed::No) {
        aRequest.mError.mExecuted = executed::Unknown;
      }
      SendCallerResponse(aState, aRequest, aRequest.mError);
      break;
  }
}

void FinishRequest(router_state& aState, request_state& aRequest)
{
  if (aRequest.mFinished) {
    return;
  }
  aRequest.mFinished = true;
  // A disconnected caller needs a response as well: the thread that serves its
  // connection waits for one.
  SendCallerResponse(aState, aRequest,
                     MakeError(error_code::CallerDisconnected,
                               executed::Unknown, "",
                               "the caller has disconnected"));
  CancelWaiting(aState, aRequest);
  if (aRequest.mAdmitted) {
    RecordRequestEnd(aState.mAdmission, aRequest.mWorkspace);
  } else {
    CancelQueued(aState.mAdmission, aRequest.mHandle);
  }
  aState.mFinishedRequests.push_back(aRequest.mHandle);
}

// Returns the request of a run event, or null if the event does not belong to
// the request's current attempt.
request_state* FindRequestOfRun(router_state& aState, request_handle aHandle,
                                const request_id& aRun)
{
  const auto found = aState.mRequests.find(aHandle);
  if (found == aState.mRequests.end() || !(found->second.mRun == aRun)) {
    return nullptr;
  }
  return &found->second;
}

// Records the end of the current attempt in the view of its backend server.
void RecordAttemptEnd(router_state& aState, const request_state& aRequest,
                      bool aFailed, absl::Time aNow)
{
  const auto view = aState.mBackends.find(aRequest.mBackend);
  if (view != aState.mBackends.end()) {
    RecordRunEnd(view->second, aFailed, aState.mRouting, aNow,
                 &aState.mNode.mCharts->mBackend);
  }
}

// Returns true for refusals that are no evidence of a failing backend server.
bool IsNonFailureRefusal(error_code aCode)
{
  return aCode == error_code::StaleConfig ||
         aCode == error_code::StaleIncarnation ||
         aCode == error_code::Overloaded ||
         aCode == error_code::BackendServerLeaving;
}

// Numbers of runs that the backend servers of a target can execute at once.
struct target_slots
{
  int mFree = 0;
  int mTotal = 0;
};

// Returns the estimated slots for the queue of a target. A model and a service
// of the same name share a queue, so the slots of both are added.
target_slots EstimateTargetSlots(const router_state& aState,
                                 const std::string& aTarget, absl::Time aNow)
{
  target_slots slots;
  for (backend_kind kind : { backend_kind::Engine, backend_kind::Service }) {
    routing_query query;
    query.mKind = kind;
    query.mTarget = aTarget;
    slots.mFree +=
      EstimateFreeSlots(aState.mBackends, query, aState.mRouting, aNow);
    slots.mTotal += CountSlots(aState.mBackends, query, aState.mRouting, aNow);
  }
  return slots;
}

// Returns the error for a request whose tokens were not reserved in time. It is
// BudgetExhausted if the router has a share and no grant is pending, else
// StoreUnavailable: the store has not responded to the requested grant.
error MakeFundingError(const router_state& aState,
                       const request_state& aRequest)
{
  const auto share = aState.mShares.find(aRequest.mBudget);
  if (share != aState.mShares.end() && !share->second.mGrantPending) {
    return MakeError(error_code::BudgetExhausted, executed::No, "",
                     absl::StrCat("budget \"", aRequest.mBudget.mValue,
                                  "\" cannot cover the request's worst-case "
                                  "cost of ",
                                  aRequest.mWorstCaseCost, " tokens"));
  }
  return MakeError(error_code::StoreUnavailable, executed::No, "",
                   "this router's share of the budget is used up and cannot "
                   "be renewed now",
                   absl::Seconds(1));
}

} // namespace

void StartTimer(router_state& aState, const request_state& aRequest,
                request_timer aTimer, absl::Time aAt)
{
  aState.mTimers.emplace(aAt, aRequest.mHandle, aTimer);
}

void FireRequest(router_state& aState, request_state& aRequest,
                 request_event aEvent, absl::Time aNow)
{
  const auto actions =
    Fire(aState.mNode.mCharts->mRequest, aRequest.mStatus, aEvent,
         request_context{ aState, aRequest, aNow }, &EvaluateGuard);
  for (request_action action : actions) {
    PerformAction(aState, aRequest, action, aNow);
  }
  if (aRequest.mStatus == request_status::Done) {
    FinishRequest(aState, aRequest);
  }
}

void FailRequest(router_state& aState, request_state& aRequest,
                 request_event aEvent, error aError, absl::Time aNow)
{
  aRequest.mError = std::move(aError);
  FireRequest(aState, aRequest, aEvent, aNow);
}

void OnCallerRequest(router_state& aState, caller_request_event aEvent,
                     absl::Time aNow)
{
  const request_handle handle = aEvent.mHandle;
  request_state& request = aState.mRequests[handle];
  request.mHandle = handle;
  request.mCallerRequest = std::move(aEvent);
  auto prepared = PrepareRequest(aState, request, aNow);
  if (!IsOk(prepared)) {
    FailRequest(aState, request, request_event::Refused, GetError(prepared),
                aNow);
    return;
  }
  StartTimer(aState, request, request_timer::Deadline, request.mDeadline);
  const auto& config = aState.mNode.mConfig;
  const admission_request admissionRequest{ handle,
                                            request.mWorkspace,
                                            request.mCallerRequest.mTarget,
                                            request.mPriority,
                                            request.mDeadline,
                                            request.mWorstCaseCost };
  const routing_query query = MakeRoutingQuery(aState, request);
  const admission_decision decision =
    Admit(aState.mAdmission, admissionRequest,
          config.mWorkspaces.at(request.mWorkspace), config.mFleet,
          EstimateFreeSlots(aState.mBackends, query, aState.mRouting, aNow),
          aNow, CountSlots(aState.mBackends, query, aState.mRouting, aNow));
  switch (decision.mOutcome) {
    case admission_outcome::Admitted:
      FireRequest(aState, request, request_event::Admitted, aNow);
      break;
    case admission_outcome::Queued:
      FireRequest(aState, request, request_event::Enqueued, aNow);
      break;
    case admission_outcome::Refused:
      FailRequest(aState, request, request_event::Refused, decision.mError,
                  aNow);
      break;
  }
}

void AdmitQueued(router_state& aState, absl::Time aNow)
{
  for (const std::string& target : ListQueuedTargets(aState.mAdmission)) {
    const target_slots slots = EstimateTargetSlots(aState, target, aNow);
    for (request_handle handle : TakeAdmitted(
           aState.mAdmission, target, slots.mFree, aNow, slots.mTotal)) {
      const auto found = aState.mRequests.find(handle);
      if (found != aState.mRequests.end()) {
        FireRequest(aState, found->second, request_event::Admitted, aNow);
      }
    }
  }
  for (request_handle handle : TakeExpired(aState.mAdmission, aNow)) {
    const auto found = aState.mRequests.find(handle);
    if (found != aState.mRequests.end()) {
      FailRequest(aState, found->second, request_event::Refused,
                  MakeError(error_code::Overloaded, executed::No, "",
                            "no backend server became free in time",
                            absl::Seconds(1)),
                  aNow);
    }
  }
}

void AdvanceTimers(router_state& aState, absl::Time aNow)
{
  while (!aState.mTimers.empty() &&
         std::get<absl::Time>(*aState.mTimers.begin()) <= aNow) {
    const auto [at, handle, timer] = *aState.mTimers.begin();
    aState.mTimers.erase(aState.mTimers.begin());
    const auto found = aState.mRequests.find(handle);
    if (found == aState.mRequests.end()) {
      continue;
    }
    request_state& request = found->second;
    switch (timer) {
      case request_timer::Deadline: {
        const bool sent = request.mStatus == request_status::Dispatching ||
                          request.mStatus == request_status::Running;
        FailRequest(aState, request, request_event::Deadline,
                    MakeError(error_code::DeadlineExceeded,
                              sent ? executed::Unknown : executed::No, "",
                              "the request's deadline has passed"),
                    aNow);
        break;
      }
      case request_timer::FundingDeadline:
        if (request.mStatus == request_status::Funding &&
            request.mFundingDeadline <= aNow) {
          FailRequest(aState, request, request_event::Unfunded,
                      MakeFundingError(aState, request), aNow);
        }
        break;
      case request_timer::RetryDue:
        FireRequest(aState, request, request_event::RetryDue, aNow);
        break;
      case request_timer::ClaimTimeout:
      case request_timer::ClaimPoll:
        OnClaimTimer(aState, request, timer, aNow);
        break;
    }
  }
}

void RemoveFinished(router_state& aState)
{
  for (request_handle handle : aState.mFinishedRequests) {
    const auto found = aState.mRequests.find(handle);
    if (found != aState.mRequests.end()) {
      aState.mTimers.erase(
        { found->second.mDeadline, handle, request_timer::Deadline });
      aState.mRequests.erase(found);
    }
  }
  aState.mFinishedRequests.clear();
}

void OnRunAccepted(router_state& aState, const run_accepted_event& aEvent,
                   absl::Time aNow)
{
  if (request_state* request =
        FindRequestOfRun(aState, aEvent.mHandle, aEvent.mRequest)) {
    FireRequest(aState, *request, request_event::RunAccepted, aNow);
  }
}

void OnRunRefused(router_state& aState, const run_refused_event& aEvent,
                  absl::Time aNow)
{
  request_state* request =
    FindRequestOfRun(aState, aEvent.mHandle, aEvent.mRequest);
  if (request == nullptr) {
    return;
  }
  RecordAttemptEnd(aState, *request, !IsNonFailureRefusal(aEvent.mError.mCode),
                   aNow);
  aState.mAcknowledgeTo.erase(aEvent.mRequest);
  const auto view = aState.mBackends.find(request->mBackend);
  if (view != aState.mBackends.end()) {
    if (aEvent.mError.mCode == error_code::StaleConfig) {
      Send(aState.mNode, view->second.mAgent, fetch_config_message{});
    }
    if (aEvent.mError.mCode == error_code::StaleIncarnation) {
      Send(aState.mNode, view->second.mAgent, fetch_members_message{});
    }
    if (aEvent.mError.mCode == error_code::BackendServerLeaving) {
      RecordLeaving(aState, view->second, aNow);
    }
  }
  error reason = aEvent.mError;
  reason.mExecuted = executed::No;
  FailRequest(aState, *request, request_event::RunRefused, std::move(reason),
              aNow);
}

void OnRunFinished(router_state& aState, run_finished_event aEvent,
                   absl::Time aNow)
{
  request_state* request =
    FindRequestOfRun(aState, aEvent.mHandle, aEvent.mRequest);
  if (request == nullptr) {
    return;
  }
  RecordAttemptEnd(aState, *request, false, aNow);
  request->mUsage = aEvent.mUsage;
  request->mResponse = std::move(aEvent.mResponse);
  request->mResponse.mComplete = true;
  FireRequest(aState, *request, request_event::RunFinished, aNow);
}

void OnRunFailed(router_state& aState, const run_failed_event& aEvent,
                 absl::Time aNow)
{
  request_state* request =
    FindRequestOfRun(aState, aEvent.mHandle, aEvent.mRequest);
  if (request == nullptr) {
    return;
  }
  RecordAttemptEnd(aState, *request,
                   request->mStatus != request_status::Cancelling, aNow);
  request->mUsage = aEvent.mUsage;
  request->mRelayed = request->mRelayed || aEvent.mRelayed;
  request->mResponse.mComplete = false;
  request->mMayHaveExecuted = true;
  error reason = aEvent.mError;
  // The run was sent, so only a refusal by the agent shows that it was not
  // executed.
  if (reason.mExecuted == executed::No) {
    reason.mExecuted = executed::Unknown;
  }
  FailRequest(aState, *request, request_event::RunFailed, std::move(reason),
              aNow);
}

} // namespace foxtailquay
