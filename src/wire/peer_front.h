// The part of the peer port that both roles serve: POST /rpc, one JSON-RPC
// method per message kind, and `drain`.

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
  // Peers must show it; empty: not checked.
  std::string mPeerKey;
  // Takes a message to the control thread. Any thread.
  std::function<result<success>(envelope)> mOnMessage;
  // Starts a graceful stop. Any thread.
  std::function<void()> mOnDrain;
};

struct peer_front
{
  peer_front(peer_front_options aOptions, metrics& aMetrics);

  const peer_front_options mOptions;
  metrics& mMetrics;
  const rpc_server_ptr mRpc;
};

// True if the request shows the peers' key, or none is needed.
bool IsPeer(const std::string& aPeerKey, const http_request& aRequest);

http_response MakePeerUnauthorizedResponse();

// Answers POST /rpc. Any thread.
http_response HandleRpcRequest(peer_front& aFront,
                               const http_request& aRequest);

} // namespace foxtailquay

#endif
