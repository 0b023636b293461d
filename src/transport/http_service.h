// An HTTP server on an event loop for short calls: readiness checks, metrics
// and calls of other gateways.
//
//   http_service service(loop, [&](http_service_call& call) {
//     SendResponse(service, call.mChannel, 200, "text/plain", "ok");
//   });
//   StartService(service, "192.0.2.1:7340");
//
// A connection has one call at a time. SendResponse may be called after the
// handler has returned. All functions must be called on the thread of the loop.
// Messages are limited by the defaults of reader_limits, and a call must arrive
// within kMaxCallTime if ExpireCalls is called regularly.

#ifndef FOXTAILQUAY_TRANSPORT_HTTP_SERVICE_H
#define FOXTAILQUAY_TRANSPORT_HTTP_SERVICE_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "transport/event_loop.h"
#include "transport/http_reader.h"

namespace foxtailquay {

// Time within which a call must arrive from its first byte on.
constexpr absl::Duration kMaxCallTime = absl::Seconds(5);
// Number of bytes received ahead of the response to the current call above
// which reading from the connection is paused.
constexpr std::size_t kMaxWaitingBytes = 64 << 10;

// A call that has arrived.
struct http_service_call
{
  channel_id mChannel = 0;
  message_head mHead;
  std::string mBody;
};

// A connection of a client.
struct service_connection
{
  http_reader mReader;
  // Received bytes that are not parsed yet.
  std::string mInput;
  // True from the arrival of a call until its response is sent.
  bool mIsHandlingCall = false;
  // Time of the first byte of the call that is being read; InfiniteFuture if
  // none has arrived.
  absl::Time mCallStartedAt = absl::InfiniteFuture();
};

// The server. Must exist until RunLoop has returned.
struct http_service
{
  http_service(event_loop& aLoop,
               std::function<void(http_service_call&)> aOnCall)
    : mLoop(aLoop)
    , mOnCall(std::move(aOnCall))
  {}

  event_loop& mLoop;
  std::function<void(http_service_call&)> mOnCall;
  absl::flat_hash_map<channel_id, std::unique_ptr<service_connection>>
    mConnections;
};

// Accepts connections on "IP:port". Errors: InvalidSetting if the address
// cannot be used.
result<success> StartService(http_service& aService,
                             const std::string& aAddress);

// Closes the connections whose call has not arrived in time at aNow.
void ExpireCalls(http_service& aService, absl::Time aNow);

// Sends the response to the call on aChannel. No effect if the connection is
// closed.
void SendResponse(http_service& aService, channel_id aChannel, int aStatus,
                  std::string_view aContentType, std::string_view aBody);

} // namespace foxtailquay

#endif
