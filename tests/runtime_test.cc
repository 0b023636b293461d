// Guards against a process that accepts more work than its queues and thread
// pools may hold, discards an event that concludes admitted work, does not end
// its threads, or writes forged or too many log lines.

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
  // Events that conclude admitted work are accepted by a full queue.
  BOOST_TEST(IsOk(Post(queue, 4, event_class::Conclusion)));
  bool closed = false;
  const auto items = TakeAll(queue, absl::InfiniteFuture(), &closed);
  BOOST_TEST((items == std::deque<int>{ 1, 2, 4 }));
  BOOST_TEST(IsOk(Post(queue, 5, event_class::NewWork)));
}

BOOST_AUTO_TEST_CASE(
  a_closed_queue_delivers_remaining_items_and_refuses_new_ones)
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

// Timers must run even if the queue is never empty.
BOOST_AUTO_TEST_CASE(a_due_wake_time_is_handled_while_items_arrive)
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

BOOST_AUTO_TEST_CASE(pool_is_bounded_and_refuses_excess_tasks)
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
  StopPool(pool);
  BOOST_TEST(executed == 3);
  BOOST_TEST(!TrySubmit(pool, task));
}

BOOST_AUTO_TEST_CASE(pool_threads_end_when_idle_and_restart)
{
  elastic_pool pool({ "test", 4, 0, absl::Milliseconds(1) });
  for (int round = 0; round < 3; ++round) {
    absl::Notification done;
    BOOST_TEST(TrySubmit(pool, [&done] { done.Notify(); }));
    done.WaitForNotification();
    // The thread ends after the idle timeout of 1 ms; the limit allows for a
    // busy machine.
    const absl::Time limit = MonotonicNow() + absl::Seconds(30);
    absl::MutexLock lock(&pool.mMutex);
    while (!pool.mThreads.empty() && MonotonicNow() < limit) {
      pool.mChanged.WaitWithTimeout(&pool.mMutex, absl::Seconds(1));
    }
    BOOST_TEST(pool.mThreads.empty());
  }
  StopPool(pool);
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
  StopPool(pool);
  BOOST_TEST(refused == 0);
  BOOST_TEST(executed == kThreads * kTasks);
}

// --- Timer ------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(timer_runs_in_time_order_and_cancels)
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

// If the callback were still running after Cancel returned, it could use
// objects that the caller of Cancel has destroyed by then.
BOOST_AUTO_TEST_CASE(cancel_waits_for_a_callback_in_progress)
{
  timer timer;
  BOOST_REQUIRE(IsOk(StartTimer(timer)));
  absl::Notification callbackStarted;
  absl::Notification allowEnd;
  std::atomic<bool> callbackEnded{ false };
  const timer_id id = Schedule(timer, MonotonicNow(), [&] {
    callbackStarted.Notify();
    allowEnd.WaitForNotification();
    callbackEnded = true;
  });
  callbackStarted.WaitForNotification();
  allowEnd.Notify();
  Cancel(timer, id);
  BOOST_TEST(callbackEnded);
  StopTimer(timer);
}

// --- Mailbox ----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_removed_handle_receives_nothing)
{
  handle_table<mailbox<int>> table;
  mailbox<int> box;
  const auto deliver = [&table](int aItem) {
    return WithHandle(
      table, 7, [aItem](mailbox<int>& aMailbox) { Put(aMailbox, aItem); });
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

// A value that a caller chooses must not be readable as another field or line.
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
         // Values below and above the range of the buckets are counted too.
         "foxtailquay_first_token_seconds_bucket{le=\"1e-05\"} 1\n",
         "foxtailquay_first_token_seconds_bucket{le=\"1000\"} 3\n",
         "foxtailquay_first_token_seconds_bucket{le=\"+Inf\"} 4\n",
         "foxtailquay_first_token_seconds_count 4\n" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

// A high request rate must not cause an unbounded number of log lines, nor
// suppress the lines of other decisions.
BOOST_AUTO_TEST_CASE(request_lines_per_second_are_bounded)
{
  decision_log log;
  const absl::Time start = absl::FromUnixSeconds(1000);
  int lines = 0;
  for (int i = 0; i < 2 * kMaxRequestLinesPerSecond; ++i) {
    lines +=
      LogDecision(log, { decision::RequestDispatched, {} }, start) ? 1 : 0;
  }
  BOOST_TEST(lines == kMaxRequestLinesPerSecond);
  BOOST_TEST(LogDecision(log, { decision::ConfigApplied, {} }, start));
  BOOST_TEST(LogDecision(log, { decision::RequestDispatched, {} },
                         start + absl::Seconds(1)));
}

} // namespace
} // namespace foxtailquay
