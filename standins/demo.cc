// foxtailquay_demo: starts a fleet on loopback ports, demonstrates its
// functions step by step and stops it. The exit code is the number of steps
// that failed.

#include <signal.h>

#include <iostream>

#include "gateway_fleet.h"
#include "process_fleet.h"

namespace foxtailquay {
namespace {

struct demo
{
  process_fleet mFleet;
  // Configuration version before the last patch.
  std::uint64_t mOldVersion = 0;
};

constexpr char kTrialKey[] = "trial-key-for-tests";
constexpr char kTrialBudget[] = "trial-2026";

void PrintField(const std::string& aLabel, const std::string& aText)
{
  constexpr std::size_t kShown = 240;
  std::cout << "    " << aLabel << ": " << aText.substr(0, kShown)
            << (aText.size() > kShown ? "..." : "") << "\n";
}

void PrintField(const std::string& aLabel, const client_response& aResponse)
{
  PrintField(aLabel, "HTTP " + std::to_string(aResponse.mStatus) + " " +
                       aResponse.mBody);
}

std::string GetErrorCode(const client_response& aResponse)
{
  return aResponse.mJson.isObject()
           ? aResponse.mJson["error"]["code"].asString()
           : "";
}

bool StartAll(demo& aDemo)
{
  const auto started = StartFleet(aDemo.mFleet, fleet_options{});
  if (!IsOk(started)) {
    PrintField("error", ToString(GetError(started)));
    return false;
  }
  PrintField("started", "3 routers, 3 engines and 2 order services in 3 zones, "
                        "an agent beside each");
  return true;
}

bool StreamCompletion(demo& aDemo)
{
  const auto response = StartHttpCall(
    aDemo.mFleet.mRouters[0].mPort, "POST", "/v1/chat/completions",
    MakeCallerHeaders(), MakeChatBody("plan a trip to Plovdiv", 8, true));
  const bool complete = AwaitEnd(*response);
  PrintField("stream", response->mText.substr(0, response->mText.find("\n\n")));
  PrintField("ended", response->mText.substr(response->mText.size() < 200
                                               ? 0
                                               : response->mText.size() - 200));
  return complete && response->mStatus == 200 &&
         response->mText.find("Plovdiv") != std::string::npos &&
         response->mText.find("t8") != std::string::npos &&
         response->mText.find("\"completion_tokens\":8") != std::string::npos &&
         response->mText.find("data: [DONE]") != std::string::npos;
}

bool GetCompletion(demo& aDemo)
{
  const client_response response =
    CallHttp(aDemo.mFleet.mRouters[1].mPort, "POST", "/v1/chat/completions",
             MakeCallerHeaders(), MakeChatBody("how deep is the Sabarmati", 5));
  PrintField("response", response);
  return response.mStatus == 200 &&
         response.mJson["choices"][0]["message"]["content"].asString() ==
           "Sabarmati t2 t3 t4 t5 " &&
         response.mJson["usage"]["completion_tokens"].asInt() == 5;
}

bool RepeatOrder(demo& aDemo)
{
  httplib::Headers headers = MakeCallerHeaders();
  headers.emplace("Idempotency-Key", "dye-lot-17");
  Json::Value order;
  order["cloth"] = "indigo, 40 m";
  const int before = ReadPlacedOrders(aDemo.mFleet);
  const std::string path = "/v1/services/orders/orders";
  const client_response first =
    CallHttp(aDemo.mFleet.mRouters[0].mPort, "POST", path, headers, order);
  const client_response second =
    CallHttp(aDemo.mFleet.mRouters[1].mPort, "POST", path, headers, order);
  const int placed = ReadPlacedOrders(aDemo.mFleet) - before;
  PrintField("router-1", first);
  PrintField("router-2", second);
  PrintField("orders placed", std::to_string(placed));
  return first.mStatus == 201 && second.mStatus == 201 &&
         first.mBody == second.mBody && placed == 1;
}

bool AddTrialWorkspace(demo& aDemo)
{
  const fleet_node& router = aDemo.mFleet.mRouters[1];
  aDemo.mOldVersion = ReadConfigVersion(router);
  Json::Value patch;
  patch["if_version"] = Json::UInt64{ aDemo.mOldVersion };
  patch["workspaces"]["trial"] = MakeWorkspaceJson(kTrialKey, kTrialBudget);
  const client_response patched = PatchConfig(router, patch);
  const client_response toppedUp = TopUp(router, kTrialBudget, "trial-1", 100);
  PrintField("patch", patched);
  PrintField("top-up", toppedUp);
  // All routers must have the new version within 5 s.
  const bool everywhere = AwaitCondition(
    [&] {
      for (const fleet_node& other : aDemo.mFleet.mRouters) {
        if (ReadConfigVersion(other) != aDemo.mOldVersion + 1) {
          return false;
        }
      }
      return true;
    },
    5);
  return patched.mStatus == 200 && toppedUp.mStatus == 200 && everywhere;
}

client_response CallTrialWorkspace(const demo& aDemo)
{
  return CallHttp(aDemo.mFleet.mRouters[2].mPort, "POST",
                  "/v1/chat/completions", MakeCallerHeaders(kTrialKey),
                  MakeChatBody("one question", 60));
}

bool ExhaustBudget(demo& aDemo)
{
  int served = 0;
  client_response response;
  // 100 tokens pay for two responses of 32 tokens, but not for a third, which
  // must reserve its limit of 60 tokens.
  while (served < 4 && (response = CallTrialWorkspace(aDemo)).mStatus == 200) {
    ++served;
  }
  PrintField("served", std::to_string(served));
  PrintField("refused", response);
  return served >= 1 && response.mStatus == 402 &&
         GetErrorCode(response) == "budget_exhausted" &&
         FindHeader(response, "X-Foxtailquay-Ran") == "no";
}

bool RejectStalePatch(demo& aDemo)
{
  Json::Value patch;
  patch["if_version"] = Json::UInt64{ aDemo.mOldVersion };
  patch["workspaces"]["trial"] = Json::Value();
  const client_response response = PatchConfig(aDemo.mFleet.mRouters[0], patch);
  PrintField("patch for version " + std::to_string(aDemo.mOldVersion),
             response);
  return response.mStatus == 409 &&
         GetErrorCode(response) == "version_conflict" &&
         ReadConfigVersion(aDemo.mFleet.mRouters[0]) == aDemo.mOldVersion + 1;
}

bool TopUpTwice(demo& aDemo)
{
  const fleet_node& router = aDemo.mFleet.mRouters[0];
  const client_response first = TopUp(router, kTrialBudget, "trial-2", 500);
  const client_response again = TopUp(router, kTrialBudget, "trial-2", 500);
  PrintField("top-up", first);
  PrintField("repeated", again);
  // A router may refuse the request until it has received the new account.
  client_response response;
  const bool served = AwaitCondition(
    [&] {
      response = CallTrialWorkspace(aDemo);
      return response.mStatus == 200;
    },
    10);
  PrintField("response", response);
  return again.mJson["paid_in"].asInt() == 600 && served;
}

// Returns the cost of what the engines and services executed, at the configured
// prices.
int ComputeExecutedCost(const process_fleet& aFleet)
{
  int cost = 0;
  for (const fleet_node& node : aFleet.mAgents) {
    const Json::Value executed = ReadExecutedCalls(node.mPort);
    for (const Json::Value& run : executed["ran"]) {
      cost += run.isMember("model") ? run["prompt_tokens"].asInt() +
                                        run["completion_tokens"].asInt()
                                    : 5;
    }
  }
  return cost;
}

bool CompareBill(demo& aDemo)
{
  int spent = 0;
  const int executed = ComputeExecutedCost(aDemo.mFleet);
  // Settlements are committed in batches, so that the account follows with a
  // delay.
  const bool equal = AwaitCondition(
    [&] {
      spent = 0;
      for (const char* budget : { kBudget, kTrialBudget }) {
        spent +=
          ReadBudget(aDemo.mFleet.mRouters[0], budget).mJson["spent"].asInt();
      }
      return spent == executed;
    },
    20);
  for (const char* budget : { kBudget, kTrialBudget }) {
    PrintField(budget, ReadBudget(aDemo.mFleet.mRouters[0], budget));
  }
  PrintField("billed", std::to_string(spent) +
                         ", executed by the backend servers " +
                         std::to_string(executed));
  return equal && spent > 0;
}

bool StopDuringStream(demo& aDemo)
{
  fleet_node& router = aDemo.mFleet.mRouters[2];
  SetEngineFault(aDemo.mFleet, "token_delay_ms", 100);
  const auto response = StartHttpCall(
    router.mPort, "POST", "/v1/chat/completions", MakeCallerHeaders(),
    MakeChatBody("a long harvest report", 20, true));
  const bool began = AwaitText(*response, "t2 ");
  Signal(router.mProcess, SIGTERM);
  // The router may still accept requests until it has handled the signal.
  const bool refused = AwaitCondition(
    [&] { return CallHttp(router.mPort, "GET", "/readyz").mStatus != 200; },
    20);
  const bool complete = AwaitEnd(*response);
  SetEngineFault(aDemo.mFleet, "token_delay_ms", 0);
  const int code = AwaitExit(router.mProcess);
  PrintField("stream after SIGTERM",
             complete ? "complete, " + std::to_string(response->mText.size()) +
                          " bytes"
                      : "interrupted");
  PrintField("exit code", std::to_string(code));
  return began && refused && complete &&
         response->mText.find("t20 ") != std::string::npos &&
         response->mText.find("data: [DONE]") != std::string::npos && code == 0;
}

// Demonstrates the gateways: two gateways that share one prepaid budget forward
// requests of callers of the users' platform.
bool RunUsersPlatform(demo&)
{
  constexpr std::int64_t kPrepaid = 2000;
  constexpr int kRequests = 40;
  gateway_fleet fleet;
  if (!StartGateways(fleet, kPrepaid, 2)) {
    PrintField("error", "gateways are not ready");
    return false;
  }
  const caller_outcome order = CallHttp(fleet.mGateways[0], "/order/1");
  PrintField("order", "HTTP " + std::to_string(order.mStatus) +
                        ", authenticity mark " + order.mAuthenticityMark);
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto which = static_cast<std::size_t>(i) % fleet.mGateways.size();
    served +=
      CallHttp(fleet.mGateways[which], "/chat/1").mStatus == 200 ? 1 : 0;
  }
  const std::int64_t executed = GetExecutedTokens(fleet);
  PrintField("streams", std::to_string(served) + " of " +
                          std::to_string(kRequests) + " served, " +
                          std::to_string(executed) + " of " +
                          std::to_string(kPrepaid) + " tokens executed");
  Signal(fleet.mGateways[0].mChild, SIGTERM);
  const int code = AwaitExit(fleet.mGateways[0].mChild);
  PrintField("exit code", std::to_string(code));
  return order.mStatus == 200 && served > 0 && served < kRequests &&
         executed <= kPrepaid && code == 0;
}

// A step of the demo; mRun returns whether it succeeded.
struct step
{
  const char* mTitle;
  bool (*mRun)(demo&);
};

constexpr step kSteps[] = {
  { "start the fleet and patch in the first configuration", &StartAll },
  { "stream a completion", &StreamCompletion },
  { "get a completion without streaming", &GetCompletion },
  { "the same order at two routers is placed once", &RepeatOrder },
  { "add a workspace by a patch", &AddTrialWorkspace },
  { "exhaust the budget of a workspace", &ExhaustBudget },
  { "a patch for an old version is rejected", &RejectStalePatch },
  { "top up, twice with the same id", &TopUpTwice },
  { "the bill equals the executed tokens", &CompareBill },
  { "stop a router while it streams", &StopDuringStream },
  { "forward requests of the users' platform through two gateways",
    &RunUsersPlatform },
};

int RunDemo()
{
  demo demo;
  int failed = 0;
  for (const step& step : kSteps) {
    std::cout << "--- " << step.mTitle << std::endl;
    const bool passed = step.mRun(demo);
    std::cout << (passed ? "PASS " : "FAIL ") << step.mTitle << std::endl;
    failed += passed ? 0 : 1;
    if (!passed && step.mRun == &StartAll) {
      break;
    }
  }
  if (failed != 0) {
    demo.mFleet.mKeepLogs = true;
    std::cout << ReadLogTails(demo.mFleet);
  }
  std::cout << (failed == 0 ? "all steps passed"
                            : std::to_string(failed) + " steps failed")
            << std::endl;
  return failed;
}

} // namespace
} // namespace foxtailquay

int main()
{
  return foxtailquay::RunDemo();
}
