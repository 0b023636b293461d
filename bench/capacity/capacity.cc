// Measures the cost of routers, agents and the store for several fleet sizes,
// fits lines, and prints the tables of docs/CAPACITY.md as Markdown.
//
//   foxtailquay_capacity --charts_dir=DIR [--experiment=NAME]

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "fleet.h"
#include "gflags/gflags.h"
#include "wire/document_codec.h"
#include "wire/message_codec.h"

DEFINE_string(charts_dir, "charts", "folder of the state charts");
DEFINE_string(experiment, "all",
              "idle, requests, settle, contention, memory, restart, outage "
              "or all");
DEFINE_int32(seconds, 20, "virtual seconds per measurement");

namespace foxtailquay {
namespace {

using chart_texts = std::map<std::string, std::string>;

struct table
{
  std::vector<std::string> mHeader;
  std::vector<std::vector<double>> mRows;
};

void PrintTable(const char* aTitle, const table& aTable)
{
  std::cout << "\n### " << aTitle << "\n\n|";
  for (const std::string& name : aTable.mHeader) {
    std::cout << " " << name << " |";
  }
  std::cout << "\n|";
  for (std::size_t i = 0; i < aTable.mHeader.size(); ++i) {
    std::cout << "---:|";
  }
  std::cout << "\n";
  for (const auto& row : aTable.mRows) {
    std::cout << "|";
    for (double value : row) {
      std::cout << " " << absl::StrFormat("%.4g", value) << " |";
    }
    std::cout << "\n";
  }
}

// Prints the least squares line of column aY over column aX, and its value at
// aAt.
void PrintFit(const table& aTable, std::size_t aX, std::size_t aY, double aAt)
{
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& row : aTable.mRows) {
    n += 1;
    sx += row[aX];
    sy += row[aY];
    sxx += row[aX] * row[aX];
    sxy += row[aX] * row[aY];
  }
  const double denominator = n * sxx - sx * sx;
  if (denominator == 0) {
    return;
  }
  const double slope = (n * sxy - sx * sy) / denominator;
  const double intercept = (sy - slope * sx) / n;
  std::cout << absl::StrFormat(
    "- %s = %.4g + %.4g * %s; at %.6g: %.4g\n", aTable.mHeader[aY], intercept,
    slope, aTable.mHeader[aX], aAt, intercept + slope * aAt);
}

double ReadHeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double ReadCpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

// Measures the control cost of a fleet without requests.
void MeasureIdle(const chart_texts& aCharts)
{
  table costs{ { "members", "router CPU %", "router messages/s",
                 "router bytes/s", "agent CPU %", "agent bytes/s",
                 "store reads/s", "store writes/s" },
               {} };
  for (int routers : { 5, 10, 20, 40 }) {
    fleet_size size;
    size.mRouters = routers;
    size.mAgents = routers * 10 / 7;
    fleet measured = MakeFleet(size, aCharts);
    ResetCosts(measured);
    RunFor(measured, absl::Seconds(FLAGS_seconds));
    const double seconds = FLAGS_seconds;
    const role_cost& router = measured.mRouterCost;
    const role_cost& agent = measured.mAgentCost;
    costs.mRows.push_back(
      { static_cast<double>(size.mRouters + size.mAgents),
        100 * router.mCpuSeconds / seconds / size.mRouters,
        static_cast<double>(router.mMessages) / seconds / size.mRouters,
        static_cast<double>(router.mBytes) / seconds / size.mRouters,
        100 * agent.mCpuSeconds / seconds / size.mAgents,
        static_cast<double>(agent.mBytes) / seconds / size.mAgents,
        static_cast<double>(measured.mStoreCost.mReads) / seconds,
        static_cast<double>(measured.mStoreCost.mWrites) / seconds });
  }
  PrintTable("Control without requests", costs);
  for (std::size_t column = 1; column < costs.mHeader.size(); ++column) {
    PrintFit(costs, 0, column, 1020);
  }
}

void PrintBytesByKind(const std::map<std::string, std::int64_t>& aBytes)
{
  std::cout << "\nBytes sent per second at the highest rate, by message:\n";
  for (const auto& [kind, bytes] : aBytes) {
    std::cout << absl::StrFormat("- %s: %d\n", kind,
                                 bytes / std::max(1, FLAGS_seconds));
  }
}

// Measures the additional cost of each request.
void MeasureRequests(const chart_texts& aCharts)
{
  table costs{ { "requests/s", "router CPU us/s", "agent CPU us/s",
                 "control bytes/s", "store writes/s", "store conflicts/s",
                 "refused" },
               {} };
  std::map<std::string, std::int64_t> last;
  for (double rate : { 0.0, 30.0, 60.0, 120.0, 240.0 }) {
    fleet_size size;
    size.mRouters = 10;
    size.mAgents = 14;
    size.mBudgets = 50;
    size.mRequestsPerSecond = rate;
    fleet measured = MakeFleet(size, aCharts);
    RunFor(measured, absl::Seconds(5));
    ResetCosts(measured);
    RunFor(measured, absl::Seconds(FLAGS_seconds));
    const double seconds = FLAGS_seconds;
    last = measured.mBytesByKind;
    costs.mRows.push_back(
      { rate, 1e6 * measured.mRouterCost.mCpuSeconds / seconds,
        1e6 * measured.mAgentCost.mCpuSeconds / seconds,
        static_cast<double>(measured.mRouterCost.mBytes) / seconds,
        static_cast<double>(measured.mStoreCost.mWrites) / seconds,
        static_cast<double>(measured.mStoreCost.mConflicts) / seconds,
        static_cast<double>(measured.mRefusedRequests) });
  }
  PrintTable("Requests on 10 routers and 14 agents, 50 budgets, 4 shards",
             costs);
  PrintBytesByKind(last);
  for (std::size_t column = 1; column < 5; ++column) {
    PrintFit(costs, 0, column, 4900);
  }
}

// Measures the control bytes per router for longer settle delays, during which
// more settlements are batched, as in a larger fleet.
void MeasureSettleDelay(const chart_texts& aCharts)
{
  table costs{ { "settle delay s", "bytes/s per router", "store writes/s" },
               {} };
  for (double delay : { 0.2, 1.0, 2.0, 4.2 }) {
    fleet_size size;
    size.mRouters = 10;
    size.mAgents = 14;
    size.mBudgets = 50;
    size.mShards = 16;
    size.mRequestsPerSecond = 117;
    size.mSettleDelay = absl::Seconds(delay);
    fleet measured = MakeFleet(size, aCharts);
    RunFor(measured, absl::Seconds(30));
    ResetCosts(measured);
    RunFor(measured, absl::Seconds(FLAGS_seconds));
    const double seconds = FLAGS_seconds;
    costs.mRows.push_back(
      { delay,
        static_cast<double>(measured.mRouterCost.mBytes) / seconds /
          size.mRouters,
        static_cast<double>(measured.mStoreCost.mWrites) / seconds });
  }
  PrintTable("11.7 requests/s per router, 16 shards, by settle delay", costs);
}

// Measures the store writes as more routers use the same budgets.
void MeasureContention(const chart_texts& aCharts)
{
  table costs{ { "routers", "requests/s", "shards", "store writes/s",
                 "conflicts/s", "store reads/s", "answered", "refused" },
               {} };
  for (std::uint32_t shards : { 4u, 16u }) {
    for (int routers : { 5, 10, 20, 40 }) {
      fleet_size size;
      size.mRouters = routers;
      size.mAgents = routers;
      size.mBudgets = 100;
      size.mShards = shards;
      size.mRequestsPerSecond = 12.0 * routers;
      fleet measured = MakeFleet(size, aCharts);
      RunFor(measured, absl::Seconds(5));
      ResetCosts(measured);
      RunFor(measured, absl::Seconds(FLAGS_seconds));
      const double seconds = FLAGS_seconds;
      const store_cost& store = measured.mStoreCost;
      costs.mRows.push_back({ static_cast<double>(routers),
                              size.mRequestsPerSecond,
                              static_cast<double>(shards),
                              static_cast<double>(store.mWrites) / seconds,
                              static_cast<double>(store.mConflicts) / seconds,
                              static_cast<double>(store.mReads) / seconds,
                              static_cast<double>(measured.mCompletedRequests),
                              static_cast<double>(measured.mRefusedRequests) });
    }
  }
  PrintTable("Store load at 12 requests/s per router, 100 budgets", costs);
}

router_ptr MakeSingleRouter(const node_charts& aCharts)
{
  node_settings settings;
  settings.mMember.mValue = "router-0";
  settings.mZone.mValue = "zone-0";
  settings.mAddress = "10.0.0.1:9000";
  settings.mNonce = "n";
  return MakeRouter(settings, router_options{}, aCharts);
}

member_list MakeMembers(int aCount)
{
  member_list list;
  for (int i = 0; i < aCount; ++i) {
    member_record record;
    record.mRole = i % 17 < 7 ? process_role::Router : process_role::Agent;
    record.mIncarnation = 3;
    record.mZone.mValue = absl::StrCat("zone-", i % 8);
    record.mAddress = absl::StrCat("10.0.", i / 250, ".", i % 250, ":9000");
    record.mNonce = absl::StrCat("0123456789abcdef-", i);
    const member_id id{ absl::StrCat("member-", i) };
    list.mMembers[id] = record;
    list.mLastIncarnation[id] = 3;
  }
  return list;
}

void DeliverMessage(router_state& aRouter, message aBody,
                    config_version aVersion)
{
  envelope delivered;
  delivered.mSender = { { "router-9" }, 1 };
  delivered.mConfigVersion = aVersion;
  delivered.mBody = std::move(aBody);
  Step(aRouter, message_event{ delivered }, absl::FromUnixSeconds(1'000'000));
}

// Measures the memory of one router, and the size and decoding time, for the
// two documents that every process holds: member list and configuration.
void MeasureDocuments(const chart_texts& aCharts)
{
  const auto charts = GetValue(LoadCharts(aCharts));
  table members{ { "members", "router bytes", "JSON bytes", "decode ms" }, {} };
  for (int count : { 128, 256, 512, 1024 }) {
    const member_list list = MakeMembers(count);
    router_ptr router = MakeSingleRouter(*charts);
    const double before = ReadHeapBytes();
    DeliverMessage(*router, members_message{ 7, list }, 0);
    const double after = ReadHeapBytes();
    const std::string text = EncodeDocument(list);
    const double start = ReadCpuSeconds();
    const auto decoded = DecodeDocument(store_area::Members, text);
    const double cpuSeconds = ReadCpuSeconds() - start;
    members.mRows.push_back({ static_cast<double>(count), after - before,
                              static_cast<double>(text.size()),
                              IsOk(decoded) ? 1e3 * cpuSeconds : -1 });
  }
  PrintTable("Member list", members);
  for (std::size_t column = 1; column < 4; ++column) {
    PrintFit(members, 0, column, 1020);
  }
  table configs{ { "workspaces", "router bytes", "JSON bytes", "decode ms" },
                 {} };
  for (int workspaces : { 640, 1275, 2550, 5100 }) {
    fleet_size size;
    size.mBudgets = workspaces * 2;
    size.mModels = 35;
    size.mAgents = 600;
    config_document document;
    const auto patched = ApplyPatch(document, MakeConfig(size));
    if (!IsOk(patched)) {
      std::cerr << ToString(GetError(patched)) << "\n";
      return;
    }
    document = GetValue(patched);
    router_ptr router = MakeSingleRouter(*charts);
    const double before = ReadHeapBytes();
    DeliverMessage(*router, config_message{ document }, 1);
    const double after = ReadHeapBytes();
    const std::string text = EncodeDocument(document);
    const double start = ReadCpuSeconds();
    const auto decoded = DecodeDocument(store_area::Config, text);
    const double cpuSeconds = ReadCpuSeconds() - start;
    configs.mRows.push_back({ static_cast<double>(workspaces), after - before,
                              static_cast<double>(text.size()),
                              IsOk(decoded) ? 1e3 * cpuSeconds : -1 });
  }
  PrintTable("Configuration, 600 backend servers and 35 models", configs);
  for (std::size_t column = 1; column < 4; ++column) {
    PrintFit(configs, 0, column, 5100);
  }
}

// Measures the size of an account by the number of routers that hold shares.
void MeasureAccounts()
{
  table sizes{ { "holders", "JSON bytes per account" }, {} };
  for (int holders : { 1, 5, 25, 100, 420 }) {
    account_shard shard;
    account& one = shard.mAccounts[{ "budget-1234" }];
    one.mPaidIn = 1'000'000'000;
    one.mTopUps["0123456789abcdef"] = one.mPaidIn;
    for (int i = 0; i < holders; ++i) {
      share_record record;
      record.mGranted = 1'000'000;
      record.mSpent = 734'512;
      record.mSettled = { 12'345, { 12'347, 12'350 } };
      record.mAdjustment = 321;
      record.mLossEpoch = 44;
      one.mShares[{ { absl::StrCat("router-", i) }, 17 }] = record;
    }
    sizes.mRows.push_back(
      { static_cast<double>(holders),
        static_cast<double>(EncodeDocument(shard).size()) });
  }
  PrintTable("Account size", sizes);
  PrintFit(sizes, 0, 1, 420);
}

bool AreAllReady(const fleet& aFleet)
{
  return std::all_of(
    aFleet.mNodes.begin(), aFleet.mNodes.end(), [](const fleet_node& aNode) {
      return aNode.mRouter ? IsReady(*aNode.mRouter) : IsReady(*aNode.mAgent);
    });
}

// Measures the time until all processes are ready after they restart at the
// same moment.
void MeasureRestart(const chart_texts& aCharts)
{
  table costs{ { "members", "seconds until all are ready", "store reads",
                 "store writes", "store conflicts" },
               {} };
  for (int routers : { 5, 10, 20, 40 }) {
    fleet_size size;
    size.mRouters = routers;
    size.mAgents = routers;
    fleet measured = MakeFleet(size, aCharts);
    ResetCosts(measured);
    RestartAll(measured);
    const absl::Time start = measured.mNow;
    while (!AreAllReady(measured) &&
           measured.mNow < start + absl::Minutes(10)) {
      RunFor(measured, absl::Milliseconds(100));
    }
    const store_cost& store = measured.mStoreCost;
    costs.mRows.push_back({ static_cast<double>(2 * routers),
                            absl::ToDoubleSeconds(measured.mNow - start),
                            static_cast<double>(store.mReads),
                            static_cast<double>(store.mWrites),
                            static_cast<double>(store.mConflicts) });
  }
  PrintTable("Restart of the whole fleet at once", costs);
  for (std::size_t column = 1; column < 5; ++column) {
    PrintFit(costs, 0, column, 1020);
  }
}

// Measures requests during a store outage of ten minutes under load, and store
// calls after it.
void MeasureOutage(const chart_texts& aCharts)
{
  table costs{ { "routers", "answered", "refused", "calls in the 10 s after",
                 "writes in the 10 s after" },
               {} };
  for (int routers : { 5, 10, 20 }) {
    fleet_size size;
    size.mRouters = routers;
    size.mAgents = routers;
    size.mRequestsPerSecond = 1.0 * routers;
    fleet measured = MakeFleet(size, aCharts);
    RunFor(measured, absl::Minutes(2));
    ResetCosts(measured);
    measured.mStoreDown = true;
    RunFor(measured, absl::Minutes(10));
    const double answered = static_cast<double>(measured.mCompletedRequests);
    const double refused = static_cast<double>(measured.mRefusedRequests);
    measured.mStoreDown = false;
    ResetCosts(measured);
    RunFor(measured, absl::Seconds(10));
    const store_cost& store = measured.mStoreCost;
    costs.mRows.push_back({ static_cast<double>(routers), answered, refused,
                            static_cast<double>(store.mReads + store.mWrites),
                            static_cast<double>(store.mWrites) });
  }
  PrintTable("Store outage of 10 minutes at 1 request/s per router", costs);
}

chart_texts ReadCharts()
{
  chart_texts texts;
  for (const char* name : { "request", "share", "config_patch", "process",
                            "run", "backend_server" }) {
    const std::string file = absl::StrCat(name, ".yaml");
    std::ifstream stream(absl::StrCat(FLAGS_charts_dir, "/", file));
    std::stringstream text;
    text << stream.rdbuf();
    texts[file] = text.str();
  }
  return texts;
}

void RunExperiments()
{
  const chart_texts charts = ReadCharts();
  const auto isSelected = [](const char* aName) {
    return FLAGS_experiment == "all" || FLAGS_experiment == aName;
  };
  if (isSelected("idle")) {
    MeasureIdle(charts);
  }
  if (isSelected("requests")) {
    MeasureRequests(charts);
  }
  if (isSelected("settle")) {
    MeasureSettleDelay(charts);
  }
  if (isSelected("contention")) {
    MeasureContention(charts);
  }
  if (isSelected("memory")) {
    MeasureDocuments(charts);
    MeasureAccounts();
  }
  if (isSelected("restart")) {
    MeasureRestart(charts);
  }
  if (isSelected("outage")) {
    MeasureOutage(charts);
  }
}

} // namespace
} // namespace foxtailquay

int main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  foxtailquay::RunExperiments();
  return 0;
}
