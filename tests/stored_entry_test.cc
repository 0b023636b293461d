// Guards against requests to a server that leaves, after the store has executed
// one of its earlier heartbeats late, and against servers that return and get
// no requests again.

#define BOOST_TEST_MODULE stored_entry
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "statement_fixture.h"

namespace foxtailquay {
namespace {

// Guards against the first request to a draining server once its earlier
// heartbeat is executed, whichever was lost and however often.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_does_not_end_a_drain)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  for (const int late : { 5, 2, 7, 5 }) {
    Deliver(server, MakeEntry(late, false));
    BOOST_TEST(CountRequests(server) == 0, late);
  }
  Deliver(server, MakeEntry(9, true));
  BOOST_TEST(CountRequests(server) == 0);
  BOOST_TEST(CountUnconfirmed(server) == 0U);
}

// Guards against a drain that a late heartbeat states again after the server
// has become ready, and against one that only follows from the revisions.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_does_not_repeat_a_drain)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  Deliver(server, MakeEntry(12, false));
  BOOST_TEST(CountRequests(server) > 0);
  Deliver(server, MakeEntry(9, true));
  BOOST_TEST(CountRequests(server) > 0);
}

// Guards against requests to a server that has left: its entry was removed
// before the late heartbeat created it again.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_does_not_undo_a_removal)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  Remove(server);
  Deliver(server, MakeEntry(5, false));
  BOOST_TEST(CountRequests(server) == 0);
  Remove(server);
  Deliver(server, MakeEntry(6, false));
  BOOST_TEST(CountRequests(server) == 0);
}

// Guards against the same if the server never said that it drains. Heartbeats
// that change nothing are not written, so that the late one has a higher number
// than any that the gateway knows of.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_a_server_that_left_silently_is_ignored)
{
  server_fixture server = MakeServerFixture();
  Remove(server);
  Deliver(server, MakeEntry(5, false));
  BOOST_TEST(CountRequests(server) == 0);
}

// Guards against requests to the address of an earlier incarnation, and against
// a drain of that incarnation that takes the present one out of use.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_an_earlier_incarnation_is_ignored)
{
  for (const char* address : { kServerAddress, "10.0.0.77:1" }) {
    for (const bool leaving : { false, true }) {
      server_fixture server = MakeServerFixture();
      backend_entry restarted = MakeEntry(1, false);
      restarted.mStartedMs = kStartedMs + 1;
      Deliver(server, restarted);
      backend_entry late = MakeEntry(9, leaving);
      late.mAddress = address;
      Deliver(server, late);
      BOOST_TEST(CountRequests(server) > 0);
      BOOST_TEST(server.mLastAddress == kServerAddress);
    }
  }
}

// Guards against the loss of what is known if the entry of the incarnation that
// followed has been removed too.
BOOST_AUTO_TEST_CASE(an_earlier_incarnation_does_not_follow_a_removed_one)
{
  server_fixture server = MakeServerFixture();
  backend_entry restarted = MakeEntry(1, false);
  restarted.mStartedMs = kStartedMs + 1;
  Deliver(server, restarted);
  Remove(server);
  Deliver(server, MakeEntry(9, false));
  BOOST_TEST(CountRequests(server) == 0);
}

// Guards against a complete read that is taken for a newer state: the store has
// dropped its history, and the late heartbeat is all that it holds.
BOOST_AUTO_TEST_CASE(a_complete_read_does_not_undo_a_drain)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  DeliverComplete(server, MakeEntry(5, false));
  BOOST_TEST(CountRequests(server) == 0);
  DeliverComplete(server, std::nullopt);
  BOOST_TEST(CountUnconfirmed(server) == 0U);
  DeliverComplete(server, MakeEntry(5, false));
  BOOST_TEST(CountRequests(server) == 0);
}

// Guards against a server that returns, and whose count of heartbeats is lower
// than what is known of its id.
BOOST_AUTO_TEST_CASE(a_new_incarnation_gets_requests_at_once)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(80, true));
  backend_entry restarted = MakeEntry(1, false);
  restarted.mStartedMs = kStartedMs + 1;
  Deliver(server, restarted);
  BOOST_TEST(CountRequests(server) > 0);
  Remove(server);
  restarted.mStartedMs = kStartedMs + 2;
  restarted.mAddress = "10.0.0.77:1";
  Deliver(server, restarted);
  BOOST_TEST(CountRequests(server) > 0);
  BOOST_TEST(server.mLastAddress == "10.0.0.77:1");
}

// Guards against a server that stays out of use although its entry is in force:
// the late heartbeat says what the server says again, which it therefore does
// not write anew.
BOOST_AUTO_TEST_CASE(an_entry_that_stands_is_confirmed)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  Deliver(server, MakeEntry(5, false));
  Await(server, kRemovalTime);
  BOOST_TEST(CountRequests(server) == 0);
  Await(server, 2 * kHeartbeat);
  BOOST_TEST(CountRequests(server) > 0);
  BOOST_TEST(CountUnconfirmed(server) == 0U);
}

// Guards against a server that was silent for a while and gets no requests
// after its return.
BOOST_AUTO_TEST_CASE(a_removed_server_that_returns_gets_requests)
{
  server_fixture server = MakeServerFixture();
  Remove(server);
  Deliver(server, MakeEntry(30, false));
  Await(server, kRemovalTime + 2 * kHeartbeat);
  BOOST_TEST(CountRequests(server) > 0);
}

// Guards against a server that gets no requests any more since one of its
// responses said that it leaves, although it has ended its drain.
BOOST_AUTO_TEST_CASE(a_server_that_stated_its_drain_in_responses_returns)
{
  server_fixture server = MakeServerFixture();
  const dispatch_request dispatch = SendUntilServer(server);
  StateLeaving(server, dispatch);
  Deliver(server, MakeEntry(8, true));
  // A heartbeat from before the response.
  Deliver(server, MakeEntry(5, false));
  BOOST_TEST(CountRequests(server) == 0);
  Deliver(server, MakeEntry(12, false));
  BOOST_TEST(CountRequests(server) == 0);
  Await(server, kRemovalTime + 2 * kHeartbeat);
  BOOST_TEST(CountRequests(server) > 0);
}

// Guards against a response that was made during a drain, arrives after its end
// and takes the server out of use for good.
BOOST_AUTO_TEST_CASE(a_late_response_does_not_end_the_use_of_a_server)
{
  server_fixture server = MakeServerFixture();
  const dispatch_request dispatch = SendUntilServer(server);
  Deliver(server, MakeEntry(8, true));
  Deliver(server, MakeEntry(12, false));
  StateLeaving(server, dispatch);
  BOOST_TEST(CountRequests(server) == 0);
  Await(server, kRemovalTime + 2 * kHeartbeat);
  // The response was slow, so that the other server would be preferred.
  RemoveOtherServer(server);
  BOOST_TEST(CountRequests(server) > 0);
}

// Guards against a removed server that is used again: its entry is kept for a
// while after an outage of the store, which does not list it any more, and must
// not be withheld as if it did.
BOOST_AUTO_TEST_CASE(an_entry_that_the_store_has_removed_is_not_confirmed)
{
  server_fixture server = MakeServerFixture();
  const dispatch_request dispatch = SendUntilServer(server);
  AdvanceTime(server.mGateway, kWatchPause);
  Deliver(server, MakeEntry(12, false));
  const std::size_t backends = GetSummary(*server.mGateway.mNode).mBackends;
  directory_response lost;
  lost.mArea = directory_area::Backends;
  FireEvent(server.mGateway, lost);
  AdvanceTime(server.mGateway, kWatchPause);
  Remove(server);
  StateLeaving(server, dispatch);
  Await(server, kRemovalTime + 3 * kHeartbeat);
  BOOST_TEST(CountUnconfirmed(server) == 0U);
  BOOST_TEST(GetSummary(*server.mGateway.mNode).mBackends == backends - 1);
}

// Guards against an entry that is confirmed only because nothing was heard of
// the store.
BOOST_AUTO_TEST_CASE(an_entry_is_not_confirmed_without_the_store)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  Deliver(server, MakeEntry(5, false));
  server.mIsStoreAway = true;
  Await(server, 4 * kRemovalTime);
  BOOST_TEST(CountRequests(server) == 0);
  server.mIsStoreAway = false;
  Await(server, kRemovalTime);
  BOOST_TEST(CountRequests(server) == 0);
  Deliver(server, MakeEntry(9, true));
  BOOST_TEST(CountRequests(server) == 0);
}

// Guards against an entry that is confirmed by the time for which the process
// was suspended. The store has removed it meanwhile.
BOOST_AUTO_TEST_CASE(a_suspended_process_asks_before_it_confirms)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  Deliver(server, MakeEntry(5, false));
  server.mGateway.mActions.clear();
  server.mGateway.mNow += absl::Seconds(30);
  FireEvent(server.mGateway, gateway_tick{});
  BOOST_TEST(CountRequests(server) == 0);
  Remove(server);
  Await(server, kRemovalTime);
  BOOST_TEST(CountRequests(server) == 0);
}

// Delivers the same change of many servers in one response.
void DeliverMany(server_fixture& aServer, int aCount,
                 const std::optional<backend_entry>& aEntry)
{
  ++aServer.mRevision;
  std::vector<directory_change<backend_entry>> changes;
  changes.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    changes.push_back({ "s" + std::to_string(i), aServer.mRevision, aEntry });
  }
  DeliverBackends(aServer.mGateway, aServer.mRevision, false,
                  std::move(changes));
  AdvanceTime(aServer.mGateway, kWatchPause);
}

// Guards against memory that grows with the number of servers that have ever
// left: what is known of them ends, and has a limit of its own.
BOOST_AUTO_TEST_CASE(what_is_known_of_removed_servers_is_forgotten)
{
  server_fixture server = MakeServerFixture();
  Deliver(server, MakeEntry(8, true));
  Remove(server);
  Await(server, absl::Seconds(61));
  Deliver(server, MakeEntry(5, false));
  BOOST_TEST(CountUnconfirmed(server) == 0U);
  constexpr int kServers = 6000;
  constexpr std::size_t kLimit = 4096;
  DeliverMany(server, kServers, MakeEntry(8, true));
  DeliverMany(server, kServers, std::nullopt);
  AdvanceTime(server.mGateway, absl::Seconds(1));
  DeliverMany(server, kServers, MakeEntry(5, false));
  BOOST_TEST(CountUnconfirmed(server) == kLimit);
}

// Guards against log lines without bound when many heartbeats are late, and
// lines that do not say what was ignored and why.
BOOST_AUTO_TEST_CASE(withheld_entries_are_logged_in_few_lines)
{
  constexpr int kServers = 60;
  server_fixture server = MakeServerFixture();
  DeliverMany(server, kServers, MakeEntry(80, true));
  server.mGateway.mActions.clear();
  DeliverMany(server, kServers, MakeEntry(5, false));
  const auto lines = TakeWithheldLines(server);
  BOOST_REQUIRE(!lines.empty());
  BOOST_TEST(lines.size() < kServers / 2);
  BOOST_TEST(CountUnconfirmed(server) == std::size_t(kServers));
  const decision_record& line = lines.front();
  BOOST_TEST(GetInput(line, "cause") == "earlier_statement");
  BOOST_TEST(GetInput(line, "backend") == "s0");
  BOOST_TEST(GetInput(line, "sequence") == "5");
  BOOST_TEST(GetInput(line, "known_sequence") == "80");
  AdvanceTime(server.mGateway, absl::Seconds(1));
  DeliverMany(server, 1, MakeEntry(7, false));
  const auto next = TakeWithheldLines(server);
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(GetInput(next[0], "lines_omitted") ==
             std::to_string(kServers - lines.size()));
}

} // namespace
} // namespace foxtailquay
