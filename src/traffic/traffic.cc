#include "traffic/traffic.h"

#include <vector>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

void ReadRequests(traffic& aTraffic, channel_id aChannel);

caller_connection* FindCaller(traffic& aTraffic, channel_id aChannel)
{
  const auto found = aTraffic.mCallers.find(aChannel);
  return found == aTraffic.mCallers.end() ? nullptr : found->second.get();
}

reader_limits RequestLimits(const traffic& aTraffic)
{
  return { aTraffic.mLimits.mMaxHeaderBytes, aTraffic.mLimits.mMaxBodyBytes };
}

void AwaitRequest(traffic& aTraffic, caller_connection& aCaller)
{
  aCaller.mHandle = 0;
  aCaller.mIdleSince = MonotonicNow();
  aCaller.mStartedAt = absl::InfiniteFuture();
  StartReading(aCaller.mReader, message_kind::Request, RequestLimits(aTraffic));
}

void CloseCaller(traffic& aTraffic, channel_id aChannel)
{
  aTraffic.mCallers.erase(aChannel);
  CloseWhenDrained(aTraffic.mLoop, aChannel);
}

// Answers bytes that are no acceptable request; nothing was forwarded.
void RefuseBytes(traffic& aTraffic, caller_connection& aCaller,
                 const error& aError)
{
  Send(aTraffic.mLoop, aCaller.mId, platform::EncodeError(aError, "", true));
  CloseCaller(aTraffic, aCaller.mId);
}

error BadRequest(bool aTooLarge)
{
  return error{ aTooLarge ? error_code::BodyTooLarge
                          : error_code::InvalidRequest,
                executed::No, "", "the request is not acceptable",
                absl::ZeroDuration() };
}

// Hands a complete request to the control thread.
void StartExchange(traffic& aTraffic, caller_connection& aCaller)
{
  auto decoded = platform::DecodeRequest(aCaller.mReader.mHead);
  if (!IsOk(decoded)) {
    RefuseBytes(aTraffic, aCaller, GetError(decoded));
    return;
  }
  caller_request request = GetValue(std::move(decoded));
  auto started = std::make_unique<exchange>();
  started->mHandle = aTraffic.mNextHandle++;
  started->mCaller = aCaller.mId;
  started->mRequest = std::move(aCaller.mReader.mHead);
  started->mBody = std::move(aCaller.mReader.mBody);
  started->mAttemptId = request.mAttemptId;
  started->mArrivedAt = MonotonicNow();
  aCaller.mHandle = started->mHandle;
  aCaller.mClose = !aCaller.mReader.mKeepAlive;
  request.mHandle = started->mHandle;
  const request_handle handle = started->mHandle;
  aTraffic.mExchanges[handle] = std::move(started);
  if (!aTraffic.mHooks.mPost(std::move(request))) {
    SendError(aTraffic, { handle,
                          { error_code::Overloaded, executed::No, "",
                            "too many requests wait for a decision",
                            absl::Milliseconds(500) } });
  }
}

void TakeCallerData(traffic& aTraffic, channel_id aChannel,
                    std::string_view aData)
{
  caller_connection* caller = FindCaller(aTraffic, aChannel);
  if (caller == nullptr) {
    return;
  }
  caller->mInput.append(aData.data(), aData.size());
  if (caller->mHandle != 0) {
    if (caller->mInput.size() > kMaxEarlyBytes) {
      SetReadingPaused(aTraffic.mLoop, aChannel, true);
    }
    return;
  }
  ReadRequests(aTraffic, aChannel);
}

void ReadRequests(traffic& aTraffic, channel_id aChannel)
{
  caller_connection* caller = FindCaller(aTraffic, aChannel);
  if (caller == nullptr || caller->mHandle != 0 || caller->mInput.empty()) {
    return;
  }
  if (caller->mStartedAt == absl::InfiniteFuture()) {
    caller->mStartedAt = MonotonicNow();
  }
  ParseInput(caller->mReader, caller->mInput);
  if (caller->mReader.mIsMalformed) {
    RefuseBytes(aTraffic, *caller, BadRequest(caller->mReader.mIsTooLarge));
  } else if (caller->mReader.mIsComplete) {
    StartExchange(aTraffic, *caller);
  }
}

void TakeCallerClose(traffic& aTraffic, channel_id aChannel)
{
  const auto found = aTraffic.mCallers.find(aChannel);
  if (found == aTraffic.mCallers.end()) {
    return;
  }
  const request_handle handle = found->second->mHandle;
  aTraffic.mCallers.erase(found);
  exchange* each = FindExchange(aTraffic, handle);
  if (each == nullptr) {
    return;
  }
  // The server's work is cancelled at once; the control thread settles.
  DropAttempt(aTraffic, *each);
  aTraffic.mHooks.mPost(caller_disconnected{ handle, each->mEvents });
  aTraffic.mExchanges.erase(handle);
}

void ResumeServer(traffic& aTraffic, channel_id aCaller)
{
  const caller_connection* caller = FindCaller(aTraffic, aCaller);
  exchange* each =
    caller == nullptr ? nullptr : FindExchange(aTraffic, caller->mHandle);
  if (each != nullptr && each->mAttempt) {
    SetReadingPaused(aTraffic.mLoop, each->mAttempt->mChannel, false);
  }
}

} // namespace

void AcceptCaller(traffic& aTraffic, channel_id aChannel)
{
  auto caller = std::make_unique<caller_connection>();
  caller->mId = aChannel;
  AwaitRequest(aTraffic, *caller);
  aTraffic.mCallers[aChannel] = std::move(caller);
  channel_handlers handlers;
  handlers.mOnData = [&aTraffic, aChannel](std::string_view aData) {
    TakeCallerData(aTraffic, aChannel, aData);
  };
  handlers.mOnClosed = [&aTraffic, aChannel](close_cause) {
    TakeCallerClose(aTraffic, aChannel);
  };
  handlers.mOnDrained = [&aTraffic, aChannel] {
    ResumeServer(aTraffic, aChannel);
  };
  SetHandlers(aTraffic.mLoop, aChannel, std::move(handlers));
}

exchange* FindExchange(traffic& aTraffic, request_handle aHandle)
{
  const auto found = aTraffic.mExchanges.find(aHandle);
  return found == aTraffic.mExchanges.end() ? nullptr : found->second.get();
}

void SendToCaller(traffic& aTraffic, exchange& aExchange,
                  std::string_view aBytes)
{
  Send(aTraffic.mLoop, aExchange.mCaller, aBytes);
  if (aExchange.mAttempt &&
      GetUnsentBytes(aTraffic.mLoop, aExchange.mCaller) > kMaxUnsentBytes) {
    SetReadingPaused(aTraffic.mLoop, aExchange.mAttempt->mChannel, true);
  }
}

bool ClosesAfter(const traffic& aTraffic, const exchange& aExchange)
{
  const auto caller = aTraffic.mCallers.find(aExchange.mCaller);
  return aTraffic.mStopping || caller == aTraffic.mCallers.end() ||
         caller->second->mClose;
}

void FinishExchange(traffic& aTraffic, request_handle aHandle)
{
  exchange* each = FindExchange(aTraffic, aHandle);
  if (each == nullptr) {
    return;
  }
  const channel_id channel = each->mCaller;
  const bool close = ClosesAfter(aTraffic, *each);
  if (aTraffic.mHooks.mOnResponse) {
    aTraffic.mHooks.mOnResponse(MonotonicNow() - each->mArrivedAt);
  }
  aTraffic.mExchanges.erase(aHandle);
  caller_connection* caller = FindCaller(aTraffic, channel);
  if (caller == nullptr) {
    return;
  }
  if (close) {
    CloseCaller(aTraffic, channel);
    return;
  }
  AwaitRequest(aTraffic, *caller);
  SetReadingPaused(aTraffic.mLoop, channel, false);
  // The next request may already be here.
  ReadRequests(aTraffic, channel);
}

void CutExchange(traffic& aTraffic, request_handle aHandle)
{
  exchange* each = FindExchange(aTraffic, aHandle);
  if (each == nullptr) {
    return;
  }
  const channel_id channel = each->mCaller;
  aTraffic.mExchanges.erase(aHandle);
  // What was sent stays; the missing end shows that the answer is cut short.
  CloseCaller(aTraffic, channel);
}

void SendError(traffic& aTraffic, const send_error& aResponse)
{
  exchange* each = FindExchange(aTraffic, aResponse.mHandle);
  if (each == nullptr) {
    return;
  }
  DropAttempt(aTraffic, *each);
  aTraffic.mHooks.mPost(
    caller_disconnected{ aResponse.mHandle, each->mEvents });
  if (each->mHeadSent) {
    CutExchange(aTraffic, aResponse.mHandle);
    return;
  }
  Send(aTraffic.mLoop, each->mCaller,
       platform::EncodeError(aResponse.mError, each->mAttemptId,
                             ClosesAfter(aTraffic, *each)));
  FinishExchange(aTraffic, aResponse.mHandle);
}

void DeliverFailure(traffic& aTraffic, request_handle aHandle)
{
  exchange* each = FindExchange(aTraffic, aHandle);
  if (each == nullptr || !each->mHasHeldFailure) {
    return;
  }
  if (each->mHeadSent) {
    CutExchange(aTraffic, aHandle);
    return;
  }
  Send(aTraffic.mLoop, each->mCaller,
       platform::EncodeResponseHead(each->mHeldHead, each->mHeldBody.size(),
                                    ClosesAfter(aTraffic, *each)));
  Send(aTraffic.mLoop, each->mCaller, each->mHeldBody);
  FinishExchange(aTraffic, aHandle);
}

void CancelExchange(traffic& aTraffic, request_handle aHandle)
{
  if (exchange* each = FindExchange(aTraffic, aHandle)) {
    DropAttempt(aTraffic, *each);
    CutExchange(aTraffic, aHandle);
  }
}

void SweepConnections(traffic& aTraffic, absl::Time aNow)
{
  std::vector<channel_id> expired;
  for (const auto& each : aTraffic.mCallers) {
    const caller_connection& caller = *each.second;
    if (caller.mHandle != 0) {
      continue;
    }
    const bool isReading = caller.mStartedAt != absl::InfiniteFuture();
    const bool isLate =
      isReading ? !caller.mReader.mIsHeadComplete &&
                    aNow - caller.mStartedAt > aTraffic.mLimits.mHeaderTimeout
                : aTraffic.mClosing ||
                    aNow - caller.mIdleSince > aTraffic.mLimits.mIdleTimeout;
    if (isLate) {
      expired.push_back(each.first);
    }
  }
  for (channel_id channel : expired) {
    CloseCaller(aTraffic, channel);
  }
  ExpireIdleChannels(aTraffic.mLoop, aTraffic.mPool, aNow);
}

} // namespace foxtailquay
