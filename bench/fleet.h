// Simulation of callers, routers that use the policy code of src/core, and fake
// engines, on a virtual clock.
//
//   fleet_result result = RunFleet(options, rule, 1.0 /* load */, seed);
//
// Deterministic: the same arguments give the same result. Thread-safe.

#ifndef FOXTAILQUAY_BENCH_FLEET_H
#define FOXTAILQUAY_BENCH_FLEET_H

#include <vector>

#include "fake_engine.h"
#include "measure.h"

namespace foxtailquay {

// Rule by which the routers of a run choose engines and admit requests.
enum class bench_rule
{
  // Admission by Admit, then ChooseBackend.
  Policy,
  // ChooseBackend for every request on arrival, without admission.
  RoutingOnly,
  // Baselines; every request is sent to an engine on arrival.
  Random,
  RoundRobin,
  LeastOutstanding,
};

constexpr auto NameTable(bench_rule)
{
  return MakeNameTable<bench_rule>({
    { bench_rule::Policy, "policy" },
    { bench_rule::RoutingOnly, "routing_only" },
    { bench_rule::Random, "random" },
    { bench_rule::RoundRobin, "round_robin" },
    { bench_rule::LeastOutstanding, "least_outstanding" },
  });
}

enum class request_class
{
  LongBrief,
  QuickQuestion,
  ShortCheck,
};

constexpr auto NameTable(request_class)
{
  return MakeNameTable<request_class>({
    { request_class::LongBrief, "long_brief" },
    { request_class::QuickQuestion, "quick_question" },
    { request_class::ShortCheck, "short_check" },
  });
}

// Traffic of one request class: its fraction of the requests, and the mean
// number of tokens of a prompt and of a response.
struct class_traffic
{
  double mFraction = 1;
  token_count mPromptTokens = 0;
  token_count mOutputTokens = 0;
  priority_class mPriority = priority_class::Standard;
};

// Size and behaviour of the simulated fleet.
struct fleet_options
{
  int mEngineCount = 20;
  int mRouters = 3;
  int mZones = 3;
  engine_options mEngine;
  absl::Duration mReportInterval = absl::Seconds(1);
  absl::Duration mReportLag = absl::Seconds(1);
  absl::Duration mArrivalTime = absl::Seconds(240);
  // Requests sent before this time are not measured.
  absl::Duration mWarmUp = absl::Seconds(60);
  // Relative number of requests of each workspace.
  std::vector<double> mWorkspaceWeights = { 30, 22, 14, 10, 8, 6, 4, 3, 2, 1 };
  std::vector<class_traffic> mClasses = {
    { 0.2, 2000, 1500, priority_class::Batch },
    { 0.5, 150, 120, priority_class::Interactive },
    { 0.3, 80, 30, priority_class::Standard },
  };
  routing_options mRouting;
  admission_options mAdmission;
  fleet_config mFleet;
};

// Target for the time to first token (design 1.3).
constexpr absl::Duration kFirstTokenTarget = absl::Seconds(1);

// Returns the number of requests a second that keeps all slots busy.
double ComputeCapacity(const fleet_options& aOptions);

// Simulates the arrivals of mArrivalTime at aLoad times the capacity, until all
// requests have ended.
fleet_result RunFleet(const fleet_options& aOptions, bench_rule aRule,
                      double aLoad, std::uint64_t aSeed);

} // namespace foxtailquay

#endif
