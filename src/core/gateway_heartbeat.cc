// Registration of a gateway in the peer list. Renewals of its lease cost a
// tenth of a read, so they also serve as a heartbeat: they show whether the
// store can be reached while watches wait for a long time.

#include "gateway_heartbeat.h"

#include <algorithm>

#include "gateway_state.h"

namespace foxtailquay {

namespace {

// Longest time from one renewal to the next. It is below 1 s, the shortest
// disturbance in which the store is known to drop changes that a watch waits
// for, so that a renewal falls into each of them.
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(800);
// Longest backoff of renewals. It is shorter than that of other calls, because
// a renewal costs a tenth, and watches are started again after its success.
constexpr absl::Duration kMaxHeartbeatBackoff = absl::Milliseconds(300);
// Time within which the renewals of a fleet are spread after an event that all
// gateways notice at once.
constexpr absl::Duration kSpreadTime = absl::Milliseconds(300);
// Least part of kHeartbeatInterval between two renewals. The difference spreads
// the renewals of a fleet that were made at the same time.
constexpr double kMinIntervalFraction = 0.9;
// Shortest time between two restarts of the waiting calls. A store that refuses
// some of the calls would otherwise cause restarts as fast as it responds.
constexpr absl::Duration kMinRestartInterval = absl::Seconds(1);

// Time for which a failed renewal makes the backoff after the next one longer,
// also if others succeeded in between: a store that refuses some of the calls
// would otherwise be called again as fast as it responds.
constexpr absl::Duration kFailureMemory = absl::Seconds(1);

// Returns the backoff after the last of aFailures in a row. The first renewal
// after a failure is made at once, because the failure may concern only the
// connections that were open.
absl::Duration ComputeBackoff(int aFailures)
{
  if (aFailures <= 1) {
    return absl::ZeroDuration();
  }
  return aFailures == 2 ? kInitialBackoff : kMaxHeartbeatBackoff;
}

void CountFailure(registration_state& aRegistration, absl::Time aNow)
{
  const bool isRepeated = aNow - aRegistration.mFailedAt <= kFailureMemory;
  aRegistration.mFailedCalls = isRepeated ? aRegistration.mFailedCalls + 1 : 1;
  aRegistration.mFailedAt = aNow;
  aRegistration.mHasFailed = true;
}

// Schedules the next call about aTime after aFrom.
void ScheduleRegistration(gateway& aGateway, absl::Duration aTime,
                          absl::Time aFrom)
{
  std::uniform_real_distribution<double> jitter(kMinIntervalFraction, 1.0);
  aGateway.mRegistration.mNextCallAt = aFrom + aTime * jitter(aGateway.mRandom);
}

// Schedules the call that follows one with a response.
void ScheduleAfterSuccess(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mRegistration.mLease == 0 ||
      aGateway.mRegistration.mHasUncheckedWatch) {
    aGateway.mRegistration.mNextCallAt = aNow;
  } else if (aGateway.mRegistration.mIsStoreFailing) {
    aGateway.mRegistration.mNextCallAt =
      std::max(aNow, aGateway.mRegistration.mRestartedAt + kMinRestartInterval);
  } else {
    ScheduleRegistration(aGateway, kHeartbeatInterval,
                         aGateway.mRegistration.mCalledAt);
  }
}

} // namespace

void RestartRegistration(gateway& aGateway, absl::Time aNow)
{
  aGateway.mRegistration.mLease = 0;
  aGateway.mRegistration.mIsRegistering = false;
  aGateway.mRegistration.mIsStoreFailing = false;
  HastenRegistration(aGateway, aNow);
}

void CheckOwnEntry(gateway& aGateway, const directory_response& aResponse,
                   absl::Time aNow)
{
  bool isRemoved = false;
  for (const auto& change : aResponse.mPeers) {
    if (change.mName == aGateway.mSettings.mName) {
      isRemoved = !change.mEntry;
    }
  }
  if (isRemoved && aGateway.mRegistration.mLease != 0) {
    const auto peers = static_cast<std::size_t>(directory_area::Peers);
    aGateway.mAreas[peers].mLapsedAt = aNow;
    aGateway.mRegistration.mLease = 0;
    HastenRegistration(aGateway, aNow);
  }
}

void HastenRegistration(gateway& aGateway, absl::Time aNow)
{
  std::uniform_real_distribution<double> part(0, 1);
  aGateway.mRegistration.mNextCallAt =
    std::min(aGateway.mRegistration.mNextCallAt,
             aNow + kSpreadTime * part(aGateway.mRandom));
}

absl::Time GetNextRegistrationTime(const gateway& aGateway)
{
  return aGateway.mRegistration.mIsRegistering || aGateway.mStopping
           ? absl::InfiniteFuture()
           : aGateway.mRegistration.mNextCallAt;
}

void AdvanceRegistration(gateway& aGateway, absl::Time aNow)
{
  if (aNow < GetNextRegistrationTime(aGateway)) {
    return;
  }
  aGateway.mRegistration.mIsRegistering = true;
  aGateway.mRegistration.mHasUncheckedWatch = false;
  aGateway.mRegistration.mCalledAt = aNow;
  aGateway.mActions.push_back(
    registration_call{ aGateway.mRegistration.mLease, aGateway.mEra });
}

void OnRegistrationResponse(gateway& aGateway,
                            const registration_response& aResponse,
                            absl::Time aNow)
{
  if (MatchEra(aGateway, aResponse.mEra, aNow) == era_match::Superseded) {
    return;
  }
  aGateway.mRegistration.mIsRegistering = false;
  const absl::Time calledAt = aGateway.mRegistration.mCalledAt;
  if (aResponse.mStatus == lease_status::Unavailable) {
    CountFailure(aGateway.mRegistration, aNow);
    MarkStoreLost(aGateway, calledAt, aNow);
    OnStoreCallFailed(aGateway, aNow);
    ScheduleRegistration(
      aGateway, ComputeBackoff(aGateway.mRegistration.mFailedCalls), aNow);
  } else {
    const bool isHeld = aResponse.mStatus == lease_status::Held;
    aGateway.mRegistration.mLease = isHeld ? aResponse.mLease : 0;
    aGateway.mRegistration.mHasFailed = false;
    OnStoreCallAnswered(aGateway, calledAt, aNow);
    ScheduleAfterSuccess(aGateway, aNow);
  }
  if (aGateway.mStopping && aGateway.mRegistration.mLease != 0) {
    aGateway.mActions.push_back(
      deregistration_call{ aGateway.mRegistration.mLease });
    aGateway.mRegistration.mLease = 0;
  }
}

void EndRegistration(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mRegistration.mLease != 0) {
    aGateway.mActions.push_back(
      deregistration_call{ aGateway.mRegistration.mLease });
    aGateway.mRegistration.mLease = 0;
  }
  // Without renewals, a silent connection shows only when a watch times out, so
  // watches must be short.
  RestartWaitingCalls(aGateway, aNow, aNow);
}

void CheckStoreNow(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mRegistration.mHasFailed) {
    aGateway.mRegistration.mNextCallAt = aNow;
  }
}

void CheckWatch(gateway& aGateway, absl::Time aNow)
{
  aGateway.mRegistration.mHasUncheckedWatch = true;
  CheckStoreNow(aGateway, aNow);
}

void OnStoreCallFailed(gateway& aGateway, absl::Time aNow)
{
  aGateway.mRegistration.mIsStoreFailing = true;
  aGateway.mRegistration.mStoreFailedAt = aNow;
  CheckStoreNow(aGateway, aNow);
}

void OnStoreCallAnswered(gateway& aGateway, absl::Time aStart, absl::Time aNow)
{
  if (!aGateway.mRegistration.mIsStoreFailing ||
      aStart < aGateway.mRegistration.mStoreFailedAt ||
      aNow < aGateway.mRegistration.mRestartedAt + kMinRestartInterval) {
    return;
  }
  aGateway.mRegistration.mIsStoreFailing = false;
  aGateway.mRegistration.mRestartedAt = aNow;
  MarkStoreRegained(aGateway, aStart, aNow);
  RestartWaitingCalls(aGateway, aStart, aNow);
}

} // namespace foxtailquay
