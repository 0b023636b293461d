// Sends messages to other foxtailquay processes without blocking the control
// thread.
//
// Messages to one peer are sent in order, one at a time, on a kept
// connection; peers do not wait for each other. Both the messages that wait
// for one peer and the threads are bounded: a slow or unreachable peer costs
// one thread, and its messages are dropped beyond the bound. The protocol
// repeats what matters.

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
  std::size_t mMaxQueuedPeers = 1024;
  // Messages that wait for one peer.
  std::size_t mMaxQueued = 64;
  // A connection that is not used for this long is closed.
  absl::Duration mIdleTime = absl::Seconds(20);
};

struct peer_channel
{
  std::deque<send_action> mQueue;
  // A pool thread is sending; only it uses mClient.
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
  const std::function<void(const member_id&)> mOnUnreachable;
  elastic_pool mPool;
  absl::Mutex mMutex;
  // By address.
  std::map<std::string, peer_channel> mChannels;
  absl::Time mNextCleanUp = absl::InfinitePast();
};

// Any thread; does not block. A message that cannot be queued is dropped and
// counted.
void SendToPeer(peer_sender& aSender, send_action aAction);

// Sends what waits and ends the threads.
void StopSender(peer_sender& aSender);

} // namespace foxtailquay

#endif
