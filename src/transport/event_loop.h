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
// All functions but Post and StopLoop are for the thread that runs the loop.
// A channel is named by its id; calls for an id that is closed have no effect,
// so no callback can touch a closed connection. The loop waits for readiness
// and reads into one shared buffer, so that an idle connection costs no
// buffer. A handler may close any channel, its own included.

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

// 0 is no channel.
using channel_id = std::uint64_t;

enum class close_cause
{
  // The peer ended the connection in order.
  Ended,
  // Reset, timed out or failed.
  Broken,
  // The connection was never established.
  NotConnected,
};

constexpr auto NameTable(close_cause)
{
  return MakeNameTable<close_cause>(
    { { close_cause::Ended, "ended" },
      { close_cause::Broken, "broken" },
      { close_cause::NotConnected, "not_connected" } });
}

struct channel_handlers
{
  // Bytes arrived.
  std::function<void(std::string_view)> mOnData;
  // The channel is closed; called once, unless Close was called here.
  std::function<void(close_cause)> mOnClosed;
  // All bytes that were given to Send are with the system.
  std::function<void()> mOnDrained;
};

struct channel_options
{
  // Longest time to establish the connection.
  absl::Duration mConnectTimeout = absl::Milliseconds(500);
  // A peer that is gone without a word is noticed after about this time.
  absl::Duration mSilenceLimit = absl::Seconds(3);
};

struct event_loop_impl;
struct event_loop_deleter
{
  void operator()(event_loop_impl* aImpl) const;
};

struct event_loop
{
  event_loop();
  std::unique_ptr<event_loop_impl, event_loop_deleter> mImpl;
};

// Accepts connections on "IP:port". aOnAccept sets the handlers.
// Errors: InvalidSetting if the address cannot be used.
result<success> Listen(event_loop& aLoop, const std::string& aAddress,
                       std::function<void(channel_id)> aOnAccept);

void StopListening(event_loop& aLoop);

// Opens a connection. Bytes may be sent at once; they wait for it.
channel_id Connect(event_loop& aLoop, const std::string& aAddress,
                   const channel_options& aOptions, channel_handlers aHandlers);

void SetHandlers(event_loop& aLoop, channel_id aChannel,
                 channel_handlers aHandlers);

bool IsOpen(const event_loop& aLoop, channel_id aChannel);

// Sends aBytes, or keeps them until the peer takes them.
void Send(event_loop& aLoop, channel_id aChannel, std::string_view aBytes);

// Bytes that wait for the peer.
std::size_t UnsentOf(const event_loop& aLoop, channel_id aChannel);

// True if a byte was handed to the system on this connection since the last
// MarkUnsent.
bool HasSent(const event_loop& aLoop, channel_id aChannel);
void MarkUnsent(event_loop& aLoop, channel_id aChannel);

// While paused, no data arrives, and neither does the peer's close.
void PauseReading(event_loop& aLoop, channel_id aChannel, bool aPaused);

// Closes the connection without calling its handlers.
void Close(event_loop& aLoop, channel_id aChannel);

// Closes it once all bytes are sent.
void CloseWhenDrained(event_loop& aLoop, channel_id aChannel);

// Calls aCallback once after aDelay. Returns a number for CancelTimer.
std::uint64_t After(event_loop& aLoop, absl::Duration aDelay,
                    std::function<void()> aCallback);
void CancelTimer(event_loop& aLoop, std::uint64_t aTimer);

// Any thread.
void Post(event_loop& aLoop, std::function<void()> aCallback);

// Runs until StopLoop.
void RunLoop(event_loop& aLoop);

// Any thread.
void StopLoop(event_loop& aLoop);

} // namespace foxtailquay

#endif
