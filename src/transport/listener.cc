// Listeners of the event loop.

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

#include "transport/event_loop_impl.h"

namespace foxtailquay {

namespace {

using boost::asio::ip::tcp;

// Number of connections that are accepted in one turn of the loop, so that
// established connections are not delayed.
constexpr int kMaxAcceptsPerTurn = 16;
constexpr int kListenBacklog = 1024;
// Number of bytes that the kernel takes before they can be sent. Without a
// limit it takes several megabytes for a peer that reads slowly, which no limit
// of this process counts, and accepts more only in steps of about a third.
constexpr int kMaxKernelBytes = 64 << 10;

void LimitKernelBytes(tcp::socket& aSocket)
{
  // A failure is ignored: only the memory is less exact.
  (void)setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                   &kMaxKernelBytes, sizeof(kMaxKernelBytes));
}

void WaitToAccept(event_loop& aLoop, listener& aListener);

// Accepts one waiting connection. Returns false if there is none.
bool AcceptOne(event_loop& aLoop, listener& aListener)
{
  loop_failure failure;
  tcp::socket socket(aLoop.mImpl->mIo);
  aListener.mAcceptor.accept(socket, failure);
  if (failure) {
    return false;
  }
  socket.non_blocking(true, failure);
  if (failure) {
    return true;
  }
  SetSocketOptions(socket, aListener.mUnresponsiveTimeout);
  LimitKernelBytes(socket);
  const channel_id id = aLoop.mImpl->mNextId++;
  auto accepted = std::make_unique<channel>(std::move(socket));
  accepted->mIsConnected = true;
  aLoop.mImpl->mChannels[id] = std::move(accepted);
  aListener.mOnAccept(id);
  WaitToRead(aLoop, id);
  return true;
}

void OnAcceptable(event_loop& aLoop, listener& aListener)
{
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    if (!AcceptOne(aLoop, aListener)) {
      break;
    }
  }
  WaitToAccept(aLoop, aListener);
}

void WaitToAccept(event_loop& aLoop, listener& aListener)
{
  aListener.mAcceptor.async_wait(
    tcp::acceptor::wait_read,
    [&aLoop, &aListener](const loop_failure& aFailure) {
      if (!aFailure) {
        OnAcceptable(aLoop, aListener);
      }
    });
}

error MakeListenError(const std::string& aAddress, const std::string& aDetail)
{
  return error{ error_code::InvalidSetting, executed::No, aAddress, aDetail,
                absl::ZeroDuration() };
}

} // namespace

result<success> Listen(event_loop& aLoop, const std::string& aAddress,
                       const channel_options& aOptions,
                       std::function<void(channel_id)> aOnAccept)
{
  tcp::endpoint endpoint;
  if (!ParseAddress(aAddress, endpoint)) {
    return MakeListenError(aAddress, "must be an IPv4 address and port");
  }
  auto added = std::make_unique<listener>(aLoop.mImpl->mIo);
  added->mUnresponsiveTimeout = aOptions.mUnresponsiveTimeout;
  added->mOnAccept = std::move(aOnAccept);
  loop_failure failure;
  added->mAcceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    added->mAcceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    added->mAcceptor.bind(endpoint, failure);
  }
  if (!failure) {
    added->mAcceptor.listen(kListenBacklog, failure);
  }
  if (!failure) {
    added->mAcceptor.non_blocking(true, failure);
  }
  if (failure) {
    return MakeListenError(aAddress, failure.message());
  }
  WaitToAccept(aLoop, *added);
  aLoop.mImpl->mListeners.push_back(std::move(added));
  return success{};
}

void StopListening(event_loop& aLoop)
{
  for (auto& each : aLoop.mImpl->mListeners) {
    // Closing a listener resets the connections that wait for it.
    for (int i = 0; i < kListenBacklog; ++i) {
      if (!each->mAcceptor.is_open() || !AcceptOne(aLoop, *each)) {
        break;
      }
    }
    loop_failure ignored;
    each->mAcceptor.close(ignored);
  }
}

} // namespace foxtailquay
