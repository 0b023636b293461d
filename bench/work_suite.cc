// Suite of the work estimates: gateways in front of servers of uneven speed,
// with and without stated slowness and learned rates, and the processor time of
// a choice.

#include <algorithm>

#include "absl/strings/str_format.h"
#include "suites.h"
#include "work_sim.h"

namespace foxtailquay {

namespace {

struct work_case
{
  const char* mName;
  bool mUsesSlowness;
  bool mLearns;
  // Whether prompts are reported as before, each at once to 8 gateways, and the
  // affinity has its earlier weight of 4.
  bool mIsEarlier;
  double mLostReports;
};

constexpr work_case kCases[] = {
  { "constants", false, false, true, 0 },
  { "stated", true, false, true, 0 },
  { "learned", false, true, false, 0 },
  { "both", true, true, false, 0 },
  { "constants, reports lost", false, false, true, 1 },
  { "both, reports lost", true, true, false, 1 },
};

double FindQuantile(std::vector<double> aTimes, double aFraction)
{
  if (aTimes.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
    static_cast<double>(aTimes.size() - 1) * aFraction);
  std::nth_element(aTimes.begin(), aTimes.begin() + index, aTimes.end());
  return aTimes[static_cast<std::size_t>(index)];
}

bench_row MakeRow(const char* aFleet, const work_case& aCase,
                  const work_result& aResult)
{
  bench_row row;
  row.mLabels = { { "fleet", aFleet }, { "estimates", aCase.mName } };
  row.mValues = {
    { "long_late", aResult.mLongLate / std::max(1.0, aResult.mLong) },
    { "short_late", aResult.mShortLate / std::max(1.0, aResult.mShort) },
    { "p50_s", FindQuantile(aResult.mFirstTimes, 0.5) },
    { "p99_s", FindQuantile(aResult.mFirstTimes, 0.99) },
    { "repeated_ktokens", aResult.mRepeatedTokens / 1000 },
    { "reports", aResult.mMessages },
    { "max_over_mean",
      aResult.mImbalanceSum / std::max(1.0, aResult.mImbalanceSamples) },
  };
  return row;
}

// The estimates must not make more requests late than the constants, in the
// same run, also if all reports between gateways are lost.
void CheckAgainst(suite_result& aSuite, const std::string& aWhere,
                  const work_result& aResult, const work_result& aConstants)
{
  const auto late = [](const work_result& aEach) {
    return (aEach.mLongLate + aEach.mShortLate) /
           std::max(1.0, aEach.mLong + aEach.mShort);
  };
  AddUpperBoundCheck(aSuite, aWhere + " late", late(aResult),
                     late(aConstants) + 0.001);
}

void RunWorkCases(suite_result& aSuite, const char* aFleet,
                  work_fleet_options aOptions, int aSeeds)
{
  work_result constants;
  for (const work_case& each : kCases) {
    if (!aOptions.mIsEngine && each.mLostReports > 0) {
      continue;
    }
    aOptions.mUsesSlowness = each.mUsesSlowness;
    aOptions.mLearns = each.mLearns;
    aOptions.mLostReports = each.mLostReports;
    const work_fleet_options defaults;
    aOptions.mAffinityWeight = each.mIsEarlier ? 4 : defaults.mAffinityWeight;
    aOptions.mLargePrompt = each.mIsEarlier ? 0 : defaults.mLargePrompt;
    aOptions.mLargeTargets = each.mIsEarlier ? 8 : defaults.mLargeTargets;
    work_result result;
    for (int seed = 1; seed <= aSeeds; ++seed) {
      AddWorkResult(result,
                    RunWorkFleet(aOptions, static_cast<std::uint64_t>(seed)));
    }
    aSuite.mRows.push_back(MakeRow(aFleet, each, result));
    if (!each.mLearns && !each.mUsesSlowness) {
      constants = result;
    }
    if (each.mLearns && each.mUsesSlowness) {
      CheckAgainst(aSuite, absl::StrFormat("%s, %s", aFleet, each.mName),
                   result, constants);
    }
  }
}

// Compares the learned period of slowness with the prior, for servers that are
// slow for shorter and longer times.
void RunPeriodCases(suite_result& aSuite, const char* aFleet,
                    work_fleet_options aOptions, int aSeeds)
{
  for (int ms : { 150, 600, 3000 }) {
    aOptions.mSlowPeriod = absl::Milliseconds(ms);
    for (bool learns : { false, true }) {
      aOptions.mLearnsPeriod = learns;
      work_result result;
      for (int seed = 1; seed <= aSeeds; ++seed) {
        AddWorkResult(result,
                      RunWorkFleet(aOptions, static_cast<std::uint64_t>(seed)));
      }
      const std::string name = absl::StrFormat("%s, %d ms", aFleet, ms);
      const work_case each{ learns ? "period learned" : "period 600 ms", true,
                            true, false, 0 };
      aSuite.mRows.push_back(MakeRow(name.c_str(), each, result));
    }
  }
}

// Reports the processor time of one choice.
void AddChoiceRows(suite_result& aSuite)
{
  for (int servers : { 12, 43, 600 }) {
    for (bool learns : { false, true }) {
      bench_row row;
      row.mLabels = { { "fleet", absl::StrFormat("choice of %d", servers) },
                      { "estimates", learns ? "both" : "constants" } };
      row.mValues = { { "ns", MeasureChoice(servers, learns) } };
      aSuite.mRows.push_back(std::move(row));
    }
  }
}

} // namespace

suite_result RunWorkSuite(int aSeeds)
{
  suite_result suite;
  work_fleet_options engines;
  RunWorkCases(suite, "uneven engines", engines, aSeeds);
  work_fleet_options even = engines;
  even.mSpeeds = { 1.0 };
  even.mSlowFraction = 0;
  RunWorkCases(suite, "even engines", even, aSeeds);
  work_fleet_options plain;
  plain.mIsEngine = false;
  plain.mServers = 4;
  plain.mSlots = 6;
  plain.mSpeeds = { 1.0 };
  plain.mRequestsPerSecond = 150;
  RunWorkCases(suite, "plain servers", plain, aSeeds);
  RunPeriodCases(suite, "engines", engines, aSeeds);
  RunPeriodCases(suite, "plain", plain, aSeeds);
  return suite;
}

suite_result RunChoiceSuite()
{
  suite_result suite;
  AddChoiceRows(suite);
  return suite;
}

} // namespace foxtailquay
