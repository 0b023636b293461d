// State of the stand-in for a model engine: slots, prefix cache, load history
// and records of runs. Precondition of all functions with an engine parameter:
// the caller holds its mMutex.

#ifndef STANDINS_ENGINE_STATE_H
#define STANDINS_ENGINE_STATE_H

#include <cstdint>
#include <list>
#include <set>

#include "stand_in.h"

namespace standins {

// Whether the engine refuses commands with an old fencing number.
enum class fencing_mode
{
  Honours,
  Ignores,
};

constexpr std::pair<fencing_mode, std::string_view> kFencingNames[] = {
  { fencing_mode::Honours, "honours" },
  { fencing_mode::Ignores, "ignores" }
};

// How the load report shows changes of the prefix cache: at once, 2 s late, or
// without every third prefix.
enum class cache_event_mode
{
  Normal,
  Late,
  Gaps,
};

constexpr std::pair<cache_event_mode, std::string_view> kCacheEventNames[] = {
  { cache_event_mode::Normal, "normal" },
  { cache_event_mode::Late, "late" },
  { cache_event_mode::Gaps, "gaps" }
};

struct engine_faults
{
  fencing_mode mFencing = fencing_mode::Ignores;
  // Age of the load that is reported.
  int mLoadLagMs = 0;
  cache_event_mode mCacheEvents = cache_event_mode::Normal;
  // Number of requests that are refused with status 500.
  int mFailRequests = 0;
  // Number of tokens after which runs are interrupted; 0: never.
  int mBreakAfterTokens = 0;
  // Time before each token.
  int mTokenDelayMs = 0;
  // Number of tokens after which runs wait until the fault is cleared; 0:
  // never.
  int mHoldAfterTokens = 0;
};

std::vector<fault_field> ListFields(engine_faults& aFaults);

enum class run_state
{
  Running,
  Finished,
  // The client closed the connection.
  Cancelled,
  // Interrupted by the fault break_after_tokens.
  Broken,
};

std::string_view ToName(run_state aState);

// A run, as reported by GET /ran.
struct run_record
{
  std::string mRequestId;
  std::string mModel;
  run_state mState = run_state::Running;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
  int mCompletionTokens = 0;
};

// A prefix in the cache. It is kept for a while after its eviction, so that the
// load report can be delayed.
struct cached_prefix
{
  std::uint64_t mHash = 0;
  steady::time_point mAdded;
  // time_point::max() while the prefix is cached.
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
  int mResponseTokens = 32;
};

struct engine
{
  engine_options mOptions;
  std::mutex mMutex;
  // Notified when a slot becomes free or a fault changes.
  std::condition_variable mChanged;
  // The members below are guarded by mMutex.
  engine_faults mFaults;
  int mRunning = 0;
  // Queued runs as pairs of priority and arrival number; the smallest pair is
  // next.
  std::set<std::pair<int, std::uint64_t>> mQueue;
  std::uint64_t mArrivalCount = 0;
  // Most recently used first.
  std::list<cached_prefix> mCache;
  // The load after each change, oldest first.
  std::deque<load_sample> mHistory;
  std::set<std::string> mModels;
  std::string mRole;
  std::vector<run_record> mExecutedRuns;
  std::uint64_t mHighestFencingNumber = 0;
  // Fencing number and text of all executed commands, in order.
  std::vector<std::pair<std::uint64_t, std::string>> mCommands;
};

// Waits until a slot is free and the run is the first in the queue, which is
// ordered by priority (0 is the highest) and arrival. Precondition: aLock holds
// mMutex.
void AcquireSlot(engine& aEngine, std::unique_lock<std::mutex>& aLock,
                 int aPriority);
void ReleaseSlot(engine& aEngine);

// Returns the number of prompt tokens: one for each 4 bytes, rounded up.
int CountTokens(std::string_view aPrompt);

// Finds the cached prefixes of the prompt and adds the others to the cache.
// Returns the number of prompt tokens that were cached.
int UsePromptPrefixes(engine& aEngine, std::string_view aPrompt);

// Returns the response to GET /load.
Json::Value MakeLoadReport(engine& aEngine);

// Returns the response to GET /ran.
Json::Value MakeRunReport(const engine& aEngine);

enum class command_outcome
{
  Done,
  Stale,
  Unknown,
};

// Executes "load NAME", "unload NAME" or "role NAME". Returns Stale if the
// engine honours fencing and aFencingNumber is below the highest one it has
// seen.
command_outcome ExecuteCommand(engine& aEngine, std::uint64_t aFencingNumber,
                               const std::string& aCommand);

} // namespace standins

#endif
