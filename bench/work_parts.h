// State of the simulation of work_sim.h, shared by its source files.

#ifndef FOXTAILQUAY_BENCH_WORK_PARTS_H
#define FOXTAILQUAY_BENCH_WORK_PARTS_H

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "core/routing.h"
#include "work_sim.h"

namespace foxtailquay {

constexpr const char* kWorkService = "loom-7b";
inline const absl::Time kWorkStart = absl::FromUnixSeconds(1000);
constexpr token_count kWorkTokensPerEvent = 8;
constexpr std::size_t kWorkZones = 3;

enum class sim_kind
{
  Arrive,
  Reach,
  Step,
  First,
  End,
  Report,
  Tick,
  Slowness,
};

struct sim_item
{
  absl::Time mAt;
  std::uint64_t mOrder = 0;
  sim_kind mKind = sim_kind::Arrive;
  std::size_t mSubject = 0;

  friend bool operator>(const sim_item& aLeft, const sim_item& aRight)
  {
    return std::tie(aLeft.mAt, aLeft.mOrder) >
           std::tie(aRight.mAt, aRight.mOrder);
  }
};

struct sim_call
{
  std::size_t mGateway = 0;
  std::size_t mServer = 0;
  absl::Time mSentAt;
  absl::Time mFirstAt;
  absl::Time mEndAt;
  absl::Duration mObjective;
  token_count mOutput = 0;
  absl::Duration mCallTime;
  routing_query mQuery;
  token_count mUncached = 0;
  waiting_prompt mPrompt;
  bool mHasWaited = false;
  // At the server.
  double mPromptLeft = 0;
  token_count mProduced = 0;
  // What its response states.
  int mStatedRunning = 0;
  int mStatedQueued = 0;
  double mStatedSlowness = 1;
};

struct sim_server
{
  double mSpeed = 1;
  double mSlowness = 1;
  bool mIsStepping = false;
  std::deque<std::size_t> mWaiting;
  std::deque<std::size_t> mPrompts;
  std::vector<std::size_t> mRunning;
  // Cached parts, most recently used first, with their tokens.
  std::deque<std::pair<std::uint64_t, double>> mCache;
};

// Prompts that a gateway has not reported yet.
struct sim_reports
{
  struct prompt
  {
    std::size_t mServer = 0;
    token_count mTokens = 0;
    std::vector<std::uint64_t> mPrefixes;
  };
  std::vector<prompt> mPrompts;
  absl::Time mDueAt = absl::InfiniteFuture();
  bool mHasLarge = false;
};

struct work_sim
{
  work_sim(const work_fleet_options& aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {}

  const work_fleet_options& mOptions;
  random_engine mRandom;
  absl::Time mNow = kWorkStart;
  std::uint64_t mOrder = 0;
  std::priority_queue<sim_item, std::vector<sim_item>, std::greater<>> mItems;
  std::vector<sim_call> mCalls;
  std::vector<sim_server> mServers;
  std::vector<backend_id> mIds;
  std::vector<std::map<backend_id, backend_view>> mGateways;
  std::vector<work_model> mModels;
  std::vector<sim_reports> mReports;
  std::set<std::uint64_t> mSeenParts;
  routing_options mRouting;
  std::size_t mOpen = 0;
  std::uint64_t mSequence = 0;
  work_result mResult;
};

// Adds an event.
void Schedule(work_sim& aSim, absl::Duration aDelay, sim_kind aKind,
              std::size_t aSubject);
// Returns a random number from 0 to 1.
double Draw(work_sim& aSim);

// Make the servers and the views of the gateways, and all calls of the run.
void MakeServers(work_sim& aSim);
void MakeCalls(work_sim& aSim);
// Returns the options of a gateway (gateway.cc).
routing_options MakeRouting(int aGateways);

} // namespace foxtailquay

#endif
