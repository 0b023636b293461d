#include "retry.h"

#include <algorithm>

namespace foxtailquay {

void NoteFirstAttempt(retry_state& aState, const retry_options& aOptions)
{
  aState.mBudget =
    std::min(aOptions.mBudgetCap, aState.mBudget + aOptions.mBudgetRatio);
}

bool MayRetry(const retry_state& aState, int aAttempts, absl::Time aDeadline,
              absl::Time aNow, const retry_options& aOptions)
{
  return aAttempts < aOptions.mMaxAttempts && aState.mBudget >= 1 &&
         aNow + aOptions.mFirstDelay < aDeadline;
}

absl::Duration TakeRetry(retry_state& aState, int aAttempts,
                         const retry_options& aOptions, random_engine& aRandom)
{
  aState.mBudget -= 1;
  absl::Duration limit = aOptions.mFirstDelay;
  for (int i = 1; i < aAttempts && limit < aOptions.mMaxDelay; ++i) {
    limit *= 2;
  }
  limit = std::min(limit, aOptions.mMaxDelay);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  return limit * jitter(aRandom);
}

} // namespace foxtailquay
