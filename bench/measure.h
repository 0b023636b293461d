// Results of a benchmark run: histograms of the time to first token, counts per
// request class, fairness.
//
// Not thread-safe.

#ifndef FOXTAILQUAY_BENCH_MEASURE_H
#define FOXTAILQUAY_BENCH_MEASURE_H

#include <array>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "boost/histogram/axis/regular.hpp"
#include "boost/histogram/histogram.hpp"
#include "boost/histogram/make_histogram.hpp"

namespace foxtailquay {

// Bins of equal width on a logarithmic axis, 2.5% each, from 1 ms to 1000 s.
using time_axis =
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>;
using time_histogram = decltype(boost::histogram::make_histogram(
  time_axis(560, 0.001, 1000.0, "seconds")));

// Results of one request class. Counts are of requests sent after the warm-up.
struct class_result
{
  class_result();

  std::uint64_t mOffered = 0;
  std::uint64_t mRefused = 0;
  // Requests whose first token arrived later than 1 s after they were sent.
  std::uint64_t mLate = 0;
  // Output tokens of the requests whose first token arrived within the queue
  // timeout plus 1 s.
  std::uint64_t mUsefulTokens = 0;
  // Prompt tokens that were in the prefix cache of the engine, and all prompt
  // tokens.
  double mHitTokens = 0;
  double mPromptTokens = 0;
  // Time to first token of the admitted requests.
  time_histogram mFirstToken;
};

constexpr std::size_t kRequestClasses = 3;

struct fleet_result
{
  std::array<class_result, kRequestClasses> mClasses;
  double mMeasuredSeconds = 0;
  // Tokens served in time and tokens requested, per workspace.
  std::vector<double> mServed;
  std::vector<double> mOffered;
  // Highest load of an engine divided by the mean load, summed over samples,
  // and the number of samples.
  double mImbalanceSum = 0;
  double mImbalanceSamples = 0;
};

// Adds the results of another run with the same options.
void AddResults(fleet_result& aInto, const fleet_result& aFrom);

// Returns the upper edge, in seconds, of the bin that holds the quantile; 0 for
// an empty histogram.
double ComputeQuantile(const time_histogram& aHistogram, double aFraction);

// Returns the fraction of late requests among the admitted ones.
double ComputeLateFraction(const class_result& aClass);
// Returns the fraction of prompt tokens that were in a prefix cache.
double ComputeHitFraction(const fleet_result& aResult);
// Returns the useful tokens per second.
double ComputeUsefulRate(const fleet_result& aResult);
// Returns the mean of the highest load over the mean load.
double ComputeMeanImbalance(const fleet_result& aResult);

// Returns the Jain index of the tokens served to each workspace relative to its
// max-min fair share of all tokens served; 1 is fair.
double ComputeJainIndex(const fleet_result& aResult);

} // namespace foxtailquay

#endif
