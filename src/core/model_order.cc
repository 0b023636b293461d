// Planning and sending of orders to engines.

#include "model_order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace foxtailquay {

namespace {

using server_map = std::map<backend_id, order_backend>;

bool IsSameOrder(const model_order& aLeft, const model_order& aRight)
{
  return std::tie(aLeft.mKind, aLeft.mBackend, aLeft.mModel, aLeft.mRole) ==
         std::tie(aRight.mKind, aRight.mBackend, aRight.mModel, aRight.mRole);
}

// Returns true if the same order is waiting or running.
bool IsPending(const order_state& aState, const model_order& aOrder)
{
  const auto running = aState.mRunning.find(aOrder.mBackend);
  return (running != aState.mRunning.end() &&
          IsSameOrder(running->second, aOrder)) ||
         std::any_of(aState.mWaiting.begin(), aState.mWaiting.end(),
                     [&](const model_order& aOther) {
                       return IsSameOrder(aOther, aOrder);
                     });
}

std::map<zone_id, int> CountCopiesByZone(const server_map& aServers,
                                         const model_id& aModel)
{
  std::map<zone_id, int> copies;
  for (const auto& [id, server] : aServers) {
    if (server.mUsable && server.mLoaded.count(aModel) != 0) {
      ++copies[server.mZone];
    }
  }
  return copies;
}

// Returns the server for a further copy of the model, or the end if no server
// has enough free memory.
server_map::iterator ChooseServer(server_map& aServers,
                                  const model_demand& aDemand)
{
  std::map<zone_id, int> copies = CountCopiesByZone(aServers, aDemand.mModel);
  auto best = aServers.end();
  for (auto it = aServers.begin(); it != aServers.end(); ++it) {
    const order_backend& server = it->second;
    if (!server.mUsable || server.mLoaded.count(aDemand.mModel) != 0 ||
        server.mFreeBytes < aDemand.mBytes) {
      continue;
    }
    if (best == aServers.end() ||
        std::make_tuple(copies[server.mZone], -server.mFreeBytes) <
          std::make_tuple(copies[best->second.mZone],
                          -best->second.mFreeBytes)) {
      best = it;
    }
  }
  return best;
}

// Returns the number of slots for the model, provided that each server divides
// its slots equally among its loaded models.
double ComputeSlots(const server_map& aServers, const model_id& aModel)
{
  double slots = 0;
  for (const auto& [id, server] : aServers) {
    if (server.mUsable && server.mLoaded.count(aModel) != 0) {
      slots += server.mSlots / static_cast<double>(server.mLoaded.size());
    }
  }
  return slots;
}

// Counts the running loads in the zone of aServer or, if aSameRack is set, in
// its rack.
int CountRunningLoads(const order_state& aState, const server_map& aServers,
                      const order_backend& aServer, bool aSameRack)
{
  int count = 0;
  for (const auto& [id, order] : aState.mRunning) {
    const auto server = aServers.find(id);
    if (server == aServers.end() || order.mKind != order_kind::LoadModel ||
        server->second.mZone != aServer.mZone ||
        (aSameRack && server->second.mRack != aServer.mRack)) {
      continue;
    }
    ++count;
  }
  return count;
}

bool MayStart(const order_state& aState, const server_map& aServers,
              const model_order& aOrder, const model_order_options& aOptions)
{
  const auto server = aServers.find(aOrder.mBackend);
  if (server == aServers.end() || !server->second.mUsable ||
      aState.mRunning.count(aOrder.mBackend) != 0) {
    return false;
  }
  if (aOrder.mKind != order_kind::LoadModel) {
    return true;
  }
  const auto within = [&](int aLimit, bool aSameRack) {
    return aLimit <= 0 || CountRunningLoads(aState, aServers, server->second,
                                            aSameRack) < aLimit;
  };
  return (aOrder.mBytes == 0 || aState.mBytes >= 0) &&
         within(aOptions.mMaxPerZone, false) &&
         (server->second.mRack.empty() || within(aOptions.mMaxPerRack, true));
}

// Returns true if aLeft is sent before aRight. Precondition: aRight was
// submitted later.
bool IsSentBefore(const model_order& aLeft, const model_order& aRight,
                  order_rule aRule)
{
  switch (aRule) {
    case order_rule::FirstComeFirstServed:
      return true;
    case order_rule::CheapestFirst:
      return static_cast<double>(aLeft.mBytes) * aRight.mBenefit <=
             static_cast<double>(aRight.mBytes) * aLeft.mBenefit;
  }
  return true;
}

// Adds a failed order to the waiting ones unless it has been sent mMaxAttempts
// times.
void RequeueOrder(order_state& aState, model_order aOrder,
                  const model_order_options& aOptions)
{
  if (aOrder.mAttempts < aOptions.mMaxAttempts) {
    aState.mWaiting.push_back(std::move(aOrder));
  }
}

// Removes running orders that exceeded mOrderTimeout; see RequeueOrder.
void ExpireOrders(order_state& aState, const model_order_options& aOptions,
                  absl::Time aNow)
{
  for (auto it = aState.mRunning.begin(); it != aState.mRunning.end();) {
    if (it->second.mSentAt + aOptions.mOrderTimeout > aNow) {
      ++it;
      continue;
    }
    RequeueOrder(aState, std::move(it->second), aOptions);
    it = aState.mRunning.erase(it);
  }
}

// Adds the bytes that the weight store has delivered since the last refill.
void RefillBytes(order_state& aState, const model_order_options& aOptions,
                 absl::Time aNow)
{
  if (aState.mRefilledAt < aNow) {
    // The maximum is 0: unused bytes of an idle time would allow a burst above
    // the rate.
    aState.mBytes = std::min(
      0.0, aState.mBytes + absl::ToDoubleSeconds(aNow - aState.mRefilledAt) *
                             aOptions.mBytesPerSecond);
  }
  aState.mRefilledAt = aNow;
}

} // namespace

fencing_number MakeFencingNumber(std::uint32_t aEpoch, std::uint32_t aOrder)
{
  return (static_cast<fencing_number>(aEpoch) << 32U) | aOrder;
}

bool AcceptFencingNumber(fencing_number& aHighest,
                         fencing_number aFencingNumber)
{
  if (aFencingNumber < aHighest) {
    return false;
  }
  aHighest = aFencingNumber;
  return true;
}

std::vector<model_order> PlanLoads(const std::vector<model_demand>& aDemands,
                                   const server_map& aServers,
                                   const model_order_options& aOptions)
{
  server_map servers = aServers;
  std::vector<model_order> orders;
  for (const model_demand& demand : aDemands) {
    const double required = demand.mRequests / aOptions.mTargetUtilization;
    int copies = 0;
    for (const auto& [zone, count] :
         CountCopiesByZone(servers, demand.mModel)) {
      copies += count;
    }
    double slots = ComputeSlots(servers, demand.mModel);
    while (slots < required || copies < demand.mMinCopies) {
      const auto server = ChooseServer(servers, demand);
      if (server == servers.end()) {
        break;
      }
      server->second.mLoaded.insert(demand.mModel);
      server->second.mFreeBytes -= demand.mBytes;
      const double after = ComputeSlots(servers, demand.mModel);
      model_order order;
      order.mBackend = server->first;
      order.mModel = demand.mModel;
      order.mBytes = demand.mBytes;
      order.mBenefit = std::max(0.0, std::min(after, required) - slots);
      orders.push_back(std::move(order));
      slots = after;
      ++copies;
    }
  }
  return orders;
}

void SubmitOrders(order_state& aState, const std::vector<model_order>& aOrders,
                  const model_order_options& aOptions)
{
  for (const model_order& order : aOrders) {
    if (aState.mWaiting.size() < aOptions.mMaxWaiting &&
        !IsPending(aState, order)) {
      aState.mWaiting.push_back(order);
    }
  }
}

std::vector<model_order> TakeOrders(order_state& aState,
                                    const server_map& aServers,
                                    const model_order_options& aOptions,
                                    absl::Time aNow)
{
  ExpireOrders(aState, aOptions, aNow);
  RefillBytes(aState, aOptions, aNow);
  std::vector<model_order> taken;
  while (true) {
    auto next = aState.mWaiting.end();
    for (auto it = aState.mWaiting.begin(); it != aState.mWaiting.end(); ++it) {
      if (MayStart(aState, aServers, *it, aOptions) &&
          (next == aState.mWaiting.end() ||
           !IsSentBefore(*next, *it, aOptions.mRule))) {
        next = it;
      }
    }
    if (next == aState.mWaiting.end()) {
      return taken;
    }
    model_order order = std::move(*next);
    aState.mWaiting.erase(next);
    order.mFencingNumber =
      MakeFencingNumber(aState.mPlannerEpoch, ++aState.mSentCount);
    order.mSentAt = aNow;
    ++order.mAttempts;
    aState.mBytes -= static_cast<double>(order.mBytes);
    taken.push_back(order);
    aState.mRunning[order.mBackend] = std::move(order);
  }
}

void RecordOrderEnd(order_state& aState, const backend_id& aBackend,
                    fencing_number aFencingNumber, bool aDone,
                    const model_order_options& aOptions)
{
  const auto running = aState.mRunning.find(aBackend);
  if (running == aState.mRunning.end() ||
      running->second.mFencingNumber != aFencingNumber) {
    return;
  }
  if (!aDone) {
    RequeueOrder(aState, std::move(running->second), aOptions);
  }
  aState.mRunning.erase(running);
}

absl::Time GetNextOrderTime(const order_state& aState,
                            const model_order_options& aOptions)
{
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [id, order] : aState.mRunning) {
    next = std::min(next, order.mSentAt + aOptions.mOrderTimeout);
  }
  if (!aState.mWaiting.empty() && aState.mBytes < 0) {
    next = std::min(next,
                    aState.mRefilledAt +
                      absl::Seconds(-aState.mBytes / aOptions.mBytesPerSecond));
  }
  return next;
}

} // namespace foxtailquay
