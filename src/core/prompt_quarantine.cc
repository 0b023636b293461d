#include "prompt_quarantine.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// Returns the crashed incarnations that any gateway has reported with this
// evidence or stronger one.
std::set<std::string> ListCrashes(const part_record& aRecord,
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
bool HasNewCrash(const part_record& aBefore, const part_record& aAfter,
                 crash_evidence aEvidence)
{
  const std::set<std::string> before = ListCrashes(aBefore, aEvidence);
  const std::set<std::string> after = ListCrashes(aAfter, aEvidence);
  return !std::includes(before.begin(), before.end(), after.begin(),
                        after.end());
}

bool HasEnoughStrongEvidence(const part_record& aRecord)
{
  return ListCrashes(aRecord, crash_evidence::ResponseBegun).size() >=
         kQuarantineCrashes;
}

bool EvaluateGuard(part_guard aGuard, const part_record& aRecord)
{
  switch (aGuard) {
    case part_guard::CrashesReached:
      return HasEnoughStrongEvidence(aRecord) ||
             ListCrashes(aRecord, crash_evidence::NoResponse).size() >=
               kQuarantineAnyCrashes;
  }
  return false;
}

// Fires aEvent in the chart of a part. Erases its record if it is trusted then.
// Precondition: the record exists.
void FirePart(prompt_quarantine& aQuarantine, std::uint64_t aPart,
              part_event aEvent, absl::Time aNow)
{
  const auto found = aQuarantine.mParts.find(aPart);
  part_record& record = found->second;
  const part_status before = record.mStatus;
  for (part_action action : Fire(aQuarantine.mChart, record.mStatus, aEvent,
                                 record, &EvaluateGuard)) {
    switch (action) {
      case part_action::StartSuspicion:
        record.mUntil = aNow + kSuspicionTime;
        break;
      case part_action::StartQuarantine:
        record.mUntil = aNow + kQuarantineTime;
        break;
      case part_action::RemoveReports:
        for (const auto& report : record.mCrashes) {
          aQuarantine.mUnwritten.insert({ aPart, report.first });
        }
        break;
    }
  }
  aQuarantine.mQuarantined +=
    (record.mStatus == part_status::Quarantined ? 1U : 0U);
  aQuarantine.mQuarantined -= (before == part_status::Quarantined ? 1U : 0U);
  if (record.mStatus != before || aEvent == part_event::ServerCrashed) {
    aQuarantine.mChanges.push_back(
      { aPart, record.mStatus,
        ListCrashes(record, crash_evidence::NoResponse).size(),
        ListCrashes(record, crash_evidence::ResponseBegun).size(), aEvent });
  }
  if (record.mStatus == part_status::Trusted) {
    aQuarantine.mParts.erase(found);
  }
}

// Returns the record of a part, a new one if there is none; null if there are
// too many.
part_record* FindOrAddRecord(prompt_quarantine& aQuarantine,
                             std::uint64_t aPart)
{
  const auto found = aQuarantine.mParts.find(aPart);
  if (found != aQuarantine.mParts.end()) {
    return &found->second;
  }
  return aQuarantine.mParts.size() < kMaxSuspectParts
           ? &aQuarantine.mParts[aPart]
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

// Removes a crash from the reports of this gateway on all parts. If it were
// removed from one only, parts that always come together would seem to have
// different crashes.
void ForgetOwnCrash(prompt_quarantine& aQuarantine, const std::string& aOwnName,
                    const std::string& aCrash)
{
  for (auto& part : aQuarantine.mParts) {
    const auto report = part.second.mCrashes.find(aOwnName);
    if (report == part.second.mCrashes.end()) {
      continue;
    }
    std::vector<server_crash>& crashes = report->second;
    const auto found = FindCrash(crashes, aCrash);
    if (found != crashes.end()) {
      crashes.erase(found);
      aQuarantine.mUnwritten.insert({ part.first, aOwnName });
    }
  }
}

// Returns true if a report of this gateway on aCrash would add nothing: it is
// known, or it may have the same cause as the last one.
bool IsCounted(const part_record& aRecord, const server_crash& aCrash,
               absl::Time aNow)
{
  if (ListCrashes(aRecord, aCrash.mEvidence).count(aCrash.mIncarnation) > 0) {
    return true;
  }
  const bool isStronger = ListCrashes(aRecord, crash_evidence::NoResponse)
                              .count(aCrash.mIncarnation) > 0 ||
                          aCrash.mEvidence > aRecord.mLastOwnEvidence;
  return !isStronger && aNow - aRecord.mLastOwnCrashAt < kCoincidenceTime;
}

bool Contains(const std::vector<std::uint64_t>& aParts, std::uint64_t aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

// Returns true if a part that is not among aParts has all crashes of aPart, and
// so may be the one to blame for them. Where the evidence against aPart is
// strong, weaker evidence against other parts says nothing.
bool MayBeBlameless(const prompt_quarantine& aQuarantine, std::uint64_t aPart,
                    const part_record& aRecord,
                    const std::vector<std::uint64_t>& aParts)
{
  const crash_evidence evidence = HasEnoughStrongEvidence(aRecord)
                                    ? crash_evidence::ResponseBegun
                                    : crash_evidence::NoResponse;
  const std::set<std::string> crashes = ListCrashes(aRecord, evidence);
  return std::any_of(
    aQuarantine.mParts.begin(), aQuarantine.mParts.end(),
    [&](const auto& aOther) {
      if (aOther.first == aPart || Contains(aParts, aOther.first)) {
        return false;
      }
      const std::set<std::string> others = ListCrashes(aOther.second, evidence);
      return std::includes(others.begin(), others.end(), crashes.begin(),
                           crashes.end());
    });
}

} // namespace

std::vector<std::uint64_t> ListSharedParts(
  const std::vector<prompt_part>& aParts)
{
  std::vector<std::uint64_t> shared;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    shared.push_back(aParts[i].mHash);
  }
  return shared;
}

bool HasRecentSuccess(const prompt_quarantine& aQuarantine, std::uint64_t aPart,
                      absl::Time aNow)
{
  const auto found = aQuarantine.mSuccesses.find(aPart);
  return found != aQuarantine.mSuccesses.end() &&
         aNow - found->second < kRecentSuccessTime;
}

void AddOwnCrash(prompt_quarantine& aQuarantine, const std::string& aOwnName,
                 std::uint64_t aPart, const server_crash& aCrash,
                 absl::Time aNow)
{
  part_record* record = HasRecentSuccess(aQuarantine, aPart, aNow)
                          ? nullptr
                          : FindOrAddRecord(aQuarantine, aPart);
  if (record == nullptr || IsCounted(*record, aCrash, aNow)) {
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
  aQuarantine.mUnwritten.insert({ aPart, aOwnName });
  FirePart(aQuarantine, aPart, part_event::ServerCrashed, aNow);
}

void ApplyCrashReport(prompt_quarantine& aQuarantine,
                      const crash_report& aReport, absl::Time aNow)
{
  const report_key key{ aReport.mPart, aReport.mGateway };
  if (aQuarantine.mUnwritten.count(key) > 0) {
    // Another gateway may have removed the report already.
    if (aReport.mCrashes.empty() &&
        MakeCrashReport(aQuarantine, key).mCrashes.empty()) {
      aQuarantine.mUnwritten.erase(key);
    }
    return;
  }
  if (aReport.mCrashes.empty()) {
    const auto found = aQuarantine.mParts.find(aReport.mPart);
    if (found == aQuarantine.mParts.end()) {
      return;
    }
    found->second.mCrashes.erase(aReport.mGateway);
    if (found->second.mCrashes.empty()) {
      FirePart(aQuarantine, aReport.mPart, part_event::Withdrawn, aNow);
    }
    return;
  }
  if (HasRecentSuccess(aQuarantine, aReport.mPart, aNow)) {
    aQuarantine.mUnwritten.insert(key);
    return;
  }
  part_record* record = FindOrAddRecord(aQuarantine, aReport.mPart);
  if (record == nullptr) {
    return;
  }
  const part_record before = *record;
  record->mCrashes[aReport.mGateway] = aReport.mCrashes;
  if (HasNewCrash(before, *record, crash_evidence::NoResponse) ||
      HasNewCrash(before, *record, crash_evidence::ResponseBegun)) {
    FirePart(aQuarantine, aReport.mPart, part_event::ServerCrashed, aNow);
  }
}

void RecordSuccess(prompt_quarantine& aQuarantine,
                   const std::vector<std::uint64_t>& aParts, absl::Time aNow)
{
  for (const std::uint64_t part : aParts) {
    aQuarantine.mSuccesses[part] = aNow;
    if (aQuarantine.mParts.count(part) > 0) {
      FirePart(aQuarantine, part, part_event::Succeeded, aNow);
    }
  }
}

void AdvanceQuarantine(prompt_quarantine& aQuarantine, absl::Time aNow)
{
  for (auto it = aQuarantine.mSuccesses.begin();
       it != aQuarantine.mSuccesses.end();) {
    const auto success = it++;
    if (aNow - success->second >= kRecentSuccessTime) {
      aQuarantine.mSuccesses.erase(success);
    }
  }
  for (auto it = aQuarantine.mParts.begin(); it != aQuarantine.mParts.end();) {
    const auto part = it++;
    if (aNow >= part->second.mUntil) {
      FirePart(aQuarantine, part->first, part_event::Expired, aNow);
    }
  }
}

std::optional<std::uint64_t> FindQuarantinedPart(
  const prompt_quarantine& aQuarantine,
  const std::vector<std::uint64_t>& aParts)
{
  for (const std::uint64_t part : aParts) {
    const auto found = aQuarantine.mParts.find(part);
    if (found != aQuarantine.mParts.end() &&
        found->second.mStatus == part_status::Quarantined &&
        !MayBeBlameless(aQuarantine, part, found->second, aParts)) {
      return part;
    }
  }
  return std::nullopt;
}

bool HasSuspectPart(const prompt_quarantine& aQuarantine,
                    const std::vector<std::uint64_t>& aParts)
{
  return std::any_of(aParts.begin(), aParts.end(),
                     [&aQuarantine](std::uint64_t aPart) {
                       return aQuarantine.mParts.count(aPart) > 0;
                     });
}

crash_report MakeCrashReport(const prompt_quarantine& aQuarantine,
                             const report_key& aKey)
{
  crash_report report;
  report.mPart = aKey.first;
  report.mGateway = aKey.second;
  const auto found = aQuarantine.mParts.find(aKey.first);
  if (found != aQuarantine.mParts.end()) {
    const auto crashes = found->second.mCrashes.find(aKey.second);
    if (crashes != found->second.mCrashes.end()) {
      report.mCrashes = crashes->second;
    }
  }
  return report;
}

} // namespace foxtailquay
