#include "share.h"

#include <algorithm>
#include <cmath>

namespace foxtailquay {

namespace {

// Limits of the time constant of the spending rate, which is a quarter of the
// share horizon. It must be longer than a burst of requests and short enough to
// follow the changes of load during a day.
constexpr absl::Duration kMinRateTimeConstant = absl::Seconds(10);
constexpr absl::Duration kMaxRateTimeConstant = absl::Seconds(150);

} // namespace

token_count ComputeFreeTokens(const share_state& aShare)
{
  token_count free =
    aShare.mGranted - aShare.mCommittedSpent - aShare.mReturnPending;
  for (const transfer_op& transfer : aShare.mTransfersIn) {
    free += transfer.mAmount;
  }
  for (const auto& [number, amount] : aShare.mReservations) {
    free -= amount;
  }
  for (const auto& [number, transfer] : aShare.mTransfersOut) {
    free -= transfer.mAmount;
  }
  for (const auto& [number, cost] : aShare.mUncommittedCosts) {
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
  aShare.mReservations[number] = aAmount;
  aShare.mMaxReservation = std::max(aShare.mMaxReservation, aAmount);
  aShare.mLastUsed = aNow;
  return number;
}

void SettleLocally(share_state& aShare, std::uint64_t aNumber,
                   token_count aCost)
{
  if (aShare.mReservations.erase(aNumber) == 0) {
    return;
  }
  aShare.mUncommittedCosts[aNumber] = aCost;
  aShare.mSpentSinceUpdate += aCost;
}

transfer_op TransferTokens(share_state& aShare, const process_id& aTo,
                           token_count aRequested)
{
  transfer_op transfer;
  transfer.mFrom.mShare = aShare.mId;
  transfer.mTo = aTo;
  // Waiting requests of this router have precedence.
  if (aShare.mStatus != share_status::Open || !aShare.mWaiting.empty()) {
    return transfer;
  }
  token_count free = ComputeFreeTokens(aShare);
  for (const transfer_op& received : aShare.mTransfersIn) {
    free -= received.mAmount;
  }
  transfer.mAmount = std::min(aRequested, free);
  if (transfer.mAmount <= 0) {
    transfer.mAmount = 0;
    return transfer;
  }
  transfer.mFrom.mNumber = aShare.mNextNumber++;
  aShare.mTransfersOut[transfer.mFrom.mNumber] = transfer;
  return transfer;
}

bool RecordTransfer(share_state& aShare, const transfer_op& aTransfer)
{
  auto& received = aShare.mReceivedTransfers[aTransfer.mFrom.mShare.mHolder];
  if (!received.insert(aTransfer.mFrom.mNumber).second) {
    return false;
  }
  aShare.mTransfersIn.push_back(aTransfer);
  return true;
}

bool IsSettledOrClosed(const account& aAccount, const process_id& aHolder,
                       std::uint64_t aNumber)
{
  const auto found = aAccount.mShares.find(aHolder);
  return found == aAccount.mShares.end() ||
         Contains(found->second.mSettled, aNumber);
}

void RemoveTransfer(share_state& aShare, const request_id& aFrom)
{
  auto& in = aShare.mTransfersIn;
  in.erase(std::remove_if(in.begin(), in.end(),
                          [&aFrom](const transfer_op& aTransfer) {
                            return aTransfer.mFrom == aFrom;
                          }),
           in.end());
}

void UpdateShare(share_state& aShare, const account& aAccount, bool aComplete)
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
  eraseSettled(aShare.mUncommittedCosts);
  eraseSettled(aShare.mTransfersOut);
  // A run that is open in this router but settled in the store was settled from
  // a usage record that its agent handed over to another process.
  eraseSettled(aShare.mReservations);
  auto& in = aShare.mTransfersIn;
  in.erase(std::remove_if(in.begin(), in.end(),
                          [&aAccount, aComplete](const transfer_op& aTransfer) {
                            const process_id& sender =
                              aTransfer.mFrom.mShare.mHolder;
                            const bool listed =
                              aAccount.mShares.count(sender) != 0;
                            return (aComplete || listed) &&
                                   IsSettledOrClosed(aAccount, sender,
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
  const double newest = static_cast<double>(aShare.mSpentSinceUpdate) / seconds;
  const absl::Duration timeConstant =
    std::clamp(aHorizon / 4, kMinRateTimeConstant, kMaxRateTimeConstant);
  const double weight =
    1 - std::exp(-absl::FDivDuration(aElapsed, timeConstant));
  aShare.mSpendingRate += (newest - aShare.mSpendingRate) * weight;
  aShare.mSpentSinceUpdate = 0;
}

token_count ComputeTargetTokens(const share_state& aShare,
                                absl::Duration aHorizon, token_count aMinTokens)
{
  const double expected =
    aShare.mSpendingRate * absl::ToDoubleSeconds(aHorizon);
  return std::max({ aMinTokens, 2 * aShare.mMaxReservation,
                    static_cast<token_count>(expected) });
}

} // namespace foxtailquay
