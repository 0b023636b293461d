// Durable claims for calls that may not be repeated.

#include "absl/strings/str_cat.h"
#include "router_state.h"

namespace foxtailquay {

namespace {

// Claims are expired once a shard is this full; until then it costs no write.
constexpr std::size_t kExpireAboveBytes = kMaxClaimShardBytes / 2;

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

error ClaimError(error_code aCode, executed aExecuted, const char* aDetail)
{
  return error{ aCode, aExecuted, "Idempotency-Key", aDetail,
                absl::ZeroDuration() };
}

// The call was claimed before and has no stored answer yet.
void OnUnanswered(router_state& aState, request_state& aRequest,
                  const claim_record& aClaim, absl::Time aNow)
{
  if (aNow < aRequest.mClaimWaitUntil) {
    StartTimer(aState, aRequest, request_timer::ClaimPoll,
               aNow + aState.mOptions.mClaimPoll);
    return;
  }
  const bool lost = IsRefused(aState.mNode, aClaim.mHolder);
  FailRequest(
    aState, aRequest, request_event::ClaimRefused,
    lost ? ClaimError(error_code::OutcomeUnknown, executed::Unknown,
                      "an earlier call with this key was sent and its "
                      "outcome is not known; it is not run again")
         : ClaimError(error_code::IdempotencyInProgress, executed::Unknown,
                      "an earlier call with this key has not finished"),
    aNow);
}

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
      OnUnanswered(aState, *request, aShard.mClaims.at(aClaim.mKey), aNow);
      break;
    case claim_status::Conflict:
      FailRequest(aState, *request, request_event::ClaimRefused,
                  ClaimError(error_code::IdempotencyConflict, executed::No,
                             "the key was used for a different call"),
                  aNow);
      break;
    case claim_status::Full:
      FailRequest(aState, *request, request_event::ClaimRefused,
                  ClaimError(error_code::ClaimCapacity, executed::No,
                             "too many keys are in use; the call was not "
                             "run"),
                  aNow);
      break;
  }
}

} // namespace

void SubmitClaim(router_state& aState, request_state& aRequest, absl::Time aNow)
{
  aRequest.mClaimKey = { aRequest.mWorkspace,
                         aRequest.mCallerRequest.mIdempotencyKey };
  aRequest.mClaimNumber = aState.mNextClaim++;
  aRequest.mClaimHolder = aState.mNode.mSelf;
  aRequest.mClaimWaitUntil = aNow + aState.mOptions.mClaimWait;
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
  // Queued behind the claim, so that it also undoes one that is not decided.
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
                     "the key cannot be recorded now; the call was not run",
                     absl::Seconds(1) },
              aNow);
}

void OnClaimsResponse(router_state& aState, const store_response& aResponse,
                      absl::Time aNow)
{
  claim_queue& queue = aState.mClaims[aResponse.mKey.mShard];
  const auto decided = OnResponse(queue, aResponse, aNow, aState.mNode.mCommit);
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
        ComputeEncodedSize(queue.mCommitted) > kExpireAboveBytes) {
      Submit(queue, claim_shard_op(expire_claims_op{ aNow }), 0,
             aNow + aState.mSettleDelay);
    }
  }
}

} // namespace foxtailquay
