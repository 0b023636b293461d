// The suites of the policy benchmark: their runs, reported values and bounds.
//
// Bounds come from the targets of the design (first token within 1 s for 95% of
// the requests, useful throughput of at least 90% of the peak at twice the
// capacity) and from the baselines of the same run, not from earlier results.

#ifndef FOXTAILQUAY_BENCH_SUITES_H
#define FOXTAILQUAY_BENCH_SUITES_H

#include <string>
#include <utility>
#include <vector>

#include "foxtailquay/name_table.h"

namespace foxtailquay {

enum class bench_suite
{
  Routing,
  Herding,
  Overload,
  Orders,
  Subsets,
  Work,
  Choice,
};

constexpr auto NameTable(bench_suite)
{
  return MakeNameTable<bench_suite>({
    { bench_suite::Routing, "routing" },
    { bench_suite::Herding, "herding" },
    { bench_suite::Overload, "overload" },
    { bench_suite::Orders, "orders" },
    { bench_suite::Subsets, "subsets" },
    { bench_suite::Work, "work" },
    { bench_suite::Choice, "choice" },
  });
}

struct bench_row
{
  // Columns that identify the run, then the measured values.
  std::vector<std::pair<std::string, std::string>> mLabels;
  std::vector<std::pair<std::string, double>> mValues;
};

// A bound on a measured value. mName ends with the comparison.
struct bench_check
{
  std::string mName;
  double mValue = 0;
  double mBound = 0;
  bool mPassed = false;
};

struct suite_result
{
  bench_suite mSuite = bench_suite::Routing;
  std::vector<bench_row> mRows;
  std::vector<bench_check> mChecks;
};

// Runs a suite with the seeds 1 to aSeeds.
suite_result RunSuite(bench_suite aSuite, int aSeeds);

// Append the check that aValue is at most, or at least, aBound.
void AddUpperBoundCheck(suite_result& aResult, std::string aName, double aValue,
                        double aBound);
void AddLowerBoundCheck(suite_result& aResult, std::string aName, double aValue,
                        double aBound);

// Runs the suite of model load orders, in order_suite.cc.
suite_result RunOrderSuite(int aSeeds);

// Runs the suite of work estimates, in work_suite.cc.
suite_result RunWorkSuite(int aSeeds);

// Measures the processor time of one choice, in work_suite.cc.
suite_result RunChoiceSuite();

} // namespace foxtailquay

#endif
