// Orders to engines: load or unload a model, change the role.
//
// One router at a time plans (the planner). It compares the demand for each
// model with what is loaded, and sends orders within the rate of the weight
// store, at most one at a time per backend server:
//
//   SubmitOrders(state, PlanLoads(demands, servers, options), options);
//   for (model_order& order : TakeOrders(state, servers, options, now)) {
//     send it to the agent of order.mBackend
//   }
//   ... RecordOrderEnd(state, order.mBackend, order.mFencingNumber, done,
//                      options);
//
// Each order carries a fencing number. A new planner starts with a higher
// epoch, allocated from the store, so that agents and engines refuse orders
// that an earlier planner still sends.
//
// Deterministic; bounded by mMaxWaiting orders and one per backend server.

#ifndef FOXTAILQUAY_CORE_MODEL_ORDER_H
#define FOXTAILQUAY_CORE_MODEL_ORDER_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

using fencing_number = std::uint64_t;

enum class order_kind
{
  LoadModel,
  UnloadModel,
  ChangeRole,
};

constexpr auto NameTable(order_kind)
{
  return MakeNameTable<order_kind>({
    { order_kind::LoadModel, "load_model" },
    { order_kind::UnloadModel, "unload_model" },
    { order_kind::ChangeRole, "change_role" },
  });
}

enum class engine_role
{
  Mixed,
  Prefill,
  Decode,
};

constexpr auto NameTable(engine_role)
{
  return MakeNameTable<engine_role>({ { engine_role::Mixed, "mixed" },
                                      { engine_role::Prefill, "prefill" },
                                      { engine_role::Decode, "decode" } });
}

enum class order_rule
{
  FirstComeFirstServed,
  // Least bytes per unit of unserved demand first.
  CheapestFirst,
};

constexpr auto NameTable(order_rule)
{
  return MakeNameTable<order_rule>(
    { { order_rule::FirstComeFirstServed, "first_come_first_served" },
      { order_rule::CheapestFirst, "cheapest_first" } });
}

struct model_order_options
{
  order_rule mRule = order_rule::CheapestFirst;
  // Loads at once in one rack and in one zone; 0 means no limit. A server
  // that loads serves little, so neighbours take turns.
  int mMaxPerRack = 1;
  int mMaxPerZone = 2;
  // Rate of the weight store.
  double mBytesPerSecond = 2e9;
  // Part of a server's slots that planning fills.
  double mTargetUse = 0.7;
  // An order that has not ended after this time counts as failed.
  absl::Duration mOrderTimeout = absl::Minutes(10);
  int mMaxAttempts = 3;
  std::size_t mMaxWaiting = 1024;
};

struct model_order
{
  order_kind mKind = order_kind::LoadModel;
  backend_id mBackend;
  model_id mModel;
  // For ChangeRole.
  engine_role mRole = engine_role::Mixed;
  // Bytes that the weight store has to deliver.
  std::int64_t mBytes = 0;
  // Slots of unserved demand that the order helps to serve.
  double mBenefit = 0;
  fencing_number mFencingNumber = 0;
  int mAttempts = 0;
  absl::Time mSentAt = absl::InfinitePast();
};

// Demand for one model, in requests at once.
struct model_demand
{
  model_id mModel;
  double mRequests = 0;
  std::int64_t mBytes = 0;
  // Copies to keep even without demand.
  int mMinCopies = 0;
};

// What planning knows of one engine.
struct order_backend
{
  zone_id mZone;
  std::string mRack;
  int mSlots = 16;
  std::int64_t mFreeBytes = 0;
  std::set<model_id> mLoaded;
  bool mUsable = true;
};

struct order_state
{
  // Higher for each new planner; allocated from the store.
  std::uint32_t mEpoch = 0;
  std::uint32_t mSent = 0;
  std::vector<model_order> mWaiting;
  std::map<backend_id, model_order> mRunning;
  // Bytes that may be requested now; negative after a large load.
  double mBytes = 0;
  absl::Time mRefilledAt = absl::InfiniteFuture();
};

// Number of the order'th order of an epoch. Numbers of a higher epoch are
// higher.
fencing_number MakeFencingNumber(std::uint32_t aEpoch, std::uint32_t aOrder);

// For agents, on behalf of engines that ignore fencing numbers: true, and
// aHighest raised, unless a higher number was seen. The same number again is a
// repeated order and is accepted.
bool AcceptFencingNumber(fencing_number& aHighest, fencing_number aFence);

// Loads that the demands still need, with the server for each: the zone with
// the fewest copies of the model, then the most free memory. Deterministic.
std::vector<model_order> PlanLoads(
  const std::vector<model_demand>& aDemands,
  const std::map<backend_id, order_backend>& aServers,
  const model_order_options& aOptions);

// Adds orders that are not yet waiting or running, as far as there is room.
void SubmitOrders(order_state& aState, const std::vector<model_order>& aOrders,
                  const model_order_options& aOptions);

// Removes and returns the orders to send now, each with a new fencing number.
// Orders that ran too long are given up or sent again.
std::vector<model_order> TakeOrders(
  order_state& aState, const std::map<backend_id, order_backend>& aServers,
  const model_order_options& aOptions, absl::Time aNow);

// The order has ended. Ignored if aFence is not that of the running order. A
// failed one is tried again up to mMaxAttempts.
void RecordOrderEnd(order_state& aState, const backend_id& aBackend,
                    fencing_number aFence, bool aDone,
                    const model_order_options& aOptions);

// When TakeOrders may have something to return, given no other event.
absl::Time GetNextOrderTime(const order_state& aState,
                            const model_order_options& aOptions);

} // namespace foxtailquay

#endif
