// Guards against a router and an agent that cannot serve one request end to
// end: join, configuration, grant, dispatch, response and settlement.

#define BOOST_TEST_MODULE node
#include <boost/test/unit_test.hpp>

#include <deque>
#include <fstream>
#include <map>
#include <sstream>

#include "foxtailquay/agent.h"

namespace foxtailquay {
namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

node_charts_ptr LoadTestCharts()
{
  std::map<std::string, std::string> texts;
  for (const char* name : { "request", "share", "config_patch", "process",
                            "run", "backend_server" }) {
    const std::string file = std::string(name) + ".yaml";
    texts[file] =
      ReadFile(std::string(FOXTAILQUAY_SOURCE_DIR) + "/charts/" + file);
  }
  auto charts = LoadCharts(texts);
  BOOST_REQUIRE_MESSAGE(IsOk(charts),
                        (IsOk(charts) ? "" : ToString(GetError(charts))));
  return GetValue(std::move(charts));
}

// One router, one agent and a store without delays or faults.
struct small_fleet
{
  node_charts_ptr mCharts = LoadTestCharts();
  absl::Time mNow = absl::FromUnixSeconds(1000000);
  std::map<store_key, std::pair<store_version, store_document>> mStore;
  router_ptr mRouter;
  agent_ptr mAgent;
  std::vector<router_action> mRouterActions;
  // If true, runs end after a few tokens with a failure.
  bool mInterruptRuns = false;

  small_fleet()
  {
    node_settings router{ { "r1" }, { "zone-a" }, "127.0.0.1:1", "n1", 1 };
    node_settings agent{ { "e1" }, { "zone-a" }, "127.0.0.1:2", "n2", 2 };
    mRouter = MakeRouter(router, router_options{}, *mCharts);
    mAgent = MakeAgent(agent, agent_options{}, *mCharts);
  }
};

store_response ExecuteStoreRequest(small_fleet& aFleet,
                                   const store_request& aRequest)
{
  store_response response;
  response.mKey = aRequest.mKey;
  response.mStatus = store_status::Ok;
  response.mIsWrite = aRequest.mWrite.has_value();
  const auto found = aFleet.mStore.find(aRequest.mKey);
  const store_version version =
    found == aFleet.mStore.end() ? 0 : found->second.first;
  response.mVersion = version;
  if (!aRequest.mWrite) {
    if (found != aFleet.mStore.end()) {
      response.mDocument = found->second.second;
    }
    return response;
  }
  if (version != aRequest.mIfVersion) {
    response.mStatus = store_status::Conflict;
    return response;
  }
  response.mVersion = version + 1;
  aFleet.mStore[aRequest.mKey] = { version + 1, *aRequest.mWrite };
  return response;
}

void StepRouter(small_fleet& aFleet, router_event aEvent);

void StepAgent(small_fleet& aFleet, agent_event aEvent)
{
  for (agent_action& action :
       Step(*aFleet.mAgent, std::move(aEvent), aFleet.mNow)) {
    if (auto* store = std::get_if<store_action>(&action)) {
      StepAgent(aFleet, store_response_event{
                          ExecuteStoreRequest(aFleet, store->mRequest) });
    } else if (auto* send = std::get_if<send_action>(&action)) {
      StepRouter(aFleet, message_event{ send->mEnvelope });
    } else if (auto* start = std::get_if<start_run_action>(&action)) {
      const request_id id = start->mRun.mRequest;
      StepRouter(aFleet, run_accepted_event{ start->mHandle, id });
      if (aFleet.mInterruptRuns) {
        StepAgent(aFleet, run_ended_event{ start->mHandle, { 10, 2 }, false });
        StepRouter(aFleet,
                   run_failed_event{ start->mHandle,
                                     id,
                                     { 10, 2 },
                                     false,
                                     { error_code::BackendServerFailed,
                                       executed::Unknown, "", "broke off",
                                       absl::ZeroDuration() } });
        continue;
      }
      StepAgent(aFleet, run_ended_event{ start->mHandle, { 10, 20 }, true });
      StepRouter(aFleet,
                 run_finished_event{ start->mHandle, id, { 10, 20 }, {} });
    } else if (auto* refuse = std::get_if<refuse_run_action>(&action)) {
      BOOST_FAIL("refused: " << ToString(refuse->mError));
    }
  }
}

void StepRouter(small_fleet& aFleet, router_event aEvent)
{
  for (router_action& action :
       Step(*aFleet.mRouter, std::move(aEvent), aFleet.mNow)) {
    aFleet.mRouterActions.push_back(action);
    if (auto* store = std::get_if<store_action>(&action)) {
      StepRouter(aFleet, store_response_event{
                           ExecuteStoreRequest(aFleet, store->mRequest) });
    } else if (auto* send = std::get_if<send_action>(&action)) {
      StepAgent(aFleet, message_event{ send->mEnvelope });
    } else if (auto* run = std::get_if<dispatch_action>(&action)) {
      StepAgent(aFleet,
                run_requested_event{ run->mHandle, run->mHeader, run->mRun });
    }
  }
}

void AdvanceTime(small_fleet& aFleet, absl::Duration aTime)
{
  const absl::Time end = aFleet.mNow + aTime;
  while (aFleet.mNow < end) {
    aFleet.mNow += absl::Milliseconds(10);
    StepRouter(aFleet, tick_event{});
    StepAgent(aFleet, tick_event{});
  }
}

config_patch MakeFirstPatch()
{
  config_patch patch;
  patch.mPatchId = "first";
  patch.mModels[{ "m1" }] = model_config{};
  backend_config backend;
  backend.mZone = { "zone-a" };
  backend.mModels = { { "m1" } };
  patch.mBackends[{ "e1" }] = backend;
  workspace_config workspace;
  workspace.mKeyHashes = { std::string(64, 'a') };
  workspace.mBudgets = { { { "b1" }, {} } };
  patch.mWorkspaces[{ "w1" }] = workspace;
  return patch;
}

BOOST_AUTO_TEST_CASE(serves_and_settles_one_request)
{
  small_fleet fleet;
  AdvanceTime(fleet, absl::Seconds(2));
  BOOST_REQUIRE(IsReady(*fleet.mRouter));
  BOOST_REQUIRE(IsReady(*fleet.mAgent));
  StepRouter(fleet, operator_event{ 1, patch_request{ MakeFirstPatch() } });
  StepRouter(fleet,
             operator_event{ 2, top_up_request{ { "b1" }, "t1", 5000 } });
  AdvanceTime(fleet, absl::Seconds(1));
  BOOST_TEST(GetConfig(*fleet.mRouter).mVersion == 1u);

  caller_request_event request;
  request.mHandle = 7;
  request.mKeyHash = std::string(64, 'a');
  request.mTarget = "m1";
  request.mPromptTokensBound = 100;
  request.mMaxTokens = 200;
  StepRouter(fleet, request);
  AdvanceTime(fleet, absl::Seconds(3));
  bool responded = false;
  for (const router_action& action : fleet.mRouterActions) {
    if (const auto* response = std::get_if<caller_response_action>(&action)) {
      const auto* failure = std::get_if<error>(&response->mResponse);
      BOOST_REQUIRE_MESSAGE(failure == nullptr,
                            (failure ? ToString(*failure) : ""));
      responded = true;
    }
  }
  BOOST_TEST(responded);
  const auto shard = ComputeShard(budget_id{ "b1" }, 4);
  const auto& accounts = std::get<account_shard>(
    fleet.mStore.at({ store_area::Accounts, shard }).second);
  BOOST_TEST(ComputeSpent(accounts.mAccounts.at({ "b1" })) == 30);
  BOOST_TEST(Dump(*fleet.mAgent).mRecords == 0u);
}

// Runs the fleet until it is ready, configured and has a budget.
void MakeReady(small_fleet& aFleet)
{
  AdvanceTime(aFleet, absl::Seconds(2));
  StepRouter(aFleet, operator_event{ 1, patch_request{ MakeFirstPatch() } });
  StepRouter(aFleet,
             operator_event{ 2, top_up_request{ { "b1" }, "t1", 5000 } });
  AdvanceTime(aFleet, absl::Seconds(1));
}

caller_request_event MakeCallerRequest(request_handle aHandle)
{
  caller_request_event request;
  request.mHandle = aHandle;
  request.mKeyHash = std::string(64, 'a');
  request.mTarget = "m1";
  request.mPromptTokensBound = 100;
  request.mMaxTokens = 200;
  return request;
}

std::vector<error> ListResponseErrors(const small_fleet& aFleet,
                                      request_handle aHandle)
{
  std::vector<error> errors;
  for (const router_action& action : aFleet.mRouterActions) {
    const auto* response = std::get_if<caller_response_action>(&action);
    if (response != nullptr && response->mHandle == aHandle) {
      const auto* failure = std::get_if<error>(&response->mResponse);
      errors.push_back(failure != nullptr ? *failure : error{});
    }
  }
  return errors;
}

// Guards against reporting a completion as not executed when its first attempt
// was interrupted and its retry found no other backend server.
BOOST_AUTO_TEST_CASE(an_interrupted_attempt_is_not_reported_as_not_executed)
{
  small_fleet fleet;
  MakeReady(fleet);
  fleet.mInterruptRuns = true;
  StepRouter(fleet, MakeCallerRequest(7));
  AdvanceTime(fleet, absl::Seconds(10));
  const auto errors = ListResponseErrors(fleet, 7);
  BOOST_REQUIRE(errors.size() == 1u);
  BOOST_TEST((errors[0].mExecuted == executed::Unknown));
}

// Guards against a request of a disconnected caller that ends without a
// response. The thread that serves the connection would wait for it forever.
BOOST_AUTO_TEST_CASE(a_disconnected_caller_gets_one_response)
{
  small_fleet fleet;
  MakeReady(fleet);
  fleet.mInterruptRuns = true;
  StepRouter(fleet, MakeCallerRequest(7));
  // The caller disconnects while the interrupted attempt waits for its retry.
  StepRouter(fleet, caller_disconnected_event{ 7 });
  AdvanceTime(fleet, absl::Seconds(10));
  BOOST_TEST(ListResponseErrors(fleet, 7).size() == 1u);
}

BOOST_AUTO_TEST_CASE(graceful_stop_returns_the_share)
{
  small_fleet fleet;
  AdvanceTime(fleet, absl::Seconds(2));
  StepRouter(fleet, operator_event{ 1, patch_request{ MakeFirstPatch() } });
  StepRouter(fleet,
             operator_event{ 2, top_up_request{ { "b1" }, "t1", 5000 } });
  AdvanceTime(fleet, absl::Seconds(1));
  caller_request_event request;
  request.mHandle = 7;
  request.mKeyHash = std::string(64, 'a');
  request.mTarget = "m1";
  StepRouter(fleet, request);
  StepRouter(fleet, stop_event{});
  AdvanceTime(fleet, absl::Seconds(3));
  bool stopped = false;
  for (const router_action& action : fleet.mRouterActions) {
    stopped = stopped || std::holds_alternative<stopped_action>(action);
  }
  BOOST_TEST(stopped);
  const auto shard = ComputeShard(budget_id{ "b1" }, 4);
  const account& owner =
    std::get<account_shard>(
      fleet.mStore.at({ store_area::Accounts, shard }).second)
      .mAccounts.at({ "b1" });
  BOOST_TEST(owner.mShares.empty());
  BOOST_TEST(ComputeUnallocated(owner) == 5000 - ComputeSpent(owner));
}

} // namespace
} // namespace foxtailquay
