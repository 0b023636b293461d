// Private state of the agent node and the functions that its source files
// share: agent_run.cc decides on runs and keeps usage records, agent.cc
// handles events, news and the process's life.

#ifndef FOXTAILQUAY_CORE_AGENT_STATE_H
#define FOXTAILQUAY_CORE_AGENT_STATE_H

#include <map>
#include <set>
#include <vector>

#include "foxtailquay/agent.h"
#include "node_core.h"

namespace foxtailquay {

struct run_state
{
  request_handle mHandle = 0;
  run_status mStatus = run_status::Running;
  run_request mRun;
  process_id mRouter;
  usage_record mRecord;
  absl::Time mReportAt = absl::InfinitePast();
};

// A command whose fencing number is being recorded.
struct waiting_command
{
  request_handle mHandle = 0;
  std::uint64_t mFencingNumber = 0;
  absl::Time mGiveUpAt;
};

struct agent_state
{
  node_core mNode;
  agent_options mOptions;
  backend_id mBackend;
  load_report mLoad;
  std::uint32_t mReports = 0;

  // Runs and usage records, by request. A request runs here at most once.
  std::map<request_id, run_state> mRuns;
  std::map<request_handle, request_id> mByHandle;
  // Routers that wait for the acknowledgement of a fence until runs end.
  std::map<process_id, std::vector<member_id>> mFenceQueries;
  // Commands by the id of the operation that records their number.
  std::map<std::uint64_t, waiting_command> mCommands;
  std::uint64_t mLastOperationId = 0;

  absl::Time mNextGossip = absl::InfinitePast();
  absl::Time mNextPoll = absl::InfinitePast();
  absl::Time mStopDeadline = absl::InfiniteFuture();
  // Routers that have taken over the records.
  std::set<member_id> mHandOverTaken;

  std::vector<agent_action> mActions;
};

// True if the backend server takes no new work: this process is stopping, or
// the configuration says so.
bool IsLeaving(const agent_state& aState);

// Decides whether a run may start. Errors have ran::No.
result<success> CheckRun(const agent_state& aState,
                         const run_requested_event& aAsked);

void FireRun(agent_state& aState, run_state& aRun, run_event aEvent);

// What a run costs; aComplete is false if its answer broke off.
token_count ComputeCost(const run_request& aRun, const token_usage& aUsage,
                        bool aComplete);

// Acknowledges the fence to all who asked, once no run of it is active.
void AnswerFence(agent_state& aState, const process_id& aFenced);
void OnFenceQuery(agent_state& aState, const process_id& aFrom,
                  const process_id& aFenced);

// The usage record of a run is committed.
void Acknowledge(agent_state& aState, const request_id& aRequest);

// Drops records of routers that are gone, and reports others again.
void ReviewRecords(agent_state& aState, absl::Time aNow);

} // namespace foxtailquay

#endif
