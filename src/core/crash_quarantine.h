// Parts of prompts, and whole requests, under which backend servers crash.
//
// A request that crashes the server that runs it would crash one server after
// the other, since it is sent to another one or comes again. A crash is
// evidence against what the server was running: against the shared parts of
// prompts to which it had sent no output, and against each request as a whole.
// Once enough servers have crashed under a suspect, requests with it are
// refused.
//
//   // A crash that this gateway has seen, and what another one has reported.
//   AddOwnCrash(quarantine, name, suspect, crash, now);
//   ApplyCrashReport(quarantine, report, now);
//   // A complete response to a request with these suspects.
//   RecordSuccess(quarantine, suspects, now);
//   if (FindQuarantined(quarantine, suspects)) { refuse the request }
//
// Suspects that always come together have the same crashes, so that the
// evidence does not tell which one is to blame; only requests with all of them
// are refused. A part of a prompt is also in requests that only wait at a
// server, so weak evidence counts less against it; a request that comes again
// is the same one. Life cycle of a suspect: charts/crash_suspect.yaml. Memory:
// at most kMaxSuspects records, kMaxSuccesses successes, kMaxClearedCrashes
// crashes, and kMaxUnwritten + kMaxSuspects names of unwritten reports. Not
// thread-safe.

#ifndef FOXTAILQUAY_CORE_CRASH_QUARANTINE_H
#define FOXTAILQUAY_CORE_CRASH_QUARANTINE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/gateway_events.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

// Number of crashes after which a request is quarantined if the servers had not
// sent output yet, and a part of prompts if they had begun to respond. Two may
// be a coincidence.
constexpr std::size_t kQuarantineCrashes = 3;
// Number of crashes of any kind after which a suspect is quarantined. Sound
// requests that wait at a server, or are in the middle of a long response,
// crash with it too, but rarely so often without a complete response in
// between.
constexpr std::size_t kQuarantineAnyCrashes = 5;
// Time for which requests with a suspect are refused after its last crash.
constexpr absl::Duration kQuarantineTime = absl::Minutes(2);
// Time without a crash after which the crashes of a suspect that is not
// quarantined are forgotten.
constexpr absl::Duration kSuspicionTime = absl::Minutes(5);
// A suspect with a complete response is not blamed for crashes during this
// time.
constexpr absl::Duration kRecentSuccessTime = absl::Seconds(3);
// Crashes of several servers within this time count once against a part of
// prompts, since they may have one common cause. A single request is sent to
// the next server after the first has crashed.
constexpr absl::Duration kCoincidenceTime = absl::Milliseconds(100);
// Number of crashes stored per suspect and gateway.
constexpr std::size_t kMaxReportedCrashes = 8;
constexpr std::size_t kMaxSuspects = 1024;
// Number of the oldest suspects that are forgotten at once if there are
// kMaxSuspects.
constexpr std::size_t kForgottenSuspects = kMaxSuspects / 4;
constexpr std::size_t kMaxSuccesses = 8192;
// Number of crashes remembered after their suspect was cleared of them.
constexpr std::size_t kMaxClearedCrashes = 4096;
// Number of unwritten reports above which the removal of further ones is left
// to gateways that start later and read them.
constexpr std::size_t kMaxUnwritten = 4 * kMaxSuspects;

enum class suspect_status
{
  Trusted,
  Suspect,
  Quarantined,
  Probation,
};

constexpr auto NameTable(suspect_status)
{
  using s = suspect_status;
  return MakeNameTable<s>({ { s::Trusted, "trusted" },
                            { s::Suspect, "suspect" },
                            { s::Quarantined, "quarantined" },
                            { s::Probation, "probation" } });
}

enum class suspect_event
{
  ServerCrashed,
  // A request with the suspect had a complete response.
  Succeeded,
  // Other gateways have removed all reports on the suspect.
  Withdrawn,
  Expired,
};

constexpr auto NameTable(suspect_event)
{
  using e = suspect_event;
  return MakeNameTable<e>({ { e::ServerCrashed, "server_crashed" },
                            { e::Succeeded, "succeeded" },
                            { e::Withdrawn, "withdrawn" },
                            { e::Expired, "expired" } });
}

enum class suspect_guard
{
  CrashesReached,
};

constexpr auto NameTable(suspect_guard)
{
  return MakeNameTable<suspect_guard>(
    { { suspect_guard::CrashesReached, "crashes_reached" } });
}

enum class suspect_action
{
  StartSuspicion,
  StartQuarantine,
  // Removes the reports of all gateways from the store.
  RemoveReports,
};

constexpr auto NameTable(suspect_action)
{
  using a = suspect_action;
  return MakeNameTable<a>({ { a::StartSuspicion, "start_suspicion" },
                            { a::StartQuarantine, "start_quarantine" },
                            { a::RemoveReports, "remove_reports" } });
}

using suspect_chart =
  chart<suspect_status, suspect_event, suspect_guard, suspect_action>;

// What is known of one suspect.
struct suspect_record
{
  suspect_status mStatus = suspect_status::Trusted;
  // Crashes by the gateway that reported them, oldest first.
  std::map<std::string, std::vector<server_crash>> mCrashes;
  // End of the present state.
  absl::Time mUntil = absl::InfiniteFuture();
  // Time and evidence of the last crash that this gateway has counted.
  absl::Time mLastOwnCrashAt = absl::InfinitePast();
  crash_evidence mLastOwnEvidence = crash_evidence::OutputSent;
};

// What a crash may have been due to, with the evidence against each.
using crash_suspects = std::map<suspect_id, crash_evidence>;

// Identifies the report of a gateway on a suspect.
using report_key = std::pair<suspect_id, std::string>;

// A suspect whose state has changed, for the log.
struct suspect_change
{
  suspect_id mSuspect;
  suspect_status mStatus = suspect_status::Trusted;
  std::size_t mCrashes = 0;
  // Those of the crashes for which the evidence is strong.
  std::size_t mStrongCrashes = 0;
  suspect_event mCause = suspect_event::ServerCrashed;
};

struct crash_quarantine
{
  suspect_chart mChart;
  // Those that are not trusted.
  std::map<suspect_id, suspect_record> mSuspects;
  // Number of those for which requests are refused.
  std::size_t mQuarantined = 0;
  // Time of the last complete response to a request with a suspect.
  absl::flat_hash_map<suspect_id, absl::Time> mSuccesses;
  // Crashes of which a suspect was cleared, and the same in their order. The
  // store may execute a report on them late.
  std::set<std::pair<suspect_id, std::string>> mCleared;
  std::deque<std::pair<suspect_id, std::string>> mClearedOrder;
  // Reports that differ from those in the store.
  std::set<report_key> mUnwritten;
  // Changes since the caller last took them.
  std::vector<suspect_change> mChanges;
};

// Returns the parts of a prompt that other requests may have too: all but the
// last.
std::vector<suspect_id> ListSharedParts(const std::vector<prompt_part>& aParts);

// Returns true if a request with the suspect had a complete response within
// kRecentSuccessTime before aNow.
bool HasRecentSuccess(const crash_quarantine& aQuarantine,
                      const suspect_id& aSuspect, absl::Time aNow);

// Counts a crash under aSuspect that gateway aOwnName, this one, has observed.
// A second report of a crash only counts if its evidence is stronger. No effect
// after a recent success. Forgets the oldest suspects if there are too many.
void AddOwnCrash(crash_quarantine& aQuarantine, const std::string& aOwnName,
                 const suspect_id& aSuspect, const server_crash& aCrash,
                 absl::Time aNow);

// Adopts the report of a gateway from the store. One that this gateway has not
// written yet is ignored. After a recent success, or if the suspect was cleared
// of all its crashes, the report is removed from the store.
void ApplyCrashReport(crash_quarantine& aQuarantine,
                      const crash_report& aReport, absl::Time aNow);

// Records a complete response to a request with these suspects, which clears
// them.
void RecordSuccess(crash_quarantine& aQuarantine,
                   const std::vector<suspect_id>& aSuspects, absl::Time aNow);

// Ends the states whose time has passed at aNow.
void AdvanceQuarantine(crash_quarantine& aQuarantine, absl::Time aNow);

// Returns the quarantined suspect because of which a request with these must be
// refused. Takes time proportional to the number of records if it has a
// quarantined one, and is short otherwise.
std::optional<suspect_id> FindQuarantined(
  const crash_quarantine& aQuarantine,
  const std::vector<suspect_id>& aSuspects);

// Returns true if servers have crashed under one of the suspects.
bool HasSuspect(const crash_quarantine& aQuarantine,
                const std::vector<suspect_id>& aSuspects);

// Returns the report on aKey as it should be in the store; without crashes if
// it should be removed.
crash_report MakeCrashReport(const crash_quarantine& aQuarantine,
                             const report_key& aKey);

} // namespace foxtailquay

#endif
