// Evacuations of availability zones: the store asks that no request reach the
// servers of a zone. Without a bound on evacuations in the settings, none are
// known. Not thread-safe: only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_EVACUATION_H
#define FOXTAILQUAY_CORE_GATEWAY_EVACUATION_H

#include "gateway_state.h"

namespace foxtailquay {

// Delay of a tick from which a process counts as paused. Below it, the rest of
// the bound on evacuations covers the delay.
constexpr absl::Duration kPauseTime = absl::Seconds(1);

// Returns true if this gateway follows evacuations.
bool FollowsEvacuations(const gateway& aGateway);
// Applies the evacuations in a response on the area Configuration.
void ApplyEvacuations(gateway& aGateway, const directory_response& aResponse,
                      absl::Time aNow);
// Sets whether the server is in an evacuated zone, after its entry has changed.
void UpdateEvacuated(const gateway& aGateway, const backend_id& aBackend,
                     backend_view& aView);
// Leaves the servers whose time has come.
void AdvanceEvacuations(gateway& aGateway, absl::Time aNow);
// Returns the time by which AdvanceEvacuations is due; infinite if it is not.
absl::Time GetNextEvacuationTime(const gateway& aGateway);
// Returns true if a server that could serve the query is evacuated.
bool HasEvacuatedServer(const gateway& aGateway, const routing_query& aQuery);

} // namespace foxtailquay

#endif
