// One kept connection to a peer, for JSON-RPC calls.

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
  std::string mPeerKey;
  absl::Duration mConnectTimeout = absl::Seconds(1);
  absl::Duration mResponseTimeout = absl::Seconds(3);
};

enum class delivery
{
  Delivered,
  // The peer answered, but did not take the message.
  Refused,
  // No answer.
  Unreachable,
};

constexpr auto NameTable(delivery)
{
  return MakeNameTable<delivery>({ { delivery::Delivered, "delivered" },
                                   { delivery::Refused, "refused" },
                                   { delivery::Unreachable, "unreachable" } });
}

struct peer_client;

struct peer_client_deleter
{
  void operator()(peer_client* aClient) const;
};
using peer_client_ptr = std::unique_ptr<peer_client, peer_client_deleter>;

// aAddress is "IP:port". Opens no connection yet.
peer_client_ptr MakePeerClient(const std::string& aAddress,
                               const peer_client_options& aOptions);

// Delivers one message; one thread at a time. Blocks for at most twice the
// two timeouts. A message may arrive twice: it is sent again if a kept
// connection turns out to be closed. aDetail receives the reason of a failure.
delivery Deliver(peer_client& aClient, const envelope& aEnvelope,
                 std::string& aDetail);

} // namespace foxtailquay

#endif
