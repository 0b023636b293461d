// Registration of a gateway in the peer list. Renewals of its lease cost a
// tenth of a read, so they also serve as a heartbeat: they show whether the
// store can be reached while watches wait for a long time.

#include <algorithm>

#include "gateway_state.h"

namespace foxtailquay {

namespace {

// Time within which the renewals of a fleet are spread after an event that all
// gateways notice at once.
constexpr absl::Duration kSpreadTime = absl::Milliseconds(300);
// Least part of kHeartbeatInterval between two renewals. The difference spreads
// the renewals of a fleet that were made at the same time.
constexpr double kMinIntervalFraction = 0.9;

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

// Schedules the next call about aTime after aFrom.
void ScheduleRegistration(gateway& aGateway, absl::Duration aTime,
                          absl::Time aFrom)
{
  std::uniform_real_distribution<double> jitter(kMinIntervalFraction, 1.0);
  aGateway.mNextRegistrationAt = aFrom + aTime * jitter(aGateway.mRandom);
}

} // namespace

void HastenRegistration(gateway& aGateway, absl::Time aNow)
{
  std::uniform_real_distribution<double> part(0, 1);
  aGateway.mNextRegistrationAt = std::min(
    aGateway.mNextRegistrationAt, aNow + kSpreadTime * part(aGateway.mRandom));
}

absl::Time GetNextRegistrationTime(const gateway& aGateway)
{
  return aGateway.mIsRegistering || aGateway.mStopping
           ? absl::InfiniteFuture()
           : aGateway.mNextRegistrationAt;
}

void AdvanceRegistration(gateway& aGateway, absl::Time aNow)
{
  if (aNow < GetNextRegistrationTime(aGateway)) {
    return;
  }
  aGateway.mIsRegistering = true;
  aGateway.mHasUncheckedWatch = false;
  aGateway.mRegistrationCalledAt = aNow;
  aGateway.mActions.push_back(
    registration_call{ aGateway.mLease, aGateway.mEra });
}

void OnRegistrationResponse(gateway& aGateway,
                            const registration_response& aResponse,
                            absl::Time aNow)
{
  if (MatchEra(aGateway, aResponse.mEra, aNow) == era_match::Superseded) {
    return;
  }
  aGateway.mIsRegistering = false;
  const absl::Time calledAt = aGateway.mRegistrationCalledAt;
  if (aResponse.mStatus == lease_status::Unavailable) {
    ++aGateway.mFailedRegistrations;
    MarkStoreLost(aGateway, calledAt, aNow);
    OnStoreCallFailed(aGateway, aNow);
    ScheduleRegistration(aGateway,
                         ComputeBackoff(aGateway.mFailedRegistrations), aNow);
  } else {
    const bool isHeld = aResponse.mStatus == lease_status::Held;
    aGateway.mLease = isHeld ? aResponse.mLease : 0;
    aGateway.mFailedRegistrations = 0;
    OnStoreCallAnswered(aGateway, calledAt, aNow);
    // A renewal that was made before a failure, or before a watch, does not
    // show that the store could be reached then.
    const bool isConclusive =
      isHeld && !aGateway.mIsStoreFailing && !aGateway.mHasUncheckedWatch;
    ScheduleRegistration(
      aGateway, isConclusive ? kHeartbeatInterval : absl::ZeroDuration(),
      calledAt);
  }
  if (aGateway.mStopping && aGateway.mLease != 0) {
    aGateway.mActions.push_back(deregistration_call{ aGateway.mLease });
    aGateway.mLease = 0;
  }
}

void EndRegistration(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mLease != 0) {
    aGateway.mActions.push_back(deregistration_call{ aGateway.mLease });
    aGateway.mLease = 0;
  }
  // Without renewals, watches must be short.
  RestartWaitingCalls(aGateway, aNow, aNow);
}

void CheckStoreNow(gateway& aGateway, absl::Time aNow)
{
  if (aGateway.mFailedRegistrations == 0) {
    aGateway.mNextRegistrationAt = aNow;
  }
}

void OnStoreCallFailed(gateway& aGateway, absl::Time aNow)
{
  aGateway.mIsStoreFailing = true;
  aGateway.mStoreFailedAt = aNow;
  CheckStoreNow(aGateway, aNow);
}

void OnStoreCallAnswered(gateway& aGateway, absl::Time aStart, absl::Time aNow)
{
  if (!aGateway.mIsStoreFailing || aStart < aGateway.mStoreFailedAt) {
    return;
  }
  aGateway.mIsStoreFailing = false;
  RestartWaitingCalls(aGateway, aStart, aNow);
}

} // namespace foxtailquay
