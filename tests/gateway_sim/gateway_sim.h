// A simulation of several gateways and one store on a virtual clock. It runs
// the real gateway nodes and simulates the store, the network, the backend
// servers and the callers, which exchange the events and actions of the nodes.
//
//   auto sim = MakeSim(charts, seed, injected_fault::None);
//   RunRandomFaults(*sim, absl::Seconds(40));
//   sim->mViolations is empty if no invariant was violated
//
// All randomness comes from the seed. Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_GATEWAY_SIM_H
#define FOXTAILQUAY_TESTS_GATEWAY_SIM_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/gateway.h"

namespace foxtailquay::gateway_sim {

// Faults of the simulation that a check must detect.
enum class injected_fault
{
  None,
  // The store writes grants without comparing versions.
  IgnoreVersions,
  // A response with tokens arrives twice.
  RepeatTokens,
  // An attempt that was sent is reported as not sent.
  DenySending,
  // Backend servers use more tokens than they report.
  HideTokens,
  // A call on a silent connection ends later than the transport ends it.
  DelayTimeouts,
  // The gateways do not see the rate limits that servers state.
  HideLimits,
  // The gateways do not see that servers leave or back off.
  HideNotices,
  // The store does not state that it has returned to an older state.
  HideEras,
};

constexpr auto NameTable(injected_fault)
{
  using f = injected_fault;
  return MakeNameTable<f>({ { f::None, "none" },
                            { f::IgnoreVersions, "ignore_versions" },
                            { f::RepeatTokens, "repeat_tokens" },
                            { f::DenySending, "deny_sending" },
                            { f::HideTokens, "hide_tokens" },
                            { f::DelayTimeouts, "delay_timeouts" },
                            { f::HideLimits, "hide_limits" },
                            { f::HideNotices, "hide_notices" },
                            { f::HideEras, "hide_eras" } });
}

// The invariants that the simulation checks.
enum class violated_invariant
{
  // The executed requests used more tokens than the prepaid total.
  Overspent,
  // A request that is not idempotent was executed twice.
  ExecutedTwice,
  // A request was executed although its error states that it was not.
  FalseRefusal,
  // A process adopted an older configuration.
  ConfigurationReverted,
  // A connected process uses a configuration that was replaced for longer than
  // a change may take.
  ConfigurationLate,
  // A server got more requests than the rate limit that it states allows.
  LimitExceeded,
  // A server that had told a gateway that it leaves got a request of it.
  LeavingIgnored,
  // A server that had told a gateway to back off got requests of it.
  BackoffIgnored,
  // A gateway does not serve a request after the faults have ended.
  NotServing,
};

constexpr auto NameTable(violated_invariant)
{
  using b = violated_invariant;
  return MakeNameTable<b>(
    { { b::Overspent, "overspent" },
      { b::ExecutedTwice, "executed_twice" },
      { b::FalseRefusal, "false_refusal" },
      { b::ConfigurationReverted, "configuration_reverted" },
      { b::ConfigurationLate, "configuration_late" },
      { b::LimitExceeded, "limit_exceeded" },
      { b::LeavingIgnored, "leaving_ignored" },
      { b::BackoffIgnored, "backoff_ignored" },
      { b::NotServing, "not_serving" } });
}

// Behavior of the store.
enum class store_mode
{
  Up,
  // Calls get no response and have no effect.
  Unresponsive,
  // Some writes take effect without a response, immediately or later.
  LosesResponses,
  // Watches hear of no changes.
  HoldsWatches,
};

// A stored grant record.
struct sim_record
{
  grant_record mRecord;
  store_version mVersion = 0;
};

// The store. All versions are revisions of it.
struct sim_store
{
  store_mode mMode = store_mode::Up;
  store_version mRevision = 1;
  traffic_config mConfig;
  store_version mConfigRevision = 0;
  // Watches from before this revision fail, since the history was dropped.
  store_version mHistoryStart = 0;
  // Time of each version, in order.
  std::vector<std::pair<absl::Time, config_version>> mConfigTimes;
  // End of the last fault of the store.
  absl::Time mDisturbedUntil = absl::InfinitePast();
  std::map<std::string, std::pair<backend_entry, store_version>> mBackends;
  // An entry without a value was removed.
  std::map<std::string, std::pair<std::optional<gateway_peer>, store_version>>
    mPeers;
  std::map<workspace_id, sim_record> mGrants;
  // By suspect and gateway. A report without crashes was removed.
  std::map<std::pair<suspect_id, std::string>,
           std::pair<crash_report, store_version>>
    mCrashReports;
  // Rises when the store returns to an older state.
  store_era mEra = 1;
  // Eras that grant writes have marked.
  std::set<store_era> mMarkedEras;
};

// An older state of the store.
struct sim_snapshot
{
  absl::Time mAt;
  sim_store mStore;
};

// The time for which a server wants no requests from a gateway.
struct sim_backoff
{
  absl::Time mSince;
  absl::Time mUntil;
  int mRequests = 0;
};

// A watch without a response yet.
struct sim_watch
{
  store_version mAfter = 0;
  // Time at which the store responds without changes.
  absl::Time mEndsAt;
  // Era that the gateway knew.
  store_era mEra = 0;
  // Number of the query.
  std::uint64_t mQuery = 0;
};

// A gateway process.
struct sim_gateway
{
  std::string mName;
  gateway_ptr mNode;
  bool mIsAlive = false;
  // Number of the incarnation. Events for an earlier one are dropped.
  int mIncarnation = 0;
  absl::Time mStartedAt;
  int mBoot = 0;
  absl::Time mBootStart;
  // Time at which this incarnation first relayed a response in which the server
  // states a rate limit, by server.
  std::map<std::string, absl::Time> mToldLimits;
  // Time at which this incarnation first relayed a response in which the server
  // states that it leaves, by server.
  std::map<std::string, absl::Time> mToldLeaving;
  // By server.
  std::map<std::string, sim_backoff> mBackoffs;
  // True if the process cannot reach the store.
  bool mIsDisconnected = false;
  // True if the process and the other gateways cannot reach each other.
  bool mIsIsolated = false;
  config_version mVersion = 0;
  std::map<directory_area, sim_watch> mWatches;
  // Numbers of the last query on each area, which replaces earlier ones.
  std::map<directory_area, std::uint64_t> mQueries;
  // True while its pool has silent connections: calls get no response until one
  // has failed.
  bool mHasSilentPool = false;
  // Recent messages about tokens.
  std::deque<absl::Time> mTokenMessages;
  // End of the last fault of its connections.
  absl::Time mDisturbedUntil = absl::InfinitePast();
};

// A request as its caller and the backend servers know it.
struct sim_request
{
  workspace_id mWorkspace;
  call_kind mKind = call_kind::NonIdempotent;
  token_count mPrompt = 0;
  token_count mMaxOutput = 0;
  int mExecutionCount = 0;
  // True if an error stated that the request was not executed.
  bool mWasRefused = false;
  // True if the request crashes the server that responds to it.
  bool mIsPoisonous = false;
  // True if the request has a prompt with parts, none of them poisonous.
  bool mIsSound = false;
  absl::Time mSentAt;
  // True if the caller repeats a refused request.
  bool mIsRepeated = false;
};

// An attempt at a backend server that has not ended.
struct sim_attempt
{
  std::size_t mGateway = 0;
  int mIncarnation = 0;
  std::string mServer;
  // Delivered at the end of the attempt, unless its server crashes before.
  attempt_report mReport;
};

// The rate limit that a server states.
struct sim_limit
{
  double mRate = 0;
  absl::Time mSince;
  // Times of the requests from gateways that had been told, oldest first.
  std::deque<absl::Time> mArrivals;
};

// How much of its response a server has sent when a poisonous request crashes
// it.
enum class crash_moment
{
  BeforeResponse,
  InHeaderSection,
  AfterHeaderSection,
};

constexpr auto NameTable(crash_moment)
{
  using m = crash_moment;
  return MakeNameTable<m>(
    { { m::BeforeResponse, "before_response" },
      { m::InHeaderSection, "in_header_section" },
      { m::AfterHeaderSection, "after_header_section" } });
}

// What RunPoisonousPrompts observes.
struct prompt_counts
{
  std::vector<absl::Time> mCrashes;
  // Number of crashes after which poisonous requests must be recognized.
  std::size_t mAllowedCrashes = 5;
  // Poisonous requests that reached servers later than the contact time after
  // the last of these crashes, sent by gateways that had run and reached the
  // store for that time.
  int mLatePoisonous = 0;
  // Sound requests from twice the contact time after that crash on, and those
  // of them that reached a server.
  int mSound = 0;
  int mSoundDispatched = 0;
  // Sound requests that were refused because servers had crashed.
  int mSoundQuarantined = 0;
  // True if the poisonous request comes again and again.
  bool mIsWholeRequest = false;
  // When poisonous requests crash their servers.
  crash_moment mMoment = crash_moment::AfterHeaderSection;
};

// Callers with prepaid tokens. Some workspaces, with a third of all requests,
// arrive at one or two gateways only; the others arrive at all.
struct token_load
{
  std::size_t mGateways = 23;
  int mWorkspaces = 24;
  int mConcentrated = 5;
  double mRequestsPerSecond = 400;
  // Mean of a request; the largest takes 18 times as many.
  double mMeanTokens = 3000;
  // Totals, as multiples of the demand of mDay.
  double mTotalRatio = 1.3;
  absl::Duration mDay = absl::Seconds(34);
  // Added to the gateway of each request: callers have moved.
  std::size_t mOffset = 0;
  // Further requests per second for one of the workspaces that arrive at all
  // gateways.
  double mHotPerSecond = 0;
  // Callers repeat a refused request once, after the stated time.
  bool mRetries = false;
};

// Where the tokens were that a refused request lacked.
enum class refusal_cause
{
  // The total does not cover the request.
  UsedUp,
  // They were granted to processes that have ended, or were in messages.
  Lost,
  // Free at gateways that can be reached and need them within 1 s.
  NeededSoon,
  // Free at the refusing gateway or at others that can be reached.
  Reachable,
  // Not granted, with the store in reach.
  Ungranted,
  // Free at gateways out of reach, or not granted while the store is.
  Unreachable,
};

constexpr auto NameTable(refusal_cause)
{
  using c = refusal_cause;
  return MakeNameTable<c>({ { c::UsedUp, "used_up" },
                            { c::Lost, "lost" },
                            { c::NeededSoon, "needed_soon" },
                            { c::Reachable, "reachable" },
                            { c::Ungranted, "ungranted" },
                            { c::Unreachable, "unreachable" } });
}

// The tokens of one workspace, or of all.
struct token_census
{
  token_count mPrepaid = 0;
  token_count mUnspent = 0;
  token_count mUngranted = 0;
  // Free at live gateways.
  token_count mFree = 0;
  // Granted, unspent and not free at a live gateway.
  token_count mLost = 0;
};

// What RunTokenLoad observes, over all workspaces.
struct token_counts
{
  int mSent = 0;
  int mServed = 0;
  // Refusals for tokens with a retry time, and for good.
  int mRefused = 0;
  int mUsedUp = 0;
  // Refusals of either kind although 5% of the total were unspent, and enough
  // for the request.
  int mFalselyRefused = 0;
  // Refusals of either kind for which too little of the total was unspent: less
  // than the request needs, or than the 1% that may be out of reach.
  int mUncovered = 0;
  // Refusals of either kind by cause, and those of mFalselyRefused.
  std::map<refusal_cause, int> mCauses;
  std::map<refusal_cause, int> mFalseCauses;
  // Refusals for good although tokens for the request were free or not granted.
  int mFalselyUsedUp = 0;
  // Refused requests that their callers repeated, and those of them that were
  // refused again.
  int mRepeated = 0;
  int mRefusedAgain = 0;
  // Refusals of either kind by workspace.
  std::map<workspace_id, int> mRefusedOf;
  // Longest time from a request to its refusal.
  absl::Duration mMaxWait = absl::ZeroDuration();
  // Messages between gateways about tokens.
  int mMessages = 0;
  // Most of them that one gateway sent within 0.2 s.
  int mMaxBurst = 0;
};

// A function that runs at mAt. mSequence orders events of the same time.
struct sim_event
{
  absl::Time mAt;
  std::uint64_t mSequence = 0;
  std::function<void()> mRun;
};

// A violation that was found.
struct violation
{
  violated_invariant mInvariant;
  std::string mDetail;
};

// The whole simulation.
struct fleet_sim
{
  std::map<std::string, std::string> mCharts;
  injected_fault mFault = injected_fault::None;
  // True while backend servers fail some attempts at random.
  bool mServersFail = true;
  std::mt19937_64 mRandom;
  absl::Time mNow;
  std::uint64_t mNextSequence = 0;
  // A heap; the earliest event is at the front.
  std::vector<sim_event> mQueue;
  sim_store mStore;
  // Oldest first.
  std::deque<sim_snapshot> mSnapshots;
  std::vector<sim_gateway> mGateways;
  std::map<request_handle, sim_request> mRequests;
  request_handle mNextHandle = 1;
  std::map<workspace_id, token_count> mSpent;
  std::map<workspace_id, token_count> mPrepaid;
  // A request for tokens without a response yet: the requesting gateway, its
  // incarnation, the name of the responding gateway and the workspace.
  struct token_call
  {
    std::size_t mFrom = 0;
    int mIncarnation = 0;
    std::string mPeer;
    workspace_id mWorkspace;
    foxtailquay::token_call mKind = foxtailquay::token_call::Need;
  };
  std::map<std::uint64_t, token_call> mCalls;
  // A call with grant records without a response yet.
  struct share_call
  {
    std::size_t mFrom = 0;
    int mIncarnation = 0;
    share_response_received mResponse;
  };
  std::map<std::uint64_t, share_call> mShareCalls;
  // A question for what is known of servers without a response yet.
  struct servers_call
  {
    std::size_t mFrom = 0;
    int mIncarnation = 0;
    std::string mPeer;
  };
  std::map<std::uint64_t, servers_call> mServersCalls;
  std::uint64_t mNextCall = 1;
  std::map<std::uint64_t, sim_attempt> mAttempts;
  std::uint64_t mNextAttempt = 1;
  // Crashed servers.
  std::set<std::string> mServersDown;
  // By server.
  std::map<std::string, sim_limit> mLimits;
  // Servers that leave.
  std::set<std::string> mLeaving;
  // Servers that refuse all requests, and the back-off that they state.
  std::map<std::string, absl::Duration> mRefusing;
  prompt_counts mPrompts;
  token_counts mTokens;
  token_load mTokenLoad;
  // Price of the calls to the store, in reads.
  double mStoreCalls = 0;
  // Number of responses that were delivered completely.
  int mServed = 0;
  std::vector<violation> mViolations;
};

// Returns a simulation with all gateways started. Events in its queue refer to
// it, so it must not be moved.
std::unique_ptr<fleet_sim> MakeSim(std::map<std::string, std::string> aCharts,
                                   std::uint64_t aSeed, injected_fault aFault,
                                   std::size_t aGateways = 3);

// Runs for aTime. Callers send requests continuously; faults begin and end at
// random.
void RunRandomFaults(fleet_sim& aSim, absl::Duration aTime);

// Like RunRandomFaults, while gateways are also cut off from each other, singly
// and all at once, and their responses are lost.
void RunPartitions(fleet_sim& aSim, absl::Duration aTime);

// Like RunRandomFaults, while the store also returns to older states now and
// then and loses what the gateways wrote meanwhile.
void RunStoreReturns(fleet_sim& aSim, absl::Duration aTime);

// Which parts of the poisonous prompts other requests have too.
enum class poisonous_pattern
{
  // All of them: one request comes again and again.
  WholeRequest,
  // Each prompt has another second part, which sound prompts have too.
  VaryingCompanion,
  // All prompts have the same second part, which sound prompts have too.
  FixedCompanion,
  // The poisonous part comes first.
  First,
};

constexpr auto NameTable(poisonous_pattern)
{
  using p = poisonous_pattern;
  return MakeNameTable<p>({ { p::WholeRequest, "whole_request" },
                            { p::VaryingCompanion, "varying_companion" },
                            { p::FixedCompanion, "fixed_companion" },
                            { p::First, "first" } });
}

// How poisonous requests come and what they do.
struct poisonous_requests
{
  poisonous_pattern mPattern = poisonous_pattern::VaryingCompanion;
  crash_moment mMoment = crash_moment::AfterHeaderSection;
};

// Runs for aTime with callers whose prompts consist of parts; a request in
// twenty has the poisonous part, or is the poisonous one. If aRestarts is set,
// single gateways are killed meanwhile. Counts into mPrompts.
void RunPoisonousPrompts(fleet_sim& aSim, const poisonous_requests& aRequests,
                         bool aRestarts, absl::Duration aTime);

// Runs for aTime with the same callers without poisonous prompts, while servers
// crash and attempts break off.
void RunCrashingServers(fleet_sim& aSim, absl::Duration aTime);

// Runs for aTime while the configuration changes continuously, the store and
// its connections fail and gateways are killed. Checks that each connected
// gateway uses the current configuration.
void RunConfigurationChanges(fleet_sim& aSim, absl::Duration aTime);

// Runs for aTime while servers state rate limits of aRate requests a second and
// withdraw them, and gateways are killed. Checks that no server gets more
// requests than its limit allows.
void RunRateLimits(fleet_sim& aSim, double aRate, absl::Duration aTime);

// Runs for aTime while servers leave, which the store lists too late or not at
// all, others refuse requests with a back-off, the store fails and gateways are
// killed. Checks that each gateway heeds what servers have told it.
void RunServerNotices(fleet_sim& aSim, absl::Duration aTime);

// Returns a simulation with the gateways and workspaces of aLoad, whose first
// parts have been placed. No request has arrived.
std::unique_ptr<fleet_sim> MakeTokenSim(
  std::map<std::string, std::string> aCharts, std::uint64_t aSeed,
  const token_load& aLoad);

// Runs for aTime while the requests of aLoad arrive.
void RunTokenLoad(fleet_sim& aSim, const token_load& aLoad,
                  absl::Duration aTime);

// Kills all gateways, which restart. A power loss also resets their steady
// clocks.
void KillAllGateways(fleet_sim& aSim, bool aIsPowerLoss);

// Returns the sums over all workspaces.
token_census CountTokens(const fleet_sim& aSim);

// Cuts off all gateways from the store and from each other, or ends that.
void SetAllAlone(fleet_sim& aSim, bool aIsAlone);

// Multiplies all totals by aRatio in a new configuration.
void RaiseTotals(fleet_sim& aSim, double aRatio);

// Ends all faults, waits until the gateways are connected again, and reports a
// violation for each gateway that does not serve all of its requests.
void CheckService(fleet_sim& aSim);

} // namespace foxtailquay::gateway_sim

#endif
