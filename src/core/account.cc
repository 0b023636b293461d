#include "foxtailquay/account.h"

#include <algorithm>

#include "xxhash.h"

namespace foxtailquay {

namespace {

// Returns the open share with that id, or null.
share_record* FindShare(account_shard& aShard, const share_id& aShare)
{
  const auto found = aShard.mAccounts.find(aShare.mBudget);
  if (found == aShard.mAccounts.end()) {
    return nullptr;
  }
  const auto share = found->second.mShares.find(aShare.mHolder);
  return share == found->second.mShares.end() ? nullptr : &share->second;
}

// Returns false if a share of this incarnation, or of a newer incarnation of
// the same router, was closed.
bool MayOpenShare(const account& aAccount, const process_id& aHolder)
{
  const auto found = aAccount.mMinIncarnation.find(aHolder.mMember);
  return found == aAccount.mMinIncarnation.end() ||
         aHolder.mIncarnation >= found->second;
}

// Closes the share of aHolder. Its unspent tokens become unallocated, and no
// later operation of the same incarnation can open it again. Precondition: the
// share is open.
void CloseShare(account& aAccount, const process_id& aHolder)
{
  const auto share = aAccount.mShares.find(aHolder);
  aAccount.mClosedSpent += share->second.mSpent;
  aAccount.mShares.erase(share);
  incarnation_number& lowest = aAccount.mMinIncarnation[aHolder.mMember];
  lowest = std::max(lowest, aHolder.mIncarnation + 1);
}

op_outcome Apply(account_shard& aShard, const top_up_op& aOp)
{
  if (aOp.mAmount <= 0) {
    return op_outcome::Denied;
  }
  account& target = aShard.mAccounts[aOp.mBudget];
  if (!target.mTopUps.emplace(aOp.mTopUpId, aOp.mAmount).second) {
    return op_outcome::AlreadyApplied;
  }
  target.mPaidIn = AddTokens(target.mPaidIn, aOp.mAmount);
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const grant_op& aOp)
{
  const auto found = aShard.mAccounts.find(aOp.mShare.mBudget);
  if (found == aShard.mAccounts.end() ||
      !MayOpenShare(found->second, aOp.mShare.mHolder)) {
    return op_outcome::Denied;
  }
  account& source = found->second;
  const auto open = source.mShares.find(aOp.mShare.mHolder);
  if (open != source.mShares.end()) {
    if (open->second.mHeld) {
      return op_outcome::Denied;
    }
    if (aOp.mAdjustment <= open->second.mAdjustment) {
      return op_outcome::AlreadyApplied;
    }
  }
  const token_count free = ComputeUnallocated(source);
  const token_count paced =
    std::min(aOp.mRequested, free / 1000 * aOp.mMaxPermille);
  const token_count amount = std::min(free, std::max(aOp.mRequired, paced));
  if (amount <= 0 && open == source.mShares.end()) {
    return op_outcome::Denied;
  }
  share_record& share = source.mShares[aOp.mShare.mHolder];
  share.mAdjustment = aOp.mAdjustment;
  share.mGranted += std::max<token_count>(amount, 0);
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const settle_op& aOp)
{
  share_record* share = FindShare(aShard, aOp.mRequest.mShare);
  if (share == nullptr) {
    // A share is closed only after all its usage records are settled. If it
    // was never open, its tokens come from a transfer that is not committed
    // yet.
    account& budgetAccount = aShard.mAccounts[aOp.mRequest.mShare.mBudget];
    if (!MayOpenShare(budgetAccount, aOp.mRequest.mShare.mHolder)) {
      return op_outcome::AlreadyApplied;
    }
    share = &budgetAccount.mShares[aOp.mRequest.mShare.mHolder];
  }
  if (!Insert(share->mSettled, aOp.mRequest.mNumber)) {
    return op_outcome::AlreadyApplied;
  }
  share->mSpent += aOp.mCost;
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const return_op& aOp)
{
  share_record* share = FindShare(aShard, aOp.mShare);
  if (share == nullptr || aOp.mAdjustment <= share->mAdjustment) {
    return op_outcome::AlreadyApplied;
  }
  if (share->mHeld || aOp.mAmount < 0 ||
      aOp.mAmount > share->mGranted - share->mSpent) {
    return op_outcome::Denied;
  }
  share->mAdjustment = aOp.mAdjustment;
  share->mGranted -= aOp.mAmount;
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const transfer_op& aOp)
{
  share_record* from = FindShare(aShard, aOp.mFrom.mShare);
  if (from == nullptr || !Insert(from->mSettled, aOp.mFrom.mNumber)) {
    return op_outcome::AlreadyApplied;
  }
  from->mGranted -= aOp.mAmount;
  account& budgetAccount = aShard.mAccounts[aOp.mFrom.mShare.mBudget];
  // If the receiving share is closed, the tokens become unallocated.
  if (budgetAccount.mShares.count(aOp.mTo) != 0 ||
      MayOpenShare(budgetAccount, aOp.mTo)) {
    budgetAccount.mShares[aOp.mTo].mGranted += aOp.mAmount;
  }
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const close_share_op& aOp)
{
  share_record* share = FindShare(aShard, aOp.mShare);
  if (share == nullptr) {
    return op_outcome::AlreadyApplied;
  }
  if (share->mHeld) {
    return op_outcome::AlreadyApplied;
  }
  if (aOp.mLossEpoch > share->mLossEpoch) {
    share->mHeld = true;
    return op_outcome::Applied;
  }
  CloseShare(aShard.mAccounts[aOp.mShare.mBudget], aOp.mShare.mHolder);
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const record_loss_epoch_op& aOp)
{
  share_record* share = FindShare(aShard, aOp.mShare);
  if (share == nullptr || share->mLossEpoch >= aOp.mLossEpoch) {
    return op_outcome::AlreadyApplied;
  }
  share->mLossEpoch = aOp.mLossEpoch;
  return op_outcome::Applied;
}

op_outcome Apply(account_shard& aShard, const release_held_op& aOp)
{
  share_record* share = FindShare(aShard, aOp.mShare);
  if (share == nullptr) {
    return op_outcome::AlreadyApplied;
  }
  if (!share->mHeld) {
    return op_outcome::Denied;
  }
  CloseShare(aShard.mAccounts[aOp.mShare.mBudget], aOp.mShare.mHolder);
  return op_outcome::Applied;
}

const budget_id& GetOpBudget(const top_up_op& aOp)
{
  return aOp.mBudget;
}

const budget_id& GetOpBudget(const settle_op& aOp)
{
  return aOp.mRequest.mShare.mBudget;
}

const budget_id& GetOpBudget(const transfer_op& aOp)
{
  return aOp.mFrom.mShare.mBudget;
}

template<typename Op>
const budget_id& GetOpBudget(const Op& aOp)
{
  return aOp.mShare.mBudget;
}

} // namespace

bool Insert(settled_set& aSet, std::uint64_t aNumber)
{
  if (Contains(aSet, aNumber)) {
    return false;
  }
  aSet.mAboveWatermark.insert(aNumber);
  while (!aSet.mAboveWatermark.empty() &&
         *aSet.mAboveWatermark.begin() == aSet.mWatermark + 1) {
    aSet.mAboveWatermark.erase(aSet.mAboveWatermark.begin());
    ++aSet.mWatermark;
  }
  return true;
}

bool Contains(const settled_set& aSet, std::uint64_t aNumber)
{
  return aNumber <= aSet.mWatermark || aSet.mAboveWatermark.count(aNumber) != 0;
}

op_outcome ApplyOp(account_shard& aShard, const account_op& aOp)
{
  return std::visit(
    [&aShard](const auto& aTyped) { return Apply(aShard, aTyped); }, aOp);
}

const budget_id& GetBudget(const account_op& aOp)
{
  return std::visit(
    [](const auto& aTyped) -> const budget_id& { return GetOpBudget(aTyped); },
    aOp);
}

token_count ComputeUnallocated(const account& aAccount)
{
  token_count allocated = aAccount.mClosedSpent;
  for (const auto& [holder, share] : aAccount.mShares) {
    // mSpent exceeds mGranted if the holder spent tokens of a transfer that is
    // not committed yet.
    allocated += std::max(share.mGranted, share.mSpent);
  }
  return aAccount.mPaidIn - allocated;
}

token_count ComputeSpent(const account& aAccount)
{
  token_count spent = aAccount.mClosedSpent;
  for (const auto& [holder, share] : aAccount.mShares) {
    spent += share.mSpent;
  }
  return spent;
}

bool IsAccountValid(const account& aAccount)
{
  return ComputeUnallocated(aAccount) >= 0 &&
         ComputeSpent(aAccount) <= aAccount.mPaidIn;
}

std::uint32_t ComputeShard(const budget_id& aBudget, std::uint32_t aShardCount)
{
  const std::uint64_t hash =
    XXH64(aBudget.mValue.data(), aBudget.mValue.size(), 0);
  return static_cast<std::uint32_t>(hash % aShardCount);
}

} // namespace foxtailquay
