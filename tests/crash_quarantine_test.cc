// Guards against requests of one kind that crash one server after the other,
// and against sound requests that are refused for it: the evidence against
// parts of prompts, their quarantine, and its end.

#define BOOST_TEST_MODULE crash_quarantine
#include <boost/test/unit_test.hpp>

#include "core/crash_quarantine.h"
#include "core/gateway_state.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

constexpr std::uint64_t kCommon = 0x10;
constexpr std::uint64_t kSubject = 0x20;
constexpr std::uint64_t kOtherSubject = 0x21;
constexpr std::uint64_t kPoisonous = 0xdead;
// Time until a change of the store has reached all gateways: the rest between
// two watches and a call.
constexpr absl::Duration kMaxWatchDelay = absl::Milliseconds(250);
// Longer than kCoincidenceTime.
constexpr absl::Duration kPause = absl::Seconds(1);

suspect_id MakePart(std::uint64_t aHash)
{
  return { suspect_kind::PromptPart, aHash };
}

suspect_id MakeRequest(std::uint64_t aHash)
{
  return { suspect_kind::Request, aHash };
}

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

crash_report MakeReport(std::uint64_t aPart, const std::string& aGateway,
                        const std::vector<std::string>& aCrashes)
{
  crash_report report{ MakePart(aPart), aGateway, {} };
  for (const std::string& crash : aCrashes) {
    report.mCrashes.push_back({ crash, crash_evidence::ResponseBegun });
  }
  return report;
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

// --- A gateway --------------------------------------------------------------

caller_request MakePrompt(gateway_fixture& aFixture,
                          const std::vector<std::uint64_t>& aParts)
{
  caller_request request = MakeCallerRequest(aFixture, "/chat/1");
  for (const std::uint64_t part : aParts) {
    request.mPromptParts.push_back({ part, 10 });
  }
  request.mPromptParts.push_back({ 0x1000 + request.mHandle, 10 });
  return request;
}

// Returns a gateway without prepaid totals, so that no request waits for
// tokens.
gateway_fixture MakePromptGateway()
{
  gateway_fixture fixture = MakeReadyGateway();
  traffic_config config = MakeConfig(6);
  config.mWorkspaces[0].mPrepaid.reset();
  config.mRoutes[2].mResumable = true;
  config.mRoutes[2].mMaxAttempts = 2;
  DeliverConfig(fixture, config, 20);
  fixture.mActions.clear();
  return fixture;
}

// Sends a prompt and breaks its attempt off before its first event, by default
// after the header section of the response. Returns the probe of the server.
probe_server BreakPrompt(gateway_fixture& aFixture,
                         const std::vector<std::uint64_t>& aParts,
                         bool aHasBegun = true)
{
  aFixture.mActions.clear();
  FireEvent(aFixture, MakePrompt(aFixture, aParts));
  auto report =
    MakeAttemptReport(TakeOnlyDispatch(aFixture), attempt_outcome::Broken);
  report.mStatus = aHasBegun ? 200 : 0;
  report.mHasBegun = aHasBegun;
  FireEvent(aFixture, report);
  // Taken without the other actions, which the test may check.
  std::vector<probe_server> probes;
  for (const gateway_action& action : aFixture.mActions) {
    if (const auto* probe = std::get_if<probe_server>(&action)) {
      probes.push_back(*probe);
    }
  }
  BOOST_REQUIRE(probes.size() == 1);
  return probes[0];
}

// Lets a server crash under a prompt and return as another incarnation.
void CrashUnderPrompt(gateway_fixture& aFixture,
                      const std::vector<std::uint64_t>& aParts, int aNumber,
                      bool aHasBegun = true)
{
  const probe_server probe = BreakPrompt(aFixture, aParts, aHasBegun);
  FireEvent(aFixture, server_probed{ probe.mBackend, probe.mStartedMs, true });
  backend_entry entry = MakeBackendEntry("engines", probe.mAddress);
  entry.mStartedMs = aNumber;
  DeliverBackends(aFixture, 30 + aNumber, false,
                  { { probe.mBackend.mValue,
                      static_cast<store_version>(30 + aNumber), entry } });
  AdvanceTime(aFixture, kPause);
}

BOOST_AUTO_TEST_CASE(a_gateway_refuses_prompts_under_which_servers_crash)
{
  gateway_fixture fixture = MakePromptGateway();
  for (int i = 1; i <= 3; ++i) {
    CrashUnderPrompt(fixture, { kCommon, kPoisonous }, i);
  }
  // The common part has no complete response here, so that it comes with the
  // poisonous part always.
  fixture.mActions.clear();
  FireEvent(fixture, MakePrompt(fixture, { kCommon, kPoisonous }));
  BOOST_TEST(GetSummary(*fixture.mNode).mQuarantinedSuspects == 2U);
  const auto errors = TakeActions<send_error>(fixture);
  BOOST_REQUIRE(errors.size() == 1);
  BOOST_TEST((errors[0].mError.mCode == error_code::PromptQuarantined));
  BOOST_TEST((errors[0].mError.mExecuted == executed::No));
  BOOST_TEST((errors[0].mError.mRetryAfter > kQuarantineTime - 2 * kPause));
  FireEvent(fixture, MakePrompt(fixture, { kCommon, kSubject }));
  BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
}

// A server that breaks responses off but accepts connections has not crashed.
BOOST_AUTO_TEST_CASE(broken_responses_of_a_running_server_are_no_evidence)
{
  gateway_fixture fixture = MakePromptGateway();
  for (int i = 1; i <= 5; ++i) {
    const probe_server probe = BreakPrompt(fixture, { kPoisonous });
    FireEvent(fixture,
              server_probed{ probe.mBackend, probe.mStartedMs, false });
    AdvanceTime(fixture, kPause);
  }
  fixture.mActions.clear();
  FireEvent(fixture, MakePrompt(fixture, { kPoisonous }));
  BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
}

// Streams that had output did not crash the server because of their prompts.
BOOST_AUTO_TEST_CASE(a_part_of_an_attempt_with_output_is_not_blamed)
{
  gateway_fixture fixture = MakePromptGateway();
  for (const bool isKnown : { false, true }) {
    fixture.mActions.clear();
    caller_request request = MakePrompt(fixture, { kSubject });
    if (isKnown) {
      request.mContentHash = 1;
    }
    FireEvent(fixture, request);
    const dispatch_request dispatch = TakeOnlyDispatch(fixture);
    auto report = MakeAttemptReport(dispatch, attempt_outcome::BrokenMidway);
    report.mStatus = 200;
    report.mHasOutput = true;
    FireEvent(fixture, report);
    BOOST_TEST(TakeActions<probe_server>(fixture).size() ==
               (isKnown ? 1U : 0U));
    FireEvent(fixture, server_probed{ dispatch.mBackend, 1, true });
  }
  for (const auto& each : fixture.mNode->mQuarantine.mSuspects) {
    BOOST_TEST((each.first.mKind == suspect_kind::Request));
  }
  BOOST_TEST(fixture.mNode->mQuarantine.mSuspects.size() == 1U);
}

// On a crowded server, many sound requests wait when it crashes.
BOOST_AUTO_TEST_CASE(a_request_that_waited_at_its_server_is_not_blamed)
{
  gateway_fixture fixture = MakePromptGateway();
  // More crashes than lead to a quarantine, with complete responses in between.
  for (int i = 1; i <= 3 * static_cast<int>(kQuarantineAnyCrashes); ++i) {
    CrashUnderPrompt(fixture, { kSubject }, i, false);
    if (i % 4 == 0) {
      fixture.mActions.clear();
      FireEvent(fixture, MakePrompt(fixture, { kSubject }));
      FireEvent(fixture, MakeAttemptReport(TakeOnlyDispatch(fixture),
                                           attempt_outcome::Delivered));
      AdvanceTime(fixture, kRecentSuccessTime);
    }
  }
  fixture.mActions.clear();
  FireEvent(fixture, MakePrompt(fixture, { kSubject }));
  BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
}

// A server that leaves as planned ends with the requests that wait there.
BOOST_AUTO_TEST_CASE(a_request_that_waited_at_a_leaving_server_is_not_blamed)
{
  gateway_fixture fixture = MakePromptGateway();
  FireEvent(fixture, MakePrompt(fixture, { kSubject }));
  const dispatch_request dispatch = TakeOnlyDispatch(fixture);
  backend_entry entry = MakeBackendEntry("engines", dispatch.mAddress);
  entry.mLeaving = true;
  DeliverBackends(fixture, 30, false,
                  { { dispatch.mBackend.mValue, 30, entry } });
  fixture.mActions.clear();
  FireEvent(fixture, MakeAttemptReport(dispatch, attempt_outcome::Broken));
  BOOST_TEST(TakeActions<probe_server>(fixture).empty());
}

// Guards against a part that crashes servers before they have sent a byte: its
// requests must not reach one server after the other.
BOOST_AUTO_TEST_CASE(a_gateway_refuses_prompts_that_crash_before_any_response)
{
  gateway_fixture fixture = MakePromptGateway();
  for (int i = 1; i <= static_cast<int>(kQuarantineAnyCrashes); ++i) {
    CrashUnderPrompt(fixture, { kPoisonous }, i, false);
  }
  fixture.mActions.clear();
  FireEvent(fixture, MakePrompt(fixture, { kPoisonous }));
  BOOST_TEST((TakeOnlyErrorCode(fixture) == error_code::PromptQuarantined));
}

// A request that may be resumed must not take the next server down too.
BOOST_AUTO_TEST_CASE(a_suspect_prompt_is_not_sent_to_a_second_server)
{
  gateway_fixture fixture = MakePromptGateway();
  CrashUnderPrompt(fixture, { kPoisonous }, 1);
  BreakPrompt(fixture, { kPoisonous });
  BOOST_TEST(TakeActions<dispatch_request>(fixture).empty());
}

std::vector<crash_report> TakeWrittenReports(gateway_fixture& aFixture)
{
  const auto writes = TakeActions<crash_report_write>(aFixture);
  return writes.empty() ? std::vector<crash_report>{} : writes[0].mReports;
}

// Other gateways learn of a crash through the store, also after an outage.
BOOST_AUTO_TEST_CASE(a_crash_report_is_written_until_the_store_confirms_it)
{
  gateway_fixture fixture = MakePromptGateway();
  const probe_server probe = BreakPrompt(fixture, { kPoisonous });
  FireEvent(fixture, server_probed{ probe.mBackend, probe.mStartedMs, true });
  BOOST_TEST(TakeWrittenReports(fixture).size() == 1U);
  FireEvent(fixture, crash_report_write_response{ false });
  AdvanceTime(fixture, 2 * kPause);
  const auto repeated = TakeWrittenReports(fixture);
  BOOST_REQUIRE(repeated.size() == 1U);
  BOOST_TEST(repeated[0].mSuspect.mHash == kPoisonous);
  BOOST_TEST(repeated[0].mGateway == "g");
  FireEvent(fixture, crash_report_write_response{ true });
  AdvanceTime(fixture, 2 * kPause);
  BOOST_TEST(TakeWrittenReports(fixture).empty());
}

// In a large fleet, hundreds of gateways know at once that a part is sound;
// they must not all write to the store.
BOOST_AUTO_TEST_CASE(few_gateways_remove_the_report_of_another)
{
  constexpr int kGateways = 400;
  constexpr int kRounds = 40;
  gateway_fixture fixture = MakePromptGateway();
  std::vector<directory_change<gateway_peer>> peers;
  peers.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    peers.push_back({ "p" + std::to_string(i), 40, gateway_peer{ "a:1" } });
  }
  DeliverPeers(fixture, 40, peers);
  int writes = 0;
  for (int i = 0; i < kRounds; ++i) {
    fixture.mActions.clear();
    FireEvent(fixture, MakePrompt(fixture, { kSubject }));
    FireEvent(fixture, MakeAttemptReport(TakeOnlyDispatch(fixture),
                                         attempt_outcome::Delivered));
    auto response = MakeDirectoryResponse(directory_area::Peers, 50, false);
    response.mCrashReports = { MakeReport(kSubject, "p1", { "e1/1" }) };
    FireEvent(fixture, response);
    AdvanceTime(fixture, kMaxWatchDelay);
    writes += TakeWrittenReports(fixture).empty() ? 0 : 1;
    // Another gateway has removed the report.
    response.mCrashReports = { MakeReport(kSubject, "p1", {}) };
    FireEvent(fixture, response);
    FireEvent(fixture, crash_report_write_response{ true });
    AdvanceTime(fixture, kGateways * absl::Milliseconds(20));
    BOOST_TEST(TakeWrittenReports(fixture).empty());
  }
  // The store takes about as many writes a second as there are gateways.
  BOOST_TEST(writes <= kRounds / 4);
}

// After a restart, parts that were quarantined must not be in use again.
BOOST_AUTO_TEST_CASE(a_gateway_reads_crash_reports_before_it_serves)
{
  gateway_settings settings;
  settings.mName = "g";
  settings.mZone = zone_id{ "z" };
  auto made = MakeGateway(settings, ReadChartTexts());
  BOOST_REQUIRE(IsOk(made));
  gateway_fixture fixture;
  fixture.mNode = std::get<0>(std::move(made));
  Start(*fixture.mNode, fixture.mNow);
  traffic_config config = MakeConfig(6);
  config.mWorkspaces[0].mPrepaid.reset();
  DeliverConfig(fixture, config, 20);
  DeliverBackends(fixture, 20, true,
                  { { "e1", 4, MakeBackendEntry("engines", "10.0.0.3:1") } });
  fixture.mActions.clear();
  FireEvent(fixture, MakePrompt(fixture, { kPoisonous }));
  BOOST_TEST((TakeOnlyErrorCode(fixture) == error_code::NotReady));
  auto response = MakeDirectoryResponse(directory_area::Peers, 20, true);
  response.mCrashReports = { MakeReport(kPoisonous, "g",
                                        { "e1/1", "e2/1", "e3/1" }) };
  FireEvent(fixture, response);
  fixture.mActions.clear();
  FireEvent(fixture, MakePrompt(fixture, { kPoisonous }));
  BOOST_TEST((TakeOnlyErrorCode(fixture) == error_code::PromptQuarantined));
}

caller_request MakeOrder(gateway_fixture& aFixture, std::uint64_t aContentHash)
{
  caller_request request = MakeCallerRequest(aFixture, "/order/1");
  request.mContentHash = aContentHash;
  return request;
}

// Sends an order and crashes its server.
void CrashUnderOrder(gateway_fixture& aFixture, std::uint64_t aContentHash)
{
  aFixture.mActions.clear();
  FireEvent(aFixture, MakeOrder(aFixture, aContentHash));
  const dispatch_request dispatch = TakeOnlyDispatch(aFixture);
  FireEvent(aFixture, MakeAttemptReport(dispatch, attempt_outcome::Broken));
  const auto probes = TakeActions<probe_server>(aFixture);
  BOOST_REQUIRE(probes.size() == 1U);
  FireEvent(aFixture,
            server_probed{ probes[0].mBackend, probes[0].mStartedMs, true });
}

// Guards against an order that comes again and crashes one server after the
// other.
BOOST_AUTO_TEST_CASE(a_gateway_refuses_a_request_under_which_servers_crash)
{
  gateway_fixture fixture = MakePromptGateway();
  for (int i = 1; i <= 3; ++i) {
    CrashUnderOrder(fixture, 7);
    backend_entry entry = MakeBackendEntry("orders", "10.0.0.1:1");
    entry.mStartedMs = i;
    std::vector<directory_change<backend_entry>> entries;
    for (const auto& each : fixture.mNode->mListings) {
      if (each.second.mEntry.mService.mValue == "orders") {
        entry.mAddress = each.second.mEntry.mAddress;
        entries.push_back({ each.first.mValue, store_version(30 + i), entry });
      }
    }
    DeliverBackends(fixture, 30 + i, false, entries);
    AdvanceTime(fixture, kPause);
  }
  fixture.mActions.clear();
  FireEvent(fixture, MakeOrder(fixture, 7));
  const auto errors = TakeActions<send_error>(fixture);
  BOOST_REQUIRE(errors.size() == 1);
  BOOST_TEST((errors[0].mError.mCode == error_code::RequestQuarantined));
  BOOST_TEST((errors[0].mError.mExecuted == executed::No));
  BOOST_TEST((errors[0].mError.mRetryAfter > kQuarantineTime - 2 * kPause));
  fixture.mActions.clear();
  FireEvent(fixture, MakeOrder(fixture, 8));
  BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
}

// Guards against a store that is overloaded after the crash of many servers:
// all gateways then have reports on all requests that were running.
BOOST_AUTO_TEST_CASE(many_reports_are_written_in_few_calls)
{
  constexpr int kGateways = 400;
  constexpr absl::Duration kTime = absl::Seconds(10);
  // The store takes several hundred writes a second, also for other purposes.
  constexpr int kMaxWritesPerSecond = 2;
  gateway_fixture fixture = MakePromptGateway();
  std::vector<directory_change<gateway_peer>> peers;
  peers.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    peers.push_back({ "p" + std::to_string(i), 40, gateway_peer{ "a:1" } });
  }
  DeliverPeers(fixture, 40, peers);
  for (std::uint64_t i = 0; i < kMaxSuspects; ++i) {
    AddOwnCrash(fixture.mNode->mQuarantine, "g", MakeRequest(i),
                { "e1/1", crash_evidence::OutputSent }, fixture.mNow);
  }
  // The one that may be deadly must not wait for the others.
  const suspect_id urgent = MakeRequest(kMaxSuspects - 1);
  AddOwnCrash(fixture.mNode->mQuarantine, "g", urgent,
              { "e2/1", crash_evidence::NoResponse }, fixture.mNow);
  fixture.mActions.clear();
  AdvanceTime(fixture, kMaxWatchDelay);
  const auto first = TakeWrittenReports(fixture);
  BOOST_REQUIRE(!first.empty());
  BOOST_TEST((first[0].mSuspect == urgent));
  fixture.mActions.clear();
  FireEvent(fixture, crash_report_write_response{ true });
  int writes = 0;
  std::size_t reports = 0;
  const absl::Time end = fixture.mNow + kTime;
  while (fixture.mNow < end) {
    const auto written = TakeWrittenReports(fixture);
    fixture.mActions.clear();
    if (!written.empty()) {
      ++writes;
      reports += written.size();
      FireEvent(fixture, crash_report_write_response{ true });
    }
    AdvanceTime(fixture, absl::Milliseconds(10));
  }
  BOOST_TEST(writes <= kMaxWritesPerSecond * absl::ToInt64Seconds(kTime));
  BOOST_TEST(reports > 100U);
}

} // namespace
} // namespace foxtailquay
