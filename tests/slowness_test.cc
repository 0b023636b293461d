// Guards against requests that wait at a server that is slow for a moment while
// others are not, and against choices that follow a statement that no longer
// holds. Load: 15 in 100 servers are 2.5 times as slow for 0.6 s.

#define BOOST_TEST_MODULE slowness
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "core/gateway_state.h"
#include "gateway_fixture.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

const absl::Duration kPeriod = absl::Milliseconds(600);

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
    BOOST_TEST(Choose(views, query, kStart + kPriorSlownessPeriod) ==
               first.mValue);
  }
}

// A server that has become slow must keep its shared parts: the effect of the
// statement is bounded by the time for which it holds, however long the work.
BOOST_AUTO_TEST_CASE(bounds_the_effect_of_a_statement)
{
  stated_slowness slowness;
  RecordSlowness(slowness, 2.5, kStart);
  BOOST_TEST(
    std::abs(EstimateSlowdown(slowness, 0.06, kPeriod, kStart) - 0.09) < 1e-9);
  for (int seconds : { 1, 10, 1000 }) {
    BOOST_TEST(EstimateSlowdown(slowness, seconds, kPeriod, kStart) <= 0.1801);
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
      const double change = EstimateSlowdown(slowness, work, kPeriod, now);
      RC_ASSERT(work + change >= 0);
      RC_ASSERT(std::abs(change) <=
                std::abs(EstimateSlowdown(slowness, work, kPeriod, kStart)) +
                  1e-9);
    });
  BOOST_TEST(passed);
}

// Servers that are slow for a period at a time, each with a phase of its own,
// and state it at random times.
struct stating_service
{
  double mPeriod = 0.6;
  double mStatementsPerSecond = 2;
  int mServers = 12;
  double mSeconds = 120;
  // These state 2.5 always, or anything.
  int mConstant = 0;
  int mFalse = 0;
};

// Returns the period in seconds that a gateway has learned.
double LearnFrom(const stating_service& aService, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::uniform_real_distribution<double> fraction(0, 1);
  std::exponential_distribution<double> gap(aService.mStatementsPerSecond);
  work_model model;
  for (int server = 0; server < aService.mServers; ++server) {
    statement_history history;
    const double phase = fraction(random) * aService.mPeriod;
    double until = phase;
    double factor = 1;
    double time = gap(random);
    for (; time < aService.mSeconds; time += gap(random)) {
      for (; until < time; until += aService.mPeriod) {
        factor = fraction(random) < 0.15 ? 2.5 : 1;
      }
      double stated = factor;
      if (server < aService.mConstant) {
        stated = 2.5;
      } else if (server < aService.mConstant + aService.mFalse) {
        stated = std::exp(10 * fraction(random) - 5);
      }
      RecordStatedSlowness(model, "s", history, stated,
                           kStart + absl::Seconds(time));
    }
    PoolStatedSlowness(model, "s", history,
                       kStart + absl::Seconds(aService.mSeconds));
  }
  UpdateSlownessPeriods(model);
  return absl::ToDoubleSeconds(
    EstimateRates(model, "s", {}, kStart).mSlownessPeriod);
}

double ComputeError(double aLearned, double aPeriod)
{
  return std::max(aLearned / aPeriod, aPeriod / aLearned);
}

// The unknown moment of a statement within its period makes the time that is
// left uncertain by half, so a period that is as exact suffices.
constexpr double kMaxError = 1.5;

// Guards against the period of one deployment being assumed for all. Load:
// periods of 0.15, 0.6 and 3 s; 57 engines heard every 5 s (372 requests/s over
// 31 gateways), 12 servers heard twice and 20 times a second. Where statements
// are too rare to tell, the period must not be farther off than the prior.
BOOST_AUTO_TEST_CASE(learns_the_period)
{
  for (double period : { 0.15, 0.6, 3.0 }) {
    for (double rate : { 0.2, 2.0, 20.0 }) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        const bool isRare = rate < 1;
        const double learned = LearnFrom(
          { period, rate, isRare ? 57 : 12, isRare ? 300.0 : 120.0 }, seed);
        const double bound =
          isRare ? std::max(kMaxError, ComputeError(0.6, period)) : kMaxError;
        BOOST_TEST(ComputeError(learned, period) <= bound,
                   "period " << period << ", " << rate << " a second, seed "
                             << seed << ": " << learned);
      }
    }
  }
}

// Guards against servers whose statements never change, or are false, deciding
// the period for all.
BOOST_AUTO_TEST_CASE(false_statements_do_not_decide_the_period)
{
  for (double period : { 0.15, 0.6, 3.0 }) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      stating_service constant{ period };
      constant.mConstant = 2;
      stating_service wrong{ period };
      wrong.mFalse = 2;
      for (const stating_service& service : { constant, wrong }) {
        const double learned = LearnFrom(service, seed);
        BOOST_TEST(ComputeError(learned, period) <= kMaxError,
                   "period " << period << ", seed " << seed << ": " << learned);
      }
    }
  }
  stating_service all;
  all.mConstant = all.mServers;
  BOOST_TEST(std::abs(LearnFrom(all, 1) - 0.6) < 1e-3);
}

// Guards against periods that are not finite or outside of the bounds.
BOOST_AUTO_TEST_CASE(the_period_is_sane_for_all_statements)
{
  const bool passed = rc::check("the period is within its bounds", [] {
    work_model model;
    statement_history history;
    absl::Time now = kStart;
    for (int i = 0; i < 100; ++i) {
      now += absl::Milliseconds(*rc::gen::inRange(-100, 5000));
      const double factor =
        *rc::gen::element(1e-300, 0.25, 1.0, 1.1, 2.5, 10.0, 1e300);
      RecordStatedSlowness(model, "s", history, factor, now);
      PoolStatedSlowness(model, "s", history, now);
      UpdateSlownessPeriods(model);
      const absl::Duration period =
        EstimateRates(model, "s", {}, now).mSlownessPeriod;
      RC_ASSERT(period >= kMinSlownessPeriod * 0.999);
      RC_ASSERT(period <= kMaxSlownessPeriod * 1.001);
    }
  });
  BOOST_TEST(passed);
}

// Guards against a gateway that does not learn from the load in responses.
// Load: 8 servers whose slowness holds for 3 s, 320 calls a second for a
// minute.
BOOST_AUTO_TEST_CASE(a_gateway_learns_the_period_from_responses)
{
  gateway_fixture fixture = MakeStartedGateway();
  traffic_config config = MakeConfig(5);
  config.mWorkspaces[0].mPrepaid.reset();
  DeliverConfig(fixture, config, 10);
  std::vector<directory_change<backend_entry>> servers;
  for (int i = 0; i < 8; ++i) {
    const std::string name = "o" + std::to_string(i);
    servers.push_back({ name, 10, MakeBackendEntry("orders", name + ":1") });
  }
  DeliverBackends(fixture, 10, true, servers);
  std::mt19937 random(1);
  std::map<std::string, double> factors;
  for (int i = 0; i < 1200; ++i) {
    if (i % 60 == 0) {
      for (const auto& server : servers) {
        factors[server.mName] = random() % 100 < 15 ? 2.5 : 1;
      }
    }
    fixture.mActions.clear();
    for (int call = 0; call < 16; ++call) {
      FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
    }
    const auto dispatches = TakeActions<dispatch_request>(fixture);
    BOOST_REQUIRE(dispatches.size() == 16U);
    AdvanceTime(fixture, absl::Milliseconds(50));
    for (const auto& dispatch : dispatches) {
      auto report = MakeAttemptReport(dispatch, attempt_outcome::Delivered);
      report.mStatus = 200;
      report.mLoad = observed_load{ 2, 0, factors[dispatch.mBackend.mValue] };
      FireEvent(fixture, report);
    }
  }
  const work_rates& rates = fixture.mNode->mViews.begin()->second.mRates;
  BOOST_TEST(ComputeError(absl::ToDoubleSeconds(rates.mSlownessPeriod), 3) <=
             2);
}

// Guards against a learned period that choices do not use.
BOOST_AUTO_TEST_CASE(a_choice_follows_the_learned_period)
{
  auto views = MakeServers(backend_kind::Service, 2);
  const routing_query query = MakeQuery(backend_kind::Service);
  const backend_id first{ Choose(views, query, kStart) };
  RecordSlowness(views[first].mSlowness, 2.5, kStart);
  views[first].mRates.mSlownessPeriod = absl::Seconds(3);
  BOOST_TEST(Choose(views, query, kStart + absl::Seconds(2)) != first.mValue);
  views[first].mRates.mSlownessPeriod = absl::Milliseconds(150);
  BOOST_TEST(Choose(views, query, kStart + absl::Milliseconds(160)) ==
             first.mValue);
}

} // namespace
} // namespace foxtailquay
