// Guards against a router and agent that cannot serve one request end to end:
// join, configuration, grant, dispatch, answer, settlement.

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

node_charts_ptr Charts()
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
  node_charts_ptr mCharts = Charts();
  absl::Time mNow = absl::FromUnixSeconds(1000000);
  std::map<store_key, std::pair<store_version, store_document>> mStore;
  router_ptr mRouter;
  agent_ptr mAgent;
  std::vector<router_action> mSeen;
  // Runs break after some tokens instead of finishing.
  bool mBreakRuns = false;

  small_fleet()
  {
    node_settings router{ { "r1" }, { "zone-a" }, "127.0.0.1:1", "n1", 1 };
    node_settings agent{ { "e1" }, { "zone-a" }, "127.0.0.1:2", "n2", 2 };
    mRouter = MakeRouter(router, router_options{}, *mCharts);
    mAgent = MakeAgent(agent, agent_options{}, *mCharts);
  }
};

store_response Serve(small_fleet& aFleet, const store_request& aRequest)
{
  store_response reply;
  reply.mKey = aRequest.mKey;
  reply.mStatus = store_status::Ok;
  reply.mIsWrite = aRequest.mWrite.has_value();
  const auto found = aFleet.mStore.find(aRequest.mKey);
  const store_version version =
    found == aFleet.mStore.end() ? 0 : found->second.first;
  reply.mVersion = version;
  if (!aRequest.mWrite) {
    if (found != aFleet.mStore.end()) {
      reply.mDocument = found->second.second;
    }
    return reply;
  }
  if (version != aRequest.mIfVersion) {
    reply.mStatus = store_status::Conflict;
    return reply;
  }
  reply.mVersion = version + 1;
  aFleet.mStore[aRequest.mKey] = { version + 1, *aRequest.mWrite };
  return reply;
}

void StepRouter(small_fleet& aFleet, router_event aEvent);

void StepAgent(small_fleet& aFleet, agent_event aEvent)
{
  for (agent_action& action :
       Step(*aFleet.mAgent, std::move(aEvent), aFleet.mNow)) {
    if (auto* store = std::get_if<store_action>(&action)) {
      StepAgent(aFleet, store_response_event{ Serve(aFleet, store->mRequest) });
    } else if (auto* send = std::get_if<send_action>(&action)) {
      StepRouter(aFleet, message_event{ send->mEnvelope });
    } else if (auto* start = std::get_if<start_run_action>(&action)) {
      const request_id id = start->mRun.mRequest;
      StepRouter(aFleet, run_accepted_event{ start->mHandle, id });
      if (aFleet.mBreakRuns) {
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
    aFleet.mSeen.push_back(action);
    if (auto* store = std::get_if<store_action>(&action)) {
      StepRouter(aFleet,
                 store_response_event{ Serve(aFleet, store->mRequest) });
    } else if (auto* send = std::get_if<send_action>(&action)) {
      StepAgent(aFleet, message_event{ send->mEnvelope });
    } else if (auto* run = std::get_if<dispatch_action>(&action)) {
      StepAgent(aFleet,
                run_requested_event{ run->mHandle, run->mHeader, run->mRun });
    }
  }
}

void Run(small_fleet& aFleet, absl::Duration aTime)
{
  const absl::Time end = aFleet.mNow + aTime;
  while (aFleet.mNow < end) {
    aFleet.mNow += absl::Milliseconds(10);
    StepRouter(aFleet, tick_event{});
    StepAgent(aFleet, tick_event{});
  }
}

config_patch FirstPatch()
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
  Run(fleet, absl::Seconds(2));
  BOOST_REQUIRE(IsReady(*fleet.mRouter));
  BOOST_REQUIRE(IsReady(*fleet.mAgent));
  StepRouter(fleet, operator_event{ 1, patch_request{ FirstPatch() } });
  StepRouter(fleet,
             operator_event{ 2, top_up_request{ { "b1" }, "t1", 5000 } });
  Run(fleet, absl::Seconds(1));
  BOOST_TEST(GetConfig(*fleet.mRouter).mVersion == 1u);

  caller_request_event ask;
  ask.mHandle = 7;
  ask.mKeyHash = std::string(64, 'a');
  ask.mTarget = "m1";
  ask.mPromptTokensBound = 100;
  ask.mMaxTokens = 200;
  StepRouter(fleet, ask);
  Run(fleet, absl::Seconds(3));
  bool answered = false;
  for (const router_action& action : fleet.mSeen) {
    if (const auto* answer = std::get_if<caller_response_action>(&action)) {
      const auto* refused = std::get_if<error>(&answer->mResponse);
      BOOST_REQUIRE_MESSAGE(refused == nullptr,
                            (refused ? ToString(*refused) : ""));
      answered = true;
    }
  }
  BOOST_TEST(answered);
  const auto shard = ComputeShard(budget_id{ "b1" }, 4);
  const auto& accounts = std::get<account_shard>(
    fleet.mStore.at({ store_area::Accounts, shard }).second);
  BOOST_TEST(ComputeSpent(accounts.mAccounts.at({ "b1" })) == 30);
  BOOST_TEST(Dump(*fleet.mAgent).mRecords == 0u);
}

// A ready fleet that has a budget.
void Prepare(small_fleet& aFleet)
{
  Run(aFleet, absl::Seconds(2));
  StepRouter(aFleet, operator_event{ 1, patch_request{ FirstPatch() } });
  StepRouter(aFleet,
             operator_event{ 2, top_up_request{ { "b1" }, "t1", 5000 } });
  Run(aFleet, absl::Seconds(1));
}

caller_request_event Ask(request_handle aHandle)
{
  caller_request_event ask;
  ask.mHandle = aHandle;
  ask.mKeyHash = std::string(64, 'a');
  ask.mTarget = "m1";
  ask.mPromptTokensBound = 100;
  ask.mMaxTokens = 200;
  return ask;
}

std::vector<error> ErrorsTo(const small_fleet& aFleet, request_handle aHandle)
{
  std::vector<error> errors;
  for (const router_action& action : aFleet.mSeen) {
    const auto* answer = std::get_if<caller_response_action>(&action);
    if (answer != nullptr && answer->mHandle == aHandle) {
      const auto* refused = std::get_if<error>(&answer->mResponse);
      errors.push_back(refused != nullptr ? *refused : error{});
    }
  }
  return errors;
}

// Guards against "did not run" for a completion whose first attempt broke off
// and whose retry found no other backend server.
BOOST_AUTO_TEST_CASE(a_broken_attempt_is_not_answered_as_unrun)
{
  small_fleet fleet;
  Prepare(fleet);
  fleet.mBreakRuns = true;
  StepRouter(fleet, Ask(7));
  Run(fleet, absl::Seconds(10));
  const auto errors = ErrorsTo(fleet, 7);
  BOOST_REQUIRE(errors.size() == 1u);
  BOOST_TEST((errors[0].mExecuted == executed::Unknown));
}

// The thread that serves a connection waits for the final answer, so that a
// request that ends without one would hold it for ever.
BOOST_AUTO_TEST_CASE(a_caller_that_left_is_answered_once)
{
  small_fleet fleet;
  Prepare(fleet);
  fleet.mBreakRuns = true;
  StepRouter(fleet, Ask(7));
  // While the broken attempt waits for its retry.
  StepRouter(fleet, caller_disconnected_event{ 7 });
  Run(fleet, absl::Seconds(10));
  BOOST_TEST(ErrorsTo(fleet, 7).size() == 1u);
}

BOOST_AUTO_TEST_CASE(graceful_stop_returns_the_share)
{
  small_fleet fleet;
  Run(fleet, absl::Seconds(2));
  StepRouter(fleet, operator_event{ 1, patch_request{ FirstPatch() } });
  StepRouter(fleet,
             operator_event{ 2, top_up_request{ { "b1" }, "t1", 5000 } });
  Run(fleet, absl::Seconds(1));
  caller_request_event ask;
  ask.mHandle = 7;
  ask.mKeyHash = std::string(64, 'a');
  ask.mTarget = "m1";
  StepRouter(fleet, ask);
  StepRouter(fleet, stop_event{});
  Run(fleet, absl::Seconds(3));
  bool stopped = false;
  for (const router_action& action : fleet.mSeen) {
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
