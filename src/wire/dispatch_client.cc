#include "wire/dispatch_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"
#include "wire/error_codec.h"
#include "wire/frame_check.h"
#include "wire/sse.h"
#include "wire/usage_meter.h"

namespace foxtailquay {

namespace {

// The part of one run's response that has been received.
struct run_progress
{
  const dispatch_action& mAction;
  const dispatch_options& mOptions;
  const run_observer& mObserver;
  int mHttpStatus = 0;
  // The body, if mHttpStatus is not 200.
  std::string mErrorBody;
  line_splitter mLines;
  frame_check mCheck;
  run_frame mHead;
  run_frame mLast;
  usage_meter mMeter;
  stored_response mResponse;
  std::optional<error> mError;
};

error MakeRunError(error_code aCode, executed aExecuted, std::string aDetail)
{
  return error{ aCode, aExecuted, "", std::move(aDetail),
                absl::ZeroDuration() };
}

bool IsEventStream(const run_progress& aProgress)
{
  return aProgress.mAction.mRun.mKind == backend_kind::Engine &&
         aProgress.mHead.mStatus == 200;
}

bool OnData(run_progress& aProgress, const run_frame& aFrame)
{
  if (!IsEventStream(aProgress)) {
    stored_response& response = aProgress.mResponse;
    if (response.mBody.size() + aFrame.mText.size() >
        aProgress.mOptions.mMaxResponseBytes) {
      aProgress.mError =
        MakeRunError(error_code::BackendServerFailed, executed::Yes,
                     "the response is too large");
      return false;
    }
    response.mBody += aFrame.mText;
    aProgress.mObserver.mOnData(aFrame, Json::Value::nullSingleton());
    return true;
  }
  auto event = ParseJson(DecodeSseEvent(aFrame.mText));
  if (!IsOk(event)) {
    aProgress.mError =
      MakeRunError(error_code::ProtocolViolation, executed::Unknown,
                   "an event of the stream is not JSON");
    return false;
  }
  (void)UpdateUsage(aProgress.mMeter, GetValue(event));
  aProgress.mObserver.mOnData(aFrame, GetValue(event));
  return true;
}

bool OnFrame(run_progress& aProgress, std::string_view aLine)
{
  auto decoded = DecodeFrame(aLine);
  auto checked = IsOk(decoded) ? CheckFrame(aProgress.mCheck, GetValue(decoded))
                               : result<success>(GetError(decoded));
  if (!IsOk(checked)) {
    aProgress.mError = GetError(checked);
    aProgress.mError->mExecuted = executed::Unknown;
    return false;
  }
  run_frame& frame = std::get<run_frame>(decoded);
  switch (frame.mType) {
    case frame_type::Head:
      aProgress.mHead = frame;
      aProgress.mResponse.mStatus = frame.mStatus;
      aProgress.mResponse.mContentType = frame.mContentType;
      aProgress.mObserver.mOnHead(frame);
      return true;
    case frame_type::Data:
      return OnData(aProgress, frame);
    case frame_type::End:
    case frame_type::Broken:
      aProgress.mLast = std::move(frame);
      return true;
  }
  return false;
}

bool OnBytes(run_progress& aProgress, std::string_view aBytes)
{
  if (aProgress.mHttpStatus != 200) {
    constexpr std::size_t kMaxErrorBodyBytes = 64 << 10;
    aProgress.mErrorBody += aBytes;
    return aProgress.mErrorBody.size() <= kMaxErrorBodyBytes;
  }
  auto lines = TakeLines(aProgress.mLines, aBytes);
  if (!IsOk(lines)) {
    aProgress.mError = GetError(lines);
    return false;
  }
  for (const std::string& line : GetValue(lines)) {
    if (!OnFrame(aProgress, line)) {
      return false;
    }
  }
  return true;
}

run_report MakeFailedReport(const run_progress& aProgress, error aError,
                            const token_usage& aUsage)
{
  return run_failed_event{ aProgress.mAction.mHandle,
                           aProgress.mAction.mRun.mRequest, aUsage, false,
                           std::move(aError) };
}

// Returns the report for an HTTP status other than 200: a refusal if the body
// is an error object that states that nothing was executed, else a failure.
run_report MakeHttpErrorReport(const run_progress& aProgress)
{
  error refusal;
  auto json = ParseJson(aProgress.mErrorBody);
  if (IsOk(json) && IsOk(DecodeError(GetValue(json), refusal)) &&
      refusal.mExecuted == executed::No) {
    return run_refused_event{ aProgress.mAction.mHandle,
                              aProgress.mAction.mRun.mRequest, refusal };
  }
  return MakeFailedReport(
    aProgress,
    MakeRunError(
      error_code::ProtocolViolation, executed::Unknown,
      absl::StrCat("the agent responded with status ", aProgress.mHttpStatus)),
    {});
}

run_report MakeInterruptionReport(const run_progress& aProgress,
                                  call_outcome aOutcome)
{
  const token_usage usage = ComputeUsage(aProgress.mMeter);
  if (aProgress.mError) {
    return MakeFailedReport(aProgress, *aProgress.mError, usage);
  }
  if (aOutcome == call_outcome::Stopped) {
    return MakeFailedReport(aProgress,
                            MakeRunError(error_code::CallerDisconnected,
                                         executed::Unknown,
                                         "the run was cancelled"),
                            usage);
  }
  return MakeFailedReport(aProgress,
                          MakeRunError(error_code::StreamBroken,
                                       executed::Unknown,
                                       "the agent's response was interrupted"),
                          usage);
}

run_report MakeReport(run_progress& aProgress, call_outcome aOutcome)
{
  const dispatch_action& action = aProgress.mAction;
  if (aProgress.mCheck.mPhase == frame_phase::Ended && !aProgress.mError) {
    if (aProgress.mLast.mType == frame_type::Broken) {
      return MakeFailedReport(aProgress, aProgress.mLast.mError,
                              aProgress.mLast.mUsage);
    }
    return run_finished_event{ action.mHandle, action.mRun.mRequest,
                               aProgress.mLast.mUsage,
                               std::move(aProgress.mResponse) };
  }
  if (aOutcome == call_outcome::NotConnected) {
    return run_refused_event{ action.mHandle, action.mRun.mRequest,
                              MakeRunError(error_code::PeerUnreachable,
                                           executed::No,
                                           "the agent cannot be reached") };
  }
  if (aProgress.mHttpStatus != 0 && aProgress.mHttpStatus != 200) {
    return MakeHttpErrorReport(aProgress);
  }
  return MakeInterruptionReport(aProgress, aOutcome);
}

http_call MakeCall(const dispatch_action& aAction,
                   const dispatch_options& aOptions)
{
  http_call call;
  call.mAddress = aAction.mAddress;
  call.mMethod = "POST";
  call.mTarget = "/run";
  call.mContentType = "application/json";
  if (!aOptions.mPeerKey.empty()) {
    call.mHeaders.emplace_back("Authorization", "Bearer " + aOptions.mPeerKey);
  }
  call.mBody = EncodeDispatch({ aAction.mHeader, aAction.mRun });
  call.mConnectTimeout =
    std::min(aOptions.mConnectTimeout, aAction.mRun.mTimeout);
  call.mReadTimeout = aAction.mRun.mTimeout + aOptions.mReadSlack;
  return call;
}

} // namespace

run_report PerformDispatch(const dispatch_action& aAction,
                           const dispatch_options& aOptions,
                           call_stopper& aStopper,
                           const run_observer& aObserver)
{
  run_progress progress{ aAction, aOptions, aObserver, 0,  {}, {},
                         {},      {},       {},        {}, {}, {} };
  progress.mCheck.mRequest = ToString(aAction.mRun.mRequest);
  progress.mMeter.mLimits = { aAction.mRun.mMaxPromptTokens,
                              aAction.mRun.mMaxTokens };
  const call_outcome outcome = PerformCall(
    MakeCall(aAction, aOptions),
    [&progress](int aStatus, const std::string&) {
      progress.mHttpStatus = aStatus;
      if (aStatus == 200) {
        progress.mObserver.mOnAccepted();
      }
      return true;
    },
    [&progress](std::string_view aBytes) { return OnBytes(progress, aBytes); },
    &aStopper);
  return MakeReport(progress, outcome);
}

} // namespace foxtailquay
