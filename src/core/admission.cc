#include "admission.h"

namespace foxtailquay {

admission_decision Admit(admission_state& aState,
                         const admission_request& aRequest,
                         const workspace_config& aWorkspace,
                         const fleet_config&, int aFreeSlots, absl::Time)
{
  workspace_load& load = aState.mWorkspaces[aRequest.mWorkspace];
  admission_decision decision;
  if (aWorkspace.mMaxConcurrency > 0 &&
      load.mInFlight >= aWorkspace.mMaxConcurrency) {
    decision.mError = { error_code::ConcurrencyLimited, ran::No,
                        "max_concurrency",
                        "the workspace has too many requests in flight",
                        absl::Seconds(1) };
    return decision;
  }
  if (aFreeSlots <= 0) {
    decision.mError = { error_code::Overloaded, ran::No, "",
                        "no backend server has a free slot", absl::Seconds(1) };
    return decision;
  }
  ++load.mInFlight;
  decision.mOutcome = admission_outcome::Admitted;
  return decision;
}

std::vector<request_handle> TakeAdmitted(admission_state&, const std::string&,
                                         int, absl::Time)
{
  return {};
}

std::vector<request_handle> TakeExpired(admission_state&, absl::Time)
{
  return {};
}

void Withdraw(admission_state&, request_handle) {}

void NoteDone(admission_state& aState, const workspace_id& aWorkspace)
{
  const auto found = aState.mWorkspaces.find(aWorkspace);
  if (found != aState.mWorkspaces.end() && --found->second.mInFlight <= 0) {
    aState.mWorkspaces.erase(found);
  }
}

absl::Time NextExpiry(const admission_state&)
{
  return absl::InfiniteFuture();
}

std::vector<std::string> QueuedTargets(const admission_state&)
{
  return {};
}

} // namespace foxtailquay
