#include "gateway_sim/gateway_sim.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway_sim/sim_parts.h"

namespace foxtailquay::gateway_sim {

namespace {

constexpr std::size_t kGateways = 3;
constexpr token_count kPrepaid = 150000;

void Launch(fleet_sim& aSim, std::size_t aIndex)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  gateway_settings settings;
  settings.mName = gateway.mName;
  settings.mNonce = std::to_string(gateway.mStart);
  settings.mBoot = absl::StrCat("boot-", gateway.mBoot);
  settings.mBootStart = gateway.mBootStart;
  settings.mZone = zone_id{ "z" };
  settings.mSeed = static_cast<std::uint64_t>(Draw(aSim, 1 << 30));
  auto made = MakeGateway(settings, aSim.mCharts);
  gateway.mNode = std::get<0>(std::move(made));
  gateway.mIsAlive = true;
  gateway.mVersion = 0;
  Perform(aSim, aIndex, Start(*gateway.mNode, aSim.mNow));
}

// Ends the process; a power loss also starts its steady clock anew.
void Kill(fleet_sim& aSim, std::size_t aIndex, bool aPower)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  if (!gateway.mIsAlive) {
    return;
  }
  gateway.mIsAlive = false;
  ++gateway.mStart;
  gateway.mWatches.clear();
  if (aPower) {
    ++gateway.mBoot;
    gateway.mBootStart = aSim.mNow;
  }
  const int start = gateway.mStart;
  After(aSim, absl::Milliseconds(300) + DrawTime(aSim, absl::Seconds(4)),
        [&aSim, aIndex, start] {
          if (aSim.mGateways[aIndex].mStart == start) {
            Launch(aSim, aIndex);
          }
        });
}

void KillAll(fleet_sim& aSim, bool aPower)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    Kill(aSim, i, aPower);
  }
}

traffic_route Route(const char* aName, call_kind aKind, int aPriority)
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

void PutConfig(fleet_sim& aSim, config_version aVersion)
{
  traffic_config config;
  config.mVersion = aVersion;
  config.mRoutes = { Route("order", call_kind::NonIdempotent, 2),
                     Route("status", call_kind::Idempotent, 2),
                     Route("chat", call_kind::Stream, 0),
                     Route("brief", call_kind::Stream, 1) };
  traffic_service orders;
  orders.mId = service_id{ "orders" };
  traffic_service engines;
  engines.mId = service_id{ "engines" };
  engines.mIsEngine = true;
  engines.mTokensPerEvent = kTokensPerEvent;
  config.mServices = { orders, engines };
  for (int i = 0; i < 2; ++i) {
    traffic_workspace workspace;
    workspace.mId = workspace_id{ absl::StrCat("w", i) };
    workspace.mKeys = { absl::StrCat("key-", i) };
    workspace.mPrepaid = aSim.mPrepaid[workspace.mId];
    config.mWorkspaces.push_back(std::move(workspace));
  }
  aSim.mStore.mConfig = std::move(config);
  aSim.mStore.mConfigRevision = ++aSim.mStore.mRevision;
  AnswerWatches(aSim);
}

void TopUp(fleet_sim& aSim)
{
  aSim.mPrepaid[workspace_id{ absl::StrCat("w", Draw(aSim, 2)) }] +=
    kPrepaid / 10;
  PutConfig(aSim, aSim.mStore.mConfig.mVersion + 1);
}

void BeginFault(fleet_sim& aSim)
{
  const auto one = static_cast<std::size_t>(Draw(aSim, kGateways));
  switch (Draw(aSim, 12)) {
    case 0:
    case 1:
      aSim.mStore.mMode = store_mode::Silent;
      break;
    case 2:
      aSim.mStore.mMode = store_mode::LosesAnswers;
      break;
    case 3:
    case 4:
      aSim.mStore.mMode = store_mode::Up;
      break;
    case 5:
    case 6:
      aSim.mGateways[one].mIsCut = !aSim.mGateways[one].mIsCut;
      break;
    case 7:
    case 8:
      Kill(aSim, one, false);
      break;
    case 9:
      Kill(aSim, one, true);
      break;
    case 10:
      KillAll(aSim, Draw(aSim, 2) == 0);
      break;
    default:
      TopUp(aSim);
      break;
  }
  After(aSim, DrawTime(aSim, absl::Seconds(6)), [&aSim] { BeginFault(aSim); });
}

void SendRegularly(fleet_sim& aSim)
{
  constexpr const char* kPaths[] = { "/order/", "/status/", "/chat/",
                                     "/chat/",  "/brief/",  "/brief/" };
  const auto gateway = static_cast<std::size_t>(Draw(aSim, kGateways));
  SendRequest(aSim, gateway, kPaths[Draw(aSim, 6)]);
  After(aSim, DrawTime(aSim, absl::Milliseconds(40)),
        [&aSim] { SendRegularly(aSim); });
}

// Ticks each node whenever it wants to be, but at most every 5 ms.
void TickRegularly(fleet_sim& aSim)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    if (aSim.mGateways[i].mIsAlive &&
        GetNextWakeTime(*aSim.mGateways[i].mNode) <= aSim.mNow) {
      Deliver(aSim, i, gateway_tick{});
    }
  }
  After(aSim, absl::Milliseconds(5), [&aSim] { TickRegularly(aSim); });
}

} // namespace

std::unique_ptr<fleet_sim> MakeSim(std::map<std::string, std::string> aCharts,
                                   std::uint64_t aSeed, planted_fault aFault)
{
  auto sim = std::make_unique<fleet_sim>();
  sim->mCharts = std::move(aCharts);
  sim->mFault = aFault;
  sim->mRandom.seed(aSeed);
  sim->mNow = kStart;
  for (int i = 0; i < 2; ++i) {
    sim->mPrepaid[workspace_id{ absl::StrCat("w", i) }] = kPrepaid;
  }
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
  sim->mGateways.resize(kGateways);
  for (std::size_t i = 0; i < kGateways; ++i) {
    sim->mGateways[i].mName = absl::StrCat("g", i);
    sim->mGateways[i].mBootStart = kStart - absl::Seconds(1000);
    Launch(*sim, i);
  }
  TickRegularly(*sim);
  RunUntil(*sim, kStart + absl::Seconds(2));
  return sim;
}

void RunRandomFaults(fleet_sim& aSim, absl::Duration aTime)
{
  SendRegularly(aSim);
  BeginFault(aSim);
  RunUntil(aSim, aSim.mNow + aTime);
}

void ExpectService(fleet_sim& aSim)
{
  if (!aSim.mViolations.empty()) {
    return;
  }
  aSim.mQueue.clear();
  aSim.mStore.mMode = store_mode::Up;
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    aSim.mGateways[i].mIsCut = false;
    if (!aSim.mGateways[i].mIsAlive) {
      ++aSim.mGateways[i].mStart;
      Launch(aSim, i);
    }
  }
  // Answers that the cleared queue held are lost, as in a reset.
  KillAll(aSim, false);
  TickRegularly(aSim);
  RunUntil(aSim, aSim.mNow + absl::Seconds(12));
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    const int before = aSim.mServed;
    for (int request = 0; request < 5; ++request) {
      SendRequest(aSim, i, "/status/");
      RunUntil(aSim, aSim.mNow + absl::Seconds(2));
    }
    if (aSim.mServed == before) {
      Report(aSim, broken_promise::NotServing, aSim.mGateways[i].mName);
    }
  }
}

} // namespace foxtailquay::gateway_sim
