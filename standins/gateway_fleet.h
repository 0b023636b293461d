// Gateways as processes over loopback, before the stand-ins of the users'
// platform: a store, an order service and an engine.
//
//   gateway_fleet fleet;
//   if (StartGateways(fleet, 100000, 2)) {
//     CallHttp(fleet.mGateways[0], "/order/1");
//   }
//
// The destructor ends all processes. For one thread, which owns the children.

#ifndef STANDINS_GATEWAY_FLEET_H
#define STANDINS_GATEWAY_FLEET_H

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "child_process.h"
#include "reserved_port.h"
#include "users_platform.h"

namespace foxtailquay {

struct gateway_process
{
  child_process mChild;
  int mCallerPort = 0;
  int mReadyPort = 0;
};

struct gateway_fleet
{
  gateway_fleet();
  gateway_fleet(const gateway_fleet&) = delete;
  gateway_fleet& operator=(const gateway_fleet&) = delete;
  ~gateway_fleet();

  users_store mStore;
  users_server mOrders;
  users_server mEngine;
  // Settings files and logs.
  std::filesystem::path mFolder;
  std::vector<gateway_process> mGateways;
  // The gateways' ports.
  std::vector<reserved_port> mReserved;
};

// The operator's configuration: an order service, a model and the tenant "w1"
// with the key "key-1".
Json::Value MakeGatewayConfig(int aVersion, std::int64_t aPrepaid);

// Writes the configuration, registers the servers and starts aCount gateways.
// False if one does not become ready.
bool StartGateways(gateway_fleet& aFleet, std::int64_t aPrepaid, int aCount);
// Starts one more; false if its process does not answer.
bool AddGateway(gateway_fleet& aFleet);
bool IsReady(const gateway_process& aGateway);
// False if one is not ready after 20 s.
bool AwaitReady(const gateway_fleet& aFleet);

struct caller_outcome
{
  // 0 without an answer.
  int mStatus = 0;
  std::string mBody;
  std::string mAuthenticityMark;
};

// One request under a new attempt id. Model requests go to "/chat/".
caller_outcome CallHttp(const gateway_process& aGateway,
                        const std::string& aPath,
                        const std::string& aKey = "key-1",
                        int aPromptTokens = 100, int aMaxOutput = 21);

// Tokens that the engine's runs may have cost.
std::int64_t TokensOf(gateway_fleet& aFleet);

} // namespace foxtailquay

#endif
