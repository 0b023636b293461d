#include "routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "routing_estimate.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Minimum estimated cached fraction of the prompt for which a server is always
// compared.
constexpr double kMinHolderFraction = 0.1;
// Number of servers that are estimated while the table of prefixes of one is
// loaded from memory: one estimate takes about 0.1 us.
constexpr std::size_t kPrefetchDistance = 4;

struct candidate
{
  const backend_id* mId = nullptr;
  const backend_view* mView = nullptr;
  std::uint64_t mRank = 0;
};

using candidates = std::vector<candidate>;

// The backend servers of a target. The first mSubsetCount of them are this
// router's subset.
struct ranked_backends
{
  candidates mCandidates;
  std::size_t mSubsetCount = 0;
  double mRoutersPerBackend = 1;
};

std::uint64_t ComputeHash(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

bool IsRankedBefore(const candidate& aLeft, const candidate& aRight)
{
  return aLeft.mRank != aRight.mRank ? aLeft.mRank > aRight.mRank
                                     : *aLeft.mId < *aRight.mId;
}

ranked_backends RankBackends(const std::map<backend_id, backend_view>& aViews,
                             backend_kind aKind, const std::string& aTarget,
                             const routing_options& aOptions)
{
  ranked_backends backends;
  backends.mCandidates.reserve(aViews.size());
  for (const auto& [id, view] : aViews) {
    if (IsConfiguredFor(view.mConfig, aKind, aTarget)) {
      backends.mCandidates.push_back({ &id, &view, 0 });
    }
  }
  const auto limit =
    static_cast<std::size_t>(std::max(1, aOptions.mSubsetSize));
  backends.mSubsetCount = std::min(limit, backends.mCandidates.size());
  backends.mRoutersPerBackend = std::max(1, aOptions.mRouters);
  if (backends.mSubsetCount < backends.mCandidates.size()) {
    const std::uint64_t seed = ComputeHash(aOptions.mRouter.mValue, 0);
    for (candidate& each : backends.mCandidates) {
      each.mRank = ComputeHash(each.mId->mValue, seed);
    }
    std::sort(backends.mCandidates.begin(), backends.mCandidates.end(),
              &IsRankedBefore);
    backends.mRoutersPerBackend =
      std::max(1.0, backends.mRoutersPerBackend *
                      static_cast<double>(backends.mSubsetCount) /
                      static_cast<double>(backends.mCandidates.size()));
  }
  return backends;
}

// Returns true if the server accepts runs, regardless of ejection and of all
// limits.
bool IsAvailable(const candidate& aCandidate, const routing_query& aQuery)
{
  const backend_view& view = *aCandidate.mView;
  return !view.mIsEvacuated && !view.mConfig.mDrain && !view.mLeaving &&
         !view.mReport.mLeaving && view.mStatus != backend_status::Leaving &&
         view.mStatus != backend_status::Gone && !view.mAddress.empty() &&
         aQuery.mExcludedBackends.count(*aCandidate.mId) == 0;
}

bool HasFreeSlot(const backend_view& aView)
{
  return aView.mOutstanding < aView.mConfig.mMaxConcurrency;
}

// Returns true if the server accepts runs and has a free slot and enough
// memory, regardless of ejection and of the limits that it states.
bool AcceptsRuns(const candidate& aCandidate, const routing_query& aQuery)
{
  return IsAvailable(aCandidate, aQuery) && HasFreeSlot(*aCandidate.mView) &&
         FitsMemory(*aCandidate.mView, aQuery);
}

// Returns the earliest time at which the server takes a request of this router,
// according to what it states and to whether it is cold.
absl::Time GetNextRunTime(const backend_view& aView, absl::Time aNow)
{
  return std::max({ aView.mRateLimit.mNextRunAt, aView.mBackoffUntil,
                    GetColdRunTime(aView.mCold, aNow) });
}

// Returns true if a limit restricts the requests of this router to the server.
bool IsLimited(const backend_view& aView, absl::Time aNow)
{
  return aView.mRateLimit.mStatus == rate_status::Limited ||
         IsColdLimited(aView.mCold, aNow);
}

// Returns the time until which an unused request of the server is kept for the
// requests that use limited servers first.
absl::Time GetSpareTime(const backend_view& aView, absl::Time aNow)
{
  return std::max(aView.mRateLimit.mSpareAt, IsColdLimited(aView.mCold, aNow)
                                               ? aView.mCold.mSpareAt
                                               : absl::InfinitePast());
}

// Returns true if the server can be used, regardless of ejection.
bool IsEligible(const candidate& aCandidate, const routing_query& aQuery,
                absl::Time aNow)
{
  const backend_view& view = *aCandidate.mView;
  return AcceptsRuns(aCandidate, aQuery) &&
         aNow >= view.mRateLimit.mNextRunAt && aNow >= view.mBackoffUntil &&
         aNow >= GetColdRunTime(view.mCold, aNow);
}

bool IsUsable(const candidate& aCandidate, const routing_query& aQuery,
              absl::Time aNow)
{
  return IsEligible(aCandidate, aQuery, aNow) &&
         aCandidate.mView->mCold.mStatus != cold_status::Unreachable &&
         aCandidate.mView->mOutstanding <
           GetConcurrencyLimit(*aCandidate.mView, aNow);
}

template<typename Predicate>
candidates FilterCandidates(const candidates& aFrom, std::size_t aBegin,
                            std::size_t aEnd, Predicate aKeep)
{
  candidates selected;
  selected.reserve(aEnd - aBegin);
  std::copy_if(aFrom.begin() + static_cast<std::ptrdiff_t>(aBegin),
               aFrom.begin() + static_cast<std::ptrdiff_t>(aEnd),
               std::back_inserter(selected), aKeep);
  return selected;
}

// Returns true if the server's rate limit speaks against using it.
bool IsKeptForOthers(const candidate& aCandidate, const routing_query& aQuery,
                     absl::Time aNow)
{
  return aQuery.mLimitedUse == limited_use::Last &&
         aNow < GetSpareTime(*aCandidate.mView, aNow);
}

// Returns the first non-empty list of: usable servers with a rate limit, if the
// query uses these first; usable servers of the subset, other usable servers,
// all eligible servers (kept for others, ejected, at the limit of Probing or
// not reached since their connections failed).
candidates ListCandidates(const ranked_backends& aBackends,
                          const routing_query& aQuery, absl::Time aNow)
{
  const auto usable = [&](const candidate& aEach) {
    return IsUsable(aEach, aQuery, aNow) &&
           !IsKeptForOthers(aEach, aQuery, aNow);
  };
  const auto limited = [&](const candidate& aEach) {
    return usable(aEach) && IsLimited(*aEach.mView, aNow);
  };
  const auto eligible = [&](const candidate& aEach) {
    return IsEligible(aEach, aQuery, aNow);
  };
  const std::size_t size = aBackends.mCandidates.size();
  candidates pool;
  if (aQuery.mLimitedUse == limited_use::First) {
    pool = FilterCandidates(aBackends.mCandidates, 0, size, limited);
  }
  if (pool.empty()) {
    pool = FilterCandidates(aBackends.mCandidates, 0, aBackends.mSubsetCount,
                            usable);
  }
  if (pool.empty()) {
    pool = FilterCandidates(aBackends.mCandidates, aBackends.mSubsetCount, size,
                            usable);
  }
  return pool.empty()
           ? FilterCandidates(aBackends.mCandidates, 0, size, eligible)
           : pool;
}

void RecordLocalChange(backend_view& aView, int aDelta, absl::Time aNow)
{
  aView.mOutstanding = std::max(0, aView.mOutstanding + aDelta);
  aView.mLocalChanges.push_back({ aNow, aDelta });
  while (aView.mLocalChanges.size() > kMaxLocalChanges ||
         aView.mLocalChanges.front().mAt < aNow - kReportExpiry) {
    aView.mLocalChanges.pop_front();
  }
}

void RecordPrefix(backend_view& aView, std::uint64_t aHash, absl::Time aSeenAt,
                  const routing_options& aOptions)
{
  if (aOptions.mMaxPrefixes == 0) {
    return;
  }
  aView.mPrefixes.resize(aOptions.mMaxPrefixes);
  known_prefix& entry = aView.mPrefixes[aHash % aView.mPrefixes.size()];
  if (entry.mSeenAt < aSeenAt) {
    entry = { aHash, aSeenAt };
  }
}

// Reduces aPool to a random sample of at most aCount candidates.
void ChooseSample(candidates& aPool, std::size_t aCount, random_engine& aRandom)
{
  for (std::size_t i = 0; i < aCount && i + 1 < aPool.size(); ++i) {
    std::uniform_int_distribution<std::size_t> index(i, aPool.size() - 1);
    std::swap(aPool[i], aPool[index(aRandom)]);
  }
  aPool.resize(std::min(aCount, aPool.size()));
}

struct best_choice
{
  const backend_id* mId = nullptr;
  // In seconds.
  double mDelay = std::numeric_limits<double>::infinity();
};

// The two servers preferred for the affinity of a query, the same at every
// router that has the same candidates; null if there is none.
struct affinity_backends
{
  const backend_view* mFirst = nullptr;
  const backend_view* mSecond = nullptr;
};

affinity_backends FindAffinityBackends(const candidates& aPool,
                                       const routing_query& aQuery)
{
  affinity_backends affinity;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  if (aQuery.mAffinity == 0) {
    return affinity;
  }
  for (const candidate& each : aPool) {
    const std::uint64_t rank =
      ComputeHash(each.mView->mAddress, aQuery.mAffinity);
    if (rank > first) {
      affinity.mSecond = affinity.mFirst;
      second = first;
      affinity.mFirst = each.mView;
      first = rank;
    } else if (rank > second) {
      affinity.mSecond = each.mView;
      second = rank;
    }
  }
  return affinity;
}

// Returns the penalty for processing the shared tokens on a server that is not
// expected to have them cached: none on the first preferred server, half on the
// second, and none for the tokens that the server is known to have. In seconds.
double ComputeAffinityPenalty(const backend_view& aView,
                              const affinity_backends& aAffinityBackends,
                              const routing_query& aQuery,
                              double aCachedFraction,
                              const routing_options& aOptions)
{
  if (aAffinityBackends.mFirst == nullptr ||
      &aView == aAffinityBackends.mFirst) {
    return 0;
  }
  const double missing = std::max(
    0.0, static_cast<double>(aQuery.mSharedTokens) -
           aCachedFraction * static_cast<double>(aQuery.mPromptTokens));
  const double processing = missing / aOptions.mPrefillTokensPerSecond;
  const double fraction = &aView == aAffinityBackends.mSecond ? 0.5 : 1;
  return processing * aOptions.mAffinityWeight * fraction;
}

void UpdateBestChoice(const candidates& aSample,
                      const affinity_backends& aAffinityBackends,
                      const routing_query& aQuery, double aRoutersPerBackend,
                      const routing_options& aOptions, absl::Time aNow,
                      best_choice& aChoice)
{
  for (std::size_t i = 0; i < aSample.size(); ++i) {
    const candidate& each = aSample[i];
    if (i + kPrefetchDistance < aSample.size()) {
      PrefetchPrefixes(*aSample[i + kPrefetchDistance].mView, aQuery);
    }
    const double cached =
      EstimateCachedFraction(*each.mView, aQuery, aOptions, aNow);
    const double delay = EstimateDelayWith(*each.mView, aQuery, cached,
                                           aRoutersPerBackend, aOptions, aNow) +
                         ComputeAffinityPenalty(*each.mView, aAffinityBackends,
                                                aQuery, cached, aOptions);
    if (delay < aChoice.mDelay) {
      aChoice = { each.mId, delay };
    }
  }
}

backend_id ChooseFromCandidates(candidates aPool, const routing_query& aQuery,
                                double aRoutersPerBackend,
                                const routing_options& aOptions,
                                absl::Time aNow, random_engine& aRandom)
{
  const std::size_t count = aOptions.mSampleSize > 0
                              ? static_cast<std::size_t>(aOptions.mSampleSize)
                              : aPool.size();
  // A small sample could miss the servers that have the model loaded, and the
  // model would be loaded once more. So only these are considered while one of
  // them has a free slot.
  candidates ready =
    FilterCandidates(aPool, 0, aPool.size(), [&](const candidate& aEach) {
      return IsTargetLoaded(*aEach.mView, aQuery, aNow);
    });
  const bool room =
    std::any_of(ready.begin(), ready.end(), [&](const candidate& aEach) {
      return EstimateLoad(*aEach.mView, aRoutersPerBackend, aOptions, aNow) <
             aEach.mView->mConfig.mMaxConcurrency;
    });
  candidates pool = room ? std::move(ready) : std::move(aPool);
  const affinity_backends affinity = FindAffinityBackends(pool, aQuery);
  best_choice choice;
  if (aOptions.mSampleSize > 0) {
    // Otherwise the comparison includes them anyway.
    candidates holders =
      FilterCandidates(pool, 0, pool.size(), [&](const candidate& aEach) {
        return EstimateCachedFraction(*aEach.mView, aQuery, aOptions, aNow) >=
               kMinHolderFraction;
      });
    ChooseSample(holders, count, aRandom);
    UpdateBestChoice(holders, affinity, aQuery, aRoutersPerBackend, aOptions,
                     aNow, choice);
  }
  ChooseSample(pool, count, aRandom);
  UpdateBestChoice(pool, affinity, aQuery, aRoutersPerBackend, aOptions, aNow,
                   choice);
  return *choice.mId;
}

} // namespace

bool IsConfiguredFor(const backend_config& aConfig, backend_kind aKind,
                     const std::string& aTarget)
{
  if (aConfig.mKind != aKind) {
    return false;
  }
  return aKind == backend_kind::Engine ? HasId(aConfig.mModels, aTarget)
                                       : HasId(aConfig.mServices, aTarget);
}

std::optional<backend_id> ChooseBackend(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options& aOptions, absl::Time aNow, random_engine& aRandom)
{
  const ranked_backends backends =
    RankBackends(aViews, aQuery.mKind, aQuery.mTarget, aOptions);
  candidates pool = ListCandidates(backends, aQuery, aNow);
  if (pool.empty()) {
    return std::nullopt;
  }
  return ChooseFromCandidates(std::move(pool), aQuery,
                              backends.mRoutersPerBackend, aOptions, aNow,
                              aRandom);
}

absl::Time FindNextRunTime(const std::map<backend_id, backend_view>& aViews,
                           const routing_query& aQuery, absl::Time aNow)
{
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [id, view] : aViews) {
    if (IsConfiguredFor(view.mConfig, aQuery.mKind, aQuery.mTarget) &&
        GetNextRunTime(view, aNow) > aNow &&
        AcceptsRuns({ &id, &view, 0 }, aQuery)) {
      next = std::min(next, GetNextRunTime(view, aNow));
    }
  }
  return next;
}

shortage FindShortage(const std::map<backend_id, backend_view>& aViews,
                      const routing_query& aQuery, absl::Time aNow)
{
  shortage lacking = shortage::Servers;
  for (const auto& [id, view] : aViews) {
    if (!IsConfiguredFor(view.mConfig, aQuery.mKind, aQuery.mTarget) ||
        !IsAvailable({ &id, &view, 0 }, aQuery) ||
        aNow < GetNextRunTime(view, aNow)) {
      continue;
    }
    if (HasFreeSlot(view)) {
      return shortage::Memory;
    }
    lacking = shortage::Slots;
  }
  return lacking;
}

std::vector<const backend_view*> ListUsableBackends(
  const std::map<backend_id, backend_view>& aViews, const routing_query& aQuery,
  const routing_options& aOptions, absl::Time aNow)
{
  std::vector<const backend_view*> usable;
  for (const candidate& each : ListCandidates(
         RankBackends(aViews, aQuery.mKind, aQuery.mTarget, aOptions), aQuery,
         aNow)) {
    usable.push_back(each.mView);
  }
  return usable;
}

int EstimateFreeSlots(const std::map<backend_id, backend_view>& aViews,
                      const routing_query& aQuery,
                      const routing_options& aOptions, absl::Time aNow)
{
  const ranked_backends backends =
    RankBackends(aViews, aQuery.mKind, aQuery.mTarget, aOptions);
  double free = 0;
  double net = 0;
  double slots = 0;
  for (const candidate& each : ListCandidates(backends, aQuery, aNow)) {
    const backend_view& view = *each.mView;
    // Ejected servers are candidates only if there are no others.
    const int limit = std::max(1, GetConcurrencyLimit(view, aNow));
    const double unused =
      limit - EstimateLoad(view, backends.mRoutersPerBackend, aOptions, aNow);
    slots += limit;
    net += unused;
    free += std::max(0.0, std::min<double>(limit - view.mOutstanding, unused));
  }
  // The estimates err in both directions. Without the bound by the net sum, the
  // errors would add up to free slots that do not exist. The margin is rounded
  // down so that it never removes the only slot of a small fleet.
  free = std::min(free, net - std::floor(aOptions.mSlotMarginFraction * slots));
  return static_cast<int>(
    std::ceil(std::floor(std::max(0.0, free)) / backends.mRoutersPerBackend));
}

int CountSlots(const std::map<backend_id, backend_view>& aViews,
               const routing_query& aQuery, const routing_options& aOptions,
               absl::Time aNow)
{
  const ranked_backends backends =
    RankBackends(aViews, aQuery.mKind, aQuery.mTarget, aOptions);
  double slots = 0;
  for (const candidate& each : ListCandidates(backends, aQuery, aNow)) {
    slots += std::max(1, GetConcurrencyLimit(*each.mView, aNow));
  }
  return static_cast<int>(std::ceil(slots / backends.mRoutersPerBackend));
}

std::set<backend_id> ComputeSubset(
  const std::map<backend_id, backend_view>& aViews, backend_kind aKind,
  const std::string& aTarget, const routing_options& aOptions)
{
  const ranked_backends backends =
    RankBackends(aViews, aKind, aTarget, aOptions);
  std::set<backend_id> subset;
  for (std::size_t i = 0; i < backends.mSubsetCount; ++i) {
    subset.insert(*backends.mCandidates[i].mId);
  }
  return subset;
}

void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      absl::Time aNow)
{
  if (aReport.mSequence <= aView.mReport.mSequence &&
      HasFreshReport(aView, aNow)) {
    return;
  }
  aView.mReport = aReport;
  aView.mReportedAt = aNow;
}

void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      const routing_options& aOptions, absl::Time aNow)
{
  RecordLoadReport(aView, aReport, aNow);
  if (aView.mReportedAt != aNow) {
    return;
  }
  // A prefix that is missing in a report is not removed, because the
  // cache events from which reports are made have gaps; its probability decays
  // instead.
  const std::size_t count =
    std::min(aReport.mCachedPrefixes.size(), aOptions.mMaxPrefixes);
  for (std::size_t i = 0; i < count; ++i) {
    RecordPrefix(aView, aReport.mCachedPrefixes[i], aNow - aOptions.mReportLag,
                 aOptions);
  }
}

void RecordDispatch(backend_view& aView, absl::Time aNow)
{
  RecordLocalChange(aView, 1, aNow);
}

void RecordDispatch(backend_view& aView, const routing_query& aQuery,
                    const routing_options& aOptions, absl::Time aNow)
{
  RecordDispatch(aView, aNow);
  if (aQuery.mKind != backend_kind::Engine) {
    return;
  }
  RecordRemotePrompt(aView,
                     EstimateUncachedTokens(aView, aQuery, aOptions, aNow),
                     aQuery.mPrefixes, aOptions, aNow);
}

void RecordRemotePrompt(backend_view& aView, token_count aTokens,
                        const std::vector<std::uint64_t>& aPrefixes,
                        const routing_options& aOptions, absl::Time aNow)
{
  AddPrompt(aView.mRemaining, static_cast<double>(aTokens),
            GetPromptRate(aView, aOptions), aNow);
  for (std::uint64_t hash : aPrefixes) {
    RecordPrefix(aView, hash, aNow, aOptions);
  }
}

void RecordRunEnd(backend_view& aView, bool aFailed,
                  const routing_options& aOptions, absl::Time aNow,
                  const backend_chart* aChart)
{
  RecordLocalChange(aView, -1, aNow);
  if (aChart != nullptr) {
    FireHealth(aView,
               aFailed ? backend_event::RunFailed : backend_event::RunSucceeded,
               aChart, aOptions, aNow);
    return;
  }
  if (!aFailed) {
    aView.mFailures = 0;
    return;
  }
  if (++aView.mFailures >= aOptions.mEjectAfterFailures) {
    aView.mEjectedUntil = aNow + aOptions.mEjectionTime;
    aView.mFailures = 0;
  }
}

} // namespace foxtailquay
