// Changes of the configuration and faults of the store in the gateway
// simulation.

#include "gateway_sim/sim_parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace foxtailquay::gateway_sim {

namespace {

// Time within which a change must be in force.
constexpr absl::Duration kApplyTime = absl::Seconds(2);
constexpr absl::Duration kCheckInterval = absl::Milliseconds(20);
constexpr absl::Duration kMaxFaultTime = absl::Seconds(4);
// Shortest time for which the store drops changes that watches wait for.
constexpr absl::Duration kMinDropTime = absl::Seconds(1);

// Returns true if the gateway has run undisturbed for the contact time.
bool IsConnected(const fleet_sim& aSim, const sim_gateway& aGateway)
{
  const absl::Time since =
    std::max({ aSim.mStore.mDisturbedUntil, aGateway.mDisturbedUntil,
               aGateway.mStartedAt });
  return aGateway.mIsAlive && aSim.mNow - since >= kContactTime;
}

// Returns the newest version that must be in force everywhere.
config_version FindRequiredVersion(const fleet_sim& aSim)
{
  config_version required = 0;
  for (const auto& [at, version] : aSim.mStore.mConfigTimes) {
    if (aSim.mNow - at >= kApplyTime) {
      required = version;
    }
  }
  return required;
}

void CheckVersionsPeriodically(fleet_sim& aSim)
{
  const config_version required = FindRequiredVersion(aSim);
  for (const sim_gateway& gateway : aSim.mGateways) {
    if (IsConnected(aSim, gateway) && gateway.mVersion < required) {
      RecordViolation(aSim, violated_invariant::ConfigurationLate,
                      absl::StrCat(gateway.mName, " uses ", gateway.mVersion,
                                   " instead of ", required));
    }
  }
  Schedule(aSim, kCheckInterval, [&aSim] { CheckVersionsPeriodically(aSim); });
}

void ChangeConfigPeriodically(fleet_sim& aSim)
{
  PutConfig(aSim, aSim.mStore.mConfig.mVersion + 1 +
                    static_cast<config_version>(Draw(aSim, 3)));
  Schedule(aSim, DrawTime(aSim, 2 * kApplyTime),
           [&aSim] { ChangeConfigPeriodically(aSim); });
}

void DisturbStore(fleet_sim& aSim, store_mode aMode, absl::Duration aTime)
{
  sim_store& store = aSim.mStore;
  // A silent store stays silent, so that no silence becomes shorter.
  if (store.mMode != store_mode::Unresponsive) {
    store.mMode = aMode;
  }
  store.mDisturbedUntil = std::max(store.mDisturbedUntil, aSim.mNow + aTime);
  Schedule(aSim, aTime, [&aSim] {
    if (aSim.mNow >= aSim.mStore.mDisturbedUntil) {
      aSim.mStore.mMode = store_mode::Up;
      SendWatchResponses(aSim);
    }
  });
}

void SilenceGateway(fleet_sim& aSim, std::size_t aIndex)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  gateway.mDisturbedUntil = std::max(gateway.mDisturbedUntil, aSim.mNow);
  SilenceConnections(aSim, aIndex);
}

// The store is silent, and watches that wait meanwhile are never answered.
void DropWatches(fleet_sim& aSim, absl::Duration aTime)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    SilenceWatches(aSim, i);
  }
  DisturbStore(aSim, store_mode::Unresponsive, aTime);
}

// Watches hear nothing while changes are made, and are then cut with the
// history dropped.
void HoldWatches(fleet_sim& aSim, absl::Duration aTime)
{
  // The end of the disturbance would deliver the changes, so it comes after.
  Schedule(aSim, aTime, [&aSim] { DropHistory(aSim); });
  DisturbStore(aSim, store_mode::HoldsWatches, aTime);
}

// Starts a random fault and schedules the next one.
void StartFaultsPeriodically(fleet_sim& aSim)
{
  const std::size_t one = DrawGateway(aSim);
  const absl::Duration time = DrawTime(aSim, kMaxFaultTime);
  switch (Draw(aSim, 10)) {
    case 0:
      DisturbStore(aSim, store_mode::Unresponsive, time);
      break;
    case 1:
      DisturbStore(aSim, store_mode::LosesResponses, time);
      break;
    case 2:
    case 3:
      DisconnectGateway(aSim, one, time);
      break;
    case 4:
      KillGateway(aSim, one, Draw(aSim, 2) == 0);
      break;
    case 5:
      SilenceGateway(aSim, one);
      break;
    case 6:
      DropWatches(aSim, kMinDropTime + time);
      break;
    case 7:
      HoldWatches(aSim, kMinDropTime);
      break;
    default:
      for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
        SilenceGateway(aSim, i);
      }
      break;
  }
  Schedule(aSim, DrawTime(aSim, 4 * kContactTime),
           [&aSim] { StartFaultsPeriodically(aSim); });
}

} // namespace

void DisconnectGateway(fleet_sim& aSim, std::size_t aIndex,
                       absl::Duration aTime)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  gateway.mIsDisconnected = true;
  gateway.mDisturbedUntil =
    std::max(gateway.mDisturbedUntil, aSim.mNow + aTime);
  Schedule(aSim, aTime, [&aSim, aIndex] {
    sim_gateway& cut = aSim.mGateways[aIndex];
    if (aSim.mNow >= cut.mDisturbedUntil) {
      cut.mIsDisconnected = false;
      SendWatchResponses(aSim);
    }
  });
}

void RunConfigurationChanges(fleet_sim& aSim, absl::Duration aTime)
{
  ChangeConfigPeriodically(aSim);
  CheckVersionsPeriodically(aSim);
  StartFaultsPeriodically(aSim);
  RunUntil(aSim, aSim.mNow + aTime);
}

} // namespace foxtailquay::gateway_sim
