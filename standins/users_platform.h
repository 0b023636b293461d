// Stand-ins for the users' platform: the metadata store with transactions,
// leases and watches, and a server that counts the requests that it executes.
// Both run in the process that uses them and listen on loopback ports.
//
//   users_store store; StartStore(store);
//   PutItem(store, "op/config", json);
//   users_server server; StartServer(server, "i-1");
//   ... StopServer(server); StopStore(store);
//
// Faults are atomic members that may be set from any thread.

#ifndef STANDINS_USERS_PLATFORM_H
#define STANDINS_USERS_PLATFORM_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "foxtailquay/name_table.h"
#include "httplib.h"
#include "json/json.h"

namespace foxtailquay {

struct store_item
{
  std::string mKey;
  // Base64 text, as on the wire.
  std::string mValue;
  std::uint64_t mRevision = 0;
  std::uint64_t mCreatedRevision = 0;
  std::uint64_t mLease = 0;
  // True for a removal; in the history only.
  bool mIsRemoved = false;
};

struct users_store
{
  httplib::Server mHttp;
  std::thread mThread;
  int mPort = 0;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, store_item> mItems;
  std::vector<store_item> mHistory;
  // Watches from before this revision fail, since the history is removed.
  std::uint64_t mHistoryStart = 0;
  std::uint64_t mRevision = 1;
  std::uint64_t mNextLease = 1;
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> mLeases;
  // Responds to every call with status 503.
  std::atomic<bool> mIsDown{ false };
  // Executes writes and responds with status 500, so that the caller does not
  // know their outcome.
  std::atomic<bool> mLosesResponses{ false };
  // Connections on which a call arrives or is answered become silent for good.
  std::atomic<bool> mIsSilent{ false };
  // Remote ports of the connections that have carried a call.
  std::set<int> mConnections;
  // Remote ports of the connections on which nothing is answered any more.
  std::set<int> mSilentConnections;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mWrites{ 0 };
  std::atomic<int> mWatches{ 0 };
  std::atomic<int> mReads{ 0 };
  std::atomic<int> mRenewals{ 0 };
};

void StartStore(users_store& aStore);
void StopStore(users_store& aStore);

// Writes a value as the operator or a server does. A null value removes the
// key.
void PutItem(users_store& aStore, const std::string& aKey,
             const Json::Value& aValue);

// Removes the history, so that all watches end with status 410.
void RemoveHistory(users_store& aStore);

// Makes all open connections silent for good: calls on them get no response.
// New connections work.
void SilenceConnections(users_store& aStore);

// Returns the JSON value of aKey, or null if there is none.
Json::Value ReadItem(users_store& aStore, const std::string& aKey);

struct users_server
{
  httplib::Server mHttp;
  std::thread mThread;
  int mPort = 0;
  std::string mId;
  std::mutex mMutex;
  // Number of runs by attempt id.
  std::map<std::string, int> mRuns;
  // Upper bound of the tokens that the runs have used.
  std::int64_t mTokens = 0;
  // Requests with an API key; gateways must remove it.
  int mReceivedKeys = 0;
  // Time before the response.
  std::atomic<int> mDelayMs{ 0 };
  // Size of the body of a plain response; 0 for a short text.
  std::atomic<std::size_t> mBodyBytes{ 0 };
  // Time for which the server states that it stays cold; none if negative.
  std::atomic<int> mColdMs{ -1 };
  // Number of events in a stream.
  std::atomic<int> mEvents{ 3 };
  // True if a request whose body is the name of a crash_moment ends the process
  // of the server.
  bool mCanCrash = false;
};

// When a request crashes the server that runs it.
enum class crash_moment
{
  BeforeResponse,
  AfterHeaderSection,
  AfterFirstEvent,
};

constexpr auto NameTable(crash_moment)
{
  using m = crash_moment;
  return MakeNameTable<m>(
    { { m::BeforeResponse, "crash_before_response" },
      { m::AfterHeaderSection, "crash_after_header_section" },
      { m::AfterFirstEvent, "crash_after_first_event" } });
}

// Listens on mPort, or on any port if it is 0.
void StartServer(users_server& aServer, const std::string& aId);
void StopServer(users_server& aServer);

// Registers aServer in the store, as the servers of the platform do.
void RegisterServer(users_store& aStore, const users_server& aServer,
                    const std::string& aService, const std::string& aState);
// Registers the server on a port of this machine, which was started at
// aStartedMs.
void RegisterServer(users_store& aStore, const std::string& aId, int aPort,
                    const std::string& aService, const std::string& aState,
                    std::int64_t aStartedMs);

} // namespace foxtailquay

#endif
