#include "users_platform.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

#include <openssl/evp.h>

namespace foxtailquay {

namespace {

using std::chrono::steady_clock;

// Maximum number of concurrent calls: three watches for each of a few gateways,
// other calls, and those on silent connections.
constexpr std::size_t kThreads = 256;
// Tokens that one event of a stream costs.
constexpr int kTokensPerEvent = 7;

std::string ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value ParseJson(const std::string& aText)
{
  Json::Value value;
  std::istringstream text(aText);
  std::string problem;
  Json::parseFromStream(Json::CharReaderBuilder(), text, &value, &problem);
  return value;
}

std::string EncodeBase64(const std::string& aText)
{
  std::string encoded(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  encoded.resize(static_cast<std::size_t>(size));
  return encoded;
}

std::string DecodeBase64(const std::string& aText)
{
  std::string decoded(aText.size(), '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  decoded.resize(static_cast<std::size_t>(size < 0 ? 0 : size));
  while (!decoded.empty() && decoded.back() == '\0') {
    decoded.pop_back();
  }
  return decoded;
}

Json::Value ToJson(const store_item& aItem)
{
  Json::Value value;
  value["key"] = aItem.mKey;
  value["revision"] = Json::UInt64(aItem.mRevision);
  if (aItem.mIsRemoved) {
    value["tombstone"] = true;
    return value;
  }
  value["value"] = aItem.mValue;
  value["created"] = Json::UInt64(aItem.mCreatedRevision);
  value["lease"] = Json::UInt64(aItem.mLease);
  return value;
}

// Precondition of the functions whose names end in Locked: the caller holds the
// mutex.

void PutLocked(users_store& aStore, const std::string& aKey,
               const std::string& aValue, std::uint64_t aLease)
{
  store_item& item = aStore.mItems[aKey];
  item.mCreatedRevision =
    item.mRevision == 0 ? aStore.mRevision : item.mCreatedRevision;
  item.mKey = aKey;
  item.mValue = aValue;
  item.mRevision = aStore.mRevision;
  item.mLease = aLease;
  aStore.mHistory.push_back(item);
}

void RemoveLocked(users_store& aStore, const std::string& aKey)
{
  if (aStore.mItems.erase(aKey) > 0) {
    store_item removed;
    removed.mKey = aKey;
    removed.mRevision = aStore.mRevision;
    removed.mIsRemoved = true;
    aStore.mHistory.push_back(removed);
  }
}

void EndLeaseLocked(users_store& aStore, std::uint64_t aLease)
{
  ++aStore.mRevision;
  std::vector<std::string> keys;
  for (const auto& item : aStore.mItems) {
    if (item.second.mLease == aLease) {
      keys.push_back(item.first);
    }
  }
  for (const std::string& key : keys) {
    RemoveLocked(aStore, key);
  }
  aStore.mLeases.erase(aLease);
  aStore.mChanged.notify_all();
}

void ExpireLeasesLocked(users_store& aStore)
{
  const auto now = steady_clock::now();
  std::vector<std::uint64_t> ended;
  for (const auto& lease : aStore.mLeases) {
    if (lease.second <= now) {
      ended.push_back(lease.first);
    }
  }
  for (std::uint64_t lease : ended) {
    EndLeaseLocked(aStore, lease);
  }
}

void SendResponse(httplib::Response& aResponse, int aStatus,
                  const Json::Value& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(ToText(aBody), "application/json");
}

std::uint64_t GetIntegerParameter(const httplib::Request& aRequest,
                                  const char* aName)
{
  return std::stoull("0" + aRequest.get_param_value(aName));
}

void HandleRange(users_store& aStore, const httplib::Request& aRequest,
                 httplib::Response& aResponse)
{
  ++aStore.mReads;
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  ExpireLeasesLocked(aStore);
  const std::string prefix = aRequest.get_param_value("prefix");
  const std::string after = aRequest.get_param_value("after");
  Json::Value body;
  body["items"] = Json::Value(Json::arrayValue);
  body["more_pages"] = false;
  body["store_revision"] = Json::UInt64(aStore.mRevision);
  // Pages are small, so that readers must read several.
  constexpr Json::ArrayIndex kPageItems = 2;
  for (const auto& item : aStore.mItems) {
    if (item.first.compare(0, prefix.size(), prefix) != 0 ||
        item.first <= after) {
      continue;
    }
    if (body["items"].size() == kPageItems) {
      body["more_pages"] = true;
      break;
    }
    body["items"].append(ToJson(item.second));
  }
  SendResponse(aResponse, 200, body);
}

void HandleWatch(users_store& aStore, const httplib::Request& aRequest,
                 httplib::Response& aResponse)
{
  ++aStore.mWatches;
  const std::string prefix = aRequest.get_param_value("prefix");
  const std::uint64_t after = GetIntegerParameter(aRequest, "after");
  const auto end =
    steady_clock::now() +
    std::chrono::milliseconds(GetIntegerParameter(aRequest, "wait_ms"));
  std::unique_lock<std::mutex> lock(aStore.mMutex);
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  while (body["events"].empty() && steady_clock::now() < end &&
         !aStore.mIsStopping && !aStore.mIsDown) {
    if (after < aStore.mHistoryStart) {
      SendResponse(aResponse, 410, Json::Value(Json::objectValue));
      return;
    }
    for (const store_item& item : aStore.mHistory) {
      if (item.mRevision > after &&
          item.mKey.compare(0, prefix.size(), prefix) == 0) {
        body["events"].append(ToJson(item));
      }
    }
    if (body["events"].empty()) {
      // Waits in steps, so that changed faults and expired leases are noticed.
      aStore.mChanged.wait_for(lock, std::chrono::milliseconds(50));
      ExpireLeasesLocked(aStore);
    }
  }
  body["store_revision"] = Json::UInt64(aStore.mRevision);
  SendResponse(aResponse, aStore.mIsDown ? 503 : 200, body);
}

// Returns whether an item is not at its expected revision. Stores the items
// that exist, whether they match or not, in aItems.
bool HasConflict(users_store& aStore, const Json::Value& aExpected,
                 Json::Value& aItems)
{
  bool conflict = false;
  aItems = Json::Value(Json::arrayValue);
  for (const Json::Value& row : aExpected) {
    const auto found = aStore.mItems.find(row["key"].asString());
    const std::uint64_t revision =
      found == aStore.mItems.end() ? 0 : found->second.mRevision;
    conflict = conflict || revision != row["revision"].asUInt64();
    if (found != aStore.mItems.end()) {
      aItems.append(ToJson(found->second));
    }
  }
  return conflict;
}

void HandleTransaction(users_store& aStore, const httplib::Request& aRequest,
                       httplib::Response& aResponse)
{
  const Json::Value call = ParseJson(aRequest.body);
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  ++aStore.mWrites;
  Json::Value body;
  if (HasConflict(aStore, call["expected_revision"], body["items"])) {
    SendResponse(aResponse, 412, body);
    return;
  }
  for (const Json::Value& put : call["puts"]) {
    const std::uint64_t lease = put["lease"].asUInt64();
    if (lease != 0 && aStore.mLeases.count(lease) == 0) {
      SendResponse(aResponse, 404, Json::Value(Json::objectValue));
      return;
    }
  }
  ++aStore.mRevision;
  for (const Json::Value& put : call["puts"]) {
    PutLocked(aStore, put["key"].asString(), put["value"].asString(),
              put["lease"].asUInt64());
  }
  for (const Json::Value& key : call["remove"]) {
    RemoveLocked(aStore, key.asString());
  }
  aStore.mChanged.notify_all();
  body = Json::Value(Json::objectValue);
  body["revision"] = Json::UInt64(aStore.mRevision);
  SendResponse(aResponse, aStore.mLosesResponses ? 500 : 200, body);
}

void HandleNewLease(users_store& aStore, const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  const Json::Value call = ParseJson(aRequest.body);
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  const std::uint64_t lease = aStore.mNextLease++;
  aStore.mLeases[lease] =
    steady_clock::now() + std::chrono::milliseconds(call["ttl_ms"].asInt64());
  Json::Value body = call;
  body["lease"] = Json::UInt64(lease);
  SendResponse(aResponse, 200, body);
}

void HandleRenewLease(users_store& aStore, const httplib::Request& aRequest,
                      httplib::Response& aResponse)
{
  ++aStore.mRenewals;
  const std::uint64_t lease = std::stoull(aRequest.matches[1]);
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  const bool isHeld = aStore.mLeases.count(lease) > 0;
  if (isHeld) {
    aStore.mLeases[lease] = steady_clock::now() + std::chrono::minutes(1);
  }
  SendResponse(aResponse, isHeld ? 200 : 404, Json::Value(Json::objectValue));
}

void HandleEndLease(users_store& aStore, const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  EndLeaseLocked(aStore, std::stoull(aRequest.matches[1]));
  SendResponse(aResponse, 200, Json::Value(Json::objectValue));
}

// Records the connection of a call. If it is silent, waits until the store
// stops.
void AwaitAudible(users_store& aStore, int aRemotePort)
{
  std::unique_lock<std::mutex> lock(aStore.mMutex);
  aStore.mConnections.insert(aRemotePort);
  if (aStore.mIsSilent) {
    aStore.mSilentConnections.insert(aRemotePort);
  }
  while (aStore.mSilentConnections.count(aRemotePort) > 0 &&
         !aStore.mIsStopping) {
    aStore.mChanged.wait_for(lock, std::chrono::milliseconds(50));
  }
}

// --- Server -----------------------------------------------------------------

std::string MakeStreamBody(int aFirst, int aEvents)
{
  std::string body;
  for (int i = aFirst; i <= aEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: token\n\n";
  }
  return body;
}

void RecordRun(users_server& aServer, const httplib::Request& aRequest,
               const std::string& aAttempt)
{
  const std::lock_guard<std::mutex> lock(aServer.mMutex);
  ++aServer.mRuns[aAttempt];
  aServer.mReceivedKeys += aRequest.has_header("Authorization") ? 1 : 0;
  const std::string counts =
    aRequest.get_header_value("Foxtailquay-Token-Count");
  if (!counts.empty()) {
    aServer.mTokens +=
      std::stoll(counts) + aServer.mEvents * std::int64_t{ kTokensPerEvent };
  }
}

// Ends the process as a crash does, after aMoment of the response.
void CrashDuringResponse(crash_moment aMoment, httplib::Response& aResponse)
{
  constexpr std::chrono::milliseconds kRunTime{ 30 };
  const auto crash = [kRunTime] {
    std::this_thread::sleep_for(kRunTime);
    std::_Exit(EXIT_FAILURE);
  };
  // Tests count these lines in the log of the process.
  std::cout << ToName(aMoment) << std::endl;
  if (aMoment == crash_moment::BeforeResponse) {
    crash();
  }
  aResponse.set_chunked_content_provider(
    "text/event-stream",
    [aMoment, crash](std::size_t, httplib::DataSink& aSink) {
      if (aMoment == crash_moment::AfterFirstEvent) {
        const std::string event = MakeStreamBody(1, 1);
        aSink.write(event.data(), event.size());
      }
      crash();
      return false;
    });
}

void HandleRequest(users_server& aServer, const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const std::string attempt =
    aRequest.get_header_value("Foxtailquay-Attempt-Id");
  aResponse.set_header("Foxtailquay-Attempt-Id", attempt);
  if (aRequest.get_header_value("Foxtailquay-Expect-Instance") != aServer.mId) {
    aResponse.status = 421;
    return;
  }
  RecordRun(aServer, aRequest, attempt);
  std::this_thread::sleep_for(std::chrono::milliseconds(aServer.mDelayMs));
  aResponse.set_header("Foxtailquay-Server-Seal", "seal-" + attempt);
  aResponse.set_header("Foxtailquay-Server-Load", "1,0,8");
  if (const auto moment = FromName<crash_moment>(aRequest.body);
      moment && aServer.mCanCrash) {
    CrashDuringResponse(*moment, aResponse);
    return;
  }
  if (aServer.mColdMs >= 0) {
    aResponse.set_header("Foxtailquay-Cold-Ms",
                         std::to_string(aServer.mColdMs));
  }
  if (aRequest.path.find("/chat/") == 0) {
    aResponse.set_content(MakeStreamBody(1, aServer.mEvents),
                          "text/event-stream");
  } else if (aServer.mBodyBytes > 0) {
    aResponse.set_content(std::string(aServer.mBodyBytes, 'x'), "text/plain");
  } else {
    aResponse.set_content("done " + attempt, "text/plain");
  }
}

// Waits until the server on aPort responds, with any status. Its stop() has no
// effect before.
void AwaitRunning(int aPort)
{
  httplib::Client client("127.0.0.1", aPort);
  while (!client.Get("/")) {
  }
}

} // namespace

void StartStore(users_store& aStore)
{
  auto& http = aStore.mHttp;
  http.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  http.set_keep_alive_max_count(100000);
  http.set_pre_routing_handler(
    [&aStore](const httplib::Request&, httplib::Response& aResponse) {
      if (!aStore.mIsDown) {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      aResponse.status = 503;
      return httplib::Server::HandlerResponse::Handled;
    });
  const auto bind = [&aStore](auto aHandler) {
    return [&aStore, aHandler](const httplib::Request& aRequest,
                               httplib::Response& aResponse) {
      AwaitAudible(aStore, aRequest.remote_port);
      aHandler(aStore, aRequest, aResponse);
      // The connection may have become silent while the call waited.
      AwaitAudible(aStore, aRequest.remote_port);
    };
  };
  http.Get("/-/kv-range", bind(&HandleRange));
  http.Get("/-/kv-watch", bind(&HandleWatch));
  http.Post("/-/kv-txn", bind(&HandleTransaction));
  http.Post("/-/kv-lease", bind(&HandleNewLease));
  http.Post(R"(/-/kv-keep/(\d+))", bind(&HandleRenewLease));
  http.Delete(R"(/-/kv-lease-end/(\d+))", bind(&HandleEndLease));
  aStore.mPort = http.bind_to_any_port("127.0.0.1");
  aStore.mThread = std::thread([&http] { http.listen_after_bind(); });
  AwaitRunning(aStore.mPort);
}

void StopStore(users_store& aStore)
{
  aStore.mIsStopping = true;
  aStore.mHttp.stop();
  aStore.mThread.join();
}

void PutItem(users_store& aStore, const std::string& aKey,
             const Json::Value& aValue)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  ++aStore.mRevision;
  if (aValue.isNull()) {
    RemoveLocked(aStore, aKey);
  } else {
    PutLocked(aStore, aKey, EncodeBase64(ToText(aValue)), 0);
  }
  aStore.mChanged.notify_all();
}

void RemoveHistory(users_store& aStore)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  aStore.mHistory.clear();
  aStore.mHistoryStart = ++aStore.mRevision;
  aStore.mChanged.notify_all();
}

void SilenceConnections(users_store& aStore)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  aStore.mSilentConnections.insert(aStore.mConnections.begin(),
                                   aStore.mConnections.end());
}

Json::Value ReadItem(users_store& aStore, const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  const auto found = aStore.mItems.find(aKey);
  return found == aStore.mItems.end()
           ? Json::Value()
           : ParseJson(DecodeBase64(found->second.mValue));
}

void StartServer(users_server& aServer, const std::string& aId)
{
  aServer.mId = aId;
  auto& http = aServer.mHttp;
  const auto handler = [&aServer](const httplib::Request& aRequest,
                                  httplib::Response& aResponse) {
    HandleRequest(aServer, aRequest, aResponse);
  };
  http.Post(".*", handler);
  http.Get(".*", handler);
  if (aServer.mPort == 0) {
    aServer.mPort = http.bind_to_any_port("127.0.0.1");
  } else {
    // As reserved_port sets it; the library sets another option by default.
    http.set_socket_options([](socket_t aSocket) {
      const int yes = 1;
      setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    http.bind_to_port("127.0.0.1", aServer.mPort);
  }
  aServer.mThread = std::thread([&http] { http.listen_after_bind(); });
  AwaitRunning(aServer.mPort);
}

void StopServer(users_server& aServer)
{
  aServer.mHttp.stop();
  aServer.mThread.join();
}

void RegisterServer(users_store& aStore, const users_server& aServer,
                    const std::string& aService, const std::string& aState)
{
  RegisterServer(aStore, aServer.mId, aServer.mPort, aService, aState, 1);
}

void RegisterServer(users_store& aStore, const std::string& aId, int aPort,
                    const std::string& aService, const std::string& aState,
                    std::int64_t aStartedMs)
{
  Json::Value entry;
  entry["service"] = aService;
  entry["address"] = "127.0.0.1:" + std::to_string(aPort);
  entry["zone"] = "z-a";
  entry["slots"] = 8;
  entry["state"] = aState;
  entry["born"] = Json::Int64(aStartedMs);
  PutItem(aStore, "servers/" + aId, entry);
}

} // namespace foxtailquay
