#include "rate_limit.h"

#include <algorithm>

namespace foxtailquay {

namespace {

struct guard_context
{
  const rate_limit& mLimit;
  absl::Time mSentAt;
};

bool EvaluateGuard(rate_guard aGuard, const guard_context& aContext)
{
  switch (aGuard) {
    case rate_guard::IsCurrent:
      return aContext.mSentAt > aContext.mLimit.mStatedAt;
  }
  return false;
}

void PerformAction(rate_limit& aLimit, rate_action aAction, double aRate,
                   const rate_context& aContext)
{
  const rate_share share = ComputeShare(aRate, aContext.mGateways);
  switch (aAction) {
    case rate_action::SetRate:
      if (aRate > aLimit.mRate) {
        // Ends a pause that is too long for the new rate.
        aLimit.mNextRunAt =
          std::min(aLimit.mNextRunAt, aContext.mNow + share.mInterval);
      }
      aLimit.mRate = aRate;
      aLimit.mStatedAt = aContext.mNow;
      break;
    case rate_action::SpreadStart:
      aLimit.mEvenRunAt =
        aContext.mNow + share.mInterval * aContext.mStartFraction;
      aLimit.mNextRunAt = aLimit.mEvenRunAt;
      aLimit.mSpareAt = aLimit.mNextRunAt + share.mInterval;
      break;
    case rate_action::Pause:
      aLimit.mEvenRunAt =
        std::max(aLimit.mEvenRunAt, aContext.mNow) + share.mInterval;
      aLimit.mNextRunAt =
        aLimit.mEvenRunAt - share.mInterval * (share.mBurst - 1);
      aLimit.mSpareAt =
        std::max(aLimit.mNextRunAt, aContext.mNow) + share.mInterval;
      break;
    case rate_action::Clear:
      aLimit = rate_limit{ aLimit.mStatus };
      break;
  }
}

} // namespace

rate_share ComputeShare(double aRate, int aGateways)
{
  const double gateways = std::max(1, aGateways);
  const double tolerance =
    kToleratedRatio * aRate * absl::ToDoubleSeconds(kToleranceWindow) +
    kToleratedRequests;
  const double fraction = gateways <= tolerance ? 1 : kCrowdedFraction;
  const double rate = fraction * aRate / gateways;
  rate_share share;
  share.mInterval = rate * absl::ToDoubleSeconds(kMaxRunInterval) <= 1
                      ? kMaxRunInterval
                      : absl::Seconds(1 / rate);
  share.mBurst =
    std::clamp(kBurstFraction * tolerance / gateways, 1.0, kMaxBurst);
  return share;
}

bool RecordStatement(rate_limit& aLimit, const server_statement& aStatement,
                     absl::Time aSentAt, const rate_context& aContext)
{
  if (aStatement.mIsMalformed && !aStatement.mRateLimit) {
    return false;
  }
  const rate_limit before = aLimit;
  const rate_event event =
    aStatement.mRateLimit ? rate_event::Stated : rate_event::Absent;
  for (rate_action action :
       Fire(aContext.mChart, aLimit.mStatus, event,
            guard_context{ aLimit, aSentAt }, &EvaluateGuard)) {
    PerformAction(aLimit, action, aStatement.mRateLimit.value_or(0), aContext);
  }
  return aLimit.mStatus != before.mStatus || aLimit.mRate != before.mRate;
}

void RecordRunStart(rate_limit& aLimit, const rate_context& aContext)
{
  for (rate_action action :
       Fire(aContext.mChart, aLimit.mStatus, rate_event::RunStarted,
            guard_context{ aLimit, aContext.mNow }, &EvaluateGuard)) {
    PerformAction(aLimit, action, aLimit.mRate, aContext);
  }
}

} // namespace foxtailquay
