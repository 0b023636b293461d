// Watches of a gateway on the store: calls, backoff, lost and regained contact.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_directory.h"
#include "gateway_entries.h"
#include "gateway_evacuation.h"
#include "gateway_statements.h"

namespace foxtailquay {

namespace {

// Time from a change until the next call on an area. Without it each of many
// changes in quick succession, as when a fleet starts, would cost each gateway
// a call. It delays a change by no more than a tenth of the shortest time
// within which changes must take effect (2 s).
constexpr absl::Duration kRestTime = absl::Milliseconds(200);
// Time in which the call after a failed watch connects and is answered.
constexpr absl::Duration kReconnectTime = absl::Milliseconds(300);
constexpr absl::Duration kMinWatchTime = absl::Milliseconds(500);
// Longest backoff of calls on an area. After a cut, an attempt to connect may
// last a while, then this backoff and kExpiryGracePeriod follow before an entry
// that was removed meanwhile is no longer used. All must end within the
// shortest contact time (3 s).
constexpr absl::Duration kMaxWatchBackoff = absl::Milliseconds(600);
// Time for which the store holds a watch without changes. Each watch is a
// priced call, so it is long; the store allows 30 s. Renewals of the
// registration show whether the store can still be reached.
constexpr absl::Duration kWatchTime = absl::Seconds(20);
// Time of the first watch after a failure, and of one that checks withheld
// entries. Its response shows that the gateway knows what the store holds.
constexpr absl::Duration kFirstWatchTime = absl::Milliseconds(200);

// Returns how long the store may hold a watch without changes. Without renewals
// of the registration, a silent connection shows only when the call times out.
// The next call must be answered within the contact time nevertheless.
absl::Duration ComputeWatchTime(const gateway& aGateway, directory_area aArea)
{
  const bool isCheck =
    aArea == directory_area::Backends && IsCheckingEntries(aGateway);
  const watched_area& area = aGateway.mAreas[static_cast<std::size_t>(aArea)];
  if (!area.mIsConnected || isCheck) {
    return kFirstWatchTime;
  }
  return aGateway.mStopping
           ? std::max(kMinWatchTime, aGateway.mSettings.mContactTime -
                                       kRestTime - kStoreResponseTime -
                                       kInitialBackoff - kReconnectTime)
           : kWatchTime;
}

struct watch_context
{
  const watched_area& mArea;
  const directory_response& mResponse;
};

bool EvaluateGuard(watch_guard aGuard, const watch_context& aContext)
{
  const directory_response& response = aContext.mResponse;
  switch (aGuard) {
    case watch_guard::HasRevision:
      return aContext.mArea.mRevision.has_value();
    case watch_guard::HasChanges:
      return !response.mConfigs.empty() || !response.mBackends.empty() ||
             !response.mPeers.empty() || !response.mCrashReports.empty() ||
             !response.mEvacuations.empty();
  }
  return false;
}

void Schedule(gateway& aGateway, watched_area& aArea, absl::Time aNow)
{
  aArea.mBackoff = aArea.mBackoff == absl::ZeroDuration()
                     ? kInitialBackoff
                     : std::min(aArea.mBackoff * 2, kMaxWatchBackoff);
  std::uniform_real_distribution<double> jitter(0.7, 1.0);
  aArea.mRetryAt = aNow + aArea.mBackoff * jitter(aGateway.mRandom);
}

void CallStore(gateway& aGateway, const directory_query& aQuery,
               absl::Time aNow)
{
  watched_area& area = GetArea(aGateway, aQuery.mArea);
  area.mCalledAt = aNow;
  area.mMaxWait = aQuery.mMaxWait;
  area.mRetryAt = absl::InfiniteFuture();
  directory_query query = aQuery;
  query.mEra = aGateway.mEra;
  query.mWithEvacuations = FollowsEvacuations(aGateway);
  aGateway.mActions.push_back(query);
}

void PerformAction(gateway& aGateway, directory_area aArea,
                   watch_action aAction, const directory_response& aResponse,
                   absl::Time aNow)
{
  watched_area& area = GetArea(aGateway, aArea);
  switch (aAction) {
    case watch_action::Read:
      CallStore(aGateway, { aArea, std::nullopt, {} }, aNow);
      break;
    case watch_action::Watch:
      CheckWatch(aGateway, aNow);
      CallStore(aGateway,
                { aArea, area.mRevision, ComputeWatchTime(aGateway, aArea) },
                aNow);
      break;
    case watch_action::Rest:
      area.mRetryAt = aNow + kRestTime;
      break;
    case watch_action::Apply:
      area.mRevision = aResponse.mRevision;
      area.mComplete = true;
      ApplyDirectory(aGateway, aResponse, aNow);
      area.mKnownAt = area.mCalledAt;
      area.mIsFirstRead = false;
      break;
    case watch_action::Schedule:
      Schedule(aGateway, area, aNow);
      break;
  }
}

void FireArea(gateway& aGateway, directory_area aArea, watch_event aEvent,
              const directory_response& aResponse, absl::Time aNow)
{
  watched_area& area = GetArea(aGateway, aArea);
  for (watch_action action :
       Fire(aGateway.mCharts.mWatch, area.mStatus, aEvent,
            watch_context{ area, aResponse }, &EvaluateGuard)) {
    PerformAction(aGateway, aArea, action, aResponse, aNow);
  }
}

watch_event ToEvent(directory_status aStatus)
{
  switch (aStatus) {
    case directory_status::Ok:
      return watch_event::Answered;
    case directory_status::HistoryLost:
      return watch_event::HistoryLost;
    case directory_status::Unavailable:
      break;
  }
  return watch_event::Failed;
}

std::string ToMilliseconds(absl::Duration aTime)
{
  return absl::StrCat(absl::ToInt64Milliseconds(aTime));
}

void RecordRegained(gateway& aGateway, directory_area aArea, absl::Time aNow)
{
  watched_area& area = GetArea(aGateway, aArea);
  if (area.mIsConnected) {
    return;
  }
  RecordDecision(aGateway, decision::StoreRegained,
                 { { "area", std::string(ToName(aArea)) },
                   { "revision", absl::StrCat(area.mRevision.value_or(0)) },
                   { "lost_ms", ToMilliseconds(aNow - area.mLostSince) },
                   { "failed_calls", absl::StrCat(area.mFailedCalls) } });
  area.mIsConnected = true;
  area.mConnectedSince = aNow;
  area.mBackoff = absl::ZeroDuration();
  area.mFailedCalls = 0;
  if (aArea == directory_area::Peers) {
    // The lease of the peer list entry may have run out while the store was
    // unavailable, and other gateways count on the list.
    HastenRegistration(aGateway, aNow);
  }
}

// aSince: start of the call that failed.
void RecordLost(gateway& aGateway, directory_area aArea, absl::Time aSince,
                absl::Time aNow)
{
  watched_area& area = GetArea(aGateway, aArea);
  if (!area.mIsConnected) {
    return;
  }
  RecordDecision(aGateway, decision::StoreLost,
                 { { "area", std::string(ToName(aArea)) },
                   { "revision", absl::StrCat(area.mRevision.value_or(0)) },
                   { "waited_ms", ToMilliseconds(aNow - aSince) } });
  area.mIsConnected = false;
  area.mLostSince = aSince;
}

// Returns true if the failed call had no response within its time. Any faster
// failure is an explicit sign, which other calls would get too.
bool HasTimedOut(const watched_area& aArea, absl::Time aNow)
{
  return aNow - aArea.mCalledAt >= aArea.mMaxWait + kStoreResponseTime;
}

} // namespace

void StartWatches(gateway& aGateway, absl::Time aNow)
{
  for (const auto& entry : NameTable(directory_area{})) {
    GetArea(aGateway, entry.mValue).mLostSince = aNow;
    CallStore(aGateway, { entry.mValue, std::nullopt, {} }, aNow);
  }
}

void RestartWatches(gateway& aGateway, absl::Time aNow)
{
  KeepLeavingNotices(aGateway);
  for (auto& listing : aGateway.mListings) {
    listing.second.mRevision = 0;
  }
  for (auto& entry : aGateway.mWithheldEntries) {
    entry.second.mRevision = 0;
  }
  for (auto& peer : aGateway.mPeers) {
    peer.second.mRevision = 0;
  }
  for (auto& evacuation : aGateway.mEvacuations.mZones) {
    evacuation.second.mRevision = 0;
  }
  RestartRegistration(aGateway, aNow);
  for (const auto& entry : NameTable(directory_area{})) {
    watched_area& area = GetArea(aGateway, entry.mValue);
    area.mRevision.reset();
    area.mRetryAt = absl::InfiniteFuture();
    area.mConnectedSince = aNow;
    area.mIsFirstRead = true;
    FireArea(aGateway, entry.mValue, watch_event::EraChanged, {}, aNow);
  }
}

void OnDirectoryResponse(gateway& aGateway, const directory_response& aResponse,
                         absl::Time aNow)
{
  const era_match match = MatchEra(aGateway, aResponse.mEra, aNow);
  if (match == era_match::Superseded) {
    return;
  }
  if (match == era_match::Unsound) {
    FireArea(aGateway, aResponse.mArea, watch_event::Failed, {}, aNow);
    return;
  }
  watched_area& area = GetArea(aGateway, aResponse.mArea);
  const absl::Time calledAt = area.mCalledAt;
  const bool isConnected = aResponse.mStatus != directory_status::Unavailable;
  const bool hasTimedOut = !isConnected && HasTimedOut(area, aNow);
  if (isConnected) {
    RecordRegained(aGateway, aResponse.mArea, aNow);
  } else {
    ++area.mFailedCalls;
    RecordLost(aGateway, aResponse.mArea, calledAt, aNow);
  }
  FireArea(aGateway, aResponse.mArea, ToEvent(aResponse.mStatus), aResponse,
           aNow);
  if (aResponse.mArea == directory_area::Backends &&
      aResponse.mStatus == directory_status::Ok) {
    ConfirmEntries(aGateway, calledAt, aNow);
  }
  if (isConnected) {
    OnStoreCallAnswered(aGateway, calledAt, aNow);
  } else if (hasTimedOut) {
    OnStoreCallFailed(aGateway, aNow);
  } else {
    CheckStoreNow(aGateway, aNow);
  }
}

void RestartWaitingCalls(gateway& aGateway, absl::Time aBefore, absl::Time aNow)
{
  for (const auto& entry : NameTable(directory_area{})) {
    if (GetArea(aGateway, entry.mValue).mCalledAt < aBefore) {
      FireArea(aGateway, entry.mValue, watch_event::StoreAnswered, {}, aNow);
    }
  }
}

void RestartCall(gateway& aGateway, directory_area aArea, absl::Time aNow)
{
  FireArea(aGateway, aArea, watch_event::StoreAnswered, {}, aNow);
}

void MarkStoreRegained(gateway& aGateway, absl::Time aBefore, absl::Time aNow)
{
  for (const auto& entry : NameTable(directory_area{})) {
    const watched_area& area = GetArea(aGateway, entry.mValue);
    if (area.mStatus == watch_status::Watching && area.mCalledAt < aBefore) {
      RecordRegained(aGateway, entry.mValue, aNow);
    }
  }
}

void MarkStoreLost(gateway& aGateway, absl::Time aSince, absl::Time aNow)
{
  for (const auto& entry : NameTable(directory_area{})) {
    RecordLost(aGateway, entry.mValue, aSince, aNow);
  }
}

void AdvanceWatches(gateway& aGateway, absl::Time aNow)
{
  for (const auto& entry : NameTable(directory_area{})) {
    watched_area& area = GetArea(aGateway, entry.mValue);
    if (aNow >= area.mRetryAt) {
      area.mRetryAt = absl::InfiniteFuture();
      FireArea(aGateway, entry.mValue, watch_event::PauseOver, {}, aNow);
    }
  }
  RemoveExpiredBackends(aGateway, aNow);
}

} // namespace foxtailquay
