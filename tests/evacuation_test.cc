// Guards against requests to an availability zone that is evacuated, and
// against evacuations that end wrongly. The load is that of a zone of 19
// servers beside 38 others, with a bound of 5 s.

#define BOOST_TEST_MODULE evacuation
#include <boost/test/unit_test.hpp>

#include <set>

#include "absl/strings/str_cat.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

constexpr int kServersPerZone = 19;
constexpr int kZones = 3;
constexpr absl::Duration kBound = absl::Seconds(5);

void DeliverEvacuation(gateway_fixture& aFixture, const std::string& aZone,
                       store_version aRevision, bool aIsWritten)
{
  auto response =
    MakeDirectoryResponse(directory_area::Configuration, aRevision, false);
  response.mEvacuations = { { aZone, aRevision, std::nullopt } };
  if (aIsWritten) {
    response.mEvacuations[0].mEntry = evacuation_entry{};
  }
  FireEvent(aFixture, response);
}

// Delivers a complete read of the area with evacuations of aZones.
void DeliverRead(gateway_fixture& aFixture, store_version aRevision,
                 const std::set<std::string>& aZones,
                 std::optional<store_era> aEra = std::nullopt)
{
  auto response =
    MakeDirectoryResponse(directory_area::Configuration, aRevision, true);
  response.mConfigs = { { "", 1, MakeConfig(5) } };
  for (const std::string& zone : aZones) {
    response.mEvacuations.push_back({ zone, aRevision, evacuation_entry{} });
  }
  response.mEra = { aEra.value_or(0), aEra };
  FireEvent(aFixture, response);
}

void DeliverFailure(gateway_fixture& aFixture)
{
  directory_response response;
  response.mArea = directory_area::Configuration;
  FireEvent(aFixture, response);
}

// Returns a gateway with 19 servers of orders in each of the zones z0 to z2.
// aZones are evacuated when it starts.
gateway_fixture MakeZonedGateway(const std::set<std::string>& aZones = {},
                                 const std::string& aName = "g",
                                 absl::Duration aBound = kBound)
{
  gateway_settings settings = MakeSettings(aName);
  settings.mEvacuationTime = aBound;
  settings.mColdBounds = cold_bounds{ 1.5, 5 };
  gateway_fixture fixture = MakeStartedGateway(settings);
  traffic_config config = MakeConfig(5);
  config.mRoutes[2].mResumable = true;
  config.mRoutes[2].mMaxAttempts = 2;
  config.mRoutes[2].mServices = { { service_id{ "orders" }, 1 } };
  config.mServices[0].mColdTime = absl::Seconds(3);
  config.mServices[0].mColdRate = 14;
  auto read = MakeDirectoryResponse(directory_area::Configuration, 10, true);
  read.mConfigs = { { "", 1, config } };
  for (const std::string& zone : aZones) {
    read.mEvacuations.push_back({ zone, 5, evacuation_entry{} });
  }
  FireEvent(fixture, read);
  std::vector<directory_change<backend_entry>> entries;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < kServersPerZone; ++i) {
      backend_entry entry =
        MakeBackendEntry("orders", absl::StrCat("10.0.", zone, ".", i, ":1"));
      entry.mZone = zone_id{ absl::StrCat("z", zone) };
      entry.mSlots = 500;
      entry.mColdLeft = absl::ZeroDuration();
      entries.push_back({ absl::StrCat("z", zone, "/", i), 2, entry });
    }
  }
  DeliverBackends(fixture, 10, true, entries);
  AdvanceTime(fixture, absl::Seconds(5));
  fixture.mActions.clear();
  return fixture;
}

std::optional<dispatch_request> Send(gateway_fixture& aFixture,
                                     const std::string& aPath = "/order/1")
{
  aFixture.mActions.clear();
  FireEvent(aFixture, MakeCallerRequest(aFixture, aPath));
  const auto actions = aFixture.mActions;
  for (const gateway_action& action : actions) {
    if (const auto* dispatch = std::get_if<dispatch_request>(&action)) {
      return *dispatch;
    }
  }
  return std::nullopt;
}

std::string GetZone(const dispatch_request& aDispatch)
{
  return aDispatch.mBackend.mValue.substr(0, 2);
}

// Sends 300 orders at once; returns the servers that got one.
std::set<std::string> ListUsed(gateway_fixture& aFixture,
                               const std::string& aZone)
{
  std::set<std::string> used;
  std::vector<dispatch_request> open;
  for (int i = 0; i < 300; ++i) {
    if (const auto dispatch = Send(aFixture)) {
      open.push_back(*dispatch);
      if (GetZone(*dispatch) == aZone) {
        used.insert(dispatch->mBackend.mValue);
      }
    }
  }
  for (const dispatch_request& each : open) {
    FireEvent(aFixture, MakeAttemptReport(each, attempt_outcome::Delivered));
  }
  return used;
}

// Guards against a zone that is left in one step, so that the load on the
// others jumps, or that is still used after the bound; and against gateways
// that all leave the same server first.
BOOST_AUTO_TEST_CASE(servers_of_an_evacuated_zone_are_left_one_by_one)
{
  std::set<std::string> left;
  for (const char* name : { "g1", "g2", "g3", "g4" }) {
    gateway_fixture fixture = MakeZonedGateway({}, name);
    const auto all = ListUsed(fixture, "z1");
    BOOST_TEST(all.size() == kServersPerZone);
    DeliverEvacuation(fixture, "z1", 20, true);
    const auto first = ListUsed(fixture, "z1");
    BOOST_TEST(first.size() == kServersPerZone - 1);
    for (const std::string& server : all) {
      if (first.count(server) == 0) {
        left.insert(server);
      }
    }
    AdvanceTime(fixture, kBound / 6);
    const std::size_t half = ListUsed(fixture, "z1").size();
    BOOST_TEST(half >= kServersPerZone / 3);
    BOOST_TEST(half <= 2 * kServersPerZone / 3);
    AdvanceTime(fixture, kBound / 6);
    BOOST_TEST(ListUsed(fixture, "z1").empty());
    BOOST_TEST(ListUsed(fixture, "z2").size() == kServersPerZone);
    BOOST_TEST(GetSummary(*fixture.mNode).mEvacuatedZones == 1U);
  }
  BOOST_TEST(left.size() >= 2U);
}

// Guards against retries and resumed streams that reach the evacuated zone, and
// against running requests that are given up.
BOOST_AUTO_TEST_CASE(retries_and_resumed_streams_avoid_the_zone)
{
  for (const bool isStream : { false, true }) {
    gateway_fixture fixture = MakeZonedGateway();
    constexpr int kRequests = 60;
    std::vector<dispatch_request> open;
    open.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      open.push_back(*Send(fixture, isStream ? "/chat/1" : "/status/1"));
    }
    DeliverEvacuation(fixture, "z0", 20, true);
    AdvanceTime(fixture, kBound / 3);
    BOOST_TEST(TakeActions<cancel_request>(fixture).empty());
    int repeated = 0;
    for (const dispatch_request& each : open) {
      fixture.mActions.clear();
      attempt_report report =
        MakeAttemptReport(each, isStream ? attempt_outcome::BrokenMidway
                                         : attempt_outcome::Broken);
      FireEvent(fixture, report);
      for (const auto& next : TakeActions<dispatch_request>(fixture)) {
        ++repeated;
        BOOST_TEST(GetZone(next) != "z0");
      }
    }
    BOOST_TEST(repeated > 0);
  }
}

// Guards against a gateway that learns late of an evacuation, and takes its
// time as if it had just begun: one that starts, one whose store was away.
BOOST_AUTO_TEST_CASE(an_evacuation_of_unknown_age_takes_effect_at_once)
{
  gateway_fixture started = MakeZonedGateway({ "z0" });
  BOOST_TEST(ListUsed(started, "z0").empty());
  gateway_fixture cutOff = MakeZonedGateway();
  DeliverFailure(cutOff);
  AdvanceTime(cutOff, absl::Seconds(4));
  DeliverEvacuation(cutOff, "z0", 20, true);
  BOOST_TEST(ListUsed(cutOff, "z0").empty());
  gateway_fixture reader = MakeZonedGateway();
  DeliverRead(reader, 20, { "z0" });
  BOOST_TEST(ListUsed(reader, "z0").empty());
  // A server that appears meanwhile is in the zone, too.
  backend_entry entry = MakeBackendEntry("orders", "10.0.0.99:1");
  entry.mZone = zone_id{ "z0" };
  DeliverBackends(reader, 21, false, { { "z0/new", 21, entry } });
  BOOST_TEST(ListUsed(reader, "z0").empty());
}

// Guards against an evacuation that stops halfway because the store fails, and
// against a process that was frozen and handles a request before anything else.
BOOST_AUTO_TEST_CASE(an_evacuation_goes_on_without_the_store)
{
  for (const bool isFrozen : { false, true }) {
    gateway_fixture fixture = MakeZonedGateway();
    DeliverEvacuation(fixture, "z1", 20, true);
    AdvanceTime(fixture, kBound / 6);
    BOOST_TEST(!ListUsed(fixture, "z1").empty());
    DeliverFailure(fixture);
    if (isFrozen) {
      fixture.mNow += kBound / 6;
    } else {
      AdvanceTime(fixture, kBound / 6);
    }
    BOOST_TEST(ListUsed(fixture, "z1").empty());
  }
  gateway_fixture frozen = MakeZonedGateway();
  frozen.mNow += absl::Seconds(3);
  FireEvent(frozen, gateway_tick{});
  DeliverEvacuation(frozen, "z1", 20, true);
  BOOST_TEST(ListUsed(frozen, "z1").empty());
}

// Guards against an evacuation that ends because the store is away, and one
// that goes on although it ended while the gateway was cut off.
BOOST_AUTO_TEST_CASE(an_evacuation_lasts_until_the_store_says_otherwise)
{
  for (const bool isRead : { false, true }) {
    gateway_fixture fixture = MakeZonedGateway({ "z0" });
    DeliverFailure(fixture);
    AdvanceTime(fixture, absl::Seconds(9));
    BOOST_TEST(ListUsed(fixture, "z0").empty());
    if (isRead) {
      DeliverRead(fixture, 30, {});
    } else {
      DeliverEvacuation(fixture, "z0", 30, false);
    }
    BOOST_TEST(GetSummary(*fixture.mNode).mEvacuatedZones == 0U);
    AdvanceTime(fixture, absl::Seconds(1));
    BOOST_TEST(!ListUsed(fixture, "z0").empty());
  }
}

// Guards against a zone whose servers start when the evacuation ends and get
// full load while their entries still say that they are warm.
BOOST_AUTO_TEST_CASE(servers_count_as_cold_after_an_evacuation)
{
  gateway_fixture fixture = MakeZonedGateway({ "z0" });
  DeliverEvacuation(fixture, "z0", 30, false);
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == kServersPerZone);
  backend_entry entry = MakeBackendEntry("orders", "10.0.0.0:1");
  entry.mZone = zone_id{ "z0" };
  entry.mColdLeft = absl::ZeroDuration();
  AdvanceTime(fixture, absl::Milliseconds(500));
  DeliverBackends(fixture, 31, false, { { "z0/0", 31, entry } });
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == kServersPerZone);
  AdvanceTime(fixture, absl::Milliseconds(300));
  entry.mColdLeft = absl::Seconds(4);
  DeliverBackends(fixture, 32, false, { { "z0/0", 32, entry } });
  AdvanceTime(fixture, absl::Milliseconds(2800));
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 1U);
  AdvanceTime(fixture, absl::Milliseconds(1600));
  BOOST_TEST(GetSummary(*fixture.mNode).mColdBackends == 0U);
}

// Guards against requests that are held, or sent into an evacuated zone, if all
// zones are evacuated.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_if_all_zones_are_evacuated)
{
  gateway_fixture fixture = MakeZonedGateway({ "z0", "z1" });
  BOOST_TEST(ListUsed(fixture, "z2").size() == kServersPerZone);
  DeliverEvacuation(fixture, "z2", 20, true);
  AdvanceTime(fixture, kBound / 3);
  BOOST_TEST(!Send(fixture).has_value());
  const auto errors = TakeActions<send_error>(fixture);
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST((errors[0].mError.mCode == error_code::NoBackendServer));
  BOOST_TEST((errors[0].mError.mExecuted == executed::No));
  BOOST_TEST((errors[0].mError.mRetryAfter > absl::ZeroDuration()));
  DeliverEvacuation(fixture, "z1", 21, false);
  AdvanceTime(fixture, absl::Seconds(1));
  BOOST_TEST(Send(fixture).has_value());
}

// Guards against a store that returns to an older state, whose revisions are
// lower, and whose statement is ignored for that.
BOOST_AUTO_TEST_CASE(the_state_of_a_new_era_counts)
{
  gateway_fixture fixture = MakeZonedGateway();
  DeliverRead(fixture, 50, { "z0" }, 1);
  BOOST_TEST(ListUsed(fixture, "z0").empty());
  auto other = MakeDirectoryResponse(directory_area::Backends, 9, false);
  other.mEra = { 1, 2 };
  FireEvent(fixture, other);
  BOOST_TEST(ListUsed(fixture, "z0").empty());
  DeliverRead(fixture, 9, { "z1" }, 2);
  AdvanceTime(fixture, absl::Seconds(1));
  BOOST_TEST(!ListUsed(fixture, "z0").empty());
  BOOST_TEST(ListUsed(fixture, "z1").empty());
}

// Guards against a gateway that follows evacuations, or reads other keys, where
// the settings call for neither.
BOOST_AUTO_TEST_CASE(without_the_setting_no_evacuation_is_followed)
{
  gateway_fixture fixture =
    MakeZonedGateway({ "z0" }, "g", absl::ZeroDuration());
  BOOST_TEST(ListUsed(fixture, "z0").size() == kServersPerZone);
  for (const auto& query : TakeActions<directory_query>(fixture)) {
    BOOST_TEST(!query.mWithEvacuations);
  }
}

} // namespace
} // namespace foxtailquay
