#include "node_core.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

// Delay that lets joins submitted at about the same time share a write.
constexpr absl::Duration kJoinBatchDelay = absl::Milliseconds(2);

} // namespace

node_core MakeNodeCore(const node_settings& aSettings, process_role aRole,
                       const node_charts& aCharts, absl::Duration aMinInterval)
{
  node_core node;
  node.mSettings = aSettings;
  node.mRole = aRole;
  node.mCharts = &aCharts;
  node.mCommitOptions.mMinInterval = aMinInterval;
  node.mRandom.seed(aSettings.mSeed);
  node.mSelf.mMember = aSettings.mMember;
  node.mMembersQueue.mSeed = aSettings.mSeed;
  node.mConfigQueue.mSeed = aSettings.mSeed;
  node.mMembersQueue.mKey = { store_area::Members, 0 };
  node.mConfigQueue.mKey = { store_area::Config, 0 };
  return node;
}

envelope MakeEnvelope(const node_core& aNode, message aBody)
{
  return envelope{ aNode.mSelf, aNode.mRole, aNode.mConfig.mVersion,
                   aNode.mMembersVersion, std::move(aBody) };
}

void Send(node_core& aNode, const member_id& aTo, message aBody)
{
  const auto found = aNode.mAddresses.find(aTo);
  if (found == aNode.mAddresses.end()) {
    return;
  }
  aNode.mSends.push_back(
    send_action{ aTo, found->second, MakeEnvelope(aNode, std::move(aBody)) });
}

void SubmitJoin(node_core& aNode, absl::Time aNow)
{
  ++aNode.mJoinCount;
  aNode.mSelf.mIncarnation = 0;
  join_op join;
  join.mMember = aNode.mSettings.mMember;
  join.mRecord.mRole = aNode.mRole;
  join.mRecord.mZone = aNode.mSettings.mZone;
  join.mRecord.mAddress = aNode.mSettings.mAddress;
  join.mRecord.mNonce =
    absl::StrCat(aNode.mSettings.mNonce, "-", aNode.mJoinCount);
  Submit(aNode.mMembersQueue, member_op(join), 0, aNow + kJoinBatchDelay);
  aNode.mConfigQueue.mReadRequested = true;
}

bool HasJoined(const node_core& aNode)
{
  return aNode.mSelf.mIncarnation != 0 && aNode.mConfigQueue.mMayBeCurrent;
}

void AdoptMembers(node_core& aNode, const member_list& aList,
                  store_version aVersion)
{
  if (aVersion <= aNode.mMembersVersion) {
    return;
  }
  aNode.mMembers = aList;
  for (const auto& [id, member] : aList.mMembers) {
    aNode.mAddresses[id] = member.mAddress;
  }
  aNode.mMembersVersion = aVersion;
  aNode.mHasUpdates = true;
}

void AdoptConfig(node_core& aNode, const config_document& aConfig)
{
  if (aConfig.mVersion <= aNode.mConfig.mVersion) {
    return;
  }
  aNode.mConfig = aConfig;
  aNode.mHasUpdates = true;
}

std::vector<pending_op<member_op>> OnMembersResponse(
  node_core& aNode, const store_response& aResponse, absl::Time aNow)
{
  auto decided =
    OnResponse(aNode.mMembersQueue, aResponse, aNow, aNode.mCommitOptions);
  if (aNode.mMembersQueue.mMayBeCurrent) {
    AdoptMembers(aNode, aNode.mMembersQueue.mCommitted,
                 aNode.mMembersQueue.mVersion);
  }
  for (const auto& done : decided) {
    if (std::holds_alternative<join_op>(done.mOp) &&
        done.mOutcome != op_outcome::Denied) {
      const auto& members = aNode.mMembersQueue.mCommitted.mMembers;
      const auto self = members.find(aNode.mSelf.mMember);
      if (self != members.end()) {
        aNode.mSelf.mIncarnation = self->second.mIncarnation;
      }
    }
  }
  return decided;
}

std::vector<pending_op<config_patch>> OnConfigResponse(
  node_core& aNode, const store_response& aResponse, absl::Time aNow)
{
  auto decided =
    OnResponse(aNode.mConfigQueue, aResponse, aNow, aNode.mCommitOptions);
  if (aNode.mConfigQueue.mMayBeCurrent) {
    AdoptConfig(aNode, aNode.mConfigQueue.mCommitted);
  }
  return decided;
}

void AdvanceQueues(node_core& aNode, absl::Time aNow)
{
  if (auto request = TakeDueRequest(aNode.mMembersQueue, aNow)) {
    aNode.mStoreRequests.push_back(std::move(*request));
  }
  if (auto request = TakeDueRequest(aNode.mConfigQueue, aNow)) {
    aNode.mStoreRequests.push_back(std::move(*request));
  }
}

absl::Time GetNextQueueWakeTime(const node_core& aNode)
{
  return std::min(GetNextWakeTime(aNode.mMembersQueue),
                  GetNextWakeTime(aNode.mConfigQueue));
}

void RecordSender(node_core& aNode, const envelope& aEnvelope, absl::Time aNow)
{
  const member_id& sender = aEnvelope.mSender.mMember;
  aNode.mLastMessageAt[sender] = aNow;
  aNode.mSuspectedSince.erase(sender);
  if (aEnvelope.mConfigVersion > aNode.mConfig.mVersion) {
    Send(aNode, sender, fetch_config_message{});
  }
  if (aEnvelope.mMembersVersion > aNode.mMembersVersion) {
    Send(aNode, sender, fetch_members_message{});
  }
}

bool OnUpdateMessage(node_core& aNode, const envelope& aEnvelope)
{
  const message& body = aEnvelope.mBody;
  const member_id& sender = aEnvelope.mSender.mMember;
  if (std::holds_alternative<fetch_config_message>(body)) {
    Send(aNode, sender, config_message{ aNode.mConfig });
    return true;
  }
  if (const auto* config = std::get_if<config_message>(&body)) {
    AdoptConfig(aNode, config->mConfig);
    return true;
  }
  if (std::holds_alternative<fetch_members_message>(body)) {
    Send(aNode, sender,
         members_message{ aNode.mMembersVersion, aNode.mMembers });
    return true;
  }
  if (const auto* members = std::get_if<members_message>(&body)) {
    AdoptMembers(aNode, members->mMembers, members->mVersion);
    return true;
  }
  return false;
}

bool IsSelfFenced(const node_core& aNode)
{
  return aNode.mSelf.mIncarnation != 0 && IsRefused(aNode, aNode.mSelf);
}

bool IsRefused(const node_core& aNode, const process_id& aProcess)
{
  return aNode.mFenced.count(aProcess) != 0 ||
         IsFenced(aNode.mMembers, aProcess);
}

std::vector<member_id> ListActiveMembers(const node_core& aNode,
                                         process_role aRole)
{
  std::vector<member_id> active;
  for (const auto& [id, member] : aNode.mMembers.mMembers) {
    if (member.mRole == aRole && member.mStatus == member_status::Active &&
        id != aNode.mSelf.mMember) {
      active.push_back(id);
    }
  }
  return active;
}

std::vector<member_id> ChooseRandom(node_core& aNode,
                                    std::vector<member_id> aFrom,
                                    std::size_t aCount)
{
  const std::size_t count = std::min(aCount, aFrom.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<std::size_t> pick(i, aFrom.size() - 1);
    std::swap(aFrom[i], aFrom[pick(aNode.mRandom)]);
  }
  aFrom.resize(count);
  return aFrom;
}

} // namespace foxtailquay
