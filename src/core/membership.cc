#include "foxtailquay/membership.h"

#include <algorithm>

#include "model_order.h"

namespace foxtailquay {

namespace {

// Returns true if aProcess is the member's listed incarnation.
bool IsCurrent(const member_list& aList, const process_id& aProcess)
{
  const auto found = aList.mMembers.find(aProcess.mMember);
  return found != aList.mMembers.end() &&
         found->second.mIncarnation == aProcess.mIncarnation;
}

bool HasFence(const member_list& aList, const process_id& aProcess)
{
  return std::any_of(aList.mFences.begin(), aList.mFences.end(),
                     [&aProcess](const fence_record& aFence) {
                       return aFence.mFenced == aProcess;
                     });
}

// Adds a fence that every listed member has to acknowledge.
// Precondition: aProcess is no longer in the member map.
void AddFence(member_list& aList, const process_id& aProcess)
{
  fence_record fence;
  fence.mFenced = aProcess;
  fence.mLossEpoch = aList.mLossEpoch;
  for (const auto& [id, member] : aList.mMembers) {
    fence.mAcknowledgers.emplace(id, member.mIncarnation);
  }
  aList.mFences.push_back(std::move(fence));
}

// Removes a member that did not stop gracefully, and fences it if it is a
// router. The fence gets the loss epoch from before this loss, because the loss
// of a router must not cause its own shares to be held.
void RemoveLostMember(member_list& aList, const process_id& aProcess)
{
  const process_role role = aList.mMembers[aProcess.mMember].mRole;
  aList.mMembers.erase(aProcess.mMember);
  if (role == process_role::Router && !HasFence(aList, aProcess)) {
    AddFence(aList, aProcess);
  }
  ++aList.mLossEpoch;
}

op_outcome Apply(member_list& aList, const join_op& aOp)
{
  const auto found = aList.mMembers.find(aOp.mMember);
  if (found != aList.mMembers.end()) {
    if (found->second.mNonce == aOp.mRecord.mNonce) {
      return op_outcome::AlreadyApplied;
    }
    RemoveLostMember(aList, { aOp.mMember, found->second.mIncarnation });
  }
  member_record record = aOp.mRecord;
  record.mIncarnation = ++aList.mLastIncarnation[aOp.mMember];
  record.mStatus = member_status::Active;
  aList.mMembers[aOp.mMember] = std::move(record);
  return op_outcome::Applied;
}

op_outcome Apply(member_list& aList, const mark_leaving_op& aOp)
{
  if (!IsCurrent(aList, aOp.mProcess)) {
    return op_outcome::Denied;
  }
  member_record& member = aList.mMembers[aOp.mProcess.mMember];
  if (member.mStatus == member_status::Leaving) {
    return op_outcome::AlreadyApplied;
  }
  member.mStatus = member_status::Leaving;
  return op_outcome::Applied;
}

op_outcome Apply(member_list& aList, const leave_op& aOp)
{
  if (!IsCurrent(aList, aOp.mProcess)) {
    return op_outcome::AlreadyApplied;
  }
  aList.mMembers.erase(aOp.mProcess.mMember);
  // A member that stopped gracefully has no uncommitted usage records, so
  // fences need no acknowledgement from it.
  for (fence_record& fence : aList.mFences) {
    fence.mAcknowledgers.erase(aOp.mProcess.mMember);
  }
  return op_outcome::Applied;
}

op_outcome Apply(member_list& aList, const raise_fence_op& aOp)
{
  if (!IsCurrent(aList, aOp.mProcess)) {
    return op_outcome::AlreadyApplied;
  }
  if (aList.mMembers[aOp.mProcess.mMember].mRole != process_role::Router) {
    return op_outcome::Denied;
  }
  RemoveLostMember(aList, aOp.mProcess);
  return op_outcome::Applied;
}

op_outcome Apply(member_list& aList, const remove_lost_op& aOp)
{
  if (!IsCurrent(aList, aOp.mProcess)) {
    return op_outcome::AlreadyApplied;
  }
  RemoveLostMember(aList, aOp.mProcess);
  return op_outcome::Applied;
}

op_outcome Apply(member_list& aList, const finish_fence_op& aOp)
{
  const auto old = std::remove_if(aList.mFences.begin(), aList.mFences.end(),
                                  [&aOp](const fence_record& aFence) {
                                    return aFence.mFenced == aOp.mProcess;
                                  });
  if (old == aList.mFences.end()) {
    return op_outcome::AlreadyApplied;
  }
  aList.mFences.erase(old, aList.mFences.end());
  return op_outcome::Applied;
}

op_outcome Apply(member_list& aList, const command_fence_op& aOp)
{
  if (!IsCurrent(aList, aOp.mProcess)) {
    return op_outcome::Denied;
  }
  fencing_number& highest = aList.mCommandFences[aOp.mProcess.mMember];
  return AcceptFencingNumber(highest, aOp.mFencingNumber) ? op_outcome::Applied
                                                          : op_outcome::Denied;
}

} // namespace

op_outcome ApplyOp(member_list& aList, const member_op& aOp)
{
  return std::visit(
    [&aList](const auto& aTyped) { return Apply(aList, aTyped); }, aOp);
}

bool IsFenced(const member_list& aList, const process_id& aProcess)
{
  if (HasFence(aList, aProcess)) {
    return true;
  }
  const auto last = aList.mLastIncarnation.find(aProcess.mMember);
  if (last == aList.mLastIncarnation.end()) {
    return false;
  }
  if (last->second > aProcess.mIncarnation) {
    return true;
  }
  // If the newest incarnation is neither a member nor in a fence, it has left
  // or its fence is finished.
  return last->second == aProcess.mIncarnation &&
         aList.mMembers.count(aProcess.mMember) == 0;
}

bool IsSuccessorOfAcknowledger(const member_list& aList,
                               const process_id& aFenced,
                               const process_id& aProcess)
{
  for (const fence_record& fence : aList.mFences) {
    const auto acknowledger = fence.mAcknowledgers.find(aProcess.mMember);
    if (fence.mFenced == aFenced &&
        acknowledger != fence.mAcknowledgers.end()) {
      return acknowledger->second != aProcess.mIncarnation;
    }
  }
  return false;
}

} // namespace foxtailquay
