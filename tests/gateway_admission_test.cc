// Guards against callers that are refused late, or without need, while the
// servers of a service are full, against a workspace or gateway that takes the
// capacity of the others, and against waits while servers have room.

#define BOOST_TEST_MODULE gateway_admission
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

// Latency objective of a plain call.
constexpr absl::Duration kObjective = absl::Milliseconds(300);
// Callers who could go elsewhere gain little from a refusal after this time.
const absl::Duration kEarly = kObjective / 8;

traffic_config MakeCallConfig()
{
  traffic_config config = MakeConfig(6);
  for (traffic_route& route : config.mRoutes) {
    route.mObjective = kObjective;
    route.mTimeout = absl::Seconds(3);
  }
  return config;
}

gateway_fixture MakeCallGateway()
{
  gateway_fixture fixture = MakeReadyGateway();
  DeliverConfig(fixture, MakeCallConfig(), 20);
  fixture.mActions.clear();
  return fixture;
}

attempt_report MakeReport(const dispatch_request& aDispatch,
                          attempt_outcome aOutcome, int aRunning, int aQueued)
{
  attempt_report report = MakeAttemptReport(aDispatch, aOutcome);
  report.mLoad = observed_load{ aRunning, aQueued };
  return report;
}

// Has both servers state that they run and queue as many requests as they can.
void StateFull(gateway_fixture& aFixture)
{
  std::map<std::string, dispatch_request> sent;
  while (sent.size() < 2) {
    aFixture.mActions.clear();
    FireEvent(aFixture, MakeCallerRequest(aFixture, "/order/1"));
    const dispatch_request dispatch = TakeOnlyDispatch(aFixture);
    sent[dispatch.mBackend.mValue] = dispatch;
  }
  AdvanceTime(aFixture, absl::Milliseconds(60));
  for (const auto& each : sent) {
    FireEvent(aFixture,
              MakeReport(each.second, attempt_outcome::Delivered, 8, 24));
  }
  aFixture.mActions.clear();
}

// A request that would wait in the queue of a full server must wait here, and
// be sent when a server has room.
BOOST_AUTO_TEST_CASE(a_request_waits_while_all_servers_are_full)
{
  gateway_fixture fixture = MakeCallGateway();
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  const dispatch_request first = TakeOnlyDispatch(fixture);
  StateFull(fixture);
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  BOOST_TEST(TakeActions<dispatch_request>(fixture).empty());
  BOOST_TEST(GetSummary(*fixture.mNode).mWaitingRequests == 1U);
  FireEvent(fixture, MakeReport(first, attempt_outcome::Delivered, 7, 0));
  TakeOnlyDispatch(fixture);
  BOOST_TEST(GetSummary(*fixture.mNode).mWaitingRequests == 0U);
}

// A load that was stated long ago says nothing, and must not hold requests.
BOOST_AUTO_TEST_CASE(an_old_load_does_not_hold_requests)
{
  gateway_fixture fixture = MakeCallGateway();
  StateFull(fixture);
  AdvanceTime(fixture, absl::Milliseconds(300));
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  TakeOnlyDispatch(fixture);
}

// The tokens of a waiting request must be free again when it ends, whatever
// ends it, and it must not be sent afterwards.
BOOST_AUTO_TEST_CASE(a_waiting_request_leaves_nothing_behind)
{
  gateway_fixture fixture = MakeCallGateway();
  StateFull(fixture);
  // One attempt is allowed, to learn the load.
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  TakeOnlyDispatch(fixture);
  const caller_request gone = MakeCallerRequest(fixture, "/order/1");
  FireEvent(fixture, gone);
  caller_request late = MakeCallerRequest(fixture, "/order/1");
  FireEvent(fixture, late);
  BOOST_TEST(GetSummary(*fixture.mNode).mWaitingRequests == 2U);
  FireEvent(fixture, caller_disconnected{ gone.mHandle, 0, true });
  BOOST_TEST(GetSummary(*fixture.mNode).mWaitingRequests == 1U);
  fixture.mActions.clear();
  const absl::Time start = fixture.mNow;
  std::vector<send_error> errors;
  while (errors.empty() && fixture.mNow - start < absl::Seconds(1)) {
    AdvanceTime(fixture, absl::Milliseconds(20));
    errors = TakeActions<send_error>(fixture);
  }
  BOOST_REQUIRE(errors.size() == 1);
  BOOST_TEST(errors[0].mHandle == late.mHandle);
  BOOST_TEST((errors[0].mError.mCode == error_code::Overloaded));
  BOOST_TEST((errors[0].mError.mExecuted == executed::No));
  BOOST_TEST(GetSummary(*fixture.mNode).mWaitingRequests == 0U);
  BOOST_TEST((fixture.mNow - start <= kObjective + absl::Milliseconds(20)));
}

// A request that may have been executed must not wait: it would be held beyond
// the attempt that its caller has waited for.
BOOST_AUTO_TEST_CASE(a_repeated_request_does_not_wait)
{
  gateway_fixture fixture = MakeCallGateway();
  for (int i = 0; i < 30; ++i) {
    CompleteOrder(fixture);
    FireEvent(fixture, MakeCallerRequest(fixture, "/status/1"));
    FireEvent(fixture, MakeReport(TakeOnlyDispatch(fixture),
                                  attempt_outcome::Delivered, 0, 0));
  }
  fixture.mActions.clear();
  FireEvent(fixture, MakeCallerRequest(fixture, "/status/1"));
  const dispatch_request first = TakeOnlyDispatch(fixture);
  StateFull(fixture);
  FireEvent(fixture, MakeReport(first, attempt_outcome::Broken, 8, 24));
  TakeOnlyDispatch(fixture);
}

// Load: requests of a low priority fill the queue. One of a high priority must
// be sent before them, whenever it arrives.
BOOST_AUTO_TEST_CASE(a_higher_priority_is_sent_first)
{
  gateway_fixture fixture = MakeCallGateway();
  traffic_config config = MakeCallConfig();
  config.mVersion = 7;
  config.mRoutes[0].mPriority = 2;
  // The next watch starts after a pause.
  AdvanceTime(fixture, absl::Seconds(1));
  DeliverConfig(fixture, config, 30);
  fixture.mActions.clear();
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  const dispatch_request first = TakeOnlyDispatch(fixture);
  StateFull(fixture);
  for (const char* path : { "/order/1", "/order/1", "/status/1" }) {
    FireEvent(fixture, MakeCallerRequest(fixture, path));
  }
  BOOST_TEST(TakeActions<dispatch_request>(fixture).empty());
  const request_handle urgent = fixture.mNextHandle - 1;
  FireEvent(fixture, MakeReport(first, attempt_outcome::Delivered, 7, 0));
  BOOST_TEST(TakeOnlyDispatch(fixture).mHandle == urgent);
}

// A request that a full server has rejected was not executed. It must wait for
// room with its attempts left, also at the server that rejected it.
BOOST_AUTO_TEST_CASE(a_rejected_request_waits_for_room)
{
  gateway_fixture fixture = MakeCallGateway();
  for (int i = 0; i < 30; ++i) {
    FireEvent(fixture, MakeCallerRequest(fixture, "/status/1"));
    FireEvent(fixture, MakeReport(TakeOnlyDispatch(fixture),
                                  attempt_outcome::Delivered, 0, 0));
  }
  fixture.mActions.clear();
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  const dispatch_request other = TakeOnlyDispatch(fixture);
  FireEvent(fixture, MakeCallerRequest(fixture, "/status/1"));
  const dispatch_request rejected = TakeOnlyDispatch(fixture);
  StateFull(fixture);
  FireEvent(fixture, MakeReport(rejected, attempt_outcome::NotRun, 8, 24));
  BOOST_TEST(TakeActions<dispatch_request>(fixture).empty());
  BOOST_TEST(GetSummary(*fixture.mNode).mWaitingRequests == 1U);
  FireEvent(fixture, MakeReport(other, attempt_outcome::Delivered, 7, 0));
  BOOST_TEST(TakeOnlyDispatch(fixture).mHandle == rejected.mHandle);
}

// --- A fleet ----------------------------------------------------------------

constexpr int kSlots = 6;
constexpr std::size_t kServerQueue = 24;
constexpr std::size_t kGateways = 23;
// With the same demand, each of these hears of a server once a second or less.
constexpr std::size_t kManyGateways = 100;
constexpr int kServers = 3;
// Requests a second that the servers run: 18 slots, 62.4 ms on average.
constexpr double kCapacity = kServers * kSlots / 0.0624;

struct server_run
{
  std::size_t mGateway = 0;
  dispatch_request mDispatch;
  absl::Time mEndsAt;
};

struct call_server
{
  std::vector<server_run> mRunning;
  std::deque<server_run> mQueued;
};

struct call_record
{
  absl::Time mArrivedAt;
  std::string mWorkspace;
  std::size_t mGateway = 0;
};

struct workspace_result
{
  int mRequests = 0;
  // Responses within the objective, and later.
  int mServed = 0;
  int mLate = 0;
  int mRefusedEarly = 0;
  int mRefusedLate = 0;
};

// One plain service behind several gateways. Calls take 60 ms with a spread of
// 0.5, one in 100 five times as long.
struct call_fleet
{
  std::vector<gateway_fixture> mGateways;
  std::map<std::string, call_server> mServers;
  std::map<request_handle, call_record> mCalls;
  std::map<std::string, workspace_result> mResults;
  std::map<std::size_t, workspace_result> mByGateway;
  request_handle mNextHandle = 1;
  int mRejections = 0;
  int mWaits = 0;
  int mBadRefusals = 0;
  std::mt19937 mRandom{ 11 };
};

call_fleet MakeCallFleet(int aWorkspaces, std::size_t aGateways = kGateways)
{
  call_fleet fleet;
  traffic_config config = MakeCallConfig();
  config.mWorkspaces.clear();
  for (int i = 0; i < aWorkspaces; ++i) {
    traffic_workspace workspace;
    workspace.mId = workspace_id{ "w" + std::to_string(i) };
    workspace.mKeys = { workspace.mId.mValue };
    config.mWorkspaces.push_back(workspace);
  }
  std::vector<directory_change<gateway_peer>> peers;
  for (std::size_t i = 0; i < aGateways; ++i) {
    peers.push_back({ "g" + std::to_string(i), 5, gateway_peer{ "a:1" } });
  }
  for (std::size_t i = 0; i < aGateways; ++i) {
    gateway_fixture fixture =
      MakeStartedGateway("g" + std::to_string(i), absl::Seconds(3));
    DeliverConfig(fixture, config, 10);
    std::vector<directory_change<backend_entry>> servers;
    for (int j = 0; j < kServers; ++j) {
      const std::string number = std::to_string(j);
      backend_entry entry =
        MakeBackendEntry("orders", "10.0.0." + number + ":1");
      entry.mSlots = kSlots;
      servers.push_back({ "o" + number, 4, entry });
    }
    DeliverBackends(fixture, 10, true, servers);
    DeliverPeers(fixture, 10, peers);
    AdvanceTime(fixture, absl::Seconds(5));
    fixture.mActions.clear();
    fleet.mGateways.push_back(std::move(fixture));
  }
  return fleet;
}

absl::Duration DrawRunTime(call_fleet& aFleet)
{
  std::lognormal_distribution<double> spread(-0.1116, 0.4724);
  std::bernoulli_distribution isLong(0.01);
  return absl::Milliseconds(60) * spread(aFleet.mRandom) *
         (isLong(aFleet.mRandom) ? 5 : 1);
}

void RunOnServer(call_fleet& aFleet, call_server& aServer, server_run aRun,
                 absl::Time aNow)
{
  aRun.mEndsAt = aNow + DrawRunTime(aFleet);
  aServer.mRunning.push_back(std::move(aRun));
}

void FireReport(call_fleet& aFleet, const server_run& aRun,
                attempt_outcome aOutcome)
{
  const call_server& server = aFleet.mServers[aRun.mDispatch.mBackend.mValue];
  FireEvent(aFleet.mGateways[aRun.mGateway],
            MakeReport(aRun.mDispatch, aOutcome,
                       static_cast<int>(server.mRunning.size()),
                       static_cast<int>(server.mQueued.size())));
}

void ReceiveOnServer(call_fleet& aFleet, std::size_t aGateway,
                     const dispatch_request& aDispatch, absl::Time aNow)
{
  call_server& server = aFleet.mServers[aDispatch.mBackend.mValue];
  const server_run run{ aGateway, aDispatch, aNow };
  if (server.mRunning.size() < kSlots) {
    RunOnServer(aFleet, server, run, aNow);
  } else if (server.mQueued.size() < kServerQueue) {
    server.mQueued.push_back(run);
  } else {
    ++aFleet.mRejections;
    FireReport(aFleet, run, attempt_outcome::NotRun);
  }
}

void CountRefusal(call_fleet& aFleet, const send_error& aError, absl::Time aNow)
{
  const call_record& call = aFleet.mCalls.at(aError.mHandle);
  const bool isEarly = aNow - call.mArrivedAt <= kEarly;
  for (workspace_result* each : { &aFleet.mResults[call.mWorkspace],
                                  &aFleet.mByGateway[call.mGateway] }) {
    ++(isEarly ? each->mRefusedEarly : each->mRefusedLate);
  }
  const bool isGood = aError.mError.mExecuted == executed::No &&
                      aError.mError.mCode == error_code::Overloaded &&
                      aError.mError.mRetryAfter > absl::ZeroDuration() &&
                      aError.mError.mRetryAfter <= absl::Seconds(2);
  aFleet.mBadRefusals += isGood ? 0 : 1;
}

void PerformActions(call_fleet& aFleet, absl::Time aNow)
{
  for (std::size_t i = 0; i < aFleet.mGateways.size(); ++i) {
    gateway_fixture& fixture = aFleet.mGateways[i];
    while (!fixture.mActions.empty()) {
      gateway_actions actions;
      actions.swap(fixture.mActions);
      for (const gateway_action& action : actions) {
        if (const auto* dispatch = std::get_if<dispatch_request>(&action)) {
          ReceiveOnServer(aFleet, i, *dispatch, aNow);
        } else if (const auto* refusal = std::get_if<send_error>(&action)) {
          CountRefusal(aFleet, *refusal, aNow);
        } else if (const auto* record = std::get_if<decision_record>(&action)) {
          aFleet.mWaits +=
            record->mDecision == decision::RequestWaiting ? 1 : 0;
        }
      }
    }
  }
}

void EndRuns(call_fleet& aFleet, absl::Time aNow)
{
  for (auto& [name, server] : aFleet.mServers) {
    for (std::size_t i = 0; i < server.mRunning.size();) {
      if (server.mRunning[i].mEndsAt > aNow) {
        ++i;
        continue;
      }
      const server_run ended = server.mRunning[i];
      server.mRunning.erase(server.mRunning.begin() +
                            static_cast<std::ptrdiff_t>(i));
      if (!server.mQueued.empty()) {
        RunOnServer(aFleet, server, server.mQueued.front(), aNow);
        server.mQueued.pop_front();
      }
      const call_record& call = aFleet.mCalls.at(ended.mDispatch.mHandle);
      const bool isInTime = aNow - call.mArrivedAt <= kObjective;
      for (workspace_result* each : { &aFleet.mResults[call.mWorkspace],
                                      &aFleet.mByGateway[call.mGateway] }) {
        ++(isInTime ? each->mServed : each->mLate);
      }
      FireReport(aFleet, ended, attempt_outcome::Delivered);
    }
  }
}

// Runs for aTime. aGateways: relative number of requests of each gateway.
// aWorkspaces: requests a second of each workspace.
void RunFleet(call_fleet& aFleet, absl::Duration aTime,
              const std::vector<double>& aGateways,
              const std::vector<double>& aWorkspaces)
{
  std::discrete_distribution<std::size_t> anyGateway(aGateways.begin(),
                                                     aGateways.end());
  const absl::Time end = aFleet.mGateways[0].mNow + aTime;
  for (absl::Time now = aFleet.mGateways[0].mNow; now < end;
       now += absl::Milliseconds(1)) {
    for (gateway_fixture& fixture : aFleet.mGateways) {
      AdvanceTime(fixture, now - fixture.mNow);
    }
    EndRuns(aFleet, now);
    PerformActions(aFleet, now);
    for (std::size_t i = 0; i < aWorkspaces.size(); ++i) {
      std::poisson_distribution<int> arrivals(aWorkspaces[i] / 1000);
      for (int left = arrivals(aFleet.mRandom); left > 0; --left) {
        const std::size_t to = anyGateway(aFleet.mRandom);
        gateway_fixture& fixture = aFleet.mGateways[to];
        caller_request request = MakeCallerRequest(fixture, "/order/1");
        request.mHandle = aFleet.mNextHandle++;
        request.mKey = "w" + std::to_string(i);
        request.mCallerTimeout = absl::Seconds(3);
        aFleet.mCalls[request.mHandle] = { now, request.mKey, to };
        ++aFleet.mResults[request.mKey].mRequests;
        ++aFleet.mByGateway[to].mRequests;
        FireEvent(fixture, request);
        PerformActions(aFleet, now);
      }
    }
  }
}

workspace_result Sum(const std::map<std::string, workspace_result>& aResults)
{
  workspace_result sum;
  for (const auto& [name, each] : aResults) {
    sum.mRequests += each.mRequests;
    sum.mServed += each.mServed;
    sum.mLate += each.mLate;
    sum.mRefusedEarly += each.mRefusedEarly;
    sum.mRefusedLate += each.mRefusedLate;
  }
  return sum;
}

void Print(const call_fleet& aFleet, const workspace_result& aResult)
{
  BOOST_TEST_MESSAGE("requests "
                     << aResult.mRequests << ", served " << aResult.mServed
                     << ", late " << aResult.mLate << ", refused early "
                     << aResult.mRefusedEarly << ", refused late "
                     << aResult.mRefusedLate << ", rejections "
                     << aFleet.mRejections << ", waits " << aFleet.mWaits);
}

// Six times the mean at one gateway, the rest spread evenly.
std::vector<double> MakeUnevenGateways(std::size_t aCount = kGateways)
{
  const auto count = static_cast<double>(aCount);
  std::vector<double> gateways(aCount, (count - 6) / (count - 1));
  gateways[0] = 6;
  return gateways;
}

// Load: a quarter of the capacity, one gateway with six times the mean. Nobody
// may wait or be refused while servers have room.
BOOST_AUTO_TEST_CASE(nobody_waits_in_ordinary_load)
{
  call_fleet fleet = MakeCallFleet(1);
  RunFleet(fleet, absl::Seconds(20), MakeUnevenGateways(), { kCapacity / 4 });
  const workspace_result sum = Sum(fleet.mResults);
  Print(fleet, sum);
  BOOST_TEST(fleet.mWaits == 0);
  BOOST_TEST(sum.mRefusedEarly + sum.mRefusedLate == 0);
}

// Load: twice the capacity. Refusals must come early and name a time to retry,
// those that are served must be served in time, and the servers must be busy.
BOOST_AUTO_TEST_CASE(overload_is_refused_early)
{
  call_fleet fleet = MakeCallFleet(1);
  RunFleet(fleet, absl::Seconds(10), std::vector<double>(kGateways, 1),
           { 2 * kCapacity });
  const workspace_result sum = Sum(fleet.mResults);
  Print(fleet, sum);
  BOOST_TEST(fleet.mBadRefusals == 0);
  BOOST_TEST(sum.mServed > 0.85 * 10 * kCapacity);
  BOOST_TEST(sum.mLate < 0.1 * sum.mServed);
  BOOST_TEST(sum.mRefusedLate < 0.1 * sum.mRefusedEarly);
}

// Runs 90% of the capacity, with six times the mean at the first gateway, and
// returns the result of its callers.
workspace_result RunUnevenFleet(std::size_t aGateways, unsigned aSeed = 11)
{
  call_fleet fleet = MakeCallFleet(1, aGateways);
  fleet.mRandom.seed(aSeed);
  RunFleet(fleet, absl::Seconds(20), MakeUnevenGateways(aGateways),
           { 0.9 * kCapacity });
  Print(fleet, Sum(fleet.mResults));
  const workspace_result hot = fleet.mByGateway[0];
  Print(fleet, hot);
  return hot;
}

// Load: 90% of the capacity, one gateway with six times the mean. Its callers
// have paid as the others have, and must not be refused much more often.
BOOST_AUTO_TEST_CASE(a_gateway_with_many_callers_gets_its_part)
{
  const workspace_result hot = RunUnevenFleet(kGateways);
  BOOST_TEST(hot.mServed > 0.95 * hot.mRequests);
}

// The same load at gateways that see few responses each. The first one has 300
// requests in a run, too few for a bound of 5%, so the sum of several counts.
BOOST_AUTO_TEST_CASE(one_of_many_gateways_with_many_callers_gets_its_part)
{
  workspace_result hot;
  for (unsigned seed = 11; seed < 21; ++seed) {
    const workspace_result run = RunUnevenFleet(kManyGateways, seed);
    hot.mRequests += run.mRequests;
    hot.mServed += run.mServed;
  }
  BOOST_TEST(hot.mServed > 0.95 * hot.mRequests);
}

// Runs 24 workspaces that together need 60% of the capacity, one of which sends
// 20 times as much as usual, and returns the result of the others.
workspace_result RunHotWorkspace(std::size_t aGateways)
{
  call_fleet fleet = MakeCallFleet(24, aGateways);
  std::vector<double> workspaces(24, 0.6 * kCapacity / 24);
  workspaces[0] *= 20;
  RunFleet(fleet, absl::Seconds(20), std::vector<double>(aGateways, 1),
           workspaces);
  Print(fleet, fleet.mResults["w0"]);
  fleet.mResults.erase("w0");
  const workspace_result others = Sum(fleet.mResults);
  Print(fleet, others);
  return others;
}

// Load: 24 workspaces that together need 60% of the capacity; one of them sends
// 20 times as much as usual. It must delay itself first.
BOOST_AUTO_TEST_CASE(a_hot_workspace_delays_itself_first)
{
  const workspace_result others = RunHotWorkspace(kGateways);
  BOOST_TEST(others.mServed > 0.9 * others.mRequests);
}

// The same load at gateways that see few requests of each workspace.
BOOST_AUTO_TEST_CASE(a_hot_workspace_at_many_gateways_delays_itself_first)
{
  const workspace_result others = RunHotWorkspace(kManyGateways);
  BOOST_TEST(others.mServed > 0.9 * others.mRequests);
}

} // namespace
} // namespace foxtailquay
