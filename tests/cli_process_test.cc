// Guards against a foxtailquayctl that talks to its fake router only: every
// command against a fleet of real processes.

#define BOOST_TEST_MODULE cli_process
#include <boost/test/unit_test.hpp>

#include "cli_run.h"
#include "process_fleet.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

std::string AddressOf(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Runs aLine against all routers of the fleet.
run_outcome Operate(const process_fleet& aFleet, const std::string& aLine)
{
  std::string routers;
  for (const fleet_node& router : aFleet.mRouters) {
    routers += (routers.empty() ? "" : ",") + AddressOf(router.mPort);
  }
  std::vector<std::string> words = Words(aLine);
  words.push_back("--router=" + routers);
  words.push_back("--operator_key_file=" + aFleet.mFolder + "/operator.key");
  return Run(words);
}

// For state and drain, which ask one process.
run_outcome AskHost(const process_fleet& aFleet, const std::string& aLine,
                    const std::string& aKey)
{
  std::vector<std::string> words = Words(aLine);
  words.push_back("--" + aKey + "_key_file=" + aFleet.mFolder + "/" + aKey +
                  ".key");
  return Run(words);
}

struct started_fleet
{
  process_fleet mFleet;

  started_fleet()
  {
    fleet_options options;
    options.mRouters = 2;
    options.mEngines = 1;
    options.mServices = 1;
    const auto started = StartFleet(mFleet, options);
    BOOST_REQUIRE_MESSAGE(IsOk(started), ReadLogTails(mFleet));
  }
};

void CheckExit(const run_outcome& aRun, std::string_view aExit)
{
  BOOST_TEST(ToName(aRun.mExit) == aExit, aRun.mOut + aRun.mErr);
}

// The configuration that is shown can be checked, patched and shown again.
void PatchAndShow(const process_fleet& aFleet)
{
  const scratch folder;
  const run_outcome shown = Operate(aFleet, "config show");
  CheckExit(shown, "ok");
  const std::string file = Write(folder, "now.yaml", shown.mOut);
  CheckExit(Run({ "config", "check", file }), "ok");
  const std::size_t at = shown.mOut.find("version: ");
  BOOST_REQUIRE(at != std::string::npos);
  const std::string version =
    Words(shown.mOut.substr(at + 9, shown.mOut.find('\n', at) - at - 9))[0];
  const std::string patch =
    Write(folder, "patch.yaml",
          "workspaces:\n  trial: {budgets: [{id: trial-main}]}\n");
  const std::string line =
    "config patch --id=p1 --if-version " + version + " " + patch;
  const run_outcome patched = Operate(aFleet, line);
  CheckExit(patched, "ok");
  const run_outcome repeated = Operate(aFleet, line);
  CheckExit(repeated, "ok");
  BOOST_TEST(repeated.mOut == patched.mOut);
  CheckExit(Operate(aFleet, "config patch --id=p2 --if-version " + version +
                              " " + patch),
            "version_conflict");
  const std::string bad =
    Write(folder, "bad.yaml", "\nworkspaces:\n  trial: {budgets: []}\n");
  const std::string next = std::to_string(std::stoi(version) + 1);
  const run_outcome refused =
    Operate(aFleet, "config patch --if-version " + next + " " + bad);
  CheckExit(refused, "refused");
  BOOST_TEST(Has(refused.mErr, "bad.yaml:3: workspaces.trial.budgets"),
             refused.mErr);
}

void PayAndList(const process_fleet& aFleet)
{
  const run_outcome list = Operate(aFleet, "workspace list");
  BOOST_TEST(Has(list.mOut, "trial"), list.mOut);
  const std::string line = "workspace topup trial-main 700 --id=t1";
  CheckExit(Operate(aFleet, line), "ok");
  const run_outcome again = Operate(aFleet, line);
  BOOST_TEST(Has(again.mOut, "trial-main      700      0          700\n"),
             again.mOut);
  const run_outcome usage = Operate(aFleet, "workspace usage trial-main");
  BOOST_TEST(usage.mOut == again.mOut);
  CheckExit(Operate(aFleet, "workspace release trial-main router-9 1"), "ok");
}

BOOST_AUTO_TEST_CASE(commands_work_against_a_real_fleet)
{
  const started_fleet started;
  const process_fleet& fleet = started.mFleet;
  PatchAndShow(fleet);
  PayAndList(fleet);
  const fleet_node& router = fleet.mRouters[0];
  const fleet_node& agent = fleet.mAgents[0];
  const run_outcome state =
    AskHost(fleet, "state " + AddressOf(router.mPort), "operator");
  CheckExit(state, "ok");
  BOOST_TEST(Has(state.mOut, "process.member"), state.mOut);
  BOOST_TEST(Has(state.mOut, router.mMember), state.mOut);
  const run_outcome agentState =
    AskHost(fleet, "state " + AddressOf(agent.mPeerPort), "peer");
  CheckExit(agentState, "ok");
  BOOST_TEST(Has(agentState.mOut, agent.mMember), agentState.mOut);
  CheckExit(AskHost(fleet, "state " + AddressOf(agent.mPeerPort), "operator"),
            "refused");
  CheckExit(AskHost(fleet, "drain " + AddressOf(agent.mPeerPort), "peer"),
            "ok");
  CheckExit(AskHost(fleet, "drain " + AddressOf(router.mPort), "operator"),
            "ok");
  // The other router goes on; the stopped one is passed over.
  CheckExit(Operate(fleet, "workspace usage trial-main"), "ok");
}

} // namespace
} // namespace foxtailquay
