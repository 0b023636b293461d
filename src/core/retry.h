// Retries of failed attempts: a retry budget that limits them to a small
// fraction of the traffic, and the backoff delay before each.
//
//   RecordFirstAttempt(state, options);
//   ... the attempt failed and may be repeated:
//   if (MayRetry(state, attempts, deadline, now, options)) {
//     retry_at = now + ConsumeRetry(state, attempts, options, random);
//   }
//
// If all requests fail, there are at most mRetryBudgetRatio retries per request
// plus the saved retry budget, so that retries do not prolong an overload.
// Not thread-safe; constant time and memory.

#ifndef FOXTAILQUAY_CORE_RETRY_H
#define FOXTAILQUAY_CORE_RETRY_H

#include "absl/time/time.h"
#include "routing.h"

namespace foxtailquay {

struct retry_options
{
  // Maximum number of attempts per request, the first one included.
  int mMaxAttempts = 3;
  // Retries added to the budget by each first attempt.
  double mRetryBudgetRatio = 0.2;
  // Maximum number of retries in the budget.
  double mMaxRetryBudget = 20;
  // Upper bound of the delay before the first retry; doubles with each further
  // one, up to mMaxDelay.
  absl::Duration mInitialDelay = absl::Milliseconds(10);
  absl::Duration mMaxDelay = absl::Seconds(1);
};

struct retry_state
{
  // Number of retries that are allowed now; fractions add up.
  double mRetryBudget = 20;
};

// Records a first attempt, which adds mRetryBudgetRatio to the retry budget.
void RecordFirstAttempt(retry_state& aState, const retry_options& aOptions);

// Returns the upper bound of the delay after aAttempts attempts.
absl::Duration ComputeMaxDelay(int aAttempts, const retry_options& aOptions);

// Returns true if a request with aAttempts attempts may be attempted once more
// and the delay ends before aDeadline for every jitter. Does not change the
// retry budget.
bool MayRetry(const retry_state& aState, int aAttempts, absl::Time aDeadline,
              absl::Time aNow, const retry_options& aOptions);

// Takes one retry from the retry budget and returns the delay before it, with
// jitter. Precondition: MayRetry returns true.
absl::Duration ConsumeRetry(retry_state& aState, int aAttempts,
                            const retry_options& aOptions,
                            random_engine& aRandom);

} // namespace foxtailquay

#endif
