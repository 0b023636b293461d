// Guards against engines that obey a replaced planner, two concurrent orders to
// one backend server, overload of the weight store, and copies in one zone
// only.

#define BOOST_TEST_MODULE model_order
#include <boost/test/unit_test.hpp>

#include "core/model_order.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

using server_map = std::map<backend_id, order_backend>;

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr std::int64_t kGigabyte = 1000000000;

// Returns aCount servers in three zones and two racks per zone.
server_map MakeServers(int aCount)
{
  server_map servers;
  for (int i = 0; i < aCount; ++i) {
    order_backend& server = servers[{ "w" + std::to_string(10 + i) }];
    server.mZone = { "z" + std::to_string(i % 3) };
    server.mRack = "r" + std::to_string(i % 2);
    server.mFreeBytes = 80 * kGigabyte;
  }
  return servers;
}

// Orders of a replaced planner must be rejected; a repeated order of the
// current planner must be accepted.
BOOST_AUTO_TEST_CASE(older_fencing_numbers_are_rejected)
{
  fencing_number highest = 0;
  BOOST_TEST(AcceptFencingNumber(highest, MakeFencingNumber(1, 4000000000U)));
  BOOST_TEST(AcceptFencingNumber(highest, MakeFencingNumber(2, 1)));
  BOOST_TEST(AcceptFencingNumber(highest, MakeFencingNumber(2, 1)));
  BOOST_TEST(!AcceptFencingNumber(highest, MakeFencingNumber(1, 4000000001U)));
}

// Guards against plans with too few copies, with all copies in one zone, or
// with loads on servers without free memory.
BOOST_AUTO_TEST_CASE(planned_copies_meet_demand_and_spread_over_zones)
{
  server_map servers = MakeServers(9);
  for (auto& [id, server] : servers) {
    server.mFreeBytes = server.mZone.mValue == "z2" ? 0 : 80 * kGigabyte;
  }
  const auto orders = PlanLoads({ { { "m" }, 40, 30 * kGigabyte, 0 },
                                  { { "spare" }, 0, 9 * kGigabyte, 1 } },
                                servers, {});
  // 40 requests at 70% use of 16 slots need 4 copies.
  BOOST_REQUIRE(orders.size() == 5u);
  std::map<std::string, int> zones;
  for (std::size_t i = 0; i < 4; ++i) {
    BOOST_TEST(orders[i].mModel.mValue == "m");
    ++zones[servers[orders[i].mBackend].mZone.mValue];
  }
  BOOST_TEST(zones["z0"] == 2);
  BOOST_TEST(zones["z1"] == 2);
  BOOST_TEST(orders[4].mModel.mValue == "spare");
}

// A failed or lost order must be sent again, at most mMaxAttempts times, and a
// late result must not end a newer order.
BOOST_AUTO_TEST_CASE(failed_orders_are_resent_with_new_fencing_numbers)
{
  const server_map servers = MakeServers(1);
  const model_order_options options;
  order_state state;
  model_order order;
  order.mBackend = servers.begin()->first;
  SubmitOrders(state, { order, order }, options);
  absl::Time now = kStart;
  fencing_number last = 0;
  for (int i = 0; i < options.mMaxAttempts; ++i) {
    const auto taken = TakeOrders(state, servers, options, now);
    BOOST_REQUIRE(taken.size() == 1u);
    BOOST_TEST(taken[0].mFencingNumber > last);
    RecordOrderEnd(state, order.mBackend, last, true, options);
    BOOST_TEST(state.mRunning.size() == 1u);
    last = taken[0].mFencingNumber;
    if (i == 0) {
      RecordOrderEnd(state, order.mBackend, last, false, options);
    }
    now = i == 0 ? now : GetNextOrderTime(state, options);
  }
  BOOST_TEST(TakeOrders(state, servers, options, now).empty());
  BOOST_TEST(state.mWaiting.empty());
  BOOST_TEST(state.mRunning.empty());
}

// Sends random orders. Each server has one order at a time, the limits per zone
// and rack and the weight store's rate hold, and every order is sent.
BOOST_AUTO_TEST_CASE(random_orders_respect_all_limits)
{
  const bool passed = rc::check([](std::uint64_t aSeed, bool aCheapest) {
    std::uint64_t random = aSeed | 1U;
    const auto draw = [&random](std::uint64_t aBelow) {
      random = random * 6364136223846793005U + 1442695040888963407U;
      return static_cast<std::int64_t>((random >> 33U) % aBelow);
    };
    const server_map servers = MakeServers(12);
    model_order_options options;
    options.mRule =
      aCheapest ? order_rule::CheapestFirst : order_rule::FirstComeFirstServed;
    order_state state;
    std::vector<model_order> orders;
    for (int i = 0; i < 40; ++i) {
      model_order order;
      order.mBackend = std::next(servers.begin(), draw(12))->first;
      order.mModel = { "m" + std::to_string(i) };
      order.mBytes = (1 + draw(40)) * kGigabyte;
      order.mBenefit = static_cast<double>(draw(16));
      orders.push_back(order);
    }
    SubmitOrders(state, orders, options);
    double bytes = 0;
    double largest = 0;
    std::size_t sent = 0;
    absl::Time now = kStart;
    while (sent < orders.size()) {
      RC_ASSERT(now < kStart + absl::Hours(1));
      for (const model_order& order :
           TakeOrders(state, servers, options, now)) {
        bytes += static_cast<double>(order.mBytes);
        largest = std::max(largest, static_cast<double>(order.mBytes));
        ++sent;
      }
      RC_ASSERT(bytes <= largest +
                           options.mBytesPerSecond *
                             absl::ToDoubleSeconds(now - kStart) +
                           1);
      std::map<std::string, int> zones;
      std::map<std::string, int> racks;
      for (const auto& [id, order] : state.mRunning) {
        const order_backend& server = servers.at(id);
        RC_ASSERT(++zones[server.mZone.mValue] <= options.mMaxPerZone);
        RC_ASSERT(++racks[server.mZone.mValue + server.mRack] <=
                  options.mMaxPerRack);
      }
      if (!state.mRunning.empty()) {
        const model_order ended = state.mRunning.begin()->second;
        RecordOrderEnd(state, ended.mBackend, ended.mFencingNumber, true,
                       options);
      }
      now += absl::Seconds(1);
    }
  });
  BOOST_TEST(passed);
}

} // namespace
} // namespace foxtailquay
