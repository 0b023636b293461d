#include "slowness_period.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

// Factor by which a statement must differ from another one, or from 1, to count
// as different: the figure is measured by the server and varies a little.
constexpr double kMinDifference = 1.25;
// Probability of a statement that tells nothing.
constexpr double kNoise = 0.002;
// Largest difference, as a logarithm, that one server makes between periods.
constexpr float kMaxServerEvidence = 2;
// Standard deviation of the prior, as a logarithm. The bounds are 1.8 and 2.8
// away from the prior period.
constexpr double kPriorSpread = 1;
// Fraction of unusual statements before any, and the number of statements that
// it counts for.
constexpr double kPriorUnusual = 0.15;
constexpr double kPriorStatements = 4;
// Largest fraction of unusual statements that is taken into account.
constexpr double kMaxUnusual = 0.9;

const std::array<double, kPeriodSteps>& GetLogPeriods()
{
  static const std::array<double, kPeriodSteps> periods = [] {
    const double first = std::log(absl::ToDoubleSeconds(kMinSlownessPeriod));
    const double last = std::log(absl::ToDoubleSeconds(kMaxSlownessPeriod));
    std::array<double, kPeriodSteps> logs{};
    for (std::size_t i = 0; i < kPeriodSteps; ++i) {
      logs[i] = first + (last - first) * static_cast<double>(i) /
                          static_cast<double>(kPeriodSteps - 1);
    }
    return logs;
  }();
  return periods;
}

const std::array<double, kPeriodSteps>& GetPeriods()
{
  static const std::array<double, kPeriodSteps> periods = [] {
    std::array<double, kPeriodSteps> seconds{};
    std::transform(GetLogPeriods().begin(), GetLogPeriods().end(),
                   seconds.begin(), [](double aLog) { return std::exp(aLog); });
    return seconds;
  }();
  return periods;
}

double ComputeDecay(absl::Time aSince, absl::Time aNow)
{
  return std::exp(-absl::FDivDuration(
    std::max(absl::ZeroDuration(), aNow - aSince), kPeriodMemory));
}

bool AreDifferent(double aLeft, double aRight)
{
  return std::max(aLeft, aRight) > kMinDifference * std::min(aLeft, aRight);
}

// Counts a statement. Returns the fraction of unusual statements.
double CountStatement(slowness_period& aService, bool aIsUnusual,
                      absl::Time aNow)
{
  const double decay = ComputeDecay(aService.mCountedAt, aNow);
  aService.mStatements = aService.mStatements * decay + 1;
  aService.mUnusual = aService.mUnusual * decay + (aIsUnusual ? 1 : 0);
  aService.mCountedAt = aNow;
  return std::min(kMaxUnusual,
                  (aService.mUnusual + kPriorUnusual * kPriorStatements) /
                    (aService.mStatements + kPriorStatements));
}

// Adds a pair of statements to the evidence. aUnusual: fraction of statements
// that are unusual, with which the second one is equal again by chance.
void AddPair(period_evidence& aEvidence, double aGap, bool aIsEqual,
             double aUnusual)
{
  const auto& periods = GetPeriods();
  for (std::size_t i = 0; i < kPeriodSteps; ++i) {
    const double ended = std::min(1.0, aGap / periods[i]);
    const double different = ended * (1 - aUnusual);
    const double probability = aIsEqual ? 1 - different : different;
    aEvidence[i] +=
      static_cast<float>(std::log(kNoise / 2 + (1 - kNoise) * probability));
  }
}

} // namespace

void LearnPeriod(slowness_period& aService, statement_history& aHistory,
                 double aFactor, absl::Time aNow)
{
  const absl::Duration gap = aNow - aHistory.mStatedAt;
  // Statements in quick succession tell no more than one of them.
  if (gap < kMinSlownessPeriod) {
    return;
  }
  const double unusual =
    CountStatement(aService, AreDifferent(aFactor, 1), aNow);
  const bool isEqual = !AreDifferent(aFactor, aHistory.mFactor);
  const bool isLasting = aNow - aHistory.mSince > kMaxSlownessPeriod;
  if (AreDifferent(aHistory.mFactor, 1) && !isLasting) {
    AddPair(aHistory.mPending, absl::ToDoubleSeconds(gap), isEqual, unusual);
  }
  if (!isEqual) {
    if (AreDifferent(aHistory.mFactor, 1)) {
      const auto decay =
        static_cast<float>(ComputeDecay(aHistory.mLearnedAt, aNow));
      for (std::size_t i = 0; i < kPeriodSteps; ++i) {
        aHistory.mEvidence[i] =
          aHistory.mEvidence[i] * decay + aHistory.mPending[i];
      }
      aHistory.mLearnedAt = aNow;
    }
    aHistory.mPending = {};
    aHistory.mSince = aNow;
    aHistory.mFactor = aFactor;
  }
  aHistory.mStatedAt = aNow;
}

bool HasEvidence(const statement_history& aHistory)
{
  return aHistory.mLearnedAt > absl::InfinitePast();
}

void PoolEvidence(slowness_period& aService, const statement_history& aHistory,
                  absl::Time aNow)
{
  if (!HasEvidence(aHistory)) {
    return;
  }
  const auto decay =
    static_cast<float>(ComputeDecay(aHistory.mLearnedAt, aNow));
  const float highest =
    *std::max_element(aHistory.mEvidence.begin(), aHistory.mEvidence.end());
  aService.mHasEvidence = true;
  for (std::size_t i = 0; i < kPeriodSteps; ++i) {
    aService.mSum[i] +=
      std::max(-kMaxServerEvidence, (aHistory.mEvidence[i] - highest) * decay);
  }
}

void UpdatePeriod(slowness_period& aService)
{
  if (!aService.mHasEvidence) {
    return;
  }
  const auto& logs = GetLogPeriods();
  const double prior = std::log(absl::ToDoubleSeconds(kPriorSlownessPeriod));
  const float highest =
    *std::max_element(aService.mSum.begin(), aService.mSum.end());
  double sum = 0;
  double weights = 0;
  for (std::size_t i = 0; i < kPeriodSteps; ++i) {
    const double distance = (logs[i] - prior) / kPriorSpread;
    const double weight =
      std::exp(aService.mSum[i] - highest - distance * distance / 2);
    sum += weight * logs[i];
    weights += weight;
  }
  aService.mPeriod = absl::Seconds(std::exp(sum / weights));
  aService.mSum = {};
  aService.mHasEvidence = false;
}

} // namespace foxtailquay
