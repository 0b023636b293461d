// A pool of client connections on one event loop, by server address.
//
//   pooled_channel channel =
//     AcquireChannel(loop, pool, address, maxOpen, options);
//   SetHandlers(loop, channel.mId, ...);
//   Send(...);
//   ReleaseChannel(loop, pool, address, channel.mId, idleTime);  // to reuse it
//   CloseChannel(loop, pool, address, channel.mId);              // otherwise
//
// Each acquired channel must be passed once to ReleaseChannel or CloseChannel,
// also if the peer has closed it. All functions must be called on the thread of
// the loop. Memory: one entry per address with open connections.

#ifndef FOXTAILQUAY_TRANSPORT_CONNECTION_POOL_H
#define FOXTAILQUAY_TRANSPORT_CONNECTION_POOL_H

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "transport/event_loop.h"

namespace foxtailquay {

// A connection that waits for its next use.
struct idle_channel
{
  channel_id mId = 0;
  absl::Time mExpiresAt;
};

// The connections to one address.
struct address_pool
{
  // Idle channels, most recently used last.
  std::vector<idle_channel> mIdle;
  // Number of acquired and idle channels.
  int mOpenCount = 0;
};

// The connections of a pool by address.
struct connection_pool
{
  absl::flat_hash_map<std::string, address_pool> mAddresses;
};

// Which connections AcquireChannel may return.
enum class channel_choice
{
  IdleOrNew,
  // Only a new one, on which no response to an earlier call can arrive.
  New,
};

constexpr auto NameTable(channel_choice)
{
  return MakeNameTable<channel_choice>(
    { { channel_choice::IdleOrNew, "idle_or_new" },
      { channel_choice::New, "new" } });
}

// Result of AcquireChannel.
struct pooled_channel
{
  // 0 if the maximum number of connections is open.
  channel_id mId = 0;
  // True if the connection was used before.
  bool mIsReused = false;
};

// Returns an idle connection to aAddress if there is one and aChoice allows it,
// otherwise a new one, unless aMaxOpen connections are in use. aMaxOpen 0 means
// no limit.
pooled_channel AcquireChannel(event_loop& aLoop, connection_pool& aPool,
                              const std::string& aAddress, int aMaxOpen,
                              const channel_options& aOptions,
                              channel_choice aChoice);

// Keeps the connection for reuse for aIdleTime, and reads from it even if that
// was paused. Precondition: the last response
// was read to its end, and no bytes are left to send.
void ReleaseChannel(event_loop& aLoop, connection_pool& aPool,
                    const std::string& aAddress, channel_id aChannel,
                    absl::Duration aIdleTime);

// Closes the connection and removes it from the pool.
void CloseChannel(event_loop& aLoop, connection_pool& aPool,
                  const std::string& aAddress, channel_id aChannel);

// Closes the idle connections to aAddress. For use after a connection failed
// silently: what happened to it may have happened to them too.
void CloseIdleChannels(event_loop& aLoop, connection_pool& aPool,
                       const std::string& aAddress);

// Closes the connections whose idle time has ended at aNow.
void ExpireIdleChannels(event_loop& aLoop, connection_pool& aPool,
                        absl::Time aNow);

} // namespace foxtailquay

#endif
