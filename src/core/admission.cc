#include "admission.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace foxtailquay {

namespace {

std::size_t ToIndex(priority_class aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

double ComputeCost(const admission_request& aRequest)
{
  return static_cast<double>(std::max<token_count>(1, aRequest.mCost));
}

bool IsEmpty(const target_queue& aTarget)
{
  return std::all_of(
    aTarget.mClasses.begin(), aTarget.mClasses.end(),
    [](const class_queue& aClass) { return aClass.mWaiting.mSize == 0; });
}

// Returns the number of requests queued in classes with an index below aEnd.
std::size_t CountWaitingBefore(const target_queue& aTarget, std::size_t aEnd)
{
  std::size_t waiting = 0;
  for (std::size_t i = 0; i < aEnd; ++i) {
    waiting += aTarget.mClasses[i].mWaiting.mSize;
  }
  return waiting;
}

// Applies the exponential decay up to aNow. Precondition: the queue has not
// changed since mDecayedAt, so call it before each change.
void AdvanceDecay(target_queue& aTarget, const admission_options& aOptions,
                  absl::Time aNow)
{
  const double window = absl::ToDoubleSeconds(aOptions.mDequeueWindow);
  const double decay =
    std::exp(-absl::ToDoubleSeconds(aNow - aTarget.mDecayedAt) / window);
  aTarget.mBusySeconds *= decay;
  if (!IsEmpty(aTarget)) {
    aTarget.mBusySeconds += window * (1 - decay);
  }
  for (class_queue& each : aTarget.mClasses) {
    each.mDequeued *= decay;
    each.mWorkTokens *= decay;
  }
  aTarget.mDecayedAt = aNow;
}

// Returns true if the class may use one of the free slots, that is, if more
// slots are free than are reserved for higher classes.
bool MayUseSlot(const target_queue& aTarget, std::size_t aClass,
                const admission_options& aOptions, int aFreeSlots, int aSlots,
                absl::Time aNow)
{
  bool active = false;
  for (std::size_t i = 0; i < aClass; ++i) {
    active = active ||
             aNow - aTarget.mClasses[i].mLastRequestAt <= aOptions.mActiveTime;
  }
  const double reserved = active
                            ? std::ceil(aOptions.mReservedFraction[aClass] *
                                        std::max(aSlots, aFreeSlots))
                            : 0;
  return aFreeSlots > reserved;
}

error MakeRefusal(error_code aCode, const char* aField, const char* aDetail,
                  absl::Duration aRetryAfter, const admission_options& aOptions)
{
  return { aCode, executed::No, aField, aDetail,
           std::clamp(aRetryAfter, aOptions.mMinRetryAfter,
                      aOptions.mMaxRetryAfter) };
}

// Refills the token bucket and returns the time until it holds one token.
absl::Duration RefillRateBucket(workspace_load& aLoad,
                                const workspace_config& aWorkspace,
                                const admission_options& aOptions,
                                absl::Time aNow)
{
  aLoad.mRateLimited = aWorkspace.mRatePerSecond > 0;
  if (!aLoad.mRateLimited) {
    return absl::ZeroDuration();
  }
  const double routers = std::max(1, aOptions.mRouters);
  const double rate = aWorkspace.mRatePerSecond / routers;
  const double burst =
    std::max(1.0, (aWorkspace.mBurst > 0 ? aWorkspace.mBurst
                                         : aWorkspace.mRatePerSecond) /
                    routers);
  const double earned = absl::ToDoubleSeconds(aNow - aLoad.mRefilledAt) * rate;
  aLoad.mBucketTokens = std::min(burst, aLoad.mBucketTokens + earned);
  aLoad.mRefilledAt = aNow;
  return absl::Seconds(std::max(0.0, 1 - aLoad.mBucketTokens) / rate);
}

void RemoveIfIdle(admission_state& aState, const workspace_id& aWorkspace)
{
  const auto found = aState.mWorkspaces.find(aWorkspace);
  // A rate-limited workspace stays listed, because its token bucket is still
  // needed.
  if (found != aState.mWorkspaces.end() && found->second.mInFlight == 0 &&
      found->second.mQueued == 0 && !found->second.mRateLimited) {
    aState.mWorkspaces.erase(found);
  }
}

// Removes a queued request from all indexes except its fair queue and returns
// it. Precondition: the request is queued.
admission_request TakeQueued(admission_state& aState, request_handle aHandle)
{
  const auto found = aState.mQueued.find(aHandle);
  admission_request request = std::move(found->second.mRequest);
  aState.mExpiries.erase({ found->second.mExpiresAt, aHandle });
  aState.mQueued.erase(found);
  --aState.mWorkspaces[request.mWorkspace].mQueued;
  return request;
}

void RemoveQueued(admission_state& aState, request_handle aHandle,
                  absl::Time aNow)
{
  const admission_request request = TakeQueued(aState, aHandle);
  target_queue& target = aState.mTargets[request.mTarget];
  AdvanceDecay(target, aState.mOptions, std::max(aNow, target.mDecayedAt));
  class_queue& from = target.mClasses[ToIndex(request.mPriority)];
  RemoveItem(from.mWaiting, request.mWorkspace, request.mHandle);
  RemoveIfIdle(aState, request.mWorkspace);
}

// Returns the queued request that aRequest displaces, or null if there is none:
// the newest one of the lowest class below its own, or of the workspace with
// the most queued requests in its own class if that workspace has at least 2
// more than the workspace of aRequest.
const fair_item* FindDisplaced(const target_queue& aTarget,
                               const admission_request& aRequest)
{
  const std::size_t classIndex = ToIndex(aRequest.mPriority);
  for (std::size_t i = kPriorityClasses; i-- > classIndex + 1;) {
    if (const fair_item* item =
          FindNewestItemOfLongestFlow(aTarget.mClasses[i].mWaiting)) {
      return item;
    }
  }
  const fair_queue& same = aTarget.mClasses[classIndex].mWaiting;
  std::size_t longest = 0;
  for (const auto& [workspace, flow] : same.mFlows) {
    longest = std::max(longest, flow.mItems.size());
  }
  return longest > CountItems(same, aRequest.mWorkspace) + 1
           ? FindNewestItemOfLongestFlow(same)
           : nullptr;
}

// Queues the request. Errors: DeadlineExceeded if the deadline has passed,
// Overloaded if the estimated wait is too long or the queue is full.
std::optional<error> Enqueue(admission_state& aState,
                             const admission_request& aRequest,
                             const fleet_config& aFleet, absl::Time aNow)
{
  const absl::Duration limit =
    std::min(aFleet.mQueueTimeout, aRequest.mDeadline - aNow);
  if (limit <= absl::ZeroDuration()) {
    return error{ error_code::DeadlineExceeded, executed::No, "",
                  "the request's deadline has passed", absl::ZeroDuration() };
  }
  const absl::Duration wait =
    EstimateWait(aState, aRequest.mTarget, aRequest.mPriority,
                 aRequest.mWorkspace, aRequest.mExpectedRate);
  if (wait > std::min(limit, aRequest.mMaxWait)) {
    return MakeRefusal(error_code::Overloaded, "",
                       "the estimated wait for a slot is too long", wait,
                       aState.mOptions);
  }
  target_queue& target = aState.mTargets[aRequest.mTarget];
  const bool full = CountWaitingBefore(target, kPriorityClasses) >=
                    static_cast<std::size_t>(std::max(0, aFleet.mQueueLength));
  const fair_item* displaced = full ? FindDisplaced(target, aRequest) : nullptr;
  if (full && displaced == nullptr) {
    return MakeRefusal(error_code::Overloaded, "", "the queue is full", wait,
                       aState.mOptions);
  }
  // Counted before the removal, which removes the entry of an idle workspace.
  ++aState.mWorkspaces[aRequest.mWorkspace].mQueued;
  if (displaced != nullptr) {
    const request_handle handle = displaced->mHandle;
    RemoveQueued(aState, handle, aNow);
    aState.mDisplaced.push_back(handle);
  }
  PushItem(target.mClasses[ToIndex(aRequest.mPriority)].mWaiting,
           aRequest.mWorkspace,
           { aRequest.mHandle, ComputeCost(aRequest), aRequest.mWeight });
  const absl::Time expiry = aNow + limit;
  aState.mQueued[aRequest.mHandle] = { aRequest, aNow, expiry };
  aState.mExpiries.insert({ expiry, aRequest.mHandle });
  return std::nullopt;
}

// Returns true if the class is below its guaranteed fraction of the work and
// its first request has waited for mGuaranteeWait.
bool IsStarved(const admission_state& aState, const target_queue& aTarget,
               std::size_t aClass, absl::Time aNow)
{
  const class_queue& queue = aTarget.mClasses[aClass];
  const fair_item* head = FindFirstItem(queue.mWaiting);
  double work = 0;
  for (const class_queue& each : aTarget.mClasses) {
    work += each.mWorkTokens;
  }
  return head != nullptr &&
         queue.mWorkTokens <
           work * aState.mOptions.mGuaranteedFraction[aClass] &&
         aNow - aState.mQueued.at(head->mHandle).mQueuedAt >=
           aState.mOptions.mGuaranteeWait;
}

// Returns the index of the class to dequeue from: the lowest one that is
// starved, else the highest one that has queued requests and may use a slot;
// kPriorityClasses if there is none.
std::size_t ChooseClass(const admission_state& aState,
                        const target_queue& aTarget, int aFreeSlots, int aSlots,
                        absl::Time aNow)
{
  for (std::size_t i = kPriorityClasses; i-- > 1;) {
    if (IsStarved(aState, aTarget, i, aNow)) {
      return i;
    }
  }
  std::size_t next = 0;
  while (
    next < kPriorityClasses &&
    (aTarget.mClasses[next].mWaiting.mSize == 0 ||
     !MayUseSlot(aTarget, next, aState.mOptions, aFreeSlots, aSlots, aNow))) {
    ++next;
  }
  return next;
}

// Records the cost of a request that is admitted or dequeued.
void RecordTaken(target_queue& aTarget, std::size_t aClass, double aCost)
{
  aTarget.mClasses[aClass].mWorkTokens += aCost;
  // Without a queue the rate would be that of arrivals instead of freed slots.
  if (!IsEmpty(aTarget)) {
    aTarget.mClasses[aClass].mDequeued += 1;
  }
}

} // namespace

admission_decision Admit(admission_state& aState,
                         const admission_request& aRequest,
                         const workspace_config& aWorkspace,
                         const fleet_config& aFleet, int aFreeSlots,
                         absl::Time aNow, int aSlots)
{
  const admission_options& options = aState.mOptions;
  workspace_load& load = aState.mWorkspaces[aRequest.mWorkspace];
  admission_decision decision;
  const absl::Duration delay =
    RefillRateBucket(load, aWorkspace, options, aNow);
  target_queue& target = aState.mTargets[aRequest.mTarget];
  AdvanceDecay(target, options, aNow);
  const std::size_t classIndex = ToIndex(aRequest.mPriority);
  target.mClasses[classIndex].mLastRequestAt = aNow;
  if (aWorkspace.mMaxConcurrency > 0 &&
      load.mInFlight + load.mQueued >= aWorkspace.mMaxConcurrency) {
    decision.mError =
      MakeRefusal(error_code::ConcurrencyLimited, "max_concurrency",
                  "the workspace has too many requests in flight",
                  absl::ZeroDuration(), options);
  } else if (delay > absl::ZeroDuration()) {
    decision.mError =
      MakeRefusal(error_code::RateLimited, "rate_per_second",
                  "the workspace exceeds its request rate", delay, options);
  } else if (CountWaitingBefore(target, classIndex + 1) == 0 &&
             MayUseSlot(target, classIndex, options, aFreeSlots, aSlots,
                        aNow)) {
    ++load.mInFlight;
    RecordTaken(target, classIndex, ComputeCost(aRequest));
    decision.mOutcome = admission_outcome::Admitted;
  } else if (auto refused = Enqueue(aState, aRequest, aFleet, aNow)) {
    decision.mError = *std::move(refused);
  } else {
    decision.mOutcome = admission_outcome::Queued;
  }
  if (decision.mOutcome == admission_outcome::Refused) {
    RemoveIfIdle(aState, aRequest.mWorkspace);
  } else if (load.mRateLimited) {
    load.mBucketTokens -= 1;
  }
  return decision;
}

std::optional<request_handle> FindNextAdmitted(const admission_state& aState,
                                               const std::string& aTarget,
                                               int aFreeSlots, absl::Time aNow,
                                               int aSlots)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end() || aFreeSlots <= 0) {
    return std::nullopt;
  }
  const std::size_t next =
    ChooseClass(aState, found->second, aFreeSlots, aSlots, aNow);
  if (next == kPriorityClasses) {
    return std::nullopt;
  }
  return FindFirstItem(found->second.mClasses[next].mWaiting)->mHandle;
}

std::vector<request_handle> TakeAdmitted(admission_state& aState,
                                         const std::string& aTarget,
                                         int aFreeSlots, absl::Time aNow,
                                         int aSlots)
{
  std::vector<request_handle> taken;
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end()) {
    return taken;
  }
  target_queue& target = found->second;
  AdvanceDecay(target, aState.mOptions, aNow);
  for (int free = aFreeSlots; free > 0; --free) {
    const std::size_t next = ChooseClass(aState, target, free, aSlots, aNow);
    if (next == kPriorityClasses) {
      break;
    }
    class_queue& from = target.mClasses[next];
    const fair_item item = *FindFirstItem(from.mWaiting);
    RecordTaken(target, next, item.mCost);
    PopFirstItem(from.mWaiting);
    const admission_request request = TakeQueued(aState, item.mHandle);
    ++aState.mWorkspaces[request.mWorkspace].mInFlight;
    taken.push_back(item.mHandle);
  }
  return taken;
}

std::vector<request_handle> TakeExpired(admission_state& aState,
                                        absl::Time aNow)
{
  std::vector<request_handle> expired;
  expired.swap(aState.mDisplaced);
  while (!aState.mExpiries.empty() && aState.mExpiries.begin()->first <= aNow) {
    const request_handle handle = aState.mExpiries.begin()->second;
    RemoveQueued(aState, handle, aNow);
    expired.push_back(handle);
  }
  return expired;
}

void CancelQueued(admission_state& aState, request_handle aHandle)
{
  if (aState.mQueued.count(aHandle) != 0) {
    RemoveQueued(aState, aHandle, absl::InfinitePast());
  }
  auto& displaced = aState.mDisplaced;
  displaced.erase(std::remove(displaced.begin(), displaced.end(), aHandle),
                  displaced.end());
}

void RecordRequestEnd(admission_state& aState, const workspace_id& aWorkspace)
{
  const auto found = aState.mWorkspaces.find(aWorkspace);
  if (found != aState.mWorkspaces.end()) {
    found->second.mInFlight = std::max(0, found->second.mInFlight - 1);
    RemoveIfIdle(aState, aWorkspace);
  }
}

absl::Time GetNextExpiry(const admission_state& aState)
{
  if (!aState.mDisplaced.empty()) {
    return absl::InfinitePast();
  }
  return aState.mExpiries.empty() ? absl::InfiniteFuture()
                                  : aState.mExpiries.begin()->first;
}

absl::Duration EstimateWait(const admission_state& aState,
                            const std::string& aTarget,
                            priority_class aPriority,
                            const workspace_id& aWorkspace,
                            double aExpectedRate)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end()) {
    return absl::ZeroDuration();
  }
  const target_queue& target = found->second;
  const std::size_t classIndex = ToIndex(aPriority);
  double total = 0;
  double available = 0;
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    total += target.mClasses[i].mDequeued;
    available += i >= classIndex ? target.mClasses[i].mDequeued : 0;
  }
  const auto higher =
    static_cast<double>(CountWaitingBefore(target, classIndex));
  const auto ahead = static_cast<double>(
    CountAhead(target.mClasses[classIndex].mWaiting, aWorkspace));
  if (total < aState.mOptions.mMinDequeued || target.mBusySeconds <= 0) {
    return aExpectedRate > 0
             ? absl::Seconds((higher + ahead + 1) / aExpectedRate)
             : absl::ZeroDuration();
  }
  // Requests of higher classes keep arriving, so the slots that they take are
  // not available to this class.
  available = std::max(available,
                       total * aState.mOptions.mGuaranteedFraction[classIndex]);
  return absl::Seconds(target.mBusySeconds *
                       (higher / total + ahead / available));
}

std::size_t CountQueued(const admission_state& aState,
                        const std::string& aTarget)
{
  const auto found = aState.mTargets.find(aTarget);
  return found == aState.mTargets.end()
           ? 0
           : CountWaitingBefore(found->second, kPriorityClasses);
}

std::vector<std::string> ListQueuedTargets(const admission_state& aState)
{
  std::vector<std::string> targets;
  for (const auto& [target, queue] : aState.mTargets) {
    if (!IsEmpty(queue)) {
      targets.push_back(target);
    }
  }
  return targets;
}

} // namespace foxtailquay
