// Admission: rate and concurrency limits per workspace, and bounded queues by
// priority class for requests that must wait for capacity.
//
//   decision = Admit(state, request, workspace, fleet, free_slots, now);
//   ... when slots become free:
//   for (handle : TakeAdmitted(state, target, free_slots, now)) { dispatch }
//   ... at GetNextExpiry(state):
//   for (handle : TakeExpired(state, now)) { refuse }
//
// Higher classes run first; lower ones keep a guaranteed part of the work.
// Inside a class, workspaces share by weighted fair queueing. A request that
// would probably not run in time is refused on arrival. If the queue is full,
// the lowest class gives way first, then the workspace with the most queued
// requests.
//
// Memory: at most mQueueLength requests per target, one entry per workspace
// with requests or a rate limit, one per target. An operation takes time
// proportional to the number of workspaces in one queue.

#ifndef FOXTAILQUAY_CORE_ADMISSION_H
#define FOXTAILQUAY_CORE_ADMISSION_H

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "fair_queue.h"
#include "foxtailquay/config.h"
#include "foxtailquay/error.h"

namespace foxtailquay {

struct admission_request
{
  request_handle mHandle = 0;
  workspace_id mWorkspace;
  // Model or service; requests for different targets wait in different
  // queues, so that a full model does not delay another one.
  std::string mTarget;
  priority_class mPriority = priority_class::Standard;
  absl::Time mDeadline;
  // Worst-case cost, an estimate of the work.
  token_count mCost = 0;
  // Part of the work that the workspace gets relative to others in its class.
  double mWeight = 1;
};

constexpr std::size_t kPriorityClasses = CountEnumerators<priority_class>();

struct admission_options
{
  // A class whose part of the recent work is below this goes before higher
  // ones, and may use reserved slots, once its first request has waited for
  // mGuaranteeWait. Without it, batch work would starve under steady
  // interactive load.
  std::array<double, kPriorityClasses> mGuaranteedFraction = { 0, 0.1, 0.1 };
  absl::Duration mGuaranteeWait = absl::Milliseconds(500);
  // Part of this router's slots that a class leaves free for higher ones, so
  // that these need not wait for the end of a long run. It applies while higher
  // classes are active.
  std::array<double, kPriorityClasses> mReservedFraction = { 0, 0.02, 0.04 };
  // A class is active for this long after its last request.
  absl::Duration mActiveTime = absl::Seconds(1);
  // Averaging time of the drain rate and of the parts of the work.
  absl::Duration mDrainWindow = absl::Seconds(5);
  // Requests taken from a queue before its drain rate is trusted.
  double mMinDrained = 3;
  absl::Duration mMinRetryAfter = absl::Seconds(1);
  absl::Duration mMaxRetryAfter = absl::Seconds(30);
  // Routers among which the rate limits of workspaces are divided; 1 applies
  // the whole limit at each router.
  int mRouters = 1;
};

enum class admission_outcome
{
  Admitted,
  Queued,
  Refused,
};

constexpr auto NameTable(admission_outcome)
{
  return MakeNameTable<admission_outcome>(
    { { admission_outcome::Admitted, "admitted" },
      { admission_outcome::Queued, "queued" },
      { admission_outcome::Refused, "refused" } });
}

struct admission_decision
{
  admission_outcome mOutcome = admission_outcome::Refused;
  // Set if refused.
  error mError;
};

struct workspace_load
{
  int mInFlight = 0;
  int mQueued = 0;
  // Token bucket of the rate limit; not used without one.
  bool mRateLimited = false;
  double mTokens = 0;
  absl::Time mRefilledAt = absl::InfinitePast();
};

struct queued_request
{
  admission_request mRequest;
  absl::Time mQueuedAt;
  absl::Time mExpiry;
};

struct class_queue
{
  fair_queue mWaiting;
  // Requests taken from a queue, and the cost of all requests taken, both with
  // exponential decay over mDrainWindow.
  double mDrained = 0;
  double mWorkTokens = 0;
  absl::Time mLastRequest = absl::InfinitePast();
};

struct target_queue
{
  std::array<class_queue, kPriorityClasses> mClasses;
  // Seconds with a queue, with the same decay as mDrained. The rate refers to
  // these only, because without a queue it would be the rate of arrivals.
  double mBusySeconds = 0;
  absl::Time mDecayedAt = absl::InfinitePast();
};

struct admission_state
{
  admission_options mOptions;
  std::map<workspace_id, workspace_load> mWorkspaces;
  std::map<std::string, target_queue> mTargets;
  std::map<request_handle, queued_request> mQueued;
  std::set<std::pair<absl::Time, request_handle>> mExpiries;
  // Displaced by other requests; TakeExpired returns them.
  std::vector<request_handle> mDisplaced;
};

// Decides on a new request. aFreeSlots is how many requests for the target
// the known backend servers can take now, and aSlots how many if they were
// idle; without aSlots, reserved parts refer to the free slots. An admitted
// request counts against the workspace until RecordRequestEnd; a queued one
// does so once TakeAdmitted returns it. A request counts against its rate limit
// unless it is refused. Errors: ConcurrencyLimited, RateLimited, Overloaded,
// DeadlineExceeded, all with ran::No; mRetryAfter is the expected time until a
// retry can succeed.
admission_decision Admit(admission_state& aState,
                         const admission_request& aRequest,
                         const workspace_config& aWorkspace,
                         const fleet_config& aFleet, int aFreeSlots,
                         absl::Time aNow, int aSlots = 0);

// Removes and returns up to aFreeSlots queued requests of aTarget, in the
// order in which they are to run.
std::vector<request_handle> TakeAdmitted(admission_state& aState,
                                         const std::string& aTarget,
                                         int aFreeSlots, absl::Time aNow,
                                         int aSlots = 0);

// Removes and returns queued requests whose time in the queue is over, and
// those that gave way to others since the last call.
std::vector<request_handle> TakeExpired(admission_state& aState,
                                        absl::Time aNow);

// Removes a queued request whose caller is gone.
void CancelQueued(admission_state& aState, request_handle aHandle);

// An admitted request has ended.
void RecordRequestEnd(admission_state& aState, const workspace_id& aWorkspace);

// Earliest time at which TakeExpired has something to return; in the past if
// it has now.
absl::Time GetNextExpiry(const admission_state& aState);

// Time that a request of the class and workspace would probably wait for a
// slot, from the drain rate; zero while the rate is not known.
absl::Duration EstimateWait(const admission_state& aState,
                            const std::string& aTarget,
                            priority_class aPriority,
                            const workspace_id& aWorkspace);

// Targets with queued requests, in a fixed order.
std::vector<std::string> ListQueuedTargets(const admission_state& aState);

} // namespace foxtailquay

#endif
