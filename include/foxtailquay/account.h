// Durable accounts of prepaid budgets and the operations on them.
//
// An account lives in the platform's store, many accounts to one value
// (`account_shard`). Routers change it only by applying `account_op`s and
// writing the shard back with compare-and-swap. Every operation is idempotent
// by an identifier of its own, so an operation whose answer was lost is
// simply applied again to the value read back.
//
// Invariant (IsAccountValid): paid in >= spent by closed shares + granted to
// open shares. Because a share's holder spends only what was granted, the
// budget cannot be overspent.
//
// Pure functions on plain values; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_ACCOUNT_H
#define FOXTAILQUAY_ACCOUNT_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "foxtailquay/types.h"

namespace foxtailquay {

// The numbers 1..n of one share that have been settled: everything up to a
// watermark plus a sparse set above it. Its size is bounded by the number of
// requests that were open at once.
struct settled_set
{
  std::uint64_t mWatermark = 0;
  std::set<std::uint64_t> mAboveWatermark;
};

// Adds aNumber. Returns false if it was already in the set.
bool Insert(settled_set& aSet, std::uint64_t aNumber);
bool Contains(const settled_set& aSet, std::uint64_t aNumber);

struct share_record
{
  token_count mGranted = 0;
  token_count mSpent = 0;
  settled_set mSettled;
  // Number of the last grant or give-back that was applied.
  std::uint64_t mAdjustment = 0;
  // The newest loss epoch whose lost members can no longer hold an unsettled
  // usage record of this share.
  std::uint64_t mLossEpoch = 0;
  // Set when the holder was fenced but a usage record may be lost; the
  // remainder waits for an operator.
  bool mHeld = false;
};

struct account
{
  token_count mPaidIn = 0;
  // Spending of shares that have been closed.
  token_count mClosedSpent = 0;
  std::map<process_id, share_record> mShares;
  // Lowest incarnation per router that may still open a share. A closed share
  // cannot be opened again by a late operation of its former holder.
  std::map<member_id, incarnation_number> mMinIncarnation;
  // Top-ups applied so far, by the operator's identifier.
  std::map<std::string, token_count> mTopUps;
};

struct account_shard
{
  std::map<budget_id, account> mAccounts;
};

// Raises mPaidIn once per mTopUpId. Creates the account if needed.
struct top_up_op
{
  budget_id mBudget;
  std::string mTopUpId;
  token_count mAmount = 0;
};

// Grants up to mRequested more to a share, opening it if needed. mAdjustment
// must be the share's next adjustment number.
struct grant_op
{
  share_id mShare;
  std::uint64_t mAdjustment = 0;
  token_count mRequested = 0;
  // What waiting requests need now; granted even above mMaxPermille.
  token_count mRequired = 0;
  // At most this part of the unallocated tokens is granted, in 1/1000, so
  // that near the end of a budget the last tokens are not hoarded.
  int mMaxPermille = 1000;
};

struct settle_op
{
  request_id mRequest;
  token_count mCost = 0;
};

// Returns unspent tokens of an open share.
struct return_op
{
  share_id mShare;
  std::uint64_t mAdjustment = 0;
  token_count mAmount = 0;
};

// Moves granted tokens between two routers' shares; numbered like a request
// of the giving share.
struct transfer_op
{
  request_id mFrom;
  process_id mTo;
  token_count mAmount = 0;
};

// Closes a share whose holder can spend no more: the holder has stopped, or
// every member acknowledged its fence. The remainder returns to the budget.
struct close_share_op
{
  share_id mShare;
  // The loss epoch up to which usage records may have been lost. The share is
  // held instead of closed if it is newer than the one in the share.
  std::uint64_t mLossEpoch = 0;
};

// Records that all runs on members lost up to mLossEpoch are settled.
struct record_loss_epoch_op
{
  share_id mShare;
  std::uint64_t mLossEpoch = 0;
};

// Closes a held share on an operator's decision.
struct release_held_op
{
  share_id mShare;
};

using account_op =
  std::variant<top_up_op, grant_op, settle_op, return_op, transfer_op,
               close_share_op, record_loss_epoch_op, release_held_op>;

enum class op_outcome
{
  Applied,
  // The value already contains the effect of this operation.
  AlreadyApplied,
  // The operation cannot take effect, now or later.
  Denied,
};

constexpr auto NameTable(op_outcome)
{
  return MakeNameTable<op_outcome>(
    { { op_outcome::Applied, "applied" },
      { op_outcome::AlreadyApplied, "already_applied" },
      { op_outcome::Denied, "denied" } });
}

// Applies one operation to the shard.
op_outcome ApplyOp(account_shard& aShard, const account_op& aOp);

// The budget that an operation changes.
const budget_id& GetBudget(const account_op& aOp);

// Tokens that can still be granted.
token_count ComputeUnallocated(const account& aAccount);
// Tokens settled so far, over all shares.
token_count ComputeSpent(const account& aAccount);
// True if the invariant at the top of this file holds.
bool IsAccountValid(const account& aAccount);

// Index of the shard that holds aBudget. Precondition: aShardCount > 0.
std::uint32_t ComputeShard(const budget_id& aBudget, std::uint32_t aShardCount);

} // namespace foxtailquay

#endif
