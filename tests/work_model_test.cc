// Guards against routing by constants where requests and servers differ, and
// against estimates that false counts, hints or single measurements distort.
// Loads: look-alike requests with a tenfold spread of work, engines with speeds
// of 0.6, 1.0 and 1.6, a server that turns slow.

#define BOOST_TEST_MODULE work_model
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

#include "core/routing.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

work_features MakeFeatures()
{
  work_features features;
  features.mService = "s";
  features.mRoute = "r";
  features.mIsEngine = true;
  features.mPromptTokens = 6600;
  features.mMaxOutputTokens = 1000;
  return features;
}

// Returns a run on an engine of the given speed that would process 60,000
// prompt tokens a second and take 5 ms for an output token at speed 1.
measured_run MakeRun(double aSpeed, token_count aUncached, std::int64_t aEvents)
{
  measured_run run;
  run.mEvents = aEvents;
  run.mTokensPerEvent = 8;
  run.mUncachedTokens = aUncached;
  const absl::Duration event = absl::Milliseconds(40 / aSpeed);
  run.mFirstTime =
    absl::Seconds(static_cast<double>(aUncached) / 60000 / aSpeed) + event;
  run.mTotalTime = run.mFirstTime + event * static_cast<double>(aEvents - 1);
  return run;
}

double EstimateSpeed(const work_model& aModel, const learned_speed& aSpeed,
                     absl::Time aNow)
{
  return EstimateRates(aModel, "s", aSpeed, aNow).mPromptTokensPerSecond /
         EstimateRates(aModel, "s", {}, aNow).mPromptTokensPerSecond;
}

// Before anything was measured, routing must use its constants.
BOOST_AUTO_TEST_CASE(an_empty_model_states_the_priors)
{
  const work_model model;
  const work_rates rates = EstimateRates(model, "s", {}, kStart);
  BOOST_TEST(rates.mPromptTokensPerSecond == 0);
  BOOST_TEST((rates.mSlotTime == absl::ZeroDuration()));
  BOOST_TEST(rates.mUsualLoad < 0);
  const work_estimate work = EstimateWork(model, MakeFeatures(), kStart);
  BOOST_TEST(work.mTokensToProcess == 6600);
  BOOST_TEST(work.mTokensToProduce == 500);
  BOOST_TEST((work.mSlotTime == absl::Seconds(6600.0 / 60000 + 2.5)));
}

// Three engines take the same requests. Their learned speeds must be in the
// order of the true ones and near them within some requests.
BOOST_AUTO_TEST_CASE(learns_the_speeds_of_engines)
{
  work_model model;
  const double speeds[] = { 0.6, 1.0, 1.6 };
  learned_speed learned[3];
  absl::Time now = kStart;
  for (int i = 0; i < 15; ++i) {
    for (int engine = 0; engine < 3; ++engine) {
      now += absl::Milliseconds(100);
      RecordRun(model, MakeFeatures(), MakeRun(speeds[engine], 6600, 10),
                learned[engine], now);
    }
  }
  for (int engine = 0; engine < 3; ++engine) {
    const double rate =
      EstimateRates(model, "s", learned[engine], now).mPromptTokensPerSecond;
    BOOST_TEST(std::abs(std::log(rate / (60000 * speeds[engine]))) < 0.25,
               "engine " << engine << ": " << rate);
  }
}

// A server that turns slow must be known to be slow within some requests, and
// must be used as before some time after it has recovered.
BOOST_AUTO_TEST_CASE(follows_a_server_that_turns_slow)
{
  work_model model;
  learned_speed usual;
  learned_speed changed;
  absl::Time now = kStart;
  const auto run = [&](double aSpeed, int aCount) {
    for (int i = 0; i < aCount; ++i) {
      now += absl::Milliseconds(500);
      RecordRun(model, MakeFeatures(), MakeRun(1, 6600, 10), usual, now);
      RecordRun(model, MakeFeatures(), MakeRun(aSpeed, 6600, 10), changed, now);
    }
  };
  run(1, 20);
  BOOST_TEST(std::abs(EstimateSpeed(model, changed, now) - 1) < 0.05);
  run(0.4, 10);
  BOOST_TEST(EstimateSpeed(model, changed, now) < 0.75);
  run(1, 60);
  BOOST_TEST(EstimateSpeed(model, changed, now) > 0.85);
}

// One measurement, however wrong, must not move routing by much, and one
// without successors must be forgotten.
BOOST_AUTO_TEST_CASE(one_measurement_changes_little)
{
  work_model model;
  learned_speed speed;
  measured_run stalled = MakeRun(1, 6600, 10);
  stalled.mFirstTime = absl::Seconds(9);
  stalled.mTotalTime = absl::Hours(1);
  RecordRun(model, MakeFeatures(), stalled, speed, kStart);
  BOOST_TEST(EstimateSpeed(model, speed, kStart) > 0.6);
  BOOST_TEST(EstimateSpeed(model, speed, kStart + 8 * kServerMemory) > 0.99);
}

// Callers state the same counts and hints, and produce a tenth. The estimate
// must follow what is produced, and must say how uncertain it is.
BOOST_AUTO_TEST_CASE(learns_the_work_of_look_alike_requests)
{
  work_model model;
  learned_speed speed;
  work_features features = MakeFeatures();
  features.mLengthHint = 800;
  BOOST_TEST(EstimateWork(model, features, kStart).mTokensToProduce == 800);
  absl::Time now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += absl::Milliseconds(200);
    RecordRun(model, features, MakeRun(1, 6600, 10), speed, now);
  }
  const work_estimate even = EstimateWork(model, features, now);
  BOOST_TEST(even.mTokensToProduce > 70);
  BOOST_TEST(even.mTokensToProduce < 130);
  for (int i = 0; i < 40; ++i) {
    now += absl::Milliseconds(200);
    RecordRun(model, features, MakeRun(1, 6600, i % 2 == 0 ? 4 : 40), speed,
              now);
  }
  BOOST_TEST(EstimateWork(model, features, now).mSpread > 1.2 * even.mSpread);
}

// Names of services and routes come from configurations that change.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
  work_model model;
  learned_speed speed;
  work_features features = MakeFeatures();
  for (std::size_t i = 0; i < 2 * kMaxServices; ++i) {
    const std::string name = std::to_string(i);
    features.mService = name;
    RecordRun(model, features, MakeRun(1, 6600, 10), speed, kStart);
    features.mService = "0";
    features.mRoute = name;
    RecordRun(model, features, MakeRun(1, 6600, 10), speed, kStart);
  }
  BOOST_TEST(model.mServices.size() == kMaxServices);
  BOOST_TEST(model.mServices["0"].mRoutes.size() == kMaxRoutes);
}

BOOST_AUTO_TEST_CASE(estimates_are_sane_for_all_measurements)
{
  const bool passed = rc::check("finite, positive and in range", [] {
    work_model model;
    learned_speed speed;
    absl::Time now = kStart;
    const auto count = [] {
      return *rc::gen::element<token_count>(0, 1, 100, 55000, kMaxTokenCount);
    };
    work_features features = MakeFeatures();
    for (int i = 0; i < 20; ++i) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 5000));
      features.mIsEngine = *rc::gen::arbitrary<bool>();
      features.mPromptTokens = count();
      features.mCachedTokens = count();
      features.mMaxOutputTokens = count();
      features.mLengthHint = count();
      measured_run run;
      run.mUncachedTokens = count();
      run.mTokensPerEvent = count();
      run.mEvents = *rc::gen::inRange(0, 100000);
      run.mFirstTime = absl::Milliseconds(*rc::gen::inRange(-10, 100000));
      run.mTotalTime = absl::Milliseconds(*rc::gen::inRange(-10, 100000));
      RecordRun(model, features, run, speed, now);
      const work_estimate work = EstimateWork(model, features, now);
      RC_ASSERT(work.mSlotTime >= absl::ZeroDuration());
      RC_ASSERT(work.mSlotTime < absl::InfiniteDuration());
      RC_ASSERT(std::isfinite(work.mSpread));
      RC_ASSERT(
        !features.mIsEngine ||
        work.mTokensToProduce <=
          std::max(1.0, static_cast<double>(features.mMaxOutputTokens)));
      const double rate =
        EstimateRates(model, "s", speed, now).mPromptTokensPerSecond;
      RC_ASSERT(rate == 0 || (rate > 60000.0 / 9.1 && rate < 60000.0 * 9.1));
    }
  });
  BOOST_TEST(passed);
}

// A request that still waits shows a backlog that lost reports would have
// stated; one that produces output shows that what was sent before is done.
BOOST_AUTO_TEST_CASE(own_requests_correct_the_backlog)
{
  constexpr double kRate = 60000;
  remaining_work work;
  waiting_prompt first;
  AddPrompt(work, 6000, kRate, kStart);
  StartWaiting(work, first, 6000);
  BOOST_TEST(EstimateBacklog(work, kRate, kStart + absl::Seconds(5)) == 3000);
  AddPrompt(work, 30000, kRate, kStart);
  RecordFirstOutput(work, first, kRate, kStart);
  BOOST_TEST(EstimateBacklog(work, kRate, kStart) < 36000);
  BOOST_TEST(EstimateBacklog(work, kRate, kStart) >= 30000);
  StopWaiting(work, first);
  BOOST_TEST(work.mWaiting == 0);
  BOOST_TEST(EstimateBacklog(work, kRate, kStart + absl::Seconds(5)) == 0);
}

// A part that another engine is known to have must not count as missing there.
BOOST_AUTO_TEST_CASE(an_engine_that_has_the_part_takes_over_from_a_busy_one)
{
  routing_options options;
  options.mSampleSize = 0;
  options.mAffinityWeight = 10;
  options.mPrefillTokensPerSecond = 60000;
  std::map<backend_id, backend_view> views;
  for (int i = 0; i < 6; ++i) {
    backend_view& view = views[{ "e" + std::to_string(i) }];
    view.mConfig.mModels = { { "m" } };
    view.mConfig.mMaxConcurrency = 64;
    view.mAddress = "127.0.0.1:" + std::to_string(i);
  }
  routing_query query;
  query.mTarget = "m";
  query.mAffinity = 7;
  query.mSharedTokens = 3000;
  query.mPromptTokens = 3300;
  query.mPrefixes = { 7, 8 };
  query.mPrefixTokens = { 3000, 3300 };
  const auto choose = [&] {
    random_engine random(1);
    return *ChooseBackend(views, query, options, kStart, random);
  };
  const backend_id first = choose();
  views[first].mRemaining = { 12000, kStart, 0, 0 };
  BOOST_TEST((choose() == first));
  for (auto& [id, view] : views) {
    if (id != first) {
      RecordRemotePrompt(view, 0, { 7 }, options, kStart);
      BOOST_TEST((choose() == id));
      break;
    }
  }
}

// The load that a report states must lose its weight with its age where calls
// are short: a server with a queue at one moment must not be avoided for as
// long as nothing is sent to it.
BOOST_AUTO_TEST_CASE(an_old_load_returns_to_the_usual_one)
{
  backend_view view;
  load_report report;
  report.mSequence = 1;
  report.mRunning = 6;
  report.mQueued = 14;
  RecordLoadReport(view, report, kStart);
  const absl::Time later = kStart + absl::Seconds(2);
  BOOST_TEST(EstimateLoad(view, 23, {}, later) == 20);
  view.mRates.mSlotTime = absl::Milliseconds(125);
  view.mRates.mUsualLoad = 3;
  BOOST_TEST(EstimateLoad(view, 23, {}, kStart) == 20);
  BOOST_TEST(EstimateLoad(view, 23, {}, later) < 9);
}

} // namespace
} // namespace foxtailquay
