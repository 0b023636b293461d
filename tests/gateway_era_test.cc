// Guards against wrong decisions of a gateway when the store returns to an
// older state: changes that are dropped because their revisions are low,
// servers that had left and are used again, leases of other gateways, and
// grants that are spent although nobody else knows of them.

#define BOOST_TEST_MODULE gateway_era
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include <set>

namespace foxtailquay {
namespace {

constexpr response_era kFirstEra{ 0, 1 };
constexpr response_era kSecondEra{ 2, 2 };

directory_response MakeBackendsResponse(
  store_version aRevision, bool aComplete, response_era aEra,
  std::vector<directory_change<backend_entry>> aChanges)
{
  auto response =
    MakeDirectoryResponse(directory_area::Backends, aRevision, aComplete);
  response.mBackends = std::move(aChanges);
  response.mEra = aEra;
  return response;
}

// Returns a gateway that knows the era 1 and two servers of the service orders.
gateway_fixture MakeGatewayInFirstEra()
{
  gateway_fixture fixture = MakeReadyGateway();
  FireEvent(fixture, MakeBackendsResponse(20, false, kFirstEra, {}));
  fixture.mActions.clear();
  return fixture;
}

// Delivers a response that states the era 2 to a call of the era 1.
void BeginSecondEra(gateway_fixture& aFixture)
{
  FireEvent(aFixture, MakeBackendsResponse(9, false, { 1, 2 }, {}));
}

// Delivers the servers as first read in the era 2.
void ReadBackends(gateway_fixture& aFixture,
                  std::vector<directory_change<backend_entry>> aChanges)
{
  FireEvent(aFixture,
            MakeBackendsResponse(9, true, kSecondEra, std::move(aChanges)));
}

// Returns the servers that get orders, as seen in several of them.
std::set<std::string> FindServersInUse(gateway_fixture& aFixture)
{
  constexpr int kOrders = 30;
  std::set<std::string> servers;
  for (int i = 0; i < kOrders; ++i) {
    servers.insert(CompleteOrder(aFixture));
  }
  return servers;
}

directory_change<backend_entry> MakeChange(const char* aName,
                                           const char* aAddress,
                                           store_version aRevision,
                                           bool aLeaving)
{
  backend_entry entry = MakeBackendEntry("orders", aAddress);
  entry.mLeaving = aLeaving;
  return { aName, aRevision, entry };
}

const auto kFirstServer = MakeChange("o1", "10.0.0.1:1", 2, false);
const auto kSecondServer = MakeChange("o2", "10.0.0.2:1", 3, false);

// A watch from a revision that was given out again would miss changes.
BOOST_AUTO_TEST_CASE(all_areas_are_read_anew_in_a_new_era)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  BeginSecondEra(fixture);
  std::set<directory_area> read;
  for (const auto& query : TakeActions<directory_query>(fixture)) {
    BOOST_TEST(!query.mAfter);
    BOOST_TEST(query.mEra == 2U);
    read.insert(query.mArea);
  }
  BOOST_TEST(read.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_change_at_a_lower_revision_takes_effect_in_a_new_era)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  FireEvent(fixture, MakeBackendsResponse(
                       30, false, { 1, 1 },
                       { MakeChange("o1", "10.0.0.1:1", 30, false) }));
  BeginSecondEra(fixture);
  ReadBackends(fixture,
               { kSecondServer, MakeChange("o1", "10.0.0.1:1", 4, true) });
  BOOST_TEST((FindServersInUse(fixture) == std::set<std::string>{ "o2" }));
}

// The response to a call of the era before holds what the store has lost.
BOOST_AUTO_TEST_CASE(a_late_response_of_an_earlier_era_changes_nothing)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  BeginSecondEra(fixture);
  ReadBackends(fixture, { kFirstServer, kSecondServer });
  FireEvent(fixture, MakeBackendsResponse(
                       40, true, { 1, 1 },
                       { MakeChange("o3", "10.0.0.9:1", 40, false) }));
  BOOST_TEST(
    (FindServersInUse(fixture) == std::set<std::string>{ "o1", "o2" }));
}

BOOST_AUTO_TEST_CASE(a_leaving_server_stays_unused_in_a_new_era)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  FireEvent(fixture,
            MakeBackendsResponse(30, false, { 1, 1 },
                                 { MakeChange("o1", "10.0.0.1:1", 30, true) }));
  BeginSecondEra(fixture);
  ReadBackends(fixture, { kFirstServer, kSecondServer });
  BOOST_TEST((FindServersInUse(fixture) == std::set<std::string>{ "o2" }));
}

// The older state lists a server whose entry was removed later. It is used
// again only if it proves that it lives. A write of its entry alone does not:
// the store may execute one of its heartbeats late. That the entry stands for
// longer than a silent server's does, and is still there when asked for, does.
BOOST_AUTO_TEST_CASE(a_removed_server_stays_unused_until_its_entry_stands)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  FireEvent(fixture, MakeBackendsResponse(30, false, { 1, 1 },
                                          { { "o1", 30, std::nullopt } }));
  BeginSecondEra(fixture);
  ReadBackends(fixture, { kFirstServer, kSecondServer });
  BOOST_TEST((FindServersInUse(fixture) == std::set<std::string>{ "o2" }));
  FireEvent(fixture, MakeBackendsResponse(
                       12, false, kSecondEra,
                       { MakeChange("o1", "10.0.0.1:1", 12, false) }));
  BOOST_TEST((FindServersInUse(fixture) == std::set<std::string>{ "o2" }));
  AdvanceTime(fixture, 4 * gateway_settings{}.mServerHeartbeat);
  BOOST_TEST((FindServersInUse(fixture) == std::set<std::string>{ "o2" }));
  AdvanceTime(fixture, absl::Milliseconds(300));
  FireEvent(fixture, MakeBackendsResponse(12, false, kSecondEra, {}));
  BOOST_TEST(FindServersInUse(fixture).count("o1") == 1U);
}

// The id of a lease may belong to another gateway in the new era.
BOOST_AUTO_TEST_CASE(a_lease_is_not_renewed_in_a_new_era)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  FireEvent(fixture, registration_response{ lease_status::Held, 7, { 1, 1 } });
  fixture.mActions.clear();
  BeginSecondEra(fixture);
  AdvanceTime(fixture, absl::Milliseconds(500));
  const auto calls = TakeActions<registration_call>(fixture);
  BOOST_REQUIRE(calls.size() == 1);
  BOOST_TEST(calls[0].mLease == 0U);
}

// Watches wait for 20 s and say nothing of the new era meanwhile. Until they
// start anew, changes at lower revisions would be missed.
BOOST_AUTO_TEST_CASE(a_renewal_that_states_a_new_era_starts_all_areas_anew)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  FireEvent(fixture, registration_response{ lease_status::Held, 7, { 1, 1 } });
  AdvanceTime(fixture, absl::Milliseconds(800));
  BOOST_TEST(!TakeActions<registration_call>(fixture).empty());
  FireEvent(fixture, registration_response{ lease_status::Held, 7, { 1, 2 } });
  BOOST_TEST(TakeActions<directory_query>(fixture).size() == 3U);
}

BOOST_AUTO_TEST_CASE(an_era_that_falls_is_ignored)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  BeginSecondEra(fixture);
  ReadBackends(fixture, { kFirstServer, kSecondServer });
  fixture.mActions.clear();
  FireEvent(fixture, MakeBackendsResponse(10, false, { 2, 1 },
                                          { { "o1", 10, std::nullopt } }));
  const auto records = TakeActions<decision_record>(fixture);
  BOOST_REQUIRE(records.size() == 1);
  BOOST_TEST((records[0].mDecision == decision::StoreEraIgnored));
  BOOST_TEST(FindServersInUse(fixture).count("o1") == 1U);
}

// --- Grants -----------------------------------------------------------------

void ConfirmWrite(gateway_fixture& aFixture, store_version aRevision)
{
  grant_write_response written;
  written.mOutcome = grant_outcome::Written;
  written.mRevision = aRevision;
  FireEvent(aFixture, written);
}

// Returns a gateway with one engine and two peers, whose grant write is in
// flight and for whose tokens a request waits.
gateway_fixture MakeGatewayWithPeers(grant_write& aWrite)
{
  gateway_fixture fixture = MakeStartedGateway();
  DeliverConfig(fixture, MakeConfig(5), 10);
  const auto writes = TakeActions<grant_write>(fixture);
  BOOST_REQUIRE(writes.size() == 1);
  aWrite = writes[0];
  DeliverBackends(fixture, 10, true,
                  { { "e1", 4, MakeBackendEntry("engines", "10.0.0.3:1") } });
  DeliverPeers(fixture, 11,
               { { "p1", 11, gateway_peer{ "10.0.1.1:1" } },
                 { "p2", 11, gateway_peer{ "10.0.1.2:1" } } });
  caller_request request = MakeCallerRequest(fixture, "/chat/1");
  request.mPromptTokens = 100;
  request.mMaxOutputTokens = 70;
  FireEvent(fixture, request);
  fixture.mActions.clear();
  return fixture;
}

// Returns the rows of the write that the store counts.
std::size_t CountRows(const grant_write& aWrite)
{
  constexpr std::size_t kEraCondition = 1;
  constexpr std::size_t kEraMarks = 4;
  return 2 * aWrite.mEntries.size() + kEraCondition +
         (aWrite.mMarksEra ? kEraMarks : 0);
}

// Seen on the users' platform with 24 workspaces: the store refuses a write of
// more than 32 rows, so that nothing was ever granted.
BOOST_AUTO_TEST_CASE(a_write_of_many_grants_fits_into_a_transaction)
{
  constexpr std::size_t kMaxRows = 32;
  gateway_fixture fixture = MakeStartedGateway();
  traffic_config config = MakeConfig(5);
  const traffic_workspace first = config.mWorkspaces.at(0);
  for (int i = 0; i < 40; ++i) {
    traffic_workspace workspace = first;
    workspace.mId = workspace_id{ std::to_string(i) };
    config.mWorkspaces.push_back(std::move(workspace));
  }
  DeliverConfig(fixture, config, 10);
  const auto writes = TakeActions<grant_write>(fixture);
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST(writes[0].mEntries.size() > 1U);
  BOOST_TEST(CountRows(writes[0]) <= kMaxRows);
}

// If the store loses the record and its writer dies, another gateway must know
// what may have been spent.
BOOST_AUTO_TEST_CASE(tokens_are_spent_only_once_two_gateways_have_the_record)
{
  grant_write write;
  gateway_fixture fixture = MakeGatewayWithPeers(write);
  ConfirmWrite(fixture, 41);
  const auto shared = TakeActions<share_grants>(fixture);
  BOOST_REQUIRE(shared.size() == 2);
  BOOST_REQUIRE(shared[0].mCopies.size() == 1);
  BOOST_TEST(ComputeTotal(shared[0].mCopies[0].mRecord) ==
             ComputeTotal(write.mEntries[0].mPlan.mRecord));
  share_response_received held{ shared[0].mPeer, shared[0].mReplication, 0,
                                share_response{} };
  FireEvent(fixture, held);
  BOOST_TEST(TakeActions<dispatch_request>(fixture).empty());
  held.mPeer = shared[1].mPeer;
  FireEvent(fixture, held);
  BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
}

// A gateway must be able to spend after all others have died.
BOOST_AUTO_TEST_CASE(gateways_that_do_not_respond_are_not_waited_for)
{
  grant_write write;
  gateway_fixture fixture = MakeGatewayWithPeers(write);
  ConfirmWrite(fixture, 41);
  for (const auto& shared : TakeActions<share_grants>(fixture)) {
    FireEvent(fixture, share_response_received{
                         shared.mPeer, shared.mReplication, 0, std::nullopt });
  }
  BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
}

// A gateway that has answered in the new era has told what it knows; a record
// that it accepted afterwards would be missing there.
BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_era_is_not_accepted)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  BeginSecondEra(fixture);
  fixture.mActions.clear();
  FireEvent(fixture, grants_shared{ 5, 1, false, {} });
  const auto responses = TakeActions<send_share_response>(fixture);
  BOOST_REQUIRE(responses.size() == 1);
  BOOST_TEST(responses[0].mResponse.mEra == 2U);
}

// The newest copy is taken over only after enough of those that may have one
// have answered.
BOOST_AUTO_TEST_CASE(nothing_is_granted_until_enough_gateways_have_answered)
{
  gateway_fixture fixture = MakeGatewayInFirstEra();
  const auto peers = [](store_version aRevision, response_era aEra) {
    auto response =
      MakeDirectoryResponse(directory_area::Peers, aRevision, true);
    for (const char* name : { "p1", "p2", "p3" }) {
      response.mPeers.push_back({ name, aRevision, gateway_peer{ name } });
    }
    response.mEra = aEra;
    return response;
  };
  FireEvent(fixture, peers(21, { 1, 1 }));
  BeginSecondEra(fixture);
  FireEvent(fixture, peers(8, kSecondEra));
  grants_read read;
  read.mIsRead = true;
  read.mEra = kSecondEra;
  FireEvent(fixture, read);
  fixture.mActions.clear();
  for (const char* name : { "p1", "p2", "p3" }) {
    FireEvent(fixture, share_response_received{ name, 0, 2, std::nullopt });
  }
  AdvanceTime(fixture, absl::Seconds(2));
  BOOST_TEST(TakeActions<grant_write>(fixture).empty());
  share_response answer;
  answer.mEra = 2;
  answer.mFirstEra = 1;
  grant_copy copy{ workspace_id{ "w" }, {} };
  copy.mRecord.mEra = 1;
  copy.mRecord.mSequence = 9;
  copy.mRecord.mEntries["p2/1"].mGranted = 4321;
  answer.mCopies = { copy };
  FireEvent(fixture, share_response_received{ "p1", 0, 2, answer });
  AdvanceTime(fixture, absl::Seconds(2));
  const auto writes = TakeActions<grant_write>(fixture);
  BOOST_REQUIRE(!writes.empty());
  BOOST_TEST(writes[0].mEra == 2U);
  BOOST_TEST(writes[0].mMarksEra);
  const grant_record& record = writes[0].mEntries.at(0).mPlan.mRecord;
  BOOST_TEST(record.mEra == 2U);
  BOOST_TEST(record.mEntries.at("p2/1").mGranted == 4321);
}

} // namespace
} // namespace foxtailquay
