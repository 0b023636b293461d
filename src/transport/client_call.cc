#include "transport/client_call.h"

#include "absl/strings/str_cat.h"
#include "transport/http_reader.h"

namespace foxtailquay {

namespace {

// Time for which a pooled connection may be idle. Shorter than the usual idle
// timeouts of servers, so that a call seldom finds its connection closed.
constexpr absl::Duration kKeepAliveTimeout = absl::Seconds(5);
// Largest body of a response; the largest is an encoded page of the store.
constexpr std::uint64_t kMaxResponseBytes = 8 << 20;

} // namespace

struct running_call
{
  std::string mAddress;
  std::uint64_t mTimer = 0;
  http_reader mReader;
  std::string mInput;
  std::function<void(const call_response&)> mOnDone;
};

void running_call_deleter::operator()(running_call* aCall) const
{
  delete aCall;
}

namespace {

// Ends the call on aChannel and reports its outcome. aKeep: the connection can
// be used for another call.
void FinishCall(client_calls& aCalls, channel_id aChannel, bool aNotSent,
                bool aKeep)
{
  const auto found = aCalls.mRunning.find(aChannel);
  if (found == aCalls.mRunning.end()) {
    return;
  }
  const running_call_ptr call = std::move(found->second);
  aCalls.mRunning.erase(found);
  CancelTimer(aCalls.mLoop, call->mTimer);
  call_response response;
  response.mNotSent = aNotSent;
  const bool isComplete =
    call->mReader.mIsComplete && call->mReader.mFailure == reader_failure::None;
  if (isComplete) {
    response.mStatus = call->mReader.mHead.mStatus;
    response.mHead = std::move(call->mReader.mHead);
    response.mBody = std::move(call->mReader.mBody);
  }
  if (aKeep) {
    ReleaseChannel(aCalls.mLoop, aCalls.mPool, call->mAddress, aChannel,
                   kKeepAliveTimeout);
  } else {
    CloseChannel(aCalls.mLoop, aCalls.mPool, call->mAddress, aChannel);
  }
  if (!isComplete) {
    CloseIdleChannels(aCalls.mLoop, aCalls.mPool, call->mAddress);
  }
  call->mOnDone(response);
}

void OnData(client_calls& aCalls, channel_id aChannel, std::string_view aData)
{
  const auto found = aCalls.mRunning.find(aChannel);
  if (found == aCalls.mRunning.end()) {
    return;
  }
  running_call& call = *found->second;
  call.mInput.append(aData.data(), aData.size());
  ParseInput(call.mReader, call.mInput);
  if (call.mReader.mFailure != reader_failure::None ||
      call.mReader.mIsComplete) {
    const bool keep = call.mReader.mFailure == reader_failure::None &&
                      call.mReader.mKeepAlive && call.mInput.empty();
    FinishCall(aCalls, aChannel, false, keep);
  }
}

void OnClosed(client_calls& aCalls, channel_id aChannel, close_cause aCause)
{
  const auto found = aCalls.mRunning.find(aChannel);
  if (found != aCalls.mRunning.end() && aCause == close_cause::Ended) {
    OnInputEnded(found->second->mReader);
  }
  // On an established connection, a part of the call may have been sent.
  FinishCall(aCalls, aChannel, !WasConnected(aCause), false);
}

std::string EncodeCall(const client_call& aCall)
{
  std::string text =
    absl::StrCat(aCall.mMethod, " ", aCall.mTarget,
                 " HTTP/1.1\r\nHost: ", aCall.mAddress, "\r\n");
  if (!aCall.mBody.empty()) {
    absl::StrAppend(&text, "Content-Type: application/json\r\n");
  }
  if (!aCall.mBody.empty() || aCall.mMethod == "POST") {
    absl::StrAppend(&text, "Content-Length: ", aCall.mBody.size(), "\r\n");
  }
  return absl::StrCat(text, "\r\n", aCall.mBody);
}

} // namespace

channel_id StartCall(client_calls& aCalls, const client_call& aCall,
                     std::function<void(const call_response&)> aOnDone)
{
  channel_options options;
  options.mConnectTimeout = aCall.mConnectTimeout;
  options.mUnresponsiveTimeout = aCall.mUnresponsiveTimeout;
  const channel_id id =
    AcquireChannel(aCalls.mLoop, aCalls.mPool, aCall.mAddress, 0, options,
                   channel_choice::IdleOrNew)
      .mId;
  running_call_ptr call(new running_call);
  call->mAddress = aCall.mAddress;
  call->mOnDone = std::move(aOnDone);
  reader_limits limits;
  limits.mMaxBodyBytes = kMaxResponseBytes;
  StartReading(call->mReader, message_kind::Response, limits);
  call->mTimer = StartTimer(aCalls.mLoop, aCall.mTimeout, [&aCalls, id] {
    FinishCall(aCalls, id, !HasSent(aCalls.mLoop, id), false);
  });
  aCalls.mRunning[id] = std::move(call);
  channel_handlers handlers;
  handlers.mOnData = [&aCalls, id](std::string_view aData) {
    OnData(aCalls, id, aData);
  };
  handlers.mOnClosed = [&aCalls, id](close_cause aCause) {
    OnClosed(aCalls, id, aCause);
  };
  SetHandlers(aCalls.mLoop, id, std::move(handlers));
  Send(aCalls.mLoop, id, EncodeCall(aCall));
  return id;
}

void AbandonCall(client_calls& aCalls, channel_id aChannel)
{
  const auto found = aCalls.mRunning.find(aChannel);
  if (found == aCalls.mRunning.end()) {
    return;
  }
  const running_call_ptr call = std::move(found->second);
  aCalls.mRunning.erase(found);
  CancelTimer(aCalls.mLoop, call->mTimer);
  CloseChannel(aCalls.mLoop, aCalls.mPool, call->mAddress, aChannel);
}

} // namespace foxtailquay
