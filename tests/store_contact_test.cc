// Guards against changes in the store that take effect too late because a watch
// waits on a connection on which no response can arrive. Each case is one kind
// of failure at its worst moment. It states the time from the end of the
// failure until the gateway has a response to a call that was made after it,
// which must be within the contact time less the response time of a slow store.

#define BOOST_TEST_MODULE store_contact
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

constexpr absl::Duration kShortestContactTime = absl::Seconds(3);
// Response time of a store that is 60 times slower than usual.
constexpr absl::Duration kSlowResponse = absl::Milliseconds(240);
constexpr absl::Duration kUsualResponse = absl::Milliseconds(4);
constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);

// How the store treats a call.
enum class reply
{
  Answered,
  // The call ends at its timeout.
  Silent,
  // The connection cannot be established.
  Unreachable,
  // The response has status 503 or 429, or the connection is reset.
  Refused,
};

constexpr auto NameTable(reply)
{
  return MakeNameTable<reply>({ { reply::Answered, "answered" },
                                { reply::Silent, "silent" },
                                { reply::Unreachable, "unreachable" },
                                { reply::Refused, "refused" } });
}

struct pending_response
{
  absl::Time mAt;
  gateway_event mEvent;
};

// A store with two servers, as one gateway sees it.
struct contact_fixture
{
  gateway_fixture mGateway;
  reply mReply = reply::Answered;
  // How renewals are treated while mReply is Answered.
  reply mRenewalReply = reply::Answered;
  // Refuses half of the calls.
  bool mRefusesSome = false;
  std::mt19937 mRandom;
  // True if the server o1 has been removed, and if the history is dropped.
  bool mIsServerRemoved = false;
  bool mIsHistoryDropped = false;
  absl::Duration mResponseTime = kUsualResponse;
  store_version mRevision = 10;
  // Responses to registration calls and one to each area's last query.
  std::vector<pending_response> mRegistrations;
  std::map<directory_area, pending_response> mQueries;
  // True if the connections in the pool are silent, until a call on one fails.
  bool mHasSilentPool = false;
  // Start of the last query of each area that reached the store.
  std::map<directory_area, absl::Time> mReachedAt;
  int mWatches = 0;
  int mReads = 0;
  int mRenewals = 0;
};

// Returns how the next call is treated.
reply ChooseReply(contact_fixture& aFixture)
{
  if (aFixture.mRefusesSome && aFixture.mRandom() % 2 == 0) {
    return reply::Refused;
  }
  return aFixture.mHasSilentPool ? reply::Silent : aFixture.mReply;
}

// Returns the time after which a call ends that is treated as aReply.
absl::Duration GetFailureTime(const contact_fixture& aFixture, reply aReply,
                              absl::Duration aTimeout)
{
  switch (aReply) {
    case reply::Unreachable:
      return kConnectTimeout;
    case reply::Refused:
      return aFixture.mResponseTime;
    case reply::Answered:
    case reply::Silent:
      break;
  }
  return aTimeout;
}

directory_response MakeFailure(directory_area aArea)
{
  directory_response failed;
  failed.mArea = aArea;
  return failed;
}

directory_response MakeResponse(const contact_fixture& aFixture,
                                const directory_query& aQuery)
{
  directory_response response = MakeDirectoryResponse(
    aQuery.mArea, aFixture.mRevision, !aQuery.mAfter.has_value());
  if (aFixture.mIsHistoryDropped && aQuery.mAfter &&
      *aQuery.mAfter < aFixture.mRevision) {
    response.mStatus = directory_status::HistoryLost;
    return response;
  }
  if (aQuery.mArea == directory_area::Configuration && !aQuery.mAfter) {
    response.mConfigs = { { "", 5, MakeConfig(5) } };
  }
  if (aQuery.mArea == directory_area::Backends && !aQuery.mAfter) {
    response.mBackends = { { "o2", 3,
                             MakeBackendEntry("orders", "10.0.0.2:1") } };
    if (!aFixture.mIsServerRemoved) {
      response.mBackends.push_back(
        { "o1", 2, MakeBackendEntry("orders", "10.0.0.1:1") });
    }
  }
  if (aQuery.mArea == directory_area::Backends && aQuery.mAfter &&
      *aQuery.mAfter < aFixture.mRevision && aFixture.mIsServerRemoved) {
    response.mBackends = { { "o1", aFixture.mRevision, std::nullopt } };
  }
  return response;
}

void StartQuery(contact_fixture& aFixture, const directory_query& aQuery)
{
  const absl::Time now = aFixture.mGateway.mNow;
  (aQuery.mAfter ? aFixture.mWatches : aFixture.mReads) += 1;
  directory_response response = MakeResponse(aFixture, aQuery);
  const bool isHeld = response.mStatus == directory_status::Ok &&
                      response.mBackends.empty() && aQuery.mAfter.has_value();
  absl::Duration time =
    aFixture.mResponseTime + (isHeld ? aQuery.mMaxWait : absl::ZeroDuration());
  const reply treatment = ChooseReply(aFixture);
  if (treatment == reply::Answered) {
    aFixture.mReachedAt[aQuery.mArea] = now;
  } else {
    response = MakeFailure(aQuery.mArea);
    time =
      GetFailureTime(aFixture, treatment, aQuery.mMaxWait + kStoreResponseTime);
  }
  aFixture.mQueries[aQuery.mArea] = { now + time, response };
}

void StartRegistration(contact_fixture& aFixture)
{
  ++aFixture.mRenewals;
  reply treatment = ChooseReply(aFixture);
  if (treatment == reply::Answered) {
    treatment = aFixture.mResponseTime < kHeartbeatTimeout
                  ? aFixture.mRenewalReply
                  : reply::Silent;
  }
  const bool isAnswered = treatment == reply::Answered;
  registration_response response;
  response.mStatus =
    isAnswered ? lease_status::Held : lease_status::Unavailable;
  response.mLease = 7;
  aFixture.mRegistrations.push_back(
    { aFixture.mGateway.mNow +
        (isAnswered ? aFixture.mResponseTime
                    : GetFailureTime(aFixture, treatment, kHeartbeatTimeout)),
      response });
}

void HandleActions(contact_fixture& aFixture)
{
  const gateway_actions actions = std::move(aFixture.mGateway.mActions);
  aFixture.mGateway.mActions.clear();
  for (const gateway_action& action : actions) {
    if (const auto* query = std::get_if<directory_query>(&action)) {
      StartQuery(aFixture, *query);
    } else if (std::holds_alternative<registration_call>(action)) {
      StartRegistration(aFixture);
    }
  }
}

// Delivers a response. One that states a failure closes the pool.
void DeliverPending(contact_fixture& aFixture, const gateway_event& aEvent)
{
  const auto* registration = std::get_if<registration_response>(&aEvent);
  const auto* query = std::get_if<directory_response>(&aEvent);
  if ((registration != nullptr &&
       registration->mStatus == lease_status::Unavailable) ||
      (query != nullptr && query->mStatus == directory_status::Unavailable)) {
    aFixture.mHasSilentPool = false;
  }
  FireEvent(aFixture.mGateway, aEvent);
  HandleActions(aFixture);
}

void Run(contact_fixture& aFixture, absl::Duration aTime)
{
  const absl::Time end = aFixture.mGateway.mNow + aTime;
  while (aFixture.mGateway.mNow < end) {
    aFixture.mGateway.mNow += kStep;
    const absl::Time now = aFixture.mGateway.mNow;
    const auto registrations = std::move(aFixture.mRegistrations);
    aFixture.mRegistrations.clear();
    for (const pending_response& each : registrations) {
      if (each.mAt <= now) {
        DeliverPending(aFixture, each.mEvent);
      } else {
        aFixture.mRegistrations.push_back(each);
      }
    }
    const auto queries = aFixture.mQueries;
    for (const auto& [area, each] : queries) {
      if (each.mAt <= now && aFixture.mQueries.count(area) > 0 &&
          aFixture.mQueries[area].mAt == each.mAt) {
        aFixture.mQueries.erase(area);
        DeliverPending(aFixture, each.mEvent);
      }
    }
    if (GetNextWakeTime(*aFixture.mGateway.mNode) <= now) {
      FireEvent(aFixture.mGateway, gateway_tick{});
      HandleActions(aFixture);
    }
  }
}

// Returns a gateway in contact with the store for long.
contact_fixture MakeContact(absl::Duration aContactTime = kShortestContactTime,
                            std::uint64_t aSeed = 1)
{
  contact_fixture fixture;
  fixture.mGateway = MakeStartedGateway("g", aContactTime, aSeed);
  // The first calls of the fixture are those of a start.
  for (const auto& entry : NameTable(directory_area{})) {
    StartQuery(fixture, { entry.mValue, std::nullopt, {}, 0 });
  }
  StartRegistration(fixture);
  Run(fixture, absl::Seconds(5));
  return fixture;
}

// Makes all waiting watches deaf: they end at the timeout of the transport.
void LoseWatches(contact_fixture& aFixture)
{
  for (auto& [area, pending] : aFixture.mQueries) {
    auto& response = std::get<directory_response>(pending.mEvent);
    response.mStatus = directory_status::Unavailable;
    pending.mAt += kStoreResponseTime;
  }
  aFixture.mReachedAt.clear();
}

// Runs until a query on each area has reached the store. Returns the time that
// this and the response took.
absl::Duration AwaitContact(contact_fixture& aFixture, absl::Time aSince)
{
  constexpr std::size_t kAreas = CountEnumerators<directory_area>();
  while (aFixture.mReachedAt.size() < kAreas &&
         aFixture.mGateway.mNow - aSince < absl::Minutes(1)) {
    Run(aFixture, kStep);
  }
  return aFixture.mGateway.mNow - aSince + kSlowResponse;
}

// A disturbance of the store or of the path to it. Calls are treated as
// mReply meanwhile, and the waiting watches are lost.
struct disturbance
{
  reply mReply = reply::Silent;
  absl::Duration mTime;
};

// Returns the longest time from the end of the disturbance until the gateway is
// in contact again, over all phases of its timers.
absl::Duration FindWorstCase(const disturbance& aDisturbance,
                             absl::Duration aResponseTime)
{
  constexpr int kPhases = 90;
  absl::Duration worst;
  for (int phase = 0; phase < kPhases; ++phase) {
    contact_fixture fixture = MakeContact();
    fixture.mResponseTime = aResponseTime;
    Run(fixture, phase * absl::Milliseconds(10));
    fixture.mReply = aDisturbance.mReply;
    LoseWatches(fixture);
    Run(fixture, aDisturbance.mTime);
    fixture.mReply = reply::Answered;
    worst = std::max(worst, AwaitContact(fixture, fixture.mGateway.mNow));
  }
  return worst;
}

// Load: open connections all become silent for good without a reset, while new
// ones work (at a contact time of 3 s). The pool has silent connections too.
BOOST_AUTO_TEST_CASE(silent_connections_are_replaced_within_the_contact_time)
{
  for (const absl::Duration response : { kUsualResponse, kSlowResponse }) {
    absl::Duration worst;
    for (int phase = 0; phase < 90; ++phase) {
      contact_fixture fixture = MakeContact();
      fixture.mResponseTime = response;
      Run(fixture, phase * absl::Milliseconds(10));
      LoseWatches(fixture);
      fixture.mHasSilentPool = true;
      worst = std::max(worst, AwaitContact(fixture, fixture.mGateway.mNow));
    }
    BOOST_TEST_MESSAGE("worst case " << absl::FormatDuration(worst));
    BOOST_TEST((worst <= kShortestContactTime));
  }
}

// Load: a partition from the store, a store that is down and answers 503 or
// resets, a store that is silent, and a store that refuses this gateway only,
// for times from 1 s to 9 s. Watches that waited before hear of no change.
BOOST_AUTO_TEST_CASE(each_disturbance_ends_within_the_contact_time)
{
  for (const auto& kind : NameTable(reply{})) {
    if (kind.mValue == reply::Answered) {
      continue;
    }
    for (const int milliseconds : { 1000, 1700, 4400, 8700 }) {
      for (const absl::Duration response : { kUsualResponse, kSlowResponse }) {
        const absl::Duration worst = FindWorstCase(
          { kind.mValue, absl::Milliseconds(milliseconds) }, response);
        BOOST_TEST_MESSAGE(kind.mName << " for " << milliseconds
                                      << " ms: worst case "
                                      << absl::FormatDuration(worst));
        BOOST_TEST((worst <= kShortestContactTime));
      }
    }
  }
}

// Load: the store is silent for 4.4 s and a server is removed meanwhile. The
// entry is kept for a while after the reconnection, since it may have expired
// only because of the silence; it must be gone within the contact time.
BOOST_AUTO_TEST_CASE(a_server_removed_in_a_silence_is_unused_in_time)
{
  for (int phase = 0; phase < 90; ++phase) {
    contact_fixture fixture = MakeContact();
    Run(fixture, phase * absl::Milliseconds(10));
    BOOST_REQUIRE(GetSummary(*fixture.mGateway.mNode).mBackends == 2U);
    fixture.mReply = reply::Silent;
    LoseWatches(fixture);
    Run(fixture, absl::Milliseconds(4400));
    ++fixture.mRevision;
    fixture.mIsServerRemoved = true;
    fixture.mReply = reply::Answered;
    Run(fixture, kShortestContactTime);
    BOOST_TEST(GetSummary(*fixture.mGateway.mNode).mBackends == 1U);
  }
}

// Load: a restart of the store. Watches hear nothing of changes for a second
// and are then cut, and the history is dropped.
BOOST_AUTO_TEST_CASE(changes_with_a_dropped_history_are_read_in_time)
{
  for (const absl::Duration response : { kUsualResponse, kSlowResponse }) {
    contact_fixture fixture = MakeContact();
    fixture.mResponseTime = response;
    ++fixture.mRevision;
    fixture.mIsServerRemoved = true;
    fixture.mIsHistoryDropped = true;
    Run(fixture, absl::Seconds(1));
    for (auto& [area, pending] : fixture.mQueries) {
      pending = { fixture.mGateway.mNow, MakeFailure(area) };
    }
    Run(fixture, kShortestContactTime);
    BOOST_TEST(fixture.mReads == 6);
    BOOST_TEST(GetSummary(*fixture.mGateway.mNode).mBackends == 1U);
  }
}

// Load: a gateway that is frozen for 6 s. Its connections have become silent,
// or were reset, and its steady clock has stopped or not.
BOOST_AUTO_TEST_CASE(a_frozen_gateway_is_in_contact_after_it_runs_again)
{
  constexpr absl::Duration kFrozen = absl::Seconds(6);
  for (const bool clockRuns : { true, false }) {
    for (const bool isReset : { true, false }) {
      contact_fixture fixture = MakeContact();
      LoseWatches(fixture);
      fixture.mHasSilentPool = !isReset;
      if (clockRuns) {
        fixture.mGateway.mNow += kFrozen;
      }
      for (auto& [area, pending] : fixture.mQueries) {
        pending.mAt = isReset ? fixture.mGateway.mNow : pending.mAt;
      }
      BOOST_TEST(
        (AwaitContact(fixture, fixture.mGateway.mNow) <= kShortestContactTime));
    }
  }
}

// The worst case of the design, which its note states: the store answers
// renewals and drops a waiting watch. Nothing but the end of the watch shows
// this.
BOOST_AUTO_TEST_CASE(a_watch_that_is_dropped_alone_ends_by_its_own_time)
{
  constexpr absl::Duration kBound = absl::Seconds(22);
  contact_fixture fixture = MakeContact();
  LoseWatches(fixture);
  BOOST_TEST((AwaitContact(fixture, fixture.mGateway.mNow) <= kBound));
}

// Load: responses to writes are lost for 10 s, those to renewals too, while
// reads and watches are answered. Each restart of the watches costs three
// calls.
BOOST_AUTO_TEST_CASE(lost_responses_to_renewals_restart_the_watches_once)
{
  contact_fixture fixture = MakeContact();
  fixture.mWatches = 0;
  fixture.mRenewalReply = reply::Silent;
  Run(fixture, absl::Seconds(10));
  BOOST_TEST(fixture.mWatches == 0);
  fixture.mRenewalReply = reply::Answered;
  Run(fixture, absl::Seconds(3));
  BOOST_TEST(fixture.mWatches == 3);
  BOOST_TEST(fixture.mReads == 3);
}

// Load: a store that refuses half of the calls, as an overloaded one does. The
// reaction must not be as fast as the refusals: one restart of three watches a
// second, each of them called twice on average, with a short watch after a
// failure in half of the cases.
BOOST_AUTO_TEST_CASE(a_store_that_refuses_some_calls_gets_few)
{
  constexpr int kSeconds = 60;
  contact_fixture fixture = MakeContact();
  fixture.mRefusesSome = true;
  fixture.mWatches = 0;
  fixture.mRenewals = 0;
  Run(fixture, absl::Seconds(kSeconds));
  BOOST_TEST_MESSAGE("watches " << fixture.mWatches << ", renewals "
                                << fixture.mRenewals);
  BOOST_TEST(fixture.mWatches <= 8 * kSeconds);
  BOOST_TEST(fixture.mRenewals <= 10 * kSeconds);
}

// Load: a fleet whose store is 60 times slower than usual. Connections that are
// renewed all the time would cost more than the slowness.
BOOST_AUTO_TEST_CASE(a_slow_store_causes_no_restarts)
{
  contact_fixture fixture = MakeContact();
  fixture.mResponseTime = kSlowResponse;
  Run(fixture, absl::Seconds(25));
  fixture.mWatches = 0;
  Run(fixture, absl::Seconds(60));
  BOOST_TEST(fixture.mWatches <= 9);
  BOOST_TEST(fixture.mReads == 3);
}

// Load: a store whose renewals take longer than their timeout for a minute. The
// watches still work and must not be restarted.
BOOST_AUTO_TEST_CASE(renewals_that_are_too_slow_restart_no_watch)
{
  contact_fixture fixture = MakeContact();
  fixture.mResponseTime = absl::Milliseconds(900);
  fixture.mWatches = 0;
  Run(fixture, absl::Seconds(60));
  BOOST_TEST(fixture.mWatches <= 12);
}

// Load: steady state without changes of the configuration. A watch costs a
// call, a renewal a tenth.
BOOST_AUTO_TEST_CASE(a_gateway_in_steady_state_makes_few_calls)
{
  constexpr int kSeconds = 300;
  contact_fixture fixture = MakeContact();
  fixture.mWatches = 0;
  fixture.mRenewals = 0;
  Run(fixture, absl::Seconds(kSeconds));
  const double price = (fixture.mWatches + 0.1 * fixture.mRenewals) / kSeconds;
  BOOST_TEST_MESSAGE("priced calls per second " << price);
  BOOST_TEST(price <= 0.4);
}

// Load: 23 gateways whose store was silent, so that all renew at the same time.
// Their renewals must not stay together.
BOOST_AUTO_TEST_CASE(renewals_of_a_fleet_are_spread)
{
  constexpr int kGateways = 23;
  std::map<std::int64_t, int> renewals;
  for (int i = 0; i < kGateways; ++i) {
    contact_fixture fixture =
      MakeContact(kShortestContactTime, static_cast<std::uint64_t>(i) + 1);
    fixture.mReply = reply::Silent;
    LoseWatches(fixture);
    Run(fixture, absl::Seconds(4));
    fixture.mReply = reply::Answered;
    Run(fixture, absl::Seconds(20));
    const absl::Time start = fixture.mGateway.mNow;
    const int before = fixture.mRenewals;
    while (fixture.mRenewals == before) {
      Run(fixture, kStep);
    }
    ++renewals[(fixture.mGateway.mNow - start) / absl::Milliseconds(100)];
  }
  for (const auto& [interval, count] : renewals) {
    BOOST_TEST(count <= kGateways / 2);
  }
}

// A gateway that stops makes no renewals. Its watches must be short enough for
// a silent connection to show in time, also if the connection became silent
// while the gateway paused after a change.
BOOST_AUTO_TEST_CASE(the_watches_of_a_stopping_gateway_meet_the_contact_time)
{
  for (const int contactSeconds : { 3, 4, 5 }) {
    contact_fixture fixture = MakeContact(absl::Seconds(contactSeconds));
    FireEvent(fixture.mGateway, stop_requested{});
    HandleActions(fixture);
    const int renewals = fixture.mRenewals;
    Run(fixture, absl::Seconds(1));
    LoseWatches(fixture);
    fixture.mHasSilentPool = true;
    BOOST_TEST((AwaitContact(fixture, fixture.mGateway.mNow) <=
                absl::Seconds(contactSeconds)));
    BOOST_TEST(fixture.mRenewals == renewals);
  }
}

} // namespace
} // namespace foxtailquay
