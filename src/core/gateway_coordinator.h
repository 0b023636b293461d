// The coordinator of a workspace, which is the gateway that requests grants for
// it, and the peers that respond. Not thread-safe: only the control thread uses
// it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_COORDINATOR_H
#define FOXTAILQUAY_CORE_GATEWAY_COORDINATOR_H

#include <string>

#include "gateway_state.h"

namespace foxtailquay {

// Time after which a peer that did not respond is asked again for tokens ahead
// of need. No request waits for that call, so that it may come before
// kSuspectTime has passed: gateways refill within a second of the end of a
// partition.
constexpr absl::Duration kProbeTime = absl::Milliseconds(500);

// The gateway that is the coordinator of a workspace.
struct coordinator_choice
{
  // Name of the peer; empty if this gateway is the coordinator.
  std::string mPeer;
  std::string mAddress;
};

// Returns the coordinator of a workspace for calls of kind aKind. It is chosen
// by rendezvous hashing over the live gateways that can transfer tokens. Two
// gateways may disagree for a while; each then spends only its own grants.
coordinator_choice FindCoordinator(const gateway& aGateway,
                                   const workspace_id& aWorkspace,
                                   bool aMayBeLocal, token_call aKind,
                                   absl::Time aNow);

// Returns true if this gateway was the coordinator when that was last computed,
// at most 0.2 s ago. An outdated answer is safe, as is a disagreement between
// gateways. UpdateCoordinator also keeps what it has computed.
bool IsCoordinator(const gateway& aGateway, const workspace_id& aWorkspace,
                   const workspace_tokens& aTokens, absl::Time aNow);
bool UpdateCoordinator(const gateway& aGateway, const workspace_id& aWorkspace,
                       workspace_tokens& aTokens, absl::Time aNow);

// Records that a peer did not respond, and that it did.
void SuspectPeer(gateway& aGateway, const std::string& aPeer, absl::Time aNow);
void TrustPeer(gateway& aGateway, const std::string& aPeer);

} // namespace foxtailquay

#endif
