// A router's share of one budget, as the router keeps it in memory.
//
// Invariant: ComputeFreeTokens(share) counts no token twice. It is the sum of
// the committed grants and the transfers received from peers, less the
// committed spending, the worst-case cost of every open run, the costs of ended
// runs and the transfers to peers that are not committed yet, and the tokens of
// a pending return.
//
// Plain functions on one share; not thread-safe.

#ifndef FOXTAILQUAY_CORE_SHARE_H
#define FOXTAILQUAY_CORE_SHARE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/account.h"
#include "node_charts.h"

namespace foxtailquay {

struct share_state
{
  share_id mId;
  share_status mStatus = share_status::Absent;
  // Values of the last committed account that was received.
  token_count mGranted = 0;
  token_count mCommittedSpent = 0;
  // Transfers received from peers that are not part of mGranted yet.
  std::vector<transfer_op> mTransfersIn;
  // Numbers of all transfers received, by sender, so that a repeated message is
  // not counted twice.
  std::map<process_id, std::set<std::uint64_t>> mReceivedTransfers;
  // Worst-case costs of the open runs by request number.
  std::map<std::uint64_t, token_count> mReservations;
  // Transfers to peers that are not committed yet, by request number.
  std::map<std::uint64_t, transfer_op> mTransfersOut;
  // Costs of ended runs that are not committed yet, by request number.
  std::map<std::uint64_t, token_count> mUncommittedCosts;
  // Next number of a run or a transfer to a peer.
  std::uint64_t mNextNumber = 1;
  // Number of the last grant or return that was submitted.
  std::uint64_t mAdjustment = 0;
  bool mGrantPending = false;
  // Tokens of the pending return; 0 if there is none.
  token_count mReturnPending = 0;
  // Unallocated tokens of the budget in the last committed account received.
  token_count mUnallocated = 0;

  // Requests that wait for tokens, in order of arrival.
  std::vector<request_handle> mWaiting;
  // Peers that have not responded to a transfer request yet, and the time until
  // which their responses are awaited.
  std::set<member_id> mTransferPeers;
  absl::Time mTransferDeadline = absl::InfinitePast();

  // Exponentially weighted moving average of the spending, in tokens per
  // second.
  double mSpendingRate = 0;
  // Largest reservation so far; the target of an idle share covers two of them.
  token_count mMaxReservation = 0;
  // Tokens spent since the last UpdateRate.
  token_count mSpentSinceUpdate = 0;
  absl::Time mLastUsed = absl::InfinitePast();
};

// Returns the tokens that can be reserved now. The value may be negative.
token_count ComputeFreeTokens(const share_state& aShare);

// Reserves aAmount and returns the number of the run, or nothing if the share
// is not open or its free tokens do not cover aAmount.
std::optional<std::uint64_t> Reserve(share_state& aShare, token_count aAmount,
                                     absl::Time aNow);

// Replaces the reservation of run aNumber by its cost, which is not committed
// yet. Does nothing if the run is not open. Precondition: aCost is at most the
// reserved amount.
void SettleLocally(share_state& aShare, std::uint64_t aNumber,
                   token_count aCost);

// Returns a transfer of up to aRequested free tokens to aTo and subtracts them
// from the share. The amount is 0 if no tokens are free, the share is not open
// or requests of this router wait for tokens. Tokens received from a peer can
// be transferred only after that transfer is committed: a close of this share
// could otherwise return them to the budget while the third router spends them.
transfer_op TransferTokens(share_state& aShare, const process_id& aTo,
                           token_count aRequested);

// Adds a transfer from a peer to the free tokens. Returns false if it was
// received before.
bool RecordTransfer(share_state& aShare, const transfer_op& aTransfer);

// Updates the share from a newer committed account. aComplete is false if the
// account may lack shares of other routers.
void UpdateShare(share_state& aShare, const account& aAccount, bool aComplete);

// Removes a transfer from a peer that is committed and thus part of mGranted.
void RemoveTransfer(share_state& aShare, const request_id& aFrom);

// Returns true if number aNumber of the share of aHolder is settled in
// aAccount, or aAccount has no such share.
bool IsSettledOrClosed(const account& aAccount, const process_id& aHolder,
                       std::uint64_t aNumber);

// Updates the spending rate with the spending since the last call, which was
// aElapsed ago. The rate is averaged over a quarter of aHorizon, within limits.
// Does nothing if aElapsed is not positive.
void UpdateRate(share_state& aShare, absl::Duration aElapsed,
                absl::Duration aHorizon);

// Returns the number of free tokens that a share should have: the maximum of
// the expected spending over aHorizon, two reservations of the largest size so
// far, and aMinTokens.
token_count ComputeTargetTokens(const share_state& aShare,
                                absl::Duration aHorizon,
                                token_count aMinTokens);

} // namespace foxtailquay

#endif
