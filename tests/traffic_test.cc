// Guards against relaying a response that is cut short, belongs to another
// request or does not come from the backend server; against forwarding a
// request that two parsers could split differently; and against work that
// continues after its caller has disconnected. Runs over loopback with scripted
// callers and servers.

#define BOOST_TEST_MODULE traffic
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>
#include <vector>

#include "traffic_fixture.h"

namespace foxtailquay {
namespace {

enum class ending
{
  Keep,
  Close,
  Reset,
};

struct response_case
{
  const char* mName;
  call_kind mKind;
  std::string mResponse;
  ending mEnding;
  attempt_outcome mOutcome;
  int mStatus;
};

// Each kind of incorrect response must lead to its own outcome and must not be
// reported as delivered.
BOOST_AUTO_TEST_CASE(each_response_leads_to_its_outcome)
{
  using o = attempt_outcome;
  const auto plain = call_kind::Idempotent;
  const auto stream = call_kind::Stream;
  const std::string chunked =
    kResponseHead + "Transfer-Encoding: chunked\r\n\r\n";
  const response_case cases[] = {
    { "complete", plain, kResponseHead + "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Delivered, 200 },
    { "cut short", plain, kResponseHead + "Content-Length: 5\r\n\r\nok",
      ending::Close, o::Broken, 200 },
    { "without a length", plain, kResponseHead + "\r\nok", ending::Close,
      o::Delivered, 200 },
    { "without a length and reset", plain, kResponseHead + "\r\nok",
      ending::Reset, o::Broken, 200 },
    { "of another request", plain,
      "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: a0\r\n"
      "Foxtailquay-Server-Seal: s0\r\nContent-Length: 3\r\n\r\nold" +
        kResponseHead + "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Delivered, 200 },
    { "interim first", plain,
      "HTTP/1.1 100 Continue\r\n\r\n" + kResponseHead +
        "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Delivered, 200 },
    { "without an authenticity mark", plain,
      "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: a1\r\n"
      "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Broken, 200 },
    { "encoded", plain,
      kResponseHead + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
      ending::Keep, o::Broken, 200 },
    { "no response", plain, "", ending::Close, o::Broken, 0 },
    { "not HTTP", plain, "hello\r\n\r\n", ending::Keep, o::Broken, 0 },
    { "not executed", plain,
      "HTTP/1.1 503 Busy\r\nFoxtailquay-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      ending::Keep, o::NotRun, 503 },
    { "503 without the not-executed header", plain,
      "HTTP/1.1 503 Busy\r\nFoxtailquay-Server-Seal: s\r\n"
      "Content-Length: 0\r\n\r\n",
      ending::Keep, o::Broken, 503 },
    { "failure", plain,
      "HTTP/1.1 500 Oops\r\nFoxtailquay-Server-Seal: s\r\n"
      "Content-Length: 2\r\n\r\nno",
      ending::Keep, o::Failed, 500 },
    { "stream", stream, chunked + "e\r\nid: 1\ndata:x\n\n\r\n0\r\n\r\n",
      ending::Keep, o::Delivered, 200 },
    { "stream cut between events", stream,
      chunked + "e\r\nid: 1\ndata:x\n\n\r\n", ending::Close, o::BrokenMidway,
      200 },
    { "stream cut before its first event", stream, chunked + "4\r\nid: \r\n",
      ending::Close, o::Broken, 200 },
  };
  for (const response_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      const auto request = AwaitEvent<caller_request>(fixture);
      DispatchAttempt(fixture, request.mHandle, 1, each.mKind);
      tcp::socket server = RespondOnce(fixture, each.mResponse);
      if (each.mEnding == ending::Close) {
        server.close();
      } else if (each.mEnding == ending::Reset) {
        // The bytes must arrive before the reset discards them.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        ResetConnection(server);
      }
      const auto report = AwaitEvent<attempt_report>(fixture);
      BOOST_TEST(ToName(report.mOutcome) == ToName(each.mOutcome));
      BOOST_TEST(report.mStatus == each.mStatus);
    }
  }
}

// A request that two parsers could split differently must not be forwarded: a
// part of it could be taken for a request of another caller.
BOOST_AUTO_TEST_CASE(ambiguous_requests_are_rejected)
{
  const std::string start =
    "POST /p/1 HTTP/1.1\r\nHost: h\r\nFoxtailquay-Attempt-Id: a1\r\n";
  const std::string cases[] = {
    start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    start + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
    start + "Content-Length: -1\r\n\r\n",
    start + "Bad Header: x\r\n\r\n",
    start + "Transfer-Encoding: gzip\r\n\r\nbody",
    start + "Transfer-Encoding: identity\r\n\r\nbody",
    start + "Transfer-Encoding: xchunked\r\n\r\nbody",
    start + "Transfer-Encoding: chunked, gzip\r\n\r\nbody",
    start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    start + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n",
    start + "Transfer-Encoding:\r\n\r\nbody",
    "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string& each : cases) {
    BOOST_TEST_CONTEXT(each)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, each);
      const std::string response = ReadUntil(caller, "");
      BOOST_TEST(response.substr(0, 12) == "HTTP/1.1 400");
      const std::lock_guard<std::mutex> lock(fixture.mMutex);
      BOOST_TEST(fixture.mEvents.empty());
    }
  }
}

// The API key must not reach a backend server, and a caller must not set
// headers that are reserved for the gateway.
BOOST_AUTO_TEST_CASE(reserved_headers_are_replaced_when_forwarding)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(
    fixture,
    MakeRequest("Foxtailquay-Tenant: forged\r\nKv-From: 1.2.3.4:5/x\r\n"
                "Foxtailquay-Expect-Instance: forged\r\n"
                "Connection: X-Hop, Foxtailquay-Attempt-Id\r\n"
                "X-Hop: 1\r\nX-End: 2\r\n"));
  const auto request = AwaitEvent<caller_request>(fixture);
  BOOST_TEST(request.mKey == "key");
  BOOST_TEST(request.mPath == "/p/1");
  DispatchAttempt(fixture, request.mHandle, 1, call_kind::Idempotent);
  std::string seen;
  tcp::socket server =
    RespondOnce(fixture, kResponseHead + "Content-Length: 2\r\n\r\nok", &seen);
  BOOST_TEST(seen.find("POST /p/1?q=2 HTTP/1.1\r\n") == 0U);
  BOOST_TEST(seen.find("Foxtailquay-Tenant: w1\r\n") != std::string::npos);
  BOOST_TEST(seen.find("Foxtailquay-Expect-Instance: i-1\r\n") !=
             std::string::npos);
  BOOST_TEST(seen.find("Foxtailquay-Attempt-Id: a1\r\n") != std::string::npos);
  BOOST_TEST(seen.find("X-End: 2\r\n") != std::string::npos);
  for (const char* absent :
       { "forged", "Bearer", "Kv-From", "X-Hop", "Deadline-Ms: 4000" }) {
    BOOST_TEST(seen.find(absent) == std::string::npos, absent);
  }
  const std::string response = ReadUntil(caller, "ok");
  BOOST_TEST(response.find("Foxtailquay-Server-Seal: s1\r\n") !=
             std::string::npos);
}

// Reusing a connection saves a handshake. Bytes after a complete response
// belong to no request, so the connection must then be closed.
BOOST_AUTO_TEST_CASE(connection_is_reused_only_after_a_clean_response)
{
  for (const bool isClean : { true, false }) {
    traffic_fixture fixture;
    tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
    DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                    call_kind::Idempotent);
    tcp::socket server =
      RespondOnce(fixture, kResponseHead + "Content-Length: 2\r\n\r\nok" +
                             (isClean ? "" : "more"));
    AwaitEvent<attempt_report>(fixture);
    ReadUntil(caller, "ok");
    asio::write(caller, asio::buffer(MakeRequest()));
    DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                    call_kind::Idempotent);
    if (isClean) {
      BOOST_TEST(ReadUntil(server, "body").find("POST") == 0U);
    } else {
      BOOST_TEST(ReadUntil(server, "").empty());
      RespondOnce(fixture, kResponseHead + "Content-Length: 2\r\n\r\nok");
    }
  }
}

// A broken stream must end without the last chunk, so that the caller can tell
// that it is not complete.
BOOST_AUTO_TEST_CASE(broken_stream_does_not_end_like_a_complete_one)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const auto request = AwaitEvent<caller_request>(fixture);
  DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "Transfer-Encoding: chunked\r\n\r\n"
                                       "e\r\nid: 1\ndata:x\n\n\r\n")
    .close();
  const auto report = AwaitEvent<attempt_report>(fixture);
  BOOST_TEST(report.mEvents == 1);
  Post(fixture.mLoop, [&fixture, &request] {
    SendError(fixture.mTraffic,
              { request.mHandle,
                { error_code::StreamBroken, executed::Yes, "", "", {} } });
  });
  const std::string response = ReadUntil(caller, "");
  BOOST_TEST(response.find("data:x") != std::string::npos);
  BOOST_TEST(response.find("\r\n0\r\n") == std::string::npos);
}

// A stream that continues on another backend server must continue after the
// last complete event.
BOOST_AUTO_TEST_CASE(resumed_stream_has_no_gap_or_repetition)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const auto request = AwaitEvent<caller_request>(fixture);
  DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "Transfer-Encoding: chunked\r\n\r\n"
                                       "14\r\nid: 1\ndata:x\n\nid: 2\n\r\n")
    .close();
  AwaitEvent<attempt_report>(fixture);
  DispatchAttempt(fixture, request.mHandle, 2, call_kind::Stream);
  std::string seen;
  tcp::socket server =
    RespondOnce(fixture,
                kResponseHead + "Transfer-Encoding: chunked\r\n\r\n"
                                "e\r\nid: 2\ndata:y\n\n\r\n0\r\n\r\n",
                &seen);
  BOOST_TEST(seen.find("Last-Event-Id: 1\r\n") != std::string::npos);
  const std::string response = ReadUntil(caller, "0\r\n\r\n");
  BOOST_TEST(
    response.find("e\r\nid: 1\ndata:x\n\n\r\ne\r\nid: 2\ndata:y\n\n\r\n"
                  "0\r\n\r\n") != std::string::npos);
  BOOST_TEST(AwaitEvent<attempt_report>(fixture).mEvents == 2);
}

// A backend server must not continue work for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(disconnected_caller_cancels_its_attempt)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  tcp::socket server = fixture.mServerAcceptor.accept();
  ReadUntil(server, "body");
  caller.close();
  BOOST_TEST(AwaitEvent<caller_disconnected>(fixture).mEvents == 0);
  BOOST_TEST(ReadUntil(server, "").empty());
}

// Connections that the operating system has accepted must not be reset when the
// gateway stops listening: their callers may have sent a request.
BOOST_AUTO_TEST_CASE(waiting_connections_are_served_when_listening_stops)
{
  constexpr std::size_t kCallers = 20;
  traffic_fixture fixture;
  std::vector<tcp::socket> callers;
  callers.reserve(kCallers);
  std::promise<void> sent;
  Post(fixture.mLoop, [&fixture, &sent] {
    sent.get_future().wait();
    StopListening(fixture.mLoop);
  });
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(SendCallerBytes(fixture, MakeRequest()));
  }
  sent.set_value();
  for (std::size_t i = 0; i < kCallers; ++i) {
    AwaitEvent<caller_request>(fixture);
  }
}

// Seen on quiet-1 of the large site: an overloaded gateway read requests
// seconds after they were sent, and forwarded them although the close of their
// callers had arrived too.
BOOST_AUTO_TEST_CASE(request_of_a_caller_that_has_left_is_not_sent)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const auto request = AwaitEvent<caller_request>(fixture);
  Post(fixture.mLoop, [&fixture, &caller, handle = request.mHandle] {
    caller.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    DispatchExchange(fixture.mTraffic,
                     MakeDispatch(fixture, handle, 1, call_kind::Stream));
  });
  BOOST_TEST(AwaitEvent<caller_disconnected>(fixture).mIsAttemptUnsent);
  fixture.mServerAcceptor.non_blocking(true);
  boost::system::error_code failure;
  fixture.mServerAcceptor.accept(failure);
  BOOST_TEST((failure == asio::error::would_block));
}

// The load balancer may still send new connections to a stopping gateway. Their
// requests must be answered, although idle connections are being closed.
BOOST_AUTO_TEST_CASE(request_on_a_new_connection_is_read_during_a_stop)
{
  traffic_fixture fixture;
  fixture.mTraffic.mIsStopping = true;
  fixture.mTraffic.mCloseIdle = true;
  const expiry_timer timer(fixture);
  tcp::socket idle = SendCallerBytes(fixture, "");
  tcp::socket caller = SendCallerBytes(fixture, "");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  asio::write(caller, asio::buffer(MakeRequest()));
  AwaitEvent<caller_request>(fixture);
  BOOST_TEST(ReadUntil(idle, "").empty());
}

// A backend server that cannot be reached has not received the request, which
// can therefore be repeated.
BOOST_AUTO_TEST_CASE(unreachable_server_is_reported_as_not_sent)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const auto request = AwaitEvent<caller_request>(fixture);
  dispatch_request dispatch;
  dispatch.mHandle = request.mHandle;
  dispatch.mAttempt = 1;
  const reserved_port closed;
  BOOST_REQUIRE(closed.mPort != 0);
  dispatch.mAddress = "127.0.0.1:" + std::to_string(closed.mPort);
  dispatch.mDeadline = MonotonicNow() + absl::Seconds(4);
  Post(fixture.mLoop,
       [&fixture, dispatch] { DispatchExchange(fixture.mTraffic, dispatch); });
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::NotSent));
}

// A crash is confirmed only if no process listens on the server's port.
BOOST_AUTO_TEST_CASE(a_probe_tells_a_closed_port_from_an_open_one)
{
  traffic_fixture fixture;
  const reserved_port closed;
  const std::string addresses[] = {
    "127.0.0.1:" + std::to_string(closed.mPort),
    "127.0.0.1:" +
      std::to_string(fixture.mServerAcceptor.local_endpoint().port()),
  };
  for (const std::string& address : addresses) {
    const probe_server probe{ backend_id{ "i-1" }, address, 7 };
    Post(fixture.mLoop,
         [&fixture, probe] { ProbeServer(fixture.mTraffic, probe); });
    const auto probed = AwaitEvent<server_probed>(fixture);
    BOOST_TEST(probed.mBackend.mValue == "i-1");
    BOOST_TEST(probed.mStartedMs == 7);
    BOOST_TEST(probed.mIsRefused == (address == addresses[0]));
  }
}

// Only an attempt without output may have crashed its server by its prompt, and
// the evidence is stronger if its response had begun.
BOOST_AUTO_TEST_CASE(a_report_states_how_far_the_response_came)
{
  const std::string head = kResponseHead + "\r\n";
  const std::string event = "id: 1\ndata:x\n\n";
  for (const std::string& sent :
       { std::string(), std::string("H"), head.substr(0, head.size() - 1), head,
         head + event.substr(0, 3), head + event }) {
    traffic_fixture fixture;
    tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
    DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                    call_kind::Stream);
    RespondOnce(fixture, sent).close();
    const auto report = AwaitEvent<attempt_report>(fixture);
    BOOST_TEST(report.mHasBegun == !sent.empty());
    BOOST_TEST(report.mHasOutput == (sent == head + event));
  }
}

// Guards against requests to a server that leaves, as it says in the response
// with which it continues a stream: the statement must not wait for the end.
BOOST_AUTO_TEST_CASE(a_continued_stream_states_what_its_server_states)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const auto request = AwaitEvent<caller_request>(fixture);
  DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "\r\nid: 1\ndata:x\n\nid: 2").close();
  BOOST_TEST(!AwaitEvent<first_byte>(fixture).mStatement.mIsLeaving);
  AwaitEvent<attempt_report>(fixture);
  DispatchAttempt(fixture, request.mHandle, 2, call_kind::Stream);
  const tcp::socket server =
    RespondOnce(fixture, kResponseHead + "Server-Leaving: 1\r\n\r\n"
                                         "id: 2\ndata:x\n\n");
  const auto start = AwaitEvent<first_byte>(fixture);
  BOOST_TEST(start.mAttempt == 2);
  BOOST_TEST(start.mStatement.mIsLeaving);
}

// Guards against blaming a request for an interim response, which a server may
// send before it runs the request.
BOOST_AUTO_TEST_CASE(an_interim_response_does_not_begin_the_response)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  RespondOnce(fixture, "HTTP/1.1 102 Processing\r\n\r\n").close();
  BOOST_TEST(!AwaitEvent<attempt_report>(fixture).mHasBegun);
}

} // namespace
} // namespace foxtailquay
