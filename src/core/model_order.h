// Orders that tell engines to load or unload a model or to change their role.
//
// One router at a time is the planner. It compares the demand for each model
// with the loaded copies, and sends orders within the rate of the weight store,
// at most one at a time per backend server:
//
//   SubmitOrders(state, PlanLoads(demands, servers, options), options);
//   for (model_order& order : TakeOrders(state, servers, options, now)) {
//     send it to the agent of order.mBackend
//   }
//   ... RecordOrderEnd(state, order.mBackend, order.mFencingNumber, done,
//                      options);
//
// Each order has a fencing number. A new planner starts with a higher epoch,
// allocated from the store, so that agents and engines reject orders that an
// earlier planner still sends.
//
// All functions are deterministic. Memory is bounded by mMaxWaiting orders and
// one per backend server. Only one thread at a time may use an order_state.

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

// Higher for each later order; see MakeFencingNumber.
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

// Phases of inference that an engine performs: both, only prompts, or only
// completions.
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

// Sequence in which waiting orders are sent.
enum class order_rule
{
  FirstComeFirstServed,
  // Fewest bytes per slot of unserved demand first.
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
  // Largest number of concurrent loads in one rack and in one zone; 0 means no
  // limit. A server serves few requests while it loads.
  int mMaxPerRack = 1;
  int mMaxPerZone = 2;
  // Rate at which the weight store delivers.
  double mBytesPerSecond = 2e9;
  // Fraction of a server's slots that planning fills, 0 to 1.
  double mTargetUtilization = 0.7;
  // Time after which an order that has not ended counts as failed.
  absl::Duration mOrderTimeout = absl::Minutes(10);
  // Number of times that an order is sent.
  int mMaxAttempts = 3;
  // Largest number of waiting orders; others are not accepted.
  std::size_t mMaxWaiting = 1024;
};

struct model_order
{
  order_kind mKind = order_kind::LoadModel;
  backend_id mBackend;
  model_id mModel;
  // The new role; only used by ChangeRole.
  engine_role mRole = engine_role::Mixed;
  // Bytes that the weight store delivers; 0 if none.
  std::int64_t mBytes = 0;
  // Slots that the order adds for unserved demand.
  double mBenefit = 0;
  fencing_number mFencingNumber = 0;
  // Number of times that the order has been sent.
  int mAttempts = 0;
  absl::Time mSentAt = absl::InfinitePast();
};

// Demand for one model.
struct model_demand
{
  model_id mModel;
  // Concurrent requests.
  double mRequests = 0;
  // Size of the model's weights.
  std::int64_t mBytes = 0;
  // Copies to keep loaded even without demand.
  int mMinCopies = 0;
};

// Input of the planning about the engine of one backend server.
struct order_backend
{
  zone_id mZone;
  // Empty if unknown; the limit per rack does not apply then.
  std::string mRack;
  // Requests that the engine runs concurrently.
  int mSlots = 16;
  // Free memory for weights.
  std::int64_t mFreeBytes = 0;
  std::set<model_id> mLoaded;
  // False if no order may be sent to the engine.
  bool mUsable = true;
};

// Waiting and running orders of one planner.
struct order_state
{
  // Higher for each new planner; allocated from the store.
  std::uint32_t mPlannerEpoch = 0;
  // Orders sent in this epoch, including repetitions.
  std::uint32_t mSentCount = 0;
  std::vector<model_order> mWaiting;
  std::map<backend_id, model_order> mRunning;
  // Balance of the weight store's rate: 0 if a load may be sent, negative until
  // the weight store has delivered the bytes of the loads that were sent.
  double mBytes = 0;
  // Time of the last refill of mBytes.
  absl::Time mRefilledAt = absl::InfiniteFuture();
};

// Returns the fencing number of the order that is sent as the aOrderNumber-th
// of an epoch. All numbers of a higher epoch are higher.
fencing_number MakeFencingNumber(std::uint32_t aEpoch,
                                 std::uint32_t aOrderNumber);

// Returns false if aFencingNumber is lower than aHighest, the highest number so
// far; otherwise sets aHighest to it and returns true. An equal number is that
// of a repeated order. Agents call this on behalf of engines that ignore
// fencing numbers.
bool AcceptFencingNumber(fencing_number& aHighest,
                         fencing_number aFencingNumber);

// Returns the loads that the demands require beyond the loaded copies. Each
// load goes to a server with enough free memory in the zone with the fewest
// copies of the model; among these, to the one with the most free memory.
std::vector<model_order> PlanLoads(
  const std::vector<model_demand>& aDemands,
  const std::map<backend_id, order_backend>& aServers,
  const model_order_options& aOptions);

// Adds orders that are not yet waiting or running, up to mMaxWaiting.
void SubmitOrders(order_state& aState, const std::vector<model_order>& aOrders,
                  const model_order_options& aOptions);

// Removes and returns the orders to send now, each with a new fencing number.
// Orders that exceeded mOrderTimeout are sent again or, after mMaxAttempts,
// removed.
std::vector<model_order> TakeOrders(
  order_state& aState, const std::map<backend_id, order_backend>& aServers,
  const model_order_options& aOptions, absl::Time aNow);

// Records that the order has ended. Does nothing if aFencingNumber is not that
// of the running order. An order that failed (aDone is false) is sent again up
// to mMaxAttempts.
void RecordOrderEnd(order_state& aState, const backend_id& aBackend,
                    fencing_number aFencingNumber, bool aDone,
                    const model_order_options& aOptions);

// Returns the time from which TakeOrders may return orders if no other event
// happens before.
absl::Time GetNextOrderTime(const order_state& aState,
                            const model_order_options& aOptions);

} // namespace foxtailquay

#endif
