// Suite that compares rules for the order of model loads: the demand that is
// unserved until all loads are done, and the fraction of one zone's servers
// that load at the same time.

#include <algorithm>
#include <random>

#include "absl/strings/str_cat.h"
#include "core/model_order.h"
#include "suites.h"

namespace foxtailquay {

namespace {

constexpr std::int64_t kGigabyte = 1000000000;
// Rate at which a server reads weights; it is low enough that loads overlap.
constexpr double kServerBytesPerSecond = 0.5e9;
// Number of scenarios per seed; one scenario has only a few loads.
constexpr int kScenariosPerSeed = 20;

struct order_result
{
  double mUnservedSlotSeconds = 0;
  double mSeconds = 0;
  double mMaxZoneLoss = 0;
};

using server_map = std::map<backend_id, order_backend>;

server_map MakeServers()
{
  server_map servers;
  for (int i = 0; i < 20; ++i) {
    order_backend& server = servers[{ absl::StrCat("w", 10 + i) }];
    server.mZone = { absl::StrCat("z", i % 3) };
    server.mRack = absl::StrCat("r", i / 3 % 2);
    server.mFreeBytes = 60 * kGigabyte;
    server.mLoaded = { { "base" } };
  }
  return servers;
}

std::vector<model_demand> MakeDemands(std::mt19937_64& aRandom)
{
  // The base model is loaded on all servers; the others are on none.
  std::vector<model_demand> demands = {
    { { "base" }, 100, 20 * kGigabyte, 0 }
  };
  for (int i = 0; i < 5; ++i) {
    demands.push_back(
      { { absl::StrCat("m", i) },
        static_cast<double>(4 + aRandom() % 30),
        static_cast<std::int64_t>(2 + aRandom() % 58) * kGigabyte,
        1 });
  }
  return demands;
}

// Returns the demand, in slots, that no loaded server covers. A server that is
// loading a model serves no requests.
double ComputeUnserved(const server_map& aServers, const order_state& aState,
                       const std::vector<model_demand>& aDemands)
{
  double unserved = 0;
  for (const model_demand& demand : aDemands) {
    double slots = 0;
    for (const auto& [id, server] : aServers) {
      if (server.mLoaded.count(demand.mModel) != 0 &&
          aState.mRunning.count(id) == 0) {
        slots += server.mSlots / static_cast<double>(server.mLoaded.size());
      }
    }
    unserved += std::max(0.0, demand.mRequests - slots);
  }
  return unserved;
}

// Returns the highest fraction of one zone's servers that are loading.
double ComputeZoneLoss(const server_map& aServers, const order_state& aState)
{
  std::map<zone_id, double> loading;
  std::map<zone_id, double> all;
  for (const auto& [id, server] : aServers) {
    all[server.mZone] += 1;
    loading[server.mZone] += aState.mRunning.count(id) != 0 ? 1 : 0;
  }
  double loss = 0;
  for (const auto& [zone, count] : loading) {
    loss = std::max(loss, count / all[zone]);
  }
  return loss;
}

// Runs one scenario in steps of 1 s and adds its result to aResult.
void RunScenario(const model_order_options& aOptions, std::uint64_t aSeed,
                 order_result& aResult)
{
  std::mt19937_64 random(aSeed);
  server_map servers = MakeServers();
  const std::vector<model_demand> demands = MakeDemands(random);
  order_state state;
  SubmitOrders(state, PlanLoads(demands, servers, aOptions), aOptions);
  absl::Time now = absl::UnixEpoch();
  while (!state.mWaiting.empty() || !state.mRunning.empty()) {
    std::vector<model_order> done;
    for (const auto& [id, order] : state.mRunning) {
      if (now >=
          order.mSentAt + absl::Seconds(static_cast<double>(order.mBytes) /
                                        kServerBytesPerSecond)) {
        done.push_back(order);
      }
    }
    for (const model_order& order : done) {
      servers[order.mBackend].mLoaded.insert(order.mModel);
      RecordOrderEnd(state, order.mBackend, order.mFencingNumber, true,
                     aOptions);
    }
    TakeOrders(state, servers, aOptions, now);
    aResult.mUnservedSlotSeconds += ComputeUnserved(servers, state, demands);
    aResult.mMaxZoneLoss =
      std::max(aResult.mMaxZoneLoss, ComputeZoneLoss(servers, state));
    aResult.mSeconds += 1;
    now += absl::Seconds(1);
  }
}

} // namespace

suite_result RunOrderSuite(int aSeeds)
{
  suite_result suite;
  double firstComeUnserved = 0;
  const int scenarios = aSeeds * kScenariosPerSeed;
  for (const auto& rule : NameTable(order_rule{})) {
    for (bool limitsNeighbours : { false, true }) {
      model_order_options options;
      options.mRule = rule.mValue;
      if (!limitsNeighbours) {
        options.mMaxPerRack = 0;
        options.mMaxPerZone = 0;
      }
      order_result result;
      for (int i = 0; i < scenarios; ++i) {
        RunScenario(options, static_cast<std::uint64_t>(i) + 1, result);
      }
      const double unserved = result.mUnservedSlotSeconds / scenarios;
      bench_row row;
      row.mLabels = { { "order", std::string(rule.mName) },
                      { "neighbours",
                        limitsNeighbours ? "take turns" : "at once" } };
      row.mValues = { { "unserved_slot_s", unserved },
                      { "seconds", result.mSeconds / scenarios },
                      { "largest_zone_loss", result.mMaxZoneLoss } };
      suite.mRows.push_back(std::move(row));
      if (rule.mValue == order_rule::FirstComeFirstServed &&
          !limitsNeighbours) {
        firstComeUnserved = unserved;
      }
      if (rule.mValue == model_order_options().mRule && limitsNeighbours) {
        AddUpperBoundCheck(suite,
                           "unserved demand against first come first served",
                           unserved, firstComeUnserved);
      }
    }
  }
  return suite;
}

} // namespace foxtailquay
