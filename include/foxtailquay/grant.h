// Grants of prepaid tokens by escrow. The store holds one grant record per
// workspace, which states how many tokens each router incarnation may spend. A
// router spends only tokens that its entry grants or that another router
// has transferred to it. The sum of all spending therefore never exceeds the
// sum of the entries, and a write takes effect only while that sum is within
// the prepaid total.
//
//   if (share.mFreeTokens - worst_case >= ComputeHeadroom(share, ...) &&
//       Reserve(share, worst_case, clock)) {
//     ... Settle(share, worst_case, used);
//   }
//   auto plan = PlanGrant(share, holder, prepaid, options, clock);
//   ... the write of plan->mRecord at plan->mExpected ended:
//   RecordGrantWrite(share, holder, outcome, record, version);
//
// A transfer between routers changes no entry. The sender deducts the tokens
// before it sends them, and the receiver adds them once on arrival.
//
// An entry also holds a limit and the time at which the limit was set, so that
// the tokens of a process that dies are not lost. The holder spends no more
// than the limit until kLimitValidity has passed since that time on the steady
// clock of its machine. If a later incarnation on the same machine starts
// before then, the tokens above the limit are certainly unspent and it closes
// the entry at the limit; otherwise it closes the entry at the full grant.
//
// Scarce tokens are reserved for higher priorities in two ways. ComputeHeadroom
// states how many free tokens a request must leave for requests of the highest
// priority, and the last part of a total is granted for demand of the highest
// priority only. No process holds that last part, so a loss of processes or
// machines cannot lose it.
//
// The store may return to an older state, in which records that it had
// acknowledged are missing. It is then in a new era. Each record states its era
// and its place in the sequence of writes, so that the newest known copy of a
// record of the last era can be found. The first write in the new era takes
// over that copy, in which each live holder states its own entry anew. Until
// then nothing is granted:
//
//   StartEra(share, era);
//   ... each newest record that another router knows:
//   AddCopy(share, record);
//   ... the record as stored in the new era:
//   AdoptRecord(share, record, version);
//   ... PlanGrant plans the write that takes over the newest copy.
//
// A copy is known after the loss of its writer only if other routers hold it.
// The caller therefore withholds granted tokens with WithholdTokens until
// enough of them do, and then calls ReleaseTokens.
//
// Plain structs, not thread-safe. Memory: one entry per router and workspace.

#ifndef FOXTAILQUAY_GRANT_H
#define FOXTAILQUAY_GRANT_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// Time for which the holder stays within a limit after it was set. Longer than
// a restart (about 3.5 s at most) plus one kLimitInterval.
constexpr absl::Duration kLimitValidity = absl::Seconds(5);
// Interval at which the limit of an entry with unspent tokens is updated while
// the store responds.
constexpr absl::Duration kLimitInterval = absl::Seconds(1);

// Number of request priorities; 0 is the highest.
constexpr int kRequestPriorities = 10;

// A point on the steady clock of one boot of one machine.
struct boot_time
{
  // Identifies the boot; empty if unknown.
  std::string mBoot;
  std::int64_t mSteadyMs = 0;
};

// The entry of one router incarnation in a grant record.
struct grant_entry
{
  token_count mGranted = 0;
  // Largest number of tokens spent until mLimitSetAt plus kLimitValidity.
  token_count mLimit = 0;
  boot_time mLimitSetAt;
};

// The holder of an entry.
struct grant_holder
{
  // "router/incarnation nonce".
  std::string mId;
  // Start of the process.
  boot_time mStart;
};

// The grants on the total of one workspace.
struct grant_record
{
  std::map<std::string, grant_entry> mEntries;
  // Tokens that earlier incarnations may have spent.
  token_count mClosed = 0;
  // Era of the store in which the record was written.
  store_era mEra = 0;
  // Number of writes of the record, over all eras.
  std::uint64_t mSequence = 0;
};

// Returns true if aLeft was written after aRight.
bool IsNewer(const grant_record& aLeft, const grant_record& aRight);

// Returns the tokens that may have been spent or may still be spent by any
// holder.
token_count ComputeTotal(const grant_record& aRecord);

// Parameters of the grants.
struct grant_options
{
  // Demand, as a time, for which a router holds tokens in advance: the longest
  // store outage that must pass without a refusal, plus the time to detect it.
  // A machine that loses power loses all of these tokens.
  absl::Duration mHorizon = absl::Seconds(9);
  // Demand of the highest priority, as a time, for which other requests leave
  // tokens: a sixth of the horizon. With a third, the others are refused in
  // outages that the grant could cover.
  absl::Duration mHeadroomTime = absl::Milliseconds(1500);
  // Demand, as a time, by which the limit exceeds the spending; a killed
  // process loses at most this. It is longer than kLimitValidity, so that at
  // the start of an outage the limit does not stop the spending before it
  // expires.
  absl::Duration mLimitMargin = absl::Seconds(6);
  // Largest fraction of the remaining total that one router holds, so that
  // enough remains after a power loss of all machines.
  double mMaxHeldFraction = 0.33;
  // Fraction of the total that is granted for demand of the highest priority
  // only, if there is other demand: half a minute of such demand at an eighth
  // of all tokens.
  double mReservedFraction = 0.05;
  // True if a holder is granted at least mInitialFraction of what is left.
  bool mHasFloor = true;
  // Averaging time of the demand.
  absl::Duration mRateWindow = absl::Seconds(3);
  // Fraction of the total that a router requests before the demand is known.
  double mInitialFraction = 0.05;
  // Fraction of the total that a limit must protect to justify a write every
  // kLimitInterval. A gateway that is killed loses tokens for about 9 s of its
  // callers' demand in any case.
  double mMinLimitedFraction = 0.1;
};

// A write that is in flight or whose outcome is unknown.
struct pending_grant
{
  store_version mExpected = 0;
  token_count mDelta = 0;
  token_count mLimit = 0;
  std::int64_t mLimitSetAtMs = 0;
  // True once the outcome was unknown: the write may still take effect.
  bool mOutcomeUnknown = false;
};

// The tokens of one workspace that this router holds.
struct grant_share
{
  // Tokens that can be reserved now, apart from the limit.
  token_count mFreeTokens = 0;
  // Tokens spent, reserved and transferred away, less those received. mGranted
  // of mEntry is mFreeTokens plus mUsedTokens, except while a return is
  // being written.
  token_count mUsedTokens = 0;
  // Tokens granted and withheld until other routers hold a copy of the record.
  token_count mWithheldTokens = 0;
  // This router's entry as last read from the store.
  grant_entry mEntry;
  grant_record mRecord;
  // Newest record that this router knows from any source.
  grant_record mCopy;
  // Era to which mVersion belongs.
  store_era mEra = 0;
  // True if the stored record may lack mEntry since the era began.
  bool mMustRestate = false;
  store_version mVersion = 0;
  std::optional<pending_grant> mPending;
  // Demand by priority in tokens per second, averaged, as of mRateAt.
  std::array<double, kRequestPriorities> mRates = {};
  absl::Time mRateAt = absl::InfinitePast();
  // Tokens that the waiting requests need.
  token_count mNeeded = 0;
  // Tokens that the waiting requests of the highest priority need.
  token_count mHighestPriorityNeeded = 0;
  // Tokens that the waiting requests must leave free.
  token_count mHeadroom = 0;
  // Tokens that planned transfers to other routers need beyond mNeeded. They
  // are granted within mMaxHeldFraction only.
  token_count mPlanned = 0;
  // Tokens to hold besides, for the holder's own demand and for expected
  // transfers; if absent, the demand over mHorizon.
  std::optional<token_count> mTokensToHold;
};

// The current time on both clocks.
struct grant_clock
{
  absl::Time mNow;
  std::int64_t mSteadyMs = 0;
};

// A write: mRecord at the expected version mExpected.
struct grant_plan
{
  store_version mExpected = 0;
  grant_record mRecord;
};

// Outcome of the write of a grant record.
enum class grant_outcome
{
  Written,
  // The record had changed; the response holds the current one.
  Conflict,
  // Certainly not written.
  NotWritten,
  // May have been written or may be written later.
  Unknown,
};

constexpr auto NameTable(grant_outcome)
{
  return MakeNameTable<grant_outcome>(
    { { grant_outcome::Written, "written" },
      { grant_outcome::Conflict, "conflict" },
      { grant_outcome::NotWritten, "not_written" },
      { grant_outcome::Unknown, "unknown" } });
}

// Returns the tokens that Reserve can take now.
token_count ComputeAvailable(const grant_share& aShare,
                             const grant_clock& aClock);

// Reserves aAmount for one request or for a transfer. Returns false, without
// effect, if too few tokens are free or the limit would be exceeded.
bool Reserve(grant_share& aShare, token_count aAmount,
             const grant_clock& aClock);

// Ends a reservation of which aUsed tokens were spent. Precondition: 0 <= aUsed
// <= aReserved.
void Settle(grant_share& aShare, token_count aReserved, token_count aUsed);

// Adds tokens that another router has transferred.
void AddReceivedTokens(grant_share& aShare, token_count aAmount);

// Records demand for aAmount tokens. Precondition: aPriority is in [0,
// kRequestPriorities).
void RecordDemand(grant_share& aShare, token_count aAmount, int aPriority,
                  const grant_options& aOptions, absl::Time aNow);

// Returns the tokens that a request of aPriority must leave for requests of the
// highest priority: their expected demand over mHeadroomTime, but at most over
// aMaxTime. Returns 0 for a request of the highest priority.
token_count ComputeHeadroom(const grant_share& aShare, int aPriority,
                            absl::Duration aMaxTime,
                            const grant_options& aOptions, absl::Time aNow);

// Returns the expected demand over aTime, in tokens.
token_count EstimateDemand(const grant_share& aShare, absl::Duration aTime,
                           const grant_options& aOptions, absl::Time aNow);

// Withholds free tokens until ReleaseTokens. Precondition: 0 <= aAmount <=
// mFreeTokens.
void WithholdTokens(grant_share& aShare, token_count aAmount);

// Makes withheld tokens available. Precondition: 0 <= aAmount <=
// mWithheldTokens.
void ReleaseTokens(grant_share& aShare, token_count aAmount);

// Begins an era of the store. A write without a known outcome and withheld
// tokens are given up: they were never spent. The stored version is unknown
// until AdoptRecord.
void StartEra(grant_share& aShare, const grant_holder& aHolder, store_era aEra);

// Adds a record that another router knows.
void AddCopy(grant_share& aShare, const grant_record& aRecord);

// Adopts the record as read in the present era; version 0 and an empty record
// if there is none. Precondition: no write is pending.
void AdoptRecord(grant_share& aShare, const grant_record& aRecord,
                 store_version aVersion);

// Returns true if the record must be written in the present era before anything
// is granted: it is from an earlier one.
bool IsFromEarlierEra(const grant_share& aShare);

// Returns false while the known grants exceed the total, as after an operator
// has lowered it. Free tokens must then be returned and not spent.
bool MaySpend(const grant_share& aShare, token_count aPrepaid);

// Returns true if, as far as is known, the total has no tokens left that this
// holder could be granted.
bool IsExhausted(const grant_share& aShare, token_count aPrepaid);

// Like IsExhausted, for a request of aPriority, which may not be granted the
// last part of the total.
bool IsExhaustedFor(const grant_share& aShare, int aPriority,
                    token_count aPrepaid, const grant_options& aOptions);

// Returns the tokens of the total that are not granted and that a request of
// aPriority may be granted.
token_count ComputeRoomFor(const grant_share& aShare, int aPriority,
                           token_count aPrepaid, const grant_options& aOptions);

// Returns true if there is demand of a higher priority than aPriority.
bool HasHigherPriorityDemand(const grant_share& aShare, int aPriority);

// Returns true if the record holds entries of earlier incarnations of aHolder
// or is not known yet.
bool HasEarlierEntries(const grant_share& aShare, const grant_holder& aHolder);

// Returns the next write, if one is useful. Takes over a record of an earlier
// era first, if aIsCoordinator or aIsPeriodic. It requests more tokens if
// aIsCoordinator, returns free tokens if the record exceeds aPrepaid, moves the
// limit, and closes the entries of earlier incarnations. With aIsPeriodic,
// which is due every kLimitInterval, it also requests tokens up to the horizon.
// Returned tokens are deducted immediately.
std::optional<grant_plan> PlanGrant(grant_share& aShare,
                                    const grant_holder& aHolder,
                                    token_count aPrepaid, bool aIsCoordinator,
                                    bool aIsPeriodic,
                                    const grant_options& aOptions,
                                    const grant_clock& aClock);

// Returns a write that returns all free tokens, for a planned stop.
std::optional<grant_plan> PlanReturn(grant_share& aShare,
                                     const grant_holder& aHolder,
                                     const grant_clock& aClock);

// Applies the outcome of the planned write. aRecord and aVersion are the
// current stored state: after Written the written one, after Conflict the one
// that was found.
void RecordGrantWrite(grant_share& aShare, const grant_holder& aHolder,
                      grant_outcome aOutcome, const grant_record& aRecord,
                      store_version aVersion);

} // namespace foxtailquay

#endif
