#include "foxtailquay/gateway.h"

#include <algorithm>

#include "gateway_state.h"

namespace foxtailquay {

namespace {

template<typename Chart>
result<success> Load(const std::map<std::string, std::string>& aTexts,
                     const std::string& aFile, Chart& aChart)
{
  const auto text = aTexts.find(aFile);
  if (text == aTexts.end()) {
    return error{ error_code::InvalidChart, executed::No, aFile,
                  "the chart is missing", absl::ZeroDuration() };
  }
  auto table = ParseChart(text->second, aFile, ListNamesOfChart(aChart));
  if (!IsOk(table)) {
    return GetError(table);
  }
  aChart.mTable = GetValue(std::move(table));
  return success{};
}

result<gateway_charts> LoadAll(const std::map<std::string, std::string>& aTexts)
{
  gateway_charts charts;
  for (const result<success>& loaded :
       { Load(aTexts, "forwarded_request.yaml", charts.mForward),
         Load(aTexts, "directory.yaml", charts.mFollow),
         Load(aTexts, "backend_server.yaml", charts.mBackend) }) {
    if (!IsOk(loaded)) {
      return GetError(loaded);
    }
  }
  return charts;
}

void UpdateReady(gateway& aGateway)
{
  const bool ready = IsDirectoryKnown(aGateway) && !aGateway.mStopping;
  if (ready != aGateway.mReady) {
    aGateway.mReady = ready;
    aGateway.mActions.push_back(set_ready{ ready });
  }
}

void StartStop(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mStopping) {
    return;
  }
  aGateway.mStopping = true;
  aGateway.mStopStart = aNow;
  RecordDecision(
    aGateway, decision::StopStarted,
    { { "open_requests", std::to_string(aGateway.mRequests.size()) } });
  if (aGateway.mLease != 0) {
    aGateway.mActions.push_back(deregistration_call{ aGateway.mLease });
    aGateway.mLease = 0;
  }
}

// The stop ends when the open requests have, but not before the balancer has
// noticed it, and before the platform ends the process.
void TickStop(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mStopping || aGateway.mStopped) {
    return;
  }
  const absl::Time last =
    aGateway.mStopStart + aGateway.mSettings.mStopTime - kStopReserve;
  const bool idle =
    aGateway.mRequests.empty() && aNow >= aGateway.mStopStart + kStopLinger;
  if (!idle && aNow < last) {
    return;
  }
  if (aGateway.mReturnBy == absl::InfiniteFuture()) {
    aGateway.mReturnBy = aNow + kStopReserve / 2;
  }
  if (ReturnFunds(aGateway, aNow) || aNow >= aGateway.mReturnBy) {
    aGateway.mStopped = true;
    aGateway.mActions.push_back(stop_finished{});
  }
}

void Tick(gateway& aGateway, absl::Time aNow)
{
  AdvanceDeadlines(aGateway, aNow);
  TickSharing(aGateway, aNow);
  if (aNow >= aGateway.mNextTick) {
    aGateway.mNextTick = aNow + kTickInterval;
    for (auto& view : aGateway.mViews) {
      AdvanceHealth(view.second, &aGateway.mCharts.mBackend, aGateway.mRouting,
                    aNow);
    }
    TickFunds(aGateway, aNow);
    TickStop(aGateway, aNow);
  }
  TickFollowing(aGateway, aNow);
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
    OnAttempt(mGateway, aEvent, mNow);
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
    OnDirectory(mGateway, aEvent, mNow);
  }
  void operator()(const grant_write_response& aEvent)
  {
    OnGrantWritten(mGateway, aEvent, mNow);
  }
  void operator()(const registration_response& aEvent)
  {
    OnRegistration(mGateway, aEvent, mNow);
  }
  void operator()(const tokens_requested& aEvent)
  {
    OnTokensAsked(mGateway, aEvent, mNow);
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
    OnPromptsShared(mGateway, aEvent, mNow);
  }
  void operator()(const gateway_tick&) { Tick(mGateway, mNow); }
  void operator()(const stop_requested&) { StartStop(mGateway, mNow); }
};

// From the engines' published figures: 60 to 100 prompt tokens are read in a
// millisecond. A shared part that is read again costs the platform about four
// times the time that it takes the request itself. Load comes with answers and
// is thus fresh.
routing_options RoutingFor(const gateway_settings& aSettings)
{
  routing_options options;
  options.mRouter = member_id{ aSettings.mName };
  options.mSampleSize = 0;
  options.mReportLag = absl::Milliseconds(5);
  options.mMaxAssumedPeers = 0;
  options.mZoneDelay = absl::Milliseconds(5);
  options.mRunTime = absl::Seconds(1);
  options.mPrefillTokensPerSecond = 60000;
  options.mEjectionTime = absl::Seconds(2);
  options.mMaxEjectionTime = absl::Seconds(8);
  options.mProbeSuccesses = 3;
  options.mMaxPrefixes = 512;
  options.mAffinityWeight = 4;
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
  auto charts = LoadAll(aChartTexts);
  if (!IsOk(charts)) {
    return GetError(charts);
  }
  gateway_ptr node(new gateway);
  node->mCharts = GetValue(std::move(charts));
  node->mRandom.seed(aSettings.mSeed);
  node->mRouting = RoutingFor(aSettings);
  node->mHolder.mId = aSettings.mName + "/" + aSettings.mNonce;
  node->mSettings = std::move(aSettings);
  return node;
}

gateway_actions Start(gateway& aGateway, absl::Time aNow)
{
  aGateway.mNextTick = aNow + kTickInterval;
  aGateway.mHolder.mStart = { aGateway.mSettings.mBoot,
                              ClockAt(aGateway, aNow).mSteadyMs };
  StartFollowing(aGateway);
  TickFollowing(aGateway, aNow);
  gateway_actions actions;
  actions.swap(aGateway.mActions);
  return actions;
}

gateway_actions Step(gateway& aGateway, const gateway_event& aEvent,
                     absl::Time aNow)
{
  std::visit(event_handler{ aGateway, aNow }, aEvent);
  UpdateReady(aGateway);
  gateway_actions actions;
  actions.swap(aGateway.mActions);
  return actions;
}

absl::Time GetNextWakeTime(const gateway& aGateway)
{
  absl::Time next = std::min(aGateway.mNextTick, aGateway.mShareAt);
  if (!aGateway.mDeadlines.empty()) {
    next = std::min(next, aGateway.mDeadlines.begin()->first);
  }
  for (const followed_area& area : aGateway.mAreas) {
    next = std::min(next, area.mPauseEnd);
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
  summary.mReady = aGateway.mReady;
  return summary;
}

} // namespace foxtailquay
