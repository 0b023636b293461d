#include "runtime/decision_log.h"

#include "runtime/log.h"

namespace foxtailquay {

namespace {

bool IsAboutRequest(decision aDecision)
{
  switch (aDecision) {
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

void StartSecond(decision_log& aLog, absl::Time aNow)
{
  if (aLog.mSuppressed > 0) {
    Log(log_component::Gateway, log_level::Warn, log_event::LinesSuppressed,
        { { "lines", std::to_string(aLog.mSuppressed) } });
  }
  aLog = { 0, 0, aNow };
}

} // namespace

bool LogDecision(decision_log& aLog, const decision_record& aNote,
                 absl::Time aNow)
{
  if (IsAboutRequest(aNote.mDecision)) {
    if (aNow - aLog.mSince >= absl::Seconds(1)) {
      StartSecond(aLog, aNow);
    }
    if (++aLog.mLines > kMaxRequestLines) {
      ++aLog.mSuppressed;
      return false;
    }
  }
  LogNamed(log_component::Gateway, log_level::Info, ToName(aNote.mDecision),
           aNote.mInputs);
  return true;
}

} // namespace foxtailquay
