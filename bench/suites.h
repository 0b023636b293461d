// The suites of the policy benchmark: what is run, what is reported and which
// bounds must hold.
//
// Bounds come from the targets of the design (first token within 1 s for 95
// in 100, useful throughput of at least 90% of the peak at twice the capacity)
// and from the baselines of the same run, never from earlier figures.

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
};

constexpr auto NameTable(bench_suite)
{
  return MakeNameTable<bench_suite>({
    { bench_suite::Routing, "routing" },
    { bench_suite::Herding, "herding" },
    { bench_suite::Overload, "overload" },
    { bench_suite::Orders, "orders" },
    { bench_suite::Subsets, "subsets" },
  });
}

struct bench_row
{
  // Columns that say what was run, then those that were measured.
  std::vector<std::pair<std::string, std::string>> mLabels;
  std::vector<std::pair<std::string, double>> mValues;
};

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

// Runs with the seeds 1 to aSeeds.
suite_result RunSuite(bench_suite aSuite, int aSeeds);

// Appends a check that aValue does not exceed, or reaches, the bound.
void CheckAtMost(suite_result& aResult, std::string aName, double aValue,
                 double aBound);
void CheckAtLeast(suite_result& aResult, std::string aName, double aValue,
                  double aBound);

// The suite for orders to load models, in order_suite.cc.
suite_result RunOrderSuite(int aSeeds);

} // namespace foxtailquay

#endif
