// Private state of the agent node and the functions that its source files
// share. agent_run.cc admits runs and keeps usage records; agent.cc handles
// events, gossip, commands and the process chart.
//
// Only one thread at a time may use an agent_state.

#ifndef FOXTAILQUAY_CORE_AGENT_STATE_H
#define FOXTAILQUAY_CORE_AGENT_STATE_H

#include <map>
#include <set>
#include <vector>

#include "foxtailquay/agent.h"
#include "node_core.h"

namespace foxtailquay {

// One run of a request, from its start until its usage record is committed.
struct run_state
{
  request_handle mHandle = 0;
  run_status mStatus = run_status::Running;
  // The body is empty: it is only needed to start the run.
  run_request mRun;
  // The router that requested the run and receives its usage record.
  process_id mRouter;
  // Valid once the run has ended.
  usage_record mRecord;
  // Time of the next report of the usage record to the router.
  absl::Time mReportAt = absl::InfinitePast();
};

// A command whose fencing number is being committed to the store.
struct waiting_command
{
  request_handle mHandle = 0;
  std::uint64_t mFencingNumber = 0;
  // Time at which the command is rejected if its number is not committed.
  absl::Time mExpiresAt;
};

struct agent_state
{
  node_core mNode;
  agent_options mOptions;
  // The backend server beside which this agent runs.
  backend_id mBackend;
  load_report mLoad;
  // Load reports sent by this process.
  std::uint32_t mReportCount = 0;

  // Active runs and those whose usage record is not committed. A run is
  // rejected if its request is listed here.
  std::map<request_id, run_state> mRuns;
  // Requests of the active runs.
  std::map<request_handle, request_id> mByHandle;
  // Routers that wait for the acknowledgement of a fence, by fenced process.
  // It is sent once no run of the fenced process is active.
  std::map<process_id, std::vector<member_id>> mFenceQueries;
  // Waiting commands, by the id of the operation that commits their number.
  std::map<std::uint64_t, waiting_command> mCommands;
  std::uint64_t mLastOperationId = 0;

  // Time of the next load reports.
  absl::Time mNextGossip = absl::InfinitePast();
  // Time of the next check whether the store must be read.
  absl::Time mNextPoll = absl::InfinitePast();
  // Time at which the current step of a stop counts as failed for lack of the
  // store.
  absl::Time mStopDeadline = absl::InfiniteFuture();
  // Routers that have acknowledged the hand-over of the usage records.
  std::set<member_id> mHandOverAcknowledgers;

  // Actions that the current Step returns.
  std::vector<agent_action> mActions;
};

// Returns true if the backend server takes no new work because this process is
// stopping or the configuration drains the backend server.
bool IsLeaving(const agent_state& aState);

// Returns success if the run may start. Each error has mExecuted No:
// BackendServerLeaving if the backend server takes no new work;
// NotReady if the agent has not joined;
// StaleIncarnation if the router has been fenced;
// ProtocolViolation if the request id is of another router or is in use;
// StaleConfig if the router's configuration is older than the agent's;
// Overloaded if all slots are in use or too many usage records are not
// committed.
result<success> CheckRun(const agent_state& aState,
                         const run_requested_event& aEvent);

// Fires aEvent in the run's state chart and performs the chart's actions.
void FireRun(agent_state& aState, run_state& aRun, run_event aEvent);

// Returns the cost of a run, at most its worst case. aComplete is false if the
// response was interrupted; such a run costs nothing if it has no completion
// tokens. A service call costs its fixed price.
token_count ComputeCost(const run_request& aRun, const token_usage& aUsage,
                        bool aComplete);

// Sends the acknowledgement of the fence, with the usage records, to all
// routers that wait for it. Does nothing while a run of the fenced process is
// active.
void AcknowledgeFence(agent_state& aState, const process_id& aFenced);
// Records that aFenced is fenced, aborts its runs where possible, and
// acknowledges the fence to aFrom once no such run is active.
void OnFenceQuery(agent_state& aState, const process_id& aFrom,
                  const process_id& aFenced);

// Removes the usage record of aRequest, which is committed. Does nothing if the
// request is unknown or its run is active.
void AcknowledgeRecord(agent_state& aState, const request_id& aRequest);

// Removes usage records whose router has closed all its shares, and reports
// the others again when due.
void AdvanceRecords(agent_state& aState, absl::Time aNow);

} // namespace foxtailquay

#endif
