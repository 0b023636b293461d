// Outgoing I/O of routers and agents: calls to the key-value service and
// messages to peers. StartStoreCall does not block, so that the control thread
// can use it.

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
  // A call that takes longer fails; the outcome of a write is then unknown.
  absl::Duration mStoreTimeout = absl::Seconds(2);
  // Store calls in progress at once. A router or agent has at most one call
  // per key outstanding.
  std::size_t mStoreThreads = 8;
  // Store calls that may wait for a thread.
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

// Starts a store call. Any thread; does not block. aOnResponse is called on a
// pool thread, or before the return with status Unavailable if too many calls
// are waiting.
void StartStoreCall(node_io& aIo, store_request aRequest,
                    const store_callback& aOnResponse);

// Performs the store calls that are waiting, then ends all threads.
void StopIo(node_io& aIo);

// Returns the texts of the chart files in aDir, by file name. Errors:
// InvalidSetting if the folder cannot be read or has no chart files.
result<std::map<std::string, std::string>> ReadChartTexts(
  const std::string& aDir);

// Reads and parses the charts in aDir. Errors: InvalidSetting, InvalidChart.
result<node_charts_ptr> ReadCharts(const std::string& aDir);

// Returns the options of the peer port of a router or agent.
http_server_options MakePeerServerOptions(const daemon_settings& aSettings);

// Returns the identity of this process, with a new random nonce and seed.
node_settings MakeNodeSettings(const daemon_settings& aSettings);

} // namespace foxtailquay

#endif
