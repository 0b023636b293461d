// Claims of idempotency keys in the store, for calls that may not be repeated.

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Expired claims are removed only from shards above this size, because each
// removal costs a write.
constexpr std::size_t kExpiryThresholdBytes = kMaxClaimShardBytes / 2;

claim_queue& GetOrCreateClaimQueue(router_state& aState, const claim_key& aKey)
{
  const std::uint32_t shard =
    ComputeShard(aKey, aState.mNode.mConfig.mFleet.mClaimShards);
  claim_queue& queue = aState.mClaims[shard];
  queue.mKey = { store_area::Claims, shard };
  queue.mSeed = aState.mNode.mSettings.mSeed;
  return queue;
}

claim_op MakeClaim(const request_state& aRequest, absl::Time aNow)
{
  claim_op claim;
  claim.mKey = aRequest.mClaimKey;
  claim.mRecord.mHolder = aRequest.mClaimHolder;
  claim.mRecord.mNumber = aRequest.mClaimNumber;
  claim.mRecord.mFingerprint = aRequest.mCallerRequest.mFingerprint;
  claim.mRecord.mClaimedAt = aNow;
  return claim;
}

// Returns the request that submitted the claim, or null if it has finished.
request_state* FindClaimant(router_state& aState, const claim_op& aClaim)
{
  for (auto& [handle, request] : aState.mRequests) {
    if (request.mClaimNumber == aClaim.mRecord.mNumber &&
        request.mClaimHolder == aClaim.mRecord.mHolder &&
        request.mClaimNumber != 0) {
      return &request;
    }
  }
  return nullptr;
}

error MakeClaimError(error_code aCode, executed aExecuted, const char* aDetail)
{
  return error{ aCode, aExecuted, "Idempotency-Key", aDetail,
                absl::ZeroDuration() };
}

// Handles a key that another call has claimed and that has no stored response
// yet: polls the claim until the wait deadline, then refuses the request.
void OnClaimWithoutResponse(router_state& aState, request_state& aRequest,
                            const claim_record& aClaim, absl::Time aNow)
{
  if (aNow < aRequest.mClaimWaitDeadline) {
    StartTimer(aState, aRequest, request_timer::ClaimPoll,
               aNow + aState.mOptions.mClaimPoll);
    return;
  }
  const bool lost = IsRefused(aState.mNode, aClaim.mHolder);
  FailRequest(
    aState, aRequest, request_event::ClaimRefused,
    lost ? MakeClaimError(error_code::OutcomeUnknown, executed::Unknown,
                          "an earlier call with this key was sent and its "
                          "outcome is unknown; the call is not executed again")
         : MakeClaimError(error_code::IdempotencyInProgress, executed::Unknown,
                          "an earlier call with this key has not finished"),
    aNow);
}

// Continues the request of a claim operation that the store has decided.
void OnClaimDone(router_state& aState, const claim_shard& aShard,
                 const claim_op& aClaim, absl::Time aNow)
{
  request_state* request = FindClaimant(aState, aClaim);
  if (request == nullptr || request->mStatus != request_status::Claiming) {
    return;
  }
  switch (ComputeClaimStatus(aShard, aClaim)) {
    case claim_status::Mine:
      request->mHasClaim = true;
      FireRequest(aState, *request, request_event::ClaimGranted, aNow);
      break;
    case claim_status::Answered:
      request->mResponse = *aShard.mClaims.at(aClaim.mKey).mResponse;
      FireRequest(aState, *request, request_event::ClaimAnswered, aNow);
      break;
    case claim_status::Unanswered:
      OnClaimWithoutResponse(aState, *request, aShard.mClaims.at(aClaim.mKey),
                             aNow);
      break;
    case claim_status::Conflict:
      FailRequest(aState, *request, request_event::ClaimRefused,
                  MakeClaimError(error_code::IdempotencyConflict, executed::No,
                                 "the key was used for a different call"),
                  aNow);
      break;
    case claim_status::Full:
      FailRequest(aState, *request, request_event::ClaimRefused,
                  MakeClaimError(error_code::ClaimCapacity, executed::No,
                                 "too many keys are in use; the call was not "
                                 "executed"),
                  aNow);
      break;
  }
}

} // namespace

void SubmitClaim(router_state& aState, request_state& aRequest, absl::Time aNow)
{
  aRequest.mClaimKey = { aRequest.mWorkspace,
                         aRequest.mCallerRequest.mIdempotencyKey };
  aRequest.mClaimNumber = aState.mNextClaimNumber++;
  aRequest.mClaimHolder = aState.mNode.mSelf;
  aRequest.mClaimWaitDeadline = aNow + aState.mOptions.mClaimWait;
  Submit(GetOrCreateClaimQueue(aState, aRequest.mClaimKey),
         claim_shard_op(MakeClaim(aRequest, aNow)), 0,
         aNow + aState.mOptions.mClaimDelay);
  StartTimer(aState, aRequest, request_timer::ClaimTimeout,
             aNow + aState.mOptions.mClaimTimeout);
}

void ReleaseClaim(router_state& aState, request_state& aRequest,
                  absl::Time aNow)
{
  if (aRequest.mClaimNumber == 0) {
    return;
  }
  // The release is queued after the claim, so that it also undoes a claim that
  // is not decided yet.
  Submit(GetOrCreateClaimQueue(aState, aRequest.mClaimKey),
         claim_shard_op(release_claim_op{
           aRequest.mClaimKey, aRequest.mClaimHolder, aRequest.mClaimNumber }),
         0, aNow + aState.mOptions.mClaimDelay);
  aRequest.mHasClaim = false;
  aRequest.mClaimNumber = 0;
}

void StoreAnswer(router_state& aState, request_state& aRequest, absl::Time aNow)
{
  Submit(GetOrCreateClaimQueue(aState, aRequest.mClaimKey),
         claim_shard_op(
           store_response_op{ aRequest.mClaimKey, aRequest.mClaimHolder,
                              aRequest.mClaimNumber, aRequest.mResponse }),
         aRequest.mHandle, aNow + aState.mOptions.mClaimDelay);
}

void OnClaimTimer(router_state& aState, request_state& aRequest,
                  request_timer aTimer, absl::Time aNow)
{
  if (aRequest.mStatus != request_status::Claiming) {
    return;
  }
  if (aTimer == request_timer::ClaimPoll) {
    claim_queue& queue = GetOrCreateClaimQueue(aState, aRequest.mClaimKey);
    queue.mReadRequested = true;
    Submit(queue, claim_shard_op(MakeClaim(aRequest, aNow)), 0, aNow);
    return;
  }
  FailRequest(aState, aRequest, request_event::ClaimRefused,
              error{ error_code::ClaimUnavailable, executed::No,
                     "Idempotency-Key",
                     "cannot record the key now; the call was not executed",
                     absl::Seconds(1) },
              aNow);
}

void OnClaimsResponse(router_state& aState, const store_response& aResponse,
                      absl::Time aNow)
{
  claim_queue& queue = aState.mClaims[aResponse.mKey.mShard];
  const auto decided =
    OnResponse(queue, aResponse, aNow, aState.mNode.mCommitOptions);
  for (const auto& done : decided) {
    if (const auto* claim = std::get_if<claim_op>(&done.mOp)) {
      OnClaimDone(aState, queue.mCommitted, *claim, aNow);
    } else if (std::holds_alternative<store_response_op>(done.mOp)) {
      const auto found = aState.mRequests.find(done.mOperationId);
      if (found != aState.mRequests.end()) {
        FireRequest(aState, found->second, request_event::AnswerStored, aNow);
      }
    }
  }
}

void ExpireClaims(router_state& aState, absl::Time aNow)
{
  for (auto& [shard, queue] : aState.mClaims) {
    if (queue.mMayBeCurrent && queue.mPending.empty() &&
        ComputeEncodedSize(queue.mCommitted) > kExpiryThresholdBytes) {
      Submit(queue, claim_shard_op(expire_claims_op{ aNow }), 0,
             aNow + aState.mSettleDelay);
    }
  }
}

} // namespace foxtailquay
