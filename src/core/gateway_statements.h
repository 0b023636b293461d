// What backend servers state of themselves in their responses, and what is
// known of an incarnation beside its entry in the store. Not thread-safe: only
// the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_STATEMENTS_H
#define FOXTAILQUAY_CORE_GATEWAY_STATEMENTS_H

#include "gateway_state.h"

namespace foxtailquay {

// Returns the view of the server to which the current attempt of the request
// was sent; null if that incarnation is not listed any more.
backend_view* FindAttemptView(gateway& aGateway,
                              const forwarded_request& aRequest);
// Records the load that the server of the current attempt has stated, if any.
void RecordLoad(gateway& aGateway, const forwarded_request& aRequest,
                const std::optional<observed_load>& aLoad, absl::Time aNow);
// Applies what the backend server of the current attempt has stated about
// itself in its response.
void ApplyStatement(gateway& aGateway, const forwarded_request& aRequest,
                    const server_statement& aStatement, absl::Time aNow);
// Applies what a report on the current attempt tells about its backend server.
void ApplyServerReport(gateway& aGateway, const forwarded_request& aRequest,
                       const attempt_report& aReport, absl::Time aNow);
// Returns aEntry with what the incarnation has stated of itself, and forgets
// what another one has. aIsConfirmed: the entry is known to be later than that.
backend_entry AddNotice(gateway& aGateway, const backend_id& aBackend,
                        backend_entry aEntry, bool aIsConfirmed);
// Remembers over a change of the era that the server leaves or is gone.
void KeepLeavingNotices(gateway& aGateway);
// aHasExpired: the entry may have been removed only because the store was
// unavailable.
void AddRemovedNotice(gateway& aGateway, const backend_id& aBackend,
                      const backend_entry& aEntry, bool aHasExpired);
// Forgets what servers have stated that have not been listed for long.
void AdvanceNotices(gateway& aGateway, absl::Time aNow);
// Records that a request is being sent to the server, if that states a rate
// limit or is cold.
void RecordLimitedDispatch(gateway& aGateway, backend_view& aView,
                           absl::Time aNow);
// Records the cost of a new request in the costs of its service. Returns how
// the request uses the servers of its service that state a rate limit or are
// cold.
limited_use ChooseLimitedUse(const gateway& aGateway,
                             const forwarded_request& aRequest,
                             cost_profile& aCosts, absl::Time aNow);
// Returns the error for a request that no backend server can take. If one can
// take it once its rate limit allows, the caller is told when.
error MakeUnroutableError(const gateway& aGateway, const routing_query& aQuery,
                          absl::Time aNow);

} // namespace foxtailquay

#endif
