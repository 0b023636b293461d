// Guards against faults of several gateways together that need a sequence of
// outages, cuts, kills and power losses: an overspent total, an order that runs
// twice, a refusal that is not true, a configuration that goes back, and
// gateways that do not come back.
//
//   gateway_fault_test                   the fixed seeds of CI
//   gateway_fault_test -- SEED [COUNT]   COUNT seeds from SEED on

#define BOOST_TEST_MODULE gateway_fault
#include <boost/test/unit_test.hpp>

#include "chart_texts.h"
#include "gateway_sim/gateway_sim.h"
#include <algorithm>
#include <cstdlib>

namespace foxtailquay::gateway_sim {
namespace {

// Fits into half a minute of CI.
constexpr std::uint64_t kSeeds = 40;
constexpr absl::Duration kRunTime = absl::Seconds(60);
// Seeds after which a planted fault must have shown.
constexpr std::uint64_t kSeedsPerFault = 12;

std::uint64_t Argument(int aIndex, std::uint64_t aDefault)
{
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > aIndex ? std::strtoull(suite.argv[aIndex], nullptr, 10)
                             : aDefault;
}

BOOST_AUTO_TEST_CASE(random_faults_break_no_promise)
{
  const std::uint64_t first = Argument(1, 1);
  const std::uint64_t count = Argument(2, Argument(1, 0) != 0 ? 1 : kSeeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const auto sim = MakeSim(ReadChartTexts(), seed, planted_fault::None);
    RunRandomFaults(*sim, kRunTime);
    BOOST_TEST(sim->mServed > 0);
    ExpectService(*sim);
    for (const violation& each : sim->mViolations) {
      BOOST_ERROR("seed " << seed << ": " << each.mDetail);
    }
  }
}

struct planted_case
{
  planted_fault mFault;
  broken_promise mPromise;
};

// A check that cannot fail proves nothing.
BOOST_AUTO_TEST_CASE(planted_faults_are_reported)
{
  const planted_case cases[] = {
    { planted_fault::IgnoreVersions, broken_promise::SpentTooMuch },
    { planted_fault::RepeatTokens, broken_promise::SpentTooMuch },
    { planted_fault::HideTokens, broken_promise::SpentTooMuch },
    { planted_fault::DenySending, broken_promise::RanTwice },
  };
  for (const planted_case& each : cases) {
    bool isFound = false;
    for (std::uint64_t seed = 1; seed <= kSeedsPerFault && !isFound; ++seed) {
      const auto sim = MakeSim(ReadChartTexts(), seed, each.mFault);
      RunRandomFaults(*sim, kRunTime);
      isFound = std::any_of(sim->mViolations.begin(), sim->mViolations.end(),
                            [&each](const violation& aViolation) {
                              return aViolation.mPromise == each.mPromise;
                            });
    }
    BOOST_TEST(isFound, ToName(each.mFault));
  }
}

} // namespace
} // namespace foxtailquay::gateway_sim
