// A fake model engine on a virtual clock: slots, serial prefill, a decode rate
// that falls with the load, a prefix cache of limited size, one queue for each
// priority class, and load reports.
//
// Not thread-safe.

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
  // Seconds per output token of one stream on an idle and on a full engine.
  double mTokenSeconds = 0.015;
  double mFullTokenSeconds = 0.030;
  double mCacheTokens = 40000;
  // Fraction of the cached prefixes that are missing in a report.
  double mMissingFraction = 0.1;
};

struct engine_run
{
  std::size_t mRequest = 0;
  double mPromptTokens = 0;
  double mOutputTokens = 0;
  priority_class mPriority = priority_class::Standard;
  // Hashes of the prompt's chunks, which have equal size.
  std::vector<std::uint64_t> mChunks;
};

struct started_run
{
  std::size_t mRequest = 0;
  // Prompt tokens that were in the prefix cache.
  double mCachedTokens = 0;
  absl::Time mFirstToken;
  absl::Time mFinished;
};

struct fake_engine
{
  int mRunning = 0;
  std::array<std::deque<engine_run>, kPriorityClasses> mQueues;
  absl::Time mPrefillFreeAt = absl::InfinitePast();
  // Cached chunks and their numbers of tokens, the most recently used first.
  std::list<std::pair<std::uint64_t, double>> mCache;
  std::map<std::uint64_t, decltype(mCache)::iterator> mCacheIndex;
  double mCachedTokens = 0;
  std::uint64_t mReportCount = 0;
};

// Returns the number of running and queued requests.
int CountRequests(const fake_engine& aEngine);

void Enqueue(fake_engine& aEngine, engine_run aRun);

// Starts queued runs in the order of priority while slots are free, and returns
// them. The caller decrements mRunning when a run finishes.
std::vector<started_run> StartRuns(fake_engine& aEngine,
                                   const engine_options& aOptions,
                                   absl::Time aNow);

// Returns the next load report; it lacks a random selection of the cached
// prefixes.
load_report MakeReport(fake_engine& aEngine, const engine_options& aOptions,
                       random_engine& aRandom);

} // namespace foxtailquay

#endif
