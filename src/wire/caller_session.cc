#include "wire/caller_session.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/document_codec.h"
#include "wire/error_codec.h"
#include "wire/sse.h"
#include "wire/usage_meter.h"

namespace foxtailquay {

namespace {

struct caller_session
{
  router_link& mLink;
  const session_options& mOptions;
  http_connection& mConnection;
  const std::string& mRequestId;
  const request_kind mKind;
  const bool mStream;
  const request_handle mHandle;
  caller_exchange mExchange{};
  absl::Time mStarted = MonotonicNow();
  absl::Time mLastToken = absl::InfinitePast();
  // The caller's connection is known to be closed.
  bool mGone = false;
  // A part of the answer was sent to the caller.
  bool mBegan = false;

  // Of the current dispatch.
  int mStatus = 200;
  completion_assembly mAssembly{};
  Json::Value mLastEvent{};
  bool mUsageSeen = false;
  stored_answer mAnswer{};
  token_usage mUsage{};
};

http_headers AnswerHeaders(const caller_session& aSession, ran aRan)
{
  return { { "X-Request-Id", aSession.mRequestId },
           { "X-Foxtailquay-Ran", std::string(NameOf(aRan)) } };
}

void NoteGone(caller_session& aSession)
{
  if (!aSession.mGone) {
    aSession.mGone = true;
    (void)PostEvent(aSession.mLink, caller_gone_event{ aSession.mHandle },
                    event_class::Conclusion);
  }
}

void Send(caller_session& aSession, std::string_view aText)
{
  if (aSession.mGone) {
    return;
  }
  bool sent = true;
  if (!aSession.mBegan) {
    aSession.mBegan = true;
    sent = BeginStream(aSession.mConnection, 200, "text/event-stream",
                       AnswerHeaders(aSession, ran::Yes));
  }
  if (!sent || !WriteStream(aSession.mConnection, aText)) {
    NoteGone(aSession);
  }
}

void ObserveToken(caller_session& aSession)
{
  const absl::Time now = MonotonicNow();
  if (aSession.mLastToken == absl::InfinitePast()) {
    Observe(*aSession.mLink.mMetrics, histogram::FirstToken,
            now - aSession.mStarted);
  } else {
    Observe(*aSession.mLink.mMetrics, histogram::InterToken,
            now - aSession.mLastToken);
  }
  aSession.mLastToken = now;
}

void RelayEvent(caller_session& aSession, const run_frame& aFrame,
                const Json::Value& aEvent)
{
  if (!aEvent.isObject()) {
    return;
  }
  ObserveToken(aSession);
  aSession.mUsageSeen = aSession.mUsageSeen || aEvent["usage"].isObject();
  if (aSession.mStream) {
    Send(aSession, aFrame.mText);
    aSession.mLastEvent = aEvent;
  } else {
    AddEvent(aSession.mAssembly, aEvent);
  }
}

// A retry starts from nothing: the failed attempt's pieces are dropped.
void ResetAttempt(caller_session& aSession)
{
  aSession.mStatus = 200;
  aSession.mAssembly =
    completion_assembly{ aSession.mAssembly.mEndpoint, {}, {}, {}, "assistant",
                         {}, {} };
  aSession.mLastEvent = Json::Value();
  aSession.mUsageSeen = false;
  aSession.mLastToken = absl::InfinitePast();
}

run_observer ObserverFor(caller_session& aSession,
                         const dispatch_action& aAction)
{
  run_observer observer;
  observer.mOnAccepted = [&aSession, &aAction] {
    (void)PostEvent(
      aSession.mLink,
      run_accepted_event{ aSession.mHandle, aAction.mRun.mRequest },
      event_class::Conclusion);
  };
  observer.mOnHead = [&aSession](const run_frame& aHead) {
    aSession.mStatus = aHead.mStatus;
  };
  observer.mOnData = [&aSession](const run_frame& aFrame,
                                 const Json::Value& aEvent) {
    RelayEvent(aSession, aFrame, aEvent);
  };
  return observer;
}

// --- Reports to the node ----------------------------------------------------

void LogRun(const caller_session& aSession, log_level aLevel, log_event aEvent,
            const request_id& aRun, const std::string& aDetail)
{
  Log(log_component::Dispatch, aLevel, aEvent,
      { { "request", aSession.mRequestId },
        { "run", ToString(aRun) },
        { "detail", aDetail } });
}

router_event ReportEvent(caller_session& aSession, run_refused_event aEvent)
{
  Count(*aSession.mLink.mMetrics, counter::RunsRefused);
  LogRun(aSession, log_level::Info, log_event::RunRefused, aEvent.mRequest,
         ToString(aEvent.mError));
  return aEvent;
}

router_event ReportEvent(caller_session& aSession, run_failed_event aEvent)
{
  Count(*aSession.mLink.mMetrics, counter::RunsFailed);
  LogRun(aSession, log_level::Warn, log_event::RunFailed, aEvent.mRequest,
         ToString(aEvent.mError));
  aEvent.mRelayed = aSession.mBegan;
  return aEvent;
}

router_event ReportEvent(caller_session& aSession, run_finished_event aEvent)
{
  metrics& metrics = *aSession.mLink.mMetrics;
  Count(metrics, counter::RunsFinished);
  Count(metrics, counter::PromptTokens,
        static_cast<std::uint64_t>(aEvent.mUsage.mPromptTokens));
  Count(metrics, counter::CompletionTokens,
        static_cast<std::uint64_t>(aEvent.mUsage.mCompletionTokens));
  LogRun(aSession, log_level::Debug, log_event::RunFinished, aEvent.mRequest,
         absl::StrCat(aEvent.mUsage.mCompletionTokens, " tokens"));
  aSession.mUsage = aEvent.mUsage;
  aSession.mAnswer = aEvent.mAnswer;
  return aEvent;
}

void Dispatch(caller_session& aSession, const dispatch_action& aAction)
{
  ResetAttempt(aSession);
  Count(*aSession.mLink.mMetrics, counter::RunsDispatched);
  LogRun(aSession, log_level::Debug, log_event::RunDispatched,
         aAction.mRun.mRequest, aAction.mAgent.mValue);
  run_report report =
    PerformDispatch(aAction, aSession.mOptions.mDispatch, aSession.mExchange,
                    ObserverFor(aSession, aAction));
  router_event event = std::visit(
    [&aSession](auto& aReport) {
      return ReportEvent(aSession, std::move(aReport));
    },
    report);
  (void)PostEvent(aSession.mLink, std::move(event), event_class::Conclusion);
}

// --- Answers ----------------------------------------------------------------

void LogAnswer(const caller_session& aSession, int aStatus,
               const std::string& aCode)
{
  const absl::Duration elapsed = MonotonicNow() - aSession.mStarted;
  Observe(*aSession.mLink.mMetrics, histogram::CallerRequest, elapsed);
  Log(log_component::Frontend, log_level::Info, log_event::RequestAnswered,
      { { "request", aSession.mRequestId },
        { "status", absl::StrCat(aStatus) },
        { "code", aCode },
        { "prompt_tokens", absl::StrCat(aSession.mUsage.mPromptTokens) },
        { "completion_tokens",
          absl::StrCat(aSession.mUsage.mCompletionTokens) },
        { "ms", absl::StrCat(absl::ToInt64Milliseconds(elapsed)) } });
}

http_reply ReplyWith(const caller_session& aSession,
                     const stored_answer& aAnswer)
{
  http_reply reply;
  reply.mStatus = aAnswer.mStatus;
  reply.mContentType = aAnswer.mContentType;
  reply.mHeaders = AnswerHeaders(aSession, ran::Yes);
  reply.mBody = aAnswer.mBody;
  return reply;
}

std::optional<http_reply> Conclude(caller_session& aSession,
                                   const answer_complete&)
{
  LogAnswer(aSession, aSession.mStatus, "ok");
  if (aSession.mKind == request_kind::ServiceCall || aSession.mStatus != 200) {
    return ReplyWith(aSession, aSession.mAnswer);
  }
  if (!aSession.mStream) {
    http_reply reply;
    reply.mHeaders = AnswerHeaders(aSession, ran::Yes);
    reply.mBody = FinishAssembly(aSession.mAssembly, aSession.mUsage);
    return reply;
  }
  if (!aSession.mUsageSeen) {
    Send(aSession,
         SseEvent(ToText(UsageEvent(aSession.mAssembly.mEndpoint,
                                    aSession.mLastEvent, aSession.mUsage))));
  }
  Send(aSession, SseEvent(kSseDone));
  EndStream(aSession.mConnection);
  return std::nullopt;
}

// The answer of an earlier call with the same idempotency key.
std::optional<http_reply> Conclude(caller_session& aSession,
                                   const stored_answer& aAnswer)
{
  LogAnswer(aSession, aAnswer.mStatus, "replayed");
  http_reply reply = ReplyWith(aSession, aAnswer);
  reply.mHeaders.emplace_back("X-Foxtailquay-Replayed", "true");
  if (!aAnswer.mComplete) {
    Json::Value body(Json::objectValue);
    body["ran"] = std::string(NameOf(ran::Yes));
    body["answer_kept"] = false;
    reply.mContentType = "application/json";
    reply.mBody = ToText(body);
  }
  return reply;
}

std::optional<http_reply> Conclude(caller_session& aSession,
                                   const error& aError)
{
  Count(*aSession.mLink.mMetrics, counter::CallerErrors);
  LogAnswer(aSession, HttpStatusOf(aError.mCode),
            std::string(NameOf(aError.mCode)));
  if (aSession.mBegan) {
    // The status is sent already: the stream ends with the error, without
    // [DONE].
    Send(aSession, SseEvent(ToText(ToJson(aError))));
    EndStream(aSession.mConnection);
    return std::nullopt;
  }
  http_reply reply = ErrorReply(aError);
  reply.mHeaders.emplace_back("X-Request-Id", aSession.mRequestId);
  return reply;
}

} // namespace

std::optional<http_reply> ServeCaller(router_link& aLink,
                                      const session_options& aOptions,
                                      caller_request_event aEvent,
                                      completion_endpoint aEndpoint,
                                      const std::string& aRequestId,
                                      http_connection& aConnection)
{
  const request_handle handle = aLink.mNextHandle++;
  aEvent.mHandle = handle;
  caller_session session{ aLink,        aOptions,       aConnection, aRequestId,
                          aEvent.mKind, aEvent.mStream, handle };
  session.mAssembly.mEndpoint = aEndpoint;
  const handle_entry<caller_exchange> entry(aLink.mCallers, handle,
                                            session.mExchange);
  Count(*aLink.mMetrics, counter::CallerRequests);
  auto posted =
    PostEvent(aLink, std::move(aEvent), event_class::NewWork);
  if (!IsOk(posted)) {
    Count(*aLink.mMetrics, counter::EventsRefused);
    return Conclude(session, ErrorOf(posted));
  }
  // After the event, so that the node knows the handle when the caller is
  // reported gone.
  WatchClient(aConnection, [&aLink, handle] {
    Count(*aLink.mMetrics, counter::CallersGone);
    (void)PostEvent(aLink, caller_gone_event{ handle },
                    event_class::Conclusion);
  });
  for (;;) {
    const auto decision =
      Take(session.mExchange.mDecisions, absl::InfiniteFuture());
    if (const auto* dispatch = std::get_if<dispatch_action>(&*decision)) {
      Dispatch(session, *dispatch);
      continue;
    }
    UnwatchClient(aConnection);
    return std::visit(
      [&session](const auto& aAnswer) { return Conclude(session, aAnswer); },
      std::get<caller_answer>(*decision));
  }
}

} // namespace foxtailquay
