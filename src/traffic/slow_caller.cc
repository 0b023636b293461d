// Responses that are read slowly: when reading from the server is paused and
// resumed, and which callers are cut off if too many bytes are held.

#include <algorithm>
#include <vector>

#include "runtime/clock.h"
#include "traffic/traffic.h"

namespace foxtailquay {

namespace {

// Returns the number of response bytes that the caller has taken.
std::uint64_t CountTakenBytes(const caller_connection& aCaller,
                              std::size_t aUnsent)
{
  return aCaller.mQueuedBytes -
         std::min<std::uint64_t>(aUnsent, aCaller.mQueuedBytes);
}

// Records what the caller has taken. Returns true if it is slow: it has not
// taken kResumeBytes for kSlowCallerTime.
bool IsSlow(caller_connection& aCaller, std::size_t aUnsent, absl::Time aNow)
{
  const std::uint64_t taken = CountTakenBytes(aCaller, aUnsent);
  if (aUnsent <= kMinBufferedBytes ||
      taken >= aCaller.mTakenBytes + kResumeBytes ||
      aCaller.mTakenAt == absl::InfiniteFuture()) {
    aCaller.mTakenBytes = taken;
    aCaller.mTakenAt = aNow;
  }
  return aNow - aCaller.mTakenAt >= kSlowCallerTime;
}

// Ends the exchange and drops its unsent bytes.
void CutOffCaller(traffic& aTraffic, channel_id aChannel)
{
  const auto caller = aTraffic.mCallers.find(aChannel);
  if (caller == aTraffic.mCallers.end()) {
    return;
  }
  const request_handle handle = caller->second->mHandle;
  aTraffic.mCallers.erase(caller);
  if (exchange* active = FindExchange(aTraffic, handle)) {
    CancelAttempt(aTraffic, *active);
    aTraffic.mHooks.mPost(caller_disconnected{ handle, active->mEvents });
    aTraffic.mExchanges.erase(handle);
  }
  Close(aTraffic.mLoop, aChannel);
}

} // namespace

void SendToCaller(traffic& aTraffic, exchange& aExchange,
                  std::string_view aBytes)
{
  Send(aTraffic.mLoop, aExchange.mCaller, aBytes);
  const auto caller = aTraffic.mCallers.find(aExchange.mCaller);
  if (caller != aTraffic.mCallers.end()) {
    caller->second->mQueuedBytes += aBytes.size();
  }
  if (aExchange.mAttempt &&
      IsBufferFull(aTraffic, GetUnsentBytes(aTraffic.mLoop, aExchange.mCaller),
                   kMaxUnsentBytes)) {
    attempt& current = *aExchange.mAttempt;
    if (!current.mIsPaused && caller != aTraffic.mCallers.end()) {
      current.mIsPaused = true;
      current.mTakenAtPause = CountTakenBytes(
        *caller->second, GetUnsentBytes(aTraffic.mLoop, aExchange.mCaller));
    }
    SetReadingPaused(aTraffic.mLoop, aExchange.mAttempt->mChannel, true);
  }
}

void ResumeReadingServer(traffic& aTraffic, channel_id aCaller)
{
  const auto caller = aTraffic.mCallers.find(aCaller);
  exchange* active = caller == aTraffic.mCallers.end()
                       ? nullptr
                       : FindExchange(aTraffic, caller->second->mHandle);
  if (active != nullptr && active->mAttempt) {
    attempt& current = *active->mAttempt;
    current.mIsPaused = false;
    // The server could not send events meanwhile.
    if (current.mLastEventAt != absl::InfiniteFuture()) {
      current.mLastEventAt = MonotonicNow();
    }
    SetReadingPaused(aTraffic.mLoop, current.mChannel, false);
  }
}

void ReviewSlowCallers(traffic& aTraffic, absl::Time aNow)
{
  std::size_t held = MeasureBufferedBytes(aTraffic);
  std::vector<std::pair<absl::Time, channel_id>> slow;
  std::vector<channel_id> resumed;
  for (const auto& [channel, caller] : aTraffic.mCallers) {
    const std::size_t unsent = GetUnsentBytes(aTraffic.mLoop, channel);
    if (IsSlow(*caller, unsent, aNow)) {
      slow.emplace_back(caller->mTakenAt, channel);
    }
    const exchange* active = FindExchange(aTraffic, caller->mHandle);
    if (active != nullptr && active->mAttempt && active->mAttempt->mIsPaused &&
        CountTakenBytes(*caller, unsent) >=
          active->mAttempt->mTakenAtPause + kResumeBytes) {
      resumed.push_back(channel);
    }
  }
  // The one that has taken nothing for the longest time is cut off first.
  std::sort(slow.begin(), slow.end());
  for (const auto& [since, channel] : slow) {
    if (held <= aTraffic.mMaxBufferedBytes) {
      break;
    }
    CutOffCaller(aTraffic, channel);
    held = MeasureBufferedBytes(aTraffic);
  }
  for (const channel_id channel : resumed) {
    ResumeReadingServer(aTraffic, channel);
  }
}

} // namespace foxtailquay
