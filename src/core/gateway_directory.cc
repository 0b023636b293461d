#include "gateway_directory.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"
#include "gateway_cold.h"
#include "gateway_entries.h"
#include "gateway_evacuation.h"
#include "gateway_placement.h"
#include "gateway_statements.h"

namespace foxtailquay {

namespace {

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

void RemoveView(gateway& aGateway, const backend_id& aBackend)
{
  const auto view = aGateway.mViews.find(aBackend);
  if (view != aGateway.mViews.end()) {
    ReplaceCounts(aGateway.mServerCounts, CountServer(view->second), {});
    aGateway.mViews.erase(view);
  }
}

// Returns the revision at which the entry of the server was last written, as
// far as is known; 0 if it is not listed.
store_version GetKnownRevision(const gateway& aGateway,
                               const backend_id& aBackend)
{
  const auto listing = aGateway.mListings.find(aBackend);
  const auto withheld = aGateway.mWithheldEntries.find(aBackend);
  return std::max(
    listing == aGateway.mListings.end() ? 0 : listing->second.mRevision,
    withheld == aGateway.mWithheldEntries.end() ? 0
                                                : withheld->second.mRevision);
}

void ApplyBackend(gateway& aGateway,
                  const directory_change<backend_entry>& aChange,
                  bool aIsComplete, absl::Time aNow)
{
  const backend_id id{ aChange.mName };
  if (aChange.mRevision < GetKnownRevision(aGateway, id)) {
    return;
  }
  if (aChange.mEntry) {
    // Within one era, an entry that is listed again was written again.
    const bool isChange =
      !aIsComplete || !GetArea(aGateway, directory_area::Backends).mIsFirstRead;
    OnEntryListed(aGateway, id, *aChange.mEntry, aChange.mRevision, isChange,
                  aNow);
    return;
  }
  OnEntryRemoved(aGateway, id, aNow);
  const auto listing = aGateway.mListings.find(id);
  if (listing == aGateway.mListings.end()) {
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
  RemoveBackend(aGateway, id, "entry removed", false);
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
    // A complete read also names processes that have ended. An entry that has
    // not changed since its process was known to be alive is of the same one.
    const bool isSameProcess = peer != aGateway.mPeers.end() &&
                               peer->second.mIsKnownAlive &&
                               aChange.mRevision == peer->second.mRevision;
    peer_listing listing;
    listing.mPeer = *aChange.mEntry;
    listing.mRevision = aChange.mRevision;
    listing.mIsKnownAlive = !aIsComplete || isSameProcess;
    aGateway.mPeers[aChange.mName] = listing;
  } else if (peer != aGateway.mPeers.end()) {
    const watched_area& area = GetArea(aGateway, directory_area::Peers);
    if (MayHaveExpired(area, kPeerGracePeriod, aNow)) {
      peer->second.mHasExpired = true;
      peer->second.mRevision = aChange.mRevision;
      return;
    }
    aGateway.mPeers.erase(peer);
    ForgetPeerTokens(aGateway, aChange.mName);
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

} // namespace

void ApplyDirectory(gateway& aGateway, const directory_response& aResponse,
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
    for (const auto& entry : aGateway.mWithheldEntries) {
      if (aGateway.mListings.count(entry.first) == 0) {
        known.push_back(entry.first.mValue);
      }
    }
    backends = AddRemovals(std::move(backends), known, aResponse.mRevision);
    // Statements may have been made and undone since the last response.
    aGateway.mWantsServers = true;
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

void ApplyEntry(gateway& aGateway, const backend_id& aBackend,
                const backend_entry& aEntry, store_version aRevision,
                bool aIsConfirmed, absl::Time aNow)
{
  const backend_entry entry =
    AddNotice(aGateway, aBackend, aEntry, aIsConfirmed);
  auto listing = aGateway.mListings.find(aBackend);
  const bool restarted =
    listing != aGateway.mListings.end() &&
    (listing->second.mEntry.mStartedMs != entry.mStartedMs ||
     listing->second.mEntry.mAddress != entry.mAddress ||
     listing->second.mEntry.mService != entry.mService);
  if (restarted) {
    RemoveView(aGateway, aBackend);
  }
  const bool isWritten = listing == aGateway.mListings.end() ||
                         aRevision > listing->second.mRevision;
  const bool changed = listing == aGateway.mListings.end() || restarted ||
                       listing->second.mEntry.mLeaving != entry.mLeaving;
  aGateway.mListings[aBackend] = { entry, aRevision, aNow,
                                   absl::InfiniteFuture() };
  backend_view& view = aGateway.mViews[aBackend];
  view.mConfig = GetConfig(aGateway, entry);
  view.mAgent = member_id{ aBackend.mValue };
  view.mAddress = entry.mAddress;
  view.mMemory.mCapacity = GetEngineMemory(aGateway, entry.mService);
  const auto notice = aGateway.mNotices.find(aBackend);
  if (notice != aGateway.mNotices.end()) {
    view.mBackoffUntil = notice->second.mBackoffUntil;
  }
  UpdateEvacuated(aGateway, aBackend, view);
  if (isWritten) {
    RecordColdEntry(aGateway, aBackend, restarted, aNow);
  }
  if (view.mLeaving != entry.mLeaving) {
    view.mLeaving = entry.mLeaving;
    view.mLeavingSince = aNow;
    FireHealth(view,
               entry.mLeaving ? backend_event::LeaveAnnounced
                              : backend_event::Rejoined,
               &aGateway.mCharts.mBackend, aGateway.mRouting, aNow);
  }
  if (changed) {
    RecordDecision(aGateway, decision::BackendChanged,
                   { { "backend", aBackend.mValue },
                     { "state", entry.mLeaving ? "leaving" : "ready" },
                     { "address", entry.mAddress },
                     { "service", entry.mService.mValue },
                     { "started_ms", absl::StrCat(entry.mStartedMs) },
                     { "sequence", absl::StrCat(entry.mSequence) },
                     { "revision", absl::StrCat(aRevision) } });
  }
}

void RemoveBackend(gateway& aGateway, const backend_id& aBackend,
                   std::string_view aCause, bool aHasExpired)
{
  const auto listing = aGateway.mListings.find(aBackend);
  if (listing != aGateway.mListings.end()) {
    AddRemovedNotice(aGateway, aBackend, listing->second.mEntry, aHasExpired);
  }
  aGateway.mListings.erase(aBackend);
  RemoveView(aGateway, aBackend);
  RecordDecision(aGateway, decision::BackendChanged,
                 { { "backend", aBackend.mValue },
                   { "state", "gone" },
                   { "cause", std::string(aCause) } });
}

void RemoveExpiredBackends(gateway& aGateway, absl::Time aNow)
{
  for (auto it = aGateway.mListings.begin(); it != aGateway.mListings.end();) {
    const auto listing = it++;
    if (aNow >= listing->second.mRemoveAt) {
      RemoveBackend(aGateway, backend_id(listing->first), "entry expired",
                    true);
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
      ForgetPeerTokens(aGateway, peer->first);
      aGateway.mPeers.erase(peer);
    }
  }
}

std::vector<const listed_peer*> ListNextPeers(const gateway& aGateway,
                                              std::size_t aCount,
                                              absl::Time aNow)
{
  std::vector<const listed_peer*> peers;
  const auto start = aGateway.mPeers.upper_bound(aGateway.mSettings.mName);
  const auto add = [&](auto aFrom, auto aTo) {
    for (; aFrom != aTo && peers.size() < aCount; ++aFrom) {
      if (aNow >= aFrom->second.mSuspectUntil) {
        peers.push_back(&*aFrom);
      }
    }
  };
  add(start, aGateway.mPeers.end());
  add(aGateway.mPeers.begin(), start);
  return peers;
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
