// Parts of prompts under which backend servers crash.
//
// A request whose prompt crashes the engine that responds to it would crash one
// engine after the other. A crash is evidence against the parts of the prompts
// that the server had and to which it had sent no output. Where it had begun to
// respond, the evidence is strong; otherwise the request may only have waited.
// Once enough servers have crashed under a part, requests with it are refused.
//
//   AddOwnCrash(quarantine, name, part, crash, now);  // seen by this gateway
//   ApplyCrashReport(quarantine, report, now);        // seen by another one
//   RecordSuccess(quarantine, parts, now);            // a complete response
//   if (FindQuarantinedPart(quarantine, parts)) {}    // refuse the request
//
// Parts that always come together have the same crashes, so that the evidence
// does not tell which one is to blame; only requests with all of them are
// refused. Life cycle of a part: charts/prompt_part.yaml. Memory: at most
// kMaxSuspectParts records, and one entry for each part that was in a complete
// response within kRecentSuccessTime. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_PROMPT_QUARANTINE_H
#define FOXTAILQUAY_CORE_PROMPT_QUARANTINE_H

#include <cstddef>
#include <cstdint>
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

// Number of crashes after which a part is quarantined if the servers had begun
// to respond. Two may be a coincidence.
constexpr std::size_t kQuarantineCrashes = 3;
// Number of crashes after which a part is quarantined whether or not the
// servers had begun to respond. Sound requests that wait at a server crash with
// it too, but rarely so often without a complete response in between.
constexpr std::size_t kQuarantineAnyCrashes = 5;
// Time for which requests with a part are refused after its last crash.
constexpr absl::Duration kQuarantineTime = absl::Minutes(2);
// Time without a crash after which the crashes of a part that is not
// quarantined are forgotten.
constexpr absl::Duration kSuspicionTime = absl::Minutes(5);
// A part of a complete response is not blamed for crashes during this time.
constexpr absl::Duration kRecentSuccessTime = absl::Seconds(3);
// Crashes of several servers within this time count once, since they may have
// one common cause.
constexpr absl::Duration kCoincidenceTime = absl::Milliseconds(100);
// Number of crashes stored per part and gateway.
constexpr std::size_t kMaxReportedCrashes = 8;
constexpr std::size_t kMaxSuspectParts = 1024;

enum class part_status
{
  Trusted,
  Suspect,
  Quarantined,
  Probation,
};

constexpr auto NameTable(part_status)
{
  using s = part_status;
  return MakeNameTable<s>({ { s::Trusted, "trusted" },
                            { s::Suspect, "suspect" },
                            { s::Quarantined, "quarantined" },
                            { s::Probation, "probation" } });
}

enum class part_event
{
  ServerCrashed,
  // A request with the part had a complete response.
  Succeeded,
  // Other gateways have removed all reports on the part.
  Withdrawn,
  Expired,
};

constexpr auto NameTable(part_event)
{
  using e = part_event;
  return MakeNameTable<e>({ { e::ServerCrashed, "server_crashed" },
                            { e::Succeeded, "succeeded" },
                            { e::Withdrawn, "withdrawn" },
                            { e::Expired, "expired" } });
}

enum class part_guard
{
  CrashesReached,
};

constexpr auto NameTable(part_guard)
{
  return MakeNameTable<part_guard>(
    { { part_guard::CrashesReached, "crashes_reached" } });
}

enum class part_action
{
  StartSuspicion,
  StartQuarantine,
  // Removes the reports of all gateways from the store.
  RemoveReports,
};

constexpr auto NameTable(part_action)
{
  using a = part_action;
  return MakeNameTable<a>({ { a::StartSuspicion, "start_suspicion" },
                            { a::StartQuarantine, "start_quarantine" },
                            { a::RemoveReports, "remove_reports" } });
}

using part_chart = chart<part_status, part_event, part_guard, part_action>;

// What is known of one part.
struct part_record
{
  part_status mStatus = part_status::Trusted;
  // Crashes by the gateway that reported them, oldest first.
  std::map<std::string, std::vector<server_crash>> mCrashes;
  // End of the present state.
  absl::Time mUntil = absl::InfiniteFuture();
  // Time and evidence of the last crash that this gateway has counted.
  absl::Time mLastOwnCrashAt = absl::InfinitePast();
  crash_evidence mLastOwnEvidence = crash_evidence::NoResponse;
};

// Parts that a crash may have been due to, with the evidence against each.
using suspect_parts = std::map<std::uint64_t, crash_evidence>;

// Identifies the report of a gateway on a part.
using report_key = std::pair<std::uint64_t, std::string>;

// A part whose state has changed, for the log.
struct part_change
{
  std::uint64_t mPart = 0;
  part_status mStatus = part_status::Trusted;
  std::size_t mCrashes = 0;
  // Those of the crashes for which the evidence is strong.
  std::size_t mStrongCrashes = 0;
  part_event mCause = part_event::ServerCrashed;
};

struct prompt_quarantine
{
  part_chart mChart;
  // Parts that are not trusted.
  std::map<std::uint64_t, part_record> mParts;
  // Number of those for which requests are refused.
  std::size_t mQuarantined = 0;
  // Time of the last complete response with a part.
  absl::flat_hash_map<std::uint64_t, absl::Time> mSuccesses;
  // Reports that differ from those in the store.
  std::set<report_key> mUnwritten;
  // Changes since the caller last took them.
  std::vector<part_change> mChanges;
};

// Returns the hashes of the parts of a prompt that other requests may have too:
// all but the last.
std::vector<std::uint64_t> ListSharedParts(
  const std::vector<prompt_part>& aParts);

// Returns true if a request with the part had a complete response within
// kRecentSuccessTime before aNow.
bool HasRecentSuccess(const prompt_quarantine& aQuarantine, std::uint64_t aPart,
                      absl::Time aNow);

// Counts a crash under aPart that gateway aOwnName, this one, has observed. A
// second report of a crash only counts if its evidence is stronger. No effect
// after a recent success.
void AddOwnCrash(prompt_quarantine& aQuarantine, const std::string& aOwnName,
                 std::uint64_t aPart, const server_crash& aCrash,
                 absl::Time aNow);

// Adopts the report of a gateway from the store. One that this gateway has not
// written yet is ignored. After a recent success, the report is removed from
// the store.
void ApplyCrashReport(prompt_quarantine& aQuarantine,
                      const crash_report& aReport, absl::Time aNow);

// Records a complete response to a request with these parts, which clears them.
void RecordSuccess(prompt_quarantine& aQuarantine,
                   const std::vector<std::uint64_t>& aParts, absl::Time aNow);

// Ends the states whose time has passed at aNow.
void AdvanceQuarantine(prompt_quarantine& aQuarantine, absl::Time aNow);

// Returns the quarantined part because of which a request with these parts must
// be refused. Takes time proportional to the number of records if it has a
// quarantined part, and is short otherwise.
std::optional<std::uint64_t> FindQuarantinedPart(
  const prompt_quarantine& aQuarantine,
  const std::vector<std::uint64_t>& aParts);

// Returns true if servers have crashed under one of the parts.
bool HasSuspectPart(const prompt_quarantine& aQuarantine,
                    const std::vector<std::uint64_t>& aParts);

// Returns the report on aKey as it should be in the store; without crashes if
// it should be removed.
crash_report MakeCrashReport(const prompt_quarantine& aQuarantine,
                             const report_key& aKey);

} // namespace foxtailquay

#endif
