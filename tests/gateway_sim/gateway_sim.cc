// Processes, faults and the run of the gateway simulation.

#include "gateway_sim/gateway_sim.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway_sim/sim_parts.h"

namespace foxtailquay::gateway_sim {

namespace {

constexpr token_count kPrepaid = 150000;

void StartGateway(fleet_sim& aSim, std::size_t aIndex)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  gateway_settings settings;
  settings.mName = gateway.mName;
  settings.mNonce = std::to_string(gateway.mIncarnation);
  settings.mBoot = absl::StrCat("boot-", gateway.mBoot);
  settings.mBootStart = gateway.mBootStart;
  settings.mZone = zone_id{ "z" };
  settings.mSeed = static_cast<std::uint64_t>(Draw(aSim, 1 << 30));
  auto made = MakeGateway(settings, aSim.mCharts);
  gateway.mNode = std::get<0>(std::move(made));
  gateway.mIsAlive = true;
  gateway.mStartedAt = aSim.mNow;
  gateway.mVersion = 0;
  Perform(aSim, aIndex, Start(*gateway.mNode, aSim.mNow));
}

traffic_route MakeRoute(const char* aName, call_kind aKind, int aPriority)
{
  traffic_route route;
  route.mName = aName;
  route.mHost = "shop.example";
  route.mPathPrefix = absl::StrCat("/", aName, "/");
  route.mKind = aKind;
  route.mPriority = aPriority;
  route.mMaxAttempts = aKind == call_kind::Idempotent ? 2 : 1;
  route.mServices = {
    { service_id{ aKind == call_kind::Stream ? "engines" : "orders" }, 1 }
  };
  return route;
}

// Raises the prepaid total of a random workspace.
void TopUp(fleet_sim& aSim)
{
  aSim.mPrepaid[workspace_id{ absl::StrCat("w", Draw(aSim, 2)) }] +=
    kPrepaid / 10;
  PutConfig(aSim, aSim.mStore.mConfig.mVersion + 1);
}

// Starts or ends a random fault and schedules the next one.
void StartRandomFault(fleet_sim& aSim)
{
  const std::size_t one = DrawGateway(aSim);
  switch (Draw(aSim, 12)) {
    case 0:
    case 1:
      aSim.mStore.mMode = store_mode::Unresponsive;
      break;
    case 2:
      aSim.mStore.mMode = store_mode::LosesResponses;
      break;
    case 3:
    case 4:
      aSim.mStore.mMode = store_mode::Up;
      break;
    case 5:
    case 6:
      aSim.mGateways[one].mIsDisconnected =
        !aSim.mGateways[one].mIsDisconnected;
      break;
    case 7:
    case 8:
      KillGateway(aSim, one, false);
      break;
    case 9:
      KillGateway(aSim, one, true);
      break;
    case 10:
      KillAllGateways(aSim, Draw(aSim, 2) == 0);
      break;
    default:
      TopUp(aSim);
      break;
  }
  Schedule(aSim, DrawTime(aSim, absl::Seconds(6)),
           [&aSim] { StartRandomFault(aSim); });
}

// Fires a tick on each node that has requested one, at most every 5 ms.
void TickPeriodically(fleet_sim& aSim)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    if (aSim.mGateways[i].mIsAlive &&
        GetNextWakeTime(*aSim.mGateways[i].mNode) <= aSim.mNow) {
      Deliver(aSim, i, gateway_tick{});
    }
  }
  Schedule(aSim, absl::Milliseconds(5), [&aSim] { TickPeriodically(aSim); });
}

// Cuts off a random gateway, or all, or ends that.
void ChangePartitionPeriodically(fleet_sim& aSim)
{
  sim_gateway& one = aSim.mGateways[DrawGateway(aSim)];
  switch (Draw(aSim, 4)) {
    case 0:
      SetAllAlone(aSim, true);
      break;
    case 1:
      SetAllAlone(aSim, false);
      break;
    default:
      one.mIsIsolated = !one.mIsIsolated;
      break;
  }
  Schedule(aSim, DrawTime(aSim, absl::Seconds(5)),
           [&aSim] { ChangePartitionPeriodically(aSim); });
}

constexpr absl::Duration kMaxReturnAge = absl::Seconds(15);
constexpr absl::Duration kMaxReturnTime = absl::Seconds(3);

// Returns the store to an older state now and then.
void ReturnStorePeriodically(fleet_sim& aSim)
{
  constexpr absl::Duration kMinInterval = absl::Seconds(4);
  constexpr absl::Duration kMaxExtraTime = absl::Seconds(16);
  Schedule(aSim, kMinInterval + DrawTime(aSim, kMaxExtraTime), [&aSim] {
    ReturnStore(aSim, DrawTime(aSim, kMaxReturnAge),
                DrawTime(aSim, kMaxReturnTime));
    ReturnStorePeriodically(aSim);
  });
}

} // namespace

std::size_t DrawGateway(fleet_sim& aSim)
{
  return static_cast<std::size_t>(
    Draw(aSim, static_cast<int>(aSim.mGateways.size())));
}

void SendRequestsPeriodically(fleet_sim& aSim, absl::Duration aMaxInterval)
{
  constexpr const char* kPaths[] = { "/order/", "/status/", "/chat/",
                                     "/chat/",  "/brief/",  "/brief/" };
  const std::size_t gateway = DrawGateway(aSim);
  SendRequest(aSim, gateway, kPaths[Draw(aSim, 6)]);
  Schedule(aSim, DrawTime(aSim, aMaxInterval), [&aSim, aMaxInterval] {
    SendRequestsPeriodically(aSim, aMaxInterval);
  });
}

void KillGateway(fleet_sim& aSim, std::size_t aIndex, bool aIsPowerLoss)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  if (!gateway.mIsAlive) {
    return;
  }
  gateway.mIsAlive = false;
  ++gateway.mIncarnation;
  gateway.mWatches.clear();
  gateway.mHasSilentPool = false;
  gateway.mToldLimits.clear();
  gateway.mToldLeaving.clear();
  gateway.mBackoffs.clear();
  if (aIsPowerLoss) {
    ++gateway.mBoot;
    gateway.mBootStart = aSim.mNow;
  }
  const int start = gateway.mIncarnation;
  Schedule(aSim, absl::Milliseconds(300) + DrawTime(aSim, absl::Seconds(4)),
           [&aSim, aIndex, start] {
             if (aSim.mGateways[aIndex].mIncarnation == start) {
               StartGateway(aSim, aIndex);
             }
           });
}

void KillAllGateways(fleet_sim& aSim, bool aIsPowerLoss)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    KillGateway(aSim, i, aIsPowerLoss);
  }
}

void PutConfig(fleet_sim& aSim, config_version aVersion)
{
  traffic_config config;
  config.mVersion = aVersion;
  config.mRoutes = { MakeRoute("order", call_kind::NonIdempotent, 2),
                     MakeRoute("status", call_kind::Idempotent, 2),
                     MakeRoute("chat", call_kind::Stream, 0),
                     MakeRoute("brief", call_kind::Stream, 1) };
  traffic_service orders;
  orders.mId = service_id{ "orders" };
  traffic_service engines;
  engines.mId = service_id{ "engines" };
  engines.mIsEngine = true;
  engines.mTokensPerEvent = kTokensPerEvent;
  config.mServices = { orders, engines };
  for (const auto& [id, prepaid] : aSim.mPrepaid) {
    traffic_workspace workspace;
    workspace.mId = id;
    workspace.mKeys = { absl::StrCat("key-", id.mValue.substr(1)) };
    workspace.mPrepaid = prepaid;
    config.mWorkspaces.push_back(std::move(workspace));
  }
  aSim.mStore.mConfig = std::move(config);
  aSim.mStore.mConfigRevision = ++aSim.mStore.mRevision;
  aSim.mStore.mConfigTimes.emplace_back(aSim.mNow, aVersion);
  SendWatchResponses(aSim);
}

std::unique_ptr<fleet_sim> MakeSim(std::map<std::string, std::string> aCharts,
                                   std::uint64_t aSeed, injected_fault aFault,
                                   std::size_t aGateways)
{
  auto sim = std::make_unique<fleet_sim>();
  sim->mCharts = std::move(aCharts);
  sim->mFault = aFault;
  sim->mRandom.seed(aSeed);
  for (int i = 0; i < 2; ++i) {
    sim->mPrepaid[workspace_id{ absl::StrCat("w", i) }] = kPrepaid;
  }
  StartFleet(*sim, aGateways);
  RunUntil(*sim, kStart + absl::Seconds(2));
  return sim;
}

void StartFleet(fleet_sim& aSim, std::size_t aGateways)
{
  fleet_sim* const sim = &aSim;
  sim->mNow = kStart;
  PutConfig(*sim, 3);
  constexpr const char* kServers[][2] = { { "o1", "orders" },
                                          { "o2", "orders" },
                                          { "e1", "engines" },
                                          { "e2", "engines" } };
  for (const auto& server : kServers) {
    backend_entry entry;
    entry.mService = service_id{ server[1] };
    entry.mAddress = absl::StrCat(server[0], ":1");
    entry.mZone = zone_id{ "z" };
    entry.mSlots = 1000;
    sim->mStore.mBackends[server[0]] = { entry, ++sim->mStore.mRevision };
  }
  sim->mGateways.resize(aGateways);
  for (std::size_t i = 0; i < aGateways; ++i) {
    sim->mGateways[i].mName = absl::StrCat("g", i);
    sim->mGateways[i].mBootStart = kStart - absl::Seconds(1000);
    StartGateway(*sim, i);
  }
  TickPeriodically(*sim);
}

void RunRandomFaults(fleet_sim& aSim, absl::Duration aTime)
{
  SendRequestsPeriodically(aSim, kMaxRequestInterval);
  StartRandomFault(aSim);
  RunUntil(aSim, aSim.mNow + aTime);
}

void RunPartitions(fleet_sim& aSim, absl::Duration aTime)
{
  ChangePartitionPeriodically(aSim);
  RunRandomFaults(aSim, aTime);
}

void RunStoreReturns(fleet_sim& aSim, absl::Duration aTime)
{
  KeepSnapshotsPeriodically(aSim);
  ReturnStorePeriodically(aSim);
  RunRandomFaults(aSim, aTime);
}

void CheckService(fleet_sim& aSim)
{
  if (!aSim.mViolations.empty()) {
    return;
  }
  aSim.mQueue.clear();
  aSim.mStore.mMode = store_mode::Up;
  aSim.mServersFail = false;
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    aSim.mGateways[i].mIsDisconnected = false;
    aSim.mGateways[i].mIsIsolated = false;
    if (!aSim.mGateways[i].mIsAlive) {
      ++aSim.mGateways[i].mIncarnation;
      StartGateway(aSim, i);
    }
  }
  // Responses in the cleared queue are lost, as in a connection reset.
  KillAllGateways(aSim, false);
  TickPeriodically(aSim);
  RunUntil(aSim, aSim.mNow + absl::Seconds(12));
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    constexpr int kRequests = 5;
    const int before = aSim.mServed;
    for (int request = 0; request < kRequests; ++request) {
      SendRequest(aSim, i, "/status/");
      RunUntil(aSim, aSim.mNow + absl::Seconds(2));
    }
    if (aSim.mServed != before + kRequests) {
      RecordViolation(aSim, violated_invariant::NotServing,
                      aSim.mGateways[i].mName);
    }
  }
}

} // namespace foxtailquay::gateway_sim
