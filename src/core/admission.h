// Admission control: rate and concurrency limits per workspace, and bounded
// queues by priority class for requests that have to wait for a free slot.
//
//   decision = Admit(state, request, workspace, fleet, free_slots, now);
//   ... when slots become free:
//   for (handle : TakeAdmitted(state, target, free_slots, now)) { dispatch }
//   ... at GetNextExpiry(state):
//   for (handle : TakeExpired(state, now)) { refuse }
//
// Requests of higher classes are taken first; each lower class is guaranteed a
// fraction of the work. Within a class, the work is divided among workspaces by
// weighted fair queueing. A request whose estimated wait exceeds its time limit
// is refused on arrival. A new request for a full queue displaces one of the
// lowest class below its own, or else one of the workspace with the most queued
// requests in its own class.
//
// Memory: at most mQueueLength requests per target, one entry per workspace
// with requests or a rate limit, one per target. An operation takes time
// proportional to the number of workspaces in one queue. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_ADMISSION_H
#define FOXTAILQUAY_CORE_ADMISSION_H

#include <array>
#include <cstddef>
#include <map>
#include <optional>
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
  // Model or service. Each target has its own queue, so that a model without
  // free slots does not delay requests for another one.
  std::string mTarget;
  priority_class mPriority = priority_class::Standard;
  absl::Time mDeadline;
  // Worst-case cost in tokens, used as an estimate of the work.
  token_count mCost = 0;
  // Weight of the workspace: its work relative to that of the other workspaces
  // in its class.
  double mWeight = 1;
  // Longest estimated wait with which the request is queued. The limits of the
  // fleet and the deadline apply as well, and also end a wait.
  absl::Duration mMaxWait = absl::InfiniteDuration();
  // Requests a second that are expected to be dequeued, which is used until
  // mMinDequeued were; 0 if unknown.
  double mExpectedRate = 0;
};

constexpr std::size_t kPriorityClasses = CountEnumerators<priority_class>();

struct admission_options
{
  // Guaranteed fraction of the recent work, by class. A class below it is taken
  // before higher ones, and may use reserved slots, once its first request has
  // waited for mGuaranteeWait. Without it, batch requests would starve under
  // steady interactive load.
  std::array<double, kPriorityClasses> mGuaranteedFraction = { 0, 0.1, 0.1 };
  absl::Duration mGuaranteeWait = absl::Milliseconds(500);
  // Fraction of this router's slots that a class leaves free for higher ones,
  // so that these do not have to wait for the end of a long run. It applies
  // while a higher class is active.
  std::array<double, kPriorityClasses> mReservedFraction = { 0, 0.02, 0.04 };
  // A class is active for this long after its last request.
  absl::Duration mActiveTime = absl::Seconds(1);
  // Time constant of the exponential averages of the dequeue rate and of the
  // work by class.
  absl::Duration mDequeueWindow = absl::Seconds(5);
  // Minimum number of recently dequeued requests for which the dequeue rate is
  // used.
  double mMinDequeued = 3;
  absl::Duration mMinRetryAfter = absl::Seconds(1);
  absl::Duration mMaxRetryAfter = absl::Seconds(30);
  // Number of routers among which the rate limits of workspaces are divided; 1
  // applies the complete limit at each router.
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
  // Admitted requests that have not ended.
  int mInFlight = 0;
  int mQueued = 0;
  // Token bucket of the rate limit, one token per request; not used without a
  // rate limit.
  bool mRateLimited = false;
  double mBucketTokens = 0;
  absl::Time mRefilledAt = absl::InfinitePast();
};

struct queued_request
{
  admission_request mRequest;
  absl::Time mQueuedAt;
  absl::Time mExpiresAt;
};

struct class_queue
{
  fair_queue mWaiting;
  // Number of requests dequeued, and cost in tokens of all requests admitted or
  // dequeued, both with exponential decay over mDequeueWindow.
  double mDequeued = 0;
  double mWorkTokens = 0;
  absl::Time mLastRequestAt = absl::InfinitePast();
};

struct target_queue
{
  std::array<class_queue, kPriorityClasses> mClasses;
  // Time with queued requests in seconds, with the same decay as mDequeued. The
  // dequeue rate refers to this time only, because without a queue it would be
  // the rate of arrivals.
  double mBusySeconds = 0;
  absl::Time mDecayedAt = absl::InfinitePast();
};

// How the demand of a workspace compares with that of the others.
enum class demand_rank
{
  // No workspace asks for much more than the others.
  Usual,
  // This one does.
  Heavy,
  // Another one does.
  Favoured,
};

constexpr auto NameTable(demand_rank)
{
  return MakeNameTable<demand_rank>({ { demand_rank::Usual, "usual" },
                                      { demand_rank::Heavy, "heavy" },
                                      { demand_rank::Favoured, "favoured" } });
}

// Recent runs of requests to one target.
struct service_pace
{
  // Mean time from the start of an attempt to the end of its response; 0 before
  // the first one.
  absl::Duration mRunTime = absl::ZeroDuration();
  // Number of completed runs, with exponential decay since mAt.
  double mRuns = 0;
  absl::Time mAt = absl::InfinitePast();
  // Number of attempts that have not ended, and start of the last one.
  int mOutstanding = 0;
  absl::Time mSentAt = absl::InfinitePast();
  // Largest number of attempts at the same time while the servers are full;
  // below 1, one attempt in a longer time than a run takes.
  double mWindow = 0;
  // Last time at which all servers were known to be full.
  absl::Time mFullAt = absl::InfinitePast();
  // Number of consecutive responses of full servers, and the server and time of
  // the first of these.
  int mFullResponses = 0;
  backend_id mFirstFull;
  absl::Time mFirstFullAt = absl::InfinitePast();
  // True if they are of several servers.
  bool mIsFullAtSeveral = false;
  // Work that each workspace has asked for, with exponential decay, relative to
  // mDemandAt.
  std::map<workspace_id, double> mDemand;
  absl::Time mDemandAt = absl::InfinitePast();
};

struct admission_state
{
  admission_options mOptions;
  std::map<workspace_id, workspace_load> mWorkspaces;
  std::map<std::string, target_queue> mTargets;
  std::map<request_handle, queued_request> mQueued;
  std::set<std::pair<absl::Time, request_handle>> mExpiries;
  // Requests that were displaced by others; the next TakeExpired returns them.
  std::vector<request_handle> mDisplaced;
};

// Admits, queues or refuses a new request. aFreeSlots is the number of requests
// for the target that the known backend servers can accept now, aSlots the
// number that they could accept if they were idle; if aSlots is 0, the reserved
// fractions refer to the free slots. A request counts against the concurrency
// limit of its workspace from its admission or queueing until RecordRequestEnd
// or until it leaves the queue without being admitted, and against the rate
// limit unless it is refused. Errors: ConcurrencyLimited, RateLimited,
// Overloaded, DeadlineExceeded, all with executed::No; mRetryAfter is the
// expected time until a retry can succeed.
admission_decision Admit(admission_state& aState,
                         const admission_request& aRequest,
                         const workspace_config& aWorkspace,
                         const fleet_config& aFleet, int aFreeSlots,
                         absl::Time aNow, int aSlots = 0);

// Returns the request that TakeAdmitted would return first; nothing if it would
// return none.
std::optional<request_handle> FindNextAdmitted(const admission_state& aState,
                                               const std::string& aTarget,
                                               int aFreeSlots, absl::Time aNow,
                                               int aSlots = 0);

// Removes and returns up to aFreeSlots queued requests of aTarget, in the
// order in which they are to run.
std::vector<request_handle> TakeAdmitted(admission_state& aState,
                                         const std::string& aTarget,
                                         int aFreeSlots, absl::Time aNow,
                                         int aSlots = 0);

// Removes and returns the queued requests whose maximum time in the queue has
// passed, and those displaced by others since the last call.
std::vector<request_handle> TakeExpired(admission_state& aState,
                                        absl::Time aNow);

// Removes a queued request, for example because its caller has disconnected.
// Does nothing if the request is not queued.
void CancelQueued(admission_state& aState, request_handle aHandle);

// Records that an admitted request has ended.
void RecordRequestEnd(admission_state& aState, const workspace_id& aWorkspace);

// Returns the earliest time at which TakeExpired returns a request:
// InfinitePast if one was displaced, InfiniteFuture if none is queued.
absl::Time GetNextExpiry(const admission_state& aState);

// Returns the estimated time that a new request of the class and workspace
// would wait for a slot, from the dequeue rate. While that is unknown, the
// estimate is the time in which the requests before it and the new one are
// taken at aExpectedRate, zero if that is 0.
absl::Duration EstimateWait(const admission_state& aState,
                            const std::string& aTarget,
                            priority_class aPriority,
                            const workspace_id& aWorkspace,
                            double aExpectedRate = 0);

// Returns the number of queued requests of the target.
std::size_t CountQueued(const admission_state& aState,
                        const std::string& aTarget);

// Returns the targets with queued requests, sorted by name.
std::vector<std::string> ListQueuedTargets(const admission_state& aState);

} // namespace foxtailquay

#endif
