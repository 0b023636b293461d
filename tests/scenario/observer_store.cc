// Checks of the observer on the documents written to the store.

#include "absl/strings/str_cat.h"
#include "observer.h"
#include "world.h"

namespace foxtailquay::scenario {

namespace {

// Returns the amount in tokens that operators requested with a top-up id, or 0.
token_count FindPaidAmount(const world& aWorld, const budget_id& aBudget,
                           const std::string& aTopUp)
{
  for (const sim_operator_call& call : aWorld.mOperatorCalls) {
    const auto* request = std::get_if<top_up_request>(&call.mRequest);
    if (request != nullptr && request->mBudget == aBudget &&
        request->mTopUpId == aTopUp) {
      return request->mAmount;
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
    const token_count requested = FindPaidAmount(aWorld, aBudget, id);
    booked += amount;
    paid += requested;
    if (requested != amount) {
      RecordViolation(aWorld, check_kind::AccountSums,
                      absl::StrCat("top-up ", id, " is recorded with ", amount,
                                   ", ", requested, " was requested"));
    }
  }
  if (booked != aAccount.mPaidIn) {
    RecordViolation(aWorld, check_kind::AccountSums,
                    absl::StrCat("budget ", aBudget.mValue, " has paid in ",
                                 aAccount.mPaidIn,
                                 ", but the sum of its top-ups is ", booked));
  }
  aWorld.mObserver.mPaidByOperators[aBudget] = paid;
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
    RecordViolation(aWorld, check_kind::AccountSums,
                    absl::StrCat("budget ", aBudget.mValue, " has granted ",
                                 granted, ", more than the paid-in ",
                                 aAccount.mPaidIn));
  }
  Trace(aWorld,
        absl::StrCat("budget ", aBudget.mValue, ": paid in ", aAccount.mPaidIn,
                     ", granted ", granted, ", spent ", spent, ", closed ",
                     aAccount.mClosedSpent));
  aWorld.mObserver.mBilledTokens[aBudget] = spent;
  if (spent > aWorld.mObserver.mPaidByOperators[aBudget]) {
    RecordViolation(aWorld, check_kind::SpendWithinPaid,
                    absl::StrCat("budget ", aBudget.mValue, " is billed ",
                                 spent, ", more than the paid-in ",
                                 aWorld.mObserver.mPaidByOperators[aBudget]));
  }
  const token_count maxBillable = aWorld.mObserver.mMaxBillable[aBudget];
  if (spent > maxBillable) {
    RecordViolation(aWorld, check_kind::BilledOnce,
                    absl::StrCat("budget ", aBudget.mValue, " is billed ",
                                 spent, ", but its runs cost at most ",
                                 maxBillable));
  }
}

// Records the open and closed shares of a budget. A share that was in the
// account and is no longer is closed permanently.
void RecordShares(observer_state& aObserver, const budget_id& aBudget,
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
      aObserver.mSettledRuns.insert({ id, n });
    }
    for (const std::uint64_t number : share.mSettled.mAboveWatermark) {
      aObserver.mSettledRuns.insert({ id, number });
    }
    aObserver.mOpenShares.insert(id);
    // The holder of a held share must not spend tokens of it either.
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
    RecordShares(aWorld.mObserver, budget, account);
  }
}

void ObserveConfig(world& aWorld, const config_document& aConfig)
{
  observer_state& observer = aWorld.mObserver;
  const config_version newest =
    observer.mConfigs.empty() ? 0 : observer.mConfigs.rbegin()->first;
  // A write may repeat the newest version but must not change it.
  if (newest != 0 && aConfig.mVersion == newest &&
      aConfig.mPatchIds == observer.mConfigs.at(newest).mPatchIds) {
    return;
  }
  if (aConfig.mVersion != newest + 1 && newest != 0) {
    RecordViolation(aWorld, check_kind::ConfigNeverReverts,
                    absl::StrCat("the store went from configuration version ",
                                 newest, " to ", aConfig.mVersion));
    return;
  }
  observer.mConfigs[aConfig.mVersion] = aConfig;
  observer.mConfigWrittenAt[aConfig.mVersion] = aWorld.mNow;
  observer.mBehindSince.clear();
}

} // namespace

void ObserveStoreWrite(world& aWorld, const store_key& aKey,
                       const store_document& aDocument)
{
  if (aKey.mArea == store_area::Accounts) {
    ObserveAccounts(aWorld, std::get<account_shard>(aDocument));
  } else if (aKey.mArea == store_area::Config) {
    ObserveConfig(aWorld, std::get<config_document>(aDocument));
  }
}

} // namespace foxtailquay::scenario
