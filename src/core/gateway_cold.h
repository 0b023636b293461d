// Cold backend servers at a gateway: what servers and the store state of them,
// and what failed connections show. Without bounds on cold servers in the
// settings, the functions do nothing. Not thread-safe: only the control thread
// uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_COLD_H
#define FOXTAILQUAY_CORE_GATEWAY_COLD_H

#include "gateway_state.h"

namespace foxtailquay {

// Applies the entry of a backend server that was written since the gateway last
// knew it. aIsNewIncarnation: another incarnation was known before.
// Precondition: the server is listed and has a view.
void RecordColdEntry(gateway& aGateway, const backend_id& aBackend,
                     bool aIsNewIncarnation, absl::Time aNow);
// Applies what a response to the current attempt of the request states, and
// that it arrived.
void RecordColdStatement(gateway& aGateway, const forwarded_request& aRequest,
                         const server_statement& aStatement, absl::Time aNow);
// Records that the connection of the current attempt was refused or broke off.
void RecordConnectionLoss(gateway& aGateway, const forwarded_request& aRequest,
                          absl::Time aNow);
void OnColdProbe(gateway& aGateway, const server_probed& aEvent,
                 absl::Time aNow);
// Records that the servers of the zone may have started a short time ago.
void RecordZoneReturn(gateway& aGateway, const zone_id& aZone, absl::Time aNow);
// Adopts changes of the peers and of the configuration.
void UpdateColdShares(gateway& aGateway, absl::Time aNow);
// Ends cold states whose time has passed and checks servers that could not be
// reached.
void AdvanceColdServers(gateway& aGateway, absl::Time aNow);

} // namespace foxtailquay

#endif
