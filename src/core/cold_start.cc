#include "cold_start.h"

#include <algorithm>
#include <cmath>

#include "xxhash.h"

namespace foxtailquay {

namespace {

struct guard_context
{
  const cold_state& mState;
  const cold_input& mInput;
  absl::Time mNow;
};

bool EvaluateGuard(cold_guard aGuard, const guard_context& aContext)
{
  switch (aGuard) {
    case cold_guard::IsCurrent:
      return aContext.mInput.mAsOf > aContext.mState.mKnownAt ||
             aContext.mState.mKnownAt == absl::InfinitePast();
    case cold_guard::IsOver:
      return aContext.mNow >= aContext.mState.mEnd;
  }
  return false;
}

// Requests of this gateway before the limit count: the interval begins at the
// last one.
void StartLimit(cold_state& aState, const cold_context& aContext)
{
  aState.mInterval = aContext.mInterval;
  if (aState.mInterval == absl::InfiniteDuration()) {
    aState.mNextRunAt = absl::InfiniteFuture();
  } else {
    aState.mNextRunAt =
      std::max(aContext.mNow + aState.mInterval * aContext.mStartFraction,
               aContext.mLastRunAt + aState.mInterval);
  }
  aState.mSpareAt = aState.mNextRunAt + aState.mInterval;
}

void PerformAction(cold_state& aState, cold_action aAction,
                   const cold_input& aInput, const cold_context& aContext)
{
  switch (aAction) {
    case cold_action::Note:
      aState.mKnownAt = std::max(aState.mKnownAt, aInput.mAsOf);
      break;
    case cold_action::SetEnd:
      aState.mEnd = aContext.mNow + std::min(aInput.mLeft, kMaxColdTime);
      aState.mProbeAt = absl::InfiniteFuture();
      break;
    case cold_action::AssumeStart:
      aState.mEnd =
        std::max(aState.mEnd == absl::InfiniteFuture() ? absl::InfinitePast()
                                                       : aState.mEnd,
                 aContext.mNow + std::min(aContext.mColdTime, kMaxColdTime));
      aState.mProbeAt = absl::InfiniteFuture();
      break;
    case cold_action::Hold:
      aState.mEnd = absl::InfiniteFuture();
      aState.mProbeAt =
        std::min(aState.mProbeAt, aContext.mNow + kColdProbeInterval);
      break;
    case cold_action::StartLimit:
      StartLimit(aState, aContext);
      break;
    case cold_action::Clear: {
      const absl::Time knownAt = aState.mKnownAt;
      aState = cold_state{ aState.mStatus };
      aState.mKnownAt = knownAt;
      break;
    }
  }
}

} // namespace

cold_share ComputeColdShare(double aRate, const cold_bounds& aBounds,
                            int aGateways)
{
  const double bound = aRate * aBounds.mOverage + aBounds.mSlack;
  const double window = absl::ToDoubleSeconds(kColdWindow);
  const int most = static_cast<int>(
    std::clamp(std::floor(kColdBoundFraction * bound), 1.0, 1e6));
  cold_share share;
  if (bound < 1) {
    return share;
  }
  // With aRuns requests of each gateway in any window.
  const auto compute = [&](int aRuns) {
    cold_share each;
    each.mUsers = std::max(1, std::min(aGateways, most / aRuns));
    each.mInterval =
      absl::Seconds(std::max(each.mUsers / aRate, window / aRuns));
    return each;
  };
  const auto getRate = [](const cold_share& aShare) {
    return aShare.mUsers / absl::ToDoubleSeconds(aShare.mInterval);
  };
  double best = 0;
  for (int runs = 1; runs <= most; ++runs) {
    best = std::max(best, getRate(compute(runs)));
  }
  // The fewer requests one gateway can send, the less harm does one that knows
  // fewer peers than there are.
  for (int runs = 1; runs <= most; ++runs) {
    share = compute(runs);
    if (getRate(share) >= kColdRateFraction * best) {
      break;
    }
  }
  return share;
}

bool IsColdUser(const std::string& aServer, std::string_view aOwnName,
                const std::vector<std::string_view>& aPeers, int aUsers)
{
  const std::uint64_t seed = XXH3_64bits(aServer.data(), aServer.size());
  const auto computeRank = [seed](std::string_view aName) {
    return std::pair(XXH3_64bits_withSeed(aName.data(), aName.size(), seed),
                     aName);
  };
  const auto own = computeRank(aOwnName);
  const auto before =
    std::count_if(aPeers.begin(), aPeers.end(), [&](std::string_view aPeer) {
      return computeRank(aPeer) > own;
    });
  return before < aUsers;
}

bool FireCold(cold_state& aState, cold_event aEvent, const cold_input& aInput,
              const cold_context& aContext)
{
  const cold_status before = aState.mStatus;
  for (cold_action action :
       Fire(aContext.mChart, aState.mStatus, aEvent,
            guard_context{ aState, aInput, aContext.mNow }, &EvaluateGuard)) {
    PerformAction(aState, action, aInput, aContext);
  }
  return aState.mStatus != before;
}

void SetColdInterval(cold_state& aState, const cold_context& aContext)
{
  if (aState.mStatus != cold_status::Warm &&
      aState.mInterval != aContext.mInterval) {
    StartLimit(aState, aContext);
  }
}

bool IsCold(const cold_state& aState, absl::Time aNow)
{
  return aState.mStatus != cold_status::Warm && aNow < aState.mEnd;
}

bool IsColdLimited(const cold_state& aState, absl::Time aNow)
{
  return aState.mStatus == cold_status::Cold && aNow < aState.mEnd &&
         aState.mInterval > absl::ZeroDuration() &&
         aState.mInterval < absl::InfiniteDuration();
}

absl::Time GetColdRunTime(const cold_state& aState, absl::Time aNow)
{
  return IsCold(aState, aNow) ? std::min(aState.mNextRunAt, aState.mEnd)
                              : absl::InfinitePast();
}

void RecordColdRun(cold_state& aState, absl::Time aNow)
{
  if (aState.mStatus == cold_status::Warm) {
    return;
  }
  aState.mNextRunAt = aNow + aState.mInterval;
  aState.mSpareAt = aState.mNextRunAt + aState.mInterval;
}

} // namespace foxtailquay
