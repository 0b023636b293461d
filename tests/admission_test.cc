// Guards against admission control that exceeds its limits, lets queues grow
// without bound, or lets a class or workspace starve others.

#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include "core/admission.h"
#include "rapidcheck.h"

namespace foxtailquay {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const std::string kModel = "loom-7b";

admission_request MakeRequest(
  request_handle aHandle, std::string aWorkspace,
  priority_class aPriority = priority_class::Standard, token_count aCost = 100)
{
  return { aHandle,   { std::move(aWorkspace) },   kModel,
           aPriority, kStart + absl::Seconds(600), aCost,
           1 };
}

admission_decision TryAdmit(admission_state& aState,
                            const admission_request& aRequest, int aFreeSlots,
                            absl::Time aNow,
                            const workspace_config& aWorkspace = {},
                            const fleet_config& aFleet = {})
{
  return Admit(aState, aRequest, aWorkspace, aFleet, aFreeSlots, aNow);
}

// Neither the long-term rate nor the burst may be exceeded, and mRetryAfter
// must be the time until a request is admitted.
BOOST_AUTO_TEST_CASE(rate_limit_holds_and_retry_after_is_exact)
{
  workspace_config limited;
  limited.mRatePerSecond = 10;
  limited.mBurst = 5;
  admission_state state;
  int admitted = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    const auto decision = TryAdmit(state, MakeRequest(1, "a"), 1,
                                   kStart + absl::Milliseconds(ms), limited);
    admitted += decision.mOutcome == admission_outcome::Admitted ? 1 : 0;
  }
  BOOST_TEST(admitted >= 103);
  BOOST_TEST(admitted <= 105);
  limited.mRatePerSecond = 0.25;
  limited.mBurst = 1;
  state = {};
  TryAdmit(state, MakeRequest(1, "a"), 1, kStart, limited);
  const auto refused =
    TryAdmit(state, MakeRequest(2, "a"), 1, kStart + absl::Seconds(1), limited);
  BOOST_TEST(ToName(refused.mError.mCode) == "rate_limited");
  BOOST_TEST(absl::ToDoubleSeconds(refused.mError.mRetryAfter) == 3.0,
             boost::test_tools::tolerance(1e-6));
}

// Queued requests must count towards the concurrency limit. Otherwise a burst
// exceeds the limit when the queued requests are admitted.
BOOST_AUTO_TEST_CASE(concurrency_limit_counts_queued_requests)
{
  workspace_config limited;
  limited.mMaxConcurrency = 2;
  admission_state state;
  TryAdmit(state, MakeRequest(1, "a"), 1, kStart, limited);
  TryAdmit(state, MakeRequest(2, "a"), 0, kStart, limited);
  const auto third = TryAdmit(state, MakeRequest(3, "a"), 5, kStart, limited);
  BOOST_TEST(ToName(third.mError.mCode) == "concurrency_limited");
  BOOST_TEST(TakeAdmitted(state, kModel, 5, kStart).size() == 1u);
  RecordRequestEnd(state, { "a" });
  RecordRequestEnd(state, { "a" });
  BOOST_TEST(state.mWorkspaces.empty());
}

// A workspace with many queued requests must not delay another one.
BOOST_AUTO_TEST_CASE(workspaces_of_a_class_get_equal_work)
{
  admission_state state;
  for (request_handle i = 0; i < 100; ++i) {
    TryAdmit(state, MakeRequest(i, "flood", priority_class::Standard, 100), 0,
             kStart);
  }
  for (request_handle i = 100; i < 110; ++i) {
    TryAdmit(state, MakeRequest(i, "small", priority_class::Standard, 200), 0,
             kStart);
  }
  // A workspace with requests of twice the cost gets half as many of them.
  const auto taken = TakeAdmitted(state, kModel, 30, kStart);
  const auto small =
    std::count_if(taken.begin(), taken.end(),
                  [](request_handle aHandle) { return aHandle >= 100; });
  BOOST_TEST(small == 10);
  // The cost of cancelled requests must not be charged to the workspace.
  for (request_handle i = 30; i < 80; ++i) {
    CancelQueued(state, i);
  }
  TryAdmit(state, MakeRequest(200, "small"), 0, kStart);
  const auto next = TakeAdmitted(state, kModel, 2, kStart);
  BOOST_TEST(std::count(next.begin(), next.end(), 200u) == 1);
}

// Interactive requests run first; batch requests must still get their
// guaranteed fraction of the work.
BOOST_AUTO_TEST_CASE(batch_gets_its_guaranteed_fraction)
{
  admission_state state;
  fleet_config fleet;
  fleet.mQueueLength = 10000;
  request_handle handle = 0;
  for (int i = 0; i < 100; ++i) {
    TryAdmit(state, MakeRequest(handle++, "b", priority_class::Batch, 1000), 0,
             kStart, {}, fleet);
  }
  double interactive = 0;
  double batch = 0;
  for (int i = 0; i < 2000; ++i) {
    const absl::Time now = kStart + i * absl::Milliseconds(2);
    TryAdmit(state,
             MakeRequest(handle++, "i", priority_class::Interactive, 100), 0,
             now, {}, fleet);
    const auto taken = TakeAdmitted(state, kModel, 1, now);
    BOOST_REQUIRE(taken.size() == 1u);
    (taken[0] < 100 ? batch : interactive) += taken[0] < 100 ? 1000 : 100;
    // Interactive requests must not wait for batch requests that have waited
    // less than mGuaranteeWait.
    BOOST_TEST((i >= 250 || batch == 0));
  }
  BOOST_TEST(batch >= 0.05 * (batch + interactive));
  BOOST_TEST(batch <= 0.15 * (batch + interactive));
}

// Batch requests must leave slots free for interactive ones, unless they would
// starve.
BOOST_AUTO_TEST_CASE(starved_class_may_use_reserved_slots)
{
  // Batch requests leave 4 of the 100 slots free.
  constexpr int kSlots = 100;
  admission_state state;
  const auto take = [&state](int aFreeSlots, absl::Time aNow) {
    return TakeAdmitted(state, kModel, aFreeSlots, aNow, kSlots).size();
  };
  const auto batch = [&state](request_handle aHandle, absl::Time aNow) {
    const auto request = MakeRequest(aHandle, "b", priority_class::Batch, 1000);
    return ToName(Admit(state, request, {}, {}, 4, aNow, kSlots).mOutcome);
  };
  BOOST_TEST(batch(0, kStart) == "admitted");
  TryAdmit(state, MakeRequest(1, "i", priority_class::Interactive, 10000), 1,
           kStart);
  BOOST_TEST(batch(2, kStart) == "queued");
  const absl::Duration wait = state.mOptions.mGuaranteeWait;
  const absl::Time early = kStart + wait - absl::Milliseconds(1);
  BOOST_TEST(take(4, early) == 0u);
  BOOST_TEST(take(1, kStart + wait) == 1u);
  // Now the batch class has more than its guaranteed fraction and waits again.
  BOOST_TEST(batch(3, kStart + wait) == "queued");
  BOOST_TEST(take(4, kStart + 2 * wait) == 0u);
  // Without interactive requests no slots are reserved.
  BOOST_TEST(take(1, kStart + 3 * wait + state.mOptions.mActiveTime) == 1u);
}

// A new request for a full queue must displace one of the lowest class, then
// one of the workspace with the most queued requests.
BOOST_AUTO_TEST_CASE(full_queue_displaces_the_lowest_class_first)
{
  admission_state state;
  fleet_config fleet;
  fleet.mQueueLength = 4;
  const auto queue = [&](request_handle aHandle, const char* aWorkspace,
                         priority_class aPriority) {
    return ToName(TryAdmit(state, MakeRequest(aHandle, aWorkspace, aPriority),
                           0, kStart, {}, fleet)
                    .mOutcome);
  };
  queue(1, "a", priority_class::Batch);
  queue(2, "a", priority_class::Standard);
  queue(3, "a", priority_class::Standard);
  queue(4, "a", priority_class::Standard);
  BOOST_TEST(queue(5, "a", priority_class::Batch) == "refused");
  BOOST_TEST(queue(6, "a", priority_class::Standard) == "queued");
  BOOST_TEST(queue(7, "b", priority_class::Standard) == "queued");
  BOOST_TEST(queue(8, "a", priority_class::Standard) == "refused");
  BOOST_TEST((GetNextExpiry(state) <= kStart));
  BOOST_TEST(
    (TakeExpired(state, kStart) == std::vector<request_handle>{ 1, 6 }));
  BOOST_TEST((GetNextExpiry(state) == kStart + fleet.mQueueTimeout));
}

// Requests that cannot run in time must be refused on arrival, with an estimate
// of the time until a retry can succeed.
BOOST_AUTO_TEST_CASE(refuses_early_when_the_queue_drains_too_slowly)
{
  admission_state state;
  fleet_config fleet;
  fleet.mQueueTimeout = absl::Seconds(2);
  absl::Time now = kStart;
  request_handle handle = 0;
  int refused = 0;
  int expired = 0;
  // 20 arrivals and 5 free slots a second.
  for (int i = 0; i < 400; ++i, now += absl::Milliseconds(50)) {
    const auto decision =
      TryAdmit(state, MakeRequest(handle++, "a"), 0, now, {}, fleet);
    if (decision.mOutcome == admission_outcome::Refused) {
      ++refused;
      BOOST_TEST((decision.mError.mRetryAfter >= absl::Seconds(1)));
      BOOST_TEST((decision.mError.mRetryAfter <= absl::Seconds(4)));
    }
    expired += static_cast<int>(TakeExpired(state, now).size());
    if (i % 4 == 0) {
      TakeAdmitted(state, kModel, 1, now);
    }
  }
  BOOST_TEST(refused >= 250);
  // Without early refusal, all of the about 300 would expire in the queue.
  BOOST_TEST(expired <= 30);
  auto late = MakeRequest(handle, "a");
  late.mDeadline = now;
  BOOST_TEST(ToName(TryAdmit(state, late, 0, now).mError.mCode) ==
             "deadline_exceeded");
}

// After random operations, the counts must be consistent and each request must
// have left the queue exactly once.
BOOST_AUTO_TEST_CASE(random_operations_lose_no_request)
{
  const bool passed = rc::check([](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    admission_state state;
    fleet_config fleet;
    fleet.mQueueLength = 8;
    std::map<request_handle, std::string> queued;
    std::map<std::string, int> inFlight;
    absl::Time now = kStart;
    const auto admit = [&](request_handle aHandle) {
      ++inFlight[queued.at(aHandle)];
      queued.erase(aHandle);
    };
    for (request_handle i = 1; i < 200; ++i) {
      now += absl::Milliseconds(static_cast<int>(random() % 300));
      const std::string workspace(1, static_cast<char>('a' + random() % 3));
      const auto priority =
        static_cast<priority_class>(random() % kPriorityClasses);
      const auto decision =
        TryAdmit(state,
                 MakeRequest(i, workspace, priority,
                             static_cast<token_count>(1 + i % 50)),
                 static_cast<int>(random() % 2), now, {}, fleet);
      if (decision.mOutcome != admission_outcome::Refused) {
        queued[i] = workspace;
      }
      if (decision.mOutcome == admission_outcome::Admitted) {
        admit(i);
      }
      for (request_handle handle : TakeExpired(state, now)) {
        RC_ASSERT(queued.erase(handle) == 1u);
      }
      for (request_handle handle :
           TakeAdmitted(state, kModel, static_cast<int>(random() % 3), now)) {
        admit(handle);
      }
      if (!queued.empty() && random() % 4 == 0) {
        CancelQueued(state, queued.begin()->first);
        queued.erase(queued.begin());
      }
      if (inFlight[workspace] > 0) {
        --inFlight[workspace];
        RecordRequestEnd(state, { workspace });
      }
      RC_ASSERT(state.mQueued.size() == queued.size());
      RC_ASSERT(queued.size() <= 8u);
      for (const auto& [name, count] : inFlight) {
        const auto found = state.mWorkspaces.find({ name });
        RC_ASSERT(
          count ==
          (found == state.mWorkspaces.end() ? 0 : found->second.mInFlight));
      }
    }
  });
  BOOST_TEST(passed);
}

} // namespace
} // namespace foxtailquay
