#include "transport/event_loop.h"

#include <algorithm>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>

#include "absl/strings/numbers.h"
#include "transport/event_loop_impl.h"

namespace foxtailquay {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

// TCP keep-alive probes, 1 s apart, without a response until a connection
// counts as broken.
constexpr int kKeepAliveProbes = 2;

// Closes the channel and calls its mOnClosed.
void CloseAndNotify(event_loop& aLoop, channel_id aChannel, close_cause aCause)
{
  const auto found = aLoop.mImpl->mChannels.find(aChannel);
  if (found == aLoop.mImpl->mChannels.end()) {
    return;
  }
  // The channel is removed first, so that calls by the handlers with its id
  // have no effect.
  const auto closed = std::move(found->second);
  aLoop.mImpl->mChannels.erase(found);
  CancelTimer(aLoop, closed->mConnectTimer);
  if (closed->mHandlers.mOnClosed) {
    closed->mHandlers.mOnClosed(aCause);
  }
}

void WaitToWrite(event_loop& aLoop, channel_id aChannel);

// Calls a copy of the data handler, because the handler may replace itself.
void DeliverData(channel& aChannel, std::string_view aData)
{
  const auto onData = aChannel.mHandlers.mOnData;
  if (onData) {
    onData(aData);
  }
}

// Reads once and then waits again, so that a peer that sends faster than its
// bytes are processed does not keep the thread.
void OnReadable(event_loop& aLoop, channel_id aChannel)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr || target->mIsReadingPaused) {
    return;
  }
  auto& readBuffer = aLoop.mImpl->mReadBuffer;
  loop_failure failure;
  const std::size_t size =
    target->mSocket.read_some(asio::buffer(readBuffer), failure);
  if (failure && !IsTransient(failure)) {
    CloseAndNotify(aLoop, aChannel,
                   failure == asio::error::eof ? close_cause::Ended
                                               : close_cause::Broken);
    return;
  }
  if (!failure) {
    aLoop.mImpl->mReceivedBytes += size;
    DeliverData(*target, std::string_view(readBuffer.data(), size));
  }
  WaitToRead(aLoop, aChannel);
}

// Calls aOnReady once the socket is ready for aFor. aWaiting is the channel's
// flag for such a wait; no second wait is started while it is set.
void WaitForSocket(event_loop& aLoop, channel_id aChannel,
                   tcp::socket::wait_type aFor, bool channel::*aWaiting,
                   void (*aOnReady)(event_loop&, channel_id))
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr || target->*aWaiting || !target->mIsConnected) {
    return;
  }
  target->*aWaiting = true;
  target->mSocket.async_wait(
    aFor, [&aLoop, aChannel, aWaiting, aOnReady](const loop_failure& aFailure) {
      channel* ready = FindChannel(aLoop, aChannel);
      if (ready == nullptr) {
        return;
      }
      ready->*aWaiting = false;
      if (aFailure) {
        CloseAndNotify(aLoop, aChannel, close_cause::Broken);
        return;
      }
      aOnReady(aLoop, aChannel);
    });
}

// Writes as many buffered bytes as the operating system accepts. Returns false
// if the channel failed and was closed. Precondition: the channel is open.
bool WriteSome(event_loop& aLoop, channel_id aChannel)
{
  channel* target = FindChannel(aLoop, aChannel);
  std::size_t written = 0;
  loop_failure failure;
  while (written < target->mUnsent.size() && !failure) {
    written +=
      target->mSocket.write_some(asio::buffer(target->mUnsent.data() + written,
                                              target->mUnsent.size() - written),
                                 failure);
  }
  target->mHasSent = target->mHasSent || written > 0;
  aLoop.mImpl->mSentBytes += written;
  target->mUnsent.erase(0, written);
  if (failure && !IsTransient(failure)) {
    CloseAndNotify(aLoop, aChannel, close_cause::Broken);
    return false;
  }
  return true;
}

// Sends a FIN; bytes are still received. A failure needs no handling: the
// channel is then broken and its next read reports it.
void ShutDownSending(channel& aChannel)
{
  loop_failure ignored;
  aChannel.mSocket.shutdown(tcp::socket::shutdown_send, ignored);
}

void OnWritable(event_loop& aLoop, channel_id aChannel)
{
  if (!WriteSome(aLoop, aChannel)) {
    return;
  }
  channel* target = FindChannel(aLoop, aChannel);
  if (!target->mUnsent.empty()) {
    WaitToWrite(aLoop, aChannel);
    return;
  }
  if (target->mCloseWhenDrained) {
    Close(aLoop, aChannel);
    return;
  }
  if (target->mShutDownWhenDrained) {
    ShutDownSending(*target);
    return;
  }
  const auto onDrained = target->mHandlers.mOnDrained;
  if (onDrained) {
    onDrained();
  }
}

void WaitToWrite(event_loop& aLoop, channel_id aChannel)
{
  WaitForSocket(aLoop, aChannel, tcp::socket::wait_write,
                &channel::mIsWaitingToWrite, &OnWritable);
}

void OnConnected(event_loop& aLoop, channel_id aChannel,
                 const loop_failure& aFailure,
                 absl::Duration aUnresponsiveTimeout)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr) {
    return;
  }
  if (aFailure) {
    CloseAndNotify(aLoop, aChannel,
                   aFailure == asio::error::connection_refused
                     ? close_cause::Refused
                     : close_cause::NotConnected);
    return;
  }
  CancelTimer(aLoop, target->mConnectTimer);
  target->mConnectTimer = 0;
  target->mIsConnected = true;
  SetSocketOptions(target->mSocket, aUnresponsiveTimeout);
  WaitToRead(aLoop, aChannel);
  if (!target->mUnsent.empty()) {
    OnWritable(aLoop, aChannel);
  }
  // The channel may have failed meanwhile.
  target = FindChannel(aLoop, aChannel);
  if (target != nullptr && target->mHandlers.mOnConnected) {
    const auto onConnected = target->mHandlers.mOnConnected;
    onConnected();
  }
}

} // namespace

channel* FindChannel(const event_loop& aLoop, channel_id aChannel)
{
  const auto found = aLoop.mImpl->mChannels.find(aChannel);
  return found == aLoop.mImpl->mChannels.end() ? nullptr : found->second.get();
}

bool IsTransient(const loop_failure& aFailure)
{
  return aFailure == asio::error::would_block ||
         aFailure == asio::error::try_again ||
         aFailure == asio::error::interrupted;
}

bool ParseAddress(const std::string& aText, tcp::endpoint& aEndpoint)
{
  const auto colon = aText.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aText.substr(colon + 1), &port) || port > 65535) {
    return false;
  }
  loop_failure failure;
  const auto ip = asio::ip::make_address_v4(aText.substr(0, colon), failure);
  aEndpoint = tcp::endpoint(ip, static_cast<std::uint16_t>(port));
  return !failure;
}

// A host that lost power acknowledges neither data nor keep-alive probes.
void SetSocketOptions(tcp::socket& aSocket, absl::Duration aLimit)
{
  const int fd = aSocket.native_handle();
  const int on = 1;
  const int idle = std::max<int>(
    1, static_cast<int>(absl::ToInt64Seconds(aLimit)) - kKeepAliveProbes);
  const int interval = 1;
  const int probes = kKeepAliveProbes;
  const auto timeout =
    static_cast<unsigned int>(absl::ToInt64Milliseconds(aLimit));
  // Failures are ignored: without one of these options, the timeouts of calls
  // still apply.
  (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                   sizeof(timeout));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void WaitToRead(event_loop& aLoop, channel_id aChannel)
{
  const channel* target = FindChannel(aLoop, aChannel);
  if (target != nullptr && !target->mIsReadingPaused) {
    WaitForSocket(aLoop, aChannel, tcp::socket::wait_read,
                  &channel::mIsWaitingToRead, &OnReadable);
  }
}

void event_loop_deleter::operator()(event_loop_impl* aImpl) const
{
  delete aImpl;
}

event_loop::event_loop()
  : mImpl(new event_loop_impl)
{}

channel_id Connect(event_loop& aLoop, const std::string& aAddress,
                   const channel_options& aOptions, channel_handlers aHandlers)
{
  const channel_id id = aLoop.mImpl->mNextId++;
  auto added = std::make_unique<channel>(tcp::socket(aLoop.mImpl->mIo));
  added->mHandlers = std::move(aHandlers);
  channel& connecting = *added;
  aLoop.mImpl->mChannels[id] = std::move(added);
  tcp::endpoint endpoint;
  loop_failure failure;
  if (ParseAddress(aAddress, endpoint)) {
    connecting.mSocket.open(endpoint.protocol(), failure);
  } else {
    failure = asio::error::invalid_argument;
  }
  if (!failure) {
    connecting.mSocket.non_blocking(true, failure);
  }
  if (failure) {
    // Reported from the loop, after the caller has received the id.
    Post(aLoop, [&aLoop, id] {
      CloseAndNotify(aLoop, id, close_cause::NotConnected);
    });
    return id;
  }
  connecting.mConnectTimer =
    StartTimer(aLoop, aOptions.mConnectTimeout, [&aLoop, id] {
      CloseAndNotify(aLoop, id, close_cause::NotConnected);
    });
  connecting.mSocket.async_connect(
    endpoint, [&aLoop, id, limit = aOptions.mUnresponsiveTimeout](
                const loop_failure& aFailure) {
      OnConnected(aLoop, id, aFailure, limit);
    });
  return id;
}

void SetHandlers(event_loop& aLoop, channel_id aChannel,
                 channel_handlers aHandlers)
{
  if (channel* target = FindChannel(aLoop, aChannel)) {
    target->mHandlers = std::move(aHandlers);
  }
}

bool IsOpen(const event_loop& aLoop, channel_id aChannel)
{
  return FindChannel(aLoop, aChannel) != nullptr;
}

void Send(event_loop& aLoop, channel_id aChannel, std::string_view aBytes)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr || aBytes.empty()) {
    return;
  }
  const bool idle = target->mUnsent.empty() && target->mIsConnected;
  if (idle) {
    loop_failure failure;
    const std::size_t written = target->mSocket.write_some(
      asio::buffer(aBytes.data(), aBytes.size()), failure);
    target->mHasSent = target->mHasSent || written > 0;
    aLoop.mImpl->mSentBytes += written;
    aBytes.remove_prefix(written);
    if (failure && !IsTransient(failure)) {
      // Reported from the loop, because the calling function may still use the
      // channel.
      Post(aLoop, [&aLoop, aChannel] {
        CloseAndNotify(aLoop, aChannel, close_cause::Broken);
      });
      return;
    }
  }
  target->mUnsent.append(aBytes.data(), aBytes.size());
  if (!target->mUnsent.empty()) {
    WaitToWrite(aLoop, aChannel);
  }
}

std::size_t GetUnsentBytes(const event_loop& aLoop, channel_id aChannel)
{
  const channel* target = FindChannel(aLoop, aChannel);
  return target == nullptr ? 0 : target->mUnsent.size();
}

loop_totals GetTotals(const event_loop& aLoop)
{
  const event_loop_impl& impl = *aLoop.mImpl;
  return { impl.mReceivedBytes, impl.mSentBytes, impl.mChannels.size() };
}

bool HasUnsentBytes(const event_loop& aLoop)
{
  const auto& channels = aLoop.mImpl->mChannels;
  return std::any_of(channels.begin(), channels.end(), [](const auto& aEach) {
    return !aEach.second->mUnsent.empty();
  });
}

std::size_t CountUnsentBytes(const event_loop& aLoop)
{
  std::size_t bytes = 0;
  for (const auto& each : aLoop.mImpl->mChannels) {
    bytes += each.second->mUnsent.size();
  }
  return bytes;
}

unread_input PeekInput(const event_loop& aLoop, channel_id aChannel)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr || !target->mIsConnected) {
    return unread_input::Nothing;
  }
  char byte = 0;
  loop_failure failure;
  target->mSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                          failure);
  if (!failure) {
    return unread_input::Bytes;
  }
  return IsTransient(failure) ? unread_input::Nothing : unread_input::Close;
}

bool HasSent(const event_loop& aLoop, channel_id aChannel)
{
  const channel* target = FindChannel(aLoop, aChannel);
  return target != nullptr && target->mHasSent;
}

void ClearHasSent(event_loop& aLoop, channel_id aChannel)
{
  if (channel* target = FindChannel(aLoop, aChannel)) {
    target->mHasSent = false;
  }
}

void SetReadingPaused(event_loop& aLoop, channel_id aChannel, bool aPaused)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr || target->mIsReadingPaused == aPaused) {
    return;
  }
  target->mIsReadingPaused = aPaused;
  if (!aPaused) {
    WaitToRead(aLoop, aChannel);
  }
}

void Close(event_loop& aLoop, channel_id aChannel)
{
  const auto found = aLoop.mImpl->mChannels.find(aChannel);
  if (found == aLoop.mImpl->mChannels.end()) {
    return;
  }
  const auto closed = std::move(found->second);
  aLoop.mImpl->mChannels.erase(found);
  CancelTimer(aLoop, closed->mConnectTimer);
}

void CloseWhenDrained(event_loop& aLoop, channel_id aChannel)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr) {
    return;
  }
  if (target->mUnsent.empty()) {
    Close(aLoop, aChannel);
    return;
  }
  target->mCloseWhenDrained = true;
}

void CloseLingering(event_loop& aLoop, channel_id aChannel)
{
  channel* target = FindChannel(aLoop, aChannel);
  if (target == nullptr) {
    return;
  }
  channel_handlers handlers;
  handlers.mOnData = [&aLoop, aChannel](std::string_view aData) {
    channel* lingering = FindChannel(aLoop, aChannel);
    lingering->mDiscardedBytes += aData.size();
    if (lingering->mDiscardedBytes > kMaxDiscardedBytes) {
      Close(aLoop, aChannel);
    }
  };
  target->mHandlers = std::move(handlers);
  target->mShutDownWhenDrained = true;
  if (target->mUnsent.empty()) {
    ShutDownSending(*target);
  }
  StartTimer(aLoop, kLingerTime,
             [&aLoop, aChannel] { Close(aLoop, aChannel); });
}

void Post(event_loop& aLoop, std::function<void()> aCallback)
{
  asio::post(aLoop.mImpl->mIo, std::move(aCallback));
}

void RunLoop(event_loop& aLoop)
{
  const auto guard = asio::make_work_guard(aLoop.mImpl->mIo);
  aLoop.mImpl->mIo.run();
}

void StopLoop(event_loop& aLoop)
{
  aLoop.mImpl->mIo.stop();
}

} // namespace foxtailquay
