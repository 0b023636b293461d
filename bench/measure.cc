#include "measure.h"

#include <algorithm>
#include <numeric>

#include "boost/histogram/algorithm/sum.hpp"
#include "boost/histogram/ostream.hpp"

namespace foxtailquay {

namespace {

double Ratio(double aPart, double aComplete)
{
  return aComplete > 0 ? aPart / aComplete : 0;
}

// Max-min fair division of aTotal among demands.
std::vector<double> FairParts(const std::vector<double>& aDemands,
                              double aTotal)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t aLeft, std::size_t aRight) {
              return aDemands[aLeft] < aDemands[aRight];
            });
  std::vector<double> parts(aDemands.size(), 0);
  double left = aTotal;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const double equal = left / static_cast<double>(order.size() - i);
    parts[order[i]] = std::min(equal, aDemands[order[i]]);
    left -= parts[order[i]];
  }
  return parts;
}

void AddTo(std::vector<double>& aInto, const std::vector<double>& aFrom)
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

void Merge(fleet_result& aInto, const fleet_result& aFrom)
{
  for (std::size_t i = 0; i < kBenchClasses; ++i) {
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
  AddTo(aInto.mServed, aFrom.mServed);
  AddTo(aInto.mOffered, aFrom.mOffered);
  aInto.mSpreadSum += aFrom.mSpreadSum;
  aInto.mSpreads += aFrom.mSpreads;
}

double Quantile(const time_histogram& aHistogram, double aPart)
{
  const double total = boost::histogram::algorithm::sum(aHistogram);
  const auto& axis = aHistogram.axis();
  double seen = 0;
  for (int i = -1; i <= axis.size() && total > 0; ++i) {
    seen += static_cast<double>(aHistogram.at(i));
    if (seen >= aPart * total) {
      return axis.value(i + 1);
    }
  }
  return 0;
}

double LateShare(const class_result& aClass)
{
  return Ratio(static_cast<double>(aClass.mLate),
               static_cast<double>(aClass.mOffered - aClass.mRefused));
}

double HitShare(const fleet_result& aResult)
{
  double hits = 0;
  double tokens = 0;
  for (const class_result& each : aResult.mClasses) {
    hits += each.mHitTokens;
    tokens += each.mPromptTokens;
  }
  return Ratio(hits, tokens);
}

double UsefulRate(const fleet_result& aResult)
{
  double tokens = 0;
  for (const class_result& each : aResult.mClasses) {
    tokens += static_cast<double>(each.mUsefulTokens);
  }
  return Ratio(tokens, aResult.mMeasuredSeconds);
}

double MeanSpread(const fleet_result& aResult)
{
  return Ratio(aResult.mSpreadSum, aResult.mSpreads);
}

double JainIndex(const fleet_result& aResult)
{
  const double total =
    std::accumulate(aResult.mServed.begin(), aResult.mServed.end(), 0.0);
  const std::vector<double> fair = FairParts(aResult.mOffered, total);
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    const double part = Ratio(aResult.mServed[i], fair[i]);
    sum += part;
    squares += part * part;
  }
  return Ratio(sum * sum, squares * static_cast<double>(fair.size()));
}

} // namespace foxtailquay
