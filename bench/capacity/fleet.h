// Simulation of many router and agent nodes of the core in one process, on a
// virtual clock, which measures their cost: processor time, messages, bytes and
// store calls.
//
// Messages, runs and store calls take fixed times. Only the functions of the
// nodes are timed, so the fakes do not contribute. Not thread-safe.

#ifndef FOXTAILQUAY_BENCH_CAPACITY_FLEET_H
#define FOXTAILQUAY_BENCH_CAPACITY_FLEET_H

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailquay/agent.h"

namespace foxtailquay {

// Size and load of one measured fleet.
struct fleet_size
{
  int mRouters = 3;
  int mAgents = 4;
  int mBudgets = 20;
  int mModels = 5;
  std::uint32_t mShards = 4;
  // Requests a second to all routers together.
  double mRequestsPerSecond = 0;
  absl::Duration mSettleDelay = router_options{}.mSettleDelay;
};

// Cost of all nodes of one role.
struct role_cost
{
  double mCpuSeconds = 0;
  std::int64_t mMessages = 0;
  std::int64_t mBytes = 0;
};

struct store_cost
{
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
  std::int64_t mConflicts = 0;
  std::int64_t mLargestValue = 0;
};

struct fleet_node
{
  router_ptr mRouter;
  agent_ptr mAgent;
  absl::Time mWakeAt = absl::InfiniteFuture();
};

// A run that was dispatched to an agent: its router, and its ids there.
struct fleet_run
{
  std::size_t mRouter = 0;
  request_handle mHandle = 0;
  request_id mRequest;
};

struct fleet_event
{
  absl::Time mAt;
  std::uint64_t mSequenceNumber = 0;
  std::size_t mNode = 0;
  std::variant<router_event, agent_event> mEvent;
};

struct is_later
{
  bool operator()(const fleet_event& aLeft, const fleet_event& aRight) const
  {
    return std::tie(aLeft.mAt, aLeft.mSequenceNumber) >
           std::tie(aRight.mAt, aRight.mSequenceNumber);
  }
};

struct fleet
{
  fleet_size mSize;
  node_charts_ptr mCharts;
  absl::Time mNow = absl::FromUnixSeconds(1'000'000);
  std::uint64_t mSequenceNumber = 0;
  std::vector<fleet_node> mNodes;
  std::map<std::string, std::size_t> mNodesByName;
  std::priority_queue<fleet_event, std::vector<fleet_event>, is_later> mEvents;
  std::map<store_key, std::pair<store_version, store_document>> mStore;
  std::map<std::pair<std::size_t, request_handle>, fleet_run> mRuns;
  bool mStoreDown = false;
  // True if callers send requests; set once the budgets are topped up.
  bool mSendsRequests = false;
  std::mt19937_64 mRandom;
  request_handle mNextHandle = 1;
  absl::Time mNextRequestAt = absl::InfiniteFuture();

  role_cost mRouterCost;
  role_cost mAgentCost;
  store_cost mStoreCost;
  std::int64_t mCompletedRequests = 0;
  std::int64_t mRefusedRequests = 0;
  std::map<std::string, std::int64_t> mRefusalsByCode;
  // Bytes of the messages sent by all nodes, by kind.
  std::map<std::string, std::int64_t> mBytesByKind;
};

// Starts all nodes, applies a configuration patch and tops up all budgets.
// Precondition: aCharts has the text of every chart file by file name.
fleet MakeFleet(const fleet_size& aSize,
                const std::map<std::string, std::string>& aCharts);

// Advances the clock by aTime and handles the events that are due.
void RunFor(fleet& aFleet, absl::Duration aTime);

// Sets all counters to zero.
void ResetCosts(fleet& aFleet);

// Replaces every node by a new incarnation with empty memory, as after a
// restart of the whole fleet.
void RestartAll(fleet& aFleet);

// Returns the patch with the models, backend servers and workspaces of a fleet.
config_patch MakeConfig(const fleet_size& aSize);

} // namespace foxtailquay

#endif
