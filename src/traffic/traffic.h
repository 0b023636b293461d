// The traffic layer of a gateway: callers' connections, the exchanges on them
// and the attempts at backend servers. It transfers bytes and reports events to
// the control thread, which makes the decisions and returns them as actions.
//
//   traffic state(loop, hooks);
//   AcceptCaller(state, channel);         // for each new connection
//   DispatchExchange(state, action);      // for each dispatch_request
//   SendError(state, action);             // for each send_error
//   DeliverFailure(state, handle);        // for each deliver_failure
//   CancelExchange(state, handle);        // for each cancel_request
//   ProbeServer(state, action);           // for each probe_server
//   ExpireConnections(state, now);        // every kExpiryInterval
//
// All functions must be called on the thread of the loop. Memory is bounded: a
// caller's request by the configured limits, a response in transit by
// kMaxHeldBytes or kMaxUnsentBytes on each of its two connections. Once all
// exchanges together hold mMaxBufferedBytes, each is limited to
// kMinBufferedBytes, the slowest readers are cut off, and larger requests are
// refused.
//
// traffic.cc   callers: reading requests, error responses, idle connections
// slow_caller.cc  responses that are read slowly
// attempt.cc   attempts: sending a request, reading and relaying its response

#ifndef FOXTAILQUAY_TRAFFIC_TRAFFIC_H
#define FOXTAILQUAY_TRAFFIC_TRAFFIC_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "foxtailquay/gateway.h"
#include "platform/request_codec.h"
#include "transport/connection_pool.h"
#include "transport/event_loop.h"
#include "transport/http_reader.h"

namespace foxtailquay {

// Number of unsent bytes to a caller above which reading from the backend
// server is paused.
constexpr std::size_t kMaxUnsentBytes = 256 << 10;
// A plain response up to this size is held until it is complete, so that a
// broken one is not relayed.
constexpr std::size_t kMaxHeldBytes = 256 << 10;
// Number of bytes that an exchange may hold in each direction although all
// exchanges together hold more than they should.
constexpr std::size_t kMinBufferedBytes = 32 << 10;
// Number of bytes that a caller takes of its response until reading from the
// backend server is resumed. It is small, so that a server whose response is
// read slowly sees progress: it cuts off a response of which nothing is read
// for some seconds.
constexpr std::size_t kResumeBytes = 16 << 10;
// Time within which a caller must take kResumeBytes while more than
// kMinBufferedBytes are unsent to it. A slower one is cut off if all exchanges
// together hold more than they should, so that others need not be refused.
constexpr absl::Duration kSlowCallerTime = absl::Seconds(2);
// Number of bytes received from a caller ahead of its current response above
// which reading from the caller is paused.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
// Number of bytes of interim responses and of responses to other requests after
// which an attempt ends as broken.
constexpr std::size_t kMaxSkippedBytes = 1 << 20;
// Number of bytes of a response without content (framing, comments of a stream)
// after which an attempt ends as broken, if they are more than
// kMaxOverheadRatio times its content.
constexpr std::size_t kMaxOverheadBytes = 1 << 20;
constexpr std::size_t kMaxOverheadRatio = 16;
// Time within which a server must accept the connection of a probe.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(300);
// Interval of ExpireConnections; the precision of idle and header timeouts.
constexpr absl::Duration kExpiryInterval = absl::Milliseconds(250);
// Time for which a stopping gateway waits for the request on a new connection.
constexpr absl::Duration kFirstRequestTime = absl::Milliseconds(500);
// Time for which a caller may take no bytes of its response. A caller that has
// disappeared keeps a backend server busy for as long, one that reads slowly is
// cut off after it.
constexpr absl::Duration kCallerUnresponsiveTimeout = absl::Seconds(10);
// Time for which an idle connection is kept to a backend server that states no
// keep-alive timeout.
constexpr absl::Duration kDefaultServerIdleTimeout = absl::Seconds(4);
// Time by which an idle connection is closed before the server's stated
// keep-alive timeout, so that no request meets a connection that is closing.
constexpr absl::Duration kServerIdleTimeoutMargin = absl::Seconds(1);

// Callbacks of the traffic layer.
struct traffic_hooks
{
  // Posts an event to the control thread. Returns false if the queue is full.
  std::function<bool(gateway_event)> mPost;
  // Called with the time from the request to the header section of a response
  // that is sent in chunks. May be empty.
  std::function<void(absl::Duration)> mOnResponseStarted;
  // Called with the time from the request to the end of its response. May be
  // empty.
  std::function<void(absl::Duration)> mOnResponseFinished;
};

// One attempt at a backend server.
struct attempt
{
  dispatch_request mDispatch;
  channel_id mChannel = 0;
  // True if the connection has carried an earlier request.
  bool mIsReused = false;
  // Received bytes that are not parsed yet.
  std::string mInput;
  http_reader mReader;
  platform::response_info mResponseInfo;
  // True if mResponseInfo is decoded from the response that is being read.
  bool mHasResponseInfo = false;
  // True if first_byte is posted for this attempt.
  bool mIsStartPosted = false;
  // True if the response is interim (1xx) or belongs to another request. It is
  // read and discarded.
  bool mSkipResponse = false;
  // Number of bytes received before the response of the attempt.
  std::size_t mSkippedBytes = 0;
  // Number of bytes of the response that are content, and of the others.
  std::size_t mContentBytes = 0;
  std::size_t mOverheadBytes = 0;
  // Time at which the last complete stream event arrived; InfiniteFuture before
  // the first one.
  absl::Time mLastEventAt = absl::InfiniteFuture();
  // True while reading from the server waits for the caller.
  bool mIsPaused = false;
  // Number of response bytes that the caller had taken when it began.
  std::uint64_t mTakenAtPause = 0;
};

// A caller's request and the response to it.
struct exchange
{
  request_handle mHandle = 0;
  channel_id mCaller = 0;
  message_head mRequest;
  std::string mBody;
  std::string mAttemptId;
  absl::Time mArrivedAt;
  // Addresses to which the request was sent.
  std::vector<std::string> mTriedAddresses;
  // The attempt in progress; null between attempts.
  std::unique_ptr<attempt> mAttempt;
  // The failure response of the last attempt, held until deliver_failure.
  message_head mHeldHead;
  std::string mHeldBody;
  bool mHasHeldFailure = false;
  // True if the header section of the response was sent to the caller.
  bool mHeadSent = false;
  // Received bytes of a stream event that is not complete yet.
  std::string mPartialEvent;
  // Number of complete stream events sent to the caller, over all attempts.
  std::int64_t mEvents = 0;
  // Id of the last event sent to the caller that had one.
  std::string mLastEventId;
};

// A connection of a caller.
struct caller_connection
{
  channel_id mId = 0;
  // Received bytes that are not parsed yet.
  std::string mInput;
  http_reader mReader;
  // The exchange in progress; 0 while the connection is idle.
  request_handle mHandle = 0;
  // True if the caller does not reuse the connection.
  bool mCloseAfterResponse = false;
  absl::Time mIdleSince;
  // Number of response bytes handed to the connection.
  std::uint64_t mQueuedBytes = 0;
  // Number of response bytes that the caller had taken at mTakenAt, which is
  // the last time at which it had taken enough; see kSlowCallerTime.
  std::uint64_t mTakenBytes = 0;
  absl::Time mTakenAt = absl::InfiniteFuture();
  // Time of the first byte of the request that is being read; InfiniteFuture if
  // none has arrived.
  absl::Time mRequestStartedAt = absl::InfiniteFuture();
};

// The state of the traffic layer. Must exist until RunLoop has returned.
struct traffic
{
  traffic(event_loop& aLoop, traffic_hooks aHooks)
    : mLoop(aLoop)
    , mHooks(std::move(aHooks))
  {}

  event_loop& mLoop;
  traffic_hooks mHooks;
  caller_limits mLimits;
  // Number of bytes of requests and responses that all exchanges together may
  // hold before each of them is limited.
  std::size_t mMaxBufferedBytes = 16 << 20;
  connection_pool mPool;
  absl::flat_hash_map<channel_id, std::unique_ptr<caller_connection>> mCallers;
  absl::flat_hash_map<request_handle, std::unique_ptr<exchange>> mExchanges;
  request_handle mNextHandle = 1;
  // True during a planned stop: connections are closed after their responses.
  bool mIsStopping = false;
  // True while callers should connect to other gateways: connections are closed
  // after their responses.
  bool mIsClosing = false;
  // True in the later part of a planned stop: connections of callers that have
  // been idle for kFirstRequestTime are closed too.
  bool mCloseIdle = false;
};

// Serves requests on a new connection of a caller.
void AcceptCaller(traffic& aTraffic, channel_id aChannel);

// Starts an attempt. Its outcome is posted as an attempt_report.
void DispatchExchange(traffic& aTraffic, const dispatch_request& aDispatch);
// Checks whether the server's host accepts a connection. The result is posted
// as server_probed.
void ProbeServer(traffic& aTraffic, const probe_server& aProbe);
// Sends an error response. If a part of the response was already sent, closes
// the caller's connection instead, so that the response is cut short. Posts
// caller_disconnected in both cases.
void SendError(traffic& aTraffic, const send_error& aResponse);
// Sends the held failure response to the caller. If a part of a response was
// already sent, closes the caller's connection instead.
void DeliverFailure(traffic& aTraffic, request_handle aHandle);
// Cancels the attempt and closes the caller's connection.
void CancelExchange(traffic& aTraffic, request_handle aHandle);

// Returns true at aNow if no request is being read or served, none is expected
// on a new connection, and all responses are sent.
bool IsDrained(const traffic& aTraffic, absl::Time aNow);

// Returns the number of bytes of requests and responses that are held. Takes
// time proportional to the number of connections.
std::size_t MeasureBufferedBytes(const traffic& aTraffic);

// Closes connections whose timeouts have passed at aNow, ends attempts whose
// streams have stalled, and continues or cuts off responses that are read
// slowly.
void ExpireConnections(traffic& aTraffic, absl::Time aNow);

// --- Shared by traffic.cc and attempt.cc ------------------------------------

// Returns the exchange; null if it has ended.
exchange* FindExchange(traffic& aTraffic, request_handle aHandle);

// Returns true if an exchange that holds aBytes in one direction must not hold
// more: it has reached aMax, or kMinBufferedBytes while all exchanges together
// hold mMaxBufferedBytes.
bool IsBufferFull(const traffic& aTraffic, std::size_t aBytes,
                  std::size_t aMax);
// Sends bytes of the response. Pauses reading from the server if too many are
// unsent.
void SendToCaller(traffic& aTraffic, exchange& aExchange,
                  std::string_view aBytes);
// Returns true if the caller's connection must be closed after this response.
bool NeedsClose(const traffic& aTraffic, const exchange& aExchange);
// Ends the attempts whose streams have stalled at aNow.
void EndStalledAttempts(traffic& aTraffic, absl::Time aNow);
// Continues or cuts off responses that are read slowly.
void ReviewSlowCallers(traffic& aTraffic, absl::Time aNow);
// Reads from the server again after a pause.
void ResumeReadingServer(traffic& aTraffic, channel_id aCaller);
// Ends an exchange whose response is complete, and reads the next request.
void FinishExchange(traffic& aTraffic, request_handle aHandle);
// Ends an exchange whose response cannot be completed, and closes the caller's
// connection.
void AbortExchange(traffic& aTraffic, request_handle aHandle);
// Ends an exchange whose caller has disconnected before the attempt was sent.
void AbandonUnsentExchange(traffic& aTraffic, request_handle aHandle);
// Closes the connection of the attempt, which cancels the request at the
// backend server. Posts no report. No effect without an attempt.
void CancelAttempt(traffic& aTraffic, exchange& aExchange);

} // namespace foxtailquay

#endif
