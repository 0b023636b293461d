#include "wire/agent_front.h"

#include <utility>

#include "runtime/log.h"
#include "wire/document_codec.h"
#include "wire/json_fields.h"
#include "wire/peer_front.h"
#include "wire/run_codec.h"

namespace foxtailquay {

namespace {

struct command_body
{
  std::uint64_t mFencingNumber = 0;
  std::string mCommand;
};

constexpr auto ListFields(const command_body*)
{
  return std::make_tuple(
    Required("fencing_number", &command_body::mFencingNumber),
    Required("command", &command_body::mCommand));
}

// Numbers a frame and sends it. Returns false if the router has disconnected.
bool SendFrame(http_connection& aConnection, std::uint64_t& aNumber,
               run_frame aFrame)
{
  aFrame.mNumber = ++aNumber;
  return WriteStream(aConnection, EncodeFrame(aFrame) + "\n");
}

void LogRun(const run_request& aRun, const run_outcome& aOutcome)
{
  Log(log_component::Agent,
      aOutcome.mComplete ? log_level::Info : log_level::Warn,
      aOutcome.mComplete ? log_event::RunFinished : log_event::RunFailed,
      { { "run", ToString(aRun.mRequest) },
        { "target", aRun.mTarget },
        { "prompt_tokens", std::to_string(aOutcome.mUsage.mPromptTokens) },
        { "completion_tokens",
          std::to_string(aOutcome.mUsage.mCompletionTokens) },
        { "error",
          aOutcome.mComplete ? "none" : ToString(aOutcome.mLast.mError) } });
}

void IncrementRunCounters(metrics& aMetrics, const run_outcome& aOutcome)
{
  IncrementCounter(aMetrics, aOutcome.mComplete ? counter::RunsFinished
                                                : counter::RunsFailed);
  IncrementCounter(aMetrics, counter::PromptTokens,
                   static_cast<std::uint64_t>(aOutcome.mUsage.mPromptTokens));
  IncrementCounter(
    aMetrics, counter::CompletionTokens,
    static_cast<std::uint64_t>(aOutcome.mUsage.mCompletionTokens));
}

void PerformRun(agent_front& aFront, const start_run_action& aAction,
                agent_run& aRun, http_connection& aConnection)
{
  std::uint64_t number = 0;
  if (!BeginStream(aConnection, 200, "application/x-ndjson", {})) {
    Stop(aRun.mStopper);
  }
  const run_outcome outcome =
    CallBackend(aFront.mEngine, aAction.mRun, aFront.mTimer, aRun.mStopper,
                [&aConnection, &number](run_frame aFrame) {
                  return SendFrame(aConnection, number, std::move(aFrame));
                });
  LogRun(aAction.mRun, outcome);
  IncrementRunCounters(*aFront.mLink.mMetrics, outcome);
  // Posted before the last frame is sent: the router may acknowledge the usage
  // when it receives that frame, and the usage record must exist by then.
  (void)PostEvent(
    aFront.mLink,
    run_ended_event{ aAction.mHandle, outcome.mUsage, outcome.mComplete },
    event_class::Conclusion);
  SendFrame(aConnection, number, outcome.mLast);
  EndStream(aConnection);
}

} // namespace

std::optional<http_response> HandleRunRequest(agent_front& aFront,
                                              const http_request& aRequest,
                                              http_connection& aConnection)
{
  if (!HasPeerKey(aFront.mPeerKey, aRequest)) {
    return MakePeerUnauthorizedResponse();
  }
  auto dispatch = DecodeDispatch(aRequest.mBody);
  if (!IsOk(dispatch)) {
    return MakeErrorResponse(GetError(dispatch));
  }
  const request_handle handle = aFront.mLink.mNextHandle++;
  agent_run run;
  const handle_entry<agent_run> entry(aFront.mLink.mRuns, handle, run);
  run_dispatch& dispatched = std::get<run_dispatch>(dispatch);
  const bool isEngine = dispatched.mRun.mKind == backend_kind::Engine;
  auto posted =
    PostEvent(aFront.mLink,
              run_requested_event{ handle, std::move(dispatched.mHeader),
                                   std::move(dispatched.mRun) },
              event_class::NewWork);
  if (!IsOk(posted)) {
    IncrementCounter(*aFront.mLink.mMetrics, counter::EventsRefused);
    return MakeErrorResponse(GetError(posted));
  }
  // Only engine runs are stopped when the router disconnects. A service call
  // may not be repeatable, so it is finished.
  if (isEngine) {
    WatchClient(aConnection, [&run] { Stop(run.mStopper); });
  }
  const auto decision = Take(run.mDecisions, absl::InfiniteFuture());
  std::optional<http_response> response;
  if (const auto* start = std::get_if<start_run_action>(&*decision)) {
    PerformRun(aFront, *start, run, aConnection);
  } else {
    const error& refusal = std::get<refuse_run_action>(*decision).mError;
    IncrementCounter(*aFront.mLink.mMetrics, counter::RunsRefused);
    Log(log_component::Agent, log_level::Info, log_event::RunRefused,
        { { "error", ToString(refusal) } });
    response = MakeErrorResponse(refusal);
  }
  UnwatchClient(aConnection);
  return response;
}

http_response HandleCommandRequest(agent_front& aFront,
                                   const http_request& aRequest)
{
  if (!HasPeerKey(aFront.mPeerKey, aRequest)) {
    return MakePeerUnauthorizedResponse();
  }
  auto json = ParseJson(aRequest.mBody);
  auto body = IsOk(json) ? DecodeAs<command_body>(GetValue(json),
                                                  error_code::InvalidRequest)
                         : result<command_body>(GetError(json));
  if (!IsOk(body)) {
    return MakeErrorResponse(GetError(body));
  }
  const request_handle handle = aFront.mLink.mNextHandle++;
  command_mailbox resultMailbox;
  const handle_entry<command_mailbox> entry(aFront.mLink.mCommands, handle,
                                            resultMailbox);
  auto posted = PostEvent(aFront.mLink,
                          command_event{ handle, GetValue(body).mFencingNumber,
                                         GetValue(body).mCommand },
                          event_class::NewWork);
  auto allowed =
    IsOk(posted) ? *Take(resultMailbox, absl::InfiniteFuture()) : posted;
  if (IsOk(allowed)) {
    Log(
      log_component::Engine, log_level::Info, log_event::CommandForwarded,
      { { "command", GetValue(body).mCommand },
        { "fencing_number", std::to_string(GetValue(body).mFencingNumber) } });
    allowed = SendCommand(aFront.mEngine, GetValue(body).mFencingNumber,
                          GetValue(body).mCommand);
  }
  if (!IsOk(allowed)) {
    return MakeErrorResponse(GetError(allowed));
  }
  http_response response;
  response.mBody = "{}";
  return response;
}

} // namespace foxtailquay
