// The traffic side of a gateway: callers' connections, the exchanges on them
// and the attempts at backend servers. It moves bytes and reports what
// happened; decisions come from the control thread as gateway actions.
//
//   traffic state(loop, hooks);
//   AcceptCaller(state, channel);             for each new connection
//   Perform(state, action);                   dispatch_request, send_error,
//                                             deliver_failure, cancel_request
//   SweepConnections(state);                  every kSweepInterval
//
// For the thread of the loop. Memory is bounded: a caller's request by the
// configured limits, an answer in transit by kMaxUnsentBytes per side.
//
// traffic.cc   callers: reading requests, refusals, idle connections
// attempt.cc   attempts: sending a request, reading and relaying its answer

#ifndef FOXTAILQUAY_TRAFFIC_TRAFFIC_H
#define FOXTAILQUAY_TRAFFIC_TRAFFIC_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "foxtailquay/gateway.h"
#include "platform/request_codec.h"
#include "transport/connection_pool.h"
#include "transport/event_loop.h"
#include "transport/http_reader.h"

namespace foxtailquay {

// Bytes that wait for a slow reader before its source is paused.
constexpr std::size_t kMaxUnsentBytes = 256 << 10;
// An answer up to this size is held until it is complete, so that a broken one
// is not passed on.
constexpr std::size_t kMaxHeldBytes = 256 << 10;
// Bytes that a caller may send ahead of its next request.
constexpr std::size_t kMaxEarlyBytes = 64 << 10;
// Interval of SweepConnections; the precision of idle and header timeouts.
constexpr absl::Duration kSweepInterval = absl::Milliseconds(250);
// Idle time of kept connections to servers that do not state theirs, and the
// margin before a stated one.
constexpr absl::Duration kServerIdleTime = absl::Seconds(4);
constexpr absl::Duration kServerIdleMargin = absl::Seconds(1);

struct traffic_hooks
{
  // Passes an event to the control thread; false if it takes no more work.
  std::function<bool(gateway_event)> mPost;
  // Time from the request to the first part and to the end of its answer.
  // Either may be empty.
  std::function<void(absl::Duration)> mOnFirstPart;
  std::function<void(absl::Duration)> mOnResponse;
};

// One attempt at a backend server.
struct attempt
{
  dispatch_request mDispatch;
  channel_id mChannel = 0;
  std::string mInput;
  http_reader mReader;
  platform::response_info mFacts;
  bool mFactsKnown = false;
  // The answer belongs to another request and is read past.
  bool mIsForeign = false;
};

struct exchange
{
  request_handle mHandle = 0;
  channel_id mCaller = 0;
  message_head mRequest;
  std::string mBody;
  std::string mAttemptId;
  absl::Time mArrivedAt;
  std::unique_ptr<attempt> mAttempt;
  // The failure that waits for deliver_failure.
  message_head mHeldHead;
  std::string mHeldBody;
  bool mHasHeldFailure = false;
  // The head of the answer went to the caller.
  bool mHeadSent = false;
  // Bytes of an event that is not complete yet.
  std::string mPartialEvent;
  std::int64_t mEvents = 0;
  std::string mLastEventId;
};

struct caller_connection
{
  channel_id mId = 0;
  std::string mInput;
  http_reader mReader;
  // The exchange in progress; 0 while the connection is idle.
  request_handle mHandle = 0;
  bool mClose = false;
  absl::Time mIdleSince;
  // Start of the request that is being read.
  absl::Time mStartedAt = absl::InfiniteFuture();
};

struct traffic
{
  traffic(event_loop& aLoop, traffic_hooks aHooks)
    : mLoop(aLoop)
    , mHooks(std::move(aHooks))
  {}

  event_loop& mLoop;
  traffic_hooks mHooks;
  caller_limits mLimits;
  connection_pool mPool;
  absl::flat_hash_map<channel_id, std::unique_ptr<caller_connection>> mCallers;
  absl::flat_hash_map<request_handle, std::unique_ptr<exchange>> mExchanges;
  request_handle mNextHandle = 1;
  // A planned stop has begun: connections close after their answers.
  bool mStopping = false;
  // Kept connections that are idle are closed as well.
  bool mClosing = false;
};

void AcceptCaller(traffic& aTraffic, channel_id aChannel);

void DispatchExchange(traffic& aTraffic, const dispatch_request& aDispatch);
void SendError(traffic& aTraffic, const send_error& aResponse);
void DeliverFailure(traffic& aTraffic, request_handle aHandle);
void CancelExchange(traffic& aTraffic, request_handle aHandle);

void SweepConnections(traffic& aTraffic, absl::Time aNow);

// --- Shared by traffic.cc and attempt.cc ------------------------------------

exchange* FindExchange(traffic& aTraffic, request_handle aHandle);

// Sends answer bytes and pauses the server while the caller lags behind.
void SendToCaller(traffic& aTraffic, exchange& aExchange,
                  std::string_view aBytes);
// True if the caller's connection ends with this answer.
bool ClosesAfter(const traffic& aTraffic, const exchange& aExchange);
// The caller has its whole answer; the connection is free for the next one.
void FinishExchange(traffic& aTraffic, request_handle aHandle);
// The answer cannot be completed: closes the caller's connection.
void CutExchange(traffic& aTraffic, request_handle aHandle);
// Ends the attempt's connection without a report.
void DropAttempt(traffic& aTraffic, exchange& aExchange);

} // namespace foxtailquay

#endif
