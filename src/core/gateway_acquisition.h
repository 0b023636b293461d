// How a gateway acquires the tokens that its waiters lack: by a grant write,
// from the coordinator, or by a recall. Not thread-safe: only the control
// thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_ACQUISITION_H
#define FOXTAILQUAY_CORE_GATEWAY_ACQUISITION_H

#include <string>
#include <string_view>

#include "gateway_coordinator.h"
#include "gateway_placement.h"
#include "gateway_state.h"

namespace foxtailquay {

// How missing tokens are acquired.
struct acquisition
{
  token_source mSource = token_source::Grant;
  // The gateway that is asked, for Coordinator and OtherCoordinator.
  coordinator_choice mCoordinator;
  std::optional<recall_plan> mRecall;
};

// Decides how the tokens that the waiters lack are acquired.
acquisition PlanAcquisition(const gateway& aGateway,
                            const workspace_id& aWorkspace,
                            const workspace_tokens& aTokens, absl::Time aNow);

// Starts to acquire the tokens that the waiters need.
void AcquireTokens(gateway& aGateway, const workspace_id& aWorkspace,
                   absl::Time aNow);

// Returns true if this gateway may soon have tokens for a waiter that the
// coordinator has none for: by a write of its own, or because they are
// withheld.
bool MayHaveRoom(const gateway& aGateway, const workspace_tokens& aTokens);

// Ends the waiters for whose priority no tokens are left to grant, after the
// other gateways have returned what they do not need soon.
void RecallIfUsedUp(gateway& aGateway, const workspace_id& aWorkspace,
                    absl::Time aNow);

// Has this gateway write grants for its own waiters, in place of aCoordinator,
// for as long as a request waits. aCause: for the log.
void StartActing(gateway& aGateway, const workspace_id& aWorkspace,
                 const std::string& aCoordinator, std::string_view aCause,
                 absl::Time aNow);

// Returns true if this gateway writes grants for its own waiters in place of
// the coordinator.
bool IsActing(const workspace_tokens& aTokens, absl::Time aNow);

// Writes the grants of all workspaces that need a write. At most one write
// is in flight.
void WriteGrants(gateway& aGateway, absl::Time aNow);

} // namespace foxtailquay

#endif
