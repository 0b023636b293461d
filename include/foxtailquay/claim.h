// Durable claims of idempotency keys, for calls that must not be executed
// twice.
//
// A router writes a claim before it dispatches the call and adds the response
// afterwards. A claim without a response means that the call may have been
// executed; it is never dispatched again. Claims are grouped into shards. Each
// shard is one value in the store and is changed by idempotent
// `claim_shard_op`s.
//
// Pure functions on plain values; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_CLAIM_H
#define FOXTAILQUAY_CLAIM_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "foxtailquay/account.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

// Largest response body that is stored. A repeated call whose first response
// was larger gets a response that the call was executed, without the body.
constexpr std::size_t kMaxStoredResponseBytes = 4096;
// Largest encoded size of a shard; it stays below the store's limit of 1 MB.
constexpr std::size_t kMaxClaimShardBytes = 700'000;
// Time for which a claim is stored. Afterwards the key may be used again.
constexpr absl::Duration kClaimRetention = absl::Hours(24);

// An idempotency key within one workspace.
struct claim_key
{
  workspace_id mWorkspace;
  std::string mIdempotencyKey;

  friend bool operator<(const claim_key& aLeft, const claim_key& aRight)
  {
    return std::tie(aLeft.mWorkspace, aLeft.mIdempotencyKey) <
           std::tie(aRight.mWorkspace, aRight.mIdempotencyKey);
  }
};

// The stored response of an executed call.
struct stored_response
{
  // HTTP status.
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  // False if the body exceeded kMaxStoredResponseBytes and was left out.
  bool mComplete = true;
};

// One claim.
struct claim_record
{
  process_id mHolder;
  // Distinguishes the claims of one holder.
  std::uint64_t mNumber = 0;
  // Hash of method, path and body. A key cannot be reused for another call.
  std::uint64_t mFingerprint = 0;
  absl::Time mClaimedAt;
  // Absent until the call has been executed and its response stored.
  std::optional<stored_response> mResponse;
};

// The claims that share one value in the store.
struct claim_shard
{
  std::map<claim_key, claim_record> mClaims;
};

// Claims a key. Denied if another claim holds the key or the shard is full.
struct claim_op
{
  claim_key mKey;
  claim_record mRecord;
};

// Adds the response to the claim that mHolder holds under mNumber.
struct store_response_op
{
  claim_key mKey;
  process_id mHolder;
  std::uint64_t mNumber = 0;
  stored_response mResponse;
};

// Removes a claim without a response whose call was certainly not executed.
struct release_claim_op
{
  claim_key mKey;
  process_id mHolder;
  std::uint64_t mNumber = 0;
};

// Removes the claims that are older than kClaimRetention at mNow.
struct expire_claims_op
{
  absl::Time mNow;
};

// Any operation on a claim shard.
using claim_shard_op =
  std::variant<claim_op, store_response_op, release_claim_op, expire_claims_op>;

// Applies aOp to aShard.
op_outcome ApplyOp(claim_shard& aShard, const claim_shard_op& aOp);

// The state of a key for a router that claims it.
enum class claim_status
{
  // This router holds the claim under this number: dispatch the call.
  Mine,
  // Claimed earlier and the response is stored: replay the response.
  Answered,
  // Claimed earlier and without a response: do not execute the call.
  Unanswered,
  // Claimed earlier for a call with another fingerprint.
  Conflict,
  // Not claimed, because the shard is full.
  Full,
};

constexpr auto NameTable(claim_status)
{
  return MakeNameTable<claim_status>(
    { { claim_status::Mine, "mine" },
      { claim_status::Answered, "answered" },
      { claim_status::Unanswered, "unanswered" },
      { claim_status::Conflict, "conflict" },
      { claim_status::Full, "full" } });
}

// Returns the state of aOp's key in the committed shard.
claim_status ComputeClaimStatus(const claim_shard& aShard, const claim_op& aOp);

// Returns the approximate encoded size of the shard in bytes.
std::size_t ComputeEncodedSize(const claim_shard& aShard);

// Returns the index of the shard that holds aKey. Precondition: aShardCount >
// 0.
std::uint32_t ComputeShard(const claim_key& aKey, std::uint32_t aShardCount);

} // namespace foxtailquay

#endif
