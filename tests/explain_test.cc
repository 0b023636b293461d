// Guards against an explanation that differs from what the gateway then does,
// and against a question that changes later decisions. The load is random:
// requests for engines and a plain service, full, slow, cold, limited, leaving
// and failing servers, scarce tokens, and a store and peers that are lost.

#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway_fixture.h"

namespace foxtailquay {
namespace {

constexpr int kServers = 10;
constexpr int kPeers = 24;

// Two gateways with the same history, of which only the first is asked.
struct twins
{
  gateway_fixture mAsked;
  gateway_fixture mOther;
  std::mt19937_64 mRandom;
  // Open attempts by handle.
  std::map<request_handle, dispatch_request> mOpen;
  store_version mRevision = 100;
  // True while a grant write has no response.
  bool mIsWriting = false;
  // Largest number of other gateways.
  int mMaxPeers = 0;
};

int Draw(twins& aTwins, int aEnd)
{
  return std::uniform_int_distribution<int>(0, aEnd - 1)(aTwins.mRandom);
}

std::string DrawText(twins& aTwins, const std::vector<std::string>& aTexts)
{
  return aTexts[static_cast<std::size_t>(
    Draw(aTwins, static_cast<int>(aTexts.size())))];
}

// Returns what tells two actions apart.
std::string Describe(const gateway_action& aAction)
{
  std::string text = absl::StrCat(aAction.index());
  if (const auto* dispatch = std::get_if<dispatch_request>(&aAction)) {
    absl::StrAppend(&text, " ", dispatch->mHandle, " ",
                    dispatch->mBackend.mValue, " ", dispatch->mMaxConnections);
  } else if (const auto* failure = std::get_if<send_error>(&aAction)) {
    absl::StrAppend(&text, " ", failure->mHandle, " ",
                    ToString(failure->mError),
                    absl::FormatDuration(failure->mError.mRetryAfter));
  } else if (const auto* ask = std::get_if<request_tokens>(&aAction)) {
    absl::StrAppend(&text, " ", ask->mPeer, " ", ask->mAmount);
  } else if (const auto* write = std::get_if<grant_write>(&aAction)) {
    for (const grant_write::entry& each : write->mEntries) {
      absl::StrAppend(&text, " ", ComputeTotal(each.mPlan.mRecord));
    }
  } else if (const auto* record = std::get_if<decision_record>(&aAction)) {
    absl::StrAppend(&text, " ", std::string(ToName(record->mDecision)));
    for (const auto& [name, value] : record->mInputs) {
      absl::StrAppend(&text, " ", value);
    }
  }
  return text;
}

// Fires the event at both gateways, which must do the same. Returns the
// actions.
gateway_actions FireBoth(twins& aTwins, const gateway_event& aEvent)
{
  const absl::Time now = aTwins.mAsked.mNow;
  gateway_actions asked = Step(*aTwins.mAsked.mNode, aEvent, now);
  const gateway_actions other = Step(*aTwins.mOther.mNode, aEvent, now);
  BOOST_REQUIRE(asked.size() == other.size());
  for (std::size_t i = 0; i < asked.size(); ++i) {
    BOOST_REQUIRE(Describe(asked[i]) == Describe(other[i]));
  }
  for (const gateway_action& action : asked) {
    if (const auto* dispatch = std::get_if<dispatch_request>(&action)) {
      aTwins.mOpen[dispatch->mHandle] = *dispatch;
    } else if (const auto* failure = std::get_if<send_error>(&action)) {
      aTwins.mOpen.erase(failure->mHandle);
    }
  }
  return asked;
}

// Responds to calls as the store and the peers might.
void Respond(twins& aTwins, const gateway_actions& aActions);

void FireAndRespond(twins& aTwins, const gateway_event& aEvent)
{
  Respond(aTwins, FireBoth(aTwins, aEvent));
}

void Respond(twins& aTwins, const gateway_actions& aActions)
{
  for (const gateway_action& action : aActions) {
    if (std::holds_alternative<grant_write>(action)) {
      aTwins.mIsWriting = true;
    } else if (const auto* ask = std::get_if<request_tokens>(&action)) {
      token_response_received received{ ask->mPeer, ask->mWorkspace,
                                        std::nullopt, ask->mKind };
      if (Draw(aTwins, 4) > 0) {
        received.mResponse = token_response{ Draw(aTwins, 2) * ask->mAmount,
                                             Draw(aTwins, 3) == 0, false };
      }
      FireAndRespond(aTwins, received);
    } else if (const auto* recall = std::get_if<recall_tokens>(&action)) {
      FireAndRespond(aTwins, token_response_received{
                               recall->mPeer, recall->mWorkspace,
                               token_response{}, token_call::Recall });
    }
  }
}

void EndWrite(twins& aTwins)
{
  if (std::exchange(aTwins.mIsWriting, false)) {
    grant_write_response written;
    written.mOutcome =
      Draw(aTwins, 8) == 0 ? grant_outcome::NotWritten : grant_outcome::Written;
    written.mRevision = ++aTwins.mRevision;
    FireAndRespond(aTwins, written);
  }
}

void PassTime(twins& aTwins, absl::Duration aTime)
{
  const absl::Time end = aTwins.mAsked.mNow + aTime;
  while (GetNextWakeTime(*aTwins.mAsked.mNode) <= end) {
    aTwins.mAsked.mNow =
      std::max(aTwins.mAsked.mNow, GetNextWakeTime(*aTwins.mAsked.mNode));
    FireAndRespond(aTwins, gateway_tick{});
  }
  aTwins.mAsked.mNow = end;
}

backend_entry MakeServer(twins& aTwins, int aIndex)
{
  backend_entry entry = MakeBackendEntry(
    aIndex < kServers / 2 ? "engines" : "orders", absl::StrCat("s", aIndex));
  // Most are alike, so that equal estimates occur.
  entry.mZone = zone_id{ aIndex % 5 == 0 ? "y" : "z" };
  entry.mSlots = aIndex % 5 == 4 ? 2 : 4;
  entry.mStartedMs = Draw(aTwins, 3);
  entry.mLeaving = Draw(aTwins, 12) == 0;
  return entry;
}

void ChangeServer(twins& aTwins)
{
  const int index = Draw(aTwins, kServers);
  auto response =
    MakeDirectoryResponse(directory_area::Backends, ++aTwins.mRevision, false);
  response.mBackends = { { absl::StrCat("b", index), aTwins.mRevision,
                           MakeServer(aTwins, index) } };
  FireAndRespond(aTwins, response);
}

void ChangeConfig(twins& aTwins)
{
  traffic_config config = MakeConfig(++aTwins.mRevision);
  for (traffic_route& route : config.mRoutes) {
    route.mMaxAttempts = 2;
    route.mObjective = absl::Milliseconds(300);
  }
  for (traffic_service& service : config.mServices) {
    service.mColdTime = absl::Seconds(1);
    service.mColdRate = 14;
  }
  config.mServices[1].mMemoryTokens = 100000;
  config.mWorkspaces[0].mPrepaid = 100000 + 50000 * Draw(aTwins, 4);
  for (int i = 0; i < 4; ++i) {
    traffic_workspace unlimited;
    unlimited.mId = workspace_id{ absl::StrCat("unlimited", i) };
    unlimited.mKeys = { absl::StrCat("free", i) };
    config.mWorkspaces.push_back(unlimited);
  }
  auto response = MakeDirectoryResponse(directory_area::Configuration,
                                        aTwins.mRevision, false);
  response.mConfigs = { { "", aTwins.mRevision, config } };
  FireAndRespond(aTwins, response);
}

void ChangeZones(twins& aTwins)
{
  auto response = MakeDirectoryResponse(directory_area::Configuration,
                                        ++aTwins.mRevision, false);
  response.mEvacuations = { { "y", aTwins.mRevision, std::nullopt } };
  if (Draw(aTwins, 4) == 0) {
    response.mEvacuations[0].mEntry = evacuation_entry{};
  }
  FireAndRespond(aTwins, response);
}

void ChangePeers(twins& aTwins)
{
  auto response =
    MakeDirectoryResponse(directory_area::Peers, ++aTwins.mRevision, true);
  const int count = Draw(aTwins, aTwins.mMaxPeers + 1);
  for (int i = 0; i < count; ++i) {
    const std::string name = absl::StrCat("p", i);
    response.mPeers.push_back({ name, aTwins.mRevision, gateway_peer{ name } });
  }
  FireAndRespond(aTwins, response);
}

void LoseStore(twins& aTwins)
{
  directory_response lost;
  lost.mArea = directory_area::Configuration;
  FireAndRespond(aTwins, lost);
}

caller_request DrawRequest(twins& aTwins)
{
  caller_request request = MakeCallerRequest(
    aTwins.mAsked,
    DrawText(aTwins, { "/order/1", "/status/1", "/chat/1", "/chat/1", "/chat/2",
                       "/chat/3", "/chat/4", "/chat/5", "/none" }));
  request.mKey = DrawText(aTwins, { "key", "key", "key", "key", "key", "key",
                                    "free0", "free0", "free0", "free1", "free2",
                                    "free3", "unknown" });
  request.mCallerTimeout = absl::Milliseconds(Draw(aTwins, 2000));
  request.mPromptTokens = Draw(aTwins, 4000);
  request.mMaxOutputTokens = Draw(aTwins, 20) == 0 ? 40000 : Draw(aTwins, 1000);
  if (Draw(aTwins, 2) == 0) {
    request.mLengthHint = Draw(aTwins, 1000);
  }
  const int parts = Draw(aTwins, 4);
  for (int i = 0; i < parts; ++i) {
    request.mPromptParts.push_back(
      { static_cast<std::uint64_t>(10 * i + Draw(aTwins, 3) + 1), 500 });
  }
  return request;
}

server_statement DrawStatement(twins& aTwins)
{
  server_statement statement;
  if (Draw(aTwins, 12) == 0) {
    statement.mRateLimit = 2 + Draw(aTwins, 20);
  }
  if (Draw(aTwins, 20) == 0) {
    statement.mBackoff = absl::Milliseconds(Draw(aTwins, 400));
  }
  if (Draw(aTwins, 20) == 0) {
    statement.mColdLeft = absl::Milliseconds(Draw(aTwins, 1000));
  }
  return statement;
}

void EndAttempt(twins& aTwins)
{
  if (aTwins.mOpen.empty()) {
    return;
  }
  const auto open = std::next(
    aTwins.mOpen.begin(), Draw(aTwins, static_cast<int>(aTwins.mOpen.size())));
  const dispatch_request dispatch = open->second;
  aTwins.mOpen.erase(open);
  if (Draw(aTwins, 10) == 0) {
    FireAndRespond(aTwins, caller_disconnected{ dispatch.mHandle, 0, false });
    return;
  }
  attempt_report report =
    MakeAttemptReport(dispatch, attempt_outcome::Delivered);
  const int kind = Draw(aTwins, 10);
  report.mOutcome = kind == 0   ? attempt_outcome::Failed
                    : kind == 1 ? attempt_outcome::NotRun
                    : kind == 2 ? attempt_outcome::NotSent
                                : attempt_outcome::Delivered;
  report.mStatus = kind == 0 ? 500 : 200;
  report.mIsConnectionLost = kind == 2;
  report.mLoad = observed_load{ Draw(aTwins, 6), Draw(aTwins, 8),
                                1 + Draw(aTwins, 2) * 1.5 };
  report.mStatement = DrawStatement(aTwins);
  report.mEvents = Draw(aTwins, 20);
  FireAndRespond(aTwins, report);
}

void ReportHoldings(twins& aTwins)
{
  prompts_reported report;
  report.mGateway = "p0";
  report.mPrompts = { { backend_id{ absl::StrCat("b", Draw(aTwins, 5)) },
                        Draw(aTwins, 5000),
                        { 1, 11 },
                        Draw(aTwins, 12000) } };
  FireAndRespond(aTwins, report);
}

void FireRandomEvent(twins& aTwins)
{
  if (Draw(aTwins, 3) == 0) {
    EndWrite(aTwins);
  }
  switch (Draw(aTwins, 40)) {
    case 0:
      return ChangeConfig(aTwins);
    case 1:
      return ChangePeers(aTwins);
    case 2:
      return LoseStore(aTwins);
    case 3:
      return ChangeZones(aTwins);
    case 4:
    case 5:
      return ChangeServer(aTwins);
    case 6:
    case 7:
      return ReportHoldings(aTwins);
    case 8:
      return FireAndRespond(aTwins, tokens_requested{ 1, workspace_id{ "w" },
                                                      Draw(aTwins, 20000),
                                                      Draw(aTwins, 3) });
    case 9:
      return FireAndRespond(
        aTwins,
        tokens_returned{ workspace_id{ "w" }, Draw(aTwins, 20000), {} });
    default:
      break;
  }
  if (Draw(aTwins, 5) < 2) {
    return EndAttempt(aTwins);
  }
  if (Draw(aTwins, 3) > 0) {
    return FireAndRespond(aTwins, DrawRequest(aTwins));
  }
  PassTime(aTwins, absl::Milliseconds(Draw(aTwins, 100)));
}

gateway_fixture MakeTwin(std::uint64_t aSeed)
{
  gateway_settings settings = MakeSettings("g");
  settings.mSeed = aSeed;
  settings.mColdBounds = cold_bounds{ 1.5, 5 };
  settings.mEvacuationTime = absl::Seconds(5);
  return MakeStartedGateway(settings);
}

void StartTwins(twins& aTwins, std::uint64_t aSeed)
{
  aTwins.mRandom.seed(aSeed);
  ChangeConfig(aTwins);
  auto response =
    MakeDirectoryResponse(directory_area::Backends, ++aTwins.mRevision, true);
  for (int i = 0; i < kServers; ++i) {
    response.mBackends.push_back(
      { absl::StrCat("b", i), aTwins.mRevision, MakeServer(aTwins, i) });
  }
  FireAndRespond(aTwins, response);
  ChangePeers(aTwins);
}

explain_query MakeQuery(const caller_request& aRequest)
{
  explain_query query;
  query.mHost = aRequest.mHost;
  query.mPath = aRequest.mPath;
  query.mKey = aRequest.mKey;
  query.mAttemptId = aRequest.mAttemptId;
  query.mPromptTokens = aRequest.mPromptTokens;
  query.mMaxOutputTokens = aRequest.mMaxOutputTokens;
  query.mLengthHint = aRequest.mLengthHint;
  query.mTimeLeft = aRequest.mCallerTimeout;
  query.mPromptParts = aRequest.mPromptParts;
  return query;
}

// Asks the first gateway only.
explanation Ask(twins& aTwins, const caller_request& aRequest)
{
  const auto actions =
    Step(*aTwins.mAsked.mNode, explain_requested{ 7, MakeQuery(aRequest) },
         aTwins.mAsked.mNow);
  BOOST_REQUIRE(actions.size() == 1U);
  const auto* sent = std::get_if<send_explanation>(&actions[0]);
  BOOST_REQUIRE(sent != nullptr);
  BOOST_TEST(sent->mCall == 7U);
  return sent->mExplanation;
}

// Returns what became of the request.
std::string DescribeOutcome(const gateway_actions& aActions,
                            const caller_request& aRequest)
{
  for (const gateway_action& action : aActions) {
    const auto* dispatch = std::get_if<dispatch_request>(&action);
    if (dispatch != nullptr && dispatch->mHandle == aRequest.mHandle) {
      return "sent " + dispatch->mBackend.mValue;
    }
    const auto* failure = std::get_if<send_error>(&action);
    if (failure != nullptr && failure->mHandle == aRequest.mHandle) {
      return absl::StrCat("refused ",
                          std::string(ToName(failure->mError.mCode)), " ",
                          failure->mError.mDetail, " ",
                          absl::FormatDuration(failure->mError.mRetryAfter));
    }
    const auto* record = std::get_if<decision_record>(&action);
    if (record != nullptr && record->mDecision == decision::RequestWaiting &&
        record->mInputs[0].second == aRequest.mAttemptId) {
      return "waits_for_room";
    }
  }
  return "waits_for_tokens";
}

std::string DescribeOutcome(const explanation& aExplanation)
{
  std::string text(ToName(aExplanation.mOutcome));
  if (aExplanation.mOutcome == explained_outcome::Sent) {
    return absl::StrCat(text, " ", aExplanation.mBackend.mValue);
  }
  if (!aExplanation.mRefusal) {
    return text;
  }
  return absl::StrCat(text, " ",
                      std::string(ToName(aExplanation.mRefusal->mCode)), " ",
                      aExplanation.mRefusal->mDetail, " ",
                      absl::FormatDuration(aExplanation.mRefusal->mRetryAfter));
}

// A chosen server must be among the servers, once and as the only one with that
// verdict, and each other one must have a reason.
void CheckServers(const explanation& aExplanation,
                  std::map<std::string, int>& aVerdicts)
{
  int chosen = 0;
  for (const explained_server& server : aExplanation.mServers) {
    ++aVerdicts[std::string(ToName(server.mVerdict))];
    BOOST_TEST((server.mVerdict != server_verdict::Usable));
    if (server.mVerdict == server_verdict::Chosen) {
      ++chosen;
      BOOST_TEST(server.mBackend.mValue == aExplanation.mBackend.mValue);
    }
  }
  BOOST_TEST(chosen == (aExplanation.mBackend.mValue.empty() ? 0 : 1));
}

struct explain_counts
{
  std::map<std::string, int> mOutcomes;
  std::map<std::string, int> mVerdicts;
  std::map<std::string, int> mSources;
  // States in which the explanation was compared, and those in which other
  // requests that wait for tokens are served first.
  int mCompared = 0;
  int mServedFirst = 0;
};

// Asks what becomes of a random request, sends it, and compares.
void CompareOnce(twins& aTwins, explain_counts& aCounts)
{
  const caller_request request = DrawRequest(aTwins);
  // What is due because time has passed is not an effect of the question.
  FireAndRespond(aTwins, gateway_tick{});
  const explanation explained = Ask(aTwins, request);
  const gateway_actions actions = FireBoth(aTwins, request);
  CheckServers(explained, aCounts.mVerdicts);
  if (explained.mTokens.mServedWaiters > 0) {
    ++aCounts.mServedFirst;
  } else {
    BOOST_TEST(DescribeOutcome(explained) == DescribeOutcome(actions, request));
    ++aCounts.mCompared;
    ++aCounts.mOutcomes[std::string(ToName(explained.mOutcome))];
    ++aCounts.mSources[std::string(ToName(explained.mTokens.mSource))];
  }
  Respond(aTwins, actions);
}

// The explanation must state what the gateway then does, and the question must
// not change what it does later.
BOOST_AUTO_TEST_CASE(the_explanation_equals_the_choice_in_random_states)
{
  constexpr int kStates = 1000;
  constexpr int kStatesPerRun = 50;
  constexpr int kEvents = 12;
  explain_counts counts;
  for (std::uint64_t seed = 1; counts.mCompared < kStates; ++seed) {
    twins both{ MakeTwin(seed),
                MakeTwin(seed),
                {},
                {},
                100,
                false,
                seed % 2 == 0 ? kPeers : 0 };
    StartTwins(both, seed);
    for (int i = 0; i < kStatesPerRun; ++i) {
      for (int event = 0; event < kEvents; ++event) {
        FireRandomEvent(both);
      }
      BOOST_TEST_CONTEXT("seed " << seed << ", state " << i)
      {
        CompareOnce(both, counts);
      }
    }
  }
  for (const auto& each :
       { counts.mOutcomes, counts.mVerdicts, counts.mSources }) {
    for (const auto& [name, count] : each) {
      BOOST_TEST_MESSAGE(name << " " << count);
    }
  }
  BOOST_TEST_MESSAGE("others served first " << counts.mServedFirst);
  // The states must be varied enough to show a difference, and few may be left
  // out.
  BOOST_TEST(counts.mOutcomes.size() == CountEnumerators<explained_outcome>());
  BOOST_TEST(counts.mVerdicts.size() >= 8U);
  BOOST_TEST(counts.mSources.size() >= 4U);
  BOOST_TEST(counts.mServedFirst < kStates / 20);
}

// Each of the other gateways is taken to send as much as this one. The estimate
// must be for the gateways that are known now, not for those that were known
// when the last request was sent.
BOOST_AUTO_TEST_CASE(the_explanation_is_for_the_present_number_of_gateways)
{
  constexpr int kOthers = 11;
  gateway_fixture fixture = MakeReadyGateway();
  FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
  const backend_id busy = TakeOnlyDispatch(fixture).mBackend;
  std::vector<directory_change<gateway_peer>> peers;
  for (int i = 0; i < kOthers; ++i) {
    const std::string name = absl::StrCat("p", i);
    peers.push_back({ name, 20, gateway_peer{ name } });
  }
  DeliverPeers(fixture, 20, peers);
  FireEvent(fixture, explain_requested{
                       1, MakeQuery(MakeCallerRequest(fixture, "/order/1")) });
  const auto sent = TakeActions<send_explanation>(fixture);
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_REQUIRE(sent[0].mExplanation.mServers.size() == 2U);
  for (const explained_server& server : sent[0].mExplanation.mServers) {
    BOOST_TEST(server.mLoad == (server.mBackend == busy ? kOthers + 1.0 : 0.0));
  }
}

// A workspace that is named in place of a key must pay, and one that does not
// exist must not be taken for a caller without a key.
BOOST_AUTO_TEST_CASE(a_workspace_can_be_named_in_place_of_a_key)
{
  gateway_fixture fixture = MakeReadyGateway();
  explain_query query;
  query.mHost = "shop.example";
  query.mPath = "/order/1";
  query.mWorkspace = workspace_id{ "w" };
  FireEvent(fixture, explain_requested{ 1, query });
  query.mWorkspace = workspace_id{ "none" };
  FireEvent(fixture, explain_requested{ 2, query });
  const auto sent = TakeActions<send_explanation>(fixture);
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST((sent[0].mExplanation.mOutcome == explained_outcome::Sent));
  BOOST_TEST(sent[0].mExplanation.mWorkspace.mValue == "w");
  BOOST_REQUIRE(sent[1].mExplanation.mRefusal.has_value());
  BOOST_TEST(
    (sent[1].mExplanation.mRefusal->mCode == error_code::Unauthorized));
}

} // namespace
} // namespace foxtailquay
