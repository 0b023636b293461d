#include "measure.h"

#include <algorithm>
#include <numeric>

#include "boost/histogram/algorithm/sum.hpp"
#include "boost/histogram/ostream.hpp"

namespace foxtailquay {

namespace {

double ComputeRatio(double aFraction, double aWhole)
{
  return aWhole > 0 ? aFraction / aWhole : 0;
}

// Returns the max-min fair shares of aTotal, one for each demand.
std::vector<double> ComputeMaxMinShares(const std::vector<double>& aDemands,
                                        double aTotal)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t aLeft, std::size_t aRight) {
              return aDemands[aLeft] < aDemands[aRight];
            });
  std::vector<double> shares(aDemands.size(), 0);
  double remaining = aTotal;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const double equal = remaining / static_cast<double>(order.size() - i);
    shares[order[i]] = std::min(equal, aDemands[order[i]]);
    remaining -= shares[order[i]];
  }
  return shares;
}

void AddElements(std::vector<double>& aInto, const std::vector<double>& aFrom)
{
  aInto.resize(std::max(aInto.size(), aFrom.size()));
  for (std::size_t i = 0; i < aFrom.size(); ++i) {
    aInto[i] += aFrom[i];
  }
}

} // namespace

class_result::class_result()
  : mFirstToken(boost::histogram::make_histogram(
      time_axis(560, 0.001, 1000.0, "seconds")))
{}

void AddResults(fleet_result& aInto, const fleet_result& aFrom)
{
  for (std::size_t i = 0; i < kRequestClasses; ++i) {
    class_result& into = aInto.mClasses[i];
    const class_result& from = aFrom.mClasses[i];
    into.mOffered += from.mOffered;
    into.mRefused += from.mRefused;
    into.mLate += from.mLate;
    into.mUsefulTokens += from.mUsefulTokens;
    into.mHitTokens += from.mHitTokens;
    into.mPromptTokens += from.mPromptTokens;
    into.mFirstToken += from.mFirstToken;
  }
  aInto.mMeasuredSeconds += aFrom.mMeasuredSeconds;
  AddElements(aInto.mServed, aFrom.mServed);
  AddElements(aInto.mOffered, aFrom.mOffered);
  aInto.mImbalanceSum += aFrom.mImbalanceSum;
  aInto.mImbalanceSamples += aFrom.mImbalanceSamples;
}

double ComputeQuantile(const time_histogram& aHistogram, double aFraction)
{
  const double total = boost::histogram::algorithm::sum(aHistogram);
  const auto& axis = aHistogram.axis();
  double count = 0;
  for (int i = -1; i <= axis.size() && total > 0; ++i) {
    count += static_cast<double>(aHistogram.at(i));
    if (count >= aFraction * total) {
      return axis.value(i + 1);
    }
  }
  return 0;
}

double ComputeLateFraction(const class_result& aClass)
{
  return ComputeRatio(static_cast<double>(aClass.mLate),
                      static_cast<double>(aClass.mOffered - aClass.mRefused));
}

double ComputeHitFraction(const fleet_result& aResult)
{
  double hits = 0;
  double tokens = 0;
  for (const class_result& each : aResult.mClasses) {
    hits += each.mHitTokens;
    tokens += each.mPromptTokens;
  }
  return ComputeRatio(hits, tokens);
}

double ComputeUsefulRate(const fleet_result& aResult)
{
  double tokens = 0;
  for (const class_result& each : aResult.mClasses) {
    tokens += static_cast<double>(each.mUsefulTokens);
  }
  return ComputeRatio(tokens, aResult.mMeasuredSeconds);
}

double ComputeMeanImbalance(const fleet_result& aResult)
{
  return ComputeRatio(aResult.mImbalanceSum, aResult.mImbalanceSamples);
}

double ComputeJainIndex(const fleet_result& aResult)
{
  const double total =
    std::accumulate(aResult.mServed.begin(), aResult.mServed.end(), 0.0);
  const std::vector<double> fair = ComputeMaxMinShares(aResult.mOffered, total);
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    const double part = ComputeRatio(aResult.mServed[i], fair[i]);
    sum += part;
    squares += part * part;
  }
  return ComputeRatio(sum * sum, squares * static_cast<double>(fair.size()));
}

} // namespace foxtailquay
