// Guards against a gateway that has just read all entries of servers and takes
// one that the store has executed late for the present state, although other
// gateways know better.

#define BOOST_TEST_MODULE server_share
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "statement_fixture.h"
#include "wire/gateway_codec.h"

namespace foxtailquay {
namespace {

// Returns what the gateway tells another one that asks.
std::vector<known_server> Ask(server_fixture& aServer)
{
  aServer.mGateway.mActions.clear();
  FireEvent(aServer.mGateway, servers_requested{ 7 });
  const auto responses = TakeActions<send_servers>(aServer.mGateway);
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST(responses[0].mCall == 7U);
  return responses[0].mServers;
}

// Returns a gateway that has just read the entry.
server_fixture MakeReader(const backend_entry& aEntry)
{
  server_fixture reader;
  reader.mGateway = MakeReadyGateway();
  DeliverComplete(reader, aEntry);
  return reader;
}

void Tell(server_fixture& aReader, std::vector<known_server> aServers)
{
  FireEvent(aReader.mGateway, servers_received{ "p", std::move(aServers) });
}

// Guards against requests to a server that drains, has left or has started
// anew, by a gateway that has started after the late heartbeat was executed.
BOOST_AUTO_TEST_CASE(a_reader_learns_what_its_first_read_contradicts)
{
  backend_entry restarted = MakeEntry(1, false);
  restarted.mStartedMs = kStartedMs + 1;
  const std::vector<backend_entry> later = { MakeEntry(8, true), restarted };
  for (const backend_entry& entry : later) {
    for (const bool isRemoved : { false, true }) {
      server_fixture known = MakeServerFixture();
      Deliver(known, entry);
      if (isRemoved) {
        Remove(known);
      }
      Deliver(known, MakeEntry(5, false));
      server_fixture reader = MakeReader(MakeEntry(5, false));
      BOOST_TEST(CountRequests(reader) > 0);
      reader.mGateway.mActions.clear();
      Tell(reader, Ask(known));
      const auto lines = TakeWithheldLines(reader);
      BOOST_REQUIRE(lines.size() == 1U);
      BOOST_TEST(GetInput(lines[0], "known_sequence") ==
                 std::to_string(entry.mSequence));
      BOOST_TEST(CountRequests(reader) == 0);
      BOOST_TEST(CountUnconfirmed(reader) == 1U);
    }
  }
}

// Guards against the same if the response comes before the entries are read.
BOOST_AUTO_TEST_CASE(a_response_before_the_first_read_counts)
{
  server_fixture known = MakeServerFixture();
  Deliver(known, MakeEntry(8, true));
  Remove(known);
  server_fixture reader;
  reader.mGateway = MakeReadyGateway();
  Tell(reader, Ask(known));
  DeliverComplete(reader, MakeEntry(5, false));
  BOOST_TEST(CountRequests(reader) == 0);
}

// Guards against requests to a server that has said in responses to other
// gateways that it leaves, while its entry says nothing of it.
BOOST_AUTO_TEST_CASE(a_reader_learns_what_responses_have_stated)
{
  server_fixture known = MakeServerFixture();
  StateLeaving(known, SendUntilServer(known));
  server_fixture reader = MakeReader(MakeEntry(1, false));
  Tell(reader, Ask(known));
  BOOST_TEST(CountRequests(reader) == 0);
}

// Guards against a server that gets no requests because of what another gateway
// knew before: that gateway may have been suspended, or cut off.
BOOST_AUTO_TEST_CASE(a_later_entry_prevails_over_what_a_gateway_tells)
{
  server_fixture known = MakeServerFixture();
  Deliver(known, MakeEntry(8, true));
  const auto servers = Ask(known);
  BOOST_TEST(servers.size() == 1U);
  server_fixture reader = MakeReader(MakeEntry(12, false));
  Tell(reader, servers);
  BOOST_TEST(CountRequests(reader) > 0);
  backend_entry restarted = MakeEntry(1, false);
  restarted.mStartedMs = kStartedMs + 1;
  Deliver(reader, restarted);
  Tell(reader, servers);
  BOOST_TEST(CountRequests(reader) > 0);
}

// Guards against a server that stays out of use by what another gateway knew,
// although its entry stands.
BOOST_AUTO_TEST_CASE(an_entry_that_stands_prevails_in_the_end)
{
  server_fixture known = MakeServerFixture();
  Deliver(known, MakeEntry(8, true));
  server_fixture reader = MakeReader(MakeEntry(5, false));
  Tell(reader, Ask(known));
  Await(reader, kRemovalTime);
  BOOST_TEST(CountRequests(reader) == 0);
  Await(reader, 2 * kHeartbeat);
  BOOST_TEST(CountRequests(reader) > 0);
}

// Guards against a confirmation of what the store does not hold: the withheld
// entry must stay the one in the store.
BOOST_AUTO_TEST_CASE(what_a_gateway_tells_does_not_replace_a_withheld_entry)
{
  server_fixture known = MakeServerFixture();
  Deliver(known, MakeEntry(13, true));
  server_fixture reader = MakeServerFixture();
  Deliver(reader, MakeEntry(12, false));
  Deliver(reader, MakeEntry(9, true));
  BOOST_TEST(CountUnconfirmed(reader) == 1U);
  Tell(reader, Ask(known));
  Await(reader, kRemovalTime + 3 * kHeartbeat);
  BOOST_TEST(CountRequests(reader) == 0);
}

// Guards against servers that other gateways take out of use although nothing
// contradicts their entries.
BOOST_AUTO_TEST_CASE(servers_in_use_are_not_told)
{
  server_fixture known = MakeServerFixture();
  BOOST_TEST(Ask(known).empty());
}

// Guards against messages to the whole fleet at each read, and against a read
// after which nobody is asked.
BOOST_AUTO_TEST_CASE(a_few_gateways_are_asked_after_each_complete_read)
{
  constexpr int kPeers = 20;
  constexpr std::size_t kAsked = 3;
  server_fixture reader = MakeServerFixture();
  std::vector<directory_change<gateway_peer>> peers;
  peers.reserve(kPeers);
  for (int i = 0; i < kPeers; ++i) {
    peers.push_back({ "p" + std::to_string(i), 1,
                      gateway_peer{ "10.9.0." + std::to_string(i) + ":1" } });
  }
  DeliverPeers(reader.mGateway, 30, peers);
  for (int i = 0; i < 2; ++i) {
    reader.mGateway.mActions.clear();
    DeliverComplete(reader, MakeEntry(5, false));
    AdvanceTime(reader.mGateway, absl::Milliseconds(300));
    BOOST_TEST(TakeActions<request_servers>(reader.mGateway).size() == kAsked);
    AdvanceTime(reader.mGateway, absl::Seconds(2));
    BOOST_TEST(TakeActions<request_servers>(reader.mGateway).empty());
  }
}

// Guards against requests in the milliseconds between the first read and the
// answers, and against a gateway that never becomes ready since a peer has
// ended.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_awaits_answers_before_it_is_ready)
{
  for (const bool isAnswered : { true, false }) {
    gateway_fixture reader = MakeStartedGateway();
    DeliverConfig(reader, MakeConfig(5), 10);
    DeliverPeers(reader, 11, { { "p", 3, gateway_peer{ "10.9.0.1:1" } } });
    DeliverBackends(reader, 12, true, { { "o1", 4, MakeEntry(5, false) } });
    BOOST_TEST(TakeActions<request_servers>(reader).size() == 1U);
    BOOST_TEST(!GetSummary(*reader.mNode).mReady);
    if (isAnswered) {
      FireEvent(reader, servers_received{ "p", {} });
      BOOST_TEST(GetSummary(*reader.mNode).mReady);
    } else {
      AdvanceTime(reader, absl::Milliseconds(600));
      BOOST_TEST(GetSummary(*reader.mNode).mReady);
    }
  }
}

// Guards against a response that grows with the number of servers that leave.
BOOST_AUTO_TEST_CASE(a_response_has_a_limit)
{
  constexpr int kServers = 1000;
  constexpr std::size_t kLimit = 256;
  server_fixture known = MakeServerFixture();
  std::vector<directory_change<backend_entry>> changes;
  changes.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    changes.push_back({ "s" + std::to_string(i), 90, MakeEntry(8, true) });
  }
  DeliverBackends(known.mGateway, 90, false, std::move(changes));
  BOOST_TEST(Ask(known).size() == kLimit);
}

BOOST_AUTO_TEST_CASE(what_is_known_of_servers_is_encoded_and_decoded)
{
  const std::vector<known_server> servers = {
    { backend_id{ "i-1" }, kStartedMs, kServerAddress, 8, true, false },
    { backend_id{ "i-2" }, 0, "", 0, false, true }
  };
  const auto decoded = DecodeServersResponse(EncodeServersResponse(servers));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_REQUIRE(GetValue(decoded).size() == 2U);
  const known_server& first = GetValue(decoded)[0];
  BOOST_TEST(first.mBackend.mValue == "i-1");
  BOOST_TEST(first.mStartedMs == kStartedMs);
  BOOST_TEST(first.mAddress == kServerAddress);
  BOOST_TEST(first.mSequence == 8);
  BOOST_TEST(first.mIsLeaving);
  BOOST_TEST(!first.mIsRemoved);
  BOOST_TEST(GetValue(decoded)[1].mIsRemoved);
  const auto call = DecodeGatewayCall(EncodeRequestServers());
  BOOST_REQUIRE(IsOk(call));
  BOOST_TEST(std::holds_alternative<servers_requested>(GetValue(call)));
}

// Guards against a malformed response that ends the process or is half applied.
BOOST_AUTO_TEST_CASE(a_malformed_response_on_servers_is_rejected)
{
  for (const char* text :
       { "", "[]", R"({"result":{}})", R"({"result":{"servers":[1]}})",
         R"({"result":{"servers":[{"backend":"i","started_ms":"1"}]}})" }) {
    BOOST_TEST(!IsOk(DecodeServersResponse(text)), text);
  }
}

} // namespace
} // namespace foxtailquay
