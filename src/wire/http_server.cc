#include "wire/http_server.h"

#include <atomic>
#include <set>

#include <netinet/tcp.h>
#include <pthread.h>

#include "absl/strings/str_cat.h"
#include "httplib.h"
#include "runtime/clock.h"
#include "runtime/elastic_pool.h"
#include "wire/connection_watch.h"
#include "wire/http_framing.h"
#include "wire/socket_stream.h"
#include "wire/tls.h"

namespace foxtailquay {

struct http_connection
{
  http_connection(http_server& aServer, socket_stream& aStream)
    : mServer(aServer)
    , mStream(aStream)
  {}

  http_server& mServer;
  socket_stream& mStream;
  // Between two requests.
  bool mIdle = false;
  bool mClose = false;
  // State of the request in progress.
  bool mStreamed = false;
  bool mChunked = true;
  std::string mContentType;
  std::uint64_t mWatch = 0;
};

namespace {

// Waiting connections that the kernel keeps; cpp-httplib asks for five, which
// a burst of new connections overruns.
constexpr int kListenBacklog = 1024;

// How long, and for how much, the rest of a refused request is read before
// its connection is closed: closing with unread bytes resets the connection,
// and the client may lose the response.
constexpr absl::Duration kDrainTime = absl::Milliseconds(500);
constexpr std::size_t kDrainBytes = 16 << 20;

// Text that cannot end a header line.
std::string HeaderText(std::string aText)
{
  for (char& character : aText) {
    if (static_cast<unsigned char>(character) < ' ') {
      character = ' ';
    }
  }
  return aText;
}

void SetReply(httplib::Response& aResponse, const http_response& aReply)
{
  aResponse.status = aReply.mStatus;
  for (const auto& [name, value] : aReply.mHeaders) {
    aResponse.set_header(name, HeaderText(value));
  }
  aResponse.set_content(aReply.mBody, HeaderText(aReply.mContentType));
}

class pool_queue : public httplib::TaskQueue
{
public:
  explicit pool_queue(elastic_pool& aPool)
    : mPool(aPool)
  {}

  // A connection that the pool refuses is handled on the accepting thread,
  // where Serve turns it away.
  void enqueue(std::function<void()> aTask) override
  {
    if (!TrySubmit(mPool, aTask)) {
      aTask();
    }
  }

  void shutdown() override { StopPool(mPool); }

private:
  elastic_pool& mPool;
};

class server_connector : public httplib::Server
{
public:
  explicit server_connector(http_server& aServer)
    : mServer(aServer)
  {}

  int ListeningSocket() const { return svr_sock_; }

  bool Handle(httplib::Stream& aStream, bool aClose, bool& aClosed,
              const std::function<void(httplib::Request&)>& aSetUp)
  {
    return process_request(aStream, aClose, aClosed, aSetUp);
  }

  // Closes the listening socket; the accept loop then returns.
  void CloseListener()
  {
    const int listening = svr_sock_.exchange(INVALID_SOCKET);
    if (listening != INVALID_SOCKET) {
      ::shutdown(listening, SHUT_RDWR);
      ::close(listening);
    }
  }

private:
  bool process_and_close_socket(socket_t aSocket) override; // NOLINT

  http_server& mServer;
};

} // namespace

struct http_server
{
  http_server(http_server_options aOptions, http_handler aHandler)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mPool({ mOptions.mName, mOptions.mMaxConnections, 0, absl::Seconds(10) })
    , mConnector(*this)
  {}

  const http_server_options mOptions;
  const http_handler mHandler;
  elastic_pool mPool;
  connection_watch mWatch;
  tls_context_ptr mTls;
  server_connector mConnector;
  posix_thread mAcceptThread;
  std::atomic<pthread_t> mAcceptId{ 0 };
  std::atomic<std::size_t> mRefused{ 0 };
  std::atomic<bool> mStopping{ false };
  absl::Mutex mMutex;
  // Open connections by the client's address.
  std::map<std::string, http_connection*> mOpen;
};

namespace {

std::string ClientKey(const std::string& aIp, int aPort)
{
  return absl::StrCat(aIp, ":", aPort);
}

void TurnAway(http_server& aServer, int aSocket)
{
  ++aServer.mRefused;
  if (!aServer.mTls) {
    http_response response =
      MakeErrorResponse({ error_code::Overloaded, executed::No, "",
                          "too many connections", absl::Seconds(1) });
    std::string text = "HTTP/1.1 503 Service Unavailable\r\n"
                       "Connection: close\r\n"
                       "Content-Type: application/json\r\n";
    for (const auto& [name, value] : response.mHeaders) {
      absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&text, "Content-Length: ", response.mBody.size(),
                    "\r\n\r\n", response.mBody);
    // Must not wait: this is the accepting thread.
    (void)send(aSocket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(aSocket, SHUT_WR);
  }
  close(aSocket);
}

// Marks the connection as idle or busy. Returns false if it should close.
bool SetIdle(http_server& aServer, http_connection& aConnection, bool aIdle)
{
  absl::MutexLock lock(&aServer.mMutex);
  aConnection.mIdle = aIdle;
  return !aServer.mStopping;
}

void PrepareRequest(http_connection& aConnection, httplib::Request& aRequest,
                    absl::Time aDeadline)
{
  const http_server_options& options = aConnection.mServer.mOptions;
  // Room for the framing of a chunked body.
  aConnection.mStream.BeginRequest(aDeadline,
                                   2 * options.mMaxBodyBytes + (64 << 10));
  aConnection.mChunked = aRequest.version != "HTTP/1.0";
  // cpp-httplib would parse a multipart body and cut ranges out of replies.
  aConnection.mContentType = aRequest.get_header_value("Content-Type");
  aRequest.headers.erase("Content-Type");
  // Without a length there is no body; cpp-httplib would read to the end of
  // the connection.
  if (!aRequest.has_header("Content-Length") &&
      !aRequest.has_header("Transfer-Encoding")) {
    aRequest.headers.emplace("Content-Length", "0");
  }
  aRequest.ranges.clear();
}

// Handles the requests of one connection, one after another.
void Serve(http_server& aServer, http_connection& aConnection)
{
  const http_server_options& options = aServer.mOptions;
  socket_stream& stream = aConnection.mStream;
  while (!aConnection.mClose && SetIdle(aServer, aConnection, true) &&
         stream.WaitReadable(MonotonicNow() + options.mIdleTimeout)) {
    SetIdle(aServer, aConnection, false);
    const absl::Time deadline = MonotonicNow() + options.mReadTimeout;
    stream.BeginRequest(deadline, options.mMaxHeaderBytes);
    aConnection.mStreamed = false;
    bool closed = false;
    // Stays false if the request line or the headers are malformed; where the
    // next request would begin is then unknown.
    bool parsed = false;
    const bool handled = aServer.mConnector.Handle(
      stream, aServer.mStopping, closed, [&](httplib::Request& aRequest) {
        parsed = true;
        PrepareRequest(aConnection, aRequest, deadline);
      });
    UnwatchClient(aConnection);
    if (!handled || closed || !parsed) {
      return;
    }
  }
}

bool server_connector::process_and_close_socket(socket_t aSocket)
{
  if (pthread_equal(mServer.mAcceptId, pthread_self()) != 0) {
    TurnAway(mServer, aSocket);
    return false;
  }
  const int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  socket_stream stream(aSocket, mServer.mOptions.mWriteTimeout);
  if (mServer.mTls &&
      !stream.StartTls(*mServer.mTls,
                       MonotonicNow() + mServer.mOptions.mReadTimeout)) {
    return false;
  }
  std::string ip;
  int port = 0;
  stream.get_remote_ip_and_port(ip, port);
  const std::string key = ClientKey(ip, port);
  http_connection connection(mServer, stream);
  {
    absl::MutexLock lock(&mServer.mMutex);
    mServer.mOpen[key] = &connection;
  }
  Serve(mServer, connection);
  if (connection.mClose) {
    stream.Drain(MonotonicNow() + kDrainTime, kDrainBytes);
  }
  absl::MutexLock lock(&mServer.mMutex);
  mServer.mOpen.erase(key);
  return true;
}

http_connection* ConnectionOf(http_server& aServer,
                              const httplib::Request& aRequest)
{
  absl::MutexLock lock(&aServer.mMutex);
  const auto found =
    aServer.mOpen.find(ClientKey(aRequest.remote_addr, aRequest.remote_port));
  return found == aServer.mOpen.end() ? nullptr : found->second;
}

http_request ToRequest(const httplib::Request& aRequest,
                       const http_connection& aConnection, std::string aBody)
{
  http_request request;
  request.mMethod = aRequest.method;
  request.mPath = aRequest.path;
  request.mTarget = aRequest.target;
  request.mRemote = ClientKey(aRequest.remote_addr, aRequest.remote_port);
  request.mBody = std::move(aBody);
  for (const auto& [name, value] : aRequest.headers) {
    request.mHeaders.emplace(name, value);
  }
  request.mHeaders["Content-Type"] = aConnection.mContentType;
  return request;
}

void CallHandler(http_server& aServer, const httplib::Request& aRequest,
                 httplib::Response& aResponse, std::string aBody)
{
  http_connection* connection = ConnectionOf(aServer, aRequest);
  if (connection == nullptr) {
    SetReply(aResponse, MakeErrorResponse({}));
    return;
  }
  const auto response = aServer.mHandler(
    ToRequest(aRequest, *connection, std::move(aBody)), *connection);
  if (response && !connection->mStreamed) {
    SetReply(aResponse, *response);
    return;
  }
  aResponse.status = 200;
  connection->mStream.DiscardWrites(true);
}

void HandleWithBody(http_server& aServer, const httplib::Request& aRequest,
                    httplib::Response& aResponse,
                    const httplib::ContentReader& aReader)
{
  std::string body;
  bool tooLarge = false;
  const bool complete = aReader([&](const char* aData, size_t aSize) {
    tooLarge = body.size() + aSize > aServer.mOptions.mMaxBodyBytes;
    if (!tooLarge) {
      body.append(aData, aSize);
    }
    return !tooLarge;
  });
  if (complete) {
    CallHandler(aServer, aRequest, aResponse, std::move(body));
    return;
  }
  if (http_connection* connection = ConnectionOf(aServer, aRequest)) {
    connection->mClose = true;
  }
  SetReply(aResponse,
           MakeErrorResponse(
             tooLarge ? error{ error_code::BodyTooLarge, executed::No, "",
                               "the body is too large", absl::ZeroDuration() }
                      : BadFraming("the body did not arrive in time")));
}

httplib::Server::HandlerResponse BeforeRouting(http_server& aServer,
                                               const httplib::Request& aRequest,
                                               httplib::Response& aResponse)
{
  static const std::set<std::string> kWithoutBody{ "GET", "HEAD", "OPTIONS" };
  const auto framing = CheckFraming(aRequest, aServer.mOptions.mMaxBodyBytes);
  http_connection* connection = ConnectionOf(aServer, aRequest);
  const bool unreadBody =
    HasBody(aRequest) &&
    (kWithoutBody.count(aRequest.method) > 0 ||
     (aRequest.method == "DELETE" && aRequest.has_header("Transfer-Encoding")));
  if (connection != nullptr && (!IsOk(framing) || unreadBody)) {
    connection->mClose = true;
    aResponse.set_header("Connection", "close");
  }
  if (!IsOk(framing)) {
    SetReply(aResponse, MakeErrorResponse(GetError(framing)));
    return httplib::Server::HandlerResponse::Handled;
  }
  return httplib::Server::HandlerResponse::Unhandled;
}

void Route(http_server& aServer)
{
  server_connector& connector = aServer.mConnector;
  const auto plain = [&aServer](const httplib::Request& aRequest,
                                httplib::Response& aResponse) {
    CallHandler(aServer, aRequest, aResponse, "");
  };
  const auto withBody = [&aServer](const httplib::Request& aRequest,
                                   httplib::Response& aResponse,
                                   const httplib::ContentReader& aReader) {
    HandleWithBody(aServer, aRequest, aResponse, aReader);
  };
  constexpr char kAny[] = ".*";
  connector.Get(kAny, plain);
  connector.Options(kAny, plain);
  connector.Delete(kAny, plain);
  connector.Delete(kAny, withBody);
  connector.Post(kAny, withBody);
  connector.Put(kAny, withBody);
  connector.Patch(kAny, withBody);
  connector.set_pre_routing_handler(
    [&aServer](const httplib::Request& aRequest, httplib::Response& aResponse) {
      return BeforeRouting(aServer, aRequest, aResponse);
    });
  // Faults that cpp-httplib finds itself get the same error object.
  connector.set_error_handler([](const httplib::Request&,
                                 httplib::Response& aResponse) {
    if (aResponse.body.empty()) {
      const int status = aResponse.status;
      SetReply(
        aResponse,
        MakeErrorResponse(status == 404
                            ? error{ error_code::NotFound, executed::No, "",
                                     "no such resource", absl::ZeroDuration() }
                            : BadFraming("not a valid HTTP request")));
    }
  });
}

void ConfigureConnector(http_server& aServer)
{
  server_connector& connector = aServer.mConnector;
  connector.new_task_queue = [&aServer] {
    return new pool_queue(aServer.mPool);
  };
  // Not SO_REUSEPORT, cpp-httplib's default: a second process on the same
  // port must fail instead of taking a part of the connections.
  connector.set_socket_options([](socket_t aSocket) {
    const int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  connector.set_tcp_nodelay(true);
  // Only named to clients; Serve sets no limit.
  connector.set_keep_alive_max_count(100'000);
  connector.set_keep_alive_timeout(
    absl::ToInt64Seconds(aServer.mOptions.mIdleTimeout));
  Route(aServer);
}

} // namespace

void WatchClient(http_connection& aConnection, std::function<void()> aCallback)
{
  UnwatchClient(aConnection);
  aConnection.mWatch =
    AddWatch(aConnection.mServer.mWatch, aConnection.mStream.socket(),
             std::move(aCallback));
}

void UnwatchClient(http_connection& aConnection)
{
  if (aConnection.mWatch != 0) {
    RemoveWatch(aConnection.mServer.mWatch, aConnection.mWatch);
    aConnection.mWatch = 0;
  }
}

bool BeginStream(http_connection& aConnection, int aStatus,
                 const std::string& aContentType, const http_headers& aHeaders)
{
  aConnection.mStreamed = true;
  std::string text =
    absl::StrCat("HTTP/1.1 ", aStatus, " ", aStatus < 400 ? "OK" : "Error",
                 "\r\nContent-Type: ", HeaderText(aContentType),
                 "\r\nCache-Control: no-cache\r\n");
  for (const auto& [name, value] : aHeaders) {
    absl::StrAppend(&text, name, ": ", HeaderText(value), "\r\n");
  }
  // An HTTP/1.0 client knows no chunks; the end of the connection ends the
  // response.
  absl::StrAppend(&text,
                  aConnection.mChunked ? "Transfer-Encoding: chunked"
                                       : "Connection: close",
                  "\r\n\r\n");
  aConnection.mClose = true;
  return aConnection.mStream.write(text.data(), text.size()) >= 0;
}

bool WriteStream(http_connection& aConnection, std::string_view aData)
{
  if (aData.empty()) {
    return true;
  }
  if (!aConnection.mChunked) {
    return aConnection.mStream.write(aData.data(), aData.size()) >= 0;
  }
  // One write, so that one event is one packet.
  const std::string chunk =
    absl::StrCat(absl::Hex(aData.size()), "\r\n",
                 absl::string_view(aData.data(), aData.size()), "\r\n");
  return aConnection.mStream.write(chunk.data(), chunk.size()) >= 0;
}

bool EndStream(http_connection& aConnection)
{
  if (!aConnection.mChunked) {
    return true;
  }
  constexpr std::string_view kLast = "0\r\n\r\n";
  const bool written =
    aConnection.mStream.write(kLast.data(), kLast.size()) >= 0;
  aConnection.mClose = !written;
  return written;
}

void http_server_deleter::operator()(http_server* aServer) const
{
  delete aServer;
}

http_server_ptr MakeHttpServer(http_server_options aOptions,
                               http_handler aHandler)
{
  return http_server_ptr(
    new http_server(std::move(aOptions), std::move(aHandler)));
}

result<int> StartServer(http_server& aServer)
{
  const http_server_options& options = aServer.mOptions;
  if (!options.mTlsCertFile.empty()) {
    auto loaded = LoadTls(options.mTlsCertFile, options.mTlsKeyFile);
    if (!IsOk(loaded)) {
      return GetError(loaded);
    }
    aServer.mTls = GetValue(std::move(loaded));
  }
  ConfigureConnector(aServer);
  server_connector& connector = aServer.mConnector;
  const int port = options.mPort == 0 ? connector.bind_to_any_port(options.mIp)
                   : connector.bind_to_port(options.mIp, options.mPort)
                     ? options.mPort
                     : -1;
  if (port < 0 || listen(connector.ListeningSocket(), kListenBacklog) != 0) {
    return error{ error_code::InvalidSetting, executed::No, options.mName,
                  absl::StrCat("\"", options.mIp, ":", options.mPort,
                               "\" cannot be bound: it must be a free port of "
                               "this VM"),
                  absl::ZeroDuration() };
  }
  auto watch = StartWatch(aServer.mWatch);
  if (!IsOk(watch)) {
    return GetError(watch);
  }
  auto thread = StartThread(options.mName, [&aServer] {
    aServer.mAcceptId = pthread_self();
    aServer.mConnector.listen_after_bind();
  });
  if (!IsOk(thread)) {
    return GetError(thread);
  }
  aServer.mAcceptThread = GetValue(thread);
  return port;
}

std::size_t CountRefusedConnections(const http_server& aServer)
{
  return aServer.mRefused;
}

void StopServer(http_server& aServer)
{
  {
    absl::MutexLock lock(&aServer.mMutex);
    aServer.mStopping = true;
    for (const auto& [key, connection] : aServer.mOpen) {
      if (connection->mIdle) {
        shutdown(connection->mStream.socket(), SHUT_RD);
      }
    }
  }
  aServer.mConnector.CloseListener();
  Join(aServer.mAcceptThread);
  StopWatch(aServer.mWatch);
}

} // namespace foxtailquay
