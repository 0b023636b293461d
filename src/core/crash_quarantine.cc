#include "crash_quarantine.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// All crashes have this evidence or stronger one.
constexpr crash_evidence kAnyEvidence = crash_evidence::OutputSent;

// Returns the crashed incarnations that any gateway has reported with this
// evidence or stronger one.
std::set<std::string> ListCrashes(const suspect_record& aRecord,
                                  crash_evidence aEvidence)
{
  std::set<std::string> crashes;
  for (const auto& report : aRecord.mCrashes) {
    for (const server_crash& crash : report.second) {
      if (crash.mEvidence >= aEvidence) {
        crashes.insert(crash.mIncarnation);
      }
    }
  }
  return crashes;
}

// Returns true if aAfter has a crash with this evidence that aBefore has not.
bool HasNewCrash(const suspect_record& aBefore, const suspect_record& aAfter,
                 crash_evidence aEvidence)
{
  const std::set<std::string> before = ListCrashes(aBefore, aEvidence);
  const std::set<std::string> after = ListCrashes(aAfter, aEvidence);
  return !std::includes(before.begin(), before.end(), after.begin(),
                        after.end());
}

bool HasEnoughStrongEvidence(const suspect_record& aRecord)
{
  return ListCrashes(aRecord, crash_evidence::ResponseBegun).size() >=
         kQuarantineCrashes;
}

struct suspect_context
{
  suspect_kind mKind;
  const suspect_record& mRecord;
};

bool HasEnoughCrashes(const suspect_context& aContext)
{
  const suspect_record& record = aContext.mRecord;
  if (ListCrashes(record, kAnyEvidence).size() >= kQuarantineAnyCrashes) {
    return true;
  }
  switch (aContext.mKind) {
    case suspect_kind::PromptPart:
      return HasEnoughStrongEvidence(record);
    case suspect_kind::Request:
      return ListCrashes(record, crash_evidence::NoResponse).size() >=
             kQuarantineCrashes;
  }
  return false;
}

bool EvaluateGuard(suspect_guard aGuard, const suspect_context& aContext)
{
  switch (aGuard) {
    case suspect_guard::CrashesReached:
      return HasEnoughCrashes(aContext);
  }
  return false;
}

// Remembers that the suspect is not to blame for the crashes.
void RememberCleared(crash_quarantine& aQuarantine, const suspect_id& aSuspect,
                     const std::set<std::string>& aCrashes)
{
  for (const std::string& crash : aCrashes) {
    if (aQuarantine.mCleared.insert({ aSuspect, crash }).second) {
      aQuarantine.mClearedOrder.emplace_back(aSuspect, crash);
    }
  }
  while (aQuarantine.mClearedOrder.size() > kMaxClearedCrashes) {
    aQuarantine.mCleared.erase(aQuarantine.mClearedOrder.front());
    aQuarantine.mClearedOrder.pop_front();
  }
}

// Returns true if the suspect was cleared of all crashes of the report, so that
// it is an earlier statement.
bool IsCleared(const crash_quarantine& aQuarantine, const crash_report& aReport)
{
  return std::all_of(aReport.mCrashes.begin(), aReport.mCrashes.end(),
                     [&](const server_crash& aCrash) {
                       return aQuarantine.mCleared.count(
                                { aReport.mSuspect, aCrash.mIncarnation }) > 0;
                     });
}

// Fires aEvent in the chart of a suspect. Erases its record if it is trusted
// then. Precondition: the record exists.
void FireSuspect(crash_quarantine& aQuarantine, const suspect_id& aSuspect,
                 suspect_event aEvent, absl::Time aNow)
{
  const auto found = aQuarantine.mSuspects.find(aSuspect);
  suspect_record& record = found->second;
  const suspect_status before = record.mStatus;
  for (suspect_action action :
       Fire(aQuarantine.mChart, record.mStatus, aEvent,
            suspect_context{ aSuspect.mKind, record }, &EvaluateGuard)) {
    switch (action) {
      case suspect_action::StartSuspicion:
        record.mUntil = aNow + kSuspicionTime;
        break;
      case suspect_action::StartQuarantine:
        record.mUntil = aNow + kQuarantineTime;
        break;
      case suspect_action::RemoveReports:
        for (const auto& report : record.mCrashes) {
          const report_key key{ aSuspect, report.first };
          if (aQuarantine.mUnwritten.size() < kMaxUnwritten) {
            aQuarantine.mUnwritten.insert(key);
          } else {
            aQuarantine.mUnwritten.erase(key);
          }
        }
        break;
    }
  }
  aQuarantine.mQuarantined +=
    (record.mStatus == suspect_status::Quarantined ? 1U : 0U);
  aQuarantine.mQuarantined -= (before == suspect_status::Quarantined ? 1U : 0U);
  if (record.mStatus != before || aEvent == suspect_event::ServerCrashed) {
    aQuarantine.mChanges.push_back(
      { aSuspect, record.mStatus, ListCrashes(record, kAnyEvidence).size(),
        ListCrashes(record, crash_evidence::ResponseBegun).size(), aEvent });
  }
  if (record.mStatus == suspect_status::Trusted) {
    if (aEvent == suspect_event::Succeeded) {
      RememberCleared(aQuarantine, aSuspect, ListCrashes(record, kAnyEvidence));
    }
    aQuarantine.mSuspects.erase(found);
  }
}

// Forgets the suspects with the oldest crashes. Those that are, or were,
// quarantined stay.
void ForgetOldestSuspects(crash_quarantine& aQuarantine, absl::Time aNow)
{
  std::vector<std::pair<absl::Time, suspect_id>> oldest;
  for (const auto& [suspect, record] : aQuarantine.mSuspects) {
    if (record.mStatus == suspect_status::Suspect) {
      oldest.emplace_back(record.mUntil, suspect);
    }
  }
  std::sort(oldest.begin(), oldest.end());
  oldest.resize(std::min(oldest.size(), kForgottenSuspects));
  for (const auto& each : oldest) {
    FireSuspect(aQuarantine, each.second, suspect_event::Expired, aNow);
  }
}

// Returns the record of a suspect, a new one if there is none; null if there
// are too many that cannot be forgotten.
suspect_record* FindOrAddRecord(crash_quarantine& aQuarantine,
                                const suspect_id& aSuspect, absl::Time aNow)
{
  const auto found = aQuarantine.mSuspects.find(aSuspect);
  if (found != aQuarantine.mSuspects.end()) {
    return &found->second;
  }
  if (aQuarantine.mSuspects.size() >= kMaxSuspects) {
    ForgetOldestSuspects(aQuarantine, aNow);
  }
  return aQuarantine.mSuspects.size() < kMaxSuspects
           ? &aQuarantine.mSuspects[aSuspect]
           : nullptr;
}

std::vector<server_crash>::iterator FindCrash(
  std::vector<server_crash>& aCrashes, const std::string& aIncarnation)
{
  return std::find_if(aCrashes.begin(), aCrashes.end(),
                      [&aIncarnation](const server_crash& aEach) {
                        return aEach.mIncarnation == aIncarnation;
                      });
}

// Removes a crash from the reports of this gateway on all suspects. If it were
// removed from one only, suspects that always come together would seem to have
// different crashes.
void ForgetOwnCrash(crash_quarantine& aQuarantine, const std::string& aOwnName,
                    const std::string& aCrash)
{
  for (auto& suspect : aQuarantine.mSuspects) {
    const auto report = suspect.second.mCrashes.find(aOwnName);
    if (report == suspect.second.mCrashes.end()) {
      continue;
    }
    std::vector<server_crash>& crashes = report->second;
    const auto found = FindCrash(crashes, aCrash);
    if (found != crashes.end()) {
      crashes.erase(found);
      aQuarantine.mUnwritten.insert({ suspect.first, aOwnName });
    }
  }
}

// Returns true if a report of this gateway on aCrash would add nothing: it is
// known, or it may have the same cause as the last one.
bool IsCounted(suspect_kind aKind, const suspect_record& aRecord,
               const server_crash& aCrash, absl::Time aNow)
{
  if (ListCrashes(aRecord, aCrash.mEvidence).count(aCrash.mIncarnation) > 0) {
    return true;
  }
  if (aKind == suspect_kind::Request) {
    return false;
  }
  const bool isStronger =
    ListCrashes(aRecord, kAnyEvidence).count(aCrash.mIncarnation) > 0 ||
    aCrash.mEvidence > aRecord.mLastOwnEvidence;
  return !isStronger && aNow - aRecord.mLastOwnCrashAt < kCoincidenceTime;
}

bool Contains(const std::vector<suspect_id>& aSuspects,
              const suspect_id& aSuspect)
{
  return std::find(aSuspects.begin(), aSuspects.end(), aSuspect) !=
         aSuspects.end();
}

// Returns true if a suspect that is not among aSuspects has all crashes of
// aSuspect, and so may be the one to blame for them. Where the evidence against
// aSuspect is strong, weaker evidence against others says nothing. Two requests
// that come at the same moments would excuse each other for good, so after many
// crashes only a suspect with still more of them excuses a request.
bool MayBeBlameless(const crash_quarantine& aQuarantine,
                    const suspect_id& aSuspect, const suspect_record& aRecord,
                    const std::vector<suspect_id>& aSuspects)
{
  const crash_evidence evidence = HasEnoughStrongEvidence(aRecord)
                                    ? crash_evidence::ResponseBegun
                                    : kAnyEvidence;
  const std::set<std::string> crashes = ListCrashes(aRecord, evidence);
  const bool needsMore = aSuspect.mKind == suspect_kind::Request &&
                         crashes.size() >= kQuarantineAnyCrashes;
  return std::any_of(
    aQuarantine.mSuspects.begin(), aQuarantine.mSuspects.end(),
    [&](const auto& aOther) {
      if (aOther.first == aSuspect || Contains(aSuspects, aOther.first)) {
        return false;
      }
      const std::set<std::string> others = ListCrashes(aOther.second, evidence);
      return std::includes(others.begin(), others.end(), crashes.begin(),
                           crashes.end()) &&
             (!needsMore || others.size() > crashes.size());
    });
}

} // namespace

std::vector<suspect_id> ListSharedParts(const std::vector<prompt_part>& aParts)
{
  std::vector<suspect_id> shared;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    shared.push_back({ suspect_kind::PromptPart, aParts[i].mHash });
  }
  return shared;
}

bool HasRecentSuccess(const crash_quarantine& aQuarantine,
                      const suspect_id& aSuspect, absl::Time aNow)
{
  const auto found = aQuarantine.mSuccesses.find(aSuspect);
  return found != aQuarantine.mSuccesses.end() &&
         aNow - found->second < kRecentSuccessTime;
}

void AddOwnCrash(crash_quarantine& aQuarantine, const std::string& aOwnName,
                 const suspect_id& aSuspect, const server_crash& aCrash,
                 absl::Time aNow)
{
  suspect_record* record = HasRecentSuccess(aQuarantine, aSuspect, aNow)
                             ? nullptr
                             : FindOrAddRecord(aQuarantine, aSuspect, aNow);
  if (record == nullptr || IsCounted(aSuspect.mKind, *record, aCrash, aNow)) {
    return;
  }
  record->mLastOwnCrashAt = aNow;
  record->mLastOwnEvidence = aCrash.mEvidence;
  std::vector<server_crash>& crashes = record->mCrashes[aOwnName];
  const auto known = FindCrash(crashes, aCrash.mIncarnation);
  if (known != crashes.end()) {
    known->mEvidence = aCrash.mEvidence;
  } else {
    crashes.push_back(aCrash);
  }
  if (crashes.size() > kMaxReportedCrashes) {
    ForgetOwnCrash(aQuarantine, aOwnName,
                   std::string(crashes.front().mIncarnation));
  }
  aQuarantine.mUnwritten.insert({ aSuspect, aOwnName });
  FireSuspect(aQuarantine, aSuspect, suspect_event::ServerCrashed, aNow);
}

void ApplyCrashReport(crash_quarantine& aQuarantine,
                      const crash_report& aReport, absl::Time aNow)
{
  const report_key key{ aReport.mSuspect, aReport.mGateway };
  if (aQuarantine.mUnwritten.count(key) > 0) {
    // Another gateway may have removed the report already.
    if (aReport.mCrashes.empty() &&
        MakeCrashReport(aQuarantine, key).mCrashes.empty()) {
      aQuarantine.mUnwritten.erase(key);
    }
    return;
  }
  if (aReport.mCrashes.empty()) {
    // Another gateway has cleared the suspect.
    const auto found = aQuarantine.mSuspects.find(aReport.mSuspect);
    if (found == aQuarantine.mSuspects.end()) {
      return;
    }
    std::set<std::string> withdrawn = ListCrashes(found->second, kAnyEvidence);
    found->second.mCrashes.erase(aReport.mGateway);
    for (const std::string& crash : ListCrashes(found->second, kAnyEvidence)) {
      withdrawn.erase(crash);
    }
    RememberCleared(aQuarantine, aReport.mSuspect, withdrawn);
    if (found->second.mCrashes.empty()) {
      FireSuspect(aQuarantine, aReport.mSuspect, suspect_event::Withdrawn,
                  aNow);
    }
    return;
  }
  if (HasRecentSuccess(aQuarantine, aReport.mSuspect, aNow) ||
      IsCleared(aQuarantine, aReport)) {
    aQuarantine.mUnwritten.insert(key);
    return;
  }
  suspect_record* record = FindOrAddRecord(aQuarantine, aReport.mSuspect, aNow);
  if (record == nullptr) {
    return;
  }
  const suspect_record before = *record;
  record->mCrashes[aReport.mGateway] = aReport.mCrashes;
  if (HasNewCrash(before, *record, kAnyEvidence) ||
      HasNewCrash(before, *record, crash_evidence::ResponseBegun)) {
    FireSuspect(aQuarantine, aReport.mSuspect, suspect_event::ServerCrashed,
                aNow);
  }
}

void RecordSuccess(crash_quarantine& aQuarantine,
                   const std::vector<suspect_id>& aSuspects, absl::Time aNow)
{
  for (const suspect_id& suspect : aSuspects) {
    const auto known = aQuarantine.mSuccesses.find(suspect);
    if (known != aQuarantine.mSuccesses.end()) {
      known->second = aNow;
    } else if (aQuarantine.mSuccesses.size() < kMaxSuccesses) {
      aQuarantine.mSuccesses.emplace(suspect, aNow);
    }
    if (aQuarantine.mSuspects.count(suspect) > 0) {
      FireSuspect(aQuarantine, suspect, suspect_event::Succeeded, aNow);
    }
  }
}

void AdvanceQuarantine(crash_quarantine& aQuarantine, absl::Time aNow)
{
  for (auto it = aQuarantine.mSuccesses.begin();
       it != aQuarantine.mSuccesses.end();) {
    const auto success = it++;
    if (aNow - success->second >= kRecentSuccessTime) {
      aQuarantine.mSuccesses.erase(success);
    }
  }
  for (auto it = aQuarantine.mSuspects.begin();
       it != aQuarantine.mSuspects.end();) {
    const auto part = it++;
    if (aNow >= part->second.mUntil) {
      FireSuspect(aQuarantine, part->first, suspect_event::Expired, aNow);
    }
  }
}

std::optional<suspect_id> FindQuarantined(
  const crash_quarantine& aQuarantine, const std::vector<suspect_id>& aSuspects)
{
  for (const suspect_id& suspect : aSuspects) {
    const auto found = aQuarantine.mSuspects.find(suspect);
    if (found != aQuarantine.mSuspects.end() &&
        found->second.mStatus == suspect_status::Quarantined &&
        !MayBeBlameless(aQuarantine, suspect, found->second, aSuspects)) {
      return suspect;
    }
  }
  return std::nullopt;
}

bool HasSuspect(const crash_quarantine& aQuarantine,
                const std::vector<suspect_id>& aSuspects)
{
  return std::any_of(aSuspects.begin(), aSuspects.end(),
                     [&aQuarantine](const suspect_id& aSuspect) {
                       return aQuarantine.mSuspects.count(aSuspect) > 0;
                     });
}

crash_report MakeCrashReport(const crash_quarantine& aQuarantine,
                             const report_key& aKey)
{
  crash_report report;
  report.mSuspect = aKey.first;
  report.mGateway = aKey.second;
  const auto found = aQuarantine.mSuspects.find(aKey.first);
  if (found != aQuarantine.mSuspects.end()) {
    const auto crashes = found->second.mCrashes.find(aKey.second);
    if (crashes != found->second.mCrashes.end()) {
      report.mCrashes = crashes->second;
    }
  }
  return report;
}

} // namespace foxtailquay
