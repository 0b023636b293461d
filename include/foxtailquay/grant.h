// Prepaid totals by escrow. The store holds one grant record per workspace:
// how many tokens each router incarnation may spend. A router spends only
// tokens that its entry is known to grant or that another router gave it, so
// the sum of all spending never exceeds the sum of the entries, and a write
// takes effect only while that sum is within the prepaid total.
//
//   if (Reserve(share, worst_case)) { ... Settle(share, worst_case, used); }
//   auto plan = PlanGrant(share, holder, prepaid, options, now);
//   ... the write of ValueOf(plan).mRecord at mExpected ended:
//   NoteGrantWrite(share, holder, outcome, record, version);
//
// Tokens that one router gives another are deducted before they are sent and
// added once on arrival; they change no entry. An entry may therefore be
// negative at a router that returned more than it was granted itself. Tokens
// of a process that dies are counted as spent.
//
// Plain structs, not thread-safe. Memory: one entry per router and workspace.

#ifndef FOXTAILQUAY_GRANT_H
#define FOXTAILQUAY_GRANT_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// A holder is "router/incarnation nonce".
struct grant_record
{
  std::map<std::string, token_count> mEntries;
  // Sum of the entries of earlier incarnations.
  token_count mClosed = 0;
};

// Tokens that may have been spent or may still be spent by any holder.
token_count TotalOf(const grant_record& aRecord);

struct grant_options
{
  // Demand, in time, that a router holds ahead of its spending: the longest
  // loss of the store that is to pass without a refusal, plus the time to
  // notice it.
  absl::Duration mHorizon = absl::Seconds(10);
  // Averaging time of the demand.
  absl::Duration mRateWindow = absl::Seconds(3);
  // Part of the total that a router asks for before it knows the demand.
  double mFirstPart = 0.05;
};

// One write in flight or with an unknown outcome.
struct pending_grant
{
  store_version mExpected = 0;
  token_count mDelta = 0;
  // The outcome was unknown once, so that the write may still take effect.
  bool mUnsettled = false;
};

// One router's rights on the total of one workspace.
struct grant_share
{
  // May be reserved now.
  token_count mFree = 0;
  token_count mReserved = 0;
  // Own entry as last seen in the store.
  token_count mEntry = 0;
  grant_record mRecord;
  store_version mVersion = 0;
  std::optional<pending_grant> mPending;
  // Tokens per second, averaged, as of mRateAt.
  double mRate = 0;
  absl::Time mRateAt = absl::InfinitePast();
  // Shortage of the requests that wait now.
  token_count mShort = 0;
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

// Takes aAmount for one request; false, without effect, if it is not free.
bool Reserve(grant_share& aShare, token_count aAmount);

// Ends a reservation of which aUsed was spent.
// Precondition: 0 <= aUsed <= aReserved.
void Settle(grant_share& aShare, token_count aReserved, token_count aUsed);

// Counts demand for aAmount tokens.
void NoteDemand(grant_share& aShare, token_count aAmount,
                const grant_options& aOptions, absl::Time aNow);

// Tokens that the holder wants free now.
token_count WantedOf(const grant_share& aShare, token_count aPrepaid,
                     const grant_options& aOptions, absl::Time aNow);

// False while the known grants exceed the total, which happens when an
// operator lowers it: free tokens must then be returned, not spent.
bool MaySpend(const grant_share& aShare, token_count aPrepaid);

// Whether the total leaves nothing that this holder could still be granted,
// as far as it knows.
bool IsExhausted(const grant_share& aShare, token_count aPrepaid);

// The next write, if one is useful. It asks for more, or returns free tokens
// if the record exceeds aPrepaid. The returned tokens are deducted at once.
std::optional<grant_plan> PlanGrant(grant_share& aShare,
                                    const std::string& aHolder,
                                    token_count aPrepaid,
                                    const grant_options& aOptions,
                                    absl::Time aNow);

// A write that returns all free tokens, for a planned stop.
std::optional<grant_plan> PlanReturn(grant_share& aShare,
                                     const std::string& aHolder);

// Takes the outcome of the planned write. aRecord and aVersion are the present
// state: after Written what was written, after Conflict what was found.
void NoteGrantWrite(grant_share& aShare, const std::string& aHolder,
                    grant_outcome aOutcome, const grant_record& aRecord,
                    store_version aVersion);

} // namespace foxtailquay

#endif
