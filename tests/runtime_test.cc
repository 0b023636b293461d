// Guards against a process that takes in more work than it can hold, loses
// an event it depends on, or leaves threads behind.

#define BOOST_TEST_MODULE runtime
#include <boost/test/unit_test.hpp>

#include <atomic>

#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/notification.h"
#include "runtime/control_queue.h"
#include "runtime/decision_log.h"
#include "runtime/elastic_pool.h"
#include "runtime/log.h"
#include "runtime/mailbox.h"
#include "runtime/metrics.h"
#include "runtime/timer.h"

namespace foxtailquay {
namespace {

// --- Control queue ----------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_full_queue_refuses_new_work_only)
{
  control_queue<int> queue;
  queue.mOptions.mMaxQueued = 2;
  BOOST_TEST(IsOk(Post(queue, 1, event_class::NewWork)));
  BOOST_TEST(IsOk(Post(queue, 2, event_class::NewWork)));
  const auto refused = Post(queue, 3, event_class::NewWork);
  BOOST_REQUIRE(!IsOk(refused));
  BOOST_TEST((GetError(refused).mCode == error_code::Overloaded));
  BOOST_TEST((GetError(refused).mExecuted == executed::No));
  // The end of admitted work must not be lost.
  BOOST_TEST(IsOk(Post(queue, 4, event_class::Conclusion)));
  bool closed = false;
  const auto items = TakeAll(queue, absl::InfiniteFuture(), &closed);
  BOOST_TEST((items == std::deque<int>{ 1, 2, 4 }));
  BOOST_TEST(IsOk(Post(queue, 5, event_class::NewWork)));
}

BOOST_AUTO_TEST_CASE(a_closed_queue_hands_out_the_rest_and_refuses)
{
  control_queue<int> queue;
  BOOST_TEST(IsOk(Post(queue, 1, event_class::NewWork)));
  Close(queue);
  const auto refused = Post(queue, 2, event_class::Conclusion);
  BOOST_REQUIRE(!IsOk(refused));
  BOOST_TEST((GetError(refused).mCode == error_code::ShuttingDown));
  int handled = 0;
  RunControlLoop(
    queue, [&handled](std::optional<int> aItem) { handled += aItem ? 1 : 0; },
    [] { return absl::InfiniteFuture(); });
  BOOST_TEST(handled == 1);
}

// A busy queue must not keep timers from running.
BOOST_AUTO_TEST_CASE(a_due_wake_runs_between_items)
{
  control_queue<int> queue;
  int items = 0;
  int ticks = 0;
  BOOST_TEST(IsOk(Post(queue, 1, event_class::NewWork)));
  RunControlLoop(
    queue,
    [&](std::optional<int> aItem) {
      if (aItem) {
        ++items;
      } else if (++ticks == 2) {
        Close(queue);
      }
    },
    [] { return absl::InfinitePast(); });
  BOOST_TEST(items == 1);
  BOOST_TEST(ticks == 2);
}

// --- Elastic pool -----------------------------------------------------------

BOOST_AUTO_TEST_CASE(pool_is_bounded_and_refuses_the_rest)
{
  elastic_pool pool({ "test", 2, 1, absl::Seconds(60) });
  absl::Notification release;
  std::atomic<int> executed{ 0 };
  const auto task = [&release, &executed] {
    release.WaitForNotification();
    ++executed;
  };
  BOOST_TEST(TrySubmit(pool, task));
  BOOST_TEST(TrySubmit(pool, task));
  BOOST_TEST(TrySubmit(pool, task));
  BOOST_TEST(!TrySubmit(pool, task));
  BOOST_TEST(CountThreads(pool) == 2u);
  release.Notify();
  Shutdown(pool);
  BOOST_TEST(executed == 3);
  BOOST_TEST(!TrySubmit(pool, task));
}

BOOST_AUTO_TEST_CASE(pool_threads_end_when_idle_and_come_back)
{
  elastic_pool pool({ "test", 4, 0, absl::Milliseconds(1) });
  for (int round = 0; round < 3; ++round) {
    absl::Notification done;
    BOOST_TEST(TrySubmit(pool, [&done] { done.Notify(); }));
    done.WaitForNotification();
    // Ends as soon as the idle time is over; the bound is for a busy machine.
    const absl::Time limit = MonotonicNow() + absl::Seconds(30);
    absl::MutexLock lock(&pool.mMutex);
    while (!pool.mThreads.empty() && MonotonicNow() < limit) {
      pool.mChanged.WaitWithTimeout(&pool.mMutex, absl::Seconds(1));
    }
    BOOST_TEST(pool.mThreads.empty());
  }
  Shutdown(pool);
}

BOOST_AUTO_TEST_CASE(pool_runs_many_tasks_from_many_threads_once_each)
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kTasks = 2000;
  elastic_pool pool({ "test", 3, kThreads * kTasks, absl::Milliseconds(1) });
  std::atomic<std::size_t> executed{ 0 };
  std::atomic<int> refused{ 0 };
  std::vector<posix_thread> threads(kThreads);
  for (posix_thread& thread : threads) {
    thread = std::get<posix_thread>(StartThread("submit", [&] {
      for (std::size_t task = 0; task < kTasks; ++task) {
        if (!TrySubmit(pool, [&executed] { ++executed; })) {
          ++refused;
        }
      }
    }));
  }
  for (posix_thread& thread : threads) {
    Join(thread);
  }
  Shutdown(pool);
  BOOST_TEST(refused == 0);
  BOOST_TEST(executed == kThreads * kTasks);
}

// --- Timer ------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(timer_runs_in_order_of_time_and_cancels)
{
  timer timer;
  BOOST_REQUIRE(IsOk(StartTimer(timer)));
  mailbox<int> fired;
  const absl::Time now = MonotonicNow();
  Schedule(timer, now + absl::Milliseconds(30), [&] { Put(fired, 3); });
  Schedule(timer, now + absl::Milliseconds(10), [&] { Put(fired, 1); });
  const timer_id cancelled =
    Schedule(timer, now + absl::Milliseconds(20), [&] { Put(fired, 2); });
  Cancel(timer, cancelled);
  BOOST_TEST(*Take(fired, absl::InfiniteFuture()) == 1);
  BOOST_TEST(*Take(fired, absl::InfiniteFuture()) == 3);
  BOOST_TEST(MonotonicNow() >= now + absl::Milliseconds(30));
  Schedule(timer, absl::InfiniteFuture(), [] {});
  StopTimer(timer);
}

// A callback that still ran after Cancel would use what the canceller
// freed.
BOOST_AUTO_TEST_CASE(cancel_waits_for_a_callback_in_progress)
{
  timer timer;
  BOOST_REQUIRE(IsOk(StartTimer(timer)));
  absl::Notification begun;
  absl::Notification go;
  std::atomic<bool> ended{ false };
  const timer_id id = Schedule(timer, MonotonicNow(), [&] {
    begun.Notify();
    go.WaitForNotification();
    ended = true;
  });
  begun.WaitForNotification();
  go.Notify();
  Cancel(timer, id);
  BOOST_TEST(ended);
  StopTimer(timer);
}

// --- Mailbox ----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_closed_handle_gets_no_delivery)
{
  handle_table<mailbox<int>> table;
  mailbox<int> box;
  const auto deliver = [&table](int aItem) {
    return WithHandle(table, 7,
                      [aItem](mailbox<int>& aBox) { Put(aBox, aItem); });
  };
  {
    const handle_entry<mailbox<int>> entry(table, 7, box);
    BOOST_TEST(deliver(1));
    BOOST_TEST(GetSize(table) == 1u);
  }
  BOOST_TEST(!deliver(2));
  BOOST_TEST(*Take(box, absl::InfiniteFuture()) == 1);
  BOOST_TEST(!Take(box, MonotonicNow()).has_value());
}

// --- Log and metrics --------------------------------------------------------

// A caller-chosen value must not be able to forge a field or a line.
BOOST_AUTO_TEST_CASE(log_values_cannot_forge_fields)
{
  BOOST_TEST(FormatLogLine(log_event::RunRefused, { { "request", "r-1" },
                                                    { "path", "a b=c\n\"d\"" },
                                                    { "empty", "" } }) ==
             "run_refused request=r-1 path=\"a b=c\\x0a\\\"d\\\"\" empty=\"\"");
}

BOOST_AUTO_TEST_CASE(metrics_are_cumulative_prometheus_text)
{
  const metrics_ptr metrics = MakeMetrics();
  IncrementCounter(*metrics, counter::CallerRequests, 3);
  for (const int milliseconds : { 0, 1, 2, 1'000'000'000 }) {
    Observe(*metrics, histogram::FirstToken, absl::Milliseconds(milliseconds));
  }
  const std::string text =
    RenderMetrics(*metrics, { { gauge::OpenRequests, 5 } });
  for (const char* line :
       { "# TYPE foxtailquay_caller_requests_total counter\n",
         "foxtailquay_caller_requests_total 3\n",
         "foxtailquay_open_requests 5\n",
         // Values below and above all buckets are counted too.
         "foxtailquay_first_token_seconds_bucket{le=\"1e-05\"} 1\n",
         "foxtailquay_first_token_seconds_bucket{le=\"1000\"} 3\n",
         "foxtailquay_first_token_seconds_bucket{le=\"+Inf\"} 4\n",
         "foxtailquay_first_token_seconds_count 4\n" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

// A flood of requests must not flood the log, nor hide other decisions.
BOOST_AUTO_TEST_CASE(lines_about_requests_are_bounded)
{
  decision_log log;
  const absl::Time start = absl::FromUnixSeconds(1000);
  int lines = 0;
  for (int i = 0; i < 2 * kMaxRequestLines; ++i) {
    lines +=
      LogDecision(log, { decision::RequestDispatched, {} }, start) ? 1 : 0;
  }
  BOOST_TEST(lines == kMaxRequestLines);
  BOOST_TEST(LogDecision(log, { decision::ConfigApplied, {} }, start));
  BOOST_TEST(LogDecision(log, { decision::RequestDispatched, {} },
                         start + absl::Seconds(1)));
}

} // namespace
} // namespace foxtailquay
