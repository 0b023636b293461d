// Stand-ins of the users' platform, on loopback and in the process that uses
// them: the metadata store with transactions, leases and watches, and a server
// that answers requests and keeps count of what it ran.
//
//   users_store store; StartStore(store);
//   PutItem(store, "op/config", json);
//   users_server server; StartServer(server, "i-1");
//   ... StopServer(server); StopStore(store);
//
// Faults are switches that may be set from any thread.

#ifndef STANDINS_USERS_PLATFORM_H
#define STANDINS_USERS_PLATFORM_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "httplib.h"
#include "json/json.h"

namespace foxtailquay {

struct store_item
{
  std::string mKey;
  // Base64 text, as on the wire.
  std::string mValue;
  std::uint64_t mRevision = 0;
  std::uint64_t mCreated = 0;
  std::uint64_t mLease = 0;
  // In the history only.
  bool mIsGone = false;
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
  // Changes up to this revision are forgotten.
  std::uint64_t mForgotten = 0;
  std::uint64_t mRevision = 1;
  std::uint64_t mNextLease = 1;
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> mLeases;
  // Answers every call with 503.
  std::atomic<bool> mIsDown{ false };
  // Performs writes and answers them with 500, which says nothing.
  std::atomic<bool> mLosesResponses{ false };
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mWrites{ 0 };
};

void StartStore(users_store& aStore);
void StopStore(users_store& aStore);

// Writes as the operator or a server does. Null removes the key.
void PutItem(users_store& aStore, const std::string& aKey,
             const Json::Value& aValue);

// Drops the history and ends all watches.
void RemoveHistory(users_store& aStore);

// The JSON under aKey; null if there is none.
Json::Value ReadItem(users_store& aStore, const std::string& aKey);

struct users_server
{
  httplib::Server mHttp;
  std::thread mThread;
  int mPort = 0;
  std::string mId;
  std::mutex mMutex;
  // Runs by attempt id, and the tokens that they may have cost.
  std::map<std::string, int> mRuns;
  std::int64_t mTokens = 0;
  // Keys that reached the server.
  int mKeysSeen = 0;
  // Time before an answer.
  std::atomic<int> mDelayMs{ 0 };
  // Events of a stream.
  std::atomic<int> mEvents{ 3 };
};

void StartServer(users_server& aServer, const std::string& aId);
void StopServer(users_server& aServer);

// Registers aServer in the store as the platform's servers do.
void Register(users_store& aStore, const users_server& aServer,
              const std::string& aService, const std::string& aState);

} // namespace foxtailquay

#endif
