// Retries: a budget that keeps them a small part of the traffic, and the
// delay before each.
//
//   RecordFirstAttempt(state, options);
//   ... the attempt failed and may be repeated:
//   if (MayRetry(state, attempts, deadline, now, options)) {
//     retry_at = now + ConsumeRetry(state, attempts, options, random);
//   }
//
// When all requests fail, attempts exceed requests by at most mBudgetRatio
// and the saved budget, so retries do not keep an overloaded fleet overloaded.
// Not thread-safe; constant time and memory.

#ifndef FOXTAILQUAY_CORE_RETRY_H
#define FOXTAILQUAY_CORE_RETRY_H

#include "absl/time/time.h"
#include "routing.h"

namespace foxtailquay {

struct retry_options
{
  // Attempts per request, the first included.
  int mMaxAttempts = 3;
  // Retries earned by each first attempt, and the most that can be saved up.
  double mBudgetRatio = 0.2;
  double mBudgetCap = 20;
  absl::Duration mFirstDelay = absl::Milliseconds(10);
  absl::Duration mMaxDelay = absl::Seconds(1);
};

struct retry_state
{
  double mBudget = 20;
};

// A first attempt was made; it earns a part of a retry.
void RecordFirstAttempt(retry_state& aState, const retry_options& aOptions);

// Upper bound of the delay after aAttempts attempts.
absl::Duration ComputeMaxDelay(int aAttempts, const retry_options& aOptions);

// True if a request that has made aAttempts attempts may be tried once more
// before aDeadline, whatever the jitter. Does not change the budget.
bool MayRetry(const retry_state& aState, int aAttempts, absl::Time aDeadline,
              absl::Time aNow, const retry_options& aOptions);

// Takes one retry from the budget and returns the delay before it, with
// jitter. Precondition: MayRetry.
absl::Duration ConsumeRetry(retry_state& aState, int aAttempts,
                            const retry_options& aOptions,
                            random_engine& aRandom);

} // namespace foxtailquay

#endif
