// Requests and other gateways that wait for tokens of a prepaid total, and how
// their waits end. Not thread-safe: only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_WAITERS_H
#define FOXTAILQUAY_CORE_GATEWAY_WAITERS_H

#include "gateway_state.h"

namespace foxtailquay {

// Demand, as a time, that a gateway which is not the coordinator requests
// beyond its current need, to save calls.
constexpr absl::Duration kTransferMargin = absl::Milliseconds(300);

// Returns true if the store is unavailable as far as is known. A watch detects
// an unresponsive store only after seconds; a failed write detects it earlier.
bool IsStoreUnavailable(const gateway& aGateway);

// Returns the number of free tokens that a request of aPriority must leave. A
// gateway without grants of its own holds only the tokens that its peers
// transfer, which cover little future demand, so the headroom is limited to
// that.
token_count ComputeRequiredHeadroom(const grant_share& aShare, int aPriority,
                                    const grant_options& aOptions,
                                    absl::Time aNow);

// Updates the token numbers of the share that depend on the waiters.
void UpdateNeededTokens(workspace_tokens& aTokens,
                        const grant_options& aOptions, absl::Time aNow);

// Records whether the coordinator has tokens left to grant.
void RecordExhaustion(workspace_tokens& aTokens, bool aIsExhausted,
                      absl::Time aNow);

// Reserves tokens for the waiters, the highest priority first. A large request
// does not block smaller ones behind it. Ends overdue waiters, and with aEndAll
// all others too, without tokens.
void ReserveForWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                       bool aEndAll, absl::Time aNow);

// Ends the waits of other gateways, which then send their requests elsewhere.
void EndPeerWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                    absl::Time aNow);

// Ends the waiters for whose priority the total has no tokens left to grant.
void EndExhaustedWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                         absl::Time aNow);

// Returns true if another gateway waits for tokens.
bool HasPeerWaiting(const workspace_tokens& aTokens);

} // namespace foxtailquay

#endif
