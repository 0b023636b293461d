// Guards against an agent that reports an interrupted response as complete,
// relays more tokens than were reserved, or waits for a backend server without
// limit. The backend server is a fake HTTP server in the test's process.

#define BOOST_TEST_MODULE engine_client
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "runtime/clock.h"
#include "wire/engine_client.h"
#include "wire/http_server.h"
#include "wire/sse.h"

namespace foxtailquay {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr char kToken[] = R"({"choices":[{"text":"x"}]})";
constexpr char kUsage[] =
  R"({"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2}})";

struct fake_backend
{
  explicit fake_backend(http_handler aHandler)
  {
    http_server_options options;
    options.mIp = "127.0.0.1";
    mServer = MakeHttpServer(options, std::move(aHandler));
    const auto started = StartServer(*mServer);
    BOOST_REQUIRE(IsOk(started));
    mOptions.mAddress = absl::StrCat("127.0.0.1:", GetValue(started));
  }
  ~fake_backend() { StopServer(*mServer); }

  http_server_ptr mServer;
  engine_options mOptions;
};

http_handler MakeStreamHandler(
  const std::vector<std::string>& aEvents,
  const std::string& aContentType = "text/event-stream")
{
  return [aEvents, aContentType](
           const http_request&,
           http_connection& aConnection) -> std::optional<http_response> {
    BeginStream(aConnection, 200, aContentType, {});
    for (const std::string& event : aEvents) {
      WriteStream(aConnection, EncodeSseEvent(event));
    }
    EndStream(aConnection);
    return std::nullopt;
  };
}

http_handler MakeResponseHandler(int aStatus, const std::string& aBody)
{
  return [aStatus, aBody](const http_request&, http_connection&) {
    http_response response;
    response.mStatus = aStatus;
    response.mBody = aBody;
    return response;
  };
}

struct relayed_run
{
  run_outcome mOutcome;
  std::vector<run_frame> mFrames;
};

relayed_run CallFakeBackend(
  const engine_options& aOptions, backend_kind aKind = backend_kind::Engine,
  absl::Duration aTimeout = absl::Seconds(20),
  std::size_t aDisconnectAfterFrames = 1000,
  const std::string& aBody = R"({"model":"m","prompt":"abcd"})")
{
  run_request run;
  run.mRequest = GetValue(ParseRequestId("b/r1/1/7"));
  run.mKind = aKind;
  run.mMethod = "POST";
  run.mPath = "/v1/completions";
  run.mBody = aBody;
  run.mMaxTokens = 3;
  run.mMaxPromptTokens = 8;
  run.mTimeout = aTimeout;
  timer timer;
  BOOST_REQUIRE(IsOk(StartTimer(timer)));
  call_stopper stopper;
  relayed_run relayed;
  relayed.mOutcome =
    CallBackend(aOptions, run, timer, stopper, [&](run_frame aFrame) {
      relayed.mFrames.push_back(std::move(aFrame));
      return relayed.mFrames.size() < aDisconnectAfterFrames;
    });
  StopTimer(timer);
  return relayed;
}

BOOST_AUTO_TEST_CASE(a_complete_stream_is_relayed_event_by_event)
{
  const fake_backend backend(
    MakeStreamHandler({ kToken, kToken, kUsage, std::string(kSseDone) }));
  const relayed_run run = CallFakeBackend(backend.mOptions);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST((run.mOutcome.mLast.mType == frame_type::End));
  BOOST_TEST(run.mOutcome.mUsage.mPromptTokens == 4);
  BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens == 2);
  BOOST_REQUIRE(run.mFrames.size() == 4u);
  BOOST_TEST((run.mFrames[0].mType == frame_type::Head));
  BOOST_TEST(run.mFrames[0].mRequest == "b/r1/1/7");
  BOOST_TEST(run.mFrames[1].mText == EncodeSseEvent(kToken));
}

struct interrupted_case
{
  const char* mName;
  http_handler mHandler;
  error_code mCode;
  token_count mCompletionTokens;
};

BOOST_AUTO_TEST_CASE(an_incomplete_response_is_reported_as_broken)
{
  const interrupted_case cases[] = {
    { "no [DONE]", MakeStreamHandler({ kToken }),
      error_code::BackendServerFailed, 1 },
    { "error event", MakeStreamHandler({ kToken, R"({"error":{}})", "[DONE]" }),
      error_code::BackendServerFailed, 1 },
    { "not JSON", MakeStreamHandler({ kToken, "x", "[DONE]" }),
      error_code::BackendServerFailed, 1 },
    { "not a stream",
      MakeStreamHandler({ kToken, "[DONE]" }, "application/json"),
      error_code::BackendServerFailed, 0 },
    { "status 500", MakeResponseHandler(500, "{}"),
      error_code::BackendServerFailed, 0 },
    { "status 429", MakeResponseHandler(429, "{}"),
      error_code::BackendServerFailed, 0 },
  };
  for (const interrupted_case& broken : cases) {
    const fake_backend backend(broken.mHandler);
    const relayed_run run = CallFakeBackend(backend.mOptions);
    BOOST_TEST_CONTEXT(broken.mName)
    {
      BOOST_TEST(!run.mOutcome.mComplete);
      BOOST_TEST((run.mOutcome.mLast.mType == frame_type::Broken));
      BOOST_TEST((run.mOutcome.mLast.mError.mCode == broken.mCode));
      BOOST_TEST((run.mOutcome.mLast.mError.mExecuted == executed::Unknown));
      BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens ==
                 broken.mCompletionTokens);
    }
  }
}

// Tokens above the limit were not reserved and must not be relayed.
BOOST_AUTO_TEST_CASE(a_response_above_the_token_limit_is_cut_off)
{
  const fake_backend backend(MakeStreamHandler(
    { kToken, kToken, kToken, kToken, kToken, std::string(kSseDone) }));
  const relayed_run run = CallFakeBackend(backend.mOptions);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens == 3);
  BOOST_REQUIRE(run.mFrames.size() == 5u);
  BOOST_TEST(run.mFrames[4].mText.find("\"finish_reason\":\"length\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_client_error_of_an_engine_is_relayed)
{
  const fake_backend backend(MakeResponseHandler(400, R"({"error":"bad"})"));
  const relayed_run run = CallFakeBackend(backend.mOptions);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST(run.mFrames[0].mStatus == 400);
  BOOST_TEST(run.mFrames[1].mText == R"({"error":"bad"})");
  BOOST_TEST(run.mOutcome.mUsage.mPromptTokens == 0);
}

BOOST_AUTO_TEST_CASE(a_service_response_of_any_status_is_relayed)
{
  const fake_backend backend(MakeResponseHandler(503, "busy"));
  const relayed_run run =
    CallFakeBackend(backend.mOptions, backend_kind::Service);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST(run.mFrames[0].mStatus == 503);
  BOOST_TEST(run.mFrames[1].mText == "busy");
}

http_handler MakeAwaitDisconnectHandler(bool aStartsStream)
{
  return [aStartsStream](
           const http_request&,
           http_connection& aConnection) -> std::optional<http_response> {
    absl::Notification disconnected;
    WatchClient(aConnection, [&disconnected] { disconnected.Notify(); });
    if (aStartsStream) {
      BeginStream(aConnection, 200, "text/event-stream", {});
      WriteStream(aConnection, EncodeSseEvent(kToken));
    }
    disconnected.WaitForNotification();
    return MakeErrorResponse({});
  };
}

BOOST_AUTO_TEST_CASE(a_run_ends_at_its_deadline)
{
  for (const bool startsStream : { false, true }) {
    const fake_backend backend(MakeAwaitDisconnectHandler(startsStream));
    const relayed_run run = CallFakeBackend(
      backend.mOptions, backend_kind::Engine, absl::Milliseconds(100));
    BOOST_TEST(!run.mOutcome.mComplete);
    BOOST_TEST(
      (run.mOutcome.mLast.mError.mCode == error_code::DeadlineExceeded));
    BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens == (startsStream ? 1 : 0));
  }
}

// The engine must stop generating if no router reads its response.
BOOST_AUTO_TEST_CASE(a_run_stops_if_its_router_disconnects)
{
  const fake_backend backend(MakeAwaitDisconnectHandler(true));
  const relayed_run run = CallFakeBackend(
    backend.mOptions, backend_kind::Engine, absl::Seconds(60), 2);
  BOOST_TEST(!run.mOutcome.mComplete);
  BOOST_TEST(run.mFrames.size() == 2u);
}

BOOST_AUTO_TEST_CASE(an_unreachable_backend_server_has_not_executed_the_run)
{
  engine_options closed;
  {
    const fake_backend backend(MakeResponseHandler(200, ""));
    closed = backend.mOptions;
  }
  const relayed_run run = CallFakeBackend(closed);
  BOOST_TEST(!run.mOutcome.mComplete);
  BOOST_TEST((run.mOutcome.mLast.mError.mExecuted == executed::No));
  BOOST_TEST(!ReadLoad(closed).has_value());
  const auto command = SendCommand(closed, 1, "load m");
  BOOST_REQUIRE(!IsOk(command));
  BOOST_TEST((GetError(command).mExecuted == executed::No));
}

BOOST_AUTO_TEST_CASE(lists_of_a_load_report_are_optional)
{
  const auto complete = ParseLoad(
    R"({"running":2,"queued":1,"cached_prefixes":[18446744073709551615,"7",-1],
        "loaded_models":["m",5]})");
  BOOST_REQUIRE(IsOk(complete));
  BOOST_TEST(GetValue(complete).mRunning == 2);
  BOOST_TEST((GetValue(complete).mCachedPrefixes ==
              std::vector<std::uint64_t>{ 18446744073709551615u, 7 }));
  BOOST_TEST(GetValue(complete).mLoadedModels.size() == 1u);
  BOOST_TEST(IsOk(ParseLoad(R"({"running":0,"queued":0})")));
  for (const char* bad : { "", "[]", "{}", R"({"running":"x","queued":0})" }) {
    BOOST_TEST(!IsOk(ParseLoad(bad)), bad);
  }
}

BOOST_AUTO_TEST_CASE(a_stale_fencing_number_has_its_own_error)
{
  const fake_backend backend(MakeResponseHandler(409, "{}"));
  const auto rejected = SendCommand(backend.mOptions, 1, "load m");
  BOOST_REQUIRE(!IsOk(rejected));
  BOOST_TEST((GetError(rejected).mCode == error_code::StaleFence));
}

// A server that reads one header section, sends some bytes and resets the
// connection after a pause.
struct scripted_backend
{
  scripted_backend(const std::string& aBytes, std::chrono::milliseconds aPause)
    : mThread([this, aBytes, aPause] {
      tcp::socket socket = mAcceptor.accept();
      std::string received;
      asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
      asio::write(socket, asio::buffer(aBytes));
      std::this_thread::sleep_for(aPause);
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    })
  {
    mOptions.mAddress =
      absl::StrCat("127.0.0.1:", mAcceptor.local_endpoint().port());
  }
  ~scripted_backend() { mThread.join(); }

  asio::io_context mIo;
  tcp::acceptor mAcceptor{ mIo, { asio::ip::address_v4::loopback(), 0 } };
  engine_options mOptions;
  std::thread mThread;
};

// A status outside 200 to 599 is no final status of HTTP. It must not reach the
// caller as the response of a service.
BOOST_AUTO_TEST_CASE(a_status_that_is_not_final_is_no_response)
{
  for (const char* status : { "000", "099", "103", "600", "999" }) {
    for (const backend_kind kind :
         { backend_kind::Engine, backend_kind::Service }) {
      BOOST_TEST_CONTEXT(ToName(kind) << ", status " << status)
      {
        const scripted_backend backend(std::string("HTTP/1.1 ") + status +
                                         " Odd\r\nContent-Length: 2\r\n\r\nok",
                                       std::chrono::milliseconds(50));
        const relayed_run run = CallFakeBackend(backend.mOptions, kind);
        BOOST_TEST(!run.mOutcome.mComplete);
        BOOST_TEST(run.mFrames.empty());
      }
    }
  }
}

// A service that responds while a long body is still being sent, and resets the
// connection, has sent a part of its response only.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_during_an_upload_is_incomplete)
{
  for (const int pauseMs : { 0, 20, 500 }) {
    BOOST_TEST_CONTEXT("reset after " << pauseMs << " ms")
    {
      const scripted_backend backend("HTTP/1.1 200 OK\r\n\r\npart",
                                     std::chrono::milliseconds(pauseMs));
      const relayed_run run =
        CallFakeBackend(backend.mOptions, backend_kind::Service,
                        absl::Seconds(20), 1000, std::string(4 << 20, 'u'));
      BOOST_TEST(!run.mOutcome.mComplete);
      BOOST_TEST((run.mOutcome.mLast.mType == frame_type::Broken));
    }
  }
}

} // namespace
} // namespace foxtailquay
