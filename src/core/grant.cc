#include "foxtailquay/grant.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

// "router/" of "router/nonce".
std::string RouterPrefix(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.find('/') + 1);
}

// Closes the entries of earlier incarnations of the holder's router. The sum
// stays the same.
void CloseEarlier(grant_record& aRecord, const std::string& aHolder)
{
  const std::string prefix = RouterPrefix(aHolder);
  auto entry = aRecord.mEntries.lower_bound(prefix);
  while (entry != aRecord.mEntries.end() &&
         entry->first.compare(0, prefix.size(), prefix) == 0) {
    if (entry->first == aHolder) {
      ++entry;
      continue;
    }
    aRecord.mClosed += entry->second;
    entry = aRecord.mEntries.erase(entry);
  }
}

grant_plan MakePlan(grant_share& aShare, const std::string& aHolder,
                    token_count aDelta)
{
  grant_plan plan;
  plan.mExpected = aShare.mVersion;
  plan.mRecord = aShare.mRecord;
  CloseEarlier(plan.mRecord, aHolder);
  plan.mRecord.mEntries[aHolder] = aShare.mEntry + aDelta;
  if (aDelta < 0) {
    aShare.mFree += aDelta;
  }
  aShare.mPending = pending_grant{ aShare.mVersion, aDelta };
  return plan;
}

double RateAt(const grant_share& aShare, const grant_options& aOptions,
              absl::Time aNow)
{
  const double windows =
    absl::FDivDuration(std::max(absl::ZeroDuration(), aNow - aShare.mRateAt),
                       aOptions.mRateWindow);
  return aShare.mRate * std::exp(-windows);
}

// Learns the state of the record and settles the pending write against it.
void Observe(grant_share& aShare, const std::string& aHolder,
             const grant_record& aRecord, store_version aVersion)
{
  const bool unchanged =
    aShare.mPending && aVersion <= aShare.mPending->mExpected;
  aShare.mRecord = aRecord;
  aShare.mVersion = aVersion;
  if (unchanged) {
    return;
  }
  const auto own = aRecord.mEntries.find(aHolder);
  // Without a pending write the entry changes only if another process closed
  // it, which leaves the tokens with this holder.
  const token_count entry = own == aRecord.mEntries.end() ? 0 : own->second;
  if (aShare.mPending) {
    const token_count delta = aShare.mPending->mDelta;
    const bool applied = entry == aShare.mEntry + delta;
    if (applied && delta > 0) {
      aShare.mFree += delta;
    } else if (!applied && delta < 0) {
      aShare.mFree -= delta;
    }
    aShare.mPending.reset();
  }
  aShare.mEntry = entry;
}

} // namespace

token_count TotalOf(const grant_record& aRecord)
{
  token_count total = aRecord.mClosed;
  for (const auto& entry : aRecord.mEntries) {
    total += entry.second;
  }
  return total;
}

bool Reserve(grant_share& aShare, token_count aAmount)
{
  if (aAmount > aShare.mFree) {
    return false;
  }
  aShare.mFree -= aAmount;
  aShare.mReserved += aAmount;
  return true;
}

void Settle(grant_share& aShare, token_count aReserved, token_count aUsed)
{
  aShare.mReserved -= aReserved;
  aShare.mFree += aReserved - aUsed;
}

void NoteDemand(grant_share& aShare, token_count aAmount,
                const grant_options& aOptions, absl::Time aNow)
{
  aShare.mRate = RateAt(aShare, aOptions, aNow) +
                 static_cast<double>(aAmount) /
                   absl::ToDoubleSeconds(aOptions.mRateWindow);
  aShare.mRateAt = aNow;
}

token_count WantedOf(const grant_share& aShare, token_count aPrepaid,
                     const grant_options& aOptions, absl::Time aNow)
{
  const double ahead = RateAt(aShare, aOptions, aNow) *
                       absl::ToDoubleSeconds(aOptions.mHorizon);
  const double first = aOptions.mFirstPart * static_cast<double>(aPrepaid);
  return aShare.mShort + static_cast<token_count>(std::max(ahead, first));
}

bool MaySpend(const grant_share& aShare, token_count aPrepaid)
{
  return TotalOf(aShare.mRecord) <= aPrepaid;
}

bool IsExhausted(const grant_share& aShare, token_count aPrepaid)
{
  return aShare.mVersion > 0 && !aShare.mPending &&
         TotalOf(aShare.mRecord) >= aPrepaid;
}

std::optional<grant_plan> PlanGrant(grant_share& aShare,
                                    const std::string& aHolder,
                                    token_count aPrepaid,
                                    const grant_options& aOptions,
                                    absl::Time aNow)
{
  // After an unknown outcome, a write without a change of the entry settles
  // the matter: only one of the two can find the expected version.
  if (aShare.mPending) {
    grant_plan plan;
    plan.mExpected = aShare.mPending->mExpected;
    plan.mRecord = aShare.mRecord;
    CloseEarlier(plan.mRecord, aHolder);
    plan.mRecord.mEntries[aHolder] = aShare.mEntry;
    return plan;
  }
  const token_count room = aPrepaid - TotalOf(aShare.mRecord);
  if (room < 0 && aShare.mFree > 0) {
    return MakePlan(aShare, aHolder, -aShare.mFree);
  }
  const token_count wanted = WantedOf(aShare, aPrepaid, aOptions, aNow);
  const bool low = aShare.mFree < wanted / 2 || aShare.mFree < aShare.mShort;
  if (room <= 0 || !low) {
    return std::nullopt;
  }
  return MakePlan(aShare, aHolder, std::min(room, wanted - aShare.mFree));
}

std::optional<grant_plan> PlanReturn(grant_share& aShare,
                                     const std::string& aHolder)
{
  if (aShare.mPending || aShare.mFree <= 0 || aShare.mVersion == 0) {
    return std::nullopt;
  }
  return MakePlan(aShare, aHolder, -aShare.mFree);
}

void NoteGrantWrite(grant_share& aShare, const std::string& aHolder,
                    grant_outcome aOutcome, const grant_record& aRecord,
                    store_version aVersion)
{
  switch (aOutcome) {
    case grant_outcome::Written:
    case grant_outcome::Conflict:
      Observe(aShare, aHolder, aRecord, aVersion);
      break;
    case grant_outcome::NotWritten:
      if (aShare.mPending && !aShare.mPending->mUnsettled) {
        aShare.mFree -= std::min<token_count>(0, aShare.mPending->mDelta);
        aShare.mPending.reset();
      }
      break;
    case grant_outcome::Unknown:
      if (aShare.mPending) {
        aShare.mPending->mUnsettled = true;
      }
      break;
  }
}

} // namespace foxtailquay
