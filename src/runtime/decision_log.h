// Writes the decisions of a gateway to the log at a bounded rate.
//
//   decision_log log;
//   LogDecision(log, record, now);
//
// At most kMaxRequestLinesPerSecond decisions about single requests are logged
// per second; the number of suppressed ones is logged in a later second. All
// other decisions are logged. Not thread-safe.

#ifndef FOXTAILQUAY_RUNTIME_DECISION_LOG_H
#define FOXTAILQUAY_RUNTIME_DECISION_LOG_H

#include "absl/time/time.h"
#include "foxtailquay/gateway.h"

namespace foxtailquay {

// Enough for 100 requests per second with about three decisions each.
constexpr int kMaxRequestLinesPerSecond = 300;

struct decision_log
{
  // Decisions about requests since mIntervalStart, including suppressed ones.
  int mLineCount = 0;
  // Suppressed decisions since mIntervalStart.
  int mSuppressedCount = 0;
  absl::Time mIntervalStart = absl::InfinitePast();
};

// Logs a decision. Returns false if its line was suppressed.
bool LogDecision(decision_log& aLog, const decision_record& aRecord,
                 absl::Time aNow);

} // namespace foxtailquay

#endif
