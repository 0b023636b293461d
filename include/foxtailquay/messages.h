// Typed messages between foxtailquay processes. src/wire encodes them.
//
// Each message travels in an `envelope` that names the sender and carries the
// versions of its configuration and member list, so that the process with the
// older version detects this and requests the newer one.

#ifndef FOXTAILQUAY_MESSAGES_H
#define FOXTAILQUAY_MESSAGES_H

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/config.h"
#include "foxtailquay/membership.h"
#include "foxtailquay/store.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// The load of a backend server as last seen by its agent.
struct load_report
{
  backend_id mBackend;
  // Increases with each report of one agent incarnation; older reports are
  // ignored.
  std::uint64_t mSequence = 0;
  // Requests that run or are queued on the backend server.
  int mRunning = 0;
  int mQueued = 0;
  // True if the backend server takes no new requests.
  bool mLeaving = false;
  // Hashes of prompt prefixes that are estimated to be cached, newest first.
  std::vector<std::uint64_t> mCachedPrefixes;
  // Models that are loaded and ready.
  std::vector<model_id> mLoadedModels;
};

// Requests that an agent run one request. It is sent as POST /run; the response
// is a stream of numbered frames.
struct run_request
{
  request_id mRequest;
  backend_id mBackend;
  backend_kind mKind = backend_kind::Engine;
  // Model or service name.
  std::string mTarget;
  config_version mConfigVersion = 0;
  // Upper bounds that the engine must respect.
  token_count mMaxTokens = 0;
  token_count mMaxPromptTokens = 0;
  // Prices by which the measured usage is converted to a cost.
  token_count mPromptPrice = 1;
  token_count mCompletionPrice = 1;
  // Cost of a service call.
  token_count mCallPrice = 0;
  priority_class mPriority = priority_class::Standard;
  // Time left when the request was sent.
  absl::Duration mTimeout = absl::ZeroDuration();
  // The HTTP call to make on the backend server.
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  bool mStream = false;
};

// Exchange of load reports and suspicions. The receiver responds with its own.
struct gossip_message
{
  std::vector<load_report> mLoad;
  // Members that the sender cannot reach.
  std::vector<process_id> mSuspects;
  // Members suspected by the receiver from which the sender has recently
  // received a message.
  std::vector<process_id> mAlive;
  // True for the response, to which nobody responds.
  bool mIsResponse = false;
};

// Requests the configuration.
struct fetch_config_message
{};

// Carries the configuration.
struct config_message
{
  config_document mConfig;
};

// Requests the member list.
struct fetch_members_message
{};

// Carries the member list.
struct members_message
{
  store_version mVersion = 0;
  member_list mMembers;
};

// Sent by an agent to the router that has not acknowledged these usage records.
struct usage_report_message
{
  std::vector<usage_record> mRecords;
};

// The records of these requests are committed; the agent may remove them.
struct usage_ack_message
{
  std::vector<request_id> mRequests;
};

// Requests that a member accept nothing more from mFenced and acknowledge this.
struct fence_query_message
{
  process_id mFenced;
};

// The sender accepts nothing more from mFenced. mRecords and mTransfers are
// everything from mFenced that the sender holds and that may be uncommitted.
struct fence_ack_message
{
  process_id mFenced;
  std::vector<usage_record> mRecords;
  std::vector<transfer_op> mTransfers;
};

// Requests a part of a peer's share while the store is unavailable.
struct transfer_request_message
{
  budget_id mBudget;
  token_count mRequested = 0;
};

// Tokens that the sender has transferred irrevocably. Amount 0 means that it
// has none.
struct transfer_message
{
  transfer_op mTransfer;
};

// Sent by a router that stops while the store is unavailable. It hands its
// uncommitted operations to a peer, in order; the last one per budget closes
// its share. The receiver may spend mTransfers immediately.
struct hand_over_message
{
  std::vector<account_op> mOps;
  std::vector<transfer_op> mTransfers;
};

// The receiver has taken over the operations; the sender may exit.
struct hand_over_ack_message
{};

// Account operations for the router that commits the shard.
struct commit_ops_message
{
  store_key mKey;
  // The sender's number for this message, repeated in the response.
  std::uint64_t mNumber = 0;
  // Operations, each with the sender's number for it.
  std::vector<std::pair<std::uint64_t, account_op>> mOps;
};

// Response when all operations of a commit_ops_message are decided. Without
// outcomes, the sender of this response refuses to commit the operations.
struct commit_result_message
{
  store_key mKey;
  std::uint64_t mNumber = 0;
  store_version mVersion = 0;
  // Without outcomes: the committer cannot reach the store and the operations
  // should be sent again later.
  bool mRetryLater = false;
  std::vector<std::pair<std::uint64_t, op_outcome>> mOutcomes;
  // Accounts that the operations changed, as committed.
  std::map<budget_id, account> mAccounts;
};

// Any message.
using message =
  std::variant<gossip_message, fetch_config_message, config_message,
               fetch_members_message, members_message, usage_report_message,
               usage_ack_message, fence_query_message, fence_ack_message,
               transfer_request_message, transfer_message, hand_over_message,
               hand_over_ack_message, commit_ops_message,
               commit_result_message>;

// A message with its sender and the versions known to the sender.
struct envelope
{
  process_id mSender;
  process_role mRole = process_role::Router;
  config_version mConfigVersion = 0;
  store_version mMembersVersion = 0;
  message mBody;
};

} // namespace foxtailquay

#endif
