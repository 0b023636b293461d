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

struct running_run
{
  request_id mRequest;
  std::shared_ptr<call_stopper> mStopper;
};

// How often the platform's list of VMs is read. It lags by more than this.
constexpr absl::Duration kVmListInterval = absl::Seconds(5);

} // namespace

struct router_host
{
  explicit router_host(const daemon_settings& aSettings);

  const daemon_settings mSettings;
  router_link mLink;
  node_io mIo;
  node_charts_ptr mCharts;
  caller_front mFront;
  peer_front mPeers;
  http_server_ptr mCallerServer;
  http_server_ptr mPeerServer;
  posix_thread mControl;
  absl::Notification mStopped;

  // Used on the control thread only.
  router_ptr mRouter;
  std::map<request_handle, running_run> mRuns;

  // Used by one pool task at a time.
  vm_list mVms;
};

namespace {

void PostMustEvent(router_host& aHost, router_event aEvent)
{
  auto posted =
    PostEvent(aHost.mLink, std::move(aEvent), event_class::Conclusion);
  if (!IsOk(posted)) {
    Log(log_component::Control, log_level::Warn, log_event::EventDropped,
        { { "error", ToString(GetError(posted)) } });
  }
}

// --- Actions, on the control thread -----------------------------------------

void Perform(router_host& aHost, dispatch_action aAction)
{
  const request_handle handle = aAction.mHandle;
  const request_id request = aAction.mRun.mRequest;
  dispatch_decision order{ std::move(aAction),
                           std::make_shared<call_stopper>() };
  aHost.mRuns[handle] = { request, order.mStopper };
  const bool open = WithHandle(
    aHost.mLink.mCallers, handle, [&order](caller_exchange& aCaller) {
      Put(aCaller.mDecisions, caller_decision(std::move(order)));
    });
  if (!open) {
    PostMustEvent(aHost, run_refused_event{
                           handle, request,
                           error{ error_code::CallerDisconnected, executed::No,
                                  "", "the caller's connection has ended",
                                  absl::ZeroDuration() } });
  }
}

void Perform(router_host& aHost, const cancel_run_action& aAction)
{
  const auto found = aHost.mRuns.find(aAction.mHandle);
  if (found != aHost.mRuns.end() &&
      found->second.mRequest == aAction.mRequest) {
    Log(log_component::Dispatch, log_level::Debug, log_event::RunCancelled,
        { { "run", ToString(aAction.mRequest) } });
    Stop(*found->second.mStopper);
  }
}

void Perform(router_host& aHost, caller_response_action aAction)
{
  WithHandle(aHost.mLink.mCallers, aAction.mHandle,
             [&aAction](caller_exchange& aCaller) {
               Put(aCaller.mDecisions,
                   caller_decision(std::move(aAction.mResponse)));
             });
}

void Perform(router_host& aHost, send_action aAction)
{
  SendToPeer(aHost.mIo.mSender, std::move(aAction));
}

void Perform(router_host& aHost, store_action aAction)
{
  CallStore(
    aHost.mIo, std::move(aAction.mRequest), [&aHost](store_response aResponse) {
      PostMustEvent(aHost, store_response_event{ std::move(aResponse) });
    });
}

void Perform(router_host& aHost, operator_response_action aAction)
{
  WithHandle(aHost.mLink.mOperators, aAction.mHandle,
             [&aAction](operator_mailbox& aBox) {
               Put(aBox, std::move(aAction.mResponse));
             });
}

void Perform(router_host& aHost, stopped_action)
{
  if (!aHost.mStopped.HasBeenNotified()) {
    aHost.mStopped.Notify();
  }
}

// --- Events, on the control thread ------------------------------------------

template<typename Event>
void ForgetRun(router_host& aHost, const Event& aEvent)
{
  const auto found = aHost.mRuns.find(aEvent.mHandle);
  if (found != aHost.mRuns.end() && found->second.mRequest == aEvent.mRequest) {
    aHost.mRuns.erase(found);
  }
}

void FireHealth(router_host& aHost, const router_event& aEvent)
{
  if (const auto* refused = std::get_if<run_refused_event>(&aEvent)) {
    ForgetRun(aHost, *refused);
  } else if (const auto* finished = std::get_if<run_finished_event>(&aEvent)) {
    ForgetRun(aHost, *finished);
  } else if (const auto* failed = std::get_if<run_failed_event>(&aEvent)) {
    ForgetRun(aHost, *failed);
  }
}

void HandleEvent(router_host& aHost, router_event aEvent)
{
  FireHealth(aHost, aEvent);
  const absl::Time begin = MonotonicNow();
  auto actions = Step(*aHost.mRouter, std::move(aEvent), begin);
  for (router_action& action : actions) {
    std::visit([&aHost](auto& aTyped) { Perform(aHost, std::move(aTyped)); },
               action);
  }
  IncrementCounter(*aHost.mLink.mMetrics, counter::EventsHandled);
  Observe(*aHost.mLink.mMetrics, histogram::ControlStep,
          MonotonicNow() - begin);
}

void HandleItem(router_host& aHost, std::optional<router_item> aItem)
{
  if (!aItem) {
    HandleEvent(aHost, tick_event{});
  } else if (auto* event = std::get_if<router_event>(&*aItem)) {
    HandleEvent(aHost, std::move(*event));
  } else {
    std::get<router_query> (*aItem)(*aHost.mRouter);
  }
}

void RunControl(router_host& aHost)
{
  RunControlLoop(
    aHost.mLink.mQueue,
    [&aHost](std::optional<router_item> aItem) {
      HandleItem(aHost, std::move(aItem));
    },
    [&aHost] { return GetNextWakeTime(*aHost.mRouter); });
}

// --- Ports ------------------------------------------------------------------

std::optional<http_response> ServePeerPort(router_host& aHost,
                                           const http_request& aRequest)
{
  const std::string& path = aRequest.mPath;
  if (aRequest.mMethod == "POST" && path == "/rpc") {
    return HandleRpcRequest(aHost.mPeers, aRequest);
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

http_server_options CallerServerOptions(const daemon_settings& aSettings)
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
    CallerServerOptions(aHost.mSettings),
    [&aHost](const http_request& aRequest, http_connection& aConnection) {
      return HandleCallerRequest(aHost.mFront, aRequest, aConnection);
    });
  aHost.mPeerServer =
    MakeHttpServer(PeerServerOptions(aHost.mSettings),
                   [&aHost](const http_request& aRequest, http_connection&) {
                     return ServePeerPort(aHost, aRequest);
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

void ScheduleVmList(router_host& aHost);

void ReadVms(router_host& aHost)
{
  auto list = ReadVmList(*aHost.mIo.mStore, aHost.mSettings.mVmListPath);
  if (IsOk(list)) {
    std::vector<member_id> gone = ListRemovedVms(aHost.mVms, GetValue(list));
    aHost.mVms = GetValue(std::move(list));
    if (!gone.empty()) {
      PostMustEvent(aHost, vm_removed_event{ std::move(gone) });
    }
  }
  ScheduleVmList(aHost);
}

void ScheduleVmList(router_host& aHost)
{
  Schedule(aHost.mIo.mTimer, MonotonicNow() + kVmListInterval, [&aHost] {
    if (!TrySubmit(aHost.mIo.mStorePool, [&aHost] { ReadVms(aHost); })) {
      ScheduleVmList(aHost);
    }
  });
}

// Callers that still wait when the node has stopped; there should be none.
void AnswerRemaining(router_host& aHost)
{
  absl::MutexLock lock(&aHost.mLink.mCallers.mMutex);
  for (const auto& [handle, caller] : aHost.mLink.mCallers.mOpen) {
    Put(caller->mDecisions,
        caller_decision(caller_response(
          error{ error_code::ShuttingDown, executed::Unknown, "",
                 "the router has stopped", absl::ZeroDuration() })));
  }
}

peer_front_options PeerOptions(router_host& aHost)
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
          PostMustEvent(*this, peer_unreachable_event{ aMember });
        })
  , mFront{ mLink, {}, aSettings.mOperatorKey, aSettings.mMember }
  , mPeers(PeerOptions(*this), *mLink.mMetrics)
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
  auto charts = LoadChartDir(aSettings.mChartsDir);
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
    ScheduleVmList(*host);
  }
  return host;
}

void RequestStop(router_host& aHost)
{
  PostMustEvent(aHost, stop_event{});
}

void WaitUntilStopped(router_host& aHost)
{
  aHost.mStopped.WaitForNotification();
  Close(aHost.mLink.mQueue);
  Join(aHost.mControl);
  AnswerRemaining(aHost);
  StopServer(*aHost.mCallerServer);
  StopServer(*aHost.mPeerServer);
  Shutdown(aHost.mLink.mServiceCallPool);
  StopIo(aHost.mIo);
}

} // namespace foxtailquay
