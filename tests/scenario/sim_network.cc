#include "sim_network.h"

#include "absl/strings/str_cat.h"
#include "sim_process.h"
#include "sim_stream.h"

namespace foxtailquay::scenario {

namespace {

// Returns true with a probability of aPermille / 1000.
bool DrawWithProbability(world& aWorld, int aPermille)
{
  return aPermille > 0 &&
         std::uniform_int_distribution<int>(0, 999)(aWorld.mRandom) < aPermille;
}

// Schedules a peer_unreachable_event for the process aTo after aAfter.
void ReportUnreachable(world& aWorld, const process_ref& aTo,
                       const std::string& aPeer, absl::Duration aAfter)
{
  const sim_process& process = aWorld.mProcesses.at(aTo.mName);
  const peer_unreachable_event event{ member_id{ aPeer } };
  node_input input;
  if (process.mRole == process_role::Router) {
    input.mEvent = router_event{ event };
  } else {
    input.mEvent = agent_event{ event };
  }
  Schedule(aWorld, aWorld.mNow + aAfter, { aTo, std::move(input) });
}

// Returns whether an injected fault discards the message.
bool IsWithheld(const world& aWorld, const std::string& aTo,
                const message& aMessage)
{
  const bool config = HasFault(aWorld, injected_fault::WithholdConfig) &&
                      aTo == aWorld.mProcesses.rbegin()->first &&
                      std::holds_alternative<config_message>(aMessage);
  return config || (HasFault(aWorld, injected_fault::DropUsageAcks) &&
                    std::holds_alternative<usage_ack_message>(aMessage));
}

// Hides from routers that an agent is leaving if that fault is injected.
envelope InjectMessageFault(const world& aWorld, envelope aEnvelope)
{
  if (!HasFault(aWorld, injected_fault::WorkWhileLeaving)) {
    return aEnvelope;
  }
  if (auto* gossip = std::get_if<gossip_message>(&aEnvelope.mBody)) {
    for (load_report& report : gossip->mLoad) {
      report.mLeaving = false;
    }
  }
  if (auto* members = std::get_if<members_message>(&aEnvelope.mBody)) {
    for (auto& [id, member] : members->mMembers.mMembers) {
      member.mStatus = member_status::Active;
    }
  }
  return aEnvelope;
}

} // namespace

bool IsCut(const world& aWorld, const std::string& aFrom,
           const std::string& aTo)
{
  return aWorld.mNetwork.mCuts.count({ aFrom, aTo }) != 0;
}

void SetCut(world& aWorld, const std::string& aFrom, const std::string& aTo,
            bool aCut)
{
  aWorld.mLastDisturbance = aWorld.mNow;
  if (!aCut) {
    aWorld.mNetwork.mCuts.erase({ aFrom, aTo });
    return;
  }
  aWorld.mNetwork.mCuts.insert({ aFrom, aTo });
  for (std::size_t i = 0; i < aWorld.mStreams.size(); ++i) {
    const sim_stream& stream = aWorld.mStreams[i];
    const std::string& router = stream.mRouter.mName;
    const std::string& agent = stream.mAgent.mName;
    if ((router == aFrom && agent == aTo) ||
        (router == aTo && agent == aFrom)) {
      CutStream(aWorld, i);
    }
  }
}

absl::Duration ChooseDelay(world& aWorld)
{
  const auto jitter = absl::ToInt64Microseconds(aWorld.mNetwork.mJitter);
  std::uniform_int_distribution<std::int64_t> extra(0, jitter);
  return aWorld.mNetwork.mDelay + absl::Microseconds(extra(aWorld.mRandom));
}

void SendMessage(world& aWorld, const process_ref& aFrom,
                 const send_action& aSend)
{
  const std::string& to = aSend.mAddress;
  if (aWorld.mProcesses.count(to) == 0) {
    ReportUnreachable(aWorld, aFrom, aSend.mTo.mValue, kConnectTimeout);
    return;
  }
  if (IsWithheld(aWorld, to, aSend.mEnvelope.mBody)) {
    return;
  }
  const bool messageLost =
    DrawWithProbability(aWorld, aWorld.mNetwork.mLossPermille);
  const bool responseLost =
    DrawWithProbability(aWorld, aWorld.mNetwork.mLossPermille);
  if (messageLost || responseLost) {
    ReportUnreachable(aWorld, aFrom, to, kConnectTimeout);
  }
  if (messageLost) {
    return;
  }
  const int copies =
    DrawWithProbability(aWorld, aWorld.mNetwork.mDuplicatePermille) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(aWorld, aWorld.mNow + ChooseDelay(aWorld),
             { { to, 0 },
               message_arrival{
                 aFrom, InjectMessageFault(aWorld, aSend.mEnvelope) } });
  }
}

void OnEvent(world& aWorld, const process_ref& aTarget,
             const message_arrival& aArrival)
{
  if (IsCut(aWorld, aArrival.mFrom.mName, aTarget.mName)) {
    ReportUnreachable(aWorld, aArrival.mFrom, aTarget.mName, kConnectTimeout);
    return;
  }
  if (IsCut(aWorld, aTarget.mName, aArrival.mFrom.mName)) {
    // The message arrives, but its acknowledgement is lost.
    ReportUnreachable(aWorld, aArrival.mFrom, aTarget.mName, kConnectTimeout);
  }
  Trace(aWorld, absl::StrCat(aTarget.mName, " receives message ",
                             aArrival.mEnvelope.mBody.index(), " from ",
                             ToString(aArrival.mEnvelope.mSender),
                             " with configuration ",
                             aArrival.mEnvelope.mConfigVersion));
  const message_event event{ aArrival.mEnvelope };
  if (aWorld.mProcesses.at(aTarget.mName).mRouter) {
    StepProcess(aWorld, aTarget.mName, router_event{ event });
  } else {
    StepProcess(aWorld, aTarget.mName, agent_event{ event });
  }
}

void OnTargetDown(world& aWorld, const process_ref& aTarget,
                  const message_arrival& aArrival)
{
  ReportUnreachable(aWorld, aArrival.mFrom, aTarget.mName, ChooseDelay(aWorld));
}

void OnTargetPaused(world& aWorld, const process_ref& aTarget,
                    const message_arrival& aArrival)
{
  ReportUnreachable(aWorld, aArrival.mFrom, aTarget.mName, kMessageTimeout);
}

} // namespace foxtailquay::scenario
