// Starts a fleet of real processes on loopback ports, for the demo and the
// tests with real processes: the stand-ins, routers, and an agent for each
// backend server. The destructor kills all processes.
//
//   process_fleet fleet;
//   result<success> started = StartFleet(fleet, fleet_options{});
//   client_response response =
//     CallHttp(fleet.mRouters[0].mPort, "GET", "/healthz");
//
// A fleet is used from the thread that created it only, and that thread must
// outlive it (see child_process.h).

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
  // Additional flags of the engines.
  std::vector<std::string> mEngineFlags;
  // Tokens paid into the budget kBudget at the start.
  int mPaidIn = 100'000;
  // Price of a prompt token. If it is 0, the bill is exactly the number of
  // generated tokens; the prompt of an interrupted run is only estimated.
  int mPromptPrice = 1;
};

struct fleet_node
{
  // Member id; for an agent also the id of its backend server.
  std::string mMember;
  std::string mZone;
  // Caller port of a router; port of an agent's backend server.
  int mPort = 0;
  int mPeerPort = 0;
  child_process mProcess;
  // The backend server of an agent; not set for a router.
  child_process mBackend;
};

struct process_fleet
{
  process_fleet();
  process_fleet(const process_fleet&) = delete;
  process_fleet& operator=(const process_fleet&) = delete;
  // Kills all processes and removes mFolder unless mKeepLogs is set.
  ~process_fleet();

  // Temporary folder with the key files and logs; empty if it cannot be
  // created.
  std::string mFolder;
  bool mKeepLogs = false;
  int mPlatformPort = 0;
  child_process mPlatform;
  std::vector<fleet_node> mRouters;
  // Engines first, then services.
  std::vector<fleet_node> mAgents;
  // The ports of the nodes.
  std::vector<reserved_port> mReserved;
};

constexpr char kModel[] = "briefs";
constexpr char kWorkspace[] = "acme";
constexpr char kBudget[] = "acme-2026";
constexpr char kApiKey[] = "acme-key-for-tests";

// Starts all processes, applies the first configuration, pays into the budget
// and waits until all nodes are ready. Errors: Internal with the process or
// step that failed.
result<success> StartFleet(process_fleet& aFleet,
                           const fleet_options& aOptions);
// Starts a stand-in and reads its port from its log file. Errors: Internal.
result<success> StartStandIn(process_fleet& aFleet, child_process& aChild,
                             const std::string& aName,
                             std::vector<std::string> aArguments, int& aPort);
// Starts a node again after it has ended and waits until it is ready. Errors:
// Internal.
result<success> RestartNode(process_fleet& aFleet, fleet_node& aNode);
// Waits until the node is ready (/readyz responds 200). Returns false after a
// minute.
bool AwaitReady(const fleet_node& aNode);
// Waits until aRouter reports that no incarnation of aHolder has a share of
// kBudget. Returns false after a minute.
bool AwaitNoShare(const fleet_node& aRouter, const fleet_node& aHolder);
// Returns the names and the last 2000 bytes of the nodes' log files, for
// failure reports.
std::string ReadLogTails(const process_fleet& aFleet);

httplib::Headers MakeOperatorHeaders();
httplib::Headers MakePeerHeaders();
httplib::Headers MakeCallerHeaders(const std::string& aKey = kApiKey);

// Returns the body of a request for a chat completion.
Json::Value MakeChatBody(const std::string& aPrompt, int aMaxTokens,
                         bool aStream = false);
// Returns the hash of an API key, as in a workspace's configuration.
std::string ComputeKeyHash(const std::string& aKey);
// Returns the configuration of a workspace with one API key and one budget.
Json::Value MakeWorkspaceJson(const std::string& aKey,
                              const std::string& aBudget);

// Returns the version of the configuration at a router; 0 if it does not
// respond.
std::uint64_t ReadConfigVersion(const fleet_node& aRouter);
// Sends a patch to a router. Adds a "patch_id" if there is none.
client_response PatchConfig(const fleet_node& aRouter, Json::Value aPatch);
client_response TopUp(const fleet_node& aRouter, const std::string& aBudget,
                      const std::string& aId, int aAmount);
client_response ReadBudget(const fleet_node& aRouter,
                           const std::string& aBudget);
// Sets faults of the stand-in at aPort.
client_response SetFault(int aPort, const Json::Value& aFaults);
// Sets one fault at all engines.
void SetEngineFault(const process_fleet& aFleet, const std::string& aName,
                    int aValue);
bool IsEngine(const fleet_node& aAgent);
// Return the tokens that all engines have generated and the orders that all
// services have placed.
int ReadGeneratedTokens(const process_fleet& aFleet);
int ReadPlacedOrders(const process_fleet& aFleet);
// Returns the calls that the stand-in at aPort has executed.
Json::Value ReadExecutedCalls(int aPort);

} // namespace foxtailquay

#endif
