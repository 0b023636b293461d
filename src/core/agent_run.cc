// Runs of the agent: admission, cost, and the usage records that are kept until
// they are committed.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "agent_state.h"

namespace foxtailquay {

namespace {

error MakeRefusal(error_code aCode, std::string aDetail,
                  absl::Duration aRetryAfter = absl::ZeroDuration())
{
  return error{ aCode, executed::No, "", std::move(aDetail), aRetryAfter };
}

// Returns null if the backend server is not configured.
const backend_config* FindLocalBackend(const agent_state& aState)
{
  const auto& backends = aState.mNode.mConfig.mBackends;
  const auto found = backends.find(aState.mBackend);
  return found == backends.end() ? nullptr : &found->second;
}

int CountActiveRuns(const agent_state& aState)
{
  return static_cast<int>(aState.mByHandle.size());
}

bool MayAbort(run_guard, const run_state& aRun)
{
  // Closing the connection does not cancel a call to a service.
  return aRun.mRun.mKind == backend_kind::Engine;
}

// Returns true once every share of the process is closed because it has left
// or its fence is finished. Its usage records are committed by then.
bool HasClosedAllShares(const member_list& aMembers, const process_id& aProcess)
{
  const bool fenced =
    std::any_of(aMembers.mFences.begin(), aMembers.mFences.end(),
                [&aProcess](const fence_record& aFence) {
                  return aFence.mFenced == aProcess;
                });
  return !fenced && IsFenced(aMembers, aProcess);
}

} // namespace

bool IsLeaving(const agent_state& aState)
{
  const backend_config* backend = FindLocalBackend(aState);
  return aState.mNode.mStatus > process_status::Ready ||
         (backend != nullptr && backend->mDrain);
}

result<success> CheckRun(const agent_state& aState,
                         const run_requested_event& aEvent)
{
  const node_core& node = aState.mNode;
  if (IsLeaving(aState)) {
    return MakeRefusal(error_code::BackendServerLeaving,
                       "this backend server takes no new work");
  }
  if (node.mStatus != process_status::Ready) {
    return MakeRefusal(error_code::NotReady, "this agent has not joined yet",
                       absl::Seconds(1));
  }
  if (IsRefused(node, aEvent.mHeader.mSender)) {
    return MakeRefusal(error_code::StaleIncarnation,
                       absl::StrCat("router ", ToString(aEvent.mHeader.mSender),
                                    " has been fenced"));
  }
  if (!(aEvent.mRun.mRequest.mShare.mHolder == aEvent.mHeader.mSender)) {
    return MakeRefusal(error_code::ProtocolViolation,
                       "the request id is of a router other than the sender");
  }
  if (aEvent.mHeader.mConfigVersion < node.mConfig.mVersion) {
    return MakeRefusal(error_code::StaleConfig,
                       absl::StrCat("the router has configuration ",
                                    aEvent.mHeader.mConfigVersion,
                                    ", this agent has ",
                                    node.mConfig.mVersion));
  }
  if (aState.mRuns.count(aEvent.mRun.mRequest) != 0) {
    return MakeRefusal(error_code::ProtocolViolation,
                       "a run with this request id has been started");
  }
  if (aState.mRuns.size() >= aState.mOptions.mMaxRecords) {
    return MakeRefusal(error_code::Overloaded,
                       "too many usage records are not committed yet",
                       absl::Seconds(1));
  }
  const backend_config* backend = FindLocalBackend(aState);
  if (backend != nullptr &&
      CountActiveRuns(aState) >= backend->mMaxConcurrency) {
    return MakeRefusal(error_code::Overloaded,
                       "all slots of the backend server are in use",
                       absl::Milliseconds(100));
  }
  return success{};
}

void FireRun(agent_state& aState, run_state& aRun, run_event aEvent)
{
  const auto actions =
    Fire(aState.mNode.mCharts->mRun, aRun.mStatus, aEvent, aRun, &MayAbort);
  for (run_action action : actions) {
    switch (action) {
      case run_action::KeepRecord:
        aState.mByHandle.erase(aRun.mHandle);
        break;
      case run_action::AbortRun:
        aState.mActions.emplace_back(abort_run_action{ aRun.mHandle });
        break;
      case run_action::DropRecord:
        break;
    }
  }
}

token_count ComputeCost(const run_request& aRun, const token_usage& aUsage,
                        bool aComplete)
{
  if (aRun.mKind == backend_kind::Service) {
    return aRun.mCallPrice;
  }
  // An interrupted run without output is not charged for its prompt.
  if (!aComplete && aUsage.mCompletionTokens == 0) {
    return 0;
  }
  const token_count worstCase = aRun.mMaxPromptTokens * aRun.mPromptPrice +
                                aRun.mMaxTokens * aRun.mCompletionPrice;
  return std::min(worstCase,
                  aUsage.mPromptTokens * aRun.mPromptPrice +
                    aUsage.mCompletionTokens * aRun.mCompletionPrice);
}

void AcknowledgeFence(agent_state& aState, const process_id& aFenced)
{
  const auto queries = aState.mFenceQueries.find(aFenced);
  if (queries == aState.mFenceQueries.end()) {
    return;
  }
  fence_ack_message ack;
  ack.mFenced = aFenced;
  for (const auto& [id, run] : aState.mRuns) {
    if (!(run.mRouter == aFenced)) {
      continue;
    }
    if (run.mStatus != run_status::Held) {
      return;
    }
    ack.mRecords.push_back(run.mRecord);
  }
  for (const member_id& router : queries->second) {
    Send(aState.mNode, router, ack);
  }
  aState.mFenceQueries.erase(queries);
}

void OnFenceQuery(agent_state& aState, const process_id& aFrom,
                  const process_id& aFenced)
{
  aState.mNode.mFenced.insert(aFenced);
  auto& queries = aState.mFenceQueries[aFenced];
  if (std::find(queries.begin(), queries.end(), aFrom.mMember) ==
      queries.end()) {
    queries.push_back(aFrom.mMember);
  }
  for (auto& [id, run] : aState.mRuns) {
    if (run.mRouter == aFenced) {
      FireRun(aState, run, run_event::Abort);
    }
  }
  AcknowledgeFence(aState, aFenced);
}

void AcknowledgeRecord(agent_state& aState, const request_id& aRequest)
{
  const auto found = aState.mRuns.find(aRequest);
  if (found == aState.mRuns.end()) {
    return;
  }
  FireRun(aState, found->second, run_event::Acknowledged);
  if (found->second.mStatus == run_status::Released) {
    aState.mRuns.erase(found);
  }
}

void AdvanceRecords(agent_state& aState, absl::Time aNow)
{
  std::vector<request_id> committed;
  std::map<member_id, usage_report_message> reports;
  for (auto& [id, run] : aState.mRuns) {
    if (run.mStatus != run_status::Held) {
      continue;
    }
    if (HasClosedAllShares(aState.mNode.mMembers, run.mRouter)) {
      committed.push_back(id);
    } else if (run.mReportAt <= aNow) {
      run.mReportAt = aNow + aState.mOptions.mReportInterval;
      reports[run.mRouter.mMember].mRecords.push_back(run.mRecord);
    }
  }
  for (const request_id& id : committed) {
    AcknowledgeRecord(aState, id);
  }
  for (auto& [router, report] : reports) {
    Send(aState.mNode, router, std::move(report));
  }
}

} // namespace foxtailquay
