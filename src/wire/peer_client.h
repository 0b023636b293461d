// Sends messages to one peer as JSON-RPC calls over a persistent connection.
//
// Not thread-safe: one thread at a time per client.

#ifndef FOXTAILQUAY_WIRE_PEER_CLIENT_H
#define FOXTAILQUAY_WIRE_PEER_CLIENT_H

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "foxtailquay/messages.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

struct peer_client_options
{
  // Key that the peer requires; empty if it requires none.
  std::string mPeerKey;
  absl::Duration mConnectTimeout = absl::Seconds(1);
  absl::Duration mResponseTimeout = absl::Seconds(3);
};

enum class delivery_outcome
{
  Delivered,
  // The peer responded with an error and did not accept the message.
  Refused,
  // There was no response.
  Unreachable,
};

constexpr auto NameTable(delivery_outcome)
{
  return MakeNameTable<delivery_outcome>(
    { { delivery_outcome::Delivered, "delivered" },
      { delivery_outcome::Refused, "refused" },
      { delivery_outcome::Unreachable, "unreachable" } });
}

struct peer_client;

struct peer_client_deleter
{
  void operator()(peer_client* aClient) const;
};
using peer_client_ptr = std::unique_ptr<peer_client, peer_client_deleter>;

// Makes a client for the address "IP:port". The first message opens the
// connection.
peer_client_ptr MakePeerClient(const std::string& aAddress,
                               const peer_client_options& aOptions);

// Sends one message and waits for the response. Blocks for at most twice the
// sum of the two timeouts. If an open connection fails, the message is sent
// again on a new one, so the peer may receive it twice. On failure aDetail is
// set to the reason.
delivery_outcome DeliverMessage(peer_client& aClient, const envelope& aEnvelope,
                                std::string& aDetail);

} // namespace foxtailquay

#endif
