// Guards against faults that need several gateways and a sequence of store
// outages, disconnections, kills and power losses: an overspent total, an order
// that is executed twice, a refusal of a request that was executed, an older
// configuration that replaces a newer one, and gateways that do not serve
// requests after the faults have ended.
//
//   gateway_fault_test                   the fixed seeds of CI
//   gateway_fault_test -- SEED [COUNT]   COUNT seeds from SEED on

#define BOOST_TEST_MODULE gateway_fault
#include <boost/test/unit_test.hpp>

#include "chart_texts.h"
#include "gateway_sim/gateway_sim.h"
#include "known_red.h"
#include <algorithm>
#include <cstdlib>
#include <string>

#include "absl/strings/str_cat.h"

namespace foxtailquay::gateway_sim {
namespace {

// The runs of all seeds take less than half a minute of CI time.
constexpr std::uint64_t kSeeds = 40;
constexpr std::uint64_t kLimitSeeds = 8;
constexpr absl::Duration kRunTime = absl::Seconds(60);
// Number of seeds within which an injected fault must be detected.
constexpr std::uint64_t kMaxSeedsPerFault = 12;

std::uint64_t GetArgument(int aIndex, std::uint64_t aDefault)
{
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > aIndex ? std::strtoull(suite.argv[aIndex], nullptr, 10)
                             : aDefault;
}

// Calls aRun with a simulation for each seed: those of the command line, or
// aCount from 1 on. Reports the violations.
template<typename Run>
void CheckSeeds(std::uint64_t aCount, Run aRun, std::size_t aGateways = 3)
{
  const std::uint64_t first = GetArgument(1, 1);
  const std::uint64_t count =
    GetArgument(2, GetArgument(1, 0) != 0 ? 1 : aCount);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const auto sim =
      MakeSim(ReadChartTexts(), seed, injected_fault::None, aGateways);
    aRun(*sim);
    const std::string run = absl::StrCat(
      boost::unit_test::framework::current_test_case().p_name.get(), " seed ",
      seed, ", ", aGateways, " gateways");
    if (!sim->mViolations.empty() &&
        IsKnownFailure("gateway_fault_test", run)) {
      continue;
    }
    for (const violation& each : sim->mViolations) {
      BOOST_ERROR("seed " << seed << ", " << aGateways
                          << " gateways: " << each.mDetail);
    }
  }
}

BOOST_AUTO_TEST_CASE(random_faults_violate_no_invariant)
{
  CheckSeeds(kSeeds, [](fleet_sim& aSim) {
    RunRandomFaults(aSim, kRunTime);
    BOOST_TEST(aSim.mServed > 0);
    CheckService(aSim);
  });
}

// Until 2026-12-04 the simulated servers went on failing one attempt in six
// while the return to service was checked, and with this seed failed all five
// of one gateway.
BOOST_AUTO_TEST_CASE(gateways_serve_all_requests_after_the_faults)
{
  const auto sim = MakeSim(ReadChartTexts(), 52216, injected_fault::None);
  RunRandomFaults(*sim, kRunTime);
  CheckService(*sim);
  for (const violation& each : sim->mViolations) {
    BOOST_ERROR(each.mDetail);
  }
}

// Guards against a configuration that is in force too late on a connected
// gateway, after outages and silent connections in any sequence.
BOOST_AUTO_TEST_CASE(configurations_are_in_force_in_time)
{
  CheckSeeds(kSeeds,
             [](fleet_sim& aSim) { RunConfigurationChanges(aSim, kRunTime); });
}

// Guards against overspent totals when refills, recalls, first parts or their
// responses are lost between gateways that are cut off from each other.
BOOST_AUTO_TEST_CASE(totals_hold_when_gateways_cannot_reach_each_other)
{
  for (const std::size_t gateways : { 2, 3, 7 }) {
    const auto run = [](fleet_sim& aSim) {
      RunPartitions(aSim, kRunTime);
      BOOST_TEST(aSim.mServed > 0);
      CheckService(aSim);
    };
    CheckSeeds(kSeeds, run, gateways);
  }
}

// Guards against overspent totals, and gateways that stop granting tokens,
// after the store has returned to an older state and lost acknowledged grants,
// beside outages, lost responses, kills and power losses.
BOOST_AUTO_TEST_CASE(totals_hold_when_the_store_returns_to_an_older_state)
{
  for (const std::size_t gateways : { 1, 3, 5 }) {
    const auto run = [](fleet_sim& aSim) {
      RunStoreReturns(aSim, kRunTime);
      BOOST_TEST(aSim.mServed > 0);
    };
    CheckSeeds(kSeeds, run, gateways);
  }
}

// With this seed, a grant write of an earlier era that took effect late was
// taken for the newest record, and total w0 was overspent.
BOOST_AUTO_TEST_CASE(a_late_write_does_not_replace_grants_that_were_lost)
{
  const auto sim = MakeSim(ReadChartTexts(), 100409, injected_fault::None);
  RunStoreReturns(*sim, kRunTime);
  for (const violation& each : sim->mViolations) {
    BOOST_ERROR(each.mDetail);
  }
}

// With this seed, all gateways had lost their copies of the grants of w0. One
// of them also knew no record of w1, took the others for witnesses of both, and
// granted w0 by an older record: total w0 was overspent.
BOOST_AUTO_TEST_CASE(a_missing_record_does_not_replace_witnesses_of_others)
{
  const auto sim = MakeSim(ReadChartTexts(), 41105, injected_fault::None);
  RunStoreReturns(*sim, kRunTime);
  for (const violation& each : sim->mViolations) {
    BOOST_ERROR(each.mDetail);
  }
}

// A fleet and the rate that its servers state.
struct limited_fleet
{
  std::size_t mGateways = 0;
  double mRate = 0;
};

// Guards against servers that get more requests than the rate limit that they
// state allows, because each of the gateways that share it uses too much of it.
BOOST_AUTO_TEST_CASE(stated_rate_limits_are_kept_by_all_gateways_together)
{
  const limited_fleet fleets[] = { { 3, 4 }, { 3, 0.5 }, { 8, 10 }, { 30, 5 } };
  for (const limited_fleet& fleet : fleets) {
    const auto run = [&fleet](fleet_sim& aSim) {
      RunRateLimits(aSim, fleet.mRate, kRunTime);
      BOOST_TEST(aSim.mServed > 0);
    };
    CheckSeeds(kLimitSeeds, run, fleet.mGateways);
  }
}

// Guards against requests to servers that have said that they leave or want
// none for a time, while the store says otherwise or nothing.
BOOST_AUTO_TEST_CASE(what_servers_state_of_themselves_is_heeded)
{
  CheckSeeds(kSeeds, [](fleet_sim& aSim) {
    RunServerNotices(aSim, kRunTime);
    BOOST_TEST(aSim.mServed > 0);
  });
}

constexpr std::uint64_t kPromptSeeds = 10;
constexpr absl::Duration kPromptRunTime = absl::Seconds(30);

// Guards against requests of one kind that crash one server after the other:
// once five servers have crashed under a part of a prompt, or three under a
// request that comes again, at most three more of these requests may reach
// servers, and sound requests must be served.
void CheckPoisonousPrompts(crash_moment aMoment, bool aRestarts)
{
  for (const auto& pattern : NameTable(poisonous_pattern{})) {
    for (std::uint64_t seed = 1; seed <= kPromptSeeds; ++seed) {
      const auto sim = MakeSim(ReadChartTexts(), seed, injected_fault::None);
      RunPoisonousPrompts(*sim, { pattern.mValue, aMoment }, aRestarts,
                          kPromptRunTime);
      const prompt_counts& counts = sim->mPrompts;
      BOOST_TEST_CONTEXT("seed " << seed << ", " << pattern.mName << ", "
                                 << ToName(aMoment) << ", "
                                 << counts.mCrashes.size() << " crashes")
      {
        BOOST_TEST(sim->mViolations.empty());
        BOOST_TEST(counts.mLatePoisonous <= 3);
        BOOST_TEST(2 * counts.mSoundDispatched >= counts.mSound);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_poisonous_part_of_prompts_stops_reaching_servers)
{
  CheckPoisonousPrompts(crash_moment::AfterHeaderSection, false);
}

// Guards against crashes that are not counted because no complete header
// section had arrived: such a request looks like one that waited.
BOOST_AUTO_TEST_CASE(crashes_before_the_end_of_the_header_section_count)
{
  CheckPoisonousPrompts(crash_moment::BeforeResponse, false);
  CheckPoisonousPrompts(crash_moment::InHeaderSection, false);
}

// Guards against gateways that forget poisonous requests when they are killed,
// or do not learn of them when they reach the store again.
BOOST_AUTO_TEST_CASE(a_poisonous_part_is_remembered_over_restarts)
{
  CheckPoisonousPrompts(crash_moment::AfterHeaderSection, true);
  CheckPoisonousPrompts(crash_moment::BeforeResponse, true);
}

// Guards against sound requests that are refused because servers crash for
// other reasons.
BOOST_AUTO_TEST_CASE(crashing_servers_do_not_quarantine_sound_prompts)
{
  for (std::uint64_t seed = 1; seed <= kPromptSeeds; ++seed) {
    const auto sim = MakeSim(ReadChartTexts(), seed, injected_fault::None);
    RunCrashingServers(*sim, kPromptRunTime);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(sim->mViolations.empty());
      BOOST_TEST(sim->mPrompts.mCrashes.size() > 10U);
      BOOST_TEST(sim->mPrompts.mSoundQuarantined == 0);
    }
  }
}

struct injected_fault_case
{
  injected_fault mFault;
  violated_invariant mInvariant;
  void (*mRun)(fleet_sim& aSim, absl::Duration aTime);
};

// Guards against checks that can never fail.
BOOST_AUTO_TEST_CASE(injected_faults_are_detected)
{
  const injected_fault_case cases[] = {
    { injected_fault::IgnoreVersions, violated_invariant::Overspent,
      &RunRandomFaults },
    { injected_fault::RepeatTokens, violated_invariant::Overspent,
      &RunRandomFaults },
    { injected_fault::RepeatTokens, violated_invariant::Overspent,
      &RunPartitions },
    { injected_fault::HideTokens, violated_invariant::Overspent,
      &RunRandomFaults },
    { injected_fault::HideEras, violated_invariant::Overspent,
      &RunStoreReturns },
    { injected_fault::DenySending, violated_invariant::ExecutedTwice,
      &RunRandomFaults },
    { injected_fault::HideLimits, violated_invariant::LimitExceeded,
      [](fleet_sim& aSim, absl::Duration aTime) {
        RunRateLimits(aSim, 4, aTime);
      } },
    { injected_fault::HideNotices, violated_invariant::LeavingIgnored,
      &RunServerNotices },
    { injected_fault::HideNotices, violated_invariant::BackoffIgnored,
      &RunServerNotices },
    { injected_fault::DelayTimeouts, violated_invariant::ConfigurationLate,
      &RunConfigurationChanges },
  };
  for (const injected_fault_case& each : cases) {
    bool isFound = false;
    for (std::uint64_t seed = 1; seed <= kMaxSeedsPerFault && !isFound;
         ++seed) {
      const auto sim = MakeSim(ReadChartTexts(), seed, each.mFault);
      each.mRun(*sim, kRunTime);
      isFound = std::any_of(sim->mViolations.begin(), sim->mViolations.end(),
                            [&each](const violation& aViolation) {
                              return aViolation.mInvariant == each.mInvariant;
                            });
    }
    BOOST_TEST(isFound, ToName(each.mFault));
  }
}

} // namespace
} // namespace foxtailquay::gateway_sim
