#include "engine_state.h"

#include <algorithm>

#include "xxhash.h"

namespace standins {

namespace {

// Length of the shortest prefix in the cache.
constexpr std::size_t kFirstPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
// Delay of cache events behind the load report if the fault cache_events is
// "late".
constexpr std::chrono::seconds kCacheEventDelay{ 2 };
// Time for which load samples and evicted prefixes are kept.
constexpr std::chrono::seconds kHistoryDuration{ 60 };

void RecordLoad(engine& aEngine)
{
  const auto now = steady::now();
  aEngine.mHistory.push_back(
    { now, aEngine.mRunning, static_cast<int>(aEngine.mQueue.size()) });
  while (aEngine.mHistory.size() > 1 &&
         aEngine.mHistory[1].mAt < now - kHistoryDuration) {
    aEngine.mHistory.pop_front();
  }
}

// Returns the lengths and hashes of the prefixes of 256, 512, 1024, ... bytes,
// shortest first.
std::vector<std::pair<std::size_t, std::uint64_t>> ComputePrefixHashes(
  std::string_view aPrompt)
{
  std::vector<std::pair<std::size_t, std::uint64_t>> prefixes;
  for (std::size_t size = kFirstPrefixBytes; size <= aPrompt.size();
       size *= 2) {
    prefixes.emplace_back(size, XXH64(aPrompt.data(), size, 0));
  }
  return prefixes;
}

bool IsCached(const cached_prefix& aPrefix)
{
  return aPrefix.mRemoved == steady::time_point::max();
}

// Makes a prefix the most recently used one and adds it to the cache if it is
// missing. Returns whether it was cached.
bool UsePrefix(engine& aEngine, std::uint64_t aHash)
{
  const auto found =
    std::find_if(aEngine.mCache.begin(), aEngine.mCache.end(),
                 [aHash](const cached_prefix& aPrefix) {
                   return aPrefix.mHash == aHash && IsCached(aPrefix);
                 });
  if (found != aEngine.mCache.end()) {
    aEngine.mCache.splice(aEngine.mCache.begin(), aEngine.mCache, found);
    return true;
  }
  cached_prefix added;
  added.mHash = aHash;
  added.mAdded = steady::now();
  aEngine.mCache.push_front(added);
  return false;
}

// Marks the least recently used prefixes above the limit as removed, and erases
// those that were removed long ago.
void EvictPrefixes(engine& aEngine)
{
  const auto now = steady::now();
  int kept = 0;
  for (cached_prefix& prefix : aEngine.mCache) {
    if (IsCached(prefix) && ++kept > aEngine.mOptions.mCachedPrefixes) {
      prefix.mRemoved = now;
    }
  }
  aEngine.mCache.remove_if([now](const cached_prefix& aPrefix) {
    return !IsCached(aPrefix) && aPrefix.mRemoved < now - kHistoryDuration;
  });
}

// Returns the hashes of the prefixes that were cached at aAt, as the fault
// cache_events shows them.
Json::Value ListReportedPrefixes(const engine& aEngine, steady::time_point aAt)
{
  const auto events = aEngine.mFaults.mCacheEvents;
  const auto at =
    events == cache_event_mode::Late ? aAt - kCacheEventDelay : aAt;
  Json::Value json(Json::arrayValue);
  for (const cached_prefix& prefix : aEngine.mCache) {
    const bool missed =
      events == cache_event_mode::Gaps && prefix.mHash % 3 == 0;
    if (!missed && prefix.mAdded <= at && prefix.mRemoved > at) {
      json.append(Json::UInt64{ prefix.mHash });
    }
  }
  return json;
}

} // namespace

std::vector<fault_field> ListFields(engine_faults& aFaults)
{
  return { MakeEnumFault("fencing", aFaults.mFencing, kFencingNames),
           MakeIntegerFault("load_lag_ms", aFaults.mLoadLagMs),
           MakeEnumFault("cache_events", aFaults.mCacheEvents,
                         kCacheEventNames),
           MakeIntegerFault("fail_requests", aFaults.mFailRequests),
           MakeIntegerFault("break_after_tokens", aFaults.mBreakAfterTokens),
           MakeIntegerFault("token_delay_ms", aFaults.mTokenDelayMs),
           MakeIntegerFault("hold_after_tokens", aFaults.mHoldAfterTokens) };
}

std::string_view ToName(run_state aState)
{
  constexpr std::string_view kNames[] = { "running", "finished", "cancelled",
                                          "broken" };
  return kNames[static_cast<std::size_t>(aState)];
}

void AcquireSlot(engine& aEngine, std::unique_lock<std::mutex>& aLock,
                 int aPriority)
{
  const std::pair<int, std::uint64_t> queueEntry(aPriority,
                                                 ++aEngine.mArrivalCount);
  aEngine.mQueue.insert(queueEntry);
  RecordLoad(aEngine);
  aEngine.mChanged.wait(aLock, [&aEngine, &queueEntry] {
    return aEngine.mRunning < aEngine.mOptions.mSlots &&
           *aEngine.mQueue.begin() == queueEntry;
  });
  aEngine.mQueue.erase(queueEntry);
  ++aEngine.mRunning;
  RecordLoad(aEngine);
  // Another slot may be free for the next run in the queue.
  aEngine.mChanged.notify_all();
}

void ReleaseSlot(engine& aEngine)
{
  --aEngine.mRunning;
  RecordLoad(aEngine);
  aEngine.mChanged.notify_all();
}

int CountTokens(std::string_view aPrompt)
{
  return static_cast<int>((aPrompt.size() + kBytesPerToken - 1) /
                          kBytesPerToken);
}

int UsePromptPrefixes(engine& aEngine, std::string_view aPrompt)
{
  std::size_t cachedBytes = 0;
  for (const auto& [size, hash] : ComputePrefixHashes(aPrompt)) {
    if (UsePrefix(aEngine, hash)) {
      cachedBytes = size;
    }
  }
  EvictPrefixes(aEngine);
  return static_cast<int>(cachedBytes / kBytesPerToken);
}

Json::Value MakeLoadReport(engine& aEngine)
{
  const auto at =
    steady::now() - std::chrono::milliseconds(aEngine.mFaults.mLoadLagMs);
  load_sample seen;
  for (const load_sample& sample : aEngine.mHistory) {
    if (sample.mAt <= at) {
      seen = sample;
    }
  }
  Json::Value json;
  json["running"] = seen.mRunning;
  json["queued"] = seen.mQueued;
  json["cached_prefixes"] = ListReportedPrefixes(aEngine, at);
  json["loaded_models"] = Json::Value(Json::arrayValue);
  for (const std::string& model : aEngine.mModels) {
    json["loaded_models"].append(model);
  }
  return json;
}

Json::Value MakeRunReport(const engine& aEngine)
{
  Json::Value json;
  json["ran"] = Json::Value(Json::arrayValue);
  for (const run_record& run : aEngine.mExecutedRuns) {
    Json::Value entry;
    entry["request_id"] = run.mRequestId;
    entry["model"] = run.mModel;
    entry["state"] = std::string(ToName(run.mState));
    entry["cancelled"] = run.mState == run_state::Cancelled;
    entry["prompt_tokens"] = run.mPromptTokens;
    entry["cached_tokens"] = run.mCachedTokens;
    entry["completion_tokens"] = run.mCompletionTokens;
    json["ran"].append(entry);
  }
  json["commands"] = Json::Value(Json::arrayValue);
  for (const auto& [fencingNumber, command] : aEngine.mCommands) {
    Json::Value entry;
    entry["fencing_number"] = Json::UInt64{ fencingNumber };
    entry["command"] = command;
    json["commands"].append(entry);
  }
  json["role"] = aEngine.mRole;
  return json;
}

command_outcome ExecuteCommand(engine& aEngine, std::uint64_t aFencingNumber,
                               const std::string& aCommand)
{
  if (aEngine.mFaults.mFencing == fencing_mode::Honours &&
      aFencingNumber < aEngine.mHighestFencingNumber) {
    return command_outcome::Stale;
  }
  const auto space = aCommand.find(' ');
  const std::string verb = aCommand.substr(0, space);
  const std::string name =
    space == std::string::npos ? "" : aCommand.substr(space + 1);
  if (name.empty()) {
    return command_outcome::Unknown;
  }
  if (verb == "load") {
    aEngine.mModels.insert(name);
  } else if (verb == "unload") {
    aEngine.mModels.erase(name);
  } else if (verb == "role") {
    aEngine.mRole = name;
  } else {
    return command_outcome::Unknown;
  }
  aEngine.mHighestFencingNumber =
    std::max(aEngine.mHighestFencingNumber, aFencingNumber);
  aEngine.mCommands.emplace_back(aFencingNumber, aCommand);
  return command_outcome::Done;
}

} // namespace standins
