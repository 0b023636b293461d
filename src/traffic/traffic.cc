#include "traffic/traffic.h"

#include <algorithm>
#include <vector>

#include "runtime/clock.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Time after which callers may repeat a request that was refused for the load
// of this process.
constexpr absl::Duration kOverloadRetryAfter = absl::Milliseconds(500);

void ReadNextRequest(traffic& aTraffic, channel_id aChannel);

caller_connection* FindCaller(traffic& aTraffic, channel_id aChannel)
{
  const auto found = aTraffic.mCallers.find(aChannel);
  return found == aTraffic.mCallers.end() ? nullptr : found->second.get();
}

reader_limits MakeRequestLimits(const traffic& aTraffic)
{
  return { aTraffic.mLimits.mMaxHeaderBytes, aTraffic.mLimits.mMaxBodyBytes };
}

void StartReadingRequest(traffic& aTraffic, caller_connection& aCaller)
{
  aCaller.mHandle = 0;
  aCaller.mIdleSince = MonotonicNow();
  aCaller.mRequestStartedAt = absl::InfiniteFuture();
  StartReading(aCaller.mReader, message_kind::Request,
               MakeRequestLimits(aTraffic));
}

void CloseCaller(traffic& aTraffic, channel_id aChannel)
{
  aTraffic.mCallers.erase(aChannel);
  CloseWhenDrained(aTraffic.mLoop, aChannel);
}

// Sends an error response to a request that was not read completely and closes
// the connection. Nothing was forwarded.
void RejectRequest(traffic& aTraffic, channel_id aChannel, const error& aError)
{
  aTraffic.mCallers.erase(aChannel);
  Send(aTraffic.mLoop, aChannel, platform::EncodeError(aError, "", true));
  CloseLingering(aTraffic.mLoop, aChannel);
}

error MakeRequestError(error_code aCode, std::string aDetail)
{
  return error{ aCode, executed::No, "", std::move(aDetail),
                absl::ZeroDuration() };
}

error MakeOverloadError(std::string aDetail)
{
  error overload = MakeRequestError(error_code::Overloaded, std::move(aDetail));
  overload.mRetryAfter = kOverloadRetryAfter;
  return overload;
}

// Returns the error for a request that the reader rejected.
error MakeReaderError(reader_failure aFailure)
{
  switch (aFailure) {
    case reader_failure::HeaderTooLarge:
      return MakeRequestError(error_code::HeaderTooLarge,
                              "the header section of the request is too large");
    case reader_failure::BodyTooLarge:
      return MakeRequestError(error_code::BodyTooLarge,
                              "the body of the request is too large");
    case reader_failure::None:
    case reader_failure::Malformed:
      break;
  }
  return MakeRequestError(error_code::InvalidRequest,
                          "the request is malformed");
}

// Returns the hash of what is requested. It does not depend on the framing of
// the body.
std::uint64_t HashContent(const message_head& aHead, const std::string& aHost,
                          const std::string& aBody)
{
  std::uint64_t hash = 0;
  for (const std::string* part :
       { &aHead.mMethod, &aHost, &aHead.mTarget, &aBody }) {
    hash = XXH3_64bits_withSeed(part->data(), part->size(), hash);
  }
  return hash;
}

// Starts the exchange of a complete request and posts the request to the
// control thread.
void StartExchange(traffic& aTraffic, caller_connection& aCaller)
{
  auto decoded = platform::DecodeRequest(aCaller.mReader.mHead);
  if (!IsOk(decoded)) {
    RejectRequest(aTraffic, aCaller.mId, GetError(decoded));
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
  request.mContentHash =
    HashContent(started->mRequest, request.mHost, started->mBody);
  aCaller.mHandle = started->mHandle;
  aCaller.mCloseAfterResponse = !aCaller.mReader.mKeepAlive;
  request.mHandle = started->mHandle;
  const request_handle handle = started->mHandle;
  aTraffic.mExchanges[handle] = std::move(started);
  if (!aTraffic.mHooks.mPost(std::move(request))) {
    SendError(aTraffic,
              { handle, MakeOverloadError(
                          "too many requests are waiting for a decision") });
  }
}

void OnCallerData(traffic& aTraffic, channel_id aChannel,
                  std::string_view aData)
{
  caller_connection* caller = FindCaller(aTraffic, aChannel);
  if (caller == nullptr) {
    return;
  }
  caller->mInput.append(aData.data(), aData.size());
  if (caller->mHandle != 0) {
    if (caller->mInput.size() > kMaxPipelinedBytes) {
      SetReadingPaused(aTraffic.mLoop, aChannel, true);
    }
    return;
  }
  ReadNextRequest(aTraffic, aChannel);
}

// Parses received bytes unless an exchange is in progress. Starts an exchange
// once a request is complete.
void ReadNextRequest(traffic& aTraffic, channel_id aChannel)
{
  caller_connection* caller = FindCaller(aTraffic, aChannel);
  if (caller == nullptr || caller->mHandle != 0 || caller->mInput.empty()) {
    return;
  }
  if (caller->mRequestStartedAt == absl::InfiniteFuture()) {
    caller->mRequestStartedAt = MonotonicNow();
  }
  ParseInput(caller->mReader, caller->mInput);
  if (caller->mReader.mFailure != reader_failure::None) {
    RejectRequest(aTraffic, aChannel,
                  MakeReaderError(caller->mReader.mFailure));
  } else if (caller->mReader.mIsComplete) {
    StartExchange(aTraffic, *caller);
  } else if (IsBufferFull(aTraffic, caller->mReader.mBody.size(),
                          aTraffic.mLimits.mMaxBodyBytes)) {
    RejectRequest(aTraffic, aChannel,
                  MakeOverloadError("too many bytes of requests and responses "
                                    "are held"));
  }
}

void OnCallerClosed(traffic& aTraffic, channel_id aChannel)
{
  const auto found = aTraffic.mCallers.find(aChannel);
  if (found == aTraffic.mCallers.end()) {
    return;
  }
  const request_handle handle = found->second->mHandle;
  aTraffic.mCallers.erase(found);
  exchange* active = FindExchange(aTraffic, handle);
  if (active == nullptr) {
    return;
  }
  // The backend server's work is cancelled immediately; the control thread
  // settles the tokens when it receives the event.
  CancelAttempt(aTraffic, *active);
  aTraffic.mHooks.mPost(caller_disconnected{ handle, active->mEvents });
  aTraffic.mExchanges.erase(handle);
}

} // namespace

void AcceptCaller(traffic& aTraffic, channel_id aChannel)
{
  auto caller = std::make_unique<caller_connection>();
  caller->mId = aChannel;
  StartReadingRequest(aTraffic, *caller);
  aTraffic.mCallers[aChannel] = std::move(caller);
  channel_handlers handlers;
  handlers.mOnData = [&aTraffic, aChannel](std::string_view aData) {
    OnCallerData(aTraffic, aChannel, aData);
  };
  handlers.mOnClosed = [&aTraffic, aChannel](close_cause) {
    OnCallerClosed(aTraffic, aChannel);
  };
  handlers.mOnDrained = [&aTraffic, aChannel] {
    ResumeReadingServer(aTraffic, aChannel);
  };
  SetHandlers(aTraffic.mLoop, aChannel, std::move(handlers));
}

exchange* FindExchange(traffic& aTraffic, request_handle aHandle)
{
  const auto found = aTraffic.mExchanges.find(aHandle);
  return found == aTraffic.mExchanges.end() ? nullptr : found->second.get();
}

std::size_t MeasureBufferedBytes(const traffic& aTraffic)
{
  std::size_t bytes = CountUnsentBytes(aTraffic.mLoop);
  for (const auto& each : aTraffic.mCallers) {
    const caller_connection& caller = *each.second;
    bytes += caller.mInput.size() + caller.mReader.mBody.size();
  }
  for (const auto& each : aTraffic.mExchanges) {
    const exchange& active = *each.second;
    bytes += active.mBody.size() + active.mHeldBody.size() +
             active.mPartialEvent.size();
    if (active.mAttempt) {
      bytes +=
        active.mAttempt->mInput.size() + active.mAttempt->mReader.mBody.size();
    }
  }
  return bytes;
}

bool IsBufferFull(const traffic& aTraffic, std::size_t aBytes, std::size_t aMax)
{
  return aBytes > aMax ||
         (aBytes > kMinBufferedBytes &&
          MeasureBufferedBytes(aTraffic) > aTraffic.mMaxBufferedBytes);
}

bool NeedsClose(const traffic& aTraffic, const exchange& aExchange)
{
  const auto caller = aTraffic.mCallers.find(aExchange.mCaller);
  return aTraffic.mIsStopping || aTraffic.mIsClosing ||
         caller == aTraffic.mCallers.end() ||
         caller->second->mCloseAfterResponse;
}

void FinishExchange(traffic& aTraffic, request_handle aHandle)
{
  exchange* active = FindExchange(aTraffic, aHandle);
  if (active == nullptr) {
    return;
  }
  const channel_id channel = active->mCaller;
  const bool close = NeedsClose(aTraffic, *active);
  if (aTraffic.mHooks.mOnResponseFinished) {
    aTraffic.mHooks.mOnResponseFinished(MonotonicNow() - active->mArrivedAt);
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
  StartReadingRequest(aTraffic, *caller);
  SetReadingPaused(aTraffic.mLoop, channel, false);
  // The next request may already have arrived.
  ReadNextRequest(aTraffic, channel);
}

void AbortExchange(traffic& aTraffic, request_handle aHandle)
{
  exchange* active = FindExchange(aTraffic, aHandle);
  if (active == nullptr) {
    return;
  }
  const channel_id channel = active->mCaller;
  aTraffic.mExchanges.erase(aHandle);
  // Bytes that were sent still reach the caller. The missing end shows that the
  // response is cut short.
  CloseCaller(aTraffic, channel);
}

void AbandonUnsentExchange(traffic& aTraffic, request_handle aHandle)
{
  const exchange* active = FindExchange(aTraffic, aHandle);
  if (active != nullptr) {
    aTraffic.mHooks.mPost(
      caller_disconnected{ aHandle, active->mEvents, true });
    AbortExchange(aTraffic, aHandle);
  }
}

void SendError(traffic& aTraffic, const send_error& aResponse)
{
  exchange* active = FindExchange(aTraffic, aResponse.mHandle);
  if (active == nullptr) {
    return;
  }
  CancelAttempt(aTraffic, *active);
  aTraffic.mHooks.mPost(
    caller_disconnected{ aResponse.mHandle, active->mEvents });
  if (active->mHeadSent) {
    AbortExchange(aTraffic, aResponse.mHandle);
    return;
  }
  Send(aTraffic.mLoop, active->mCaller,
       platform::EncodeError(aResponse.mError, active->mAttemptId,
                             NeedsClose(aTraffic, *active)));
  FinishExchange(aTraffic, aResponse.mHandle);
}

void DeliverFailure(traffic& aTraffic, request_handle aHandle)
{
  exchange* active = FindExchange(aTraffic, aHandle);
  if (active == nullptr || !active->mHasHeldFailure) {
    return;
  }
  if (active->mHeadSent) {
    AbortExchange(aTraffic, aHandle);
    return;
  }
  Send(aTraffic.mLoop, active->mCaller,
       platform::EncodeResponseHead(active->mHeldHead, active->mHeldBody.size(),
                                    NeedsClose(aTraffic, *active)));
  Send(aTraffic.mLoop, active->mCaller, active->mHeldBody);
  FinishExchange(aTraffic, aHandle);
}

void CancelExchange(traffic& aTraffic, request_handle aHandle)
{
  if (exchange* active = FindExchange(aTraffic, aHandle)) {
    CancelAttempt(aTraffic, *active);
    AbortExchange(aTraffic, aHandle);
  }
}

bool IsDrained(const traffic& aTraffic, absl::Time aNow)
{
  const bool isReading =
    std::any_of(aTraffic.mCallers.begin(), aTraffic.mCallers.end(),
                [aNow](const auto& aEach) {
                  const caller_connection& caller = *aEach.second;
                  return caller.mRequestStartedAt != absl::InfiniteFuture() ||
                         aNow - caller.mIdleSince < kFirstRequestTime;
                });
  return aTraffic.mExchanges.empty() && !isReading &&
         !HasUnsentBytes(aTraffic.mLoop);
}

void ExpireConnections(traffic& aTraffic, absl::Time aNow)
{
  EndStalledAttempts(aTraffic, aNow);
  ReviewSlowCallers(aTraffic, aNow);
  std::vector<channel_id> idle;
  std::vector<channel_id> late;
  for (const auto& each : aTraffic.mCallers) {
    const caller_connection& caller = *each.second;
    if (caller.mHandle != 0) {
      continue;
    }
    if (caller.mRequestStartedAt == absl::InfiniteFuture()) {
      const absl::Duration limit =
        aTraffic.mCloseIdle ? kFirstRequestTime : aTraffic.mLimits.mIdleTimeout;
      if (aNow - caller.mIdleSince > limit) {
        idle.push_back(each.first);
      }
      continue;
    }
    absl::Duration limit = aTraffic.mLimits.mHeaderTimeout;
    if (caller.mReader.mIsHeadComplete) {
      limit += aTraffic.mLimits.mIdleTimeout;
    }
    if (aNow - caller.mRequestStartedAt > limit) {
      late.push_back(each.first);
    }
  }
  for (channel_id channel : idle) {
    CloseCaller(aTraffic, channel);
  }
  for (channel_id channel : late) {
    RejectRequest(aTraffic, channel,
                  MakeRequestError(error_code::RequestTimeout,
                                   "the request did not arrive in time"));
  }
  ExpireIdleChannels(aTraffic.mLoop, aTraffic.mPool, aNow);
}

} // namespace foxtailquay
