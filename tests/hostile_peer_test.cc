// Guards against servers and callers that misbehave: a second copy of a
// response on a connection that is in use again, a response that breaks off and
// looks complete, streams that stall without ending, and requests that never
// end. Runs over loopback with scripted peers.

#define BOOST_TEST_MODULE hostile_peer
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>
#include <vector>

#include "traffic_fixture.h"

namespace foxtailquay {
namespace {

// The next caller must get its own response, whatever copy of an earlier one
// arrives first.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_response_is_discarded)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  tcp::socket server = ForwardSecondRequest(
    fixture, caller, CompleteFirstExchange(fixture, caller));
  asio::write(server, asio::buffer(MakeResponseHead("a1") + kOkBody +
                                   MakeResponseHead("a2") +
                                   "Content-Length: 3\r\n\r\nown"));
  const std::string response = ReadUntil(caller, "own");
  BOOST_TEST(response.find("s-a2") != std::string::npos);
  BOOST_TEST(response.find("s-a1") == std::string::npos);
}

// A copy that does not name its attempt cannot be told apart from the response
// to the request in progress.
BOOST_AUTO_TEST_CASE(a_late_response_without_an_attempt_id_is_not_relayed)
{
  const std::string copies[] = {
    "HTTP/1.1 200 OK\r\nFoxtailquay-Server-Seal: s-old\r\n" + kOkBody,
    "HTTP/1.1 500 Oops\r\nFoxtailquay-Server-Seal: s-old\r\n" + kOkBody,
  };
  for (const std::string& copy : copies) {
    BOOST_TEST_CONTEXT(copy)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      tcp::socket server = ForwardSecondRequest(
        fixture, caller, CompleteFirstExchange(fixture, caller));
      asio::write(server, asio::buffer(copy));
      BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
                 ToName(attempt_outcome::Broken));
    }
  }
}

// Of a response without an attempt id, a second copy could not be told apart
// from the next response on the connection.
BOOST_AUTO_TEST_CASE(a_connection_is_closed_after_an_unnamed_response)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Idempotent);
  tcp::socket server =
    RespondOnce(fixture, "HTTP/1.1 503 Busy\r\nFoxtailquay-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::NotRun));
  BOOST_TEST(ReadUntil(server, "").empty());
}

// Guards against requests that are executed and never answered: reading from
// their connection was paused for the slow caller of the request before.
BOOST_AUTO_TEST_CASE(a_paused_connection_is_read_again_after_its_release)
{
  // The fixture, whose thread uses these, ends before them.
  std::promise<void> isReused;
  std::promise<void> hasData;
  traffic_fixture fixture;
  event_loop& loop = fixture.mLoop;
  connection_pool& pool = fixture.mTraffic.mPool;
  const std::string address =
    "127.0.0.1:" +
    std::to_string(fixture.mServerAcceptor.local_endpoint().port());
  const auto acquire = [&] {
    return AcquireChannel(loop, pool, address, 0, channel_options{},
                          channel_choice::IdleOrNew)
      .mId;
  };
  Post(loop, [&] {
    const channel_id first = acquire();
    channel_handlers handlers;
    handlers.mOnConnected = [&, first] {
      SetReadingPaused(loop, first, true);
      ReleaseChannel(loop, pool, address, first, absl::Seconds(10));
      const channel_id second = acquire();
      BOOST_TEST(second == first);
      channel_handlers next;
      next.mOnData = [&](std::string_view) { hasData.set_value(); };
      SetHandlers(loop, second, std::move(next));
      isReused.set_value();
    };
    SetHandlers(loop, first, std::move(handlers));
  });
  tcp::socket server = fixture.mServerAcceptor.accept();
  isReused.get_future().wait();
  asio::write(server, asio::buffer("x", 1));
  BOOST_TEST(
    (hasData.get_future().wait_for(kMaxSendTime) == std::future_status::ready));
}

// Starts an attempt that may use one connection to the server.
void DispatchOnOneConnection(traffic_fixture& aFixture, request_handle aHandle,
                             int aAttempt)
{
  dispatch_request dispatch =
    MakeDispatch(aFixture, aHandle, aAttempt, call_kind::NonIdempotent);
  dispatch.mMaxConnections = 1;
  Post(aFixture.mLoop, [&aFixture, dispatch] {
    DispatchExchange(aFixture.mTraffic, dispatch);
  });
}

// Guards against an order that is refused as not run while it runs: a server
// that was restarted at its address sends the rejection of the order's first
// attempt once more, where the response to the second one is expected.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_rejection_does_not_end_the_next_attempt)
{
  const std::string rejections[] = {
    "HTTP/1.1 421 Misdirected\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Foxtailquay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 Oops\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Foxtailquay-Server-Seal: s1\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string& rejection : rejections) {
    BOOST_TEST_CONTEXT(rejection)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      const auto request = AwaitEvent<caller_request>(fixture);
      DispatchAttempt(fixture, request.mHandle, 1, call_kind::NonIdempotent);
      tcp::socket first = RespondOnce(fixture, rejection);
      AwaitEvent<attempt_report>(fixture);
      DispatchAttempt(fixture, request.mHandle, 2, call_kind::NonIdempotent);
      AwaitReadable(fixture.mServerAcceptor);
      asio::write(first, asio::buffer(rejection));
      RespondOnce(fixture, kResponseHead + kOkBody);
      BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
                 ToName(attempt_outcome::Delivered));
    }
  }
}

// Guards against a request that cannot be sent again because its idle
// connection takes the only place.
BOOST_AUTO_TEST_CASE(an_idle_connection_makes_room_for_a_new_one)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const request_handle handle = AwaitEvent<caller_request>(fixture).mHandle;
  DispatchOnOneConnection(fixture, handle, 1);
  const tcp::socket first =
    RespondOnce(fixture, "HTTP/1.1 503 Busy\r\nFoxtailquay-Attempt-Id: a1\r\n"
                         "Foxtailquay-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
  AwaitEvent<attempt_report>(fixture);
  DispatchOnOneConnection(fixture, handle, 2);
  AwaitReadable(fixture.mServerAcceptor);
  RespondOnce(fixture, kResponseHead + kOkBody);
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::Delivered));
}

// Bytes that arrive while a connection is idle may still be unread when the
// connection is taken for the next request.
BOOST_AUTO_TEST_CASE(a_connection_with_unread_bytes_is_not_reused)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  tcp::socket server = CompleteFirstExchange(fixture, caller);
  asio::write(caller, asio::buffer(MakeRequest("", "a2")));
  const auto request = AwaitEvent<caller_request>(fixture);
  // The loop is kept busy until the bytes have arrived, so that it dispatches
  // before it reads them.
  Post(fixture.mLoop, [&fixture, &server, handle = request.mHandle] {
    asio::write(server, asio::buffer("HTTP/1.1 200 OK\r\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    DispatchExchange(fixture.mTraffic,
                     MakeDispatch(fixture, handle, 1, call_kind::Idempotent));
  });
  AwaitReadable(fixture.mServerAcceptor);
  tcp::socket second = RespondOnce(fixture, MakeResponseHead("a2") + kOkBody);
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::Delivered));
}

// A body that arrives byte by byte must not hold its connection forever. The
// request was not executed, so the response may say so.
BOOST_AUTO_TEST_CASE(a_request_body_that_trickles_is_refused_in_time)
{
  traffic_fixture fixture;
  fixture.mTraffic.mLimits.mHeaderTimeout = absl::Milliseconds(200);
  fixture.mTraffic.mLimits.mIdleTimeout = absl::Milliseconds(400);
  const expiry_timer timer(fixture);
  tcp::socket caller = SendCallerBytes(
    fixture, "POST /p/1 HTTP/1.1\r\nHost: h\r\nFoxtailquay-Attempt-Id: a1\r\n"
             "Content-Length: 1000\r\n\r\n");
  const auto end = std::chrono::steady_clock::now() + kMaxSendTime;
  boost::system::error_code failure;
  while (!failure && std::chrono::steady_clock::now() < end &&
         caller.available(failure) == 0) {
    asio::write(caller, asio::buffer("x", 1), failure);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(ReadUntil(caller, "}").substr(0, 12) == "HTTP/1.1 408");
}

// A connection that ends inside an event has not ended a stream.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_not_complete)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "\r\nid: 1\ndata:x\n\nid: 2\nda")
    .close();
  const auto report = AwaitEvent<attempt_report>(fixture);
  BOOST_TEST(ToName(report.mOutcome) == ToName(attempt_outcome::BrokenMidway));
  BOOST_TEST(ToName(report.mFraming) == ToName(body_framing::ConnectionEnd));
  BOOST_TEST(report.mPartialEventBytes == std::string("id: 2\nda").size());
}

struct cut_stream_case
{
  const char* mName;
  // Framing headers and body.
  std::string mResponse;
  attempt_outcome mOutcome;
};

// Guards against a stream that broke off and reached its caller as complete:
// the framing of the response is no evidence that its last event is whole.
BOOST_AUTO_TEST_CASE(no_framing_completes_a_stream_that_ends_inside_an_event)
{
  const std::string event = "id: 1\ndata:x\n\n";
  const cut_stream_case cases[] = {
    { "last chunk", kChunked + "16\r\n" + event + "id: 2\nda\r\n0\r\n\r\n",
      attempt_outcome::BrokenMidway },
    { "length", "Content-Length: 22\r\n\r\n" + event + "id: 2\nda",
      attempt_outcome::BrokenMidway },
    { "last chunk in the first event", kChunked + "8\r\nid: 1\nda\r\n0\r\n\r\n",
      attempt_outcome::Broken },
    { "connection end in the first event", "\r\nid: 1\nda",
      attempt_outcome::Broken },
  };
  for (const cut_stream_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      const auto request = AwaitEvent<caller_request>(fixture);
      DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
      RespondOnce(fixture, kResponseHead + each.mResponse).close();
      const auto outcome = AwaitEvent<attempt_report>(fixture).mOutcome;
      BOOST_TEST(ToName(outcome) == ToName(each.mOutcome));
    }
  }
}

// Guards against a server that crashes before its first event: the end of a
// connection alone does not make an empty stream complete.
BOOST_AUTO_TEST_CASE(a_connection_that_ends_before_any_event_is_broken)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "\r\n").close();
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::Broken));
}

// Guards against a server that crashes before it continues a stream: the caller
// must not take the part that it has for the whole.
BOOST_AUTO_TEST_CASE(a_resumed_stream_without_further_events_is_broken)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  const auto request = AwaitEvent<caller_request>(fixture);
  DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "\r\nid: 1\ndata:x\n\nid: 2").close();
  AwaitEvent<attempt_report>(fixture);
  DispatchAttempt(fixture, request.mHandle, 2, call_kind::Stream);
  RespondOnce(fixture, kResponseHead + "\r\n").close();
  BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
             ToName(attempt_outcome::BrokenMidway));
}

// Guards against streams whose lines end with a carriage return: their events
// must be relayed as they arrive, and their end must be recognized.
BOOST_AUTO_TEST_CASE(events_may_end_with_any_line_end)
{
  const std::string head = kResponseHead + "\r\n";
  const std::pair<const char*, std::string> cases[] = {
    { "LF", "id: 1\ndata:x\n\n" },
    { "CRLF", "id: 1\r\ndata:x\r\n\r\n" },
    { "CR", "id: 1\rdata:x\r\r" },
  };
  for (const auto& [name, event] : cases) {
    BOOST_TEST_CONTEXT(name)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                      call_kind::Stream);
      tcp::socket server = RespondOnce(fixture, head + event);
      const auto limit = std::chrono::steady_clock::now() + kMaxSendTime;
      while (caller.available() == 0 &&
             std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      BOOST_TEST(caller.available() > 0);
      asio::write(server, asio::buffer(event));
      server.close();
      const auto report = AwaitEvent<attempt_report>(fixture);
      BOOST_TEST(ToName(report.mOutcome) == ToName(attempt_outcome::Delivered));
      BOOST_TEST(report.mEvents == 2);
    }
  }
}

// Starts a stream that stalls after kStallTime, sends its first event and then
// aMore every 50 ms, aCount times, unless the gateway disconnects.
attempt_report RelayStallingStream(const std::string& aMore, int aCount)
{
  constexpr absl::Duration kStallTime = absl::Milliseconds(400);
  traffic_fixture fixture;
  const expiry_timer timer(fixture);
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  dispatch_request dispatch = MakeDispatch(
    fixture, AwaitEvent<caller_request>(fixture).mHandle, 1, call_kind::Stream);
  dispatch.mStallTimeout = kStallTime;
  Post(fixture.mLoop,
       [&fixture, dispatch] { DispatchExchange(fixture.mTraffic, dispatch); });
  tcp::socket server =
    RespondOnce(fixture, kResponseHead + "\r\nid: 1\ndata:x\n\n");
  boost::system::error_code failure;
  for (int i = 0; i < aCount && !failure; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    asio::write(server, asio::buffer(aMore), failure);
  }
  server.close();
  return AwaitEvent<attempt_report>(fixture);
}

// A stream that sends bytes but no event makes no progress.
BOOST_AUTO_TEST_CASE(a_stalled_stream_ends_although_bytes_arrive)
{
  for (const char* bytes : { "x", ": still here\n\n" }) {
    BOOST_TEST_CONTEXT(bytes)
    {
      const absl::Time start = MonotonicNow();
      const attempt_report report = RelayStallingStream(bytes, 60);
      BOOST_TEST(ToName(report.mOutcome) ==
                 ToName(attempt_outcome::BrokenMidway));
      BOOST_TEST(report.mEvents == 1);
      BOOST_TEST((MonotonicNow() - start < absl::Seconds(4)));
    }
  }
}

// A slow stream that makes progress is not cut.
BOOST_AUTO_TEST_CASE(a_slow_stream_with_events_is_relayed_to_its_end)
{
  const attempt_report report = RelayStallingStream("id: 2\ndata:y\n\n", 30);
  BOOST_TEST(ToName(report.mOutcome) == ToName(attempt_outcome::Delivered));
  BOOST_TEST(report.mEvents == 31);
}

// Sends a request from a caller with a small receive buffer.
tcp::socket SendRequestOfSlowCaller(traffic_fixture& aFixture)
{
  tcp::socket caller(aFixture.mIo);
  caller.open(tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect(MakeLoopbackEndpoint(aFixture.mPort.mPort));
  asio::write(caller, asio::buffer(MakeRequest()));
  return caller;
}

// A caller that takes no bytes for a while has not failed.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_nothing_for_a_while_is_not_cut)
{
  traffic_fixture fixture;
  const expiry_timer timer(fixture);
  tcp::socket caller = SendRequestOfSlowCaller(fixture);
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Idempotent);
  tcp::socket server =
    RespondOnce(fixture, kResponseHead + "Content-Length: 250000\r\n\r\n" +
                           std::string(250000, 'x'));
  AwaitEvent<attempt_report>(fixture);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  BOOST_TEST(ReadUntil(caller, std::string(1000, 'x')).size() > 1000U);
  std::size_t size = 0;
  boost::system::error_code failure;
  std::vector<char> buffer(65536);
  while (size < 240000 && !failure) {
    size += caller.read_some(asio::buffer(buffer), failure);
  }
  BOOST_TEST(size >= 240000U);
}

// A server whose events wait because the caller reads slowly has not stalled.
BOOST_AUTO_TEST_CASE(a_stream_that_waits_for_its_caller_is_not_stalled)
{
  traffic_fixture fixture;
  const expiry_timer timer(fixture);
  tcp::socket caller = SendRequestOfSlowCaller(fixture);
  dispatch_request dispatch = MakeDispatch(
    fixture, AwaitEvent<caller_request>(fixture).mHandle, 1, call_kind::Stream);
  dispatch.mStallTimeout = absl::Milliseconds(400);
  Post(fixture.mLoop,
       [&fixture, dispatch] { DispatchExchange(fixture.mTraffic, dispatch); });
  tcp::socket server = fixture.mServerAcceptor.accept();
  ReadUntil(server, "body");
  std::thread sender([&server] {
    const std::string event = "data:" + std::string(60000, 'x') + "\n\n";
    boost::system::error_code failure;
    asio::write(server, asio::buffer(kResponseHead + "\r\n"), failure);
    for (int i = 0; i < 200 && !failure; ++i) {
      asio::write(server, asio::buffer(event), failure);
    }
    server.close();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  std::vector<char> buffer(65536);
  boost::system::error_code failure;
  while (!failure) {
    caller.read_some(asio::buffer(buffer), failure);
  }
  sender.join();
  const auto report = AwaitEvent<attempt_report>(fixture);
  BOOST_TEST(ToName(report.mOutcome) == ToName(attempt_outcome::Delivered));
  BOOST_TEST(report.mEvents == 200);
}

// A server that is silent for a while and then continues has not failed: its
// work is neither repeated nor given up.
BOOST_AUTO_TEST_CASE(a_silent_server_is_waited_for)
{
  traffic_fixture fixture;
  const expiry_timer timer(fixture);
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  tcp::socket server = RespondOnce(fixture, kResponseHead + kChunked +
                                              "e\r\nid: 1\ndata:x\n\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  asio::write(server, asio::buffer("e\r\nid: 2\ndata:y\n\n\r\n0\r\n\r\n",
                                   sizeof("e\r\nid: 2\ndata:y\n\n\r\n"
                                          "0\r\n\r\n") -
                                     1));
  const auto report = AwaitEvent<attempt_report>(fixture);
  BOOST_TEST(ToName(report.mOutcome) == ToName(attempt_outcome::Delivered));
  BOOST_TEST(report.mEvents == 2);
}

} // namespace
} // namespace foxtailquay
