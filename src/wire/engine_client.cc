#include "wire/engine_client.h"

#include <atomic>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "runtime/clock.h"
#include "wire/completion.h"
#include "wire/document_codec.h"
#include "wire/sse.h"
#include "wire/usage_meter.h"

namespace foxtailquay {

namespace {

// The state of one call on the backend server.
struct backend_run
{
  const run_request& mRun;
  const std::function<bool(run_frame)>& mEmit;
  int mStatus = 0;
  sse_parser mParser;
  usage_meter mMeter;
  Json::Value mLastEvent;
  // The engine sent [DONE], or the token limit was exceeded.
  bool mDone = false;
  bool mIsRouterDisconnected = false;
  std::optional<error> mError;
};

error MakeBackendError(std::string aDetail)
{
  return error{ error_code::BackendServerFailed, executed::Unknown, "",
                std::move(aDetail), absl::ZeroDuration() };
}

bool IsEventStream(const backend_run& aRun)
{
  return aRun.mRun.mKind == backend_kind::Engine && aRun.mStatus == 200;
}

completion_endpoint GetEndpoint(const run_request& aRun)
{
  return FromName<completion_endpoint>(aRun.mPath)
    .value_or(completion_endpoint::Chat);
}

bool EmitFrame(backend_run& aRun, run_frame aFrame)
{
  aRun.mIsRouterDisconnected =
    aRun.mIsRouterDisconnected || !aRun.mEmit(std::move(aFrame));
  return !aRun.mIsRouterDisconnected;
}

run_frame MakeDataFrame(std::string aText)
{
  run_frame frame;
  frame.mType = frame_type::Data;
  frame.mText = std::move(aText);
  return frame;
}

// The response of an engine that is overloaded or fails is not relayed.
bool IsEngineFailure(const backend_run& aRun)
{
  return aRun.mRun.mKind == backend_kind::Engine &&
         (aRun.mStatus >= 500 || aRun.mStatus == 429);
}

bool IsFinalStatus(int aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

bool OnHead(backend_run& aRun, int aStatus, const std::string& aContentType)
{
  aRun.mStatus = aStatus;
  if (!IsFinalStatus(aStatus)) {
    aRun.mError =
      MakeBackendError(absl::StrCat("the backend server responded with status ",
                                    aStatus, ", which is no final status"));
    return false;
  }
  if (IsEngineFailure(aRun)) {
    aRun.mError = MakeBackendError(
      absl::StrCat("the engine responded with status ", aStatus));
    return false;
  }
  if (IsEventStream(aRun) &&
      !absl::StartsWith(aContentType, "text/event-stream")) {
    aRun.mError =
      MakeBackendError("the engine did not respond with an event stream");
    return false;
  }
  run_frame head;
  head.mType = frame_type::Head;
  head.mRequest = ToString(aRun.mRun.mRequest);
  head.mStatus = aStatus;
  head.mContentType = aContentType;
  return EmitFrame(aRun, std::move(head));
}

// Checks and relays one event of the engine's stream. Returns false to stop the
// call.
bool OnStreamEvent(backend_run& aRun, std::string_view aPayload)
{
  if (aPayload == kSseDone) {
    aRun.mDone = true;
    return true;
  }
  auto parsed = ParseJson(aPayload);
  if (!IsOk(parsed) || !GetValue(parsed).isObject()) {
    aRun.mError =
      MakeBackendError("an event of the engine's stream is not JSON");
    return false;
  }
  const Json::Value& event = GetValue(parsed);
  if (event.isMember("error")) {
    aRun.mError = MakeBackendError("the engine reported an error");
    return false;
  }
  if (!UpdateUsage(aRun.mMeter, event)) {
    // The engine exceeded the token limit; more was not reserved and cannot be
    // billed, so the response ends here.
    aRun.mDone = true;
    EmitFrame(aRun, MakeDataFrame(EncodeSseEvent(ToText(MakeLengthEvent(
                      GetEndpoint(aRun.mRun), aRun.mLastEvent)))));
    return false;
  }
  aRun.mLastEvent = event;
  return EmitFrame(aRun, MakeDataFrame(EncodeSseEvent(aPayload)));
}

bool OnData(backend_run& aRun, std::string_view aBytes)
{
  if (!IsEventStream(aRun)) {
    return EmitFrame(aRun, MakeDataFrame(std::string(aBytes)));
  }
  auto fed = Feed(aRun.mParser, aBytes, [&aRun](std::string_view aPayload) {
    return OnStreamEvent(aRun, aPayload);
  });
  if (!IsOk(fed)) {
    aRun.mError = GetError(fed);
    return false;
  }
  return GetValue(fed);
}

result<http_call> MakeCall(const engine_options& aOptions,
                           const run_request& aRun)
{
  http_call call;
  call.mAddress = aOptions.mAddress;
  call.mMethod = aRun.mMethod;
  call.mTarget = aRun.mPath;
  call.mContentType = aRun.mContentType;
  call.mBody = aRun.mBody;
  call.mHeaders = { { "X-Request-Id", ToString(aRun.mRequest) } };
  call.mConnectTimeout = std::min(aOptions.mConnectTimeout, aRun.mTimeout);
  // The timer ends the run at its timeout. A read timeout at the same time
  // would be reported as an interrupted response.
  call.mReadTimeout = aRun.mTimeout + absl::Seconds(5);
  if (aRun.mKind == backend_kind::Engine) {
    auto body = MakeEngineBody(aRun);
    if (!IsOk(body)) {
      return GetError(body);
    }
    call.mBody = GetValue(std::move(body));
    call.mContentType = "application/json";
  }
  return call;
}

error ToError(const backend_run& aRun, call_outcome aOutcome, bool aTimedOut)
{
  if (aRun.mError) {
    return *aRun.mError;
  }
  if (aTimedOut) {
    return { error_code::DeadlineExceeded, executed::Unknown, "",
             "the backend server did not finish in time",
             absl::ZeroDuration() };
  }
  switch (aOutcome) {
    case call_outcome::NotConnected:
      return { error_code::BackendServerFailed, executed::No, "",
               "the backend server cannot be reached", absl::ZeroDuration() };
    case call_outcome::Stopped:
      return { error_code::CallerDisconnected, executed::Unknown, "",
               "the run was cancelled", absl::ZeroDuration() };
    case call_outcome::Complete:
    case call_outcome::Broken:
      break;
  }
  return MakeBackendError("the backend server's response was interrupted");
}

run_outcome MakeOutcome(const backend_run& aRun, call_outcome aOutcome,
                        bool aTimedOut)
{
  run_outcome outcome;
  if (IsEventStream(aRun)) {
    outcome.mUsage = ComputeUsage(aRun.mMeter);
  }
  const bool complete =
    IsEventStream(aRun) ? aRun.mDone : aOutcome == call_outcome::Complete;
  outcome.mComplete = complete && !aRun.mIsRouterDisconnected && !aRun.mError;
  outcome.mLast.mType =
    outcome.mComplete ? frame_type::End : frame_type::Broken;
  outcome.mLast.mUsage = outcome.mUsage;
  if (!outcome.mComplete) {
    outcome.mLast.mError = ToError(aRun, aOutcome, aTimedOut);
  }
  return outcome;
}

} // namespace

run_outcome CallBackend(const engine_options& aOptions, const run_request& aRun,
                        timer& aTimer, call_stopper& aStopper,
                        const std::function<bool(run_frame)>& aEmit)
{
  backend_run run{ aRun, aEmit, 0, {}, {}, {}, false, false, {} };
  run.mMeter.mLimits = { aRun.mMaxPromptTokens, aRun.mMaxTokens };
  auto call = MakeCall(aOptions, aRun);
  if (!IsOk(call)) {
    run.mError = GetError(call);
    return MakeOutcome(run, call_outcome::NotConnected, false);
  }
  std::atomic<bool> timedOut{ false };
  const timer_id deadline =
    Schedule(aTimer, MonotonicNow() + aRun.mTimeout, [&] {
      timedOut = true;
      Stop(aStopper);
    });
  const call_outcome outcome = PerformCall(
    GetValue(call),
    [&run](int aStatus, const std::string& aContentType) {
      return OnHead(run, aStatus, aContentType);
    },
    [&run](std::string_view aBytes) { return OnData(run, aBytes); }, &aStopper);
  Cancel(aTimer, deadline);
  return MakeOutcome(run, outcome, timedOut);
}

result<backend_load_event> ParseLoad(std::string_view aBody)
{
  auto json = ParseJson(aBody);
  if (!IsOk(json)) {
    return GetError(json);
  }
  const Json::Value& body = GetValue(json);
  if (!body.isObject() || !body["running"].isInt() || !body["queued"].isInt()) {
    return error{ error_code::ProtocolViolation, executed::No, "load",
                  "expected running and queued", absl::ZeroDuration() };
  }
  backend_load_event load;
  load.mRunning = body["running"].asInt();
  load.mQueued = body["queued"].asInt();
  if (body["cached_prefixes"].isArray()) {
    for (const Json::Value& hash : body["cached_prefixes"]) {
      // A number or a string of its decimal digits, because some JSON libraries
      // cannot represent 64-bit integers.
      std::uint64_t value = 0;
      if (hash.isUInt64()) {
        load.mCachedPrefixes.push_back(hash.asUInt64());
      } else if (hash.isString() && absl::SimpleAtoi(hash.asString(), &value)) {
        load.mCachedPrefixes.push_back(value);
      }
    }
  }
  if (body["loaded_models"].isArray()) {
    for (const Json::Value& model : body["loaded_models"]) {
      if (model.isString()) {
        load.mLoadedModels.push_back({ model.asString() });
      }
    }
  }
  return load;
}

std::optional<backend_load_event> ReadLoad(const engine_options& aOptions)
{
  constexpr std::size_t kMaxLoadBytes = 256 << 10;
  http_call call;
  call.mAddress = aOptions.mAddress;
  call.mTarget = "/load";
  call.mConnectTimeout = aOptions.mLoadTimeout;
  call.mReadTimeout = aOptions.mLoadTimeout;
  const complete_response response = PerformCompleteCall(call, kMaxLoadBytes);
  if (response.mOutcome != call_outcome::Complete || response.mStatus != 200) {
    return std::nullopt;
  }
  auto load = ParseLoad(response.mBody);
  if (!IsOk(load)) {
    return std::nullopt;
  }
  return GetValue(std::move(load));
}

result<success> SendCommand(const engine_options& aOptions,
                            std::uint64_t aFencingNumber,
                            const std::string& aCommand)
{
  Json::Value body(Json::objectValue);
  body["fencing_number"] = Json::UInt64(aFencingNumber);
  body["command"] = aCommand;
  http_call call;
  call.mAddress = aOptions.mAddress;
  call.mMethod = "POST";
  call.mTarget = "/command";
  call.mContentType = "application/json";
  call.mBody = ToText(body);
  call.mConnectTimeout = aOptions.mConnectTimeout;
  call.mReadTimeout = aOptions.mCommandTimeout;
  const complete_response response = PerformCompleteCall(call, 64 << 10);
  if (response.mOutcome == call_outcome::Complete && response.mStatus == 200) {
    return success{};
  }
  if (response.mOutcome == call_outcome::Complete && response.mStatus == 409) {
    return error{ error_code::StaleFence, executed::No, "fencing_number",
                  "the backend server has a newer fencing number",
                  absl::ZeroDuration() };
  }
  return error{ error_code::BackendServerFailed,
                response.mOutcome == call_outcome::NotConnected
                  ? executed::No
                  : executed::Unknown,
                "",
                absl::StrCat("the backend server did not accept the command; "
                             "status ",
                             response.mStatus),
                absl::ZeroDuration() };
}

} // namespace foxtailquay
