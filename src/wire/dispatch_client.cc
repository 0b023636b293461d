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

// What has arrived of one run's response.
struct run_progress
{
  const dispatch_action& mAction;
  const dispatch_options& mOptions;
  const run_observer& mObserver;
  int mHttpStatus = 0;
  // Body of a refusal.
  std::string mRefusal;
  line_splitter mLines;
  frame_check mCheck;
  run_frame mHead;
  run_frame mLast;
  usage_meter mMeter;
  stored_response mResponse;
  std::optional<error> mFault;
};

error RunError(error_code aCode, executed aExecuted, std::string aDetail)
{
  return error{ aCode, aExecuted, "", std::move(aDetail),
                absl::ZeroDuration() };
}

bool IsEventStream(const run_progress& aProgress)
{
  return aProgress.mAction.mRun.mKind == backend_kind::Engine &&
         aProgress.mHead.mStatus == 200;
}

bool TakeData(run_progress& aProgress, const run_frame& aFrame)
{
  if (!IsEventStream(aProgress)) {
    stored_response& response = aProgress.mResponse;
    if (response.mBody.size() + aFrame.mText.size() >
        aProgress.mOptions.mMaxResponseBytes) {
      aProgress.mFault = RunError(error_code::BackendServerFailed,
                                  executed::Yes, "the answer is too large");
      return false;
    }
    response.mBody += aFrame.mText;
    aProgress.mObserver.mOnData(aFrame, Json::Value::nullSingleton());
    return true;
  }
  auto event = ParseJson(DecodeSseEvent(aFrame.mText));
  if (!IsOk(event)) {
    aProgress.mFault =
      RunError(error_code::ProtocolViolation, executed::Unknown,
               "an event of the stream is not JSON");
    return false;
  }
  (void)UpdateUsage(aProgress.mMeter, GetValue(event));
  aProgress.mObserver.mOnData(aFrame, GetValue(event));
  return true;
}

bool TakeFrame(run_progress& aProgress, std::string_view aLine)
{
  auto decoded = DecodeFrame(aLine);
  auto checked = IsOk(decoded) ? CheckFrame(aProgress.mCheck, GetValue(decoded))
                               : result<success>(GetError(decoded));
  if (!IsOk(checked)) {
    aProgress.mFault = GetError(checked);
    aProgress.mFault->mExecuted = executed::Unknown;
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
      return TakeData(aProgress, frame);
    case frame_type::End:
    case frame_type::Broken:
      aProgress.mLast = std::move(frame);
      return true;
  }
  return false;
}

bool TakeBytes(run_progress& aProgress, std::string_view aBytes)
{
  if (aProgress.mHttpStatus != 200) {
    constexpr std::size_t kMaxRefusalBytes = 64 << 10;
    aProgress.mRefusal += aBytes;
    return aProgress.mRefusal.size() <= kMaxRefusalBytes;
  }
  auto lines = TakeLines(aProgress.mLines, aBytes);
  if (!IsOk(lines)) {
    aProgress.mFault = GetError(lines);
    return false;
  }
  for (const std::string& line : GetValue(lines)) {
    if (!TakeFrame(aProgress, line)) {
      return false;
    }
  }
  return true;
}

run_report Failed(const run_progress& aProgress, error aError,
                  const token_usage& aUsage)
{
  return run_failed_event{ aProgress.mAction.mHandle,
                           aProgress.mAction.mRun.mRequest, aUsage, false,
                           std::move(aError) };
}

// The agent answered with an HTTP error.
run_report ReportRefusal(const run_progress& aProgress)
{
  error refusal;
  auto json = ParseJson(aProgress.mRefusal);
  if (IsOk(json) && IsOk(ReadError(GetValue(json), refusal)) &&
      refusal.mExecuted == executed::No) {
    return run_refused_event{ aProgress.mAction.mHandle,
                              aProgress.mAction.mRun.mRequest, refusal };
  }
  return Failed(aProgress,
                RunError(error_code::ProtocolViolation, executed::Unknown,
                         absl::StrCat("the agent answered with status ",
                                      aProgress.mHttpStatus)),
                {});
}

run_report ReportBreak(const run_progress& aProgress, call_outcome aOutcome)
{
  const token_usage usage = GetUsage(aProgress.mMeter);
  if (aProgress.mFault) {
    return Failed(aProgress, *aProgress.mFault, usage);
  }
  if (aOutcome == call_outcome::Stopped) {
    return Failed(aProgress,
                  RunError(error_code::CallerDisconnected, executed::Unknown,
                           "the run was cancelled"),
                  usage);
  }
  return Failed(aProgress,
                RunError(error_code::StreamBroken, executed::Unknown,
                         "the agent's answer broke off"),
                usage);
}

run_report Report(run_progress& aProgress, call_outcome aOutcome)
{
  const dispatch_action& action = aProgress.mAction;
  if (aProgress.mCheck.mPhase == frame_phase::Ended && !aProgress.mFault) {
    if (aProgress.mLast.mType == frame_type::Broken) {
      return Failed(aProgress, aProgress.mLast.mError, aProgress.mLast.mUsage);
    }
    return run_finished_event{ action.mHandle, action.mRun.mRequest,
                               aProgress.mLast.mUsage,
                               std::move(aProgress.mResponse) };
  }
  if (aOutcome == call_outcome::NotConnected) {
    return run_refused_event{ action.mHandle, action.mRun.mRequest,
                              RunError(error_code::PeerUnreachable,
                                       executed::No,
                                       "the agent cannot be reached") };
  }
  if (aProgress.mHttpStatus != 0 && aProgress.mHttpStatus != 200) {
    return ReportRefusal(aProgress);
  }
  return ReportBreak(aProgress, aOutcome);
}

http_call CallFor(const dispatch_action& aAction,
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
    CallFor(aAction, aOptions),
    [&progress](int aStatus, const std::string&) {
      progress.mHttpStatus = aStatus;
      if (aStatus == 200) {
        progress.mObserver.mOnAccepted();
      }
      return true;
    },
    [&progress](std::string_view aBytes) {
      return TakeBytes(progress, aBytes);
    },
    &aStopper);
  return Report(progress, outcome);
}

} // namespace foxtailquay
