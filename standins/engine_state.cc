#include "engine_state.h"

#include <algorithm>

#include "xxhash.h"

namespace standins {

namespace {

constexpr std::size_t kFirstPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
// How far the fault "late" puts cache events behind the load report.
constexpr std::chrono::seconds kCacheDelay{ 2 };
// Load samples and evicted prefixes older than this are forgotten.
constexpr std::chrono::seconds kHistory{ 60 };

void NoteLoad(engine& aEngine)
{
  const auto now = steady::now();
  aEngine.mHistory.push_back(
    { now, aEngine.mRunning, static_cast<int>(aEngine.mQueue.size()) });
  while (aEngine.mHistory.size() > 1 &&
         aEngine.mHistory[1].mAt < now - kHistory) {
    aEngine.mHistory.pop_front();
  }
}

// Hashes of the first 256, 512, 1024, ... bytes, shortest first.
std::vector<std::pair<std::size_t, std::uint64_t>> PrefixesOf(
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

// Makes a prefix the most recently used one. Returns true if it was cached.
bool Touch(engine& aEngine, std::uint64_t aHash)
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

// Marks the least recently used prefixes above the limit as removed.
void Evict(engine& aEngine)
{
  const auto now = steady::now();
  int kept = 0;
  for (cached_prefix& prefix : aEngine.mCache) {
    if (IsCached(prefix) && ++kept > aEngine.mOptions.mCachedPrefixes) {
      prefix.mRemoved = now;
    }
  }
  aEngine.mCache.remove_if([now](const cached_prefix& aPrefix) {
    return !IsCached(aPrefix) && aPrefix.mRemoved < now - kHistory;
  });
}

Json::Value ReportPrefixes(const engine& aEngine, steady::time_point aAt)
{
  const auto events = aEngine.mFaults.mCacheEvents;
  const auto at = events == cache_events::Late ? aAt - kCacheDelay : aAt;
  Json::Value json(Json::arrayValue);
  for (const cached_prefix& prefix : aEngine.mCache) {
    const bool missed = events == cache_events::Gaps && prefix.mHash % 3 == 0;
    if (!missed && prefix.mAdded <= at && prefix.mRemoved > at) {
      json.append(Json::UInt64{ prefix.mHash });
    }
  }
  return json;
}

} // namespace

std::vector<fault_field> ListFields(engine_faults& aFaults)
{
  return { Choice("fencing", aFaults.mFencing, kFencingNames),
           Count("load_lag_ms", aFaults.mLoadLagMs),
           Choice("cache_events", aFaults.mCacheEvents, kCacheEventNames),
           Count("fail_requests", aFaults.mFailRequests),
           Count("break_after_tokens", aFaults.mBreakAfterTokens),
           Count("token_delay_ms", aFaults.mTokenDelayMs),
           Count("hold_after_tokens", aFaults.mHoldAfterTokens) };
}

std::string_view ToName(run_state aState)
{
  constexpr std::string_view kNames[] = { "running", "finished", "cancelled",
                                          "broken" };
  return kNames[static_cast<std::size_t>(aState)];
}

void TakeSlot(engine& aEngine, std::unique_lock<std::mutex>& aLock,
              int aPriority)
{
  const std::pair<int, std::uint64_t> place(aPriority, ++aEngine.mArrivals);
  aEngine.mQueue.insert(place);
  NoteLoad(aEngine);
  aEngine.mChanged.wait(aLock, [&aEngine, &place] {
    return aEngine.mRunning < aEngine.mOptions.mSlots &&
           *aEngine.mQueue.begin() == place;
  });
  aEngine.mQueue.erase(place);
  ++aEngine.mRunning;
  NoteLoad(aEngine);
  // The next in the queue may fit too.
  aEngine.mChanged.notify_all();
}

void FreeSlot(engine& aEngine)
{
  --aEngine.mRunning;
  NoteLoad(aEngine);
  aEngine.mChanged.notify_all();
}

int CountTokens(std::string_view aPrompt)
{
  return static_cast<int>((aPrompt.size() + kBytesPerToken - 1) /
                          kBytesPerToken);
}

int UsePrefixes(engine& aEngine, std::string_view aPrompt)
{
  std::size_t cachedBytes = 0;
  for (const auto& [size, hash] : PrefixesOf(aPrompt)) {
    if (Touch(aEngine, hash)) {
      cachedBytes = size;
    }
  }
  Evict(aEngine);
  return static_cast<int>(cachedBytes / kBytesPerToken);
}

Json::Value ReportLoad(engine& aEngine)
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
  json["cached_prefixes"] = ReportPrefixes(aEngine, at);
  json["loaded_models"] = Json::Value(Json::arrayValue);
  for (const std::string& model : aEngine.mModels) {
    json["loaded_models"].append(model);
  }
  return json;
}

Json::Value ReportRuns(const engine& aEngine)
{
  Json::Value json;
  json["ran"] = Json::Value(Json::arrayValue);
  for (const run_record& run : aEngine.mRan) {
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
  for (const auto& [fence, command] : aEngine.mCommands) {
    Json::Value entry;
    entry["fencing_number"] = Json::UInt64{ fence };
    entry["command"] = command;
    json["commands"].append(entry);
  }
  json["role"] = aEngine.mRole;
  return json;
}

command_outcome Command(engine& aEngine, std::uint64_t aFence,
                        const std::string& aCommand)
{
  if (aEngine.mFaults.mFencing == fencing::Honours &&
      aFence < aEngine.mHighestFence) {
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
  aEngine.mHighestFence = std::max(aEngine.mHighestFence, aFence);
  aEngine.mCommands.emplace_back(aFence, aCommand);
  return command_outcome::Done;
}

} // namespace standins
