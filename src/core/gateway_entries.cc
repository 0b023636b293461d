#include "gateway_entries.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_directory.h"

namespace foxtailquay {

namespace {

// Number of heartbeat intervals for which an entry must stand to be confirmed.
// The store removes entries after three intervals of silence; one more covers
// the time until the gateway knows of it.
constexpr int kConfirmationIntervals = 4;
// Largest number of log lines on withheld entries within kLogWindow. A store
// that returns from an outage may execute many heartbeats late.
constexpr int kMaxLogLines = 20;
constexpr absl::Duration kLogWindow = absl::Seconds(1);

struct entry_context
{
  const gateway& mGateway;
  const withheld_entry& mEntry;
  bool mHasConflict = false;
  // Start of the answered call.
  absl::Time mCalledAt = absl::InfinitePast();
  absl::Time mNow;
};

bool EvaluateGuard(entry_guard aGuard, const entry_context& aContext)
{
  const watched_area& area =
    aContext.mGateway
      .mAreas[static_cast<std::size_t>(directory_area::Backends)];
  switch (aGuard) {
    case entry_guard::HasConflict:
      return aContext.mHasConflict;
    case entry_guard::HasStood:
      return area.mIsConnected &&
             aContext.mNow >=
               std::max(aContext.mEntry.mSince, area.mConnectedSince) +
                 kConfirmationIntervals *
                   aContext.mGateway.mSettings.mServerHeartbeat;
    case entry_guard::IsCurrent:
      return aContext.mCalledAt >= aContext.mEntry.mCheckedAt;
  }
  return false;
}

std::optional<known_statement> FindKnownStatement(const gateway& aGateway,
                                                  const backend_id& aBackend,
                                                  bool aIsChange)
{
  const auto listing = aGateway.mListings.find(aBackend);
  const auto notice = aGateway.mNotices.find(aBackend);
  const bool isListed = listing != aGateway.mListings.end();
  const bool hasNotice = notice != aGateway.mNotices.end();
  if (!isListed && !hasNotice) {
    return std::nullopt;
  }
  known_statement known;
  known.mIsListed = isListed;
  if (isListed) {
    const backend_entry& entry = listing->second.mEntry;
    known.mOrder = { entry.mStartedMs, entry.mSequence };
    known.mAddress = entry.mAddress;
  } else {
    known.mOrder = { notice->second.mStartedMs, notice->second.mSequence };
    known.mAddress = notice->second.mAddress;
  }
  if (hasNotice) {
    known.mIsLeaving = notice->second.mIsLeaving;
    // Servers whose entries expired in an outage write them again at once.
    known.mIsRemoved =
      notice->second.mIsRemoved && !(notice->second.mHasExpired && aIsChange);
  }
  return known;
}

// Returns true if a line may be logged now.
bool TakeLine(entry_log& aLog, absl::Time aNow)
{
  if (aNow >= aLog.mWindowStart + kLogWindow) {
    aLog.mWindowStart = aNow;
    aLog.mLines = 0;
  }
  if (aLog.mLines >= kMaxLogLines) {
    ++aLog.mOmitted;
    return false;
  }
  ++aLog.mLines;
  return true;
}

void RecordEntry(gateway& aGateway, const backend_id& aBackend,
                 const withheld_entry& aEntry, std::string_view aOutcome,
                 absl::Time aNow)
{
  if (!TakeLine(aGateway.mEntryLog, aNow)) {
    return;
  }
  const auto known = FindKnownStatement(aGateway, aBackend, false);
  const statement_order order = known ? known->mOrder : statement_order{};
  RecordDecision(
    aGateway, decision::EntryWithheld,
    { { "backend", aBackend.mValue },
      { "outcome", std::string(aOutcome) },
      { "cause", std::string(ToName(aEntry.mConflict)) },
      { "state", aEntry.mEntry.mLeaving ? "leaving" : "ready" },
      { "started_ms", absl::StrCat(aEntry.mEntry.mStartedMs) },
      { "sequence", absl::StrCat(aEntry.mEntry.mSequence) },
      { "known_started_ms", absl::StrCat(order.mStartedMs) },
      { "known_sequence", absl::StrCat(order.mSequence) },
      { "revision", absl::StrCat(aEntry.mRevision) },
      { "stood_ms",
        absl::StrCat(absl::ToInt64Milliseconds(aNow - aEntry.mSince)) },
      { "lines_omitted", absl::StrCat(aGateway.mEntryLog.mOmitted) } });
  aGateway.mEntryLog.mOmitted = 0;
}

void PerformAction(gateway& aGateway, const backend_id& aBackend,
                   withheld_entry& aEntry, entry_action aAction,
                   absl::Time aNow)
{
  switch (aAction) {
    case entry_action::Apply:
      ApplyEntry(aGateway, aBackend, aEntry.mEntry, aEntry.mRevision, false,
                 aNow);
      break;
    case entry_action::Withhold:
      aEntry.mSince = aNow;
      RecordEntry(aGateway, aBackend, aEntry, "ignored", aNow);
      break;
    case entry_action::Restart:
      aEntry.mSince = aNow;
      break;
    case entry_action::Discard:
      RecordEntry(aGateway, aBackend, aEntry, "removed", aNow);
      break;
    case entry_action::Check:
      aEntry.mCheckedAt = aNow;
      RestartCall(aGateway, directory_area::Backends, aNow);
      break;
    case entry_action::Confirm:
      RecordEntry(aGateway, aBackend, aEntry, "confirmed", aNow);
      ApplyEntry(aGateway, aBackend, aEntry.mEntry, aEntry.mRevision, true,
                 aNow);
      break;
  }
}

// Fires the event for the entry, and keeps it if it is withheld afterwards.
void FireEntry(gateway& aGateway, const backend_id& aBackend,
               withheld_entry aEntry, entry_event aEvent, bool aHasConflict,
               absl::Time aCalledAt, absl::Time aNow)
{
  withheld_entry& entry = aGateway.mWithheldEntries[aBackend];
  entry = std::move(aEntry);
  const entry_context context{ aGateway, entry, aHasConflict, aCalledAt, aNow };
  for (entry_action action : Fire(aGateway.mCharts.mEntry, entry.mStatus,
                                  aEvent, context, &EvaluateGuard)) {
    PerformAction(aGateway, aBackend, entry, action, aNow);
  }
  if (entry.mStatus == entry_status::InForce) {
    aGateway.mWithheldEntries.erase(aBackend);
  }
}

// Fires the event for all withheld entries.
void FireAll(gateway& aGateway, entry_event aEvent, absl::Time aCalledAt,
             absl::Time aNow)
{
  for (auto it = aGateway.mWithheldEntries.begin();
       it != aGateway.mWithheldEntries.end();) {
    // The entry may be erased.
    const auto entry = it++;
    FireEntry(aGateway, backend_id(entry->first), entry->second, aEvent, false,
              aCalledAt, aNow);
  }
}

} // namespace

void OnEntryListed(gateway& aGateway, const backend_id& aBackend,
                   const backend_entry& aEntry, store_version aRevision,
                   bool aIsChange, absl::Time aNow)
{
  const auto listing = aGateway.mListings.find(aBackend);
  const auto withheld = aGateway.mWithheldEntries.find(aBackend);
  withheld_entry entry;
  if (withheld != aGateway.mWithheldEntries.end()) {
    if (withheld->second.mRevision == aRevision) {
      return;
    }
    entry.mStatus = withheld->second.mStatus;
  }
  entry.mEntry = aEntry;
  entry.mRevision = aRevision;
  // An entry that was not written since it was applied states nothing new.
  const bool isKnown = listing != aGateway.mListings.end() &&
                       listing->second.mRevision == aRevision;
  const auto conflict =
    isKnown
      ? std::nullopt
      : FindConflict(FindKnownStatement(aGateway, aBackend, aIsChange), aEntry);
  entry.mConflict = conflict.value_or(entry.mConflict);
  FireEntry(aGateway, aBackend, std::move(entry), entry_event::Written,
            conflict.has_value(), absl::InfinitePast(), aNow);
}

void OnEntryRemoved(gateway& aGateway, const backend_id& aBackend,
                    absl::Time aNow)
{
  const auto withheld = aGateway.mWithheldEntries.find(aBackend);
  if (withheld != aGateway.mWithheldEntries.end()) {
    FireEntry(aGateway, aBackend, withheld->second, entry_event::Removed, false,
              absl::InfinitePast(), aNow);
  }
}

void OnLeavingStated(gateway& aGateway, const backend_id& aBackend,
                     absl::Time aSentAt, absl::Time aNow)
{
  const backend_listing& listing = aGateway.mListings.at(aBackend);
  const bool mayBeLater = !listing.mEntry.mLeaving && aSentAt < listing.mReadAt;
  if (mayBeLater || aGateway.mWithheldEntries.count(aBackend) > 0) {
    WithholdEntry(aGateway, aBackend, listing, entry_conflict::AfterLeaving,
                  aNow);
  }
}

void WithholdEntry(gateway& aGateway, const backend_id& aBackend,
                   const backend_listing& aListing, entry_conflict aConflict,
                   absl::Time aNow)
{
  const auto withheld = aGateway.mWithheldEntries.find(aBackend);
  withheld_entry entry;
  if (withheld != aGateway.mWithheldEntries.end()) {
    entry = withheld->second;
  } else if (aListing.mRemoveAt == absl::InfiniteFuture()) {
    entry.mEntry = aListing.mEntry;
    entry.mRevision = aListing.mRevision;
    entry.mConflict = aConflict;
  } else {
    return;
  }
  FireEntry(aGateway, aBackend, std::move(entry), entry_event::Contradicted,
            false, absl::InfinitePast(), aNow);
}

void AdvanceWithheldEntries(gateway& aGateway, absl::Time aNow)
{
  FireAll(aGateway, entry_event::TimePassed, absl::InfinitePast(), aNow);
}

void ConfirmEntries(gateway& aGateway, absl::Time aCalledAt, absl::Time aNow)
{
  FireAll(aGateway, entry_event::AreaRead, aCalledAt, aNow);
}

bool IsCheckingEntries(const gateway& aGateway)
{
  return std::any_of(aGateway.mWithheldEntries.begin(),
                     aGateway.mWithheldEntries.end(), [](const auto& aEach) {
                       return aEach.second.mStatus == entry_status::Checking;
                     });
}

} // namespace foxtailquay
