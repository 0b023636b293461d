// Policy benchmark: runs the suites, prints a table or JSON, and fails if a
// bound does not hold.
//
//   foxtailquay_bench [--suite=routing] [--short] [--json]

#include <algorithm>
#include <iostream>

#include "absl/strings/str_format.h"
#include "gflags/gflags.h"
#include "suites.h"
#include "json/json.h"

DEFINE_string(
  suite, "",
  "Suite to run: routing, herding, overload, orders, subsets, work or choice; "
  "empty runs all.");
DEFINE_bool(short, false, "Run one seed instead of three.");
DEFINE_bool(json, false, "Print JSON instead of tables.");

namespace foxtailquay {

namespace {

Json::Value ToJson(const suite_result& aResult)
{
  Json::Value suite;
  suite["suite"] = std::string(ToName(aResult.mSuite));
  suite["rows"] = Json::arrayValue;
  for (const bench_row& row : aResult.mRows) {
    Json::Value json;
    for (const auto& [name, value] : row.mLabels) {
      json[name] = value;
    }
    for (const auto& [name, value] : row.mValues) {
      json[name] = value;
    }
    suite["rows"].append(json);
  }
  suite["checks"] = Json::arrayValue;
  for (const bench_check& check : aResult.mChecks) {
    Json::Value json;
    json["name"] = check.mName;
    json["value"] = check.mValue;
    json["bound"] = check.mBound;
    json["passed"] = check.mPassed;
    suite["checks"].append(json);
  }
  return suite;
}

int ComputeWidth(const std::string& aName, std::size_t aMinWidth)
{
  return static_cast<int>(std::max(aName.size(), aMinWidth));
}

void PrintTable(const suite_result& aResult)
{
  constexpr std::size_t kLabelWidth = 23;
  constexpr std::size_t kValueWidth = 9;
  std::cout << "\n" << ToName(aResult.mSuite) << "\n";
  if (!aResult.mRows.empty()) {
    for (const auto& [name, value] : aResult.mRows.front().mLabels) {
      std::cout << absl::StrFormat("%-*s ", ComputeWidth(name, kLabelWidth),
                                   name);
    }
    for (const auto& [name, value] : aResult.mRows.front().mValues) {
      std::cout << absl::StrFormat("%*s ", ComputeWidth(name, kValueWidth),
                                   name);
    }
    std::cout << "\n";
  }
  for (const bench_row& row : aResult.mRows) {
    for (const auto& [name, value] : row.mLabels) {
      std::cout << absl::StrFormat("%-*s ", ComputeWidth(name, kLabelWidth),
                                   value);
    }
    for (const auto& [name, value] : row.mValues) {
      std::cout << absl::StrFormat("%*.4g ", ComputeWidth(name, kValueWidth),
                                   value);
    }
    std::cout << "\n";
  }
  for (const bench_check& check : aResult.mChecks) {
    if (!check.mPassed) {
      std::cout << absl::StrFormat("FAILED: %s %.6g, value %.6g\n", check.mName,
                                   check.mBound, check.mValue);
    }
  }
  const auto passed =
    std::count_if(aResult.mChecks.begin(), aResult.mChecks.end(),
                  [](const bench_check& aCheck) { return aCheck.mPassed; });
  std::cout << "bounds: " << passed << " of " << aResult.mChecks.size()
            << " hold\n";
}

int RunSuites()
{
  constexpr int kSeeds = 3;
  if (!FLAGS_suite.empty() && !FromName<bench_suite>(FLAGS_suite)) {
    std::cerr
      << "unknown suite \"" << FLAGS_suite
      << "\"; expected routing, herding, overload, orders, subsets, work or "
         "choice\n";
    return 2;
  }
  bool passed = true;
  Json::Value json(Json::arrayValue);
  for (const auto& suite : NameTable(bench_suite{})) {
    if (!FLAGS_suite.empty() && FLAGS_suite != suite.mName) {
      continue;
    }
    const suite_result result =
      RunSuite(suite.mValue, FLAGS_short ? 1 : kSeeds);
    if (FLAGS_json) {
      json.append(ToJson(result));
    } else {
      PrintTable(result);
    }
    passed = passed && std::all_of(result.mChecks.begin(), result.mChecks.end(),
                                   [](const bench_check& aCheck) {
                                     return aCheck.mPassed;
                                   });
  }
  if (FLAGS_json) {
    std::cout << json << "\n";
  }
  return passed ? 0 : 1;
}

} // namespace

} // namespace foxtailquay

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("benchmark of routing, admission and model orders");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return foxtailquay::RunSuites();
}
