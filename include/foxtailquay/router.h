// The router node. It admits caller requests against budget shares, dispatches
// them to agents, and settles their cost.
//
//   router_ptr router = MakeRouter(settings, options, charts);
//   for (router_action& action : Step(*router, event, now)) { perform it }
//   next call at GetNextWakeTime(*router) at the latest, with a tick_event
//
// Step reads no clock, does no I/O and is deterministic: the same state, event
// and time give the same actions. Only one thread at a time may use a
// router_state.

#ifndef FOXTAILQUAY_ROUTER_H
#define FOXTAILQUAY_ROUTER_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/config.h"
#include "foxtailquay/messages.h"
#include "foxtailquay/result.h"
#include "foxtailquay/store.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// Identity of a router or agent process, from its settings.
struct node_settings
{
  member_id mMember;
  zone_id mZone;
  // "IP:port" at which peers reach this process.
  std::string mAddress;
  // Random text, different for each start.
  std::string mNonce;
  // Seed of the random decisions.
  std::uint64_t mSeed = 1;
};

// What a caller requests.
enum class request_kind
{
  Completion,
  ServiceCall,
};

constexpr auto NameTable(request_kind)
{
  return MakeNameTable<request_kind>(
    { { request_kind::Completion, "completion" },
      { request_kind::ServiceCall, "service_call" } });
}

// --- Events -----------------------------------------------------------------

// A caller's parsed request. The key hash is the only proof of identity so far.
struct caller_request_event
{
  request_handle mHandle = 0;
  // SHA-256 of the bearer token, in lower-case hexadecimal.
  std::string mKeyHash;
  request_kind mKind = request_kind::Completion;
  // Model or service name.
  std::string mTarget;
  // Upper bound of the prompt tokens. For a completion this is the prompt's
  // size in bytes, because a token has at least one byte.
  token_count mPromptTokensBound = 0;
  std::optional<token_count> mMaxTokens;
  std::optional<priority_class> mPriority;
  std::optional<absl::Duration> mTimeout;
  std::string mIdempotencyKey;
  // Hash of method, path and body.
  std::uint64_t mFingerprint = 0;
  // Hashes of prompt prefixes, shortest first, for cache-aware routing.
  std::vector<std::uint64_t> mPrefixes;
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  // True if the caller requests a stream.
  bool mStream = false;
};

// The caller closed its connection before the response was complete.
struct caller_disconnected_event
{
  request_handle mHandle = 0;
};

// The agent accepted the run.
struct run_accepted_event
{
  request_handle mHandle = 0;
  request_id mRequest;
};

// The run did not start: the agent refused it or was unreachable.
struct run_refused_event
{
  request_handle mHandle = 0;
  request_id mRequest;
  error mError;
};

// The run ended with a complete response.
struct run_finished_event
{
  request_handle mHandle = 0;
  request_id mRequest;
  token_usage mUsage;
  // The response of a service call, stored for idempotent replay.
  stored_response mResponse;
};

// The run ended without a complete response. It may have been executed.
struct run_failed_event
{
  request_handle mHandle = 0;
  request_id mRequest;
  // Tokens that reached the router before the failure.
  token_usage mUsage;
  // True if the caller has received a part of the response.
  bool mRelayed = false;
  error mError;
};

// A message from another process arrived.
struct message_event
{
  envelope mEnvelope;
};

// A message to this member was not delivered.
struct peer_unreachable_event
{
  member_id mMember;
};

// The response to a store_action arrived.
struct store_response_event
{
  store_response mResponse;
};

// Members whose VM is no longer in the platform's list.
struct vm_removed_event
{
  std::vector<member_id> mMembers;
};

// Adds prepaid tokens to a budget.
struct top_up_request
{
  budget_id mBudget;
  std::string mTopUpId;
  token_count mAmount = 0;
};

// Patches the configuration.
struct patch_request
{
  config_patch mPatch;
};

// Closes a held share.
struct release_held_request
{
  share_id mShare;
};

// Reads the account of one budget from the store.
struct usage_request
{
  budget_id mBudget;
};

// Starts a graceful stop.
struct drain_request
{};

// Any operator request.
using operator_request =
  std::variant<top_up_request, patch_request, release_held_request,
               usage_request, drain_request>;

// An operator sent a request.
struct operator_event
{
  request_handle mHandle = 0;
  operator_request mRequest;
};

// Starts a graceful stop.
struct stop_event
{};

// Time has passed; no other event occurred.
struct tick_event
{};

// Any event of a router.
using router_event =
  std::variant<caller_request_event, caller_disconnected_event,
               run_accepted_event, run_refused_event, run_finished_event,
               run_failed_event, message_event, peer_unreachable_event,
               store_response_event, vm_removed_event, operator_event,
               stop_event, tick_event>;

// --- Actions ----------------------------------------------------------------

// Sends the run to the agent at mAddress. Its progress is reported in
// run_*_event.
struct dispatch_action
{
  request_handle mHandle = 0;
  member_id mAgent;
  std::string mAddress;
  // Sender and versions, which the agent checks.
  envelope mHeader;
  run_request mRun;
};

// Stops a dispatched run. It still ends with run_finished_event or
// run_failed_event.
struct cancel_run_action
{
  request_handle mHandle = 0;
  request_id mRequest;
};

// The response of the run, which was relayed while it arrived, is complete.
struct response_relayed
{
  token_usage mUsage;
};

// What a caller receives.
using caller_response = std::variant<response_relayed, stored_response, error>;

// Ends the exchange with a caller. The handle is not used afterwards.
struct caller_response_action
{
  request_handle mHandle = 0;
  caller_response mResponse;
};

// Sends a message to a member.
struct send_action
{
  member_id mTo;
  std::string mAddress;
  envelope mEnvelope;
};

// Reads or writes a store document.
struct store_action
{
  store_request mRequest;
};

// Result of an operator's request.
struct operator_result
{
  config_version mConfigVersion = 0;
  std::optional<account> mAccount;
};

// Responds to an operator_event.
struct operator_response_action
{
  request_handle mHandle = 0;
  result<operator_result> mResponse;
};

// The process may exit; nothing is in flight.
struct stopped_action
{};

// Any action of a router.
using router_action =
  std::variant<dispatch_action, cancel_run_action, caller_response_action,
               send_action, store_action, operator_response_action,
               stopped_action>;

// --- Node -------------------------------------------------------------------

// Limits and intervals of a router. The defaults suit the sizes in
// docs/design.md section 1.
struct router_options
{
  // Time that settlements wait to be committed in one write.
  absl::Duration mSettleDelay = absl::Milliseconds(200);
  // Time that claims wait to be committed in one write.
  absl::Duration mClaimDelay = absl::Milliseconds(2);
  // Shortest time between two writes of one key.
  absl::Duration mStoreMinInterval = absl::Milliseconds(20);
  // Account writes per second of all routers together. Each shard has one
  // committer, which writes at most once per (number of shards / this value)
  // seconds.
  int mStoreWritesPerSecond = 200;
  // Time after which an undecided claim is abandoned and the call is not
  // executed.
  absl::Duration mClaimTimeout = absl::Seconds(3);
  // Time that a repeated call waits for the response of the first one, and the
  // interval at which it checks.
  absl::Duration mClaimWait = absl::Seconds(2);
  absl::Duration mClaimPoll = absl::Milliseconds(100);
  // Time that a request waits for a grant to its budget share.
  absl::Duration mGrantWait = absl::Seconds(2);
  // Interval of gossip messages.
  absl::Duration mGossipInterval = absl::Seconds(1);
  // Number of routers that poll the store for changes; the others receive them
  // by gossip.
  int mStorePollers = 3;
  // Interval of those polls.
  absl::Duration mStorePollInterval = absl::Seconds(1);
  // Time without a message after which a router is suspected, and after which
  // it is fenced.
  absl::Duration mSuspectAfter = absl::Seconds(5);
  absl::Duration mFenceAfter = absl::Seconds(15);
  // Attempts per request, the first included.
  int mMaxAttempts = 3;
  // Smallest grant that justifies a write, in tokens.
  token_count mMinGrant = 1000;
  // Largest part of the unallocated tokens in one grant, in thousandths.
  int mMaxGrantPermille = 250;
  // Time without use after which a share returns its surplus.
  absl::Duration mIdleAfter = absl::Seconds(10);
  // Time that a stop waits for the store before it hands over to a peer.
  absl::Duration mStopStoreWait = absl::Seconds(5);
};

// The loaded charts.
struct node_charts;
// The private state of a router.
struct router_state;

// Deleter for the private chart type.
struct node_charts_deleter
{
  void operator()(const node_charts* aCharts) const;
};
using node_charts_ptr = std::unique_ptr<const node_charts, node_charts_deleter>;

// Deleter for the private state type.
struct router_state_deleter
{
  void operator()(router_state* aState) const;
};
using router_ptr = std::unique_ptr<router_state, router_state_deleter>;

// Loads and checks every chart in aTexts, which maps file names to contents.
// Errors: InvalidChart.
result<node_charts_ptr> LoadCharts(
  const std::map<std::string, std::string>& aTexts);

// Returns a new router. Precondition: aCharts outlives the router.
router_ptr MakeRouter(const node_settings& aSettings,
                      const router_options& aOptions,
                      const node_charts& aCharts);

// Handles aEvent at time aNow and returns the actions to perform, in order.
// Precondition: aNow never decreases.
std::vector<router_action> Step(router_state& aState, router_event aEvent,
                                absl::Time aNow);

// Returns the time by which Step needs a tick_event.
absl::Time GetNextWakeTime(const router_state& aState);

// Returns true if the router has joined, has a configuration, and is not
// stopping.
bool IsReady(const router_state& aState);

// Returns the current configuration; version 0 before the first one is known.
const config_document& GetConfig(const router_state& aState);

// One budget share in the state dump. The dump types are plain values, so that
// any front end can encode them.
struct share_dump
{
  share_id mShare;
  std::string mStatus;
  token_count mGranted = 0;
  token_count mSpent = 0;
  token_count mReserved = 0;
};

// One backend server in the state dump.
struct backend_dump
{
  backend_id mBackend;
  std::string mStatus;
  int mOutstanding = 0;
  int mReportedRunning = 0;
};

// One request in the state dump.
struct request_dump
{
  request_handle mHandle = 0;
  std::string mStatus;
  request_id mRequest;
  backend_id mBackend;
};

// The state of a router for diagnostics.
struct router_dump
{
  process_id mProcess;
  std::string mStatus;
  config_version mConfigVersion = 0;
  store_version mMembersVersion = 0;
  member_list mMembers;
  std::vector<share_dump> mShares;
  std::vector<backend_dump> mBackends;
  std::vector<request_dump> mRequests;
  std::size_t mPendingStoreOps = 0;
};

// Returns a copy of the state for diagnostics.
router_dump Dump(const router_state& aState);

} // namespace foxtailquay

#endif
