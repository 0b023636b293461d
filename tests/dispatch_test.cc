// Guards against a router that relays the response of another request, relays
// an incomplete response as complete, or reports a run as not executed although
// it may have been.

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

constexpr char kRequestId[] = "b/r1/1/7";

std::string MakeHeadFrame(int aNumber, const std::string& aRequest = kRequestId,
                          int aStatus = 200)
{
  return absl::StrCat(R"({"n":)", aNumber, R"(,"type":"head","request":")",
                      aRequest, R"(","status":)", aStatus,
                      R"(,"content_type":"text/plain"})", "\n");
}

std::string MakeTokenFrame(int aNumber)
{
  run_frame frame;
  frame.mNumber = static_cast<std::uint64_t>(aNumber);
  frame.mText = EncodeSseEvent(R"({"choices":[{"text":"x"}]})");
  return EncodeFrame(frame) + "\n";
}

std::string MakeEndFrame(int aNumber)
{
  return absl::StrCat(
    R"({"n":)", aNumber,
    R"(,"type":"end","prompt_tokens":3,"completion_tokens":2})", "\n");
}

std::string MakeBrokenFrame(int aNumber)
{
  return absl::StrCat(
    R"({"n":)", aNumber,
    R"(,"type":"broken","prompt_tokens":3,"completion_tokens":1,"error":)"
    R"({"code":"deadline_exceeded","ran":"unknown"}})",
    "\n");
}

// An agent that sends the same response to every run. With aComplete false, it
// does not end the response.
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
  // Calls of mOnAccepted.
  int mAccepted = 0;
  // Data frames that were relayed.
  int mData = 0;
};

dispatch_outcome CallAgent(const std::string& aAddress, backend_kind aKind)
{
  dispatch_action action;
  action.mHandle = 5;
  action.mAddress = aAddress;
  action.mRun.mRequest = GetValue(ParseRequestId(kRequestId));
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

// The alternatives of run_report, in their order.
enum class expected_report
{
  Refused,
  Finished,
  Failed,
};

struct response_case
{
  int mStatus;
  std::string mBody;
  bool mComplete;
  expected_report mReport;
  // Expected error of a failed run; unused otherwise.
  error_code mCode;
  executed mExecuted;
  // Expected number of relayed data frames.
  int mData;
};

BOOST_AUTO_TEST_CASE(responses_map_to_the_outcome_they_guarantee)
{
  using e = expected_report;
  using c = error_code;
  const std::string refusal =
    R"({"error":{"code":"stale_config","message":"m","ran":"no"}})";
  const std::string unclear =
    R"({"error":{"code":"internal","message":"m","ran":"unknown"}})";
  const response_case cases[] = {
    { 200,
      MakeHeadFrame(1) + MakeTokenFrame(2) + MakeEndFrame(3),
      true,
      e::Finished,
      {},
      {},
      1 },
    // The response is complete although the connection is closed early.
    { 200,
      MakeHeadFrame(1) + MakeTokenFrame(2) + MakeEndFrame(3),
      false,
      e::Finished,
      {},
      {},
      1 },
    { 200, MakeHeadFrame(1) + MakeTokenFrame(2) + MakeBrokenFrame(3), true,
      e::Failed, c::DeadlineExceeded, executed::Unknown, 1 },
    { 200, MakeBrokenFrame(1), true, e::Failed, c::DeadlineExceeded,
      executed::Unknown, 0 },
    { 200, MakeHeadFrame(1) + MakeTokenFrame(2), true, e::Failed,
      c::StreamBroken, executed::Unknown, 1 },
    { 200, "", true, e::Failed, c::StreamBroken, executed::Unknown, 0 },
    { 200, MakeHeadFrame(1) + MakeTokenFrame(3) + MakeEndFrame(4), true,
      e::Failed, c::ProtocolViolation, executed::Unknown, 0 },
    { 200,
      MakeHeadFrame(1) + MakeTokenFrame(2) + MakeTokenFrame(2) +
        MakeEndFrame(3),
      true, e::Failed, c::ProtocolViolation, executed::Unknown, 1 },
    { 200, MakeHeadFrame(1, "b/r1/1/8") + MakeTokenFrame(2) + MakeEndFrame(3),
      true, e::Failed, c::ProtocolViolation, executed::Unknown, 0 },
    { 200, MakeTokenFrame(1) + MakeEndFrame(2), true, e::Failed,
      c::ProtocolViolation, executed::Unknown, 0 },
    { 200, MakeHeadFrame(1) + MakeEndFrame(2) + MakeTokenFrame(3), true,
      e::Failed, c::ProtocolViolation, executed::Unknown, 0 },
    { 200, "garbage\n", true, e::Failed, c::ProtocolViolation,
      executed::Unknown, 0 },
    { 409, refusal, true, e::Refused, c::StaleConfig, executed::No, 0 },
    // A run counts as not executed only if the agent reports so.
    { 500, unclear, true, e::Failed, c::ProtocolViolation, executed::Unknown,
      0 },
    { 502, "<html>", true, e::Failed, c::ProtocolViolation, executed::Unknown,
      0 },
  };
  for (const response_case& response : cases) {
    const fake_agent agent(response.mStatus, response.mBody,
                           response.mComplete);
    const dispatch_outcome outcome =
      CallAgent(agent.mAddress, backend_kind::Engine);
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

BOOST_AUTO_TEST_CASE(finished_run_reports_usage_of_the_agent)
{
  const fake_agent agent(
    200, MakeHeadFrame(1) + MakeTokenFrame(2) + MakeEndFrame(3), true);
  const auto outcome = CallAgent(agent.mAddress, backend_kind::Engine);
  const auto& finished = std::get<run_finished_event>(outcome.mReport);
  BOOST_TEST(finished.mHandle == 5u);
  BOOST_TEST(ToString(finished.mRequest) == kRequestId);
  BOOST_TEST(finished.mUsage.mPromptTokens == 3);
  BOOST_TEST(finished.mUsage.mCompletionTokens == 2);
}

// If the connection to the agent is lost, the usage is the number of tokens
// that the router received.
BOOST_AUTO_TEST_CASE(interrupted_run_reports_usage_counted_by_the_router)
{
  const fake_agent agent(
    200, MakeHeadFrame(1) + MakeTokenFrame(2) + MakeTokenFrame(3), false);
  const auto outcome = CallAgent(agent.mAddress, backend_kind::Engine);
  BOOST_TEST(
    std::get<run_failed_event>(outcome.mReport).mUsage.mCompletionTokens == 2);
}

BOOST_AUTO_TEST_CASE(service_response_is_kept_complete)
{
  const std::string data = R"({"n":2,"type":"data","text_base64":"/wA="})"
                           "\n"
                           R"({"n":3,"type":"data","text":"tail"})"
                           "\n";
  const fake_agent agent(
    200, MakeHeadFrame(1, kRequestId, 201) + data + MakeEndFrame(4), true);
  const auto outcome = CallAgent(agent.mAddress, backend_kind::Service);
  const auto& response =
    std::get<run_finished_event>(outcome.mReport).mResponse;
  BOOST_TEST(response.mStatus == 201);
  BOOST_TEST(response.mContentType == "text/plain");
  BOOST_TEST(response.mBody == std::string("\xff\0tail", 6));
}

BOOST_AUTO_TEST_CASE(unreachable_agent_is_reported_as_refused)
{
  std::string address;
  {
    const fake_agent closed(200, "", true);
    address = closed.mAddress;
  }
  const auto outcome = CallAgent(address, backend_kind::Engine);
  const auto& refused = std::get<run_refused_event>(outcome.mReport);
  BOOST_TEST((refused.mError.mCode == error_code::PeerUnreachable));
  BOOST_TEST((refused.mError.mExecuted == executed::No));
}

BOOST_AUTO_TEST_CASE(oversized_frame_is_rejected)
{
  line_splitter splitter;
  BOOST_TEST(!IsOk(TakeLines(splitter, std::string(kMaxFrameBytes + 1, 'x'))));
}

} // namespace
} // namespace foxtailquay
