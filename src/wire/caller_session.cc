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
  token_usage mUsage{};
  // The engine's answer with another status than 200.
  stored_response mResponse{};
};

http_headers AnswerHeaders(const caller_session& aSession, executed aExecuted)
{
  return { { "X-Request-Id", aSession.mRequestId },
           { "X-Foxtailquay-Ran", std::string(ToName(aExecuted)) } };
}

void NoteGone(caller_session& aSession)
{
  if (!aSession.mGone) {
    aSession.mGone = true;
    (void)PostEvent(aSession.mLink,
                    caller_disconnected_event{ aSession.mHandle },
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
                       AnswerHeaders(aSession, executed::Yes));
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
  aSession.mAssembly = completion_assembly{
    aSession.mAssembly.mEndpoint, {}, {}, {}, "assistant", {}, {}
  };
  aSession.mLastEvent = Json::Value();
  aSession.mUsageSeen = false;
  aSession.mLastToken = absl::InfinitePast();
}

// --- Reports to the node ----------------------------------------------------

// What is needed to report a run; outlives the caller's thread.
struct run_context
{
  router_link& mLink;
  std::string mRequestId;
  request_handle mHandle = 0;
};

void LogRun(const run_context& aContext, log_level aLevel, log_event aEvent,
            const request_id& aRun, const std::string& aDetail)
{
  Log(log_component::Dispatch, aLevel, aEvent,
      { { "request", aContext.mRequestId },
        { "run", ToString(aRun) },
        { "detail", aDetail } });
}

void RecordLoadReport(const run_context& aContext,
                      const run_refused_event& aEvent)
{
  IncrementCounter(*aContext.mLink.mMetrics, counter::RunsRefused);
  LogRun(aContext, log_level::Info, log_event::RunRefused, aEvent.mRequest,
         ToString(aEvent.mError));
}

void RecordLoadReport(const run_context& aContext,
                      const run_failed_event& aEvent)
{
  IncrementCounter(*aContext.mLink.mMetrics, counter::RunsFailed);
  LogRun(aContext, log_level::Warn, log_event::RunFailed, aEvent.mRequest,
         ToString(aEvent.mError));
}

void RecordLoadReport(const run_context& aContext,
                      const run_finished_event& aEvent)
{
  metrics& metrics = *aContext.mLink.mMetrics;
  IncrementCounter(metrics, counter::RunsFinished);
  IncrementCounter(metrics, counter::PromptTokens,
                   static_cast<std::uint64_t>(aEvent.mUsage.mPromptTokens));
  IncrementCounter(metrics, counter::CompletionTokens,
                   static_cast<std::uint64_t>(aEvent.mUsage.mCompletionTokens));
  LogRun(aContext, log_level::Debug, log_event::RunFinished, aEvent.mRequest,
         absl::StrCat(aEvent.mUsage.mCompletionTokens, " tokens"));
}

void PostReport(const run_context& aContext, run_report aReport)
{
  router_event event = std::visit(
    [&aContext](auto& aTyped) {
      RecordLoadReport(aContext, aTyped);
      return router_event(std::move(aTyped));
    },
    aReport);
  (void)PostEvent(aContext.mLink, std::move(event), event_class::Conclusion);
}

std::function<void()> AcceptedReporter(const run_context& aContext,
                                       const request_id& aRun)
{
  return [&aContext, aRun] {
    (void)PostEvent(aContext.mLink,
                    run_accepted_event{ aContext.mHandle, aRun },
                    event_class::Conclusion);
  };
}

// --- Dispatches -------------------------------------------------------------

// On the caller's thread: the answer is relayed as it arrives.
void DispatchCompletion(caller_session& aSession, const run_context& aContext,
                        const dispatch_decision& aOrder)
{
  ResetAttempt(aSession);
  run_observer observer;
  observer.mOnAccepted =
    AcceptedReporter(aContext, aOrder.mAction.mRun.mRequest);
  observer.mOnHead = [&aSession](const run_frame& aHead) {
    aSession.mStatus = aHead.mStatus;
  };
  observer.mOnData = [&aSession](const run_frame& aFrame,
                                 const Json::Value& aEvent) {
    RelayEvent(aSession, aFrame, aEvent);
  };
  run_report report = PerformDispatch(
    aOrder.mAction, aSession.mOptions.mDispatch, *aOrder.mStopper, observer);
  if (auto* finished = std::get_if<run_finished_event>(&report)) {
    aSession.mUsage = finished->mUsage;
    aSession.mResponse = finished->mResponse;
  } else if (auto* failed = std::get_if<run_failed_event>(&report)) {
    failed->mRelayed = aSession.mBegan;
  }
  PostReport(aContext, std::move(report));
}

// On a thread of the service pool.
void RunServiceCall(const run_context& aContext,
                    const dispatch_options& aOptions,
                    const dispatch_decision& aOrder)
{
  run_observer observer;
  observer.mOnAccepted =
    AcceptedReporter(aContext, aOrder.mAction.mRun.mRequest);
  observer.mOnHead = [](const run_frame&) {};
  observer.mOnData = [](const run_frame&, const Json::Value&) {};
  run_report report =
    PerformDispatch(aOrder.mAction, aOptions, *aOrder.mStopper, observer);
  if (const auto* finished = std::get_if<run_finished_event>(&report)) {
    WithHandle(aContext.mLink.mCallers, aContext.mHandle,
               [finished](caller_exchange& aExchange) {
                 absl::MutexLock lock(&aExchange.mMutex);
                 aExchange.mResponse = finished->mResponse;
                 aExchange.mUsage = finished->mUsage;
               });
  }
  PostReport(aContext, std::move(report));
}

void DispatchService(caller_session& aSession, const run_context& aContext,
                     const dispatch_decision& aOrder)
{
  const bool submitted =
    TrySubmit(aSession.mLink.mServiceCallPool,
              [context = aContext, options = aSession.mOptions.mDispatch,
               aOrder] { RunServiceCall(context, options, aOrder); });
  if (!submitted) {
    PostReport(
      aContext,
      run_refused_event{ aContext.mHandle, aOrder.mAction.mRun.mRequest,
                         error{ error_code::Overloaded, executed::No, "",
                                "too many service calls", absl::Seconds(1) } });
  }
}

void Dispatch(caller_session& aSession, const run_context& aContext,
              const dispatch_decision& aOrder)
{
  IncrementCounter(*aSession.mLink.mMetrics, counter::RunsDispatched);
  LogRun(aContext, log_level::Debug, log_event::RunDispatched,
         aOrder.mAction.mRun.mRequest, aOrder.mAction.mAgent.mValue);
  if (aSession.mKind == request_kind::ServiceCall) {
    DispatchService(aSession, aContext, aOrder);
  } else {
    DispatchCompletion(aSession, aContext, aOrder);
  }
}

// --- Answers ----------------------------------------------------------------

void LogAnswer(const caller_session& aSession, int aStatus,
               const std::string& aCode)
{
  const absl::Duration elapsed = MonotonicNow() - aSession.mStarted;
  Observe(*aSession.mLink.mMetrics, histogram::CallerRequest, elapsed);
  Log(
    log_component::Frontend, log_level::Info, log_event::RequestAnswered,
    { { "request", aSession.mRequestId },
      { "status", absl::StrCat(aStatus) },
      { "code", aCode },
      { "prompt_tokens", absl::StrCat(aSession.mUsage.mPromptTokens) },
      { "completion_tokens", absl::StrCat(aSession.mUsage.mCompletionTokens) },
      { "ms", absl::StrCat(absl::ToInt64Milliseconds(elapsed)) } });
}

http_response ReplyWith(const caller_session& aSession,
                        const stored_response& aResponse)
{
  http_response response;
  response.mStatus = aResponse.mStatus;
  response.mContentType = aResponse.mContentType;
  // A backend server that reports an error may or may not have acted.
  response.mHeaders = AnswerHeaders(
    aSession, aResponse.mStatus < 400 ? executed::Yes : executed::Unknown);
  response.mBody = aResponse.mBody;
  return response;
}

std::optional<http_response> Conclude(caller_session& aSession,
                                      const response_relayed&)
{
  if (aSession.mKind == request_kind::ServiceCall) {
    absl::MutexLock lock(&aSession.mExchange.mMutex);
    aSession.mResponse = std::move(aSession.mExchange.mResponse);
    aSession.mStatus = aSession.mResponse.mStatus;
    aSession.mUsage = aSession.mExchange.mUsage;
  }
  LogAnswer(aSession, aSession.mStatus, "ok");
  if (aSession.mKind == request_kind::ServiceCall || aSession.mStatus != 200) {
    return ReplyWith(aSession, aSession.mResponse);
  }
  if (!aSession.mStream) {
    http_response response;
    response.mHeaders = AnswerHeaders(aSession, executed::Yes);
    response.mBody = FinishAssembly(aSession.mAssembly, aSession.mUsage);
    return response;
  }
  if (!aSession.mUsageSeen) {
    Send(aSession, EncodeSseEvent(
                     ToText(UsageEvent(aSession.mAssembly.mEndpoint,
                                       aSession.mLastEvent, aSession.mUsage))));
  }
  Send(aSession, EncodeSseEvent(kSseDone));
  EndStream(aSession.mConnection);
  return std::nullopt;
}

// The answer of an earlier call with the same idempotency key.
std::optional<http_response> Conclude(caller_session& aSession,
                                      const stored_response& aResponse)
{
  LogAnswer(aSession, aResponse.mStatus, "replayed");
  http_response response = ReplyWith(aSession, aResponse);
  response.mHeaders.emplace_back("X-Foxtailquay-Replayed", "true");
  if (!aResponse.mComplete) {
    Json::Value body(Json::objectValue);
    body["ran"] = std::string(ToName(executed::Yes));
    body["answer_kept"] = false;
    response.mContentType = "application/json";
    response.mBody = ToText(body);
  }
  return response;
}

std::optional<http_response> Conclude(caller_session& aSession,
                                      const error& aError)
{
  IncrementCounter(*aSession.mLink.mMetrics, counter::CallerErrors);
  LogAnswer(aSession, ToHttpStatus(aError.mCode),
            std::string(ToName(aError.mCode)));
  if (aSession.mBegan) {
    // The status is sent already: the stream ends with the error, without
    // [DONE].
    Send(aSession, EncodeSseEvent(ToText(ToJson(aError))));
    EndStream(aSession.mConnection);
    return std::nullopt;
  }
  http_response response = MakeErrorResponse(aError);
  response.mHeaders.emplace_back("X-Request-Id", aSession.mRequestId);
  return response;
}

} // namespace

std::optional<http_response> ServeCaller(router_link& aLink,
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
  const run_context context{ aLink, aRequestId, handle };
  IncrementCounter(*aLink.mMetrics, counter::CallerRequests);
  auto posted = PostEvent(aLink, std::move(aEvent), event_class::NewWork);
  if (!IsOk(posted)) {
    IncrementCounter(*aLink.mMetrics, counter::EventsRefused);
    return Conclude(session, GetError(posted));
  }
  // After the event, so that the node knows the handle when the caller is
  // reported gone.
  WatchClient(aConnection, [&aLink, handle] {
    IncrementCounter(*aLink.mMetrics, counter::CallersGone);
    (void)PostEvent(aLink, caller_disconnected_event{ handle },
                    event_class::Conclusion);
  });
  for (;;) {
    const auto decision =
      Take(session.mExchange.mDecisions, absl::InfiniteFuture());
    if (const auto* order = std::get_if<dispatch_decision>(&*decision)) {
      Dispatch(session, context, *order);
      continue;
    }
    UnwatchClient(aConnection);
    return std::visit(
      [&session](const auto& aResponse) {
        return Conclude(session, aResponse);
      },
      std::get<caller_response>(*decision));
  }
}

} // namespace foxtailquay
