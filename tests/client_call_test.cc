// Guards against calls of the event loop that use connections on which no
// response can arrive.

#define BOOST_TEST_MODULE client_call
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"
#include "runtime/thread.h"
#include "transport/client_call.h"
#include "transport/event_loop_impl.h"

namespace foxtailquay {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr const char* kResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Runs calls on a thread of its own.
struct call_fixture
{
  event_loop mLoop;
  client_calls mCalls{ mLoop };
  asio::io_context mIo;
  tcp::acceptor mAcceptor{ mIo, { asio::ip::address_v4::loopback(), 0 } };
  posix_thread mThread;

  call_fixture()
  {
    auto started = StartThread("traffic", [this] { RunLoop(mLoop); });
    BOOST_REQUIRE(IsOk(started));
    mThread = GetValue(started);
  }
  ~call_fixture()
  {
    StopLoop(mLoop);
    Join(mThread);
  }
};

std::future<call_response> StartCallOf(call_fixture& aFixture,
                                       absl::Duration aTimeout)
{
  auto promise = std::make_shared<std::promise<call_response>>();
  auto response = promise->get_future();
  client_call call;
  call.mAddress =
    absl::StrCat("127.0.0.1:", aFixture.mAcceptor.local_endpoint().port());
  call.mTimeout = aTimeout;
  Post(aFixture.mLoop, [&aFixture, call, promise] {
    StartCall(aFixture.mCalls, call, [promise](const call_response& aResponse) {
      promise->set_value(aResponse);
    });
  });
  return response;
}

void ReadCall(tcp::socket& aSocket)
{
  std::string seen;
  char buffer[1024];
  while (seen.find("\r\n\r\n") == std::string::npos) {
    seen.append(buffer, aSocket.read_some(asio::buffer(buffer)));
  }
}

// Two connections are idle in the pool when both become silent without a reset.
// One call may be lost to that; the next must not use the other connection.
BOOST_AUTO_TEST_CASE(the_call_after_a_silent_one_uses_a_new_connection)
{
  constexpr absl::Duration kLong = absl::Seconds(5);
  call_fixture fixture;
  auto first = StartCallOf(fixture, kLong);
  auto second = StartCallOf(fixture, kLong);
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < 2; ++i) {
    sockets.push_back(fixture.mAcceptor.accept());
    ReadCall(sockets.back());
  }
  for (tcp::socket& socket : sockets) {
    asio::write(socket, asio::buffer(std::string(kResponse)));
  }
  BOOST_TEST(first.get().mStatus == 200);
  BOOST_TEST(second.get().mStatus == 200);
  auto lost = StartCallOf(fixture, absl::Milliseconds(200));
  BOOST_TEST(lost.get().mStatus == 0);
  auto next = StartCallOf(fixture, absl::Seconds(1));
  fixture.mAcceptor.non_blocking(true);
  boost::system::error_code failure = asio::error::would_block;
  tcp::socket socket(fixture.mIo);
  while (failure == asio::error::would_block &&
         next.wait_for(std::chrono::milliseconds(10)) ==
           std::future_status::timeout) {
    fixture.mAcceptor.accept(socket, failure);
  }
  BOOST_REQUIRE(!failure);
  socket.non_blocking(false);
  ReadCall(socket);
  asio::write(socket, asio::buffer(std::string(kResponse)));
  BOOST_TEST(next.get().mStatus == 200);
}

// A watch that waits on a connection that has become silent is replaced by
// another one. Its response must not be taken for that of the later call, and
// its connection must not be used again.
BOOST_AUTO_TEST_CASE(an_abandoned_call_closes_its_connection)
{
  call_fixture fixture;
  client_call call;
  call.mAddress =
    absl::StrCat("127.0.0.1:", fixture.mAcceptor.local_endpoint().port());
  call.mTimeout = absl::Seconds(30);
  std::atomic<bool> isDone{ false };
  std::promise<channel_id> started;
  Post(fixture.mLoop, [&] {
    started.set_value(
      StartCall(fixture.mCalls, call,
                [&isDone](const call_response&) { isDone = true; }));
  });
  const channel_id channel = started.get_future().get();
  tcp::socket socket = fixture.mAcceptor.accept();
  ReadCall(socket);
  std::promise<void> abandoned;
  Post(fixture.mLoop, [&] {
    AbandonCall(fixture.mCalls, channel);
    AbandonCall(fixture.mCalls, channel);
    abandoned.set_value();
  });
  abandoned.get_future().get();
  char byte = 0;
  boost::system::error_code failure;
  socket.read_some(asio::buffer(&byte, 1), failure);
  BOOST_TEST(failure == asio::error::eof);
  BOOST_TEST(!isDone);
}

// A connection to the store on which a watch waits carries no bytes. Only
// keep-alive probes show that the store's host is gone.
BOOST_AUTO_TEST_CASE(connections_are_probed_within_the_unresponsive_time)
{
  call_fixture fixture;
  client_call call;
  call.mAddress =
    absl::StrCat("127.0.0.1:", fixture.mAcceptor.local_endpoint().port());
  call.mUnresponsiveTimeout = absl::Seconds(2);
  std::promise<channel_id> started;
  Post(fixture.mLoop, [&] {
    started.set_value(
      StartCall(fixture.mCalls, call, [](const call_response&) {}));
  });
  const channel_id id = started.get_future().get();
  tcp::socket socket = fixture.mAcceptor.accept();
  ReadCall(socket);
  std::promise<std::map<int, int>> read;
  Post(fixture.mLoop, [&] {
    std::map<int, int> values;
    const int fd = FindChannel(fixture.mLoop, id)->mSocket.native_handle();
    for (const int option : { TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_USER_TIMEOUT }) {
      socklen_t size = sizeof(int);
      getsockopt(fd, IPPROTO_TCP, option, &values[option], &size);
    }
    socklen_t size = sizeof(int);
    getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &values[-1], &size);
    read.set_value(values);
  });
  const std::map<int, int> values = read.get_future().get();
  BOOST_TEST(values.at(-1) == 1);
  BOOST_TEST(values.at(TCP_KEEPIDLE) == 1);
  BOOST_TEST(values.at(TCP_KEEPINTVL) == 1);
  BOOST_TEST(values.at(TCP_USER_TIMEOUT) == 2000);
}

} // namespace
} // namespace foxtailquay
