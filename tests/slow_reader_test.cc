// Guards against servers that cut off a response because its caller reads it
// slowly, and against callers that pay for the slowness of others.

#define BOOST_TEST_MODULE slow_reader
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "traffic_fixture.h"

namespace foxtailquay {
namespace {

using clock_type = std::chrono::steady_clock;

// Calls ExpireConnections at its interval.
struct expiry_thread
{
  traffic_fixture& mFixture;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;

  explicit expiry_thread(traffic_fixture& aFixture)
    : mFixture(aFixture)
    , mThread([this] {
      while (!mStopped) {
        Post(mFixture.mLoop,
             [this] { ExpireConnections(mFixture.mTraffic, MonotonicNow()); });
        std::this_thread::sleep_for(
          absl::ToChronoMilliseconds(kExpiryInterval));
      }
    })
  {}
  ~expiry_thread()
  {
    mStopped = true;
    mThread.join();
  }
};

tcp::socket SendSlowRequest(traffic_fixture& aFixture)
{
  tcp::socket caller(aFixture.mIo);
  caller.open(tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect(MakeLoopbackEndpoint(aFixture.mPort.mPort));
  asio::write(caller, asio::buffer(MakeRequest()));
  return caller;
}

// Sends a response without end, and measures the longest time in which it could
// send nothing.
struct streaming_server
{
  tcp::socket mSocket;
  std::atomic<bool> mStopped{ false };
  std::chrono::milliseconds mLongestWait{ 0 };
  std::thread mThread;

  explicit streaming_server(traffic_fixture& aFixture)
    : mSocket(aFixture.mServerAcceptor.accept())
    , mThread([this] { Run(); })
  {}
  ~streaming_server()
  {
    mStopped = true;
    mThread.join();
  }

  void Run()
  {
    ReadUntil(mSocket, "body");
    mSocket.set_option(asio::socket_base::send_buffer_size(4096));
    const std::string event = "data:" + std::string(4000, 'x') + "\n\n";
    boost::system::error_code failure;
    asio::write(mSocket, asio::buffer(kResponseHead + "\r\n"), failure);
    mSocket.non_blocking(true);
    auto sentAt = clock_type::now();
    std::size_t offset = 0;
    while (!mStopped) {
      const std::size_t size =
        mSocket.write_some(asio::buffer(event) + offset, failure);
      offset = (offset + size) % event.size();
      const auto now = clock_type::now();
      mLongestWait = std::max(
        mLongestWait,
        std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt));
      if (size > 0) {
        sentAt = now;
      } else if (failure == asio::error::would_block) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      } else {
        return;
      }
    }
  }
};

// Reads 100,000 bytes/s for aTime. Returns the number of bytes.
std::size_t ReadSlowly(tcp::socket& aCaller, std::chrono::milliseconds aTime)
{
  std::size_t size = 0;
  boost::system::error_code failure;
  std::vector<char> buffer(2000);
  const auto end = clock_type::now() + aTime;
  while (clock_type::now() < end && !failure) {
    size += aCaller.read_some(asio::buffer(buffer), failure);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return failure ? 0 : size;
}

// Load: a caller that reads 100,000 bytes/s of a response that is faster. A
// server cuts off a response of which nothing is read for some seconds. Without
// the short pauses, it waited until the caller had taken kMaxUnsentBytes.
BOOST_AUTO_TEST_CASE(a_server_sees_progress_while_its_caller_reads_slowly)
{
  traffic_fixture fixture;
  const expiry_thread expiry(fixture);
  tcp::socket caller = SendSlowRequest(fixture);
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  streaming_server server(fixture);
  BOOST_TEST(ReadSlowly(caller, std::chrono::seconds(8)) > 0U);
  BOOST_TEST(server.mLongestWait.count() < 2000);
}

std::size_t MeasureHeldBytes(traffic_fixture& aFixture)
{
  std::promise<std::size_t> measured;
  Post(aFixture.mLoop, [&aFixture, &measured] {
    measured.set_value(MeasureBufferedBytes(aFixture.mTraffic));
  });
  return measured.get_future().get();
}

// Load: callers that read nothing fill the memory, beside one that reads
// slowly. Those that read nothing must make room, and the other one must get
// its response.
BOOST_AUTO_TEST_CASE(callers_that_read_nothing_make_room_for_others)
{
  constexpr std::size_t kMaxBytes = 1 << 20;
  constexpr int kStuckCallers = 12;
  traffic_fixture fixture;
  fixture.mTraffic.mMaxBufferedBytes = kMaxBytes;
  std::vector<tcp::socket> stuck;
  std::vector<std::unique_ptr<streaming_server>> servers;
  for (int i = 0; i < kStuckCallers; ++i) {
    stuck.push_back(SendSlowRequest(fixture));
    DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                    call_kind::Stream);
    servers.push_back(std::make_unique<streaming_server>(fixture));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const std::size_t before = MeasureHeldBytes(fixture);
  BOOST_TEST(before > kMaxBytes);
  tcp::socket reader = SendSlowRequest(fixture);
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  servers.push_back(std::make_unique<streaming_server>(fixture));
  const expiry_thread expiry(fixture);
  BOOST_TEST(ReadSlowly(reader, std::chrono::seconds(4)) > 0U);
  // The reader may hold what one exchange may.
  BOOST_TEST(MeasureHeldBytes(fixture) <= kMaxBytes + kMaxUnsentBytes);
  // The control thread learns that the callers are gone.
  AwaitEvent<caller_disconnected>(fixture);
  for (const auto& server : servers) {
    server->mStopped = true;
  }
}

// A slow caller is not cut off while there is memory for its response.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_nothing_keeps_its_response)
{
  traffic_fixture fixture;
  const expiry_thread expiry(fixture);
  tcp::socket caller = SendSlowRequest(fixture);
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Stream);
  streaming_server server(fixture);
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(kSlowCallerTime * 2));
  BOOST_TEST(ReadSlowly(caller, std::chrono::milliseconds(500)) > 0U);
}

} // namespace
} // namespace foxtailquay
