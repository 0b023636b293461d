// Runs the scenarios in tests/scenarios. Each file states which failure it
// guards against; the checks of tests/scenario/observer.h run in each scenario.
// Also guards against errors in scenario files that the parser would accept.

#define BOOST_TEST_MODULE scenario
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>

#include "known_red.h"
#include "scenario/scenario_host.h"

namespace foxtailquay::scenario {
namespace {

namespace data = boost::unit_test::data;

// Returns the sorted paths of all scenario files.
std::vector<std::string> ListScenarioFiles()
{
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(
         FOXTAILQUAY_SOURCE_DIR "/tests/scenarios")) {
    if (entry.path().extension() == ".yaml") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

BOOST_DATA_TEST_CASE(scenario_keeps_the_invariants,
                     data::make(ListScenarioFiles()), path)
{
  const std::string name = std::filesystem::path(path).filename().string();
  const run_report report = RunText(GetTestCharts(), ReadFile(path), name);
  const std::string stem = std::filesystem::path(path).stem().string();
  if (!report.mPassed && IsKnownFailure("scenario_test", stem)) {
    return;
  }
  BOOST_CHECK_MESSAGE(report.mPassed, report.mFailure << "\n" << report.mTrace);
}

struct bad_scenario
{
  const char* mStep;
  // Expected file and line of the error.
  const char* mField;
  // Expected part of the error's text.
  const char* mDetail;
};

BOOST_AUTO_TEST_CASE(rejects_bad_scenarios_with_file_and_line)
{
  const bad_scenario cases[] = {
    { "- explode: r1", "bad.yaml:4", "unknown word" },
    { "- kill: {proces: r1}", "bad.yaml:4", "unknown word" },
    { "- top_up: {at: r1, as: t, budget: b}", "bad.yaml:4", "amount" },
    { "- advance: soon", "bad.yaml:4", "duration" },
    { "- store: sideways", "bad.yaml:4", "unknown word" },
    { "- expect: {request: q, outcome: fine}", "bad.yaml:4", "unknown word" },
    { "- send: {at: r1, as: q, workspace: w, tokens: many}", "bad.yaml:4",
      "wrong type" },
    { "- config: {models: {m: {colour: red}}}", "bad.yaml:4", "unknown word" },
    { "- [", "bad.yaml:5", "" },
  };
  for (const bad_scenario& bad : cases) {
    const auto parsed = ParseScenario(
      std::string("scenario: bad\nguards: none\nsteps:\n") + bad.mStep + "\n",
      "bad.yaml");
    BOOST_REQUIRE_MESSAGE(!IsOk(parsed), "accepted: " << bad.mStep);
    BOOST_TEST(GetError(parsed).mField == bad.mField);
    BOOST_TEST(GetError(parsed).mDetail.find(bad.mDetail) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(reports_a_process_that_does_not_exist)
{
  const run_report report =
    RunText(GetTestCharts(),
            "scenario: bad\nguards: none\nsteps:\n- kill: r9\n", "bad.yaml");
  BOOST_TEST(!report.mPassed);
  BOOST_TEST(report.mFailure.find("bad.yaml:4") != std::string::npos);
}

} // namespace
} // namespace foxtailquay::scenario
