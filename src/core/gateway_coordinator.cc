#include "gateway_coordinator.h"

#include "gateway_waiters.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Time for which a coordinator is used before it is computed again. The
// computation takes time proportional to the number of gateways, and the
// periodic work needs the coordinators of all workspaces.
constexpr absl::Duration kCoordinatorTime = absl::Milliseconds(200);

std::uint64_t ComputeHashWeight(const std::string& aRouter,
                                std::uint64_t aWorkspaceHash)
{
  return XXH64(aRouter.data(), aRouter.size(), aWorkspaceHash);
}

// Returns true if aPeer gets no requests for tokens of aWorkspace at aNow.
bool IsAvoided(const gateway& aGateway, const workspace_id& aWorkspace,
               const std::string& aPeer, absl::Time aNow)
{
  const auto tokens = aGateway.mWorkspaceTokens.find(aWorkspace);
  if (tokens == aGateway.mWorkspaceTokens.end()) {
    return false;
  }
  const auto avoided = tokens->second.mAvoidUntil.find(aPeer);
  return avoided != tokens->second.mAvoidUntil.end() && aNow < avoided->second;
}

// Returns true if aPeer may be asked at aNow in a call of kind aKind.
bool MayAsk(const gateway& aGateway, const peer_listing& aPeer,
            token_call aKind, absl::Time aNow)
{
  if (aKind == token_call::Refill) {
    return aNow >= aPeer.mSuspectUntil - kSuspectTime + kProbeTime;
  }
  // Requests do not wait for a peer that may be out of reach together with the
  // store. Refills show whether it responds again.
  return aNow >= aPeer.mSuspectUntil &&
         !(aPeer.mIsDoubtful && IsStoreUnavailable(aGateway));
}

} // namespace

coordinator_choice FindCoordinator(const gateway& aGateway,
                                   const workspace_id& aWorkspace,
                                   bool aMayBeLocal, token_call aKind,
                                   absl::Time aNow)
{
  coordinator_choice coordinator;
  const std::uint64_t workspace =
    XXH64(aWorkspace.mValue.data(), aWorkspace.mValue.size(), 0);
  std::uint64_t best = 0;
  if (aMayBeLocal && !aGateway.mStopping) {
    best = ComputeHashWeight(aGateway.mSettings.mName, workspace);
  }
  for (const auto& peer : aGateway.mPeers) {
    const std::uint64_t weight = ComputeHashWeight(peer.first, workspace);
    if (weight > best && MayAsk(aGateway, peer.second, aKind, aNow) &&
        !IsAvoided(aGateway, aWorkspace, peer.first, aNow)) {
      best = weight;
      coordinator = { peer.first, peer.second.mPeer.mAddress };
    }
  }
  return coordinator;
}

bool IsCoordinator(const gateway& aGateway, const workspace_id& aWorkspace,
                   const workspace_tokens& aTokens, absl::Time aNow)
{
  return aNow < aTokens.mCoordinatorUntil
           ? aTokens.mIsCoordinator
           : FindCoordinator(aGateway, aWorkspace, true, token_call::Need, aNow)
               .mPeer.empty();
}

bool UpdateCoordinator(const gateway& aGateway, const workspace_id& aWorkspace,
                       workspace_tokens& aTokens, absl::Time aNow)
{
  if (aNow >= aTokens.mCoordinatorUntil) {
    aTokens.mIsCoordinator = IsCoordinator(aGateway, aWorkspace, aTokens, aNow);
    aTokens.mCoordinatorUntil = aNow + kCoordinatorTime;
  }
  return aTokens.mIsCoordinator;
}

void SuspectPeer(gateway& aGateway, const std::string& aPeer, absl::Time aNow)
{
  const auto peer = aGateway.mPeers.find(aPeer);
  if (peer != aGateway.mPeers.end()) {
    peer->second.mSuspectUntil = aNow + kSuspectTime;
    peer->second.mIsDoubtful = true;
    RecordDecision(aGateway, decision::PeerChanged,
                   { { "peer", aPeer }, { "state", "suspect" } });
  }
}

void TrustPeer(gateway& aGateway, const std::string& aPeer)
{
  const auto peer = aGateway.mPeers.find(aPeer);
  if (peer != aGateway.mPeers.end()) {
    peer->second.mSuspectUntil = absl::InfinitePast();
    peer->second.mIsDoubtful = false;
    peer->second.mIsKnownAlive = true;
  }
}

} // namespace foxtailquay
