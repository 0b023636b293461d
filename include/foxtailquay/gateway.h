// The gateway node: takes requests from callers, funds them from prepaid
// totals, chooses a backend server for each, and decides what happens when an
// attempt fails.
//
//   gateway_ptr node = MakeGateway(settings, charts);
//   for (gateway_action& action : Step(*node, event, now)) { perform it }
//   next call at GetNextWakeTime(*node) at the latest, with gateway_tick
//
// The traffic layer holds bytes and connections; it reports each request and
// the outcome of each attempt, and performs the actions in order. Step reads
// no clock and does no I/O. Not thread-safe: the control thread owns the node.

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
#include "foxtailquay/grant.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/traffic_config.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// --- What the gateway learns ------------------------------------------------

struct prompt_part
{
  std::uint64_t mHash = 0;
  token_count mTokens = 0;
};

struct caller_request
{
  request_handle mHandle = 0;
  // The caller's name for this attempt of its own, for logs.
  std::string mAttemptId;
  std::string mHost;
  // Without the query.
  std::string mPath;
  std::string mKey;
  // How long the caller waits; absent if it did not say.
  std::optional<absl::Duration> mCallerTimeout;
  token_count mPromptTokens = 0;
  token_count mMaxOutputTokens = 0;
  // From the most to the least shared.
  std::vector<prompt_part> mPromptParts;
};

enum class attempt_outcome
{
  // The caller has the whole answer.
  Delivered,
  // The backend server answered with a failure, which is held back.
  Failed,
  // The backend server says that it did not run the request.
  NotRun,
  // No byte of the request was sent.
  NotSent,
  // The connection or the answer broke; nothing reached the caller.
  Broken,
  // The answer broke after a part of it reached the caller.
  BrokenMidway,
};

constexpr auto NameTable(attempt_outcome)
{
  using o = attempt_outcome;
  return MakeNameTable<o>({ { o::Delivered, "delivered" },
                            { o::Failed, "failed" },
                            { o::NotRun, "not_run" },
                            { o::NotSent, "not_sent" },
                            { o::Broken, "broken" },
                            { o::BrokenMidway, "broken_midway" } });
}

struct observed_load
{
  int mRunning = 0;
  int mQueued = 0;
};

struct attempt_report
{
  request_handle mHandle = 0;
  int mAttempt = 0;
  attempt_outcome mOutcome = attempt_outcome::NotSent;
  // Status of the answer, 0 without one.
  int mStatus = 0;
  // The address belongs to another backend server now.
  bool mWrongServer = false;
  std::optional<observed_load> mLoad;
  // Whole events of all attempts of the request that reached the caller.
  std::int64_t mEvents = 0;
};

struct first_byte
{
  request_handle mHandle = 0;
  int mAttempt = 0;
  std::optional<observed_load> mLoad;
};

// The caller left, or its answer was cut short by send_error.
struct caller_disconnected
{
  request_handle mHandle = 0;
  std::int64_t mEvents = 0;
};

// A backend server as the platform lists it.
struct backend_entry
{
  service_id mService;
  std::string mAddress;
  zone_id mZone;
  int mSlots = 1;
  bool mLeaving = false;
  // Time of the start of this incarnation, in Unix milliseconds; 0 if unknown.
  std::int64_t mStartedMs = 0;
};

struct gateway_peer
{
  std::string mAddress;
};

// Parts of the store that a gateway follows.
enum class directory_area
{
  Configuration,
  Backends,
  Peers,
};

constexpr auto NameTable(directory_area)
{
  return MakeNameTable<directory_area>(
    { { directory_area::Configuration, "configuration" },
      { directory_area::Backends, "backends" },
      { directory_area::Peers, "peers" } });
}

enum class directory_status
{
  Ok,
  // The changes since the revision are no longer known.
  HistoryLost,
  Unavailable,
};

constexpr auto NameTable(directory_status)
{
  return MakeNameTable<directory_status>(
    { { directory_status::Ok, "ok" },
      { directory_status::HistoryLost, "history_lost" },
      { directory_status::Unavailable, "unavailable" } });
}

template<typename Entry>
struct directory_change
{
  std::string mName;
  store_version mRevision = 0;
  // Absent if the entry was removed or cannot be used.
  std::optional<Entry> mEntry;
};

// Answer to a directory_query.
struct directory_response
{
  directory_area mArea = directory_area::Configuration;
  directory_status mStatus = directory_status::Unavailable;
  // The whole area rather than changes.
  bool mComplete = false;
  store_version mRevision = 0;
  std::vector<directory_change<traffic_config>> mConfigs;
  std::vector<directory_change<backend_entry>> mBackends;
  std::vector<directory_change<gateway_peer>> mPeers;
};

struct grant_state
{
  workspace_id mWorkspace;
  store_version mVersion = 0;
  grant_record mRecord;
};

// Answer to a grant_write. After Written mStates is empty and mRevision is the
// version of all records; after Conflict mStates holds the present records.
struct grant_write_response
{
  grant_outcome mOutcome = grant_outcome::Unknown;
  store_version mRevision = 0;
  std::vector<grant_state> mStates;
};

enum class lease_status
{
  Held,
  Ended,
  Unavailable,
};

constexpr auto NameTable(lease_status)
{
  return MakeNameTable<lease_status>(
    { { lease_status::Held, "held" },
      { lease_status::Ended, "ended" },
      { lease_status::Unavailable, "unavailable" } });
}

// Answer to a registration_call.
struct registration_response
{
  lease_status mStatus = lease_status::Unavailable;
  std::uint64_t mLease = 0;
};

// Another gateway asks for tokens of a workspace.
struct tokens_requested
{
  std::uint64_t mCall = 0;
  workspace_id mWorkspace;
  token_count mAmount = 0;
  // Of the requests that need them; in [0, kRequestPriorities).
  int mPriority = 0;
};

// Another gateway gives tokens back.
struct tokens_returned
{
  workspace_id mWorkspace;
  token_count mAmount = 0;
};

struct token_response
{
  token_count mAmount = 0;
  // The total leaves nothing more.
  bool mExhausted = false;
  // Nothing was given because the store does not answer this gateway; another
  // one may reach it.
  bool mStoreUnavailable = false;
};

// Answer to request_tokens; mResponse is absent if the peer gave none.
struct token_response_received
{
  std::string mPeer;
  workspace_id mWorkspace;
  std::optional<token_response> mResponse;
};

// A prompt that a gateway has sent to an engine.
struct sent_prompt
{
  backend_id mBackend;
  // Those that the engine probably still has to read.
  token_count mTokens = 0;
  // Hashes of its prefixes, shortest first.
  std::vector<std::uint64_t> mPrefixes;
};

// Another gateway says what it has sent.
struct prompts_reported
{
  std::vector<sent_prompt> mPrompts;
};

struct gateway_tick
{};

struct stop_requested
{};

using gateway_event =
  std::variant<caller_request, attempt_report, first_byte, caller_disconnected,
               directory_response, grant_write_response, registration_response,
               tokens_requested, tokens_returned, token_response_received,
               prompts_reported, gateway_tick, stop_requested>;

// --- What the gateway does --------------------------------------------------

// Answers a caller that has received nothing yet, or cuts its answer short.
struct send_error
{
  request_handle mHandle = 0;
  error mError;
};

// Passes on the failure that the last attempt holds back.
struct deliver_failure
{
  request_handle mHandle = 0;
};

// Stops work on a request without an answer.
struct cancel_request
{
  request_handle mHandle = 0;
};

struct dispatch_request
{
  request_handle mHandle = 0;
  int mAttempt = 0;
  std::string mAddress;
  backend_id mBackend;
  workspace_id mWorkspace;
  call_kind mKind = call_kind::NonIdempotent;
  bool mResumable = false;
  // The traffic layer waits for the end of a plain answer before it passes it
  // on, so that a broken one can be repeated.
  bool mRepeatable = false;
  // End of the time that the caller or the route allows.
  absl::Time mDeadline;
  // 0 is the most urgent.
  int mPriority = 0;
  // Most connections of this gateway to the backend server.
  int mMaxConnections = 0;
};

struct directory_query
{
  directory_area mArea = directory_area::Configuration;
  // Reads everything if absent, else waits for changes after this revision.
  std::optional<store_version> mAfter;
};

struct grant_write
{
  struct entry
  {
    workspace_id mWorkspace;
    grant_plan mPlan;
  };
  std::vector<entry> mEntries;
};

// Keeps this gateway's entry in the peer list: opens a lease and writes the
// entry without mLease, else renews the lease.
struct registration_call
{
  std::uint64_t mLease = 0;
};

struct send_token_response
{
  std::uint64_t mCall = 0;
  token_response mResponse;
};

struct request_tokens
{
  std::string mPeer;
  std::string mAddress;
  workspace_id mWorkspace;
  token_count mAmount = 0;
  int mPriority = 0;
};

struct return_tokens
{
  std::string mAddress;
  workspace_id mWorkspace;
  token_count mAmount = 0;
};

// Tells other gateways what this one has sent; a lost message does no harm.
struct report_prompts
{
  std::vector<std::string> mAddresses;
  std::vector<sent_prompt> mPrompts;
};

struct set_ready
{
  bool mReady = false;
};

// Limits for the traffic layer, after each new configuration.
struct set_limits
{
  caller_limits mLimits;
};

// All work is done; the process may end.
struct stop_finished
{};

// Ends the lease of the peer list entry, so that peers stop using it at once.
struct deregistration_call
{
  std::uint64_t mLease = 0;
};

enum class decision
{
  RequestDispatched,
  RequestRefused,
  RequestFinished,
  RequestFailed,
  RequestCancelled,
  ConfigApplied,
  BackendChanged,
  PeerChanged,
  GrantChanged,
  StoreLost,
  StoreRegained,
  StopStarted,
};

constexpr auto NameTable(decision)
{
  using d = decision;
  return MakeNameTable<d>({ { d::RequestDispatched, "request_dispatched" },
                            { d::RequestRefused, "request_refused" },
                            { d::RequestFinished, "request_finished" },
                            { d::RequestFailed, "request_failed" },
                            { d::RequestCancelled, "request_cancelled" },
                            { d::ConfigApplied, "config_applied" },
                            { d::BackendChanged, "backend_changed" },
                            { d::PeerChanged, "peer_changed" },
                            { d::GrantChanged, "grant_changed" },
                            { d::StoreLost, "store_lost" },
                            { d::StoreRegained, "store_regained" },
                            { d::StopStarted, "stop_started" } });
}

// A decision for the log, with the inputs that led to it.
struct decision_record
{
  decision mDecision = decision::RequestDispatched;
  std::vector<std::pair<std::string_view, std::string>> mInputs;
};

using gateway_action =
  std::variant<send_error, deliver_failure, cancel_request, dispatch_request,
               directory_query, grant_write, registration_call,
               send_token_response, request_tokens, return_tokens,
               report_prompts, deregistration_call, set_ready, set_limits,
               stop_finished, decision_record>;

using gateway_actions = std::vector<gateway_action>;

// --- The node ---------------------------------------------------------------

struct gateway_settings
{
  std::string mName;
  // Differs for each start of the process.
  std::string mNonce;
  // The boot of this machine, empty if unknown, and when it began on the time
  // axis of Step: the zero of the machine's steady clock.
  std::string mBoot;
  absl::Time mBootStart = absl::UnixEpoch();
  zone_id mZone;
  std::uint64_t mSeed = 0;
  // Fleet-wide: repeats per request and the constant allowance of the window.
  double mRepeatRatio = 0.2;
  double mRepeatSlack = 56;
  // Time that a planned stop may take.
  absl::Duration mStopTime = absl::Seconds(8);
  grant_options mGrants;
};

struct gateway;
struct gateway_deleter
{
  void operator()(gateway* aGateway) const;
};
using gateway_ptr = std::unique_ptr<gateway, gateway_deleter>;

// Loads the charts it needs from aChartTexts, by file name.
// Errors: InvalidChart.
result<gateway_ptr> MakeGateway(
  gateway_settings aSettings,
  const std::map<std::string, std::string>& aChartTexts);

// First actions: reads the directory and registers the gateway.
gateway_actions Start(gateway& aGateway, absl::Time aNow);

gateway_actions Step(gateway& aGateway, const gateway_event& aEvent,
                     absl::Time aNow);

absl::Time GetNextWakeTime(const gateway& aGateway);

struct gateway_summary
{
  config_version mVersion = 0;
  std::size_t mRequests = 0;
  std::size_t mBackends = 0;
  std::size_t mPeers = 0;
  bool mReady = false;
};

gateway_summary GetSummary(const gateway& aGateway);

} // namespace foxtailquay

#endif
