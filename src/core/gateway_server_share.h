// What gateways tell each other of backend servers whose entries in the store
// may state something earlier than what is known. A gateway that has read all
// entries has nothing to compare them with. Not thread-safe: only the control
// thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_SERVER_SHARE_H
#define FOXTAILQUAY_CORE_GATEWAY_SERVER_SHARE_H

#include <vector>

#include "gateway_state.h"

namespace foxtailquay {

// Returns what this gateway knows of servers that have left, leave, or whose
// entry it withholds, limited to kMaxSharedServers.
std::vector<known_server> ListKnownServers(const gateway& aGateway);
// Asks some other gateways after all entries were read.
void AskForServers(gateway& aGateway, absl::Time aNow);
// Returns true while other gateways have yet to answer, which takes a few
// milliseconds if they respond.
bool IsAwaitingServers(const gateway& aGateway, absl::Time aNow);
// Withholds the entries that state something earlier than the other gateway
// knows.
void OnServersReceived(gateway& aGateway, const servers_received& aEvent,
                       absl::Time aNow);

} // namespace foxtailquay

#endif
