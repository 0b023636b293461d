// Durable accounts of prepaid budgets and the operations that change them.
//
// The platform's store holds the accounts, many of them in one value
// (`account_shard`). A router changes a shard only by applying `account_op`s
// and writing it back with compare-and-swap. Each operation has an identifier
// of its own and is idempotent, so an operation whose response was lost can be
// applied again to the value that is read back.
//
// Invariant (IsAccountValid): the tokens paid in are at least the tokens spent
// by closed shares plus those granted to open shares. The holder of a share
// spends no more than its grant, so the budget is never overspent.
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

// The settled request numbers of one share, counted from 1. All numbers up to a
// watermark are settled; settled numbers above it are listed. The list holds at
// most as many numbers as requests were open at the same time.
struct settled_set
{
  // Every number from 1 to this one is settled.
  std::uint64_t mWatermark = 0;
  // Settled numbers above the watermark.
  std::set<std::uint64_t> mAboveWatermark;
};

// Adds aNumber. Returns false if the set already held it.
bool Insert(settled_set& aSet, std::uint64_t aNumber);
// Returns true if aNumber is settled.
bool Contains(const settled_set& aSet, std::uint64_t aNumber);

// The durable record of one share: the part of a budget that one router
// incarnation may spend.
struct share_record
{
  // Tokens granted so far, less those returned or transferred away.
  token_count mGranted = 0;
  // Cost of the settled requests.
  token_count mSpent = 0;
  // Numbers of the requests and transfers that are settled.
  settled_set mSettled;
  // Number of the last grant or return that was applied.
  std::uint64_t mAdjustment = 0;
  // Members lost up to this loss epoch hold no unsettled usage record of this
  // share.
  std::uint64_t mLossEpoch = 0;
  // Set when the holder is fenced but a usage record may be lost. The unspent
  // tokens then stay reserved until an operator releases them.
  bool mHeld = false;
};

// The account of one budget.
struct account
{
  // Sum of all top-ups.
  token_count mPaidIn = 0;
  // Tokens spent by shares that are closed.
  token_count mClosedSpent = 0;
  // Open shares by holder.
  std::map<process_id, share_record> mShares;
  // Lowest incarnation of each router that may still open a share. A delayed
  // operation of the former holder cannot reopen a closed share.
  std::map<member_id, incarnation_number> mMinIncarnation;
  // Applied top-ups by the operator's identifier.
  std::map<std::string, token_count> mTopUps;
};

// The accounts that share one value in the store.
struct account_shard
{
  std::map<budget_id, account> mAccounts;
};

// Adds mAmount to mPaidIn once per mTopUpId. Creates the account if it does not
// exist.
struct top_up_op
{
  budget_id mBudget;
  std::string mTopUpId;
  token_count mAmount = 0;
};

// Grants up to mRequested more tokens to a share and opens the share if needed.
// mAdjustment must be the share's next adjustment number.
struct grant_op
{
  share_id mShare;
  std::uint64_t mAdjustment = 0;
  token_count mRequested = 0;
  // Tokens that queued requests need now. They are granted even if that exceeds
  // mMaxPermille.
  token_count mRequired = 0;
  // Largest part of the unallocated tokens that is granted, in thousandths.
  // Near the end of a budget this keeps one router from taking all remaining
  // tokens.
  int mMaxPermille = 1000;
};

// Records the cost of one request and marks the request as settled.
struct settle_op
{
  request_id mRequest;
  token_count mCost = 0;
};

// Returns unspent tokens of an open share to the account.
struct return_op
{
  share_id mShare;
  std::uint64_t mAdjustment = 0;
  token_count mAmount = 0;
};

// Moves granted tokens from one router's share to that of another. Its number
// is one of the request numbers of the sending share.
struct transfer_op
{
  request_id mFrom;
  process_id mTo;
  token_count mAmount = 0;
};

// Closes a share whose holder can spend nothing more, because it has stopped or
// because every member has acknowledged its fence. The unspent tokens return to
// the budget.
struct close_share_op
{
  share_id mShare;
  // Loss epoch up to which usage records may have been lost. If it is newer
  // than the epoch recorded in the share, the share is held instead of closed.
  std::uint64_t mLossEpoch = 0;
};

// Records that all runs on members lost up to mLossEpoch are settled.
struct record_loss_epoch_op
{
  share_id mShare;
  std::uint64_t mLossEpoch = 0;
};

// Closes a held share. An operator decides on this.
struct release_held_op
{
  share_id mShare;
};

// Any operation on an account.
using account_op =
  std::variant<top_up_op, grant_op, settle_op, return_op, transfer_op,
               close_share_op, record_loss_epoch_op, release_held_op>;

// Outcome of applying an operation.
enum class op_outcome
{
  // The operation changed the value.
  Applied,
  // The value already contained the effect of the operation.
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

// Applies aOp to aShard.
op_outcome ApplyOp(account_shard& aShard, const account_op& aOp);

// Returns the budget that aOp changes.
const budget_id& GetBudget(const account_op& aOp);

// Returns the tokens that can still be granted.
token_count ComputeUnallocated(const account& aAccount);
// Returns the tokens settled so far, over all shares.
token_count ComputeSpent(const account& aAccount);
// Returns true if the invariant at the top of this file holds.
bool IsAccountValid(const account& aAccount);

// Returns the index of the shard that holds aBudget. Precondition: aShardCount
// > 0.
std::uint32_t ComputeShard(const budget_id& aBudget, std::uint32_t aShardCount);

} // namespace foxtailquay

#endif
