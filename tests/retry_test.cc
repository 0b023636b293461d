// Guards against retries that multiply the load of an overloaded fleet, and
// against retries after the deadline. Tests the retry budget and the retry
// delays.

#define BOOST_TEST_MODULE retry
#include <boost/test/unit_test.hpp>

#include "core/retry.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

// If every attempt fails, retries must remain a small fraction of the traffic.
BOOST_AUTO_TEST_CASE(the_budget_bounds_retries)
{
  const retry_options options;
  retry_state state;
  random_engine random(1);
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    RecordFirstAttempt(state, options);
    int attempts = 1;
    while (MayRetry(state, attempts, absl::InfiniteFuture(), kStart, options)) {
      ConsumeRetry(state, attempts++, options, random);
      ++retries;
    }
    BOOST_TEST(attempts <= options.mMaxAttempts);
  }
  BOOST_TEST(retries <=
             options.mRetryBudgetRatio * kRequests + options.mMaxRetryBudget);
  BOOST_TEST(retries >= options.mRetryBudgetRatio * kRequests);
}

// The retry budget must not exceed its maximum after many requests without
// retries.
BOOST_AUTO_TEST_CASE(the_saved_budget_is_capped)
{
  const retry_options options;
  retry_state state;
  for (int i = 0; i < 10000; ++i) {
    RecordFirstAttempt(state, options);
  }
  BOOST_TEST(state.mRetryBudget == options.mMaxRetryBudget);
}

// Delays must grow with the attempts, vary, not exceed the limit and end before
// the deadline.
BOOST_AUTO_TEST_CASE(random_delays_end_before_the_deadline)
{
  const bool passed = rc::check([](std::uint64_t aSeed) {
    random_engine random(aSeed);
    retry_options options;
    options.mMaxAttempts = 20;
    retry_state state;
    const int attempts = 1 + static_cast<int>(random() % 18);
    const absl::Time deadline =
      kStart + absl::Milliseconds(static_cast<int>(random() % 2000));
    if (!MayRetry(state, attempts, deadline, kStart, options)) {
      RC_ASSERT(ComputeMaxDelay(attempts, options) >= deadline - kStart);
      return;
    }
    const absl::Duration delay = ConsumeRetry(state, attempts, options, random);
    RC_ASSERT(kStart + delay < deadline);
    RC_ASSERT(delay <= options.mMaxDelay);
    RC_ASSERT(delay >= ComputeMaxDelay(attempts, options) / 2);
  });
  BOOST_TEST(passed);
  random_engine random(5);
  retry_state state;
  const auto first = ConsumeRetry(state, 3, {}, random);
  BOOST_TEST((first != ConsumeRetry(state, 3, {}, random)));
}

} // namespace
} // namespace foxtailquay
