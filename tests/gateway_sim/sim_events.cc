// Event queue of the gateway simulation and the actions of the nodes.

#include "gateway_sim/sim_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace foxtailquay::gateway_sim {

namespace {

// Returns true if aLeft is due after aRight.
bool IsLater(const sim_event& aLeft, const sim_event& aRight)
{
  return aLeft.mAt != aRight.mAt ? aLeft.mAt > aRight.mAt
                                 : aLeft.mSequence > aRight.mSequence;
}

// Performs the actions of one gateway.
struct action_visitor
{
  fleet_sim& mSim;
  std::size_t mIndex;

  void operator()(const send_error& aAction)
  {
    HandleSendError(mSim, mIndex, aAction);
  }
  void operator()(const dispatch_request& aAction)
  {
    Dispatch(mSim, mIndex, aAction);
  }
  void operator()(const directory_query& aAction)
  {
    HandleQuery(mSim, mIndex, aAction);
  }
  void operator()(const grant_write& aAction)
  {
    HandleGrantWrite(mSim, mIndex, aAction);
  }
  void operator()(const grant_read& aAction)
  {
    HandleGrantRead(mSim, mIndex, aAction);
  }
  void operator()(const request_servers& aAction)
  {
    RequestServers(mSim, mIndex, aAction);
  }
  void operator()(const send_servers& aAction)
  {
    SendServers(mSim, aAction.mCall, aAction.mServers);
  }
  void operator()(const share_grants& aAction)
  {
    ShareGrants(mSim, mIndex, aAction);
  }
  void operator()(const send_share_response& aAction)
  {
    SendShareResponse(mSim, aAction.mCall, aAction.mResponse);
  }
  void operator()(const crash_report_write& aAction)
  {
    HandleCrashReportWrite(mSim, mIndex, aAction);
  }
  void operator()(const probe_server& aAction)
  {
    const bool isDown = mSim.mServersDown.count(aAction.mBackend.mValue) > 0;
    DeliverAfter(mSim, kPeerLatency, mIndex,
                 server_probed{ aAction.mBackend, aAction.mStartedMs, isDown });
  }
  void operator()(const registration_call& aAction)
  {
    HandleRegistration(mSim, mIndex, aAction);
  }
  void operator()(const deregistration_call&)
  {
    SetPeer(mSim, mSim.mGateways[mIndex].mName, std::nullopt);
  }
  void operator()(const request_tokens& aAction)
  {
    RequestTokens(mSim, mIndex, aAction);
  }
  void operator()(const send_token_response& aAction)
  {
    SendTokenResponse(mSim, aAction.mCall, aAction.mResponse);
  }
  void operator()(const recall_tokens& aAction)
  {
    RecallTokens(mSim, mIndex, aAction);
  }
  void operator()(const return_tokens& aAction)
  {
    ReturnTokens(mSim, mIndex, aAction);
  }
  void operator()(const report_prompts& aAction)
  {
    for (const std::string& address : aAction.mAddresses) {
      if (const auto peer = FindReachable(mSim, mIndex, address)) {
        DeliverAfter(mSim, kPeerLatency, *peer,
                     prompts_reported{ aAction.mPrompts, aAction.mGateway });
      }
    }
  }
  template<typename Other>
  void operator()(const Other&)
  {}
};

} // namespace

int Draw(fleet_sim& aSim, int aBelow)
{
  return std::uniform_int_distribution<int>(0, aBelow - 1)(aSim.mRandom);
}

absl::Duration DrawTime(fleet_sim& aSim, absl::Duration aBelow)
{
  return absl::Milliseconds(
    Draw(aSim, static_cast<int>(absl::ToInt64Milliseconds(aBelow))));
}

void Schedule(fleet_sim& aSim, absl::Duration aTime, std::function<void()> aRun)
{
  aSim.mQueue.push_back(
    { aSim.mNow + aTime, aSim.mNextSequence++, std::move(aRun) });
  std::push_heap(aSim.mQueue.begin(), aSim.mQueue.end(), &IsLater);
}

void RunUntil(fleet_sim& aSim, absl::Time aEnd)
{
  while (!aSim.mQueue.empty() && aSim.mQueue.front().mAt <= aEnd &&
         aSim.mViolations.empty()) {
    std::pop_heap(aSim.mQueue.begin(), aSim.mQueue.end(), &IsLater);
    const sim_event event = std::move(aSim.mQueue.back());
    aSim.mQueue.pop_back();
    aSim.mNow = event.mAt;
    event.mRun();
  }
  aSim.mNow = aEnd;
}

void RecordViolation(fleet_sim& aSim, violated_invariant aInvariant,
                     const std::string& aDetail)
{
  aSim.mViolations.push_back(
    { aInvariant,
      absl::StrCat(absl::FormatDuration(aSim.mNow - kStart), " ",
                   std::string(ToName(aInvariant)), ": ", aDetail) });
}

void Deliver(fleet_sim& aSim, std::size_t aIndex, const gateway_event& aEvent)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  if (!gateway.mIsAlive) {
    return;
  }
  Perform(aSim, aIndex, Step(*gateway.mNode, aEvent, aSim.mNow));
  if (!gateway.mIsAlive) {
    return;
  }
  const config_version version = GetSummary(*gateway.mNode).mVersion;
  if (version < gateway.mVersion) {
    RecordViolation(
      aSim, violated_invariant::ConfigurationReverted,
      absl::StrCat(gateway.mName, " from ", gateway.mVersion, " to ", version));
  }
  gateway.mVersion = version;
}

void DeliverAfter(fleet_sim& aSim, absl::Duration aTime, std::size_t aIndex,
                  gateway_event aEvent)
{
  const int start = aSim.mGateways[aIndex].mIncarnation;
  Schedule(aSim, aTime, [&aSim, aIndex, start, event = std::move(aEvent)] {
    if (aSim.mGateways[aIndex].mIncarnation == start) {
      Deliver(aSim, aIndex, event);
    }
  });
}

void Perform(fleet_sim& aSim, std::size_t aIndex,
             const gateway_actions& aActions)
{
  for (const gateway_action& action : aActions) {
    std::visit(action_visitor{ aSim, aIndex }, action);
  }
}

} // namespace foxtailquay::gateway_sim
