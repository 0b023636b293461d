#include "transport/connection_pool.h"

#include <algorithm>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

void Forget(connection_pool& aPool, const std::string& aAddress,
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
  if (--found->second.mOpen <= 0) {
    aPool.mAddresses.erase(found);
  }
}

} // namespace

pooled_channel Acquire(event_loop& aLoop, connection_pool& aPool,
                       const std::string& aAddress, int aLimit,
                       const channel_options& aOptions)
{
  address_pool& pool = aPool.mAddresses[aAddress];
  const absl::Time now = MonotonicNow();
  while (!pool.mIdle.empty()) {
    const idle_channel last = pool.mIdle.back();
    pool.mIdle.pop_back();
    if (last.mUntil > now && IsOpen(aLoop, last.mId)) {
      MarkUnsent(aLoop, last.mId);
      return { last.mId, true };
    }
    Close(aLoop, last.mId);
    --pool.mOpen;
  }
  if (aLimit > 0 && pool.mOpen >= aLimit) {
    return {};
  }
  ++pool.mOpen;
  return { Connect(aLoop, aAddress, aOptions, {}), false };
}

void Release(event_loop& aLoop, connection_pool& aPool,
             const std::string& aAddress, channel_id aChannel,
             absl::Duration aIdleTime)
{
  if (!IsOpen(aLoop, aChannel) || aIdleTime <= absl::ZeroDuration()) {
    Discard(aLoop, aPool, aAddress, aChannel);
    return;
  }
  channel_handlers handlers;
  // Bytes on an idle connection belong to no call.
  handlers.mOnData = [&aLoop, &aPool, aAddress, aChannel](std::string_view) {
    Discard(aLoop, aPool, aAddress, aChannel);
  };
  handlers.mOnClosed = [&aPool, aAddress, aChannel](close_cause) {
    Forget(aPool, aAddress, aChannel);
  };
  SetHandlers(aLoop, aChannel, std::move(handlers));
  aPool.mAddresses[aAddress].mIdle.push_back(
    { aChannel, MonotonicNow() + aIdleTime });
}

void Discard(event_loop& aLoop, connection_pool& aPool,
             const std::string& aAddress, channel_id aChannel)
{
  // The address may belong to the handler that Close destroys.
  Forget(aPool, aAddress, aChannel);
  Close(aLoop, aChannel);
}

void Sweep(event_loop& aLoop, connection_pool& aPool, absl::Time aNow)
{
  std::vector<std::pair<std::string, channel_id>> expired;
  for (const auto& pool : aPool.mAddresses) {
    for (const idle_channel& idle : pool.second.mIdle) {
      if (idle.mUntil <= aNow) {
        expired.emplace_back(pool.first, idle.mId);
      }
    }
  }
  for (const auto& each : expired) {
    Discard(aLoop, aPool, each.first, each.second);
  }
}

} // namespace foxtailquay
