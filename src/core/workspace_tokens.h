// The tokens of one prepaid workspace at a gateway: what is granted, who waits
// for them, and what is held ahead of need. Plain structs, not thread-safe.

#ifndef FOXTAILQUAY_CORE_WORKSPACE_TOKENS_H
#define FOXTAILQUAY_CORE_WORKSPACE_TOKENS_H

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/gateway.h"
#include "token_placement.h"

namespace foxtailquay {

// A request of this gateway, or a call by another gateway, that waits for
// tokens of a workspace.
struct token_waiter
{
  // Exactly one of mHandle and mCall is not 0.
  request_handle mHandle = 0;
  std::uint64_t mCall = 0;
  token_count mAmount = 0;
  int mPriority = 0;
  absl::Time mDeadline;
  // Name of the other gateway, if it has stated it.
  std::string mPeer = {};
  // Tokens that another gateway requests beyond mAmount, ahead of need.
  token_count mExtra = 0;
  // Deadline if granted tokens are still withheld at mDeadline.
  absl::Time mWithheldDeadline = absl::InfinitePast();
};

// The first parts of a workspace's tokens, which its coordinator sends to the
// other gateways once for each start of the process.
struct first_placement
{
  // Infinite before the workspace is named and once there is nothing to do.
  absl::Time mDueAt = absl::InfiniteFuture();
  // True once the workspace has been named.
  bool mIsNamed = false;
  bool mIsPlanned = false;
  token_count mPart = 0;
  // Gateways that have not got theirs yet.
  std::vector<std::string> mTargets;
  // Part that this gateway requests itself, because tokens of the total were
  // granted before it started; 0 if there is none.
  token_count mStartPart = 0;
};

// The last recall of a workspace's tokens by this gateway.
struct token_recall
{
  absl::Time mStartedAt = absl::InfinitePast();
  bool mIsUsedUp = false;
  // Peers whose responses are waited for.
  std::set<std::string> mOpenPeers;
  // Peers that were asked and are not waited for, until they have responded.
  std::set<std::string> mDoubtfulPeers;
  // False if a peer was not asked or did not respond.
  bool mIsComplete = false;
  token_count mAmount = 0;
  // Free tokens that the peers retain, and whether each has stated them.
  token_count mRetained = 0;
  bool mIsRetainedKnown = true;
};

// The tokens of one prepaid workspace at this gateway.
struct workspace_tokens
{
  grant_share mShare;
  std::deque<token_waiter> mWaiters;
  // True while a request for tokens to another gateway has no response.
  bool mIsRequesting = false;
  // Until then this gateway writes grants for its own waiters, because the
  // coordinator may not respond in time.
  absl::Time mActsUntil = absl::InfinitePast();
  // Time before which the coordinator is not asked again: it has just had no
  // tokens, and this gateway may get some itself.
  absl::Time mNextRequestAt = absl::InfinitePast();
  // The prepaid total by the current configuration.
  token_count mPrepaid = 0;
  // Peers that could not transfer tokens, with the time until which they get no
  // requests.
  std::map<std::string, absl::Time> mAvoidUntil;
  // Time since which each response of the coordinator has stated that the
  // prepaid total has no tokens left to grant; infinite otherwise.
  absl::Time mExhaustedSince = absl::InfiniteFuture();
  // What the coordinator has stated to be left of the total, and when.
  std::optional<token_count> mStatedLeft;
  absl::Time mStatedLeftAt = absl::InfinitePast();
  // True if this gateway is the coordinator, and until when that is used.
  bool mIsCoordinator = false;
  absl::Time mCoordinatorUntil = absl::InfinitePast();
  // Demand of the callers of this gateway, whether it was served or not.
  demand_average mDemand;
  // Priority of the last request of this gateway.
  int mPriority = 0;
  // Tokens transferred to other gateways on request.
  demand_average mTransfers;
  peer_holdings mHoldings;
  // Tokens to hold for mDemand, as of the last request or tick.
  token_count mTarget = 0;
  // Refills that could not be served since the last tick, and in the interval
  // before it. Each gateway asks once in such an interval.
  token_count mUnserved = 0;
  token_count mUnservedBefore = 0;
  // True while a refill has no response.
  bool mIsRefilling = false;
  token_count mRefillAmount = 0;
  // Number of refills in a row that brought less than requested, and time
  // before which no further one is sent.
  int mShortRefills = 0;
  absl::Time mNextRefillAt = absl::InfinitePast();
  // Gateways that have requested tokens of this one.
  std::set<std::string> mRequesters;
  absl::Time mRequestedSince = absl::InfiniteFuture();
  // Tokens that were transferred although they do not cover what the other
  // gateway needs. Until then, it may return them.
  token_count mPartsOut = 0;
  absl::Time mPartsOutUntil = absl::InfinitePast();
  first_placement mPlacement;
  token_recall mRecall;
};

} // namespace foxtailquay

#endif
