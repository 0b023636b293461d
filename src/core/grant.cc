#include "foxtailquay/grant.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace foxtailquay {

namespace {

// "router/" of "router/nonce".
std::string RouterPrefix(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.find('/') + 1);
}

bool IsEarlier(const std::string& aEntry, const std::string& aHolder)
{
  const std::string prefix = RouterPrefix(aHolder);
  return aEntry != aHolder && aEntry.compare(0, prefix.size(), prefix) == 0;
}

// What the dead holder of aEntry may have let out at most.
token_count SpentAtMost(const grant_entry& aEntry, const grant_holder& aHolder)
{
  const boot_time& start = aHolder.mStart;
  const std::int64_t age = start.mSteadyMs - aEntry.mLimitSetAt.mSteadyMs;
  const bool isBound = !start.mBoot.empty() &&
                       start.mBoot == aEntry.mLimitSetAt.mBoot && age >= 0 &&
                       age < absl::ToInt64Milliseconds(kLimitValidity);
  return isBound ? std::min(aEntry.mGranted, aEntry.mLimit) : aEntry.mGranted;
}

void CloseEarlier(grant_record& aRecord, const grant_holder& aHolder)
{
  for (auto it = aRecord.mEntries.begin(); it != aRecord.mEntries.end();) {
    if (!IsEarlier(it->first, aHolder.mId)) {
      ++it;
      continue;
    }
    aRecord.mClosed += SpentAtMost(it->second, aHolder);
    it = aRecord.mEntries.erase(it);
  }
}

std::int64_t LastCheckMs(const grant_share& aShare)
{
  const std::int64_t known = aShare.mEntry.mLimitSetAt.mSteadyMs;
  return aShare.mPending ? std::max(known, aShare.mPending->mLimitSetAtMs)
                         : known;
}

// The limit that holds whichever of the writes took effect.
token_count LimitOf(const grant_share& aShare)
{
  return aShare.mPending
           ? std::min(aShare.mEntry.mLimit, aShare.mPending->mLimit)
           : aShare.mEntry.mLimit;
}

bool IsUnchecked(const grant_share& aShare, const grant_clock& aClock)
{
  return aClock.mSteadyMs - LastCheckMs(aShare) >=
         absl::ToInt64Milliseconds(kLimitValidity);
}

// The known record without entries of earlier incarnations and, if aHasEntry,
// with aEntry as the holder's own.
grant_record RecordWith(const grant_share& aShare, const grant_holder& aHolder,
                        const grant_entry& aEntry, bool aHasEntry)
{
  grant_record record = aShare.mRecord;
  CloseEarlier(record, aHolder);
  if (aHasEntry) {
    record.mEntries[aHolder.mId] = aEntry;
  }
  return record;
}

grant_plan MakePlan(grant_share& aShare, const grant_holder& aHolder,
                    token_count aDelta, token_count aAhead,
                    const grant_clock& aClock)
{
  grant_entry entry = aShare.mEntry;
  entry.mGranted += aDelta;
  entry.mLimit = std::min(entry.mGranted, aShare.mUsedTokens + aAhead);
  entry.mLimitSetAt = { aHolder.mStart.mBoot, aClock.mSteadyMs };
  // A router that was never granted anything needs no entry.
  const bool isNeeded = entry.mGranted != 0 || aDelta != 0;
  grant_plan plan{ aShare.mVersion,
                   RecordWith(aShare, aHolder, entry, isNeeded) };
  aShare.mFreeTokens += std::min<token_count>(0, aDelta);
  aShare.mPending = pending_grant{ aShare.mVersion, aDelta, entry.mLimit,
                                   aClock.mSteadyMs, false };
  return plan;
}

// What is left of the averaged rates at aNow, 0 to 1.
double DecayAt(const grant_share& aShare, const grant_options& aOptions,
               absl::Time aNow)
{
  const double windows =
    absl::FDivDuration(std::max(absl::ZeroDuration(), aNow - aShare.mRateAt),
                       aOptions.mRateWindow);
  return std::exp(-windows);
}

// Tokens per second below which there is no demand any more: an averaged rate
// never quite becomes zero. A request is some hundred tokens.
constexpr double kLeastRate = 1;

bool IsDemand(double aRate)
{
  return aRate >= kLeastRate;
}

// How many urgencies with demand come before aPriority.
std::ptrdiff_t RankOf(const grant_share& aShare, int aPriority)
{
  return std::count_if(aShare.mRates.begin(), aShare.mRates.begin() + aPriority,
                       &IsDemand);
}

// The first urgency after the most urgent one that there is.
int EndOfMostUrgent(const grant_share& aShare)
{
  const auto first =
    std::find_if(aShare.mRates.begin(), aShare.mRates.end(), &IsDemand);
  return first == aShare.mRates.end()
           ? 0
           : static_cast<int>(first - aShare.mRates.begin()) + 1;
}

// Tokens that are granted for the most urgent demand only.
token_count ReservedOf(const grant_share& aShare, token_count aPrepaid,
                       const grant_options& aOptions)
{
  const bool isMixed = RankOf(aShare, kRequestPriorities) > 1;
  return isMixed ? static_cast<token_count>(aOptions.mReservedFraction *
                                            static_cast<double>(aPrepaid))
                 : 0;
}

// Expected demand of aTime of the urgencies before aEnd.
token_count DemandBefore(const grant_share& aShare, int aEnd,
                         absl::Duration aTime, const grant_options& aOptions,
                         absl::Time aNow)
{
  const double rate =
    std::accumulate(aShare.mRates.begin(), aShare.mRates.begin() + aEnd, 0.0);
  return static_cast<token_count>(rate * DecayAt(aShare, aOptions, aNow) *
                                  absl::ToDoubleSeconds(aTime));
}

// Learns the state of the record and settles the pending write against it.
void Observe(grant_share& aShare, const grant_holder& aHolder,
             const grant_record& aRecord, store_version aVersion)
{
  const bool unchanged =
    aShare.mPending && aVersion <= aShare.mPending->mExpected;
  aShare.mRecord = aRecord;
  aShare.mVersion = aVersion;
  if (unchanged) {
    return;
  }
  const auto own = aRecord.mEntries.find(aHolder.mId);
  // Without a pending write the entry changes only if another process closed
  // it, which leaves the tokens with this holder.
  const grant_entry entry =
    own == aRecord.mEntries.end() ? grant_entry{} : own->second;
  if (aShare.mPending) {
    const token_count delta = aShare.mPending->mDelta;
    const bool applied = entry.mGranted == aShare.mEntry.mGranted + delta;
    if (applied && delta > 0) {
      aShare.mFreeTokens += delta;
    } else if (!applied && delta < 0) {
      aShare.mFreeTokens -= delta;
    }
    aShare.mPending.reset();
  }
  aShare.mEntry = entry;
}

// Repeats the known entry at the version of a write with an unknown outcome:
// only one of the two can find that version, so the answer settles both.
grant_plan MakeSettlingPlan(const grant_share& aShare,
                            const grant_holder& aHolder)
{
  return { aShare.mPending->mExpected,
           RecordWith(aShare, aHolder, aShare.mEntry,
                      aShare.mEntry.mGranted != 0) };
}

// Whether the limit stops spending now or soon, so that the next regular check
// would be too late.
bool IsLimitNear(const grant_share& aShare, token_count aAhead)
{
  const token_count left = aShare.mEntry.mLimit - aShare.mUsedTokens;
  return aShare.mEntry.mLimit < aShare.mEntry.mGranted &&
         (left < aAhead / 4 || left < aShare.mNeeded);
}

token_count FirstGrant(token_count aPrepaid, const grant_options& aOptions)
{
  return static_cast<token_count>(aOptions.mInitialFraction *
                                  static_cast<double>(aPrepaid));
}

// Tokens to hold for demand of urgencies before aEnd beyond aNeeded, of which
// aRoom are left.
token_count TokensToHold(const grant_share& aShare, int aEnd,
                         token_count aNeeded, token_count aRoom,
                         token_count aPrepaid, const grant_options& aOptions,
                         absl::Time aNow)
{
  const auto most =
    static_cast<token_count>(aOptions.mMaxHeldFraction *
                             static_cast<double>(aRoom + aShare.mFreeTokens));
  const token_count demand =
    std::max(FirstGrant(aPrepaid, aOptions),
             DemandBefore(aShare, aEnd, aOptions.mHorizon, aOptions, aNow));
  return aNeeded + std::min(most, demand);
}

// Tokens that the holder should be granted now, at most aRoom. Less urgent
// demand leaves the reserved part.
token_count MissingTokens(const grant_share& aShare, token_count aRoom,
                          token_count aPrepaid, bool aIsPeriodic,
                          const grant_options& aOptions, absl::Time aNow)
{
  const token_count due = aShare.mNeeded + aShare.mHeadroom;
  const token_count room =
    std::max<token_count>(0, aRoom - ReservedOf(aShare, aPrepaid, aOptions));
  token_count missing = 0;
  if (aIsPeriodic || aShare.mFreeTokens < due) {
    const token_count hold =
      TokensToHold(aShare, kRequestPriorities, aShare.mNeeded, room, aPrepaid,
                   aOptions, aNow);
    missing = std::min(room, std::max(due, hold) - aShare.mFreeTokens);
  }
  if (aIsPeriodic || aShare.mFreeTokens < aShare.mHighestPriorityNeeded) {
    const token_count hold = TokensToHold(aShare, EndOfMostUrgent(aShare),
                                          aShare.mHighestPriorityNeeded, aRoom,
                                          aPrepaid, aOptions, aNow);
    missing = std::max(missing, std::min(aRoom, hold - aShare.mFreeTokens));
  }
  return missing;
}

} // namespace

token_count ComputeTotal(const grant_record& aRecord)
{
  token_count total = aRecord.mClosed;
  for (const auto& entry : aRecord.mEntries) {
    total += entry.second.mGranted;
  }
  return total;
}

token_count ComputeAvailable(const grant_share& aShare,
                             const grant_clock& aClock)
{
  return IsUnchecked(aShare, aClock)
           ? aShare.mFreeTokens
           : std::min(aShare.mFreeTokens, LimitOf(aShare) - aShare.mUsedTokens);
}

bool Reserve(grant_share& aShare, token_count aAmount,
             const grant_clock& aClock)
{
  if (aAmount > ComputeAvailable(aShare, aClock)) {
    return false;
  }
  aShare.mFreeTokens -= aAmount;
  aShare.mUsedTokens += aAmount;
  return true;
}

void Settle(grant_share& aShare, token_count aReserved, token_count aUsed)
{
  AddReceivedTokens(aShare, aReserved - aUsed);
}

void AddReceivedTokens(grant_share& aShare, token_count aAmount)
{
  aShare.mFreeTokens += aAmount;
  aShare.mUsedTokens -= aAmount;
}

void RecordDemand(grant_share& aShare, token_count aAmount, int aPriority,
                  const grant_options& aOptions, absl::Time aNow)
{
  const double decay = DecayAt(aShare, aOptions, aNow);
  for (double& rate : aShare.mRates) {
    rate *= decay;
  }
  aShare.mRates[static_cast<std::size_t>(aPriority)] +=
    static_cast<double>(aAmount) / absl::ToDoubleSeconds(aOptions.mRateWindow);
  aShare.mRateAt = aNow;
}

bool HasHigherPriorityDemand(const grant_share& aShare, int aPriority)
{
  return RankOf(aShare, aPriority) > 0;
}

token_count ComputeHeadroom(const grant_share& aShare, int aPriority,
                            absl::Duration aMaxTime,
                            const grant_options& aOptions, absl::Time aNow)
{
  if (!HasHigherPriorityDemand(aShare, aPriority)) {
    return 0;
  }
  return DemandBefore(aShare, EndOfMostUrgent(aShare),
                      std::min(aMaxTime, aOptions.mHeadroomTime), aOptions,
                      aNow);
}

token_count EstimateDemand(const grant_share& aShare, absl::Duration aTime,
                           const grant_options& aOptions, absl::Time aNow)
{
  return DemandBefore(aShare, kRequestPriorities, aTime, aOptions, aNow);
}

bool MaySpend(const grant_share& aShare, token_count aPrepaid)
{
  return ComputeTotal(aShare.mRecord) <= aPrepaid;
}

bool IsExhausted(const grant_share& aShare, token_count aPrepaid)
{
  return aShare.mVersion > 0 && !aShare.mPending &&
         ComputeTotal(aShare.mRecord) >= aPrepaid;
}

bool IsExhaustedFor(const grant_share& aShare, int aPriority,
                    token_count aPrepaid, const grant_options& aOptions)
{
  const token_count reserved = HasHigherPriorityDemand(aShare, aPriority)
                                 ? ReservedOf(aShare, aPrepaid, aOptions)
                                 : 0;
  return IsExhausted(aShare, aPrepaid - reserved);
}

bool HasEarlierEntries(const grant_share& aShare, const grant_holder& aHolder)
{
  if (aShare.mVersion == 0) {
    return true;
  }
  const auto& entries = aShare.mRecord.mEntries;
  return std::any_of(entries.begin(), entries.end(), [&](const auto& aEach) {
    return IsEarlier(aEach.first, aHolder.mId);
  });
}

std::optional<grant_plan> PlanGrant(grant_share& aShare,
                                    const grant_holder& aHolder,
                                    token_count aPrepaid, bool aIsCoordinator,
                                    bool aIsPeriodic,
                                    const grant_options& aOptions,
                                    const grant_clock& aClock)
{
  if (aShare.mPending) {
    return MakeSettlingPlan(aShare, aHolder);
  }
  const token_count first = FirstGrant(aPrepaid, aOptions);
  const token_count ahead =
    aShare.mNeeded +
    std::max(first, EstimateDemand(aShare, aOptions.mLimitMargin, aOptions,
                                   aClock.mNow));
  const token_count room = aPrepaid - ComputeTotal(aShare.mRecord);
  if (room < 0 && aShare.mFreeTokens > 0) {
    return MakePlan(aShare, aHolder, -aShare.mFreeTokens, ahead, aClock);
  }
  const token_count missing =
    MissingTokens(aShare, room, aPrepaid, aIsPeriodic, aOptions, aClock.mNow);
  if (aIsCoordinator && missing > 0) {
    return MakePlan(aShare, aHolder, missing, ahead, aClock);
  }
  const double unspent =
    static_cast<double>(aShare.mEntry.mGranted - aShare.mUsedTokens);
  const bool isUnspent =
    unspent > aOptions.mMinLimitedFraction * static_cast<double>(aPrepaid);
  if ((isUnspent && (aIsPeriodic || IsLimitNear(aShare, ahead))) ||
      HasEarlierEntries(aShare, aHolder)) {
    return MakePlan(aShare, aHolder, 0, ahead, aClock);
  }
  return std::nullopt;
}

std::optional<grant_plan> PlanReturn(grant_share& aShare,
                                     const grant_holder& aHolder,
                                     const grant_clock& aClock)
{
  if (aShare.mPending || aShare.mFreeTokens <= 0 || aShare.mVersion == 0) {
    return std::nullopt;
  }
  return MakePlan(aShare, aHolder, -aShare.mFreeTokens, 0, aClock);
}

void RecordGrantWrite(grant_share& aShare, const grant_holder& aHolder,
                      grant_outcome aOutcome, const grant_record& aRecord,
                      store_version aVersion)
{
  switch (aOutcome) {
    case grant_outcome::Written:
    case grant_outcome::Conflict:
      Observe(aShare, aHolder, aRecord, aVersion);
      break;
    case grant_outcome::NotWritten:
      if (aShare.mPending && !aShare.mPending->mOutcomeUnknown) {
        aShare.mFreeTokens -= std::min<token_count>(0, aShare.mPending->mDelta);
        aShare.mPending.reset();
      }
      break;
    case grant_outcome::Unknown:
      if (aShare.mPending) {
        aShare.mPending->mOutcomeUnknown = true;
      }
      break;
  }
}

} // namespace foxtailquay
