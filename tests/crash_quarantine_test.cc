// Guards against requests of one kind that crash one server after the other,
// and against sound requests that are refused for it: the evidence against
// requests and parts of prompts, their quarantine, and its end.

#define BOOST_TEST_MODULE crash_quarantine
#include <boost/test/unit_test.hpp>

#include "crash_values.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

std::vector<suspect_id> MakeParts(const std::vector<std::uint64_t>& aHashes)
{
  std::vector<suspect_id> parts;
  parts.reserve(aHashes.size());
  for (const std::uint64_t hash : aHashes) {
    parts.push_back(MakePart(hash));
  }
  return parts;
}

// Returns the hash of the quarantined part because of which a request with
// these parts must be refused.
std::optional<std::uint64_t> FindQuarantinedPart(
  const crash_quarantine& aQuarantine,
  const std::vector<std::uint64_t>& aHashes)
{
  const auto found = FindQuarantined(aQuarantine, MakeParts(aHashes));
  return found ? std::optional<std::uint64_t>(found->mHash) : std::nullopt;
}

bool HasSuspectPart(const crash_quarantine& aQuarantine,
                    const std::vector<std::uint64_t>& aHashes)
{
  return HasSuspect(aQuarantine, MakeParts(aHashes));
}

crash_quarantine MakeQuarantine()
{
  crash_quarantine quarantine;
  const auto charts = ReadChartTexts();
  auto table = ParseChart(charts.at("crash_suspect.yaml"), "crash_suspect.yaml",
                          ListNamesOfChart(quarantine.mChart));
  BOOST_REQUIRE(IsOk(table));
  quarantine.mChart.mTable = GetValue(std::move(table));
  return quarantine;
}

// Counts crashes aFrom to aFrom + aCount - 1 under each of the parts. Returns
// the time after the last one.
absl::Time AddCrashes(crash_quarantine& aQuarantine,
                      const std::vector<std::uint64_t>& aParts, int aFrom,
                      int aCount, absl::Time aStart = kStart,
                      crash_evidence aEvidence = crash_evidence::ResponseBegun)
{
  absl::Time now = aStart;
  for (int i = aFrom; i < aFrom + aCount; ++i) {
    for (const std::uint64_t part : aParts) {
      AddOwnCrash(aQuarantine, "g", MakePart(part),
                  { "e" + std::to_string(i) + "/1", aEvidence }, now);
    }
    now += kPause;
  }
  return now;
}

// Counts crashes as AddCrashes does, of servers that had not begun to respond.
absl::Time AddUnansweredCrashes(crash_quarantine& aQuarantine,
                                const std::vector<std::uint64_t>& aParts,
                                int aFrom, int aCount,
                                absl::Time aStart = kStart)
{
  return AddCrashes(aQuarantine, aParts, aFrom, aCount, aStart,
                    crash_evidence::NoResponse);
}

BOOST_AUTO_TEST_CASE(a_part_is_quarantined_after_enough_crashes)
{
  crash_quarantine quarantine = MakeQuarantine();
  AddCrashes(quarantine, { kPoisonous }, 1, 2);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon, kPoisonous }));
  BOOST_TEST(HasSuspectPart(quarantine, { kCommon, kPoisonous }));
  AddCrashes(quarantine, { kPoisonous }, 3, 1, kStart + 2 * kPause);
  BOOST_TEST((FindQuarantinedPart(quarantine, { kCommon, kPoisonous }) ==
              std::optional<std::uint64_t>(kPoisonous)));
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon, kSubject }));
}

// A server that crashes once under several attempts has crashed once.
BOOST_AUTO_TEST_CASE(one_crash_counts_once)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (int i = 0; i < 5; ++i) {
    AddOwnCrash(quarantine, "g", MakePart(kPoisonous), { "e1/1" },
                kStart + i * kPause);
  }
  ApplyCrashReport(quarantine, MakeReport(kPoisonous, "h", { "e1/1" }), kStart);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kPoisonous }));
}

// Servers that crash at the same moment may have lost power together.
BOOST_AUTO_TEST_CASE(crashes_at_the_same_moment_count_once)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (int i = 0; i < 5; ++i) {
    AddOwnCrash(quarantine, "g", MakePart(kCommon),
                { "e" + std::to_string(i) + "/1" },
                kStart + i * absl::Milliseconds(10));
  }
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon }));
}

// A part that many sound requests have is on every server that crashes.
BOOST_AUTO_TEST_CASE(a_part_of_recent_complete_responses_is_not_blamed)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (int i = 0; i < 10; ++i) {
    const absl::Time now = kStart + i * kPause;
    RecordSuccess(quarantine, MakeParts({ kCommon }), now);
    AddCrashes(quarantine, { kCommon, kPoisonous }, i, 1, now + kPause / 2);
  }
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon }));
  BOOST_TEST(
    FindQuarantinedPart(quarantine, { kCommon, kPoisonous }).has_value());
}

// A part may become poisonous, for example with a new version of a model.
BOOST_AUTO_TEST_CASE(an_old_success_does_not_clear_a_part)
{
  crash_quarantine quarantine = MakeQuarantine();
  RecordSuccess(quarantine, MakeParts({ kPoisonous }), kStart);
  AddCrashes(quarantine, { kPoisonous }, 1, 3, kStart + kRecentSuccessTime);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
}

// Callers whose sound prompts share a part with the poisonous ones must be
// served.
BOOST_AUTO_TEST_CASE(a_part_that_always_comes_with_the_poisonous_one_passes)
{
  crash_quarantine quarantine = MakeQuarantine();
  absl::Time now = AddCrashes(quarantine, { kSubject, kPoisonous }, 1, 3);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kCommon, kSubject, kPoisonous })
               .has_value());
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon, kSubject }));
  // A further crash without the subject decides which one is to blame.
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kOtherSubject, kPoisonous }));
  now = AddCrashes(quarantine, { kOtherSubject, kPoisonous }, 4, 1, now);
  BOOST_TEST(
    FindQuarantinedPart(quarantine, { kOtherSubject, kPoisonous }).has_value());
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon, kSubject }));
  // So does a complete response without the poisonous part.
  RecordSuccess(quarantine, MakeParts({ kSubject }), now);
  BOOST_TEST(!HasSuspectPart(quarantine, { kSubject }));
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
}

// More crashes than are stored must not make a companion look guilty.
BOOST_AUTO_TEST_CASE(old_crashes_are_dropped_for_all_parts_alike)
{
  crash_quarantine quarantine = MakeQuarantine();
  const int many = static_cast<int>(kMaxReportedCrashes) + 4;
  const absl::Time now =
    AddCrashes(quarantine, { kSubject, kPoisonous }, 1, many);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kSubject }));
  AddCrashes(quarantine, { kPoisonous }, many + 1, 1, now);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kSubject }));
  BOOST_TEST(MakeCrashReport(quarantine, { MakePart(kPoisonous), "g" })
               .mCrashes.size() == kMaxReportedCrashes);
}

// Each gateway may see one of the crashes only.
BOOST_AUTO_TEST_CASE(crashes_of_all_gateways_count_together)
{
  crash_quarantine quarantine = MakeQuarantine();
  AddCrashes(quarantine, { kPoisonous }, 1, 1);
  ApplyCrashReport(quarantine, MakeReport(kPoisonous, "h", { "e2/1" }), kStart);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kPoisonous }));
  ApplyCrashReport(quarantine, MakeReport(kPoisonous, "i", { "e3/1" }), kStart);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
}

// A gateway that knows better removes the report of another.
BOOST_AUTO_TEST_CASE(a_success_withdraws_the_reports_of_all_gateways)
{
  crash_quarantine quarantine = MakeQuarantine();
  ApplyCrashReport(quarantine, MakeReport(kSubject, "h", { "e1/1" }), kStart);
  RecordSuccess(quarantine, MakeParts({ kSubject }), kStart);
  BOOST_TEST(quarantine.mUnwritten.count({ MakePart(kSubject), "h" }) == 1U);
  BOOST_TEST(
    MakeCrashReport(quarantine, { MakePart(kSubject), "h" }).mCrashes.empty());
  // A report that arrives shortly after the success is removed too.
  ApplyCrashReport(quarantine, MakeReport(kSubject, "i", { "e1/1" }),
                   kStart + kPause);
  BOOST_TEST(quarantine.mUnwritten.count({ MakePart(kSubject), "i" }) == 1U);
  BOOST_TEST(!HasSuspectPart(quarantine, { kSubject }));
}

BOOST_AUTO_TEST_CASE(a_withdrawn_report_no_longer_counts)
{
  crash_quarantine quarantine = MakeQuarantine();
  ApplyCrashReport(
    quarantine, MakeReport(kSubject, "h", { "e1/1", "e2/1", "e3/1" }), kStart);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kSubject }).has_value());
  ApplyCrashReport(quarantine, MakeReport(kSubject, "h", {}), kStart);
  BOOST_TEST(!HasSuspectPart(quarantine, { kSubject }));
}

// Callers must be served again once the servers are repaired, and a part that
// still crashes servers must cost few of them.
BOOST_AUTO_TEST_CASE(a_quarantine_ends_and_the_next_crash_renews_it)
{
  crash_quarantine quarantine = MakeQuarantine();
  absl::Time now = AddCrashes(quarantine, { kPoisonous }, 1, 3);
  AdvanceQuarantine(quarantine, now + kQuarantineTime - 2 * kPause);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
  now += kQuarantineTime;
  AdvanceQuarantine(quarantine, now);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kPoisonous }));
  now = AddCrashes(quarantine, { kPoisonous }, 4, 1, now);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
  now += kQuarantineTime;
  AdvanceQuarantine(quarantine, now);
  now += kSuspicionTime;
  AdvanceQuarantine(quarantine, now);
  BOOST_TEST(!HasSuspectPart(quarantine, { kPoisonous }));
  BOOST_TEST(quarantine.mUnwritten.count({ MakePart(kPoisonous), "g" }) == 1U);
}

// Guards against crashes before the header section of the response is complete:
// they are weaker evidence, but they count.
BOOST_AUTO_TEST_CASE(crashes_before_any_response_quarantine_a_part_later)
{
  crash_quarantine quarantine = MakeQuarantine();
  const absl::Time now = AddUnansweredCrashes(
    quarantine, { kPoisonous }, 1, static_cast<int>(kQuarantineAnyCrashes) - 1);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kPoisonous }));
  AddUnansweredCrashes(quarantine, { kPoisonous },
                       static_cast<int>(kQuarantineAnyCrashes), 1, now);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
}

// Guards against sound requests that are blamed because they waited at servers
// that the poisonous part crashed, and against poisonous requests that pass
// because of them.
BOOST_AUTO_TEST_CASE(a_part_that_waited_at_the_same_crashes_passes)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (int i = 1; i <= 8; ++i) {
    const absl::Time now = kStart + i * kPause;
    AddCrashes(quarantine, { kPoisonous }, i, 1, now);
    AddUnansweredCrashes(quarantine, { kSubject }, i, 1, now);
  }
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kCommon, kSubject }));
  BOOST_TEST(
    FindQuarantinedPart(quarantine, { kCommon, kPoisonous }).has_value());
}

// Guards against weak evidence that hides strong evidence on the same crash or
// on one at the same moment.
BOOST_AUTO_TEST_CASE(stronger_evidence_replaces_weaker)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (int i = 1; i <= 3; ++i) {
    const absl::Time now = kStart + i * kPause;
    AddUnansweredCrashes(quarantine, { kPoisonous }, i, 1, now);
    BOOST_TEST(!FindQuarantinedPart(quarantine, { kPoisonous }));
    AddCrashes(quarantine, { kPoisonous }, i, 1, now);
  }
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
}

// Each gateway may have seen another sign of the same crash.
BOOST_AUTO_TEST_CASE(evidence_of_other_gateways_counts_by_its_strength)
{
  crash_quarantine quarantine = MakeQuarantine();
  AddUnansweredCrashes(quarantine, { kPoisonous }, 1, 3);
  ApplyCrashReport(quarantine, MakeReport(kPoisonous, "h", { "e1/1", "e2/1" }),
                   kStart);
  BOOST_TEST(!FindQuarantinedPart(quarantine, { kPoisonous }));
  ApplyCrashReport(quarantine, MakeReport(kPoisonous, "i", { "e3/1" }), kStart);
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
}

// The evidence must not grow with the number of different prompts and requests.
// New suspects take the place of old ones, so that a deadly request is still
// recognized after the crash of a whole availability zone.
BOOST_AUTO_TEST_CASE(the_number_of_records_is_bounded)
{
  crash_quarantine quarantine = MakeQuarantine();
  AddCrashes(quarantine, { kPoisonous }, 1, 3);
  for (std::uint64_t i = 0; i < 8 * kMaxSuspects; ++i) {
    const absl::Time now = kStart + static_cast<int>(i) * kPause / 100;
    const suspect_id suspect =
      i % 2 == 0 ? MakePart(i + 0x10000) : MakeRequest(i + 0x10000);
    AddOwnCrash(quarantine, "g", suspect, { "e1/1" }, now);
    BOOST_REQUIRE(quarantine.mSuspects.count(suspect) == 1U);
    BOOST_REQUIRE(quarantine.mSuspects.size() <= kMaxSuspects);
    BOOST_REQUIRE(quarantine.mUnwritten.size() <= kMaxUnwritten + kMaxSuspects);
  }
  BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
  std::vector<suspect_id> all;
  for (const auto& each : quarantine.mSuspects) {
    all.push_back(each.first);
  }
  RecordSuccess(quarantine, all, kStart);
  BOOST_TEST(quarantine.mSuspects.empty());
  for (std::uint64_t i = 0; i < 2 * kMaxSuccesses; ++i) {
    RecordSuccess(quarantine, { MakeRequest(i) }, kStart);
  }
  BOOST_TEST(quarantine.mSuccesses.size() == kMaxSuccesses);
  AdvanceQuarantine(quarantine, kStart + kRecentSuccessTime);
  BOOST_TEST(quarantine.mSuccesses.empty());
}

// A request that comes again is the same one, so that it needs no stronger
// evidence: a plain service never shows that it has begun. Only if it had
// output from each server, which shows that they ran it for a while, it needs
// more.
BOOST_AUTO_TEST_CASE(a_request_is_quarantined_after_its_crashes)
{
  for (const auto& evidence : NameTable(crash_evidence{})) {
    const std::size_t enough = evidence.mValue == crash_evidence::OutputSent
                                 ? kQuarantineAnyCrashes
                                 : kQuarantineCrashes;
    crash_quarantine quarantine = MakeQuarantine();
    // The gateway repeats a short request within a few milliseconds.
    for (std::size_t i = 1; i <= enough; ++i) {
      BOOST_TEST(!FindQuarantined(quarantine, { MakeRequest(1) }));
      AddOwnCrash(quarantine, "g", MakeRequest(1),
                  { "e" + std::to_string(i) + "/1", evidence.mValue },
                  kStart + static_cast<int>(i) * absl::Milliseconds(10));
    }
    BOOST_TEST(FindQuarantined(quarantine, { MakeRequest(1) }).has_value());
    BOOST_TEST(!FindQuarantined(quarantine, { MakeRequest(2) }));
    BOOST_TEST(!FindQuarantinedPart(quarantine, { 1 }));
  }
}

// Sound requests with the same parts as a deadly one must be served.
BOOST_AUTO_TEST_CASE(a_part_is_not_blamed_for_the_crashes_of_one_request)
{
  crash_quarantine quarantine = MakeQuarantine();
  absl::Time now = kStart;
  for (int i = 1; i <= 6; ++i) {
    const server_crash crash{ "e" + std::to_string(i) + "/1" };
    AddOwnCrash(quarantine, "g", MakePart(kSubject), crash, now);
    AddOwnCrash(quarantine, "g", MakeRequest(1), crash, now);
    now += kPause;
  }
  BOOST_TEST(FindQuarantined(quarantine, { MakePart(kSubject), MakeRequest(1) })
               .has_value());
  BOOST_TEST(
    !FindQuarantined(quarantine, { MakePart(kSubject), MakeRequest(2) }));
}

// A sound request that is repeated beside a deadly one has the same crashes at
// first; the next one tells them apart.
BOOST_AUTO_TEST_CASE(a_request_with_fewer_crashes_than_another_one_passes)
{
  crash_quarantine quarantine = MakeQuarantine();
  absl::Time now = kStart;
  for (int i = 1; i <= 4; ++i) {
    const server_crash crash{ "e" + std::to_string(i) + "/1",
                              crash_evidence::NoResponse };
    AddOwnCrash(quarantine, "g", MakeRequest(1), crash, now);
    if (i < 4) {
      AddOwnCrash(quarantine, "g", MakeRequest(2), crash, now);
    }
    now += kPause;
  }
  BOOST_TEST(FindQuarantined(quarantine, { MakeRequest(1) }).has_value());
  BOOST_TEST(!FindQuarantined(quarantine, { MakeRequest(2) }));
}

// Two requests that always come at the same moments must not excuse each other
// for good.
BOOST_AUTO_TEST_CASE(two_deadly_requests_do_not_excuse_each_other_for_good)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (int i = 1; i <= static_cast<int>(kQuarantineAnyCrashes); ++i) {
    for (const std::uint64_t request : { 1U, 2U }) {
      AddOwnCrash(quarantine, "g", MakeRequest(request),
                  { "e" + std::to_string(i) + "/1" }, kStart + i * kPause);
    }
  }
  BOOST_TEST(FindQuarantined(quarantine, { MakeRequest(1) }).has_value());
  BOOST_TEST(FindQuarantined(quarantine, { MakeRequest(2) }).has_value());
}

// Guards against sound requests that are refused for minutes: the store
// executes a report on crashes after a response has cleared the request of
// them, and long enough for that response not to be recent any more.
BOOST_AUTO_TEST_CASE(a_late_report_does_not_undo_a_success)
{
  constexpr absl::Duration kLate = absl::Seconds(6);
  const crash_report late =
    MakeReport(kPoisonous, "h", { "e1/1", "e2/1", "e3/1" });
  for (const bool isOwnSuccess : { true, false }) {
    crash_quarantine quarantine = MakeQuarantine();
    ApplyCrashReport(quarantine, late, kStart);
    BOOST_TEST(FindQuarantinedPart(quarantine, { kPoisonous }).has_value());
    if (isOwnSuccess) {
      RecordSuccess(quarantine, MakeParts({ kPoisonous }), kStart);
      quarantine.mUnwritten.clear();
    } else {
      ApplyCrashReport(quarantine, MakeReport(kPoisonous, "h", {}), kStart);
    }
    ApplyCrashReport(quarantine, late, kStart + kLate);
    BOOST_TEST(!HasSuspectPart(quarantine, { kPoisonous }));
    // It is removed from the store.
    BOOST_TEST(quarantine.mUnwritten.size() == 1U);
    ApplyCrashReport(quarantine, MakeReport(kPoisonous, "g", { "e9/1" }),
                     kStart + kLate);
    BOOST_TEST(HasSuspectPart(quarantine, { kPoisonous }));
  }
}

// Guards against memory that grows with the number of crashes.
BOOST_AUTO_TEST_CASE(the_number_of_cleared_crashes_is_bounded)
{
  crash_quarantine quarantine = MakeQuarantine();
  for (std::uint64_t i = 0; i < kMaxClearedCrashes + 100; ++i) {
    ApplyCrashReport(quarantine, MakeReport(i, "h", { "e1/1" }), kStart);
    ApplyCrashReport(quarantine, MakeReport(i, "h", {}), kStart);
  }
  BOOST_TEST(quarantine.mCleared.size() == kMaxClearedCrashes);
  BOOST_TEST(quarantine.mClearedOrder.size() == kMaxClearedCrashes);
}

} // namespace
} // namespace foxtailquay
