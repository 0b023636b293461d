// Guards against a foxtailquayctl that works with the fake router of its other
// tests but not with real routers and agents: runs the commands against a fleet
// of real processes.

#define BOOST_TEST_MODULE cli_process
#include <boost/test/unit_test.hpp>

#include "cli_run.h"
#include "process_fleet.h"
#include "wire/document_codec.h"

namespace foxtailquay {
namespace {

std::string MakeAddress(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Runs aLine with all routers of the fleet and the operator key.
run_outcome RunAgainstRouters(const process_fleet& aFleet,
                              const std::string& aLine)
{
  std::string routers;
  for (const fleet_node& router : aFleet.mRouters) {
    routers += (routers.empty() ? "" : ",") + MakeAddress(router.mPort);
  }
  std::vector<std::string> words = SplitWords(aLine);
  words.push_back("--router=" + routers);
  words.push_back("--operator_key_file=" + aFleet.mFolder + "/operator.key");
  return RunCli(words);
}

// Runs "state" or "drain", which call one process, with the key file of aKey.
run_outcome RunAgainstHost(const process_fleet& aFleet,
                           const std::string& aLine, const std::string& aKey)
{
  std::vector<std::string> words = SplitWords(aLine);
  words.push_back("--" + aKey + "_key_file=" + aFleet.mFolder + "/" + aKey +
                  ".key");
  return RunCli(words);
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

// Checks that the printed configuration passes the check and can be patched,
// that a repeated patch takes effect once, and that a refused patch is reported
// with its line.
void CheckConfigCommands(const process_fleet& aFleet)
{
  const scratch_folder folder;
  const run_outcome shown = RunAgainstRouters(aFleet, "config show");
  CheckExit(shown, "ok");
  const std::string file = WriteFile(folder, "now.yaml", shown.mOut);
  CheckExit(RunCli({ "config", "check", file }), "ok");
  const std::size_t at = shown.mOut.find("version: ");
  BOOST_REQUIRE(at != std::string::npos);
  const std::string version = SplitWords(
    shown.mOut.substr(at + 9, shown.mOut.find('\n', at) - at - 9))[0];
  const std::string patch =
    WriteFile(folder, "patch.yaml",
              "workspaces:\n  trial: {budgets: [{id: trial-main}]}\n");
  const std::string line =
    "config patch --id=p1 --if-version " + version + " " + patch;
  const run_outcome patched = RunAgainstRouters(aFleet, line);
  CheckExit(patched, "ok");
  const run_outcome repeated = RunAgainstRouters(aFleet, line);
  CheckExit(repeated, "ok");
  BOOST_TEST(repeated.mOut == patched.mOut);
  CheckExit(RunAgainstRouters(aFleet, "config patch --id=p2 --if-version " +
                                        version + " " + patch),
            "version_conflict");
  const std::string bad =
    WriteFile(folder, "bad.yaml", "\nworkspaces:\n  trial: {budgets: []}\n");
  const std::string next = std::to_string(std::stoi(version) + 1);
  const run_outcome refused =
    RunAgainstRouters(aFleet, "config patch --if-version " + next + " " + bad);
  CheckExit(refused, "refused");
  BOOST_TEST(Contains(refused.mErr, "bad.yaml:3: workspaces.trial.budgets"),
             refused.mErr);
}

// Checks that a repeated top-up is applied once and that the account is
// printed.
void CheckTopUpAndUsage(const process_fleet& aFleet)
{
  const run_outcome list = RunAgainstRouters(aFleet, "workspace list");
  BOOST_TEST(Contains(list.mOut, "trial"), list.mOut);
  const std::string line = "workspace topup trial-main 700 --id=t1";
  CheckExit(RunAgainstRouters(aFleet, line), "ok");
  const run_outcome again = RunAgainstRouters(aFleet, line);
  BOOST_TEST(Contains(again.mOut, "trial-main      700      0          700\n"),
             again.mOut);
  const run_outcome usage =
    RunAgainstRouters(aFleet, "workspace usage trial-main");
  BOOST_TEST(usage.mOut == again.mOut);
  CheckExit(
    RunAgainstRouters(aFleet, "workspace release trial-main router-9 1"), "ok");
}

BOOST_AUTO_TEST_CASE(commands_work_against_a_real_fleet)
{
  const started_fleet started;
  const process_fleet& fleet = started.mFleet;
  CheckConfigCommands(fleet);
  CheckTopUpAndUsage(fleet);
  const fleet_node& router = fleet.mRouters[0];
  const fleet_node& agent = fleet.mAgents[0];
  const run_outcome state =
    RunAgainstHost(fleet, "state " + MakeAddress(router.mPort), "operator");
  CheckExit(state, "ok");
  BOOST_TEST(Contains(state.mOut, "process.member"), state.mOut);
  BOOST_TEST(Contains(state.mOut, router.mMember), state.mOut);
  const run_outcome agentState =
    RunAgainstHost(fleet, "state " + MakeAddress(agent.mPeerPort), "peer");
  CheckExit(agentState, "ok");
  BOOST_TEST(Contains(agentState.mOut, agent.mMember), agentState.mOut);
  CheckExit(
    RunAgainstHost(fleet, "state " + MakeAddress(agent.mPeerPort), "operator"),
    "refused");
  CheckExit(
    RunAgainstHost(fleet, "drain " + MakeAddress(agent.mPeerPort), "peer"),
    "ok");
  CheckExit(
    RunAgainstHost(fleet, "drain " + MakeAddress(router.mPort), "operator"),
    "ok");
  // The first router has stopped, so that the command must use the other one.
  CheckExit(RunAgainstRouters(fleet, "workspace usage trial-main"), "ok");
}

} // namespace
} // namespace foxtailquay
