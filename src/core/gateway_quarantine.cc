// Crash quarantine of a gateway: confirms that servers have crashed, and
// exchanges reports on crashes with the other gateways through the store.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_directory.h"

namespace foxtailquay {

namespace {

// Largest number of reports in one write. The store accepts at most 32.
constexpr std::size_t kMaxReportsPerWrite = 16;
// Mean time between two gateways that remove the same report. In a large fleet,
// most gateways see the removal by another one before their own is due.
constexpr absl::Duration kRemovalSpread = absl::Milliseconds(10);
// Mean time between two writes of all gateways while each has more reports than
// fit into one. The store takes several hundred writes a second in all.
constexpr absl::Duration kWriteSpread = absl::Milliseconds(5);

// Returns what the request has in common with others that may crash servers.
std::vector<suspect_id> ListSuspects(const forwarded_request& aRequest)
{
  std::vector<suspect_id> suspects;
  if (aRequest.mIsEngine) {
    suspects = ListSharedParts(aRequest.mCaller.mPromptParts);
  }
  if (aRequest.mFingerprint) {
    suspects.push_back({ suspect_kind::Request, *aRequest.mFingerprint });
  }
  return suspects;
}

crash_evidence ClassifyEvidence(const attempt_report& aReport)
{
  if (aReport.mHasOutput) {
    return crash_evidence::OutputSent;
  }
  return aReport.mHasBegun ? crash_evidence::ResponseBegun
                           : crash_evidence::NoResponse;
}

// Returns true if a crash with this evidence counts against the suspect. Output
// shows that the prompt did not crash the server.
bool IsEvidenceAgainst(const suspect_id& aSuspect, crash_evidence aEvidence)
{
  return aSuspect.mKind == suspect_kind::Request ||
         aEvidence != crash_evidence::OutputSent;
}

void RecordSuspectChanges(gateway& aGateway)
{
  for (const suspect_change& change : aGateway.mQuarantine.mChanges) {
    RecordDecision(
      aGateway, decision::CrashSuspectChanged,
      { { "kind", std::string(ToName(change.mSuspect.mKind)) },
        { "suspect", absl::StrCat(absl::Hex(change.mSuspect.mHash)) },
        { "state", std::string(ToName(change.mStatus)) },
        { "cause", std::string(ToName(change.mCause)) },
        { "crashes", absl::StrCat(change.mCrashes) },
        { "response_begun", absl::StrCat(change.mStrongCrashes) } });
  }
  aGateway.mQuarantine.mChanges.clear();
}

// Sets the time from which reports of other gateways may be removed.
void ScheduleRemovals(gateway& aGateway, absl::Time aNow)
{
  const std::set<report_key>& unwritten = aGateway.mQuarantine.mUnwritten;
  const bool hasRemovals = std::any_of(
    unwritten.begin(), unwritten.end(), [&aGateway](const report_key& aKey) {
      return aKey.second != aGateway.mSettings.mName;
    });
  if (!hasRemovals) {
    aGateway.mRemoveReportsAt = absl::InfiniteFuture();
  } else if (aGateway.mRemoveReportsAt == absl::InfiniteFuture()) {
    std::uniform_real_distribution<double> delay(0,
                                                 CountGateways(aGateway, aNow));
    aGateway.mRemoveReportsAt = aNow + kRemovalSpread * delay(aGateway.mRandom);
  }
}

// Returns true if the report may complete the evidence against a suspect. After
// the crash of many servers, most reports are on sound requests with output.
bool IsUrgent(const crash_report& aReport)
{
  return aReport.mCrashes.size() > 1 ||
         std::any_of(aReport.mCrashes.begin(), aReport.mCrashes.end(),
                     [](const server_crash& aCrash) {
                       return aCrash.mEvidence != crash_evidence::OutputSent;
                     });
}

// Returns the reports for the next write, the urgent ones first.
std::vector<crash_report> ListDueReports(const gateway& aGateway,
                                         absl::Time aNow)
{
  std::vector<crash_report> reports;
  for (const report_key& key : aGateway.mQuarantine.mUnwritten) {
    const bool isOwn = key.second == aGateway.mSettings.mName;
    if (isOwn || aNow >= aGateway.mRemoveReportsAt) {
      reports.push_back(MakeCrashReport(aGateway.mQuarantine, key));
    }
  }
  std::stable_partition(reports.begin(), reports.end(), &IsUrgent);
  reports.resize(std::min(reports.size(), kMaxReportsPerWrite));
  return reports;
}

// Writes the reports that differ from the store. At most one write is in
// flight.
void WriteCrashReports(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mReportsInFlight.empty() ||
      aNow < aGateway.mNextReportWriteAt) {
    return;
  }
  ScheduleRemovals(aGateway, aNow);
  aGateway.mReportsInFlight = ListDueReports(aGateway, aNow);
  if (!aGateway.mReportsInFlight.empty()) {
    aGateway.mActions.push_back(
      crash_report_write{ aGateway.mReportsInFlight, aGateway.mEra });
  }
}

// Probes a server at which an attempt broke off.
void ProbeBrokenServer(gateway& aGateway, const forwarded_request& aRequest,
                       const backend_id& aBackend, crash_evidence aEvidence,
                       absl::Time aNow)
{
  const auto listing = aGateway.mListings.find(aBackend);
  if (listing == aGateway.mListings.end()) {
    return;
  }
  // A server that leaves ends with requests that wait or are not complete.
  if (listing->second.mEntry.mLeaving &&
      aEvidence != crash_evidence::ResponseBegun) {
    return;
  }
  std::vector<suspect_id> suspects = ListSuspects(aRequest);
  suspects.erase(std::remove_if(suspects.begin(), suspects.end(),
                                [&](const suspect_id& aSuspect) {
                                  return !IsEvidenceAgainst(aSuspect,
                                                            aEvidence) ||
                                         HasRecentSuccess(aGateway.mQuarantine,
                                                          aSuspect, aNow);
                                }),
                 suspects.end());
  if (suspects.empty()) {
    return;
  }
  const auto [probe, isNew] = aGateway.mProbes.try_emplace(aBackend);
  for (const suspect_id& suspect : suspects) {
    crash_evidence& known =
      probe->second.try_emplace(suspect, aEvidence).first->second;
    known = std::max(known, aEvidence);
  }
  if (isNew) {
    aGateway.mActions.push_back(
      probe_server{ aBackend, listing->second.mEntry.mAddress,
                    listing->second.mEntry.mStartedMs });
  }
}

} // namespace

void RecordCrashEvidence(gateway& aGateway, const forwarded_request& aRequest,
                         const attempt_report& aReport,
                         const backend_id& aBackend, absl::Time aNow)
{
  switch (aReport.mOutcome) {
    case attempt_outcome::Delivered:
      RecordSuccess(aGateway.mQuarantine, ListSuspects(aRequest), aNow);
      RecordSuspectChanges(aGateway);
      WriteCrashReports(aGateway, aNow);
      break;
    case attempt_outcome::Broken:
    case attempt_outcome::BrokenMidway:
      ProbeBrokenServer(aGateway, aRequest, aBackend, ClassifyEvidence(aReport),
                        aNow);
      break;
    case attempt_outcome::Failed:
    case attempt_outcome::NotRun:
    case attempt_outcome::NotSent:
      break;
  }
}

void OnServerProbed(gateway& aGateway, const server_probed& aEvent,
                    absl::Time aNow)
{
  const auto probe = aGateway.mProbes.find(aEvent.mBackend);
  if (probe == aGateway.mProbes.end()) {
    return;
  }
  const crash_suspects suspects = std::move(probe->second);
  aGateway.mProbes.erase(probe);
  RecordDecision(aGateway, decision::ServerProbed,
                 { { "backend", aEvent.mBackend.mValue },
                   { "started_ms", absl::StrCat(aEvent.mStartedMs) },
                   { "crashed", aEvent.mIsRefused ? "yes" : "no" },
                   { "suspects", absl::StrCat(suspects.size()) } });
  if (!aEvent.mIsRefused) {
    return;
  }
  const std::string crash =
    absl::StrCat(aEvent.mBackend.mValue, "/", aEvent.mStartedMs);
  for (const auto& [suspect, evidence] : suspects) {
    AddOwnCrash(aGateway.mQuarantine, aGateway.mSettings.mName, suspect,
                { crash, evidence }, aNow);
  }
  RecordSuspectChanges(aGateway);
  WriteCrashReports(aGateway, aNow);
}

void RestartCrashReports(gateway& aGateway)
{
  aGateway.mReportsInFlight.clear();
  for (const auto& suspect : aGateway.mQuarantine.mSuspects) {
    for (const auto& report : suspect.second.mCrashes) {
      aGateway.mQuarantine.mUnwritten.insert({ suspect.first, report.first });
    }
  }
}

void ApplyCrashReports(gateway& aGateway, const directory_response& aResponse,
                       absl::Time aNow)
{
  std::set<report_key> listed;
  for (const crash_report& report : aResponse.mCrashReports) {
    listed.insert({ report.mSuspect, report.mGateway });
    ApplyCrashReport(aGateway.mQuarantine, report, aNow);
  }
  if (aResponse.mComplete) {
    std::vector<crash_report> removed;
    for (const auto& suspect : aGateway.mQuarantine.mSuspects) {
      for (const auto& report : suspect.second.mCrashes) {
        if (listed.count({ suspect.first, report.first }) == 0) {
          removed.push_back({ suspect.first, report.first, {} });
        }
      }
    }
    for (const crash_report& report : removed) {
      ApplyCrashReport(aGateway.mQuarantine, report, aNow);
    }
  }
  RecordSuspectChanges(aGateway);
  WriteCrashReports(aGateway, aNow);
}

void OnCrashReportWriteResponse(gateway& aGateway,
                                const crash_report_write_response& aEvent,
                                absl::Time aNow)
{
  if (MatchEra(aGateway, aEvent.mEra, aNow) == era_match::Superseded) {
    return;
  }
  const std::vector<crash_report> sent = std::move(aGateway.mReportsInFlight);
  aGateway.mReportsInFlight.clear();
  if (!aEvent.mIsWritten) {
    aGateway.mNextReportWriteAt = aNow + kMaxBackoff;
    return;
  }
  for (const crash_report& report : sent) {
    const report_key key{ report.mSuspect, report.mGateway };
    // The report may have changed meanwhile.
    if (MakeCrashReport(aGateway.mQuarantine, key).mCrashes ==
        report.mCrashes) {
      aGateway.mQuarantine.mUnwritten.erase(key);
    }
  }
  if (sent.size() == kMaxReportsPerWrite) {
    aGateway.mNextReportWriteAt =
      aNow + kWriteSpread * CountGateways(aGateway, aNow);
  }
  WriteCrashReports(aGateway, aNow);
}

void AdvanceQuarantine(gateway& aGateway, absl::Time aNow)
{
  AdvanceQuarantine(aGateway.mQuarantine, aNow);
  RecordSuspectChanges(aGateway);
  WriteCrashReports(aGateway, aNow);
}

std::optional<error> CheckQuarantine(const gateway& aGateway,
                                     const forwarded_request& aRequest,
                                     absl::Time aNow)
{
  if (aGateway.mQuarantine.mQuarantined == 0) {
    return std::nullopt;
  }
  const auto suspect =
    FindQuarantined(aGateway.mQuarantine, ListSuspects(aRequest));
  if (!suspect) {
    return std::nullopt;
  }
  const std::string hash = absl::StrCat(absl::Hex(suspect->mHash));
  error refusal =
    suspect->mKind == suspect_kind::PromptPart
      ? MakeError(error_code::PromptQuarantined, executed::No,
                  absl::StrCat("backend servers crash under part ", hash,
                               " of the prompt"))
      : MakeError(error_code::RequestQuarantined, executed::No,
                  absl::StrCat("backend servers crash under the request with "
                               "fingerprint ",
                               hash));
  refusal.mRetryAfter =
    aGateway.mQuarantine.mSuspects.at(*suspect).mUntil - aNow;
  return refusal;
}

bool HasSuspect(const gateway& aGateway, const forwarded_request& aRequest)
{
  return !aGateway.mQuarantine.mSuspects.empty() &&
         HasSuspect(aGateway.mQuarantine, ListSuspects(aRequest));
}

} // namespace foxtailquay
