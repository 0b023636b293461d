// A fake model engine on a virtual clock: slots, a serial prefill, a decode
// rate that falls with the load, a prefix cache of limited size, queues by
// priority and load reports.

#ifndef FOXTAILQUAY_BENCH_FAKE_ENGINE_H
#define FOXTAILQUAY_BENCH_FAKE_ENGINE_H

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "core/admission.h"
#include "core/routing.h"

namespace foxtailquay {

struct engine_options
{
  int mSlots = 16;
  double mPrefillTokensPerSecond = 4000;
  // Time per token of one stream on an idle and on a full engine.
  double mTokenSeconds = 0.015;
  double mFullTokenSeconds = 0.030;
  double mCacheTokens = 40000;
  // Part of the cached prefixes that a report lacks.
  double mReportGaps = 0.1;
};

struct engine_run
{
  std::size_t mRequest = 0;
  double mPrompt = 0;
  double mOutput = 0;
  priority_class mPriority = priority_class::Standard;
  // Chunks of the prompt, of equal size.
  std::vector<std::uint64_t> mChunks;
};

struct started_run
{
  std::size_t mRequest = 0;
  // Prompt tokens that were cached.
  double mCached = 0;
  absl::Time mFirstToken;
  absl::Time mFinished;
};

struct fake_engine
{
  int mRunning = 0;
  std::array<std::deque<engine_run>, kPriorityClasses> mQueues;
  absl::Time mPrefillFreeAt = absl::InfinitePast();
  // Cached chunks with their tokens, the most recently used one first.
  std::list<std::pair<std::uint64_t, double>> mCache;
  std::map<std::uint64_t, decltype(mCache)::iterator> mIndex;
  double mCachedTokens = 0;
  std::uint64_t mReports = 0;
};

// Runs and queued requests.
int LoadOf(const fake_engine& aEngine);

void Enqueue(fake_engine& aEngine, engine_run aRun);

// Starts queued runs while slots are free, by priority.
std::vector<started_run> StartRuns(fake_engine& aEngine,
                                   const engine_options& aOptions,
                                   absl::Time aNow);

load_report MakeReport(fake_engine& aEngine, const engine_options& aOptions,
                       random_engine& aRandom);

} // namespace foxtailquay

#endif
