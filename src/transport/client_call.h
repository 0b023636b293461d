// One HTTP call with a short answer, on a kept connection of an event loop.
//
//   client_calls calls{ loop };
//   StartCall(calls, call, [](const call_response& answer) { ... });
//
// A call that finds its kept connection closed before a byte was sent reports
// NotSent; the user decides whether to make it again.

#ifndef FOXTAILQUAY_TRANSPORT_CLIENT_CALL_H
#define FOXTAILQUAY_TRANSPORT_CLIENT_CALL_H

#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "transport/connection_pool.h"
#include "transport/event_loop.h"

namespace foxtailquay {

struct client_call
{
  // "IP:port".
  std::string mAddress;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  // Sent as JSON unless empty.
  std::string mBody;
  absl::Duration mConnectTimeout = absl::Milliseconds(500);
  // From the start of the call to its answer.
  absl::Duration mTimeout = absl::Seconds(2);
};

struct call_response
{
  // 0 without an answer.
  int mStatus = 0;
  std::string mBody;
  // Without an answer: no byte of the call was sent.
  bool mNotSent = false;
};

struct running_call;
struct running_call_deleter
{
  void operator()(running_call* aCall) const;
};
using running_call_ptr = std::unique_ptr<running_call, running_call_deleter>;

// The calls of one loop that wait for answers, and the connections that they
// use. Must outlive the loop's run.
struct client_calls
{
  explicit client_calls(event_loop& aLoop)
    : mLoop(aLoop)
  {}

  event_loop& mLoop;
  connection_pool mPool;
  absl::flat_hash_map<channel_id, running_call_ptr> mRunning;
};

// aOnDone is called once, from the loop and never from StartCall.
void StartCall(client_calls& aCalls, const client_call& aCall,
               std::function<void(const call_response&)> aOnDone);

} // namespace foxtailquay

#endif
