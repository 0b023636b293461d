#include "gateway_fleet.h"

#include <algorithm>
#include <atomic>
#include <fstream>

namespace foxtailquay {

namespace {

std::atomic<int> gNextAttempt{ 1 };

// Reserves a port for the lifetime of the fleet.
int ReservePort(gateway_fleet& aFleet)
{
  return aFleet.mReserved.emplace_back().mPort;
}

// Returns whether the process responds to the readiness check, ready or not.
bool IsResponding(const gateway_process& aGateway)
{
  httplib::Client client("127.0.0.1", aGateway.mReadyPort);
  return static_cast<bool>(client.Get("/-/ready"));
}

// Reserves the ports and writes the settings file of a new process.
gateway_process PrepareGateway(gateway_fleet& aFleet, const std::string& aName)
{
  gateway_process started;
  started.mCallerPort = ReservePort(aFleet);
  started.mReadyPort = ReservePort(aFleet);
  started.mPeerPort = ReservePort(aFleet);
  const std::string file = aFleet.mFolder / (aName + ".conf");
  std::ofstream(file) << "node_name=" << aName << "\nzone=z-a\nip=127.0.0.1\n"
                      << "listen.front=127.0.0.1:" << started.mCallerPort
                      << "\nlisten.ready=127.0.0.1:" << started.mReadyPort
                      << "\ninternal_ports=" << started.mPeerPort << ","
                      << started.mPeerPort
                      << "\nplatform.address=127.0.0.1:" << aFleet.mStore.mPort
                      << "\nbounds.grace_s=8\n"
                      << "bounds.retry_budget_ratio=0.2\n"
                      << "bounds.budget_slack=56\n"
                      << aFleet.mFurtherSettings;
  started.mChild.mName = aName;
  started.mChild.mArguments = { "foxtailquayd", "--role=gateway",
                                "--node_file=" + file };
  started.mChild.mLogFile = aFleet.mFolder / (aName + ".log");
  return started;
}

} // namespace

gateway_fleet::gateway_fleet()
{
  StartStore(mStore);
  StartServer(mOrders, "i-orders");
  StartServer(mEngine, "i-engine");
  mFolder = std::filesystem::temp_directory_path() /
            ("foxtailquay-gateways-" + std::to_string(mStore.mPort));
  std::filesystem::create_directories(mFolder);
}

gateway_fleet::~gateway_fleet()
{
  for (gateway_process& each : mGateways) {
    Kill(each.mChild);
  }
  StopServer(mEngine);
  StopServer(mOrders);
  StopStore(mStore);
  std::filesystem::remove_all(mFolder);
}

Json::Value MakeGatewayConfig(int aVersion, std::int64_t aPrepaid)
{
  Json::Value config;
  config["version"] = aVersion;
  const char* kinds[] = { "non_idempotent", "idempotent", "stream" };
  const char* prefixes[] = { "/order/", "/status/", "/chat/" };
  for (int i = 0; i < 3; ++i) {
    Json::Value route;
    route["name"] = prefixes[i];
    route["host"] = "shop.example";
    route["prefix"] = prefixes[i];
    route["kind"] = kinds[i];
    route["service"] = i == 2 ? "engines" : "orders";
    route["timeout_ms"] = 5000;
    config["routes"].append(route);
  }
  config["services"][0]["name"] = "orders";
  config["services"][0]["cold_start_s"] = 3.0;
  config["services"][0]["cold_per_s"] = 14.0;
  config["services"][1]["name"] = "engines";
  config["services"][1]["engine"]["stride"] = 7;
  Json::Value tenant;
  tenant["name"] = "w1";
  tenant["api_keys"].append("key-1");
  tenant["prepaid"] = Json::Int64(aPrepaid);
  config["tenants"].append(tenant);
  return config;
}

bool AddGateway(gateway_fleet& aFleet)
{
  constexpr int kSeconds = 15;
  gateway_process started = PrepareGateway(
    aFleet, "front-" + std::to_string(aFleet.mGateways.size() + 1));
  if (!IsOk(Start(started.mChild))) {
    return false;
  }
  if (!AwaitCondition([&started] { return IsResponding(started); }, kSeconds)) {
    Kill(started.mChild);
    return false;
  }
  aFleet.mGateways.push_back(std::move(started));
  return true;
}

bool IsReady(const gateway_process& aGateway)
{
  httplib::Client client("127.0.0.1", aGateway.mReadyPort);
  const auto response = client.Get("/-/ready");
  return response && response->status == 200;
}

bool AwaitReady(const gateway_fleet& aFleet)
{
  constexpr int kSeconds = 20;
  return AwaitCondition(
    [&aFleet] {
      return std::all_of(aFleet.mGateways.begin(), aFleet.mGateways.end(),
                         &IsReady);
    },
    kSeconds);
}

bool StartGateways(gateway_fleet& aFleet, std::int64_t aPrepaid, int aCount)
{
  PutItem(aFleet.mStore, "op/config", MakeGatewayConfig(3, aPrepaid));
  RegisterServer(aFleet.mStore, aFleet.mOrders, "orders", "ready");
  RegisterServer(aFleet.mStore, aFleet.mEngine, "engines", "ready");
  for (int i = 0; i < aCount; ++i) {
    if (!AddGateway(aFleet)) {
      return false;
    }
  }
  return AwaitReady(aFleet);
}

caller_outcome CallHttp(const gateway_process& aGateway,
                        const caller_input& aInput)
{
  httplib::Client client("127.0.0.1", aGateway.mCallerPort);
  client.set_read_timeout(10);
  httplib::Headers headers{
    { "Host", "shop.example" },
    { "Foxtailquay-Attempt-Id", "t" + std::to_string(gNextAttempt++) },
    { "Foxtailquay-Deadline-Ms", "4000" },
    { "Authorization", "Bearer " + aInput.mKey },
  };
  if (aInput.mPath.find("/chat/") == 0) {
    headers.emplace("Foxtailquay-Token-Count",
                    std::to_string(aInput.mPromptTokens) + "," +
                      std::to_string(aInput.mMaxOutput));
  }
  if (!aInput.mPromptParts.empty()) {
    headers.emplace("Foxtailquay-Prompt-Prefix", aInput.mPromptParts);
  }
  const auto response =
    client.Post(aInput.mPath, headers, aInput.mBody, "text/plain");
  if (!response) {
    return {};
  }
  return { response->status, response->body,
           response->get_header_value("Foxtailquay-Server-Seal") };
}

caller_outcome CallHttp(const gateway_process& aGateway,
                        const std::string& aPath, const std::string& aKey,
                        int aPromptTokens, int aMaxOutput)
{
  caller_input input;
  input.mPath = aPath;
  input.mKey = aKey;
  input.mPromptTokens = aPromptTokens;
  input.mMaxOutput = aMaxOutput;
  return CallHttp(aGateway, input);
}

std::int64_t GetExecutedTokens(gateway_fleet& aFleet)
{
  const std::lock_guard<std::mutex> lock(aFleet.mEngine.mMutex);
  return aFleet.mEngine.mTokens;
}

} // namespace foxtailquay
