#include "scenario_host.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace foxtailquay::scenario {

namespace {

// Number of trace lines in a report; limits the size of the test log.
constexpr std::size_t kMaxTraceLines = 120;
// Environment variable with the path of a file to which each run writes its
// complete trace, replacing that of the run before.
constexpr const char* kTraceFileVariable = "FOXTAILQUAY_SCENARIO_TRACE";

run_report RunOnce(const sim_charts& aCharts, const scenario_file& aScenario,
                   const run_options& aOptions)
{
  world fleet(aCharts, aScenario.mSeed);
  fleet.mFaults = aOptions.mFaults;
  fleet.mObserver.mEnabledChecks = aOptions.mEnabledChecks;
  fleet.mIsTracing =
    aOptions.mIsTracing || std::getenv(kTraceFileVariable) != nullptr;
  const auto done = RunScenario(aScenario, fleet);
  run_report report;
  report.mPassed = IsOk(done);
  report.mFailure = report.mPassed ? "" : ToString(GetError(done));
  report.mViolations = fleet.mObserver.mViolations;
  const std::size_t lines = fleet.mTrace.size();
  if (const char* path = std::getenv(kTraceFileVariable)) {
    std::ofstream file(path);
    for (const std::string& line : fleet.mTrace) {
      file << line << "\n";
    }
  }
  for (std::size_t i = lines > kMaxTraceLines ? lines - kMaxTraceLines : 0;
       i < lines; ++i) {
    absl::StrAppend(&report.mTrace, fleet.mTrace[i], "\n");
  }
  return report;
}

} // namespace

run_report RunText(const sim_charts& aCharts, const std::string& aText,
                   const std::string& aFile, const run_options& aOptions)
{
  const auto parsed = ParseScenario(aText, aFile);
  if (!IsOk(parsed)) {
    run_report report;
    report.mFailure = ToString(GetError(parsed));
    return report;
  }
  run_report report = RunOnce(aCharts, GetValue(parsed), aOptions);
  if (!report.mPassed && aOptions.mFaults.empty()) {
    run_options traced = aOptions;
    traced.mIsTracing = true;
    report = RunOnce(aCharts, GetValue(parsed), traced);
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

const sim_charts& GetTestCharts()
{
  static const result<sim_charts> kCharts =
    ReadSimCharts(FOXTAILQUAY_SOURCE_DIR);
  if (!IsOk(kCharts)) {
    std::cerr << ToString(GetError(kCharts)) << "\n";
    std::abort();
  }
  return GetValue(kCharts);
}

} // namespace foxtailquay::scenario
