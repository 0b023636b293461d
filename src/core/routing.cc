#include "routing.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "xxhash.h"

namespace foxtailquay {

namespace {

// A report older than this says nothing about the present load, and a report
// with a lower sequence number is then taken: the agent has restarted.
constexpr absl::Duration kReportExpiry = absl::Seconds(10);
// A smaller expected part does not make a server a holder of the prefix.
constexpr double kHolderPart = 0.1;

struct candidate
{
  const backend_id* mId = nullptr;
  const backend_view* mView = nullptr;
  std::uint64_t mRank = 0;
};

using candidates = std::vector<candidate>;

// The backend servers of a target, those of the subset first.
struct fleet_part
{
  candidates mServing;
  std::size_t mSubset = 0;
  double mPeers = 1;
};

template<typename Id>
bool HasId(const std::vector<Id>& aIds, const std::string& aText)
{
  return std::any_of(aIds.begin(), aIds.end(),
                     [&aText](const Id& aId) { return aId.mValue == aText; });
}

std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

bool ComesFirst(const candidate& aLeft, const candidate& aRight)
{
  return aLeft.mRank != aRight.mRank ? aLeft.mRank > aRight.mRank
                                     : *aLeft.mId < *aRight.mId;
}

fleet_part PartOf(const std::map<backend_id, backend_view>& aViews,
                  backend_kind aKind, const std::string& aTarget,
                  const routing_options& aOptions)
{
  fleet_part part;
  for (const auto& [id, view] : aViews) {
    if (IsConfiguredFor(view.mConfig, aKind, aTarget)) {
      part.mServing.push_back({ &id, &view, 0 });
    }
  }
  const auto limit =
    static_cast<std::size_t>(std::max(1, aOptions.mSubsetSize));
  part.mSubset = std::min(limit, part.mServing.size());
  part.mPeers = std::max(1, aOptions.mRouters);
  if (part.mSubset < part.mServing.size()) {
    const std::uint64_t seed = HashOf(aOptions.mRouter.mValue, 0);
    for (candidate& each : part.mServing) {
      each.mRank = HashOf(each.mId->mValue, seed);
    }
    std::sort(part.mServing.begin(), part.mServing.end(), &ComesFirst);
    part.mPeers =
      std::max(1.0, part.mPeers * static_cast<double>(part.mSubset) /
                      static_cast<double>(part.mServing.size()));
  }
  return part;
}

bool IsOpen(const candidate& aCandidate, const routing_query& aQuery)
{
  const backend_view& view = *aCandidate.mView;
  return !view.mConfig.mDrain && !view.mLeaving && !view.mReport.mLeaving &&
         view.mStatus != backend_status::Leaving &&
         view.mStatus != backend_status::Gone && !view.mAddress.empty() &&
         view.mOutstanding < view.mConfig.mMaxConcurrency &&
         aQuery.mExclude.count(*aCandidate.mId) == 0;
}

bool IsUsable(const candidate& aCandidate, const routing_query& aQuery,
              absl::Time aNow)
{
  return IsOpen(aCandidate, aQuery) &&
         aCandidate.mView->mOutstanding <
           GetConcurrencyLimit(*aCandidate.mView, aNow);
}

template<typename Predicate>
candidates Filter(const candidates& aFrom, std::size_t aBegin, std::size_t aEnd,
                  Predicate aKeep)
{
  candidates kept;
  std::copy_if(aFrom.begin() + static_cast<std::ptrdiff_t>(aBegin),
               aFrom.begin() + static_cast<std::ptrdiff_t>(aEnd),
               std::back_inserter(kept), aKeep);
  return kept;
}

// The first non-empty one of: usable in the subset, usable elsewhere, ejected
// or returning.
candidates PoolOf(const fleet_part& aPart, const routing_query& aQuery,
                  absl::Time aNow)
{
  const auto usable = [&](const candidate& aEach) {
    return IsUsable(aEach, aQuery, aNow);
  };
  const auto open = [&](const candidate& aEach) {
    return IsOpen(aEach, aQuery);
  };
  const std::size_t size = aPart.mServing.size();
  candidates pool = Filter(aPart.mServing, 0, aPart.mSubset, usable);
  if (pool.empty()) {
    pool = Filter(aPart.mServing, aPart.mSubset, size, usable);
  }
  return pool.empty() ? Filter(aPart.mServing, 0, size, open) : pool;
}

bool HasReport(const backend_view& aView, absl::Time aNow)
{
  return aNow - aView.mReportedAt <= kReportExpiry;
}

bool IsReady(const backend_view& aView, const routing_query& aQuery,
             absl::Time aNow)
{
  return aQuery.mKind != backend_kind::Engine || !HasReport(aView, aNow) ||
         HasId(aView.mReport.mLoadedModels, aQuery.mTarget);
}

// This router's net change on the backend server since the state that the
// report describes.
int ChangeSinceReport(const backend_view& aView,
                      const routing_options& aOptions)
{
  const absl::Time since = aView.mReportedAt - aOptions.mReportLag;
  int change = 0;
  for (auto it = aView.mLocalChanges.rbegin();
       it != aView.mLocalChanges.rend() && it->mAt > since; ++it) {
    change += it->mDelta;
  }
  return change;
}

void RecordChange(backend_view& aView, int aDelta, absl::Time aNow)
{
  aView.mOutstanding = std::max(0, aView.mOutstanding + aDelta);
  aView.mLocalChanges.push_back({ aNow, aDelta });
  while (aView.mLocalChanges.size() > kMaxLocalChanges ||
         aView.mLocalChanges.front().mAt < aNow - kReportExpiry) {
    aView.mLocalChanges.pop_front();
  }
}

void Remember(backend_view& aView, std::uint64_t aHash, absl::Time aSeenAt,
              const routing_options& aOptions)
{
  if (aOptions.mMaxPrefixes == 0) {
    return;
  }
  aView.mPrefixes.resize(aOptions.mMaxPrefixes);
  known_prefix& place = aView.mPrefixes[aHash % aView.mPrefixes.size()];
  if (place.mSeenAt < aSeenAt) {
    place = { aHash, aSeenAt };
  }
}

double PrefillBacklog(const backend_view& aView,
                      const routing_options& aOptions, absl::Time aNow)
{
  const double done = absl::ToDoubleSeconds(aNow - aView.mPrefillAt) *
                      aOptions.mPrefillTokensPerSecond;
  return std::max(0.0, aView.mPrefillBacklog - done);
}

// Expected positive part of a value that is known with an error: a smooth form
// of max(0, aMean).
double ExpectedExcess(double aMean, double aError)
{
  if (aError <= 0 || aMean > 20 * aError) {
    return std::max(0.0, aMean);
  }
  return aError * std::log1p(std::exp(aMean / aError));
}

// Moves aCount candidates drawn at random to the front.
void Draw(candidates& aPool, std::size_t aCount, random_engine& aRandom)
{
  for (std::size_t i = 0; i < aCount && i + 1 < aPool.size(); ++i) {
    std::uniform_int_distribution<std::size_t> pick(i, aPool.size() - 1);
    std::swap(aPool[i], aPool[pick(aRandom)]);
  }
  aPool.resize(std::min(aCount, aPool.size()));
}

struct scored_choice
{
  const candidate* mBest = nullptr;
  absl::Duration mDelay = absl::InfiniteDuration();
};

// The servers where requests with the query's affinity should meet, the same at
// every router that sees the same pool; null where there are none.
struct meeting_places
{
  const backend_view* mFirst = nullptr;
  const backend_view* mSecond = nullptr;
};

meeting_places MeetingPlacesIn(const candidates& aPool,
                               const routing_query& aQuery)
{
  meeting_places places;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  if (aQuery.mAffinity == 0) {
    return places;
  }
  for (const candidate& each : aPool) {
    const std::uint64_t rank = HashOf(each.mView->mAddress, aQuery.mAffinity);
    if (rank > first) {
      places.mSecond = places.mFirst;
      second = first;
      places.mFirst = each.mView;
      first = rank;
    } else if (rank > second) {
      places.mSecond = each.mView;
      second = rank;
    }
  }
  return places;
}

// Cost of reading the shared part at a server where it is probably not kept:
// none at the first meeting place, half at the second.
absl::Duration AffinityCost(const backend_view& aView,
                            const meeting_places& aPlaces,
                            const routing_query& aQuery,
                            const routing_options& aOptions)
{
  if (aPlaces.mFirst == nullptr || &aView == aPlaces.mFirst) {
    return absl::ZeroDuration();
  }
  const absl::Duration reading =
    absl::Seconds(static_cast<double>(aQuery.mSharedTokens) /
                  aOptions.mPrefillTokensPerSecond);
  const double part = &aView == aPlaces.mSecond ? 0.5 : 1;
  return reading * aOptions.mAffinityWeight * part;
}

void Compare(const candidates& aDrawn, const meeting_places& aPlaces,
             const routing_query& aQuery, double aPeers,
             const routing_options& aOptions, absl::Time aNow,
             scored_choice& aChoice)
{
  for (const candidate& each : aDrawn) {
    const absl::Duration delay =
      EstimateDelay(*each.mView, aQuery, aPeers, aOptions, aNow) +
      AffinityCost(*each.mView, aPlaces, aQuery, aOptions);
    if (delay < aChoice.mDelay) {
      aChoice = { &each, delay };
    }
  }
}

backend_id Pick(candidates aPool, const routing_query& aQuery, double aPeers,
                const routing_options& aOptions, absl::Time aNow,
                random_engine& aRandom)
{
  const std::size_t count = aOptions.mSampleSize > 0
                              ? static_cast<std::size_t>(aOptions.mSampleSize)
                              : aPool.size();
  // A draw of a few could miss the servers that have the model loaded, which
  // would cost a load, so these are preferred while one of them has room.
  candidates ready =
    Filter(aPool, 0, aPool.size(), [&](const candidate& aEach) {
      return IsReady(*aEach.mView, aQuery, aNow);
    });
  const bool room =
    std::any_of(ready.begin(), ready.end(), [&](const candidate& aEach) {
      return EstimateLoad(*aEach.mView, aPeers, aOptions, aNow) <
             aEach.mView->mConfig.mMaxConcurrency;
    });
  candidates pool = room ? std::move(ready) : std::move(aPool);
  candidates holders =
    Filter(pool, 0, pool.size(), [&](const candidate& aEach) {
      return EstimateCachedFraction(*aEach.mView, aQuery, aOptions, aNow) >=
             kHolderPart;
    });
  const meeting_places places = MeetingPlacesIn(pool, aQuery);
  Draw(pool, count, aRandom);
  Draw(holders, count, aRandom);
  scored_choice choice;
  Compare(holders, places, aQuery, aPeers, aOptions, aNow, choice);
  Compare(pool, places, aQuery, aPeers, aOptions, aNow, choice);
  return *choice.mBest->mId;
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
  const fleet_part part =
    PartOf(aViews, aQuery.mKind, aQuery.mTarget, aOptions);
  candidates pool = PoolOf(part, aQuery, aNow);
  if (pool.empty()) {
    return std::nullopt;
  }
  return Pick(std::move(pool), aQuery, part.mPeers, aOptions, aNow, aRandom);
}

int EstimateFreeSlots(const std::map<backend_id, backend_view>& aViews,
                      const routing_query& aQuery,
                      const routing_options& aOptions, absl::Time aNow)
{
  const fleet_part part =
    PartOf(aViews, aQuery.mKind, aQuery.mTarget, aOptions);
  double free = 0;
  double net = 0;
  double slots = 0;
  for (const candidate& each : PoolOf(part, aQuery, aNow)) {
    const backend_view& view = *each.mView;
    // Ejected servers are in the pool only if there are no others.
    const int limit = std::max(1, GetConcurrencyLimit(view, aNow));
    const double left = limit - EstimateLoad(view, part.mPeers, aOptions, aNow);
    slots += limit;
    net += left;
    free += std::max(0.0, std::min<double>(limit - view.mOutstanding, left));
  }
  // Estimates err in both directions. Without the net sum, the errors would
  // add up to free slots that do not exist. The margin is rounded down so that
  // it never takes the only slot of a small fleet.
  free = std::min(free, net - std::floor(aOptions.mSlotMargin * slots));
  return static_cast<int>(
    std::ceil(std::floor(std::max(0.0, free)) / part.mPeers));
}

int CountSlots(const std::map<backend_id, backend_view>& aViews,
               const routing_query& aQuery, const routing_options& aOptions,
               absl::Time aNow)
{
  const fleet_part part =
    PartOf(aViews, aQuery.mKind, aQuery.mTarget, aOptions);
  double slots = 0;
  for (const candidate& each : PoolOf(part, aQuery, aNow)) {
    slots += std::max(1, GetConcurrencyLimit(*each.mView, aNow));
  }
  return static_cast<int>(std::ceil(slots / part.mPeers));
}

std::set<backend_id> ComputeSubset(
  const std::map<backend_id, backend_view>& aViews, backend_kind aKind,
  const std::string& aTarget, const routing_options& aOptions)
{
  const fleet_part part = PartOf(aViews, aKind, aTarget, aOptions);
  std::set<backend_id> subset;
  for (std::size_t i = 0; i < part.mSubset; ++i) {
    subset.insert(*part.mServing[i].mId);
  }
  return subset;
}

double EstimateLoad(const backend_view& aView, double aPeers,
                    const routing_options& aOptions, absl::Time aNow)
{
  const double own = aView.mOutstanding;
  if (!HasReport(aView, aNow)) {
    // The best guess about the other routers is that they do the same.
    return own * aPeers;
  }
  const int change = ChangeSinceReport(aView, aOptions);
  const double others = std::max(0.0, aView.mReport.mRunning +
                                        aView.mReport.mQueued - (own - change));
  // Only additions are extrapolated: a slot that another router has freed is
  // most likely taken again by its own queue.
  const double sent =
    std::max(0, change) * std::min(aPeers - 1, aOptions.mMaxAssumedPeers);
  return own + others + sent;
}

namespace {

// Length of a prefix as a part of the prompt, 0 to 1.
double LengthOf(const routing_query& aQuery, std::size_t aIndex)
{
  const std::size_t count = aQuery.mPrefixes.size();
  if (aQuery.mPrefixTokens.size() == count && aQuery.mPrefixTokens.back() > 0) {
    return static_cast<double>(aQuery.mPrefixTokens[aIndex]) /
           static_cast<double>(aQuery.mPrefixTokens.back());
  }
  return (static_cast<double>(aIndex) + 1) / static_cast<double>(count);
}

} // namespace

double EstimateCachedFraction(const backend_view& aView,
                              const routing_query& aQuery,
                              const routing_options& aOptions, absl::Time aNow)
{
  if (aView.mPrefixes.empty()) {
    return 0;
  }
  double part = 0;
  for (std::size_t i = 0; i < aQuery.mPrefixes.size(); ++i) {
    const std::uint64_t hash = aQuery.mPrefixes[i];
    const known_prefix& known = aView.mPrefixes[hash % aView.mPrefixes.size()];
    if (known.mHash == hash) {
      const double halvings =
        absl::FDivDuration(std::max(absl::ZeroDuration(), aNow - known.mSeenAt),
                           aOptions.mPrefixHalfLife);
      part = std::max(part, LengthOf(aQuery, i) * std::exp2(-halvings));
    }
  }
  return part;
}

token_count EstimateUncachedTokens(const backend_view& aView,
                                   const routing_query& aQuery,
                                   const routing_options& aOptions,
                                   absl::Time aNow)
{
  return static_cast<token_count>(
    static_cast<double>(aQuery.mPromptTokens) *
    (1 - EstimateCachedFraction(aView, aQuery, aOptions, aNow)));
}

absl::Duration EstimateDelay(const backend_view& aView,
                             const routing_query& aQuery, double aPeers,
                             const routing_options& aOptions, absl::Time aNow)
{
  absl::Duration delay = absl::ZeroDuration();
  if (aView.mConfig.mZone != aQuery.mZone) {
    delay += 2 * aOptions.mZoneDelay;
  }
  if (!IsReady(aView, aQuery, aNow)) {
    delay += aOptions.mModelLoadTime;
  }
  if (aView.mStatus == backend_status::Suspect) {
    delay += aOptions.mSuspectCost;
  }
  const double reserve =
    aQuery.mPriority == priority_class::Batch ? aOptions.mBatchReserve : 0;
  const double slots =
    std::max(1.0, aView.mConfig.mMaxConcurrency * (1 - reserve));
  const double load = EstimateLoad(aView, aPeers, aOptions, aNow);
  delay += aOptions.mFullLoadCost * (load / slots);
  delay += aOptions.mRunTime *
           (ExpectedExcess(load + 1 - slots, aOptions.mLoadError) / slots);
  if (aQuery.mKind == backend_kind::Engine) {
    const double tokens = static_cast<double>(EstimateUncachedTokens(
                            aView, aQuery, aOptions, aNow)) +
                          PrefillBacklog(aView, aOptions, aNow);
    delay += absl::Seconds(tokens / aOptions.mPrefillTokensPerSecond);
  }
  return delay;
}

void RecordLoadReport(backend_view& aView, const load_report& aReport,
                      absl::Time aNow)
{
  if (aReport.mSequence <= aView.mReport.mSequence && HasReport(aView, aNow)) {
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
  // A prefix that a report lacks is not forgotten, because the cache events
  // behind the report have gaps; its confidence decays instead.
  const std::size_t count =
    std::min(aReport.mCachedPrefixes.size(), aOptions.mMaxPrefixes);
  for (std::size_t i = 0; i < count; ++i) {
    Remember(aView, aReport.mCachedPrefixes[i], aNow - aOptions.mReportLag,
             aOptions);
  }
}

void RecordDispatch(backend_view& aView, absl::Time aNow)
{
  RecordChange(aView, 1, aNow);
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
  aView.mPrefillBacklog =
    PrefillBacklog(aView, aOptions, aNow) + static_cast<double>(aTokens);
  aView.mPrefillAt = aNow;
  for (std::uint64_t hash : aPrefixes) {
    Remember(aView, hash, aNow, aOptions);
  }
}

void RecordRunEnd(backend_view& aView, bool aFailed,
                  const routing_options& aOptions, absl::Time aNow,
                  const backend_chart* aChart)
{
  RecordChange(aView, -1, aNow);
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
