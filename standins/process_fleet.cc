#include "process_fleet.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "openssl/sha.h"

namespace foxtailquay {

namespace {

constexpr char kOperatorKey[] = "operator-key-for-tests";
constexpr char kPeerKey[] = "peer-key-for-tests";

error MakeError(const std::string& aDetail)
{
  return error{
    error_code::Internal, executed::No, {}, aDetail, absl::ZeroDuration()
  };
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

namespace {

void WriteKey(const std::string& aPath, const std::string& aKey)
{
  std::ofstream(aPath) << aKey << "\n";
}

// Reserves a port for the lifetime of the fleet.
int ReservePort(process_fleet& aFleet)
{
  return aFleet.mReserved.emplace_back().mPort;
}

std::string MakeAddress(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace

result<success> StartStandIn(process_fleet& aFleet, child_process& aChild,
                             const std::string& aName,
                             std::vector<std::string> aArguments, int& aPort)
{
  aChild.mName = aName;
  aChild.mLogFile = aFleet.mFolder + "/" + aName + ".log";
  aChild.mArguments = std::move(aArguments);
  auto started = Start(aChild);
  if (!IsOk(started)) {
    return started;
  }
  const bool listening = AwaitCondition([&] {
    std::istringstream line(ReadFile(aChild.mLogFile));
    std::string word;
    return static_cast<bool>(line >> word >> aPort) && word == "listening";
  });
  return listening ? result<success>()
                   : MakeError(aName + " did not start to listen");
}

namespace {

std::vector<std::string> MakeNodeArguments(const process_fleet& aFleet,
                                           const fleet_node& aNode,
                                           const std::string& aRole)
{
  std::vector<std::string> arguments{
    "foxtailquayd",
    "--role=" + aRole,
    "--member=" + aNode.mMember,
    "--zone=" + aNode.mZone,
    "--peer_listen=" + MakeAddress(aNode.mPeerPort),
    "--store=" + MakeAddress(aFleet.mPlatformPort),
    "--peer_key_file=" + aFleet.mFolder + "/peer.key"
  };
  if (aRole == "agent") {
    arguments.push_back("--backend=" + MakeAddress(aNode.mPort));
  } else {
    arguments.push_back("--listen=" + MakeAddress(aNode.mPort));
    arguments.push_back("--operator_key_file=" + aFleet.mFolder +
                        "/operator.key");
    arguments.push_back("--vm_list=" + MakeAddress(aFleet.mPlatformPort) +
                        "/v1/vms");
  }
  return arguments;
}

result<success> StartNode(process_fleet& aFleet, fleet_node& aNode,
                          const std::string& aRole)
{
  aNode.mPeerPort = ReservePort(aFleet);
  if (aRole == "router") {
    aNode.mPort = ReservePort(aFleet);
  }
  aNode.mProcess.mName = aNode.mMember;
  aNode.mProcess.mLogFile = aFleet.mFolder + "/" + aNode.mMember + ".log";
  aNode.mProcess.mArguments = MakeNodeArguments(aFleet, aNode, aRole);
  return Start(aNode.mProcess);
}

std::string MakeZone(int aIndex)
{
  return "zone-" + std::to_string(aIndex % 3 + 1);
}

result<success> StartBackends(process_fleet& aFleet,
                              const fleet_options& aOptions)
{
  for (int i = 0; i < aOptions.mEngines + aOptions.mServices; ++i) {
    const bool engine = i < aOptions.mEngines;
    const int number = engine ? i : i - aOptions.mEngines;
    fleet_node& node = aFleet.mAgents.emplace_back();
    node.mMember =
      (engine ? "engine-" : "orders-") + std::to_string(number + 1);
    node.mZone = MakeZone(number);
    std::vector<std::string> arguments{ engine ? "standin_engine"
                                               : "standin_service" };
    if (engine) {
      arguments.push_back(std::string("--models=") + kModel);
      arguments.insert(arguments.end(), aOptions.mEngineFlags.begin(),
                       aOptions.mEngineFlags.end());
    }
    auto started =
      StartStandIn(aFleet, node.mBackend, node.mMember + "-backend",
                   std::move(arguments), node.mPort);
    if (!IsOk(started)) {
      return started;
    }
  }
  return success{};
}

result<success> StartNodes(process_fleet& aFleet, const fleet_options& aOptions)
{
  for (int i = 0; i < aOptions.mRouters; ++i) {
    fleet_node& node = aFleet.mRouters.emplace_back();
    node.mMember = "router-" + std::to_string(i + 1);
    node.mZone = MakeZone(i);
    auto started = StartNode(aFleet, node, "router");
    if (!IsOk(started)) {
      return started;
    }
  }
  for (fleet_node& node : aFleet.mAgents) {
    auto started = StartNode(aFleet, node, "agent");
    if (!IsOk(started)) {
      return started;
    }
  }
  return success{};
}

int GetHealthPort(const fleet_node& aNode)
{
  return aNode.mBackend.mName.empty() ? aNode.mPort : aNode.mPeerPort;
}

bool AwaitStatus(const fleet_node& aNode, const std::string& aPath)
{
  return AwaitCondition([&] {
    return CallHttp(GetHealthPort(aNode), "GET", aPath).mStatus == 200;
  });
}

result<success> AwaitAll(process_fleet& aFleet, const std::string& aPath)
{
  for (const auto* nodes : { &aFleet.mRouters, &aFleet.mAgents }) {
    for (const fleet_node& node : *nodes) {
      if (!AwaitStatus(node, aPath)) {
        return MakeError(node.mMember +
                         " does not respond with status 200 on " + aPath);
      }
    }
  }
  return success{};
}

Json::Value MakeFirstPatch(const process_fleet& aFleet,
                           const fleet_options& aOptions)
{
  Json::Value patch;
  patch["if_version"] = 0;
  patch["patch_id"] = "first";
  patch["models"][kModel]["max_tokens"] = 4096;
  patch["models"][kModel]["prompt_price"] = aOptions.mPromptPrice;
  Json::Value read;
  read["method"] = "GET";
  read["path_prefix"] = "/orders/";
  read["repeatable"] = true;
  patch["services"]["orders"]["calls"].append(read);
  patch["services"]["orders"]["call_price"] = 5;
  for (const fleet_node& node : aFleet.mAgents) {
    const bool engine = IsEngine(node);
    Json::Value& backend = patch["backends"][node.mMember];
    backend["kind"] = engine ? "engine" : "service";
    backend["zone"] = node.mZone;
    backend[engine ? "models" : "services"].append(engine ? kModel : "orders");
  }
  patch["workspaces"][kWorkspace] = MakeWorkspaceJson(kApiKey, kBudget);
  return patch;
}

// Sends the first patch and top-up, and waits until all routers have the
// configuration. The patch is repeated, since a router refuses it until it has
// joined the fleet.
result<success> ApplyFirstConfig(process_fleet& aFleet,
                                 const fleet_options& aOptions)
{
  const fleet_node& router = aFleet.mRouters[0];
  client_response response;
  const bool patched = AwaitCondition([&] {
    response = PatchConfig(router, MakeFirstPatch(aFleet, aOptions));
    return response.mStatus != 0 && response.mStatus != 503;
  });
  if (!patched || response.mStatus != 200) {
    return MakeError("cannot apply the first configuration: " + response.mBody);
  }
  if (aOptions.mPaidIn > 0) {
    response = TopUp(router, kBudget, "first", aOptions.mPaidIn);
    if (response.mStatus != 200) {
      return MakeError("cannot apply the first top-up: " + response.mBody);
    }
  }
  for (const fleet_node& node : aFleet.mRouters) {
    if (!AwaitCondition([&node] { return ReadConfigVersion(node) == 1; })) {
      return MakeError(node.mMember + " did not receive the configuration");
    }
  }
  return success{};
}

} // namespace

process_fleet::process_fleet()
{
  std::string folder =
    std::filesystem::temp_directory_path() / "foxtailquay-XXXXXX";
  if (mkdtemp(folder.data()) != nullptr) {
    mFolder = folder;
  }
}

process_fleet::~process_fleet()
{
  for (auto* nodes : { &mRouters, &mAgents }) {
    for (fleet_node& node : *nodes) {
      Kill(node.mProcess);
      Kill(node.mBackend);
    }
  }
  Kill(mPlatform);
  if (!mFolder.empty() && !mKeepLogs) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
}

result<success> StartFleet(process_fleet& aFleet, const fleet_options& aOptions)
{
  if (aFleet.mFolder.empty()) {
    return MakeError("cannot create a temporary folder");
  }
  WriteKey(aFleet.mFolder + "/operator.key", kOperatorKey);
  WriteKey(aFleet.mFolder + "/peer.key", kPeerKey);
  auto outcome = StartStandIn(aFleet, aFleet.mPlatform, "platform",
                              { "standin_platform" }, aFleet.mPlatformPort);
  if (IsOk(outcome)) {
    outcome = StartBackends(aFleet, aOptions);
  }
  if (IsOk(outcome)) {
    outcome = StartNodes(aFleet, aOptions);
  }
  if (IsOk(outcome)) {
    outcome = AwaitAll(aFleet, "/healthz");
  }
  if (IsOk(outcome)) {
    outcome = ApplyFirstConfig(aFleet, aOptions);
  }
  return IsOk(outcome) ? AwaitAll(aFleet, "/readyz") : outcome;
}

result<success> RestartNode(process_fleet& /*aFleet*/, fleet_node& aNode)
{
  auto started = Start(aNode.mProcess);
  if (IsOk(started) && !AwaitReady(aNode)) {
    return MakeError(aNode.mMember + " is not ready after a restart");
  }
  return started;
}

bool AwaitReady(const fleet_node& aNode)
{
  return AwaitStatus(aNode, "/readyz");
}

bool AwaitNoShare(const fleet_node& aRouter, const fleet_node& aHolder)
{
  return AwaitCondition([&] {
    const client_response response = ReadBudget(aRouter, kBudget);
    bool found = response.mStatus != 200;
    for (const Json::Value& share : response.mJson["shares"]) {
      found = found || share["holder"].asString() == aHolder.mMember;
    }
    return !found;
  });
}

std::string ReadLogTails(const process_fleet& aFleet)
{
  constexpr std::size_t kTailBytes = 2000;
  std::string tails;
  for (const auto* nodes : { &aFleet.mRouters, &aFleet.mAgents }) {
    for (const fleet_node& node : *nodes) {
      const std::string log = ReadFile(node.mProcess.mLogFile);
      const std::size_t start =
        log.size() > kTailBytes ? log.size() - kTailBytes : 0;
      tails += "--- " + node.mProcess.mLogFile + "\n" + log.substr(start);
    }
  }
  return tails;
}

httplib::Headers MakeOperatorHeaders()
{
  return { { "Authorization", std::string("Bearer ") + kOperatorKey } };
}

httplib::Headers MakePeerHeaders()
{
  return { { "Authorization", std::string("Bearer ") + kPeerKey } };
}

httplib::Headers MakeCallerHeaders(const std::string& aKey)
{
  return { { "Authorization", "Bearer " + aKey } };
}

Json::Value MakeChatBody(const std::string& aPrompt, int aMaxTokens,
                         bool aStream)
{
  Json::Value message;
  message["role"] = "user";
  message["content"] = aPrompt;
  Json::Value body;
  body["model"] = kModel;
  body["messages"].append(message);
  body["max_tokens"] = aMaxTokens;
  body["stream"] = aStream;
  return body;
}

std::string ComputeKeyHash(const std::string& aKey)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(),
         digest);
  std::string text;
  for (const unsigned char byte : digest) {
    constexpr char kDigits[] = "0123456789abcdef";
    text += { kDigits[byte >> 4], kDigits[byte & 15] };
  }
  return text;
}

Json::Value MakeWorkspaceJson(const std::string& aKey,
                              const std::string& aBudget)
{
  Json::Value budget;
  budget["id"] = aBudget;
  Json::Value workspace;
  workspace["key_hashes"].append(ComputeKeyHash(aKey));
  workspace["budgets"].append(budget);
  return workspace;
}

std::uint64_t ReadConfigVersion(const fleet_node& aRouter)
{
  return CallHttp(aRouter.mPort, "GET", "/admin/config", MakeOperatorHeaders())
    .mJson["version"]
    .asUInt64();
}

client_response PatchConfig(const fleet_node& aRouter, Json::Value aPatch)
{
  static int patches = 0;
  if (!aPatch.isMember("patch_id")) {
    aPatch["patch_id"] = "patch-" + std::to_string(++patches);
  }
  return CallHttp(aRouter.mPort, "POST", "/admin/config", MakeOperatorHeaders(),
                  aPatch);
}

client_response TopUp(const fleet_node& aRouter, const std::string& aBudget,
                      const std::string& aId, int aAmount)
{
  Json::Value body;
  body["id"] = aId;
  body["amount"] = aAmount;
  return CallHttp(aRouter.mPort, "POST",
                  "/admin/budgets/" + aBudget + "/topups",
                  MakeOperatorHeaders(), body);
}

client_response ReadBudget(const fleet_node& aRouter,
                           const std::string& aBudget)
{
  return CallHttp(aRouter.mPort, "GET", "/admin/budgets/" + aBudget,
                  MakeOperatorHeaders());
}

client_response SetFault(int aPort, const Json::Value& aFaults)
{
  return CallHttp(aPort, "POST", "/fault", {}, aFaults);
}

void SetEngineFault(const process_fleet& aFleet, const std::string& aName,
                    int aValue)
{
  Json::Value fault;
  fault[aName] = aValue;
  for (const fleet_node& node : aFleet.mAgents) {
    if (IsEngine(node)) {
      SetFault(node.mPort, fault);
    }
  }
}

bool IsEngine(const fleet_node& aAgent)
{
  return aAgent.mMember.rfind("engine", 0) == 0;
}

int ReadGeneratedTokens(const process_fleet& aFleet)
{
  int tokens = 0;
  for (const fleet_node& node : aFleet.mAgents) {
    const Json::Value executed = ReadExecutedCalls(node.mPort);
    for (const Json::Value& run : executed["ran"]) {
      tokens += run.get("completion_tokens", 0).asInt();
    }
  }
  return tokens;
}

int ReadPlacedOrders(const process_fleet& aFleet)
{
  int placed = 0;
  for (const fleet_node& node : aFleet.mAgents) {
    placed += ReadExecutedCalls(node.mPort).get("orders", 0).asInt();
  }
  return placed;
}

Json::Value ReadExecutedCalls(int aPort)
{
  return CallHttp(aPort, "GET", "/ran").mJson;
}

} // namespace foxtailquay
