#include "admission.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace foxtailquay {

namespace {

std::size_t IndexOf(priority_class aPriority)
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

// Requests waiting in the classes before aEnd.
std::size_t WaitingBefore(const target_queue& aTarget, std::size_t aEnd)
{
  std::size_t waiting = 0;
  for (std::size_t i = 0; i < aEnd; ++i) {
    waiting += aTarget.mClasses[i].mWaiting.mSize;
  }
  return waiting;
}

// Brings the decayed sums up to aNow. Call before the queue changes.
void Decay(target_queue& aTarget, const admission_options& aOptions,
           absl::Time aNow)
{
  const double window = absl::ToDoubleSeconds(aOptions.mDrainWindow);
  const double decay =
    std::exp(-absl::ToDoubleSeconds(aNow - aTarget.mDecayedAt) / window);
  aTarget.mBusySeconds *= decay;
  if (!IsEmpty(aTarget)) {
    aTarget.mBusySeconds += window * (1 - decay);
  }
  for (class_queue& each : aTarget.mClasses) {
    each.mDrained *= decay;
    each.mWorkTokens *= decay;
  }
  aTarget.mDecayedAt = aNow;
}

// True if the class may use one of the free slots without touching those that
// are reserved for higher classes.
bool MayUse(const target_queue& aTarget, std::size_t aClass,
            const admission_options& aOptions, int aFreeSlots, int aSlots,
            absl::Time aNow)
{
  bool active = false;
  for (std::size_t i = 0; i < aClass; ++i) {
    active =
      active || aNow - aTarget.mClasses[i].mLastRequest <= aOptions.mActiveTime;
  }
  const double reserved = active
                            ? std::ceil(aOptions.mReservedFraction[aClass] *
                                        std::max(aSlots, aFreeSlots))
                            : 0;
  return aFreeSlots > reserved;
}

error Refusal(error_code aCode, const char* aField, const char* aDetail,
              absl::Duration aRetryAfter, const admission_options& aOptions)
{
  return { aCode, executed::No, aField, aDetail,
           std::clamp(aRetryAfter, aOptions.mMinRetryAfter,
                      aOptions.mMaxRetryAfter) };
}

// Refills the bucket and returns the time until it holds one token.
absl::Duration RateDelay(workspace_load& aLoad,
                         const workspace_config& aWorkspace,
                         const admission_options& aOptions, absl::Time aNow)
{
  aLoad.mRateLimited = aWorkspace.mRatePerSecond > 0;
  if (!aLoad.mRateLimited) {
    return absl::ZeroDuration();
  }
  const double parts = std::max(1, aOptions.mRouters);
  const double rate = aWorkspace.mRatePerSecond / parts;
  const double burst =
    std::max(1.0, (aWorkspace.mBurst > 0 ? aWorkspace.mBurst
                                         : aWorkspace.mRatePerSecond) /
                    parts);
  const double earned = absl::ToDoubleSeconds(aNow - aLoad.mRefilledAt) * rate;
  aLoad.mTokens = std::min(burst, aLoad.mTokens + earned);
  aLoad.mRefilledAt = aNow;
  return absl::Seconds(std::max(0.0, 1 - aLoad.mTokens) / rate);
}

void DropIfIdle(admission_state& aState, const workspace_id& aWorkspace)
{
  const auto found = aState.mWorkspaces.find(aWorkspace);
  // A rate-limited workspace keeps its bucket.
  if (found != aState.mWorkspaces.end() && found->second.mInFlight == 0 &&
      found->second.mQueued == 0 && !found->second.mRateLimited) {
    aState.mWorkspaces.erase(found);
  }
}

// Takes a queued request out of all indexes but its fair queue.
admission_request Forget(admission_state& aState, request_handle aHandle)
{
  const auto found = aState.mQueued.find(aHandle);
  admission_request request = std::move(found->second.mRequest);
  aState.mExpiries.erase({ found->second.mExpiry, aHandle });
  aState.mQueued.erase(found);
  --aState.mWorkspaces[request.mWorkspace].mQueued;
  return request;
}

void RemoveQueued(admission_state& aState, request_handle aHandle,
                  absl::Time aNow)
{
  const admission_request request = Forget(aState, aHandle);
  target_queue& target = aState.mTargets[request.mTarget];
  Decay(target, aState.mOptions, std::max(aNow, target.mDecayedAt));
  class_queue& from = target.mClasses[IndexOf(request.mPriority)];
  RemoveItem(from.mWaiting, request.mWorkspace, request.mHandle);
  DropIfIdle(aState, request.mWorkspace);
}

// Finds a queued request that gives way to aRequest: one of the lowest class
// below it, or of a workspace with a longer queue in the same class.
const fair_item* FindDisplaced(const target_queue& aTarget,
                               const admission_request& aRequest)
{
  const std::size_t own = IndexOf(aRequest.mPriority);
  for (std::size_t i = kPriorityClasses; i-- > own + 1;) {
    if (const fair_item* item = NewestOfLongest(aTarget.mClasses[i].mWaiting)) {
      return item;
    }
  }
  const fair_queue& same = aTarget.mClasses[own].mWaiting;
  std::size_t longest = 0;
  for (const auto& [workspace, flow] : same.mFlows) {
    longest = std::max(longest, flow.mItems.size());
  }
  return longest > LengthOf(same, aRequest.mWorkspace) + 1
           ? NewestOfLongest(same)
           : nullptr;
}

// Queues the request or returns why not.
std::optional<error> Enqueue(admission_state& aState,
                             const admission_request& aRequest,
                             const fleet_config& aFleet, absl::Time aNow)
{
  const absl::Duration limit =
    std::min(aFleet.mQueueTimeout, aRequest.mDeadline - aNow);
  if (limit <= absl::ZeroDuration()) {
    return error{ error_code::DeadlineExceeded, executed::No, "",
                  "the deadline has passed", absl::ZeroDuration() };
  }
  const absl::Duration wait = EstimateWait(
    aState, aRequest.mTarget, aRequest.mPriority, aRequest.mWorkspace);
  if (wait > limit) {
    return Refusal(error_code::Overloaded, "",
                   "the expected wait for a slot is too long", wait,
                   aState.mOptions);
  }
  target_queue& target = aState.mTargets[aRequest.mTarget];
  const bool full = WaitingBefore(target, kPriorityClasses) >=
                    static_cast<std::size_t>(std::max(0, aFleet.mQueueLength));
  const fair_item* displaced = full ? FindDisplaced(target, aRequest) : nullptr;
  if (full && displaced == nullptr) {
    return Refusal(error_code::Overloaded, "", "the queue is full", wait,
                   aState.mOptions);
  }
  // Counted before the removal, which drops the entry of an idle workspace.
  ++aState.mWorkspaces[aRequest.mWorkspace].mQueued;
  if (displaced != nullptr) {
    const request_handle handle = displaced->mHandle;
    RemoveQueued(aState, handle, aNow);
    aState.mDisplaced.push_back(handle);
  }
  PushItem(target.mClasses[IndexOf(aRequest.mPriority)].mWaiting,
           aRequest.mWorkspace,
           { aRequest.mHandle, ComputeCost(aRequest), aRequest.mWeight });
  const absl::Time expiry = aNow + limit;
  aState.mQueued[aRequest.mHandle] = { aRequest, aNow, expiry };
  aState.mExpiries.insert({ expiry, aRequest.mHandle });
  return std::nullopt;
}

// True if the class has waited and is below its guaranteed part of the work.
bool IsStarved(const admission_state& aState, const target_queue& aTarget,
               std::size_t aClass, absl::Time aNow)
{
  const class_queue& own = aTarget.mClasses[aClass];
  const fair_item* head = HeadOf(own.mWaiting);
  double work = 0;
  for (const class_queue& each : aTarget.mClasses) {
    work += each.mWorkTokens;
  }
  return head != nullptr &&
         own.mWorkTokens < work * aState.mOptions.mGuaranteedFraction[aClass] &&
         aNow - aState.mQueued.at(head->mHandle).mQueuedAt >=
           aState.mOptions.mGuaranteeWait;
}

// The class to take from: the lowest one that is starved, else the highest one
// that may use a slot. kPriorityClasses if there is none.
std::size_t NextClass(const admission_state& aState,
                      const target_queue& aTarget, int aFreeSlots, int aSlots,
                      absl::Time aNow)
{
  for (std::size_t i = kPriorityClasses; i-- > 1;) {
    if (IsStarved(aState, aTarget, i, aNow)) {
      return i;
    }
  }
  std::size_t next = 0;
  while (next < kPriorityClasses &&
         (aTarget.mClasses[next].mWaiting.mSize == 0 ||
          !MayUse(aTarget, next, aState.mOptions, aFreeSlots, aSlots, aNow))) {
    ++next;
  }
  return next;
}

void NoteTaken(target_queue& aTarget, std::size_t aClass, double aCost)
{
  aTarget.mClasses[aClass].mWorkTokens += aCost;
  // Without a queue the rate would be that of arrivals, not of free slots.
  if (!IsEmpty(aTarget)) {
    aTarget.mClasses[aClass].mDrained += 1;
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
  const absl::Duration delay = RateDelay(load, aWorkspace, options, aNow);
  target_queue& target = aState.mTargets[aRequest.mTarget];
  Decay(target, options, aNow);
  const std::size_t own = IndexOf(aRequest.mPriority);
  target.mClasses[own].mLastRequest = aNow;
  if (aWorkspace.mMaxConcurrency > 0 &&
      load.mInFlight + load.mQueued >= aWorkspace.mMaxConcurrency) {
    decision.mError = Refusal(error_code::ConcurrencyLimited, "max_concurrency",
                              "the workspace has too many requests in flight",
                              absl::ZeroDuration(), options);
  } else if (delay > absl::ZeroDuration()) {
    decision.mError =
      Refusal(error_code::RateLimited, "rate_per_second",
              "the workspace sends too many requests", delay, options);
  } else if (WaitingBefore(target, own + 1) == 0 &&
             MayUse(target, own, options, aFreeSlots, aSlots, aNow)) {
    ++load.mInFlight;
    NoteTaken(target, own, ComputeCost(aRequest));
    decision.mOutcome = admission_outcome::Admitted;
  } else if (auto refused = Enqueue(aState, aRequest, aFleet, aNow)) {
    decision.mError = *std::move(refused);
  } else {
    decision.mOutcome = admission_outcome::Queued;
  }
  if (decision.mOutcome == admission_outcome::Refused) {
    DropIfIdle(aState, aRequest.mWorkspace);
  } else if (load.mRateLimited) {
    load.mTokens -= 1;
  }
  return decision;
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
  Decay(target, aState.mOptions, aNow);
  for (int free = aFreeSlots; free > 0; --free) {
    const std::size_t next = NextClass(aState, target, free, aSlots, aNow);
    if (next == kPriorityClasses) {
      break;
    }
    class_queue& from = target.mClasses[next];
    const fair_item item = *HeadOf(from.mWaiting);
    NoteTaken(target, next, item.mCost);
    PopHead(from.mWaiting);
    const admission_request request = Forget(aState, item.mHandle);
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
    DropIfIdle(aState, aWorkspace);
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
                            const workspace_id& aWorkspace)
{
  const auto found = aState.mTargets.find(aTarget);
  if (found == aState.mTargets.end()) {
    return absl::ZeroDuration();
  }
  const target_queue& target = found->second;
  const std::size_t own = IndexOf(aPriority);
  double total = 0;
  double left = 0;
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    total += target.mClasses[i].mDrained;
    left += i >= own ? target.mClasses[i].mDrained : 0;
  }
  if (total < aState.mOptions.mMinDrained || target.mBusySeconds <= 0) {
    return absl::ZeroDuration();
  }
  // Higher classes keep arriving; what they take is not left to this one.
  left = std::max(left, total * aState.mOptions.mGuaranteedFraction[own]);
  const auto higher = static_cast<double>(WaitingBefore(target, own));
  const auto ahead =
    static_cast<double>(AheadOf(target.mClasses[own].mWaiting, aWorkspace));
  return absl::Seconds(target.mBusySeconds * (higher / total + ahead / left));
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
