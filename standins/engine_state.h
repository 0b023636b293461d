// State of the model engine stand-in: slots, prefix cache, load history and
// records of runs. Functions that take the engine need mMutex held, unless
// they say otherwise.

#ifndef STANDINS_ENGINE_STATE_H
#define STANDINS_ENGINE_STATE_H

#include <cstdint>
#include <list>
#include <set>

#include "stand_in.h"

namespace standins {

enum class fencing
{
  Honours,
  Ignores,
};

constexpr std::pair<fencing, std::string_view> kFencingNames[] = {
  { fencing::Honours, "honours" },
  { fencing::Ignores, "ignores" }
};

enum class cache_events
{
  Normal,
  Late,
  Gaps,
};

constexpr std::pair<cache_events, std::string_view> kCacheEventNames[] = {
  { cache_events::Normal, "normal" },
  { cache_events::Late, "late" },
  { cache_events::Gaps, "gaps" }
};

struct engine_faults
{
  fencing mFencing = fencing::Ignores;
  int mLoadLagMs = 0;
  cache_events mCacheEvents = cache_events::Normal;
  int mFailRequests = 0;
  int mBreakAfterTokens = 0;
  int mTokenDelayMs = 0;
  // Runs stop before the token after this one until the fault is cleared.
  int mHoldAfterTokens = 0;
};

std::vector<fault_field> ListFields(engine_faults& aFaults);

enum class run_state
{
  Running,
  Finished,
  // The client closed the connection.
  Cancelled,
  // Broken off by the fault break_after_tokens.
  Broken,
};

std::string_view ToName(run_state aState);

// One run, kept for GET /ran.
struct run_record
{
  std::string mRequestId;
  std::string mModel;
  run_state mState = run_state::Running;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
  int mCompletionTokens = 0;
};

// A cached prefix, also for a while after its eviction, so that the load
// report can lag behind.
struct cached_prefix
{
  std::uint64_t mHash = 0;
  steady::time_point mAdded;
  // The maximum while it is cached.
  steady::time_point mRemoved = steady::time_point::max();
};

struct load_sample
{
  steady::time_point mAt;
  int mRunning = 0;
  int mQueued = 0;
};

struct engine_options
{
  int mSlots = 8;
  int mPrefillTokensPerSecond = 20000;
  int mCachedPrefixes = 64;
  int mAnswerTokens = 32;
};

struct engine
{
  engine_options mOptions;
  std::mutex mMutex;
  // Signalled when a slot becomes free or a fault changes.
  std::condition_variable mChanged;
  // All guarded by mMutex.
  engine_faults mFaults;
  int mRunning = 0;
  // Waiting runs: priority, then arrival.
  std::set<std::pair<int, std::uint64_t>> mQueue;
  std::uint64_t mArrivals = 0;
  // Most recently used first; the evicted ones are at the back.
  std::list<cached_prefix> mCache;
  std::deque<load_sample> mHistory;
  std::set<std::string> mModels;
  std::string mRole;
  std::vector<run_record> mRan;
  std::uint64_t mHighestFence = 0;
  // Every command that was carried out, in order.
  std::vector<std::pair<std::uint64_t, std::string>> mCommands;
};

// Waits for a slot; lower priorities first. aLock holds mMutex.
void TakeSlot(engine& aEngine, std::unique_lock<std::mutex>& aLock,
              int aPriority);
void FreeSlot(engine& aEngine);

// Number of prompt tokens; at most the number of bytes.
int CountTokens(std::string_view aPrompt);

// Looks the prompt up in the prefix cache, then adds its prefixes. Returns
// the number of prompt tokens that were cached.
int UsePrefixes(engine& aEngine, std::string_view aPrompt);

// The answer to GET /load.
Json::Value ReportLoad(engine& aEngine);

// The answer to GET /ran.
Json::Value ReportRuns(const engine& aEngine);

enum class command_outcome
{
  Done,
  Stale,
  Unknown,
};

// Carries out "load NAME", "unload NAME" or "role NAME".
command_outcome Command(engine& aEngine, std::uint64_t aFence,
                        const std::string& aCommand);

} // namespace standins

#endif
