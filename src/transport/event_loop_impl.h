// The private parts of the event loop.
//
// event_loop.cc   channels: connecting, reading, sending, closing
// listener.cc     accepting connections
// loop_timers.cc  timers

#ifndef FOXTAILQUAY_TRANSPORT_EVENT_LOOP_IMPL_H
#define FOXTAILQUAY_TRANSPORT_EVENT_LOOP_IMPL_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/container/flat_hash_map.h"
#include "transport/event_loop.h"

namespace foxtailquay {

using loop_failure = boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 32768;

// A connection.
struct channel
{
  explicit channel(boost::asio::ip::tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {}

  boost::asio::ip::tcp::socket mSocket;
  channel_handlers mHandlers;
  // Bytes that the operating system has not accepted yet.
  std::string mUnsent;
  bool mIsConnected = false;
  // True while a wait for a readable or writable socket is in progress.
  bool mIsWaitingToRead = false;
  bool mIsWaitingToWrite = false;
  bool mIsReadingPaused = false;
  // True if the channel is closed once mUnsent is empty.
  bool mCloseWhenDrained = false;
  // True if the sending side is closed once mUnsent is empty.
  bool mShutDownWhenDrained = false;
  // Number of bytes discarded since CloseLingering.
  std::size_t mDiscardedBytes = 0;
  // True if a byte was sent since the last ClearHasSent.
  bool mHasSent = false;
  // Timer of the connect timeout; 0 if there is none.
  std::uint64_t mConnectTimer = 0;
};

// A listening socket.
struct listener
{
  explicit listener(boost::asio::io_context& aIo)
    : mAcceptor(aIo)
  {}

  boost::asio::ip::tcp::acceptor mAcceptor;
  absl::Duration mUnresponsiveTimeout;
  std::function<void(channel_id)> mOnAccept;
};

struct event_loop_impl
{
  boost::asio::io_context mIo{ 1 };
  absl::flat_hash_map<channel_id, std::unique_ptr<channel>> mChannels;
  std::vector<std::unique_ptr<listener>> mListeners;
  // Next id of a channel or timer.
  std::uint64_t mNextId = 1;
  std::uint64_t mReceivedBytes = 0;
  std::uint64_t mSentBytes = 0;
  // Shared by all channels.
  std::array<char, kReadBufferBytes> mReadBuffer;
  // Callbacks by time and timer id.
  std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> mTimers;
  // Times of the timers by timer id.
  absl::flat_hash_map<std::uint64_t, absl::Time> mTimerDeadlines;
  // Expires at mWakeAt, the time of the next timer in mTimers or earlier.
  boost::asio::steady_timer mWakeTimer{ mIo };
  absl::Time mWakeAt = absl::InfiniteFuture();
};

// Returns the channel; null if it is closed.
channel* FindChannel(const event_loop& aLoop, channel_id aChannel);

// Returns true if the operation must be repeated, at the latest when the socket
// is ready.
bool IsTransient(const loop_failure& aFailure);

// Parses "IP:port" with an IPv4 address. Returns false if aText is malformed.
bool ParseAddress(const std::string& aText,
                  boost::asio::ip::tcp::endpoint& aEndpoint);

// Sets the socket options that close a connection if the peer does not respond
// for about aLimit, and TCP_NODELAY.
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket,
                      absl::Duration aLimit);

// Waits until bytes can be read and delivers them.
void WaitToRead(event_loop& aLoop, channel_id aChannel);

} // namespace foxtailquay

#endif
