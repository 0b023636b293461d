// Tables of the JSON fields of the documents: one ListFields per struct, for
// the functions in json_fields.h. A field is required if its default would be
// wrong or dangerous; other fields are left out if they have their default
// value.

#ifndef FOXTAILQUAY_WIRE_DOCUMENT_FIELDS_H
#define FOXTAILQUAY_WIRE_DOCUMENT_FIELDS_H

#include "foxtailquay/account.h"
#include "foxtailquay/claim.h"
#include "foxtailquay/config.h"
#include "foxtailquay/membership.h"
#include "wire/json_fields.h"

namespace foxtailquay {

constexpr auto ListFields(const process_id*)
{
  return std::make_tuple(Required("member", &process_id::mMember),
                         Required("incarnation", &process_id::mIncarnation));
}

constexpr auto ListFields(const token_usage*)
{
  return std::make_tuple(
    Optional("prompt_tokens", &token_usage::mPromptTokens),
    Optional("completion_tokens", &token_usage::mCompletionTokens));
}

constexpr auto ListFields(const usage_record*)
{
  return std::make_tuple(Required("request", &usage_record::mRequest),
                         Required("usage", &usage_record::mUsage),
                         Required("cost", &usage_record::mCost));
}

// --- Accounts ---------------------------------------------------------------

constexpr auto ListFields(const settled_set*)
{
  return std::make_tuple(Optional("through", &settled_set::mWatermark),
                         Optional("beyond", &settled_set::mAboveWatermark));
}

constexpr auto ListFields(const share_record*)
{
  return std::make_tuple(Optional("granted", &share_record::mGranted),
                         Optional("spent", &share_record::mSpent),
                         Optional("settled", &share_record::mSettled),
                         Optional("adjustment", &share_record::mAdjustment),
                         Optional("loss_epoch", &share_record::mLossEpoch),
                         Optional("held", &share_record::mHeld));
}

constexpr auto ListFields(const account*)
{
  return std::make_tuple(Required("paid_in", &account::mPaidIn),
                         Optional("closed_spent", &account::mClosedSpent),
                         Optional("shares", &account::mShares),
                         Optional("min_incarnation", &account::mMinIncarnation),
                         Optional("top_ups", &account::mTopUps));
}

constexpr auto ListFields(const account_shard*)
{
  return std::make_tuple(Required("accounts", &account_shard::mAccounts));
}

constexpr auto ListFields(const top_up_op*)
{
  return std::make_tuple(Required("budget", &top_up_op::mBudget),
                         Required("top_up_id", &top_up_op::mTopUpId),
                         Required("amount", &top_up_op::mAmount));
}

constexpr auto ListFields(const grant_op*)
{
  return std::make_tuple(Required("share", &grant_op::mShare),
                         Required("adjustment", &grant_op::mAdjustment),
                         Required("want", &grant_op::mRequested),
                         Required("need", &grant_op::mRequired),
                         Required("max_permille", &grant_op::mMaxPermille));
}

constexpr auto ListFields(const settle_op*)
{
  return std::make_tuple(Required("request", &settle_op::mRequest),
                         Required("cost", &settle_op::mCost));
}

constexpr auto ListFields(const return_op*)
{
  return std::make_tuple(Required("share", &return_op::mShare),
                         Required("adjustment", &return_op::mAdjustment),
                         Required("amount", &return_op::mAmount));
}

constexpr auto ListFields(const transfer_op*)
{
  return std::make_tuple(Required("from", &transfer_op::mFrom),
                         Required("to", &transfer_op::mTo),
                         Required("amount", &transfer_op::mAmount));
}

constexpr auto ListFields(const close_share_op*)
{
  return std::make_tuple(Required("share", &close_share_op::mShare),
                         Required("loss_epoch", &close_share_op::mLossEpoch));
}

constexpr auto ListFields(const record_loss_epoch_op*)
{
  return std::make_tuple(
    Required("share", &record_loss_epoch_op::mShare),
    Required("loss_epoch", &record_loss_epoch_op::mLossEpoch));
}

constexpr auto ListFields(const release_held_op*)
{
  return std::make_tuple(Required("share", &release_held_op::mShare));
}

// The alternatives of account_op, in the same order.
enum class account_op_kind
{
  TopUp,
  Grant,
  Settle,
  GiveBack,
  Transfer,
  CloseShare,
  NoteLossEpoch,
  ReleaseHeld,
};

constexpr auto NameTable(account_op_kind)
{
  using k = account_op_kind;
  return MakeNameTable<k>({ { k::TopUp, "top_up" },
                            { k::Grant, "grant" },
                            { k::Settle, "settle" },
                            { k::GiveBack, "give_back" },
                            { k::Transfer, "transfer" },
                            { k::CloseShare, "close_share" },
                            { k::NoteLossEpoch, "note_loss_epoch" },
                            { k::ReleaseHeld, "release_held" } });
}

// --- Claims -----------------------------------------------------------------

// The JSON form of a stored_response. The body is base64, because it may have
// any bytes: base64 always makes it 4/3 as long, whereas JSON escapes may make
// it six times as long and a shard larger than the store's limit.
struct response_json
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBodyBase64;
  bool mComplete = true;
};

constexpr auto ListFields(const response_json*)
{
  return std::make_tuple(Required("status", &response_json::mStatus),
                         Optional("content_type", &response_json::mContentType),
                         Optional("body_base64", &response_json::mBodyBase64),
                         Optional("complete", &response_json::mComplete));
}

// The JSON form of a claim_record.
struct claim_json
{
  process_id mHolder;
  std::uint64_t mNumber = 0;
  std::uint64_t mFingerprint = 0;
  absl::Time mClaimedAt;
  std::optional<response_json> mResponse;
};

constexpr auto ListFields(const claim_json*)
{
  return std::make_tuple(Required("holder", &claim_json::mHolder),
                         Required("number", &claim_json::mNumber),
                         Required("fingerprint", &claim_json::mFingerprint),
                         Required("claimed_at_us", &claim_json::mClaimedAt),
                         Optional("answer", &claim_json::mResponse));
}

// The JSON form of a claim_shard. The keys are "workspace/idempotency key" with
// an escaped idempotency key (see ToClaimKeyText in document_codec.cc).
struct claim_shard_json
{
  std::map<std::string, claim_json> mClaims;
};

constexpr auto ListFields(const claim_shard_json*)
{
  return std::make_tuple(Required("claims", &claim_shard_json::mClaims));
}

// --- Configuration ----------------------------------------------------------

constexpr auto ListFields(const model_config*)
{
  return std::make_tuple(
    Optional("prompt_price", &model_config::mPromptPrice),
    Optional("completion_price", &model_config::mCompletionPrice),
    Optional("default_max_tokens", &model_config::mDefaultMaxTokens),
    Optional("max_tokens", &model_config::mMaxTokens));
}

constexpr auto ListFields(const service_call_config*)
{
  return std::make_tuple(
    Required("method", &service_call_config::mMethod),
    Required("path_prefix", &service_call_config::mPathPrefix),
    Optional("repeatable", &service_call_config::mRepeatable));
}

constexpr auto ListFields(const service_config*)
{
  return std::make_tuple(Optional("calls", &service_config::mCalls),
                         Optional("call_price", &service_config::mCallPrice),
                         Optional("timeout_ms", &service_config::mTimeout));
}

constexpr auto ListFields(const backend_config*)
{
  return std::make_tuple(
    Required("kind", &backend_config::mKind),
    Required("zone", &backend_config::mZone),
    Optional("models", &backend_config::mModels),
    Optional("services", &backend_config::mServices),
    Optional("max_concurrency", &backend_config::mMaxConcurrency),
    Optional("fencing", &backend_config::mFencing),
    Optional("drain", &backend_config::mDrain));
}

constexpr auto ListFields(const budget_config*)
{
  return std::make_tuple(Required("id", &budget_config::mBudget),
                         Optional("pays_for", &budget_config::mPaidTargets));
}

constexpr auto ListFields(const workspace_config*)
{
  return std::make_tuple(
    Optional("key_hashes", &workspace_config::mKeyHashes),
    Required("budgets", &workspace_config::mBudgets),
    Optional("rate_per_second", &workspace_config::mRatePerSecond),
    Optional("burst", &workspace_config::mBurst),
    Optional("max_concurrency", &workspace_config::mMaxConcurrency),
    Optional("priority", &workspace_config::mPriority),
    Optional("share_horizon_ms", &workspace_config::mShareHorizon),
    Optional("allowed", &workspace_config::mAllowed));
}

constexpr auto ListFields(const fleet_config*)
{
  return std::make_tuple(
    Optional("account_shards", &fleet_config::mAccountShards),
    Optional("claim_shards", &fleet_config::mClaimShards),
    Optional("request_timeout_ms", &fleet_config::mRequestTimeout),
    Optional("queue_timeout_ms", &fleet_config::mQueueTimeout),
    Optional("queue_length", &fleet_config::mQueueLength));
}

constexpr auto ListFields(const config_document*)
{
  return std::make_tuple(Required("version", &config_document::mVersion),
                         Optional("patch_ids", &config_document::mPatchIds),
                         Optional("fleet", &config_document::mFleet),
                         Optional("models", &config_document::mModels),
                         Optional("services", &config_document::mServices),
                         Optional("backends", &config_document::mBackends),
                         Optional("workspaces", &config_document::mWorkspaces));
}

constexpr auto ListFields(const config_patch*)
{
  return std::make_tuple(Optional("patch_id", &config_patch::mPatchId),
                         Optional("if_version", &config_patch::mIfVersion),
                         Optional("fleet", &config_patch::mFleet),
                         Optional("models", &config_patch::mModels),
                         Optional("services", &config_patch::mServices),
                         Optional("backends", &config_patch::mBackends),
                         Optional("workspaces", &config_patch::mWorkspaces));
}

// --- Members ----------------------------------------------------------------

constexpr auto ListFields(const member_record*)
{
  return std::make_tuple(Required("role", &member_record::mRole),
                         Required("incarnation", &member_record::mIncarnation),
                         Optional("zone", &member_record::mZone),
                         Required("address", &member_record::mAddress),
                         Optional("status", &member_record::mStatus),
                         Optional("nonce", &member_record::mNonce));
}

constexpr auto ListFields(const fence_record*)
{
  return std::make_tuple(Required("fenced", &fence_record::mFenced),
                         Optional("loss_epoch", &fence_record::mLossEpoch),
                         Optional("witnesses", &fence_record::mAcknowledgers));
}

constexpr auto ListFields(const member_list*)
{
  return std::make_tuple(
    Required("members", &member_list::mMembers),
    Optional("fences", &member_list::mFences),
    Optional("loss_epoch", &member_list::mLossEpoch),
    Optional("last_incarnation", &member_list::mLastIncarnation),
    Optional("command_fences", &member_list::mCommandFences));
}

} // namespace foxtailquay

#endif
