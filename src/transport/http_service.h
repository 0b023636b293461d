// A small HTTP service on an event loop, for short questions: readiness,
// metrics and calls of other gateways.
//
//   http_service service(loop, [&](service_call& call) { SendResponse(service,
//     call.mChannel, 200, "text/plain", "ok"); });
//   StartService(service, "192.0.2.1:7340");
//
// A connection carries one call at a time; SendResponse may come later. For the
// thread of the loop.

#ifndef FOXTAILQUAY_TRANSPORT_HTTP_SERVICE_H
#define FOXTAILQUAY_TRANSPORT_HTTP_SERVICE_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "transport/event_loop.h"
#include "transport/http_reader.h"

namespace foxtailquay {

struct service_call
{
  channel_id mChannel = 0;
  message_head mHead;
  std::string mBody;
};

struct service_connection
{
  http_reader mReader;
  std::string mInput;
  bool mBusy = false;
};

struct http_service
{
  http_service(event_loop& aLoop, std::function<void(service_call&)> aOnCall)
    : mLoop(aLoop)
    , mOnCall(std::move(aOnCall))
  {}

  event_loop& mLoop;
  std::function<void(service_call&)> mOnCall;
  absl::flat_hash_map<channel_id, std::unique_ptr<service_connection>>
    mConnections;
};

// Errors: InvalidSetting if the address cannot be used.
result<success> StartService(http_service& aService,
                             const std::string& aAddress);

// Answers the call on aChannel; no effect if the connection is gone.
void SendResponse(http_service& aService, channel_id aChannel, int aStatus,
                  std::string_view aContentType, std::string_view aBody);

} // namespace foxtailquay

#endif
