#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_state.h"

namespace foxtailquay {

namespace {

followed_area& AreaOf(gateway& aGateway, directory_area aArea)
{
  return aGateway.mAreas[static_cast<std::size_t>(aArea)];
}

bool Evaluate(follow_guard aGuard, const followed_area& aArea)
{
  switch (aGuard) {
    case follow_guard::HasRevision:
      return aArea.mRevision.has_value();
  }
  return false;
}

// True if entries may be missing only because the store was away.
bool MayHaveLapsed(const followed_area& aArea, absl::Time aNow)
{
  return aNow < aArea.mInTouchSince + kLapseGrace;
}

void ApplyConfig(gateway& aGateway,
                 const directory_change<traffic_config>& aChange,
                 absl::Time aNow)
{
  if (!aChange.mEntry) {
    return;
  }
  // A process never goes back to an older version.
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
  UpdateFunds(aGateway, aNow);
}

backend_config GetConfig(const gateway& aGateway, const backend_entry& aEntry)
{
  backend_config config;
  const traffic_service* service =
    aGateway.mTable ? FindService(*aGateway.mTable, aEntry.mService) : nullptr;
  config.mZone = aEntry.mZone;
  config.mMaxConcurrency = std::max(1, aEntry.mSlots);
  // A service of engines serves one kind of model, which bears its name here.
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
  aGateway.mListings.erase(aBackend);
  aGateway.mViews.erase(aBackend);
  RecordDecision(aGateway, decision::BackendChanged,
                 { { "backend", aBackend.mValue },
                   { "state", "gone" },
                   { "cause", std::string(aCause) } });
}

void PutBackend(gateway& aGateway, const backend_id& aBackend,
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
  const bool changed = listing == aGateway.mListings.end() || restarted ||
                       listing->second.mEntry.mLeaving != aEntry.mLeaving;
  aGateway.mListings[aBackend] = { aEntry, aRevision, absl::InfiniteFuture() };
  backend_view& view = aGateway.mViews[aBackend];
  view.mConfig = GetConfig(aGateway, aEntry);
  view.mAgent = member_id{ aBackend.mValue };
  view.mAddress = aEntry.mAddress;
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
                  absl::Time aNow)
{
  const backend_id id{ aChange.mName };
  auto listing = aGateway.mListings.find(id);
  const bool known = listing != aGateway.mListings.end();
  if (known && aChange.mRevision < listing->second.mRevision) {
    return;
  }
  if (aChange.mEntry) {
    PutBackend(aGateway, id, *aChange.mEntry, aChange.mRevision, aNow);
    return;
  }
  if (!known) {
    return;
  }
  followed_area& area = AreaOf(aGateway, directory_area::Backends);
  // A server that was leaving has left; others may only have been silenced by
  // the store's absence.
  if (MayHaveLapsed(area, aNow) && !listing->second.mEntry.mLeaving) {
    listing->second.mRemoveAt =
      std::min(listing->second.mRemoveAt, area.mInTouchSince + kLapseGrace);
    listing->second.mRevision = aChange.mRevision;
    return;
  }
  RemoveBackend(aGateway, id, "entry removed");
}

void ApplyPeer(gateway& aGateway, const directory_change<gateway_peer>& aChange)
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
                                       absl::InfinitePast() };
  } else if (peer != aGateway.mPeers.end()) {
    aGateway.mPeers.erase(peer);
  }
  RecordDecision(aGateway, decision::PeerChanged,
                 { { "peer", aChange.mName },
                   { "state", aChange.mEntry ? "listed" : "gone" },
                   { "revision", absl::StrCat(aChange.mRevision) } });
}

// Adds a removal for each known name that a complete answer lacks.
template<typename Entry, typename Known>
std::vector<directory_change<Entry>> WithRemovals(
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
  for (const auto& change : aResponse.mConfigs) {
    ApplyConfig(aGateway, change, aNow);
  }
  auto backends = aResponse.mBackends;
  auto peers = aResponse.mPeers;
  if (aResponse.mComplete && aResponse.mArea == directory_area::Backends) {
    std::vector<std::string> known;
    for (const auto& listing : aGateway.mListings) {
      known.push_back(listing.first.mValue);
    }
    backends = WithRemovals(std::move(backends), known, aResponse.mRevision);
  }
  if (aResponse.mComplete && aResponse.mArea == directory_area::Peers) {
    std::vector<std::string> known;
    for (const auto& peer : aGateway.mPeers) {
      known.push_back(peer.first);
    }
    peers = WithRemovals(std::move(peers), known, aResponse.mRevision);
  }
  for (const auto& change : backends) {
    ApplyBackend(aGateway, change, aNow);
  }
  for (const auto& change : peers) {
    ApplyPeer(aGateway, change);
  }
  // The kind of a service decides how its servers are used.
  if (!aResponse.mConfigs.empty()) {
    for (auto& view : aGateway.mViews) {
      view.second.mConfig =
        GetConfig(aGateway, aGateway.mListings[view.first].mEntry);
    }
  }
}

void Schedule(gateway& aGateway, followed_area& aArea, absl::Time aNow)
{
  aArea.mPause = aArea.mPause == absl::ZeroDuration()
                   ? kFirstPause
                   : std::min(aArea.mPause * 2, kLongestPause);
  std::uniform_real_distribution<double> jitter(0.7, 1.0);
  aArea.mPauseEnd = aNow + aArea.mPause * jitter(aGateway.mRandom);
}

void Perform(gateway& aGateway, directory_area aArea, follow_action aAction,
             const directory_response& aResponse, absl::Time aNow)
{
  followed_area& area = AreaOf(aGateway, aArea);
  switch (aAction) {
    case follow_action::Read:
      aGateway.mActions.push_back(directory_query{ aArea, std::nullopt });
      break;
    case follow_action::Watch:
      aGateway.mActions.push_back(directory_query{ aArea, area.mRevision });
      break;
    case follow_action::Apply:
      area.mRevision = aResponse.mRevision;
      area.mComplete = true;
      Apply(aGateway, aResponse, aNow);
      break;
    case follow_action::Schedule:
      Schedule(aGateway, area, aNow);
      break;
  }
}

void FireArea(gateway& aGateway, directory_area aArea, follow_event aEvent,
              const directory_response& aResponse, absl::Time aNow)
{
  followed_area& area = AreaOf(aGateway, aArea);
  for (follow_action action :
       Fire(aGateway.mCharts.mFollow, area.mStatus, aEvent, area, &Evaluate)) {
    Perform(aGateway, aArea, action, aResponse, aNow);
  }
}

follow_event EventOf(directory_status aStatus)
{
  switch (aStatus) {
    case directory_status::Ok:
      return follow_event::Answered;
    case directory_status::HistoryLost:
      return follow_event::HistoryLost;
    case directory_status::Unavailable:
      break;
  }
  return follow_event::Failed;
}

void NoteTouch(gateway& aGateway, directory_area aArea, bool aInTouch,
               absl::Time aNow)
{
  followed_area& area = AreaOf(aGateway, aArea);
  if (area.mInTouch == aInTouch) {
    return;
  }
  area.mInTouch = aInTouch;
  if (aInTouch) {
    area.mInTouchSince = aNow;
    area.mPause = absl::ZeroDuration();
  }
  RecordDecision(aGateway,
                 aInTouch ? decision::StoreRegained : decision::StoreLost,
                 { { "area", std::string(ToName(aArea)) },
                   { "revision", absl::StrCat(area.mRevision.value_or(0)) } });
}

} // namespace

void StartFollowing(gateway& aGateway)
{
  for (const auto& entry : NameTable(directory_area{})) {
    aGateway.mActions.push_back(directory_query{ entry.mValue, std::nullopt });
  }
}

void OnDirectory(gateway& aGateway, const directory_response& aResponse,
                 absl::Time aNow)
{
  const bool reached = aResponse.mStatus != directory_status::Unavailable;
  NoteTouch(aGateway, aResponse.mArea, reached, aNow);
  FireArea(aGateway, aResponse.mArea, EventOf(aResponse.mStatus), aResponse,
           aNow);
}

void TickFollowing(gateway& aGateway, absl::Time aNow)
{
  for (const auto& entry : NameTable(directory_area{})) {
    followed_area& area = AreaOf(aGateway, entry.mValue);
    if (aNow >= area.mPauseEnd) {
      area.mPauseEnd = absl::InfiniteFuture();
      FireArea(aGateway, entry.mValue, follow_event::PauseOver, {}, aNow);
    }
  }
  for (auto it = aGateway.mListings.begin(); it != aGateway.mListings.end();) {
    const auto listing = it++;
    if (aNow >= listing->second.mRemoveAt) {
      RemoveBackend(aGateway, backend_id(listing->first),
                    "entry did not return");
    }
  }
  if (!aGateway.mRegistering && !aGateway.mStopping &&
      aNow >= aGateway.mRegisterAt) {
    aGateway.mRegistering = true;
    aGateway.mActions.push_back(registration_call{ aGateway.mLease });
  }
}

void OnRegistration(gateway& aGateway, const registration_response& aResponse,
                    absl::Time aNow)
{
  aGateway.mRegistering = false;
  switch (aResponse.mStatus) {
    case lease_status::Held:
      aGateway.mLease = aResponse.mLease;
      aGateway.mRegisterAt = aNow + kRegistrationInterval;
      break;
    case lease_status::Ended:
      aGateway.mLease = 0;
      aGateway.mRegisterAt = aNow;
      break;
    case lease_status::Unavailable:
      aGateway.mRegisterAt = aNow + kLongestPause;
      break;
  }
  if (aGateway.mStopping && aGateway.mLease != 0) {
    aGateway.mActions.push_back(deregistration_call{ aGateway.mLease });
    aGateway.mLease = 0;
  }
}

int CountRouters(const gateway& aGateway, absl::Time aNow)
{
  int routers = 1;
  for (const auto& peer : aGateway.mPeers) {
    routers += aNow >= peer.second.mSuspectUntil ? 1 : 0;
  }
  return routers;
}

bool IsDirectoryKnown(const gateway& aGateway)
{
  const auto backends = static_cast<std::size_t>(directory_area::Backends);
  return aGateway.mTable && aGateway.mAreas[backends].mComplete;
}

void ForgetBackend(gateway& aGateway, const backend_id& aBackend,
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
                     { "cause", "another server answered at its address" } });
  }
}

} // namespace foxtailquay
