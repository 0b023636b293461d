// Guards against overspending of prepaid totals: by writes with an unknown
// outcome, by tokens that two routers both hold, and by grants of dead
// processes that are taken back although they were spent. Also guards against
// tokens that stay with dead processes for no reason.

#define BOOST_TEST_MODULE grant
#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

#include "foxtailquay/grant.h"

namespace foxtailquay {
namespace {

constexpr token_count kPrepaid = 100000;
const grant_options kOptions;

grant_clock At(std::int64_t aSteadyMs)
{
  return { absl::UnixEpoch() + absl::Milliseconds(aSteadyMs), aSteadyMs };
}

grant_holder Holder(const std::string& aId, std::int64_t aStartMs = 0,
                    const std::string& aBoot = "boot")
{
  return { aId, { aBoot, aStartMs } };
}

// A share that was granted aAmount by a confirmed write at time 0.
grant_share Granted(const grant_holder& aHolder, token_count aAmount)
{
  grant_share share;
  share.mNeeded = aAmount;
  const auto plan =
    PlanGrant(share, aHolder, kPrepaid, true, true, kOptions, At(0));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, aHolder, grant_outcome::Written, plan->mRecord, 1);
  share.mNeeded = 0;
  return share;
}

// Spending before the grant is durable would be lost with the process.
BOOST_AUTO_TEST_CASE(a_grant_is_spendable_only_after_its_write)
{
  const grant_holder holder = Holder("a/1");
  grant_share share;
  share.mNeeded = 500;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, At(0));
  BOOST_REQUIRE(plan);
  BOOST_TEST(!Reserve(share, 1, At(0)));
  RecordGrantWrite(share, holder, grant_outcome::Unknown, {}, 0);
  BOOST_TEST(!Reserve(share, 1, At(0)));
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 1);
  BOOST_TEST(Reserve(share, 500, At(0)));
}

// A return that may still take effect must not be spent meanwhile.
BOOST_AUTO_TEST_CASE(returned_tokens_come_back_only_when_the_write_is_dead)
{
  const grant_holder holder = Holder("a/1");
  grant_share share = Granted(holder, 1000);
  const token_count before = share.mFreeTokens;
  BOOST_REQUIRE(PlanReturn(share, holder, At(10)));
  BOOST_TEST(share.mFreeTokens == 0);
  RecordGrantWrite(share, holder, grant_outcome::Unknown, {}, 0);
  BOOST_TEST(share.mFreeTokens == 0);
  // The next write repeats the old entry at the same version.
  const auto settling =
    PlanGrant(share, holder, kPrepaid, false, false, kOptions, At(20));
  BOOST_REQUIRE(settling);
  BOOST_TEST(settling->mExpected == 1U);
  RecordGrantWrite(share, holder, grant_outcome::Written, settling->mRecord, 2);
  BOOST_TEST(share.mFreeTokens == before);
}

// An answer that nothing was written says nothing about an earlier write with
// an unknown outcome.
BOOST_AUTO_TEST_CASE(a_refused_write_does_not_settle_an_unknown_one)
{
  const grant_holder holder = Holder("a/1");
  grant_share share = Granted(holder, 1000);
  BOOST_REQUIRE(PlanReturn(share, holder, At(10)));
  RecordGrantWrite(share, holder, grant_outcome::Unknown, {}, 0);
  RecordGrantWrite(share, holder, grant_outcome::NotWritten, {}, 0);
  BOOST_TEST(share.mFreeTokens == 0);
  BOOST_TEST(share.mPending.has_value());
}

// A lowered total must stop spending at once and bring the tokens back.
BOOST_AUTO_TEST_CASE(a_lowered_total_takes_free_tokens_back)
{
  const grant_holder holder = Holder("a/1");
  grant_share share = Granted(holder, 50000);
  BOOST_TEST(MaySpend(share, kPrepaid));
  BOOST_TEST(!MaySpend(share, 10000));
  const auto plan =
    PlanGrant(share, holder, 10000, true, false, kOptions, At(10));
  BOOST_REQUIRE(plan);
  BOOST_TEST(share.mFreeTokens == 0);
  BOOST_TEST(ComputeTotal(plan->mRecord) == 0);
}

// Beyond the limit a later incarnation would not know what was spent.
BOOST_AUTO_TEST_CASE(spending_stops_at_the_limit_until_the_time_has_passed)
{
  const grant_holder holder = Holder("a/1");
  grant_share share;
  share.mVersion = 1;
  share.mFreeTokens = 1000;
  share.mEntry = { 1000, 300, { "boot", 0 } };
  const std::int64_t time = absl::ToInt64Milliseconds(kLimitValidity);
  BOOST_TEST(Reserve(share, 300, At(time - 1)));
  BOOST_TEST(!Reserve(share, 1, At(time - 1)));
  BOOST_TEST(Reserve(share, 1, At(time)));
}

// A large request waited for the next regular check, and was refused before.
BOOST_AUTO_TEST_CASE(a_request_beyond_the_free_tokens_is_granted_at_once)
{
  const grant_holder holder = Holder("a/1");
  grant_share share = Granted(holder, 1000);
  share.mNeeded = share.mFreeTokens + 1;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, At(10));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 2);
  BOOST_TEST(Reserve(share, share.mNeeded, At(20)));
}

// The same for one within the free tokens but beyond the limit.
BOOST_AUTO_TEST_CASE(a_request_beyond_the_limit_moves_it_at_once)
{
  const grant_holder holder = Holder("a/1");
  grant_share share;
  share.mVersion = 1;
  share.mFreeTokens = 50000;
  share.mEntry = { 50000, 20000, { "boot", 0 } };
  share.mRecord.mEntries["a/1"] = share.mEntry;
  share.mNeeded = 20001;
  BOOST_TEST(!Reserve(share, share.mNeeded, At(10)));
  const auto plan =
    PlanGrant(share, holder, kPrepaid, false, false, kOptions, At(10));
  BOOST_REQUIRE(plan);
  RecordGrantWrite(share, holder, grant_outcome::Written, plan->mRecord, 2);
  BOOST_TEST(Reserve(share, share.mNeeded, At(20)));
}

// A router that returned all or nothing kept what lay beyond its limit, and the
// tokens were lost with it.
BOOST_AUTO_TEST_CASE(what_the_limit_lets_out_is_available)
{
  grant_share share;
  share.mVersion = 1;
  share.mFreeTokens = 900;
  share.mUsedTokens = 100;
  share.mEntry = { 1000, 300, { "boot", 0 } };
  BOOST_TEST(ComputeAvailable(share, At(10)) == 200);
  const std::int64_t time = absl::ToInt64Milliseconds(kLimitValidity);
  BOOST_TEST(ComputeAvailable(share, At(time)) == 900);
  share.mEntry.mLimit = 2000;
  BOOST_TEST(ComputeAvailable(share, At(10)) == 900);
}

// A power loss of all machines would leave too little for the time after it.
BOOST_AUTO_TEST_CASE(a_router_holds_at_most_a_part_of_what_is_left)
{
  const grant_holder holder = Holder("a/1");
  grant_share share = Granted(holder, 0);
  for (int i = 0; i < 100; ++i) {
    RecordDemand(share, kPrepaid, 0, kOptions, At(0).mNow);
  }
  const token_count left = kPrepaid;
  const auto plan =
    PlanGrant(share, holder, kPrepaid, true, true, kOptions, At(1000));
  BOOST_REQUIRE(plan);
  BOOST_TEST(static_cast<double>(plan->mRecord.mEntries.at("a/1").mGranted) <=
             kOptions.mMaxHeldFraction * static_cast<double>(left));
}

// Less urgent requests used up what the urgent ones needed in an outage.
BOOST_AUTO_TEST_CASE(tokens_are_kept_for_the_most_urgent_requests)
{
  const absl::Duration always = absl::InfiniteDuration();
  const absl::Time now = At(0).mNow;
  grant_share share;
  RecordDemand(share, 1000, 1, kOptions, now);
  RecordDemand(share, 9000, 4, kOptions, now);
  RecordDemand(share, 9000, 6, kOptions, now);
  const token_count kept = ComputeHeadroom(share, 4, always, kOptions, now);
  BOOST_TEST(ComputeHeadroom(share, 1, always, kOptions, now) == 0);
  BOOST_TEST(kept == 1000 * absl::FDivDuration(kOptions.mHeadroomTime,
                                               kOptions.mRateWindow));
  // Nothing is kept for those in between.
  BOOST_TEST(ComputeHeadroom(share, 6, always, kOptions, now) == kept);
  BOOST_TEST(ComputeHeadroom(share, 4, absl::Milliseconds(300), kOptions, now) <
             kept);
  // A workspace whose requests are all alike keeps nothing back.
  grant_share uniform;
  RecordDemand(uniform, 9000, 4, kOptions, now);
  BOOST_TEST(ComputeHeadroom(uniform, 4, always, kOptions, now) == 0);
}

// After a power loss of all machines nothing was left for any request.
BOOST_AUTO_TEST_CASE(the_last_part_is_granted_for_the_most_urgent_demand_only)
{
  const grant_holder holder = Holder("a/1");
  const absl::Time now = At(0).mNow;
  grant_share share = Granted(holder, 0);
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
    PlanGrant(waiting, holder, kPrepaid, true, false, kOptions, At(10));
  BOOST_TEST(!refused.has_value());
  share.mNeeded = 500;
  share.mHighestPriorityNeeded = 500;
  const auto granted =
    PlanGrant(share, holder, kPrepaid, true, false, kOptions, At(10));
  BOOST_REQUIRE(granted);
  BOOST_TEST(granted->mRecord.mEntries.at("a/1").mGranted >= 500);
  // Without less urgent demand nothing is reserved.
  grant_share uniform;
  uniform.mVersion = 1;
  RecordDemand(uniform, 9000, 4, kOptions, now);
  uniform.mRecord.mClosed = 96000;
  BOOST_TEST(!IsExhaustedFor(uniform, 4, kPrepaid, kOptions));
}

// Urgent demand that had ended kept the last part from all others for good.
BOOST_AUTO_TEST_CASE(demand_that_has_ended_reserves_nothing)
{
  grant_share share = Granted(Holder("a/1"), 0);
  RecordDemand(share, 1000, 1, kOptions, At(0).mNow);
  RecordDemand(share, 9000, 4, kOptions, At(0).mNow);
  share.mRecord.mClosed = 96000;
  share.mRecord.mEntries.clear();
  BOOST_TEST(IsExhaustedFor(share, 4, kPrepaid, kOptions));
  RecordDemand(share, 9000, 4, kOptions, At(60000).mNow);
  BOOST_TEST(!IsExhaustedFor(share, 4, kPrepaid, kOptions));
}

struct close_case
{
  std::int64_t mStartMs;
  const char* mBoot;
  token_count mClosed;
};

// Without the limit the whole grant of a killed process would be lost; with it
// and after a reboot or too long a time, spent tokens would be granted again.
BOOST_AUTO_TEST_CASE(a_later_incarnation_closes_the_entry_at_what_it_knows)
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
      const grant_holder holder = Holder("a/2", each.mStartMs, each.mBoot);
      grant_share share;
      grant_record record;
      record.mEntries["a/1"] = { 1000, 300, { "boot", 2000 } };
      record.mEntries["ab/1"] = { 50, 10, { "boot", 2000 } };
      RecordGrantWrite(share, holder, grant_outcome::Conflict, record, 7);
      BOOST_TEST(HasEarlierEntries(share, holder));
      const auto plan = PlanGrant(share, holder, kPrepaid, false, false,
                                  kOptions, At(each.mStartMs));
      BOOST_REQUIRE(plan);
      BOOST_TEST(plan->mRecord.mClosed == each.mClosed);
      // Another router's entry stays.
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

struct late_write
{
  grant_plan mPlan;
};

struct model_router
{
  grant_holder mHolder;
  grant_share mShare;
  std::vector<token_count> mOpen;
  int mIncarnation = 1;
  int mBoot = 1;
};

// Routers, one record, a store whose answers get lost, and the truth about
// what was spent.
struct model
{
  std::mt19937 mRandom;
  std::int64_t mNowMs = 100000;
  stored_record mStore;
  std::vector<late_write> mLate;
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
  aRouter.mHolder = Holder("router" + std::to_string(aNumber) + "/" +
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
  const auto plan =
    PlanGrant(aRouter.mShare, aRouter.mHolder, kPrepaid, aModel.Draw(3) > 0,
              aModel.Draw(2) > 0, kOptions, At(aModel.mNowMs));
  if (!plan) {
    return;
  }
  const auto note = [&](grant_outcome aOutcome) {
    RecordGrantWrite(aRouter.mShare, aRouter.mHolder, aOutcome,
                     aModel.mStore.mRecord, aModel.mStore.mVersion);
  };
  switch (aModel.Draw(8)) {
    case 0: // executed, answer lost
      WriteIfSame(aModel, *plan);
      note(grant_outcome::Unknown);
      break;
    case 1: // lost
      note(grant_outcome::Unknown);
      break;
    case 2: // executed later if its condition still holds
      aModel.mLate.push_back({ *plan });
      note(grant_outcome::Unknown);
      break;
    case 3:
      note(grant_outcome::NotWritten);
      break;
    default:
      note(WriteIfSame(aModel, *plan) ? grant_outcome::Written
                                      : grant_outcome::Conflict);
  }
}

// A killed process may have spent all that it had reserved.
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
      Reserve(aRouter.mShare, amount, At(aModel.mNowMs))) {
    RecordDemand(aRouter.mShare, amount, aModel.Draw(kRequestPriorities),
                 kOptions, At(aModel.mNowMs).mNow);
    aRouter.mOpen.push_back(amount);
  }
}

void EndOne(model& aModel, model_router& aRouter)
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
  if (&aFrom == &aTo || !Reserve(aFrom.mShare, amount, At(aModel.mNowMs))) {
    return;
  }
  if (aModel.Draw(5) > 0) {
    AddReceivedTokens(aTo.mShare, amount);
  }
}

void Act(model& aModel)
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
      if (!aModel.mLate.empty()) {
        WriteIfSame(aModel, aModel.mLate.back().mPlan);
        aModel.mLate.pop_back();
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
      EndOne(aModel, router);
      break;
    default:
      Spend(aModel, router);
  }
  aModel.mNowMs += aModel.Draw(400);
}

token_count OpenOf(const model& aModel)
{
  token_count open = 0;
  for (const model_router& router : aModel.mRouters) {
    for (token_count each : router.mOpen) {
      open += each;
    }
  }
  return open;
}

// What the store's record says was spent at most, if every process died now.
token_count KnownSpent(const model& aModel)
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
      const boot_time& checked = entry.second.mLimitSetAt;
      const bool isBound =
        checked.mBoot == router.mHolder.mStart.mBoot &&
        end - checked.mSteadyMs < absl::ToInt64Milliseconds(kLimitValidity);
      known += isBound ? std::min(entry.second.mGranted, entry.second.mLimit)
                       : entry.second.mGranted;
    }
  }
  return known;
}

// Kills, power losses, lost and late writes and lost transfers in any order
// must never let the routers spend more than the total, nor more than a later
// incarnation of each would learn from the record.
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
      Act(run);
      if (run.mSpent + OpenOf(run) > kPrepaid) {
        BOOST_FAIL("seed " << seed << " step " << step << ": "
                           << run.mSpent + OpenOf(run) << " of " << kPrepaid);
      }
      if (run.mSpent + OpenOf(run) > KnownSpent(run)) {
        BOOST_FAIL("seed " << seed << " step " << step << ": spent "
                           << run.mSpent + OpenOf(run) << ", the record covers "
                           << KnownSpent(run));
      }
    }
    served += run.mServed;
  }
  // The schedules must reach the state in which the total is nearly used up.
  BOOST_TEST(served > kPrepaid * token_count{ kSeeds } / 4);
}

} // namespace
} // namespace foxtailquay
