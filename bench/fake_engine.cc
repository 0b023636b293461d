#include "fake_engine.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// Maximum number of cached prefixes in one load report.
constexpr std::size_t kMaxReportedPrefixes = 64;

// Makes the chunks the most recently used ones and evicts others beyond
// aCacheTokens. Returns the number of tokens of the prefix that was cached.
double AdvanceCache(fake_engine& aEngine, const engine_run& aRun,
                    double aCacheTokens)
{
  const double size =
    aRun.mPromptTokens / static_cast<double>(aRun.mChunks.size());
  double cached = 0;
  bool hit = true;
  for (std::uint64_t chunk : aRun.mChunks) {
    const auto found = aEngine.mCacheIndex.find(chunk);
    hit = hit && found != aEngine.mCacheIndex.end();
    cached += hit ? size : 0;
    if (found != aEngine.mCacheIndex.end()) {
      aEngine.mCachedTokens -= found->second->second;
      aEngine.mCache.erase(found->second);
    }
    aEngine.mCache.emplace_front(chunk, size);
    aEngine.mCacheIndex[chunk] = aEngine.mCache.begin();
    aEngine.mCachedTokens += size;
  }
  while (aEngine.mCachedTokens > aCacheTokens) {
    aEngine.mCachedTokens -= aEngine.mCache.back().second;
    aEngine.mCacheIndex.erase(aEngine.mCache.back().first);
    aEngine.mCache.pop_back();
  }
  return cached;
}

started_run StartRun(fake_engine& aEngine, const engine_run& aRun,
                     const engine_options& aOptions, absl::Time aNow)
{
  ++aEngine.mRunning;
  const double cached = AdvanceCache(aEngine, aRun, aOptions.mCacheTokens);
  aEngine.mPrefillFreeAt = std::max(aNow, aEngine.mPrefillFreeAt) +
                           absl::Seconds((aRun.mPromptTokens - cached) /
                                         aOptions.mPrefillTokensPerSecond);
  const double loadFraction =
    static_cast<double>(aEngine.mRunning) / aOptions.mSlots;
  const absl::Duration token = absl::Seconds(
    aOptions.mTokenSeconds +
    (aOptions.mFullTokenSeconds - aOptions.mTokenSeconds) * loadFraction);
  return { aRun.mRequest, cached, aEngine.mPrefillFreeAt + token,
           aEngine.mPrefillFreeAt + token * aRun.mOutputTokens };
}

} // namespace

int CountRequests(const fake_engine& aEngine)
{
  std::size_t load = static_cast<std::size_t>(aEngine.mRunning);
  for (const auto& queue : aEngine.mQueues) {
    load += queue.size();
  }
  return static_cast<int>(load);
}

void Enqueue(fake_engine& aEngine, engine_run aRun)
{
  aEngine.mQueues[static_cast<std::size_t>(aRun.mPriority)].push_back(
    std::move(aRun));
}

std::vector<started_run> StartRuns(fake_engine& aEngine,
                                   const engine_options& aOptions,
                                   absl::Time aNow)
{
  std::vector<started_run> started;
  for (auto& queue : aEngine.mQueues) {
    while (!queue.empty() && aEngine.mRunning < aOptions.mSlots) {
      started.push_back(StartRun(aEngine, queue.front(), aOptions, aNow));
      queue.pop_front();
    }
  }
  return started;
}

load_report MakeReport(fake_engine& aEngine, const engine_options& aOptions,
                       random_engine& aRandom)
{
  load_report report;
  report.mSequence = ++aEngine.mReportCount;
  report.mRunning = aEngine.mRunning;
  report.mQueued = CountRequests(aEngine) - aEngine.mRunning;
  std::uniform_real_distribution<double> draw(0, 1);
  for (const auto& [chunk, tokens] : aEngine.mCache) {
    if (report.mCachedPrefixes.size() == kMaxReportedPrefixes) {
      break;
    }
    if (draw(aRandom) >= aOptions.mMissingFraction) {
      report.mCachedPrefixes.push_back(chunk);
    }
  }
  return report;
}

} // namespace foxtailquay
