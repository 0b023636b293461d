#include "share.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

// The spending rate is averaged over a quarter of the share horizon, within
// these limits: longer than a burst, and short enough to follow the day.
constexpr absl::Duration kMinRateMemory = absl::Seconds(10);
constexpr absl::Duration kMaxRateMemory = absl::Seconds(150);

} // namespace

token_count ComputeFreeTokens(const share_state& aShare)
{
  token_count free =
    aShare.mGranted - aShare.mCommittedSpent - aShare.mReturnPending;
  for (const transfer_op& transfer : aShare.mTransfersIn) {
    free += transfer.mAmount;
  }
  for (const auto& [number, amount] : aShare.mOpen) {
    free -= amount;
  }
  for (const auto& [number, transfer] : aShare.mTransfersOut) {
    free -= transfer.mAmount;
  }
  for (const auto& [number, cost] : aShare.mUncommitted) {
    free -= cost;
  }
  return free;
}

std::optional<std::uint64_t> Reserve(share_state& aShare, token_count aAmount,
                                     absl::Time aNow)
{
  if (aShare.mStatus != share_status::Open ||
      ComputeFreeTokens(aShare) < aAmount) {
    return std::nullopt;
  }
  const std::uint64_t number = aShare.mNextNumber++;
  aShare.mOpen[number] = aAmount;
  aShare.mLargest = std::max(aShare.mLargest, aAmount);
  aShare.mLastUsed = aNow;
  return number;
}

void SettleLocally(share_state& aShare, std::uint64_t aNumber,
                   token_count aCost)
{
  if (aShare.mOpen.erase(aNumber) == 0) {
    return;
  }
  aShare.mUncommitted[aNumber] = aCost;
  aShare.mSpentSinceReview += aCost;
}

transfer_op GiveTransfer(share_state& aShare, const process_id& aTo,
                         token_count aWant)
{
  transfer_op transfer;
  transfer.mFrom.mShare = aShare.mId;
  transfer.mTo = aTo;
  // Waiting requests of this router go first.
  if (aShare.mStatus != share_status::Open || !aShare.mWaiting.empty()) {
    return transfer;
  }
  token_count free = ComputeFreeTokens(aShare);
  for (const transfer_op& received : aShare.mTransfersIn) {
    free -= received.mAmount;
  }
  transfer.mAmount = std::min(aWant, free);
  if (transfer.mAmount <= 0) {
    transfer.mAmount = 0;
    return transfer;
  }
  transfer.mFrom.mNumber = aShare.mNextNumber++;
  aShare.mTransfersOut[transfer.mFrom.mNumber] = transfer;
  return transfer;
}

bool TakeTransfer(share_state& aShare, const transfer_op& aTransfer)
{
  auto& received = aShare.mReceived[aTransfer.mFrom.mShare.mHolder];
  if (!received.insert(aTransfer.mFrom.mNumber).second) {
    return false;
  }
  aShare.mTransfersIn.push_back(aTransfer);
  return true;
}

bool IsSettledIn(const account& aAccount, const process_id& aOwner,
                 std::uint64_t aNumber)
{
  const auto found = aAccount.mShares.find(aOwner);
  return found == aAccount.mShares.end() ||
         Contains(found->second.mSettled, aNumber);
}

void DropTransfer(share_state& aShare, const request_id& aFrom)
{
  auto& in = aShare.mTransfersIn;
  in.erase(std::remove_if(in.begin(), in.end(),
                          [&aFrom](const transfer_op& aTransfer) {
                            return aTransfer.mFrom == aFrom;
                          }),
           in.end());
}

void RefreshFrom(share_state& aShare, const account& aAccount, bool aComplete)
{
  aShare.mUnallocated = ComputeUnallocated(aAccount);
  const auto found = aAccount.mShares.find(aShare.mId.mHolder);
  if (found == aAccount.mShares.end()) {
    return;
  }
  const share_record& record = found->second;
  aShare.mGranted = record.mGranted;
  aShare.mCommittedSpent = record.mSpent;
  const auto eraseSettled = [&record](auto& aEntries) {
    for (auto it = aEntries.begin(); it != aEntries.end();) {
      it = Contains(record.mSettled, it->first) ? aEntries.erase(it) : ++it;
    }
  };
  eraseSettled(aShare.mUncommitted);
  eraseSettled(aShare.mTransfersOut);
  // A run that is still open here but settled in the store was settled from a
  // record that its agent handed over.
  eraseSettled(aShare.mOpen);
  auto& in = aShare.mTransfersIn;
  in.erase(std::remove_if(
             in.begin(), in.end(),
             [&aAccount, aComplete](const transfer_op& aTransfer) {
               const process_id& owner = aTransfer.mFrom.mShare.mHolder;
               const bool listed = aAccount.mShares.count(owner) != 0;
               return (aComplete || listed) &&
                      IsSettledIn(aAccount, aTransfer.mFrom.mShare.mHolder,
                                  aTransfer.mFrom.mNumber);
             }),
           in.end());
}

void UpdateRate(share_state& aShare, absl::Duration aElapsed,
                absl::Duration aHorizon)
{
  const double seconds = absl::ToDoubleSeconds(aElapsed);
  if (seconds <= 0) {
    return;
  }
  const double newest = static_cast<double>(aShare.mSpentSinceReview) / seconds;
  const absl::Duration memory =
    std::clamp(aHorizon / 4, kMinRateMemory, kMaxRateMemory);
  const double weight = 1 - std::exp(-absl::FDivDuration(aElapsed, memory));
  aShare.mRate += (newest - aShare.mRate) * weight;
  aShare.mSpentSinceReview = 0;
}

token_count TargetTokens(const share_state& aShare, absl::Duration aHorizon,
                         token_count aLeast)
{
  const double expected = aShare.mRate * absl::ToDoubleSeconds(aHorizon);
  return std::max(
    { aLeast, 2 * aShare.mLargest, static_cast<token_count>(expected) });
}

} // namespace foxtailquay
