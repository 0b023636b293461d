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
  // True while the connection waits for a request. Guarded by mServer.mMutex.
  bool mIdle = false;
  bool mCloseAfterRequest = false;
  // The fields below belong to the request in progress.
  bool mHasStreamedResponse = false;
  // False for HTTP/1.0, which has no chunked encoding.
  bool mUsesChunks = true;
  // Content type of the request's body.
  std::string mContentType;
  // Id of the disconnect watch; 0 if there is none.
  std::uint64_t mWatch = 0;
};

namespace {

// Number of connections that the kernel queues until they are accepted.
// cpp-httplib uses five, which a burst of new connections exceeds.
constexpr int kListenBacklog = 1024;

// Bounds on the time and bytes for which the rest of a request is read and
// discarded before its connection is closed. Closing a connection with unread
// bytes resets it, and the client may then lose the response.
constexpr absl::Duration kMaxDrainTime = absl::Milliseconds(500);
constexpr std::size_t kMaxDrainBytes = 16 << 20;

// Returns the text with control characters replaced by spaces, so that it
// cannot end a header line.
std::string ToHeaderText(std::string aText)
{
  for (char& character : aText) {
    if (static_cast<unsigned char>(character) < ' ') {
      character = ' ';
    }
  }
  return aText;
}

void SetResponse(httplib::Response& aResponse, const http_response& aContents)
{
  aResponse.status = aContents.mStatus;
  for (const auto& [name, value] : aContents.mHeaders) {
    aResponse.set_header(name, ToHeaderText(value));
  }
  aResponse.set_content(aContents.mBody, ToHeaderText(aContents.mContentType));
}

// Runs the connections that cpp-httplib accepts on an elastic pool.
class pool_task_queue : public httplib::TaskQueue
{
public:
  explicit pool_task_queue(elastic_pool& aPool)
    : mPool(aPool)
  {}

  // A task that the pool refuses runs on the accepting thread, where
  // process_and_close_socket rejects the connection.
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

// Uses the parser and the accept loop of httplib::Server with the connections
// of this file.
class httplib_adapter : public httplib::Server
{
public:
  explicit httplib_adapter(http_server& aServer)
    : mServer(aServer)
  {}

  int GetListeningSocket() const { return svr_sock_; }

  bool HandleRequest(httplib::Stream& aStream, bool aClose, bool& aClosed,
                     const std::function<void(httplib::Request&)>& aSetUp)
  {
    return process_request(aStream, aClose, aClosed, aSetUp);
  }

  // Closes the listening socket, which ends the accept loop.
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
    , mAdapter(*this)
  {}

  const http_server_options mOptions;
  const http_handler mHandler;
  elastic_pool mPool;
  connection_watch mWatch;
  tls_context_ptr mTls;
  httplib_adapter mAdapter;
  posix_thread mAcceptThread;
  std::atomic<pthread_t> mAcceptId{ 0 };
  std::atomic<std::size_t> mRejectedCount{ 0 };
  std::atomic<bool> mStopping{ false };
  absl::Mutex mMutex;
  // Open connections by client address ("IP:port").
  std::map<std::string, http_connection*> mConnections;
};

namespace {

std::string MakeAddressText(const std::string& aIp, int aPort)
{
  return absl::StrCat(aIp, ":", aPort);
}

// Sends 503 if the connection has no TLS, and closes it.
void RejectConnection(http_server& aServer, int aSocket)
{
  ++aServer.mRejectedCount;
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
    // Must not block, because this is the accepting thread.
    (void)send(aSocket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(aSocket, SHUT_WR);
  }
  close(aSocket);
}

// Records whether the connection is idle. Returns false if the server is
// stopping, so that the connection has to be closed.
bool SetIdle(http_server& aServer, http_connection& aConnection, bool aIdle)
{
  absl::MutexLock lock(&aServer.mMutex);
  aConnection.mIdle = aIdle;
  return !aServer.mStopping;
}

// Applies the limits and changes the parsed headers so that cpp-httplib leaves
// the body and the response as they are.
void PrepareRequest(http_connection& aConnection, httplib::Request& aRequest,
                    absl::Time aDeadline)
{
  const http_server_options& options = aConnection.mServer.mOptions;
  // More than the body, because a chunked body also has chunk headers.
  aConnection.mStream.BeginRequest(aDeadline,
                                   2 * options.mMaxBodyBytes + (64 << 10));
  aConnection.mUsesChunks = aRequest.version != "HTTP/1.0";
  // Without the Content-Type header and the ranges, cpp-httplib does not parse
  // multipart bodies and does not shorten responses to the requested ranges.
  aConnection.mContentType = aRequest.get_header_value("Content-Type");
  aRequest.headers.erase("Content-Type");
  // A request without a length has no body, but cpp-httplib would read until
  // the connection is closed.
  if (!aRequest.has_header("Content-Length") &&
      !aRequest.has_header("Transfer-Encoding")) {
    aRequest.headers.emplace("Content-Length", "0");
  }
  aRequest.ranges.clear();
}

// Handles the requests of one connection in order, until it is closed.
void RunConnection(http_server& aServer, http_connection& aConnection)
{
  const http_server_options& options = aServer.mOptions;
  socket_stream& stream = aConnection.mStream;
  while (!aConnection.mCloseAfterRequest &&
         SetIdle(aServer, aConnection, true) &&
         stream.AwaitReadable(MonotonicNow() + options.mIdleTimeout)) {
    SetIdle(aServer, aConnection, false);
    const absl::Time deadline = MonotonicNow() + options.mReadTimeout;
    stream.BeginRequest(deadline, options.mMaxHeaderBytes);
    aConnection.mHasStreamedResponse = false;
    bool closed = false;
    // Stays false if the request line or the headers are malformed. The start
    // of the next request is then unknown, so the connection is closed.
    bool parsed = false;
    const bool handled = aServer.mAdapter.HandleRequest(
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

bool httplib_adapter::process_and_close_socket(socket_t aSocket)
{
  if (pthread_equal(mServer.mAcceptId, pthread_self()) != 0) {
    RejectConnection(mServer, aSocket);
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
  const std::string key = MakeAddressText(ip, port);
  http_connection connection(mServer, stream);
  {
    absl::MutexLock lock(&mServer.mMutex);
    mServer.mConnections[key] = &connection;
  }
  RunConnection(mServer, connection);
  if (connection.mCloseAfterRequest) {
    stream.Drain(MonotonicNow() + kMaxDrainTime, kMaxDrainBytes);
  }
  absl::MutexLock lock(&mServer.mMutex);
  mServer.mConnections.erase(key);
  return true;
}

// Returns null if there is no such connection.
http_connection* FindConnection(http_server& aServer,
                                const httplib::Request& aRequest)
{
  absl::MutexLock lock(&aServer.mMutex);
  const auto found = aServer.mConnections.find(
    MakeAddressText(aRequest.remote_addr, aRequest.remote_port));
  return found == aServer.mConnections.end() ? nullptr : found->second;
}

http_request ToRequest(const httplib::Request& aRequest,
                       const http_connection& aConnection, std::string aBody)
{
  http_request request;
  request.mMethod = aRequest.method;
  request.mPath = aRequest.path;
  request.mTarget = aRequest.target;
  request.mClientAddress =
    MakeAddressText(aRequest.remote_addr, aRequest.remote_port);
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
  http_connection* connection = FindConnection(aServer, aRequest);
  if (connection == nullptr) {
    SetResponse(aResponse, MakeErrorResponse({}));
    return;
  }
  const auto response = aServer.mHandler(
    ToRequest(aRequest, *connection, std::move(aBody)), *connection);
  if (response && !connection->mHasStreamedResponse) {
    SetResponse(aResponse, *response);
    return;
  }
  // The response was streamed; what cpp-httplib writes now is discarded.
  aResponse.status = 200;
  connection->mStream.SetDiscardWrites(true);
}

void HandleRequestWithBody(http_server& aServer,
                           const httplib::Request& aRequest,
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
  if (http_connection* connection = FindConnection(aServer, aRequest)) {
    connection->mCloseAfterRequest = true;
  }
  SetResponse(
    aResponse,
    MakeErrorResponse(
      tooLarge ? error{ error_code::BodyTooLarge, executed::No, "",
                        absl::StrCat("the body must not exceed ",
                                     aServer.mOptions.mMaxBodyBytes, " bytes"),
                        absl::ZeroDuration() }
               : MakeFramingError("cannot read the complete body: timeout, "
                                  "disconnect or malformed chunk")));
}

// Rejects ambiguous requests, and closes the connection after requests whose
// body is not read.
httplib::Server::HandlerResponse OnPreRouting(http_server& aServer,
                                              const httplib::Request& aRequest,
                                              httplib::Response& aResponse)
{
  static const std::set<std::string> kMethodsWithoutBody{ "GET", "HEAD",
                                                          "OPTIONS" };
  const auto framing = CheckFraming(aRequest, aServer.mOptions.mMaxBodyBytes);
  http_connection* connection = FindConnection(aServer, aRequest);
  const bool unreadBody =
    HasBody(aRequest) &&
    (kMethodsWithoutBody.count(aRequest.method) > 0 ||
     (aRequest.method == "DELETE" && aRequest.has_header("Transfer-Encoding")));
  if (connection != nullptr && (!IsOk(framing) || unreadBody)) {
    connection->mCloseAfterRequest = true;
    aResponse.set_header("Connection", "close");
  }
  if (!IsOk(framing)) {
    SetResponse(aResponse, MakeErrorResponse(GetError(framing)));
    return httplib::Server::HandlerResponse::Handled;
  }
  return httplib::Server::HandlerResponse::Unhandled;
}

void RegisterHandlers(http_server& aServer)
{
  httplib_adapter& adapter = aServer.mAdapter;
  const auto handleWithoutBody = [&aServer](const httplib::Request& aRequest,
                                            httplib::Response& aResponse) {
    CallHandler(aServer, aRequest, aResponse, "");
  };
  const auto handleWithBody =
    [&aServer](const httplib::Request& aRequest, httplib::Response& aResponse,
               const httplib::ContentReader& aReader) {
      HandleRequestWithBody(aServer, aRequest, aResponse, aReader);
    };
  constexpr char kAnyPath[] = ".*";
  adapter.Get(kAnyPath, handleWithoutBody);
  adapter.Options(kAnyPath, handleWithoutBody);
  adapter.Delete(kAnyPath, handleWithoutBody);
  adapter.Delete(kAnyPath, handleWithBody);
  adapter.Post(kAnyPath, handleWithBody);
  adapter.Put(kAnyPath, handleWithBody);
  adapter.Patch(kAnyPath, handleWithBody);
  adapter.set_pre_routing_handler(
    [&aServer](const httplib::Request& aRequest, httplib::Response& aResponse) {
      return OnPreRouting(aServer, aRequest, aResponse);
    });
  // Errors that cpp-httplib detects get a JSON error object too.
  adapter.set_error_handler(
    [](const httplib::Request&, httplib::Response& aResponse) {
      if (aResponse.body.empty()) {
        const int status = aResponse.status;
        SetResponse(aResponse,
                    MakeErrorResponse(
                      status == 404
                        ? error{ error_code::NotFound, executed::No, "",
                                 "no such resource", absl::ZeroDuration() }
                        : MakeFramingError("the request is not valid HTTP")));
      }
    });
}

void ConfigureAdapter(http_server& aServer)
{
  httplib_adapter& adapter = aServer.mAdapter;
  adapter.new_task_queue = [&aServer] {
    return new pool_task_queue(aServer.mPool);
  };
  // SO_REUSEADDR instead of cpp-httplib's default SO_REUSEPORT, with which a
  // second process on the same port would get some of the connections instead
  // of failing to bind.
  adapter.set_socket_options([](socket_t aSocket) {
    const int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  adapter.set_tcp_nodelay(true);
  // cpp-httplib only announces these values to clients in the Keep-Alive
  // header; RunConnection does not bound the number of requests.
  adapter.set_keep_alive_max_count(100'000);
  adapter.set_keep_alive_timeout(
    absl::ToInt64Seconds(aServer.mOptions.mIdleTimeout));
  RegisterHandlers(aServer);
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
  aConnection.mHasStreamedResponse = true;
  std::string text =
    absl::StrCat("HTTP/1.1 ", aStatus, " ", aStatus < 400 ? "OK" : "Error",
                 "\r\nContent-Type: ", ToHeaderText(aContentType),
                 "\r\nCache-Control: no-cache\r\n");
  for (const auto& [name, value] : aHeaders) {
    absl::StrAppend(&text, name, ": ", ToHeaderText(value), "\r\n");
  }
  // HTTP/1.0 has no chunked encoding, so the response ends with the
  // connection.
  absl::StrAppend(&text,
                  aConnection.mUsesChunks ? "Transfer-Encoding: chunked"
                                          : "Connection: close",
                  "\r\n\r\n");
  aConnection.mCloseAfterRequest = true;
  return aConnection.mStream.write(text.data(), text.size()) >= 0;
}

bool WriteStream(http_connection& aConnection, std::string_view aData)
{
  if (aData.empty()) {
    return true;
  }
  if (!aConnection.mUsesChunks) {
    return aConnection.mStream.write(aData.data(), aData.size()) >= 0;
  }
  // A single write, so that one event is sent in one packet.
  const std::string chunk =
    absl::StrCat(absl::Hex(aData.size()), "\r\n",
                 absl::string_view(aData.data(), aData.size()), "\r\n");
  return aConnection.mStream.write(chunk.data(), chunk.size()) >= 0;
}

bool EndStream(http_connection& aConnection)
{
  if (!aConnection.mUsesChunks) {
    return true;
  }
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  const bool written =
    aConnection.mStream.write(kLastChunk.data(), kLastChunk.size()) >= 0;
  aConnection.mCloseAfterRequest = !written;
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
    auto context = MakeTlsContext(options.mTlsCertFile, options.mTlsKeyFile);
    if (!IsOk(context)) {
      return GetError(context);
    }
    aServer.mTls = GetValue(std::move(context));
  }
  ConfigureAdapter(aServer);
  httplib_adapter& adapter = aServer.mAdapter;
  const int port = options.mPort == 0 ? adapter.bind_to_any_port(options.mIp)
                   : adapter.bind_to_port(options.mIp, options.mPort)
                     ? options.mPort
                     : -1;
  if (port < 0 || listen(adapter.GetListeningSocket(), kListenBacklog) != 0) {
    return error{ error_code::InvalidSetting, executed::No, options.mName,
                  absl::StrCat("\"", options.mIp, ":", options.mPort,
                               "\" cannot be bound; it must be a free port of "
                               "this VM"),
                  absl::ZeroDuration() };
  }
  auto watch = StartWatch(aServer.mWatch);
  if (!IsOk(watch)) {
    return GetError(watch);
  }
  auto thread = StartThread(options.mName, [&aServer] {
    aServer.mAcceptId = pthread_self();
    aServer.mAdapter.listen_after_bind();
  });
  if (!IsOk(thread)) {
    return GetError(thread);
  }
  aServer.mAcceptThread = GetValue(thread);
  return port;
}

std::size_t CountRejectedConnections(const http_server& aServer)
{
  return aServer.mRejectedCount;
}

void StopServer(http_server& aServer)
{
  {
    absl::MutexLock lock(&aServer.mMutex);
    aServer.mStopping = true;
    for (const auto& [key, connection] : aServer.mConnections) {
      if (connection->mIdle) {
        shutdown(connection->mStream.socket(), SHUT_RD);
      }
    }
  }
  aServer.mAdapter.CloseListener();
  Join(aServer.mAcceptThread);
  StopWatch(aServer.mWatch);
}

} // namespace foxtailquay
