// Wraps a connected socket, with or without TLS, as a httplib::Stream with
// deadlines and byte limits.
//
// The thread waits in poll(). Not thread-safe: one thread at a time.

#ifndef FOXTAILQUAY_WIRE_SOCKET_STREAM_H
#define FOXTAILQUAY_WIRE_SOCKET_STREAM_H

#include <array>
#include <cstddef>
#include <string>

#include "absl/time/time.h"
#include "httplib.h"
#include "wire/tls.h"

namespace foxtailquay {

class socket_stream : public httplib::Stream
{
public:
  // Takes ownership of the socket; the destructor closes it. aWriteTimeout
  // bounds each write().
  socket_stream(int aSocket, absl::Duration aWriteTimeout);
  socket_stream(const socket_stream&) = delete;
  socket_stream& operator=(const socket_stream&) = delete;
  ~socket_stream() override;

  // Performs the server side of the TLS handshake. Returns false if the
  // handshake fails or is not complete at the deadline.
  bool StartTls(SSL_CTX& aContext, absl::Time aDeadline);

  // Waits until a byte can be read. Returns false if the deadline passes or
  // the connection ends first.
  bool AwaitReadable(absl::Time aDeadline);

  // Starts a new request: read() fails after aDeadline and after aMaxBytes
  // more bytes, and writes are no longer discarded.
  void BeginRequest(absl::Time aDeadline, std::size_t aMaxBytes);

  // Closes the sending direction, then reads and discards incoming bytes until
  // the client closes the connection, aDeadline passes or aMaxBytes are read.
  void Drain(absl::Time aDeadline, std::size_t aMaxBytes);

  // If true, write() reports success without sending anything. Used after a
  // streamed response, so that cpp-httplib does not send a second one.
  void SetDiscardWrites(bool aDiscard) { mDiscardWrites = aDiscard; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aInto, size_t aSize) override;
  ssize_t write(const char* aData, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  // Waits for poll() events. Returns false at the deadline or on an error.
  bool AwaitEvents(short aEvents, absl::Time aDeadline) const;
  // Returns the number of bytes received, 0 at the end of the connection, or
  // -1 on failure or at the deadline.
  ssize_t Receive(char* aInto, size_t aSize, absl::Time aDeadline);
  // Returns the number of bytes sent, which may be less than aSize, or -1 on
  // failure or at the deadline.
  ssize_t Send(const char* aData, size_t aSize, absl::Time aDeadline);

  const int mSocket;
  const absl::Duration mWriteTimeout;
  // Null without TLS.
  tls_session_ptr mTls;
  // Bytes from mBufferBegin to mBufferEnd are received but not yet read.
  std::array<char, 8192> mBuffer{};
  std::size_t mBufferBegin = 0;
  std::size_t mBufferEnd = 0;
  absl::Time mReadDeadline = absl::InfiniteFuture();
  // Number of bytes that read() may still return for the current request.
  std::size_t mRemainingBytes = 0;
  bool mDiscardWrites = false;
};

} // namespace foxtailquay

#endif
