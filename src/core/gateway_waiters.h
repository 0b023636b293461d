// Requests and other gateways that wait for tokens of a prepaid total, and how
// their waits end. Not thread-safe: only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_WAITERS_H
#define FOXTAILQUAY_CORE_GATEWAY_WAITERS_H

#include "gateway_state.h"

namespace foxtailquay {

// Demand, as a time, for which requests at a gateway without grants of its own
// leave headroom at most.
constexpr absl::Duration kMaxPeerHeadroom = absl::Milliseconds(300);

// Returns true if the store is unavailable as far as is known. A watch detects
// an unresponsive store only after seconds; a failed write detects it earlier.
bool IsStoreUnavailable(const gateway& aGateway);

// Returns the number of free tokens that a request of aPriority must leave. A
// gateway without grants of its own gets higher priorities' tokens from the
// coordinator, which leaves headroom for them, so its own is limited.
token_count ComputeRequiredHeadroom(const grant_share& aShare, int aPriority,
                                    const grant_options& aOptions,
                                    absl::Time aNow);

// Updates the token numbers of the share that depend on the waiters.
void UpdateNeededTokens(workspace_tokens& aTokens,
                        const grant_options& aOptions, absl::Time aNow);

// Records whether the coordinator has tokens left to grant.
void RecordExhaustion(workspace_tokens& aTokens, bool aIsExhausted,
                      absl::Time aNow);

// Returns true if the request needs tokens of a prepaid total.
bool NeedsTokens(const forwarded_request& aRequest);
// Returns the request's place among those that wait for tokens.
token_waiter MakeWaiter(const forwarded_request& aRequest, absl::Time aNow);
// Puts the waiters in the order in which they get tokens.
void SortWaiters(std::deque<token_waiter>& aWaiters);

// Reserves the tokens of aWaiter. Returns false, without effect, if too few are
// available.
bool ReserveForWaiter(workspace_tokens& aTokens, const token_waiter& aWaiter,
                      const grant_options& aOptions, const grant_clock& aClock);

// Reserves the available tokens for another gateway whose wait ends, up to the
// amount of aWaiter, and sets the amount. Returns false if there are none, or
// for a request of this gateway.
bool ReserveRestForPeer(workspace_tokens& aTokens, token_waiter& aWaiter,
                        const grant_options& aOptions,
                        const grant_clock& aClock);

// Returns the error for a request whose wait ends without tokens.
error MakeWaiterError(const gateway& aGateway, const workspace_tokens& aTokens,
                      const token_waiter& aWaiter, absl::Time aNow);

// Reserves tokens for the waiters, the highest priority first. A large request
// does not block smaller ones behind it. Ends overdue waiters, and with aEndAll
// all others too, without tokens.
void ReserveForWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                       bool aEndAll, absl::Time aNow);

// Ends the waits of other gateways, which then send their requests elsewhere.
void EndPeerWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                    absl::Time aNow);

// Returns true if the total has no tokens left to grant for the waiter, or is
// known not to cover it.
bool IsExhaustedWaiter(const gateway& aGateway, const workspace_tokens& aTokens,
                       const token_waiter& aWaiter, absl::Time aNow);

// Ends the waiters for which IsExhaustedWaiter is true.
void EndExhaustedWaiters(gateway& aGateway, const workspace_id& aWorkspace,
                         absl::Time aNow);

// Returns true if the total has no tokens left to grant for a waiter.
bool HasExhaustedWaiter(const workspace_tokens& aTokens,
                        const grant_options& aOptions);

// Returns true if another gateway waits for tokens.
bool HasPeerWaiting(const workspace_tokens& aTokens);

} // namespace foxtailquay

#endif
