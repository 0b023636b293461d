// Performs one outgoing HTTP call with a streamed response; another thread
// can stop it.
//
//   call_stopper stopper;
//   call_outcome outcome = PerformCall(call, onHead, onData, &stopper);
//   Stop(stopper);                      any thread, at any time
//
// Each call opens a new connection. On a reused connection, a failure before
// the request was sent cannot be distinguished from one after it, so the error
// would have to state that the request may have been executed.

#ifndef FOXTAILQUAY_WIRE_HTTP_CALL_H
#define FOXTAILQUAY_WIRE_HTTP_CALL_H

#include <functional>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "wire/http_server.h"

namespace foxtailquay {

struct http_call
{
  // "IP:port".
  std::string mAddress;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  http_headers mHeaders;
  // No body is sent if mMethod is GET or HEAD.
  std::string mBody;
  std::string mContentType;
  absl::Duration mConnectTimeout = absl::Seconds(1);
  // Bounds each wait for more bytes of the response and each write.
  absl::Duration mReadTimeout = absl::Seconds(10);
};

enum class call_outcome
{
  // The complete response was received.
  Complete,
  // No connection was made, so nothing was sent.
  NotConnected,
  // The request may have been executed; the response is missing or truncated.
  Broken,
  // Stop() was called, or a handler returned false.
  Stopped,
};

constexpr auto NameTable(call_outcome)
{
  return MakeNameTable<call_outcome>(
    { { call_outcome::Complete, "complete" },
      { call_outcome::NotConnected, "not_connected" },
      { call_outcome::Broken, "broken" },
      { call_outcome::Stopped, "stopped" } });
}

// Lets another thread stop a call. Must outlive the call.
struct call_stopper
{
  call_stopper() = default;
  call_stopper(const call_stopper&) = delete;
  call_stopper& operator=(const call_stopper&) = delete;
  ~call_stopper();

  absl::Mutex mMutex;
  bool mStopped = false;
  // Duplicate of the connection's file descriptor, or -1. The duplicate keeps
  // the descriptor number from being reused for another connection.
  int mSocket = -1;
};

// Shuts the connection down, so that the call returns. A call that begins
// later returns Stopped without sending. Any thread; does not block.
void Stop(call_stopper& aStopper);
bool IsStopped(call_stopper& aStopper);

// The handlers return false to stop the call.
using head_handler =
  std::function<bool(int aStatus, const std::string& aContentType)>;
using data_handler = std::function<bool(std::string_view aData)>;

// Blocks until the response is complete or the call has failed or was stopped.
// The handlers run on the calling thread. aStopper may be null. An address
// that cannot be parsed yields NotConnected.
call_outcome PerformCall(const http_call& aCall, const head_handler& aOnHead,
                         const data_handler& aOnData, call_stopper* aStopper);

struct complete_response
{
  call_outcome mOutcome = call_outcome::Broken;
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

// Performs a call and collects the complete response. A body of more than
// aMaxBytes bytes stops the call.
complete_response PerformCompleteCall(const http_call& aCall,
                                      std::size_t aMaxBytes);

} // namespace foxtailquay

#endif
