// Chooses the backend server for one request.
//
// A router keeps one `backend_view` per backend server, built from delayed load
// reports and from the runs that this router has dispatched, and calls
// ChooseBackend for each dispatch:
//
//   auto chosen = ChooseBackend(views, query, options, now, random);
//   RecordDispatch(views[*chosen], query, options, now);
//   ...
//   RecordRunEnd(views[*chosen], failed, options, now, chart);
//
// ChooseBackend compares the estimated times to the first token. It takes time
// proportional to the number of views; a view holds at most
// kMaxLocalChanges + mMaxPrefixes entries. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_ROUTING_H
#define FOXTAILQUAY_CORE_ROUTING_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "backend_health.h"
#include "cold_start.h"
#include "engine_memory.h"
#include "foxtailquay/config.h"
#include "foxtailquay/messages.h"
#include "rate_limit.h"
#include "remaining_work.h"
#include "slowness.h"
#include "slowness_period.h"
#include "work_model.h"

namespace foxtailquay {

using random_engine = std::mt19937_64;

struct routing_options
{
  // Consecutive failures after which a backend server is ejected.
  int mEjectAfterFailures = 3;
  // Duration of the first ejection. It doubles with each consecutive ejection,
  // up to mMaxEjectionTime.
  absl::Duration mEjectionTime = absl::Seconds(5);
  absl::Duration mMaxEjectionTime = absl::Seconds(60);
  // Successful runs after which a backend server in state Probing is healthy
  // again.
  int mProbeSuccesses = 5;

  // Name of this router; seed of the hash that selects its subset of a large
  // fleet.
  member_id mRouter;
  // Number of live routers, this one included.
  int mRouters = 1;
  // Maximum number of backend servers of one target that this router uses while
  // any of them is usable. 20 leaves several healthy servers after the loss of
  // an availability zone.
  int mSubsetSize = 20;

  // Number of randomly chosen backend servers that are compared, in addition to
  // those estimated to have the prompt's prefix cached; 0 compares all. If all
  // were compared, routers that have the same old report would choose the same
  // server.
  int mSampleSize = 2;
  // Assumed age of a load report when it arrives.
  absl::Duration mReportLag = absl::Seconds(1);
  // Maximum number of other routers that are assumed to have made the same net
  // change as this one since the report. One router makes too few
  // dispatches to extrapolate to more.
  double mMaxAssumedPeers = 3;

  // One-way delay between availability zones.
  absl::Duration mZoneDelay = absl::Microseconds(1500);
  // Time that an engine takes to load a model.
  absl::Duration mModelLoadTime = absl::Seconds(20);
  // Typical time that a run occupies a slot.
  absl::Duration mRunTime = absl::Seconds(5);
  // Typical error of the estimated load, in runs. A server with fewer estimated
  // free slots than this may be full.
  double mLoadError = 1.5;
  // Additional time to the first token on a server whose slots are all in use
  // but which has no queue; proportionally less on a less loaded server.
  absl::Duration mFullLoadPenalty = absl::Milliseconds(100);
  // Added to the estimated delay of a backend server in state Suspect.
  absl::Duration mSuspectPenalty = absl::Milliseconds(500);
  double mPrefillTokensPerSecond = 8000;
  // Time that a call of a plain service takes.
  absl::Duration mCallTime = absl::Milliseconds(60);
  // Fraction of the slots of a server that batch requests leave to the other
  // priority classes.
  double mBatchReserveFraction = 0.1;

  // Fraction of the slots that EstimateFreeSlots does not count, because the
  // latest dispatches of the other routers are not in the reports yet.
  double mSlotMarginFraction = 0.04;

  // Maximum number of prefixes stored per backend server, from load reports and
  // from dispatched prompts; 0 stores none.
  std::size_t mMaxPrefixes = 1024;
  // Penalty for a server that is not the preferred one of the query's affinity,
  // as a multiple of the time to process the shared tokens of the prompt; 0
  // ignores the affinity. Routers do not know each other's choices, so all
  // derive the preferred server from the affinity.
  double mAffinityWeight = 0;
  // Time after which the estimated probability that a prefix is still cached
  // has halved.
  absl::Duration mPrefixHalfLife = absl::Seconds(60);
};

// A change of the number of runs that this router has outstanding on one
// backend server.
struct local_change
{
  absl::Time mAt;
  int mDelta = 0;
};

// Maximum number of changes kept per backend server. One router makes fewer on
// one server within mReportLag.
constexpr std::size_t kMaxLocalChanges = 128;

// A prompt prefix that the backend server is estimated to have cached.
struct known_prefix
{
  std::uint64_t mHash = 0;
  absl::Time mSeenAt = absl::InfinitePast();
};

// The state of one backend server as known to one router.
struct backend_view
{
  backend_config mConfig;
  member_id mAgent;
  // Address of the agent; empty while the agent is not a member.
  std::string mAddress;
  incarnation_number mAgentIncarnation = 0;
  load_report mReport;
  absl::Time mReportedAt = absl::InfinitePast();
  // Runs that this router has dispatched and that have not ended.
  int mOutstanding = 0;
  // Consecutive failed runs.
  int mFailures = 0;
  absl::Time mEjectedUntil = absl::InfinitePast();
  bool mLeaving = false;
  absl::Time mLeavingSince = absl::InfinitePast();
  // Health; see backend_health.h.
  backend_status mStatus = backend_status::Healthy;
  // Ejections since the backend server was last healthy.
  int mEjections = 0;
  // Limit that the server states.
  rate_limit mRateLimit;
  // Its present speed, as it states it, and what was learned from that.
  stated_slowness mSlowness;
  statement_history mStatements;
  // Whether it has started a short time ago, and its limit then.
  cold_state mCold;
  // True if its availability zone is evacuated: it gets no requests.
  bool mIsEvacuated = false;
  // Time before which the server wants no requests of this router.
  absl::Time mBackoffUntil = absl::InfinitePast();
  // Tokens held, if the server is an engine.
  engine_memory mMemory;
  // Successful runs since the start of state Probing.
  int mSuccessfulProbes = 0;
  // Changes of mOutstanding, oldest first.
  std::deque<local_change> mLocalChanges;
  // Prompt tokens that were sent and are not processed yet.
  remaining_work mRemaining;
  // Learned speed, and the rates that follow from it.
  learned_speed mSpeed;
  work_rates mRates;
  // Table of prefixes, indexed by hash modulo its size; a newer prefix replaces
  // an older one at the same index.
  std::vector<known_prefix> mPrefixes;
};

// How a query uses servers that state a rate limit. Such a limit counts
// requests, so these servers relieve the others most if they get the costliest
// requests.
enum class limited_use
{
  // Like other servers.
  Alike,
  // Before other servers.
  First,
  // After other servers, unless they have a request to spare.
  Last,
};

constexpr auto NameTable(limited_use)
{
  return MakeNameTable<limited_use>({ { limited_use::Alike, "alike" },
                                      { limited_use::First, "first" },
                                      { limited_use::Last, "last" } });
}

struct routing_query
{
  backend_kind mKind = backend_kind::Engine;
  // Model or service name.
  std::string mTarget;
  zone_id mZone;
  // Equal for requests that should use the same server because their prompts
  // have a common part; 0 if there is none.
  std::uint64_t mAffinity = 0;
  // Number of prompt tokens that requests with this affinity have in common.
  token_count mSharedTokens = 0;
  // Hashes of prompt prefixes, shortest first.
  std::vector<std::uint64_t> mPrefixes;
  // Length of each prefix in tokens. If it is empty, the lengths are unknown
  // and taken as evenly spaced.
  std::vector<token_count> mPrefixTokens;
  priority_class mPriority = priority_class::Standard;
  token_count mPromptTokens = 0;
  limited_use mLimitedUse = limited_use::Alike;
  // Memory that the request needs at an engine.
  memory_need mMemory;
  // Backend servers that already refused or failed this request.
  std::set<backend_id> mExcludedBackends;
};

// Returns the backend server to use, or nullopt if none can serve the query.
// Prefers usable servers of this router's subset, then other usable servers,
// then ejected servers and servers in state Probing that are at their limit,
// since an attempt there is better than none.
std::optional<backend_id> ChooseBackend(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options& aOptions, absl::Time aNow, random_engine& aRandom);

// Returns the earliest time at which a server of the query that cannot be used
// now because of what it states can be used; InfiniteFuture if there is none.
absl::Time FindNextRunTime(const std::map<backend_id, backend_view>& aViews,
                           const routing_query& aQuery, absl::Time aNow);

// What the servers of a query lack that could take it otherwise.
enum class shortage
{
  // There is no such server.
  Servers,
  // This router uses as many slots of each as there are.
  Slots,
  // The engines hold too many tokens.
  Memory,
};

constexpr auto NameTable(shortage)
{
  return MakeNameTable<shortage>({ { shortage::Servers, "servers" },
                                   { shortage::Slots, "slots" },
                                   { shortage::Memory, "memory" } });
}

// Returns what is lacking. Precondition: ChooseBackend has returned none.
shortage FindShortage(const std::map<backend_id, backend_view>& aViews,
                      const routing_query& aQuery, absl::Time aNow);

// Returns the servers from which ChooseBackend chooses.
std::vector<const backend_view*> ListUsableBackends(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options& aOptions, absl::Time aNow);

// Returns how many further runs this router should send to the backend servers
// of the query now: its fraction of the estimated free slots, at least 1 if any
// slot is estimated to be free.
int EstimateFreeSlots(const std::map<backend_id, backend_view>& aViews,
                      const routing_query& aQuery,
                      const routing_options& aOptions, absl::Time aNow);

// Returns this router's fraction of all slots of the backend servers of the
// query, in slots.
int CountSlots(const std::map<backend_id, backend_view>& aViews,
               const routing_query& aQuery, const routing_options& aOptions,
               absl::Time aNow);

// Returns the subset of the backend servers of a target that this router uses,
// selected by rendezvous hashing, so that the addition or removal of one server
// or router changes few subsets. Returns all of them if there are at most
// mSubsetSize.
std::set<backend_id> ComputeSubset(
  const std::map<backend_id, backend_view>& aViews, backend_kind aKind,
  const std::string& aTarget, const routing_options& aOptions);

// Returns the estimated number of runs and queued requests of all routers on
// the backend server. aRoutersPerBackend is the number of routers that use the
// server, this one included.
double EstimateLoad(const backend_view& aView, double aRoutersPerBackend,
                    const routing_options& aOptions, absl::Time aNow);

// Returns the prompt tokens that the server processes in a second.
double GetPromptRate(const backend_view& aView,
                     const routing_options& aOptions);

// Returns the estimated time to the first token.
absl::Duration EstimateDelay(const backend_view& aView,
                             const routing_query& aQuery,
                             double aRoutersPerBackend,
                             const routing_options& aOptions, absl::Time aNow);

// Returns the estimated fraction of the prompt, 0 to 1, that the backend server
// has cached.
double EstimateCachedFraction(const backend_view& aView,
                              const routing_query& aQuery,
                              const routing_options& aOptions, absl::Time aNow);

// Returns the estimated number of prompt tokens that the backend server has to
// process because they are not cached.
token_count EstimateUncachedTokens(const backend_view& aView,
                                   const routing_query& aQuery,
                                   const routing_options& aOptions,
                                   absl::Time aNow);

// Records that a prompt with aTokens tokens to process was sent to the backend
// server by another router.
void RecordRemotePrompt(backend_view& aView, token_count aTokens,
                        const std::vector<std::uint64_t>& aPrefixes,
                        const routing_options& aOptions, absl::Time aNow);

// Records a load report unless a newer one is known. The overload with options
// also records the report's cached prefixes.
void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      absl::Time aNow);
void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      const routing_options& aOptions, absl::Time aNow);

// Records that this router has dispatched a run. The overload with the query
// also records its prefixes and prompt size.
void RecordDispatch(backend_view& aView, absl::Time aNow);
void RecordDispatch(backend_view& aView, const routing_query& aQuery,
                    const routing_options& aOptions, absl::Time aNow);

// Records the end of a run; a failed one counts towards ejection. With a chart,
// the chart decides on the health; without one, mEjectAfterFailures consecutive
// failures eject the server.
void RecordRunEnd(backend_view& aView, bool aFailed,
                  const routing_options& aOptions, absl::Time aNow,
                  const backend_chart* aChart = nullptr);

// Returns true if the backend server is configured to serve the target.
bool IsConfiguredFor(const backend_config& aConfig, backend_kind aKind,
                     const std::string& aTarget);

} // namespace foxtailquay

#endif
