// The router node: admits caller requests against budget shares, dispatches
// them to agents and settles what they cost.
//
//   router_state state = MakeRouter(settings, options, charts);
//   for (router_action& action : Step(state, event, now)) { perform it }
//   wake the node again with a tick_event at GetNextWakeTime(state)
//
// Step reads no clock, does no I/O and is deterministic: the same state,
// event and time give the same actions. One thread at a time may use a state.

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

// Identity of a process, from its settings.
struct node_settings
{
  member_id mMember;
  zone_id mZone;
  // "IP:port" at which peers reach this process.
  std::string mAddress;
  // Random text, different at each start.
  std::string mNonce;
  std::uint64_t mSeed = 1;
};

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

// A caller's request, parsed and authenticated by key hash only.
struct caller_request_event
{
  request_handle mHandle = 0;
  // Lower-case hexadecimal SHA-256 of the bearer token.
  std::string mKeyHash;
  request_kind mKind = request_kind::Completion;
  // Model or service name.
  std::string mTarget;
  // Upper bound of the prompt tokens; for a completion the prompt's size in
  // bytes, since a token has at least one.
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
  bool mStream = false;
};

// The caller closed its connection before the answer was complete.
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

// The run did not start: the agent refused it, or could not be connected to.
struct run_refused_event
{
  request_handle mHandle = 0;
  request_id mRequest;
  error mError;
};

// The run ended with a whole answer.
struct run_finished_event
{
  request_handle mHandle = 0;
  request_id mRequest;
  token_usage mUsage;
  // The answer of a service call; kept for idempotent replay.
  stored_response mResponse;
};

// The run broke off. It may have run.
struct run_failed_event
{
  request_handle mHandle = 0;
  request_id mRequest;
  // What reached the router before the failure.
  token_usage mUsage;
  // True if a part of the answer was already passed to the caller.
  bool mRelayed = false;
  error mError;
};

struct message_event
{
  envelope mEnvelope;
};

// A message to this member could not be delivered.
struct peer_unreachable_event
{
  member_id mMember;
};

struct store_response_event
{
  store_response mResponse;
};

// Members whose VM no longer exists according to the platform's list.
struct vm_removed_event
{
  std::vector<member_id> mMembers;
};

struct top_up_request
{
  budget_id mBudget;
  std::string mTopUpId;
  token_count mAmount = 0;
};

struct patch_request
{
  config_patch mPatch;
};

struct release_held_request
{
  share_id mShare;
};

// Reads the account of one budget from the store.
struct usage_request
{
  budget_id mBudget;
};

struct drain_request
{};

using operator_request =
  std::variant<top_up_request, patch_request, release_held_request,
               usage_request, drain_request>;

struct operator_event
{
  request_handle mHandle = 0;
  operator_request mRequest;
};

// Asks for a graceful stop.
struct stop_event
{};

// Nothing happened but time.
struct tick_event
{};

using router_event =
  std::variant<caller_request_event, caller_disconnected_event,
               run_accepted_event, run_refused_event, run_finished_event,
               run_failed_event, message_event, peer_unreachable_event,
               store_response_event, vm_removed_event, operator_event,
               stop_event, tick_event>;

// --- Actions ----------------------------------------------------------------

// Send the run to the agent at mAddress and report run_* events for it.
struct dispatch_action
{
  request_handle mHandle = 0;
  member_id mAgent;
  std::string mAddress;
  // Sender and versions for the agent to check.
  envelope mHeader;
  run_request mRun;
};

// Stop a dispatched run; it still reports run_finished or run_failed.
struct cancel_run_action
{
  request_handle mHandle = 0;
  request_id mRequest;
};

// The run's own answer, already being relayed, is complete.
struct response_relayed
{
  token_usage mUsage;
};

using caller_response = std::variant<response_relayed, stored_response, error>;

// Final: the handle is not used afterwards.
struct caller_response_action
{
  request_handle mHandle = 0;
  caller_response mResponse;
};

struct send_action
{
  member_id mTo;
  std::string mAddress;
  envelope mEnvelope;
};

struct store_action
{
  store_request mRequest;
};

// What an operator's request returned.
struct operator_result
{
  config_version mConfigVersion = 0;
  std::optional<account> mAccount;
};

struct operator_response_action
{
  request_handle mHandle = 0;
  result<operator_result> mResponse;
};

// The process may exit: nothing of it is left in flight.
struct stopped_action
{};

using router_action =
  std::variant<dispatch_action, cancel_run_action, caller_response_action,
               send_action, store_action, operator_response_action,
               stopped_action>;

// --- Node -------------------------------------------------------------------

// All limits and intervals of a router. The defaults suit the sizes in
// docs/design.md section 1.
struct router_options
{
  // How long requests of one store key wait to be committed together.
  absl::Duration mSettleDelay = absl::Milliseconds(200);
  absl::Duration mClaimDelay = absl::Milliseconds(2);
  absl::Duration mStoreMinInterval = absl::Milliseconds(20);
  // Account writes per second that the whole fleet may make. With one
  // committer per shard, a shard is written at most once per
  // shards / this many seconds.
  int mStoreWritesPerSecond = 200;
  // A claim that is not decided after this time is given up, unrun.
  absl::Duration mClaimTimeout = absl::Seconds(3);
  // How long a repeated call waits for the answer of the first one.
  absl::Duration mClaimWait = absl::Seconds(2);
  absl::Duration mClaimPoll = absl::Milliseconds(100);
  // How long a request waits for its budget share to be granted.
  absl::Duration mGrantWait = absl::Seconds(2);
  absl::Duration mGossipInterval = absl::Seconds(1);
  // Routers that poll the store for news; the others learn by gossip.
  int mStorePollers = 3;
  absl::Duration mStorePollInterval = absl::Seconds(1);
  // A router that has been silent this long is suspected, then fenced.
  absl::Duration mSuspectAfter = absl::Seconds(5);
  absl::Duration mFenceAfter = absl::Seconds(15);
  int mMaxAttempts = 3;
  // Smallest grant worth a write, in tokens.
  token_count mMinGrant = 1000;
  // Largest part of the unallocated tokens taken in one grant, in 1/1000.
  int mMaxGrantPermille = 250;
  // A share idle for this long gives its surplus back.
  absl::Duration mIdleAfter = absl::Seconds(10);
  // How long a stop waits for the store before it hands over to a peer.
  absl::Duration mStopStoreWait = absl::Seconds(5);
};

struct node_charts;
struct router_state;

// Deleter for the private type of the loaded charts.
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

// Loads and checks every chart in aTexts (file name to content). Errors:
// InvalidChart.
result<node_charts_ptr> LoadCharts(
  const std::map<std::string, std::string>& aTexts);

// Precondition: aCharts outlives the router.
router_ptr MakeRouter(const node_settings& aSettings,
                      const router_options& aOptions,
                      const node_charts& aCharts);

// Handles one event at aNow. Precondition: aNow does not go backwards.
std::vector<router_action> Step(router_state& aState, router_event aEvent,
                                absl::Time aNow);

// When Step wants a tick_event at the latest.
absl::Time GetNextWakeTime(const router_state& aState);

// True once the router has joined, has a configuration and is not stopping.
bool IsReady(const router_state& aState);

// The configuration in force; version 0 before the first one is known.
const config_document& GetConfig(const router_state& aState);

// What the state dump shows. Plain values, so that any front end can encode
// them.
struct share_dump
{
  share_id mShare;
  std::string mStatus;
  token_count mGranted = 0;
  token_count mSpent = 0;
  token_count mReserved = 0;
};

struct backend_dump
{
  backend_id mBackend;
  std::string mStatus;
  int mOutstanding = 0;
  int mReportedRunning = 0;
};

struct request_dump
{
  request_handle mHandle = 0;
  std::string mStatus;
  request_id mRequest;
  backend_id mBackend;
};

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

router_dump Dump(const router_state& aState);

} // namespace foxtailquay

#endif
