// Choice of the backend server for one request.
//
// A router keeps one `backend_view` per backend server, from lagging load
// reports and from its own outstanding work, and asks ChooseBackend for each
// dispatch:
//
//   auto chosen = ChooseBackend(views, query, options, now, random);
//   RecordDispatch(views[*chosen], query, options, now);
//   ...
//   RecordRunEnd(views[*chosen], failed, options, now, chart);
//
// ChooseBackend compares estimated times to the first token. It takes time
// proportional to the number of views; a view holds at most
// kMaxLocalChanges + mMaxPrefixes entries.

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
#include "foxtailquay/config.h"
#include "foxtailquay/messages.h"

namespace foxtailquay {

using random_engine = std::mt19937_64;

struct routing_options
{
  // Consecutive failures after which a backend server is ejected.
  int mEjectAfterFailures = 3;
  // First ejection; it doubles with each further one in a row.
  absl::Duration mEjectionTime = absl::Seconds(5);
  absl::Duration mMaxEjectionTime = absl::Seconds(60);
  // Successes that a returning backend server needs to be healthy again.
  int mProbeSuccesses = 5;

  // Name of this router; decides on its subset of a large fleet.
  member_id mRouter;
  // Live routers, this one included.
  int mRouters = 1;
  // Backend servers of one target that this router uses, if they are usable.
  // 20 leaves a choice of healthy servers after the loss of a zone.
  int mSubsetSize = 20;

  // Backend servers drawn at random and compared, besides those that probably
  // hold the prompt's prefix; 0 compares all. With all compared, routers that
  // see the same old report would choose the same server.
  int mSampleSize = 2;
  // Age of a load report when it arrives.
  absl::Duration mReportLag = absl::Seconds(1);
  // Other routers, at most, that are assumed to have made the same net change
  // as this one since the report. One router's few dispatches are too rough a
  // sample to stand for more.
  double mMaxAssumedPeers = 3;

  // One-way delay between availability zones.
  absl::Duration mZoneDelay = absl::Microseconds(1500);
  // Time to load a model that is not loaded.
  absl::Duration mModelLoadTime = absl::Seconds(20);
  // Typical time that a run holds a slot.
  absl::Duration mRunTime = absl::Seconds(5);
  // Typical error of the estimated load, in runs: a server with fewer free
  // slots than this may be full.
  double mLoadError = 1.5;
  // Additional time to the first token on a server that is full but has no
  // queue.
  absl::Duration mFullLoadCost = absl::Milliseconds(100);
  // Added for a suspect backend server.
  absl::Duration mSuspectCost = absl::Milliseconds(500);
  double mPrefillTokensPerSecond = 8000;
  // Part of the slots that batch work leaves to the other classes.
  double mBatchReserve = 0.1;

  // Part of the slots that EstimateFreeSlots does not count, since the other
  // routers' latest dispatches are not known yet.
  double mSlotMargin = 0.04;

  // Prefixes remembered per backend server, from reports and own dispatches.
  std::size_t mMaxPrefixes = 1024;
  // How much longer than reading the shared part of a prompt again a request
  // may wait at the server where requests with its affinity meet. Routers do
  // not see each other's choices, so all use the same server.
  double mAffinityWeight = 0;
  // Time after which a remembered prefix counts half.
  absl::Duration mPrefixHalfLife = absl::Seconds(60);
};

// A change of this router's outstanding runs on one backend server.
struct local_change
{
  absl::Time mAt;
  int mDelta = 0;
};

// Most changes kept per backend server; more than one router makes on one
// server within the lag of a report.
constexpr std::size_t kMaxLocalChanges = 128;

struct known_prefix
{
  std::uint64_t mHash = 0;
  absl::Time mSeenAt = absl::InfinitePast();
};

struct backend_view
{
  backend_config mConfig;
  member_id mAgent;
  // Empty while the agent is not a member.
  std::string mAddress;
  incarnation_number mAgentIncarnation = 0;
  load_report mReport;
  absl::Time mReportedAt = absl::InfinitePast();
  // Runs that this router has dispatched and that have not ended.
  int mOutstanding = 0;
  int mFailures = 0;
  absl::Time mEjectedUntil = absl::InfinitePast();
  bool mLeaving = false;
  absl::Time mLeavingSince = absl::InfinitePast();
  // Health; see backend_health.h.
  backend_status mStatus = backend_status::Healthy;
  // Ejections since the backend server was last healthy.
  int mEjections = 0;
  // Successes of the present return.
  int mProbes = 0;
  // Changes of mOutstanding, oldest first.
  std::deque<local_change> mLocalChanges;
  // Prompt tokens that this router has sent and that are probably not
  // processed yet, as of mPrefillAt.
  double mPrefillBacklog = 0;
  absl::Time mPrefillAt = absl::InfinitePast();
  // Table of prefixes by hash; a newer prefix replaces one in its place.
  std::vector<known_prefix> mPrefixes;
};

struct routing_query
{
  backend_kind mKind = backend_kind::Engine;
  // Model or service name.
  std::string mTarget;
  zone_id mZone;
  // What requests have in common that should meet at one server; 0 if nothing.
  std::uint64_t mAffinity = 0;
  // Tokens of the part of the prompt that these requests share.
  token_count mSharedTokens = 0;
  // Hashes of prompt prefixes, shortest first.
  std::vector<std::uint64_t> mPrefixes;
  // Length of each prefix in tokens; empty if unknown, then the steps between
  // them count as equal.
  std::vector<token_count> mPrefixTokens;
  priority_class mPriority = priority_class::Standard;
  token_count mPromptTokens = 0;
  // Backend servers that already refused or failed this request.
  std::set<backend_id> mExclude;
};

// Returns the backend server to use, or nothing if none can serve the query.
// Looks at this router's subset first, then at all others, and last at
// ejected and returning backend servers, since an attempt there is better
// than none.
std::optional<backend_id> ChooseBackend(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options& aOptions, absl::Time aNow, random_engine& aRandom);

// How many further runs this router should send to the backend servers of the
// query now: its part of the slots that are probably free, at least 1 if any
// slot is free.
int EstimateFreeSlots(const std::map<backend_id, backend_view>& aViews,
                      const routing_query& aQuery,
                      const routing_options& aOptions, absl::Time aNow);

// This router's part of all slots of the backend servers of the query.
int CountSlots(const std::map<backend_id, backend_view>& aViews,
               const routing_query& aQuery, const routing_options& aOptions,
               absl::Time aNow);

// The subset of the backend servers of a target that this router uses,
// chosen by rendezvous hashing: a change of one server or router changes few
// subsets. All of them if there are no more than mSubsetSize.
std::set<backend_id> ComputeSubset(
  const std::map<backend_id, backend_view>& aViews, backend_kind aKind,
  const std::string& aTarget, const routing_options& aOptions);

// Runs and queued requests that are probably on the backend server, of all
// routers. aPeers is how many routers use the server, this one included.
double EstimateLoad(const backend_view& aView, double aPeers,
                    const routing_options& aOptions, absl::Time aNow);

// Estimated time to the first token.
absl::Duration EstimateDelay(const backend_view& aView,
                             const routing_query& aQuery, double aPeers,
                             const routing_options& aOptions, absl::Time aNow);

// Expected part of the prompt, 0 to 1, that the backend server has cached.
double EstimateCachedFraction(const backend_view& aView,
                              const routing_query& aQuery,
                              const routing_options& aOptions, absl::Time aNow);

// Tokens of the prompt that the backend server would probably have to read.
token_count EstimateUncachedTokens(const backend_view& aView,
                                   const routing_query& aQuery,
                                   const routing_options& aOptions,
                                   absl::Time aNow);

// Another router sent a prompt of which aTokens have to be read.
void RecordRemotePrompt(backend_view& aView, token_count aTokens,
                        const std::vector<std::uint64_t>& aPrefixes,
                        const routing_options& aOptions, absl::Time aNow);

// Takes a report unless a newer one is known. The overload with options also
// learns the report's cached prefixes.
void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      absl::Time aNow);
void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      const routing_options& aOptions, absl::Time aNow);

// A run was sent. The overload with the query also remembers its prefixes and
// prompt size.
void RecordDispatch(backend_view& aView, absl::Time aNow);
void RecordDispatch(backend_view& aView, const routing_query& aQuery,
                    const routing_options& aOptions, absl::Time aNow);

// The run ended; aFailed counts towards ejection. With a chart, the health
// follows it; without one, ejection is by consecutive failures only.
void RecordRunEnd(backend_view& aView, bool aFailed,
                  const routing_options& aOptions, absl::Time aNow,
                  const backend_chart* aChart = nullptr);

// True if the backend server is configured for the target.
bool IsConfiguredFor(const backend_config& aConfig, backend_kind aKind,
                     const std::string& aTarget);

} // namespace foxtailquay

#endif
