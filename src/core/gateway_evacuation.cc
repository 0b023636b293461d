#include "gateway_evacuation.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_cold.h"
#include "xxhash.h"

namespace foxtailquay {

namespace {

// Part of the bound in which a gateway leaves the servers of a zone. The rest
// covers the time until it learns of the evacuation (a watch, its rest time and
// a slow store), and requests that wait for a connection.
constexpr double kLeaveFraction = 1.0 / 3;
// Time within which a response that waited while the process was paused is
// handled.
constexpr absl::Duration kPausedResponseTime = absl::Seconds(1);

bool EvaluateGuard(
  evacuation_guard aGuard,
  const std::pair<const zone_evacuation&, absl::Time>& aContext)
{
  switch (aGuard) {
    case evacuation_guard::IsLast:
      return aContext.first.mRemaining.empty() ||
             aContext.first.mRemaining.back().first <= aContext.second;
  }
  return false;
}

// Sets the times at which the servers of the zone are left: at even intervals,
// in an order that differs between the gateways.
void Schedule(const gateway& aGateway, const zone_id& aZone,
              zone_evacuation& aEvacuation, absl::Time aNow)
{
  const std::string& name = aGateway.mSettings.mName;
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  std::vector<std::pair<std::uint64_t, backend_id>> order;
  for (const auto& [id, view] : aGateway.mViews) {
    if (view.mConfig.mZone == aZone) {
      order.emplace_back(
        XXH3_64bits_withSeed(id.mValue.data(), id.mValue.size(), seed), id);
    }
  }
  std::sort(order.begin(), order.end());
  const absl::Duration window =
    aGateway.mSettings.mEvacuationTime * kLeaveFraction;
  const auto count = static_cast<double>(order.size());
  aEvacuation.mRemaining.clear();
  for (std::size_t i = 0; i < order.size(); ++i) {
    aEvacuation.mRemaining.emplace_back(
      aNow + window * (static_cast<double>(i) / count), order[i].second);
  }
}

void SetEvacuated(gateway& aGateway, const backend_id& aBackend)
{
  const auto view = aGateway.mViews.find(aBackend);
  if (view != aGateway.mViews.end()) {
    view->second.mIsEvacuated = true;
  }
}

void SetZoneEvacuated(gateway& aGateway, const zone_id& aZone,
                      bool aIsEvacuated)
{
  for (auto& entry : aGateway.mViews) {
    if (entry.second.mConfig.mZone == aZone) {
      entry.second.mIsEvacuated = aIsEvacuated;
    }
  }
}

void PerformAction(gateway& aGateway, const zone_id& aZone,
                   zone_evacuation& aEvacuation, evacuation_action aAction,
                   absl::Time aNow)
{
  auto& remaining = aEvacuation.mRemaining;
  switch (aAction) {
    case evacuation_action::Schedule:
      Schedule(aGateway, aZone, aEvacuation, aNow);
      break;
    case evacuation_action::LeaveDue:
      while (!remaining.empty() && remaining.front().first <= aNow) {
        SetEvacuated(aGateway, remaining.front().second);
        remaining.pop_front();
      }
      break;
    case evacuation_action::LeaveAll:
      remaining.clear();
      SetZoneEvacuated(aGateway, aZone, true);
      break;
    case evacuation_action::Return:
      remaining.clear();
      SetZoneEvacuated(aGateway, aZone, false);
      // Their entries may not say yet that they have started.
      RecordZoneReturn(aGateway, aZone, aNow);
      break;
  }
}

void Fire(gateway& aGateway, const zone_id& aZone, zone_evacuation& aEvacuation,
          evacuation_event aEvent, absl::Time aNow)
{
  const evacuation_status before = aEvacuation.mStatus;
  for (evacuation_action action :
       Fire(aGateway.mCharts.mEvacuation, aEvacuation.mStatus, aEvent,
            std::pair<const zone_evacuation&, absl::Time>(aEvacuation, aNow),
            &EvaluateGuard)) {
    PerformAction(aGateway, aZone, aEvacuation, action, aNow);
  }
  if (aEvacuation.mStatus != before) {
    const auto servers = std::count_if(
      aGateway.mViews.begin(), aGateway.mViews.end(),
      [&](const auto& aEach) { return aEach.second.mConfig.mZone == aZone; });
    RecordDecision(aGateway, decision::EvacuationChanged,
                   { { "zone", aZone.mValue },
                     { "state", std::string(ToName(aEvacuation.mStatus)) },
                     { "cause", std::string(ToName(aEvent)) },
                     { "servers", absl::StrCat(servers) },
                     { "revision", absl::StrCat(aEvacuation.mRevision) } });
  }
}

// aIsFound: it is not known how long the evacuation has been in force.
void ApplyEvacuation(gateway& aGateway,
                     const directory_change<evacuation_entry>& aChange,
                     bool aIsFound, absl::Time aNow)
{
  const zone_id zone{ aChange.mName };
  const auto known = aGateway.mEvacuations.mZones.find(zone);
  if (known != aGateway.mEvacuations.mZones.end() &&
      aChange.mRevision < known->second.mRevision) {
    return;
  }
  if (aChange.mEntry) {
    zone_evacuation& evacuation = aGateway.mEvacuations.mZones[zone];
    evacuation.mRevision = aChange.mRevision;
    Fire(aGateway, zone, evacuation,
         aIsFound ? evacuation_event::Found : evacuation_event::Requested,
         aNow);
  } else if (known != aGateway.mEvacuations.mZones.end()) {
    known->second.mRevision = aChange.mRevision;
    Fire(aGateway, zone, known->second, evacuation_event::Withdrawn, aNow);
    aGateway.mEvacuations.mZones.erase(known);
  }
}

} // namespace

bool FollowsEvacuations(const gateway& aGateway)
{
  return aGateway.mSettings.mEvacuationTime > absl::ZeroDuration();
}

void ApplyEvacuations(gateway& aGateway, const directory_response& aResponse,
                      absl::Time aNow)
{
  if (!FollowsEvacuations(aGateway)) {
    return;
  }
  const watched_area& area =
    aGateway.mAreas[static_cast<std::size_t>(directory_area::Configuration)];
  // The first response after a loss of contact or a pause of the process may
  // state what happened long before.
  const bool isFound =
    aResponse.mComplete || area.mConnectedSince == aNow ||
    aNow - aGateway.mEvacuations.mResumedAt < kPausedResponseTime;
  if (aResponse.mComplete) {
    std::vector<zone_id> ended;
    for (const auto& evacuation : aGateway.mEvacuations.mZones) {
      const bool isListed =
        std::any_of(aResponse.mEvacuations.begin(),
                    aResponse.mEvacuations.end(), [&](const auto& aChange) {
                      return aChange.mName == evacuation.first.mValue;
                    });
      if (!isListed) {
        ended.push_back(evacuation.first);
      }
    }
    for (const zone_id& zone : ended) {
      ApplyEvacuation(aGateway, { zone.mValue, aResponse.mRevision, {} }, true,
                      aNow);
    }
  }
  for (const auto& change : aResponse.mEvacuations) {
    ApplyEvacuation(aGateway, change, isFound, aNow);
  }
}

void UpdateEvacuated(const gateway& aGateway, const backend_id& aBackend,
                     backend_view& aView)
{
  const auto found = aGateway.mEvacuations.mZones.find(aView.mConfig.mZone);
  aView.mIsEvacuated =
    found != aGateway.mEvacuations.mZones.end() &&
    std::none_of(found->second.mRemaining.begin(),
                 found->second.mRemaining.end(),
                 [&](const auto& aEach) { return aEach.second == aBackend; });
}

void AdvanceEvacuations(gateway& aGateway, absl::Time aNow)
{
  for (auto& [zone, evacuation] : aGateway.mEvacuations.mZones) {
    if (!evacuation.mRemaining.empty() &&
        evacuation.mRemaining.front().first <= aNow) {
      Fire(aGateway, zone, evacuation, evacuation_event::TimePassed, aNow);
    }
  }
}

absl::Time GetNextEvacuationTime(const gateway& aGateway)
{
  absl::Time next = absl::InfiniteFuture();
  for (const auto& evacuation : aGateway.mEvacuations.mZones) {
    if (!evacuation.second.mRemaining.empty()) {
      next = std::min(next, evacuation.second.mRemaining.front().first);
    }
  }
  return next;
}

bool HasEvacuatedServer(const gateway& aGateway, const routing_query& aQuery)
{
  return std::any_of(aGateway.mViews.begin(), aGateway.mViews.end(),
                     [&](const auto& aEach) {
                       return aEach.second.mIsEvacuated &&
                              IsConfiguredFor(aEach.second.mConfig,
                                              aQuery.mKind, aQuery.mTarget);
                     });
}

} // namespace foxtailquay
