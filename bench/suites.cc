#include "suites.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "fleet.h"

namespace foxtailquay {

namespace {

// Part of requests that may have a late first token (design 1.3).
constexpr double kLateGoal = 0.05;
constexpr double kUsefulGoal = 0.9;
// Differences to a baseline below these are not visible in a run: one request
// in a thousand, and two bins of the histogram.
constexpr double kShareResolution = 0.001;
constexpr double kQuantileResolution = 1.05;

// Load at the stated peak of a deployment; the rest is room for the loss of a
// server or two.
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

fleet_options OptionsOf(deployment aDeployment)
{
  fleet_options options;
  if (aDeployment == deployment::Ezerna) {
    options.mWorkers = 12;
    options.mClasses[0].mShare = 0.3;
    options.mClasses[1].mShare = 0.45;
    options.mClasses[2].mShare = 0.25;
  }
  return options;
}

fleet_result RunSeeds(const fleet_options& aOptions, bench_rule aRule,
                      double aLoad, int aSeeds)
{
  fleet_result result;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    Merge(result,
          RunFleet(aOptions, aRule, aLoad, static_cast<std::uint64_t>(seed)));
  }
  return result;
}

double RefusedShare(const class_result& aClass)
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
      { "late_share", LateShare(result) },
      { "refused_share", RefusedShare(result) },
      { "ttft_p50_s", Quantile(result.mFirstToken, 0.5) },
      { "ttft_p99_s", Quantile(result.mFirstToken, 0.99) },
      { "hit_share", HitShare(aResult) },
      { "jain", JainIndex(aResult) },
      { "useful_tokens_s", UsefulRate(aResult) },
      { "max_over_mean", MeanSpread(aResult) },
    };
    aSuite.mRows.push_back(std::move(row));
  }
}

const bench_rule kBaselines[] = { bench_rule::Random, bench_rule::RoundRobin,
                                  bench_rule::LeastOutstanding };

void CompareWith(suite_result& aSuite, const std::string& aWhere,
                 const fleet_result& aPolicy, const fleet_result& aBaseline)
{
  for (const auto& each : NameTable(request_class{})) {
    const auto index = static_cast<std::size_t>(each.mValue);
    const class_result& policy = aPolicy.mClasses[index];
    const class_result& baseline = aBaseline.mClasses[index];
    const std::string where =
      absl::StrCat(aWhere, " ", std::string(each.mName), " ");
    CheckAtMost(aSuite, where + "late_share", LateShare(policy),
                LateShare(baseline) + kShareResolution);
    CheckAtMost(aSuite, where + "ttft_p99_s",
                Quantile(policy.mFirstToken, 0.99),
                Quantile(baseline.mFirstToken, 0.99) * kQuantileResolution);
  }
  CheckAtLeast(aSuite, aWhere + " hit_share", HitShare(aPolicy),
               HitShare(aBaseline) - kShareResolution);
  CheckAtLeast(aSuite, aWhere + " jain", JainIndex(aPolicy),
               JainIndex(aBaseline) - kShareResolution);
}

// Late share, time to first token, prefix hits and fairness at 80% of the
// capacity, against the baselines.
suite_result RunRouting(int aSeeds)
{
  suite_result suite;
  for (const auto& each : NameTable(deployment{})) {
    const fleet_options options = OptionsOf(each.mValue);
    const fleet_result policy =
      RunSeeds(options, bench_rule::Policy, kNormalLoad, aSeeds);
    AddRows(suite, each.mName, ToName(bench_rule::Policy), kNormalLoad, policy);
    for (const class_result& result : policy.mClasses) {
      CheckAtMost(suite, absl::StrCat(std::string(each.mName), " late_share"),
                  LateShare(result), kLateGoal);
    }
    for (bench_rule rule : kBaselines) {
      const fleet_result baseline =
        RunSeeds(options, rule, kNormalLoad, aSeeds);
      AddRows(suite, each.mName, ToName(rule), kNormalLoad, baseline);
      CompareWith(suite,
                  absl::StrCat(std::string(each.mName), " against ",
                               std::string(ToName(rule))),
                  policy, baseline);
    }
  }
  return suite;
}

// Load reports that are 2 s late, and many routers. A rule herds if its largest
// load over the mean is above that of random choice, which uses no report. The
// comparison with the baselines is at the load of the routing suite; the rows
// at 0.90 show where it ends.
suite_result RunHerding(int aSeeds)
{
  suite_result suite;
  for (int routers : { 6, 24 }) {
    fleet_options options = OptionsOf(deployment::Sabarmati);
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
          CheckAtMost(
            suite, absl::StrFormat("%s load %.2f max_over_mean", where, load),
            MeanSpread(policy), MeanSpread(baseline));
        }
        if (load == kNormalLoad) {
          CompareWith(
            suite, absl::StrCat(where, " against ", std::string(ToName(rule))),
            policy, baseline);
        }
      }
      // What the random draw and the correction for other routers are for.
      fleet_options follow = options;
      follow.mRouting.mSampleSize = 0;
      follow.mRouting.mMaxAssumedPeers = 0;
      AddRows(suite, where, "follow_report", load,
              RunSeeds(follow, bench_rule::RoutingOnly, load, aSeeds));
    }
  }
  return suite;
}

// Twice the capacity: useful throughput, tail of what is admitted, and the
// order in which classes are shed.
suite_result RunOverload(int aSeeds)
{
  suite_result suite;
  for (const auto& each : NameTable(deployment{})) {
    const std::string where(each.mName);
    const fleet_options options = OptionsOf(each.mValue);
    double peak = 0;
    fleet_result twice;
    for (double load : { 0.8, 0.9, 1.0, 1.2, 1.5, 2.0 }) {
      twice = RunSeeds(options, bench_rule::Policy, load, aSeeds);
      AddRows(suite, each.mName, ToName(bench_rule::Policy), load, twice);
      peak = std::max(peak, UsefulRate(twice));
    }
    CheckAtLeast(suite, where + " useful_tokens_s at 2x", UsefulRate(twice),
                 kUsefulGoal * peak);
    const double limit =
      absl::ToDoubleSeconds(options.mFleet.mQueueTimeout + kFirstTokenGoal);
    for (const class_result& result : twice.mClasses) {
      CheckAtMost(suite, where + " ttft_p99_s at 2x",
                  Quantile(result.mFirstToken, 0.99), limit);
    }
    const auto refused = [&](request_class aClass) {
      return RefusedShare(twice.mClasses[static_cast<std::size_t>(aClass)]);
    };
    CheckAtMost(suite, where + " refused: standard before batch",
                refused(request_class::ShortCheck),
                refused(request_class::LongBrief));
    CheckAtMost(suite, where + " refused: interactive before standard",
                refused(request_class::QuickQuestion),
                refused(request_class::ShortCheck) + kShareResolution);
    for (bench_rule rule : kBaselines) {
      const fleet_result baseline = RunSeeds(options, rule, 2.0, aSeeds);
      AddRows(suite, each.mName, ToName(rule), 2.0, baseline);
      CheckAtLeast(
        suite,
        absl::StrCat(where, " useful against ", std::string(ToName(rule))),
        UsefulRate(twice), UsefulRate(baseline));
    }
  }
  return suite;
}

// Subsets at the size in two years: how many servers one router watches and
// how evenly the servers are used.
suite_result RunSubsets(int)
{
  constexpr int kRouters = 420;
  constexpr int kServers = 600;
  suite_result suite;
  std::map<backend_id, backend_view> views;
  for (int i = 0; i < kServers; ++i) {
    backend_view& view = views[{ "w" + std::to_string(1000 + i) }];
    // One large model on 200 servers, and 34 on about 12 each.
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
    // A router serves requests for a few models at a time.
    std::set<backend_id> all = subset;
    for (int m = 0; m < 3; ++m) {
      all.merge(ComputeSubset(views, backend_kind::Engine,
                              "m" + std::to_string((r + m * 11) % 34),
                              options));
    }
    watched = std::max(watched, static_cast<double>(all.size()));
  }
  double most = 0;
  double least = kRouters;
  for (int i = 0; i < 200; ++i) {
    const double count = uses["large"][{ "w" + std::to_string(1000 + i) }];
    most = std::max(most, count);
    least = std::min(least, count);
  }
  bench_row row;
  row.mLabels = { { "fleet", "420 routers, 600 servers" } };
  row.mValues = { { "subset_of_200", large },
                  { "watched_4_models", watched },
                  { "routers_per_server_min", least },
                  { "routers_per_server_max", most } };
  suite.mRows.push_back(std::move(row));
  CheckAtMost(suite, "subset of a model with 200 servers", large,
              options.mSubsetSize);
  CheckAtLeast(suite, "routers of each server", least, 1);
  return suite;
}

} // namespace

void CheckAtMost(suite_result& aResult, std::string aName, double aValue,
                 double aBound)
{
  aResult.mChecks.push_back(
    { std::move(aName) + " <=", aValue, aBound, aValue <= aBound });
}

void CheckAtLeast(suite_result& aResult, std::string aName, double aValue,
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
  }
  result.mSuite = aSuite;
  return result;
}

} // namespace foxtailquay
