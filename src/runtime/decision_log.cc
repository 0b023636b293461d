#include "runtime/decision_log.h"

#include "runtime/log.h"

namespace foxtailquay {

namespace {

bool IsAboutRequest(decision aDecision)
{
  switch (aDecision) {
    case decision::RequestWaiting:
    case decision::RequestDispatched:
    case decision::RequestRefused:
    case decision::RequestFinished:
    case decision::RequestFailed:
    case decision::RequestCancelled:
      return true;
    default:
      return false;
  }
}

// Logs the number of suppressed lines, if any, and starts a new second.
void StartInterval(decision_log& aLog, absl::Time aNow)
{
  if (aLog.mSuppressedCount > 0) {
    Log(log_component::Gateway, log_level::Warn, log_event::LinesSuppressed,
        { { "lines", std::to_string(aLog.mSuppressedCount) } });
  }
  aLog = { 0, 0, aNow };
}

} // namespace

bool LogDecision(decision_log& aLog, const decision_record& aRecord,
                 absl::Time aNow)
{
  if (IsAboutRequest(aRecord.mDecision)) {
    if (aNow - aLog.mIntervalStart >= absl::Seconds(1)) {
      StartInterval(aLog, aNow);
    }
    if (++aLog.mLineCount > kMaxRequestLinesPerSecond) {
      ++aLog.mSuppressedCount;
      return false;
    }
  }
  LogNamed(log_component::Gateway, log_level::Info, ToName(aRecord.mDecision),
           aRecord.mInputs);
  return true;
}

} // namespace foxtailquay
