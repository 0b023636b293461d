// An HTTP server on cpp-httplib with bounded connections and one handler for
// all requests.
//
//   http_server_ptr server = MakeHttpServer(options, handler);
//   result<int> port = StartServer(*server);
//   StopServer(*server);
//
// The handler runs on the connection's own thread. It returns a reply, or
// streams one with BeginStream, WriteStream and EndStream and returns nothing.
//
// cpp-httplib does the parsing and the framing of whole replies. The sockets
// are read and written here, for four reasons: idle connections wait in
// poll() instead of waking 100 times a second; a request has one deadline for
// all its bytes, so a client that sends one byte at a time cannot hold a
// thread; a reply can be streamed after its status is known; and a caller
// that disconnects is noticed at once.

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
  // 0: any free port.
  int mPort = 0;
  // Connections beyond these are answered with 503 and closed at once.
  std::size_t mMaxConnections = 1024;
  std::size_t mMaxBodyBytes = 4 << 20;
  // For the request line and all headers together.
  std::size_t mMaxHeaderBytes = 32 << 10;
  // For a whole request from its first byte.
  absl::Duration mReadTimeout = absl::Seconds(15);
  // For one write to a client that does not read.
  absl::Duration mWriteTimeout = absl::Seconds(30);
  // How long a connection may be idle between requests.
  absl::Duration mIdleTimeout = absl::Seconds(60);
  // PEM files; both empty for plain HTTP.
  std::string mTlsCertFile;
  std::string mTlsKeyFile;
};

struct http_connection;

// Calls aCallback once, on another thread, when the client closes the
// connection, until the handler returns or UnwatchClient is called.
// aCallback must be short.
void WatchClient(http_connection& aConnection, std::function<void()> aCallback);
// After the return the callback neither runs nor will run.
void UnwatchClient(http_connection& aConnection);

// Sends status and headers of a chunked reply. Returns false if the client is
// gone.
bool BeginStream(http_connection& aConnection, int aStatus,
                 const std::string& aContentType, const http_headers& aHeaders);
// Sends one chunk. Precondition: BeginStream. Returns false if the client is
// gone.
bool WriteStream(http_connection& aConnection, std::string_view aData);
// Sends the last chunk. Without it the client sees a truncated reply.
bool EndStream(http_connection& aConnection);

// Returns nothing if it has streamed its reply.
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

// Binds and accepts on a thread of its own. Returns the port. Errors:
// InvalidSetting if the address cannot be bound or the TLS files cannot be
// used.
result<int> StartServer(http_server& aServer);

// Connections that were closed because there were too many.
std::size_t CountRefusedConnections(const http_server& aServer);

// Closes the port and idle connections, and waits for requests in progress.
void StopServer(http_server& aServer);

} // namespace foxtailquay

#endif
