// The part of the peer port that routers and agents have in common: POST /rpc
// with one JSON-RPC method per message kind, and the method `drain`.

#ifndef FOXTAILQUAY_WIRE_PEER_FRONT_H
#define FOXTAILQUAY_WIRE_PEER_FRONT_H

#include <functional>
#include <string>

#include "foxtailquay/messages.h"
#include "runtime/metrics.h"
#include "wire/http_server.h"
#include "wire/json_rpc.h"

namespace foxtailquay {

struct peer_front_options
{
  // Key that peers must present; empty if none is required.
  std::string mPeerKey;
  // Passes a message to the control thread. Called on any thread.
  std::function<result<success>(envelope)> mOnMessage;
  // Starts a graceful stop. Called on any thread.
  std::function<void()> mOnDrain;
};

struct peer_front
{
  peer_front(peer_front_options aOptions, metrics& aMetrics);

  const peer_front_options mOptions;
  metrics& mMetrics;
  const rpc_server_ptr mRpc;
};

// Returns whether the request presents the peer key, or none is required.
bool HasPeerKey(const std::string& aPeerKey, const http_request& aRequest);

http_response MakePeerUnauthorizedResponse();

// Serves POST /rpc. Any thread.
http_response HandleRpcRequest(peer_front& aFront,
                               const http_request& aRequest);

} // namespace foxtailquay

#endif
