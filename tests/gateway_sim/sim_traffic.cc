// Callers, backend servers and token transfers of the gateway simulation.

#include "gateway_sim/sim_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace foxtailquay::gateway_sim {

namespace {

constexpr absl::Duration kPeerTimeout = absl::Milliseconds(600);
constexpr absl::Duration kRunTime = absl::Milliseconds(300);
// Time for which a server runs a poisonous request before it crashes.
constexpr absl::Duration kPoisonousRunTime = absl::Milliseconds(50);

// Executes a request on a backend server and checks the invariants.
void ExecuteRequest(fleet_sim& aSim, request_handle aHandle,
                    token_count aTokens)
{
  sim_request& request = aSim.mRequests[aHandle];
  ++request.mExecutionCount;
  if (request.mKind == call_kind::NonIdempotent &&
      request.mExecutionCount > 1) {
    RecordViolation(aSim, violated_invariant::ExecutedTwice,
                    absl::StrCat("request ", aHandle));
  }
  if (request.mWasRefused) {
    RecordViolation(
      aSim, violated_invariant::FalseRefusal,
      absl::StrCat("request ", aHandle, " was executed after its refusal"));
  }
  token_count& spent = aSim.mSpent[request.mWorkspace];
  spent += aTokens;
  if (spent > aSim.mPrepaid[request.mWorkspace]) {
    RecordViolation(aSim, violated_invariant::Overspent,
                    absl::StrCat(request.mWorkspace.mValue, " spent ", spent,
                                 " of ", aSim.mPrepaid[request.mWorkspace]));
  }
}

// Delivers the report of an attempt, unless its gateway has ended or the
// attempt has been reported.
void FinishAttempt(fleet_sim& aSim, std::uint64_t aAttempt)
{
  const auto found = aSim.mAttempts.find(aAttempt);
  if (found == aSim.mAttempts.end()) {
    return;
  }
  const sim_attempt ended = std::move(found->second);
  aSim.mAttempts.erase(found);
  if (aSim.mGateways[ended.mGateway].mIncarnation == ended.mIncarnation) {
    attempt_report report = ended.mReport;
    if (report.mOutcome == attempt_outcome::Delivered) {
      report.mStatement = MakeStatement(aSim, ended.mGateway, ended.mServer);
    }
    AddNotices(aSim, ended.mGateway, ended.mServer, report);
    Deliver(aSim, ended.mGateway, report);
  }
}

// Starts an attempt that ends after aTime.
void AddAttempt(fleet_sim& aSim, absl::Duration aTime, sim_attempt aAttempt)
{
  const std::uint64_t id = aSim.mNextAttempt++;
  aAttempt.mIncarnation = aSim.mGateways[aAttempt.mGateway].mIncarnation;
  aSim.mAttempts[id] = std::move(aAttempt);
  Schedule(aSim, aTime, [&aSim, id] { FinishAttempt(aSim, id); });
}

// Counts a request that reaches a server.
void CountPromptDispatch(fleet_sim& aSim, std::size_t aIndex,
                         request_handle aHandle)
{
  const sim_request& request = aSim.mRequests[aHandle];
  prompt_counts& counts = aSim.mPrompts;
  if (counts.mCrashes.size() < counts.mAllowedCrashes) {
    return;
  }
  const absl::Duration since =
    aSim.mNow - counts.mCrashes[counts.mAllowedCrashes - 1];
  const sim_gateway& gateway = aSim.mGateways[aIndex];
  const bool hasSettled =
    aSim.mNow - std::max(gateway.mStartedAt, gateway.mDisturbedUntil) >
    kContactTime;
  if (request.mIsPoisonous && hasSettled && since > kContactTime) {
    ++counts.mLatePoisonous;
  }
  if (request.mIsSound && since > 2 * kContactTime) {
    ++counts.mSoundDispatched;
  }
}

} // namespace

void Dispatch(fleet_sim& aSim, std::size_t aIndex,
              const dispatch_request& aAction)
{
  const sim_request& request = aSim.mRequests[aAction.mHandle];
  attempt_report report;
  report.mHandle = aAction.mHandle;
  report.mAttempt = aAction.mAttempt;
  const std::string& server = aAction.mBackend.mValue;
  if (aSim.mServersDown.count(server) > 0) {
    DeliverAfter(aSim, kPeerLatency, aIndex, report);
    return;
  }
  CountPromptDispatch(aSim, aIndex, aAction.mHandle);
  CountArrival(aSim, aIndex, server);
  CheckNotices(aSim, aIndex, server);
  if (aSim.mRefusing.count(server) > 0) {
    report.mOutcome = attempt_outcome::NotRun;
    report.mStatus = 503;
    AddAttempt(aSim, kPeerLatency, { aIndex, 0, server, report });
    return;
  }
  if (request.mIsPoisonous) {
    const crash_moment moment = aSim.mPrompts.mMoment;
    report.mOutcome = attempt_outcome::Broken;
    report.mStatus = moment == crash_moment::AfterHeaderSection ? 200 : 0;
    report.mHasBegun = moment != crash_moment::BeforeResponse;
    ExecuteRequest(aSim, aAction.mHandle, request.mPrompt);
    AddAttempt(aSim, 2 * kRunTime, { aIndex, 0, server, report });
    Schedule(aSim, kPoisonousRunTime,
             [&aSim, server] { CrashServer(aSim, server); });
    return;
  }
  constexpr attempt_outcome kOutcomes[] = {
    attempt_outcome::NotSent, attempt_outcome::NotRun, attempt_outcome::Failed,
    attempt_outcome::Broken, attempt_outcome::BrokenMidway
  };
  const int drawn = Draw(aSim, 30);
  report.mOutcome = aSim.mServersFail && drawn < 5 ? kOutcomes[drawn]
                                                   : attempt_outcome::Delivered;
  const bool isStream = aAction.mKind == call_kind::Stream;
  if (report.mOutcome == attempt_outcome::BrokenMidway && !isStream) {
    report.mOutcome = attempt_outcome::Broken;
  }
  const bool executed = report.mOutcome != attempt_outcome::NotSent &&
                        report.mOutcome != attempt_outcome::NotRun;
  token_count tokens = 0;
  if (executed && isStream) {
    const std::int64_t maxEvents = request.mMaxOutput / kTokensPerEvent;
    report.mEvents = report.mOutcome == attempt_outcome::Delivered
                       ? maxEvents
                       : Draw(aSim, static_cast<int>(maxEvents) + 1);
    tokens = request.mPrompt + report.mEvents * kTokensPerEvent;
  }
  if (executed) {
    ExecuteRequest(aSim, aAction.mHandle, tokens);
  }
  report.mHasOutput = report.mEvents > 0;
  if (aSim.mFault == injected_fault::HideTokens) {
    report.mEvents = 0;
  }
  if (aSim.mFault == injected_fault::DenySending &&
      report.mOutcome == attempt_outcome::Broken) {
    report.mOutcome = attempt_outcome::NotSent;
  }
  aSim.mServed += report.mOutcome == attempt_outcome::Delivered ? 1 : 0;
  AddAttempt(aSim, DrawTime(aSim, 2 * kRunTime), { aIndex, 0, server, report });
}

void CrashServer(fleet_sim& aSim, const std::string& aServer)
{
  if (!aSim.mServersDown.insert(aServer).second) {
    return;
  }
  aSim.mPrompts.mCrashes.push_back(aSim.mNow);
  std::vector<std::uint64_t> broken;
  for (auto& [id, attempt] : aSim.mAttempts) {
    if (attempt.mServer != aServer) {
      continue;
    }
    // The server had not begun to respond to some of the sound requests.
    if (aSim.mRequests[attempt.mReport.mHandle].mIsSound &&
        Draw(aSim, 3) == 0) {
      attempt.mReport.mEvents = 0;
      attempt.mReport.mHasOutput = false;
    }
    attempt.mReport.mOutcome = attempt.mReport.mEvents > 0
                                 ? attempt_outcome::BrokenMidway
                                 : attempt_outcome::Broken;
    broken.push_back(id);
  }
  for (const std::uint64_t id : broken) {
    FinishAttempt(aSim, id);
  }
  Schedule(aSim, kServerDownTime, [&aSim, aServer] {
    aSim.mServersDown.erase(aServer);
    backend_entry entry = aSim.mStore.mBackends[aServer].first;
    entry.mStartedMs = absl::ToUnixMillis(aSim.mNow);
    SetBackend(aSim, aServer, entry);
  });
}

void HandleSendError(fleet_sim& aSim, std::size_t aIndex,
                     const send_error& aAction)
{
  sim_request& request = aSim.mRequests[aAction.mHandle];
  const bool isQuarantined =
    aAction.mError.mCode == error_code::PromptQuarantined ||
    aAction.mError.mCode == error_code::RequestQuarantined;
  aSim.mPrompts.mSoundQuarantined += request.mIsSound && isQuarantined ? 1 : 0;
  CountTokenRefusal(aSim, aIndex, request, aAction.mError);
  if (aAction.mError.mExecuted == executed::No) {
    request.mWasRefused = true;
    if (request.mExecutionCount > 0) {
      RecordViolation(aSim, violated_invariant::FalseRefusal,
                      absl::StrCat("request ", aAction.mHandle,
                                   " was executed before its refusal"));
    }
  }
  DeliverAfter(aSim, absl::ZeroDuration(), aIndex,
               caller_disconnected{ aAction.mHandle, 0 });
}

void SendRequest(fleet_sim& aSim, std::size_t aIndex, const char* aPath)
{
  caller_request request;
  request.mHandle = aSim.mNextHandle++;
  request.mAttemptId = absl::StrCat("a", request.mHandle);
  request.mHost = "shop.example";
  request.mPath = aPath;
  const int workspace = Draw(aSim, 2);
  request.mKey = absl::StrCat("key-", workspace);
  request.mCallerTimeout = absl::Seconds(3);
  sim_request& known = aSim.mRequests[request.mHandle];
  known.mWorkspace = workspace_id{ absl::StrCat("w", workspace) };
  if (request.mPath == "/status/") {
    known.mKind = call_kind::Idempotent;
  }
  if (request.mPath == "/chat/" || request.mPath == "/brief/") {
    known.mKind = call_kind::Stream;
    request.mPromptTokens = 20 + Draw(aSim, aPath[1] == 'b' ? 4000 : 400);
    request.mMaxOutputTokens = kTokensPerEvent * (1 + Draw(aSim, 30));
    known.mPrompt = request.mPromptTokens;
    known.mMaxOutput = request.mMaxOutputTokens;
  }
  Deliver(aSim, aIndex, request);
}

std::optional<std::size_t> FindGateway(const fleet_sim& aSim,
                                       const std::string& aName)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    if (aSim.mGateways[i].mName == aName && aSim.mGateways[i].mIsAlive) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> FindReachable(const fleet_sim& aSim,
                                         std::size_t aFrom,
                                         const std::string& aName)
{
  const auto found = FindGateway(aSim, aName);
  const bool isCut = found && (aSim.mGateways[aFrom].mIsIsolated ||
                               aSim.mGateways[*found].mIsIsolated);
  return isCut ? std::nullopt : found;
}

void ReturnTokens(fleet_sim& aSim, std::size_t aIndex,
                  const return_tokens& aAction)
{
  CountTokenMessage(aSim, aIndex);
  const tokens_returned returned{ aAction.mWorkspace, aAction.mAmount,
                                  aAction.mFrom };
  if (const auto peer = FindReachable(aSim, aIndex, aAction.mAddress)) {
    DeliverAfter(aSim, kPeerLatency, *peer, returned);
  } else if (FindGateway(aSim, aAction.mAddress)) {
    // No connection: the message was not sent.
    DeliverAfter(
      aSim, kPeerTimeout / 2, aIndex,
      tokens_returned{ aAction.mWorkspace, aAction.mAmount, aAction.mPeer });
  }
}

void SendTokenResponse(fleet_sim& aSim, std::uint64_t aCall,
                       std::optional<token_response> aResponse)
{
  const auto found = aSim.mCalls.find(aCall);
  if (found == aSim.mCalls.end()) {
    return;
  }
  if (aResponse &&
      !FindReachable(aSim, found->second.mFrom, found->second.mPeer)) {
    // The call fails after its timeout.
    return;
  }
  const fleet_sim::token_call call = found->second;
  aSim.mCalls.erase(found);
  if (aSim.mGateways[call.mFrom].mIncarnation != call.mIncarnation) {
    return;
  }
  const token_response_received received{ call.mPeer, call.mWorkspace,
                                          aResponse, call.mKind };
  const absl::Duration latency =
    aResponse ? kPeerLatency : absl::ZeroDuration();
  DeliverAfter(aSim, latency, call.mFrom, received);
  if (aSim.mFault == injected_fault::RepeatTokens && aResponse) {
    DeliverAfter(aSim, latency, call.mFrom, received);
  }
}

void RequestTokens(fleet_sim& aSim, std::size_t aIndex,
                   const request_tokens& aAction)
{
  CountTokenMessage(aSim, aIndex);
  const std::uint64_t call = aSim.mNextCall++;
  aSim.mCalls[call] = { aIndex, aSim.mGateways[aIndex].mIncarnation,
                        aAction.mPeer, aAction.mWorkspace, aAction.mKind };
  if (const auto peer = FindReachable(aSim, aIndex, aAction.mAddress)) {
    DeliverAfter(aSim, kPeerLatency, *peer,
                 tokens_requested{ call, aAction.mWorkspace, aAction.mAmount,
                                   aAction.mPriority, aAction.mNeeded,
                                   aAction.mFrom, aAction.mHeld });
  }
  Schedule(aSim, kPeerTimeout,
           [&aSim, call] { SendTokenResponse(aSim, call, std::nullopt); });
}

void RecallTokens(fleet_sim& aSim, std::size_t aIndex,
                  const recall_tokens& aAction)
{
  CountTokenMessage(aSim, aIndex);
  const std::uint64_t call = aSim.mNextCall++;
  aSim.mCalls[call] = { aIndex, aSim.mGateways[aIndex].mIncarnation,
                        aAction.mPeer, aAction.mWorkspace, token_call::Recall };
  if (const auto peer = FindReachable(aSim, aIndex, aAction.mAddress)) {
    DeliverAfter(
      aSim, kPeerLatency, *peer,
      tokens_recalled{ call, aAction.mWorkspace, aAction.mIsUsedUp });
  }
  Schedule(aSim, kPeerTimeout,
           [&aSim, call] { SendTokenResponse(aSim, call, std::nullopt); });
}

void SendShareResponse(fleet_sim& aSim, std::uint64_t aCall,
                       std::optional<share_response> aResponse)
{
  const auto found = aSim.mShareCalls.find(aCall);
  if (found == aSim.mShareCalls.end()) {
    return;
  }
  fleet_sim::share_call call = std::move(found->second);
  aSim.mShareCalls.erase(found);
  if (aSim.mGateways[call.mFrom].mIncarnation != call.mIncarnation) {
    return;
  }
  const absl::Duration latency =
    aResponse ? kPeerLatency : absl::ZeroDuration();
  call.mResponse.mResponse = std::move(aResponse);
  DeliverAfter(aSim, latency, call.mFrom, call.mResponse);
}

void ShareGrants(fleet_sim& aSim, std::size_t aIndex,
                 const share_grants& aAction)
{
  const std::uint64_t call = aSim.mNextCall++;
  aSim.mShareCalls[call] = { aIndex,
                             aSim.mGateways[aIndex].mIncarnation,
                             { aAction.mPeer, aAction.mReplication,
                               aAction.mEra, std::nullopt } };
  if (const auto peer = FindReachable(aSim, aIndex, aAction.mAddress)) {
    DeliverAfter(aSim, kPeerLatency, *peer,
                 grants_shared{ call, aAction.mEra, aAction.mWantsCopies,
                                aAction.mCopies });
  }
  Schedule(aSim, kPeerTimeout,
           [&aSim, call] { SendShareResponse(aSim, call, std::nullopt); });
}

void RequestServers(fleet_sim& aSim, std::size_t aIndex,
                    const request_servers& aAction)
{
  if (const auto peer = FindReachable(aSim, aIndex, aAction.mAddress)) {
    const std::uint64_t call = aSim.mNextCall++;
    aSim.mServersCalls[call] = { aIndex, aSim.mGateways[aIndex].mIncarnation,
                                 aAction.mPeer };
    DeliverAfter(aSim, kPeerLatency, *peer, servers_requested{ call });
  }
}

void SendServers(fleet_sim& aSim, std::uint64_t aCall,
                 const std::vector<known_server>& aServers)
{
  const auto found = aSim.mServersCalls.find(aCall);
  if (found == aSim.mServersCalls.end()) {
    return;
  }
  const fleet_sim::servers_call call = found->second;
  aSim.mServersCalls.erase(found);
  if (aSim.mGateways[call.mFrom].mIncarnation == call.mIncarnation) {
    DeliverAfter(aSim, kPeerLatency, call.mFrom,
                 servers_received{ call.mPeer, aServers });
  }
}

} // namespace foxtailquay::gateway_sim
