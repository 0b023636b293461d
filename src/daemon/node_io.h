// The outgoing I/O that both roles have: calls on the key-value service and
// messages to peers. Nothing here blocks the control thread.

#ifndef FOXTAILQUAY_DAEMON_NODE_IO_H
#define FOXTAILQUAY_DAEMON_NODE_IO_H

#include <functional>
#include <map>
#include <string>

#include "foxtailquay/router.h"
#include "platform/store_client.h"
#include "runtime/elastic_pool.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include "runtime/timer.h"
#include "wire/http_server.h"
#include "wire/peer_sender.h"

namespace foxtailquay {

struct node_io_options
{
  // A call that takes longer has an unknown outcome.
  absl::Duration mStoreTimeout = absl::Seconds(2);
  // The node has at most one call per key outstanding.
  std::size_t mStoreThreads = 8;
  std::size_t mStoreQueue = 256;
};

struct node_io
{
  node_io(const daemon_settings& aSettings, const node_io_options& aOptions,
          metrics& aMetrics,
          std::function<void(const member_id&)> aOnUnreachable);

  metrics& mMetrics;
  store_client_ptr mStore;
  elastic_pool mStorePool;
  peer_sender mSender;
  timer mTimer;
};

using store_callback = std::function<void(store_response)>;

// Any thread; does not block. aOnResponse is called on a pool thread, or at
// once with Unavailable if too many calls wait.
void StartStoreCall(node_io& aIo, store_request aRequest,
               const store_callback& aOnResponse);

// Ends all threads; calls that wait are made first.
void StopIo(node_io& aIo);

// Texts of the chart files in aDir, by file name. Errors: InvalidSetting.
result<std::map<std::string, std::string>> ReadChartTexts(
  const std::string& aDir);

// Reads the charts in aDir. Errors: InvalidSetting, InvalidChart.
result<node_charts_ptr> LoadChartDir(const std::string& aDir);

// The peer port of either role.
http_server_options PeerServerOptions(const daemon_settings& aSettings);

// Identity of this process, with a new nonce and seed.
node_settings MakeNodeSettings(const daemon_settings& aSettings);

} // namespace foxtailquay

#endif
