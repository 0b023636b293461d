#include "suites.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "fleet.h"

namespace foxtailquay {

namespace {

// Maximum fraction of requests with a late first token (design 1.3).
constexpr double kMaxLateFraction = 0.05;
// Minimum useful throughput at twice the capacity, as a fraction of the peak.
constexpr double kMinUsefulFraction = 0.9;
// Smallest differences to a baseline that a run can resolve: one request in a
// thousand, and the factor of two bins of the histogram.
constexpr double kFractionResolution = 0.001;
constexpr double kQuantileResolution = 1.05;

// Load at the stated peak of a deployment, as a fraction of the capacity. The
// rest is reserve for the loss of one or two servers.
constexpr double kNormalLoad = 0.8;

enum class deployment
{
  Sabarmati,
  Ezerna,
};

constexpr auto NameTable(deployment)
{
  return MakeNameTable<deployment>({ { deployment::Sabarmati, "sabarmati" },
                                     { deployment::Ezerna, "ezerna" } });
}

fleet_options MakeOptions(deployment aDeployment)
{
  fleet_options options;
  if (aDeployment == deployment::Ezerna) {
    options.mEngineCount = 12;
    options.mClasses[0].mFraction = 0.3;
    options.mClasses[1].mFraction = 0.45;
    options.mClasses[2].mFraction = 0.25;
  }
  return options;
}

fleet_result RunSeeds(const fleet_options& aOptions, bench_rule aRule,
                      double aLoad, int aSeeds)
{
  fleet_result result;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    AddResults(result, RunFleet(aOptions, aRule, aLoad,
                                static_cast<std::uint64_t>(seed)));
  }
  return result;
}

double ComputeRefusedFraction(const class_result& aClass)
{
  return aClass.mOffered == 0 ? 0
                              : static_cast<double>(aClass.mRefused) /
                                  static_cast<double>(aClass.mOffered);
}

void AddRows(suite_result& aSuite, std::string_view aDeployment,
             std::string_view aRule, double aLoad, const fleet_result& aResult)
{
  for (const auto& each : NameTable(request_class{})) {
    const class_result& result =
      aResult.mClasses[static_cast<std::size_t>(each.mValue)];
    bench_row row;
    row.mLabels = { { "deployment", std::string(aDeployment) },
                    { "rule", std::string(aRule) },
                    { "load", absl::StrFormat("%.2f", aLoad) },
                    { "class", std::string(each.mName) } };
    row.mValues = {
      { "late_share", ComputeLateFraction(result) },
      { "refused_share", ComputeRefusedFraction(result) },
      { "ttft_p50_s", ComputeQuantile(result.mFirstToken, 0.5) },
      { "ttft_p99_s", ComputeQuantile(result.mFirstToken, 0.99) },
      { "hit_share", ComputeHitFraction(aResult) },
      { "jain", ComputeJainIndex(aResult) },
      { "useful_tokens_s", ComputeUsefulRate(aResult) },
      { "max_over_mean", ComputeMeanImbalance(aResult) },
    };
    aSuite.mRows.push_back(std::move(row));
  }
}

const bench_rule kBaselines[] = { bench_rule::Random, bench_rule::RoundRobin,
                                  bench_rule::LeastOutstanding };

void CheckAgainst(suite_result& aSuite, const std::string& aWhere,
                  const fleet_result& aPolicy, const fleet_result& aBaseline)
{
  for (const auto& each : NameTable(request_class{})) {
    const auto index = static_cast<std::size_t>(each.mValue);
    const class_result& policy = aPolicy.mClasses[index];
    const class_result& baseline = aBaseline.mClasses[index];
    const std::string where =
      absl::StrCat(aWhere, " ", std::string(each.mName), " ");
    AddUpperBoundCheck(aSuite, where + "late_share",
                       ComputeLateFraction(policy),
                       ComputeLateFraction(baseline) + kFractionResolution);
    AddUpperBoundCheck(
      aSuite, where + "ttft_p99_s", ComputeQuantile(policy.mFirstToken, 0.99),
      ComputeQuantile(baseline.mFirstToken, 0.99) * kQuantileResolution);
  }
  AddLowerBoundCheck(aSuite, aWhere + " hit_share", ComputeHitFraction(aPolicy),
                     ComputeHitFraction(aBaseline) - kFractionResolution);
  AddLowerBoundCheck(aSuite, aWhere + " jain", ComputeJainIndex(aPolicy),
                     ComputeJainIndex(aBaseline) - kFractionResolution);
}

// Compares late requests, time to first token, prefix cache hits and fairness
// at 80% of the capacity with the baselines.
suite_result RunRouting(int aSeeds)
{
  suite_result suite;
  for (const auto& each : NameTable(deployment{})) {
    const fleet_options options = MakeOptions(each.mValue);
    const fleet_result policy =
      RunSeeds(options, bench_rule::Policy, kNormalLoad, aSeeds);
    AddRows(suite, each.mName, ToName(bench_rule::Policy), kNormalLoad, policy);
    for (const class_result& result : policy.mClasses) {
      AddUpperBoundCheck(suite,
                         absl::StrCat(std::string(each.mName), " late_share"),
                         ComputeLateFraction(result), kMaxLateFraction);
    }
    for (bench_rule rule : kBaselines) {
      const fleet_result baseline =
        RunSeeds(options, rule, kNormalLoad, aSeeds);
      AddRows(suite, each.mName, ToName(rule), kNormalLoad, baseline);
      CheckAgainst(suite,
                   absl::StrCat(std::string(each.mName), " against ",
                                std::string(ToName(rule))),
                   policy, baseline);
    }
  }
  return suite;
}

// Checks that many routers with load reports that are 2 s late do not send
// their requests to the same engines (herding): the highest load over the mean
// load must not exceed that of random choice, which uses no reports. The
// comparison with the baselines is at the load of the routing suite only; the
// rows at 0.90 show where the policy is no longer better.
suite_result RunHerding(int aSeeds)
{
  suite_result suite;
  for (int routers : { 6, 24 }) {
    fleet_options options = MakeOptions(deployment::Sabarmati);
    options.mReportLag = absl::Seconds(2);
    options.mRouters = routers;
    const std::string where = absl::StrCat(routers, " routers");
    for (double load : { kNormalLoad, 0.9 }) {
      const fleet_result policy =
        RunSeeds(options, bench_rule::Policy, load, aSeeds);
      AddRows(suite, where, ToName(bench_rule::Policy), load, policy);
      for (bench_rule rule : kBaselines) {
        const fleet_result baseline = RunSeeds(options, rule, load, aSeeds);
        AddRows(suite, where, ToName(rule), load, baseline);
        if (rule == bench_rule::Random) {
          AddUpperBoundCheck(
            suite, absl::StrFormat("%s load %.2f max_over_mean", where, load),
            ComputeMeanImbalance(policy), ComputeMeanImbalance(baseline));
        }
        if (load == kNormalLoad) {
          CheckAgainst(
            suite, absl::StrCat(where, " against ", std::string(ToName(rule))),
            policy, baseline);
        }
      }
      // Shows the effect of a policy without the random sample and without the
      // correction for the requests of other routers.
      fleet_options followReports = options;
      followReports.mRouting.mSampleSize = 0;
      followReports.mRouting.mMaxAssumedPeers = 0;
      AddRows(suite, where, "follow_report", load,
              RunSeeds(followReports, bench_rule::RoutingOnly, load, aSeeds));
    }
  }
  return suite;
}

// Checks, at twice the capacity, the useful throughput, the 99th percentile of
// the admitted requests, and the order in which request classes are refused.
suite_result RunOverload(int aSeeds)
{
  suite_result suite;
  for (const auto& each : NameTable(deployment{})) {
    const std::string where(each.mName);
    const fleet_options options = MakeOptions(each.mValue);
    double peak = 0;
    fleet_result twice;
    for (double load : { 0.8, 0.9, 1.0, 1.2, 1.5, 2.0 }) {
      twice = RunSeeds(options, bench_rule::Policy, load, aSeeds);
      AddRows(suite, each.mName, ToName(bench_rule::Policy), load, twice);
      peak = std::max(peak, ComputeUsefulRate(twice));
    }
    AddLowerBoundCheck(suite, where + " useful_tokens_s at 2x",
                       ComputeUsefulRate(twice), kMinUsefulFraction * peak);
    const double limit =
      absl::ToDoubleSeconds(options.mFleet.mQueueTimeout + kFirstTokenTarget);
    for (const class_result& result : twice.mClasses) {
      AddUpperBoundCheck(suite, where + " ttft_p99_s at 2x",
                         ComputeQuantile(result.mFirstToken, 0.99), limit);
    }
    const auto refused = [&](request_class aClass) {
      return ComputeRefusedFraction(
        twice.mClasses[static_cast<std::size_t>(aClass)]);
    };
    AddUpperBoundCheck(suite, where + " refused: standard before batch",
                       refused(request_class::ShortCheck),
                       refused(request_class::LongBrief));
    AddUpperBoundCheck(suite, where + " refused: interactive before standard",
                       refused(request_class::QuickQuestion),
                       refused(request_class::ShortCheck) +
                         kFractionResolution);
    for (bench_rule rule : kBaselines) {
      const fleet_result baseline = RunSeeds(options, rule, 2.0, aSeeds);
      AddRows(suite, each.mName, ToName(rule), 2.0, baseline);
      AddLowerBoundCheck(
        suite,
        absl::StrCat(where, " useful against ", std::string(ToName(rule))),
        ComputeUsefulRate(twice), ComputeUsefulRate(baseline));
    }
  }
  return suite;
}

// Checks subsets in a fleet of the size expected in two years: the number of
// servers that one router watches, and the number of routers per server.
suite_result RunSubsets(int)
{
  constexpr int kRouters = 420;
  constexpr int kServers = 600;
  suite_result suite;
  std::map<backend_id, backend_view> views;
  for (int i = 0; i < kServers; ++i) {
    backend_view& view = views[{ "w" + std::to_string(1000 + i) }];
    // One large model is on 200 servers, and 34 models are on about 12 servers
    // each.
    view.mConfig.mModels = { { i < 200 ? "large"
                                       : "m" + std::to_string(i % 34) } };
  }
  std::map<std::string, std::map<backend_id, double>> uses;
  double watched = 0;
  double large = 0;
  routing_options options;
  for (int r = 0; r < kRouters; ++r) {
    options.mRouter = { "router-" + std::to_string(r) };
    const auto subset =
      ComputeSubset(views, backend_kind::Engine, "large", options);
    large = std::max(large, static_cast<double>(subset.size()));
    for (const backend_id& id : subset) {
      ++uses["large"][id];
    }
    // A router handles requests for four models at a time.
    std::set<backend_id> all = subset;
    for (int m = 0; m < 3; ++m) {
      all.merge(ComputeSubset(views, backend_kind::Engine,
                              "m" + std::to_string((r + m * 11) % 34),
                              options));
    }
    watched = std::max(watched, static_cast<double>(all.size()));
  }
  double maxCount = 0;
  double minCount = kRouters;
  for (int i = 0; i < 200; ++i) {
    const double count = uses["large"][{ "w" + std::to_string(1000 + i) }];
    maxCount = std::max(maxCount, count);
    minCount = std::min(minCount, count);
  }
  bench_row row;
  row.mLabels = { { "fleet", "420 routers, 600 servers" } };
  row.mValues = { { "subset_of_200", large },
                  { "watched_4_models", watched },
                  { "routers_per_server_min", minCount },
                  { "routers_per_server_max", maxCount } };
  suite.mRows.push_back(std::move(row));
  AddUpperBoundCheck(suite, "subset of a model with 200 servers", large,
                     options.mSubsetSize);
  AddLowerBoundCheck(suite, "routers of each server", minCount, 1);
  return suite;
}

} // namespace

void AddUpperBoundCheck(suite_result& aResult, std::string aName, double aValue,
                        double aBound)
{
  aResult.mChecks.push_back(
    { std::move(aName) + " <=", aValue, aBound, aValue <= aBound });
}

void AddLowerBoundCheck(suite_result& aResult, std::string aName, double aValue,
                        double aBound)
{
  aResult.mChecks.push_back(
    { std::move(aName) + " >=", aValue, aBound, aValue >= aBound });
}

suite_result RunSuite(bench_suite aSuite, int aSeeds)
{
  suite_result result;
  switch (aSuite) {
    case bench_suite::Routing:
      result = RunRouting(aSeeds);
      break;
    case bench_suite::Herding:
      result = RunHerding(aSeeds);
      break;
    case bench_suite::Overload:
      result = RunOverload(aSeeds);
      break;
    case bench_suite::Orders:
      result = RunOrderSuite(aSeeds);
      break;
    case bench_suite::Subsets:
      result = RunSubsets(aSeeds);
      break;
    case bench_suite::Work:
      result = RunWorkSuite(aSeeds);
      break;
    case bench_suite::Choice:
      result = RunChoiceSuite();
      break;
  }
  result.mSuite = aSuite;
  return result;
}

} // namespace foxtailquay
