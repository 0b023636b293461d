// A simulated fleet: real router and agent nodes, fake store, network,
// backend servers and callers, on one virtual clock.
//
//   world fleet(charts, seed);
//   StartProcess(fleet, "r1");
//   RunUntil(fleet, fleet.mNow + absl::Seconds(5));
//
// It models messages, delays, losses and time, nothing else. Every run with
// the same steps and seed gives the same sequence of events. Memory grows
// with the number of requests sent; a scenario has some thousands at most.
// One thread at a time may use a world.

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
// How long a client of the store waits for an answer.
constexpr absl::Duration kStoreTimeout = absl::Seconds(1);
// How long a connection attempt across a cut takes to fail.
constexpr absl::Duration kConnectTimeout = absl::Seconds(1);
// How long the sender of a message waits for a receiver that is paused.
constexpr absl::Duration kMessageTimeout = absl::Seconds(2);
// How long both ends of a cut connection take to notice.
constexpr absl::Duration kBreakDetection = absl::Milliseconds(500);
// Time from the start of a run to the head of its answer.
constexpr absl::Duration kBackendLatency = absl::Milliseconds(20);
// Pause between two pieces of an answer unless the request says otherwise.
constexpr absl::Duration kPieceInterval = absl::Milliseconds(10);

// One incarnation of a process on the simulator's side; 0 names no process.
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
  // Takes no request and answers nothing.
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
  // How many further writes take effect without an answer, and on which area.
  int mLosesResponses = 0;
  std::optional<store_area> mLoseArea;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

struct fake_network
{
  absl::Duration mDelay = absl::Milliseconds(1);
  absl::Duration mJitter = absl::Milliseconds(1);
  // Directed pairs that cannot communicate.
  std::set<std::pair<std::string, std::string>> mCuts;
  // Part of the messages lost, and of those delivered twice, in 1/1000.
  int mLossPermille = 0;
  int mDuplicatePermille = 0;
};

// What the backend server does with a request, known by the request's body.
struct work_spec
{
  token_count mPromptTokens = 0;
  token_count mTokens = 0;
  absl::Duration mInterval = kPieceInterval;
  absl::Duration mLatency = kBackendLatency;
  // The backend server breaks off after this many tokens.
  std::optional<token_count> mBreakAfter;
};

// --- Records of the simulation ----------------------------------------------

enum class request_outcome
{
  Pending,
  Whole,
  Refused,
  // An error after a part of the answer.
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
  // The router has taken the request up.
  bool mTaken = false;
  request_outcome mOutcome = request_outcome::Pending;
  error mError;
  // What the caller received so far.
  std::string mText;
  absl::Time mEndedAt = absl::InfiniteFuture();
};

// One dispatch from a router to an agent and the run it started, if any.
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
  bool mCut = false;
  // True if an injected failure, a caller or a deadline touched the stream.
  bool mFaulted = false;
  // The router cannot tell whether the run started.
  bool mOutcomeUnknown = false;
  bool mStarted = false;
  absl::Time mStartedAt = absl::InfiniteFuture();
  absl::Time mEndedAt = absl::InfiniteFuture();
  token_count mRelayed = 0;
  token_count mArrived = 0;
  // The answer was produced, or reached the router, as a whole.
  bool mComplete = false;
  bool mArrivedWhole = false;
  std::string mBuffer;
  absl::Time mLastArrival = absl::InfinitePast();
};

struct sim_operator_call
{
  std::string mName;
  process_ref mRouter;
  operator_request mRequest;
  std::optional<result<operator_result>> mResponse;
  bool mLost = false;
};

struct sim_command
{
  std::string mAgent;
  std::uint64_t mFencing = 0;
  std::optional<result<success>> mResponse;
  bool mExecuted = false;
};

struct open_store_call
{
  process_ref mFrom;
  store_request mRequest;
  bool mAnswered = false;
};

// --- Events -----------------------------------------------------------------

struct message_arrival
{
  process_ref mFrom;
  envelope mEnvelope;
};

struct node_input
{
  std::variant<router_event, agent_event> mEvent;
};

struct wake_up
{
  absl::Time mDue;
};

struct store_arrival
{
  std::uint64_t mCall = 0;
};

struct store_effect
{
  std::uint64_t mCall = 0;
};

struct store_response_arrival
{
  std::uint64_t mCall = 0;
  store_response mResponse;
};

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

// From the agent to the router.
struct frame_arrival
{
  std::size_t mStream = 0;
  frame_kind mKind = frame_kind::Head;
  std::string mText;
  token_usage mUsage;
  error mError;
};

// The router closed the connection to the agent.
struct agent_reset
{
  std::size_t mStream = 0;
};

struct backend_step
{
  std::size_t mStream = 0;
};

struct caller_sends
{
  std::size_t mRequest = 0;
};

using event_body =
  std::variant<message_arrival, node_input, wake_up, store_arrival,
               store_effect, store_response_arrival, dispatch_arrival,
               frame_arrival, agent_reset, backend_step, caller_sends>;

struct sim_event
{
  // The process that handles it; none for the store and callers. It waits
  // while the process is paused and is lost if the process is gone.
  process_ref mTarget;
  event_body mBody;
};

struct sim_process
{
  process_role mRole = process_role::Router;
  std::string mZone;
  process_status mStatus = process_status::Down;
  int mGeneration = 0;
  router_ptr mRouter;
  agent_ptr mAgent;
  std::deque<sim_event> mInbox;
  absl::Time mWakeAt = absl::InfiniteFuture();
  // Ticks without progress of time, to find a node that asks to be woken
  // again at once for ever.
  int mIdleTicks = 0;
  absl::Time mLastTick = absl::InfinitePast();
  bool mStopAsked = false;
  absl::Time mStopAskedAt = absl::InfiniteFuture();
};

// --- World ------------------------------------------------------------------

struct world
{
  world(const sim_charts& aCharts, std::uint64_t aSeed);

  const sim_charts& mCharts;
  std::mt19937_64 mRandom;
  absl::Time mNow;
  std::uint64_t mOrder = 0;
  std::map<std::pair<absl::Time, std::uint64_t>, sim_event> mQueue;
  router_options mRouterOptions;
  agent_options mAgentOptions;
  std::set<injected_fault> mFaults;
  fake_store mStore;
  fake_network mNetwork;
  std::map<std::string, sim_process> mProcesses;
  std::map<std::string, work_spec> mWork;
  // Deques, because references must stay valid while a node acts.
  std::deque<sim_request> mRequests;
  std::deque<sim_stream> mStreams;
  std::deque<sim_operator_call> mOperatorCalls;
  std::deque<sim_command> mCommands;
  std::map<std::uint64_t, open_store_call> mStoreCalls;
  std::uint64_t mNextCall = 1;
  observer_state mObserver;
  // Last injected failure of the network, a process or the store.
  absl::Time mLastDisturbance = absl::InfinitePast();
  bool mTracing = false;
  std::vector<std::string> mTrace;
};

bool HasFault(const world& aWorld, injected_fault aFault);

// Puts an event into the queue at aAt, not before the current time.
void Schedule(world& aWorld, absl::Time aAt, sim_event aEvent);
// Handles the events up to aUntil, then sets the clock to aUntil. The
// observer's checks run after each instant. Stops early at a violation.
void RunUntil(world& aWorld, absl::Time aUntil);
// Adds a line to the trace if tracing is on.
void Trace(world& aWorld, const std::string& aText);

} // namespace foxtailquay::scenario

#endif
