// Starts a whole fleet of real processes on loopback ports, for the demo and
// the real-process tests: the stand-ins, routers, and an agent beside each
// backend server. Every process is ended with the fleet.
//
//   process_fleet fleet;
//   result<success> started = StartFleet(fleet, fleet_options{});
//   client_response response =
//     CallHttp(fleet.mRouters[0].mPort, "GET", "/healthz");
//
// A fleet is used from one thread, which must be the thread that made it and
// must outlive it (see child_process.h).

#ifndef STANDINS_PROCESS_FLEET_H
#define STANDINS_PROCESS_FLEET_H

#include <cstdint>
#include <string>
#include <vector>

#include "child_process.h"
#include "foxtailquay/result.h"
#include "http_client.h"
#include "reserved_port.h"

namespace foxtailquay {

struct fleet_options
{
  int mRouters = 3;
  int mEngines = 3;
  int mServices = 2;
  std::vector<std::string> mEngineFlags;
  // Paid in to the budget of workspace "acme" at the start.
  int mPaidIn = 100'000;
  // Price of a prompt token. With 0 a bill is exactly the tokens generated;
  // the prompt of a run that breaks off is only estimated.
  int mPromptPrice = 1;
};

struct fleet_node
{
  // Member id, for agents also the backend server's id.
  std::string mMember;
  std::string mZone;
  // Routers: the callers' port. Agents: the backend server's port.
  int mPort = 0;
  int mPeerPort = 0;
  child_process mProcess;
  // The backend server beside an agent.
  child_process mBackend;
};

struct process_fleet
{
  process_fleet();
  process_fleet(const process_fleet&) = delete;
  process_fleet& operator=(const process_fleet&) = delete;
  // Kills every process. The logs are kept if mKeepLogs is set.
  ~process_fleet();

  // Temporary folder with keys and logs.
  std::string mFolder;
  bool mKeepLogs = false;
  int mPlatformPort = 0;
  child_process mPlatform;
  std::vector<fleet_node> mRouters;
  // Engines first, then services.
  std::vector<fleet_node> mAgents;
  // The nodes' ports.
  std::vector<reserved_port> mReserved;
};

constexpr char kModel[] = "briefs";
constexpr char kWorkspace[] = "acme";
constexpr char kBudget[] = "acme-2026";
constexpr char kApiKey[] = "acme-key-for-tests";

// Starts everything, patches in the first configuration and pays in. Errors:
// Internal with the process or step that failed.
result<success> StartFleet(process_fleet& aFleet,
                           const fleet_options& aOptions);
// Starts a stand-in and reads its port from its output. Errors: Internal.
result<success> StartStandIn(process_fleet& aFleet, child_process& aChild,
                             const std::string& aName,
                             std::vector<std::string> aArguments, int& aPort);
// Starts a node again after it has ended. Waits until it is ready.
result<success> RestartNode(process_fleet& aFleet, fleet_node& aNode);
// Waits until the node's /readyz answers 200.
bool AwaitReady(const fleet_node& aNode);
// Waits until budget kBudget has no share of any incarnation of the router.
bool AwaitNoShare(const fleet_node& aAsked, const fleet_node& aHolder);
// Names the log files with their last lines, for failure reports.
std::string ReadLogTails(const process_fleet& aFleet);

httplib::Headers OperatorHeaders();
httplib::Headers MakePeerHeaders();
httplib::Headers MakeCallerHeaders(const std::string& aKey = kApiKey);

// A whole or streamed chat completion.
Json::Value MakeChatBody(const std::string& aPrompt, int aMaxTokens,
                         bool aStream = false);
// Key hash for a workspace's configuration.
std::string KeyHash(const std::string& aKey);
// A workspace's configuration with one budget.
Json::Value WorkspaceJson(const std::string& aKey, const std::string& aBudget);

// Reads the configuration's version from a router.
std::uint64_t ReadConfigVersion(const fleet_node& aRouter);
// Adds a "patch_id" if there is none.
client_response PatchConfig(const fleet_node& aRouter, Json::Value aPatch);
client_response TopUp(const fleet_node& aRouter, const std::string& aBudget,
                      const std::string& aId, int aAmount);
client_response ReadBudget(const fleet_node& aRouter,
                           const std::string& aBudget);
client_response SetFault(int aPort, const Json::Value& aFaults);
// Sets faults at all engines.
void SetEngineFault(const process_fleet& aFleet, const std::string& aName,
                    int aValue);
bool IsEngine(const fleet_node& aAgent);
// Tokens that all engines have generated, and orders that all services have
// placed.
int ReadGeneratedTokens(const process_fleet& aFleet);
int ReadPlacedOrders(const process_fleet& aFleet);
// What the stand-in at aPort ran.
Json::Value ReadExecutedCalls(int aPort);

} // namespace foxtailquay

#endif
