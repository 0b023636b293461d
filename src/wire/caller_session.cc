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
  absl::Time mStartedAt = MonotonicNow();
  absl::Time mLastTokenAt = absl::InfinitePast();
  // The caller's connection was found to be closed.
  bool mIsDisconnected = false;
  // Sending the stream's header section was attempted.
  bool mIsStreamStarted = false;

  // The fields below are of the current dispatch.
  int mStatus = 200;
  completion_assembly mAssembly{};
  Json::Value mLastEvent{};
  bool mUsageSeen = false;
  token_usage mUsage{};
  // The response of a service, or of an engine with another status than 200.
  stored_response mResponse{};
};

http_headers MakeResponseHeaders(const caller_session& aSession,
                                 executed aExecuted)
{
  return { { "X-Request-Id", aSession.mRequestId },
           { "X-Foxtailquay-Ran", std::string(ToName(aExecuted)) } };
}

void RecordDisconnect(caller_session& aSession)
{
  if (!aSession.mIsDisconnected) {
    aSession.mIsDisconnected = true;
    (void)PostEvent(aSession.mLink,
                    caller_disconnected_event{ aSession.mHandle },
                    event_class::Conclusion);
  }
}

void SendToCaller(caller_session& aSession, std::string_view aText)
{
  if (aSession.mIsDisconnected) {
    return;
  }
  bool sent = true;
  if (!aSession.mIsStreamStarted) {
    aSession.mIsStreamStarted = true;
    sent = BeginStream(aSession.mConnection, 200, "text/event-stream",
                       MakeResponseHeaders(aSession, executed::Yes));
  }
  if (!sent || !WriteStream(aSession.mConnection, aText)) {
    RecordDisconnect(aSession);
  }
}

void ObserveToken(caller_session& aSession)
{
  const absl::Time now = MonotonicNow();
  if (aSession.mLastTokenAt == absl::InfinitePast()) {
    Observe(*aSession.mLink.mMetrics, histogram::FirstToken,
            now - aSession.mStartedAt);
  } else {
    Observe(*aSession.mLink.mMetrics, histogram::InterToken,
            now - aSession.mLastTokenAt);
  }
  aSession.mLastTokenAt = now;
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
    SendToCaller(aSession, aFrame.mText);
    aSession.mLastEvent = aEvent;
  } else {
    AddEvent(aSession.mAssembly, aEvent);
  }
}

// Discards the data of a failed attempt before the next one.
void ResetAttempt(caller_session& aSession)
{
  aSession.mStatus = 200;
  aSession.mAssembly = completion_assembly{
    aSession.mAssembly.mEndpoint, {}, {}, {}, "assistant", {}, {}
  };
  aSession.mLastEvent = Json::Value();
  aSession.mUsageSeen = false;
  aSession.mLastTokenAt = absl::InfinitePast();
}

// --- Reports to the control thread ------------------------------------------

// The values needed to report a run. Service calls hold a copy, because they
// may outlive the caller's session.
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

void RecordRunReport(const run_context& aContext,
                     const run_refused_event& aEvent)
{
  IncrementCounter(*aContext.mLink.mMetrics, counter::RunsRefused);
  LogRun(aContext, log_level::Info, log_event::RunRefused, aEvent.mRequest,
         ToString(aEvent.mError));
}

void RecordRunReport(const run_context& aContext,
                     const run_failed_event& aEvent)
{
  IncrementCounter(*aContext.mLink.mMetrics, counter::RunsFailed);
  LogRun(aContext, log_level::Warn, log_event::RunFailed, aEvent.mRequest,
         ToString(aEvent.mError));
}

void RecordRunReport(const run_context& aContext,
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

void PostRunReport(const run_context& aContext, run_report aReport)
{
  router_event event = std::visit(
    [&aContext](auto& aTyped) {
      RecordRunReport(aContext, aTyped);
      return router_event(std::move(aTyped));
    },
    aReport);
  (void)PostEvent(aContext.mLink, std::move(event), event_class::Conclusion);
}

std::function<void()> MakeAcceptedCallback(const run_context& aContext,
                                           const request_id& aRun)
{
  return [&aContext, aRun] {
    (void)PostEvent(aContext.mLink,
                    run_accepted_event{ aContext.mHandle, aRun },
                    event_class::Conclusion);
  };
}

// --- Dispatches -------------------------------------------------------------

// Performs the dispatch on the caller's thread and relays the response as it
// arrives.
void DispatchCompletion(caller_session& aSession, const run_context& aContext,
                        const dispatch_decision& aDispatch)
{
  ResetAttempt(aSession);
  run_observer observer;
  observer.mOnAccepted =
    MakeAcceptedCallback(aContext, aDispatch.mAction.mRun.mRequest);
  observer.mOnHead = [&aSession](const run_frame& aHead) {
    aSession.mStatus = aHead.mStatus;
  };
  observer.mOnData = [&aSession](const run_frame& aFrame,
                                 const Json::Value& aEvent) {
    RelayEvent(aSession, aFrame, aEvent);
  };
  run_report report =
    PerformDispatch(aDispatch.mAction, aSession.mOptions.mDispatch,
                    *aDispatch.mStopper, observer);
  if (auto* finished = std::get_if<run_finished_event>(&report)) {
    aSession.mUsage = finished->mUsage;
    aSession.mResponse = finished->mResponse;
  } else if (auto* failed = std::get_if<run_failed_event>(&report)) {
    failed->mRelayed = aSession.mIsStreamStarted;
  }
  PostRunReport(aContext, std::move(report));
}

// Performs the dispatch on a thread of the service pool.
void PerformServiceCall(const run_context& aContext,
                        const dispatch_options& aOptions,
                        const dispatch_decision& aDispatch)
{
  run_observer observer;
  observer.mOnAccepted =
    MakeAcceptedCallback(aContext, aDispatch.mAction.mRun.mRequest);
  observer.mOnHead = [](const run_frame&) {};
  observer.mOnData = [](const run_frame&, const Json::Value&) {};
  run_report report =
    PerformDispatch(aDispatch.mAction, aOptions, *aDispatch.mStopper, observer);
  if (const auto* finished = std::get_if<run_finished_event>(&report)) {
    WithHandle(aContext.mLink.mCallers, aContext.mHandle,
               [finished](caller_exchange& aExchange) {
                 absl::MutexLock lock(&aExchange.mMutex);
                 aExchange.mResponse = finished->mResponse;
                 aExchange.mUsage = finished->mUsage;
               });
  }
  PostRunReport(aContext, std::move(report));
}

void DispatchService(caller_session& aSession, const run_context& aContext,
                     const dispatch_decision& aDispatch)
{
  const bool submitted =
    TrySubmit(aSession.mLink.mServiceCallPool,
              [context = aContext, options = aSession.mOptions.mDispatch,
               aDispatch] { PerformServiceCall(context, options, aDispatch); });
  if (!submitted) {
    PostRunReport(aContext, run_refused_event{
                              aContext.mHandle, aDispatch.mAction.mRun.mRequest,
                              error{ error_code::Overloaded, executed::No, "",
                                     "too many service calls in progress",
                                     absl::Seconds(1) } });
  }
}

void Dispatch(caller_session& aSession, const run_context& aContext,
              const dispatch_decision& aDispatch)
{
  IncrementCounter(*aSession.mLink.mMetrics, counter::RunsDispatched);
  LogRun(aContext, log_level::Debug, log_event::RunDispatched,
         aDispatch.mAction.mRun.mRequest, aDispatch.mAction.mAgent.mValue);
  if (aSession.mKind == request_kind::ServiceCall) {
    DispatchService(aSession, aContext, aDispatch);
  } else {
    DispatchCompletion(aSession, aContext, aDispatch);
  }
}

// --- Responses --------------------------------------------------------------

void LogResponse(const caller_session& aSession, int aStatus,
                 const std::string& aCode)
{
  const absl::Duration elapsed = MonotonicNow() - aSession.mStartedAt;
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

http_response ToHttpResponse(const caller_session& aSession,
                             const stored_response& aResponse)
{
  http_response response;
  response.mStatus = aResponse.mStatus;
  response.mContentType = aResponse.mContentType;
  // Whether a backend server that reports an error has executed the request is
  // unknown.
  response.mHeaders = MakeResponseHeaders(
    aSession, aResponse.mStatus < 400 ? executed::Yes : executed::Unknown);
  response.mBody = aResponse.mBody;
  return response;
}

std::optional<http_response> FinishSession(caller_session& aSession,
                                           const response_relayed&)
{
  if (aSession.mKind == request_kind::ServiceCall) {
    absl::MutexLock lock(&aSession.mExchange.mMutex);
    aSession.mResponse = std::move(aSession.mExchange.mResponse);
    aSession.mStatus = aSession.mResponse.mStatus;
    aSession.mUsage = aSession.mExchange.mUsage;
  }
  LogResponse(aSession, aSession.mStatus, "ok");
  if (aSession.mKind == request_kind::ServiceCall || aSession.mStatus != 200) {
    return ToHttpResponse(aSession, aSession.mResponse);
  }
  if (!aSession.mStream) {
    http_response response;
    response.mHeaders = MakeResponseHeaders(aSession, executed::Yes);
    response.mBody = MakeResponseBody(aSession.mAssembly, aSession.mUsage);
    return response;
  }
  if (!aSession.mUsageSeen) {
    SendToCaller(aSession, EncodeSseEvent(ToText(MakeUsageEvent(
                             aSession.mAssembly.mEndpoint, aSession.mLastEvent,
                             aSession.mUsage))));
  }
  SendToCaller(aSession, EncodeSseEvent(kSseDone));
  EndStream(aSession.mConnection);
  return std::nullopt;
}

// Sends the stored response of an earlier request with the same idempotency
// key.
std::optional<http_response> FinishSession(caller_session& aSession,
                                           const stored_response& aResponse)
{
  LogResponse(aSession, aResponse.mStatus, "replayed");
  http_response response = ToHttpResponse(aSession, aResponse);
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

std::optional<http_response> FinishSession(caller_session& aSession,
                                           const error& aError)
{
  IncrementCounter(*aSession.mLink.mMetrics, counter::CallerErrors);
  LogResponse(aSession, ToHttpStatus(aError.mCode),
              std::string(ToName(aError.mCode)));
  if (aSession.mIsStreamStarted) {
    // The status was sent already, so the stream ends with the error and
    // without [DONE].
    SendToCaller(aSession, EncodeSseEvent(ToText(ToJson(aError))));
    EndStream(aSession.mConnection);
    return std::nullopt;
  }
  http_response response = MakeErrorResponse(aError);
  response.mHeaders.emplace_back("X-Request-Id", aSession.mRequestId);
  return response;
}

} // namespace

std::optional<http_response> RunCallerSession(router_link& aLink,
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
    return FinishSession(session, GetError(posted));
  }
  // The watch starts after the event was posted, so that the handle exists when
  // the disconnection is reported.
  WatchClient(aConnection, [&aLink, handle] {
    IncrementCounter(*aLink.mMetrics, counter::CallersGone);
    (void)PostEvent(aLink, caller_disconnected_event{ handle },
                    event_class::Conclusion);
  });
  for (;;) {
    const auto decision =
      Take(session.mExchange.mDecisions, absl::InfiniteFuture());
    if (const auto* dispatch = std::get_if<dispatch_decision>(&*decision)) {
      Dispatch(session, context, *dispatch);
      continue;
    }
    UnwatchClient(aConnection);
    return std::visit(
      [&session](const auto& aResponse) {
        return FinishSession(session, aResponse);
      },
      std::get<caller_response>(*decision));
  }
}

} // namespace foxtailquay
