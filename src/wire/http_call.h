// One outgoing HTTP call with a streamed answer that another thread can stop.
//
//   call_stopper stopper;
//   call_outcome outcome = PerformCall(call, onHead, onData, &stopper);
//   Stop(stopper);                      any thread, at any time
//
// Each call opens a connection of its own: on a kept connection a failure to
// send is not distinguishable from a failure after sending, and the caller
// would have to be told that its request may have run.

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
  // For each wait for more of the answer.
  absl::Duration mReadTimeout = absl::Seconds(10);
};

enum class call_outcome
{
  // The answer arrived in full.
  Complete,
  // Nothing was sent.
  NotConnected,
  // The request may have been handled; the answer is missing or cut off.
  Broken,
  // Stop was called, or a handler returned false.
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

struct call_stopper
{
  call_stopper() = default;
  call_stopper(const call_stopper&) = delete;
  call_stopper& operator=(const call_stopper&) = delete;
  ~call_stopper();

  absl::Mutex mMutex;
  bool mStopped = false;
  // A duplicate of the connection's descriptor, so that it cannot be reused
  // by another connection while it is in here.
  int mSocket = -1;
};

// Ends the call at once. Any thread; does not wait.
void Stop(call_stopper& aStopper);
bool IsStopped(call_stopper& aStopper);

// Return false to stop the call.
using head_handler =
  std::function<bool(int aStatus, const std::string& aContentType)>;
using data_handler = std::function<bool(std::string_view aData)>;

// Blocks until the answer is complete or failed. The handlers run on the
// calling thread.
call_outcome PerformCall(const http_call& aCall, const head_handler& aOnHead,
                         const data_handler& aOnData, call_stopper* aStopper);

struct complete_response
{
  call_outcome mOutcome = call_outcome::Broken;
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

// PerformCall for a small answer, at most aMaxBytes.
complete_response PerformCompleteCall(const http_call& aCall,
                                      std::size_t aMaxBytes);

} // namespace foxtailquay

#endif
