// The gateway node. It takes requests from callers, reserves tokens for them
// from prepaid totals, chooses a backend server for each, and decides what
// happens when an attempt fails.
//
//   gateway_ptr node = MakeGateway(settings, charts);
//   for (gateway_action& action : Step(*node, event, now)) { perform it }
//   next call at GetNextWakeTime(*node) at the latest, with gateway_tick
//
// The traffic layer owns the bytes and the connections. It reports each request
// and the outcome of each attempt and performs the actions in order. Step reads
// no clock and does no I/O. Not thread-safe: only the control thread uses the
// node.

#ifndef FOXTAILQUAY_GATEWAY_H
#define FOXTAILQUAY_GATEWAY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/error.h"
#include "foxtailquay/explanation.h"
#include "foxtailquay/gateway_events.h"
#include "foxtailquay/grant.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/traffic_config.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// --- Actions ----------------------------------------------------------------

// Sends an error response to a caller that has received nothing yet; otherwise
// cuts its response short.
struct send_error
{
  request_handle mHandle = 0;
  error mError;
};

// Forwards the failure that the last attempt holds.
struct deliver_failure
{
  request_handle mHandle = 0;
};

// Stops work on a request without sending a response.
struct cancel_request
{
  request_handle mHandle = 0;
};

// Sends a request to a backend server.
struct dispatch_request
{
  request_handle mHandle = 0;
  // Number of the attempt within the request.
  int mAttempt = 0;
  std::string mAddress;
  backend_id mBackend;
  workspace_id mWorkspace;
  call_kind mKind = call_kind::NonIdempotent;
  // True if a broken stream may continue on another backend server.
  bool mResumable = false;
  // True if the request may be repeated. The traffic layer then forwards a
  // plain response only once it is complete, so that a broken one can be
  // repeated.
  bool mRepeatable = false;
  // End of the time that the caller or the route allows.
  absl::Time mDeadline;
  // A stream without a further event for this time has stalled.
  absl::Duration mStallTimeout = absl::InfiniteDuration();
  // 0 is the highest priority.
  int mPriority = 0;
  // Largest number of connections of this gateway to the backend server.
  int mMaxConnections = 0;
};

// Time after which a call to the store counts as failed, on top of the time for
// which a watch is held. It covers the response time of a slow store.
constexpr absl::Duration kStoreResponseTime = absl::Milliseconds(1200);

// Time after which a renewal of the registration counts as failed. It is three
// times the response time of a store that is 60 times slower than usual (4 ms),
// and short, because it adds to the time until a silent connection is noticed.
constexpr absl::Duration kHeartbeatTimeout = absl::Milliseconds(800);

// Reads an area of the store or waits for changes in it. Replaces the query on
// the area that is in progress, whose response is not delivered any more.
struct directory_query
{
  directory_area mArea = directory_area::Configuration;
  // If absent, the complete area is read. Otherwise the call waits for changes
  // after this revision.
  std::optional<store_version> mAfter;
  // Longest time for which the call waits for changes.
  absl::Duration mMaxWait = absl::ZeroDuration();
  store_era mEra = 0;
  // True if the area Configuration includes the evacuations of availability
  // zones.
  bool mWithEvacuations = false;
};

// Writes the grant records of several workspaces in one transaction.
struct grant_write
{
  // The record of one workspace.
  struct entry
  {
    workspace_id mWorkspace;
    grant_plan mPlan;
  };
  std::vector<entry> mEntries;
  // The write must not take effect in a later era, in which the versions that
  // it expects may have been given out again.
  store_era mEra = 0;
  // True until a write of this gateway has marked the era in the store.
  bool mMarksEra = false;
};

// Reads the grant records of all workspaces.
struct grant_read
{
  store_era mEra = 0;
};

// Sends grant records to another gateway, or asks for those that it knows.
struct share_grants
{
  std::string mPeer;
  std::string mAddress;
  store_era mEra = 0;
  // Identifies the grants that wait for the response; 0 if none do.
  std::uint64_t mReplication = 0;
  bool mWantsCopies = false;
  std::vector<grant_copy> mCopies;
};

// Responds to grants_shared.
struct send_share_response
{
  std::uint64_t mCall = 0;
  share_response mResponse;
};

// Asks another gateway for what it knows of servers whose entries may state
// something earlier.
struct request_servers
{
  std::string mPeer;
  std::string mAddress;
};

// Responds to servers_requested.
struct send_servers
{
  std::uint64_t mCall = 0;
  std::vector<known_server> mServers;
};

// Keeps this gateway's entry in the peer list. Without mLease it opens a lease
// and writes the entry; otherwise it renews the lease. Its calls end after
// kHeartbeatTimeout.
struct registration_call
{
  std::uint64_t mLease = 0;
  store_era mEra = 0;
};

// Responds to tokens_requested and tokens_recalled.
struct send_token_response
{
  std::uint64_t mCall = 0;
  token_response mResponse;
};

// Requests tokens of a workspace from another gateway.
struct request_tokens
{
  std::string mPeer;
  std::string mAddress;
  workspace_id mWorkspace;
  token_count mAmount = 0;
  int mPriority = 0;
  // Part of mAmount that requests wait for; 0 for a refill.
  token_count mNeeded = 0;
  // Name of this gateway and the number of tokens that are free here.
  std::string mFrom = {};
  token_count mHeld = 0;
  token_call mKind = token_call::Need;
};

// Asks another gateway to return tokens of a workspace that it does not need.
struct recall_tokens
{
  std::string mPeer;
  std::string mAddress;
  workspace_id mWorkspace;
  // True if the total has no tokens left to grant.
  bool mIsUsedUp = false;
};

// Sends tokens to another gateway that has not requested them: returned ones,
// or a first part.
struct return_tokens
{
  // Name of the other gateway.
  std::string mPeer;
  std::string mAddress;
  workspace_id mWorkspace;
  token_count mAmount = 0;
  // Name of this gateway.
  std::string mFrom;
};

// Reports sent prompts to other gateways. A lost message only makes their load
// estimates less accurate.
struct report_prompts
{
  std::vector<std::string> mAddresses;
  std::vector<sent_prompt> mPrompts;
  // Name of this gateway.
  std::string mGateway;
};

// Checks whether the process of a backend server has ended, or accepts
// connections again.
struct probe_server
{
  backend_id mBackend;
  std::string mAddress;
  // Start time of the incarnation to which the check belongs.
  std::int64_t mStartedMs = 0;
};

// Writes crash reports, and removes those without crashes, in one transaction.
struct crash_report_write
{
  std::vector<crash_report> mReports;
  store_era mEra = 0;
};

// Sets whether the process reports itself as ready.
struct set_ready
{
  bool mReady = false;
};

// Sets whether callers' connections are closed after their responses, so that
// the callers connect to other gateways.
struct set_closing
{
  bool mIsClosing = false;
};

// Sets the traffic layer's limits after each new configuration.
struct set_limits
{
  caller_limits mLimits;
};

// All work is done; the process may exit.
struct stop_finished
{};

// Ends the lease of the peer list entry, so that peers stop using this gateway
// immediately.
struct deregistration_call
{
  std::uint64_t mLease = 0;
};

// The decisions that are logged.
enum class decision
{
  RequestWaiting,
  RequestDispatched,
  RequestRefused,
  RequestFinished,
  RequestFailed,
  RequestCancelled,
  ConfigApplied,
  BackendChanged,
  EntryWithheld,
  PeerChanged,
  GrantChanged,
  TokensPlaced,
  TokensRecalled,
  GrantActing,
  StoreLost,
  StoreRegained,
  StoreEraChanged,
  StoreEraIgnored,
  GrantRecoveryChanged,
  LoadChanged,
  ServerProbed,
  CrashSuspectChanged,
  RateLimitChanged,
  ServerColdChanged,
  EvacuationChanged,
  StopStarted,
};

constexpr auto NameTable(decision)
{
  using d = decision;
  return MakeNameTable<d>(
    { { d::RequestWaiting, "request_waiting" },
      { d::RequestDispatched, "request_dispatched" },
      { d::RequestRefused, "request_refused" },
      { d::RequestFinished, "request_finished" },
      { d::RequestFailed, "request_failed" },
      { d::RequestCancelled, "request_cancelled" },
      { d::ConfigApplied, "config_applied" },
      { d::BackendChanged, "backend_changed" },
      { d::EntryWithheld, "entry_withheld" },
      { d::PeerChanged, "peer_changed" },
      { d::GrantChanged, "grant_changed" },
      { d::TokensPlaced, "tokens_placed" },
      { d::TokensRecalled, "tokens_recalled" },
      { d::GrantActing, "grant_acting" },
      { d::StoreLost, "store_lost" },
      { d::StoreRegained, "store_regained" },
      { d::StoreEraChanged, "store_era_changed" },
      { d::StoreEraIgnored, "store_era_ignored" },
      { d::GrantRecoveryChanged, "grant_recovery_changed" },
      { d::LoadChanged, "load_changed" },
      { d::ServerProbed, "server_probed" },
      { d::CrashSuspectChanged, "crash_suspect_changed" },
      { d::RateLimitChanged, "rate_limit_changed" },
      { d::ServerColdChanged, "server_cold_changed" },
      { d::EvacuationChanged, "evacuation_changed" },
      { d::StopStarted, "stop_started" } });
}

// A decision for the log, with the inputs that led to it.
struct decision_record
{
  decision mDecision = decision::RequestDispatched;
  std::vector<std::pair<std::string_view, std::string>> mInputs;
};

// Any action of a gateway.
using gateway_action =
  std::variant<send_error, deliver_failure, cancel_request, dispatch_request,
               directory_query, grant_write, registration_call,
               send_token_response, request_tokens, recall_tokens,
               return_tokens, report_prompts, probe_server, crash_report_write,
               grant_read, share_grants, send_share_response, request_servers,
               send_servers, deregistration_call, set_ready, set_closing,
               set_limits, stop_finished, send_explanation, decision_record>;

using gateway_actions = std::vector<gateway_action>;

// --- Node -------------------------------------------------------------------

// Bound on the requests that a cold backend server may get from all gateways
// in any one second: the rate that it bears times mOverage, plus mSlack.
struct cold_bounds
{
  double mOverage = 1;
  double mSlack = 0;
};

// Settings of a gateway process.
struct gateway_settings
{
  std::string mName;
  // Random text, different for each start of the process.
  std::string mNonce;
  // Identifies the boot of this machine; empty if unknown.
  std::string mBoot;
  // Start of that boot on the time axis of Step, which is the zero of the
  // machine's steady clock.
  absl::Time mBootStart = absl::UnixEpoch();
  zone_id mZone;
  std::uint64_t mSeed = 0;
  // Fleet-wide limit of repeated attempts: a ratio per request and a constant
  // per window.
  double mRepeatRatio = 0.2;
  double mRepeatSlack = 56;
  // True if engines must not hold more tokens than their stated memory.
  bool mIsEngineMemoryLimited = true;
  // Longest time that a planned stop may take.
  absl::Duration mStopTime = absl::Seconds(8);
  // Time for which a gateway may be without contact to the store, without
  // knowing it, before it must follow changes again.
  absl::Duration mContactTime = absl::Seconds(3);
  // Time after which backend servers write their entries again. The store
  // removes an entry after three times as long without a heartbeat.
  absl::Duration mServerHeartbeat = absl::Milliseconds(1200);
  // Absent if cold servers have no limit.
  std::optional<cold_bounds> mColdBounds = std::nullopt;
  // Time from the acknowledgement of an evacuation until no request may reach
  // the servers of its zone; 0 if evacuations are not followed.
  absl::Duration mEvacuationTime = absl::ZeroDuration();
  grant_options mGrants;
};

// The private state of a gateway.
struct gateway;
// Deleter for the private state type.
struct gateway_deleter
{
  void operator()(gateway* aGateway) const;
};
using gateway_ptr = std::unique_ptr<gateway, gateway_deleter>;

// Returns a new gateway. aChartTexts holds the texts of the charts by file
// name. Errors: InvalidChart.
result<gateway_ptr> MakeGateway(
  gateway_settings aSettings,
  const std::map<std::string, std::string>& aChartTexts);

// Returns the first actions: reading the directory and registering the gateway.
gateway_actions Start(gateway& aGateway, absl::Time aNow);

// Handles aEvent at time aNow and returns the actions to perform, in order.
// Precondition: aNow never decreases.
gateway_actions Step(gateway& aGateway, const gateway_event& aEvent,
                     absl::Time aNow);

// Returns the time by which Step needs a gateway_tick.
absl::Time GetNextWakeTime(const gateway& aGateway);

// Values of a gateway for metrics and tests.
struct gateway_summary
{
  config_version mVersion = 0;
  std::size_t mRequests = 0;
  std::size_t mBackends = 0;
  std::size_t mPeers = 0;
  // Suspects because of which requests are refused.
  std::size_t mQuarantinedSuspects = 0;
  // Backend servers that state a rate limit.
  std::size_t mRateLimitedBackends = 0;
  // Backend servers that are, or may be, cold.
  std::size_t mColdBackends = 0;
  // Backend servers whose entry in the store contradicts what is known of them.
  std::size_t mUnconfirmedBackends = 0;
  // Availability zones that are being or have been evacuated.
  std::size_t mEvacuatedZones = 0;
  // Requests that wait because all servers of their service are full.
  std::size_t mWaitingRequests = 0;
  // Prepaid tokens that are free at this gateway, and those that it should hold
  // for its callers, over all workspaces, as of the last tick.
  token_count mTokensHeld = 0;
  token_count mTokensTarget = 0;
  bool mReady = false;
};

// Returns the current values.
gateway_summary GetSummary(const gateway& aGateway);

} // namespace foxtailquay

#endif
