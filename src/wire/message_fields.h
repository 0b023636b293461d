// Field tables of the messages between processes, for the JSON codec in
// json_fields.h.

#ifndef FOXTAILQUAY_WIRE_MESSAGE_FIELDS_H
#define FOXTAILQUAY_WIRE_MESSAGE_FIELDS_H

#include <cstdint>
#include <utility>

#include "foxtailquay/messages.h"
#include "wire/document_fields.h"

namespace foxtailquay {

// An account operation is a variant, which a field table cannot describe, so
// it has its own codec.
template<>
Json::Value EncodeValue<account_op>(const account_op& aOp);
template<>
result<success> DecodeValue<account_op>(const Json::Value& aJson,
                                        const json_path& aPath,
                                        account_op& aInto);

// With the operation id.
using identified_op = std::pair<std::uint64_t, account_op>;
using identified_outcome = std::pair<std::uint64_t, op_outcome>;

constexpr auto ListFields(const identified_op*)
{
  return std::make_tuple(Required("ticket", &identified_op::first),
                         Required("op", &identified_op::second));
}

constexpr auto ListFields(const identified_outcome*)
{
  return std::make_tuple(Required("ticket", &identified_outcome::first),
                         Required("outcome", &identified_outcome::second));
}

constexpr auto ListFields(const store_key*)
{
  return std::make_tuple(Required("area", &store_key::mArea),
                         Required("shard", &store_key::mShard));
}

constexpr auto ListFields(const load_report*)
{
  return std::make_tuple(
    Required("backend", &load_report::mBackend),
    Required("sequence", &load_report::mSequence),
    Required("running", &load_report::mRunning),
    Required("queued", &load_report::mQueued),
    Required("leaving", &load_report::mLeaving),
    Optional("cached_prefixes", &load_report::mCachedPrefixes),
    Optional("loaded_models", &load_report::mLoadedModels));
}

constexpr auto ListFields(const gossip_message*)
{
  return std::make_tuple(Required("load", &gossip_message::mLoad),
                         Optional("suspects", &gossip_message::mSuspects),
                         Optional("alive", &gossip_message::mAlive),
                         Required("is_reply", &gossip_message::mIsResponse));
}

constexpr auto ListFields(const fetch_config_message*)
{
  return std::make_tuple();
}

constexpr auto ListFields(const config_message*)
{
  return std::make_tuple(Required("config", &config_message::mConfig));
}

constexpr auto ListFields(const fetch_members_message*)
{
  return std::make_tuple();
}

constexpr auto ListFields(const members_message*)
{
  return std::make_tuple(Required("version", &members_message::mVersion),
                         Required("members", &members_message::mMembers));
}

constexpr auto ListFields(const usage_report_message*)
{
  return std::make_tuple(Required("records", &usage_report_message::mRecords));
}

constexpr auto ListFields(const usage_ack_message*)
{
  return std::make_tuple(Required("requests", &usage_ack_message::mRequests));
}

constexpr auto ListFields(const fence_query_message*)
{
  return std::make_tuple(Required("fenced", &fence_query_message::mFenced));
}

constexpr auto ListFields(const fence_ack_message*)
{
  return std::make_tuple(Required("fenced", &fence_ack_message::mFenced),
                         Required("records", &fence_ack_message::mRecords),
                         Required("transfers", &fence_ack_message::mTransfers));
}

constexpr auto ListFields(const transfer_request_message*)
{
  return std::make_tuple(
    Required("budget", &transfer_request_message::mBudget),
    Required("want", &transfer_request_message::mRequested));
}

constexpr auto ListFields(const transfer_message*)
{
  return std::make_tuple(Required("transfer", &transfer_message::mTransfer));
}

constexpr auto ListFields(const hand_over_message*)
{
  return std::make_tuple(Required("ops", &hand_over_message::mOps),
                         Required("transfers", &hand_over_message::mTransfers));
}

constexpr auto ListFields(const hand_over_ack_message*)
{
  return std::make_tuple();
}

constexpr auto ListFields(const commit_ops_message*)
{
  return std::make_tuple(Required("key", &commit_ops_message::mKey),
                         Required("number", &commit_ops_message::mNumber),
                         Required("ops", &commit_ops_message::mOps));
}

constexpr auto ListFields(const commit_result_message*)
{
  return std::make_tuple(
    Required("key", &commit_result_message::mKey),
    Required("number", &commit_result_message::mNumber),
    Required("version", &commit_result_message::mVersion),
    Optional("retry_later", &commit_result_message::mRetryLater),
    Required("outcomes", &commit_result_message::mOutcomes),
    Required("accounts", &commit_result_message::mAccounts));
}

// Fields of the sender and of the document versions that it has. The message
// body is encoded separately.
constexpr auto ListFields(const envelope*)
{
  return std::make_tuple(
    Required("sender", &envelope::mSender), Required("role", &envelope::mRole),
    Required("config_version", &envelope::mConfigVersion),
    Required("members_version", &envelope::mMembersVersion));
}

// All fields except the body, which may hold any bytes and is encoded
// separately.
constexpr auto ListFields(const run_request*)
{
  return std::make_tuple(
    Required("request", &run_request::mRequest),
    Required("backend", &run_request::mBackend),
    Required("kind", &run_request::mKind),
    Required("target", &run_request::mTarget),
    Required("config_version", &run_request::mConfigVersion),
    Required("max_tokens", &run_request::mMaxTokens),
    Required("max_prompt_tokens", &run_request::mMaxPromptTokens),
    Required("prompt_price", &run_request::mPromptPrice),
    Required("completion_price", &run_request::mCompletionPrice),
    Required("call_price", &run_request::mCallPrice),
    Required("priority", &run_request::mPriority),
    Required("timeout_ms", &run_request::mTimeout),
    Required("method", &run_request::mMethod),
    Required("path", &run_request::mPath),
    Required("content_type", &run_request::mContentType),
    Required("stream", &run_request::mStream));
}

} // namespace foxtailquay

#endif
