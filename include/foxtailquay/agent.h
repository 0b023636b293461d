// The agent node, beside each backend server: accepts or refuses runs,
// enforces fences and keeps usage records until they are committed.
//
//   agent_ptr agent = MakeAgent(settings, options, charts);
//   for (agent_action& action : Step(*agent, event, now)) { perform it }
//
// Step reads no clock, does no I/O and is deterministic. One thread at a time
// may use a state.

#ifndef FOXTAILQUAY_AGENT_H
#define FOXTAILQUAY_AGENT_H

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "foxtailquay/router.h"

namespace foxtailquay {

// --- Events -----------------------------------------------------------------

// A router asks to run a request.
struct run_requested_event
{
  request_handle mHandle = 0;
  envelope mHeader;
  run_request mRun;
};

// The run on the backend server ended. mUsage is what was relayed to the
// router, mComplete whether the answer was complete.
struct run_ended_event
{
  request_handle mHandle = 0;
  token_usage mUsage;
  bool mComplete = false;
};

// What the backend server reports about itself.
struct backend_load_event
{
  int mRunning = 0;
  int mQueued = 0;
  std::vector<std::uint64_t> mCachedPrefixes;
  std::vector<model_id> mLoadedModels;
};

// An operator or router commands the engine, for example to load a model.
struct command_event
{
  request_handle mHandle = 0;
  std::uint64_t mFencingNumber = 0;
  std::string mCommand;
};

using agent_event =
  std::variant<run_requested_event, run_ended_event, backend_load_event,
               command_event, message_event, peer_unreachable_event,
               store_response_event, stop_event, tick_event>;

// --- Actions ----------------------------------------------------------------

// Make the call on the backend server and relay its answer.
struct start_run_action
{
  request_handle mHandle = 0;
  run_request mRun;
};

// Tell the router that the run does not start. mError.mRan is No.
struct refuse_run_action
{
  request_handle mHandle = 0;
  error mError;
};

// Stop a run; it still reports run_ended_event.
struct abort_run_action
{
  request_handle mHandle = 0;
};

struct command_response_action
{
  request_handle mHandle = 0;
  // success: pass the command on to the engine.
  result<success> mResponse;
};

using agent_action = std::variant<start_run_action, refuse_run_action,
                                  abort_run_action, command_response_action,
                                  send_action, store_action, stopped_action>;

// --- Node -------------------------------------------------------------------

struct agent_options
{
  // Unacknowledged usage records are reported again after this time.
  absl::Duration mReportInterval = absl::Seconds(2);
  absl::Duration mGossipInterval = absl::Seconds(1);
  // The store is read at this interval only when no peer can be reached.
  absl::Duration mStorePollInterval = absl::Seconds(5);
  // Memory bound: new runs are refused while this many records wait.
  std::size_t mMaxRecords = 10000;
};

struct agent_state;

struct agent_state_deleter
{
  void operator()(agent_state* aState) const;
};
using agent_ptr = std::unique_ptr<agent_state, agent_state_deleter>;

// Precondition: aCharts outlives the agent. The agent's backend server is the
// one whose backend_id has the text of aSettings.mMember.
agent_ptr MakeAgent(const node_settings& aSettings,
                    const agent_options& aOptions, const node_charts& aCharts);

// Handles one event at aNow. Precondition: aNow does not go backwards.
std::vector<agent_action> Step(agent_state& aState, agent_event aEvent,
                               absl::Time aNow);

absl::Time GetNextWakeTime(const agent_state& aState);

// True once the agent has joined, knows the fences and is not stopping.
bool IsReady(const agent_state& aState);

struct run_dump
{
  request_handle mHandle = 0;
  request_id mRequest;
  std::string mStatus;
};

struct agent_dump
{
  process_id mProcess;
  std::string mStatus;
  config_version mConfigVersion = 0;
  store_version mMembersVersion = 0;
  load_report mLoad;
  std::vector<run_dump> mRuns;
  std::size_t mRecords = 0;
};

agent_dump Dump(const agent_state& aState);

} // namespace foxtailquay

#endif
