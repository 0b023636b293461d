// A simulated fleet: real router and agent nodes, fake store, network,
// backend servers and callers, on one virtual clock.
//
//   world fleet(charts, seed);
//   StartProcess(fleet, "r1");
//   RunUntil(fleet, fleet.mNow + absl::Seconds(5));
//
// It models messages, delays, losses and time only; processing takes no time.
// The same steps and seed give the same sequence of events. Memory grows with
// the number of requests sent; a scenario has some thousands at most.
// Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_WORLD_H
#define FOXTAILQUAY_TESTS_SCENARIO_WORLD_H

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailquay/agent.h"
#include "foxtailquay/router.h"
#include "injected_fault.h"
#include "observer.h"
#include "sim_charts.h"

namespace foxtailquay::scenario {

// Name of the store as an endpoint of the network.
constexpr const char* kStoreName = "store";
// Time that a client of the store waits for a response.
constexpr absl::Duration kStoreTimeout = absl::Seconds(1);
// Time until a connection attempt across a cut fails.
constexpr absl::Duration kConnectTimeout = absl::Seconds(1);
// Time that the sender of a message waits for a paused receiver.
constexpr absl::Duration kMessageTimeout = absl::Seconds(2);
// Time until both ends of a cut connection detect that it is lost.
constexpr absl::Duration kBreakDetection = absl::Milliseconds(500);
// Default time from the start of a run to its first token, or to the response
// of a service.
constexpr absl::Duration kBackendLatency = absl::Milliseconds(20);
// Default time between two tokens of a response.
constexpr absl::Duration kTokenInterval = absl::Milliseconds(10);

// One incarnation of a process in the simulator. As the target of
// an event, generation 0 stands for any incarnation.
struct process_ref
{
  std::string mName;
  int mGeneration = 0;
};

// --- Fakes ------------------------------------------------------------------

enum class store_mode
{
  Up,
  // Refuses every request.
  Down,
  // Drops every request without a response.
  Silent,
};
constexpr auto NameTable(store_mode)
{
  return MakeNameTable<store_mode>({ { store_mode::Up, "up" },
                                     { store_mode::Down, "down" },
                                     { store_mode::Silent, "silent" } });
}

struct fake_store
{
  struct entry
  {
    store_version mVersion = 0;
    std::optional<store_document> mDocument;
  };
  std::map<store_key, entry> mEntries;
  store_mode mMode = store_mode::Up;
  // Time between the arrival of a request and its effect.
  absl::Duration mDelay = absl::ZeroDuration();
  // Number of further writes that take effect but lose their response, and
  // the area they are counted in; all areas if empty.
  int mResponsesToLose = 0;
  std::optional<store_area> mLoseArea;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

// Delays and failures of the network, for all packets.
struct fake_network
{
  absl::Duration mDelay = absl::Milliseconds(1);
  absl::Duration mJitter = absl::Milliseconds(1);
  // Directed pairs that cannot communicate.
  std::set<std::pair<std::string, std::string>> mCuts;
  // Probabilities, in 1/1000, that a message (or its acknowledgement) is lost
  // and that a message is delivered twice.
  int mLossPermille = 0;
  int mDuplicatePermille = 0;
};

// Work of the backend server for one request, which it finds by the body of the
// request.
struct work_spec
{
  token_count mPromptTokens = 0;
  token_count mTokens = 0;
  absl::Duration mInterval = kTokenInterval;
  absl::Duration mLatency = kBackendLatency;
  // The backend server interrupts the response after this many tokens.
  std::optional<token_count> mBreakAfter;
};

// --- Records of the simulation ----------------------------------------------

enum class request_outcome
{
  Pending,
  Whole,
  Refused,
  // An error after a part of the response text.
  BrokenOff,
  ConnectionLost,
  Disconnected,
  NotConnected,
};
constexpr auto NameTable(request_outcome)
{
  using o = request_outcome;
  return MakeNameTable<o>({ { o::Pending, "pending" },
                            { o::Whole, "whole" },
                            { o::Refused, "refused" },
                            { o::BrokenOff, "broken_off" },
                            { o::ConnectionLost, "connection_lost" },
                            { o::Disconnected, "disconnected" },
                            { o::NotConnected, "not_connected" } });
}

// One request by one caller at one router.
struct sim_request
{
  // Name in the scenario; several requests may share it.
  std::string mName;
  process_ref mRouter;
  std::string mWorkspace;
  caller_request_event mRequest;
  bool mRepeatable = true;
  absl::Time mSentAt;
  // True once the router has handled the event with the request.
  bool mReachedRouter = false;
  request_outcome mOutcome = request_outcome::Pending;
  error mError;
  // Response text that the caller has received so far.
  std::string mText;
  absl::Time mEndedAt = absl::InfiniteFuture();
};

// One dispatch from a router to an agent, and the run that it started, if any.
struct sim_stream
{
  std::size_t mRequest = 0;
  process_ref mRouter;
  process_ref mAgent;
  request_handle mHandle = 0;
  envelope mHeader;
  run_request mRun;
  work_spec mWork;
  run_status mStatus = run_status::Asked;
  bool mRouterOpen = true;
  // True once bytes between the two ends are dropped.
  bool mIsCut = false;
  // True if an injected failure, the caller or a deadline may have interrupted
  // the stream.
  bool mFaulted = false;
  // True if the router does not know whether the run started.
  bool mOutcomeUnknown = false;
  bool mStarted = false;
  absl::Time mStartedAt = absl::InfiniteFuture();
  absl::Time mEndedAt = absl::InfiniteFuture();
  token_count mRelayedTokens = 0;
  token_count mReceivedTokens = 0;
  // True if the complete response was produced, and if it reached the router.
  bool mComplete = false;
  bool mArrivedComplete = false;
  std::string mBuffer;
  absl::Time mLastArrival = absl::InfinitePast();
};

// A request of an operator. mConnectionLost is true if no response can arrive.
struct sim_operator_call
{
  std::string mName;
  process_ref mRouter;
  operator_request mRequest;
  std::optional<result<operator_result>> mResponse;
  bool mConnectionLost = false;
};

// A command to the engine beside an agent.
struct sim_command
{
  std::string mAgent;
  std::uint64_t mFencing = 0;
  std::optional<result<success>> mResponse;
  bool mExecuted = false;
};

// A request to the store. mHasResponse is also true after a timeout.
struct open_store_call
{
  process_ref mFrom;
  store_request mRequest;
  bool mHasResponse = false;
};

// --- Events -----------------------------------------------------------------

// A message reaches its receiver.
struct message_arrival
{
  process_ref mFrom;
  envelope mEnvelope;
};

// An event for a node that does not cross the network.
struct node_input
{
  std::variant<router_event, agent_event> mEvent;
};

// A wake-up that a node requested. Ignored if the node has requested another
// time since.
struct wake_up
{
  absl::Time mDueAt;
};

// A request reaches the store.
struct store_arrival
{
  std::uint64_t mCall = 0;
};

// A request takes effect at the store.
struct store_effect
{
  std::uint64_t mCall = 0;
};

// A response of the store reaches the process, or the request times out.
struct store_response_arrival
{
  std::uint64_t mCall = 0;
  store_response mResponse;
};

// A dispatch reaches the agent.
struct dispatch_arrival
{
  std::size_t mStream = 0;
};

enum class frame_kind
{
  Head,
  Piece,
  End,
  Broken,
  Refusal,
  // Not a frame: the connection was closed or reset.
  Reset,
};
constexpr auto NameTable(frame_kind)
{
  return MakeNameTable<frame_kind>({ { frame_kind::Head, "head" },
                                     { frame_kind::Piece, "piece" },
                                     { frame_kind::End, "end" },
                                     { frame_kind::Broken, "broken" },
                                     { frame_kind::Refusal, "refusal" },
                                     { frame_kind::Reset, "reset" } });
}

// A frame from the agent reaches the router.
struct frame_arrival
{
  std::size_t mStream = 0;
  frame_kind mKind = frame_kind::Head;
  std::string mText;
  token_usage mUsage;
  error mError;
};

// The agent detects that the connection to the router is closed or lost.
struct agent_reset
{
  std::size_t mStream = 0;
};

// The backend server produces the next token or ends the run.
struct backend_step
{
  std::size_t mStream = 0;
};

// A caller sends its request.
struct caller_sends
{
  std::size_t mRequest = 0;
};

using event_body =
  std::variant<message_arrival, node_input, wake_up, store_arrival,
               store_effect, store_response_arrival, dispatch_arrival,
               frame_arrival, agent_reset, backend_step, caller_sends>;

// An event of the simulation and its target.
struct sim_event
{
  // The process that handles the event; an empty name for the store and
  // callers. The event waits while the process is paused and is discarded if
  // the process is down or has another generation.
  process_ref mTarget;
  event_body mBody;
};

// A router or agent process. A process that is down has no node.
struct sim_process
{
  process_role mRole = process_role::Router;
  std::string mZone;
  process_status mStatus = process_status::Down;
  int mGeneration = 0;
  router_ptr mRouter;
  agent_ptr mAgent;
  // Events that wait while the process is paused.
  std::deque<sim_event> mInbox;
  // Time of the next scheduled wake-up.
  absl::Time mWakeAt = absl::InfiniteFuture();
  // Consecutive ticks at the same virtual time, to detect a node that requests
  // immediate wake-ups without end.
  int mTicksAtInstant = 0;
  absl::Time mLastTickAt = absl::InfinitePast();
  bool mStopRequested = false;
  absl::Time mStopRequestedAt = absl::InfiniteFuture();
};

// --- World ------------------------------------------------------------------

struct world
{
  world(const sim_charts& aCharts, std::uint64_t aSeed);

  const sim_charts& mCharts;
  std::mt19937_64 mRandom;
  absl::Time mNow;
  // Number of the last scheduled event, and the events by time and number.
  std::uint64_t mLastSequenceNumber = 0;
  std::map<std::pair<absl::Time, std::uint64_t>, sim_event> mQueue;
  router_options mRouterOptions;
  agent_options mAgentOptions;
  std::set<injected_fault> mFaults;
  fake_store mStore;
  fake_network mNetwork;
  std::map<std::string, sim_process> mProcesses;
  // Work of the backend servers by the body of the request.
  std::map<std::string, work_spec> mWork;
  // Deques keep references valid when a node's action adds an element.
  std::deque<sim_request> mRequests;
  std::deque<sim_stream> mStreams;
  std::deque<sim_operator_call> mOperatorCalls;
  std::deque<sim_command> mCommands;
  std::map<std::uint64_t, open_store_call> mStoreCalls;
  std::uint64_t mNextCall = 1;
  observer_state mObserver;
  // Time of the last injected failure of the network, a process or the store.
  absl::Time mLastDisturbance = absl::InfinitePast();
  bool mIsTracing = false;
  std::vector<std::string> mTrace;
};

// Returns whether a test-only fault is injected.
bool HasFault(const world& aWorld, injected_fault aFault);

// Schedules an event at aAt, or now if aAt is in the past. Events of the same
// time are handled in the order of the calls.
void Schedule(world& aWorld, absl::Time aAt, sim_event aEvent);
// Handles the events up to aUntil, then sets the clock to aUntil. Runs the
// checks of the observer after each instant. Returns early after a violation.
void RunUntil(world& aWorld, absl::Time aUntil);
// Adds a line to the trace if mIsTracing is set.
void Trace(world& aWorld, const std::string& aText);

} // namespace foxtailquay::scenario

#endif
