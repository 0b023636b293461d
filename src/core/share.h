// A router's share of one budget, as the router holds it in memory.
//
// Invariant: ComputeFreeTokens(share) never counts a token twice. Granted
// tokens come from committed values or from a peer's transfer; from them are
// subtracted what is committed as spent, the worst case of every open run,
// costs that are not committed yet, and tokens on their way back.

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
  // From the last committed account seen.
  token_count mGranted = 0;
  token_count mCommittedSpent = 0;
  // Received from peers and not yet part of mGranted.
  std::vector<transfer_op> mTransfersIn;
  // Numbers of all transfers received, by giver; a repeated message must not
  // count twice.
  std::map<process_id, std::set<std::uint64_t>> mReceived;
  // Worst-case cost of open runs, and amounts of transfers to peers that are
  // not committed, by number.
  std::map<std::uint64_t, token_count> mOpen;
  std::map<std::uint64_t, transfer_op> mTransfersOut;
  // Costs of ended runs that are not committed.
  std::map<std::uint64_t, token_count> mUncommitted;
  std::uint64_t mNextNumber = 1;
  std::uint64_t mAdjustment = 0;
  bool mGrantPending = false;
  token_count mReturnPending = 0;
  // Tokens unallocated in the account when last seen.
  token_count mUnallocated = 0;

  // Requests that wait for tokens, in order of arrival.
  std::vector<request_handle> mWaiting;
  // Peers that were asked for a transfer and have not answered.
  std::set<member_id> mAsked;
  absl::Time mAskedUntil = absl::InfinitePast();

  // Spending rate in tokens per second, exponentially weighted.
  double mRate = 0;
  // Largest reservation so far; a share kept for an idle budget covers it.
  token_count mLargest = 0;
  token_count mSpentSinceReview = 0;
  absl::Time mLastUsed = absl::InfinitePast();
};

// Tokens that can be reserved now.
token_count ComputeFreeTokens(const share_state& aShare);

// Reserves aAmount and returns its number, or nothing if it is not covered.
std::optional<std::uint64_t> Reserve(share_state& aShare, token_count aAmount,
                                     absl::Time aNow);

// Ends the run aNumber with aCost, at most the reserved amount.
void SettleLocally(share_state& aShare, std::uint64_t aNumber,
                   token_count aCost);

// Gives up to aWant free tokens away; amount 0 if there are none. Tokens that
// came from a peer are passed on only once their transfer is committed:
// otherwise a close of this share could return them while the third router
// spends them.
transfer_op GiveTransfer(share_state& aShare, const process_id& aTo,
                         token_count aWant);

// Counts a transfer from a peer. Returns false if it was received before.
bool TakeTransfer(share_state& aShare, const transfer_op& aTransfer);

// Takes the figures of a newly committed account. aComplete is false if other
// routers' shares may have been left out of it.
void RefreshFrom(share_state& aShare, const account& aAccount, bool aComplete);

// A transfer from a peer is committed and part of mGranted.
void DropTransfer(share_state& aShare, const request_id& aFrom);

// True if the share's settled set in aAccount covers aNumber of aOwner, or
// the owner's share is closed.
bool IsSettledIn(const account& aAccount, const process_id& aOwner,
                 std::uint64_t aNumber);

// Folds the spending since the last review, aElapsed ago, into the rate, which
// is averaged over a part of the horizon.
void UpdateRate(share_state& aShare, absl::Duration aElapsed,
                absl::Duration aHorizon);

// Tokens that cover the expected spending over aHorizon and two reservations
// of the largest size, at least aLeast.
token_count TargetTokens(const share_state& aShare, absl::Duration aHorizon,
                         token_count aLeast);

} // namespace foxtailquay

#endif
