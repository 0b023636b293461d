#include "foxtailquay/claim.h"

#include "absl/strings/str_cat.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Estimated encoded size of a claim without its texts, in bytes.
constexpr std::size_t kClaimOverheadBytes = 160;

bool IsHeldBy(const claim_record& aClaim, const process_id& aHolder,
              std::uint64_t aNumber)
{
  return aClaim.mHolder == aHolder && aClaim.mNumber == aNumber;
}

std::size_t ComputeEncodedSize(const claim_key& aKey,
                               const claim_record& aClaim)
{
  std::size_t size = kClaimOverheadBytes + aKey.mWorkspace.mValue.size() +
                     aKey.mIdempotencyKey.size() +
                     aClaim.mHolder.mMember.mValue.size();
  if (aClaim.mResponse) {
    size +=
      aClaim.mResponse->mBody.size() + aClaim.mResponse->mContentType.size();
  }
  return size;
}

op_outcome Apply(claim_shard& aShard, const claim_op& aOp)
{
  const auto found = aShard.mClaims.find(aOp.mKey);
  if (found != aShard.mClaims.end()) {
    return IsHeldBy(found->second, aOp.mRecord.mHolder, aOp.mRecord.mNumber)
             ? op_outcome::AlreadyApplied
             : op_outcome::Denied;
  }
  // The space for the largest response is reserved now, so that the response of
  // an executed call can always be stored.
  const std::size_t needed =
    ComputeEncodedSize(aOp.mKey, aOp.mRecord) + kMaxStoredResponseBytes;
  if (ComputeEncodedSize(aShard) + needed > kMaxClaimShardBytes) {
    return op_outcome::Denied;
  }
  aShard.mClaims.emplace(aOp.mKey, aOp.mRecord);
  return op_outcome::Applied;
}

op_outcome Apply(claim_shard& aShard, const store_response_op& aOp)
{
  const auto found = aShard.mClaims.find(aOp.mKey);
  if (found == aShard.mClaims.end() ||
      !IsHeldBy(found->second, aOp.mHolder, aOp.mNumber)) {
    return op_outcome::Denied;
  }
  if (found->second.mResponse) {
    return op_outcome::AlreadyApplied;
  }
  found->second.mResponse = aOp.mResponse;
  if (aOp.mResponse.mBody.size() > kMaxStoredResponseBytes) {
    found->second.mResponse->mBody.clear();
    found->second.mResponse->mComplete = false;
  }
  return op_outcome::Applied;
}

op_outcome Apply(claim_shard& aShard, const release_claim_op& aOp)
{
  const auto found = aShard.mClaims.find(aOp.mKey);
  if (found == aShard.mClaims.end() ||
      !IsHeldBy(found->second, aOp.mHolder, aOp.mNumber)) {
    return op_outcome::AlreadyApplied;
  }
  if (found->second.mResponse) {
    return op_outcome::Denied;
  }
  aShard.mClaims.erase(found);
  return op_outcome::Applied;
}

op_outcome Apply(claim_shard& aShard, const expire_claims_op& aOp)
{
  bool changed = false;
  for (auto it = aShard.mClaims.begin(); it != aShard.mClaims.end();) {
    if (it->second.mClaimedAt + kClaimRetention < aOp.mNow) {
      it = aShard.mClaims.erase(it);
      changed = true;
    } else {
      ++it;
    }
  }
  return changed ? op_outcome::Applied : op_outcome::AlreadyApplied;
}

} // namespace

op_outcome ApplyOp(claim_shard& aShard, const claim_shard_op& aOp)
{
  return std::visit(
    [&aShard](const auto& aTyped) { return Apply(aShard, aTyped); }, aOp);
}

claim_status ComputeClaimStatus(const claim_shard& aShard, const claim_op& aOp)
{
  const auto found = aShard.mClaims.find(aOp.mKey);
  if (found == aShard.mClaims.end()) {
    return claim_status::Full;
  }
  const claim_record& claim = found->second;
  if (claim.mFingerprint != aOp.mRecord.mFingerprint) {
    return claim_status::Conflict;
  }
  if (claim.mResponse) {
    return claim_status::Answered;
  }
  return IsHeldBy(claim, aOp.mRecord.mHolder, aOp.mRecord.mNumber)
           ? claim_status::Mine
           : claim_status::Unanswered;
}

std::size_t ComputeEncodedSize(const claim_shard& aShard)
{
  std::size_t size = 0;
  for (const auto& [key, claim] : aShard.mClaims) {
    size += ComputeEncodedSize(key, claim);
    if (!claim.mResponse) {
      size += kMaxStoredResponseBytes;
    }
  }
  return size;
}

std::uint32_t ComputeShard(const claim_key& aKey, std::uint32_t aShardCount)
{
  const std::string text =
    absl::StrCat(aKey.mWorkspace.mValue, "/", aKey.mIdempotencyKey);
  return static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0) %
                                    aShardCount);
}

} // namespace foxtailquay
