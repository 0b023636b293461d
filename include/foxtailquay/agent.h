// The agent node, one beside each backend server. It accepts or refuses runs,
// enforces fences, and keeps usage records until they are committed.
//
//   agent_ptr agent = MakeAgent(settings, options, charts);
//   for (agent_action& action : Step(*agent, event, now)) { perform it }
//
// Step reads no clock, does no I/O and is deterministic. Only one thread at a
// time may use an agent_state.

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

// A router requests the run of a request.
struct run_requested_event
{
  request_handle mHandle = 0;
  // Sender and versions known to the router.
  envelope mHeader;
  run_request mRun;
};

// A run on the backend server ended.
struct run_ended_event
{
  request_handle mHandle = 0;
  // Tokens of the part of the response that was relayed to the router.
  token_usage mUsage;
  // True if the response was complete.
  bool mComplete = false;
};

// The backend server's own report of its load.
struct backend_load_event
{
  int mRunning = 0;
  int mQueued = 0;
  std::vector<std::uint64_t> mCachedPrefixes;
  std::vector<model_id> mLoadedModels;
};

// An operator or router sends a command to the engine, for example to load a
// model.
struct command_event
{
  request_handle mHandle = 0;
  std::uint64_t mFencingNumber = 0;
  std::string mCommand;
};

// Any event of an agent.
using agent_event =
  std::variant<run_requested_event, run_ended_event, backend_load_event,
               command_event, message_event, peer_unreachable_event,
               store_response_event, stop_event, tick_event>;

// --- Actions ----------------------------------------------------------------

// Calls the backend server and relays its response.
struct start_run_action
{
  request_handle mHandle = 0;
  run_request mRun;
};

// Tells the router that the run does not start. mError.mExecuted is No.
struct refuse_run_action
{
  request_handle mHandle = 0;
  error mError;
};

// Stops a run. It still ends with a run_ended_event.
struct abort_run_action
{
  request_handle mHandle = 0;
};

// Responds to a command_event.
struct command_response_action
{
  request_handle mHandle = 0;
  // On success the caller forwards the command to the engine.
  result<success> mResponse;
};

// Any action of an agent.
using agent_action = std::variant<start_run_action, refuse_run_action,
                                  abort_run_action, command_response_action,
                                  send_action, store_action, stopped_action>;

// --- Node -------------------------------------------------------------------

// Intervals and limits of an agent.
struct agent_options
{
  // Time after which an unacknowledged usage record is reported again.
  absl::Duration mReportInterval = absl::Seconds(2);
  // Interval of gossip messages.
  absl::Duration mGossipInterval = absl::Seconds(1);
  // Interval of store reads while no peer can be reached; otherwise the store
  // is not polled.
  absl::Duration mStorePollInterval = absl::Seconds(5);
  // Largest number of unacknowledged usage records; beyond it new runs are
  // refused. This bounds the memory.
  std::size_t mMaxRecords = 10000;
};

// The private state of an agent.
struct agent_state;

// Deleter for the private state type.
struct agent_state_deleter
{
  void operator()(agent_state* aState) const;
};
using agent_ptr = std::unique_ptr<agent_state, agent_state_deleter>;

// Returns a new agent for the backend server whose backend_id has the text of
// aSettings.mMember. Precondition: aCharts outlives the agent.
agent_ptr MakeAgent(const node_settings& aSettings,
                    const agent_options& aOptions, const node_charts& aCharts);

// Handles aEvent at time aNow and returns the actions to perform, in order.
// Precondition: aNow never decreases.
std::vector<agent_action> Step(agent_state& aState, agent_event aEvent,
                               absl::Time aNow);

// Returns the time by which Step needs a tick_event.
absl::Time GetNextWakeTime(const agent_state& aState);

// Returns true if the agent has joined, has received the current fences, and
// is not stopping.
bool IsReady(const agent_state& aState);

// One run in the state dump.
struct run_dump
{
  request_handle mHandle = 0;
  request_id mRequest;
  std::string mStatus;
};

// The state of an agent for diagnostics, in plain values.
struct agent_dump
{
  process_id mProcess;
  std::string mStatus;
  config_version mConfigVersion = 0;
  store_version mMembersVersion = 0;
  load_report mLoad;
  std::vector<run_dump> mRuns;
  // Number of unacknowledged usage records.
  std::size_t mRecords = 0;
};

// Returns a copy of the state for diagnostics.
agent_dump Dump(const agent_state& aState);

} // namespace foxtailquay

#endif
