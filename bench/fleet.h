// Callers and several routers with the policy code of src/core in front of
// fake engines, on a virtual clock.
//
//   fleet_result result = RunFleet(options, rule, 1.0 /* load */, seed);
//
// Deterministic: the same arguments give the same result.

#ifndef FOXTAILQUAY_BENCH_FLEET_H
#define FOXTAILQUAY_BENCH_FLEET_H

#include <vector>

#include "fake_engine.h"
#include "measure.h"

namespace foxtailquay {

// How the routers of a run choose and admit.
enum class bench_rule
{
  // ChooseBackend behind Admit.
  Policy,
  // ChooseBackend for every request on arrival.
  RoutingOnly,
  // Baselines; every request is sent on arrival.
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

struct class_traffic
{
  double mShare = 1;
  token_count mPrompt = 0;
  token_count mOutput = 0;
  priority_class mPriority = priority_class::Standard;
};

struct fleet_options
{
  int mWorkers = 20;
  int mRouters = 3;
  int mZones = 3;
  engine_options mEngine;
  absl::Duration mReportInterval = absl::Seconds(1);
  absl::Duration mReportLag = absl::Seconds(1);
  absl::Duration mTime = absl::Seconds(240);
  // Arrivals before this are not measured.
  absl::Duration mWarmUp = absl::Seconds(60);
  // Relative demand of the workspaces.
  std::vector<double> mWorkspaces = { 30, 22, 14, 10, 8, 6, 4, 3, 2, 1 };
  std::vector<class_traffic> mClasses = {
    { 0.2, 2000, 1500, priority_class::Batch },
    { 0.5, 150, 120, priority_class::Interactive },
    { 0.3, 80, 30, priority_class::Standard },
  };
  routing_options mRouting;
  admission_options mAdmission;
  fleet_config mFleet;
};

// Time to first token that a request should not exceed (design 1.3).
constexpr absl::Duration kFirstTokenGoal = absl::Seconds(1);

// Requests a second that keep all slots busy.
double CapacityOf(const fleet_options& aOptions);

// Runs mTime of arrivals at aLoad times the capacity.
fleet_result RunFleet(const fleet_options& aOptions, bench_rule aRule,
                      double aLoad, std::uint64_t aSeed);

} // namespace foxtailquay

#endif
