// Guards against a router that passes on another request's response or a part
// of one, and that reports a run as not run although it may have.

#define BOOST_TEST_MODULE dispatch
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "wire/completion.h"
#include "wire/dispatch_client.h"
#include "wire/frame_check.h"
#include "wire/http_server.h"
#include "wire/sse.h"

namespace foxtailquay {
namespace {

constexpr char kRun[] = "b/r1/1/7";

std::string Head(int aNumber, const std::string& aRequest = kRun,
                 int aStatus = 200)
{
  return absl::StrCat(R"({"n":)", aNumber, R"(,"type":"head","request":")",
                      aRequest, R"(","status":)", aStatus,
                      R"(,"content_type":"text/plain"})", "\n");
}

std::string Token(int aNumber)
{
  run_frame frame;
  frame.mNumber = static_cast<std::uint64_t>(aNumber);
  frame.mText = SseEvent(R"({"choices":[{"text":"x"}]})");
  return EncodeFrame(frame) + "\n";
}

std::string End(int aNumber)
{
  return absl::StrCat(
    R"({"n":)", aNumber,
    R"(,"type":"end","prompt_tokens":3,"completion_tokens":2})", "\n");
}

std::string Broken(int aNumber)
{
  return absl::StrCat(
    R"({"n":)", aNumber,
    R"(,"type":"broken","prompt_tokens":3,"completion_tokens":1,"error":)"
    R"({"code":"deadline_exceeded","ran":"unknown"}})",
    "\n");
}

// An agent that answers every run with the same bytes.
struct fake_agent
{
  explicit fake_agent(int aStatus, const std::string& aBody, bool aComplete)
  {
    http_server_options options;
    options.mIp = "127.0.0.1";
    mServer = MakeHttpServer(
      options,
      [aStatus, aBody, aComplete](
        const http_request&,
        http_connection& aConnection) -> std::optional<http_response> {
        BeginStream(aConnection, aStatus, "application/x-ndjson", {});
        WriteStream(aConnection, aBody);
        if (aComplete) {
          EndStream(aConnection);
        }
        return std::nullopt;
      });
    const auto started = StartServer(*mServer);
    BOOST_REQUIRE(IsOk(started));
    mAddress = absl::StrCat("127.0.0.1:", GetValue(started));
  }
  ~fake_agent() { StopServer(*mServer); }

  http_server_ptr mServer;
  std::string mAddress;
};

struct dispatch_outcome
{
  run_report mReport;
  int mAccepted = 0;
  int mData = 0;
};

dispatch_outcome DispatchTo(const std::string& aAddress, backend_kind aKind)
{
  dispatch_action action;
  action.mHandle = 5;
  action.mAddress = aAddress;
  action.mRun.mRequest = GetValue(ParseRequestId(kRun));
  action.mRun.mKind = aKind;
  action.mRun.mTimeout = absl::Seconds(20);
  action.mRun.mMaxTokens = 10;
  action.mRun.mMaxPromptTokens = 10;
  dispatch_outcome outcome;
  run_observer observer;
  observer.mOnAccepted = [&outcome] { ++outcome.mAccepted; };
  observer.mOnHead = [](const run_frame&) {};
  observer.mOnData = [&outcome](const run_frame&, const Json::Value&) {
    ++outcome.mData;
  };
  call_stopper stopper;
  outcome.mReport = PerformDispatch(action, {}, stopper, observer);
  return outcome;
}

enum class expected_report
{
  Refused,
  Finished,
  Failed,
};

struct answer_case
{
  int mStatus;
  std::string mBody;
  bool mComplete;
  expected_report mReport;
  // Of a failure.
  error_code mCode;
  executed mExecuted;
  // Data frames that may be passed on.
  int mData;
};

BOOST_AUTO_TEST_CASE(each_answer_is_reported_for_what_it_proves)
{
  using e = expected_report;
  using c = error_code;
  const std::string refusal =
    R"({"error":{"code":"stale_config","message":"m","ran":"no"}})";
  const std::string unclear =
    R"({"error":{"code":"internal","message":"m","ran":"unknown"}})";
  const answer_case cases[] = {
    { 200, Head(1) + Token(2) + End(3), true, e::Finished, {}, {}, 1 },
    // The response was complete; only its connection was not.
    { 200, Head(1) + Token(2) + End(3), false, e::Finished, {}, {}, 1 },
    { 200, Head(1) + Token(2) + Broken(3), true, e::Failed, c::DeadlineExceeded,
      executed::Unknown, 1 },
    { 200, Broken(1), true, e::Failed, c::DeadlineExceeded, executed::Unknown,
      0 },
    { 200, Head(1) + Token(2), true, e::Failed, c::StreamBroken,
      executed::Unknown, 1 },
    { 200, "", true, e::Failed, c::StreamBroken, executed::Unknown, 0 },
    { 200, Head(1) + Token(3) + End(4), true, e::Failed, c::ProtocolViolation,
      executed::Unknown, 0 },
    { 200, Head(1) + Token(2) + Token(2) + End(3), true, e::Failed,
      c::ProtocolViolation, executed::Unknown, 1 },
    { 200, Head(1, "b/r1/1/8") + Token(2) + End(3), true, e::Failed,
      c::ProtocolViolation, executed::Unknown, 0 },
    { 200, Token(1) + End(2), true, e::Failed, c::ProtocolViolation,
      executed::Unknown, 0 },
    { 200, Head(1) + End(2) + Token(3), true, e::Failed, c::ProtocolViolation,
      executed::Unknown, 0 },
    { 200, "garbage\n", true, e::Failed, c::ProtocolViolation,
      executed::Unknown, 0 },
    { 409, refusal, true, e::Refused, c::StaleConfig, executed::No, 0 },
    // Only an agent that says so has not run the request.
    { 500, unclear, true, e::Failed, c::ProtocolViolation, executed::Unknown,
      0 },
    { 502, "<html>", true, e::Failed, c::ProtocolViolation, executed::Unknown,
      0 },
  };
  for (const answer_case& response : cases) {
    const fake_agent agent(response.mStatus, response.mBody,
                           response.mComplete);
    const dispatch_outcome outcome =
      DispatchTo(agent.mAddress, backend_kind::Engine);
    BOOST_TEST_CONTEXT(response.mStatus << " " << response.mBody)
    {
      BOOST_TEST(outcome.mReport.index() ==
                 static_cast<std::size_t>(response.mReport));
      BOOST_TEST(outcome.mData == response.mData);
      BOOST_TEST(outcome.mAccepted == (response.mStatus == 200 ? 1 : 0));
      if (const auto* failed =
            std::get_if<run_failed_event>(&outcome.mReport)) {
        BOOST_TEST((failed->mError.mCode == response.mCode));
        BOOST_TEST((failed->mError.mExecuted == response.mExecuted));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_finished_run_has_the_agents_usage)
{
  const fake_agent agent(200, Head(1) + Token(2) + End(3), true);
  const auto outcome = DispatchTo(agent.mAddress, backend_kind::Engine);
  const auto& finished = std::get<run_finished_event>(outcome.mReport);
  BOOST_TEST(finished.mHandle == 5u);
  BOOST_TEST(ToString(finished.mRequest) == kRun);
  BOOST_TEST(finished.mUsage.mPromptTokens == 3);
  BOOST_TEST(finished.mUsage.mCompletionTokens == 2);
}

// The usage of a run whose agent is lost is what the router saw.
BOOST_AUTO_TEST_CASE(a_broken_run_has_the_routers_own_count)
{
  const fake_agent agent(200, Head(1) + Token(2) + Token(3), false);
  const auto outcome = DispatchTo(agent.mAddress, backend_kind::Engine);
  BOOST_TEST(
    std::get<run_failed_event>(outcome.mReport).mUsage.mCompletionTokens == 2);
}

BOOST_AUTO_TEST_CASE(a_service_answer_is_kept_whole)
{
  const std::string data = R"({"n":2,"type":"data","text_base64":"/wA="})"
                           "\n"
                           R"({"n":3,"type":"data","text":"tail"})"
                           "\n";
  const fake_agent agent(200, Head(1, kRun, 201) + data + End(4), true);
  const auto outcome = DispatchTo(agent.mAddress, backend_kind::Service);
  const auto& response =
    std::get<run_finished_event>(outcome.mReport).mResponse;
  BOOST_TEST(response.mStatus == 201);
  BOOST_TEST(response.mContentType == "text/plain");
  BOOST_TEST(response.mBody == std::string("\xff\0tail", 6));
}

BOOST_AUTO_TEST_CASE(an_agent_that_is_not_there_refuses)
{
  std::string address;
  {
    const fake_agent closed(200, "", true);
    address = closed.mAddress;
  }
  const auto outcome = DispatchTo(address, backend_kind::Engine);
  const auto& refused = std::get<run_refused_event>(outcome.mReport);
  BOOST_TEST((refused.mError.mCode == error_code::PeerUnreachable));
  BOOST_TEST((refused.mError.mExecuted == executed::No));
}

BOOST_AUTO_TEST_CASE(an_endless_frame_is_refused)
{
  line_splitter splitter;
  BOOST_TEST(!IsOk(TakeLines(splitter, std::string(kMaxFrameBytes + 1, 'x'))));
}

} // namespace
} // namespace foxtailquay
