#include "gateway_waiters.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_placement.h"

namespace foxtailquay {

namespace {

// Time for which the coordinator must have had no tokens left before a request
// is refused for good. Within it, gateways with demand spend what they retain,
// and the others return it.
constexpr absl::Duration kExhaustionTime = absl::Seconds(2);

// Time by which a request waits longer for tokens that are granted to this
// gateway and withheld: a call that sends a copy of the record ends within 600
// ms of the write.
constexpr absl::Duration kWithheldTime = absl::Milliseconds(300);

// Time for which a statement of the coordinator counts: that in which requests
// wait for its response.
constexpr absl::Duration kStatementTime = kFundingTimeout;

// Time within which a gateway returns tokens that do not cover what it needs:
// it first asks for the rest, in a round trip and a wait for copies of a grant.
constexpr absl::Duration kPartReturnTime = absl::Milliseconds(100);

// Returns true if the grant record proves that the total is used up: no other
// router can hold unspent tokens of it.
bool IsCertainlyExhausted(const gateway& aGateway,
                          const workspace_tokens& aTokens)
{
  const grant_record& record = aTokens.mShare.mRecord;
  return IsExhausted(aTokens.mShare, aTokens.mPrepaid) && record.mClosed == 0 &&
         record.mEntries.size() == 1 &&
         record.mEntries.count(aGateway.mHolder.mId) == 1;
}

// Returns true if the total is known not to cover a request of aNeeded tokens:
// the other gateways have stated what they retain, or have returned what they
// do not need.
bool IsUsedUpFor(const gateway& aGateway, const workspace_tokens& aTokens,
                 int aPriority, token_count aNeeded, absl::Time aNow)
{
  const std::optional<token_count> left =
    FindLeft(aGateway, aTokens, aPriority, aNow);
  return (left && *left < aNeeded) ||
         (IsCertainlyExhausted(aGateway, aTokens) &&
          HasRecalledAll(aGateway, aTokens, aNow));
}

// Time from a response of the store or of a gateway to the tokens that it leads
// to: a grant write, the copies of its record and a transfer.
constexpr absl::Duration kAcquisitionTime = absl::Milliseconds(300);
// Longest retry time that a refusal states: the contact time within which a
// gateway notices that the store responds again.
constexpr absl::Duration kMaxFundingRetry = absl::Seconds(3);

// Which of those from whom a gateway gets tokens are out of its reach.
struct token_reach
{
  bool mIsStoreAway = false;
  std::size_t mPeersAway = 0;
  // Time of the next call to one of them; infinite if it is not known.
  absl::Time mNextCallAt = absl::InfiniteFuture();
};

token_reach FindReach(const gateway& aGateway, absl::Time aNow)
{
  token_reach reach;
  reach.mIsStoreAway = IsStoreUnavailable(aGateway);
  if (reach.mIsStoreAway) {
    const auto area = static_cast<std::size_t>(directory_area::Configuration);
    reach.mNextCallAt = aGateway.mAreas[area].mRetryAt;
    if (aGateway.mWriteFailed && aGateway.mEntriesInFlight.empty()) {
      reach.mNextCallAt =
        std::min(reach.mNextCallAt, std::max(aNow, aGateway.mNextWriteAt));
    }
  }
  for (const auto& peer : aGateway.mPeers) {
    if (aNow < peer.second.mSuspectUntil) {
      ++reach.mPeersAway;
      reach.mNextCallAt =
        std::min(reach.mNextCallAt, peer.second.mSuspectUntil);
    }
  }
  return reach;
}

// Returns the error for a failed reservation. Its detail states the values on
// which the decision is based, and what is out of reach.
error MakeFundingError(const gateway& aGateway, const workspace_tokens& aTokens,
                       token_count aNeeded, bool aIsCertain, absl::Time aNow)
{
  std::string known = absl::StrCat(
    ": needs ", aNeeded, ", free ", aTokens.mShare.mFreeTokens,
    ", granted to all ", ComputeTotal(aTokens.mShare.mRecord), " of ",
    aTokens.mPrepaid, " at version ", aTokens.mShare.mVersion);
  if (aIsCertain) {
    return MakeError(error_code::BudgetExhausted, executed::No,
                     "the prepaid total does not cover the request" + known);
  }
  const token_reach reach = FindReach(aGateway, aNow);
  if (reach.mIsStoreAway) {
    known += "; the store does not respond";
  }
  if (reach.mPeersAway > 0) {
    absl::StrAppend(&known, "; ", reach.mPeersAway, " of ",
                    aGateway.mPeers.size(), " other gateways do not respond");
  }
  error refusal =
    MakeError(error_code::RateLimited, executed::No,
              "no tokens of the prepaid total are available now" + known);
  if (reach.mIsStoreAway || reach.mPeersAway > 0) {
    // Without a call that is due, one is in flight.
    const absl::Duration wait = reach.mNextCallAt == absl::InfiniteFuture()
                                  ? kStoreResponseTime
                                  : reach.mNextCallAt - aNow;
    refusal.mRetryAfter =
      std::clamp(wait + kAcquisitionTime, kRetryAfter, kMaxFundingRetry);
  } else {
    // The next recall brings what the other gateways have not spent by then.
    refusal.mRetryAfter = std::clamp(FindNextRecallTime(aGateway, aTokens) -
                                       aNow + kAcquisitionTime,
                                     kRetryAfter, kMaxFundingRetry);
  }
  return refusal;
}

// Returns true if the coordinator has just stated that the total does not cover
// a request of aNeeded tokens.
bool IsKnownUncovered(const workspace_tokens& aTokens, token_count aNeeded,
                      absl::Time aNow)
{
  return aTokens.mStatedLeft && aNow - aTokens.mStatedLeftAt < kStatementTime &&
         aNeeded > AddTokens(aTokens.mShare.mFreeTokens, *aTokens.mStatedLeft);
}

// Reports the result to a waiter that has been removed: fires an event on the
// request or responds to the other gateway. aNeeded: what it has waited for.
// aIsReserved states whether the tokens are reserved; they are released if the
// request no longer waits.
void EndWaiter(gateway& aGateway, workspace_tokens& aTokens,
               const token_waiter& aWaiter, token_count aNeeded,
               bool aIsReserved, absl::Time aNow)
{
  if (aWaiter.mCall != 0) {
    const std::optional<token_count> left =
      FindLeft(aGateway, aTokens, aWaiter.mPriority, aNow);
    const bool isExhausted =
      IsUsedUpFor(aGateway, aTokens, aWaiter.mPriority, aNeeded, aNow);
    token_count amount = aIsReserved ? aWaiter.mAmount : 0;
    if (aIsReserved) {
      AddDemand(aTokens.mTransfers, amount, aNow);
      // The waiters of the other gateway use up what it holds.
      const bool isListed = aGateway.mPeers.count(aWaiter.mPeer) > 0;
      if (isListed) {
        SetHolding(aTokens.mHoldings, aWaiter.mPeer, 0);
      }
      const token_count wanted =
        LimitAheadOfNeed(aTokens, aWaiter.mExtra, aNow);
      const token_count extra =
        TakeSpareTokens(aGateway, aTokens, wanted, aWaiter.mPriority, aNow);
      if (isListed) {
        AddHolding(aTokens.mHoldings, aWaiter.mPeer, extra);
      }
      AddUnserved(aTokens, wanted - extra, aNow);
      amount += extra;
    }
    aGateway.mActions.push_back(send_token_response{
      aWaiter.mCall,
      { amount, isExhausted, !aIsReserved && IsStoreUnavailable(aGateway),
        amount == 0 ? left : std::nullopt } });
    return;
  }
  auto request = aGateway.mRequests.find(aWaiter.mHandle);
  if (request == aGateway.mRequests.end() ||
      request->second->mStatus != forward_status::Funding) {
    if (aIsReserved) {
      Settle(aTokens.mShare, aWaiter.mAmount, 0);
    }
    return;
  }
  if (aIsReserved) {
    request->second->mReserved = aWaiter.mAmount;
    FireRequest(aGateway, aWaiter.mHandle, forward_event::Funded, aNow);
    return;
  }
  request->second->mError = MakeWaiterError(aGateway, aTokens, aWaiter, aNow);
  FireRequest(aGateway, aWaiter.mHandle, forward_event::Unfunded, aNow);
}

bool IsOverdue(const workspace_tokens& aTokens, const token_waiter& aWaiter,
               absl::Time aNow)
{
  const bool isWithheld = aTokens.mShare.mWithheldTokens >= aWaiter.mAmount;
  return aNow >= aWaiter.mDeadline &&
         !(isWithheld && aNow < aWaiter.mWithheldDeadline);
}

// Ends the waiters that aEnds selects. Another gateway receives the available
// tokens, up to the requested amount.
template<typename Predicate>
void EndWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                Predicate aEnds, absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  const grant_options& options = aGateway.mSettings.mGrants;
  std::deque<token_waiter> waiters;
  waiters.swap(tokens.mWaiters);
  for (token_waiter& waiter : waiters) {
    if (!aEnds(waiter)) {
      tokens.mWaiters.push_back(waiter);
      continue;
    }
    const token_count needed = waiter.mAmount;
    const bool isTransferred = ReserveRestForPeer(
      tokens, waiter, options, MakeGrantClock(aGateway, aNow));
    EndWaiter(aGateway, tokens, waiter, needed, isTransferred, aNow);
    if (isTransferred) {
      const bool isRecent = aNow < tokens.mPartsOutUntil;
      tokens.mPartsOut =
        AddTokens(isRecent ? tokens.mPartsOut : 0, waiter.mAmount);
      tokens.mPartsOutUntil = aNow + kPartReturnTime;
    }
  }
}

} // namespace

bool IsStoreUnavailable(const gateway& aGateway)
{
  const auto area = static_cast<std::size_t>(directory_area::Configuration);
  return aGateway.mWriteFailed || !aGateway.mAreas[area].mIsConnected;
}

token_count ComputeRequiredHeadroom(const grant_share& aShare, int aPriority,
                                    const grant_options& aOptions,
                                    absl::Time aNow)
{
  const absl::Duration maxTime =
    aShare.mEntry.mGranted > 0 ? absl::InfiniteDuration() : kMaxPeerHeadroom;
  return ComputeHeadroom(aShare, aPriority, maxTime, aOptions, aNow);
}

void UpdateNeededTokens(workspace_tokens& aTokens,
                        const grant_options& aOptions, absl::Time aNow)
{
  aTokens.mShare.mNeeded = 0;
  aTokens.mShare.mHighestPriorityNeeded = 0;
  aTokens.mShare.mHeadroom = 0;
  for (const token_waiter& waiter : aTokens.mWaiters) {
    aTokens.mShare.mNeeded = AddTokens(aTokens.mShare.mNeeded, waiter.mAmount);
    if (!HasHigherPriorityDemand(aTokens.mShare, waiter.mPriority)) {
      aTokens.mShare.mHighestPriorityNeeded =
        AddTokens(aTokens.mShare.mHighestPriorityNeeded, waiter.mAmount);
    }
    aTokens.mShare.mHeadroom =
      std::max(aTokens.mShare.mHeadroom,
               ComputeRequiredHeadroom(aTokens.mShare, waiter.mPriority,
                                       aOptions, aNow));
  }
}

void RecordExhaustion(workspace_tokens& aTokens, bool aIsExhausted,
                      absl::Time aNow)
{
  if (!aIsExhausted) {
    aTokens.mExhaustedSince = absl::InfiniteFuture();
  } else if (aTokens.mExhaustedSince == absl::InfiniteFuture()) {
    aTokens.mExhaustedSince = aNow;
  }
}

bool NeedsTokens(const forwarded_request& aRequest)
{
  return aRequest.mIsPrepaid && aRequest.mWorstCaseCost > 0;
}

token_waiter MakeWaiter(const forwarded_request& aRequest, absl::Time aNow)
{
  return { aRequest.mCaller.mHandle,
           0,
           aRequest.mWorstCaseCost,
           aRequest.mRoutePriority,
           std::min(aRequest.mDeadline, aNow + kFundingTimeout),
           {},
           0,
           std::min(aRequest.mDeadline,
                    aNow + kFundingTimeout + kWithheldTime) };
}

bool ReserveForWaiter(workspace_tokens& aTokens, const token_waiter& aWaiter,
                      const grant_options& aOptions, const grant_clock& aClock)
{
  grant_share& share = aTokens.mShare;
  const token_count headroom =
    ComputeRequiredHeadroom(share, aWaiter.mPriority, aOptions, aClock.mNow);
  const bool isReserved = MaySpend(share, aTokens.mPrepaid) &&
                          share.mFreeTokens - aWaiter.mAmount >= headroom &&
                          Reserve(share, aWaiter.mAmount, aClock);
  // Only successful reservations count as demand, because refused callers
  // repeat their requests.
  if (isReserved) {
    RecordDemand(share, aWaiter.mAmount, aWaiter.mPriority, aOptions,
                 aClock.mNow);
  }
  return isReserved;
}

bool ReserveRestForPeer(workspace_tokens& aTokens, token_waiter& aWaiter,
                        const grant_options& aOptions,
                        const grant_clock& aClock)
{
  if (aWaiter.mCall == 0) {
    return false;
  }
  const token_count rest =
    aTokens.mShare.mFreeTokens - ComputeRequiredHeadroom(aTokens.mShare,
                                                         aWaiter.mPriority,
                                                         aOptions, aClock.mNow);
  aWaiter.mAmount = std::min(aWaiter.mAmount, rest);
  return aWaiter.mAmount > 0 &&
         ReserveForWaiter(aTokens, aWaiter, aOptions, aClock);
}

error MakeWaiterError(const gateway& aGateway, const workspace_tokens& aTokens,
                      const token_waiter& aWaiter, absl::Time aNow)
{
  const bool isCertain =
    aWaiter.mAmount > aTokens.mShare.mFreeTokens &&
    (IsUsedUpFor(aGateway, aTokens, aWaiter.mPriority, aWaiter.mAmount, aNow) ||
     IsKnownUncovered(aTokens, aWaiter.mAmount, aNow) ||
     aNow - aTokens.mExhaustedSince >= kExhaustionTime);
  return MakeFundingError(aGateway, aTokens, aWaiter.mAmount, isCertain, aNow);
}

void SortWaiters(std::deque<token_waiter>& aWaiters)
{
  std::stable_sort(aWaiters.begin(), aWaiters.end(),
                   [](const token_waiter& aLeft, const token_waiter& aRight) {
                     return aLeft.mPriority < aRight.mPriority;
                   });
}

void ReserveForWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                       bool aEndAll, absl::Time aNow)
{
  workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  std::deque<token_waiter> waiters;
  waiters.swap(tokens.mWaiters);
  SortWaiters(waiters);
  for (const token_waiter& waiter : waiters) {
    if (ReserveForWaiter(tokens, waiter, aGateway.mSettings.mGrants,
                         MakeGrantClock(aGateway, aNow))) {
      EndWaiter(aGateway, tokens, waiter, waiter.mAmount, true, aNow);
    } else if (aEndAll || IsOverdue(tokens, waiter, aNow)) {
      EndWaiter(aGateway, tokens, waiter, waiter.mAmount, false, aNow);
    } else {
      tokens.mWaiters.push_back(waiter);
    }
  }
}

void EndPeerWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                    absl::Time aNow)
{
  EndWaiters(
    aGateway, aWorkspace,
    [](const token_waiter& aWaiter) { return aWaiter.mCall != 0; }, aNow);
}

bool IsExhaustedWaiter(const gateway& aGateway, const workspace_tokens& aTokens,
                       const token_waiter& aWaiter, absl::Time aNow)
{
  const std::optional<token_count> left =
    FindLeft(aGateway, aTokens, aWaiter.mPriority, aNow);
  const bool isCovered = left && *left >= aWaiter.mAmount;
  return (left && !isCovered) ||
         (!(isCovered && aNow < aTokens.mPartsOutUntil) &&
          IsExhaustedFor(aTokens.mShare, aWaiter.mPriority, aTokens.mPrepaid,
                         aGateway.mSettings.mGrants));
}

void EndExhaustedWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                         absl::Time aNow)
{
  const workspace_tokens& tokens = aGateway.mWorkspaceTokens[aWorkspace];
  EndWaiters(
    aGateway, aWorkspace,
    [&](const token_waiter& aWaiter) {
      return IsExhaustedWaiter(aGateway, tokens, aWaiter, aNow);
    },
    aNow);
}

bool HasExhaustedWaiter(const workspace_tokens& aTokens,
                        const grant_options& aOptions)
{
  return std::any_of(aTokens.mWaiters.begin(), aTokens.mWaiters.end(),
                     [&](const token_waiter& aWaiter) {
                       return IsExhaustedFor(aTokens.mShare, aWaiter.mPriority,
                                             aTokens.mPrepaid, aOptions);
                     });
}

bool HasPeerWaiting(const workspace_tokens& aTokens)
{
  return std::any_of(
    aTokens.mWaiters.begin(), aTokens.mWaiters.end(),
    [](const token_waiter& aWaiter) { return aWaiter.mCall != 0; });
}

} // namespace foxtailquay
