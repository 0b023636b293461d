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

bool IsKnown(const order_state& aState, const model_order& aOrder)
{
  const auto running = aState.mRunning.find(aOrder.mBackend);
  return (running != aState.mRunning.end() &&
          IsSameOrder(running->second, aOrder)) ||
         std::any_of(aState.mWaiting.begin(), aState.mWaiting.end(),
                     [&](const model_order& aOther) {
                       return IsSameOrder(aOther, aOrder);
                     });
}

std::map<zone_id, int> CopiesByZone(const server_map& aServers,
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

// The server for a further copy of the model, or the end.
server_map::iterator PlaceFor(server_map& aServers, const model_demand& aDemand)
{
  std::map<zone_id, int> copies = CopiesByZone(aServers, aDemand.mModel);
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

// Slots that serve the model. A server shares its slots among its models.
double SlotsFor(const server_map& aServers, const model_id& aModel)
{
  double slots = 0;
  for (const auto& [id, server] : aServers) {
    if (server.mUsable && server.mLoaded.count(aModel) != 0) {
      slots += server.mSlots / static_cast<double>(server.mLoaded.size());
    }
  }
  return slots;
}

int CountRunning(const order_state& aState, const server_map& aServers,
                 const order_backend& aBeside, bool aSameRack)
{
  int count = 0;
  for (const auto& [id, order] : aState.mRunning) {
    const auto server = aServers.find(id);
    if (server == aServers.end() || order.mKind != order_kind::LoadModel ||
        server->second.mZone != aBeside.mZone ||
        (aSameRack && server->second.mRack != aBeside.mRack)) {
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
    return aLimit <= 0 ||
           CountRunning(aState, aServers, server->second, aSameRack) < aLimit;
  };
  return (aOrder.mBytes == 0 || aState.mBytes >= 0) &&
         within(aOptions.mMaxPerZone, false) &&
         (server->second.mRack.empty() || within(aOptions.mMaxPerRack, true));
}

// True if aLeft is to be sent before aRight, which was submitted later.
bool KeepsPlace(const model_order& aLeft, const model_order& aRight,
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

void TryAgain(order_state& aState, model_order aOrder,
              const model_order_options& aOptions)
{
  if (aOrder.mAttempts < aOptions.mMaxAttempts) {
    aState.mWaiting.push_back(std::move(aOrder));
  }
}

void GiveUpLateOrders(order_state& aState, const model_order_options& aOptions,
                      absl::Time aNow)
{
  for (auto it = aState.mRunning.begin(); it != aState.mRunning.end();) {
    if (it->second.mSentAt + aOptions.mOrderTimeout > aNow) {
      ++it;
      continue;
    }
    TryAgain(aState, std::move(it->second), aOptions);
    it = aState.mRunning.erase(it);
  }
}

void Refill(order_state& aState, const model_order_options& aOptions,
            absl::Time aNow)
{
  if (aState.mRefilledAt < aNow) {
    // Nothing is saved up: a burst after a quiet time would exceed the rate.
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

bool AcceptFencingNumber(fencing_number& aHighest, fencing_number aFence)
{
  if (aFence < aHighest) {
    return false;
  }
  aHighest = aFence;
  return true;
}

std::vector<model_order> PlanLoads(const std::vector<model_demand>& aDemands,
                                   const server_map& aServers,
                                   const model_order_options& aOptions)
{
  server_map servers = aServers;
  std::vector<model_order> orders;
  for (const model_demand& demand : aDemands) {
    const double wanted = demand.mRequests / aOptions.mTargetUse;
    int copies = 0;
    for (const auto& [zone, count] : CopiesByZone(servers, demand.mModel)) {
      copies += count;
    }
    double slots = SlotsFor(servers, demand.mModel);
    while (slots < wanted || copies < demand.mMinCopies) {
      const auto place = PlaceFor(servers, demand);
      if (place == servers.end()) {
        break;
      }
      place->second.mLoaded.insert(demand.mModel);
      place->second.mFreeBytes -= demand.mBytes;
      const double after = SlotsFor(servers, demand.mModel);
      model_order order;
      order.mBackend = place->first;
      order.mModel = demand.mModel;
      order.mBytes = demand.mBytes;
      order.mBenefit = std::max(0.0, std::min(after, wanted) - slots);
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
        !IsKnown(aState, order)) {
      aState.mWaiting.push_back(order);
    }
  }
}

std::vector<model_order> TakeOrders(order_state& aState,
                                    const server_map& aServers,
                                    const model_order_options& aOptions,
                                    absl::Time aNow)
{
  GiveUpLateOrders(aState, aOptions, aNow);
  Refill(aState, aOptions, aNow);
  std::vector<model_order> taken;
  while (true) {
    auto next = aState.mWaiting.end();
    for (auto it = aState.mWaiting.begin(); it != aState.mWaiting.end(); ++it) {
      if (MayStart(aState, aServers, *it, aOptions) &&
          (next == aState.mWaiting.end() ||
           !KeepsPlace(*next, *it, aOptions.mRule))) {
        next = it;
      }
    }
    if (next == aState.mWaiting.end()) {
      return taken;
    }
    model_order order = std::move(*next);
    aState.mWaiting.erase(next);
    order.mFencingNumber = MakeFencingNumber(aState.mEpoch, ++aState.mSent);
    order.mSentAt = aNow;
    ++order.mAttempts;
    aState.mBytes -= static_cast<double>(order.mBytes);
    taken.push_back(order);
    aState.mRunning[order.mBackend] = std::move(order);
  }
}

void RecordOrderEnd(order_state& aState, const backend_id& aBackend,
                    fencing_number aFence, bool aDone,
                    const model_order_options& aOptions)
{
  const auto running = aState.mRunning.find(aBackend);
  if (running == aState.mRunning.end() ||
      running->second.mFencingNumber != aFence) {
    return;
  }
  if (!aDone) {
    TryAgain(aState, std::move(running->second), aOptions);
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
