// standin_platform: a stand-in for the platform's key-value store and VM list,
// in memory. The protocol and the faults are in docs/platform.md.

#include <cstdint>
#include <map>
#include <optional>

#include "gflags/gflags.h"
#include "stand_in.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");

namespace standins {
namespace {

constexpr std::size_t kMaxValueBytes = 1'000'000;
constexpr int kMaxWatchMs = 600'000;

struct platform_faults
{
  bool mDown = false;
  int mDelayMs = 0;
  int mLosesResponses = 0;
  bool mDropWatches = false;
  bool mExpireLeases = false;
};

std::vector<fault_field> ListFields(platform_faults& aFaults)
{
  return { MakeBoolFault("down", aFaults.mDown),
           MakeIntegerFault("delay_ms", aFaults.mDelayMs),
           MakeIntegerFault("lose_answers", aFaults.mLosesResponses),
           MakeBoolFault("drop_watches", aFaults.mDropWatches),
           MakeBoolFault("expire_leases", aFaults.mExpireLeases) };
}

struct stored_value
{
  std::uint64_t mVersion = 0;
  std::string mText;
  std::string mLease;
};

struct lease
{
  std::chrono::milliseconds mTtl{ 0 };
  steady::time_point mExpiresAt;
};

struct call_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mConflicts = 0;
  std::uint64_t mWatches = 0;
};

struct platform
{
  std::mutex mMutex;
  // Notified when a value, a lease or a fault changes.
  std::condition_variable mChanged;
  // The members below are guarded by mMutex.
  std::map<std::string, stored_value> mValues;
  // One counter for all keys, so that no version is used twice, even if a key
  // is deleted and written again.
  std::uint64_t mLastVersion = 0;
  std::map<std::string, lease> mLeases;
  std::uint64_t mLastLease = 0;
  Json::Value mVms{ Json::arrayValue };
  platform_faults mFaults;
  call_counts mCounts;
};

// --- Keys -------------------------------------------------------------------

std::uint64_t FindVersion(const platform& aPlatform, const std::string& aKey)
{
  const auto found = aPlatform.mValues.find(aKey);
  return found == aPlatform.mValues.end() ? 0 : found->second.mVersion;
}

// Returns a query parameter, or nothing if it is missing or not a whole number.
std::optional<std::uint64_t> ParseParameter(const httplib::Request& aRequest,
                                            const char* aName)
{
  const std::string text = aRequest.get_param_value(aName);
  if (text.empty() || text.size() > 19 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(text);
}

void SetVersion(httplib::Response& aResponse, std::uint64_t aVersion)
{
  aResponse.set_header("X-Version", std::to_string(aVersion));
}

void SendValue(const platform& aPlatform, const std::string& aKey,
               httplib::Response& aResponse)
{
  const auto found = aPlatform.mValues.find(aKey);
  if (found == aPlatform.mValues.end()) {
    SendError(aResponse, 404, "no such key");
    return;
  }
  SetVersion(aResponse, found->second.mVersion);
  aResponse.set_content(found->second.mText, "application/json");
}

// Waits until the version of aKey differs from aVersion, for at most aWait ms.
void HandleWatch(platform& aPlatform, std::unique_lock<std::mutex>& aLock,
                 const std::string& aKey, std::uint64_t aVersion,
                 std::uint64_t aWait, httplib::Response& aResponse)
{
  ++aPlatform.mCounts.mWatches;
  const auto deadline =
    steady::now() +
    std::chrono::milliseconds(std::min<std::uint64_t>(aWait, kMaxWatchMs));
  const bool changed = aPlatform.mChanged.wait_until(aLock, deadline, [&] {
    return aPlatform.mFaults.mDown ||
           (!aPlatform.mFaults.mDropWatches &&
            FindVersion(aPlatform, aKey) != aVersion);
  });
  if (aPlatform.mFaults.mDown) {
    SendError(aResponse, 503, "unavailable");
  } else if (changed) {
    SendValue(aPlatform, aKey, aResponse);
  } else {
    SetVersion(aResponse, aVersion);
    aResponse.status = 304;
  }
}

void HandleGet(platform& aPlatform, std::unique_lock<std::mutex>& aLock,
               const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string key = aRequest.matches[1];
  const auto version = ParseParameter(aRequest, "wait_version");
  if (version) {
    HandleWatch(aPlatform, aLock, key, *version,
                ParseParameter(aRequest, "timeout_ms").value_or(0), aResponse);
    return;
  }
  ++aPlatform.mCounts.mReads;
  SendValue(aPlatform, key, aResponse);
}

// Returns whether the request has no if_version or the current one. If not,
// sends a response with status 409, or 400 if it is not a number.
bool AdmitWrite(platform& aPlatform, const std::string& aKey,
                const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const auto requiredVersion = ParseParameter(aRequest, "if_version");
  if (aRequest.has_param("if_version") && !requiredVersion) {
    SendError(aResponse, 400, "if_version is not a number");
    return false;
  }
  const std::uint64_t current = FindVersion(aPlatform, aKey);
  if (requiredVersion && *requiredVersion != current) {
    ++aPlatform.mCounts.mConflicts;
    SetVersion(aResponse, current);
    SendError(aResponse, 409, "version conflict");
    return false;
  }
  return true;
}

// Notifies the watches of a write that took effect, and sends the response
// unless the fault lose_answers is set.
void FinishWrite(platform& aPlatform, httplib::Response& aResponse,
                 std::uint64_t aVersion)
{
  ++aPlatform.mCounts.mWrites;
  aPlatform.mChanged.notify_all();
  if (aPlatform.mFaults.mLosesResponses > 0) {
    --aPlatform.mFaults.mLosesResponses;
    InterruptResponse(aResponse);
    return;
  }
  SetVersion(aResponse, aVersion);
  SendResponse(aResponse, 200, Json::Value(Json::objectValue));
}

void HandlePut(platform& aPlatform, std::unique_lock<std::mutex>& /*aLock*/,
               const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const std::string key = aRequest.matches[1];
  const std::string leaseId = aRequest.get_param_value("lease");
  if (aRequest.body.size() > kMaxValueBytes) {
    SendError(aResponse, 413, "the value is too large");
  } else if (!leaseId.empty() && aPlatform.mLeases.count(leaseId) == 0) {
    SendError(aResponse, 404, "no such lease");
  } else if (AdmitWrite(aPlatform, key, aRequest, aResponse)) {
    const std::uint64_t version = ++aPlatform.mLastVersion;
    aPlatform.mValues[key] = { version, aRequest.body, leaseId };
    FinishWrite(aPlatform, aResponse, version);
  }
}

void HandleDelete(platform& aPlatform, std::unique_lock<std::mutex>& /*aLock*/,
                  const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const std::string key = aRequest.matches[1];
  if (FindVersion(aPlatform, key) == 0) {
    SendError(aResponse, 404, "no such key");
  } else if (AdmitWrite(aPlatform, key, aRequest, aResponse)) {
    aPlatform.mValues.erase(key);
    FinishWrite(aPlatform, aResponse, 0);
  }
}

// --- Leases -----------------------------------------------------------------

void EndLease(platform& aPlatform, const std::string& aId)
{
  for (auto it = aPlatform.mValues.begin(); it != aPlatform.mValues.end();) {
    it = it->second.mLease == aId ? aPlatform.mValues.erase(it) : ++it;
  }
  aPlatform.mLeases.erase(aId);
  aPlatform.mChanged.notify_all();
}

// Returns the lease that expires first, or null if there is none.
const std::pair<const std::string, lease>* FindNextLease(
  const platform& aPlatform)
{
  const std::pair<const std::string, lease>* first = nullptr;
  for (const auto& entry : aPlatform.mLeases) {
    if (first == nullptr ||
        entry.second.mExpiresAt < first->second.mExpiresAt) {
      first = &entry;
    }
  }
  return first;
}

// Removes leases and their keys when they expire. Runs on a separate thread.
void RunLeaseExpiry(platform& aPlatform)
{
  std::unique_lock<std::mutex> lock(aPlatform.mMutex);
  while (true) {
    const auto* first = FindNextLease(aPlatform);
    if (first == nullptr) {
      aPlatform.mChanged.wait(lock);
    } else if (aPlatform.mFaults.mExpireLeases ||
               first->second.mExpiresAt <= steady::now()) {
      EndLease(aPlatform, std::string(first->first));
    } else {
      const auto end = first->second.mExpiresAt;
      aPlatform.mChanged.wait_until(lock, end);
    }
  }
}

void HandleNewLease(platform& aPlatform,
                    std::unique_lock<std::mutex>& /*aLock*/,
                    const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  Json::Value body;
  if (!ParseObjectBody(aRequest, aResponse, body)) {
    return;
  }
  if (!body["ttl_ms"].isInt() || body["ttl_ms"].asInt() <= 0) {
    SendError(aResponse, 400, "ttl_ms is not a positive number");
    return;
  }
  const std::chrono::milliseconds ttl(body["ttl_ms"].asInt());
  const std::string id = std::to_string(++aPlatform.mLastLease);
  aPlatform.mLeases[id] = { ttl, steady::now() + ttl };
  aPlatform.mChanged.notify_all();
  Json::Value json;
  json["id"] = id;
  SendResponse(aResponse, 200, json);
}

void HandleRenewLease(platform& aPlatform,
                      std::unique_lock<std::mutex>& /*aLock*/,
                      const httplib::Request& aRequest,
                      httplib::Response& aResponse)
{
  const auto found = aPlatform.mLeases.find(aRequest.matches[1]);
  if (found == aPlatform.mLeases.end()) {
    SendError(aResponse, 404, "no such lease");
    return;
  }
  found->second.mExpiresAt = steady::now() + found->second.mTtl;
  SendResponse(aResponse, 200, Json::Value(Json::objectValue));
}

void HandleEndLease(platform& aPlatform,
                    std::unique_lock<std::mutex>& /*aLock*/,
                    const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  const std::string id = aRequest.matches[1];
  if (aPlatform.mLeases.count(id) == 0) {
    SendError(aResponse, 404, "no such lease");
    return;
  }
  EndLease(aPlatform, id);
  SendResponse(aResponse, 200, Json::Value(Json::objectValue));
}

// --- VM list and checks -----------------------------------------------------

void HandleGetVms(platform& aPlatform, std::unique_lock<std::mutex>& /*aLock*/,
                  const httplib::Request& /*aRequest*/,
                  httplib::Response& aResponse)
{
  Json::Value json;
  json["vms"] = aPlatform.mVms;
  SendResponse(aResponse, 200, json);
}

void HandleSetVms(platform& aPlatform, const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  Json::Value body;
  if (!ParseObjectBody(aRequest, aResponse, body)) {
    return;
  }
  if (!body["vms"].isArray()) {
    SendError(aResponse, 400, "vms is not an array");
    return;
  }
  aPlatform.mVms = body["vms"];
  SendResponse(aResponse, 200, body);
}

void SendCallCounts(const platform& aPlatform, httplib::Response& aResponse)
{
  Json::Value json;
  json["reads"] = Json::UInt64{ aPlatform.mCounts.mReads };
  json["writes"] = Json::UInt64{ aPlatform.mCounts.mWrites };
  json["conflicts"] = Json::UInt64{ aPlatform.mCounts.mConflicts };
  json["watches"] = Json::UInt64{ aPlatform.mCounts.mWatches };
  json["keys"] = Json::Value(Json::objectValue);
  for (const auto& [key, value] : aPlatform.mValues) {
    json["keys"][key] = Json::UInt64{ value.mVersion };
  }
  SendResponse(aResponse, 200, json);
}

// --- Server -----------------------------------------------------------------

using handler = void (*)(platform&, std::unique_lock<std::mutex>&,
                         const httplib::Request&, httplib::Response&);

// Returns a handler that applies the faults and calls aHandler with the mutex
// held.
httplib::Server::Handler WithFaults(platform& aPlatform, handler aHandler)
{
  return [&aPlatform, aHandler](const httplib::Request& aRequest,
                                httplib::Response& aResponse) {
    std::unique_lock<std::mutex> lock(aPlatform.mMutex);
    const int delay = aPlatform.mFaults.mDelayMs;
    if (delay > 0) {
      lock.unlock();
      WaitMilliseconds(delay);
      lock.lock();
    }
    if (aPlatform.mFaults.mDown) {
      SendError(aResponse, 503, "unavailable");
      return;
    }
    aHandler(aPlatform, lock, aRequest, aResponse);
  };
}

void AddProtocolHandlers(platform& aPlatform, httplib::Server& aServer)
{
  aServer.Get(R"(/v1/kv/(.+))", WithFaults(aPlatform, &HandleGet));
  aServer.Put(R"(/v1/kv/(.+))", WithFaults(aPlatform, &HandlePut));
  aServer.Delete(R"(/v1/kv/(.+))", WithFaults(aPlatform, &HandleDelete));
  aServer.Post("/v1/leases", WithFaults(aPlatform, &HandleNewLease));
  aServer.Post(R"(/v1/leases/(\d+)/renew)",
               WithFaults(aPlatform, &HandleRenewLease));
  aServer.Delete(R"(/v1/leases/(\d+))", WithFaults(aPlatform, &HandleEndLease));
  aServer.Get("/v1/vms", WithFaults(aPlatform, &HandleGetVms));
}

void AddControlHandlers(platform& aPlatform, httplib::Server& aServer)
{
  aServer.Post("/vms", [&aPlatform](const httplib::Request& aRequest,
                                    httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aPlatform.mMutex);
    HandleSetVms(aPlatform, aRequest, aResponse);
  });
  aServer.Get("/ran", [&aPlatform](const httplib::Request&,
                                   httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aPlatform.mMutex);
    SendCallCounts(aPlatform, aResponse);
  });
  aServer.Post("/fault", [&aPlatform](const httplib::Request& aRequest,
                                      httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aPlatform.mMutex);
    if (HandleFault(aRequest, aResponse, aPlatform.mFaults)) {
      aPlatform.mChanged.notify_all();
    }
  });
}

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::platform platform;
  httplib::Server server;
  standins::AddProtocolHandlers(platform, server);
  standins::AddControlHandlers(platform, server);
  std::thread([&platform] { standins::RunLeaseExpiry(platform); }).detach();
  return standins::RunServer(server, FLAGS_port);
}
