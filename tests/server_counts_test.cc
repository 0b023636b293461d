// Guards against counters of the gateway's summary that differ from a full
// count because a change of a server's state, its removal or its restart did
// not update them. Load: 8 servers that come, go, restart, turn cold, state
// rate limits and crash under prompts, in random order.

#define BOOST_TEST_MODULE server_counts
#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

#include "absl/strings/str_cat.h"
#include "core/gateway_state.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

constexpr int kServers = 8;
constexpr int kEvents = 600;

struct random_load
{
  gateway_fixture mFixture;
  std::mt19937 mRandom;
  store_version mRevision = 10;
  std::vector<dispatch_request> mOpen;
  std::vector<probe_server> mProbes;
  // Requests under which their servers crash.
  std::set<request_handle> mPoisonous;
};

int Draw(random_load& aLoad, int aCount)
{
  return std::uniform_int_distribution<int>(0, aCount - 1)(aLoad.mRandom);
}

traffic_config MakeLoadConfig(config_version aVersion, double aColdRate)
{
  traffic_config config = MakeConfig(aVersion);
  config.mWorkspaces[0].mPrepaid.reset();
  for (traffic_service& service : config.mServices) {
    service.mColdTime = absl::Seconds(1);
    service.mColdRate = aColdRate;
  }
  return config;
}

directory_change<backend_entry> MakeChange(random_load& aLoad, int aServer)
{
  const std::string name = absl::StrCat("s", aServer);
  if (Draw(aLoad, 5) == 0) {
    return { name, aLoad.mRevision, std::nullopt };
  }
  backend_entry entry =
    MakeBackendEntry(aServer % 2 == 0 ? "orders" : "engines",
                     absl::StrCat("10.0.0.", aServer, ":1"));
  entry.mStartedMs = 1 + Draw(aLoad, 3);
  entry.mLeaving = Draw(aLoad, 6) == 0;
  if (Draw(aLoad, 2) == 0) {
    entry.mColdLeft = absl::Seconds(Draw(aLoad, 2));
  }
  return { name, aLoad.mRevision, entry };
}

void ChangeServers(random_load& aLoad)
{
  ++aLoad.mRevision;
  const bool isComplete = Draw(aLoad, 8) == 0;
  std::vector<directory_change<backend_entry>> changes;
  for (int server = 0; server < kServers; ++server) {
    if (Draw(aLoad, isComplete ? 2 : 4) == 0) {
      changes.push_back(MakeChange(aLoad, server));
    }
  }
  DeliverBackends(aLoad.mFixture, aLoad.mRevision, isComplete, changes);
}

void ChangeZones(random_load& aLoad)
{
  auto response = MakeDirectoryResponse(directory_area::Configuration,
                                        ++aLoad.mRevision, false);
  response.mEvacuations = { { "z", aLoad.mRevision, std::nullopt } };
  if (Draw(aLoad, 2) == 0) {
    response.mEvacuations[0].mEntry = evacuation_entry{};
  }
  FireEvent(aLoad.mFixture, response);
}

void Send(random_load& aLoad)
{
  const bool isPrompt = Draw(aLoad, 2) == 0;
  caller_request request =
    MakeCallerRequest(aLoad.mFixture, isPrompt ? "/chat/1" : "/order/1");
  if (isPrompt) {
    const bool isPoisonous = Draw(aLoad, 2) == 0;
    request.mPromptParts = { { isPoisonous ? 1U : 2U, 10 },
                             { 0x1000 + request.mHandle, 10 } };
    if (isPoisonous) {
      aLoad.mPoisonous.insert(request.mHandle);
    }
  }
  FireEvent(aLoad.mFixture, request);
}

void Respond(random_load& aLoad)
{
  if (aLoad.mOpen.empty()) {
    return;
  }
  const dispatch_request dispatch = aLoad.mOpen.back();
  aLoad.mOpen.pop_back();
  const bool isBroken =
    Draw(aLoad, 3) == 0 || aLoad.mPoisonous.count(dispatch.mHandle) > 0;
  attempt_report report = MakeAttemptReport(
    dispatch, isBroken ? attempt_outcome::Broken : attempt_outcome::Delivered);
  report.mHasBegun = true;
  report.mIsConnectionLost = isBroken;
  if (!isBroken) {
    report.mStatus = 200;
    report.mStatement.emplace();
    if (Draw(aLoad, 2) == 0) {
      report.mStatement->mRateLimit = 1 + Draw(aLoad, 50);
    }
    if (Draw(aLoad, 2) == 0) {
      report.mStatement->mColdLeft = absl::Seconds(Draw(aLoad, 3));
    }
  }
  FireEvent(aLoad.mFixture, report);
}

void EndProbe(random_load& aLoad)
{
  if (aLoad.mProbes.empty()) {
    return;
  }
  const probe_server probe = aLoad.mProbes.back();
  aLoad.mProbes.pop_back();
  const bool isUp = Draw(aLoad, 2) == 0;
  FireEvent(aLoad.mFixture,
            server_probed{ probe.mBackend, probe.mStartedMs, !isUp, isUp });
}

void FireRandomEvent(random_load& aLoad)
{
  gateway_fixture& fixture = aLoad.mFixture;
  switch (Draw(aLoad, 12)) {
    case 0:
    case 1:
      ChangeServers(aLoad);
      break;
    case 2:
      ChangeZones(aLoad);
      break;
    case 3:
      DeliverPeers(fixture, ++aLoad.mRevision,
                   { { "p", aLoad.mRevision, gateway_peer{ "10.1.0.1:1" } } });
      break;
    case 4:
      DeliverConfig(fixture,
                    MakeLoadConfig(aLoad.mRevision + 1, Draw(aLoad, 3) * 7.0),
                    aLoad.mRevision + 1);
      ++aLoad.mRevision;
      break;
    case 5:
      EndProbe(aLoad);
      break;
    case 6:
    case 7:
    case 8:
      Send(aLoad);
      break;
    case 9:
    case 10:
      Respond(aLoad);
      break;
    default:
      AdvanceTime(fixture, absl::Milliseconds(Draw(aLoad, 700)));
      break;
  }
  for (const gateway_action& action : fixture.mActions) {
    if (const auto* dispatch = std::get_if<dispatch_request>(&action)) {
      aLoad.mOpen.push_back(*dispatch);
    } else if (const auto* probe = std::get_if<probe_server>(&action)) {
      aLoad.mProbes.push_back(*probe);
    }
  }
  fixture.mActions.clear();
  fixture.mNow += absl::Milliseconds(1);
}

template<typename Map, typename Predicate>
std::size_t Count(const Map& aMap, Predicate aPredicate)
{
  return static_cast<std::size_t>(
    std::count_if(aMap.begin(), aMap.end(),
                  [&](const auto& aEach) { return aPredicate(aEach.second); }));
}

BOOST_AUTO_TEST_CASE(counters_equal_a_full_count_over_random_events)
{
  gateway_settings settings = MakeSettings("g");
  settings.mColdBounds = cold_bounds{ 1.5, 5 };
  settings.mEvacuationTime = absl::Seconds(1);
  gateway_summary largest;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    random_load load;
    load.mFixture = MakeStartedGateway(settings);
    load.mRandom.seed(seed);
    DeliverConfig(load.mFixture, MakeLoadConfig(5, 7), 10);
    DeliverBackends(load.mFixture, 10, true, {});
    for (int i = 0; i < kEvents; ++i) {
      FireRandomEvent(load);
      const gateway& node = *load.mFixture.mNode;
      const gateway_summary summary = GetSummary(node);
      BOOST_REQUIRE(summary.mRateLimitedBackends ==
                    Count(node.mViews, [](const backend_view& aView) {
                      return aView.mRateLimit.mStatus == rate_status::Limited;
                    }));
      BOOST_REQUIRE(summary.mColdBackends ==
                    Count(node.mViews, [](const backend_view& aView) {
                      return aView.mCold.mStatus != cold_status::Warm;
                    }));
      BOOST_REQUIRE(
        summary.mQuarantinedSuspects ==
        Count(node.mQuarantine.mSuspects, [](const suspect_record& aSuspect) {
          return aSuspect.mStatus == suspect_status::Quarantined;
        }));
      largest.mRateLimitedBackends =
        std::max(largest.mRateLimitedBackends, summary.mRateLimitedBackends);
      largest.mColdBackends =
        std::max(largest.mColdBackends, summary.mColdBackends);
      largest.mQuarantinedSuspects =
        std::max(largest.mQuarantinedSuspects, summary.mQuarantinedSuspects);
    }
  }
  // The events must have led to all states.
  BOOST_TEST(largest.mRateLimitedBackends >= 2U);
  BOOST_TEST(largest.mColdBackends >= 2U);
  BOOST_TEST(largest.mQuarantinedSuspects >= 1U);
}

} // namespace
} // namespace foxtailquay
