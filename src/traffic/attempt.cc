// Attempts: sending a request to a backend server and relaying its response.

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "runtime/clock.h"
#include "traffic/traffic.h"
#include "wire/sse.h"

namespace foxtailquay {

namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Returns true if a response of the gateway with this status guarantees that
// the request was not executed. A backend server's response with such a status
// does not guarantee it without the header that says so, and is not relayed.
bool IsNotExecutedStatus(int aStatus)
{
  return aStatus == 408 || aStatus == 429 || aStatus == 503;
}

bool IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

reader_limits MakeResponseLimits()
{
  reader_limits limits;
  limits.mMaxHeaderBytes = 64 << 10;
  limits.mMaxBodyBytes = std::uint64_t{ 1 } << 40;
  return limits;
}

void StartReadingResponse(const exchange& aExchange, attempt& aAttempt)
{
  StartReading(aAttempt.mReader,
               aExchange.mRequest.mMethod == "HEAD"
                 ? message_kind::ResponseWithoutBody
                 : message_kind::Response,
               MakeResponseLimits());
  aAttempt.mHasResponseInfo = false;
  aAttempt.mSkipResponse = false;
}

// Returns the time for which the server's connection may be kept idle.
absl::Duration ComputeIdleTimeout(const platform::response_info& aInfo)
{
  return aInfo.mKeepAliveTimeout
           ? *aInfo.mKeepAliveTimeout - kServerIdleTimeoutMargin
           : kDefaultServerIdleTimeout;
}

// Returns true if the response names no attempt, and may be a copy of the
// response to an earlier request on the connection.
bool MayBelongToEarlier(const attempt& aAttempt)
{
  return aAttempt.mIsReused && aAttempt.mResponseInfo.mAttemptId.empty();
}

// Returns the outcome of an attempt whose connection or response broke off.
attempt_outcome ComputeBrokenOutcome(const exchange& aExchange)
{
  return aExchange.mHeadSent ? attempt_outcome::BrokenMidway
                             : attempt_outcome::Broken;
}

// Ends the attempt and posts its report. The exchange continues until the
// control thread decides what follows, except after Delivered, which ends it.
// aKeepConnection: the connection may be reused.
// aIsConnectionLost: the server's connection failed or broke off.
void EndAttempt(traffic& aTraffic, exchange& aExchange,
                attempt_outcome aOutcome, bool aKeepConnection,
                bool aIsConnectionLost = false)
{
  const std::unique_ptr<attempt> ended = std::move(aExchange.mAttempt);
  attempt_report report;
  report.mHandle = aExchange.mHandle;
  report.mAttempt = ended->mDispatch.mAttempt;
  report.mOutcome = aOutcome;
  report.mIsConnectionLost = aIsConnectionLost;
  report.mStatus = ended->mHasResponseInfo ? ended->mResponseInfo.mStatus : 0;
  report.mWrongServer =
    aOutcome == attempt_outcome::NotRun && ended->mResponseInfo.mWrongServer;
  report.mLoad = ended->mResponseInfo.mLoad;
  if (ended->mHasResponseInfo && !ended->mSkipResponse &&
      !MayBelongToEarlier(*ended)) {
    report.mStatement = ended->mResponseInfo.mStatement;
  }
  report.mEvents = aExchange.mEvents;
  report.mFraming = ended->mReader.mFraming;
  report.mPartialEventBytes = aExchange.mPartialEvent.size();
  report.mHasBegun = ended->mReader.mHasStarted && !ended->mSkipResponse;
  report.mHasOutput = ended->mDispatch.mKind == call_kind::Stream
                        ? ended->mLastEventAt != absl::InfiniteFuture()
                        : aExchange.mHeadSent;
  // Another request may use the connection only if this request was completely
  // sent and its response was completely read.
  const bool keep = aKeepConnection && ended->mReader.mIsComplete &&
                    ended->mReader.mKeepAlive && ended->mInput.empty() &&
                    GetUnsentBytes(aTraffic.mLoop, ended->mChannel) == 0;
  if (keep) {
    ReleaseChannel(aTraffic.mLoop, aTraffic.mPool, ended->mDispatch.mAddress,
                   ended->mChannel, ComputeIdleTimeout(ended->mResponseInfo));
  } else {
    CloseChannel(aTraffic.mLoop, aTraffic.mPool, ended->mDispatch.mAddress,
                 ended->mChannel);
  }
  const request_handle handle = aExchange.mHandle;
  aTraffic.mHooks.mPost(report);
  if (aOutcome == attempt_outcome::Delivered) {
    FinishExchange(aTraffic, handle);
  }
}

void SendChunk(traffic& aTraffic, exchange& aExchange, std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  SendToCaller(aTraffic, aExchange,
               absl::StrCat(absl::Hex(aBytes.size()), "\r\n",
                            absl::string_view(aBytes.data(), aBytes.size()),
                            "\r\n"));
}

// Posts first_byte, once per attempt: each server of a stream that continues
// states something of its own.
void PostStart(traffic& aTraffic, const exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  if (!current.mIsStartPosted) {
    current.mIsStartPosted = true;
    aTraffic.mHooks.mPost(first_byte{
      aExchange.mHandle, current.mDispatch.mAttempt,
      current.mResponseInfo.mLoad, current.mResponseInfo.mStatement });
  }
}

// Sends the header section of a chunked response to the caller, once per
// exchange, and posts first_byte.
void SendChunkedHead(traffic& aTraffic, exchange& aExchange)
{
  PostStart(aTraffic, aExchange);
  if (aExchange.mHeadSent) {
    return;
  }
  aExchange.mHeadSent = true;
  if (aTraffic.mHooks.mOnResponseStarted) {
    aTraffic.mHooks.mOnResponseStarted(MonotonicNow() - aExchange.mArrivedAt);
  }
  const attempt& current = *aExchange.mAttempt;
  SendToCaller(aTraffic, aExchange,
               platform::EncodeResponseHead(current.mReader.mHead, std::nullopt,
                                            NeedsClose(aTraffic, aExchange)));
}

// What one event of a stream states.
struct stream_event
{
  // Value of the "id:" line; empty if there is none.
  std::string_view mId;
  // True if the event consists of comments only, which servers send to keep a
  // connection open.
  bool mIsComment = true;
};

stream_event ParseEvent(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  stream_event parsed;
  std::string_view line;
  while (TakeSseLine(aEvent, line)) {
    parsed.mIsComment =
      parsed.mIsComment && (line.empty() || line.front() == ':');
    if (parsed.mId.empty() && line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      parsed.mId = line;
    }
  }
  return parsed;
}

// Relays the complete events that have arrived. An incomplete event is held, so
// that the stream can continue from another backend server. Returns false if it
// is too large to be held.
bool RelayEvents(traffic& aTraffic, exchange& aExchange)
{
  std::string& pending = aExchange.mPartialEvent;
  pending += aExchange.mAttempt->mReader.mBody;
  aExchange.mAttempt->mReader.mBody.clear();
  std::size_t end = 0;
  for (std::size_t size = FindSseEventEnd(pending); size != std::string::npos;
       size = FindSseEventEnd(std::string_view(pending).substr(end))) {
    const stream_event parsed =
      ParseEvent(std::string_view(pending).substr(end, size));
    if (!parsed.mId.empty()) {
      aExchange.mLastEventId = std::string(parsed.mId);
    }
    if (parsed.mIsComment) {
      aExchange.mAttempt->mContentBytes -= size;
      aExchange.mAttempt->mOverheadBytes += size;
    } else {
      ++aExchange.mEvents;
      aExchange.mAttempt->mLastEventAt = MonotonicNow();
    }
    end += size;
  }
  if (end > 0) {
    SendChunkedHead(aTraffic, aExchange);
    SendChunk(aTraffic, aExchange, std::string_view(pending).substr(0, end));
    pending.erase(0, end);
  }
  return !IsBufferFull(aTraffic, pending.size(), kMaxHeldBytes);
}

void FinishStreamResponse(traffic& aTraffic, exchange& aExchange)
{
  SendChunkedHead(aTraffic, aExchange);
  SendToCaller(aTraffic, aExchange, kLastChunk);
  EndAttempt(aTraffic, aExchange, attempt_outcome::Delivered, true);
}

void FinishPlainResponse(traffic& aTraffic, exchange& aExchange)
{
  const http_reader& reader = aExchange.mAttempt->mReader;
  if (aExchange.mHeadSent) {
    SendChunk(aTraffic, aExchange, reader.mBody);
    SendToCaller(aTraffic, aExchange, kLastChunk);
  } else {
    aExchange.mHeadSent = true;
    SendToCaller(aTraffic, aExchange,
                 platform::EncodeResponseHead(reader.mHead, reader.mBody.size(),
                                              NeedsClose(aTraffic, aExchange)) +
                   reader.mBody);
  }
  EndAttempt(aTraffic, aExchange, attempt_outcome::Delivered, true);
}

// Ends the attempt after a complete response that is not relayed. A failure
// response is held until the control thread decides whether to deliver it.
void HoldFailure(traffic& aTraffic, exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  const platform::response_info& info = current.mResponseInfo;
  const bool namesAttempt = !info.mAttemptId.empty();
  if (info.mIsNotExecuted && MayBelongToEarlier(current)) {
    EndAttempt(aTraffic, aExchange, attempt_outcome::Broken, false);
    return;
  }
  if (info.mIsNotExecuted) {
    // A second copy of a response without an attempt id could not be told apart
    // from the next response, so the connection is not used again.
    EndAttempt(aTraffic, aExchange, attempt_outcome::NotRun, namesAttempt);
    return;
  }
  const bool usable = !IsSuccess(info.mStatus) &&
                      !IsNotExecutedStatus(info.mStatus) && !info.mIsEncoded &&
                      !MayBelongToEarlier(current);
  if (!usable) {
    EndAttempt(aTraffic, aExchange, attempt_outcome::Broken, false);
    return;
  }
  aExchange.mHasHeldFailure = true;
  aExchange.mHeldHead = std::move(current.mReader.mHead);
  aExchange.mHeldBody = std::move(current.mReader.mBody);
  EndAttempt(aTraffic, aExchange, attempt_outcome::Failed, namesAttempt);
}

// Returns true if the response may be relayed before the control thread
// decides.
bool MayRelay(const platform::response_info& aInfo)
{
  return IsSuccess(aInfo.mStatus) && aInfo.mIsAuthenticated &&
         !aInfo.mAttemptId.empty() && !aInfo.mIsEncoded &&
         !aInfo.mIsNotExecuted;
}

// Discards an interim response or a response to another request. Returns true
// if it is complete and bytes of the next response have arrived.
bool SkipResponse(exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  current.mReader.mBody.clear();
  if (!current.mReader.mIsComplete) {
    return false;
  }
  StartReadingResponse(aExchange, current);
  return !current.mInput.empty();
}

// Decodes the header section of the response once it is complete.
void DecodeResponseInfo(exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  if (current.mHasResponseInfo || !current.mReader.mIsHeadComplete) {
    return;
  }
  current.mResponseInfo = platform::DecodeResponse(current.mReader.mHead);
  current.mHasResponseInfo = true;
  const bool isInterim = current.mResponseInfo.mStatus < 200;
  const bool isOther = !current.mResponseInfo.mAttemptId.empty() &&
                       current.mResponseInfo.mAttemptId != aExchange.mAttemptId;
  current.mSkipResponse = isInterim || isOther;
}

// Returns true if a stream that is complete by its framing broke off
// nevertheless: inside an event or, where only the end of the connection marks
// the end, before the first event of the attempt.
bool IsCutStream(const exchange& aExchange)
{
  const attempt& current = *aExchange.mAttempt;
  const bool isEmpty =
    current.mReader.mFraming == body_framing::ConnectionEnd &&
    current.mLastEventAt == absl::InfiniteFuture();
  return current.mReader.mIsComplete &&
         (isEmpty || !aExchange.mPartialEvent.empty());
}

// Relays the parsed part of the response to the caller. A plain response, or
// one that may not be relayed, is held until it is complete or too large.
void RelayResponse(traffic& aTraffic, exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  if (!MayRelay(current.mResponseInfo)) {
    if (current.mReader.mIsComplete) {
      HoldFailure(aTraffic, aExchange);
    } else if (IsBufferFull(aTraffic, current.mReader.mBody.size(),
                            kMaxHeldBytes)) {
      EndAttempt(aTraffic, aExchange, attempt_outcome::Broken, false);
    }
    return;
  }
  if (current.mDispatch.mKind == call_kind::Stream) {
    const bool isHeld = RelayEvents(aTraffic, aExchange);
    if (!isHeld || IsCutStream(aExchange)) {
      EndAttempt(aTraffic, aExchange, ComputeBrokenOutcome(aExchange), false);
    } else if (current.mReader.mIsComplete) {
      FinishStreamResponse(aTraffic, aExchange);
    }
    return;
  }
  if (current.mReader.mIsComplete) {
    FinishPlainResponse(aTraffic, aExchange);
  } else if (IsBufferFull(aTraffic, current.mReader.mBody.size(),
                          kMaxHeldBytes)) {
    SendChunkedHead(aTraffic, aExchange);
    SendChunk(aTraffic, aExchange, current.mReader.mBody);
    current.mReader.mBody.clear();
  }
}

// Parses received bytes and counts what they are.
void ParseResponse(attempt& aAttempt)
{
  const std::size_t received = aAttempt.mInput.size();
  const std::size_t held = aAttempt.mReader.mBody.size();
  ParseInput(aAttempt.mReader, aAttempt.mInput);
  const std::size_t content = aAttempt.mReader.mBody.size() - held;
  aAttempt.mContentBytes += content;
  aAttempt.mOverheadBytes += received - aAttempt.mInput.size() - content;
}

// Returns true if the server sends bytes that lead to nothing.
bool IsWithoutProgress(const attempt& aAttempt)
{
  return aAttempt.mSkippedBytes > kMaxSkippedBytes ||
         (aAttempt.mOverheadBytes > kMaxOverheadBytes &&
          aAttempt.mOverheadBytes / kMaxOverheadRatio > aAttempt.mContentBytes);
}

// Parses received bytes and relays the response.
void ReadResponse(traffic& aTraffic, request_handle aHandle,
                  channel_id aChannel)
{
  while (exchange* active = FindExchange(aTraffic, aHandle)) {
    if (!active->mAttempt || active->mAttempt->mChannel != aChannel) {
      return;
    }
    attempt& current = *active->mAttempt;
    const std::size_t received = current.mInput.size();
    ParseResponse(current);
    DecodeResponseInfo(*active);
    if (current.mSkipResponse) {
      current.mSkippedBytes += received - current.mInput.size();
    }
    if (current.mReader.mFailure != reader_failure::None ||
        IsWithoutProgress(current)) {
      EndAttempt(aTraffic, *active, ComputeBrokenOutcome(*active), false);
      return;
    }
    if (!current.mHasResponseInfo) {
      return;
    }
    if (!current.mSkipResponse) {
      RelayResponse(aTraffic, *active);
      return;
    }
    if (!SkipResponse(*active)) {
      return;
    }
  }
}

void OnServerData(traffic& aTraffic, request_handle aHandle,
                  channel_id aChannel, std::string_view aData)
{
  exchange* active = FindExchange(aTraffic, aHandle);
  if (active == nullptr || !active->mAttempt ||
      active->mAttempt->mChannel != aChannel) {
    return;
  }
  active->mAttempt->mInput.append(aData.data(), aData.size());
  ReadResponse(aTraffic, aHandle, aChannel);
}

void OnServerClosed(traffic& aTraffic, request_handle aHandle,
                    channel_id aChannel, close_cause aCause)
{
  exchange* active = FindExchange(aTraffic, aHandle);
  if (active == nullptr || !active->mAttempt ||
      active->mAttempt->mChannel != aChannel) {
    return;
  }
  if (!WasConnected(aCause)) {
    EndAttempt(aTraffic, *active, attempt_outcome::NotSent, false, true);
    return;
  }
  attempt& current = *active->mAttempt;
  if (aCause == close_cause::Ended && !current.mSkipResponse) {
    OnInputEnded(current.mReader);
    if (current.mReader.mIsComplete && current.mHasResponseInfo) {
      RelayResponse(aTraffic, *active);
      return;
    }
  }
  EndAttempt(aTraffic, *active, ComputeBrokenOutcome(*active), false, true);
}

// All attempts of an exchange have the same id, so that a late copy of the
// response to an earlier one could not be told apart from the response to a
// later one on the same connection.
channel_choice ChooseChannel(const exchange& aExchange,
                             const std::string& aAddress)
{
  const auto& tried = aExchange.mTriedAddresses;
  return std::find(tried.begin(), tried.end(), aAddress) == tried.end()
           ? channel_choice::IdleOrNew
           : channel_choice::New;
}

channel_handlers MakeServerHandlers(traffic& aTraffic, request_handle aHandle,
                                    channel_id aChannel)
{
  channel_handlers handlers;
  handlers.mOnData = [&aTraffic, aHandle, aChannel](std::string_view aData) {
    OnServerData(aTraffic, aHandle, aChannel, aData);
  };
  handlers.mOnClosed = [&aTraffic, aHandle, aChannel](close_cause aCause) {
    OnServerClosed(aTraffic, aHandle, aChannel, aCause);
  };
  return handlers;
}

} // namespace

void ProbeServer(traffic& aTraffic, const probe_server& aProbe)
{
  channel_options options;
  options.mConnectTimeout = kProbeTimeout;
  const auto report = [&aTraffic, aProbe](bool aIsRefused, bool aIsConnected) {
    aTraffic.mHooks.mPost(server_probed{ aProbe.mBackend, aProbe.mStartedMs,
                                         aIsRefused, aIsConnected });
  };
  const channel_id id = Connect(aTraffic.mLoop, aProbe.mAddress, options, {});
  channel_handlers handlers;
  handlers.mOnConnected = [&aTraffic, id, report] {
    Close(aTraffic.mLoop, id);
    report(false, true);
  };
  handlers.mOnClosed = [report](close_cause aCause) {
    report(aCause == close_cause::Refused, false);
  };
  SetHandlers(aTraffic.mLoop, id, std::move(handlers));
}

void CancelAttempt(traffic& aTraffic, exchange& aExchange)
{
  if (!aExchange.mAttempt) {
    return;
  }
  const std::unique_ptr<attempt> cancelled = std::move(aExchange.mAttempt);
  CloseChannel(aTraffic.mLoop, aTraffic.mPool, cancelled->mDispatch.mAddress,
               cancelled->mChannel);
}

void EndStalledAttempts(traffic& aTraffic, absl::Time aNow)
{
  std::vector<exchange*> stalled;
  for (const auto& each : aTraffic.mExchanges) {
    exchange& active = *each.second;
    // A server whose bytes the caller does not take is not at fault.
    if (active.mAttempt &&
        aNow - active.mAttempt->mLastEventAt >
          active.mAttempt->mDispatch.mStallTimeout &&
        GetUnsentBytes(aTraffic.mLoop, active.mCaller) == 0) {
      stalled.push_back(&active);
    }
  }
  for (exchange* each : stalled) {
    EndAttempt(aTraffic, *each, ComputeBrokenOutcome(*each), false);
  }
}

void DispatchExchange(traffic& aTraffic, const dispatch_request& aDispatch)
{
  exchange* active = FindExchange(aTraffic, aDispatch.mHandle);
  if (active == nullptr) {
    return;
  }
  // The request may have waited for long, and the close by its caller may not
  // have been read yet.
  if (PeekInput(aTraffic.mLoop, active->mCaller) == unread_input::Close) {
    AbandonUnsentExchange(aTraffic, aDispatch.mHandle);
    return;
  }
  active->mHasHeldFailure = false;
  active->mHeldBody.clear();
  active->mPartialEvent.clear();
  const pooled_channel channel =
    AcquireChannel(aTraffic.mLoop, aTraffic.mPool, aDispatch.mAddress,
                   aDispatch.mMaxConnections, channel_options{},
                   ChooseChannel(*active, aDispatch.mAddress));
  active->mAttempt = std::make_unique<attempt>();
  attempt& started = *active->mAttempt;
  started.mDispatch = aDispatch;
  started.mChannel = channel.mId;
  started.mIsReused = channel.mIsReused;
  StartReadingResponse(*active, started);
  if (channel.mId == 0) {
    const std::unique_ptr<attempt> ended = std::move(active->mAttempt);
    attempt_report report;
    report.mHandle = aDispatch.mHandle;
    report.mAttempt = aDispatch.mAttempt;
    report.mOutcome = attempt_outcome::NotSent;
    report.mEvents = active->mEvents;
    aTraffic.mHooks.mPost(report);
    return;
  }
  SetHandlers(aTraffic.mLoop, channel.mId,
              MakeServerHandlers(aTraffic, aDispatch.mHandle, channel.mId));
  const std::string head = platform::EncodeRequestHead(
    active->mRequest, active->mBody.size(), aDispatch,
    aDispatch.mDeadline - MonotonicNow(), active->mLastEventId);
  Send(aTraffic.mLoop, channel.mId, head + active->mBody);
  active->mTriedAddresses.push_back(aDispatch.mAddress);
}

} // namespace foxtailquay
