// Prepaid totals by escrow. The store holds one grant record per workspace:
// how many tokens each router incarnation may spend. A router spends only
// tokens that its entry is known to grant or that another router gave it, so
// the sum of all spending never exceeds the sum of the entries, and a write
// takes effect only while that sum is within the prepaid total.
//
//   if (share.mFreeTokens - worst_case >= ComputeHeadroom(share, urgency, ...)
//   &&
//       Reserve(share, worst_case, clock)) {
//     ... Settle(share, worst_case, used);
//   }
//   auto plan = PlanGrant(share, holder, prepaid, options, clock);
//   ... the write of plan->mRecord at plan->mExpected ended:
//   RecordGrantWrite(share, holder, outcome, record, version);
//
// Tokens that one router gives another are deducted before they are sent and
// added once on arrival; they change no entry.
//
// So that the tokens of a process that dies are not lost, an entry also holds
// a limit and the time at which it was checked. The holder lets out no more
// than the limit until kLimitValidity has passed since that time on the steady
// clock of its machine. A later incarnation on the same machine that started
// sooner knows that the rest was not spent and closes the entry at the limit;
// otherwise it closes it at the whole grant.
//
// Tokens that are scarce are kept for the more urgent demand: ComputeHeadroom
// says how many of the free ones a request of some urgency must leave, and the
// last part of a total is granted for the most urgent demand only. As nobody
// holds that part, no loss of processes or machines can take it.
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

// From a checked entry on, the holder stays within the limit for this long.
// Longer than a restart takes (about 3.5 s at most) and one check interval.
constexpr absl::Duration kLimitValidity = absl::Seconds(5);
// An entry with unspent tokens is checked this often while the store answers.
constexpr absl::Duration kLimitInterval = absl::Seconds(1);

// Urgencies of requests; 0 is the most urgent.
constexpr int kRequestPriorities = 10;

// A point on the steady clock of one boot of one machine.
struct boot_time
{
  // Identifies the boot; empty if unknown.
  std::string mBoot;
  std::int64_t mSteadyMs = 0;
};

struct grant_entry
{
  token_count mGranted = 0;
  // Most tokens that were let out until mLimitSetAt plus kLimitValidity.
  token_count mLimit = 0;
  boot_time mLimitSetAt;
};

struct grant_holder
{
  // "router/incarnation nonce".
  std::string mId;
  // Start of the process.
  boot_time mStart;
};

struct grant_record
{
  std::map<std::string, grant_entry> mEntries;
  // What earlier incarnations may have spent.
  token_count mClosed = 0;
};

// Tokens that may have been spent or may still be spent by any holder.
token_count ComputeTotal(const grant_record& aRecord);

struct grant_options
{
  // Demand, in time, that a router holds ahead of its spending: the longest
  // loss of the store that is to pass without a refusal, plus the time to
  // notice it. A machine that loses power loses all of it.
  absl::Duration mHorizon = absl::Seconds(9);
  // Most urgent demand, in time, for which other requests leave tokens: a
  // sixth of the horizon. With a third, the others are refused in outages that
  // the grant could bridge.
  absl::Duration mHeadroomTime = absl::Milliseconds(1500);
  // Demand, in time, that the limit lies ahead of the spending: what a killed
  // process loses at most. Somewhat above kLimitValidity, so that an outage
  // that begins does not stop the spending before the limit ends.
  absl::Duration mLimitMargin = absl::Seconds(6);
  // Part of what is left of the total that a router holds at most, so that a
  // power loss of all machines leaves enough to go on.
  double mMaxHeldFraction = 0.33;
  // Part of the total that is granted for the most urgent demand only, if there
  // is other demand: half a minute of it at an eighth of all tokens.
  double mReservedFraction = 0.05;
  // Averaging time of the demand.
  absl::Duration mRateWindow = absl::Seconds(3);
  // Part of the total that a router asks for before it knows the demand.
  double mInitialFraction = 0.05;
  // Part of the total below which unspent tokens are not worth a check.
  double mMinLimitedFraction = 0.01;
};

// One write in flight or with an unknown outcome.
struct pending_grant
{
  store_version mExpected = 0;
  token_count mDelta = 0;
  token_count mLimit = 0;
  std::int64_t mLimitSetAtMs = 0;
  // The outcome was unknown once, so that the write may still take effect.
  bool mOutcomeUnknown = false;
};

// One router's rights on the total of one workspace.
struct grant_share
{
  // May be reserved now, within the limit.
  token_count mFreeTokens = 0;
  // Spent, reserved and given away, less what was received. mGranted of the
  // own entry is mFreeTokens plus mUsedTokens, but for a return that is being
  // written.
  token_count mUsedTokens = 0;
  // Own entry as last seen in the store.
  grant_entry mEntry;
  grant_record mRecord;
  store_version mVersion = 0;
  std::optional<pending_grant> mPending;
  // Tokens per second by urgency, averaged, as of mRateAt.
  std::array<double, kRequestPriorities> mRates = {};
  absl::Time mRateAt = absl::InfinitePast();
  // Tokens that the requests that wait now need, those of the most urgent ones
  // among them, and what they must leave.
  token_count mNeeded = 0;
  token_count mHighestPriorityNeeded = 0;
  token_count mHeadroom = 0;
};

// The present time on both clocks.
struct grant_clock
{
  absl::Time mNow;
  std::int64_t mSteadyMs = 0;
};

struct grant_plan
{
  store_version mExpected = 0;
  grant_record mRecord;
};

enum class grant_outcome
{
  Written,
  // The record had changed; the present one is known.
  Conflict,
  // Certainly not written.
  NotWritten,
  // May have been written, or may be written later.
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

// Tokens that Reserve would take now.
token_count ComputeAvailable(const grant_share& aShare,
                             const grant_clock& aClock);

// Takes aAmount for one request, or to give it to another router; false,
// without effect, if it is not free or beyond the limit.
bool Reserve(grant_share& aShare, token_count aAmount,
             const grant_clock& aClock);

// Ends a reservation of which aUsed was spent.
// Precondition: 0 <= aUsed <= aReserved.
void Settle(grant_share& aShare, token_count aReserved, token_count aUsed);

// Adds tokens that another router gave.
void AddReceivedTokens(grant_share& aShare, token_count aAmount);

// Counts demand for aAmount tokens. Precondition: aPriority is in
// [0, kRequestPriorities).
void RecordDemand(grant_share& aShare, token_count aAmount, int aPriority,
                  const grant_options& aOptions, absl::Time aNow);

// Tokens that a request of aPriority must leave for the most urgent ones: their
// expected demand of mHeadroomTime, but at most of aMaxTime. 0 if it is one of
// these.
token_count ComputeHeadroom(const grant_share& aShare, int aPriority,
                            absl::Duration aMaxTime,
                            const grant_options& aOptions, absl::Time aNow);

// Expected demand of aTime.
token_count EstimateDemand(const grant_share& aShare, absl::Duration aTime,
                           const grant_options& aOptions, absl::Time aNow);

// False while the known grants exceed the total, which happens when an
// operator lowers it: free tokens must then be returned, not spent.
bool MaySpend(const grant_share& aShare, token_count aPrepaid);

// Whether the total leaves nothing that this holder could still be granted,
// as far as it knows.
bool IsExhausted(const grant_share& aShare, token_count aPrepaid);

// The same for a request of aPriority, which may not be granted the last part.
bool IsExhaustedFor(const grant_share& aShare, int aPriority,
                    token_count aPrepaid, const grant_options& aOptions);

// Whether there is demand that is more urgent than aPriority.
bool HasHigherPriorityDemand(const grant_share& aShare, int aPriority);

// True if the record holds entries of earlier incarnations of aHolder, or is
// not known yet.
bool HasEarlierEntries(const grant_share& aShare, const grant_holder& aHolder);

// The next write, if one is useful: it asks for more if aIsCoordinator, returns
// free tokens if the record exceeds aPrepaid, moves the limit, and closes the
// entries of earlier incarnations. With aIsPeriodic, which is due every
// kLimitInterval, it also fills up to the horizon. Returned tokens are deducted
// at once.
std::optional<grant_plan> PlanGrant(grant_share& aShare,
                                    const grant_holder& aHolder,
                                    token_count aPrepaid, bool aIsCoordinator,
                                    bool aIsPeriodic,
                                    const grant_options& aOptions,
                                    const grant_clock& aClock);

// A write that returns all free tokens, for a planned stop.
std::optional<grant_plan> PlanReturn(grant_share& aShare,
                                     const grant_holder& aHolder,
                                     const grant_clock& aClock);

// Takes the outcome of the planned write. aRecord and aVersion are the present
// state: after Written what was written, after Conflict what was found.
void RecordGrantWrite(grant_share& aShare, const grant_holder& aHolder,
                      grant_outcome aOutcome, const grant_record& aRecord,
                      store_version aVersion);

} // namespace foxtailquay

#endif
