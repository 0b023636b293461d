// Guards against a gateway that sends requests on under which servers crash,
// refuses sound ones, or burdens the store with its reports on crashes.

#define BOOST_TEST_MODULE gateway_quarantine
#include <boost/test/unit_test.hpp>

#include "core/gateway_state.h"
#include "crash_values.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

// Time until a change of the store has reached all gateways: the rest between
// two watches and a call.
constexpr absl::Duration kMaxWatchDelay = absl::Milliseconds(250);

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

// Guards against a request that was admitted before its quarantine and is sent
// after it, for example to another server because the first was not reached.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_once_servers_have_crashed_under_it)
{
  for (const bool isQuarantined : { false, true }) {
    gateway_fixture fixture = MakePromptGateway();
    DeliverBackends(
      fixture, 30, false,
      { { "e9", 30, MakeBackendEntry("engines", "10.0.0.9:1") } });
    caller_request request = MakePrompt(fixture, { kSubject });
    request.mContentHash = 7;
    fixture.mActions.clear();
    FireEvent(fixture, request);
    const dispatch_request dispatch = TakeOnlyDispatch(fixture);
    const suspect_id suspect =
      MakeRequest(*fixture.mNode->mRequests.at(request.mHandle)->mFingerprint);
    if (isQuarantined) {
      for (const char* crash : { "e7/1", "e8/1", "e9/1" }) {
        AddOwnCrash(fixture.mNode->mQuarantine, "g", suspect,
                    { crash, crash_evidence::NoResponse }, fixture.mNow);
      }
    }
    fixture.mActions.clear();
    FireEvent(fixture, MakeAttemptReport(dispatch, attempt_outcome::NotSent));
    if (isQuarantined) {
      const auto errors = TakeActions<send_error>(fixture);
      BOOST_REQUIRE(errors.size() == 1U);
      BOOST_TEST((errors[0].mError.mCode == error_code::RequestQuarantined));
      BOOST_TEST((errors[0].mError.mExecuted == executed::No));
    } else {
      BOOST_TEST(TakeActions<dispatch_request>(fixture).size() == 1U);
    }
  }
}

// Guards against a store that is overloaded after the crash of many servers:
// all gateways then have reports on all requests that were running.
BOOST_AUTO_TEST_CASE(many_reports_are_written_in_few_calls)
{
  constexpr int kGateways = 400;
  constexpr absl::Duration kTime = absl::Seconds(10);
  // Of all gateways together. The store takes 400 writes a second, also for
  // other purposes.
  constexpr int kMaxWritesPerSecond = 250;
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
  BOOST_TEST(kGateways * writes <=
             kMaxWritesPerSecond * absl::ToInt64Seconds(kTime));
  BOOST_TEST(writes > 2);
  BOOST_TEST(reports > 16U * 2);
}

} // namespace
} // namespace foxtailquay
