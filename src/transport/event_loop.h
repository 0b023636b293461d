// The event loop of a traffic thread: non-blocking TCP connections, listeners
// and timers over Boost.Asio's epoll reactor.
//
//   event_loop loop;
//   Listen(loop, address, [&](channel_id id) { ... });
//   channel_id id = Connect(loop, "192.0.2.1:80", options, handlers);
//   Send(loop, id, bytes);
//   RunLoop(loop);                     // on the traffic thread
//   Post(loop, [&] { ... });           // from any thread
//
// Post and StopLoop may be called on any thread, all other functions only on
// the thread that runs the loop. A channel is a connection, identified by its
// id; calls with the id of a closed channel have no effect, so no callback can
// use a closed connection. The loop waits until a socket is readable and then
// reads into one shared buffer, so that an idle connection needs no buffer. A
// handler may close any channel, including its own.

#ifndef FOXTAILQUAY_TRANSPORT_EVENT_LOOP_H
#define FOXTAILQUAY_TRANSPORT_EVENT_LOOP_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

// Identifies a connection; 0 means none.
using channel_id = std::uint64_t;

// Why a channel was closed.
enum class close_cause
{
  // The peer closed the connection with a FIN after its last byte.
  Ended,
  // The connection was reset, timed out or failed.
  Broken,
  // The peer's host has refused the connection: no process listens.
  Refused,
  // The connection was not established for another reason.
  NotConnected,
};

constexpr auto NameTable(close_cause)
{
  return MakeNameTable<close_cause>(
    { { close_cause::Ended, "ended" },
      { close_cause::Broken, "broken" },
      { close_cause::Refused, "refused" },
      { close_cause::NotConnected, "not_connected" } });
}

// Returns true if the connection was established before it was closed.
constexpr bool WasConnected(close_cause aCause)
{
  return aCause == close_cause::Ended || aCause == close_cause::Broken;
}

// Callbacks of a channel, called on the thread of the loop. Each may be empty.
struct channel_handlers
{
  // Called once when a connection that Connect opened is established.
  std::function<void()> mOnConnected;
  // Called with the bytes that have arrived.
  std::function<void(std::string_view)> mOnData;
  // Called once when the channel closes, except by Close or CloseWhenDrained.
  std::function<void(close_cause)> mOnClosed;
  // Called when the operating system has accepted all bytes passed to Send
  // after some had to wait.
  std::function<void()> mOnDrained;
};

// Timeouts of a channel.
struct channel_options
{
  // Time within which the connection must be established.
  absl::Duration mConnectTimeout = absl::Milliseconds(500);
  // Approximate time after which a connection to a peer that no longer
  // responds, or takes no more bytes, is closed as broken.
  absl::Duration mUnresponsiveTimeout = absl::Seconds(3);
};

// Limits of CloseLingering.
constexpr absl::Duration kLingerTime = absl::Seconds(1);
constexpr std::size_t kMaxDiscardedBytes = 1 << 20;

// The private state of an event loop.
struct event_loop_impl;
// Deleter for the private state type.
struct event_loop_deleter
{
  void operator()(event_loop_impl* aImpl) const;
};

// An event loop. Must exist until RunLoop has returned.
struct event_loop
{
  event_loop();
  std::unique_ptr<event_loop_impl, event_loop_deleter> mImpl;
};

// Accepts connections on "IP:port", with mUnresponsiveTimeout of aOptions.
// aOnAccept is called for each and sets its handlers. Errors: InvalidSetting if
// the address cannot be used.
result<success> Listen(event_loop& aLoop, const std::string& aAddress,
                       const channel_options& aOptions,
                       std::function<void(channel_id)> aOnAccept);

// Accepts the connections that are already waiting, then no further ones; open
// ones stay open.
void StopListening(event_loop& aLoop);

// Opens a connection to "IP:port" and returns its id immediately. Bytes may be
// sent before the connection is established. A failure is reported to
// aHandlers.mOnClosed later.
channel_id Connect(event_loop& aLoop, const std::string& aAddress,
                   const channel_options& aOptions, channel_handlers aHandlers);

// Replaces the handlers of the channel.
void SetHandlers(event_loop& aLoop, channel_id aChannel,
                 channel_handlers aHandlers);

// Returns true if the channel is connecting or connected.
bool IsOpen(const event_loop& aLoop, channel_id aChannel);

// Sends aBytes. Bytes that the operating system does not accept are buffered
// without bound; GetUnsentBytes returns their number.
void Send(event_loop& aLoop, channel_id aChannel, std::string_view aBytes);

// Returns the number of buffered bytes.
std::size_t GetUnsentBytes(const event_loop& aLoop, channel_id aChannel);

// Totals over all channels since the start.
struct loop_totals
{
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mSentBytes = 0;
  // Number of channels that are open now.
  std::size_t mOpenChannels = 0;
};

loop_totals GetTotals(const event_loop& aLoop);

// Returns the number of buffered bytes of all channels. Takes time proportional
// to their number.
std::size_t CountUnsentBytes(const event_loop& aLoop);

// Returns true if any channel has buffered bytes.
bool HasUnsentBytes(const event_loop& aLoop);

// What waits to be read on a connection.
enum class unread_input
{
  Nothing,
  Bytes,
  // The peer has closed the connection, or it is broken.
  Close,
};

constexpr auto NameTable(unread_input)
{
  using u = unread_input;
  return MakeNameTable<u>({ { u::Nothing, "nothing" },
                            { u::Bytes, "bytes" },
                            { u::Close, "close" } });
}

unread_input PeekInput(const event_loop& aLoop, channel_id aChannel);

// Returns true if the operating system has accepted a byte on this connection
// since the last ClearHasSent.
bool HasSent(const event_loop& aLoop, channel_id aChannel);
void ClearHasSent(event_loop& aLoop, channel_id aChannel);

// Pauses or resumes reading. While reading is paused, neither data nor a close
// by the peer is reported.
void SetReadingPaused(event_loop& aLoop, channel_id aChannel, bool aPaused);

// Closes the connection without calling its handlers. Buffered bytes are lost.
void Close(event_loop& aLoop, channel_id aChannel);

// Closes the connection without calling mOnClosed once all buffered bytes are
// sent.
void CloseWhenDrained(event_loop& aLoop, channel_id aChannel);

// Like CloseWhenDrained, for a peer that may still be sending. Discards its
// bytes for up to kLingerTime and kMaxDiscardedBytes, because a connection that
// is closed with unread bytes is reset, and a reset can discard the last bytes
// sent before the peer has read them.
void CloseLingering(event_loop& aLoop, channel_id aChannel);

// Calls aCallback once after aDelay. Returns the id of the timer for
// CancelTimer.
std::uint64_t StartTimer(event_loop& aLoop, absl::Duration aDelay,
                         std::function<void()> aCallback);
// Cancels the timer. No effect if it has expired, or if aTimer is 0.
void CancelTimer(event_loop& aLoop, std::uint64_t aTimer);

// Calls aCallback on the thread of the loop. Thread-safe.
void Post(event_loop& aLoop, std::function<void()> aCallback);

// Runs the loop on the calling thread until StopLoop.
void RunLoop(event_loop& aLoop);

// Makes RunLoop return. Thread-safe.
void StopLoop(event_loop& aLoop);

} // namespace foxtailquay

#endif
