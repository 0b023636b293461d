#include "gateway_explain.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway_acquisition.h"
#include "gateway_capacity.h"
#include "gateway_choice.h"
#include "gateway_directory.h"
#include "gateway_placement.h"
#include "gateway_statements.h"
#include "gateway_waiters.h"
#include "gateway_work.h"

namespace foxtailquay {

namespace {

// A request that is decided on but not sent, and copies of what the decisions
// record.
struct trial
{
  const gateway& mGateway;
  absl::Time mNow;
  forwarded_request mRequest;
  random_engine mRandom;
  routing_options mRouting;
  // Absent until a server was chosen.
  std::optional<dispatch_choice> mChoice;
  explained_tokens mTokens;
};

double ToMilliseconds(absl::Duration aTime)
{
  return absl::ToDoubleMilliseconds(aTime);
}

// Returns the copy of an entry, or a new one if there is none.
template<typename Map>
typename Map::mapped_type CopyEntry(const Map& aMap,
                                    const typename Map::key_type& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? typename Map::mapped_type{} : found->second;
}

// Returns a key of the workspace; empty if it has none or does not exist.
std::string FindKey(const gateway& aGateway, const workspace_id& aWorkspace)
{
  if (!aGateway.mTable) {
    return {};
  }
  for (const traffic_workspace& each : aGateway.mTable->mConfig.mWorkspaces) {
    if (each.mId == aWorkspace && !each.mKeys.empty()) {
      return each.mKeys.front();
    }
  }
  return {};
}

forwarded_request MakeRequest(const gateway& aGateway,
                              const explain_query& aQuery, absl::Time aNow)
{
  forwarded_request request;
  caller_request& caller = request.mCaller;
  caller.mAttemptId = aQuery.mAttemptId;
  caller.mHost = aQuery.mHost;
  caller.mPath = aQuery.mPath;
  caller.mKey = aQuery.mWorkspace.mValue.empty()
                  ? aQuery.mKey
                  : FindKey(aGateway, aQuery.mWorkspace);
  caller.mCallerTimeout = aQuery.mTimeLeft;
  caller.mPromptTokens = aQuery.mPromptTokens;
  caller.mMaxOutputTokens = aQuery.mMaxOutputTokens;
  caller.mLengthHint = aQuery.mLengthHint;
  caller.mPromptParts = aQuery.mPromptParts;
  request.mStatus = GetInitialState(aGateway.mCharts.mForward);
  request.mArrivedAt = aNow;
  request.mDeadline = absl::InfiniteFuture();
  return request;
}

// Reserves tokens for the waiters in a copy of the tokens, in their order, and
// counts those that get theirs. Returns true if the request does.
bool ReserveInCopy(trial& aTrial, workspace_tokens& aTokens)
{
  const gateway& node = aTrial.mGateway;
  std::deque<token_waiter> waiters;
  waiters.swap(aTokens.mWaiters);
  waiters.push_back(MakeWaiter(aTrial.mRequest, aTrial.mNow));
  SortWaiters(waiters);
  bool isReserved = false;
  for (const token_waiter& waiter : waiters) {
    const bool isOwn = waiter.mCall == 0 && waiter.mHandle == 0;
    if (!ReserveForWaiter(aTokens, waiter, node.mSettings.mGrants,
                          MakeGrantClock(node, aTrial.mNow))) {
      if (isOwn || aTrial.mNow < waiter.mDeadline) {
        aTokens.mWaiters.push_back(waiter);
      }
    } else if (isOwn) {
      isReserved = true;
    } else {
      ++aTrial.mTokens.mServedWaiters;
    }
  }
  return isReserved;
}

// Decides where the tokens of the request come from. Returns the event that
// follows; nothing if the request waits.
std::optional<forward_event> ReserveTokens(trial& aTrial)
{
  const gateway& node = aTrial.mGateway;
  forwarded_request& request = aTrial.mRequest;
  if (!NeedsTokens(request)) {
    return forward_event::Funded;
  }
  workspace_tokens tokens =
    CopyEntry(node.mWorkspaceTokens, request.mWorkspace);
  aTrial.mTokens = { token_source::Held,
                     {},
                     request.mWorstCaseCost,
                     tokens.mShare.mFreeTokens,
                     ComputeTotal(tokens.mShare.mRecord),
                     tokens.mPrepaid };
  if (ReserveInCopy(aTrial, tokens)) {
    return forward_event::Funded;
  }
  const token_waiter waiter = MakeWaiter(request, aTrial.mNow);
  acquisition plan =
    PlanAcquisition(node, request.mWorkspace, tokens, aTrial.mNow);
  if (plan.mRecall) {
    tokens.mRecall = std::move(plan.mRecall->mRecall);
  }
  aTrial.mTokens.mSource = plan.mSource;
  aTrial.mTokens.mPeer = plan.mCoordinator.mPeer;
  const bool isUsedUp = plan.mSource == token_source::Grant &&
                        IsExhaustedWaiter(node, tokens, waiter, aTrial.mNow);
  if (plan.mSource == token_source::Unreachable) {
    for (token_waiter& each : tokens.mWaiters) {
      ReserveRestForPeer(tokens, each, node.mSettings.mGrants,
                         MakeGrantClock(node, aTrial.mNow));
    }
  }
  if (isUsedUp || plan.mSource == token_source::Unreachable ||
      aTrial.mNow >= waiter.mDeadline) {
    request.mError = MakeWaiterError(node, tokens, waiter, aTrial.mNow);
    return forward_event::Unfunded;
  }
  return std::nullopt;
}

void ChooseServer(trial& aTrial)
{
  const std::string& service = aTrial.mRequest.mService.mValue;
  cost_profile costs = CopyEntry(aTrial.mGateway.mCosts, service);
  service_pace pace = CopyEntry(aTrial.mGateway.mPaces, service);
  aTrial.mChoice =
    ChooseDispatch(aTrial.mGateway, aTrial.mRequest, aTrial.mRouting,
                   { costs, pace, aTrial.mRandom }, aTrial.mNow);
  aTrial.mRequest.mDemandRank = aTrial.mChoice->mDemandRank;
}

std::optional<forward_event> ChooseDispatchEvent(trial& aTrial)
{
  ChooseServer(aTrial);
  if (aTrial.mChoice->mMustWait) {
    return forward_event::NoRoom;
  }
  if (!aTrial.mChoice->mBackend) {
    aTrial.mRequest.mError =
      MakeUnroutableError(aTrial.mGateway, aTrial.mChoice->mQuery, aTrial.mNow);
    return forward_event::Unroutable;
  }
  return std::nullopt;
}

std::optional<forward_event> Enqueue(trial& aTrial)
{
  admission_state admission = aTrial.mGateway.mAdmission;
  auto refusal =
    QueueWaitingRequest(admission,
                        MakeWaitingRequest(aTrial.mGateway, aTrial.mRequest,
                                           aTrial.mRouting, aTrial.mNow),
                        aTrial.mRequest.mRoute, aTrial.mNow);
  if (!refusal) {
    return std::nullopt;
  }
  aTrial.mRequest.mError = *std::move(refusal);
  return forward_event::Refused;
}

// Computes what an action of the request's chart leads to. Returns the event
// that follows; nothing if there is none.
std::optional<forward_event> ComputeAction(trial& aTrial,
                                           forward_action aAction)
{
  switch (aAction) {
    case forward_action::Reserve:
      return ReserveTokens(aTrial);
    case forward_action::Dispatch:
      return ChooseDispatchEvent(aTrial);
    case forward_action::Enqueue:
      return Enqueue(aTrial);
    case forward_action::LeaveQueue:
    case forward_action::Settle:
    case forward_action::Refuse:
    case forward_action::PassFailure:
    case forward_action::Cancel:
      return std::nullopt;
  }
  return std::nullopt;
}

// Fires the event in the request's chart and follows it until the request is
// sent, waits or is refused.
void FollowChart(trial& aTrial, std::optional<forward_event> aEvent)
{
  while (aEvent) {
    const auto actions =
      FireForwardChart(aTrial.mGateway, aTrial.mRequest, *aEvent, aTrial.mNow);
    aEvent.reset();
    for (const forward_action action : actions) {
      const auto next = ComputeAction(aTrial, action);
      aEvent = next ? next : aEvent;
    }
  }
}

void RunTrial(trial& aTrial)
{
  const auto admitted =
    AdmitRequest(aTrial.mGateway, aTrial.mRequest, aTrial.mNow);
  if (!IsOk(admitted)) {
    aTrial.mRequest.mError = GetError(admitted);
  }
  FollowChart(aTrial, IsOk(admitted) ? forward_event::Admitted
                                     : forward_event::Refused);
}

explained_outcome GetOutcome(const trial& aTrial)
{
  switch (aTrial.mRequest.mStatus) {
    case forward_status::Running:
      return explained_outcome::Sent;
    case forward_status::Funding:
      return explained_outcome::WaitsForTokens;
    case forward_status::Waiting:
      return explained_outcome::WaitsForRoom;
    default:
      return explained_outcome::Refused;
  }
}

explained_server ExplainServer(const trial& aTrial,
                               const backend_assessment& aAssessment)
{
  const backend_view& view = *aAssessment.mView;
  const token_count prompt = aTrial.mRequest.mCaller.mPromptTokens;
  const work_estimate work = EstimateRequestWork(
    aTrial.mGateway, aTrial.mRequest,
    prompt - EstimateUncachedTokens(view, aTrial.mChoice->mQuery,
                                    aTrial.mRouting, aTrial.mNow),
    aTrial.mNow);
  explained_server server;
  server.mBackend = *aAssessment.mId;
  server.mAddress = view.mAddress;
  server.mZone = view.mConfig.mZone;
  server.mVerdict = aTrial.mChoice->mBackend == *aAssessment.mId
                      ? server_verdict::Chosen
                      : aAssessment.mVerdict;
  server.mDelayMs = ToMilliseconds(absl::Seconds(aAssessment.mDelay));
  server.mAffinityMs =
    ToMilliseconds(absl::Seconds(aAssessment.mAffinityPenalty));
  server.mTokensToProcess = work.mTokensToProcess;
  server.mTokensToProduce = work.mTokensToProduce;
  server.mSlotMs = ToMilliseconds(work.mSlotTime);
  server.mSpread = work.mSpread;
  server.mCachedFraction = aAssessment.mCachedFraction;
  server.mHealth = std::string(ToName(view.mStatus));
  server.mStart = std::string(ToName(view.mCold.mStatus));
  server.mLoad = aAssessment.mLoad;
  server.mOutstanding = view.mOutstanding;
  server.mMaxOutstanding = GetConcurrencyLimit(view, aTrial.mNow);
  server.mSlots = view.mConfig.mMaxConcurrency;
  if (view.mRateLimit.mStatus == rate_status::Limited) {
    server.mRateLimit = view.mRateLimit.mRate;
  }
  if (aAssessment.mNextRunAt > aTrial.mNow &&
      aAssessment.mNextRunAt != absl::InfiniteFuture()) {
    server.mNextRunMs = ToMilliseconds(aAssessment.mNextRunAt - aTrial.mNow);
  }
  if (view.mMemory.mCapacity > 0) {
    server.mMemoryTokens = view.mMemory.mCapacity;
    server.mHeldTokens =
      EstimateHeldTokens(view, aTrial.mChoice->mQuery.mMemory);
  }
  return server;
}

// Adds the servers of the service that are not used because of a withheld
// entry.
void ExplainWithheldEntries(const trial& aTrial, explanation& aExplanation)
{
  for (const auto& [id, withheld] : aTrial.mGateway.mWithheldEntries) {
    const backend_id& backend = id;
    const auto server = std::find_if(
      aExplanation.mServers.begin(), aExplanation.mServers.end(),
      [&](const auto& aEach) { return aEach.mBackend == backend; });
    if (server != aExplanation.mServers.end()) {
      if (server->mVerdict == server_verdict::Leaving) {
        server->mVerdict = server_verdict::Unconfirmed;
      }
    } else if (withheld.mEntry.mService == aExplanation.mService) {
      explained_server unlisted;
      unlisted.mBackend = backend;
      unlisted.mAddress = withheld.mEntry.mAddress;
      unlisted.mZone = withheld.mEntry.mZone;
      unlisted.mVerdict = server_verdict::Unconfirmed;
      unlisted.mSlots = withheld.mEntry.mSlots;
      aExplanation.mServers.push_back(std::move(unlisted));
    }
  }
}

// Adds the servers of the service. Precondition: a server was chosen.
void ExplainServers(const trial& aTrial, explanation& aExplanation)
{
  const dispatch_choice& choice = *aTrial.mChoice;
  aExplanation.mBackend = choice.mBackend.value_or(backend_id{});
  aExplanation.mDemandRank = std::string(ToName(choice.mDemandRank));
  aExplanation.mLimitedUse = std::string(ToName(choice.mQuery.mLimitedUse));
  for (const backend_assessment& each : AssessBackends(
         aTrial.mGateway.mViews, choice.mQuery, aTrial.mRouting, aTrial.mNow)) {
    aExplanation.mServers.push_back(ExplainServer(aTrial, each));
  }
  ExplainWithheldEntries(aTrial, aExplanation);
  std::sort(aExplanation.mServers.begin(), aExplanation.mServers.end(),
            [](const explained_server& aLeft, const explained_server& aRight) {
              return aLeft.mBackend < aRight.mBackend;
            });
}

void ExplainQueue(const trial& aTrial, explanation& aExplanation)
{
  const admission_state& admission = aTrial.mGateway.mAdmission;
  const admission_request waiting = MakeWaitingRequest(
    aTrial.mGateway, aTrial.mRequest, aTrial.mRouting, aTrial.mNow);
  aExplanation.mWaiting = CountQueued(admission, waiting.mTarget);
  if (aExplanation.mOutcome == explained_outcome::WaitsForRoom) {
    aExplanation.mWaitMs =
      ToMilliseconds(EstimateWait(admission, waiting.mTarget, waiting.mPriority,
                                  waiting.mWorkspace, waiting.mExpectedRate));
  }
}

} // namespace

explanation ExplainRequest(const gateway& aGateway, const explain_query& aQuery,
                           absl::Time aNow)
{
  trial trial{ aGateway,
               aNow,
               MakeRequest(aGateway, aQuery, aNow),
               aGateway.mRandom,
               aGateway.mRouting,
               std::nullopt,
               {} };
  trial.mRouting.mRouters = CountGateways(aGateway, aNow);
  RunTrial(trial);
  const forwarded_request& request = trial.mRequest;
  explanation explanation;
  explanation.mOutcome = GetOutcome(trial);
  if (explanation.mOutcome == explained_outcome::Refused) {
    explanation.mRefusal =
      explained_refusal{ request.mError.mCode, request.mError.mDetail,
                         request.mError.mRetryAfter };
  }
  explanation.mVersion =
    aGateway.mTable ? aGateway.mTable->mConfig.mVersion : 0;
  explanation.mRoute = request.mRoute.mName;
  explanation.mService = request.mService;
  explanation.mWorkspace = request.mWorkspace;
  explanation.mTokens = trial.mTokens;
  if (request.mService.mValue.empty()) {
    return explanation;
  }
  if (!trial.mChoice) {
    ChooseServer(trial);
  }
  ExplainServers(trial, explanation);
  ExplainQueue(trial, explanation);
  return explanation;
}

} // namespace foxtailquay
