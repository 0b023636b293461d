#include "scenario_host.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace foxtailquay::scenario {

namespace {

// Enough to see what led to a failure without flooding the log.
constexpr std::size_t kTraceLines = 120;

run_report RunOnce(const sim_charts& aCharts, const scenario_file& aScenario,
                   const std::set<injected_fault>& aFaults, bool aTracing)
{
  world fleet(aCharts, aScenario.mSeed);
  fleet.mFaults = aFaults;
  fleet.mTracing = aTracing;
  const auto done = RunScenario(aScenario, fleet);
  run_report report;
  report.mPassed = IsOk(done);
  report.mFailure = report.mPassed ? "" : ToString(ErrorOf(done));
  report.mViolations = fleet.mObserver.mViolations;
  const std::size_t lines = fleet.mTrace.size();
  for (std::size_t i = lines > kTraceLines ? lines - kTraceLines : 0;
       i < lines; ++i) {
    absl::StrAppend(&report.mTrace, fleet.mTrace[i], "\n");
  }
  return report;
}

} // namespace

run_report RunText(const sim_charts& aCharts, const std::string& aText,
                   const std::string& aFile,
                   const std::set<injected_fault>& aFaults)
{
  const auto parsed = ParseScenario(aText, aFile);
  if (!IsOk(parsed)) {
    run_report report;
    report.mFailure = ToString(ErrorOf(parsed));
    return report;
  }
  run_report report = RunOnce(aCharts, ValueOf(parsed), aFaults, false);
  if (!report.mPassed && aFaults.empty()) {
    report = RunOnce(aCharts, ValueOf(parsed), aFaults, true);
  }
  return report;
}

std::string ReadFile(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

const sim_charts& ChartsForTests()
{
  static const result<sim_charts> kCharts =
    LoadSimCharts(FOXTAILQUAY_SOURCE_DIR);
  if (!IsOk(kCharts)) {
    std::cerr << ToString(ErrorOf(kCharts)) << "\n";
    std::abort();
  }
  return ValueOf(kCharts);
}

} // namespace foxtailquay::scenario
