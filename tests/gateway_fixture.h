// One gateway node and the events and actions around it, for tests of its
// decisions. The test acts as the traffic layer, the store and the other
// gateways.
//
//   gateway_fixture fixture = MakeReadyGateway();
//   FireEvent(fixture, MakeCallerRequest(fixture, "/order/1"));
//   const dispatch_request dispatch = TakeOnlyDispatch(fixture);

#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "chart_texts.h"
#include "foxtailquay/gateway.h"

namespace foxtailquay {

inline const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr token_count kPrepaid = 1000000;

inline traffic_config MakeConfig(config_version aVersion)
{
  traffic_config config;
  config.mVersion = aVersion;
  traffic_route order;
  order.mName = "order";
  order.mHost = "shop.example";
  order.mPathPrefix = "/order/";
  order.mKind = call_kind::NonIdempotent;
  order.mServices = { { service_id{ "orders" }, 1 } };
  traffic_route status = order;
  status.mName = "status";
  status.mPathPrefix = "/status/";
  status.mKind = call_kind::Idempotent;
  status.mMaxAttempts = 2;
  traffic_route chat = order;
  chat.mName = "chat";
  chat.mPathPrefix = "/chat/";
  chat.mKind = call_kind::Stream;
  chat.mServices = { { service_id{ "engines" }, 1 } };
  config.mRoutes = { order, status, chat };
  traffic_service orders;
  orders.mId = service_id{ "orders" };
  traffic_service engines;
  engines.mId = service_id{ "engines" };
  engines.mIsEngine = true;
  engines.mTokensPerEvent = 7;
  config.mServices = { orders, engines };
  traffic_workspace workspace;
  workspace.mId = workspace_id{ "w" };
  workspace.mKeys = { "key" };
  workspace.mPrepaid = kPrepaid;
  config.mWorkspaces = { workspace };
  return config;
}

inline backend_entry MakeBackendEntry(const std::string& aService,
                                      const std::string& aAddress)
{
  backend_entry entry;
  entry.mService = service_id{ aService };
  entry.mAddress = aAddress;
  entry.mZone = zone_id{ "z" };
  entry.mSlots = 8;
  return entry;
}

// A gateway node, its time, and the actions that have not been checked yet.
struct gateway_fixture
{
  gateway_ptr mNode;
  absl::Time mNow = kStart;
  gateway_actions mActions;
  request_handle mNextHandle = 1;
};

inline void FireEvent(gateway_fixture& aFixture, const gateway_event& aEvent)
{
  for (gateway_action& action : Step(*aFixture.mNode, aEvent, aFixture.mNow)) {
    aFixture.mActions.push_back(std::move(action));
  }
}

// Advances the time and fires a tick whenever the node has requested one.
inline void AdvanceTime(gateway_fixture& aFixture, absl::Duration aTime)
{
  const absl::Time end = aFixture.mNow + aTime;
  while (GetNextWakeTime(*aFixture.mNode) <= end) {
    aFixture.mNow = std::max(aFixture.mNow, GetNextWakeTime(*aFixture.mNode));
    FireEvent(aFixture, gateway_tick{});
  }
  aFixture.mNow = end;
}

// Returns the collected actions of type Action and removes all actions.
template<typename Action>
inline std::vector<Action> TakeActions(gateway_fixture& aFixture)
{
  std::vector<Action> taken;
  for (const gateway_action& action : aFixture.mActions) {
    if (const Action* each = std::get_if<Action>(&action)) {
      taken.push_back(*each);
    }
  }
  aFixture.mActions.clear();
  return taken;
}

inline directory_response MakeDirectoryResponse(directory_area aArea,
                                                store_version aRevision,
                                                bool aComplete)
{
  directory_response response;
  response.mArea = aArea;
  response.mStatus = directory_status::Ok;
  response.mComplete = aComplete;
  response.mRevision = aRevision;
  return response;
}

inline void DeliverConfig(gateway_fixture& aFixture,
                          const traffic_config& aConfig,
                          store_version aRevision)
{
  auto response =
    MakeDirectoryResponse(directory_area::Configuration, aRevision, false);
  response.mConfigs = { { "", aRevision, aConfig } };
  FireEvent(aFixture, response);
}

inline void DeliverBackends(
  gateway_fixture& aFixture, store_version aRevision, bool aComplete,
  std::vector<directory_change<backend_entry>> aChanges)
{
  auto response =
    MakeDirectoryResponse(directory_area::Backends, aRevision, aComplete);
  response.mBackends = std::move(aChanges);
  FireEvent(aFixture, response);
}

inline void DeliverPeers(gateway_fixture& aFixture, store_version aRevision,
                         std::vector<directory_change<gateway_peer>> aChanges)
{
  auto response = MakeDirectoryResponse(directory_area::Peers, aRevision, true);
  response.mPeers = std::move(aChanges);
  FireEvent(aFixture, response);
}

inline gateway_settings MakeSettings(const std::string& aName)
{
  gateway_settings settings;
  settings.mName = aName;
  settings.mNonce = "1";
  settings.mBoot = "boot";
  settings.mZone = zone_id{ "z" };
  return settings;
}

// Returns a gateway that has read nothing from the store but its peers and the
// grant records, of which there are none.
inline gateway_fixture MakeStartedGateway(const gateway_settings& aSettings)
{
  gateway_fixture started;
  auto made = MakeGateway(aSettings, ReadChartTexts());
  if (!IsOk(made)) {
    BOOST_FAIL(ToString(GetError(made)));
  }
  started.mNode = std::get<0>(std::move(made));
  Start(*started.mNode, started.mNow);
  DeliverPeers(started, 1, {});
  grants_read noGrants;
  noGrants.mIsRead = true;
  FireEvent(started, noGrants);
  started.mActions.clear();
  return started;
}

inline gateway_fixture MakeStartedGateway(
  const std::string& aName = "g",
  absl::Duration aContactTime = absl::Seconds(3), std::uint64_t aSeed = 0)
{
  gateway_settings settings = MakeSettings(aName);
  settings.mContactTime = aContactTime;
  settings.mSeed = aSeed;
  return MakeStartedGateway(settings);
}

// Returns a gateway with a configuration and two backend servers per service.
inline gateway_fixture MakeReadyGateway()
{
  gateway_fixture ready = MakeStartedGateway();
  DeliverConfig(ready, MakeConfig(5), 10);
  DeliverBackends(ready, 10, true,
                  { { "o1", 2, MakeBackendEntry("orders", "10.0.0.1:1") },
                    { "o2", 3, MakeBackendEntry("orders", "10.0.0.2:1") },
                    { "e1", 4, MakeBackendEntry("engines", "10.0.0.3:1") },
                    { "e2", 5, MakeBackendEntry("engines", "10.0.0.4:1") } });
  // Waits until the grace period for expired entries is over.
  AdvanceTime(ready, absl::Seconds(5));
  ready.mActions.clear();
  return ready;
}

inline caller_request MakeCallerRequest(gateway_fixture& aFixture,
                                        const std::string& aPath)
{
  caller_request request;
  request.mHandle = aFixture.mNextHandle++;
  request.mAttemptId = "attempt-" + std::to_string(request.mHandle);
  request.mHost = "shop.example";
  request.mPath = aPath;
  request.mKey = "key";
  request.mCallerTimeout = absl::Seconds(2);
  return request;
}

inline attempt_report MakeAttemptReport(const dispatch_request& aDispatch,
                                        attempt_outcome aOutcome)
{
  attempt_report report;
  report.mHandle = aDispatch.mHandle;
  report.mAttempt = aDispatch.mAttempt;
  report.mOutcome = aOutcome;
  return report;
}

inline dispatch_request TakeOnlyDispatch(gateway_fixture& aFixture)
{
  const auto dispatches = TakeActions<dispatch_request>(aFixture);
  BOOST_REQUIRE(dispatches.size() == 1);
  return dispatches[0];
}

// Sends one order and reports its response as delivered. Returns the backend
// server that received it.
inline std::string CompleteOrder(gateway_fixture& aFixture)
{
  aFixture.mActions.clear();
  FireEvent(aFixture, MakeCallerRequest(aFixture, "/order/1"));
  const auto dispatch = TakeOnlyDispatch(aFixture);
  FireEvent(aFixture, MakeAttemptReport(dispatch, attempt_outcome::Delivered));
  return dispatch.mBackend.mValue;
}

inline error_code TakeOnlyErrorCode(gateway_fixture& aFixture)
{
  const auto errors = TakeActions<send_error>(aFixture);
  BOOST_REQUIRE(errors.size() == 1);
  return errors[0].mError.mCode;
}

} // namespace foxtailquay

#endif
