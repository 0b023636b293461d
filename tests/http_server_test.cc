// Guards against clients that hold threads or memory, requests whose end can
// be understood in two ways, and callers whose disconnect goes unnoticed.

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

  std::string Address() const { return absl::StrCat("127.0.0.1:", mPort); }

  http_server_ptr mServer;
  int mPort = 0;
};

// Answers with what it was sent.
std::optional<http_response> Echo(const http_request& aRequest,
                                  http_connection&)
{
  http_response reply;
  reply.mContentType = "text/plain";
  reply.mBody =
    absl::StrCat(aRequest.mMethod, " ", aRequest.mTarget, " ",
                 FindHeader(aRequest, "content-type"), " ", aRequest.mBody);
  return reply;
}

class raw_client
{
public:
  explicit raw_client(const test_server& aServer)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    // A test that waits in vain ends and shows what it has read.
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

  // Reads until aEnd has come or the server closes.
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

BOOST_AUTO_TEST_CASE(serves_requests_one_after_another)
{
  const test_server server(&Echo);
  const raw_client client(server);
  for (int i = 0; i < 3; ++i) {
    client.Send("POST /a%2Fb?q=1 HTTP/1.1\r\nHost: x\r\nContent-Type: "
                "multipart/form-data; boundary=z\r\nContent-Length: 5\r\n\r\n"
                "hello");
    const std::string answer = client.ReadUntil("hello");
    BOOST_TEST(absl::StartsWith(answer, "HTTP/1.1 200"));
    BOOST_TEST(absl::EndsWith(answer, "POST /a%2Fb?q=1 multipart/form-data; "
                                      "boundary=z hello"));
  }
}

// Without a length there is no body; waiting for one would hold the thread.
BOOST_AUTO_TEST_CASE(a_post_without_length_has_no_body)
{
  const test_server server(&Echo);
  const raw_client client(server);
  client.Send("POST / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(absl::EndsWith(client.ReadUntil("POST /  "), "POST /  "));
}

struct refused_request
{
  const char* mText;
  const char* mStatus;
};

// Each is answered and its connection closed: what follows could be taken for
// another caller's request.
BOOST_AUTO_TEST_CASE(ambiguous_and_oversized_requests_close_the_connection)
{
  http_server_options options;
  options.mMaxBodyBytes = 1024;
  options.mMaxHeaderBytes = 4096;
  const test_server server(&Echo, options);
  const std::string big(5000, 'x');
  const std::string bigHeader =
    absl::StrCat("GET / HTTP/1.1\r\nX: ", big, "\r\n\r\n");
  const std::string bigChunk = absl::StrCat(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n", big,
    "\r\n0\r\n\r\n");
  const refused_request cases[] = {
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
    // The body of a GET is not read, so the next request cannot be found.
    { "GET / HTTP/1.1\r\nContent-Length: 44\r\n\r\nGET /smuggled HTTP/1.1\r\n"
      "Host: x\r\n\r\n",
      "200" },
  };
  for (const refused_request& refused : cases) {
    const raw_client client(server);
    client.Send(refused.mText);
    const std::string answer = client.ReadUntil("");
    BOOST_TEST(answer.substr(9, 3) == refused.mStatus,
               std::string_view(refused.mText).substr(0, 60) << ": " << answer);
    BOOST_TEST(answer.find("smuggled") == std::string::npos);
  }
}

// A client that sends one byte at a time must not hold a thread for longer
// than the deadline of the whole request.
BOOST_AUTO_TEST_CASE(slow_requests_end_at_their_deadline)
{
  http_server_options options;
  options.mReadTimeout = absl::Milliseconds(200);
  const test_server server(&Echo, options);
  const raw_client client(server);
  const absl::Time begin = MonotonicNow();
  absl::Notification ended;
  auto sender = StartThread("slow", [&client, &ended] {
    client.Send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    while (!ended.WaitForNotificationWithTimeout(absl::Milliseconds(10))) {
      client.Send("x");
    }
  });
  const std::string answer = client.ReadUntil("");
  ended.Notify();
  Join(std::get<posix_thread>(sender));
  BOOST_TEST(absl::StartsWith(answer, "HTTP/1.1 400"), answer);
  BOOST_TEST(MonotonicNow() - begin >= absl::Milliseconds(200));
}

BOOST_AUTO_TEST_CASE(idle_connections_end)
{
  http_server_options options;
  options.mIdleTimeout = absl::Milliseconds(50);
  const test_server server(&Echo, options);
  const raw_client client(server);
  BOOST_TEST(client.ReadUntil("").empty());
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_turned_away)
{
  http_server_options options;
  options.mMaxConnections = 2;
  const test_server server(&Echo, options);
  const raw_client first(server);
  const raw_client second(server);
  // Both are being served before the third connects.
  for (const raw_client* client : { &first, &second }) {
    client->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(!client->ReadUntil("GET /  ").empty());
  }
  const raw_client third(server);
  const std::string answer = third.ReadUntil("");
  BOOST_TEST(absl::StartsWith(answer, "HTTP/1.1 503"));
  BOOST_TEST(answer.find("\"ran\":\"no\"") != std::string::npos);
  BOOST_TEST(CountRefusedConnections(*server.mServer) == 1u);
}

BOOST_AUTO_TEST_CASE(streams_arrive_in_pieces_and_keep_the_connection)
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
    const std::string answer = client.ReadUntil("0\r\n\r\n");
    BOOST_TEST(
      absl::EndsWith(answer, "\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    BOOST_TEST(answer.find("\r\nX-Forged") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_is_noticed)
{
  absl::Notification gone;
  const test_server server(
    [&gone](const http_request&,
            http_connection& aConnection) -> std::optional<http_response> {
      WatchClient(aConnection, [&gone] { gone.Notify(); });
      gone.WaitForNotification();
      return MakeErrorResponse({});
    });
  {
    const raw_client client(server);
    client.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  BOOST_TEST(gone.WaitForNotificationWithTimeout(absl::Seconds(60)));
}

BOOST_AUTO_TEST_CASE(stopping_lets_requests_finish)
{
  absl::Notification begun;
  absl::Notification go;
  auto server = std::make_unique<test_server>(
    [&](const http_request& aRequest, http_connection& aConnection) {
      begun.Notify();
      go.WaitForNotification();
      return Echo(aRequest, aConnection);
    });
  const raw_client idle(*server);
  const raw_client busy(*server);
  busy.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  begun.WaitForNotification();
  auto stopper = StartThread("stop", [&server] { server.reset(); });
  BOOST_TEST(idle.ReadUntil("").empty());
  go.Notify();
  const std::string answer = busy.ReadUntil("");
  BOOST_TEST(absl::StartsWith(answer, "HTTP/1.1 200"));
  BOOST_TEST(absl::EndsWith(answer, "GET /  "));
  Join(std::get<posix_thread>(stopper));
}

// --- Calls ------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_call_that_cannot_connect_has_not_run)
{
  int port = 0;
  {
    const test_server closed(&Echo);
    port = closed.mPort;
  }
  http_call call;
  call.mAddress = absl::StrCat("127.0.0.1:", port);
  BOOST_TEST(
    (PerformCompleteCall(call, 100).mOutcome == call_outcome::NotConnected));
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_broken)
{
  const test_server server(
    [](const http_request&,
       http_connection& aConnection) -> std::optional<http_response> {
      BeginStream(aConnection, 200, "text/plain", {});
      WriteStream(aConnection, "part");
      return std::nullopt;
    });
  http_call call;
  call.mAddress = server.Address();
  const complete_response answer = PerformCompleteCall(call, 100);
  BOOST_TEST((answer.mOutcome == call_outcome::Broken));
  BOOST_TEST(answer.mBody == "part");
}

BOOST_AUTO_TEST_CASE(a_call_can_be_stopped_before_and_during)
{
  absl::Notification begun;
  const test_server server(
    [&begun](const http_request&,
             http_connection& aConnection) -> std::optional<http_response> {
      absl::Notification gone;
      WatchClient(aConnection, [&gone] { gone.Notify(); });
      BeginStream(aConnection, 200, "text/plain", {});
      begun.Notify();
      gone.WaitForNotification();
      return std::nullopt;
    });
  http_call call;
  call.mAddress = server.Address();
  call.mReadTimeout = absl::Seconds(60);
  const auto any = [](int, const std::string&) { return true; };
  const auto data = [](std::string_view) { return true; };
  call_stopper before;
  Stop(before);
  BOOST_TEST((PerformCall(call, any, data, &before) == call_outcome::Stopped));
  BOOST_TEST(!begun.HasBeenNotified());
  call_stopper during;
  auto thread = StartThread("stop", [&] {
    begun.WaitForNotification();
    Stop(during);
  });
  BOOST_TEST((PerformCall(call, any, data, &during) == call_outcome::Stopped));
  Join(std::get<posix_thread>(thread));
}

} // namespace
} // namespace foxtailquay
