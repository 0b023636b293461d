// Admission: rate and concurrency limits per workspace, and bounded queues by
// priority class for requests that must wait for capacity.

#ifndef FOXTAILQUAY_CORE_ADMISSION_H
#define FOXTAILQUAY_CORE_ADMISSION_H

#include <cstddef>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/config.h"
#include "foxtailquay/error.h"

namespace foxtailquay {

struct admission_request
{
  request_handle mHandle = 0;
  workspace_id mWorkspace;
  // Model or service; requests for different targets wait in different
  // queues, so that a full model does not delay another one.
  std::string mTarget;
  priority_class mPriority = priority_class::Standard;
  absl::Time mDeadline;
  // Worst-case cost, an estimate of the work.
  token_count mCost = 0;
};

enum class admission_outcome
{
  Admitted,
  Queued,
  Refused,
};

constexpr auto NameTable(admission_outcome)
{
  return MakeNameTable<admission_outcome>(
    { { admission_outcome::Admitted, "admitted" },
      { admission_outcome::Queued, "queued" },
      { admission_outcome::Refused, "refused" } });
}

struct admission_decision
{
  admission_outcome mOutcome = admission_outcome::Refused;
  // Set if refused.
  error mError;
};

struct workspace_load
{
  int mInFlight = 0;
};

struct admission_state
{
  std::map<workspace_id, workspace_load> mWorkspaces;
};

// Decides on a new request. aFreeSlots is how many requests for the target
// the known backend servers can take now. An admitted request counts against
// the workspace until NoteDone; a queued one does so once TakeAdmitted
// returns it.
admission_decision Admit(admission_state& aState,
                         const admission_request& aRequest,
                         const workspace_config& aWorkspace,
                         const fleet_config& aFleet, int aFreeSlots,
                         absl::Time aNow);

// Removes and returns up to aFreeSlots queued requests of aTarget, in the
// order in which they are to run.
std::vector<request_handle> TakeAdmitted(admission_state& aState,
                                         const std::string& aTarget,
                                         int aFreeSlots, absl::Time aNow);

// Removes and returns queued requests whose time in the queue is over.
std::vector<request_handle> TakeExpired(admission_state& aState,
                                        absl::Time aNow);

// Removes a queued request whose caller is gone.
void Withdraw(admission_state& aState, request_handle aHandle);

// An admitted request has ended.
void NoteDone(admission_state& aState, const workspace_id& aWorkspace);

// Earliest time at which TakeExpired has something to return.
absl::Time NextExpiry(const admission_state& aState);

// Targets with queued requests, in a fixed order.
std::vector<std::string> QueuedTargets(const admission_state& aState);

} // namespace foxtailquay

#endif
