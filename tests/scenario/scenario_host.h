// Runs scenario texts for test programs and reports failures with a trace.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SCENARIO_HOST_H
#define FOXTAILQUAY_TESTS_SCENARIO_SCENARIO_HOST_H

#include <set>
#include <string>
#include <vector>

#include "scenario.h"

namespace foxtailquay::scenario {

struct run_report
{
  bool mPassed = false;
  // Error text of the failed step or check; empty if the run passed.
  std::string mFailure;
  std::vector<violation> mViolations;
  // The last events before the failure, one a line; empty without tracing.
  std::string mTrace;
};

struct run_options
{
  // Faults to inject.
  std::set<injected_fault> mFaults;
  // Checks whose violations count; empty means all.
  std::set<check_kind> mEnabledChecks;
  bool mIsTracing = false;
};

// Runs the scenario in aText. A failed run without injected faults is repeated
// with tracing, which gives the same sequence of events.
run_report RunText(const sim_charts& aCharts, const std::string& aText,
                   const std::string& aFile, const run_options& aOptions = {});

// Returns the content of a file, or an empty string if it cannot be read.
std::string ReadFile(const std::string& aPath);

// Returns the charts of the source folder. Aborts the program if they are
// invalid.
const sim_charts& GetTestCharts();

} // namespace foxtailquay::scenario

#endif
