// Measurements of a bench run: histograms of the time to first token, counts
// per class, fairness.

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

struct class_result
{
  class_result();

  std::uint64_t mOffered = 0;
  std::uint64_t mRefused = 0;
  // First token later than 1 s after the request was sent.
  std::uint64_t mLate = 0;
  // First token within the queue timeout and 1 s.
  std::uint64_t mUsefulTokens = 0;
  double mHitTokens = 0;
  double mPromptTokens = 0;
  // Time to first token of the admitted requests.
  time_histogram mFirstToken;
};

constexpr std::size_t kBenchClasses = 3;

struct fleet_result
{
  std::array<class_result, kBenchClasses> mClasses;
  double mMeasuredSeconds = 0;
  // Served and offered tokens per workspace.
  std::vector<double> mServed;
  std::vector<double> mOffered;
  // Largest over mean load of the engines, summed over samples.
  double mSpreadSum = 0;
  double mSpreads = 0;
};

// Adds the counts of another run of the same options.
void Merge(fleet_result& aInto, const fleet_result& aFrom);

// Upper edge of the bin that holds the quantile; 0 for an empty histogram.
double Quantile(const time_histogram& aHistogram, double aPart);

// Late requests over admitted ones.
double LateShare(const class_result& aClass);
double HitShare(const fleet_result& aResult);
double UsefulRate(const fleet_result& aResult);
double MeanSpread(const fleet_result& aResult);

// Jain index of what each workspace was served relative to its max-min fair
// part of all that was served; 1 is fair.
double JainIndex(const fleet_result& aResult);

} // namespace foxtailquay

#endif
