// Starts gateways as processes on loopback ports, with the stand-ins of the
// users' platform that they use: a store, an order service and an engine.
//
//   gateway_fleet fleet;
//   if (StartGateways(fleet, 100000, 2)) {
//     CallHttp(fleet.mGateways[0], "/order/1");
//   }
//
// The destructor kills all processes. A fleet is used from one thread only (see
// child_process.h).

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
  // Port of the readiness check.
  int mReadyPort = 0;
  // Port for other gateways.
  int mPeerPort = 0;
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
  // Temporary folder with the settings files and logs.
  std::filesystem::path mFolder;
  std::vector<gateway_process> mGateways;
  // Further lines of the settings files.
  std::string mFurtherSettings;
  // The ports of the gateways.
  std::vector<reserved_port> mReserved;
};

// Returns the operator's configuration: an order service, an engine service and
// the tenant "w1" with the key "key-1" and a budget of aPrepaid tokens.
Json::Value MakeGatewayConfig(int aVersion, std::int64_t aPrepaid);

// Writes the configuration, registers the servers and starts aCount gateways.
// Returns false if a gateway does not start or does not become ready.
bool StartGateways(gateway_fleet& aFleet, std::int64_t aPrepaid, int aCount);
// Starts another gateway and waits until it responds to the readiness check,
// ready or not. Returns false if it does not respond within 15 s.
bool AddGateway(gateway_fleet& aFleet);
bool IsReady(const gateway_process& aGateway);
// Waits until all gateways are ready. Returns false after 20 s.
bool AwaitReady(const gateway_fleet& aFleet);

// The response that a caller receives.
struct caller_outcome
{
  // 0 if there was no response.
  int mStatus = 0;
  std::string mBody;
  std::string mAuthenticityMark;
};

// A request of a caller.
struct caller_input
{
  std::string mPath;
  std::string mKey = "key-1";
  std::string mBody = "body";
  int mPromptTokens = 100;
  int mMaxOutput = 21;
  // Value of the header with the parts of the prompt; empty for none.
  std::string mPromptParts;
};

// Sends a request with a new attempt id. A path that begins with "/chat/" is a
// model request and has the token counts.
caller_outcome CallHttp(const gateway_process& aGateway,
                        const caller_input& aInput);
caller_outcome CallHttp(const gateway_process& aGateway,
                        const std::string& aPath,
                        const std::string& aKey = "key-1",
                        int aPromptTokens = 100, int aMaxOutput = 21);

// Returns the upper bound of the tokens that the engine has executed.
std::int64_t GetExecutedTokens(gateway_fleet& aFleet);

} // namespace foxtailquay

#endif
