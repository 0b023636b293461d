// What the store lists, as a gateway follows it: configuration, backend servers
// and peers. Not thread-safe: only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_DIRECTORY_H
#define FOXTAILQUAY_CORE_GATEWAY_DIRECTORY_H

#include "gateway_state.h"

namespace foxtailquay {

inline watched_area& GetArea(gateway& aGateway, directory_area aArea)
{
  return aGateway.mAreas[static_cast<std::size_t>(aArea)];
}

// Applies the changes in a response that belongs to the present era.
void ApplyDirectory(gateway& aGateway, const directory_response& aResponse,
                    absl::Time aNow);
// Puts the entry of a backend server in force. aIsConfirmed: it is known to be
// later than what the server has stated of itself elsewhere.
void ApplyEntry(gateway& aGateway, const backend_id& aBackend,
                const backend_entry& aEntry, store_version aRevision,
                bool aIsConfirmed, absl::Time aNow);
// Ceases to use the backend server and remembers that its entry was removed.
// aHasExpired: perhaps only because the store was unavailable.
void RemoveBackend(gateway& aGateway, const backend_id& aBackend,
                   std::string_view aCause, bool aHasExpired);
// Removes the backend servers whose entries have expired.
void RemoveExpiredBackends(gateway& aGateway, absl::Time aNow);
// Removes the peers that have expired and did not register again.
void RemoveExpiredPeers(gateway& aGateway, absl::Time aNow);
using listed_peer = std::pair<const std::string, peer_listing>;
// Returns the peers that are not suspected, beginning with those that follow
// this gateway in the order of names, so that each gateway is chosen by equally
// many others. aCount: their largest number. The pointers are valid until the
// peers change.
std::vector<const listed_peer*> ListNextPeers(const gateway& aGateway,
                                              std::size_t aCount,
                                              absl::Time aNow);
// Returns the number of gateways that are expected to be alive, including this
// one.
int CountGateways(const gateway& aGateway, absl::Time aNow);
// Returns the number of gateways in the peer list, including this one, whether
// they respond or not: gateways that cannot reach each other may reach the same
// servers.
int CountListedGateways(const gateway& aGateway);
// Returns true once all areas of the store and a configuration were read.
bool IsDirectoryKnown(const gateway& aGateway);
// Excludes a backend server from new requests until the store lists it again.
void ExcludeBackend(gateway& aGateway, const backend_id& aBackend,
                    absl::Time aNow);

} // namespace foxtailquay

#endif
