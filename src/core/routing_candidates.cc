#include "routing_candidates.h"

#include "xxhash.h"

namespace foxtailquay {

namespace {

bool IsRankedBefore(const candidate& aLeft, const candidate& aRight)
{
  return aLeft.mRank != aRight.mRank ? aLeft.mRank > aRight.mRank
                                     : *aLeft.mId < *aRight.mId;
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

// Returns true if the server's rate limit speaks against using it.
bool IsKeptForOthers(const candidate& aCandidate, const routing_query& aQuery,
                     absl::Time aNow)
{
  return aQuery.mLimitedUse == limited_use::Last &&
         aNow < GetSpareTime(*aCandidate.mView, aNow);
}

// Returns which limit of the server does not allow a request now; Usable if
// none does.
server_verdict CheckLimits(const backend_view& aView, absl::Time aNow)
{
  if (aNow < aView.mBackoffUntil) {
    return server_verdict::BackedOff;
  }
  if (aNow < aView.mRateLimit.mNextRunAt) {
    return server_verdict::RateLimited;
  }
  return aNow < GetColdRunTime(aView.mCold, aNow) ? server_verdict::ColdLimited
                                                  : server_verdict::Usable;
}

} // namespace

std::uint64_t ComputeHash(const std::string& aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
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

server_verdict CheckAvailability(const candidate& aCandidate,
                                 const routing_query& aQuery)
{
  const backend_view& view = *aCandidate.mView;
  if (view.mIsEvacuated) {
    return server_verdict::Evacuated;
  }
  if (view.mConfig.mDrain) {
    return server_verdict::Draining;
  }
  if (view.mLeaving || view.mReport.mLeaving ||
      view.mStatus == backend_status::Leaving ||
      view.mStatus == backend_status::Gone) {
    return server_verdict::Leaving;
  }
  if (view.mAddress.empty()) {
    return server_verdict::NoAddress;
  }
  return aQuery.mExcludedBackends.count(*aCandidate.mId) == 0
           ? server_verdict::Usable
           : server_verdict::AlreadyTried;
}

bool HasFreeSlot(const backend_view& aView)
{
  return aView.mOutstanding < aView.mConfig.mMaxConcurrency;
}

server_verdict CheckCapacity(const candidate& aCandidate,
                             const routing_query& aQuery)
{
  const server_verdict availability = CheckAvailability(aCandidate, aQuery);
  if (availability != server_verdict::Usable) {
    return availability;
  }
  if (!HasFreeSlot(*aCandidate.mView)) {
    return server_verdict::NoSlot;
  }
  return FitsMemory(*aCandidate.mView, aQuery) ? server_verdict::Usable
                                               : server_verdict::NoMemory;
}

server_verdict CheckServer(const candidate& aCandidate,
                           const routing_query& aQuery, absl::Time aNow)
{
  const backend_view& view = *aCandidate.mView;
  const server_verdict capacity = CheckCapacity(aCandidate, aQuery);
  if (capacity != server_verdict::Usable) {
    return capacity;
  }
  const server_verdict limits = CheckLimits(view, aNow);
  if (limits != server_verdict::Usable) {
    return limits;
  }
  if (view.mCold.mStatus == cold_status::Unreachable) {
    return server_verdict::Unreachable;
  }
  if (view.mOutstanding >= GetConcurrencyLimit(view, aNow)) {
    return view.mStatus == backend_status::Probing ? server_verdict::Probing
                                                   : server_verdict::Ejected;
  }
  return IsKeptForOthers(aCandidate, aQuery, aNow)
           ? server_verdict::KeptForCostlier
           : server_verdict::Usable;
}

bool IsLastResort(server_verdict aVerdict)
{
  switch (aVerdict) {
    case server_verdict::Usable:
    case server_verdict::Unreachable:
    case server_verdict::Ejected:
    case server_verdict::Probing:
    case server_verdict::KeptForCostlier:
      return true;
    default:
      return false;
  }
}

absl::Time GetNextRunTime(const backend_view& aView, absl::Time aNow)
{
  return std::max({ aView.mRateLimit.mNextRunAt, aView.mBackoffUntil,
                    GetColdRunTime(aView.mCold, aNow) });
}

candidates ListCandidates(const ranked_backends& aBackends,
                          const routing_query& aQuery, absl::Time aNow)
{
  const auto usable = [&](const candidate& aEach) {
    return CheckServer(aEach, aQuery, aNow) == server_verdict::Usable;
  };
  const auto limited = [&](const candidate& aEach) {
    return usable(aEach) && IsLimited(*aEach.mView, aNow);
  };
  const auto eligible = [&](const candidate& aEach) {
    return IsLastResort(CheckServer(aEach, aQuery, aNow));
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

} // namespace foxtailquay
