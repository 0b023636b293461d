// State of a gateway process and the functions that its source files share:
//
//   gateway_host.cc      control thread, settings file, load, start and stop
//   gateway_actions.cc   performs the control thread's actions; calls to peers
//   gateway_services.cc  readiness checks, calls of peers, metrics

#ifndef FOXTAILQUAY_DAEMON_GATEWAY_HOST_STATE_H
#define FOXTAILQUAY_DAEMON_GATEWAY_HOST_STATE_H

#include <filesystem>

#include "daemon/gateway_host.h"
#include "daemon/process_load.h"
#include "daemon/store_link.h"
#include "foxtailquay/gateway.h"
#include "platform/node_file.h"
#include "runtime/control_queue.h"
#include "runtime/decision_log.h"
#include "runtime/metrics.h"
#include "runtime/thread.h"
#include "traffic/traffic.h"
#include "transport/client_call.h"
#include "transport/http_service.h"

namespace foxtailquay {

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

// Counts the event and puts it into the queue of the control thread. Any
// thread. Returns false if the queue refuses the event.
bool PostEvent(gateway_host& aHost, gateway_event aEvent);

// --- gateway_actions.cc, traffic thread -------------------------------------

void PerformActions(gateway_host& aHost, const gateway_actions& aActions);

// --- gateway_services.cc, traffic thread ------------------------------------

// Readiness checks of the load balancer.
void OnReadyCall(gateway_host& aHost, const http_service_call& aCall);
// Calls of other gateways.
void OnPeerCall(gateway_host& aHost, const http_service_call& aCall);
// Metrics and the summary of the state.
void OnMetricsCall(gateway_host& aHost, const http_service_call& aCall);

} // namespace foxtailquay

#endif
