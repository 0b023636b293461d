// HTTP calls with a short response, over pooled connections of an event loop.
//
//   client_calls calls{ loop };
//   StartCall(calls, call, [](const call_response& response) { ... });
//
// A call is never repeated. After a call without a complete response, the next
// call to the address uses a new connection. If the connection cannot be
// established, or if the timeout passes before a byte was sent, the call ends
// with mNotSent, and the user may repeat it. All functions must be called on
// the thread of the loop. The body of a response is limited to 8 MiB.

#ifndef FOXTAILQUAY_TRANSPORT_CLIENT_CALL_H
#define FOXTAILQUAY_TRANSPORT_CLIENT_CALL_H

#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "transport/connection_pool.h"
#include "transport/event_loop.h"
#include "transport/http_reader.h"

namespace foxtailquay {

// One HTTP request and its timeouts.
struct client_call
{
  // "IP:port".
  std::string mAddress;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  // JSON text; empty if there is no body.
  std::string mBody;
  absl::Duration mConnectTimeout = absl::Milliseconds(500);
  // Time from the start of the call to the end of its response.
  absl::Duration mTimeout = absl::Seconds(2);
  // Approximate time after which a new connection counts as broken if the
  // peer's host acknowledges nothing.
  absl::Duration mUnresponsiveTimeout = absl::Seconds(3);
};

// Outcome of a call.
struct call_response
{
  // HTTP status; 0 without a complete response.
  int mStatus = 0;
  // Header section of a complete response.
  message_head mHead;
  std::string mBody;
  // True if there is no response and no byte of the call was sent.
  bool mNotSent = false;
};

// The private state of a call.
struct running_call;
// Deleter for the private state type.
struct running_call_deleter
{
  void operator()(running_call* aCall) const;
};
using running_call_ptr = std::unique_ptr<running_call, running_call_deleter>;

// The running calls of one loop and their connections. Must exist until RunLoop
// has returned.
struct client_calls
{
  explicit client_calls(event_loop& aLoop)
    : mLoop(aLoop)
  {}

  event_loop& mLoop;
  connection_pool mPool;
  absl::flat_hash_map<channel_id, running_call_ptr> mRunning;
};

// Starts a call and returns its channel, which identifies it. aOnDone is called
// once, from the loop and never from StartCall, unless the call is abandoned.
channel_id StartCall(client_calls& aCalls, const client_call& aCall,
                     std::function<void(const call_response&)> aOnDone);

// Closes the connection of a running call, whose aOnDone is then not called.
// Has no effect if the call has ended.
void AbandonCall(client_calls& aCalls, channel_id aChannel);

} // namespace foxtailquay

#endif
