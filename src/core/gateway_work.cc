// What a gateway learns from its requests about their work and about the speed
// of servers.

#include "gateway_work.h"

#include "gateway_capacity.h"
#include "gateway_statements.h"

namespace foxtailquay {

namespace {

// Backlog relative to a request's own tokens from which the request counts as
// having waited.
constexpr double kMaxUncountedWait = 0.25;

work_features MakeWorkFeatures(const forwarded_request& aRequest,
                               token_count aCached)
{
  work_features features;
  features.mService = aRequest.mService.mValue;
  features.mRoute = aRequest.mRoute.mName;
  features.mIsEngine = aRequest.mIsEngine;
  features.mPromptTokens = aRequest.mCaller.mPromptTokens;
  features.mCachedTokens = aCached;
  features.mMaxOutputTokens = aRequest.mCaller.mMaxOutputTokens;
  features.mLengthHint = aRequest.mCaller.mLengthHint;
  return features;
}

} // namespace

work_estimate EstimateRequestWork(const gateway& aGateway,
                                  const forwarded_request& aRequest,
                                  token_count aCached, absl::Time aNow)
{
  return EstimateWork(aGateway.mWork, MakeWorkFeatures(aRequest, aCached),
                      aNow);
}

double StartWork(gateway& aGateway, forwarded_request& aRequest,
                 const backend_id& aBackend, const routing_query& aQuery,
                 absl::Time aNow)
{
  backend_view& view = aGateway.mViews[aBackend];
  const token_count uncached =
    EstimateUncachedTokens(view, aQuery, aGateway.mRouting, aNow);
  const double tokens = static_cast<double>(uncached);
  const double backlog = EstimateBacklog(
    view.mRemaining, GetPromptRate(view, aGateway.mRouting), aNow);
  RecordPrompt(aGateway, aBackend, uncached, aQuery, aNow);
  RecordDispatch(view, aQuery, aGateway.mRouting, aNow);
  request_work& work = aRequest.mWork;
  work = {};
  work.mUncachedTokens = uncached;
  work.mFirstAt = aNow;
  work.mHasWaited = view.mReport.mQueued > 0 ||
                    (aRequest.mIsEngine ? backlog > kMaxUncountedWait * tokens
                                        : view.mReport.mRunning + 1 >=
                                            view.mConfig.mMaxConcurrency);
  if (aRequest.mIsEngine) {
    StartWaiting(view.mRemaining, work.mPrompt, tokens);
  }
  RecordLimitedDispatch(aGateway, view, aNow);
  return backlog;
}

void RecordFirstEvent(gateway& aGateway, forwarded_request& aRequest,
                      const std::optional<observed_load>& aLoad,
                      absl::Time aNow)
{
  backend_view* view = FindAttemptView(aGateway, aRequest);
  if (view == nullptr) {
    return;
  }
  request_work& work = aRequest.mWork;
  work.mFirstAt = aNow;
  work.mHasWaited = work.mHasWaited || (aLoad && aLoad->mQueued > 0);
  RecordFirstOutput(view->mRemaining, work.mPrompt,
                    GetPromptRate(*view, aGateway.mRouting), aNow);
}

void RecordWork(gateway& aGateway, forwarded_request& aRequest,
                const attempt_report& aReport, absl::Time aNow)
{
  // The load of a response whose start was reported is as old as that start.
  if (!aRequest.mHasResponseStarted) {
    RecordLoad(aGateway, aRequest, aReport.mLoad, aNow);
  }
  backend_view* view = FindAttemptView(aGateway, aRequest);
  if (aReport.mOutcome != attempt_outcome::Delivered ||
      aReport.mStatus >= 400 || aRequest.mAttempts != 1 || view == nullptr) {
    return;
  }
  const request_work& work = aRequest.mWork;
  measured_run run;
  run.mTotalTime = aNow - aRequest.mDispatchedAt;
  run.mFirstTime = aRequest.mHasResponseStarted
                     ? work.mFirstAt - aRequest.mDispatchedAt
                     : run.mTotalTime;
  run.mEvents = aReport.mEvents;
  run.mTokensPerEvent = aRequest.mTokensPerEvent;
  run.mUncachedTokens = work.mUncachedTokens;
  run.mHasWaited =
    work.mHasWaited || (aReport.mLoad && aReport.mLoad->mQueued > 0);
  const token_count cached =
    aRequest.mCaller.mPromptTokens - work.mUncachedTokens;
  RecordRun(aGateway.mWork, MakeWorkFeatures(aRequest, cached), run,
            view->mSpeed, aNow);
  if (aReport.mLoad) {
    RecordUsualLoad(aGateway.mWork, aRequest.mService.mValue,
                    aReport.mLoad->mRunning + aReport.mLoad->mQueued, aNow);
  }
}

void EndWork(forwarded_request& aRequest, backend_view& aView)
{
  StopWaiting(aView.mRemaining, aRequest.mWork.mPrompt);
}

void AdvanceWork(gateway& aGateway, absl::Time aNow)
{
  for (auto& [id, view] : aGateway.mViews) {
    const auto listing = aGateway.mListings.find(id);
    if (HasEvidence(view.mStatements) && listing != aGateway.mListings.end()) {
      PoolStatedSlowness(aGateway.mWork, listing->second.mEntry.mService.mValue,
                         view.mStatements, aNow);
    }
  }
  UpdateSlownessPeriods(aGateway.mWork);
  for (auto& [id, view] : aGateway.mViews) {
    const auto listing = aGateway.mListings.find(id);
    if (listing != aGateway.mListings.end()) {
      view.mRates =
        EstimateRates(aGateway.mWork, listing->second.mEntry.mService.mValue,
                      view.mSpeed, aNow);
    }
  }
}

} // namespace foxtailquay
