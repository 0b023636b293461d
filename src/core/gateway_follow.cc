// Watches of a gateway on the store: configuration, backend servers and peers.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_cold.h"
#include "gateway_evacuation.h"

namespace foxtailquay {

namespace {

watched_area& GetArea(gateway& aGateway, directory_area aArea)
{
  return aGateway.mAreas[static_cast<std::size_t>(aArea)];
}

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
// Time of the first watch after a failure. Its response shows that the store is
// reached again.
constexpr absl::Duration kFirstWatchTime = absl::Milliseconds(200);

// Returns how long the store may hold a watch without changes. Without renewals
// of the registration, a silent connection shows only when the call times out.
// The next call must be answered within the contact time nevertheless.
absl::Duration ComputeWatchTime(const gateway& aGateway,
                                const watched_area& aArea)
{
  if (!aArea.mIsConnected) {
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

// Returns true if entries may be missing only because the store was
// unavailable. Their owners write them again within aGracePeriod.
bool MayHaveExpired(const watched_area& aArea, absl::Duration aGracePeriod,
                    absl::Time aNow)
{
  return aNow < std::max(aArea.mConnectedSince, aArea.mLapsedAt) + aGracePeriod;
}

void ApplyConfig(gateway& aGateway,
                 const directory_change<traffic_config>& aChange,
                 absl::Time aNow)
{
  if (!aChange.mEntry) {
    return;
  }
  // A process never adopts an older version.
  if (aGateway.mTable &&
      aChange.mEntry->mVersion <= aGateway.mTable->mConfig.mVersion) {
    return;
  }
  aGateway.mTable = BuildRouteTable(*aChange.mEntry);
  const traffic_config& config = aGateway.mTable->mConfig;
  aGateway.mActions.push_back(set_limits{ config.mLimits });
  RecordDecision(aGateway, decision::ConfigApplied,
                 { { "version", absl::StrCat(config.mVersion) },
                   { "routes", absl::StrCat(config.mRoutes.size()) },
                   { "workspaces", absl::StrCat(config.mWorkspaces.size()) },
                   { "revision", absl::StrCat(aChange.mRevision) } });
  UpdatePrepaidTotals(aGateway, aNow);
}

backend_config GetConfig(const gateway& aGateway, const backend_entry& aEntry)
{
  backend_config config;
  const traffic_service* service =
    aGateway.mTable ? FindService(*aGateway.mTable, aEntry.mService) : nullptr;
  config.mZone = aEntry.mZone;
  config.mMaxConcurrency = std::max(1, aEntry.mSlots);
  // An engine service has one model, whose id equals the id of the service.
  if (service != nullptr && service->mIsEngine) {
    config.mKind = backend_kind::Engine;
    config.mModels = { model_id{ aEntry.mService.mValue } };
  } else {
    config.mKind = backend_kind::Service;
    config.mServices = { aEntry.mService };
  }
  return config;
}

void RemoveBackend(gateway& aGateway, const backend_id& aBackend,
                   std::string_view aCause)
{
  const auto listing = aGateway.mListings.find(aBackend);
  if (listing != aGateway.mListings.end()) {
    AddRemovedNotice(aGateway, aBackend, listing->second.mEntry);
  }
  aGateway.mListings.erase(aBackend);
  aGateway.mViews.erase(aBackend);
  RecordDecision(aGateway, decision::BackendChanged,
                 { { "backend", aBackend.mValue },
                   { "state", "gone" },
                   { "cause", std::string(aCause) } });
}

void UpdateBackend(gateway& aGateway, const backend_id& aBackend,
                   const backend_entry& aEntry, store_version aRevision,
                   absl::Time aNow)
{
  auto listing = aGateway.mListings.find(aBackend);
  const bool restarted =
    listing != aGateway.mListings.end() &&
    (listing->second.mEntry.mStartedMs != aEntry.mStartedMs ||
     listing->second.mEntry.mAddress != aEntry.mAddress ||
     listing->second.mEntry.mService != aEntry.mService);
  if (restarted) {
    aGateway.mViews.erase(aBackend);
  }
  const bool isWritten = listing == aGateway.mListings.end() ||
                         aRevision > listing->second.mRevision;
  const bool changed = listing == aGateway.mListings.end() || restarted ||
                       listing->second.mEntry.mLeaving != aEntry.mLeaving;
  aGateway.mListings[aBackend] = { aEntry, aRevision, absl::InfiniteFuture() };
  backend_view& view = aGateway.mViews[aBackend];
  view.mConfig = GetConfig(aGateway, aEntry);
  view.mAgent = member_id{ aBackend.mValue };
  view.mAddress = aEntry.mAddress;
  view.mMemory.mCapacity = GetEngineMemory(aGateway, aEntry.mService);
  const auto notice = aGateway.mNotices.find(aBackend);
  if (notice != aGateway.mNotices.end()) {
    view.mBackoffUntil = notice->second.mBackoffUntil;
  }
  UpdateEvacuated(aGateway, aBackend, view);
  if (isWritten) {
    RecordColdEntry(aGateway, aBackend, restarted, aNow);
  }
  if (view.mLeaving != aEntry.mLeaving) {
    view.mLeaving = aEntry.mLeaving;
    view.mLeavingSince = aNow;
    FireHealth(view,
               aEntry.mLeaving ? backend_event::LeaveAnnounced
                               : backend_event::Rejoined,
               &aGateway.mCharts.mBackend, aGateway.mRouting, aNow);
  }
  if (changed) {
    RecordDecision(aGateway, decision::BackendChanged,
                   { { "backend", aBackend.mValue },
                     { "state", aEntry.mLeaving ? "leaving" : "ready" },
                     { "address", aEntry.mAddress },
                     { "service", aEntry.mService.mValue },
                     { "revision", absl::StrCat(aRevision) } });
  }
}

void ApplyBackend(gateway& aGateway,
                  const directory_change<backend_entry>& aChange,
                  bool aIsComplete, absl::Time aNow)
{
  const backend_id id{ aChange.mName };
  auto listing = aGateway.mListings.find(id);
  const bool known = listing != aGateway.mListings.end();
  if (known && aChange.mRevision < listing->second.mRevision) {
    return;
  }
  if (aChange.mEntry) {
    // Within one era, an entry that is listed again was written again.
    const bool isChange =
      !aIsComplete || !GetArea(aGateway, directory_area::Backends).mIsFirstRead;
    UpdateBackend(aGateway, id,
                  AddNotice(aGateway, id, *aChange.mEntry, isChange),
                  aChange.mRevision, aNow);
    return;
  }
  if (!known) {
    return;
  }
  watched_area& area = GetArea(aGateway, directory_area::Backends);
  // A server that had announced its stop has stopped. The entries of others may
  // have expired only because the store was unavailable.
  if (MayHaveExpired(area, kExpiryGracePeriod, aNow) &&
      !listing->second.mEntry.mLeaving) {
    listing->second.mRemoveAt = std::min(
      listing->second.mRemoveAt, area.mConnectedSince + kExpiryGracePeriod);
    listing->second.mRevision = aChange.mRevision;
    return;
  }
  RemoveBackend(aGateway, id, "entry removed");
}

void ApplyPeer(gateway& aGateway, const directory_change<gateway_peer>& aChange,
               bool aIsComplete, absl::Time aNow)
{
  if (aChange.mName == aGateway.mSettings.mName) {
    return;
  }
  auto peer = aGateway.mPeers.find(aChange.mName);
  if (peer != aGateway.mPeers.end() &&
      aChange.mRevision < peer->second.mRevision) {
    return;
  }
  if (aChange.mEntry) {
    aGateway.mPeers[aChange.mName] = { *aChange.mEntry, aChange.mRevision,
                                       absl::InfinitePast(), false,
                                       !aIsComplete };
  } else if (peer != aGateway.mPeers.end()) {
    const watched_area& area = GetArea(aGateway, directory_area::Peers);
    if (MayHaveExpired(area, kPeerGracePeriod, aNow)) {
      peer->second.mHasExpired = true;
      peer->second.mRevision = aChange.mRevision;
      return;
    }
    aGateway.mPeers.erase(peer);
  }
  RecordDecision(aGateway, decision::PeerChanged,
                 { { "peer", aChange.mName },
                   { "state", aChange.mEntry ? "listed" : "gone" },
                   { "revision", absl::StrCat(aChange.mRevision) } });
}

// Adds a removal for each known name that is missing in a complete response.
template<typename Entry, typename Known>
std::vector<directory_change<Entry>> AddRemovals(
  std::vector<directory_change<Entry>> aChanges, const Known& aKnown,
  store_version aRevision)
{
  std::set<std::string> named;
  for (const auto& change : aChanges) {
    named.insert(change.mName);
  }
  for (const std::string& name : aKnown) {
    if (named.count(name) == 0) {
      aChanges.push_back({ name, aRevision, std::nullopt });
    }
  }
  return aChanges;
}

void Apply(gateway& aGateway, const directory_response& aResponse,
           absl::Time aNow)
{
  CheckOwnEntry(aGateway, aResponse, aNow);
  for (const auto& change : aResponse.mConfigs) {
    ApplyConfig(aGateway, change, aNow);
  }
  if (aResponse.mArea == directory_area::Configuration) {
    ApplyEvacuations(aGateway, aResponse, aNow);
  }
  auto backends = aResponse.mBackends;
  auto peers = aResponse.mPeers;
  if (aResponse.mComplete && aResponse.mArea == directory_area::Backends) {
    std::vector<std::string> known;
    for (const auto& listing : aGateway.mListings) {
      known.push_back(listing.first.mValue);
    }
    backends = AddRemovals(std::move(backends), known, aResponse.mRevision);
  }
  if (aResponse.mComplete && aResponse.mArea == directory_area::Peers) {
    std::vector<std::string> known;
    for (const auto& peer : aGateway.mPeers) {
      known.push_back(peer.first);
    }
    peers = AddRemovals(std::move(peers), known, aResponse.mRevision);
  }
  for (const auto& change : backends) {
    ApplyBackend(aGateway, change, aResponse.mComplete, aNow);
  }
  for (const auto& change : peers) {
    ApplyPeer(aGateway, change, aResponse.mComplete, aNow);
  }
  if (aResponse.mArea == directory_area::Peers) {
    ApplyCrashReports(aGateway, aResponse, aNow);
  }
  // The configuration of a backend server depends on the kind of its service.
  if (!aResponse.mConfigs.empty()) {
    for (auto& view : aGateway.mViews) {
      view.second.mConfig =
        GetConfig(aGateway, aGateway.mListings[view.first].mEntry);
      view.second.mMemory.mCapacity = GetEngineMemory(
        aGateway, aGateway.mListings[view.first].mEntry.mService);
    }
  }
  if (aResponse.mArea != directory_area::Backends) {
    UpdateColdShares(aGateway, aNow);
  }
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
                { aArea, area.mRevision, ComputeWatchTime(aGateway, area) },
                aNow);
      break;
    case watch_action::Rest:
      area.mRetryAt = aNow + kRestTime;
      break;
    case watch_action::Apply:
      area.mRevision = aResponse.mRevision;
      area.mComplete = true;
      Apply(aGateway, aResponse, aNow);
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
  for (auto it = aGateway.mListings.begin(); it != aGateway.mListings.end();) {
    const auto listing = it++;
    if (aNow >= listing->second.mRemoveAt) {
      RemoveBackend(aGateway, backend_id(listing->first), "entry expired");
    }
  }
}

void RemoveExpiredPeers(gateway& aGateway, absl::Time aNow)
{
  const watched_area& area = GetArea(aGateway, directory_area::Peers);
  if (!area.mIsConnected || MayHaveExpired(area, kPeerGracePeriod, aNow)) {
    return;
  }
  for (auto it = aGateway.mPeers.begin(); it != aGateway.mPeers.end();) {
    const auto peer = it++;
    if (peer->second.mHasExpired) {
      RecordDecision(aGateway, decision::PeerChanged,
                     { { "peer", peer->first },
                       { "state", "gone" },
                       { "cause", "entry expired" } });
      aGateway.mPeers.erase(peer);
    }
  }
}

int CountGateways(const gateway& aGateway, absl::Time aNow)
{
  int routers = 1;
  for (const auto& peer : aGateway.mPeers) {
    routers += aNow >= peer.second.mSuspectUntil ? 1 : 0;
  }
  return routers;
}

int CountListedGateways(const gateway& aGateway)
{
  return 1 + static_cast<int>(aGateway.mPeers.size());
}

bool IsDirectoryKnown(const gateway& aGateway)
{
  return aGateway.mTable &&
         std::all_of(aGateway.mAreas.begin(), aGateway.mAreas.end(),
                     [](const watched_area& aArea) { return aArea.mComplete; });
}

void ExcludeBackend(gateway& aGateway, const backend_id& aBackend,
                    absl::Time aNow)
{
  auto listing = aGateway.mListings.find(aBackend);
  if (listing != aGateway.mListings.end() && !listing->second.mEntry.mLeaving) {
    listing->second.mEntry.mLeaving = true;
    backend_view& view = aGateway.mViews[aBackend];
    view.mLeaving = true;
    FireHealth(view, backend_event::LeaveAnnounced, &aGateway.mCharts.mBackend,
               aGateway.mRouting, aNow);
    RecordDecision(aGateway, decision::BackendChanged,
                   { { "backend", aBackend.mValue },
                     { "state", "gone" },
                     { "cause", "another server has its address" } });
  }
}

} // namespace foxtailquay
