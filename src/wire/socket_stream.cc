#include "wire/socket_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

void ToIpAndPort(const sockaddr_in& aAddress, std::string& aIp, int& aPort)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  aIp = text.data();
  aPort = ntohs(aAddress.sin_port);
}

} // namespace

socket_stream::socket_stream(int aSocket, absl::Duration aWriteTimeout)
  : mSocket(aSocket)
  , mWriteTimeout(aWriteTimeout)
{
  fcntl(mSocket, F_SETFL, fcntl(mSocket, F_GETFL) | O_NONBLOCK);
}

socket_stream::~socket_stream()
{
  if (mTls) {
    SSL_shutdown(mTls.get());
  }
  shutdown(mSocket, SHUT_RDWR);
  close(mSocket);
}

bool socket_stream::AwaitEvents(short aEvents, absl::Time aDeadline) const
{
  for (;;) {
    const absl::Duration left = aDeadline - MonotonicNow();
    if (left <= absl::ZeroDuration()) {
      return false;
    }
    // Rounded up, so that poll() does not return just before the deadline.
    const auto milliseconds = std::min<std::int64_t>(
      absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1))),
      3'600'000);
    pollfd descriptor{ mSocket, aEvents, 0 };
    const int ready = poll(&descriptor, 1, static_cast<int>(milliseconds));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

bool socket_stream::StartTls(SSL_CTX& aContext, absl::Time aDeadline)
{
  mTls.reset(SSL_new(&aContext));
  if (!mTls) {
    return false;
  }
  SSL_set_fd(mTls.get(), mSocket);
  for (;;) {
    const int done = SSL_accept(mTls.get());
    if (done == 1) {
      return true;
    }
    const int reason = SSL_get_error(mTls.get(), done);
    const bool again =
      (reason == SSL_ERROR_WANT_READ && AwaitEvents(POLLIN, aDeadline)) ||
      (reason == SSL_ERROR_WANT_WRITE && AwaitEvents(POLLOUT, aDeadline));
    if (!again) {
      return false;
    }
  }
}

bool socket_stream::AwaitReadable(absl::Time aDeadline)
{
  if (mBufferBegin < mBufferEnd || (mTls && SSL_pending(mTls.get()) > 0)) {
    return true;
  }
  if (!AwaitEvents(POLLIN, aDeadline)) {
    return false;
  }
  char byte = 0;
  // With TLS the bytes may be a record without application data, which only
  // Receive() can detect.
  return mTls != nullptr || recv(mSocket, &byte, 1, MSG_PEEK) > 0;
}

void socket_stream::BeginRequest(absl::Time aDeadline, std::size_t aMaxBytes)
{
  mReadDeadline = aDeadline;
  mRemainingBytes = aMaxBytes;
  mDiscardWrites = false;
}

void socket_stream::Drain(absl::Time aDeadline, std::size_t aMaxBytes)
{
  if (mTls) {
    SSL_shutdown(mTls.get());
  }
  shutdown(mSocket, SHUT_WR);
  std::size_t discarded = 0;
  while (discarded < aMaxBytes) {
    const ssize_t count = Receive(mBuffer.data(), mBuffer.size(), aDeadline);
    if (count <= 0) {
      return;
    }
    discarded += static_cast<std::size_t>(count);
  }
}

ssize_t socket_stream::Receive(char* aInto, size_t aSize, absl::Time aDeadline)
{
  for (;;) {
    if (mTls) {
      const int count = SSL_read(mTls.get(), aInto, static_cast<int>(aSize));
      if (count > 0) {
        return count;
      }
      const int reason = SSL_get_error(mTls.get(), count);
      if (reason == SSL_ERROR_ZERO_RETURN) {
        return 0;
      }
      const short events = reason == SSL_ERROR_WANT_WRITE ? POLLOUT : POLLIN;
      if ((reason != SSL_ERROR_WANT_READ && reason != SSL_ERROR_WANT_WRITE) ||
          !AwaitEvents(events, aDeadline)) {
        return -1;
      }
      continue;
    }
    const ssize_t count = recv(mSocket, aInto, aSize, 0);
    if (count >= 0) {
      return count;
    }
    if (errno != EINTR && ((errno != EAGAIN && errno != EWOULDBLOCK) ||
                           !AwaitEvents(POLLIN, aDeadline))) {
      return -1;
    }
  }
}

ssize_t socket_stream::read(char* aInto, size_t aSize)
{
  if (mBufferBegin == mBufferEnd) {
    const ssize_t count =
      Receive(mBuffer.data(), mBuffer.size(), mReadDeadline);
    if (count <= 0) {
      return count;
    }
    mBufferBegin = 0;
    mBufferEnd = static_cast<std::size_t>(count);
  }
  const std::size_t size =
    std::min({ aSize, mBufferEnd - mBufferBegin, mRemainingBytes });
  if (size == 0) {
    return -1;
  }
  std::memcpy(aInto, mBuffer.data() + mBufferBegin, size);
  mBufferBegin += size;
  mRemainingBytes -= size;
  return static_cast<ssize_t>(size);
}

ssize_t socket_stream::Send(const char* aData, size_t aSize,
                            absl::Time aDeadline)
{
  for (;;) {
    if (mTls) {
      const int count = SSL_write(mTls.get(), aData, static_cast<int>(aSize));
      if (count > 0) {
        return count;
      }
      const int reason = SSL_get_error(mTls.get(), count);
      const short events = reason == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
      if ((reason != SSL_ERROR_WANT_READ && reason != SSL_ERROR_WANT_WRITE) ||
          !AwaitEvents(events, aDeadline)) {
        return -1;
      }
      continue;
    }
    const ssize_t count = send(mSocket, aData, aSize, MSG_NOSIGNAL);
    if (count >= 0) {
      return count;
    }
    if (errno != EINTR && ((errno != EAGAIN && errno != EWOULDBLOCK) ||
                           !AwaitEvents(POLLOUT, aDeadline))) {
      return -1;
    }
  }
}

ssize_t socket_stream::write(const char* aData, size_t aSize)
{
  if (mDiscardWrites) {
    return static_cast<ssize_t>(aSize);
  }
  const absl::Time deadline = MonotonicNow() + mWriteTimeout;
  std::size_t done = 0;
  while (done < aSize) {
    const ssize_t count = Send(aData + done, aSize - done, deadline);
    if (count <= 0) {
      return -1;
    }
    done += static_cast<std::size_t>(count);
  }
  return static_cast<ssize_t>(aSize);
}

bool socket_stream::is_readable() const
{
  return mBufferBegin < mBufferEnd ||
         AwaitEvents(POLLIN, MonotonicNow() + absl::Milliseconds(1));
}

bool socket_stream::is_writable() const
{
  return AwaitEvents(POLLOUT, MonotonicNow() + mWriteTimeout);
}

void socket_stream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getpeername(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
  ToIpAndPort(address, aIp, aPort);
}

void socket_stream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
  ToIpAndPort(address, aIp, aPort);
}

} // namespace foxtailquay
