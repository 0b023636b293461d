#include "transport/connection_pool.h"

#include <algorithm>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

void RemoveFromPool(connection_pool& aPool, const std::string& aAddress,
                    channel_id aChannel)
{
  const auto found = aPool.mAddresses.find(aAddress);
  if (found == aPool.mAddresses.end()) {
    return;
  }
  auto& idle = found->second.mIdle;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [aChannel](const idle_channel& aEach) {
                              return aEach.mId == aChannel;
                            }),
             idle.end());
  if (--found->second.mOpenCount <= 0) {
    aPool.mAddresses.erase(found);
  }
}

} // namespace

pooled_channel AcquireChannel(event_loop& aLoop, connection_pool& aPool,
                              const std::string& aAddress, int aMaxOpen,
                              const channel_options& aOptions,
                              channel_choice aChoice)
{
  address_pool& pool = aPool.mAddresses[aAddress];
  const absl::Time now = MonotonicNow();
  const auto isFull = [&pool, aMaxOpen] {
    return aMaxOpen > 0 && pool.mOpenCount >= aMaxOpen;
  };
  while (!pool.mIdle.empty() &&
         (aChoice == channel_choice::IdleOrNew || isFull())) {
    const idle_channel last = pool.mIdle.back();
    pool.mIdle.pop_back();
    // Bytes that arrived since the last response belong to no call.
    if (aChoice == channel_choice::IdleOrNew && last.mExpiresAt > now &&
        IsOpen(aLoop, last.mId) &&
        PeekInput(aLoop, last.mId) == unread_input::Nothing) {
      ClearHasSent(aLoop, last.mId);
      return { last.mId, true };
    }
    Close(aLoop, last.mId);
    --pool.mOpenCount;
  }
  if (isFull()) {
    return {};
  }
  ++pool.mOpenCount;
  return { Connect(aLoop, aAddress, aOptions, {}), false };
}

void ReleaseChannel(event_loop& aLoop, connection_pool& aPool,
                    const std::string& aAddress, channel_id aChannel,
                    absl::Duration aIdleTime)
{
  if (!IsOpen(aLoop, aChannel) || aIdleTime <= absl::ZeroDuration()) {
    CloseChannel(aLoop, aPool, aAddress, aChannel);
    return;
  }
  channel_handlers handlers;
  // Bytes on an idle connection belong to no call, so they cannot be told
  // apart from the next response.
  handlers.mOnData = [&aLoop, &aPool, aAddress, aChannel](std::string_view) {
    CloseChannel(aLoop, aPool, aAddress, aChannel);
  };
  handlers.mOnClosed = [&aPool, aAddress, aChannel](close_cause) {
    RemoveFromPool(aPool, aAddress, aChannel);
  };
  SetHandlers(aLoop, aChannel, std::move(handlers));
  SetReadingPaused(aLoop, aChannel, false);
  aPool.mAddresses[aAddress].mIdle.push_back(
    { aChannel, MonotonicNow() + aIdleTime });
}

void CloseChannel(event_loop& aLoop, connection_pool& aPool,
                  const std::string& aAddress, channel_id aChannel)
{
  // aAddress may refer to a string in a handler that Close destroys, so it is
  // used before Close.
  RemoveFromPool(aPool, aAddress, aChannel);
  Close(aLoop, aChannel);
}

void CloseIdleChannels(event_loop& aLoop, connection_pool& aPool,
                       const std::string& aAddress)
{
  const auto found = aPool.mAddresses.find(aAddress);
  if (found == aPool.mAddresses.end()) {
    return;
  }
  const std::vector<idle_channel> idle = found->second.mIdle;
  for (const idle_channel& each : idle) {
    CloseChannel(aLoop, aPool, aAddress, each.mId);
  }
}

void ExpireIdleChannels(event_loop& aLoop, connection_pool& aPool,
                        absl::Time aNow)
{
  std::vector<std::pair<std::string, channel_id>> expired;
  for (const auto& pool : aPool.mAddresses) {
    for (const idle_channel& idle : pool.second.mIdle) {
      if (idle.mExpiresAt <= aNow) {
        expired.emplace_back(pool.first, idle.mId);
      }
    }
  }
  for (const auto& each : expired) {
    CloseChannel(aLoop, aPool, each.first, each.second);
  }
}

} // namespace foxtailquay
