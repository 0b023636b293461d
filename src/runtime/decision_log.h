// Writes the decisions of a gateway to the log, in bounded number.
//
//   decision_log log;
//   LogDecision(log, note, now);
//
// Decisions about single requests are bounded to kMaxRequestLines a second;
// further ones are counted, and the count is logged. All others are logged.
// Not thread-safe.

#ifndef FOXTAILQUAY_RUNTIME_DECISION_LOG_H
#define FOXTAILQUAY_RUNTIME_DECISION_LOG_H

#include "absl/time/time.h"
#include "foxtailquay/gateway.h"

namespace foxtailquay {

// About three lines for each of a hundred requests.
constexpr int kMaxRequestLines = 300;

struct decision_log
{
  // Lines about requests since mSince, and those left out.
  int mLines = 0;
  int mSuppressed = 0;
  absl::Time mSince = absl::InfinitePast();
};

// Returns false if the line was left out.
bool LogDecision(decision_log& aLog, const decision_record& aNote,
                 absl::Time aNow);

} // namespace foxtailquay

#endif
