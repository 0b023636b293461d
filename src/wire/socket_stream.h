// A connected socket as cpp-httplib's Stream, with deadlines and limits.
//
// All waiting is in poll(). Used by one thread at a time.

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
  // Takes over the socket and closes it at the end.
  socket_stream(int aSocket, absl::Duration aWriteTimeout);
  socket_stream(const socket_stream&) = delete;
  socket_stream& operator=(const socket_stream&) = delete;
  ~socket_stream() override;

  // Performs the handshake. Returns false if it fails or takes longer than
  // the deadline.
  bool StartTls(SSL_CTX& aContext, absl::Time aDeadline);

  // Waits until a byte can be read. Returns false at the deadline or at the
  // end of the connection.
  bool WaitReadable(absl::Time aDeadline);

  // Reads fail after the deadline or after aMaxBytes more bytes.
  void BeginRequest(absl::Time aDeadline, std::size_t aMaxBytes);

  // Ends sending and discards what the client still sends, until it closes or
  // a bound is reached.
  void Drain(absl::Time aDeadline, std::size_t aMaxBytes);

  // Drops what is written from now on: the reply was already sent.
  void DiscardWrites(bool aDiscard) { mDiscard = aDiscard; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aInto, size_t aSize) override;
  ssize_t write(const char* aData, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  bool Wait(short aEvents, absl::Time aDeadline) const;
  // Bytes received, 0 at the end of the connection, -1 on failure.
  ssize_t Receive(char* aInto, size_t aSize, absl::Time aDeadline);
  ssize_t Send(const char* aData, size_t aSize, absl::Time aDeadline);

  const int mSocket;
  const absl::Duration mWriteTimeout;
  tls_session_ptr mTls;
  // Bytes received but not yet read.
  std::array<char, 8192> mBuffer{};
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  absl::Time mDeadline = absl::InfiniteFuture();
  std::size_t mBytesLeft = 0;
  bool mDiscard = false;
};

} // namespace foxtailquay

#endif
