#include "fake_engine.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// Prefixes named in one load report.
constexpr std::size_t kReportedPrefixes = 64;

// Looks the chunks up and makes them the most recent ones. Returns the tokens
// of the cached prefix.
double UseCache(fake_engine& aEngine, const engine_run& aRun,
                double aCacheTokens)
{
  const double size = aRun.mPrompt / static_cast<double>(aRun.mChunks.size());
  double cached = 0;
  bool hit = true;
  for (std::uint64_t chunk : aRun.mChunks) {
    const auto found = aEngine.mIndex.find(chunk);
    hit = hit && found != aEngine.mIndex.end();
    cached += hit ? size : 0;
    if (found != aEngine.mIndex.end()) {
      aEngine.mCachedTokens -= found->second->second;
      aEngine.mCache.erase(found->second);
    }
    aEngine.mCache.emplace_front(chunk, size);
    aEngine.mIndex[chunk] = aEngine.mCache.begin();
    aEngine.mCachedTokens += size;
  }
  while (aEngine.mCachedTokens > aCacheTokens) {
    aEngine.mCachedTokens -= aEngine.mCache.back().second;
    aEngine.mIndex.erase(aEngine.mCache.back().first);
    aEngine.mCache.pop_back();
  }
  return cached;
}

started_run Start(fake_engine& aEngine, const engine_run& aRun,
                  const engine_options& aOptions, absl::Time aNow)
{
  ++aEngine.mRunning;
  const double cached = UseCache(aEngine, aRun, aOptions.mCacheTokens);
  aEngine.mPrefillFreeAt =
    std::max(aNow, aEngine.mPrefillFreeAt) +
    absl::Seconds((aRun.mPrompt - cached) / aOptions.mPrefillTokensPerSecond);
  const double full = static_cast<double>(aEngine.mRunning) / aOptions.mSlots;
  const absl::Duration token =
    absl::Seconds(aOptions.mTokenSeconds +
                  (aOptions.mFullTokenSeconds - aOptions.mTokenSeconds) * full);
  return { aRun.mRequest, cached, aEngine.mPrefillFreeAt + token,
           aEngine.mPrefillFreeAt + token * aRun.mOutput };
}

} // namespace

int LoadOf(const fake_engine& aEngine)
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
      started.push_back(Start(aEngine, queue.front(), aOptions, aNow));
      queue.pop_front();
    }
  }
  return started;
}

load_report MakeReport(fake_engine& aEngine, const engine_options& aOptions,
                       random_engine& aRandom)
{
  load_report report;
  report.mSequence = ++aEngine.mReports;
  report.mRunning = aEngine.mRunning;
  report.mQueued = LoadOf(aEngine) - aEngine.mRunning;
  std::uniform_real_distribution<double> draw(0, 1);
  for (const auto& [chunk, tokens] : aEngine.mCache) {
    if (report.mCachedPrefixes.size() == kReportedPrefixes) {
      break;
    }
    if (draw(aRandom) >= aOptions.mReportGaps) {
      report.mCachedPrefixes.push_back(chunk);
    }
  }
  return report;
}

} // namespace foxtailquay
