// Estimates of routing for one backend server: load, cached part of a prompt,
// delay.

#include "routing_estimate.h"

#include <cmath>

namespace foxtailquay {

namespace {

// Number of runs after which most of those that a report counts have ended.
constexpr double kReportMemoryRuns = 3;
// Weight of an old report against the usual load of servers. It is not zero,
// because some servers have more load than others for long.
constexpr double kMinReportWeight = 0.3;

// Returns the net change of this router's outstanding runs since the time that
// the report describes.
int ComputeChangeSinceReport(const backend_view& aView,
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

// Returns the approximate expected value of max(0, X) for X with mean aMean and
// typical error aError, a smooth form of max(0, aMean).
double ComputeExpectedExcess(double aMean, double aError)
{
  if (aError <= 0 || aMean > 20 * aError) {
    return std::max(0.0, aMean);
  }
  return aError * std::log1p(std::exp(aMean / aError));
}

// Returns aLearned, or aConstant if nothing was learned.
absl::Duration GetLearned(absl::Duration aLearned, absl::Duration aConstant)
{
  return aLearned > absl::ZeroDuration() ? aLearned : aConstant;
}

// Returns the estimated runs of other routers now, if aStated were there at the
// time of the report. Within a few runs their number returns to the usual one.
double EstimateOthers(const backend_view& aView, double aStated,
                      absl::Time aNow)
{
  if (aView.mRates.mUsualLoad < 0) {
    return aStated;
  }
  const double age = absl::ToDoubleSeconds(aNow - aView.mReportedAt);
  const double memory =
    kReportMemoryRuns * absl::ToDoubleSeconds(aView.mRates.mSlotTime);
  const double weight =
    std::clamp(memory > 0 ? 1 - age / memory : 0, kMinReportWeight, 1.0);
  const double usual =
    std::max(0.0, aView.mRates.mUsualLoad - aView.mOutstanding);
  return weight * aStated + (1 - weight) * usual;
}

} // namespace

bool HasFreshReport(const backend_view& aView, absl::Time aNow)
{
  return aNow - aView.mReportedAt <= kReportExpiry;
}

bool IsTargetLoaded(const backend_view& aView, const routing_query& aQuery,
                    absl::Time aNow)
{
  return aQuery.mKind != backend_kind::Engine || !HasFreshReport(aView, aNow) ||
         HasId(aView.mReport.mLoadedModels, aQuery.mTarget);
}

double EstimateLoad(const backend_view& aView, double aRoutersPerBackend,
                    const routing_options& aOptions, absl::Time aNow)
{
  const double outstanding = aView.mOutstanding;
  if (!HasFreshReport(aView, aNow)) {
    // Assumes that each of the other routers has sent as many runs.
    return outstanding * aRoutersPerBackend;
  }
  const int change = ComputeChangeSinceReport(aView, aOptions);
  const double stated =
    std::max(0.0, aView.mReport.mRunning + aView.mReport.mQueued -
                    (outstanding - change));
  const double others = EstimateOthers(aView, stated, aNow);
  // Only additions are extrapolated: a slot that another router has freed is
  // most likely occupied again by a request from that router's queue.
  const double sent = std::max(0, change) * std::min(aRoutersPerBackend - 1,
                                                     aOptions.mMaxAssumedPeers);
  return outstanding + others + sent;
}

namespace {

// Returns the length of a prefix as a fraction of the longest prefix, 0 to 1.
double ComputePrefixFraction(const routing_query& aQuery, std::size_t aIndex)
{
  const std::size_t count = aQuery.mPrefixes.size();
  if (aQuery.mPrefixTokens.size() == count && aQuery.mPrefixTokens.back() > 0) {
    return static_cast<double>(aQuery.mPrefixTokens[aIndex]) /
           static_cast<double>(aQuery.mPrefixTokens.back());
  }
  return (static_cast<double>(aIndex) + 1) / static_cast<double>(count);
}

// Returns the index of a prefix in the table of a server. The usual sizes are
// powers of two, for which no division is needed.
std::size_t GetIndex(const backend_view& aView, std::uint64_t aHash)
{
  const std::size_t size = aView.mPrefixes.size();
  return (size & (size - 1)) == 0 ? aHash & (size - 1) : aHash % size;
}

} // namespace

void PrefetchPrefixes(const backend_view& aView, const routing_query& aQuery)
{
  if (aView.mPrefixes.empty()) {
    return;
  }
  for (const std::uint64_t hash : aQuery.mPrefixes) {
    __builtin_prefetch(&aView.mPrefixes[GetIndex(aView, hash)]);
  }
}

double EstimateCachedFraction(const backend_view& aView,
                              const routing_query& aQuery,
                              const routing_options& aOptions, absl::Time aNow)
{
  if (aView.mPrefixes.empty()) {
    return 0;
  }
  double fraction = 0;
  // A shorter prefix can only count for more if its whole length does.
  for (std::size_t i = aQuery.mPrefixes.size(); i-- > 0;) {
    const std::uint64_t hash = aQuery.mPrefixes[i];
    const known_prefix& known = aView.mPrefixes[GetIndex(aView, hash)];
    if (known.mHash != hash) {
      continue;
    }
    const double length = ComputePrefixFraction(aQuery, i);
    if (length <= fraction) {
      break;
    }
    const double halvings =
      absl::FDivDuration(std::max(absl::ZeroDuration(), aNow - known.mSeenAt),
                         aOptions.mPrefixHalfLife);
    fraction = std::max(fraction, length * std::exp2(-halvings));
  }
  return fraction;
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

double GetPromptRate(const backend_view& aView, const routing_options& aOptions)
{
  return aView.mRates.mPromptTokensPerSecond > 0
           ? aView.mRates.mPromptTokensPerSecond
           : aOptions.mPrefillTokensPerSecond;
}

absl::Duration EstimateDelay(const backend_view& aView,
                             const routing_query& aQuery,
                             double aRoutersPerBackend,
                             const routing_options& aOptions, absl::Time aNow)
{
  return absl::Seconds(EstimateDelayWith(
    aView, aQuery, EstimateCachedFraction(aView, aQuery, aOptions, aNow),
    aRoutersPerBackend, aOptions, aNow));
}

double EstimateDelayWith(const backend_view& aView, const routing_query& aQuery,
                         double aCachedFraction, double aRoutersPerBackend,
                         const routing_options& aOptions, absl::Time aNow)
{
  // In seconds: this is computed for each server and request, and arithmetic on
  // absl::Duration takes several times as long.
  double delay = 0;
  if (aView.mConfig.mZone != aQuery.mZone) {
    delay += 2 * absl::ToDoubleSeconds(aOptions.mZoneDelay);
  }
  if (!IsTargetLoaded(aView, aQuery, aNow)) {
    delay += absl::ToDoubleSeconds(aOptions.mModelLoadTime);
  }
  if (aView.mStatus == backend_status::Suspect) {
    delay += absl::ToDoubleSeconds(aOptions.mSuspectPenalty);
  }
  const double reserve = aQuery.mPriority == priority_class::Batch
                           ? aOptions.mBatchReserveFraction
                           : 0;
  const double slots =
    std::max(1.0, aView.mConfig.mMaxConcurrency * (1 - reserve));
  const double load = EstimateLoad(aView, aRoutersPerBackend, aOptions, aNow);
  double work =
    absl::ToDoubleSeconds(aOptions.mFullLoadPenalty) * (load / slots) +
    absl::ToDoubleSeconds(
      GetLearned(aView.mRates.mSlotTime, aOptions.mRunTime)) *
      (ComputeExpectedExcess(load + 1 - slots, aOptions.mLoadError) / slots);
  if (aQuery.mKind == backend_kind::Engine) {
    const double rate = GetPromptRate(aView, aOptions);
    work += (std::floor(static_cast<double>(aQuery.mPromptTokens) *
                        (1 - aCachedFraction)) +
             EstimateBacklog(aView.mRemaining, rate, aNow)) /
            rate;
  } else {
    work += absl::ToDoubleSeconds(
      GetLearned(aView.mRates.mCallTime, aOptions.mCallTime));
  }
  return delay + work +
         EstimateSlowdown(aView.mSlowness, work, aView.mRates.mSlownessPeriod,
                          aNow);
}

} // namespace foxtailquay
