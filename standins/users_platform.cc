#include "users_platform.h"

#include <sstream>

#include <openssl/evp.h>

namespace foxtailquay {

namespace {

using std::chrono::steady_clock;

// Calls that wait at once: three watches for each of a few gateways.
constexpr std::size_t kThreads = 48;
constexpr int kTokensPerEvent = 7;

std::string WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value ReadJson(const std::string& aText)
{
  Json::Value value;
  std::istringstream text(aText);
  std::string problem;
  Json::parseFromStream(Json::CharReaderBuilder(), text, &value, &problem);
  return value;
}

std::string ToBase64(const std::string& aText)
{
  std::string encoded(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  encoded.resize(static_cast<std::size_t>(size));
  return encoded;
}

std::string FromBase64(const std::string& aText)
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
  if (aItem.mIsGone) {
    value["tombstone"] = true;
    return value;
  }
  value["value"] = aItem.mValue;
  value["created"] = Json::UInt64(aItem.mCreated);
  value["lease"] = Json::UInt64(aItem.mLease);
  return value;
}

// All of these need the mutex.

void PutLocked(users_store& aStore, const std::string& aKey,
               const std::string& aValue, std::uint64_t aLease)
{
  store_item& item = aStore.mItems[aKey];
  item.mCreated = item.mRevision == 0 ? aStore.mRevision : item.mCreated;
  item.mKey = aKey;
  item.mValue = aValue;
  item.mRevision = aStore.mRevision;
  item.mLease = aLease;
  aStore.mHistory.push_back(item);
}

void RemoveLocked(users_store& aStore, const std::string& aKey)
{
  if (aStore.mItems.erase(aKey) > 0) {
    store_item gone;
    gone.mKey = aKey;
    gone.mRevision = aStore.mRevision;
    gone.mIsGone = true;
    aStore.mHistory.push_back(gone);
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

void ExpireLocked(users_store& aStore)
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

void Answer(httplib::Response& aResponse, int aStatus, const Json::Value& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(WriteJson(aBody), "application/json");
}

std::uint64_t NumberParam(const httplib::Request& aRequest, const char* aName)
{
  return std::stoull("0" + aRequest.get_param_value(aName));
}

void OnRange(users_store& aStore, const httplib::Request& aRequest,
             httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  ExpireLocked(aStore);
  const std::string prefix = aRequest.get_param_value("prefix");
  const std::string after = aRequest.get_param_value("after");
  Json::Value body;
  body["items"] = Json::Value(Json::arrayValue);
  body["more_pages"] = false;
  body["store_revision"] = Json::UInt64(aStore.mRevision);
  // Small pages, so that readers meet more than one.
  constexpr Json::ArrayIndex kPage = 2;
  for (const auto& item : aStore.mItems) {
    if (item.first.compare(0, prefix.size(), prefix) != 0 ||
        item.first <= after) {
      continue;
    }
    if (body["items"].size() == kPage) {
      body["more_pages"] = true;
      break;
    }
    body["items"].append(ToJson(item.second));
  }
  Answer(aResponse, 200, body);
}

void OnWatch(users_store& aStore, const httplib::Request& aRequest,
             httplib::Response& aResponse)
{
  const std::string prefix = aRequest.get_param_value("prefix");
  const std::uint64_t after = NumberParam(aRequest, "after");
  const auto end = steady_clock::now() +
                   std::chrono::milliseconds(NumberParam(aRequest, "wait_ms"));
  std::unique_lock<std::mutex> lock(aStore.mMutex);
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  while (body["events"].empty() && steady_clock::now() < end &&
         !aStore.mIsStopping && !aStore.mIsDown) {
    if (after < aStore.mForgotten) {
      Answer(aResponse, 410, Json::Value(Json::objectValue));
      return;
    }
    for (const store_item& item : aStore.mHistory) {
      if (item.mRevision > after &&
          item.mKey.compare(0, prefix.size(), prefix) == 0) {
        body["events"].append(ToJson(item));
      }
    }
    if (body["events"].empty()) {
      // A step, so that switches and leases are looked at.
      aStore.mChanged.wait_for(lock, std::chrono::milliseconds(50));
      ExpireLocked(aStore);
    }
  }
  body["store_revision"] = Json::UInt64(aStore.mRevision);
  Answer(aResponse, aStore.mIsDown ? 503 : 200, body);
}

// Returns the items that are not at their expected revision; false if all are.
bool FindConflict(users_store& aStore, const Json::Value& aExpected,
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

void OnTransaction(users_store& aStore, const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const Json::Value call = ReadJson(aRequest.body);
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  ++aStore.mWrites;
  Json::Value body;
  if (FindConflict(aStore, call["expected_revision"], body["items"])) {
    Answer(aResponse, 412, body);
    return;
  }
  for (const Json::Value& put : call["puts"]) {
    const std::uint64_t lease = put["lease"].asUInt64();
    if (lease != 0 && aStore.mLeases.count(lease) == 0) {
      Answer(aResponse, 404, Json::Value(Json::objectValue));
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
  Answer(aResponse, aStore.mLosesResponses ? 500 : 200, body);
}

void OnLease(users_store& aStore, const httplib::Request& aRequest,
             httplib::Response& aResponse)
{
  const Json::Value call = ReadJson(aRequest.body);
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  const std::uint64_t lease = aStore.mNextLease++;
  aStore.mLeases[lease] =
    steady_clock::now() + std::chrono::milliseconds(call["ttl_ms"].asInt64());
  Json::Value body = call;
  body["lease"] = Json::UInt64(lease);
  Answer(aResponse, 200, body);
}

void OnKeep(users_store& aStore, const httplib::Request& aRequest,
            httplib::Response& aResponse)
{
  const std::uint64_t lease = std::stoull(aRequest.matches[1]);
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  const bool isHeld = aStore.mLeases.count(lease) > 0;
  if (isHeld) {
    aStore.mLeases[lease] = steady_clock::now() + std::chrono::minutes(1);
  }
  Answer(aResponse, isHeld ? 200 : 404, Json::Value(Json::objectValue));
}

void OnEndLease(users_store& aStore, const httplib::Request& aRequest,
                httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  EndLeaseLocked(aStore, std::stoull(aRequest.matches[1]));
  Answer(aResponse, 200, Json::Value(Json::objectValue));
}

// --- Server -----------------------------------------------------------------

std::string StreamBody(int aFirst, int aEvents)
{
  std::string body;
  for (int i = aFirst; i <= aEvents; ++i) {
    body += "id: " + std::to_string(i) + "\ndata: token\n\n";
  }
  return body;
}

void CountRun(users_server& aServer, const httplib::Request& aRequest,
              const std::string& aAttempt)
{
  const std::lock_guard<std::mutex> lock(aServer.mMutex);
  ++aServer.mRuns[aAttempt];
  aServer.mKeysSeen += aRequest.has_header("Authorization") ? 1 : 0;
  const std::string counts =
    aRequest.get_header_value("Foxtailquay-Token-Count");
  if (!counts.empty()) {
    aServer.mTokens +=
      std::stoll(counts) + aServer.mEvents * std::int64_t{ kTokensPerEvent };
  }
}

void OnRequest(users_server& aServer, const httplib::Request& aRequest,
               httplib::Response& aResponse)
{
  const std::string attempt =
    aRequest.get_header_value("Foxtailquay-Attempt-Id");
  aResponse.set_header("Foxtailquay-Attempt-Id", attempt);
  if (aRequest.get_header_value("Foxtailquay-Expect-Instance") != aServer.mId) {
    aResponse.status = 421;
    return;
  }
  CountRun(aServer, aRequest, attempt);
  std::this_thread::sleep_for(std::chrono::milliseconds(aServer.mDelayMs));
  aResponse.set_header("Foxtailquay-Server-Seal", "seal-" + attempt);
  aResponse.set_header("Foxtailquay-Server-Load", "1,0,8");
  if (aRequest.path.find("/chat/") == 0) {
    aResponse.set_content(StreamBody(1, aServer.mEvents), "text/event-stream");
  } else {
    aResponse.set_content("done " + attempt, "text/plain");
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
      aHandler(aStore, aRequest, aResponse);
    };
  };
  http.Get("/-/kv-range", bind(&OnRange));
  http.Get("/-/kv-watch", bind(&OnWatch));
  http.Post("/-/kv-txn", bind(&OnTransaction));
  http.Post("/-/kv-lease", bind(&OnLease));
  http.Post(R"(/-/kv-keep/(\d+))", bind(&OnKeep));
  http.Delete(R"(/-/kv-lease-end/(\d+))", bind(&OnEndLease));
  aStore.mPort = http.bind_to_any_port("127.0.0.1");
  aStore.mThread = std::thread([&http] { http.listen_after_bind(); });
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
    PutLocked(aStore, aKey, ToBase64(WriteJson(aValue)), 0);
  }
  aStore.mChanged.notify_all();
}

void RemoveHistory(users_store& aStore)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  aStore.mHistory.clear();
  aStore.mForgotten = ++aStore.mRevision;
  aStore.mChanged.notify_all();
}

Json::Value ReadItem(users_store& aStore, const std::string& aKey)
{
  const std::lock_guard<std::mutex> lock(aStore.mMutex);
  const auto found = aStore.mItems.find(aKey);
  return found == aStore.mItems.end()
           ? Json::Value()
           : ReadJson(FromBase64(found->second.mValue));
}

void StartServer(users_server& aServer, const std::string& aId)
{
  aServer.mId = aId;
  auto& http = aServer.mHttp;
  const auto handler = [&aServer](const httplib::Request& aRequest,
                                  httplib::Response& aResponse) {
    OnRequest(aServer, aRequest, aResponse);
  };
  http.Post(".*", handler);
  http.Get(".*", handler);
  aServer.mPort = http.bind_to_any_port("127.0.0.1");
  aServer.mThread = std::thread([&http] { http.listen_after_bind(); });
}

void StopServer(users_server& aServer)
{
  aServer.mHttp.stop();
  aServer.mThread.join();
}

void Register(users_store& aStore, const users_server& aServer,
              const std::string& aService, const std::string& aState)
{
  Json::Value entry;
  entry["service"] = aService;
  entry["address"] = "127.0.0.1:" + std::to_string(aServer.mPort);
  entry["zone"] = "z-a";
  entry["slots"] = 8;
  entry["state"] = aState;
  entry["born"] = 1;
  PutItem(aStore, "servers/" + aServer.mId, entry);
}

} // namespace foxtailquay
