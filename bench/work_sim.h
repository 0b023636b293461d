// Simulation of gateways in front of engines or plain servers of uneven speed,
// on a virtual clock. The gateways use the routing code of src/core with the
// options of a gateway.
//
//   work_result result = RunWorkFleet(options, seed);
//
// Engines batch requests: in each step every running request gets a token, and
// a chunk of the prompts is processed, first come, first served. Deterministic.
// Thread-safe.

#ifndef FOXTAILQUAY_BENCH_WORK_SIM_H
#define FOXTAILQUAY_BENCH_WORK_SIM_H

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace foxtailquay {

struct work_fleet_options
{
  bool mIsEngine = true;
  int mServers = 13;
  int mGateways = 23;
  int mSlots = 64;
  double mRequestsPerSecond = 95;
  absl::Duration mTime = absl::Seconds(60);
  // Requests before this time are not measured.
  absl::Duration mWarmUp = absl::Seconds(10);
  // Speeds of the servers, in turn.
  std::vector<double> mSpeeds = { 0.6, 1.0, 1.6 };
  // Fraction of the servers that are slow at any moment, and how slow.
  double mSlowFraction = 0.15;
  double mSlowFactor = 2.5;
  absl::Duration mSlowPeriod = absl::Milliseconds(600);
  // Whether the gateways use stated slowness, and whether they learn.
  bool mUsesSlowness = true;
  bool mLearns = true;
  // Whether they learn the time for which a stated slowness holds.
  bool mLearnsPeriod = true;
  // Fraction of the reports between gateways that are lost.
  double mLostReports = 0;
  // Weight of the affinity in routing_options. Tokens to process from which a
  // prompt is reported at once, the number of gateways that such and other
  // reports are sent to, and the delay of others.
  double mAffinityWeight = 20;
  std::int64_t mLargePrompt = 2000;
  int mLargeTargets = 24;
  int mSmallTargets = 8;
  absl::Duration mSmallReportDelay = absl::Milliseconds(500);
};

struct work_result
{
  double mLong = 0;
  double mLongLate = 0;
  double mShort = 0;
  double mShortLate = 0;
  // Shared prompt tokens that were processed at an engine after another engine
  // had processed them.
  double mRepeatedTokens = 0;
  double mProcessedTokens = 0;
  // Reports sent to other gateways.
  double mMessages = 0;
  // Highest number of requests at a server over the mean, summed over samples.
  double mImbalanceSum = 0;
  double mImbalanceSamples = 0;
  // Times to the first event, in seconds.
  std::vector<double> mFirstTimes;
};

work_result RunWorkFleet(const work_fleet_options& aOptions,
                         std::uint64_t aSeed);

// Adds the results of another run.
void AddWorkResult(work_result& aInto, const work_result& aFrom);

// Returns nanoseconds of one ChooseBackend over aServers engines.
double MeasureChoice(int aServers, bool aLearns);

} // namespace foxtailquay

#endif
