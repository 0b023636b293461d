// Guards against requests that wait at a server that is slow for a moment while
// others are not, and against choices that follow a statement that no longer
// holds. Load: 15 in 100 servers are 2.5 times as slow for 0.6 s.

#define BOOST_TEST_MODULE slowness
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "core/routing.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

std::map<backend_id, backend_view> MakeServers(backend_kind aKind, int aCount)
{
  std::map<backend_id, backend_view> views;
  for (int i = 0; i < aCount; ++i) {
    backend_view& view = views[{ "s" + std::to_string(i) }];
    view.mConfig.mKind = aKind;
    view.mConfig.mModels = { { "m" } };
    view.mConfig.mServices = { { "m" } };
    view.mAddress = "127.0.0.1:" + std::to_string(i);
  }
  return views;
}

routing_query MakeQuery(backend_kind aKind)
{
  routing_query query;
  query.mKind = aKind;
  query.mTarget = "m";
  query.mPromptTokens = 6600;
  return query;
}

routing_options MakeOptions()
{
  routing_options options;
  options.mSampleSize = 0;
  options.mPrefillTokensPerSecond = 60000;
  return options;
}

std::string Choose(const std::map<backend_id, backend_view>& aViews,
                   const routing_query& aQuery, absl::Time aNow)
{
  random_engine random(1);
  const auto chosen =
    ChooseBackend(aViews, aQuery, MakeOptions(), aNow, random);
  return chosen ? chosen->mValue : std::string();
}

// The statement must count at once and must have lost its effect when its
// period has certainly ended.
BOOST_AUTO_TEST_CASE(avoids_a_slow_server_while_the_statement_holds)
{
  for (backend_kind kind : { backend_kind::Engine, backend_kind::Service }) {
    auto views = MakeServers(kind, 2);
    const routing_query query = MakeQuery(kind);
    const backend_id first{ Choose(views, query, kStart) };
    RecordSlowness(views[first].mSlowness, 2.5, kStart);
    BOOST_TEST(Choose(views, query, kStart) != first.mValue);
    BOOST_TEST(Choose(views, query, kStart + absl::Milliseconds(300)) !=
               first.mValue);
    BOOST_TEST(Choose(views, query, kStart + kSlownessPeriod) == first.mValue);
  }
}

// A server that has become slow must keep its shared parts: the effect of the
// statement is bounded by the time for which it holds, however long the work.
BOOST_AUTO_TEST_CASE(bounds_the_effect_of_a_statement)
{
  stated_slowness slowness;
  RecordSlowness(slowness, 2.5, kStart);
  BOOST_TEST(std::abs(EstimateSlowdown(slowness, 0.06, kStart) - 0.09) < 1e-9);
  for (int seconds : { 1, 10, 1000 }) {
    BOOST_TEST(EstimateSlowdown(slowness, seconds, kStart) <= 0.1801);
  }
}

BOOST_AUTO_TEST_CASE(is_sane_for_all_statements)
{
  const bool passed = rc::check(
    "the estimate is finite, never negative and falls with its age", [] {
      stated_slowness slowness;
      const auto percent = *rc::gen::inRange(0, 2000000);
      const double work = *rc::gen::inRange(0, 100000) / 1000.0;
      const auto age = *rc::gen::inRange(-1000, 2000);
      RecordSlowness(slowness, percent / 100.0, kStart);
      const absl::Time now = kStart + absl::Milliseconds(age);
      const double change = EstimateSlowdown(slowness, work, now);
      RC_ASSERT(work + change >= 0);
      RC_ASSERT(std::abs(change) <=
                std::abs(EstimateSlowdown(slowness, work, kStart)) + 1e-9);
    });
  BOOST_TEST(passed);
}

} // namespace
} // namespace foxtailquay
