// The prompt tokens that an engine still has to process.
//
//   AddPrompt(work, tokens, rate, now);           // sent by any gateway
//   StartWaiting(work, run);                      // sent by this one
//   RecordFirstOutput(work, run, rate, now);      // its prompt is processed
//   StopWaiting(work, run);                       // its attempt has ended
//
// The estimate falls with time at the engine's rate. Two observations of this
// gateway's own requests correct it: one that still waits is not processed yet,
// and one that produces output has everything sent before it behind it. If
// reports of peers are lost, these remain. All functions take constant time.
// Not thread-safe.

#ifndef FOXTAILQUAY_CORE_REMAINING_WORK_H
#define FOXTAILQUAY_CORE_REMAINING_WORK_H

#include "absl/time/time.h"

namespace foxtailquay {

struct remaining_work
{
  // Tokens that were sent and are not processed yet, as of mUpdatedAt.
  double mBacklog = 0;
  absl::Time mUpdatedAt = absl::InfinitePast();
  // All tokens that were ever added.
  double mSent = 0;
  // Tokens of this gateway's requests that have produced no output yet.
  double mWaiting = 0;
};

// One request of this gateway at an engine.
struct waiting_prompt
{
  double mTokens = 0;
  // remaining_work::mSent after the request was added.
  double mSentMark = 0;
  bool mIsWaiting = false;
};

// Returns the tokens that are left at aNow. aRate: tokens per second.
double EstimateBacklog(const remaining_work& aWork, double aRate,
                       absl::Time aNow);

// Adds the tokens of a prompt that was sent to the engine.
void AddPrompt(remaining_work& aWork, double aTokens, double aRate,
               absl::Time aNow);

// Records that aPrompt, which was added last with aTokens, waits for output.
void StartWaiting(remaining_work& aWork, waiting_prompt& aPrompt,
                  double aTokens);

// Records that the prompt has been processed. Does nothing if it does not wait.
void RecordFirstOutput(remaining_work& aWork, waiting_prompt& aPrompt,
                       double aRate, absl::Time aNow);

// Records that the attempt has ended. Does nothing if it does not wait.
void StopWaiting(remaining_work& aWork, waiting_prompt& aPrompt);

} // namespace foxtailquay

#endif
