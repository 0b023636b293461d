// What the observer concludes from the documents in the store.

#include "absl/strings/str_cat.h"
#include "observer.h"
#include "world.h"

namespace foxtailquay::scenario {

namespace {

// What operators paid under a top-up's id, or 0.
token_count AmountAsked(const world& aWorld, const budget_id& aBudget,
                        const std::string& aTopUp)
{
  for (const sim_operator_call& call : aWorld.mOperatorCalls) {
    const auto* ask = std::get_if<top_up_request>(&call.mRequest);
    if (ask != nullptr && ask->mBudget == aBudget && ask->mTopUpId == aTopUp) {
      return ask->mAmount;
    }
  }
  return 0;
}

void CheckTopUps(world& aWorld, const budget_id& aBudget,
                 const account& aAccount)
{
  token_count booked = 0;
  token_count paid = 0;
  for (const auto& [id, amount] : aAccount.mTopUps) {
    const token_count asked = AmountAsked(aWorld, aBudget, id);
    booked += amount;
    paid += asked;
    if (asked != amount) {
      Report(aWorld, check_kind::AccountSums,
             absl::StrCat("top-up ", id, " is booked with ", amount, ", ",
                          asked, " was paid"));
    }
  }
  if (booked != aAccount.mPaidIn) {
    Report(aWorld, check_kind::AccountSums,
           absl::StrCat("budget ", aBudget.mValue, " shows ", aAccount.mPaidIn,
                        " paid in, its top-ups sum up to ", booked));
  }
  aWorld.mObserver.mPaid[aBudget] = paid;
}

void CheckSums(world& aWorld, const budget_id& aBudget, const account& aAccount)
{
  token_count granted = aAccount.mClosedSpent;
  token_count spent = aAccount.mClosedSpent;
  for (const auto& [holder, share] : aAccount.mShares) {
    granted += share.mGranted;
    spent += share.mSpent;
  }
  if (granted > aAccount.mPaidIn) {
    Report(aWorld, check_kind::AccountSums,
           absl::StrCat("budget ", aBudget.mValue, " has given out ", granted,
                        " of ", aAccount.mPaidIn));
  }
  Trace(aWorld,
        absl::StrCat("budget ", aBudget.mValue, ": paid in ", aAccount.mPaidIn,
                     ", granted ", granted, ", spent ", spent, ", closed ",
                     aAccount.mClosedSpent));
  aWorld.mObserver.mBilled[aBudget] = spent;
  if (spent > aWorld.mObserver.mPaid[aBudget]) {
    Report(aWorld, check_kind::SpendWithinPaid,
           absl::StrCat("budget ", aBudget.mValue, " is billed ", spent,
                        ", paid in ", aWorld.mObserver.mPaid[aBudget]));
  }
  const token_count ran = aWorld.mObserver.mChargeable[aBudget];
  if (spent > ran) {
    Report(aWorld, check_kind::BilledOnce,
           absl::StrCat("budget ", aBudget.mValue, " is billed ", spent,
                        ", its runs cost ", ran));
  }
}

// A share that was there and is not any more has been closed for good.
void TrackShares(observer_state& aObserver, const budget_id& aBudget,
                 const account& aAccount)
{
  for (auto it = aObserver.mOpenShares.begin();
       it != aObserver.mOpenShares.end();) {
    if (it->mBudget == aBudget && aAccount.mShares.count(it->mHolder) == 0) {
      aObserver.mClosedShares.insert(*it);
      it = aObserver.mOpenShares.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& [holder, share] : aAccount.mShares) {
    const share_id id{ aBudget, holder };
    for (std::uint64_t n = 1; n <= share.mSettled.mWatermark; ++n) {
      aObserver.mSettled.insert({ id, n });
    }
    for (const std::uint64_t number : share.mSettled.mAboveWatermark) {
      aObserver.mSettled.insert({ id, number });
    }
    aObserver.mOpenShares.insert(id);
    // The holder of a held share must not spend any more either.
    if (share.mHeld) {
      aObserver.mClosedShares.insert(id);
    }
  }
}

void ObserveAccounts(world& aWorld, const account_shard& aShard)
{
  for (const auto& [budget, account] : aShard.mAccounts) {
    CheckTopUps(aWorld, budget, account);
    CheckSums(aWorld, budget, account);
    TrackShares(aWorld.mObserver, budget, account);
  }
}

void ObserveConfig(world& aWorld, const config_document& aConfig)
{
  observer_state& observer = aWorld.mObserver;
  const config_version newest =
    observer.mConfigs.empty() ? 0 : observer.mConfigs.rbegin()->first;
  // A write may repeat the newest version, but not change it.
  if (newest != 0 && aConfig.mVersion == newest &&
      aConfig.mPatchIds == observer.mConfigs.at(newest).mPatchIds) {
    return;
  }
  if (aConfig.mVersion != newest + 1 && newest != 0) {
    Report(aWorld, check_kind::ConfigNeverReverts,
           absl::StrCat("the store goes from configuration version ", newest,
                        " to ", aConfig.mVersion));
    return;
  }
  observer.mConfigs[aConfig.mVersion] = aConfig;
  observer.mConfigAt[aConfig.mVersion] = aWorld.mNow;
  observer.mBehindSince.clear();
}

} // namespace

void ObserveWrite(world& aWorld, const store_key& aKey,
                  const store_document& aDocument)
{
  if (aKey.mArea == store_area::Accounts) {
    ObserveAccounts(aWorld, std::get<account_shard>(aDocument));
  } else if (aKey.mArea == store_area::Config) {
    ObserveConfig(aWorld, std::get<config_document>(aDocument));
  }
}

} // namespace foxtailquay::scenario
