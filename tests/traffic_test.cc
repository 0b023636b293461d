// Guards against answers that are passed on though they are cut short, belong
// to another request or are not the server's; against bytes that two readers
// would split differently; and against work that goes on after its caller left.
// Runs over loopback with scripted callers and servers.

#define BOOST_TEST_MODULE traffic
#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "runtime/clock.h"
#include "runtime/thread.h"
#include "standins/reserved_port.h"
#include "traffic/traffic.h"

namespace foxtailquay {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr auto kPatience = std::chrono::seconds(5);
const std::string kHead = "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: a1\r\n"
                          "Foxtailquay-Server-Seal: s1\r\n";

tcp::endpoint Loopback(unsigned short aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

// The traffic layer on its own thread; events wait in a queue for the test,
// which takes the place of the control thread.
struct fixture
{
  event_loop mLoop;
  traffic mTraffic;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<gateway_event> mEvents;
  reserved_port mPort;
  posix_thread mThread;
  asio::io_context mIo;
  tcp::acceptor mServer{ mIo, Loopback(0) };

  fixture()
    : mTraffic(mLoop, {})
  {
    mTraffic.mHooks.mPost = [this](gateway_event aEvent) {
      const std::lock_guard<std::mutex> lock(mMutex);
      mEvents.push_back(std::move(aEvent));
      mChanged.notify_all();
      return true;
    };
    const auto listening =
      Listen(mLoop, "127.0.0.1:" + std::to_string(mPort.mPort),
             [this](channel_id aChannel) { AcceptCaller(mTraffic, aChannel); });
    BOOST_REQUIRE(IsOk(listening));
    auto started = StartThread("traffic", [this] { RunLoop(mLoop); });
    BOOST_REQUIRE(IsOk(started));
    mThread = GetValue(started);
  }

  ~fixture()
  {
    StopLoop(mLoop);
    Join(mThread);
  }
};

template<typename Event>
Event Await(fixture& aFixture)
{
  std::unique_lock<std::mutex> lock(aFixture.mMutex);
  for (;;) {
    while (!aFixture.mEvents.empty()) {
      const gateway_event event = std::move(aFixture.mEvents.front());
      aFixture.mEvents.pop_front();
      if (const Event* wanted = std::get_if<Event>(&event)) {
        return *wanted;
      }
    }
    if (aFixture.mChanged.wait_for(lock, kPatience) ==
        std::cv_status::timeout) {
      BOOST_FAIL("the event did not come");
    }
  }
}

tcp::socket Call(fixture& aFixture, const std::string& aBytes)
{
  tcp::socket socket(aFixture.mIo);
  socket.connect(Loopback(aFixture.mPort.mPort));
  asio::write(socket, asio::buffer(aBytes));
  return socket;
}

std::string Request(const std::string& aExtra = "")
{
  return "POST /p/1?q=2 HTTP/1.1\r\nHost: h.example\r\n"
         "Foxtailquay-Attempt-Id: a1\r\nAuthorization: Bearer key\r\n"
         "Foxtailquay-Deadline-Ms: 4000\r\n" +
         aExtra + "Content-Length: 4\r\n\r\nbody";
}

// Reads until aEnd is there or the connection ends.
std::string ReadUntil(tcp::socket& aSocket, const std::string& aEnd)
{
  std::string bytes;
  boost::system::error_code failure;
  while (!failure && (aEnd.empty() || bytes.find(aEnd) == std::string::npos)) {
    char buffer[4096];
    const std::size_t size = aSocket.read_some(asio::buffer(buffer), failure);
    bytes.append(buffer, size);
  }
  return bytes;
}

void DispatchTo(fixture& aFixture, request_handle aHandle, int aAttempt,
                call_kind aKind)
{
  dispatch_request dispatch;
  dispatch.mHandle = aHandle;
  dispatch.mAttempt = aAttempt;
  dispatch.mAddress =
    "127.0.0.1:" + std::to_string(aFixture.mServer.local_endpoint().port());
  dispatch.mBackend = backend_id{ "i-1" };
  dispatch.mWorkspace = workspace_id{ "w1" };
  dispatch.mKind = aKind;
  dispatch.mDeadline = MonotonicNow() + absl::Seconds(4);
  Post(aFixture.mLoop, [&aFixture, dispatch] {
    DispatchExchange(aFixture.mTraffic, dispatch);
  });
}

// Takes one connection, reads the request and answers with aBytes.
tcp::socket ServeOne(fixture& aFixture, const std::string& aBytes,
                     std::string* aSeen = nullptr)
{
  tcp::socket socket = aFixture.mServer.accept();
  const std::string seen = ReadUntil(socket, "body");
  if (aSeen != nullptr) {
    *aSeen = seen;
  }
  asio::write(socket, asio::buffer(aBytes));
  return socket;
}

void Reset(tcp::socket& aSocket)
{
  aSocket.set_option(asio::socket_base::linger(true, 0));
  aSocket.close();
}

enum class ending
{
  Keep,
  Close,
  Reset,
};

struct answer_case
{
  const char* mName;
  call_kind mKind;
  std::string mResponse;
  ending mEnding;
  attempt_outcome mOutcome;
  int mStatus;
};

// Each way in which a response can be wrong must be told apart from a good
// one.
BOOST_AUTO_TEST_CASE(answers_are_judged_by_what_arrived)
{
  using o = attempt_outcome;
  const auto plain = call_kind::Idempotent;
  const auto stream = call_kind::Stream;
  const std::string chunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  const answer_case cases[] = {
    { "whole", plain, kHead + "Content-Length: 2\r\n\r\nok", ending::Keep,
      o::Delivered, 200 },
    { "cut short", plain, kHead + "Content-Length: 5\r\n\r\nok", ending::Close,
      o::Broken, 200 },
    { "without a length", plain, kHead + "\r\nok", ending::Close, o::Delivered,
      200 },
    { "without a length and reset", plain, kHead + "\r\nok", ending::Reset,
      o::Broken, 200 },
    { "of another request", plain,
      "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: a0\r\n"
      "Foxtailquay-Server-Seal: s0\r\nContent-Length: 3\r\n\r\nold" +
        kHead + "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Delivered, 200 },
    { "interim first", plain,
      "HTTP/1.1 100 Continue\r\n\r\n" + kHead + "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Delivered, 200 },
    { "without a seal", plain,
      "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: a1\r\n"
      "Content-Length: 2\r\n\r\nok",
      ending::Keep, o::Broken, 200 },
    { "encoded", plain,
      kHead + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
      ending::Keep, o::Broken, 200 },
    { "no answer", plain, "", ending::Close, o::Broken, 0 },
    { "not HTTP", plain, "hello\r\n\r\n", ending::Keep, o::Broken, 0 },
    { "not run", plain,
      "HTTP/1.1 503 Busy\r\nFoxtailquay-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      ending::Keep, o::NotRun, 503 },
    { "503 that promises nothing", plain,
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
  for (const answer_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      fixture run;
      tcp::socket caller = Call(run, Request());
      const auto request = Await<caller_request>(run);
      DispatchTo(run, request.mHandle, 1, each.mKind);
      tcp::socket server = ServeOne(run, each.mResponse);
      if (each.mEnding == ending::Close) {
        server.close();
      } else if (each.mEnding == ending::Reset) {
        // The bytes must arrive before the reset discards them.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        Reset(server);
      }
      const auto report = Await<attempt_report>(run);
      BOOST_TEST(ToName(report.mOutcome) == ToName(each.mOutcome));
      BOOST_TEST(report.mStatus == each.mStatus);
    }
  }
}

// A request whose bytes could be split in two ways must not be forwarded.
BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused)
{
  const std::string start =
    "POST /p/1 HTTP/1.1\r\nHost: h\r\nFoxtailquay-Attempt-Id: a1\r\n";
  const std::string cases[] = {
    start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    start + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
    start + "Content-Length: -1\r\n\r\n",
    start + "Bad Header: x\r\n\r\n",
    "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string& each : cases) {
    BOOST_TEST_CONTEXT(each)
    {
      fixture run;
      tcp::socket caller = Call(run, each);
      const std::string response = ReadUntil(caller, "");
      BOOST_TEST(response.substr(0, 12) == "HTTP/1.1 400");
      const std::lock_guard<std::mutex> lock(run.mMutex);
      BOOST_TEST(run.mEvents.empty());
    }
  }
}

// The key must not reach a server, and a caller must not set what only the
// system may set.
BOOST_AUTO_TEST_CASE(the_forwarded_head_holds_the_systems_own_values)
{
  fixture run;
  tcp::socket caller =
    Call(run, Request("Foxtailquay-Tenant: forged\r\nKv-From: 1.2.3.4:5/x\r\n"
                      "Foxtailquay-Expect-Instance: forged\r\n"
                      "Connection: X-Hop, Foxtailquay-Attempt-Id\r\n"
                      "X-Hop: 1\r\nX-End: 2\r\n"));
  const auto request = Await<caller_request>(run);
  BOOST_TEST(request.mKey == "key");
  BOOST_TEST(request.mPath == "/p/1");
  DispatchTo(run, request.mHandle, 1, call_kind::Idempotent);
  std::string seen;
  tcp::socket server =
    ServeOne(run, kHead + "Content-Length: 2\r\n\r\nok", &seen);
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

// A kept connection saves a handshake; bytes after a response belong to nobody
// and spoil it.
BOOST_AUTO_TEST_CASE(a_connection_is_reused_only_after_a_clean_answer)
{
  for (const bool isClean : { true, false }) {
    fixture run;
    tcp::socket caller = Call(run, Request());
    DispatchTo(run, Await<caller_request>(run).mHandle, 1,
               call_kind::Idempotent);
    tcp::socket server = ServeOne(run, kHead + "Content-Length: 2\r\n\r\nok" +
                                         (isClean ? "" : "more"));
    Await<attempt_report>(run);
    ReadUntil(caller, "ok");
    asio::write(caller, asio::buffer(Request()));
    DispatchTo(run, Await<caller_request>(run).mHandle, 1,
               call_kind::Idempotent);
    if (isClean) {
      BOOST_TEST(ReadUntil(server, "body").find("POST") == 0U);
    } else {
      BOOST_TEST(ReadUntil(server, "").empty());
      ServeOne(run, kHead + "Content-Length: 2\r\n\r\nok");
    }
  }
}

// The end of a broken stream must show that it is not complete.
BOOST_AUTO_TEST_CASE(a_broken_stream_never_looks_complete)
{
  fixture run;
  tcp::socket caller = Call(run, Request());
  const auto request = Await<caller_request>(run);
  DispatchTo(run, request.mHandle, 1, call_kind::Stream);
  ServeOne(run, kHead + "Transfer-Encoding: chunked\r\n\r\n"
                        "e\r\nid: 1\ndata:x\n\n\r\n")
    .close();
  const auto report = Await<attempt_report>(run);
  BOOST_TEST(report.mEvents == 1);
  Post(run.mLoop, [&run, &request] {
    SendError(run.mTraffic,
              { request.mHandle,
                { error_code::StreamBroken, executed::Yes, "", "", {} } });
  });
  const std::string response = ReadUntil(caller, "");
  BOOST_TEST(response.find("data:x") != std::string::npos);
  BOOST_TEST(response.find("\r\n0\r\n") == std::string::npos);
}

// A stream that goes on elsewhere must continue after the last whole event.
BOOST_AUTO_TEST_CASE(a_resumed_stream_joins_without_gap_or_repeat)
{
  fixture run;
  tcp::socket caller = Call(run, Request());
  const auto request = Await<caller_request>(run);
  DispatchTo(run, request.mHandle, 1, call_kind::Stream);
  ServeOne(run, kHead + "Transfer-Encoding: chunked\r\n\r\n"
                        "14\r\nid: 1\ndata:x\n\nid: 2\n\r\n")
    .close();
  Await<attempt_report>(run);
  DispatchTo(run, request.mHandle, 2, call_kind::Stream);
  std::string seen;
  tcp::socket server = ServeOne(run,
                                kHead + "Transfer-Encoding: chunked\r\n\r\n"
                                        "e\r\nid: 2\ndata:y\n\n\r\n0\r\n\r\n",
                                &seen);
  BOOST_TEST(seen.find("Last-Event-Id: 1\r\n") != std::string::npos);
  const std::string response = ReadUntil(caller, "0\r\n\r\n");
  BOOST_TEST(
    response.find("e\r\nid: 1\ndata:x\n\n\r\ne\r\nid: 2\ndata:y\n\n\r\n"
                  "0\r\n\r\n") != std::string::npos);
  BOOST_TEST(Await<attempt_report>(run).mEvents == 2);
}

// A server must not go on working for a caller that left.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_its_run)
{
  fixture run;
  tcp::socket caller = Call(run, Request());
  DispatchTo(run, Await<caller_request>(run).mHandle, 1, call_kind::Stream);
  tcp::socket server = run.mServer.accept();
  ReadUntil(server, "body");
  caller.close();
  BOOST_TEST(Await<caller_disconnected>(run).mEvents == 0);
  BOOST_TEST(ReadUntil(server, "").empty());
}

// A server that cannot be reached did not run the request.
BOOST_AUTO_TEST_CASE(an_unreachable_server_was_sent_nothing)
{
  fixture run;
  tcp::socket caller = Call(run, Request());
  const auto request = Await<caller_request>(run);
  dispatch_request dispatch;
  dispatch.mHandle = request.mHandle;
  dispatch.mAttempt = 1;
  const reserved_port closed;
  BOOST_REQUIRE(closed.mPort != 0);
  dispatch.mAddress = "127.0.0.1:" + std::to_string(closed.mPort);
  dispatch.mDeadline = MonotonicNow() + absl::Seconds(4);
  Post(run.mLoop,
       [&run, dispatch] { DispatchExchange(run.mTraffic, dispatch); });
  BOOST_TEST(ToName(Await<attempt_report>(run).mOutcome) ==
             ToName(attempt_outcome::NotSent));
}

} // namespace
} // namespace foxtailquay
