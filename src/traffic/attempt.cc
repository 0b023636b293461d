// Attempts: sending a request to a backend server and relaying its answer.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "runtime/clock.h"
#include "traffic/traffic.h"

namespace foxtailquay {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Statuses that promise that the request did not run. A server's own answer
// with such a status and without the mark of a refusal promises nothing.
bool IsPromise(int aStatus)
{
  return aStatus == 408 || aStatus == 429 || aStatus == 503;
}

bool IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

reader_limits AnswerLimits()
{
  reader_limits limits;
  limits.mMaxHeaderBytes = 64 << 10;
  limits.mMaxBodyBytes = std::uint64_t{ 1 } << 40;
  return limits;
}

void StartAnswer(const exchange& aExchange, attempt& aAttempt)
{
  StartReading(aAttempt.mReader,
               aExchange.mRequest.mMethod == "HEAD"
                 ? message_kind::ResponseWithoutBody
                 : message_kind::Response,
               AnswerLimits());
  aAttempt.mFactsKnown = false;
  aAttempt.mIsForeign = false;
}

absl::Duration IdleTimeOf(const platform::response_info& aFacts)
{
  return aFacts.mKeepAliveTimeout
           ? *aFacts.mKeepAliveTimeout - kServerIdleMargin
           : kServerIdleTime;
}

// Ends the attempt and reports it. The exchange lives on: the control thread
// decides what follows.
void EndAttempt(traffic& aTraffic, exchange& aExchange,
                attempt_outcome aOutcome, bool aKeepConnection)
{
  const std::unique_ptr<attempt> ended = std::move(aExchange.mAttempt);
  attempt_report report;
  report.mHandle = aExchange.mHandle;
  report.mAttempt = ended->mDispatch.mAttempt;
  report.mOutcome = aOutcome;
  report.mStatus = ended->mFactsKnown ? ended->mFacts.mStatus : 0;
  report.mWrongServer = ended->mFactsKnown && ended->mFacts.mWrongServer;
  report.mLoad = ended->mFacts.mLoad;
  report.mEvents = aExchange.mEvents;
  // The request must be sent whole and the answer read whole before another
  // one may use the connection.
  const bool keep = aKeepConnection && ended->mReader.mIsComplete &&
                    ended->mReader.mKeepAlive && ended->mInput.empty() &&
                    GetUnsentBytes(aTraffic.mLoop, ended->mChannel) == 0;
  if (keep) {
    ReleaseChannel(aTraffic.mLoop, aTraffic.mPool, ended->mDispatch.mAddress,
                   ended->mChannel, IdleTimeOf(ended->mFacts));
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

void SendChunkedHead(traffic& aTraffic, exchange& aExchange)
{
  if (aExchange.mHeadSent) {
    return;
  }
  aExchange.mHeadSent = true;
  if (aTraffic.mHooks.mOnFirstPart) {
    aTraffic.mHooks.mOnFirstPart(MonotonicNow() - aExchange.mArrivedAt);
  }
  const attempt& current = *aExchange.mAttempt;
  SendToCaller(aTraffic, aExchange,
               platform::EncodeResponseHead(current.mReader.mHead, std::nullopt,
                                            ClosesAfter(aTraffic, aExchange)));
  aTraffic.mHooks.mPost(first_byte{
    aExchange.mHandle, current.mDispatch.mAttempt, current.mFacts.mLoad });
}

// The value of the "id:" line of one event; empty if it has none.
std::string_view EventIdOf(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  for (std::size_t start = 0; start < aEvent.size();) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    std::string_view line = aEvent.substr(start, end - start);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      return line.substr(0, line.find('\r'));
    }
    start = end + 1;
  }
  return {};
}

// Passes on the whole events that have arrived. A part of one stays back, so
// that the stream can continue elsewhere.
void RelayEvents(traffic& aTraffic, exchange& aExchange)
{
  std::string& pending = aExchange.mPartialEvent;
  pending += aExchange.mAttempt->mReader.mBody;
  aExchange.mAttempt->mReader.mBody.clear();
  std::size_t end = 0;
  for (std::size_t at = pending.find(kEventEnd); at != std::string::npos;
       at = pending.find(kEventEnd, end)) {
    const std::string_view event =
      std::string_view(pending).substr(end, at + kEventEnd.size() - end);
    const std::string_view id = EventIdOf(event);
    if (!id.empty()) {
      aExchange.mLastEventId = std::string(id);
    }
    ++aExchange.mEvents;
    end = at + kEventEnd.size();
  }
  if (end == 0) {
    return;
  }
  SendChunkedHead(aTraffic, aExchange);
  SendChunk(aTraffic, aExchange, std::string_view(pending).substr(0, end));
  pending.erase(0, end);
}

void FinishStream(traffic& aTraffic, exchange& aExchange)
{
  SendChunkedHead(aTraffic, aExchange);
  SendChunk(aTraffic, aExchange, aExchange.mPartialEvent);
  aExchange.mPartialEvent.clear();
  SendToCaller(aTraffic, aExchange, kLastChunk);
  EndAttempt(aTraffic, aExchange, attempt_outcome::Delivered, true);
}

void FinishPlain(traffic& aTraffic, exchange& aExchange)
{
  const http_reader& reader = aExchange.mAttempt->mReader;
  if (aExchange.mHeadSent) {
    SendChunk(aTraffic, aExchange, reader.mBody);
    SendToCaller(aTraffic, aExchange, kLastChunk);
  } else {
    aExchange.mHeadSent = true;
    SendToCaller(
      aTraffic, aExchange,
      platform::EncodeResponseHead(reader.mHead, reader.mBody.size(),
                                   ClosesAfter(aTraffic, aExchange)) +
        reader.mBody);
  }
  EndAttempt(aTraffic, aExchange, attempt_outcome::Delivered, true);
}

// Keeps a failure for the control thread's decision.
void HoldFailure(traffic& aTraffic, exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  const platform::response_info& facts = current.mFacts;
  if (facts.mIsNotExecuted) {
    EndAttempt(aTraffic, aExchange, attempt_outcome::NotRun, true);
    return;
  }
  const bool usable =
    !IsSuccess(facts.mStatus) && !IsPromise(facts.mStatus) && !facts.mIsEncoded;
  if (!usable) {
    EndAttempt(aTraffic, aExchange, attempt_outcome::Broken, false);
    return;
  }
  aExchange.mHasHeldFailure = true;
  aExchange.mHeldHead = std::move(current.mReader.mHead);
  aExchange.mHeldBody = std::move(current.mReader.mBody);
  EndAttempt(aTraffic, aExchange, attempt_outcome::Failed, true);
}

bool IsRelayed(const platform::response_info& aFacts)
{
  return IsSuccess(aFacts.mStatus) && aFacts.mIsAuthenticated &&
         !aFacts.mIsEncoded && !aFacts.mIsNotExecuted;
}

// The answer of another request, or an interim one, is read past. False if
// the attempt has ended.
bool SkipForeign(exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  current.mReader.mBody.clear();
  if (!current.mReader.mIsComplete) {
    return false;
  }
  StartAnswer(aExchange, current);
  return !current.mInput.empty();
}

void LearnFacts(exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  if (current.mFactsKnown || !current.mReader.mIsHeadComplete) {
    return;
  }
  current.mFacts = platform::DecodeResponse(current.mReader.mHead);
  current.mFactsKnown = true;
  const bool isInterim = current.mFacts.mStatus < 200;
  const bool isOther = !current.mFacts.mAttemptId.empty() &&
                       current.mFacts.mAttemptId != aExchange.mAttemptId;
  current.mIsForeign = isInterim || isOther;
}

void RelayAnswer(traffic& aTraffic, exchange& aExchange)
{
  attempt& current = *aExchange.mAttempt;
  if (!IsRelayed(current.mFacts)) {
    if (current.mReader.mIsComplete) {
      HoldFailure(aTraffic, aExchange);
    } else if (current.mReader.mBody.size() > kMaxHeldBytes) {
      EndAttempt(aTraffic, aExchange, attempt_outcome::Broken, false);
    }
    return;
  }
  const bool isStream = current.mDispatch.mKind == call_kind::Stream;
  if (isStream) {
    RelayEvents(aTraffic, aExchange);
    if (current.mReader.mIsComplete) {
      FinishStream(aTraffic, aExchange);
    }
    return;
  }
  if (current.mReader.mIsComplete) {
    FinishPlain(aTraffic, aExchange);
  } else if (current.mReader.mBody.size() > kMaxHeldBytes) {
    SendChunkedHead(aTraffic, aExchange);
    SendChunk(aTraffic, aExchange, current.mReader.mBody);
    current.mReader.mBody.clear();
  }
}

attempt_outcome BrokenOutcome(const exchange& aExchange)
{
  return aExchange.mHeadSent ? attempt_outcome::BrokenMidway
                             : attempt_outcome::Broken;
}

void TakeAnswer(traffic& aTraffic, request_handle aHandle, channel_id aChannel)
{
  while (exchange* each = FindExchange(aTraffic, aHandle)) {
    if (!each->mAttempt || each->mAttempt->mChannel != aChannel) {
      return;
    }
    attempt& current = *each->mAttempt;
    ParseInput(current.mReader, current.mInput);
    LearnFacts(*each);
    if (current.mReader.mIsMalformed) {
      EndAttempt(aTraffic, *each, BrokenOutcome(*each), false);
      return;
    }
    if (!current.mFactsKnown) {
      return;
    }
    if (!current.mIsForeign) {
      RelayAnswer(aTraffic, *each);
      return;
    }
    if (!SkipForeign(*each)) {
      return;
    }
  }
}

void TakeServerData(traffic& aTraffic, request_handle aHandle,
                    channel_id aChannel, std::string_view aData)
{
  exchange* each = FindExchange(aTraffic, aHandle);
  if (each == nullptr || !each->mAttempt ||
      each->mAttempt->mChannel != aChannel) {
    return;
  }
  each->mAttempt->mInput.append(aData.data(), aData.size());
  TakeAnswer(aTraffic, aHandle, aChannel);
}

void TakeServerClose(traffic& aTraffic, request_handle aHandle,
                     channel_id aChannel, close_cause aCause)
{
  exchange* each = FindExchange(aTraffic, aHandle);
  if (each == nullptr || !each->mAttempt ||
      each->mAttempt->mChannel != aChannel) {
    return;
  }
  if (aCause == close_cause::NotConnected) {
    EndAttempt(aTraffic, *each, attempt_outcome::NotSent, false);
    return;
  }
  attempt& current = *each->mAttempt;
  if (aCause == close_cause::Ended && !current.mIsForeign) {
    OnInputEnded(current.mReader);
    if (current.mReader.mIsComplete && current.mFactsKnown) {
      RelayAnswer(aTraffic, *each);
      return;
    }
  }
  EndAttempt(aTraffic, *each, BrokenOutcome(*each), false);
}

channel_handlers ServerHandlers(traffic& aTraffic, request_handle aHandle,
                                channel_id aChannel)
{
  channel_handlers handlers;
  handlers.mOnData = [&aTraffic, aHandle, aChannel](std::string_view aData) {
    TakeServerData(aTraffic, aHandle, aChannel, aData);
  };
  handlers.mOnClosed = [&aTraffic, aHandle, aChannel](close_cause aCause) {
    TakeServerClose(aTraffic, aHandle, aChannel, aCause);
  };
  return handlers;
}

} // namespace

void DropAttempt(traffic& aTraffic, exchange& aExchange)
{
  if (!aExchange.mAttempt) {
    return;
  }
  const std::unique_ptr<attempt> dropped = std::move(aExchange.mAttempt);
  CloseChannel(aTraffic.mLoop, aTraffic.mPool, dropped->mDispatch.mAddress,
               dropped->mChannel);
}

void DispatchExchange(traffic& aTraffic, const dispatch_request& aDispatch)
{
  exchange* each = FindExchange(aTraffic, aDispatch.mHandle);
  if (each == nullptr) {
    return;
  }
  each->mHasHeldFailure = false;
  each->mHeldBody.clear();
  each->mPartialEvent.clear();
  const pooled_channel channel =
    AcquireChannel(aTraffic.mLoop, aTraffic.mPool, aDispatch.mAddress,
                   aDispatch.mMaxConnections, channel_options{});
  each->mAttempt = std::make_unique<attempt>();
  attempt& started = *each->mAttempt;
  started.mDispatch = aDispatch;
  started.mChannel = channel.mId;
  StartAnswer(*each, started);
  if (channel.mId == 0) {
    const std::unique_ptr<attempt> ended = std::move(each->mAttempt);
    attempt_report report;
    report.mHandle = aDispatch.mHandle;
    report.mAttempt = aDispatch.mAttempt;
    report.mOutcome = attempt_outcome::NotSent;
    report.mEvents = each->mEvents;
    aTraffic.mHooks.mPost(report);
    return;
  }
  SetHandlers(aTraffic.mLoop, channel.mId,
              ServerHandlers(aTraffic, aDispatch.mHandle, channel.mId));
  const std::string head = platform::EncodeRequestHead(
    each->mRequest, each->mBody.size(), aDispatch,
    aDispatch.mDeadline - MonotonicNow(), each->mLastEventId);
  Send(aTraffic.mLoop, channel.mId, head + each->mBody);
}

} // namespace foxtailquay
