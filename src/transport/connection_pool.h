// Kept client connections, by address, on one event loop.
//
//   pooled_channel channel = Acquire(loop, pool, address, limit, options);
//   SetHandlers(loop, channel.mId, ...); Send(...);
//   Release(loop, pool, address, channel.mId, idleTime);  // reusable
//   Discard(loop, pool, address, channel.mId);            // or not
//
// Each acquired channel must be released or discarded once, also after it
// closed by itself. For the thread of the loop. Memory: one entry per address
// with open connections.

#ifndef FOXTAILQUAY_TRANSPORT_CONNECTION_POOL_H
#define FOXTAILQUAY_TRANSPORT_CONNECTION_POOL_H

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "transport/event_loop.h"

namespace foxtailquay {

struct idle_channel
{
  channel_id mId = 0;
  absl::Time mUntil;
};

struct address_pool
{
  // The last one was used last.
  std::vector<idle_channel> mIdle;
  // Acquired and idle channels.
  int mOpen = 0;
};

struct connection_pool
{
  absl::flat_hash_map<std::string, address_pool> mAddresses;
};

struct pooled_channel
{
  // 0 if the limit is reached.
  channel_id mId = 0;
  // The connection carried a call before.
  bool mIsReused = false;
};

// A kept connection if there is one, else a new one unless aLimit are open;
// 0 means no limit.
pooled_channel Acquire(event_loop& aLoop, connection_pool& aPool,
                       const std::string& aAddress, int aLimit,
                       const channel_options& aOptions);

// Keeps the connection for aIdleTime. Precondition: nothing is outstanding.
void Release(event_loop& aLoop, connection_pool& aPool,
             const std::string& aAddress, channel_id aChannel,
             absl::Duration aIdleTime);

// Closes the connection.
void Discard(event_loop& aLoop, connection_pool& aPool,
             const std::string& aAddress, channel_id aChannel);

// Closes connections that were idle for too long.
void Sweep(event_loop& aLoop, connection_pool& aPool, absl::Time aNow);

} // namespace foxtailquay

#endif
