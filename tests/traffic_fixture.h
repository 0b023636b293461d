// Runs the traffic layer over loopback with scripted callers and servers. The
// test acts as the control thread.
//
//   traffic_fixture fixture;
//   tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
//   const auto request = AwaitEvent<caller_request>(fixture);
//   DispatchAttempt(fixture, request.mHandle, 1, call_kind::Stream);
//   tcp::socket server = RespondOnce(fixture, kResponseHead + ...);
//   const auto report = AwaitEvent<attempt_report>(fixture);

#ifndef TESTS_TRAFFIC_FIXTURE_H
#define TESTS_TRAFFIC_FIXTURE_H

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>

#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "runtime/clock.h"
#include "runtime/thread.h"
#include "standins/reserved_port.h"
#include "traffic/traffic.h"

namespace foxtailquay {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr auto kEventTimeout = std::chrono::seconds(5);
inline const std::string kResponseHead =
  "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: a1\r\n"
  "Foxtailquay-Server-Seal: s1\r\n";

// Time for which a peer sends at most.
constexpr auto kMaxSendTime = std::chrono::seconds(4);
inline const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

inline tcp::endpoint MakeLoopbackEndpoint(unsigned short aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

// Runs the traffic layer on a thread of its own. Its events wait in a queue for
// the test, which acts as the control thread.
struct traffic_fixture
{
  event_loop mLoop;
  traffic mTraffic;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<gateway_event> mEvents;
  reserved_port mPort;
  posix_thread mThread;
  asio::io_context mIo;
  tcp::acceptor mServerAcceptor{ mIo, MakeLoopbackEndpoint(0) };

  traffic_fixture()
    : mTraffic(mLoop, {})
  {
    mTraffic.mHooks.mPost = [this](gateway_event aEvent) {
      const std::lock_guard<std::mutex> lock(mMutex);
      mEvents.push_back(std::move(aEvent));
      mChanged.notify_all();
      return true;
    };
    channel_options options;
    options.mUnresponsiveTimeout = kCallerUnresponsiveTimeout;
    const auto listening =
      Listen(mLoop, "127.0.0.1:" + std::to_string(mPort.mPort), options,
             [this](channel_id aChannel) { AcceptCaller(mTraffic, aChannel); });
    BOOST_REQUIRE(IsOk(listening));
    auto started = StartThread("traffic", [this] { RunLoop(mLoop); });
    BOOST_REQUIRE(IsOk(started));
    mThread = GetValue(started);
  }

  ~traffic_fixture()
  {
    StopLoop(mLoop);
    Join(mThread);
  }
};

template<typename Event>
Event AwaitEvent(traffic_fixture& aFixture)
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
    if (aFixture.mChanged.wait_for(lock, kEventTimeout) ==
        std::cv_status::timeout) {
      BOOST_FAIL("the expected event did not arrive");
    }
  }
}

inline tcp::socket SendCallerBytes(traffic_fixture& aFixture,
                                   const std::string& aBytes)
{
  tcp::socket socket(aFixture.mIo);
  socket.connect(MakeLoopbackEndpoint(aFixture.mPort.mPort));
  asio::write(socket, asio::buffer(aBytes));
  return socket;
}

inline std::string MakeRequest(const std::string& aExtra = "",
                               const std::string& aAttemptId = "a1")
{
  return "POST /p/1?q=2 HTTP/1.1\r\nHost: h.example\r\n"
         "Foxtailquay-Attempt-Id: " +
         aAttemptId +
         "\r\nAuthorization: Bearer key\r\n"
         "Foxtailquay-Deadline-Ms: 4000\r\n" +
         aExtra + "Content-Length: 4\r\n\r\nbody";
}

// Reads until aEnd has arrived or the connection ends; an empty aEnd means
// until the connection ends. Returns the bytes.
inline std::string ReadUntil(tcp::socket& aSocket, const std::string& aEnd)
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

inline dispatch_request MakeDispatch(const traffic_fixture& aFixture,
                                     request_handle aHandle, int aAttempt,
                                     call_kind aKind)
{
  dispatch_request dispatch;
  dispatch.mHandle = aHandle;
  dispatch.mAttempt = aAttempt;
  dispatch.mAddress =
    "127.0.0.1:" +
    std::to_string(aFixture.mServerAcceptor.local_endpoint().port());
  dispatch.mBackend = backend_id{ "i-1" };
  dispatch.mWorkspace = workspace_id{ "w1" };
  dispatch.mKind = aKind;
  dispatch.mDeadline = MonotonicNow() + absl::Seconds(4);
  return dispatch;
}

inline void DispatchAttempt(traffic_fixture& aFixture, request_handle aHandle,
                            int aAttempt, call_kind aKind)
{
  Post(aFixture.mLoop, [&aFixture, dispatch = MakeDispatch(aFixture, aHandle,
                                                           aAttempt, aKind)] {
    DispatchExchange(aFixture.mTraffic, dispatch);
  });
}

// Accepts one connection, reads the request and sends aBytes. Stores the
// request in aSeen unless it is null.
inline tcp::socket RespondOnce(traffic_fixture& aFixture,
                               const std::string& aBytes,
                               std::string* aSeen = nullptr)
{
  tcp::socket socket = aFixture.mServerAcceptor.accept();
  const std::string seen = ReadUntil(socket, "body");
  if (aSeen != nullptr) {
    *aSeen = seen;
  }
  asio::write(socket, asio::buffer(aBytes));
  return socket;
}

// Waits until a connection can be accepted; fails after kMaxSendTime.
inline void AwaitReadable(tcp::acceptor& aAcceptor)
{
  pollfd waiting{ aAcceptor.native_handle(), POLLIN, 0 };
  const auto limit =
    std::chrono::duration_cast<std::chrono::milliseconds>(kMaxSendTime);
  BOOST_REQUIRE(poll(&waiting, 1, static_cast<int>(limit.count())) == 1);
}

inline const std::string kOkBody = "Content-Length: 2\r\n\r\nok";

inline std::string MakeResponseHead(const std::string& aAttemptId)
{
  return "HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: " + aAttemptId +
         "\r\nFoxtailquay-Server-Seal: s-" + aAttemptId + "\r\n";
}

// Completes one exchange with attempt id "a1" on a new connection to the
// server and returns that connection, which is then idle.
inline tcp::socket CompleteFirstExchange(traffic_fixture& aFixture,
                                         tcp::socket& aCaller)
{
  DispatchAttempt(aFixture, AwaitEvent<caller_request>(aFixture).mHandle, 1,
                  call_kind::Idempotent);
  tcp::socket server = RespondOnce(aFixture, MakeResponseHead("a1") + kOkBody);
  ReadUntil(aCaller, "ok");
  AwaitEvent<attempt_report>(aFixture);
  return server;
}

// Sends a second request, with attempt id "a2", and returns the connection on
// which it reaches the server.
inline tcp::socket ForwardSecondRequest(traffic_fixture& aFixture,
                                        tcp::socket& aCaller,
                                        tcp::socket aServer)
{
  asio::write(aCaller, asio::buffer(MakeRequest("", "a2")));
  DispatchAttempt(aFixture, AwaitEvent<caller_request>(aFixture).mHandle, 1,
                  call_kind::Idempotent);
  BOOST_TEST(ReadUntil(aServer, "body").find("POST") == 0U);
  return aServer;
}

inline void ResetConnection(tcp::socket& aSocket)
{
  aSocket.set_option(asio::socket_base::linger(true, 0));
  aSocket.close();
}

// Calls ExpireConnections as the gateway does, until the object is destroyed.
struct expiry_timer
{
  explicit expiry_timer(traffic_fixture& aFixture)
    : mFixture(aFixture)
  {
    Post(mFixture.mLoop, [this] { Repeat(); });
  }
  void Repeat()
  {
    ExpireConnections(mFixture.mTraffic, MonotonicNow());
    StartTimer(mFixture.mLoop, absl::Milliseconds(50), [this] { Repeat(); });
  }
  traffic_fixture& mFixture;
};

} // namespace foxtailquay

#endif
