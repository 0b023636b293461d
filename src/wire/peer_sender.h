// Sends messages to other foxtailquay processes without blocking the control
// thread.
//
// Messages to one peer are sent in order, one at a time, on a persistent
// connection. Different peers do not delay each other while threads are left:
// a slow or unreachable peer occupies one thread. The number of threads and of
// queued messages per peer is bounded; messages beyond the bound are dropped.
// The protocol resends messages whose loss matters.

#ifndef FOXTAILQUAY_WIRE_PEER_SENDER_H
#define FOXTAILQUAY_WIRE_PEER_SENDER_H

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "foxtailquay/router.h"
#include "runtime/elastic_pool.h"
#include "runtime/metrics.h"
#include "wire/peer_client.h"

namespace foxtailquay {

struct peer_sender_options
{
  peer_client_options mClient;
  std::size_t mMaxThreads = 16;
  // Bounds the peers that wait for a thread.
  std::size_t mMaxQueuedPeers = 1024;
  // Bounds the messages that are queued for one peer.
  std::size_t mMaxQueuedMessages = 64;
  // A connection that was not used for this long is closed.
  absl::Duration mIdleTimeout = absl::Seconds(20);
};

// The queue and the connection of one peer address.
struct peer_channel
{
  std::deque<send_action> mQueue;
  // True while a pool thread sends; only that thread uses mClient.
  bool mSending = false;
  peer_client_ptr mClient;
  absl::Time mLastUsed;
};

struct peer_sender
{
  peer_sender(peer_sender_options aOptions, metrics& aMetrics,
              std::function<void(const member_id&)> aOnUnreachable);

  const peer_sender_options mOptions;
  metrics& mMetrics;
  // Called on a pool thread if a peer did not respond.
  const std::function<void(const member_id&)> mOnUnreachable;
  elastic_pool mPool;
  absl::Mutex mMutex;
  // Channels by peer address ("IP:port"). Guarded by mMutex.
  std::map<std::string, peer_channel> mChannels;
  absl::Time mNextExpiryAt = absl::InfinitePast();
};

// Queues a message. A message that cannot be queued is dropped and counted.
// Any thread; does not block.
void SendToPeer(peer_sender& aSender, send_action aAction);

// Sends the queued messages and ends the threads.
void StopSender(peer_sender& aSender);

} // namespace foxtailquay

#endif
