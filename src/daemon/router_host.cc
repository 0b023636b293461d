#include "daemon/router_host.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "daemon/node_io.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/caller_front.h"
#include "wire/peer_front.h"
#include "wire/probes.h"
#include "wire/router_link.h"

namespace foxtailquay {

namespace {

struct active_run
{
  request_id mRequest;
  std::shared_ptr<call_stopper> mStopper;
};

// Interval at which the platform's VM list is read. The list lags behind the
// actual state by more than this, so a shorter interval has no benefit.
constexpr absl::Duration kVmListPollInterval = absl::Seconds(5);

} // namespace

struct router_host
{
  explicit router_host(const daemon_settings& aSettings);

  const daemon_settings mSettings;
  router_link mLink;
  node_io mIo;
  node_charts_ptr mCharts;
  caller_front mFront;
  peer_front mPeerFront;
  http_server_ptr mCallerServer;
  http_server_ptr mPeerServer;
  posix_thread mControl;
  absl::Notification mStopped;

  // Used on the control thread only.
  router_ptr mRouter;
  // Dispatched runs that have not ended, by request.
  std::map<request_handle, active_run> mRuns;

  // Last VM list that was read. Used only by the VM list poll, of which at
  // most one runs at a time.
  vm_list mVms;
};

namespace {

// Posts an event that the router depends on. It is refused only after the
// queue is closed.
void PostConclusion(router_host& aHost, router_event aEvent)
{
  auto postResult =
    PostEvent(aHost.mLink, std::move(aEvent), event_class::Conclusion);
  if (!IsOk(postResult)) {
    Log(log_component::Control, log_level::Warn, log_event::EventDropped,
        { { "error", ToString(GetError(postResult)) } });
  }
}

// --- Actions, on the control thread -----------------------------------------

void PerformAction(router_host& aHost, dispatch_action aAction)
{
  const request_handle handle = aAction.mHandle;
  const request_id request = aAction.mRun.mRequest;
  dispatch_decision dispatchDecision{ std::move(aAction),
                                      std::make_shared<call_stopper>() };
  aHost.mRuns[handle] = { request, dispatchDecision.mStopper };
  const bool isOpen = WithHandle(
    aHost.mLink.mCallers, handle,
    [&dispatchDecision](caller_exchange& aCaller) {
      Put(aCaller.mDecisions, caller_decision(std::move(dispatchDecision)));
    });
  if (!isOpen) {
    PostConclusion(
      aHost, run_refused_event{
               handle, request,
               error{ error_code::CallerDisconnected, executed::No, "",
                      "the caller has disconnected", absl::ZeroDuration() } });
  }
}

void PerformAction(router_host& aHost, const cancel_run_action& aAction)
{
  const auto found = aHost.mRuns.find(aAction.mHandle);
  if (found != aHost.mRuns.end() &&
      found->second.mRequest == aAction.mRequest) {
    Log(log_component::Dispatch, log_level::Debug, log_event::RunCancelled,
        { { "run", ToString(aAction.mRequest) } });
    Stop(*found->second.mStopper);
  }
}

void PerformAction(router_host& aHost, caller_response_action aAction)
{
  WithHandle(aHost.mLink.mCallers, aAction.mHandle,
             [&aAction](caller_exchange& aCaller) {
               Put(aCaller.mDecisions,
                   caller_decision(std::move(aAction.mResponse)));
             });
}

void PerformAction(router_host& aHost, send_action aAction)
{
  SendToPeer(aHost.mIo.mSender, std::move(aAction));
}

void PerformAction(router_host& aHost, store_action aAction)
{
  StartStoreCall(
    aHost.mIo, std::move(aAction.mRequest), [&aHost](store_response aResponse) {
      PostConclusion(aHost, store_response_event{ std::move(aResponse) });
    });
}

void PerformAction(router_host& aHost, operator_response_action aAction)
{
  WithHandle(aHost.mLink.mOperators, aAction.mHandle,
             [&aAction](operator_mailbox& aMailbox) {
               Put(aMailbox, std::move(aAction.mResponse));
             });
}

void PerformAction(router_host& aHost, stopped_action)
{
  if (!aHost.mStopped.HasBeenNotified()) {
    aHost.mStopped.Notify();
  }
}

// --- Events, on the control thread ------------------------------------------

// Removes the run unless a retry of the request has already replaced it.
template<typename Event>
void RemoveRun(router_host& aHost, const Event& aEvent)
{
  const auto found = aHost.mRuns.find(aEvent.mHandle);
  if (found != aHost.mRuns.end() && found->second.mRequest == aEvent.mRequest) {
    aHost.mRuns.erase(found);
  }
}

// Removes the run that aEvent ends, if it ends one.
void RemoveEndedRun(router_host& aHost, const router_event& aEvent)
{
  if (const auto* refused = std::get_if<run_refused_event>(&aEvent)) {
    RemoveRun(aHost, *refused);
  } else if (const auto* finished = std::get_if<run_finished_event>(&aEvent)) {
    RemoveRun(aHost, *finished);
  } else if (const auto* failed = std::get_if<run_failed_event>(&aEvent)) {
    RemoveRun(aHost, *failed);
  }
}

void OnEvent(router_host& aHost, router_event aEvent)
{
  RemoveEndedRun(aHost, aEvent);
  const absl::Time startedAt = MonotonicNow();
  auto actions = Step(*aHost.mRouter, std::move(aEvent), startedAt);
  for (router_action& action : actions) {
    std::visit(
      [&aHost](auto& aTyped) { PerformAction(aHost, std::move(aTyped)); },
      action);
  }
  IncrementCounter(*aHost.mLink.mMetrics, counter::EventsHandled);
  Observe(*aHost.mLink.mMetrics, histogram::ControlStep,
          MonotonicNow() - startedAt);
}

void OnItem(router_host& aHost, std::optional<router_item> aItem)
{
  if (!aItem) {
    OnEvent(aHost, tick_event{});
  } else if (auto* event = std::get_if<router_event>(&*aItem)) {
    OnEvent(aHost, std::move(*event));
  } else {
    std::get<router_query> (*aItem)(*aHost.mRouter);
  }
}

void RunControl(router_host& aHost)
{
  RunControlLoop(
    aHost.mLink.mQueue,
    [&aHost](std::optional<router_item> aItem) {
      OnItem(aHost, std::move(aItem));
    },
    [&aHost] { return GetNextWakeTime(*aHost.mRouter); });
}

// --- Ports ------------------------------------------------------------------

std::optional<http_response> HandlePeerPortRequest(router_host& aHost,
                                                   const http_request& aRequest)
{
  const std::string& path = aRequest.mPath;
  if (aRequest.mMethod == "POST" && path == "/rpc") {
    return HandleRpcRequest(aHost.mPeerFront, aRequest);
  }
  if (aRequest.mMethod == "GET") {
    if (path == "/healthz") {
      return MakeHealthResponse();
    }
    if (path == "/readyz") {
      return MakeRouterReadyResponse(aHost.mLink);
    }
    if (path == "/metrics") {
      return MakeRouterMetricsResponse(aHost.mLink);
    }
    if (path == "/debug/state") {
      return HasPeerKey(aHost.mSettings.mPeerKey, aRequest)
               ? MakeRouterStateResponse(aHost.mLink)
               : MakePeerUnauthorizedResponse();
    }
  }
  return MakeErrorResponse({ error_code::NotFound, executed::No, "",
                             "no such resource", absl::ZeroDuration() });
}

http_server_options MakeCallerServerOptions(const daemon_settings& aSettings)
{
  http_server_options options;
  options.mName = "callers";
  options.mIp = aSettings.mListen.mIp;
  options.mPort = aSettings.mListen.mPort;
  options.mMaxConnections = aSettings.mMaxConnections;
  options.mMaxBodyBytes = aSettings.mMaxBodyBytes;
  options.mTlsCertFile = aSettings.mTlsCertFile;
  options.mTlsKeyFile = aSettings.mTlsKeyFile;
  return options;
}

result<success> StartPorts(router_host& aHost)
{
  aHost.mCallerServer = MakeHttpServer(
    MakeCallerServerOptions(aHost.mSettings),
    [&aHost](const http_request& aRequest, http_connection& aConnection) {
      return HandleCallerRequest(aHost.mFront, aRequest, aConnection);
    });
  aHost.mPeerServer =
    MakeHttpServer(MakePeerServerOptions(aHost.mSettings),
                   [&aHost](const http_request& aRequest, http_connection&) {
                     return HandlePeerPortRequest(aHost, aRequest);
                   });
  for (http_server* server :
       { aHost.mPeerServer.get(), aHost.mCallerServer.get() }) {
    auto port = StartServer(*server);
    if (!IsOk(port)) {
      return GetError(port);
    }
  }
  return success{};
}

// --- The platform's list of VMs ---------------------------------------------

void ScheduleVmListPoll(router_host& aHost);

// Reads the VM list and posts the VMs that were removed since the last read.
// A failed read changes nothing.
void PollVmList(router_host& aHost)
{
  auto list = ReadVmList(*aHost.mIo.mStore, aHost.mSettings.mVmListPath);
  if (IsOk(list)) {
    std::vector<member_id> removed = ListRemovedVms(aHost.mVms, GetValue(list));
    aHost.mVms = GetValue(std::move(list));
    if (!removed.empty()) {
      PostConclusion(aHost, vm_removed_event{ std::move(removed) });
    }
  } else {
    Log(log_component::Store, log_level::Warn, log_event::StoreFailed,
        { { "path", aHost.mSettings.mVmListPath },
          { "problem", ToString(GetError(list)) } });
  }
  ScheduleVmListPoll(aHost);
}

void ScheduleVmListPoll(router_host& aHost)
{
  Schedule(aHost.mIo.mTimer, MonotonicNow() + kVmListPollInterval, [&aHost] {
    if (!TrySubmit(aHost.mIo.mStorePool, [&aHost] { PollVmList(aHost); })) {
      ScheduleVmListPoll(aHost);
    }
  });
}

// Sends an error to callers that are still waiting after the router has
// stopped. The router responds to every caller before it stops, so none are
// expected.
void PutShutdownErrors(router_host& aHost)
{
  absl::MutexLock lock(&aHost.mLink.mCallers.mMutex);
  for (const auto& [handle, caller] : aHost.mLink.mCallers.mOpen) {
    Put(caller->mDecisions,
        caller_decision(caller_response(
          error{ error_code::ShuttingDown, executed::Unknown, "",
                 "the router has stopped", absl::ZeroDuration() })));
  }
}

peer_front_options MakePeerOptions(router_host& aHost)
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

} // namespace

router_host::router_host(const daemon_settings& aSettings)
  : mSettings(aSettings)
  , mLink({}, { "services", aSettings.mMaxConnections, 0, absl::Seconds(10) })
  , mIo(aSettings, {}, *mLink.mMetrics,
        [this](const member_id& aMember) {
          PostConclusion(*this, peer_unreachable_event{ aMember });
        })
  , mFront{ mLink, {}, aSettings.mOperatorKey, aSettings.mMember }
  , mPeerFront(MakePeerOptions(*this), *mLink.mMetrics)
{
  mFront.mSession.mDispatch.mPeerKey = aSettings.mPeerKey;
}

void router_host_deleter::operator()(router_host* aHost) const
{
  delete aHost;
}

result<router_host_ptr> StartRouter(const daemon_settings& aSettings)
{
  router_host_ptr host(new router_host(aSettings));
  auto charts = ReadCharts(aSettings.mChartsDir);
  if (!IsOk(charts)) {
    return GetError(charts);
  }
  host->mCharts = GetValue(std::move(charts));
  host->mRouter =
    MakeRouter(MakeNodeSettings(aSettings), router_options{}, *host->mCharts);
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
  auto ports = StartPorts(*host);
  if (!IsOk(ports)) {
    host->mStopped.Notify();
    WaitUntilStopped(*host);
    return GetError(ports);
  }
  if (!aSettings.mVmListPath.empty()) {
    ScheduleVmListPoll(*host);
  }
  return host;
}

void RequestStop(router_host& aHost)
{
  PostConclusion(aHost, stop_event{});
}

void WaitUntilStopped(router_host& aHost)
{
  aHost.mStopped.WaitForNotification();
  Close(aHost.mLink.mQueue);
  Join(aHost.mControl);
  PutShutdownErrors(aHost);
  StopServer(*aHost.mCallerServer);
  StopServer(*aHost.mPeerServer);
  StopPool(aHost.mLink.mServiceCallPool);
  StopIo(aHost.mIo);
}

} // namespace foxtailquay
