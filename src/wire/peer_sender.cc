#include "wire/peer_sender.h"

#include <optional>
#include <utility>

#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/message_codec.h"

namespace foxtailquay {

namespace {

void RecordDropped(peer_sender& aSender, const send_action& aAction,
                   const char* aReason)
{
  IncrementCounter(aSender.mMetrics, counter::MessagesDropped);
  Log(
    log_component::Peer, log_level::Warn, log_event::MessageDropped,
    { { "to", aAction.mTo.mValue },
      { "kind", std::string(ToName(GetMessageKind(aAction.mEnvelope.mBody))) },
      { "reason", aReason } });
}

// Removes and returns the next message of the channel. If there is none,
// records that no thread is sending and returns nothing.
std::optional<send_action> TakeNextMessage(peer_sender& aSender,
                                           peer_channel& aChannel)
{
  absl::MutexLock lock(&aSender.mMutex);
  aChannel.mLastUsed = MonotonicNow();
  if (aChannel.mQueue.empty()) {
    aChannel.mSending = false;
    return std::nullopt;
  }
  std::optional<send_action> action(std::move(aChannel.mQueue.front()));
  aChannel.mQueue.pop_front();
  return action;
}

// Drops all queued messages of a peer that is unreachable: sending them would
// only delay later messages.
void RemoveQueuedMessages(peer_sender& aSender, peer_channel& aChannel)
{
  std::deque<send_action> removed;
  {
    absl::MutexLock lock(&aSender.mMutex);
    removed.swap(aChannel.mQueue);
  }
  for (const send_action& action : removed) {
    RecordDropped(aSender, action, "unreachable");
  }
}

// Sends one message and records the outcome in metrics and log.
void DeliverAndRecord(peer_sender& aSender, peer_channel& aChannel,
                      const send_action& aAction)
{
  const absl::Time begin = MonotonicNow();
  std::string detail;
  const delivery_outcome outcome =
    DeliverMessage(*aChannel.mClient, aAction.mEnvelope, detail);
  Observe(aSender.mMetrics, histogram::PeerCall, MonotonicNow() - begin);
  switch (outcome) {
    case delivery_outcome::Delivered:
      IncrementCounter(aSender.mMetrics, counter::MessagesSent);
      return;
    case delivery_outcome::Refused:
      RecordDropped(aSender, aAction, detail.c_str());
      return;
    case delivery_outcome::Unreachable:
      IncrementCounter(aSender.mMetrics, counter::PeersUnreachable);
      Log(log_component::Peer, log_level::Info, log_event::PeerUnreachable,
          { { "to", aAction.mTo.mValue }, { "address", aAction.mAddress } });
      RemoveQueuedMessages(aSender, aChannel);
      aSender.mOnUnreachable(aAction.mTo);
      return;
  }
}

void RunChannel(peer_sender& aSender, peer_channel& aChannel)
{
  while (auto action = TakeNextMessage(aSender, aChannel)) {
    DeliverAndRecord(aSender, aChannel, *action);
  }
}

// Removes channels that were idle for mIdleTimeout. Scans at most once a
// second. Precondition: mMutex is held.
void ExpireChannels(peer_sender& aSender)
  ABSL_EXCLUSIVE_LOCKS_REQUIRED(aSender.mMutex)
{
  const absl::Time now = MonotonicNow();
  if (now < aSender.mNextExpiryAt) {
    return;
  }
  aSender.mNextExpiryAt = now + absl::Seconds(1);
  for (auto it = aSender.mChannels.begin(); it != aSender.mChannels.end();) {
    const peer_channel& channel = it->second;
    const bool idle = !channel.mSending && channel.mQueue.empty() &&
                      channel.mLastUsed + aSender.mOptions.mIdleTimeout < now;
    it = idle ? aSender.mChannels.erase(it) : std::next(it);
  }
}

} // namespace

peer_sender::peer_sender(peer_sender_options aOptions, metrics& aMetrics,
                         std::function<void(const member_id&)> aOnUnreachable)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mOnUnreachable(std::move(aOnUnreachable))
  , mPool({ "peers", mOptions.mMaxThreads, mOptions.mMaxQueuedPeers,
            absl::Seconds(10) })
{}

void SendToPeer(peer_sender& aSender, send_action aAction)
{
  absl::MutexLock lock(&aSender.mMutex);
  ExpireChannels(aSender);
  peer_channel& channel = aSender.mChannels[aAction.mAddress];
  if (channel.mQueue.size() >= aSender.mOptions.mMaxQueuedMessages) {
    RecordDropped(aSender, aAction, "queue full");
    return;
  }
  if (!channel.mClient) {
    channel.mClient =
      MakePeerClient(aAction.mAddress, aSender.mOptions.mClient);
  }
  channel.mQueue.push_back(std::move(aAction));
  if (channel.mSending) {
    return;
  }
  channel.mSending = TrySubmit(
    aSender.mPool, [&aSender, &channel] { RunChannel(aSender, channel); });
  if (!channel.mSending) {
    RecordDropped(aSender, channel.mQueue.back(), "all threads busy");
    channel.mQueue.pop_back();
  }
}

void StopSender(peer_sender& aSender)
{
  StopPool(aSender.mPool);
}

} // namespace foxtailquay
