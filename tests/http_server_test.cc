// Tests the HTTP server and outgoing HTTP calls. Guards against clients that
// occupy threads or memory by sending slowly or too much, against requests
// whose end is ambiguous and that could hide a second request, and against
// client disconnects that are not reported to the handler.

#define BOOST_TEST_MODULE http_server
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "runtime/clock.h"
#include "runtime/thread.h"
#include "wire/http_call.h"
#include "wire/http_server.h"

namespace foxtailquay {
namespace {

// A server on a free loopback port.
struct test_server
{
  explicit test_server(http_handler aHandler, http_server_options aOptions = {})
  {
    aOptions.mIp = "127.0.0.1";
    mServer = MakeHttpServer(aOptions, std::move(aHandler));
    const auto started = StartServer(*mServer);
    BOOST_REQUIRE(IsOk(started));
    mPort = GetValue(started);
  }
  ~test_server() { StopServer(*mServer); }

  std::string GetAddress() const { return absl::StrCat("127.0.0.1:", mPort); }

  http_server_ptr mServer;
  int mPort = 0;
};

// Responds with the method, target, content type and body of the request.
std::optional<http_response> EchoRequest(const http_request& aRequest,
                                         http_connection&)
{
  http_response response;
  response.mContentType = "text/plain";
  response.mBody =
    absl::StrCat(aRequest.mMethod, " ", aRequest.mTarget, " ",
                 FindHeader(aRequest, "content-type"), " ", aRequest.mBody);
  return response;
}

// Sends and receives bytes on a TCP connection, so that tests can send
// malformed requests.
class raw_client
{
public:
  explicit raw_client(const test_server& aServer)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    // After 30 s without data a read ends, and the test fails and prints what
    // it has received.
    const timeval limit{ 30, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aServer.mPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(mSocket, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
  }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;
  ~raw_client() { close(mSocket); }

  void Send(const std::string& aText) const
  {
    (void)send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
  }

  // Reads until the text ends with aEnd or the server closes the connection.
  // An empty aEnd means until the server closes.
  std::string ReadUntil(const std::string& aEnd) const
  {
    std::string text;
    char byte = 0;
    while ((aEnd.empty() || !absl::EndsWith(text, aEnd)) &&
           recv(mSocket, &byte, 1, 0) == 1) {
      text += byte;
    }
    return text;
  }

private:
  int mSocket;
};

BOOST_AUTO_TEST_CASE(serves_consecutive_requests_on_one_connection)
{
  const test_server server(&EchoRequest);
  const raw_client client(server);
  for (int i = 0; i < 3; ++i) {
    client.Send("POST /a%2Fb?q=1 HTTP/1.1\r\nHost: x\r\nContent-Type: "
                "multipart/form-data; boundary=z\r\nContent-Length: 5\r\n\r\n"
                "hello");
    const std::string response = client.ReadUntil("hello");
    BOOST_TEST(absl::StartsWith(response, "HTTP/1.1 200"));
    BOOST_TEST(absl::EndsWith(response, "POST /a%2Fb?q=1 multipart/form-data; "
                                        "boundary=z hello"));
  }
}

// A request without a length has no body. Waiting for one would occupy the
// thread until the read timeout.
BOOST_AUTO_TEST_CASE(a_post_without_length_has_no_body)
{
  const test_server server(&EchoRequest);
  const raw_client client(server);
  client.Send("POST / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(absl::EndsWith(client.ReadUntil("POST /  "), "POST /  "));
}

struct rejected_request
{
  const char* mText;
  const char* mStatus;
};

// Each request gets a response and its connection is closed, because the bytes
// after it could be executed as a request of another caller.
BOOST_AUTO_TEST_CASE(ambiguous_and_oversized_requests_close_the_connection)
{
  http_server_options options;
  options.mMaxBodyBytes = 1024;
  options.mMaxHeaderBytes = 4096;
  const test_server server(&EchoRequest, options);
  const std::string big(5000, 'x');
  const std::string bigHeader =
    absl::StrCat("GET / HTTP/1.1\r\nX: ", big, "\r\n\r\n");
  const std::string bigChunk = absl::StrCat(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n", big,
    "\r\n0\r\n\r\n");
  const rejected_request cases[] = {
    { "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "400" },
    { "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
      "400" },
    { "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "400" },
    { "POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n", "413" },
    { bigChunk.c_str(), "413" },
    { bigHeader.c_str(), "400" },
    { "nonsense\r\n\r\n", "400" },
    // The body of a GET is not read, so the start of the next request is
    // unknown.
    { "GET / HTTP/1.1\r\nContent-Length: 44\r\n\r\nGET /smuggled HTTP/1.1\r\n"
      "Host: x\r\n\r\n",
      "200" },
  };
  for (const rejected_request& rejected : cases) {
    const raw_client client(server);
    client.Send(rejected.mText);
    const std::string response = client.ReadUntil("");
    BOOST_TEST(response.substr(9, 3) == rejected.mStatus,
               std::string_view(rejected.mText).substr(0, 60)
                 << ": " << response);
    BOOST_TEST(response.find("smuggled") == std::string::npos);
  }
}

// A client that sends one byte at a time must not occupy a thread for longer
// than the read timeout of a complete request.
BOOST_AUTO_TEST_CASE(slow_requests_end_at_their_deadline)
{
  http_server_options options;
  options.mReadTimeout = absl::Milliseconds(200);
  const test_server server(&EchoRequest, options);
  const raw_client client(server);
  const absl::Time begin = MonotonicNow();
  absl::Notification ended;
  auto sender = StartThread("slow", [&client, &ended] {
    client.Send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    while (!ended.WaitForNotificationWithTimeout(absl::Milliseconds(10))) {
      client.Send("x");
    }
  });
  const std::string response = client.ReadUntil("");
  ended.Notify();
  Join(std::get<posix_thread>(sender));
  BOOST_TEST(absl::StartsWith(response, "HTTP/1.1 400"), response);
  BOOST_TEST(MonotonicNow() - begin >= absl::Milliseconds(200));
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed)
{
  http_server_options options;
  options.mIdleTimeout = absl::Milliseconds(50);
  const test_server server(&EchoRequest, options);
  const raw_client client(server);
  BOOST_TEST(client.ReadUntil("").empty());
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_rejected)
{
  http_server_options options;
  options.mMaxConnections = 2;
  const test_server server(&EchoRequest, options);
  const raw_client first(server);
  const raw_client second(server);
  // The server has accepted both connections before the third one is made.
  for (const raw_client* client : { &first, &second }) {
    client->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(!client->ReadUntil("GET /  ").empty());
  }
  const raw_client third(server);
  const std::string response = third.ReadUntil("");
  BOOST_TEST(absl::StartsWith(response, "HTTP/1.1 503"));
  BOOST_TEST(response.find("\"ran\":\"no\"") != std::string::npos);
  BOOST_TEST(CountRejectedConnections(*server.mServer) == 1u);
}

BOOST_AUTO_TEST_CASE(streamed_responses_are_chunked_and_keep_connections_open)
{
  const test_server server(
    [](const http_request&,
       http_connection& aConnection) -> std::optional<http_response> {
      BeginStream(aConnection, 200, "text/event-stream\r\nX-Forged: 1",
                  { { "X-Ran", "yes" } });
      WriteStream(aConnection, "one");
      WriteStream(aConnection, "two");
      EndStream(aConnection);
      return std::nullopt;
    });
  const raw_client client(server);
  for (int i = 0; i < 2; ++i) {
    client.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string response = client.ReadUntil("0\r\n\r\n");
    BOOST_TEST(
      absl::EndsWith(response, "\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    BOOST_TEST(response.find("\r\nX-Forged") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_client_disconnect_is_reported)
{
  absl::Notification disconnected;
  const test_server server(
    [&disconnected](const http_request&, http_connection& aConnection)
      -> std::optional<http_response> {
      WatchClient(aConnection, [&disconnected] { disconnected.Notify(); });
      disconnected.WaitForNotification();
      return MakeErrorResponse({});
    });
  {
    const raw_client client(server);
    client.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  BOOST_TEST(disconnected.WaitForNotificationWithTimeout(absl::Seconds(60)));
}

BOOST_AUTO_TEST_CASE(stopping_waits_for_requests_in_progress)
{
  absl::Notification handlerStarted;
  absl::Notification mayFinish;
  auto server = std::make_unique<test_server>(
    [&](const http_request& aRequest, http_connection& aConnection) {
      handlerStarted.Notify();
      mayFinish.WaitForNotification();
      return EchoRequest(aRequest, aConnection);
    });
  const raw_client idle(*server);
  const raw_client busy(*server);
  busy.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  handlerStarted.WaitForNotification();
  auto stopper = StartThread("stop", [&server] { server.reset(); });
  BOOST_TEST(idle.ReadUntil("").empty());
  mayFinish.Notify();
  const std::string response = busy.ReadUntil("");
  BOOST_TEST(absl::StartsWith(response, "HTTP/1.1 200"));
  BOOST_TEST(absl::EndsWith(response, "GET /  "));
  Join(std::get<posix_thread>(stopper));
}

BOOST_AUTO_TEST_CASE(a_call_without_a_connection_is_reported_as_not_connected)
{
  int port = 0;
  {
    const test_server closed(&EchoRequest);
    port = closed.mPort;
  }
  http_call call;
  call.mAddress = absl::StrCat("127.0.0.1:", port);
  BOOST_TEST(
    (PerformCompleteCall(call, 100).mOutcome == call_outcome::NotConnected));
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_reported_as_broken)
{
  const test_server server(
    [](const http_request&,
       http_connection& aConnection) -> std::optional<http_response> {
      BeginStream(aConnection, 200, "text/plain", {});
      WriteStream(aConnection, "part");
      return std::nullopt;
    });
  http_call call;
  call.mAddress = server.GetAddress();
  const complete_response response = PerformCompleteCall(call, 100);
  BOOST_TEST((response.mOutcome == call_outcome::Broken));
  BOOST_TEST(response.mBody == "part");
}

// Sends a response without a length to one connection and ends it, with a reset
// or not. Returns the outcome of the call.
call_outcome CallServerWithoutLength(bool aIsReset)
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  BOOST_REQUIRE(bind(listener, generic, size) == 0);
  BOOST_REQUIRE(getsockname(listener, generic, &size) == 0);
  BOOST_REQUIRE(listen(listener, 1) == 0);
  absl::Notification hasPart;
  auto server = StartThread("server", [&] {
    const int connection = accept(listener, nullptr, nullptr);
    char request[4096];
    BOOST_REQUIRE(recv(connection, request, sizeof(request), 0) > 0);
    const std::string_view response =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Connection: close\r\n\r\npart";
    BOOST_REQUIRE(send(connection, response.data(), response.size(), 0) ==
                  static_cast<ssize_t>(response.size()));
    if (aIsReset) {
      // A reset may discard bytes that the call has not read yet.
      hasPart.WaitForNotification();
      const linger abort{ 1, 0 };
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }
    close(connection);
  });
  http_call call;
  call.mAddress = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
  const call_outcome outcome = PerformCall(
    call, [](int, const std::string&) { return true; },
    [&hasPart](std::string_view) {
      if (!hasPart.HasBeenNotified()) {
        hasPart.Notify();
      }
      return true;
    },
    nullptr);
  Join(std::get<posix_thread>(server));
  close(listener);
  return outcome;
}

// Guards against a response that broke off and reached its caller as complete:
// without a length, only an orderly end of the connection completes it.
BOOST_AUTO_TEST_CASE(a_reset_does_not_complete_a_response_without_a_length)
{
  BOOST_TEST((CallServerWithoutLength(false) == call_outcome::Complete));
  BOOST_TEST((CallServerWithoutLength(true) == call_outcome::Broken));
}

BOOST_AUTO_TEST_CASE(a_call_can_be_stopped_before_it_begins_and_while_it_runs)
{
  absl::Notification handlerStarted;
  const test_server server(
    [&handlerStarted](const http_request&, http_connection& aConnection)
      -> std::optional<http_response> {
      absl::Notification disconnected;
      WatchClient(aConnection, [&disconnected] { disconnected.Notify(); });
      BeginStream(aConnection, 200, "text/plain", {});
      handlerStarted.Notify();
      disconnected.WaitForNotification();
      return std::nullopt;
    });
  http_call call;
  call.mAddress = server.GetAddress();
  call.mReadTimeout = absl::Seconds(60);
  const auto any = [](int, const std::string&) { return true; };
  const auto data = [](std::string_view) { return true; };
  call_stopper before;
  Stop(before);
  BOOST_TEST((PerformCall(call, any, data, &before) == call_outcome::Stopped));
  BOOST_TEST(!handlerStarted.HasBeenNotified());
  call_stopper during;
  auto thread = StartThread("stop", [&] {
    handlerStarted.WaitForNotification();
    Stop(during);
  });
  BOOST_TEST((PerformCall(call, any, data, &during) == call_outcome::Stopped));
  Join(std::get<posix_thread>(thread));
}

} // namespace
} // namespace foxtailquay
