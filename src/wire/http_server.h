// An HTTP server on cpp-httplib with bounded connections and one handler for
// all requests.
//
//   http_server_ptr server = MakeHttpServer(options, handler);
//   result<int> port = StartServer(*server);
//   StopServer(*server);
//
// Each connection has a thread, on which the handler runs. The handler returns
// a response, or streams one with BeginStream, WriteStream and EndStream and
// returns nothing.
//
// cpp-httplib parses requests and writes responses that are not streamed. This
// code reads and writes the sockets itself, for four reasons:
// - An idle connection waits in poll() instead of waking 100 times a second.
// - A request has one deadline for all its bytes, so a client that sends one
//   byte at a time cannot occupy a thread for longer.
// - A response can be streamed once its status is known.
// - A disconnect of the client is reported immediately.

#ifndef FOXTAILQUAY_WIRE_HTTP_SERVER_H
#define FOXTAILQUAY_WIRE_HTTP_SERVER_H

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "foxtailquay/result.h"
#include "wire/http_message.h"

namespace foxtailquay {

struct http_server_options
{
  std::string mName = "http";
  std::string mIp;
  // 0 means any free port.
  int mPort = 0;
  // Further connections get a 503 response (without TLS) and are closed.
  std::size_t mMaxConnections = 1024;
  std::size_t mMaxBodyBytes = 4 << 20;
  // Bounds the request line and all headers together.
  std::size_t mMaxHeaderBytes = 32 << 10;
  // Bounds the time to read a complete request from its first byte, and the
  // TLS handshake.
  absl::Duration mReadTimeout = absl::Seconds(15);
  // Bounds one write to a client that does not read.
  absl::Duration mWriteTimeout = absl::Seconds(30);
  // A connection that waits this long for a request is closed.
  absl::Duration mIdleTimeout = absl::Seconds(60);
  // PEM files. Both are empty for HTTP without TLS.
  std::string mTlsCertFile;
  std::string mTlsKeyFile;
};

struct http_connection;

// Calls aCallback once, on another thread, if the client closes the connection
// before the handler returns or UnwatchClient is called. aCallback must be
// short and must not call WatchClient or UnwatchClient.
void WatchClient(http_connection& aConnection, std::function<void()> aCallback);
// Ends WatchClient. After it returns, the callback is not running and is not
// called again.
void UnwatchClient(http_connection& aConnection);

// Sends the status and headers of a streamed response. Returns false if the
// client has disconnected or does not read within the write timeout.
bool BeginStream(http_connection& aConnection, int aStatus,
                 const std::string& aContentType, const http_headers& aHeaders);
// Sends one chunk. Returns false as BeginStream does. Precondition:
// BeginStream was called.
bool WriteStream(http_connection& aConnection, std::string_view aData);
// Ends a streamed response. Without it the client sees a truncated response.
// Returns false as BeginStream does.
bool EndStream(http_connection& aConnection);

// Handles one request. Returns nothing if it has streamed the response.
using http_handler = std::function<std::optional<http_response>(
  const http_request&, http_connection&)>;

struct http_server;

struct http_server_deleter
{
  void operator()(http_server* aServer) const;
};
using http_server_ptr = std::unique_ptr<http_server, http_server_deleter>;

http_server_ptr MakeHttpServer(http_server_options aOptions,
                               http_handler aHandler);

// Binds the address and starts the thread that accepts connections. Returns
// the port. Errors: InvalidSetting if the address cannot be bound or the TLS
// files cannot be used, Overloaded if the system has no file descriptor or
// thread left.
result<int> StartServer(http_server& aServer);

// Returns the number of connections that were closed because mMaxConnections
// were open. Any thread.
std::size_t CountRejectedConnections(const http_server& aServer);

// Closes the port and idle connections, and waits for the requests in
// progress.
void StopServer(http_server& aServer);

} // namespace foxtailquay

#endif
