// Guards against an agent that reports a broken answer as whole, relays more
// than was reserved, or waits for a backend server for ever.

#define BOOST_TEST_MODULE engine_client
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "runtime/clock.h"
#include "wire/engine_client.h"
#include "wire/http_server.h"
#include "wire/sse.h"

namespace foxtailquay {
namespace {

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

http_handler Streams(const std::vector<std::string>& aEvents,
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

http_handler Replies(int aStatus, const std::string& aBody)
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

relayed_run RunOn(const engine_options& aOptions,
                  backend_kind aKind = backend_kind::Engine,
                  absl::Duration aTimeout = absl::Seconds(20),
                  std::size_t aRouterLeavesAfter = 1000)
{
  run_request run;
  run.mRequest = GetValue(ParseRequestId("b/r1/1/7"));
  run.mKind = aKind;
  run.mMethod = "POST";
  run.mPath = "/v1/completions";
  run.mBody = R"({"model":"m","prompt":"abcd"})";
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
      return relayed.mFrames.size() < aRouterLeavesAfter;
    });
  StopTimer(timer);
  return relayed;
}

BOOST_AUTO_TEST_CASE(a_whole_stream_is_relayed_event_by_event)
{
  const fake_backend backend(
    Streams({ kToken, kToken, kUsage, std::string(kSseDone) }));
  const relayed_run run = RunOn(backend.mOptions);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST((run.mOutcome.mLast.mType == frame_type::End));
  BOOST_TEST(run.mOutcome.mUsage.mPromptTokens == 4);
  BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens == 2);
  BOOST_REQUIRE(run.mFrames.size() == 4u);
  BOOST_TEST((run.mFrames[0].mType == frame_type::Head));
  BOOST_TEST(run.mFrames[0].mRequest == "b/r1/1/7");
  BOOST_TEST(run.mFrames[1].mText == EncodeSseEvent(kToken));
}

struct broken_case
{
  const char* mName;
  http_handler mHandler;
  error_code mCode;
  token_count mCompletionTokens;
};

BOOST_AUTO_TEST_CASE(an_answer_without_its_end_is_broken)
{
  const broken_case cases[] = {
    { "no [DONE]", Streams({ kToken }), error_code::BackendServerFailed, 1 },
    { "error event", Streams({ kToken, R"({"error":{}})", "[DONE]" }),
      error_code::BackendServerFailed, 1 },
    { "not JSON", Streams({ kToken, "x", "[DONE]" }),
      error_code::BackendServerFailed, 1 },
    { "not a stream", Streams({ kToken, "[DONE]" }, "application/json"),
      error_code::BackendServerFailed, 0 },
    { "status 500", Replies(500, "{}"), error_code::BackendServerFailed, 0 },
    { "status 429", Replies(429, "{}"), error_code::BackendServerFailed, 0 },
  };
  for (const broken_case& broken : cases) {
    const fake_backend backend(broken.mHandler);
    const relayed_run run = RunOn(backend.mOptions);
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

// What is relayed beyond the cap was not reserved.
BOOST_AUTO_TEST_CASE(an_engine_that_ignores_the_cap_is_cut_off)
{
  const fake_backend backend(
    Streams({ kToken, kToken, kToken, kToken, kToken, std::string(kSseDone) }));
  const relayed_run run = RunOn(backend.mOptions);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens == 3);
  BOOST_REQUIRE(run.mFrames.size() == 5u);
  BOOST_TEST(run.mFrames[4].mText.find("\"finish_reason\":\"length\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_engines_refusal_is_passed_on)
{
  const fake_backend backend(Replies(400, R"({"error":"bad"})"));
  const relayed_run run = RunOn(backend.mOptions);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST(run.mFrames[0].mStatus == 400);
  BOOST_TEST(run.mFrames[1].mText == R"({"error":"bad"})");
  BOOST_TEST(run.mOutcome.mUsage.mPromptTokens == 0);
}

BOOST_AUTO_TEST_CASE(a_service_answers_with_any_status)
{
  const fake_backend backend(Replies(503, "busy"));
  const relayed_run run = RunOn(backend.mOptions, backend_kind::Service);
  BOOST_TEST(run.mOutcome.mComplete);
  BOOST_TEST(run.mFrames[0].mStatus == 503);
  BOOST_TEST(run.mFrames[1].mText == "busy");
}

http_handler WaitsForDisconnect(bool aBegins)
{
  return
    [aBegins](const http_request&,
              http_connection& aConnection) -> std::optional<http_response> {
      absl::Notification gone;
      WatchClient(aConnection, [&gone] { gone.Notify(); });
      if (aBegins) {
        BeginStream(aConnection, 200, "text/event-stream", {});
        WriteStream(aConnection, EncodeSseEvent(kToken));
      }
      gone.WaitForNotification();
      return MakeErrorResponse({});
    };
}

BOOST_AUTO_TEST_CASE(a_run_ends_at_its_deadline)
{
  for (const bool begins : { false, true }) {
    const fake_backend backend(WaitsForDisconnect(begins));
    const relayed_run run =
      RunOn(backend.mOptions, backend_kind::Engine, absl::Milliseconds(100));
    BOOST_TEST(!run.mOutcome.mComplete);
    BOOST_TEST(
      (run.mOutcome.mLast.mError.mCode == error_code::DeadlineExceeded));
    BOOST_TEST(run.mOutcome.mUsage.mCompletionTokens == (begins ? 1 : 0));
  }
}

// The engine must stop generating when nobody reads its answer.
BOOST_AUTO_TEST_CASE(a_run_whose_router_left_closes_the_connection)
{
  const fake_backend backend(WaitsForDisconnect(true));
  const relayed_run run =
    RunOn(backend.mOptions, backend_kind::Engine, absl::Seconds(60), 2);
  BOOST_TEST(!run.mOutcome.mComplete);
  BOOST_TEST(run.mFrames.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_backend_that_is_not_there_has_not_run)
{
  engine_options closed;
  {
    const fake_backend backend(Replies(200, ""));
    closed = backend.mOptions;
  }
  const relayed_run run = RunOn(closed);
  BOOST_TEST(!run.mOutcome.mComplete);
  BOOST_TEST((run.mOutcome.mLast.mError.mExecuted == executed::No));
  BOOST_TEST(!ReadLoad(closed).has_value());
  const auto command = SendCommand(closed, 1, "load m");
  BOOST_REQUIRE(!IsOk(command));
  BOOST_TEST((GetError(command).mExecuted == executed::No));
}

BOOST_AUTO_TEST_CASE(load_reports_may_leave_out_lists)
{
  const auto whole = ParseLoad(
    R"({"running":2,"queued":1,"cached_prefixes":[18446744073709551615,"7",-1],
        "loaded_models":["m",5]})");
  BOOST_REQUIRE(IsOk(whole));
  BOOST_TEST(GetValue(whole).mRunning == 2);
  BOOST_TEST((GetValue(whole).mCachedPrefixes ==
              std::vector<std::uint64_t>{ 18446744073709551615u, 7 }));
  BOOST_TEST(GetValue(whole).mLoadedModels.size() == 1u);
  BOOST_TEST(IsOk(ParseLoad(R"({"running":0,"queued":0})")));
  for (const char* bad : { "", "[]", "{}", R"({"running":"x","queued":0})" }) {
    BOOST_TEST(!IsOk(ParseLoad(bad)), bad);
  }
}

BOOST_AUTO_TEST_CASE(an_old_fencing_number_is_told_apart)
{
  const fake_backend backend(Replies(409, "{}"));
  const auto refused = SendCommand(backend.mOptions, 1, "load m");
  BOOST_REQUIRE(!IsOk(refused));
  BOOST_TEST((GetError(refused).mCode == error_code::StaleFence));
}

} // namespace
} // namespace foxtailquay
