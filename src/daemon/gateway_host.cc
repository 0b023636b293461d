#include "daemon/gateway_host.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "daemon/node_io.h"
#include "daemon/process_load.h"
#include "daemon/store_link.h"
#include "foxtailquay/gateway.h"
#include "platform/node_file.h"
#include "platform/request_codec.h"
#include "runtime/clock.h"
#include "runtime/control_queue.h"
#include "runtime/decision_log.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/thread.h"
#include "traffic/traffic.h"
#include "transport/client_call.h"
#include "transport/http_service.h"
#include "wire/gateway_codec.h"

namespace foxtailquay {

namespace {

// Timeouts of a call to another gateway, which takes one round trip and at
// most one store write by the peer.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(600);
constexpr absl::Duration kPeerConnectTimeout = absl::Milliseconds(300);
// Interval at which the settings file is checked for changes, since the
// platform may change it without sending SIGHUP.
constexpr absl::Duration kFilePollInterval = absl::Seconds(1);
// Delay from the start of a stop until idle caller connections are closed, so
// that the load balancer has detected the stop by then.
constexpr absl::Duration kCloseIdleDelay = absl::Milliseconds(2600);
// Time at the end of a stop in which the process exits.
constexpr absl::Duration kExitTime = absl::Milliseconds(100);
// Interval at which a stopping process checks whether all responses are sent.
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);

} // namespace

struct gateway_host
{
  explicit gateway_host(const platform::node_file& aNode)
    : mNode(aNode)
    , mCalls(mLoop)
    , mStore{ mCalls, aNode.mStoreAddress, aNode.mName, "", {}, {}, {} }
    , mTraffic(mLoop, {})
    , mReadyService(mLoop, {})
    , mPeerService(mLoop, {})
    , mMetricsService(mLoop, {})
  {}

  daemon_settings mSettings;
  gateway_settings mGatewaySettings;
  platform::node_file mNode;
  metrics_ptr mMetrics = MakeMetrics();

  // Used on the control thread only, except mQueue, which is thread-safe.
  gateway_ptr mGateway;
  control_queue<gateway_event> mQueue;
  posix_thread mControlThread;

  // Used on the traffic thread only, except posting to mLoop, which is
  // thread-safe.
  event_loop mLoop;
  client_calls mCalls;
  store_link mStore;
  traffic mTraffic;
  http_service mReadyService;
  http_service mPeerService;
  http_service mMetricsService;
  bool mReady = false;
  process_usage mUsage;
  // Time by which a planned stop must end.
  absl::Time mStopDeadline = absl::InfiniteFuture();
  gateway_summary mSummary;
  decision_log mDecisionLog;
  std::filesystem::file_time_type mSettingsFileTime;
  posix_thread mTrafficThread;
};

namespace {

// --- Control thread ---------------------------------------------------------

void PerformActions(gateway_host& aHost, const gateway_actions& aActions);

void IncrementEventCounters(metrics& aMetrics, const gateway_event& aEvent)
{
  if (std::holds_alternative<caller_request>(aEvent)) {
    IncrementCounter(aMetrics, counter::CallerRequests);
  }
  const auto* report = std::get_if<attempt_report>(&aEvent);
  if (report == nullptr) {
    return;
  }
  if (report->mStatement && report->mStatement->mIsMalformed) {
    IncrementCounter(aMetrics, counter::MalformedStatements);
  }
  switch (report->mOutcome) {
    case attempt_outcome::Delivered:
      IncrementCounter(aMetrics, counter::RunsFinished);
      break;
    case attempt_outcome::NotRun:
    case attempt_outcome::NotSent:
      IncrementCounter(aMetrics, counter::RunsRefused);
      break;
    case attempt_outcome::Failed:
    case attempt_outcome::Broken:
    case attempt_outcome::BrokenMidway:
      IncrementCounter(aMetrics, counter::RunsFailed);
      break;
  }
}

// Any thread. Returns false if the queue refuses the event.
bool PostEvent(gateway_host& aHost, gateway_event aEvent)
{
  IncrementEventCounters(*aHost.mMetrics, aEvent);
  const bool isNewWork = std::holds_alternative<caller_request>(aEvent) ||
                         std::holds_alternative<explain_requested>(aEvent);
  return IsOk(Post(aHost.mQueue, std::move(aEvent),
                   isNewWork ? event_class::NewWork : event_class::Conclusion));
}

// Posts the actions of one iteration of the control loop to the
// traffic thread as one task, with the summary that follows from them.
void PostActions(gateway_host& aHost, gateway_actions aActions)
{
  if (aActions.empty()) {
    return;
  }
  Post(aHost.mLoop, [&aHost, actions = std::move(aActions),
                     summary = GetSummary(*aHost.mGateway)] {
    aHost.mSummary = summary;
    PerformActions(aHost, actions);
  });
}

void AppendActions(gateway_actions& aTarget, gateway_actions aActions)
{
  std::move(aActions.begin(), aActions.end(), std::back_inserter(aTarget));
}

void RunControl(gateway_host& aHost)
{
  PostActions(aHost, Start(*aHost.mGateway, MonotonicNow()));
  bool isClosed = false;
  while (!isClosed) {
    auto events =
      TakeAll(aHost.mQueue, GetNextWakeTime(*aHost.mGateway), &isClosed);
    gateway_actions actions;
    for (const gateway_event& event : events) {
      const absl::Time start = MonotonicNow();
      AppendActions(actions, Step(*aHost.mGateway, event, start));
      IncrementCounter(*aHost.mMetrics, counter::EventsHandled);
      Observe(*aHost.mMetrics, histogram::ControlStep, MonotonicNow() - start);
    }
    const absl::Time now = MonotonicNow();
    if (GetNextWakeTime(*aHost.mGateway) <= now) {
      AppendActions(actions, Step(*aHost.mGateway, gateway_tick{}, now));
    }
    PostActions(aHost, std::move(actions));
  }
}

// --- Traffic thread: actions ------------------------------------------------

client_call MakePeerCall(const std::string& aAddress, std::string aBody)
{
  client_call call;
  call.mAddress = aAddress;
  call.mMethod = "POST";
  call.mTarget = "/rpc";
  call.mBody = std::move(aBody);
  call.mConnectTimeout = kPeerConnectTimeout;
  call.mTimeout = kPeerTimeout;
  return call;
}

void RequestTokens(gateway_host& aHost, const request_tokens& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeRequestTokens(aAction)),
    [&aHost, aAction](const call_response& aResponse) {
      token_response_received receivedEvent{ aAction.mPeer, aAction.mWorkspace,
                                             std::nullopt, aAction.mKind };
      if (aResponse.mStatus == 200) {
        auto decoded = DecodeTokenResponse(aResponse.mBody);
        if (IsOk(decoded)) {
          receivedEvent.mResponse = GetValue(decoded);
        }
      }
      if (!receivedEvent.mResponse) {
        IncrementCounter(*aHost.mMetrics, counter::PeersUnreachable);
      }
      PostEvent(aHost, receivedEvent);
    });
}

void RecallTokens(gateway_host& aHost, const recall_tokens& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeRecallTokens(aAction)),
    [&aHost, aAction](const call_response& aResponse) {
      token_response_received received{ aAction.mPeer, aAction.mWorkspace,
                                        std::nullopt, token_call::Recall };
      if (aResponse.mStatus == 200) {
        auto decoded = DecodeTokenResponse(aResponse.mBody);
        if (IsOk(decoded)) {
          received.mResponse = GetValue(decoded);
        }
      } else if (aResponse.mStatus != 0) {
        // A gateway of an earlier version does not know the call and returns
        // nothing.
        received.mResponse = token_response{};
      }
      if (!received.mResponse) {
        IncrementCounter(*aHost.mMetrics, counter::PeersUnreachable);
      }
      PostEvent(aHost, std::move(received));
    });
}

void ReturnTokens(gateway_host& aHost, const return_tokens& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeReturnTokens(aAction)),
    [&aHost, aAction](const call_response& aResponse) {
      if (aResponse.mNotSent) {
        // The peer cannot have received the tokens, so they stay in this
        // gateway's grant. After any other failure the peer may have them.
        PostEvent(aHost,
                  tokens_returned{ aAction.mWorkspace, aAction.mAmount });
        return;
      }
      if (aResponse.mStatus != 200) {
        Log(log_component::Peer, log_level::Warn, log_event::MessageDropped,
            { { "message", "return_tokens" },
              { "workspace", aAction.mWorkspace.mValue },
              { "tokens", std::to_string(aAction.mAmount) },
              { "peer", aAction.mAddress } });
      }
    });
}

void ShareGrants(gateway_host& aHost, const share_grants& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeShareGrants(aAction)),
    [&aHost, peer = aAction.mPeer, replication = aAction.mReplication,
     era = aAction.mEra](const call_response& aResponse) {
      share_response_received received{ peer, replication, era, std::nullopt };
      if (aResponse.mStatus == 200) {
        auto decoded = DecodeShareResponse(aResponse.mBody);
        if (IsOk(decoded)) {
          received.mResponse = GetValue(std::move(decoded));
        }
      }
      if (!received.mResponse) {
        IncrementCounter(*aHost.mMetrics, counter::PeersUnreachable);
      }
      PostEvent(aHost, std::move(received));
    });
}

void ReportPrompts(gateway_host& aHost, const report_prompts& aAction)
{
  const std::string body = EncodeReportPrompts(aAction);
  for (const std::string& address : aAction.mAddresses) {
    IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
    // A failure needs no handling: the peer's load estimate is only less exact.
    StartCall(aHost.mCalls, MakePeerCall(address, body),
              [](const call_response&) {});
  }
}

// Ends the process once the last responses are sent. Requests that arrive
// before that are refused by the control thread.
void ExitWhenDrained(gateway_host& aHost)
{
  if (!IsDrained(aHost.mTraffic, MonotonicNow()) &&
      MonotonicNow() < aHost.mStopDeadline) {
    StartTimer(aHost.mLoop, kDrainPollInterval,
               [&aHost] { ExitWhenDrained(aHost); });
    return;
  }
  Close(aHost.mQueue);
  StopLoop(aHost.mLoop);
}

void FinishStop(gateway_host& aHost)
{
  StopListening(aHost.mLoop);
  // Requests on the connections accepted last have not been read yet.
  StartTimer(aHost.mLoop, kDrainPollInterval,
             [&aHost] { ExitWhenDrained(aHost); });
}

struct action_performer
{
  gateway_host& mHost;

  void operator()(const send_error& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::CallerErrors);
    SendError(mHost.mTraffic, aAction);
  }
  void operator()(const deliver_failure& aAction)
  {
    DeliverFailure(mHost.mTraffic, aAction.mHandle);
  }
  void operator()(const cancel_request& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::CallersGone);
    CancelExchange(mHost.mTraffic, aAction.mHandle);
  }
  void operator()(const dispatch_request& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::RunsDispatched);
    DispatchExchange(mHost.mTraffic, aAction);
  }
  void operator()(const directory_query& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const grant_write& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const crash_report_write& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const probe_server& aAction)
  {
    ProbeServer(mHost.mTraffic, aAction);
  }
  void operator()(const registration_call& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const deregistration_call& aAction)
  {
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const grant_read& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const share_grants& aAction) { ShareGrants(mHost, aAction); }
  void operator()(const send_share_response& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeShareResponse(aAction.mResponse));
  }
  void operator()(const send_token_response& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeTokenResponse(aAction.mResponse));
  }
  void operator()(const request_tokens& aAction)
  {
    RequestTokens(mHost, aAction);
  }
  void operator()(const recall_tokens& aAction)
  {
    RecallTokens(mHost, aAction);
  }
  void operator()(const return_tokens& aAction)
  {
    ReturnTokens(mHost, aAction);
  }
  void operator()(const report_prompts& aAction)
  {
    ReportPrompts(mHost, aAction);
  }
  void operator()(const set_ready& aAction) { mHost.mReady = aAction.mReady; }
  void operator()(const set_closing& aAction)
  {
    mHost.mTraffic.mIsClosing = aAction.mIsClosing;
  }
  void operator()(const set_limits& aAction)
  {
    mHost.mTraffic.mLimits = aAction.mLimits;
  }
  void operator()(const stop_finished&) { FinishStop(mHost); }
  void operator()(const send_explanation& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeExplanation(aAction.mExplanation));
  }
  void operator()(const decision_record& aAction)
  {
    LogDecision(mHost.mDecisionLog, aAction, MonotonicNow());
  }
};

void PerformActions(gateway_host& aHost, const gateway_actions& aActions)
{
  for (const gateway_action& action : aActions) {
    std::visit(action_performer{ aHost }, action);
  }
}

// --- Traffic thread: services -----------------------------------------------

void OnReadyCall(gateway_host& aHost, const http_service_call& aCall)
{
  const bool isReadinessCheck = platform::IsReadinessCheck(aCall.mHead);
  const int status = !isReadinessCheck ? 404 : (aHost.mReady ? 200 : 503);
  SendResponse(aHost.mReadyService, aCall.mChannel, status, "text/plain",
               status == 200 ? "ready\n" : "not ready\n");
}

void OnPeerCall(gateway_host& aHost, const http_service_call& aCall)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesReceived);
  auto decoded = DecodeGatewayCall(aCall.mBody);
  if (!IsOk(decoded)) {
    Log(log_component::Peer, log_level::Warn, log_event::MessageInvalid,
        { { "problem", ToString(GetError(decoded)) } });
    SendResponse(aHost.mPeerService, aCall.mChannel, 400, "text/plain", "");
    return;
  }
  gateway_message message = GetValue(std::move(decoded));
  if (auto* request = std::get_if<tokens_requested>(&message)) {
    request->mCall = aCall.mChannel;
    PostEvent(aHost, *request);
    return;
  }
  if (auto* recall = std::get_if<tokens_recalled>(&message)) {
    recall->mCall = aCall.mChannel;
    PostEvent(aHost, std::move(*recall));
    return;
  }
  if (auto* grants = std::get_if<grants_shared>(&message)) {
    grants->mCall = aCall.mChannel;
    PostEvent(aHost, std::move(*grants));
    return;
  }
  if (auto* explain = std::get_if<explain_requested>(&message)) {
    explain->mCall = aCall.mChannel;
    if (!PostEvent(aHost, std::move(*explain))) {
      SendResponse(aHost.mPeerService, aCall.mChannel, 503, "text/plain", "");
    }
    return;
  }
  if (auto* returned = std::get_if<tokens_returned>(&message)) {
    PostEvent(aHost, std::move(*returned));
  } else {
    PostEvent(aHost, std::get<prompts_reported>(std::move(message)));
  }
  SendResponse(aHost.mPeerService, aCall.mChannel, 200, "application/json",
               EncodeTokenResponse({}));
}

std::vector<gauge_value> ReadGauges(gateway_host& aHost)
{
  return {
    { gauge::OpenRequests, double(aHost.mSummary.mRequests) },
    { gauge::ControlQueueLength, double(GetSize(aHost.mQueue)) },
    { gauge::ConfigVersion, double(aHost.mSummary.mVersion) },
    { gauge::QuarantinedPromptParts, double(aHost.mSummary.mQuarantinedParts) },
    { gauge::RateLimitedServers, double(aHost.mSummary.mRateLimitedBackends) },
    { gauge::ColdServers, double(aHost.mSummary.mColdBackends) },
    { gauge::EvacuatedZones, double(aHost.mSummary.mEvacuatedZones) },
    { gauge::WaitingRequests, double(aHost.mSummary.mWaitingRequests) },
    { gauge::PrepaidTokensHeld, double(aHost.mSummary.mTokensHeld) },
    { gauge::PrepaidTokensTarget, double(aHost.mSummary.mTokensTarget) },
    { gauge::Ready, aHost.mReady ? 1.0 : 0.0 }
  };
}

void OnMetricsCall(gateway_host& aHost, const http_service_call& aCall)
{
  if (aCall.mHead.mTarget == "/metrics") {
    SendResponse(aHost.mMetricsService, aCall.mChannel, 200, "text/plain",
                 RenderMetrics(*aHost.mMetrics, ReadGauges(aHost)));
    return;
  }
  const gateway_summary& summary = aHost.mSummary;
  SendResponse(
    aHost.mMetricsService, aCall.mChannel,
    aCall.mHead.mTarget == "/debug/state" ? 200 : 404, "application/json",
    absl::StrCat("{\"config_version\":", summary.mVersion,
                 ",\"open_requests\":", summary.mRequests, ",\"backends\":",
                 summary.mBackends, ",\"peers\":", summary.mPeers,
                 ",\"quarantined_prompt_parts\":", summary.mQuarantinedParts,
                 ",\"rate_limited_servers\":", summary.mRateLimitedBackends,
                 ",\"cold_servers\":", summary.mColdBackends,
                 ",\"evacuated_zones\":", summary.mEvacuatedZones,
                 ",\"waiting_requests\":", summary.mWaitingRequests,
                 ",\"ready\":", summary.mReady ? "true" : "false", "}\n"));
}

// --- Settings file ----------------------------------------------------------

result<platform::node_file> ReadNodeFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return error{ error_code::InvalidSetting, executed::No, "--node_file",
                  absl::StrCat("cannot read file \"", aPath, "\""),
                  absl::ZeroDuration() };
  }
  return platform::ParseNodeFile(text.str());
}

// Returns the modification time of the settings file; the minimum value if the
// file cannot be accessed.
std::filesystem::file_time_type ReadFileTime(const gateway_host& aHost)
{
  std::error_code ignored;
  return std::filesystem::last_write_time(aHost.mSettings.mNodeFile, ignored);
}

// Reads the settings file and applies the store address, the only setting that
// can change without a restart.
void ReloadSettings(gateway_host& aHost)
{
  aHost.mSettingsFileTime = ReadFileTime(aHost);
  auto read = ReadNodeFile(aHost.mSettings.mNodeFile);
  if (!IsOk(read)) {
    Log(log_component::Daemon, log_level::Warn, log_event::ReloadFailed,
        { { "problem", ToString(GetError(read)) } });
    return;
  }
  aHost.mNode = GetValue(read);
  if (aHost.mStore.mAddress != aHost.mNode.mStoreAddress) {
    aHost.mStore.mAddress = aHost.mNode.mStoreAddress;
    EndQueries(aHost.mStore);
  }
  Log(log_component::Daemon, log_level::Info, log_event::SettingsReloaded,
      { { "store", aHost.mNode.mStoreAddress } });
}

void PollSettingsFile(gateway_host& aHost)
{
  if (ReadFileTime(aHost) != aHost.mSettingsFileTime) {
    ReloadSettings(aHost);
  }
  StartTimer(aHost.mLoop, kFilePollInterval,
             [&aHost] { PollSettingsFile(aHost); });
}

// Closes caller, server, peer and store connections that have exceeded their
// time limits.
void ExpireConnectionsPeriodically(gateway_host& aHost)
{
  ExpireConnections(aHost.mTraffic, MonotonicNow());
  for (http_service* service :
       { &aHost.mReadyService, &aHost.mPeerService, &aHost.mMetricsService }) {
    ExpireCalls(*service, MonotonicNow());
  }
  ExpireIdleChannels(aHost.mLoop, aHost.mCalls.mPool, MonotonicNow());
  StartTimer(aHost.mLoop, kExpiryInterval,
             [&aHost] { ExpireConnectionsPeriodically(aHost); });
}

// --- Load -------------------------------------------------------------------

process_limits GetProcessLimits(const platform::node_file& aNode)
{
  return { aNode.mMaxLinkBytes, aNode.mMaxConnections };
}

void MeasureLoadPeriodically(gateway_host& aHost)
{
  const process_usage usage = MeasureUsage(aHost.mLoop);
  PostEvent(aHost,
            ComputeLoad(GetProcessLimits(aHost.mNode), aHost.mUsage, usage));
  aHost.mUsage = usage;
  StartTimer(aHost.mLoop, kLoadInterval,
             [&aHost] { MeasureLoadPeriodically(aHost); });
}

// --- Start ------------------------------------------------------------------

std::string MakeNonce()
{
  std::random_device device;
  return absl::StrCat(absl::Hex(device(), absl::kZeroPad8),
                      absl::Hex(device(), absl::kZeroPad8));
}

// Returns the id of this machine's current boot, or an empty string if the
// kernel does not provide it.
std::string ReadBootId()
{
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return file ? id : std::string();
}

// Returns the time on the clock of MonotonicNow at which the steady clock of
// this machine was zero.
absl::Time ComputeBootStart()
{
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return MonotonicNow() - absl::FromChrono(steady);
}

gateway_settings MakeGatewaySettings(const platform::node_file& aNode)
{
  gateway_settings settings;
  settings.mName = aNode.mName;
  settings.mNonce = MakeNonce();
  settings.mBoot = ReadBootId();
  settings.mBootStart = ComputeBootStart();
  settings.mZone = zone_id{ aNode.mZone };
  settings.mSeed = std::random_device()();
  settings.mRepeatRatio = aNode.mRepeatRatio;
  settings.mRepeatSlack = aNode.mRepeatSlack;
  settings.mIsEngineMemoryLimited = aNode.mIsEngineMemoryLimited;
  settings.mStopTime = aNode.mStopTime;
  settings.mContactTime = aNode.mContactTime;
  if (aNode.mColdOverage && aNode.mColdSlack) {
    settings.mColdBounds =
      cold_bounds{ *aNode.mColdOverage, *aNode.mColdSlack };
  }
  settings.mEvacuationTime = aNode.mEvacuationTime;
  return settings;
}

result<success> StartPorts(gateway_host& aHost)
{
  aHost.mReadyService.mOnCall = [&aHost](http_service_call& aCall) {
    OnReadyCall(aHost, aCall);
  };
  aHost.mPeerService.mOnCall = [&aHost](http_service_call& aCall) {
    OnPeerCall(aHost, aCall);
  };
  aHost.mMetricsService.mOnCall = [&aHost](http_service_call& aCall) {
    OnMetricsCall(aHost, aCall);
  };
  channel_options callerOptions;
  callerOptions.mUnresponsiveTimeout = kCallerUnresponsiveTimeout;
  auto startResult = Listen(
    aHost.mLoop, aHost.mNode.mCallerAddress, callerOptions,
    [&aHost](channel_id aChannel) { AcceptCaller(aHost.mTraffic, aChannel); });
  if (IsOk(startResult)) {
    startResult = StartService(aHost.mReadyService, aHost.mNode.mReadyAddress);
  }
  if (IsOk(startResult)) {
    startResult = StartService(aHost.mPeerService, aHost.mStore.mPeerAddress);
  }
  if (IsOk(startResult) && aHost.mSettings.mMetricsPort != 0) {
    startResult = StartService(
      aHost.mMetricsService,
      absl::StrCat(aHost.mNode.mIp, ":", aHost.mSettings.mMetricsPort));
  }
  return startResult;
}

result<success> StartThreads(gateway_host& aHost)
{
  auto controlThread = StartThread("control", [&aHost] { RunControl(aHost); });
  if (!IsOk(controlThread)) {
    return GetError(controlThread);
  }
  aHost.mControlThread = GetValue(controlThread);
  auto trafficThread =
    StartThread("traffic", [&aHost] { RunLoop(aHost.mLoop); });
  if (!IsOk(trafficThread)) {
    Close(aHost.mQueue);
    Join(aHost.mControlThread);
    return GetError(trafficThread);
  }
  aHost.mTrafficThread = GetValue(trafficThread);
  return success{};
}

} // namespace

void gateway_host_deleter::operator()(gateway_host* aHost) const
{
  delete aHost;
}

result<gateway_host_ptr> StartGateway(const daemon_settings& aSettings)
{
  auto node = ReadNodeFile(aSettings.mNodeFile);
  if (!IsOk(node)) {
    return GetError(node);
  }
  auto charts = ReadChartTexts(aSettings.mChartsDir);
  if (!IsOk(charts)) {
    return GetError(charts);
  }
  const gateway_settings settings = MakeGatewaySettings(GetValue(node));
  auto gateway = MakeGateway(settings, GetValue(charts));
  if (!IsOk(gateway)) {
    return GetError(gateway);
  }
  gateway_host_ptr host(new gateway_host(GetValue(node)));
  host->mSettings = aSettings;
  host->mGatewaySettings = settings;
  host->mGateway = std::get<0>(std::move(gateway));
  host->mSettingsFileTime = ReadFileTime(*host);
  host->mStore.mPeerAddress =
    absl::StrCat(host->mNode.mIp, ":", host->mNode.mFirstInternalPort);
  gateway_host& reference = *host;
  host->mStore.mPost = [&reference](gateway_event aEvent) {
    PostEvent(reference, std::move(aEvent));
  };
  host->mTraffic.mMaxBufferedBytes = ComputeMaxBufferedBytes();
  host->mTraffic.mHooks.mPost = [&reference](gateway_event aEvent) {
    return PostEvent(reference, std::move(aEvent));
  };
  host->mTraffic.mHooks.mOnResponseStarted =
    [&reference](absl::Duration aTime) {
      Observe(*reference.mMetrics, histogram::FirstToken, aTime);
    };
  host->mTraffic.mHooks.mOnResponseFinished =
    [&reference](absl::Duration aTime) {
      Observe(*reference.mMetrics, histogram::CallerRequest, aTime);
    };
  host->mStore.mOnCall = [&reference](bool aFailed, absl::Duration aTime) {
    Observe(*reference.mMetrics, histogram::StoreCall, aTime);
    if (aFailed) {
      IncrementCounter(*reference.mMetrics, counter::StoreFailures);
    }
  };
  auto startResult = StartPorts(*host);
  if (!IsOk(startResult)) {
    return GetError(startResult);
  }
  StartTimer(host->mLoop, kExpiryInterval,
             [&reference] { ExpireConnectionsPeriodically(reference); });
  host->mUsage = MeasureUsage(host->mLoop);
  StartTimer(host->mLoop, kLoadInterval,
             [&reference] { MeasureLoadPeriodically(reference); });
  StartTimer(host->mLoop, kFilePollInterval,
             [&reference] { PollSettingsFile(reference); });
  Log(log_component::Daemon, log_level::Info, log_event::SettingsReloaded,
      { { "node", host->mNode.mName },
        { "store", host->mNode.mStoreAddress },
        { "boot", host->mGatewaySettings.mBoot },
        { "boot_time", absl::FormatTime(host->mGatewaySettings.mBootStart) },
        { "holder", host->mGatewaySettings.mNonce } });
  auto started = StartThreads(*host);
  if (!IsOk(started)) {
    return GetError(started);
  }
  return host;
}

void RequestStop(gateway_host& aHost)
{
  Post(aHost.mLoop, [&aHost] {
    aHost.mTraffic.mIsStopping = true;
    aHost.mStopDeadline =
      MonotonicNow() + aHost.mGatewaySettings.mStopTime - kExitTime;
    StartTimer(aHost.mLoop, kCloseIdleDelay,
               [&aHost] { aHost.mTraffic.mCloseIdle = true; });
  });
  PostEvent(aHost, stop_requested{});
}

void Reload(gateway_host& aHost)
{
  Post(aHost.mLoop, [&aHost] { ReloadSettings(aHost); });
}

void WaitUntilStopped(gateway_host& aHost)
{
  Join(aHost.mTrafficThread);
  Close(aHost.mQueue);
  Join(aHost.mControlThread);
}

} // namespace foxtailquay
