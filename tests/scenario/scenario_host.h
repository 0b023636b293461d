// Runs scenario texts for test programs and explains failures.

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
  // The failed step or check.
  std::string mFailure;
  std::vector<violation> mViolations;
  // Last events before the failure.
  std::string mTrace;
};

struct run_options
{
  // Test-only faults, and the checks that report; none means all.
  std::set<injected_fault> mFaults;
  std::set<check_kind> mOnly;
  bool mTracing = false;
};

// Runs aText. Without injected faults a failed run is repeated with the trace
// on, which gives the same sequence of events.
run_report RunText(const sim_charts& aCharts, const std::string& aText,
                   const std::string& aFile, const run_options& aOptions = {});

// Content of a file, or an empty text.
std::string ReadFile(const std::string& aPath);

// Charts below the source folder; ends the program if they are invalid.
const sim_charts& ChartsForTests();

} // namespace foxtailquay::scenario

#endif
