// Registration of a gateway in the peer list, and what its calls show of the
// store. Not thread-safe: only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_HEARTBEAT_H
#define FOXTAILQUAY_CORE_GATEWAY_HEARTBEAT_H

#include <cstdint>

#include "absl/time/time.h"
#include "foxtailquay/gateway_events.h"

namespace foxtailquay {

struct gateway;

struct registration_state
{
  // Lease of the entry in the peer list; 0 if there is none.
  std::uint64_t mLease = 0;
  bool mIsRegistering = false;
  absl::Time mCalledAt = absl::InfinitePast();
  absl::Time mNextCallAt = absl::InfinitePast();
  // True if a watch was started after the last registration call.
  bool mHasUncheckedWatch = false;
  // True if the last registration call failed.
  bool mHasFailed = false;
  // Time of the last failed registration call, and number of those that each
  // followed the one before within kFailureMemory.
  absl::Time mFailedAt = absl::InfinitePast();
  int mFailedCalls = 0;
  // True from a call without a response until a later one has a response.
  bool mIsStoreFailing = false;
  // Time of the last failure, and of the last restart of the waiting calls.
  absl::Time mStoreFailedAt = absl::InfinitePast();
  absl::Time mRestartedAt = absl::InfinitePast();
};

// Renews the registration when that is due.
void AdvanceRegistration(gateway& aGateway, absl::Time aNow);
// Returns the time of the next renewal; infinite if none is due.
absl::Time GetNextRegistrationTime(const gateway& aGateway);
// Registers or renews the registration soon, at a random time.
void HastenRegistration(gateway& aGateway, absl::Time aNow);
// Registers anew in a new era of the store, in which the lease may belong to
// another gateway.
void RestartRegistration(gateway& aGateway, absl::Time aNow);
// Ends the registration in a planned stop.
void EndRegistration(gateway& aGateway, absl::Time aNow);
// Notices if the entry of this gateway was removed although its lease is held.
void CheckOwnEntry(gateway& aGateway, const directory_response& aResponse,
                   absl::Time aNow);
void OnRegistrationResponse(gateway& aGateway,
                            const registration_response& aResponse,
                            absl::Time aNow);

// Renews the registration at once, unless renewals are failing already. For use
// after a call was refused or cut, which shows nothing of other calls.
void CheckStoreNow(gateway& aGateway, absl::Time aNow);
// Renews the registration at once, since a disturbance that is shorter than the
// interval of renewals may lose the watch that starts now.
void CheckWatch(gateway& aGateway, absl::Time aNow);
// Records that a call to the store had no response, as when connections have
// become silent. Once a later call has one, the watches start anew that waited
// at the time of the failure.
void OnStoreCallFailed(gateway& aGateway, absl::Time aNow);
// Records a response to a call that was started at aStart. Starts the watches
// anew that wait since before an earlier failure.
void OnStoreCallAnswered(gateway& aGateway, absl::Time aStart, absl::Time aNow);

} // namespace foxtailquay

#endif
