// Typed messages between foxtailquay processes. Encoding lives in src/wire.
//
// Every message travels in an `envelope` that names the sender and carries
// its configuration and member list versions, so that whoever is behind
// notices and fetches.

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

// A backend server's load as its agent last saw it.
struct load_report
{
  backend_id mBackend;
  // Increases with each report of one agent incarnation; older ones are
  // ignored.
  std::uint64_t mSequence = 0;
  int mRunning = 0;
  int mQueued = 0;
  bool mLeaving = false;
  // Hashes of prompt prefixes that are probably cached, newest first.
  std::vector<std::uint64_t> mCachedPrefixes;
  // Models that are loaded and ready.
  std::vector<model_id> mLoadedModels;
};

// Asks an agent to run one request. Sent as POST /run; the answer is a stream
// of numbered frames.
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
  // Prices that turn the measured usage into a cost.
  token_count mPromptPrice = 1;
  token_count mCompletionPrice = 1;
  // Cost of a service call.
  token_count mCallPrice = 0;
  priority_class mPriority = priority_class::Standard;
  // Time left when the request was sent.
  absl::Duration mTimeout = absl::ZeroDuration();
  // HTTP call to make on the backend server.
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  bool mStream = false;
};

// One exchange of news. The receiver answers with its own.
struct gossip_message
{
  std::vector<load_report> mLoad;
  // Members that the sender cannot reach.
  std::vector<process_id> mSuspects;
  // Suspects of the other side that the sender has heard from recently.
  std::vector<process_id> mAlive;
  // True in the answer, which is not answered again.
  bool mIsResponse = false;
};

struct fetch_config_message
{};

struct config_message
{
  config_document mConfig;
};

struct fetch_members_message
{};

struct members_message
{
  store_version mVersion = 0;
  member_list mMembers;
};

// Sent by an agent to the router whose usage records are not yet acknowledged.
struct usage_report_message
{
  std::vector<usage_record> mRecords;
};

// The named records are committed; the agent may drop them.
struct usage_ack_message
{
  std::vector<request_id> mRequests;
};

// Asks a member to refuse mFenced from now on and to acknowledge.
struct fence_query_message
{
  process_id mFenced;
};

// The sender accepts nothing further from mFenced. mRecords and mTransfers
// are all that it holds and that may be uncommitted.
struct fence_ack_message
{
  process_id mFenced;
  std::vector<usage_record> mRecords;
  std::vector<transfer_op> mTransfers;
};

// Asks a peer for a part of its share while the store is unavailable.
struct transfer_request_message
{
  budget_id mBudget;
  token_count mRequested = 0;
};

// Tokens that the sender has given away for good. Amount 0: it has none.
struct transfer_message
{
  transfer_op mTransfer;
};

// A router that stops while the store is unavailable hands its uncommitted
// operations to a peer, in order; the last one per budget closes its share.
// mTransfers are the receiver's to spend at once.
struct hand_over_message
{
  std::vector<account_op> mOps;
  std::vector<transfer_op> mTransfers;
};

// The receiver has taken over; the sender may exit.
struct hand_over_ack_message
{};

// Account operations for the committer of a shard.
struct commit_ops_message
{
  store_key mKey;
  // The sender's number for this message, repeated in the answer.
  std::uint64_t mNumber = 0;
  // Operations with the sender's numbers.
  std::vector<std::pair<std::uint64_t, account_op>> mOps;
};

// All operations of a commit_ops_message are decided. No outcomes: the sender
// of this message does not commit for its receiver.
struct commit_result_message
{
  store_key mKey;
  std::uint64_t mNumber = 0;
  store_version mVersion = 0;
  // With no outcomes: the store is unavailable to the committer, try again.
  bool mRetryLater = false;
  std::vector<std::pair<std::uint64_t, op_outcome>> mOutcomes;
  // Accounts that the operations touched, as committed.
  std::map<budget_id, account> mAccounts;
};

using message =
  std::variant<gossip_message, fetch_config_message, config_message,
               fetch_members_message, members_message, usage_report_message,
               usage_ack_message, fence_query_message, fence_ack_message,
               transfer_request_message, transfer_message, hand_over_message,
               hand_over_ack_message, commit_ops_message,
               commit_result_message>;

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
