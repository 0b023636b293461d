// Guards against dispatches to unusable backend servers and against routers
// that all follow the same old load report.

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

backend_id Id(int aNumber)
{
  return { "w" + std::to_string(aNumber) };
}

view_map Fleet(int aSize)
{
  view_map views;
  for (int i = 0; i < aSize; ++i) {
    backend_view& view = views[Id(i)];
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

routing_query Query()
{
  routing_query query;
  query.mTarget = kModel;
  query.mZone = { "z0" };
  query.mPromptTokens = 800;
  return query;
}

std::map<backend_id, int> Count(const view_map& aViews,
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

// Each property alone must keep a server from being chosen.
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
    view_map views = Fleet(3);
    faults[i](views[Id(0)]);
    BOOST_TEST(Count(views, Query(), 200).count(Id(0)) == 0u, "fault " << i);
  }
  routing_query query = Query();
  query.mExclude = { Id(0), Id(1), Id(2) };
  random_engine random(1);
  BOOST_TEST(!ChooseBackend(Fleet(3), query, {}, kStart, random).has_value());
}

// An ejected server is tried only if there is no other one.
BOOST_AUTO_TEST_CASE(uses_ejected_servers_as_a_last_resort)
{
  view_map views = Fleet(2);
  views[Id(0)].mEjectedUntil = kStart + absl::Seconds(1);
  BOOST_TEST(Count(views, Query(), 50).count(Id(0)) == 0u);
  views[Id(1)].mLeaving = true;
  BOOST_TEST(Count(views, Query(), 50).count(Id(0)) == 1u);
  BOOST_TEST(EstimateFreeSlots(views, Query(), {}, kStart) == 1);
}

// The margin of EstimateFreeSlots must not make a small fleet unusable.
BOOST_AUTO_TEST_CASE(free_slots_reach_every_slot_of_a_small_fleet)
{
  view_map views = Fleet(1);
  views[Id(0)].mConfig.mMaxConcurrency = 2;
  for (int left = 2; left > 0; --left) {
    BOOST_TEST(EstimateFreeSlots(views, Query(), {}, kStart) == left);
    RecordDispatch(views[Id(0)], kStart);
  }
  BOOST_TEST(EstimateFreeSlots(views, Query(), {}, kStart) == 0);
}

// Preferences that must decide between servers that are otherwise equal, with
// all servers compared.
BOOST_AUTO_TEST_CASE(prefers_loaded_near_cached_and_idle)
{
  routing_options all;
  all.mSampleSize = 0;
  view_map views = Fleet(6);
  for (auto& [id, view] : views) {
    view.mReport.mLoadedModels.clear();
  }
  views[Id(4)].mReport.mLoadedModels = { { kModel } };
  BOOST_TEST(Count(views, Query(), 50, all)[Id(4)] == 50);

  views = Fleet(3);
  BOOST_TEST(Count(views, Query(), 50, all)[Id(0)] == 50);

  views = Fleet(18);
  routing_query query = Query();
  query.mPrefixes = { 11, 12, 13 };
  RecordDispatch(views[Id(3)], query, {}, kStart - absl::Seconds(5));
  RecordRunEnd(views[Id(3)], false, {}, kStart - absl::Seconds(4));
  BOOST_TEST(Count(views, query, 50, all)[Id(3)] == 50);
  // The holder is compared even if the random draw misses it.
  BOOST_TEST(Count(views, query, 50)[Id(3)] == 50);
  // A preference for the cache must not outweigh a full server.
  views[Id(3)].mReport.mRunning = 40;
  BOOST_TEST(Count(views, query, 50, all)[Id(3)] == 0);
}

// Confidence in a cached prefix must decay, and the memory must be bounded.
BOOST_AUTO_TEST_CASE(prefix_memory_decays_and_is_bounded)
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
  routing_query query = Query();
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

// An agent that restarts counts its reports from 1 again.
BOOST_AUTO_TEST_CASE(takes_reports_of_a_restarted_agent)
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

// Largest load over mean load after six routers have sent 120 runs on one
// report, in which one of 20 servers is idle and the others run 8.
double LoadSpread(routing_options aOptions)
{
  constexpr int kRouters = 6;
  aOptions.mRouters = kRouters;
  aOptions.mReportLag = absl::Seconds(2);
  std::vector<view_map> routers(kRouters, Fleet(20));
  std::map<backend_id, int> load;
  for (view_map& views : routers) {
    for (auto& [id, view] : views) {
      view.mReport.mRunning = id == Id(5) ? 0 : 8;
      load[id] = view.mReport.mRunning;
    }
  }
  // Without a prompt the choice depends on the load alone.
  routing_query query = Query();
  query.mPromptTokens = 0;
  random_engine random(3);
  for (std::size_t i = 0; i < 120; ++i) {
    view_map& views = routers[i % kRouters];
    const auto chosen = ChooseBackend(views, query, aOptions, kStart, random);
    RecordDispatch(views[chosen.value()], query, aOptions, kStart);
    ++load[*chosen];
  }
  int largest = 0;
  for (const auto& [id, running] : load) {
    largest = std::max(largest, running);
  }
  return largest * 20.0 / (19 * 8 + 120);
}

// Routers that see one report for 2 s must not all send to the server that
// was the least loaded in it.
BOOST_AUTO_TEST_CASE(several_routers_do_not_herd_on_an_old_report)
{
  BOOST_TEST(LoadSpread({}) < 1.5);
  // The rule that herds, to show that this test would notice.
  routing_options herding;
  herding.mSampleSize = 0;
  herding.mMaxAssumedPeers = 0;
  BOOST_TEST(LoadSpread(herding) > 1.5);
}

// Large fleets: control traffic of one router must stay bounded, and every
// server must be in some router's subset.
BOOST_AUTO_TEST_CASE(subsets_are_bounded_stable_and_cover_the_fleet)
{
  const view_map views = Fleet(100);
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

BOOST_AUTO_TEST_CASE(falls_back_to_others_if_the_subset_is_unusable)
{
  view_map views = Fleet(60);
  const auto subset = ComputeSubset(views, backend_kind::Engine, kModel, {});
  for (const backend_id& id : subset) {
    BOOST_TEST(Count(views, Query(), 1).size() == 1u);
    views[id].mLeaving = true;
  }
  random_engine random(1);
  const auto chosen = ChooseBackend(views, Query(), {}, kStart, random);
  BOOST_REQUIRE(chosen.has_value());
  BOOST_TEST(subset.count(*chosen) == 0u);
}

// Random fleets: the choice is usable, and there is one if one is usable.
BOOST_AUTO_TEST_CASE(random_fleets)
{
  const bool passed = rc::check([](std::uint64_t aSeed) {
    random_engine random(aSeed);
    view_map views = Fleet(static_cast<int>(random() % 40));
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
    const auto chosen = ChooseBackend(views, Query(), options, kStart, random);
    RC_ASSERT(chosen.has_value() == any);
    RC_ASSERT(EstimateFreeSlots(views, Query(), options, kStart) >= 0);
    if (chosen.has_value()) {
      const backend_view& view = views[*chosen];
      RC_ASSERT(!view.mLeaving && !view.mConfig.mDrain);
      RC_ASSERT(view.mOutstanding < view.mConfig.mMaxConcurrency);
    }
  });
  BOOST_TEST(passed);
}

std::map<backend_id, backend_view> EqualEngines()
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

// Routers that do not see each other's choices would read the same prompt part
// on many servers.
BOOST_AUTO_TEST_CASE(equal_affinity_meets_at_one_server)
{
  auto views = EqualEngines();
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
  // Different ones spread.
  BOOST_TEST(used.size() == views.size());
}

// A prompt part that many requests share drew all of them to one server,
// however long its queue was.
BOOST_AUTO_TEST_CASE(affinity_yields_to_a_long_queue)
{
  auto views = EqualEngines();
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
  busy.mPrefillBacklog = 5 * options.mAffinityWeight * 100;
  busy.mPrefillAt = now;
  BOOST_TEST((*ChooseBackend(views, query, options, now, random) != first));
}

// Parts of different length counted alike, so that a long prompt seemed cached
// because of its short first part.
BOOST_AUTO_TEST_CASE(cached_parts_count_by_their_tokens)
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
