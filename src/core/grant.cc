// Grants of prepaid tokens: reservation, demand, and planned writes.

#include "foxtailquay/grant.h"

#include <algorithm>
#include <tuple>

#include "grant_demand.h"

namespace foxtailquay {

namespace {

// Returns the part "router/" of "router/nonce".
std::string GetRouterPrefix(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.find('/') + 1);
}

// Returns true if aEntry belongs to an earlier incarnation of aHolder's router.
bool IsEarlierIncarnation(const std::string& aEntry, const std::string& aHolder)
{
  const std::string prefix = GetRouterPrefix(aHolder);
  return aEntry != aHolder && aEntry.compare(0, prefix.size(), prefix) == 0;
}

// Returns the largest number of tokens that the dead holder of aEntry may have
// spent or transferred.
token_count ComputeMaxSpent(const grant_entry& aEntry,
                            const grant_holder& aHolder)
{
  const boot_time& start = aHolder.mStart;
  const std::int64_t age = start.mSteadyMs - aEntry.mLimitSetAt.mSteadyMs;
  const bool isBound = !start.mBoot.empty() &&
                       start.mBoot == aEntry.mLimitSetAt.mBoot && age >= 0 &&
                       age < absl::ToInt64Milliseconds(kLimitValidity);
  return isBound ? std::min(aEntry.mGranted, aEntry.mLimit) : aEntry.mGranted;
}

// Removes the entries of earlier incarnations of aHolder's router and adds the
// tokens that they may have spent to mClosed.
void CloseEarlierEntries(grant_record& aRecord, const grant_holder& aHolder)
{
  for (auto it = aRecord.mEntries.begin(); it != aRecord.mEntries.end();) {
    if (!IsEarlierIncarnation(it->first, aHolder.mId)) {
      ++it;
      continue;
    }
    aRecord.mClosed += ComputeMaxSpent(it->second, aHolder);
    it = aRecord.mEntries.erase(it);
  }
}

std::int64_t GetLimitSetAtMs(const grant_share& aShare)
{
  const std::int64_t known = aShare.mEntry.mLimitSetAt.mSteadyMs;
  return aShare.mPending ? std::max(known, aShare.mPending->mLimitSetAtMs)
                         : known;
}

// Returns the limit that applies whether or not the pending write takes effect.
token_count ComputeLimit(const grant_share& aShare)
{
  return aShare.mPending
           ? std::min(aShare.mEntry.mLimit, aShare.mPending->mLimit)
           : aShare.mEntry.mLimit;
}

// Returns true if the limit no longer bounds the spending.
bool IsLimitExpired(const grant_share& aShare, const grant_clock& aClock)
{
  return aClock.mSteadyMs - GetLimitSetAtMs(aShare) >=
         absl::ToInt64Milliseconds(kLimitValidity);
}

// Returns the record on which the next write is based: the known one or, if it
// is from an earlier era, the newest copy. A limit that was set in the earlier
// era and lost allowed more than an older one that was not lost, so that the
// limits of such a copy bound nothing. A write of the earlier era that took
// effect late may have the place of one that was lost, so that the copy counts.
grant_record MakeBaseRecord(const grant_share& aShare)
{
  if (!IsFromEarlierEra(aShare)) {
    return aShare.mRecord;
  }
  grant_record record =
    IsNewer(aShare.mRecord, aShare.mCopy) ? aShare.mRecord : aShare.mCopy;
  for (auto& entry : record.mEntries) {
    entry.second.mLimit = entry.second.mGranted;
    entry.second.mLimitSetAt = {};
  }
  return record;
}

// Returns the known record without entries of earlier incarnations and, if
// aHasEntry, with aEntry as the entry of aHolder.
grant_record MakeRecord(const grant_share& aShare, const grant_holder& aHolder,
                        const grant_entry& aEntry, bool aHasEntry)
{
  grant_record record = MakeBaseRecord(aShare);
  CloseEarlierEntries(record, aHolder);
  if (aHasEntry) {
    record.mEntries[aHolder.mId] = aEntry;
  } else if (aShare.mMustRestate) {
    record.mEntries.erase(aHolder.mId);
  }
  record.mEra = aShare.mEra;
  ++record.mSequence;
  return record;
}

// The limit of the next write.
struct limit_choice
{
  // Tokens by which it exceeds the spending.
  token_count mMargin = 0;
  // Tokens that it must protect; if there are fewer, all may be spent.
  token_count mMinProtected = 0;
};

// Returns true if the limit protects enough tokens of a grant of aGranted.
bool IsProtective(const grant_share& aShare, const limit_choice& aLimit,
                  token_count aGranted)
{
  return aGranted - aShare.mUsedTokens - aLimit.mMargin > aLimit.mMinProtected;
}

// Plans a write that changes the grant by aDelta and sets the limit. Deducts
// returned tokens (aDelta < 0) immediately.
grant_plan PlanWrite(grant_share& aShare, const grant_holder& aHolder,
                     token_count aDelta, const limit_choice& aLimit,
                     const grant_clock& aClock)
{
  grant_entry entry = aShare.mEntry;
  entry.mGranted += aDelta;
  entry.mLimit = IsProtective(aShare, aLimit, entry.mGranted)
                   ? aShare.mUsedTokens + aLimit.mMargin
                   : entry.mGranted;
  entry.mLimitSetAt = { aHolder.mStart.mBoot, aClock.mSteadyMs };
  // A router without any grant needs no entry.
  const bool isNeeded = entry.mGranted != 0 || aDelta != 0;
  grant_plan plan{ aShare.mVersion,
                   MakeRecord(aShare, aHolder, entry, isNeeded) };
  aShare.mFreeTokens += std::min<token_count>(0, aDelta);
  aShare.mPending = pending_grant{ aShare.mVersion, aDelta, entry.mLimit,
                                   aClock.mSteadyMs, false };
  return plan;
}

void SetRecord(grant_share& aShare, const grant_record& aRecord,
               store_version aVersion)
{
  aShare.mRecord = aRecord;
  aShare.mVersion = aVersion;
  AddCopy(aShare, aRecord);
}

// Updates the share from the stored record and resolves the pending write.
void UpdateRecord(grant_share& aShare, const grant_holder& aHolder,
                  const grant_record& aRecord, store_version aVersion)
{
  const bool unchanged =
    aShare.mPending && aVersion == aShare.mPending->mExpected;
  SetRecord(aShare, aRecord, aVersion);
  if (unchanged) {
    return;
  }
  if (aShare.mMustRestate) {
    // The writes that restate the entry change no grant.
    aShare.mPending.reset();
    return;
  }
  const auto found = aRecord.mEntries.find(aHolder.mId);
  // Without a pending write the entry changes only if another process closed
  // it. The tokens then stay with this holder.
  const grant_entry entry =
    found == aRecord.mEntries.end() ? grant_entry{} : found->second;
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

// Plans a write of the known entry at the version that a write with an unknown
// outcome expects. Only one of the two writes can find that version, so the
// response resolves both.
grant_plan PlanResolvingWrite(const grant_share& aShare,
                              const grant_holder& aHolder)
{
  return { aShare.mPending->mExpected,
           MakeRecord(aShare, aHolder, aShare.mEntry,
                      aShare.mEntry.mGranted != 0) };
}

// Returns true if the limit stops the spending now or so soon that the next
// periodic write would be too late.
bool IsLimitNear(const grant_share& aShare, token_count aMargin)
{
  const token_count left = aShare.mEntry.mLimit - aShare.mUsedTokens;
  return aShare.mEntry.mLimit < aShare.mEntry.mGranted &&
         (left < aMargin / 4 || left < aShare.mNeeded + aShare.mPlanned);
}

// Returns the number of tokens to request before the demand is known.
token_count ComputeInitialGrant(token_count aPrepaid,
                                const grant_options& aOptions)
{
  return static_cast<token_count>(aOptions.mInitialFraction *
                                  static_cast<double>(aPrepaid));
}

token_count GetHeldTokens(const grant_share& aShare)
{
  return aShare.mFreeTokens + aShare.mWithheldTokens;
}

// Returns the number of tokens to hold for aNeeded and the demand of the
// priorities higher than aEnd, if aRoom tokens are left to grant.
token_count ComputeTokensToHold(const grant_share& aShare, int aEnd,
                                token_count aNeeded, token_count aRoom,
                                token_count aPrepaid,
                                const grant_options& aOptions, absl::Time aNow)
{
  const auto maxHeld = static_cast<token_count>(
    aOptions.mMaxHeldFraction *
    static_cast<double>(aRoom + GetHeldTokens(aShare)));
  token_count demand =
    EstimateDemandBefore(aShare, aEnd, aOptions.mHorizon, aOptions, aNow);
  const bool isForAll = aEnd == kRequestPriorities;
  if (aShare.mTokensToHold) {
    demand = isForAll ? *aShare.mTokensToHold
                      : std::min(demand, *aShare.mTokensToHold);
  }
  // Gateways that start together take the floor of what is left, so that they
  // do not take up the rest of a total together.
  if (aOptions.mHasFloor) {
    demand = std::max(ComputeInitialGrant(aShare.mTokensToHold
                                            ? aRoom + GetHeldTokens(aShare)
                                            : aPrepaid,
                                          aOptions),
                      demand);
  }
  // Planned transfers do not use the part that is granted for demand of the
  // highest priority only.
  const token_count planned = isForAll ? aShare.mPlanned : 0;
  return aNeeded + std::min(maxHeld, AddTokens(demand, planned));
}

// Fraction of the tokens to hold that must be missing for a grant ahead of
// need. A write for each small difference would cost several calls a second.
constexpr double kMinMissingFraction = 0.5;

// Returns the number of tokens to grant to the holder now, at most aRoom.
// Demand of lower priorities does not use the reserved tokens. What is held
// ahead of need is granted with the periodic writes only.
token_count ComputeMissingTokens(const grant_share& aShare, token_count aRoom,
                                 token_count aPrepaid, bool aIsPeriodic,
                                 const grant_options& aOptions, absl::Time aNow)
{
  const token_count held = GetHeldTokens(aShare);
  const token_count required = aShare.mNeeded + aShare.mHeadroom;
  const token_count room = std::max<token_count>(
    0, aRoom - ComputeReserved(aShare, aPrepaid, aOptions));
  const auto isShort = [&](token_count aRequired, token_count aHold) {
    const auto missing = static_cast<double>(aHold - held);
    return held < aRequired ||
           (aIsPeriodic &&
            missing >= kMinMissingFraction * static_cast<double>(aHold));
  };
  token_count missing = 0;
  if (aIsPeriodic || held < required) {
    const token_count hold =
      ComputeTokensToHold(aShare, kRequestPriorities, aShare.mNeeded, room,
                          aPrepaid, aOptions, aNow);
    if (isShort(required, hold)) {
      missing = std::min(room, std::max(required, hold) - held);
    }
  }
  if (aIsPeriodic || held < aShare.mHighestPriorityNeeded) {
    const token_count hold = ComputeTokensToHold(
      aShare, FindHighestPriorityEnd(aShare), aShare.mHighestPriorityNeeded,
      aRoom, aPrepaid, aOptions, aNow);
    if (isShort(aShare.mHighestPriorityNeeded, hold)) {
      missing = std::max(missing, std::min(aRoom, hold - held));
    }
  }
  return missing;
}

} // namespace

bool IsNewer(const grant_record& aLeft, const grant_record& aRight)
{
  return std::tie(aLeft.mEra, aLeft.mSequence) >
         std::tie(aRight.mEra, aRight.mSequence);
}

bool IsFromEarlierEra(const grant_share& aShare)
{
  const bool isKnown = aShare.mVersion != 0 || aShare.mCopy.mSequence != 0;
  return isKnown && aShare.mRecord.mEra != aShare.mEra;
}

void WithholdTokens(grant_share& aShare, token_count aAmount)
{
  aShare.mFreeTokens -= aAmount;
  aShare.mWithheldTokens += aAmount;
}

void ReleaseTokens(grant_share& aShare, token_count aAmount)
{
  aShare.mFreeTokens += aAmount;
  aShare.mWithheldTokens -= aAmount;
}

void StartEra(grant_share& aShare, const grant_holder& aHolder, store_era aEra)
{
  aShare.mPending.reset();
  aShare.mWithheldTokens = 0;
  // The holder knows its own grant, whatever the store has lost.
  aShare.mEntry = {};
  aShare.mEntry.mGranted = aShare.mFreeTokens + aShare.mUsedTokens;
  aShare.mEntry.mLimit = aShare.mEntry.mGranted;
  aShare.mMustRestate =
    aShare.mEntry.mGranted != 0 || aShare.mCopy.mEntries.count(aHolder.mId) > 0;
  aShare.mEra = aEra;
  aShare.mVersion = 0;
}

void AddCopy(grant_share& aShare, const grant_record& aRecord)
{
  if (IsNewer(aRecord, aShare.mCopy)) {
    aShare.mCopy = aRecord;
  }
}

void AdoptRecord(grant_share& aShare, const grant_record& aRecord,
                 store_version aVersion)
{
  SetRecord(aShare, aRecord, aVersion);
}

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
  return IsLimitExpired(aShare, aClock)
           ? aShare.mFreeTokens
           : std::min(aShare.mFreeTokens,
                      ComputeLimit(aShare) - aShare.mUsedTokens);
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

bool MaySpend(const grant_share& aShare, token_count aPrepaid)
{
  return ComputeTotal(aShare.mRecord) <= aPrepaid;
}

token_count ComputeRoomFor(const grant_share& aShare, int aPriority,
                           token_count aPrepaid, const grant_options& aOptions)
{
  const bool isReserved = HasHigherPriorityDemand(aShare, aPriority);
  return std::max<token_count>(
    0, aPrepaid - ComputeTotal(aShare.mRecord) -
         (isReserved ? ComputeReserved(aShare, aPrepaid, aOptions) : 0));
}

bool IsExhaustedFor(const grant_share& aShare, int aPriority,
                    token_count aPrepaid, const grant_options& aOptions)
{
  return aShare.mVersion > 0 && !aShare.mPending && !IsFromEarlierEra(aShare) &&
         ComputeRoomFor(aShare, aPriority, aPrepaid, aOptions) == 0;
}

bool IsExhausted(const grant_share& aShare, token_count aPrepaid)
{
  return IsExhaustedFor(aShare, 0, aPrepaid, {});
}

bool HasEarlierEntries(const grant_share& aShare, const grant_holder& aHolder)
{
  if (aShare.mVersion == 0) {
    return true;
  }
  const auto& entries = aShare.mRecord.mEntries;
  return std::any_of(entries.begin(), entries.end(), [&](const auto& aEach) {
    return IsEarlierIncarnation(aEach.first, aHolder.mId);
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
    return PlanResolvingWrite(aShare, aHolder);
  }
  if (IsFromEarlierEra(aShare) || aShare.mMustRestate) {
    // The coordinator writes first, so that not all gateways do.
    return aIsCoordinator || aIsPeriodic
             ? std::make_optional(PlanWrite(
                 aShare, aHolder, 0, { aShare.mEntry.mGranted, 0 }, aClock))
             : std::nullopt;
  }
  const token_count initial = ComputeInitialGrant(aPrepaid, aOptions);
  const limit_choice limit{
    aShare.mNeeded + aShare.mPlanned +
      std::max(initial, EstimateDemand(aShare, aOptions.mLimitMargin, aOptions,
                                       aClock.mNow)),
    static_cast<token_count>(aOptions.mMinLimitedFraction *
                             static_cast<double>(aPrepaid))
  };
  const token_count room = aPrepaid - ComputeTotal(aShare.mRecord);
  if (room < 0 && aShare.mFreeTokens > 0) {
    return PlanWrite(aShare, aHolder, -aShare.mFreeTokens, limit, aClock);
  }
  const token_count missing = ComputeMissingTokens(
    aShare, room, aPrepaid, aIsPeriodic, aOptions, aClock.mNow);
  if (aIsCoordinator && missing > 0) {
    return PlanWrite(aShare, aHolder, missing, limit, aClock);
  }
  const bool isLimitDue =
    (aIsPeriodic && IsProtective(aShare, limit, aShare.mEntry.mGranted)) ||
    IsLimitNear(aShare, limit.mMargin);
  if (isLimitDue || HasEarlierEntries(aShare, aHolder)) {
    return PlanWrite(aShare, aHolder, 0, limit, aClock);
  }
  return std::nullopt;
}

std::optional<grant_plan> PlanReturn(grant_share& aShare,
                                     const grant_holder& aHolder,
                                     const grant_clock& aClock)
{
  if (aShare.mPending || aShare.mFreeTokens <= 0 || aShare.mVersion == 0 ||
      IsFromEarlierEra(aShare) || aShare.mMustRestate) {
    return std::nullopt;
  }
  return PlanWrite(aShare, aHolder, -aShare.mFreeTokens, {}, aClock);
}

void RecordGrantWrite(grant_share& aShare, const grant_holder& aHolder,
                      grant_outcome aOutcome, const grant_record& aRecord,
                      store_version aVersion)
{
  switch (aOutcome) {
    case grant_outcome::Written:
      aShare.mMustRestate = false;
      UpdateRecord(aShare, aHolder, aRecord, aVersion);
      break;
    case grant_outcome::Conflict:
      UpdateRecord(aShare, aHolder, aRecord, aVersion);
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
