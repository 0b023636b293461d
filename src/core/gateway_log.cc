// Log records on requests.

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"

namespace foxtailquay {

namespace {

std::string ToLogText(const std::optional<std::uint64_t>& aFingerprint)
{
  return aFingerprint ? absl::StrCat(absl::Hex(*aFingerprint)) : std::string();
}

// Returns the shared parts of the prompt for the log.
std::string ToLogText(const std::vector<suspect_id>& aParts)
{
  constexpr std::size_t kMaxLoggedParts = 8;
  std::string text;
  for (std::size_t i = 0; i < aParts.size() && i < kMaxLoggedParts; ++i) {
    absl::StrAppend(&text, i == 0 ? "" : ",", absl::Hex(aParts[i].mHash));
  }
  return text;
}

} // namespace

void RecordRequestRefused(gateway& aGateway, const forwarded_request& aRequest,
                          const error& aError, absl::Time aNow)
{
  RecordDecision(
    aGateway,
    aError.mExecuted == executed::No ? decision::RequestRefused
                                     : decision::RequestFailed,
    { { "request", aRequest.mCaller.mAttemptId },
      { "code", std::string(ToName(aError.mCode)) },
      { "ran", std::string(ToName(aError.mExecuted)) },
      { "detail", aError.mDetail },
      { "route", aRequest.mRoute.mName },
      { "workspace", aRequest.mWorkspace.mValue },
      { "backend", aRequest.mBackend.mValue },
      { "attempts", absl::StrCat(aRequest.mAttempts) },
      { "held_ms",
        absl::StrCat(absl::ToInt64Milliseconds(aNow - aRequest.mArrivedAt)) },
      { "version",
        absl::StrCat(aGateway.mTable ? aGateway.mTable->mConfig.mVersion
                                     : 0) } });
}

void RecordRequestDispatched(gateway& aGateway,
                             const forwarded_request& aRequest,
                             const backend_view& aView, double aBacklog,
                             absl::Time aNow)
{
  RecordDecision(
    aGateway, decision::RequestDispatched,
    { { "request", aRequest.mCaller.mAttemptId },
      { "attempt", absl::StrCat(aRequest.mAttempts) },
      { "route", aRequest.mRoute.mName },
      { "workspace", aRequest.mWorkspace.mValue },
      { "backend", aRequest.mBackend.mValue },
      { "outstanding", absl::StrCat(aView.mOutstanding) },
      { "running", absl::StrCat(aView.mReport.mRunning) },
      { "queued", absl::StrCat(aView.mReport.mQueued) },
      { "backlog", absl::StrCat(static_cast<std::int64_t>(aBacklog)) },
      { "slowness", absl::StrCat(aView.mSlowness.mFactor) },
      { "slowness_period_ms",
        absl::StrCat(absl::ToInt64Milliseconds(aView.mRates.mSlownessPeriod)) },
      { "report_age_ms",
        aView.mReportedAt == absl::InfinitePast()
          ? std::string("none")
          : absl::StrCat(absl::ToInt64Milliseconds(aNow - aView.mReportedAt)) },
      { "reserved", absl::StrCat(aRequest.mReserved) },
      { "parts", ToLogText(ListSharedParts(aRequest.mCaller.mPromptParts)) },
      { "fingerprint", ToLogText(aRequest.mFingerprint) },
      { "version", absl::StrCat(aGateway.mTable->mConfig.mVersion) } });
}

void RecordRequestFinished(gateway& aGateway, const forwarded_request& aRequest,
                           const attempt_report& aReport,
                           const backend_id& aBackend, absl::Time aNow)
{
  RecordDecision(
    aGateway, decision::RequestFinished,
    { { "request", aRequest.mCaller.mAttemptId },
      { "attempt", absl::StrCat(aReport.mAttempt) },
      { "backend", aBackend.mValue },
      { "outcome", std::string(ToName(aReport.mOutcome)) },
      { "status", absl::StrCat(aReport.mStatus) },
      { "begun", aReport.mHasBegun ? "yes" : "no" },
      { "events", absl::StrCat(aReport.mEvents) },
      { "framing", std::string(ToName(aReport.mFraming)) },
      { "partial_bytes", absl::StrCat(aReport.mPartialEventBytes) },
      { "workspace", aRequest.mWorkspace.mValue },
      { "spent", absl::StrCat(ComputeSpentTokens(aRequest)) },
      { "total_ms", absl::StrCat(absl::ToInt64Milliseconds(
                      aNow - aRequest.mArrivedAt)) } });
}

} // namespace foxtailquay
