// Group commit of operations on one store document.
//
// Operations wait in a queue; one compare-and-swap at a time writes all that
// are waiting. A conflict or a lost answer leads to a new read and the
// operations are applied to the value read, which is safe because each is
// idempotent. An outcome is reported only from a value that is known to be in
// the store.
//
//   Submit(queue, op, operationId, due);
//   if (auto request = NextRequest(queue, now)) { send it }
//   for (auto& done : OnResponse(queue, response, now, options)) { ... }
//
// Invariant: at most one request per queue is outstanding. Memory is bounded
// by the operations submitted and not yet committed.

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
  // Least time between two writes of one key; bounds the store's write rate.
  absl::Duration mMinInterval = absl::Milliseconds(20);
  // Wait after the first and after many failures in a row.
  absl::Duration mFirstBackoff = absl::Milliseconds(100);
  absl::Duration mMaxBackoff = absl::Seconds(2);
};

enum class commit_phase
{
  Idle,
  Reading,
  Writing,
  // Sent to another router that commits for this one.
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
  std::uint64_t mOperationId = 0;
  // When it must be written at the latest; it waits until then for company.
  absl::Time mDueAt;
  op_outcome mOutcome = op_outcome::Denied;
  // Part of a write whose outcome is not known; it may have taken effect.
  bool mMayBeApplied = false;
  // Sent to another router, which may apply it at any later time.
  bool mForwarded = false;
  // Number within the queue, for the answer of that router.
  std::uint64_t mId = 0;
};

template<typename Document, typename Op>
struct commit_queue
{
  store_key mKey;
  commit_phase mPhase = commit_phase::Idle;
  // Last value known to be in the store, and whether it may be the newest.
  Document mCommitted;
  store_version mVersion = 0;
  bool mKnown = false;
  // Successful reads so far.
  std::uint64_t mReads = 0;
  // Value of the outstanding write.
  Document mWriting;
  // The first mInFlight entries of mPending are part of mWriting.
  std::vector<pending_op<Op>> mPending;
  std::size_t mInFlight = 0;
  std::uint64_t mNextOperationNumber = 1;
  absl::Time mNotBefore = absl::InfinitePast();
  int mFailures = 0;
  // Conflicts in a row, and what makes this process's waits differ from those
  // of others.
  int mConflicts = 0;
  std::uint64_t mSeed = 0;
  // Set to read the document again although no operation is waiting.
  bool mRefresh = false;
  // Expected version of the last write without an answer. The write may still
  // reach the store until the key is seen at a higher version.
  std::optional<store_version> mDoubtVersion;
};

template<typename Document, typename Op>
void Submit(commit_queue<Document, Op>& aQueue, Op aOp,
            std::uint64_t aOperationId, absl::Time aDue)
{
  aQueue.mPending.push_back({ std::move(aOp), aOperationId, aDue,
                              op_outcome::Denied, false, false,
                              aQueue.mNextOperationNumber++ });
}

// Doubles with each failure in a row up to the maximum.
inline absl::Duration BackoffAfter(int aFailures,
                                   const commit_options& aOptions)
{
  absl::Duration wait = aOptions.mFirstBackoff;
  for (int i = 1; i < aFailures && wait < aOptions.mMaxBackoff; ++i) {
    wait *= 2;
  }
  return std::min(wait, aOptions.mMaxBackoff);
}

// Wait before the next try after a conflict: random, and up to twice as long
// after each further one. Without it all writers of a contended key collide
// again at each round.
template<typename Document, typename Op>
absl::Duration ConflictWait(const commit_queue<Document, Op>& aQueue,
                            const commit_options& aOptions)
{
  absl::Duration longest = aOptions.mMinInterval;
  for (int i = 1; i < aQueue.mConflicts && longest < aOptions.mMaxBackoff;
       ++i) {
    longest *= 2;
  }
  const std::uint64_t input[] = {
    aQueue.mSeed, aQueue.mVersion, static_cast<std::uint64_t>(aQueue.mConflicts)
  };
  const double part =
    static_cast<double>(XXH64(input, sizeof(input), 0) >> 11U) /
    static_cast<double>(std::uint64_t{ 1 } << 53U);
  return std::min(longest, aOptions.mMaxBackoff) * part;
}

// Earliest time at which NextRequest would return a request;
// InfiniteFuture if it waits for a reply or has nothing to do.
template<typename Document, typename Op>
absl::Time GetNextWakeTime(const commit_queue<Document, Op>& aQueue)
{
  if (aQueue.mPhase != commit_phase::Idle) {
    return absl::InfiniteFuture();
  }
  if (aQueue.mRefresh) {
    return aQueue.mNotBefore;
  }
  absl::Time due = absl::InfiniteFuture();
  for (const auto& pending : aQueue.mPending) {
    due = std::min(due, pending.mDueAt);
  }
  return std::max(aQueue.mNotBefore, due);
}

// Returns the next read or write if one is due.
template<typename Document, typename Op>
std::optional<store_request> NextRequest(commit_queue<Document, Op>& aQueue,
                                         absl::Time aNow)
{
  if (GetNextWakeTime(aQueue) > aNow) {
    return std::nullopt;
  }
  store_request request;
  request.mKey = aQueue.mKey;
  if (!aQueue.mKnown || aQueue.mRefresh) {
    aQueue.mRefresh = false;
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

// Removes and returns the operations whose outcome is known to be in the
// store: those that the committed value already contains or denies.
template<typename Document, typename Op>
std::vector<pending_op<Op>> TakeSettled(commit_queue<Document, Op>& aQueue)
{
  std::vector<pending_op<Op>> settled;
  std::vector<pending_op<Op>> waiting;
  Document trial = aQueue.mCommitted;
  bool changed = false;
  for (auto& pending : aQueue.mPending) {
    pending.mOutcome = ApplyOp(trial, pending.mOp);
    pending.mMayBeApplied =
      pending.mForwarded ||
      (pending.mMayBeApplied && aQueue.mDoubtVersion.has_value());
    // A denial after an uncommitted change may depend on that change.
    if (pending.mOutcome == op_outcome::Applied || changed) {
      changed = true;
      waiting.push_back(std::move(pending));
    } else {
      settled.push_back(std::move(pending));
    }
  }
  aQueue.mPending = std::move(waiting);
  return settled;
}

// Takes the reply to the outstanding request and returns the operations that
// are now decided. Their effects are in aQueue.mCommitted.
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
        (pending.mMayBeApplied && aQueue.mDoubtVersion.has_value());
    }
  }
  if (aResponse.mStatus == store_status::Unavailable ||
      aResponse.mStatus == store_status::Unknown) {
    // The value may have changed under a write without an answer.
    aQueue.mKnown = aQueue.mKnown && phase == commit_phase::Writing &&
                    aResponse.mStatus == store_status::Unavailable;
    aQueue.mInFlight = 0;
    ++aQueue.mFailures;
    if (phase == commit_phase::Writing &&
        aResponse.mStatus == store_status::Unknown) {
      aQueue.mDoubtVersion = aQueue.mVersion;
    }
    aQueue.mNotBefore = aNow + BackoffAfter(aQueue.mFailures, aOptions);
    return {};
  }
  aQueue.mFailures = 0;
  if (phase == commit_phase::Reading) {
    aQueue.mKnown = true;
    ++aQueue.mReads;
    aQueue.mVersion = aResponse.mVersion;
    if (aQueue.mDoubtVersion && aQueue.mVersion > *aQueue.mDoubtVersion) {
      aQueue.mDoubtVersion.reset();
    }
    aQueue.mCommitted = aResponse.mDocument
                          ? std::get<Document>(*aResponse.mDocument)
                          : Document{};
    return TakeSettled(aQueue);
  }
  if (aResponse.mStatus == store_status::Conflict) {
    aQueue.mKnown = false;
    aQueue.mInFlight = 0;
    ++aQueue.mConflicts;
    aQueue.mNotBefore = aNow + ConflictWait(aQueue, aOptions);
    return {};
  }
  aQueue.mConflicts = 0;
  aQueue.mVersion = aResponse.mVersion;
  aQueue.mDoubtVersion.reset();
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

// Removes a waiting operation. Returns false, and keeps it, if it is part of a
// write that may have taken effect, or is not waiting.
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
