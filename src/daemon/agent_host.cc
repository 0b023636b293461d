#include "daemon/agent_host.h"

#include <utility>

#include "absl/synchronization/notification.h"
#include "daemon/node_io.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/agent_front.h"
#include "wire/agent_link.h"
#include "wire/peer_front.h"
#include "wire/probes.h"

namespace foxtailquay {

namespace {

constexpr absl::Duration kLoadPollInterval = absl::Seconds(1);

} // namespace

struct agent_host
{
  explicit agent_host(const daemon_settings& aSettings);

  const daemon_settings mSettings;
  agent_link mLink;
  node_io mIo;
  // Reads the backend server's load. It is separate from the store's pool so
  // that a slow backend server does not delay store calls.
  elastic_pool mLoadPool;
  node_charts_ptr mCharts;
  agent_front mFront;
  peer_front mPeerFront;
  http_server_ptr mPeerServer;
  posix_thread mControl;
  absl::Notification mStopped;

  // Used on the control thread only.
  agent_ptr mAgent;

  // Used only by the load poll, of which at most one runs at a time.
  bool mBackendReachable = true;
};

namespace {

// Posts an event that the agent depends on. It is refused only after the queue
// is closed.
void PostConclusion(agent_host& aHost, agent_event aEvent)
{
  auto postResult =
    PostEvent(aHost.mLink, std::move(aEvent), event_class::Conclusion);
  if (!IsOk(postResult)) {
    Log(log_component::Control, log_level::Warn, log_event::EventDropped,
        { { "error", ToString(GetError(postResult)) } });
  }
}

// --- Actions, on the control thread -----------------------------------------

// Passes a decision to the thread that serves the run; no effect if the
// router's connection has closed.
void PutDecision(agent_host& aHost, request_handle aHandle,
                 run_decision aDecision)
{
  WithHandle(aHost.mLink.mRuns, aHandle, [&aDecision](agent_run& aRun) {
    Put(aRun.mDecisions, std::move(aDecision));
  });
}

void PerformAction(agent_host& aHost, start_run_action aAction)
{
  const request_handle handle = aAction.mHandle;
  PutDecision(aHost, handle, std::move(aAction));
}

void PerformAction(agent_host& aHost, refuse_run_action aAction)
{
  const request_handle handle = aAction.mHandle;
  PutDecision(aHost, handle, std::move(aAction));
}

void PerformAction(agent_host& aHost, abort_run_action aAction)
{
  WithHandle(aHost.mLink.mRuns, aAction.mHandle,
             [](agent_run& aRun) { Stop(aRun.mStopper); });
}

void PerformAction(agent_host& aHost, command_response_action aAction)
{
  WithHandle(aHost.mLink.mCommands, aAction.mHandle,
             [&aAction](command_mailbox& aMailbox) {
               Put(aMailbox, std::move(aAction.mResponse));
             });
}

void PerformAction(agent_host& aHost, send_action aAction)
{
  SendToPeer(aHost.mIo.mSender, std::move(aAction));
}

void PerformAction(agent_host& aHost, store_action aAction)
{
  StartStoreCall(
    aHost.mIo, std::move(aAction.mRequest), [&aHost](store_response aResponse) {
      PostConclusion(aHost, store_response_event{ std::move(aResponse) });
    });
}

void PerformAction(agent_host& aHost, stopped_action)
{
  if (!aHost.mStopped.HasBeenNotified()) {
    aHost.mStopped.Notify();
  }
}

// --- Events, on the control thread ------------------------------------------

void OnEvent(agent_host& aHost, agent_event aEvent)
{
  const absl::Time startedAt = MonotonicNow();
  auto actions = Step(*aHost.mAgent, std::move(aEvent), startedAt);
  for (agent_action& action : actions) {
    std::visit(
      [&aHost](auto& aTyped) { PerformAction(aHost, std::move(aTyped)); },
      action);
  }
  IncrementCounter(*aHost.mLink.mMetrics, counter::EventsHandled);
  Observe(*aHost.mLink.mMetrics, histogram::ControlStep,
          MonotonicNow() - startedAt);
}

void OnItem(agent_host& aHost, std::optional<agent_item> aItem)
{
  if (!aItem) {
    OnEvent(aHost, tick_event{});
  } else if (auto* event = std::get_if<agent_event>(&*aItem)) {
    OnEvent(aHost, std::move(*event));
  } else {
    std::get<agent_query> (*aItem)(*aHost.mAgent);
  }
}

void RunControl(agent_host& aHost)
{
  RunControlLoop(
    aHost.mLink.mQueue,
    [&aHost](std::optional<agent_item> aItem) {
      OnItem(aHost, std::move(aItem));
    },
    [&aHost] { return GetNextWakeTime(*aHost.mAgent); });
}

// --- Load -------------------------------------------------------------------

void ScheduleLoadPoll(agent_host& aHost, absl::Time aPollAt);

void PollLoad(agent_host& aHost)
{
  const absl::Time startedAt = MonotonicNow();
  auto load = ReadLoad(aHost.mFront.mEngine);
  if (load) {
    // A refused report is not posted again: the next poll sends a newer one.
    (void)PostEvent(aHost.mLink, std::move(*load), event_class::NewWork);
  }
  if (load.has_value() != aHost.mBackendReachable) {
    aHost.mBackendReachable = load.has_value();
    Log(log_component::Engine, log_level::Warn, log_event::BackendUnreachable,
        { { "address", aHost.mFront.mEngine.mAddress },
          { "reachable", load ? "true" : "false" } });
  }
  ScheduleLoadPoll(aHost, startedAt + kLoadPollInterval);
}

// Polls again one interval later if the previous poll is still running.
void ScheduleLoadPoll(agent_host& aHost, absl::Time aPollAt)
{
  Schedule(aHost.mIo.mTimer, aPollAt, [&aHost] {
    if (!TrySubmit(aHost.mLoadPool, [&aHost] { PollLoad(aHost); })) {
      ScheduleLoadPoll(aHost, MonotonicNow() + kLoadPollInterval);
    }
  });
}

// --- Port -------------------------------------------------------------------

std::optional<http_response> HandleGetRequest(agent_host& aHost,
                                              const http_request& aRequest)
{
  const std::string& path = aRequest.mPath;
  if (path == "/healthz") {
    return MakeHealthResponse();
  }
  if (path == "/readyz") {
    return MakeAgentReadyResponse(aHost.mLink);
  }
  if (path == "/metrics") {
    return MakeAgentMetricsResponse(aHost.mLink);
  }
  if (path == "/debug/state") {
    return HasPeerKey(aHost.mSettings.mPeerKey, aRequest)
             ? MakeAgentStateResponse(aHost.mLink)
             : MakePeerUnauthorizedResponse();
  }
  return std::nullopt;
}

std::optional<http_response> HandlePeerPortRequest(agent_host& aHost,
                                                   const http_request& aRequest,
                                                   http_connection& aConnection)
{
  const std::string& path = aRequest.mPath;
  if (aRequest.mMethod == "POST") {
    if (path == "/run") {
      return HandleRunRequest(aHost.mFront, aRequest, aConnection);
    }
    if (path == "/rpc") {
      return HandleRpcRequest(aHost.mPeerFront, aRequest);
    }
    if (path == "/command") {
      return HandleCommandRequest(aHost.mFront, aRequest);
    }
  }
  std::optional<http_response> response;
  if (aRequest.mMethod == "GET") {
    response = HandleGetRequest(aHost, aRequest);
  }
  return response
           ? response
           : MakeErrorResponse({ error_code::NotFound, executed::No, "",
                                 "no such resource", absl::ZeroDuration() });
}

peer_front_options MakePeerOptions(agent_host& aHost)
{
  peer_front_options options;
  options.mPeerKey = aHost.mSettings.mPeerKey;
  options.mOnMessage = [&aHost](envelope aEnvelope) {
    return PostEvent(aHost.mLink, message_event{ std::move(aEnvelope) },
                     event_class::NewWork);
  };
  options.mOnDrain = [&aHost] { RequestStop(aHost); };
  return options;
}

// Refuses runs that are still waiting after the agent has stopped. The agent
// responds to every run before it stops, so none are expected.
void PutShutdownErrors(agent_host& aHost)
{
  absl::MutexLock lock(&aHost.mLink.mRuns.mMutex);
  for (const auto& [handle, run] : aHost.mLink.mRuns.mOpen) {
    Put(run->mDecisions,
        run_decision(refuse_run_action{
          handle, error{ error_code::ShuttingDown, executed::No, "",
                         "the agent has stopped", absl::ZeroDuration() } }));
  }
}

} // namespace

agent_host::agent_host(const daemon_settings& aSettings)
  : mSettings(aSettings)
  , mLink(control_queue_options{})
  , mIo(aSettings, {}, *mLink.mMetrics,
        [this](const member_id& aMember) {
          PostConclusion(*this, peer_unreachable_event{ aMember });
        })
  , mLoadPool({ "load", 1, 0, absl::Seconds(10) })
  , mFront{ mLink, {}, aSettings.mPeerKey, mIo.mTimer }
  , mPeerFront(MakePeerOptions(*this), *mLink.mMetrics)
{
  mFront.mEngine.mAddress = ToString(aSettings.mBackend);
}

void agent_host_deleter::operator()(agent_host* aHost) const
{
  delete aHost;
}

result<agent_host_ptr> StartAgent(const daemon_settings& aSettings)
{
  agent_host_ptr host(new agent_host(aSettings));
  auto charts = ReadCharts(aSettings.mChartsDir);
  if (!IsOk(charts)) {
    return GetError(charts);
  }
  host->mCharts = GetValue(std::move(charts));
  host->mAgent =
    MakeAgent(MakeNodeSettings(aSettings), agent_options{}, *host->mCharts);
  auto started = StartTimer(host->mIo.mTimer);
  if (!IsOk(started)) {
    return GetError(started);
  }
  auto control = StartThread("control", [&host = *host] { RunControl(host); });
  if (!IsOk(control)) {
    StopIo(host->mIo);
    return GetError(control);
  }
  host->mControl = GetValue(control);
  host->mPeerServer =
    MakeHttpServer(MakePeerServerOptions(aSettings),
                   [&host = *host](const http_request& aRequest,
                                   http_connection& aConnection) {
                     return HandlePeerPortRequest(host, aRequest, aConnection);
                   });
  auto port = StartServer(*host->mPeerServer);
  if (!IsOk(port)) {
    host->mStopped.Notify();
    WaitUntilStopped(*host);
    return GetError(port);
  }
  ScheduleLoadPoll(*host, MonotonicNow());
  return host;
}

void RequestStop(agent_host& aHost)
{
  PostConclusion(aHost, stop_event{});
}

void WaitUntilStopped(agent_host& aHost)
{
  aHost.mStopped.WaitForNotification();
  Close(aHost.mLink.mQueue);
  Join(aHost.mControl);
  PutShutdownErrors(aHost);
  StopServer(*aHost.mPeerServer);
  StopTimer(aHost.mIo.mTimer);
  StopPool(aHost.mLoadPool);
  StopIo(aHost.mIo);
}

} // namespace foxtailquay
