#include "stored_entry.h"

namespace foxtailquay {

namespace {

bool IsSameIncarnation(const known_statement& aKnown,
                       const backend_entry& aEntry)
{
  return aKnown.mOrder.mStartedMs == aEntry.mStartedMs &&
         aKnown.mAddress == aEntry.mAddress;
}

} // namespace

std::optional<entry_conflict> FindConflict(
  const std::optional<known_statement>& aKnown, const backend_entry& aEntry)
{
  if (!aKnown) {
    return std::nullopt;
  }
  if (aEntry.mStartedMs < aKnown->mOrder.mStartedMs) {
    return entry_conflict::EarlierIncarnation;
  }
  if (!IsSameIncarnation(*aKnown, aEntry)) {
    return std::nullopt;
  }
  if (aEntry.mSequence < aKnown->mOrder.mSequence) {
    return entry_conflict::EarlierStatement;
  }
  if (aKnown->mIsLeaving && !aEntry.mLeaving) {
    return entry_conflict::AfterLeaving;
  }
  if (!aKnown->mIsListed && aKnown->mIsRemoved) {
    return entry_conflict::AfterRemoval;
  }
  return std::nullopt;
}

} // namespace foxtailquay
