#include "wire/peer_sender.h"

#include <optional>
#include <utility>

#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/message_codec.h"

namespace foxtailquay {

namespace {

void NoteDropped(peer_sender& aSender, const send_action& aAction,
                 const char* aReason)
{
  IncrementCounter(aSender.mMetrics, counter::MessagesDropped);
  Log(
    log_component::Peer, log_level::Warn, log_event::MessageDropped,
    { { "to", aAction.mTo.mValue },
      { "kind", std::string(ToName(GetMessageKind(aAction.mEnvelope.mBody))) },
      { "reason", aReason } });
}

// The next message, or nothing if the channel has none and is left.
std::optional<send_action> NextMessage(peer_sender& aSender,
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

// What waits for an unreachable peer would only wait longer.
void DropQueue(peer_sender& aSender, peer_channel& aChannel)
{
  std::deque<send_action> dropped;
  {
    absl::MutexLock lock(&aSender.mMutex);
    dropped.swap(aChannel.mQueue);
  }
  for (const send_action& action : dropped) {
    NoteDropped(aSender, action, "unreachable");
  }
}

void DeliverOne(peer_sender& aSender, peer_channel& aChannel,
                const send_action& aAction)
{
  const absl::Time begin = MonotonicNow();
  std::string detail;
  const delivery outcome =
    Deliver(*aChannel.mClient, aAction.mEnvelope, detail);
  Observe(aSender.mMetrics, histogram::PeerCall, MonotonicNow() - begin);
  switch (outcome) {
    case delivery::Delivered:
      IncrementCounter(aSender.mMetrics, counter::MessagesSent);
      return;
    case delivery::Refused:
      NoteDropped(aSender, aAction, detail.c_str());
      return;
    case delivery::Unreachable:
      IncrementCounter(aSender.mMetrics, counter::PeersUnreachable);
      Log(log_component::Peer, log_level::Info, log_event::PeerUnreachable,
          { { "to", aAction.mTo.mValue }, { "address", aAction.mAddress } });
      DropQueue(aSender, aChannel);
      aSender.mOnUnreachable(aAction.mTo);
      return;
  }
}

void RunChannel(peer_sender& aSender, peer_channel& aChannel)
{
  while (auto action = NextMessage(aSender, aChannel)) {
    DeliverOne(aSender, aChannel, *action);
  }
}

// Forgets channels that were not used lately, at most once a second.
// Precondition: mMutex is held.
void CleanUp(peer_sender& aSender) ABSL_EXCLUSIVE_LOCKS_REQUIRED(aSender.mMutex)
{
  const absl::Time now = MonotonicNow();
  if (now < aSender.mNextCleanUp) {
    return;
  }
  aSender.mNextCleanUp = now + absl::Seconds(1);
  for (auto it = aSender.mChannels.begin(); it != aSender.mChannels.end();) {
    const peer_channel& channel = it->second;
    const bool idle = !channel.mSending && channel.mQueue.empty() &&
                      channel.mLastUsed + aSender.mOptions.mIdleTime < now;
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
  CleanUp(aSender);
  peer_channel& channel = aSender.mChannels[aAction.mAddress];
  if (channel.mQueue.size() >= aSender.mOptions.mMaxQueued) {
    NoteDropped(aSender, aAction, "queue full");
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
    NoteDropped(aSender, channel.mQueue.back(), "all threads busy");
    channel.mQueue.pop_back();
  }
}

void StopSender(peer_sender& aSender)
{
  StopPool(aSender.mPool);
}

} // namespace foxtailquay
