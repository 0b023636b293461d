#include "daemon/gateway_host.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "daemon/gateway_host_state.h"
#include "daemon/node_io.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace foxtailquay {

namespace {

// Interval at which the settings file is checked for changes, since the
// platform may change it without sending SIGHUP.
constexpr absl::Duration kFilePollInterval = absl::Seconds(1);
// Delay from the start of a stop until idle caller connections are closed, so
// that the load balancer has detected the stop by then.
constexpr absl::Duration kCloseIdleDelay = absl::Milliseconds(2600);
// Time at the end of a stop in which the process exits.
constexpr absl::Duration kExitTime = absl::Milliseconds(100);

// --- Control thread ---------------------------------------------------------

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

// Posts the actions of one iteration of the control loop to the traffic thread
// as one task, with the summary that follows from them.
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
  settings.mServerHeartbeat = aNode.mServerHeartbeat;
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

bool PostEvent(gateway_host& aHost, gateway_event aEvent)
{
  IncrementEventCounters(*aHost.mMetrics, aEvent);
  const bool isNewWork = std::holds_alternative<caller_request>(aEvent) ||
                         std::holds_alternative<explain_requested>(aEvent);
  return IsOk(Post(aHost.mQueue, std::move(aEvent),
                   isNewWork ? event_class::NewWork : event_class::Conclusion));
}

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
