// Guards against requests that come again and crash each server that runs them:
// real gateways must recognize them after three crashes, whatever kind of
// request it is and at which gateway it comes, and must go on serving sound
// requests that resemble them. The servers are processes too, which the crashes
// end.

#define BOOST_TEST_MODULE deadly_request
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway_fleet.h"

namespace foxtailquay {
namespace {

using steady = std::chrono::steady_clock;

// Time within which all gateways that reach the store must know of a crash.
constexpr std::chrono::seconds kContactTime{ 3 };
// Number of crashes after which a request must not reach servers, and of sends
// later than kContactTime that are allowed nevertheless.
constexpr std::size_t kAllowedCrashes = 3;
constexpr int kAllowedSends = 3;
// Time for which a server is down after a crash.
constexpr std::chrono::milliseconds kDownTime{ 500 };
// Time between two requests of a caller.
constexpr std::chrono::milliseconds kInterval{ 100 };
// Time for which callers go on after kContactTime.
constexpr std::chrono::seconds kLateTime{ 2 };
// Time within which the deadly request must have crashed kAllowedCrashes
// servers.
constexpr int kCrashSeconds = 20;

struct server_process
{
  child_process mChild;
  std::string mId;
  std::string mService;
  int mPort = 0;
  std::int64_t mStartedMs = 0;
  steady::time_point mDownSince;
};

struct deadly_fleet
{
  ~deadly_fleet()
  {
    for (server_process& server : mServers) {
      Kill(server.mChild);
    }
  }

  gateway_fleet mGateways;
  std::vector<server_process> mServers;
  std::vector<steady::time_point> mCrashes;
};

void StartAndRegister(deadly_fleet& aFleet, server_process& aServer)
{
  ++aServer.mStartedMs;
  BOOST_REQUIRE(IsOk(Start(aServer.mChild)));
  RegisterServer(aFleet.mGateways.mStore, aServer.mId, aServer.mPort,
                 aServer.mService, "ready", aServer.mStartedMs);
}

void AddServers(deadly_fleet& aFleet, const std::string& aService, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    server_process server;
    server.mId = absl::StrCat("i-", aService, "-", i);
    server.mService = aService;
    server.mPort = aFleet.mGateways.mReserved.emplace_back().mPort;
    server.mChild.mName = server.mId;
    server.mChild.mArguments = { "standin_users_server", "--id=" + server.mId,
                                 absl::StrCat("--port=", server.mPort) };
    server.mChild.mLogFile =
      aFleet.mGateways.mFolder / (server.mId + "-server.log");
    StartAndRegister(aFleet, server);
    aFleet.mServers.push_back(std::move(server));
  }
}

// Starts three gateways before four servers of each service. Lookups and
// streams may be sent to several servers.
void StartFleet(deadly_fleet& aFleet)
{
  constexpr int kGateways = 3;
  constexpr int kServers = 4;
  Json::Value config = MakeGatewayConfig(3, 100000000);
  config["routes"][1]["max_attempts"] = 3;
  config["routes"][2]["max_attempts"] = 3;
  config["routes"][2]["resumable"] = true;
  PutItem(aFleet.mGateways.mStore, "op/config", config);
  AddServers(aFleet, "orders", kServers);
  AddServers(aFleet, "engines", kServers);
  for (int i = 0; i < kGateways; ++i) {
    BOOST_REQUIRE(AddGateway(aFleet.mGateways));
  }
  BOOST_REQUIRE(AwaitReady(aFleet.mGateways));
}

// Records servers that have crashed and starts them again after kDownTime.
void SuperviseServers(deadly_fleet& aFleet)
{
  const auto now = steady::now();
  for (server_process& server : aFleet.mServers) {
    const bool wasRunning = server.mChild.mPid > 0;
    if (!HasEnded(server.mChild)) {
      continue;
    }
    if (wasRunning) {
      server.mDownSince = now;
      aFleet.mCrashes.push_back(now);
    } else if (now - server.mDownSince > kDownTime) {
      StartAndRegister(aFleet, server);
    }
  }
}

// Supervises the servers until aEnd.
void RunUntil(deadly_fleet& aFleet, steady::time_point aEnd)
{
  while (steady::now() < aEnd) {
    SuperviseServers(aFleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

// Returns how often deadly requests have begun to run.
int CountDeadlyRuns(const deadly_fleet& aFleet)
{
  int runs = 0;
  for (const server_process& server : aFleet.mServers) {
    std::ifstream log(server.mChild.mLogFile);
    std::string line;
    while (std::getline(log, line)) {
      runs += FromName<crash_moment>(line) ? 1 : 0;
    }
  }
  return runs;
}

// Callers that send one request after the other to all gateways in turn.
struct caller_load
{
  caller_load(const std::vector<gateway_process>& aGateways,
              const caller_input& aInput)
    : mThread([this, &aGateways, aInput] {
      for (std::size_t i = 0; !mIsStopping; ++i) {
        const auto outcome = CallHttp(aGateways[i % aGateways.size()], aInput);
        mServed += outcome.mStatus == 200 ? 1 : 0;
        ++mSent;
        std::this_thread::sleep_for(kInterval);
      }
    })
  {}
  ~caller_load()
  {
    mIsStopping = true;
    mThread.join();
  }

  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };
  std::thread mThread;
};

// Returns a deadly request and a sound one that differs in its body only. Both
// have the shared parts of their prompts in common.
std::pair<caller_input, caller_input> MakeInputs(const std::string& aPath,
                                                 crash_moment aMoment)
{
  caller_input deadly;
  deadly.mPath = aPath;
  if (aPath.find("/chat/") == 0) {
    deadly.mPromptParts = "1a:40,2b:40,3c:20";
  }
  caller_input sound = deadly;
  deadly.mBody = std::string(ToName(aMoment));
  return { deadly, sound };
}

// Sends the request and sound ones until it must have been recognized for some
// time, and checks that it then reaches no server and sound ones are served.
void CheckDeadlyRequest(deadly_fleet& aFleet, const std::string& aPath,
                        crash_moment aMoment)
{
  const auto [deadlyInput, soundInput] = MakeInputs(aPath, aMoment);
  const auto& gateways = aFleet.mGateways.mGateways;
  caller_load sound(gateways, soundInput);
  caller_load deadly(gateways, deadlyInput);
  BOOST_REQUIRE(AwaitCondition(
    [&aFleet] {
      SuperviseServers(aFleet);
      return aFleet.mCrashes.size() >= kAllowedCrashes;
    },
    kCrashSeconds));
  RunUntil(aFleet, aFleet.mCrashes[kAllowedCrashes - 1] + kContactTime);
  const int runsBefore = CountDeadlyRuns(aFleet);
  const int sentBefore = sound.mSent;
  const int servedBefore = sound.mServed;
  RunUntil(aFleet, steady::now() + kLateTime);
  const int sent = sound.mSent - sentBefore;
  const int served = sound.mServed - servedBefore;
  BOOST_TEST(CountDeadlyRuns(aFleet) - runsBefore <= kAllowedSends);
  BOOST_TEST(sent > 0);
  BOOST_TEST(10 * served >= 9 * sent,
             served << " of " << sent << " sound requests were served");
}

// Guards against a lookup that is repeated by the gateways and its caller and
// crashes each server of a plain service, and against gateways that forget it
// when they are killed.
BOOST_AUTO_TEST_CASE(a_deadly_lookup_is_recognized_also_after_restarts)
{
  deadly_fleet fleet;
  StartFleet(fleet);
  CheckDeadlyRequest(fleet, "/status/1", crash_moment::BeforeResponse);
  auto& gateways = fleet.mGateways.mGateways;
  for (gateway_process& gateway : gateways) {
    Kill(gateway.mChild);
  }
  for (gateway_process& gateway : gateways) {
    BOOST_REQUIRE(IsOk(Start(gateway.mChild)));
  }
  BOOST_REQUIRE(AwaitReady(fleet.mGateways));
  const int runs = CountDeadlyRuns(fleet);
  const auto input = MakeInputs("/status/1", crash_moment::BeforeResponse);
  for (const gateway_process& gateway : gateways) {
    BOOST_TEST(CallHttp(gateway, input.first).mStatus == 503);
    BOOST_TEST(CallHttp(gateway, input.second).mStatus == 200);
  }
  BOOST_TEST(CountDeadlyRuns(fleet) == runs);
}

// Guards against an order, which only its caller may repeat, that crashes one
// server after the other.
BOOST_AUTO_TEST_CASE(a_deadly_order_is_recognized)
{
  deadly_fleet fleet;
  StartFleet(fleet);
  CheckDeadlyRequest(fleet, "/order/1", crash_moment::BeforeResponse);
}

// Guards against a stream that crashes engines although all shared parts of its
// prompt are in sound requests too.
BOOST_AUTO_TEST_CASE(a_deadly_stream_is_recognized)
{
  deadly_fleet fleet;
  StartFleet(fleet);
  CheckDeadlyRequest(fleet, "/chat/1", crash_moment::AfterHeaderSection);
}

// Guards against a stream that is continued on other engines and crashes each
// of them in the middle of its response.
BOOST_AUTO_TEST_CASE(a_stream_that_is_deadly_midway_is_recognized)
{
  deadly_fleet fleet;
  StartFleet(fleet);
  CheckDeadlyRequest(fleet, "/chat/1", crash_moment::AfterFirstEvent);
}

// Guards against a gateway that did not run during the crashes and does not
// learn of them when it continues.
BOOST_AUTO_TEST_CASE(a_gateway_that_was_frozen_knows_a_deadly_request)
{
  deadly_fleet fleet;
  StartFleet(fleet);
  const gateway_process& frozen = fleet.mGateways.mGateways.back();
  Signal(frozen.mChild, SIGSTOP);
  const std::vector<gateway_process> others(
    fleet.mGateways.mGateways.begin(), fleet.mGateways.mGateways.end() - 1);
  const auto [deadlyInput, soundInput] =
    MakeInputs("/order/1", crash_moment::BeforeResponse);
  {
    const caller_load deadly(others, deadlyInput);
    BOOST_REQUIRE(AwaitCondition(
      [&fleet] {
        SuperviseServers(fleet);
        return fleet.mCrashes.size() >= kAllowedCrashes;
      },
      kCrashSeconds));
  }
  Signal(frozen.mChild, SIGCONT);
  RunUntil(fleet, steady::now() + kContactTime);
  const int runs = CountDeadlyRuns(fleet);
  for (int i = 0; i < 2 * kAllowedSends; ++i) {
    CallHttp(frozen, deadlyInput);
    RunUntil(fleet, steady::now() + kInterval);
  }
  BOOST_TEST(CountDeadlyRuns(fleet) == runs);
  BOOST_TEST(CallHttp(frozen, soundInput).mStatus == 200);
}

} // namespace
} // namespace foxtailquay
