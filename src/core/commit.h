// Group commit of operations on one store document.
//
// Operations are queued, and one compare-and-swap at a time writes all queued
// operations. After a conflict or a lost response the document is read again
// and the operations are applied to the value read; each operation is
// idempotent, so this is safe. An outcome is reported only if it follows from a
// value that is known to be in the store.
//
//   Submit(queue, op, operationId, dueAt);
//   if (auto request = TakeDueRequest(queue, now)) { SendToStore(*request); }
//   for (auto& done : OnResponse(queue, response, now, options)) { ... }
//
// Invariant: at most one request per queue is outstanding. Memory use is
// bounded by the document's size and the operations that are submitted and not
// yet decided. Not thread-safe; a queue is used by one thread.

#ifndef FOXTAILQUAY_CORE_COMMIT_H
#define FOXTAILQUAY_CORE_COMMIT_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/store.h"
#include "xxhash.h"

namespace foxtailquay {

struct commit_options
{
  // Minimum time between two writes of one key; limits the write rate at the
  // store.
  absl::Duration mMinInterval = absl::Milliseconds(20);
  // Backoff after the first failure, and its maximum after several failures in
  // a row.
  absl::Duration mInitialBackoff = absl::Milliseconds(100);
  absl::Duration mMaxBackoff = absl::Seconds(2);
};

enum class commit_phase
{
  Idle,
  Reading,
  Writing,
  // The operations were sent to another router, which commits them.
  Forwarded,
};

constexpr auto NameTable(commit_phase)
{
  return MakeNameTable<commit_phase>(
    { { commit_phase::Idle, "idle" },
      { commit_phase::Reading, "reading" },
      { commit_phase::Writing, "writing" },
      { commit_phase::Forwarded, "forwarded" } });
}

template<typename Op>
struct pending_op
{
  Op mOp;
  // Assigned by the caller of Submit; 0 if it needs no notification.
  std::uint64_t mOperationId = 0;
  // Time at which the operation is due to be written. Until then it is kept for
  // batching with other operations.
  absl::Time mDueAt;
  op_outcome mOutcome = op_outcome::Denied;
  // The operation is part of a write whose outcome is not known, or was
  // forwarded, and may have taken effect.
  bool mMayBeApplied = false;
  // The operation was sent to another router, which may apply it at any later
  // time.
  bool mForwarded = false;
  // Number within the queue; identifies the operation in the response of the
  // router that it was forwarded to.
  std::uint64_t mOperationNumber = 0;
};

template<typename Document, typename Op>
struct commit_queue
{
  store_key mKey;
  commit_phase mPhase = commit_phase::Idle;
  // Last value known to have been in the store, and its version. Before the
  // next write it is read again unless mMayBeCurrent is set.
  Document mCommitted;
  store_version mVersion = 0;
  bool mMayBeCurrent = false;
  // Number of successful reads so far.
  std::uint64_t mReads = 0;
  // Value of the outstanding write.
  Document mWriting;
  // The first mInFlight entries of mPending are part of mWriting.
  std::vector<pending_op<Op>> mPending;
  std::size_t mInFlight = 0;
  std::uint64_t mNextOperationNumber = 1;
  // Earliest time of the next request.
  absl::Time mNotBefore = absl::InfinitePast();
  // Failed requests in a row; a conflict is not a failure.
  int mFailures = 0;
  // Conflicts in a row.
  int mConflicts = 0;
  // Seed of the conflict backoff, different in each process.
  std::uint64_t mSeed = 0;
  // Set to request a read of the document even if no operation is pending.
  bool mReadRequested = false;
  // Expected version of the last write whose outcome is unknown. That write may
  // still reach the store until the key is read at a higher version.
  std::optional<store_version> mUnknownOutcomeVersion;
};

// Adds an operation that is due to be written at aDueAt; it may be written
// earlier, together with others.
template<typename Document, typename Op>
void Submit(commit_queue<Document, Op>& aQueue, Op aOp,
            std::uint64_t aOperationId, absl::Time aDueAt)
{
  aQueue.mPending.push_back({ std::move(aOp), aOperationId, aDueAt,
                              op_outcome::Denied, false, false,
                              aQueue.mNextOperationNumber++ });
}

// Returns the backoff after aFailures failures in a row. It doubles with each
// failure up to mMaxBackoff.
inline absl::Duration ComputeBackoff(int aFailures,
                                     const commit_options& aOptions)
{
  absl::Duration backoff = aOptions.mInitialBackoff;
  for (int i = 1; i < aFailures && backoff < aOptions.mMaxBackoff; ++i) {
    backoff *= 2;
  }
  return std::min(backoff, aOptions.mMaxBackoff);
}

// Returns the backoff after a conflict: a random time, whose upper limit
// doubles with each conflict in a row. Without the randomness all writers of a
// contended key would conflict again in each round.
template<typename Document, typename Op>
absl::Duration ComputeConflictBackoff(const commit_queue<Document, Op>& aQueue,
                                      const commit_options& aOptions)
{
  absl::Duration maxBackoff = aOptions.mMinInterval;
  for (int i = 1; i < aQueue.mConflicts && maxBackoff < aOptions.mMaxBackoff;
       ++i) {
    maxBackoff *= 2;
  }
  const std::uint64_t input[] = {
    aQueue.mSeed, aQueue.mVersion, static_cast<std::uint64_t>(aQueue.mConflicts)
  };
  const double fraction =
    static_cast<double>(XXH64(input, sizeof(input), 0) >> 11U) /
    static_cast<double>(std::uint64_t{ 1 } << 53U);
  return std::min(maxBackoff, aOptions.mMaxBackoff) * fraction;
}

// Returns the earliest time at which TakeDueRequest returns a request, or
// InfiniteFuture if a response is outstanding or nothing is to be done.
template<typename Document, typename Op>
absl::Time GetNextWakeTime(const commit_queue<Document, Op>& aQueue)
{
  if (aQueue.mPhase != commit_phase::Idle) {
    return absl::InfiniteFuture();
  }
  if (aQueue.mReadRequested) {
    return aQueue.mNotBefore;
  }
  absl::Time due = absl::InfiniteFuture();
  for (const auto& pending : aQueue.mPending) {
    due = std::min(due, pending.mDueAt);
  }
  return std::max(aQueue.mNotBefore, due);
}

// Returns the next read or write if one is due at aNow. The queue then expects
// its response in OnResponse.
template<typename Document, typename Op>
std::optional<store_request> TakeDueRequest(commit_queue<Document, Op>& aQueue,
                                            absl::Time aNow)
{
  if (GetNextWakeTime(aQueue) > aNow) {
    return std::nullopt;
  }
  store_request request;
  request.mKey = aQueue.mKey;
  if (!aQueue.mMayBeCurrent || aQueue.mReadRequested) {
    aQueue.mReadRequested = false;
    aQueue.mPhase = commit_phase::Reading;
    return request;
  }
  aQueue.mWriting = aQueue.mCommitted;
  for (auto& pending : aQueue.mPending) {
    pending.mOutcome = ApplyOp(aQueue.mWriting, pending.mOp);
    pending.mMayBeApplied = true;
  }
  aQueue.mInFlight = aQueue.mPending.size();
  aQueue.mPhase = commit_phase::Writing;
  request.mWrite = aQueue.mWriting;
  request.mIfVersion = aQueue.mVersion;
  return request;
}

// Removes and returns the operations that are decided, because the committed
// value already contains or denies them.
template<typename Document, typename Op>
std::vector<pending_op<Op>> TakeDecided(commit_queue<Document, Op>& aQueue)
{
  std::vector<pending_op<Op>> decided;
  std::vector<pending_op<Op>> undecided;
  Document trial = aQueue.mCommitted;
  bool changed = false;
  for (auto& pending : aQueue.mPending) {
    pending.mOutcome = ApplyOp(trial, pending.mOp);
    pending.mMayBeApplied =
      pending.mForwarded ||
      (pending.mMayBeApplied && aQueue.mUnknownOutcomeVersion.has_value());
    // An outcome after an uncommitted change may depend on that change.
    if (pending.mOutcome == op_outcome::Applied || changed) {
      changed = true;
      undecided.push_back(std::move(pending));
    } else {
      decided.push_back(std::move(pending));
    }
  }
  aQueue.mPending = std::move(undecided);
  return decided;
}

// Handles the response to the outstanding request. Removes and returns the
// operations that are now decided; their effects are in aQueue.mCommitted.
template<typename Document, typename Op>
std::vector<pending_op<Op>> OnResponse(commit_queue<Document, Op>& aQueue,
                                       const store_response& aResponse,
                                       absl::Time aNow,
                                       const commit_options& aOptions)
{
  const commit_phase phase = aQueue.mPhase;
  aQueue.mPhase = commit_phase::Idle;
  if (phase == commit_phase::Writing &&
      (aResponse.mStatus == store_status::Unavailable ||
       aResponse.mStatus == store_status::Conflict)) {
    for (std::size_t i = 0; i < aQueue.mInFlight; ++i) {
      auto& pending = aQueue.mPending[i];
      pending.mMayBeApplied =
        pending.mForwarded ||
        (pending.mMayBeApplied && aQueue.mUnknownOutcomeVersion.has_value());
    }
  }
  if (aResponse.mStatus == store_status::Unavailable ||
      aResponse.mStatus == store_status::Unknown) {
    // The value is read again unless a write failed with certainty: a write
    // without a response may have changed it.
    aQueue.mMayBeCurrent = aQueue.mMayBeCurrent &&
                           phase == commit_phase::Writing &&
                           aResponse.mStatus == store_status::Unavailable;
    aQueue.mInFlight = 0;
    ++aQueue.mFailures;
    if (phase == commit_phase::Writing &&
        aResponse.mStatus == store_status::Unknown) {
      aQueue.mUnknownOutcomeVersion = aQueue.mVersion;
    }
    aQueue.mNotBefore = aNow + ComputeBackoff(aQueue.mFailures, aOptions);
    return {};
  }
  aQueue.mFailures = 0;
  if (phase == commit_phase::Reading) {
    aQueue.mMayBeCurrent = true;
    ++aQueue.mReads;
    aQueue.mVersion = aResponse.mVersion;
    if (aQueue.mUnknownOutcomeVersion &&
        aQueue.mVersion > *aQueue.mUnknownOutcomeVersion) {
      aQueue.mUnknownOutcomeVersion.reset();
    }
    aQueue.mCommitted = aResponse.mDocument
                          ? std::get<Document>(*aResponse.mDocument)
                          : Document{};
    return TakeDecided(aQueue);
  }
  if (aResponse.mStatus == store_status::Conflict) {
    aQueue.mMayBeCurrent = false;
    aQueue.mInFlight = 0;
    ++aQueue.mConflicts;
    aQueue.mNotBefore = aNow + ComputeConflictBackoff(aQueue, aOptions);
    return {};
  }
  aQueue.mConflicts = 0;
  aQueue.mVersion = aResponse.mVersion;
  aQueue.mUnknownOutcomeVersion.reset();
  aQueue.mCommitted = std::move(aQueue.mWriting);
  aQueue.mNotBefore = aNow + aOptions.mMinInterval;
  const auto end =
    aQueue.mPending.begin() + static_cast<std::ptrdiff_t>(aQueue.mInFlight);
  std::vector<pending_op<Op>> decided(
    std::make_move_iterator(aQueue.mPending.begin()),
    std::make_move_iterator(end));
  aQueue.mPending.erase(aQueue.mPending.begin(), end);
  aQueue.mInFlight = 0;
  return decided;
}

// Removes a pending operation. Returns false and changes nothing if there is no
// such operation or it may have taken effect.
template<typename Document, typename Op>
bool CancelPending(commit_queue<Document, Op>& aQueue,
                   std::uint64_t aOperationId)
{
  for (auto it = aQueue.mPending.begin(); it != aQueue.mPending.end(); ++it) {
    if (it->mOperationId == aOperationId) {
      if (it->mMayBeApplied) {
        return false;
      }
      aQueue.mPending.erase(it);
      return true;
    }
  }
  return false;
}

} // namespace foxtailquay

#endif
