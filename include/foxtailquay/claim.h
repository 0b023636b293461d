// Durable claims of idempotency keys for calls that may not be repeated.
//
// A router writes a claim before it dispatches the call and adds the answer
// afterwards. A claim without an answer means that the call may have run; it
// is never dispatched again. Claims are grouped into shards, each one value
// in the store, and changed by idempotent `claim_op`s.

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

// Answers above this size are not stored; a repeated call then learns that
// the call ran, without its body.
constexpr std::size_t kMaxStoredResponseBytes = 4096;
// Keeps a shard's encoded value below the store's limit of 1 MB.
constexpr std::size_t kMaxClaimShardBytes = 700'000;
// How long a claim is kept. A key may be used again after that.
constexpr absl::Duration kClaimRetention = absl::Hours(24);

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

struct stored_response
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  // False if the body was above kMaxStoredResponseBytes and was left out.
  bool mComplete = true;
};

struct claim_record
{
  process_id mHolder;
  // The holder's number for this claim; tells its own claims apart.
  std::uint64_t mNumber = 0;
  // Hash of method, path and body: a key may not be reused for another call.
  std::uint64_t mFingerprint = 0;
  absl::Time mClaimedAt;
  std::optional<stored_response> mResponse;
};

struct claim_shard
{
  std::map<claim_key, claim_record> mClaims;
};

// Claims a key. Denied if anyone else holds it or the shard is full.
struct claim_op
{
  claim_key mKey;
  claim_record mRecord;
};

// Adds the answer to the claim that (holder, number) holds.
struct store_response_op
{
  claim_key mKey;
  process_id mHolder;
  std::uint64_t mNumber = 0;
  stored_response mResponse;
};

// Removes an unanswered claim whose call is known not to have run.
struct release_claim_op
{
  claim_key mKey;
  process_id mHolder;
  std::uint64_t mNumber = 0;
};

// Removes claims older than kClaimRetention at mNow.
struct expire_claims_op
{
  absl::Time mNow;
};

using claim_shard_op =
  std::variant<claim_op, store_response_op, release_claim_op, expire_claims_op>;

op_outcome ApplyOp(claim_shard& aShard, const claim_shard_op& aOp);

// What a caller that wants aKey is told, given the shard as committed.
enum class claim_status
{
  // Claimed by the asking router under the asking number: dispatch.
  Mine,
  // Claimed before and answered: replay.
  Answered,
  // Claimed before, no answer yet or ever: do not run.
  Unanswered,
  // Claimed before for a call with another fingerprint.
  Conflict,
  // Not claimed; the shard is full.
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

claim_status ComputeClaimStatus(const claim_shard& aShard, const claim_op& aOp);

// Approximate encoded size of the shard in bytes.
std::size_t ComputeEncodedSize(const claim_shard& aShard);

std::uint32_t ComputeShard(const claim_key& aKey, std::uint32_t aShardCount);

} // namespace foxtailquay

#endif
