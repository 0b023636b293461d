// Failures of real processes: routers that are killed or paused, a store that
// is down or loses answers, and callers that repeat an order. Guards against
// bills that differ from what ran, overspent budgets and orders placed twice.
//
// No test relies on timing: each waits for the state it needs, for at most a
// minute, and a wait that is not met is a failure.

#define BOOST_TEST_MODULE process
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include <signal.h>

#include "process_fleet.h"

namespace foxtailquay {
namespace {

struct fixture
{
  void StartWith(const fleet_options& aOptions)
  {
    const auto started = StartFleet(mFleet, aOptions);
    BOOST_REQUIRE_MESSAGE(IsOk(started), Describe(started));
  }

  std::string Describe(const result<success>& aStarted) const
  {
    return IsOk(aStarted)
             ? ""
             : ToString(GetError(aStarted)) + "\n" + ReadLogTails(mFleet);
  }

  ~fixture()
  {
    const auto& test = boost::unit_test::framework::current_test_case();
    const auto& results =
      boost::unit_test::results_collector.results(test.p_id);
    if (results.p_assertions_failed != 0 || results.p_aborted) {
      mFleet.mKeepLogs = true;
      BOOST_TEST_MESSAGE(ReadLogTails(mFleet));
    }
  }

  fleet_node& Router(int aIndex) { return mFleet.mRouters[aIndex]; }

  client_response Chat(int aRouter, int aMaxTokens)
  {
    return CallHttp(Router(aRouter).mPort, "POST", "/v1/chat/completions",
                    MakeCallerHeaders(),
                    MakeChatBody("one question", aMaxTokens));
  }

  std::unique_ptr<streamed_response> Order(int aRouter, const std::string& aKey)
  {
    httplib::Headers headers = MakeCallerHeaders();
    headers.emplace("Idempotency-Key", aKey);
    Json::Value order;
    order["cloth"] = "indigo";
    return StartHttpCall(Router(aRouter).mPort, "POST",
                         "/v1/services/orders/orders", headers, order);
  }

  // Gives each router a share of the budget.
  void UseAllRouters()
  {
    for (std::size_t i = 0; i < mFleet.mRouters.size(); ++i) {
      BOOST_REQUIRE(Chat(static_cast<int>(i), 4).mStatus == 200);
    }
  }

  // Spends through the routers from aFirst on, until the engines have
  // generated aTotal tokens altogether.
  bool SpendTo(int aTotal, int aFirst = 0)
  {
    return AwaitCondition(
      [&] {
        for (int i = aFirst; i < static_cast<int>(mFleet.mRouters.size());
             ++i) {
          if (Chat(i, 32).mStatus != 200) {
            Chat(i, 1);
          }
        }
        return ReadGeneratedTokens(mFleet) >= aTotal;
      },
      120);
  }

  // Waits until the account shows as many tokens as the engines generated.
  bool AwaitBill(int aRouter)
  {
    return AwaitCondition([&] {
      return ReadBudget(Router(aRouter), kBudget).mJson["spent"].asInt() ==
             ReadGeneratedTokens(mFleet);
    });
  }

  bool AwaitNoRuns()
  {
    return AwaitCondition([&] {
      for (const fleet_node& agent : mFleet.mAgents) {
        const client_response state =
          CallHttp(agent.mPeerPort, "GET", "/debug/state", MakePeerHeaders());
        if (state.mStatus != 200 || !state.mJson["runs"].empty()) {
          return false;
        }
      }
      return true;
    });
  }

  process_fleet mFleet;
};

fleet_options SmallFleet(int aPaidIn)
{
  fleet_options options;
  options.mServices = 0;
  options.mPaidIn = aPaidIn;
  options.mPromptPrice = 0;
  return options;
}

Json::Value Fault(const std::string& aName, const Json::Value& aValue)
{
  Json::Value fault;
  fault[aName] = aValue;
  return fault;
}

// A usage record that is lost with its router would leave tokens unbilled; a
// share that does not return would strand the rest of the budget.
BOOST_FIXTURE_TEST_CASE(killed_router_leaves_the_account_right, fixture)
{
  constexpr int kPaidIn = 2000;
  StartWith(SmallFleet(kPaidIn));
  UseAllRouters();
  SetEngineFault(mFleet, "hold_after_tokens", 3);
  const auto stream =
    StartHttpCall(Router(0).mPort, "POST", "/v1/chat/completions",
                  MakeCallerHeaders(), MakeChatBody("a long report", 20, true));
  BOOST_REQUIRE(AwaitText(*stream, "t3 "));
  Kill(Router(0).mProcess);
  // The agent must give the run up before the engine may go on; otherwise
  // the engine generates tokens that nobody relays.
  BOOST_TEST(AwaitNoRuns());
  SetEngineFault(mFleet, "hold_after_tokens", 0);
  BOOST_TEST(!AwaitEnd(*stream));
  BOOST_TEST(AwaitNoShare(Router(1), Router(0)));
  BOOST_TEST(AwaitBill(1));
  BOOST_TEST(SpendTo(kPaidIn, 1));
  BOOST_TEST(ReadGeneratedTokens(mFleet) == kPaidIn);
  BOOST_TEST(AwaitBill(1));
}

// A router that resumes after its share was given to others must not spend it.
BOOST_FIXTURE_TEST_CASE(paused_router_does_not_overspend, fixture)
{
  constexpr int kPaidIn = 2000;
  constexpr int kAdded = 500;
  StartWith(SmallFleet(kPaidIn));
  UseAllRouters();
  Signal(Router(0).mProcess, SIGSTOP);
  // Requests wait in the paused router's sockets and are the first thing it
  // sees when it resumes.
  constexpr int kWaiting = 4;
  std::vector<std::unique_ptr<streamed_response>> waiting;
  waiting.reserve(kWaiting);
  for (int i = 0; i < kWaiting; ++i) {
    waiting.push_back(StartHttpCall(Router(0).mPort, "POST",
                                    "/v1/chat/completions", MakeCallerHeaders(),
                                    MakeChatBody("one question", 32)));
  }
  BOOST_TEST(AwaitNoShare(Router(1), Router(0)));
  BOOST_TEST(TopUp(Router(1), kBudget, "during-pause", kAdded).mStatus == 200);
  BOOST_TEST(SpendTo(kPaidIn + kAdded, 1));
  Signal(Router(0).mProcess, SIGCONT);
  for (const auto& response : waiting) {
    AwaitEnd(*response);
    BOOST_TEST(response->mStatus != 200);
  }
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(Chat(0, 1).mStatus != 200);
  }
  BOOST_TEST(ReadGeneratedTokens(mFleet) == kPaidIn + kAdded);
  BOOST_TEST(AwaitBill(1));
}

// An outage must not stop requests that a share can pay, and must not let an
// order run without a claim.
BOOST_FIXTURE_TEST_CASE(store_outage_leaves_shares_usable, fixture)
{
  fleet_options options = SmallFleet(10'000);
  options.mServices = 1;
  StartWith(options);
  UseAllRouters();
  SetFault(mFleet.mPlatformPort, Fault("down", true));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Chat(i, 4).mStatus == 200);
  }
  const auto order = Order(0, "during-outage");
  BOOST_TEST(AwaitEnd(*order));
  BOOST_TEST(order->mStatus == 503);
  BOOST_TEST(order->mHeaders.find("X-Foxtailquay-Ran")->second == "no");
  BOOST_TEST(ReadPlacedOrders(mFleet) == 0);
  BOOST_TEST(TopUp(Router(0), kBudget, "during-outage", 5).mStatus >= 400);
  SetFault(mFleet.mPlatformPort, Fault("down", false));
  BOOST_TEST(AwaitCondition([&] {
    const auto again = Order(0, "during-outage");
    return AwaitEnd(*again) && again->mStatus == 201;
  }));
  BOOST_TEST(ReadPlacedOrders(mFleet) == 1);
}

// A top-up whose response is lost and that is then repeated must count once.
BOOST_FIXTURE_TEST_CASE(top_up_with_lost_answer_is_applied_once, fixture)
{
  constexpr int kPaidIn = 1000;
  constexpr int kRounds = 5;
  StartWith(SmallFleet(kPaidIn));
  for (int i = 0; i < kRounds; ++i) {
    SetFault(mFleet.mPlatformPort, Fault("lose_answers", 1));
    const std::string id = "lost-" + std::to_string(i);
    BOOST_TEST(AwaitCondition(
      [&] { return TopUp(Router(i % 3), kBudget, id, 100).mStatus == 200; }));
    BOOST_TEST(TopUp(Router(0), kBudget, id, 100).mStatus == 200);
  }
  BOOST_TEST(ReadBudget(Router(0), kBudget).mJson["paid_in"].asInt() ==
             kPaidIn + kRounds * 100);
}

// A settlement whose response is lost is committed again and must count once.
BOOST_FIXTURE_TEST_CASE(settlement_with_lost_answer_is_billed_once, fixture)
{
  StartWith(SmallFleet(10'000));
  UseAllRouters();
  for (int round = 0; round < 4; ++round) {
    BOOST_TEST(AwaitBill(0));
    // Nothing is open now, so the next writes are those of these requests.
    SetFault(mFleet.mPlatformPort, Fault("lose_answers", 2));
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(Chat(i, 8).mStatus == 200);
    }
  }
  BOOST_TEST(AwaitBill(0));
  // All answers that were to be lost were lost.
  const client_response faults =
    SetFault(mFleet.mPlatformPort, Json::Value(Json::objectValue));
  BOOST_TEST(faults.mJson["lose_answers"].asInt() == 0);
}

// Three routers that get the same order at once must not place it twice.
BOOST_FIXTURE_TEST_CASE(same_order_at_all_routers_runs_once, fixture)
{
  fleet_options options = SmallFleet(1000);
  options.mServices = 2;
  StartWith(options);
  const auto setDelay = [this](int aMilliseconds) {
    for (const fleet_node& agent : mFleet.mAgents) {
      if (!IsEngine(agent)) {
        SetFault(agent.mPort, Fault("delay_ms", aMilliseconds));
      }
    }
  };
  constexpr int kForever = 1'000'000;
  setDelay(kForever);
  std::vector<std::unique_ptr<streamed_response>> answers;
  answers.reserve(mFleet.mRouters.size());
  for (int i = 0; i < 3; ++i) {
    answers.push_back(Order(i, "same"));
  }
  const auto ended = [&answers] {
    int count = 0;
    for (const auto& response : answers) {
      const std::lock_guard<std::mutex> lock(response->mMutex);
      count += response->mEnded ? 1 : 0;
    }
    return count;
  };
  // The two routers without the claim are refused while the third waits.
  BOOST_TEST(AwaitCondition([&] { return ended() == 2; }));
  setDelay(0);
  int placed = 0;
  for (const auto& response : answers) {
    BOOST_TEST(AwaitEnd(*response));
    placed += response->mStatus == 201 ? 1 : 0;
    BOOST_TEST((response->mStatus == 201 || response->mStatus == 409));
  }
  BOOST_TEST(placed == 1);
  BOOST_TEST(ReadPlacedOrders(mFleet) == 1);
  for (int i = 0; i < 3; ++i) {
    const auto repeated = Order(i, "same");
    BOOST_TEST(AwaitEnd(*repeated));
    BOOST_TEST(repeated->mStatus == 201);
  }
  BOOST_TEST(ReadPlacedOrders(mFleet) == 1);
}

} // namespace
} // namespace foxtailquay
