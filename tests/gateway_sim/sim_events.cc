#include "gateway_sim/sim_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace foxtailquay::gateway_sim {

namespace {

bool Later(const sim_event& aLeft, const sim_event& aRight)
{
  return aLeft.mAt != aRight.mAt ? aLeft.mAt > aRight.mAt
                                 : aLeft.mOrder > aRight.mOrder;
}

struct performer
{
  fleet_sim& mSim;
  std::size_t mIndex;

  void operator()(const send_error& aAction) { Refuse(mSim, mIndex, aAction); }
  void operator()(const dispatch_request& aAction)
  {
    Dispatch(mSim, mIndex, aAction);
  }
  void operator()(const directory_query& aAction)
  {
    Query(mSim, mIndex, aAction);
  }
  void operator()(const grant_write& aAction)
  {
    WriteGrants(mSim, mIndex, aAction);
  }
  void operator()(const registration_call& aAction)
  {
    Register(mSim, mIndex, aAction);
  }
  void operator()(const deregistration_call&)
  {
    SetPeer(mSim, mSim.mGateways[mIndex].mName, std::nullopt);
  }
  void operator()(const request_tokens& aAction) { Ask(mSim, mIndex, aAction); }
  void operator()(const send_token_response& aAction)
  {
    AnswerCall(mSim, aAction.mCall, aAction.mResponse);
  }
  void operator()(const return_tokens& aAction)
  {
    if (const auto peer = FindGateway(mSim, aAction.mAddress)) {
      DeliverAfter(mSim, kPeerLatency, *peer,
                   tokens_returned{ aAction.mWorkspace, aAction.mAmount });
    }
  }
  void operator()(const report_prompts& aAction)
  {
    for (const std::string& address : aAction.mAddresses) {
      if (const auto peer = FindGateway(mSim, address)) {
        DeliverAfter(mSim, kPeerLatency, *peer,
                     prompts_reported{ aAction.mPrompts });
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

void After(fleet_sim& aSim, absl::Duration aTime, std::function<void()> aRun)
{
  aSim.mQueue.push_back(
    { aSim.mNow + aTime, aSim.mNextOrder++, std::move(aRun) });
  std::push_heap(aSim.mQueue.begin(), aSim.mQueue.end(), &Later);
}

void RunUntil(fleet_sim& aSim, absl::Time aEnd)
{
  while (!aSim.mQueue.empty() && aSim.mQueue.front().mAt <= aEnd &&
         aSim.mViolations.empty()) {
    std::pop_heap(aSim.mQueue.begin(), aSim.mQueue.end(), &Later);
    const sim_event event = std::move(aSim.mQueue.back());
    aSim.mQueue.pop_back();
    aSim.mNow = event.mAt;
    event.mRun();
  }
  aSim.mNow = aEnd;
}

void Report(fleet_sim& aSim, broken_promise aPromise,
            const std::string& aDetail)
{
  aSim.mViolations.push_back(
    { aPromise, absl::StrCat(absl::FormatDuration(aSim.mNow - kStart), " ",
                             std::string(ToName(aPromise)), ": ", aDetail) });
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
    Report(
      aSim, broken_promise::ConfigurationWentBack,
      absl::StrCat(gateway.mName, " from ", gateway.mVersion, " to ", version));
  }
  gateway.mVersion = version;
}

void DeliverAfter(fleet_sim& aSim, absl::Duration aTime, std::size_t aIndex,
                  gateway_event aEvent)
{
  const int start = aSim.mGateways[aIndex].mStart;
  After(aSim, aTime, [&aSim, aIndex, start, event = std::move(aEvent)] {
    if (aSim.mGateways[aIndex].mStart == start) {
      Deliver(aSim, aIndex, event);
    }
  });
}

void Perform(fleet_sim& aSim, std::size_t aIndex,
             const gateway_actions& aActions)
{
  for (const gateway_action& action : aActions) {
    std::visit(performer{ aSim, aIndex }, action);
  }
}

} // namespace foxtailquay::gateway_sim
