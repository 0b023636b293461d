// Guards against dispatches to unusable backend servers, and against overload
// of one server when several routers choose by the same old load report.

#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <functional>

#include "core/routing.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

using view_map = std::map<backend_id, backend_view>;

const absl::Time kStart = absl::FromUnixSeconds(1000);
const std::string kModel = "loom-7b";

backend_id MakeId(int aNumber)
{
  return { "w" + std::to_string(aNumber) };
}

view_map MakeFleet(int aSize)
{
  view_map views;
  for (int i = 0; i < aSize; ++i) {
    backend_view& view = views[MakeId(i)];
    view.mConfig.mZone = { "z" + std::to_string(i % 3) };
    view.mConfig.mModels = { { kModel } };
    view.mAddress = "127.0.0.1:1";
    load_report report;
    report.mSequence = 1;
    report.mLoadedModels = { { kModel } };
    RecordLoadReport(view, report, kStart);
  }
  return views;
}

routing_query MakeQuery()
{
  routing_query query;
  query.mTarget = kModel;
  query.mZone = { "z0" };
  query.mPromptTokens = 800;
  return query;
}

std::map<backend_id, int> CountChoices(const view_map& aViews,
                                       const routing_query& aQuery, int aTimes,
                                       const routing_options& aOptions = {})
{
  random_engine random(7);
  std::map<backend_id, int> counts;
  for (int i = 0; i < aTimes; ++i) {
    const auto chosen = ChooseBackend(aViews, aQuery, aOptions, kStart, random);
    BOOST_REQUIRE(chosen.has_value());
    ++counts[*chosen];
  }
  return counts;
}

// Each of these properties alone must prevent the choice of a server.
BOOST_AUTO_TEST_CASE(never_chooses_an_unusable_backend_server)
{
  const std::vector<std::function<void(backend_view&)>> faults = {
    [](backend_view& aView) { aView.mConfig.mDrain = true; },
    [](backend_view& aView) { aView.mConfig.mModels.clear(); },
    [](backend_view& aView) { aView.mLeaving = true; },
    [](backend_view& aView) { aView.mReport.mLeaving = true; },
    [](backend_view& aView) { aView.mAddress.clear(); },
    [](backend_view& aView) { aView.mOutstanding = 16; },
    [](backend_view& aView) { aView.mStatus = backend_status::Leaving; },
    [](backend_view& aView) { aView.mStatus = backend_status::Gone; },
    [](backend_view& aView) {
      aView.mEjectedUntil = kStart + absl::Seconds(1);
    },
  };
  for (std::size_t i = 0; i < faults.size(); ++i) {
    view_map views = MakeFleet(3);
    faults[i](views[MakeId(0)]);
    BOOST_TEST(CountChoices(views, MakeQuery(), 200).count(MakeId(0)) == 0u,
               "fault " << i);
  }
  routing_query query = MakeQuery();
  query.mExcludedBackends = { MakeId(0), MakeId(1), MakeId(2) };
  random_engine random(1);
  BOOST_TEST(
    !ChooseBackend(MakeFleet(3), query, {}, kStart, random).has_value());
}

// An ejected server must be chosen only if there is no other one.
BOOST_AUTO_TEST_CASE(uses_ejected_servers_as_a_last_resort)
{
  view_map views = MakeFleet(2);
  views[MakeId(0)].mEjectedUntil = kStart + absl::Seconds(1);
  BOOST_TEST(CountChoices(views, MakeQuery(), 50).count(MakeId(0)) == 0u);
  views[MakeId(1)].mLeaving = true;
  BOOST_TEST(CountChoices(views, MakeQuery(), 50).count(MakeId(0)) == 1u);
  BOOST_TEST(EstimateFreeSlots(views, MakeQuery(), {}, kStart) == 1);
}

// The margin of EstimateFreeSlots must not make slots of a small fleet
// unusable.
BOOST_AUTO_TEST_CASE(free_slots_reach_every_slot_of_a_small_fleet)
{
  view_map views = MakeFleet(1);
  views[MakeId(0)].mConfig.mMaxConcurrency = 2;
  for (int left = 2; left > 0; --left) {
    BOOST_TEST(EstimateFreeSlots(views, MakeQuery(), {}, kStart) == left);
    RecordDispatch(views[MakeId(0)], kStart);
  }
  BOOST_TEST(EstimateFreeSlots(views, MakeQuery(), {}, kStart) == 0);
}

// Of otherwise equal servers, the one with the model loaded, in the same zone,
// or with the prompt cached must be chosen when all servers are compared.
BOOST_AUTO_TEST_CASE(prefers_loaded_model_same_zone_and_cached_prefix)
{
  routing_options all;
  all.mSampleSize = 0;
  view_map views = MakeFleet(6);
  for (auto& [id, view] : views) {
    view.mReport.mLoadedModels.clear();
  }
  views[MakeId(4)].mReport.mLoadedModels = { { kModel } };
  BOOST_TEST(CountChoices(views, MakeQuery(), 50, all)[MakeId(4)] == 50);

  views = MakeFleet(3);
  BOOST_TEST(CountChoices(views, MakeQuery(), 50, all)[MakeId(0)] == 50);

  views = MakeFleet(18);
  routing_query query = MakeQuery();
  query.mPrefixes = { 11, 12, 13 };
  RecordDispatch(views[MakeId(3)], query, {}, kStart - absl::Seconds(5));
  RecordRunEnd(views[MakeId(3)], false, {}, kStart - absl::Seconds(4));
  BOOST_TEST(CountChoices(views, query, 50, all)[MakeId(3)] == 50);
  // The server with the cached prefix is compared even if it is not in the
  // random sample.
  BOOST_TEST(CountChoices(views, query, 50)[MakeId(3)] == 50);
  // The cached prefix must not outweigh the queue of an overloaded server.
  views[MakeId(3)].mReport.mRunning = 40;
  BOOST_TEST(CountChoices(views, query, 50, all)[MakeId(3)] == 0);
}

// The estimated cached fraction must decay with time, and the numbers of stored
// prefixes and changes must be bounded.
BOOST_AUTO_TEST_CASE(cached_fraction_decays_and_memory_is_bounded)
{
  const routing_options options;
  backend_view view;
  load_report report;
  report.mSequence = 2;
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    report.mCachedPrefixes.push_back(i * 977);
  }
  RecordLoadReport(view, report, options, kStart);
  BOOST_TEST(view.mPrefixes.size() == options.mMaxPrefixes);
  routing_query query = MakeQuery();
  query.mPrefixes = { 977, 5 };
  const double fresh = EstimateCachedFraction(view, query, options, kStart);
  BOOST_TEST(fresh > 0.4);
  BOOST_TEST(fresh <= 0.5);
  const double late = EstimateCachedFraction(
    view, query, options, kStart + 4 * options.mPrefixHalfLife);
  BOOST_TEST(late < 0.05);
  for (int i = 0; i < 1000; ++i) {
    RecordDispatch(view, kStart);
  }
  BOOST_TEST(view.mLocalChanges.size() == kMaxLocalChanges);
}

// An agent that restarts numbers its reports from 1 again. They must be ignored
// while the last report may be newer, and accepted once it has expired.
BOOST_AUTO_TEST_CASE(accepts_reports_of_a_restarted_agent)
{
  backend_view view;
  load_report report;
  report.mSequence = 900;
  RecordLoadReport(view, report, kStart);
  report.mSequence = 1;
  report.mRunning = 5;
  RecordLoadReport(view, report, kStart + absl::Seconds(1));
  BOOST_TEST(view.mReport.mRunning == 0);
  RecordLoadReport(view, report, kStart + absl::Seconds(11));
  BOOST_TEST(view.mReport.mRunning == 5);
}

// Returns the maximum load divided by the mean load after six routers have
// dispatched 120 runs with one report, in which one of 20 servers is idle and
// the others execute 8 runs each.
double MeasureLoadSpread(routing_options aOptions)
{
  constexpr int kRouters = 6;
  aOptions.mRouters = kRouters;
  aOptions.mReportLag = absl::Seconds(2);
  std::vector<view_map> routers(kRouters, MakeFleet(20));
  std::map<backend_id, int> load;
  for (view_map& views : routers) {
    for (auto& [id, view] : views) {
      view.mReport.mRunning = id == MakeId(5) ? 0 : 8;
      load[id] = view.mReport.mRunning;
    }
  }
  // Without a prompt the choice depends on the load alone.
  routing_query query = MakeQuery();
  query.mPromptTokens = 0;
  random_engine random(3);
  for (std::size_t i = 0; i < 120; ++i) {
    view_map& views = routers[i % kRouters];
    const auto chosen = ChooseBackend(views, query, aOptions, kStart, random);
    RecordDispatch(views[chosen.value()], query, aOptions, kStart);
    ++load[*chosen];
  }
  int maxLoad = 0;
  for (const auto& [id, running] : load) {
    maxLoad = std::max(maxLoad, running);
  }
  return maxLoad * 20.0 / (19 * 8 + 120);
}

// Routers that have the same report for 2 s must not all dispatch to the server
// with the lowest load in it.
BOOST_AUTO_TEST_CASE(routers_do_not_overload_one_server_by_an_old_report)
{
  BOOST_TEST(MeasureLoadSpread({}) < 1.5);
  // Options that cause the overload, to show that the test detects it.
  routing_options overloading;
  overloading.mSampleSize = 0;
  overloading.mMaxAssumedPeers = 0;
  BOOST_TEST(MeasureLoadSpread(overloading) > 1.5);
}

// In a large fleet, each router must use a bounded number of servers, the
// removal of a server must change at most one entry of a subset, and each
// server must be in the subset of some router.
BOOST_AUTO_TEST_CASE(subsets_are_bounded_stable_and_cover_the_fleet)
{
  const view_map views = MakeFleet(100);
  routing_options options;
  std::map<backend_id, int> uses;
  for (int router = 0; router < 70; ++router) {
    options.mRouter = { "router-" + std::to_string(router) };
    const auto subset =
      ComputeSubset(views, backend_kind::Engine, kModel, options);
    BOOST_TEST(subset.size() == 20u);
    for (const backend_id& id : subset) {
      ++uses[id];
    }
    view_map smaller = views;
    smaller.erase(*subset.begin());
    const auto after =
      ComputeSubset(smaller, backend_kind::Engine, kModel, options);
    std::vector<backend_id> added;
    std::set_difference(after.begin(), after.end(), subset.begin(),
                        subset.end(), std::back_inserter(added));
    BOOST_TEST(added.size() == 1u);
  }
  BOOST_TEST(uses.size() == 100u);
}

// If no server of the subset is usable, another one must be chosen.
BOOST_AUTO_TEST_CASE(falls_back_to_others_if_the_subset_is_unusable)
{
  view_map views = MakeFleet(60);
  const auto subset = ComputeSubset(views, backend_kind::Engine, kModel, {});
  for (const backend_id& id : subset) {
    BOOST_TEST(CountChoices(views, MakeQuery(), 1).size() == 1u);
    views[id].mLeaving = true;
  }
  random_engine random(1);
  const auto chosen = ChooseBackend(views, MakeQuery(), {}, kStart, random);
  BOOST_REQUIRE(chosen.has_value());
  BOOST_TEST(subset.count(*chosen) == 0u);
}

// For random fleets, the chosen server must be usable, and one must be chosen
// if any is usable.
BOOST_AUTO_TEST_CASE(chooses_a_usable_server_in_random_fleets)
{
  const bool passed = rc::check([](std::uint64_t aSeed) {
    random_engine random(aSeed);
    view_map views = MakeFleet(static_cast<int>(random() % 40));
    bool any = false;
    for (auto& [id, view] : views) {
      view.mLeaving = random() % 3 == 0;
      view.mConfig.mDrain = random() % 5 == 0;
      view.mOutstanding = static_cast<int>(random() % 18);
      view.mReport.mRunning = static_cast<int>(random() % 40);
      any = any || (!view.mLeaving && !view.mConfig.mDrain &&
                    view.mOutstanding < view.mConfig.mMaxConcurrency);
    }
    routing_options options;
    options.mSampleSize = static_cast<int>(random() % 4);
    options.mRouters = 1 + static_cast<int>(random() % 5);
    const auto chosen =
      ChooseBackend(views, MakeQuery(), options, kStart, random);
    RC_ASSERT(chosen.has_value() == any);
    RC_ASSERT(EstimateFreeSlots(views, MakeQuery(), options, kStart) >= 0);
    if (chosen.has_value()) {
      const backend_view& view = views[*chosen];
      RC_ASSERT(!view.mLeaving && !view.mConfig.mDrain);
      RC_ASSERT(view.mOutstanding < view.mConfig.mMaxConcurrency);
    }
  });
  BOOST_TEST(passed);
}

std::map<backend_id, backend_view> MakeEqualEngines()
{
  std::map<backend_id, backend_view> views;
  for (int i = 0; i < 6; ++i) {
    backend_view& view = views[{ "b" + std::to_string(i) }];
    view.mConfig.mModels = { { "m" } };
    view.mConfig.mMaxConcurrency = 64;
    view.mAddress = "10.0.0." + std::to_string(i) + ":1";
  }
  return views;
}

// Requests with the same affinity must use one server. Otherwise the common
// part of their prompts is processed on many servers, since routers do not know
// each other's choices.
BOOST_AUTO_TEST_CASE(equal_affinity_uses_one_server)
{
  auto views = MakeEqualEngines();
  routing_options options;
  options.mSampleSize = 0;
  options.mAffinityWeight = 4;
  std::set<backend_id> used;
  for (std::uint64_t affinity = 1; affinity <= 60; ++affinity) {
    routing_query query;
    query.mTarget = "m";
    query.mAffinity = affinity;
    query.mSharedTokens = 100;
    std::set<backend_id> chosen;
    for (unsigned seed = 1; seed <= 5; ++seed) {
      random_engine random(seed);
      chosen.insert(*ChooseBackend(views, query, options,
                                   absl::FromUnixSeconds(1000), random));
    }
    BOOST_TEST(chosen.size() == 1U);
    used.insert(chosen.begin(), chosen.end());
  }
  // Different affinities use different servers.
  BOOST_TEST(used.size() == views.size());
}

// The preferred server of an affinity must not be chosen if its backlog is
// long. Otherwise all requests with a common prompt part overload one server.
BOOST_AUTO_TEST_CASE(affinity_does_not_outweigh_a_long_backlog)
{
  auto views = MakeEqualEngines();
  routing_options options;
  options.mSampleSize = 0;
  options.mAffinityWeight = 4;
  routing_query query;
  query.mTarget = "m";
  query.mAffinity = 7;
  query.mSharedTokens = 100;
  const absl::Time now = absl::FromUnixSeconds(1000);
  random_engine random(1);
  const backend_id first = *ChooseBackend(views, query, options, now, random);
  backend_view& busy = views[first];
  busy.mRemaining.mBacklog = 5 * options.mAffinityWeight * 100;
  busy.mRemaining.mUpdatedAt = now;
  BOOST_TEST((*ChooseBackend(views, query, options, now, random) != first));
}

// The cached fraction must be computed from the lengths of the prefixes in
// tokens. If all prefixes count equally, a long prompt is taken as largely
// cached because of its short first prefix.
BOOST_AUTO_TEST_CASE(cached_fraction_is_computed_from_tokens)
{
  routing_options options;
  backend_view view;
  routing_query query;
  query.mPrefixes = { 11, 12, 13 };
  query.mPrefixTokens = { 100, 900, 1000 };
  routing_query shorter = query;
  shorter.mPrefixes.resize(1);
  const absl::Time now = absl::FromUnixSeconds(1000);
  RecordDispatch(view, shorter, options, now);
  BOOST_TEST(std::abs(EstimateCachedFraction(view, query, options, now) - 0.1) <
             1e-9);
}

} // namespace
} // namespace foxtailquay
