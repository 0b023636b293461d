// Guards against overspending of a prepaid total: by writes with an unknown
// outcome, by tokens that two routers both hold, and by returned grants of dead
// processes whose tokens were spent. Also guards against unspent tokens that
// stay granted to dead processes.

#define BOOST_TEST_MODULE grant
#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

#include "foxtailquay/grant.h"

namespace foxtailquay {
namespace {

constexpr token_count kPrepaid = 100000;
const grant_options kOptions;

grant_clock MakeClock(std::int64_t aSteadyMs)
{
  return { absl::UnixEpoch() + absl::Milliseconds(aSteadyMs), aSteadyMs };
}

grant_holder MakeHolder(const std::string& aId, std::int64_t aStartMs = 0,
                        const std::string& aBoot = "boot")
{
  return { aId, { aBoot, aStartMs } };
}

// Returns a share that was granted aAmount by a confirmed write at time 0.
grant_share MakeGrantedShare(const grant_holder& aHolder, token_count aAmount)
{
  grant_share share;
  share.mNeeded = aAmount;
  const auto plan =
    PlanGrant(share, aHolder, kPrepaid, true, true, kOptions, MakeClock(0));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, aHolder, grant_outcome::Written, plan->mRecord, 1);
  share.mNeeded = 0;
  return share;
}

// Tokens that were spent before their grant is durable would be granted again
// after a crash of the process.
BOOST_AUTO_TEST_CASE(a_grant_is_spendable_only_after_its_write)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share;
  share.mNeeded = 500;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, MakeClock(0));
  BOOST_REQUIRE(plan);
  BOOST_TEST(!Reserve(share, 1, MakeClock(0)));
  RecordGrantWrite(share, holder, grant_outcome::Unknown, {}, 0);
  BOOST_TEST(!Reserve(share, 1, MakeClock(0)));
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 1);
  BOOST_TEST(Reserve(share, 500, MakeClock(0)));
}

// Tokens whose return may still take effect must not be spent.
BOOST_AUTO_TEST_CASE(
  returned_tokens_are_free_again_only_once_the_write_cannot_apply)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 1000);
  const token_count before = share.mFreeTokens;
  BOOST_REQUIRE(PlanReturn(share, holder, MakeClock(10)));
  BOOST_TEST(share.mFreeTokens == 0);
  RecordGrantWrite(share, holder, grant_outcome::Unknown, {}, 0);
  BOOST_TEST(share.mFreeTokens == 0);
  // The next write has the previous entry and the same expected version.
  const auto settling =
    PlanGrant(share, holder, kPrepaid, false, false, kOptions, MakeClock(20));
  BOOST_REQUIRE(settling);
  BOOST_TEST(settling->mExpected == 1U);
  RecordGrantWrite(share, holder, grant_outcome::Written, settling->mRecord, 2);
  BOOST_TEST(share.mFreeTokens == before);
}

// The outcome that a write was not applied does not resolve an earlier write
// with an unknown outcome.
BOOST_AUTO_TEST_CASE(a_failed_write_does_not_resolve_an_earlier_unknown_outcome)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 1000);
  BOOST_REQUIRE(PlanReturn(share, holder, MakeClock(10)));
  RecordGrantWrite(share, holder, grant_outcome::Unknown, {}, 0);
  RecordGrantWrite(share, holder, grant_outcome::NotWritten, {}, 0);
  BOOST_TEST(share.mFreeTokens == 0);
  BOOST_TEST(share.mPending.has_value());
}

// A lowered total must stop the spending immediately and return the free
// tokens.
BOOST_AUTO_TEST_CASE(a_lowered_total_returns_free_tokens)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 50000);
  BOOST_TEST(MaySpend(share, kPrepaid));
  BOOST_TEST(!MaySpend(share, 10000));
  const auto plan =
    PlanGrant(share, holder, 10000, true, false, kOptions, MakeClock(10));
  BOOST_REQUIRE(plan);
  BOOST_TEST(share.mFreeTokens == 0);
  BOOST_TEST(ComputeTotal(plan->mRecord) == 0);
}

// A later incarnation assumes that nothing above the limit was spent, so the
// holder must stop there until the limit expires.
BOOST_AUTO_TEST_CASE(spending_stops_at_the_limit_until_the_time_has_passed)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share;
  share.mVersion = 1;
  share.mFreeTokens = 1000;
  share.mEntry = { 1000, 300, { "boot", 0 } };
  const std::int64_t time = absl::ToInt64Milliseconds(kLimitValidity);
  BOOST_TEST(Reserve(share, 300, MakeClock(time - 1)));
  BOOST_TEST(!Reserve(share, 1, MakeClock(time - 1)));
  BOOST_TEST(Reserve(share, 1, MakeClock(time)));
}

// A write for each refill of another gateway costs several calls a second. With
// half of its tokens, a coordinator still serves the refills until the next
// one.
BOOST_AUTO_TEST_CASE(tokens_ahead_of_need_are_granted_in_few_writes)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 0);
  share.mTokensToHold = 20000;
  share.mPlanned = 1000;
  BOOST_TEST(
    !PlanGrant(share, holder, kPrepaid, true, false, kOptions, MakeClock(10)));
  const auto first =
    PlanGrant(share, holder, kPrepaid, true, true, kOptions, MakeClock(1000));
  BOOST_REQUIRE(first);
  RecordGrantWrite(share, holder, grant_outcome::Written, first->mRecord, 2);
  const token_count held = share.mFreeTokens;
  BOOST_TEST(held >= 20000);
  BOOST_REQUIRE(Reserve(share, held / 4, MakeClock(1010)));
  const auto small =
    PlanGrant(share, holder, kPrepaid, true, true, kOptions, MakeClock(2000));
  BOOST_TEST(
    (!small || ComputeTotal(small->mRecord) == ComputeTotal(share.mRecord)));
}

// Each write of a limit is a call to the store. One that allows the whole grant
// protects nothing.
BOOST_AUTO_TEST_CASE(only_a_limit_below_the_grant_is_renewed)
{
  const grant_holder holder = MakeHolder("a/1");
  // The limit leaves 5% of the total until the demand is known.
  grant_share small = MakeGrantedShare(holder, 4000);
  BOOST_REQUIRE(Reserve(small, 5000, MakeClock(10)));
  BOOST_TEST(!PlanGrant(small, holder, kPrepaid, false, true, kOptions,
                        MakeClock(1000)));
  grant_share large = MakeGrantedShare(holder, 20000);
  const auto renewal =
    PlanGrant(large, holder, kPrepaid, false, true, kOptions, MakeClock(1000));
  BOOST_REQUIRE(renewal);
  BOOST_TEST(renewal->mRecord.mEntries.at("a/1").mLimit <
             renewal->mRecord.mEntries.at("a/1").mGranted);
}

// A request for more than the free tokens must not wait for the next periodic
// write: it was refused before that write.
BOOST_AUTO_TEST_CASE(a_request_beyond_the_free_tokens_is_granted_immediately)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 1000);
  share.mNeeded = share.mFreeTokens + 1;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, MakeClock(10));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 2);
  BOOST_TEST(Reserve(share, share.mNeeded, MakeClock(20)));
}

// A request within the free tokens but beyond the limit must not wait for the
// next periodic write either.
BOOST_AUTO_TEST_CASE(a_request_beyond_the_limit_raises_it_immediately)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share;
  share.mVersion = 1;
  share.mFreeTokens = 50000;
  share.mEntry = { 50000, 20000, { "boot", 0 } };
  share.mRecord.mEntries["a/1"] = share.mEntry;
  share.mNeeded = 20001;
  BOOST_TEST(!Reserve(share, share.mNeeded, MakeClock(10)));
  const auto plan =
    PlanGrant(share, holder, kPrepaid, false, false, kOptions, MakeClock(10));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 2);
  BOOST_TEST(Reserve(share, share.mNeeded, MakeClock(20)));
}

// Until the limit expires, free tokens beyond it cannot be reserved, so they do
// not count as available. A router that can reserve all of its free tokens or
// none returned nothing if some lay beyond its limit, and lost them when its
// process ended.
BOOST_AUTO_TEST_CASE(available_tokens_are_bounded_by_the_limit)
{
  grant_share share;
  share.mVersion = 1;
  share.mFreeTokens = 900;
  share.mUsedTokens = 100;
  share.mEntry = { 1000, 300, { "boot", 0 } };
  BOOST_TEST(ComputeAvailable(share, MakeClock(10)) == 200);
  const std::int64_t time = absl::ToInt64Milliseconds(kLimitValidity);
  BOOST_TEST(ComputeAvailable(share, MakeClock(time)) == 900);
  share.mEntry.mLimit = 2000;
  BOOST_TEST(ComputeAvailable(share, MakeClock(10)) == 900);
}

// If a router held all tokens, a power loss of all machines would leave too few
// for the time after it.
BOOST_AUTO_TEST_CASE(a_router_holds_at_most_a_fraction_of_the_remaining_total)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 0);
  for (int i = 0; i < 100; ++i) {
    RecordDemand(share, kPrepaid, 0, kOptions, MakeClock(0).mNow);
  }
  const token_count left = kPrepaid;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, true, kOptions, MakeClock(1000));
  BOOST_REQUIRE(plan);
  BOOST_TEST(static_cast<double>(plan->mRecord.mEntries.at("a/1").mGranted) <=
             kOptions.mMaxHeldFraction * static_cast<double>(left));
}

// Requests of low priority must not use the tokens that requests of the highest
// priority need in a store outage.
BOOST_AUTO_TEST_CASE(headroom_is_left_for_the_highest_priority)
{
  const absl::Duration always = absl::InfiniteDuration();
  const absl::Time now = MakeClock(0).mNow;
  grant_share share;
  RecordDemand(share, 1000, 1, kOptions, now);
  RecordDemand(share, 9000, 4, kOptions, now);
  RecordDemand(share, 9000, 6, kOptions, now);
  const token_count headroom = ComputeHeadroom(share, 4, always, kOptions, now);
  BOOST_TEST(ComputeHeadroom(share, 1, always, kOptions, now) == 0);
  BOOST_TEST(headroom == 1000 * absl::FDivDuration(kOptions.mHeadroomTime,
                                                   kOptions.mRateWindow));
  // No headroom is left for the priorities in between.
  BOOST_TEST(ComputeHeadroom(share, 6, always, kOptions, now) == headroom);
  BOOST_TEST(ComputeHeadroom(share, 4, absl::Milliseconds(300), kOptions, now) <
             headroom);
  // A workspace with requests of one priority only needs no headroom.
  grant_share uniform;
  RecordDemand(uniform, 9000, 4, kOptions, now);
  BOOST_TEST(ComputeHeadroom(uniform, 4, always, kOptions, now) == 0);
}

// Requests of lower priorities must not use up the total. Otherwise no tokens
// are left for any request after a power loss of all machines.
BOOST_AUTO_TEST_CASE(the_last_part_is_granted_only_for_the_highest_priority)
{
  const grant_holder holder = MakeHolder("a/1");
  const absl::Time now = MakeClock(0).mNow;
  grant_share share = MakeGrantedShare(holder, 0);
  RecordDemand(share, 1000, 1, kOptions, now);
  RecordDemand(share, 9000, 4, kOptions, now);
  share.mRecord.mClosed = 96000;
  share.mRecord.mEntries.clear();
  share.mEntry = {};
  share.mFreeTokens = 0;
  share.mUsedTokens = 0;
  BOOST_TEST(IsExhaustedFor(share, 4, kPrepaid, kOptions));
  BOOST_TEST(!IsExhaustedFor(share, 1, kPrepaid, kOptions));
  grant_share waiting = share;
  waiting.mNeeded = 500;
  const auto refused =
    PlanGrant(waiting, holder, kPrepaid, true, false, kOptions, MakeClock(10));
  BOOST_TEST(!refused.has_value());
  share.mNeeded = 500;
  share.mHighestPriorityNeeded = 500;
  const auto granted =
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, MakeClock(10));
  BOOST_REQUIRE(granted);
  BOOST_TEST(granted->mRecord.mEntries.at("a/1").mGranted >= 500);
  // Without demand of lower priorities nothing is reserved.
  grant_share uniform;
  uniform.mVersion = 1;
  RecordDemand(uniform, 9000, 4, kOptions, now);
  uniform.mRecord.mClosed = 96000;
  BOOST_TEST(!IsExhaustedFor(uniform, 4, kPrepaid, kOptions));
}

// Demand of a high priority that has ended must not keep the last part of the
// total reserved forever.
BOOST_AUTO_TEST_CASE(demand_that_has_ended_reserves_nothing)
{
  grant_share share = MakeGrantedShare(MakeHolder("a/1"), 0);
  RecordDemand(share, 1000, 1, kOptions, MakeClock(0).mNow);
  RecordDemand(share, 9000, 4, kOptions, MakeClock(0).mNow);
  share.mRecord.mClosed = 96000;
  share.mRecord.mEntries.clear();
  BOOST_TEST(IsExhaustedFor(share, 4, kPrepaid, kOptions));
  RecordDemand(share, 9000, 4, kOptions, MakeClock(60000).mNow);
  BOOST_TEST(!IsExhaustedFor(share, 4, kPrepaid, kOptions));
}

struct close_case
{
  std::int64_t mStartMs;
  const char* mBoot;
  token_count mClosed;
};

// Without a limit the whole grant of a killed process would be lost. If the
// limit also applied after a reboot or after it expired, spent tokens would be
// granted again.
BOOST_AUTO_TEST_CASE(a_later_incarnation_closes_the_entry_at_its_limit_if_valid)
{
  const std::int64_t time = absl::ToInt64Milliseconds(kLimitValidity);
  const close_case cases[] = {
    { 2000 + time - 1, "boot", 300 },
    { 2000 + time, "boot", 1000 },
    { 3000, "other boot", 1000 },
    { 1000, "boot", 1000 },
    { 3000, "", 1000 },
  };
  for (const close_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mBoot << " at " << each.mStartMs)
    {
      const grant_holder holder = MakeHolder("a/2", each.mStartMs, each.mBoot);
      grant_share share;
      grant_record record;
      record.mEntries["a/1"] = { 1000, 300, { "boot", 2000 } };
      record.mEntries["ab/1"] = { 50, 10, { "boot", 2000 } };
      RecordGrantWrite(share, holder, grant_outcome::Conflict, record, 7);
      BOOST_TEST(HasEarlierEntries(share, holder));
      const auto plan = PlanGrant(share, holder, kPrepaid, false, false,
                                  kOptions, MakeClock(each.mStartMs));
      BOOST_REQUIRE(plan);
      BOOST_TEST(plan->mRecord.mClosed == each.mClosed);
      // The entry of another router stays.
      BOOST_TEST(plan->mRecord.mEntries.size() == 1U);
    }
  }
}

// --- Random schedules -------------------------------------------------------

struct stored_record
{
  grant_record mRecord;
  store_version mVersion = 0;
};

// A write that may be applied later.
struct delayed_write
{
  grant_plan mPlan;
};

// A router with its open reservations.
struct model_router
{
  grant_holder mHolder;
  grant_share mShare;
  std::vector<token_count> mOpen;
  int mIncarnation = 1;
  int mBoot = 1;
};

// Routers, one stored record, a store whose responses can be lost, and the
// tokens that were actually spent.
struct model
{
  std::mt19937 mRandom;
  std::int64_t mNowMs = 100000;
  stored_record mStore;
  std::vector<delayed_write> mDelayedWrites;
  std::vector<model_router> mRouters;
  token_count mSpent = 0;
  token_count mServed = 0;

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(mRandom);
  }
};

void Restart(model& aModel, model_router& aRouter, std::size_t aNumber)
{
  aRouter.mShare = grant_share{};
  aRouter.mOpen.clear();
  aRouter.mHolder = MakeHolder("router" + std::to_string(aNumber) + "/" +
                                 std::to_string(aRouter.mIncarnation),
                               aModel.mNowMs, std::to_string(aRouter.mBoot));
}

bool WriteIfSame(model& aModel, const grant_plan& aPlan)
{
  if (aModel.mStore.mVersion != aPlan.mExpected) {
    return false;
  }
  aModel.mStore.mRecord = aPlan.mRecord;
  ++aModel.mStore.mVersion;
  return true;
}

void WriteGrant(model& aModel, model_router& aRouter)
{
  aRouter.mShare.mNeeded = aModel.Draw(3) == 0 ? aModel.Draw(4000) : 0;
  aRouter.mShare.mPlanned = aModel.Draw(3) == 0 ? aModel.Draw(20000) : 0;
  if (aModel.Draw(4) == 0) {
    aRouter.mShare.mTokensToHold = aModel.Draw(10000);
  }
  const auto plan =
    PlanGrant(aRouter.mShare, aRouter.mHolder, kPrepaid, aModel.Draw(3) > 0,
              aModel.Draw(2) > 0, kOptions, MakeClock(aModel.mNowMs));
  if (!plan) {
    return;
  }
  const auto recordWrite = [&](grant_outcome aOutcome) {
    RecordGrantWrite(aRouter.mShare, aRouter.mHolder, aOutcome,
                     aModel.mStore.mRecord, aModel.mStore.mVersion);
  };
  switch (aModel.Draw(8)) {
    case 0: // applied, response lost
      WriteIfSame(aModel, *plan);
      recordWrite(grant_outcome::Unknown);
      break;
    case 1: // lost
      recordWrite(grant_outcome::Unknown);
      break;
    case 2: // applied later if its condition still holds
      aModel.mDelayedWrites.push_back({ *plan });
      recordWrite(grant_outcome::Unknown);
      break;
    case 3:
      recordWrite(grant_outcome::NotWritten);
      break;
    default:
      recordWrite(WriteIfSame(aModel, *plan) ? grant_outcome::Written
                                             : grant_outcome::Conflict);
  }
}

// Kills a router. It may have spent all tokens that it had reserved.
void Kill(model& aModel, std::size_t aNumber)
{
  model_router& router = aModel.mRouters[aNumber];
  for (token_count open : router.mOpen) {
    aModel.mSpent += open;
  }
  const bool powerLoss = aModel.Draw(3) == 0;
  aModel.mNowMs += aModel.Draw(6000);
  ++router.mIncarnation;
  router.mBoot += powerLoss ? 1 : 0;
  Restart(aModel, router, aNumber);
}

void Spend(model& aModel, model_router& aRouter)
{
  const token_count amount = 1 + aModel.Draw(3000);
  if (MaySpend(aRouter.mShare, kPrepaid) &&
      Reserve(aRouter.mShare, amount, MakeClock(aModel.mNowMs))) {
    RecordDemand(aRouter.mShare, amount, aModel.Draw(kRequestPriorities),
                 kOptions, MakeClock(aModel.mNowMs).mNow);
    aRouter.mOpen.push_back(amount);
  }
}

void SettleOne(model& aModel, model_router& aRouter)
{
  if (aRouter.mOpen.empty()) {
    return;
  }
  const token_count reserved = aRouter.mOpen.back();
  aRouter.mOpen.pop_back();
  const token_count used = aModel.Draw(static_cast<int>(reserved) + 1);
  Settle(aRouter.mShare, reserved, used);
  aModel.mSpent += used;
  aModel.mServed += used;
}

void Transfer(model& aModel, model_router& aFrom, model_router& aTo)
{
  const token_count amount = 1 + aModel.Draw(3000);
  if (&aFrom == &aTo ||
      !Reserve(aFrom.mShare, amount, MakeClock(aModel.mNowMs))) {
    return;
  }
  if (aModel.Draw(5) > 0) {
    AddReceivedTokens(aTo.mShare, amount);
  }
}

void RunRandomStep(model& aModel)
{
  const std::size_t number = static_cast<std::size_t>(
    aModel.Draw(static_cast<int>(aModel.mRouters.size())));
  model_router& router = aModel.mRouters[number];
  switch (aModel.Draw(20)) {
    case 0:
      if (aModel.Draw(4) == 0) {
        Kill(aModel, number);
      }
      break;
    case 1:
      if (!aModel.mDelayedWrites.empty()) {
        WriteIfSame(aModel, aModel.mDelayedWrites.back().mPlan);
        aModel.mDelayedWrites.pop_back();
      }
      break;
    case 2:
    case 3:
      Transfer(aModel, router,
               aModel.mRouters[static_cast<std::size_t>(
                 aModel.Draw(static_cast<int>(aModel.mRouters.size())))]);
      break;
    case 4:
    case 5:
    case 6:
    case 7:
      WriteGrant(aModel, router);
      break;
    case 8:
    case 9:
    case 10:
      SettleOne(aModel, router);
      break;
    default:
      Spend(aModel, router);
  }
  aModel.mNowMs += aModel.Draw(400);
}

token_count ComputeOpen(const model& aModel)
{
  token_count open = 0;
  for (const model_router& router : aModel.mRouters) {
    for (token_count each : router.mOpen) {
      open += each;
    }
  }
  return open;
}

// Returns the largest number of tokens that the stored record accounts for as
// spent if every process died now.
token_count ComputeCoveredSpending(const model& aModel)
{
  token_count known = aModel.mStore.mRecord.mClosed;
  for (const auto& entry : aModel.mStore.mRecord.mEntries) {
    for (const model_router& router : aModel.mRouters) {
      const std::string& id = router.mHolder.mId;
      if (entry.first.compare(0, id.find('/') + 1, id, 0, id.find('/') + 1) !=
          0) {
        continue;
      }
      const bool isOwn = entry.first == id;
      const std::int64_t end =
        isOwn ? aModel.mNowMs : router.mHolder.mStart.mSteadyMs;
      const boot_time& limitSetAt = entry.second.mLimitSetAt;
      const bool isBound =
        limitSetAt.mBoot == router.mHolder.mStart.mBoot &&
        end - limitSetAt.mSteadyMs < absl::ToInt64Milliseconds(kLimitValidity);
      known += isBound ? std::min(entry.second.mGranted, entry.second.mLimit)
                       : entry.second.mGranted;
    }
  }
  return known;
}

// Kills, power losses, lost and late writes and lost transfers in any order
// must never let the routers spend more than the total, nor more than later
// incarnations would compute from the record.
BOOST_AUTO_TEST_CASE(random_schedules_never_overspend)
{
  constexpr unsigned kSeeds = 3000;
  constexpr int kSteps = 1500;
  token_count served = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    model run;
    run.mRandom.seed(seed);
    run.mRouters.resize(3);
    for (std::size_t i = 0; i < run.mRouters.size(); ++i) {
      Restart(run, run.mRouters[i], i);
    }
    for (int step = 0; step < kSteps; ++step) {
      RunRandomStep(run);
      if (run.mSpent + ComputeOpen(run) > kPrepaid) {
        BOOST_FAIL("seed " << seed << " step " << step << ": "
                           << run.mSpent + ComputeOpen(run) << " of "
                           << kPrepaid);
      }
      if (run.mSpent + ComputeOpen(run) > ComputeCoveredSpending(run)) {
        BOOST_FAIL("seed " << seed << " step " << step << ": spent "
                           << run.mSpent + ComputeOpen(run)
                           << ", the record covers "
                           << ComputeCoveredSpending(run));
      }
    }
    served += run.mServed;
  }
  // The schedules must reach the state in which the total is almost used up.
  BOOST_TEST(served > kPrepaid * token_count{ kSeeds } / 4);
}

// Guards against planned transfers that the limit stops or that take a total
// up.
BOOST_AUTO_TEST_CASE(planned_transfers_are_granted_within_a_third)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share;
  share.mTokensToHold = 0;
  share.mPlanned = kPrepaid;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, true, kOptions, MakeClock(0));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 1);
  const auto third = static_cast<token_count>(kOptions.mMaxHeldFraction *
                                              static_cast<double>(kPrepaid));
  BOOST_TEST(share.mFreeTokens == third);
  // The limit covers all of them.
  BOOST_TEST(Reserve(share, third, MakeClock(10)));
  // Only a coordinator requests tokens for others.
  grant_share other;
  other.mVersion = 1;
  other.mTokensToHold = 0;
  other.mPlanned = kPrepaid;
  BOOST_TEST(
    !PlanGrant(other, holder, kPrepaid, false, false, kOptions, MakeClock(0)));
}

// Returns the share of a router that was granted aAmount in era 1, with the
// record at version 1.
grant_share MakeShareInFirstEra(const grant_holder& aHolder,
                                token_count aAmount)
{
  grant_share share;
  StartEra(share, aHolder, 1);
  share.mNeeded = aAmount;
  const auto plan =
    PlanGrant(share, aHolder, kPrepaid, true, true, kOptions, MakeClock(0));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, aHolder, grant_outcome::Written, plan->mRecord, 1);
  share.mNeeded = 0;
  return share;
}

// Writes the plan to a store that has nothing else, and returns the record.
grant_record TakeOver(grant_share& aShare, const grant_holder& aHolder)
{
  const auto plan =
    PlanGrant(aShare, aHolder, kPrepaid, true, false, kOptions, MakeClock(900));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(aShare, aHolder, grant_outcome::Written, plan->mRecord, 2);
  return plan->mRecord;
}

// Seen on the users' platform: after the store had returned to an older state,
// a write at a version above the stored one never ended, so that nothing was
// granted any more.
BOOST_AUTO_TEST_CASE(a_write_ends_at_a_version_below_the_expected_one)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeGrantedShare(holder, 500);
  share.mVersion = 144;
  share.mNeeded = 2 * share.mFreeTokens;
  BOOST_REQUIRE(
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, MakeClock(10)));
  grant_record older;
  older.mEntries["a/1"].mGranted = 100;
  RecordGrantWrite(share, holder, grant_outcome::Conflict, older, 94);
  BOOST_TEST(!share.mPending);
  BOOST_TEST(share.mVersion == 94U);
}

// A holder knows its own grant; the older record would grant the difference to
// others.
BOOST_AUTO_TEST_CASE(a_holder_restates_its_grant_in_a_new_era)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeShareInFirstEra(holder, 500);
  const token_count granted = share.mEntry.mGranted;
  BOOST_TEST(Reserve(share, 200, MakeClock(10)));
  StartEra(share, holder, 2);
  AdoptRecord(share, {}, 0);
  const grant_record record = TakeOver(share, holder);
  BOOST_TEST(record.mEra == 2U);
  BOOST_TEST(record.mEntries.at("a/1").mGranted == granted);
  BOOST_TEST(share.mUsedTokens == 200);
  BOOST_TEST(!IsFromEarlierEra(share));
}

// What a dead holder may have spent is only in the copies of others.
BOOST_AUTO_TEST_CASE(the_newest_copy_is_taken_over_in_a_new_era)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeShareInFirstEra(holder, 500);
  grant_record older = share.mRecord;
  older.mSequence = 0;
  StartEra(share, holder, 2);
  for (const std::uint64_t sequence : { 7, 9, 8 }) {
    grant_record copy = share.mCopy;
    copy.mEra = 1;
    copy.mSequence = sequence;
    copy.mClosed = static_cast<token_count>(sequence);
    copy.mEntries["dead/1"] = { 1000 + static_cast<token_count>(sequence),
                                10,
                                { "boot", 800 } };
    AddCopy(share, copy);
  }
  AdoptRecord(share, older, 1);
  const grant_record record = TakeOver(share, holder);
  BOOST_TEST(record.mClosed == 9);
  BOOST_TEST(record.mEntries.at("dead/1").mGranted == 1009);
}

// A write of the earlier era may take effect late, after the return, and then
// has the same place in the sequence as a write that was lost.
BOOST_AUTO_TEST_CASE(a_late_write_does_not_replace_the_copy_of_a_lost_one)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeShareInFirstEra(holder, 500);
  grant_record lost = share.mRecord;
  lost.mSequence = 9;
  grant_record late = lost;
  lost.mEntries["dead/1"].mGranted = 1000;
  AddCopy(share, lost);
  StartEra(share, holder, 2);
  AdoptRecord(share, late, 1);
  BOOST_TEST(TakeOver(share, holder).mEntries.count("dead/1") == 1U);
}

// A limit that was set later may have been lost with the store's newest state.
BOOST_AUTO_TEST_CASE(limits_of_an_earlier_era_do_not_bound_what_was_spent)
{
  const grant_holder dead = MakeHolder("a/1");
  const grant_record record = MakeShareInFirstEra(dead, 500).mRecord;
  const grant_holder restarted = MakeHolder("a/2", 700);
  grant_share share;
  StartEra(share, restarted, 2);
  AdoptRecord(share, record, 1);
  const grant_record taken = TakeOver(share, restarted);
  BOOST_TEST(taken.mEntries.count("a/1") == 0U);
  BOOST_TEST(taken.mClosed == record.mEntries.at("a/1").mGranted);
}

// Granted tokens of which no other router knows are given up, since the new
// record does not count them.
BOOST_AUTO_TEST_CASE(withheld_tokens_are_given_up_in_a_new_era)
{
  const grant_holder holder = MakeHolder("a/1");
  grant_share share = MakeShareInFirstEra(holder, 500);
  const token_count granted = share.mEntry.mGranted;
  WithholdTokens(share, 300);
  BOOST_TEST(!Reserve(share, granted, MakeClock(10)));
  StartEra(share, holder, 2);
  BOOST_TEST(share.mEntry.mGranted == granted - 300);
  BOOST_TEST(share.mWithheldTokens == 0);
}

} // namespace
} // namespace foxtailquay
