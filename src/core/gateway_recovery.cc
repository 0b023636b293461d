// Grant records over returns of the store to an older state.
//
// Granted tokens are spent only once two other gateways have a copy of the
// record, so that it is known after the loss of the store's newest state and of
// two gateways. In a new era, all gateways ask each other for their newest
// copies before they write grants; at most two of those that may hold one may
// fail to answer. A gateway that has answered accepts no more copies of an
// earlier era. Answers and copies of a gateway that does not respond are not
// waited for, so that a single survivor can still spend what it is granted.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_coordinator.h"
#include "gateway_state.h"

namespace foxtailquay {

namespace {

// Number of other gateways that must have a copy of a record.
constexpr int kGrantCopies = 2;
// Largest number of gateways that a record is sent to.
constexpr std::size_t kMaxCopyTargets = 4;
// Interval at which failed calls of a recovery are repeated.
constexpr absl::Duration kRecoveryRetryTime = absl::Milliseconds(300);

// Returns the names of all other gateways that may know records.
std::set<std::string> ListMembers(const gateway& aGateway)
{
  std::set<std::string> members = aGateway.mRecovery.mNamed;
  for (const auto& peer : aGateway.mPeers) {
    members.insert(peer.first);
  }
  members.erase(aGateway.mSettings.mName);
  return members;
}

// Returns the earliest era of which a record that exists in no later one may be
// missing; the present era if there is none.
store_era FindEarliestEra(const gateway& aGateway)
{
  store_era earliest = aGateway.mEra;
  for (const auto& [workspace, tokens] : aGateway.mWorkspaceTokens) {
    const grant_record& newest = tokens.mShare.mCopy;
    if (newest.mSequence > 0) {
      earliest = std::min(earliest, newest.mEra);
    }
  }
  return earliest;
}

// Returns true if a record of each workspace of the configuration is known.
bool HasAllRecords(const gateway& aGateway)
{
  if (!aGateway.mTable) {
    return false;
  }
  const auto& workspaces = aGateway.mTable->mConfig.mWorkspaces;
  return std::all_of(
    workspaces.begin(), workspaces.end(), [&](const auto& aWorkspace) {
      const auto tokens = aGateway.mWorkspaceTokens.find(aWorkspace.mId);
      return !aWorkspace.mPrepaid ||
             (tokens != aGateway.mWorkspaceTokens.end() &&
              tokens->second.mShare.mCopy.mSequence > 0);
    });
}

// Returns true if no record of an earlier era can be missing.
bool IsKnown(const gateway& aGateway)
{
  return aGateway.mRecovery.mFirstEra == aGateway.mEra &&
         HasAllRecords(aGateway) && FindEarliestEra(aGateway) == aGateway.mEra;
}

// Returns true if a gateway that has read the records since aFirstEra knows all
// those that it should of aEra and later ones.
bool IsWitness(store_era aFirstEra, store_era aEra)
{
  return aFirstEra != 0 && aFirstEra <= aEra;
}

bool HasAnswers(const gateway& aGateway)
{
  if (IsKnown(aGateway)) {
    return true;
  }
  const grant_recovery& recovery = aGateway.mRecovery;
  const auto peers = static_cast<std::size_t>(directory_area::Peers);
  if (!aGateway.mAreas[peers].mRevision) {
    return false;
  }
  const std::set<std::string> members = ListMembers(aGateway);
  const bool isPending =
    std::any_of(members.begin(), members.end(), [&](const auto& aName) {
      return recovery.mAnswers.count(aName) == 0 &&
             recovery.mFailed.count(aName) == 0;
    });
  if (isPending) {
    return false;
  }
  store_era earliest = std::min(FindEarliestEra(aGateway), recovery.mFirstEra);
  for (const auto& answer : recovery.mAnswers) {
    earliest = std::min(earliest, answer.second);
  }
  if (earliest == aGateway.mEra) {
    return true;
  }
  // Of a missing record, any gateway of an earlier era is a witness. Beside it,
  // the known records still need witnesses of their own eras.
  const store_era known = FindEarliestEra(aGateway);
  const store_era era =
    HasAllRecords(aGateway) ? known : std::min(known, aGateway.mEra - 1);
  int missing = IsWitness(recovery.mFirstEra, era) ? 0 : 1;
  for (const std::string& name : members) {
    const auto answer = recovery.mAnswers.find(name);
    missing +=
      answer != recovery.mAnswers.end() && IsWitness(answer->second, era) ? 0
                                                                          : 1;
  }
  return missing <= std::min(kGrantCopies, static_cast<int>(members.size()));
}

bool EvaluateGuard(recovery_guard aGuard, const gateway& aGateway)
{
  switch (aGuard) {
    case recovery_guard::IsKnown:
      return IsKnown(aGateway);
    case recovery_guard::HasAnswers:
      return HasAnswers(aGateway);
  }
  return false;
}

void AskPeers(gateway& aGateway, absl::Time aNow)
{
  grant_recovery& recovery = aGateway.mRecovery;
  for (const auto& [name, peer] : aGateway.mPeers) {
    if (recovery.mAnswers.count(name) == 0) {
      aGateway.mActions.push_back(
        share_grants{ name, peer.mPeer.mAddress, aGateway.mEra, 0, true, {} });
    }
  }
  // Gateways without an address answer once they are listed.
  for (const std::string& name : recovery.mNamed) {
    if (aGateway.mPeers.count(name) == 0) {
      recovery.mFailed.insert(name);
    }
  }
  recovery.mRetryAt = aNow + kRecoveryRetryTime;
}

void RecordRecovery(gateway& aGateway, absl::Time aNow)
{
  const grant_recovery& recovery = aGateway.mRecovery;
  RecordDecision(
    aGateway, decision::GrantRecoveryChanged,
    { { "state", std::string(ToName(recovery.mStatus)) },
      { "era", absl::StrCat(aGateway.mEra) },
      { "first_era", absl::StrCat(recovery.mFirstEra) },
      { "earliest_record_era", absl::StrCat(FindEarliestEra(aGateway)) },
      { "gateways", absl::StrCat(ListMembers(aGateway).size() + 1) },
      { "answers", absl::StrCat(recovery.mAnswers.size()) },
      { "failed", absl::StrCat(recovery.mFailed.size()) },
      { "after_ms", absl::StrCat(absl::ToInt64Milliseconds(
                      aNow - recovery.mStartedAt)) } });
}

void PerformAction(gateway& aGateway, recovery_action aAction, absl::Time aNow)
{
  grant_recovery& recovery = aGateway.mRecovery;
  std::uniform_real_distribution<double> fraction(0, 1);
  switch (aAction) {
    case recovery_action::Read:
      recovery.mRetryAt = absl::InfiniteFuture();
      aGateway.mActions.push_back(grant_read{ aGateway.mEra });
      break;
    case recovery_action::AskPeers:
      AskPeers(aGateway, aNow);
      break;
    case recovery_action::Schedule:
      recovery.mRetryAt = aNow + kRecoveryRetryTime;
      break;
    case recovery_action::Resume:
      recovery.mRetryAt = absl::InfiniteFuture();
      if (recovery.mFirstEra < aGateway.mEra) {
        // The coordinators write at once; all others spread their writes.
        aGateway.mNextPeriodicWriteAt =
          aNow + kLimitInterval * fraction(aGateway.mRandom);
      }
      AdvanceGrants(aGateway, aNow);
      break;
  }
}

void FireRecovery(gateway& aGateway, recovery_event aEvent, absl::Time aNow)
{
  grant_recovery& recovery = aGateway.mRecovery;
  const recovery_status before = recovery.mStatus;
  for (recovery_action action :
       Fire(aGateway.mCharts.mRecovery, recovery.mStatus, aEvent, aGateway,
            &EvaluateGuard)) {
    PerformAction(aGateway, action, aNow);
  }
  if (recovery.mStatus != before) {
    RecordRecovery(aGateway, aNow);
  }
}

std::vector<grant_copy> ListCopies(const gateway& aGateway)
{
  std::vector<grant_copy> copies;
  for (const auto& [workspace, tokens] : aGateway.mWorkspaceTokens) {
    if (tokens.mShare.mCopy.mSequence > 0) {
      copies.push_back({ workspace, tokens.mShare.mCopy });
    }
  }
  return copies;
}

void AddCopies(gateway& aGateway, const std::vector<grant_copy>& aCopies)
{
  for (const grant_copy& copy : aCopies) {
    AddCopy(aGateway.mWorkspaceTokens[copy.mWorkspace].mShare, copy.mRecord);
  }
}

// Returns the gateways to which copies are sent: those that are known to
// respond or, if they are too few, others, chosen at random if there are many.
std::vector<std::pair<std::string, std::string>> ChooseCopyTargets(
  gateway& aGateway, absl::Time aNow)
{
  std::vector<std::pair<std::string, std::string>> targets;
  std::vector<std::pair<std::string, std::string>> others;
  for (const auto& [name, peer] : aGateway.mPeers) {
    if (aNow >= peer.mSuspectUntil) {
      (peer.mIsKnownAlive ? targets : others)
        .emplace_back(name, peer.mPeer.mAddress);
    }
  }
  std::shuffle(targets.begin(), targets.end(), aGateway.mRandom);
  if (targets.size() < static_cast<std::size_t>(kGrantCopies)) {
    std::shuffle(others.begin(), others.end(), aGateway.mRandom);
    targets.insert(targets.end(), others.begin(), others.end());
  }
  targets.resize(std::min(targets.size(), kMaxCopyTargets));
  return targets;
}

void ReleaseReplication(gateway& aGateway, std::uint64_t aReplication,
                        absl::Time aNow)
{
  const auto found = aGateway.mRecovery.mReplications.find(aReplication);
  if (found == aGateway.mRecovery.mReplications.end()) {
    return;
  }
  const grant_replication replication = std::move(found->second);
  aGateway.mRecovery.mReplications.erase(found);
  for (const auto& amount : replication.mAmounts) {
    ReleaseTokens(aGateway.mWorkspaceTokens[amount.mWorkspace].mShare,
                  amount.mTokens);
  }
  for (const auto& amount : replication.mAmounts) {
    ResumeWaiters(aGateway, amount.mWorkspace, aNow);
  }
}

void CountCopy(gateway& aGateway, std::uint64_t aReplication, bool aIsHeld,
               absl::Time aNow)
{
  const auto found = aGateway.mRecovery.mReplications.find(aReplication);
  if (found == aGateway.mRecovery.mReplications.end()) {
    return;
  }
  found->second.mMissingCopies -= aIsHeld ? 1 : 0;
  --found->second.mOpenCalls;
  if (found->second.mMissingCopies <= 0 || found->second.mOpenCalls == 0) {
    ReleaseReplication(aGateway, aReplication, aNow);
  }
}

} // namespace

bool MayWriteGrants(const gateway& aGateway)
{
  return aGateway.mRecovery.mStatus == recovery_status::Whole;
}

void StartRecovery(gateway& aGateway, absl::Time aNow)
{
  grant_recovery& recovery = aGateway.mRecovery;
  recovery.mStartedAt = aNow;
  recovery.mAnswers.clear();
  recovery.mFailed.clear();
  recovery.mNamed.clear();
  for (const auto& peer : aGateway.mPeers) {
    recovery.mNamed.insert(peer.first);
  }
  recovery.mReplications.clear();
  aGateway.mEntriesInFlight.clear();
  for (auto& entry : aGateway.mWorkspaceTokens) {
    StartEra(entry.second.mShare, aGateway.mHolder, aGateway.mEra);
  }
  FireRecovery(aGateway, recovery_event::EraChanged, aNow);
}

void OnGrantsRead(gateway& aGateway, const grants_read& aEvent, absl::Time aNow)
{
  const era_match match = MatchEra(aGateway, aEvent.mEra, aNow);
  if (match == era_match::Superseded) {
    return;
  }
  if (match == era_match::Unsound || !aEvent.mIsRead) {
    FireRecovery(aGateway, recovery_event::ReadFailed, aNow);
    return;
  }
  grant_recovery& recovery = aGateway.mRecovery;
  for (const grant_state& state : aEvent.mStates) {
    workspace_tokens& tokens = aGateway.mWorkspaceTokens[state.mWorkspace];
    tokens.mShare.mEra = aGateway.mEra;
    AdoptRecord(tokens.mShare, state.mRecord, state.mVersion);
  }
  for (auto& [workspace, tokens] : aGateway.mWorkspaceTokens) {
    if (tokens.mShare.mVersion == 0) {
      AdoptRecord(tokens.mShare, {}, 0);
    }
  }
  if (!recovery.mHasRead) {
    recovery.mHasRead = true;
    recovery.mFirstEra = aGateway.mEra;
  }
  FireRecovery(aGateway, recovery_event::RecordsRead, aNow);
}

void OnGrantsShared(gateway& aGateway, const grants_shared& aEvent,
                    absl::Time aNow)
{
  ObserveEra(aGateway, aEvent.mEra, "gateway", aNow);
  AddCopies(aGateway, aEvent.mCopies);
  share_response response;
  response.mEra = aGateway.mEra;
  response.mFirstEra = aGateway.mRecovery.mFirstEra;
  if (aEvent.mWantsCopies) {
    response.mCopies = ListCopies(aGateway);
    for (const auto& peer : aGateway.mPeers) {
      response.mGateways.push_back(peer.first);
    }
  }
  aGateway.mActions.push_back(
    send_share_response{ aEvent.mCall, std::move(response) });
}

void OnShareResponse(gateway& aGateway, const share_response_received& aEvent,
                     absl::Time aNow)
{
  if (aEvent.mResponse) {
    ObserveEra(aGateway, aEvent.mResponse->mEra, "gateway", aNow);
  }
  if (aEvent.mEra != aGateway.mEra) {
    return;
  }
  if (aEvent.mResponse) {
    TrustPeer(aGateway, aEvent.mPeer);
  } else {
    SuspectPeer(aGateway, aEvent.mPeer, aNow);
  }
  if (aEvent.mReplication != 0) {
    CountCopy(aGateway, aEvent.mReplication, aEvent.mResponse.has_value(),
              aNow);
    return;
  }
  grant_recovery& recovery = aGateway.mRecovery;
  // A gateway that has not read the records yet is asked again.
  if (aEvent.mResponse && aEvent.mResponse->mFirstEra != 0) {
    recovery.mAnswers[aEvent.mPeer] = aEvent.mResponse->mFirstEra;
    recovery.mFailed.erase(aEvent.mPeer);
  } else {
    recovery.mFailed.insert(aEvent.mPeer);
  }
  if (aEvent.mResponse) {
    AddCopies(aGateway, aEvent.mResponse->mCopies);
    recovery.mNamed.insert(aEvent.mResponse->mGateways.begin(),
                           aEvent.mResponse->mGateways.end());
  }
  FireRecovery(aGateway, recovery_event::PeerAnswered, aNow);
}

void ReviewRecovery(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mRecovery.mStatus == recovery_status::Collecting) {
    aGateway.mRecovery.mRetryAt = aNow;
  }
}

void AdvanceRecovery(gateway& aGateway, absl::Time aNow)
{
  if (aNow >= aGateway.mRecovery.mRetryAt) {
    aGateway.mRecovery.mRetryAt = absl::InfiniteFuture();
    FireRecovery(aGateway, recovery_event::RetryDue, aNow);
  }
}

void ReplicateGrants(gateway& aGateway,
                     std::vector<grant_replication::amount> aAmounts,
                     absl::Time aNow)
{
  const auto targets = ChooseCopyTargets(aGateway, aNow);
  if (aAmounts.empty() || targets.empty()) {
    return;
  }
  std::vector<grant_copy> copies;
  for (const auto& amount : aAmounts) {
    grant_share& share = aGateway.mWorkspaceTokens[amount.mWorkspace].mShare;
    WithholdTokens(share, amount.mTokens);
    copies.push_back({ amount.mWorkspace, share.mRecord });
  }
  const std::uint64_t id = ++aGateway.mRecovery.mLastReplication;
  const int calls = static_cast<int>(targets.size());
  aGateway.mRecovery.mReplications[id] = { std::move(aAmounts),
                                           std::min(kGrantCopies, calls),
                                           calls };
  for (const auto& [name, address] : targets) {
    aGateway.mActions.push_back(
      share_grants{ name, address, aGateway.mEra, id, false, copies });
  }
}

} // namespace foxtailquay
