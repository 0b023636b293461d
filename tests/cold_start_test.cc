// Guards against cold backend servers that get more requests than they bear,
// and against limits that outlast the cold time or leave requests unserved. The
// loads are those of 23 to 31 gateways in front of 57 engines in 3 zones, 372
// requests a second and bursts of 1.7 times as many.

#define BOOST_TEST_MODULE cold_start
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <map>
#include <random>

#include "absl/strings/str_cat.h"
#include "core/cold_start.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

constexpr double kRate = 14;
constexpr cold_bounds kBounds{ 1.5, 5 };
constexpr int kBound = 26;

// Returns the largest number of times in any window of one second.
int CountMost(const std::vector<absl::Time>& aTimes)
{
  std::deque<absl::Time> window;
  std::size_t most = 0;
  for (const absl::Time at : aTimes) {
    window.push_back(at);
    while (at - window.front() > absl::Seconds(1)) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return static_cast<int>(most);
}

// --- Shares -----------------------------------------------------------------

// Guards against shares that add up to more than the bound if the gateways'
// phases lie badly, and against shares that leave the rate unused.
BOOST_AUTO_TEST_CASE(shares_stay_below_the_bound_in_any_phase)
{
  for (const int gateways : { 1, 2, 4, 8, 10, 23, 31, 100 }) {
    for (const double rate : { 2.0, 5.0, 14.0, 80.0 }) {
      const double bound = rate * kBounds.mOverage + kBounds.mSlack;
      const cold_share share = ComputeColdShare(rate, kBounds, gateways);
      BOOST_TEST_CONTEXT(gateways << " gateways, rate " << rate)
      {
        const double each =
          std::floor(absl::FDivDuration(absl::Seconds(1), share.mInterval)) + 1;
        BOOST_TEST(share.mUsers <= gateways);
        BOOST_TEST(share.mUsers * each <= 0.6 * bound);
        BOOST_TEST(share.mUsers / absl::ToDoubleSeconds(share.mInterval) >=
                   0.5 * rate);
        BOOST_TEST(share.mUsers / absl::ToDoubleSeconds(share.mInterval) <=
                   rate + 1e-6);
      }
    }
  }
  BOOST_TEST(ComputeColdShare(0.5, { 1.5, 0 }, 31).mUsers == 0);
}

// Guards against gateways that know only half of their peers and together
// exceed the bound: 31 gateways that send whenever they may, all in the same
// phase, which is the worst one.
BOOST_AUTO_TEST_CASE(gateways_that_know_half_of_their_peers_keep_the_bound)
{
  constexpr std::size_t kGateways = 31;
  std::mt19937 random(1);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kGateways; ++i) {
    names.push_back(absl::StrCat("front-", i));
  }
  for (int server = 0; server < 57; ++server) {
    std::vector<absl::Time> times;
    for (std::size_t own = 0; own < kGateways; ++own) {
      std::vector<std::string_view> peers;
      for (std::size_t i = 0; i < kGateways; ++i) {
        if (i != own && random() % 2 == 0) {
          peers.emplace_back(names[i]);
        }
      }
      const cold_share share =
        ComputeColdShare(kRate, kBounds, static_cast<int>(peers.size()) + 1);
      if (!IsColdUser(absl::StrCat("i-", server), names[own], peers,
                      share.mUsers)) {
        continue;
      }
      for (absl::Time at = kStart; at < kStart + absl::Seconds(4);
           at += share.mInterval) {
        times.push_back(at);
      }
    }
    std::sort(times.begin(), times.end());
    BOOST_TEST(CountMost(times) <= kBound, "server " << server);
  }
}

// --- One gateway ------------------------------------------------------------

traffic_config MakeColdConfig()
{
  traffic_config config = MakeConfig(5);
  config.mWorkspaces[0].mPrepaid.reset();
  for (traffic_service& service : config.mServices) {
    service.mColdTime = absl::Seconds(3);
    service.mColdRate = kRate;
  }
  return config;
}

backend_entry MakeOrders(std::int64_t aStartedMs, absl::Duration aColdLeft)
{
  backend_entry entry = MakeBackendEntry("orders", "10.0.0.1:1");
  entry.mSlots = 500;
  entry.mStartedMs = aStartedMs;
  entry.mColdLeft = aColdLeft;
  return entry;
}

// Returns a gateway with the only server "o1", which is warm.
gateway_fixture MakeColdGateway(int aPeers = 0,
                                std::optional<cold_bounds> aBounds = kBounds,
                                const std::string& aName = "g")
{
  gateway_settings settings = MakeSettings(aName);
  settings.mColdBounds = aBounds;
  gateway_fixture fixture = MakeStartedGateway(settings);
  std::vector<directory_change<gateway_peer>> peers;
  peers.reserve(static_cast<std::size_t>(aPeers));
  for (int i = 0; i < aPeers; ++i) {
    peers.push_back({ absl::StrCat("p", i), 2, gateway_peer{ "10.1.0.1:1" } });
  }
  DeliverPeers(fixture, 2, peers);
  DeliverConfig(fixture, MakeColdConfig(), 10);
  DeliverBackends(fixture, 10, true,
                  { { "o1", 2, MakeOrders(1, absl::ZeroDuration()) } });
  AdvanceTime(fixture, absl::Seconds(5));
  fixture.mActions.clear();
  return fixture;
}

// Returns a name with which a gateway uses the cold server "o1" beside the
// peers of MakeColdGateway.
std::string FindUserName(int aPeers)
{
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(aPeers));
  for (int i = 0; i < aPeers; ++i) {
    names.push_back(absl::StrCat("p", i));
  }
  const std::vector<std::string_view> peers(names.begin(), names.end());
  const cold_share share = ComputeColdShare(kRate, kBounds, aPeers + 1);
  std::string name = "g";
  while (!IsColdUser("o1", name, peers, share.mUsers)) {
    name += "g";
  }
  return name;
}

void DeliverOrders(gateway_fixture& aFixture, store_version aRevision,
                   std::int64_t aStartedMs, absl::Duration aColdLeft)
{
  DeliverBackends(aFixture, aRevision, false,
                  { { "o1", aRevision, MakeOrders(aStartedMs, aColdLeft) } });
}

// Sends an order; returns its dispatch, or nothing if it was refused.
std::optional<dispatch_request> Send(gateway_fixture& aFixture)
{
  aFixture.mActions.clear();
  caller_request request = MakeCallerRequest(aFixture, "/order/1");
  request.mCallerTimeout = absl::Seconds(9);
  FireEvent(aFixture, request);
  for (const gateway_action& action : aFixture.mActions) {
    if (const auto* dispatch = std::get_if<dispatch_request>(&action)) {
      return *dispatch;
    }
  }
  return std::nullopt;
}

// Sends orders for aTime; returns how many were dispatched.
int CountSent(gateway_fixture& aFixture, absl::Duration aTime)
{
  int sent = 0;
  for (const absl::Time end = aFixture.mNow + aTime; aFixture.mNow < end;) {
    AdvanceTime(aFixture, absl::Milliseconds(10));
    if (const auto dispatch = Send(aFixture)) {
      ++sent;
      FireEvent(aFixture,
                MakeAttemptReport(*dispatch, attempt_outcome::Delivered));
    }
  }
  return sent;
}

void Respond(gateway_fixture& aFixture, const dispatch_request& aDispatch,
             std::optional<absl::Duration> aColdLeft)
{
  attempt_report report =
    MakeAttemptReport(aDispatch, attempt_outcome::Delivered);
  report.mStatement.emplace();
  report.mStatement->mColdLeft = aColdLeft;
  FireEvent(aFixture, report);
}

// Guards against a server that turns cold during service and gets as much as
// before, and against a limit that does not end when the time has passed
// without any message.
BOOST_AUTO_TEST_CASE(a_server_that_turns_cold_during_service_has_a_limit)
{
  gateway_fixture fixture = MakeColdGateway();
  const auto dispatch = Send(fixture);
  BOOST_REQUIRE(dispatch.has_value());
  AdvanceTime(fixture, absl::Milliseconds(50));
  Respond(fixture, *dispatch, absl::Seconds(3));
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 1U);
  const int sent = CountSent(fixture, absl::Seconds(3));
  BOOST_TEST(sent <= 3 * kRate);
  BOOST_TEST(sent >= 1.5 * kRate);
  BOOST_TEST(CountSent(fixture, absl::Seconds(1)) == 100);
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
}

// Guards against the requests that are on their way when the server turns cold,
// of which the limit must not allow the same number again.
BOOST_AUTO_TEST_CASE(the_limit_counts_a_request_before_it)
{
  gateway_fixture fixture = MakeColdGateway(30, kBounds, FindUserName(30));
  const auto dispatch = Send(fixture);
  BOOST_REQUIRE(dispatch.has_value());
  AdvanceTime(fixture, absl::Milliseconds(10));
  DeliverOrders(fixture, 11, 1, absl::Seconds(3));
  BOOST_TEST(CountSent(fixture, absl::Milliseconds(900)) == 0);
  const int sent = CountSent(fixture, absl::Seconds(2));
  BOOST_TEST(sent >= 1);
  BOOST_TEST(sent <= 2);
}

// Guards against an old statement that hides a newer one: a response to a
// request of before, an entry with a lower revision.
BOOST_AUTO_TEST_CASE(the_newest_statement_on_cold_servers_wins)
{
  gateway_fixture fixture = MakeColdGateway();
  const auto early = Send(fixture);
  const auto late = Send(fixture);
  BOOST_REQUIRE((early && late));
  DeliverOrders(fixture, 20, 1, absl::Seconds(3));
  AdvanceTime(fixture, absl::Milliseconds(250));
  DeliverOrders(fixture, 15, 1, absl::ZeroDuration());
  AdvanceTime(fixture, absl::Milliseconds(200));
  Respond(fixture, *early, absl::ZeroDuration());
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 1U);
  const auto current = Send(fixture);
  BOOST_REQUIRE(current.has_value());
  Respond(fixture, *current, absl::ZeroDuration());
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
  Respond(fixture, *late, absl::Seconds(3));
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
}

// Guards against a server that went away and came back before its entry was
// written anew, and against an entry of before the restart that ends the limit.
BOOST_AUTO_TEST_CASE(a_server_whose_connections_break_counts_as_cold)
{
  gateway_fixture fixture = MakeColdGateway();
  const auto dispatch = Send(fixture);
  BOOST_REQUIRE(dispatch.has_value());
  attempt_report broken = MakeAttemptReport(*dispatch, attempt_outcome::Broken);
  broken.mIsConnectionLost = true;
  FireEvent(fixture, broken);
  DeliverOrders(fixture, 11, 1, absl::ZeroDuration());
  for (const bool isUp : { false, true }) {
    BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 1U);
    fixture.mActions.clear();
    AdvanceTime(fixture, absl::Milliseconds(600));
    const auto probes = TakeActions<probe_server>(fixture);
    BOOST_REQUIRE(probes.size() == 1U);
    AdvanceTime(fixture, absl::Milliseconds(10));
    FireEvent(fixture, server_probed{ probes[0].mBackend, probes[0].mStartedMs,
                                      !isUp, isUp });
  }
  BOOST_TEST(CountSent(fixture, absl::Seconds(3)) <= 3 * kRate);
  AdvanceTime(fixture, absl::Milliseconds(300));
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
  BOOST_TEST(TakeActions<probe_server>(fixture).empty());
  // Other servers are preferred while it may be down.
  backend_entry other = MakeOrders(1, absl::ZeroDuration());
  other.mAddress = "10.0.0.2:1";
  DeliverBackends(fixture, 12, false, { { "o2", 12, other } });
  auto onFirst = Send(fixture);
  while (onFirst && onFirst->mBackend.mValue != "o1") {
    onFirst = Send(fixture);
  }
  BOOST_REQUIRE(onFirst.has_value());
  broken.mHandle = onFirst->mHandle;
  FireEvent(fixture, broken);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Send(fixture)->mBackend.mValue == "o2");
  }
  AdvanceTime(fixture, absl::Milliseconds(250));
  DeliverBackends(fixture, 13, false,
                  { { "o1", 13, MakeOrders(2, absl::ZeroDuration()) },
                    { "o2", 13, std::nullopt } });
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
  AdvanceTime(fixture, absl::Milliseconds(250));
  // A new incarnation starts anew.
  const auto next = Send(fixture);
  broken = MakeAttemptReport(*next, attempt_outcome::NotSent);
  broken.mIsConnectionLost = true;
  FireEvent(fixture, broken);
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 1U);
  DeliverOrders(fixture, 14, 3, absl::ZeroDuration());
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
}

// Guards against requests that are held although no server can take them, and
// against a time after which a retry is of no use.
BOOST_AUTO_TEST_CASE(a_request_beyond_the_limits_is_refused_at_once)
{
  gateway_fixture fixture = MakeColdGateway(30, kBounds, FindUserName(30));
  DeliverOrders(fixture, 11, 1, absl::Seconds(3));
  const int sent = CountSent(fixture, absl::Milliseconds(2900));
  BOOST_TEST(sent <= 3);
  BOOST_TEST(sent >= 1);
  DeliverOrders(fixture, 12, 1, absl::Seconds(2));
  while (Send(fixture)) {
  }
  const auto errors = TakeActions<send_error>(fixture);
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST((errors[0].mError.mExecuted == executed::No));
  BOOST_TEST((errors[0].mError.mRetryAfter >= absl::Milliseconds(700)));
  BOOST_TEST((errors[0].mError.mRetryAfter <= absl::Seconds(2)));
}

// Guards against limits where the settings call for none.
BOOST_AUTO_TEST_CASE(without_the_settings_cold_servers_have_no_limit)
{
  gateway_fixture fixture = MakeColdGateway(0, std::nullopt);
  DeliverOrders(fixture, 11, 1, absl::Seconds(3));
  BOOST_TEST(CountSent(fixture, absl::Seconds(1)) == 100);
}

// --- Fleet ------------------------------------------------------------------

constexpr int kServersPerZone = 19;
constexpr int kZones = 3;

struct cold_fleet
{
  std::vector<gateway_fixture> mGateways;
  std::mt19937 mRandom{ 7 };
  absl::Time mNow = kStart;
  // Requests that end at a time, with their gateways.
  std::multimap<absl::Time, std::pair<std::size_t, dispatch_request>> mRunning;
  // Changes that reach one gateway at a time.
  std::multimap<absl::Time, std::pair<std::size_t, directory_response>> mNews;
  std::map<std::string, int> mLoad;
  std::map<std::string, std::vector<absl::Time>> mArrivals;
  store_version mRevision = 10;
  int mRefused = 0;
};

std::string GetServer(int aZone, int aIndex)
{
  return absl::StrCat("e", aZone, "-", aIndex);
}

backend_entry MakeEngine(int aZone, int aIndex, absl::Duration aColdLeft)
{
  backend_entry entry = MakeBackendEntry(
    "engines", absl::StrCat("10.0.", aZone, ".", aIndex, ":1"));
  entry.mZone = zone_id{ absl::StrCat("z", aZone) };
  entry.mSlots = 64;
  entry.mStartedMs = aColdLeft > absl::ZeroDuration() ? 2 : 1;
  entry.mColdLeft = aColdLeft;
  return entry;
}

void DrawGateways(cold_fleet& aFleet, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    gateway_settings settings = MakeSettings(absl::StrCat("front-", i));
    settings.mColdBounds = kBounds;
    settings.mSeed = i;
    gateway_fixture fixture = MakeStartedGateway(settings);
    std::vector<directory_change<gateway_peer>> peers;
    for (std::size_t peer = 0; peer < aCount; ++peer) {
      peers.push_back(
        { absl::StrCat("front-", peer), 2, gateway_peer{ "10.1.0.1:1" } });
    }
    DeliverPeers(fixture, 2, peers);
    DeliverConfig(fixture, MakeColdConfig(), 10);
    std::vector<directory_change<backend_entry>> entries;
    for (int zone = 0; zone < kZones; ++zone) {
      for (int each = 0; each < kServersPerZone; ++each) {
        entries.push_back({ GetServer(zone, each), 10,
                            MakeEngine(zone, each, absl::ZeroDuration()) });
      }
    }
    DeliverBackends(fixture, 10, true, entries);
    AdvanceTime(fixture, absl::Seconds(5));
    aFleet.mGateways.push_back(std::move(fixture));
  }
  aFleet.mNow = kStart + absl::Seconds(5);
}

// Changes the entries of zone 0. The gateways learn of it up to 0.4 s later.
void ChangeZone(cold_fleet& aFleet, std::optional<absl::Duration> aColdLeft)
{
  auto response =
    MakeDirectoryResponse(directory_area::Backends, ++aFleet.mRevision, false);
  for (int each = 0; each < kServersPerZone; ++each) {
    directory_change<backend_entry> change{ GetServer(0, each),
                                            aFleet.mRevision, std::nullopt };
    if (aColdLeft) {
      change.mEntry = MakeEngine(0, each, *aColdLeft);
    }
    response.mBackends.push_back(change);
  }
  for (std::size_t i = 0; i < aFleet.mGateways.size(); ++i) {
    const auto lag = absl::Milliseconds(aFleet.mRandom() % 400);
    aFleet.mNews.emplace(aFleet.mNow + lag, std::pair(i, response));
  }
}

void TakeOutcome(cold_fleet& aFleet, std::size_t aIndex)
{
  gateway_fixture& fixture = aFleet.mGateways[aIndex];
  for (const gateway_action& action : fixture.mActions) {
    if (const auto* sent = std::get_if<dispatch_request>(&action)) {
      const auto time = absl::Milliseconds(200 + aFleet.mRandom() % 1600);
      aFleet.mRunning.emplace(aFleet.mNow + time, std::pair(aIndex, *sent));
      ++aFleet.mLoad[sent->mBackend.mValue];
      aFleet.mArrivals[sent->mBackend.mValue].push_back(aFleet.mNow);
    } else if (std::holds_alternative<send_error>(action)) {
      ++aFleet.mRefused;
    }
  }
  fixture.mActions.clear();
}

void Fire(cold_fleet& aFleet, std::size_t aIndex, const gateway_event& aEvent)
{
  aFleet.mGateways[aIndex].mNow = aFleet.mNow;
  FireEvent(aFleet.mGateways[aIndex], aEvent);
  TakeOutcome(aFleet, aIndex);
}

void Run(cold_fleet& aFleet, double aRate, absl::Duration aTime)
{
  double due = 0;
  for (const absl::Time end = aFleet.mNow + aTime; aFleet.mNow < end;) {
    aFleet.mNow += absl::Milliseconds(5);
    for (std::size_t i = 0; i < aFleet.mGateways.size(); ++i) {
      if (GetNextWakeTime(*aFleet.mGateways[i].mNode) <= aFleet.mNow) {
        Fire(aFleet, i, gateway_tick{});
      }
    }
    while (!aFleet.mNews.empty() &&
           aFleet.mNews.begin()->first <= aFleet.mNow) {
      const auto news = aFleet.mNews.begin()->second;
      aFleet.mNews.erase(aFleet.mNews.begin());
      Fire(aFleet, news.first, news.second);
    }
    while (!aFleet.mRunning.empty() &&
           aFleet.mRunning.begin()->first <= aFleet.mNow) {
      const auto [index, dispatch] = aFleet.mRunning.begin()->second;
      aFleet.mRunning.erase(aFleet.mRunning.begin());
      attempt_report report =
        MakeAttemptReport(dispatch, attempt_outcome::Delivered);
      report.mLoad =
        observed_load{ --aFleet.mLoad[dispatch.mBackend.mValue], 0 };
      report.mStatement.emplace();
      Fire(aFleet, index, report);
    }
    for (due += aRate * 0.005; due >= 1; due -= 1) {
      const std::size_t index = aFleet.mRandom() % aFleet.mGateways.size();
      caller_request request =
        MakeCallerRequest(aFleet.mGateways[index], "/chat/1");
      request.mCallerTimeout = absl::Seconds(9);
      request.mPromptTokens =
        500 + static_cast<token_count>(aFleet.mRandom() % 5000);
      request.mMaxOutputTokens =
        100 + static_cast<token_count>(aFleet.mRandom() % 400);
      Fire(aFleet, index, request);
    }
  }
}

// Guards against a zone that returns cold in a burst: its servers get more than
// the bound, or next to nothing, or the other servers are flooded one by one.
// Load: 632 requests a second on 57 engines, 19 of them cold at once, 23
// gateways.
BOOST_AUTO_TEST_CASE(a_zone_that_returns_cold_in_a_burst_keeps_the_bound)
{
  constexpr double kBurst = 372 * 1.7;
  cold_fleet fleet;
  DrawGateways(fleet, 23);
  Run(fleet, kBurst, absl::Seconds(1));
  ChangeZone(fleet, std::nullopt);
  Run(fleet, kBurst, absl::Seconds(2));
  fleet.mArrivals.clear();
  ChangeZone(fleet, absl::Seconds(3));
  Run(fleet, kBurst, absl::Seconds(3));
  BOOST_TEST(fleet.mRefused == 0);
  std::size_t cold = 0;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int each = 0; each < kServersPerZone; ++each) {
      const auto& times = fleet.mArrivals[GetServer(zone, each)];
      if (zone == 0) {
        BOOST_TEST(CountMost(times) <= kBound);
        cold += times.size();
      } else {
        // 12 to 17 a second on average.
        BOOST_TEST(CountMost(times) <= 40);
        BOOST_TEST(times.size() >= 15U);
      }
    }
  }
  // More than half of what the servers bear.
  BOOST_TEST(static_cast<double>(cold) >= 0.5 * kRate * 3 * kServersPerZone);
  BOOST_TEST_MESSAGE("requests to cold servers: " << cold);
  fleet.mArrivals.clear();
  Run(fleet, kBurst, absl::Seconds(2));
  BOOST_TEST(fleet.mRefused == 0);
  for (int each = 0; each < kServersPerZone; ++each) {
    BOOST_TEST(fleet.mArrivals[GetServer(0, each)].size() >= 8U);
  }
}

} // namespace
} // namespace foxtailquay
