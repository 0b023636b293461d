#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_state.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Tokens, in time of demand, that a gateway without the home role asks for
// beyond the present need, to save calls.
constexpr absl::Duration kTransferAhead = absl::Milliseconds(300);
// Free tokens, in time of demand, above which they go back to the home.
constexpr absl::Duration kKeepAhead = absl::Seconds(1);
// Least time between two grant writes of this gateway.
constexpr absl::Duration kWriteInterval = absl::Milliseconds(25);

std::uint64_t Weight(const std::string& aRouter, const workspace_id& aWorkspace)
{
  return XXH64(aRouter.data(), aRouter.size(),
               XXH64(aWorkspace.mValue.data(), aWorkspace.mValue.size(), 0));
}

struct home_choice
{
  // Empty: this gateway.
  std::string mPeer;
  std::string mAddress;
};

// A watch notices a silent store only after seconds; a write notices sooner.
bool IsStoreLost(const gateway& aGateway)
{
  const auto area = static_cast<std::size_t>(directory_area::Configuration);
  return aGateway.mWriteFailed || !aGateway.mAreas[area].mInTouch;
}

bool IsAvoided(const gateway& aGateway, const workspace_id& aWorkspace,
               const std::string& aPeer, absl::Time aNow)
{
  const auto fund = aGateway.mFunds.find(aWorkspace);
  if (fund == aGateway.mFunds.end()) {
    return false;
  }
  const auto avoided = fund->second.mAvoid.find(aPeer);
  return avoided != fund->second.mAvoid.end() && aNow < avoided->second;
}

// The gateway that holds the grants of a workspace, by rendezvous hashing over
// the live ones that can give tokens. Two gateways may disagree for a while;
// each then spends only its own grants.
home_choice HomeOf(const gateway& aGateway, const workspace_id& aWorkspace,
                   bool aMayBeSelf, absl::Time aNow)
{
  home_choice home;
  std::uint64_t best = 0;
  if (aMayBeSelf && !aGateway.mStopping) {
    best = Weight(aGateway.mSettings.mName, aWorkspace);
  }
  for (const auto& peer : aGateway.mPeers) {
    const std::uint64_t weight = Weight(peer.first, aWorkspace);
    if (aNow >= peer.second.mSuspectUntil && weight > best &&
        !IsAvoided(aGateway, aWorkspace, peer.first, aNow)) {
      best = weight;
      home = { peer.first, peer.second.mPeer.mAddress };
    }
  }
  return home;
}

home_choice HomeOf(const gateway& aGateway, const workspace_id& aWorkspace,
                   absl::Time aNow)
{
  return HomeOf(aGateway, aWorkspace, true, aNow);
}

token_count RateOver(const grant_share& aShare, const gateway& aGateway,
                     absl::Duration aTime, absl::Time aNow)
{
  return EstimateDemand(aShare, aTime, aGateway.mSettings.mGrants, aNow);
}

// Tokens that a request of aPriority must leave. A gateway that lives on what
// its peers give holds only a little ahead.
token_count KeptTokens(const grant_share& aShare, int aPriority,
                       const grant_options& aOptions, absl::Time aNow)
{
  const absl::Duration most =
    aShare.mEntry.mGranted > 0 ? absl::InfiniteDuration() : kTransferAhead;
  return ComputeHeadroom(aShare, aPriority, most, aOptions, aNow);
}

void UpdateNeed(workspace_fund& aFund, const grant_options& aOptions,
                absl::Time aNow)
{
  aFund.mShare.mNeeded = 0;
  aFund.mShare.mHighestPriorityNeeded = 0;
  aFund.mShare.mHeadroom = 0;
  for (const token_waiter& waiter : aFund.mWaiters) {
    aFund.mShare.mNeeded += waiter.mAmount;
    if (!HasHigherPriorityDemand(aFund.mShare, waiter.mPriority)) {
      aFund.mShare.mHighestPriorityNeeded += waiter.mAmount;
    }
    aFund.mShare.mHeadroom =
      std::max(aFund.mShare.mHeadroom,
               KeptTokens(aFund.mShare, waiter.mPriority, aOptions, aNow));
  }
}

bool TakeTokens(workspace_fund& aFund, const token_waiter& aWaiter,
                const grant_options& aOptions, const grant_clock& aClock)
{
  grant_share& share = aFund.mShare;
  const token_count kept =
    KeptTokens(share, aWaiter.mPriority, aOptions, aClock.mNow);
  const bool taken = MaySpend(share, aFund.mPrepaid) &&
                     share.mFreeTokens - aWaiter.mAmount >= kept &&
                     Reserve(share, aWaiter.mAmount, aClock);
  // Only what is served counts as demand: refused callers ask again.
  if (taken) {
    RecordDemand(share, aWaiter.mAmount, aWaiter.mPriority, aOptions,
                 aClock.mNow);
  }
  return taken;
}

// True if the store's record leaves no doubt that the total is used up: no
// other router could hold unspent tokens of it.
bool IsCertainlyExhausted(const gateway& aGateway, const workspace_fund& aFund)
{
  const grant_record& record = aFund.mShare.mRecord;
  return IsExhausted(aFund.mShare, aFund.mPrepaid) && record.mClosed == 0 &&
         record.mEntries.size() == 1 &&
         record.mEntries.count(aGateway.mHolder.mId) == 1;
}

// With what this gateway knew of the total when it decided.
error MakeFundingError(const workspace_fund& aFund, token_count aNeeded,
                       bool aIsCertain)
{
  const std::string known =
    absl::StrCat(": needs ", aNeeded, ", free ", aFund.mShare.mFreeTokens,
                 ", granted to all ", ComputeTotal(aFund.mShare.mRecord),
                 " of ", aFund.mPrepaid, " at version ", aFund.mShare.mVersion);
  return aIsCertain
           ? MakeError(error_code::BudgetExhausted, executed::No,
                       "the prepaid total does not cover the request" + known)
           : MakeError(error_code::RateLimited, executed::No,
                       "no tokens of the prepaid total are available now" +
                         known);
}

void EndWaiter(gateway& aGateway, workspace_fund& aFund,
               const token_waiter& aWaiter, bool aFunded, absl::Time aNow)
{
  const bool certain = !aFunded && aWaiter.mAmount > aFund.mShare.mFreeTokens &&
                       IsCertainlyExhausted(aGateway, aFund);
  if (aWaiter.mCall != 0) {
    aGateway.mActions.push_back(
      send_token_response{ aWaiter.mCall,
                           { aFunded ? aWaiter.mAmount : 0, certain,
                             !aFunded && IsStoreLost(aGateway) } });
    return;
  }
  auto request = aGateway.mRequests.find(aWaiter.mHandle);
  if (request == aGateway.mRequests.end() ||
      request->second->mStatus != forward_status::Funding) {
    if (aFunded) {
      Settle(aFund.mShare, aWaiter.mAmount, 0);
    }
    return;
  }
  if (aFunded) {
    request->second->mReserved = aWaiter.mAmount;
    FireRequest(aGateway, aWaiter.mHandle, forward_event::Funded, aNow);
    return;
  }
  request->second->mError = MakeFundingError(aFund, aWaiter.mAmount, certain);
  FireRequest(aGateway, aWaiter.mHandle, forward_event::Unfunded, aNow);
}

// Serves those that wait, the most urgent first; a large request does
// not hold up smaller ones behind it. aGiveUp ends all others.
void ServeWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                  bool aGiveUp, absl::Time aNow)
{
  workspace_fund& fund = aGateway.mFunds[aWorkspace];
  std::deque<token_waiter> waiters;
  waiters.swap(fund.mWaiters);
  std::stable_sort(waiters.begin(), waiters.end(),
                   [](const token_waiter& aLeft, const token_waiter& aRight) {
                     return aLeft.mPriority < aRight.mPriority;
                   });
  for (const token_waiter& waiter : waiters) {
    if (TakeTokens(fund, waiter, aGateway.mSettings.mGrants,
                   ClockAt(aGateway, aNow))) {
      EndWaiter(aGateway, fund, waiter, true, aNow);
    } else if (aGiveUp || aNow >= waiter.mUntil) {
      EndWaiter(aGateway, fund, waiter, false, aNow);
    } else {
      fund.mWaiters.push_back(waiter);
    }
  }
}

// Ends the waits that aEnds names; another gateway gets what there is.
template<typename Predicate>
void EndWaits(gateway& aGateway, const workspace_id& aWorkspace,
              Predicate aEnds, absl::Time aNow)
{
  workspace_fund& fund = aGateway.mFunds[aWorkspace];
  const grant_options& options = aGateway.mSettings.mGrants;
  std::deque<token_waiter> waiters;
  waiters.swap(fund.mWaiters);
  for (token_waiter& waiter : waiters) {
    if (!aEnds(waiter)) {
      fund.mWaiters.push_back(waiter);
      continue;
    }
    const token_count rest =
      fund.mShare.mFreeTokens -
      KeptTokens(fund.mShare, waiter.mPriority, options, aNow);
    const bool isPeer = waiter.mCall != 0;
    waiter.mAmount = isPeer ? std::min(waiter.mAmount, rest) : waiter.mAmount;
    const bool given =
      isPeer && waiter.mAmount > 0 &&
      TakeTokens(fund, waiter, options, ClockAt(aGateway, aNow));
    EndWaiter(aGateway, fund, waiter, given, aNow);
  }
}

// Ends the waits of other gateways, which ask elsewhere.
void ServePeers(gateway& aGateway, const workspace_id& aWorkspace,
                absl::Time aNow)
{
  EndWaits(
    aGateway, aWorkspace,
    [](const token_waiter& aWaiter) { return aWaiter.mCall != 0; }, aNow);
}

// Ends the waits for which the total leaves nothing more.
void EndExhausted(gateway& aGateway, const workspace_id& aWorkspace,
                  absl::Time aNow)
{
  const workspace_fund& fund = aGateway.mFunds[aWorkspace];
  EndWaits(
    aGateway, aWorkspace,
    [&](const token_waiter& aWaiter) {
      return IsExhaustedFor(fund.mShare, aWaiter.mPriority, fund.mPrepaid,
                            aGateway.mSettings.mGrants);
    },
    aNow);
}

// Starts to get the tokens that are missing.
void SeekTokens(gateway& aGateway, const workspace_id& aWorkspace,
                absl::Time aNow);

bool HasPeerWaiting(const workspace_fund& aFund)
{
  return std::any_of(
    aFund.mWaiters.begin(), aFund.mWaiters.end(),
    [](const token_waiter& aWaiter) { return aWaiter.mCall != 0; });
}

// Writes the grants of all workspaces that need it, one write at a time.
void WriteGrants(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mWriting.empty() || aNow < aGateway.mNextWriteAt) {
    return;
  }
  const bool isCheck = aNow >= aGateway.mNextCheckAt;
  grant_write write;
  for (auto& entry : aGateway.mFunds) {
    workspace_fund& fund = entry.second;
    // One that is asked takes the place of a home that cannot give tokens.
    const bool isHome =
      HomeOf(aGateway, entry.first, aNow).mPeer.empty() || HasPeerWaiting(fund);
    UpdateNeed(fund, aGateway.mSettings.mGrants, aNow);
    auto plan =
      PlanGrant(fund.mShare, aGateway.mHolder, fund.mPrepaid, isHome, isCheck,
                aGateway.mSettings.mGrants, ClockAt(aGateway, aNow));
    if (plan) {
      write.mEntries.push_back({ entry.first, std::move(*plan) });
    }
    if (write.mEntries.size() == kMaxGrantEntries) {
      break;
    }
  }
  if (isCheck && write.mEntries.size() < kMaxGrantEntries) {
    aGateway.mNextCheckAt = aNow + kLimitInterval;
  }
  if (!write.mEntries.empty()) {
    aGateway.mWriting = write.mEntries;
    aGateway.mActions.push_back(std::move(write));
  }
}

void SeekTokens(gateway& aGateway, const workspace_id& aWorkspace,
                absl::Time aNow)
{
  workspace_fund& fund = aGateway.mFunds[aWorkspace];
  home_choice home = HomeOf(aGateway, aWorkspace, aNow);
  if (home.mPeer.empty() && !IsStoreLost(aGateway)) {
    EndExhausted(aGateway, aWorkspace, aNow);
    WriteGrants(aGateway, aNow);
    return;
  }
  if (home.mPeer.empty()) {
    // Others may still reach the store, but are not asked for third ones.
    ServePeers(aGateway, aWorkspace, aNow);
    home = HomeOf(aGateway, aWorkspace, false, aNow);
  }
  if (home.mPeer.empty()) {
    ServeWaiters(aGateway, aWorkspace, true, aNow);
    return;
  }
  if (fund.mAsking || fund.mWaiters.empty()) {
    return;
  }
  // One urgency at a time: the home keeps tokens for the more urgent ones.
  const grant_options& options = aGateway.mSettings.mGrants;
  const int urgency = fund.mWaiters.front().mPriority;
  token_count shortage =
    KeptTokens(fund.mShare, urgency, options, aNow) - fund.mShare.mFreeTokens;
  for (const token_waiter& waiter : fund.mWaiters) {
    shortage += waiter.mPriority == urgency ? waiter.mAmount : 0;
  }
  if (shortage <= 0) {
    return;
  }
  fund.mAsking = true;
  aGateway.mActions.push_back(request_tokens{
    home.mPeer, home.mAddress, aWorkspace,
    shortage + RateOver(fund.mShare, aGateway, kTransferAhead, aNow),
    urgency });
}

// Gives free tokens that this gateway does not need to the home.
void ReturnToHome(gateway& aGateway, const workspace_id& aWorkspace,
                  token_count aKeep, absl::Time aNow)
{
  workspace_fund& fund = aGateway.mFunds[aWorkspace];
  const home_choice home = HomeOf(aGateway, aWorkspace, aNow);
  const grant_clock clock = ClockAt(aGateway, aNow);
  const token_count surplus = std::min(fund.mShare.mFreeTokens - aKeep,
                                       ComputeAvailable(fund.mShare, clock));
  if (home.mPeer.empty() || surplus <= 0 ||
      !Reserve(fund.mShare, surplus, clock)) {
    return;
  }
  aGateway.mActions.push_back(
    return_tokens{ home.mAddress, aWorkspace, surplus });
}

void ApplyOutcome(gateway& aGateway, const grant_write::entry& aEntry,
                  const grant_write_response& aEvent)
{
  workspace_fund& fund = aGateway.mFunds[aEntry.mWorkspace];
  const token_count before = fund.mShare.mFreeTokens;
  const token_count totalBefore = ComputeTotal(fund.mShare.mRecord);
  if (aEvent.mOutcome == grant_outcome::Conflict) {
    for (const grant_state& state : aEvent.mStates) {
      if (state.mWorkspace == aEntry.mWorkspace) {
        // One record that had changed fails the whole write.
        const bool same = state.mVersion == aEntry.mPlan.mExpected;
        RecordGrantWrite(fund.mShare, aGateway.mHolder,
                         same ? grant_outcome::NotWritten
                              : grant_outcome::Conflict,
                         state.mRecord, state.mVersion);
      }
    }
  } else {
    RecordGrantWrite(fund.mShare, aGateway.mHolder, aEvent.mOutcome,
                     aEntry.mPlan.mRecord, aEvent.mRevision);
  }
  if (fund.mShare.mFreeTokens != before ||
      ComputeTotal(fund.mShare.mRecord) < totalBefore) {
    RecordDecision(
      aGateway, decision::GrantChanged,
      { { "workspace", aEntry.mWorkspace.mValue },
        { "outcome", std::string(ToName(aEvent.mOutcome)) },
        { "free", absl::StrCat(fund.mShare.mFreeTokens) },
        { "limit", absl::StrCat(fund.mShare.mEntry.mLimit) },
        { "granted", absl::StrCat(fund.mShare.mEntry.mGranted) },
        { "out", absl::StrCat(fund.mShare.mUsedTokens) },
        { "granted_to_all", absl::StrCat(ComputeTotal(fund.mShare.mRecord)) },
        { "prepaid", absl::StrCat(fund.mPrepaid) },
        { "revision", absl::StrCat(fund.mShare.mVersion) } });
  }
}

} // namespace

grant_clock ClockAt(const gateway& aGateway, absl::Time aNow)
{
  return { aNow,
           absl::ToInt64Milliseconds(aNow - aGateway.mSettings.mBootStart) };
}

void ReserveForRequest(gateway& aGateway, forwarded_request& aRequest,
                       absl::Time aNow)
{
  const request_handle handle = aRequest.mCaller.mHandle;
  if (!aRequest.mIsPrepaid || aRequest.mCost == 0) {
    FireRequest(aGateway, handle, forward_event::Funded, aNow);
    return;
  }
  const workspace_id workspace = aRequest.mWorkspace;
  workspace_fund& fund = aGateway.mFunds[workspace];
  fund.mWaiters.push_back(
    { handle, 0, aRequest.mCost, aRequest.mRoutePriority,
      std::min(aRequest.mDeadline, aNow + kFundingTimeout) });
  ServeWaiters(aGateway, workspace, false, aNow);
  if (!fund.mWaiters.empty()) {
    SeekTokens(aGateway, workspace, aNow);
  } else {
    WriteGrants(aGateway, aNow);
  }
}

token_count SpentTokens(const forwarded_request& aRequest)
{
  if (!aRequest.mMayHaveExecuted) {
    return 0;
  }
  const token_count output =
    std::min(aRequest.mCaller.mMaxOutputTokens,
             aRequest.mEvents * aRequest.mTokensPerEvent);
  return std::min(aRequest.mReserved, aRequest.mCaller.mPromptTokens + output);
}

void SettleRequest(gateway& aGateway, forwarded_request& aRequest)
{
  if (aRequest.mReserved == 0) {
    return;
  }
  Settle(aGateway.mFunds[aRequest.mWorkspace].mShare, aRequest.mReserved,
         SpentTokens(aRequest));
  aRequest.mReserved = 0;
}

void OnGrantWritten(gateway& aGateway, const grant_write_response& aEvent,
                    absl::Time aNow)
{
  std::vector<grant_write::entry> entries;
  entries.swap(aGateway.mWriting);
  const bool failed = aEvent.mOutcome == grant_outcome::Unknown ||
                      aEvent.mOutcome == grant_outcome::NotWritten;
  aGateway.mWriteFailed = failed;
  aGateway.mNextWriteAt = aNow + (failed ? kFirstPause * 2 : kWriteInterval);
  for (const grant_write::entry& entry : entries) {
    ApplyOutcome(aGateway, entry, aEvent);
  }
  for (const grant_write::entry& entry : entries) {
    ServeWaiters(aGateway, entry.mWorkspace, false, aNow);
    if (!aGateway.mFunds[entry.mWorkspace].mWaiters.empty()) {
      SeekTokens(aGateway, entry.mWorkspace, aNow);
    }
  }
  if (aEvent.mOutcome == grant_outcome::Conflict) {
    aGateway.mNextWriteAt = aNow;
    // The check was lost with the write.
    aGateway.mNextCheckAt = aNow;
  }
  WriteGrants(aGateway, aNow);
}

void OnTokensAsked(gateway& aGateway, const tokens_requested& aEvent,
                   absl::Time aNow)
{
  auto found = aGateway.mFunds.find(aEvent.mWorkspace);
  if (found == aGateway.mFunds.end() || aEvent.mAmount <= 0) {
    aGateway.mActions.push_back(
      send_token_response{ aEvent.mCall, { 0, false, IsStoreLost(aGateway) } });
    return;
  }
  workspace_fund& fund = found->second;
  fund.mWaiters.push_back({ 0, aEvent.mCall, aEvent.mAmount, aEvent.mPriority,
                            aNow + kFundingTimeout / 2 });
  ServeWaiters(aGateway, aEvent.mWorkspace, false, aNow);
  if (IsStoreLost(aGateway)) {
    // The asking gateway looks elsewhere; there is no third one.
    ServePeers(aGateway, aEvent.mWorkspace, aNow);
    return;
  }
  EndExhausted(aGateway, aEvent.mWorkspace, aNow);
  WriteGrants(aGateway, aNow);
}

void OnTokensReturned(gateway& aGateway, const tokens_returned& aEvent,
                      absl::Time aNow)
{
  workspace_fund& fund = aGateway.mFunds[aEvent.mWorkspace];
  AddReceivedTokens(fund.mShare, std::max<token_count>(0, aEvent.mAmount));
  ServeWaiters(aGateway, aEvent.mWorkspace, false, aNow);
}

void OnTokenResponse(gateway& aGateway, const token_response_received& aEvent,
                     absl::Time aNow)
{
  workspace_fund& fund = aGateway.mFunds[aEvent.mWorkspace];
  fund.mAsking = false;
  if (!aEvent.mResponse) {
    auto peer = aGateway.mPeers.find(aEvent.mPeer);
    if (peer != aGateway.mPeers.end()) {
      peer->second.mSuspectUntil = aNow + kPeerSuspicion;
      RecordDecision(aGateway, decision::PeerChanged,
                     { { "peer", aEvent.mPeer }, { "state", "suspect" } });
    }
    SeekTokens(aGateway, aEvent.mWorkspace, aNow);
    return;
  }
  AddReceivedTokens(fund.mShare, aEvent.mResponse->mAmount);
  if (aEvent.mResponse->mStoreUnavailable) {
    fund.mAvoid[aEvent.mPeer] = aNow + kAvoidTime;
    SeekTokens(aGateway, aEvent.mWorkspace, aNow);
    return;
  }
  const bool nothing = aEvent.mResponse->mAmount == 0;
  ServeWaiters(aGateway, aEvent.mWorkspace, nothing, aNow);
  if (!fund.mWaiters.empty()) {
    SeekTokens(aGateway, aEvent.mWorkspace, aNow);
  }
}

void UpdateFunds(gateway& aGateway, absl::Time aNow)
{
  for (const traffic_workspace& workspace :
       aGateway.mTable->mConfig.mWorkspaces) {
    if (!workspace.mPrepaid) {
      continue;
    }
    workspace_fund& fund = aGateway.mFunds[workspace.mId];
    const bool lowered = *workspace.mPrepaid < fund.mPrepaid;
    fund.mPrepaid = *workspace.mPrepaid;
    if (lowered) {
      ReturnToHome(aGateway, workspace.mId, 0, aNow);
    }
  }
  WriteGrants(aGateway, aNow);
}

void TickFunds(gateway& aGateway, absl::Time aNow)
{
  for (auto& entry : aGateway.mFunds) {
    ServeWaiters(aGateway, entry.first, false, aNow);
    const workspace_fund& fund = entry.second;
    if (!fund.mWaiters.empty()) {
      SeekTokens(aGateway, entry.first, aNow);
      continue;
    }
    const token_count keep = RateOver(fund.mShare, aGateway, kKeepAhead, aNow);
    if (fund.mShare.mFreeTokens > 2 * keep) {
      ReturnToHome(aGateway, entry.first, keep, aNow);
    }
  }
  WriteGrants(aGateway, aNow);
}

bool ReturnFunds(gateway& aGateway, absl::Time aNow)
{
  bool done = aGateway.mWriting.empty();
  grant_write write;
  for (auto& entry : aGateway.mFunds) {
    ReturnToHome(aGateway, entry.first, 0, aNow);
    if (!aGateway.mWriting.empty() ||
        write.mEntries.size() == kMaxGrantEntries) {
      continue;
    }
    auto plan = PlanReturn(entry.second.mShare, aGateway.mHolder,
                           ClockAt(aGateway, aNow));
    if (plan) {
      write.mEntries.push_back({ entry.first, std::move(*plan) });
    }
  }
  if (!write.mEntries.empty()) {
    aGateway.mWriting = write.mEntries;
    aGateway.mActions.push_back(std::move(write));
    done = false;
  }
  return done;
}

} // namespace foxtailquay
