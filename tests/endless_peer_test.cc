// Guards against servers and callers that send without end: they must not fill
// the memory, keep the traffic thread or stop the requests of other callers.
// Runs over loopback with scripted peers.

#define BOOST_TEST_MODULE endless_peer
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "traffic_fixture.h"

namespace foxtailquay {
namespace {

// Bytes after which a peer must have been disconnected. Kernel buffers on both
// sides hold some megabytes on top of what the gateway buffers.
constexpr std::size_t kMaxAcceptedBytes = 24 << 20;

// Sends aStart and then aRepeated until the peer closes the connection, or the
// limits above are reached. Returns the number of bytes sent.
std::size_t SendEndlessly(tcp::socket& aSocket, const std::string& aStart,
                          const std::string& aRepeated)
{
  const auto end = std::chrono::steady_clock::now() + kMaxSendTime;
  boost::system::error_code failure;
  std::size_t sent = asio::write(aSocket, asio::buffer(aStart), failure);
  std::size_t position = 0;
  aSocket.non_blocking(true);
  while (sent < 2 * kMaxAcceptedBytes &&
         std::chrono::steady_clock::now() < end) {
    const std::size_t size =
      aSocket.write_some(asio::buffer(aRepeated) + position, failure);
    sent += size;
    position = (position + size) % aRepeated.size();
    if (failure == asio::error::would_block) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    } else if (failure) {
      break;
    }
  }
  return sent;
}

struct endless_case
{
  const char* mName;
  call_kind mKind;
  std::string mStart;
  std::string mRepeated;
};

// A server that sends without end must be disconnected before it fills the
// memory, and its attempt must end as broken.
BOOST_AUTO_TEST_CASE(a_server_that_sends_without_end_is_disconnected)
{
  const std::string block(16384, 'x');
  const std::string chunk = "4000\r\n" + block + "\r\n";
  const auto stream = call_kind::Stream;
  const auto plain = call_kind::Idempotent;
  const endless_case cases[] = {
    { "status line", plain, "HTTP/1.1 200 ", block },
    { "no HTTP at all", plain, "", block },
    { "headers", plain, kResponseHead, "X-More: 1\r\n" },
    { "one header", plain, kResponseHead + "X-More: ", block },
    { "interim responses", plain, "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "responses to another request", plain, "",
      MakeResponseHead("a0") + kOkBody },
    { "body of another response", plain, MakeResponseHead("a0") + kChunked,
      chunk },
    { "one stream event", stream, kResponseHead + kChunked, chunk },
    { "one stream event without a length", stream, kResponseHead + "\r\n",
      block },
    { "chunk extension", stream, kResponseHead + kChunked + "4;", block },
    { "trailers", stream, kResponseHead + kChunked + "0\r\n", "X-More: 1\r\n" },
    { "extensions of small chunks", plain, kResponseHead + kChunked,
      "1;x=" + std::string(1000, 'x') + "\r\ny\r\n" },
    { "comments of a stream", stream, kResponseHead + kChunked,
      "8\r\n: more\n\n\r\n" },
    { "failure response", plain,
      "HTTP/1.1 500 Oops\r\nFoxtailquay-Attempt-Id: a1\r\n"
      "Foxtailquay-Server-Seal: s\r\n" +
        kChunked,
      chunk },
  };
  for (const endless_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                      each.mKind);
      tcp::socket server = fixture.mServerAcceptor.accept();
      ReadUntil(server, "body");
      // The caller reads what it gets, so that nothing waits for it.
      std::thread reader([&caller] {
        boost::system::error_code failure;
        std::vector<char> buffer(65536);
        while (!failure) {
          caller.read_some(asio::buffer(buffer), failure);
        }
      });
      const std::size_t sent =
        SendEndlessly(server, each.mStart, each.mRepeated);
      caller.shutdown(tcp::socket::shutdown_receive);
      reader.join();
      BOOST_TEST(sent < kMaxAcceptedBytes);
      const attempt_outcome outcome =
        AwaitEvent<attempt_report>(fixture).mOutcome;
      BOOST_TEST((outcome == attempt_outcome::Broken ||
                  outcome == attempt_outcome::BrokenMidway));
    }
  }
}

// Guards against a limit on useless bytes that cuts sound responses: small
// chunks, and a stream with more comments than events.
BOOST_AUTO_TEST_CASE(a_response_with_much_framing_is_delivered)
{
  std::string smallChunks;
  std::string commentedEvents;
  for (int i = 1; i <= 300000; ++i) {
    smallChunks += "1\r\nx\r\n";
  }
  for (int i = 1; i <= 100000; ++i) {
    commentedEvents +=
      ": wait\n\n: wait\n\nid: " + std::to_string(i) + "\ndata: x\n\n";
  }
  const endless_case cases[] = {
    { "small chunks", call_kind::Idempotent, kResponseHead + kChunked,
      smallChunks + "0\r\n\r\n" },
    { "comments", call_kind::Stream, kResponseHead + "\r\n", commentedEvents },
  };
  for (const endless_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
      DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                      each.mKind);
      std::thread reader([&caller] { ReadUntil(caller, "\r\n0\r\n\r\n"); });
      RespondOnce(fixture, each.mStart + each.mRepeated).close();
      BOOST_TEST(ToName(AwaitEvent<attempt_report>(fixture).mOutcome) ==
                 ToName(attempt_outcome::Delivered));
      boost::system::error_code ignored;
      caller.shutdown(tcp::socket::shutdown_both, ignored);
      reader.join();
    }
  }
}

// Connects a server that sends without end until the object is destroyed.
struct endless_server
{
  endless_server(traffic_fixture& aFixture, call_kind aKind,
                 const std::string& aStart, std::string aRepeated,
                 bool aCallerReads = true)
    : mCaller(SendCallerBytes(aFixture, MakeRequest()))
  {
    DispatchAttempt(aFixture, AwaitEvent<caller_request>(aFixture).mHandle, 1,
                    aKind);
    mServer = std::make_unique<tcp::socket>(aFixture.mServerAcceptor.accept());
    ReadUntil(*mServer, "body");
    asio::write(*mServer, asio::buffer(aStart));
    mSender = std::thread([this, repeated = std::move(aRepeated)] {
      boost::system::error_code failure;
      while (!failure) {
        asio::write(*mServer, asio::buffer(repeated), failure);
      }
    });
    if (aCallerReads) {
      mReader = std::thread([this] { ReadUntil(mCaller, ""); });
    }
  }
  ~endless_server()
  {
    boost::system::error_code ignored;
    mServer->shutdown(tcp::socket::shutdown_both, ignored);
    mCaller.shutdown(tcp::socket::shutdown_both, ignored);
    mSender.join();
    if (mReader.joinable()) {
      mReader.join();
    }
  }
  tcp::socket mCaller;
  std::unique_ptr<tcp::socket> mServer;
  std::thread mSender;
  std::thread mReader;
};

// Guards against a server that sends faster than its bytes are processed and so
// keeps the traffic thread: other work of the thread must get its turn.
BOOST_AUTO_TEST_CASE(a_channel_that_always_has_bytes_leaves_turns_to_others)
{
  constexpr int kMaxReadsPerTurn = 4;
  // The fixture, whose thread uses these, ends before them.
  std::atomic<int> reads{ 0 };
  std::atomic<int> readsAtTurn{ 0 };
  traffic_fixture fixture;
  channel_handlers handlers;
  handlers.mOnData = [&](std::string_view) {
    if (++reads == 1) {
      Post(fixture.mLoop, [&] { readsAtTurn = reads.load(); });
    }
    // The peer sends more meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  };
  const std::string address =
    "127.0.0.1:" +
    std::to_string(fixture.mServerAcceptor.local_endpoint().port());
  Post(fixture.mLoop,
       [&] { Connect(fixture.mLoop, address, channel_options{}, handlers); });
  tcp::socket server = fixture.mServerAcceptor.accept();
  const std::string block(std::size_t{ 1 } << 20, 'x');
  for (int i = 0; i < 8; ++i) {
    asio::write(server, asio::buffer(block));
  }
  BOOST_TEST(readsAtTurn > 0);
  BOOST_TEST(readsAtTurn <= kMaxReadsPerTurn);
}

// Sends a request to a sound server and returns the time until its response.
std::chrono::steady_clock::duration MeasureSoundRequest(
  traffic_fixture& aFixture)
{
  tcp::acceptor acceptor(aFixture.mIo, MakeLoopbackEndpoint(0));
  const auto start = std::chrono::steady_clock::now();
  tcp::socket caller = SendCallerBytes(aFixture, MakeRequest());
  dispatch_request dispatch =
    MakeDispatch(aFixture, AwaitEvent<caller_request>(aFixture).mHandle, 1,
                 call_kind::Idempotent);
  dispatch.mAddress =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  Post(aFixture.mLoop, [&aFixture, dispatch] {
    DispatchExchange(aFixture.mTraffic, dispatch);
  });
  AwaitReadable(acceptor);
  tcp::socket server = acceptor.accept();
  ReadUntil(server, "body");
  asio::write(server, asio::buffer(kResponseHead + kOkBody));
  ReadUntil(caller, "ok");
  return std::chrono::steady_clock::now() - start;
}

// Guards against servers whose bytes without end stop the requests of other
// callers.
BOOST_AUTO_TEST_CASE(sound_requests_are_answered_beside_endless_responses)
{
  // The time limits of callers are longer.
  constexpr auto kMaxTime = std::chrono::seconds(1);
  constexpr int kEndlessServers = 12;
  constexpr int kSoundRequests = 10;
  std::string tinyChunks;
  std::string comments;
  for (int i = 0; i < 1000; ++i) {
    tinyChunks += "1;x=" + std::string(1000, 'x') + "\r\ny\r\n";
    comments += ": x\n\n";
  }
  const std::string chunk = "4000\r\n" + std::string(16384, 'x') + "\r\n";
  const endless_case cases[] = {
    { "chunks with long extensions", call_kind::Idempotent,
      kResponseHead + kChunked, tinyChunks },
    { "comments", call_kind::Stream, kResponseHead + "\r\n", comments },
    { "body", call_kind::Idempotent, kResponseHead + kChunked, chunk },
  };
  for (const endless_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      std::vector<std::unique_ptr<endless_server>> servers;
      servers.reserve(kEndlessServers);
      for (int i = 0; i < kEndlessServers; ++i) {
        servers.push_back(std::make_unique<endless_server>(
          fixture, each.mKind, each.mStart, each.mRepeated));
      }
      for (int i = 0; i < kSoundRequests; ++i) {
        BOOST_TEST((MeasureSoundRequest(fixture) < kMaxTime));
      }
    }
  }
}

// Returns what the traffic layer holds, as seen on its thread.
std::size_t MeasureHeldBytes(traffic_fixture& aFixture)
{
  std::promise<std::size_t> measured;
  Post(aFixture.mLoop, [&aFixture, &measured] {
    measured.set_value(MeasureBufferedBytes(aFixture.mTraffic));
  });
  return measured.get_future().get();
}

// Guards against a process that runs out of memory although each connection
// keeps to its limit: the sum over all connections must be bounded too.
BOOST_AUTO_TEST_CASE(endless_responses_together_fill_no_more_than_their_memory)
{
  constexpr std::size_t kEndlessServers = 24;
  constexpr std::size_t kMaxBytes = 1 << 20;
  const std::string chunk = "4000\r\n" + std::string(16384, 'x') + "\r\n";
  const endless_case cases[] = {
    { "successes", call_kind::Idempotent, kResponseHead + kChunked, chunk },
    { "events", call_kind::Stream, kResponseHead + "\r\n",
      "data:" + std::string(16000, 'x') + "\n\n" },
  };
  for (const endless_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      fixture.mTraffic.mMaxBufferedBytes = kMaxBytes;
      std::vector<std::unique_ptr<endless_server>> servers;
      std::size_t held = 0;
      for (std::size_t i = 0; i < kEndlessServers; ++i) {
        servers.push_back(std::make_unique<endless_server>(
          fixture, each.mKind, each.mStart, each.mRepeated, false));
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        held = std::max(held, MeasureHeldBytes(fixture));
      }
      // Each exchange may hold its least and one read more on each side, and
      // the first of them their most.
      BOOST_TEST(held < kMaxBytes + kMaxHeldBytes + kMaxUnsentBytes +
                          kEndlessServers * 4 * kMinBufferedBytes);
      BOOST_TEST(held > kMaxBytes);
    }
  }
}

// Guards against callers whose bodies together fill the memory: they are told
// to come back, and small requests are served.
BOOST_AUTO_TEST_CASE(large_requests_are_refused_while_too_many_bytes_are_held)
{
  constexpr std::size_t kMaxBytes = 1 << 20;
  constexpr std::size_t kBodyBytes = 600 << 10;
  traffic_fixture fixture;
  fixture.mTraffic.mMaxBufferedBytes = kMaxBytes;
  const std::string head =
    "POST /p/1 HTTP/1.1\r\nHost: h\r\nFoxtailquay-Attempt-Id: a1\r\n"
    "Content-Length: " +
    std::to_string(2 * kBodyBytes) + "\r\n\r\n";
  const std::string half(kBodyBytes, 'x');
  tcp::socket first = SendCallerBytes(fixture, head + half);
  const auto end = std::chrono::steady_clock::now() + kMaxSendTime;
  while (MeasureHeldBytes(fixture) < kBodyBytes &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  tcp::socket second = SendCallerBytes(fixture, head + half);
  const std::string response = ReadUntil(second, "}");
  BOOST_TEST(response.find("HTTP/1.1 503") == 0U);
  BOOST_TEST(response.find("Retry-After") != std::string::npos);
  BOOST_TEST(response.find(R"("ran":"no")") != std::string::npos);
  tcp::socket small = SendCallerBytes(fixture, MakeRequest());
  AwaitEvent<caller_request>(fixture);
}

// A caller that does not read a response without end must not make the gateway
// buffer it.
BOOST_AUTO_TEST_CASE(an_endless_response_waits_for_its_caller)
{
  traffic_fixture fixture;
  tcp::socket caller = SendCallerBytes(fixture, MakeRequest());
  DispatchAttempt(fixture, AwaitEvent<caller_request>(fixture).mHandle, 1,
                  call_kind::Idempotent);
  tcp::socket server = fixture.mServerAcceptor.accept();
  ReadUntil(server, "body");
  const std::string block(16384, 'x');
  BOOST_TEST(SendEndlessly(server, kResponseHead + "\r\n", block) <
             kMaxAcceptedBytes);
}

struct request_case
{
  const char* mName;
  std::string mStart;
  std::string mRepeated;
  const char* mStatus;
};

// A caller that sends without end must get a response that it can read, and
// its connection must be closed.
BOOST_AUTO_TEST_CASE(a_caller_that_sends_without_end_is_refused)
{
  const std::string block(4096, 'x');
  const std::string start =
    "POST /p/1 HTTP/1.1\r\nHost: h\r\nFoxtailquay-Attempt-Id: a1\r\n";
  const request_case cases[] = {
    { "request line", "POST /", block, "431" },
    { "headers", start, "X-More: 1\r\n", "431" },
    { "one header", start + "X-More: ", block, "431" },
    { "body past the limit", start + kChunked, "1000\r\n" + block + "\r\n",
      "413" },
    { "length past the limit", start + "Content-Length: 99999999\r\n\r\n",
      block, "413" },
    { "chunk extension", start + kChunked + "4;", block, "4" },
    { "trailers", start + kChunked + "0\r\n", "X-More: 1\r\n", "4" },
    { "malformed chunk", start + kChunked + "zz\r\n", block, "400" },
  };
  for (const request_case& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      traffic_fixture fixture;
      tcp::socket caller = SendCallerBytes(fixture, each.mStart);
      BOOST_TEST(SendEndlessly(caller, "", each.mRepeated) < kMaxAcceptedBytes);
      caller.non_blocking(false);
      const std::string response = ReadUntil(caller, "}");
      const std::string expected = std::string("HTTP/1.1 ") + each.mStatus;
      BOOST_TEST(response.substr(0, expected.size()) == expected);
      BOOST_TEST(response.find("Connection: close") != std::string::npos);
      const std::lock_guard<std::mutex> lock(fixture.mMutex);
      BOOST_TEST(fixture.mEvents.empty());
    }
  }
}

} // namespace
} // namespace foxtailquay
