// The gateway node: construction, event dispatch, periodic work, planned stop.

#include "foxtailquay/gateway.h"

#include <algorithm>
#include <limits>

#include "gateway_capacity.h"
#include "gateway_cold.h"
#include "gateway_directory.h"
#include "gateway_entries.h"
#include "gateway_evacuation.h"
#include "gateway_explain.h"
#include "gateway_server_share.h"
#include "gateway_state.h"
#include "gateway_statements.h"
#include "gateway_work.h"

namespace foxtailquay {

namespace {

// Parses the text of the chart file aFile into aChart. Errors: InvalidChart if
// the file is missing or malformed.
template<typename Chart>
result<success> ParseChartFile(const std::map<std::string, std::string>& aTexts,
                               const std::string& aFile, Chart& aChart)
{
  const auto text = aTexts.find(aFile);
  if (text == aTexts.end()) {
    return error{ error_code::InvalidChart, executed::No, aFile,
                  "missing chart file", absl::ZeroDuration() };
  }
  auto table = ParseChart(text->second, aFile, ListNamesOfChart(aChart));
  if (!IsOk(table)) {
    return GetError(table);
  }
  aChart.mTable = GetValue(std::move(table));
  return success{};
}

result<gateway_charts> ParseCharts(
  const std::map<std::string, std::string>& aTexts)
{
  gateway_charts charts;
  for (const result<success>& loaded :
       { ParseChartFile(aTexts, "forwarded_request.yaml", charts.mForward),
         ParseChartFile(aTexts, "directory.yaml", charts.mWatch),
         ParseChartFile(aTexts, "gateway_load.yaml", charts.mLoad),
         ParseChartFile(aTexts, "backend_server.yaml", charts.mBackend),
         ParseChartFile(aTexts, "rate_limit.yaml", charts.mRate),
         ParseChartFile(aTexts, "cold_start.yaml", charts.mCold),
         ParseChartFile(aTexts, "evacuation.yaml", charts.mEvacuation),
         ParseChartFile(aTexts, "stored_entry.yaml", charts.mEntry),
         ParseChartFile(aTexts, "grant_recovery.yaml", charts.mRecovery) }) {
    if (!IsOk(loaded)) {
      return GetError(loaded);
    }
  }
  return charts;
}

// Notices that the process did not run for a while: a tick is overdue.
void RecordPause(gateway& aGateway, absl::Time aNow)
{
  if (aNow - aGateway.mNextTickAt > kPauseTime) {
    aGateway.mEvacuations.mResumedAt = aNow;
  }
}

void UpdateReady(gateway& aGateway, absl::Time aNow)
{
  const bool isComplete =
    IsDirectoryKnown(aGateway) &&
    (aGateway.mReady || !IsAwaitingServers(aGateway, aNow));
  const bool ready = isComplete && !aGateway.mStopping && !IsShedding(aGateway);
  if (ready != aGateway.mReady) {
    aGateway.mReady = ready;
    aGateway.mActions.push_back(set_ready{ ready });
  }
}

void OnStopRequested(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mStopping) {
    return;
  }
  aGateway.mStopping = true;
  aGateway.mStopStartedAt = aNow;
  RecordDecision(
    aGateway, decision::StopStarted,
    { { "open_requests", std::to_string(aGateway.mRequests.size()) } });
  EndRegistration(aGateway, aNow);
}

// Ends a planned stop once no requests are open, but not before the load
// balancer has noticed the stop, and in any case before the platform kills the
// process.
void AdvanceStop(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mStopping || aGateway.mStopped) {
    return;
  }
  const absl::Time deadline =
    aGateway.mStopStartedAt + aGateway.mSettings.mStopTime - kGrantReturnTime;
  const bool isIdle = aGateway.mRequests.empty() &&
                      aNow >= aGateway.mStopStartedAt + kStopDrainTime;
  if (!isIdle && aNow < deadline) {
    return;
  }
  if (!IsReturningGrants(aGateway)) {
    aGateway.mReturnDeadline = aNow + kGrantReturnTime / 2;
  }
  if (ReturnAllTokens(aGateway, aNow) || aNow >= aGateway.mReturnDeadline) {
    aGateway.mStopped = true;
    aGateway.mActions.push_back(stop_finished{});
  }
}

// Does the work that is due at aNow.
void AdvanceGateway(gateway& aGateway, absl::Time aNow)
{
  AdvanceDeadlines(aGateway, aNow);
  AdvanceAdmission(aGateway, aNow);
  AdvancePromptReports(aGateway, aNow);
  if (aNow >= aGateway.mNextTickAt) {
    aGateway.mNextTickAt = aNow + kTickInterval;
    for (auto& view : aGateway.mViews) {
      AdvanceHealth(view.second, &aGateway.mCharts.mBackend, aGateway.mRouting,
                    aNow);
    }
    AdvanceWork(aGateway, aNow);
    AdvanceGrants(aGateway, aNow);
    AdvanceQuarantine(aGateway, aNow);
    RemoveExpiredPeers(aGateway, aNow);
    AdvanceNotices(aGateway, aNow);
    AdvanceWithheldEntries(aGateway, aNow);
    AdvanceColdServers(aGateway, aNow);
    AdvanceHoldings(aGateway, aNow);
    AdvanceStop(aGateway, aNow);
  }
  AdvanceWatches(aGateway, aNow);
  AdvanceRegistration(aGateway, aNow);
  AdvanceRecovery(aGateway, aNow);
}

struct event_handler
{
  gateway& mGateway;
  absl::Time mNow;

  void operator()(const caller_request& aEvent)
  {
    OnRequest(mGateway, aEvent, mNow);
  }
  void operator()(const attempt_report& aEvent)
  {
    OnAttemptReport(mGateway, aEvent, mNow);
  }
  void operator()(const first_byte& aEvent)
  {
    OnFirstByte(mGateway, aEvent, mNow);
  }
  void operator()(const caller_disconnected& aEvent)
  {
    OnCallerDisconnected(mGateway, aEvent, mNow);
  }
  void operator()(const directory_response& aEvent)
  {
    OnDirectoryResponse(mGateway, aEvent, mNow);
    AskForServers(mGateway, mNow);
  }
  void operator()(const grant_write_response& aEvent)
  {
    OnGrantWriteResponse(mGateway, aEvent, mNow);
    if (aEvent.mOutcome == grant_outcome::Unknown) {
      OnStoreCallFailed(mGateway, mNow);
    } else if (aEvent.mOutcome == grant_outcome::NotWritten) {
      CheckStoreNow(mGateway, mNow);
    }
    if (IsReturningGrants(mGateway)) {
      AdvanceStop(mGateway, mNow);
    }
  }
  void operator()(const registration_response& aEvent)
  {
    OnRegistrationResponse(mGateway, aEvent, mNow);
  }
  void operator()(const tokens_requested& aEvent)
  {
    OnTokensRequested(mGateway, aEvent, mNow);
  }
  void operator()(const tokens_recalled& aEvent)
  {
    OnTokensRecalled(mGateway, aEvent, mNow);
  }
  void operator()(const tokens_returned& aEvent)
  {
    OnTokensReturned(mGateway, aEvent, mNow);
  }
  void operator()(const token_response_received& aEvent)
  {
    OnTokenResponse(mGateway, aEvent, mNow);
  }
  void operator()(const prompts_reported& aEvent)
  {
    OnPromptsReported(mGateway, aEvent, mNow);
  }
  void operator()(const load_measured& aEvent)
  {
    OnLoadMeasured(mGateway, aEvent, mNow);
  }
  void operator()(const server_probed& aEvent)
  {
    OnServerProbed(mGateway, aEvent, mNow);
    OnColdProbe(mGateway, aEvent, mNow);
  }
  void operator()(const crash_report_write_response& aEvent)
  {
    OnCrashReportWriteResponse(mGateway, aEvent, mNow);
    if (!aEvent.mIsWritten) {
      OnStoreCallFailed(mGateway, mNow);
    }
  }
  void operator()(const grants_read& aEvent)
  {
    OnGrantsRead(mGateway, aEvent, mNow);
    if (!aEvent.mIsRead) {
      OnStoreCallFailed(mGateway, mNow);
    }
  }
  void operator()(const grants_shared& aEvent)
  {
    OnGrantsShared(mGateway, aEvent, mNow);
  }
  void operator()(const share_response_received& aEvent)
  {
    OnShareResponse(mGateway, aEvent, mNow);
  }
  void operator()(const servers_requested& aEvent)
  {
    mGateway.mActions.push_back(
      send_servers{ aEvent.mCall, ListKnownServers(mGateway) });
  }
  void operator()(const servers_received& aEvent)
  {
    OnServersReceived(mGateway, aEvent, mNow);
  }
  void operator()(const explain_requested& aEvent)
  {
    mGateway.mActions.push_back(send_explanation{
      aEvent.mCall, ExplainRequest(mGateway, aEvent.mQuery, mNow) });
  }
  void operator()(const gateway_tick&) { AdvanceGateway(mGateway, mNow); }
  void operator()(const stop_requested&) { OnStopRequested(mGateway, mNow); }
};

// Returns the routing options of a gateway. Engines process 60 to 100 prompt
// tokens in a millisecond according to their published values. The affinity
// weight is 8: a lower one has more shared parts processed again
// (docs/design/work-estimates.md). Load values arrive with
// responses, so the report lag is short. All gateways compare all servers: with
// a subset for each, the affinity of a prompt would select another engine at
// each gateway, and each of these engines would process the shared tokens.
routing_options MakeRoutingOptions(const gateway_settings& aSettings)
{
  routing_options options;
  options.mRouter = member_id{ aSettings.mName };
  options.mSampleSize = 0;
  options.mSubsetSize = std::numeric_limits<int>::max();
  options.mReportLag = absl::Milliseconds(5);
  options.mMaxAssumedPeers = 0;
  options.mZoneDelay = absl::Milliseconds(5);
  options.mRunTime = absl::Seconds(1);
  options.mPrefillTokensPerSecond = 60000;
  options.mEjectionTime = absl::Seconds(2);
  options.mMaxEjectionTime = absl::Seconds(8);
  options.mProbeSuccesses = 3;
  options.mMaxPrefixes = 512;
  options.mAffinityWeight = 8;
  return options;
}

} // namespace

void gateway_deleter::operator()(gateway* aGateway) const
{
  delete aGateway;
}

void RecordDecision(gateway& aGateway, decision aDecision,
                    decision_inputs aInputs)
{
  aGateway.mActions.push_back(decision_record{ aDecision, std::move(aInputs) });
}

error MakeError(error_code aCode, executed aExecuted, std::string aDetail)
{
  return error{ aCode, aExecuted, "", std::move(aDetail), kRetryAfter };
}

result<gateway_ptr> MakeGateway(
  gateway_settings aSettings,
  const std::map<std::string, std::string>& aChartTexts)
{
  auto charts = ParseCharts(aChartTexts);
  if (!IsOk(charts)) {
    return GetError(charts);
  }
  gateway_ptr node(new gateway);
  node->mCharts = GetValue(std::move(charts));
  const auto partChart =
    ParseChartFile(aChartTexts, "crash_suspect.yaml", node->mQuarantine.mChart);
  if (!IsOk(partChart)) {
    return GetError(partChart);
  }
  node->mRandom.seed(aSettings.mSeed);
  node->mRouting = MakeRoutingOptions(aSettings);
  node->mRoomRouting = MakeRoomRouting(node->mRouting);
  node->mAdmission.mOptions = MakeAdmissionOptions();
  node->mWork.mPriors.mPromptTokensPerSecond =
    node->mRouting.mPrefillTokensPerSecond;
  node->mWork.mPriors.mSlotTime = node->mRouting.mRunTime;
  node->mWork.mPriors.mCallTime = node->mRouting.mCallTime;
  node->mHolder.mId = aSettings.mName + "/" + aSettings.mNonce;
  node->mSettings = std::move(aSettings);
  return node;
}

gateway_actions Start(gateway& aGateway, absl::Time aNow)
{
  aGateway.mNextTickAt = aNow + kTickInterval;
  aGateway.mHolder.mStart = { aGateway.mSettings.mBoot,
                              MakeGrantClock(aGateway, aNow).mSteadyMs };
  StartWatches(aGateway, aNow);
  StartRecovery(aGateway, aNow);
  AdvanceWatches(aGateway, aNow);
  AdvanceRegistration(aGateway, aNow);
  gateway_actions actions;
  actions.swap(aGateway.mActions);
  return actions;
}

gateway_actions Step(gateway& aGateway, const gateway_event& aEvent,
                     absl::Time aNow)
{
  RecordPause(aGateway, aNow);
  // A request must not reach a server whose time has come before the tick.
  AdvanceEvacuations(aGateway, aNow);
  std::visit(event_handler{ aGateway, aNow }, aEvent);
  UpdateReady(aGateway, aNow);
  gateway_actions actions;
  actions.swap(aGateway.mActions);
  return actions;
}

absl::Time GetNextWakeTime(const gateway& aGateway)
{
  absl::Time next =
    std::min({ aGateway.mNextTickAt, aGateway.mReportAt,
               aGateway.mRecovery.mRetryAt, GetNextRegistrationTime(aGateway),
               GetNextEvacuationTime(aGateway), GetNextReviewTime(aGateway) });
  if (!aGateway.mDeadlines.empty()) {
    next = std::min(next, aGateway.mDeadlines.begin()->first);
  }
  for (const watched_area& area : aGateway.mAreas) {
    next = std::min(next, area.mRetryAt);
  }
  for (const auto& listing : aGateway.mListings) {
    next = std::min(next, listing.second.mRemoveAt);
  }
  return next;
}

gateway_summary GetSummary(const gateway& aGateway)
{
  gateway_summary summary;
  summary.mVersion = aGateway.mTable ? aGateway.mTable->mConfig.mVersion : 0;
  summary.mRequests = aGateway.mRequests.size();
  summary.mBackends = aGateway.mViews.size();
  summary.mPeers = aGateway.mPeers.size();
  summary.mQuarantinedSuspects = aGateway.mQuarantine.mQuarantined;
  // A gateway does not follow the time in which nothing happens, so a state
  // may be over for up to one tick.
  summary.mRateLimitedBackends = aGateway.mServerCounts.mRateLimited;
  summary.mColdBackends = aGateway.mServerCounts.mCold;
  summary.mUnconfirmedBackends = aGateway.mWithheldEntries.size();
  summary.mEvacuatedZones = aGateway.mEvacuations.mZones.size();
  summary.mWaitingRequests = aGateway.mAdmission.mQueued.size();
  summary.mTokensHeld = aGateway.mTokensHeld;
  summary.mTokensTarget = aGateway.mTokensTarget;
  summary.mReady = aGateway.mReady;
  return summary;
}

} // namespace foxtailquay
