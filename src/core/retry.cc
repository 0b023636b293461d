#include "retry.h"

#include <algorithm>

namespace foxtailquay {

void RecordFirstAttempt(retry_state& aState, const retry_options& aOptions)
{
  aState.mRetryBudget = std::min(
    aOptions.mMaxRetryBudget, aState.mRetryBudget + aOptions.mRetryBudgetRatio);
}

absl::Duration ComputeMaxDelay(int aAttempts, const retry_options& aOptions)
{
  absl::Duration delay = aOptions.mInitialDelay;
  for (int i = 1; i < aAttempts && delay < aOptions.mMaxDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, aOptions.mMaxDelay);
}

bool MayRetry(const retry_state& aState, int aAttempts, absl::Time aDeadline,
              absl::Time aNow, const retry_options& aOptions)
{
  return aAttempts < aOptions.mMaxAttempts && aState.mRetryBudget >= 1 &&
         aNow + ComputeMaxDelay(aAttempts, aOptions) < aDeadline;
}

absl::Duration ConsumeRetry(retry_state& aState, int aAttempts,
                            const retry_options& aOptions,
                            random_engine& aRandom)
{
  aState.mRetryBudget -= 1;
  // Half of the delay is random, so that requests that failed at the same time
  // are not retried at the same time; the other half grows with each attempt.
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  return ComputeMaxDelay(aAttempts, aOptions) * jitter(aRandom);
}

} // namespace foxtailquay
