#include "remaining_work.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// Part of the tokens of waiting requests that is left on average: the engine
// has processed some of the first of them.
constexpr double kWaitingPart = 0.5;
// Weight of the observation that everything sent before a request is processed.
// Engines may process prompts in another order than that of their arrival, so
// it counts for half.
constexpr double kOrderWeight = 0.5;

} // namespace

double EstimateBacklog(const remaining_work& aWork, double aRate,
                       absl::Time aNow)
{
  const double processed =
    absl::ToDoubleSeconds(aNow - aWork.mUpdatedAt) * aRate;
  return std::max(kWaitingPart * aWork.mWaiting, aWork.mBacklog - processed);
}

void AddPrompt(remaining_work& aWork, double aTokens, double aRate,
               absl::Time aNow)
{
  aWork.mBacklog = EstimateBacklog(aWork, aRate, aNow) + aTokens;
  aWork.mUpdatedAt = aNow;
  aWork.mSent += aTokens;
}

void StartWaiting(remaining_work& aWork, waiting_prompt& aPrompt,
                  double aTokens)
{
  aPrompt = { aTokens, aWork.mSent, true };
  aWork.mWaiting += aTokens;
}

void RecordFirstOutput(remaining_work& aWork, waiting_prompt& aPrompt,
                       double aRate, absl::Time aNow)
{
  if (!aPrompt.mIsWaiting) {
    return;
  }
  StopWaiting(aWork, aPrompt);
  const double estimate = EstimateBacklog(aWork, aRate, aNow);
  const double later = std::max(0.0, aWork.mSent - aPrompt.mSentMark);
  aWork.mBacklog =
    std::min(estimate, estimate + kOrderWeight * (later - estimate));
  aWork.mUpdatedAt = aNow;
}

void StopWaiting(remaining_work& aWork, waiting_prompt& aPrompt)
{
  if (aPrompt.mIsWaiting) {
    aPrompt.mIsWaiting = false;
    aWork.mWaiting = std::max(0.0, aWork.mWaiting - aPrompt.mTokens);
  }
}

} // namespace foxtailquay
