// Measures on loopback the latency that a router and an agent add to a call: at
// each rate, the same completions go to the stand-in engine directly and then
// through the fleet. Also measures processor time per request and memory per
// open stream of the router.
//
// The latency of a request counts from its planned time, whether or not earlier
// requests have ended, so that a stall is included in it.

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "gflags/gflags.h"
#include "process_fleet.h"

DEFINE_int32(seconds, 5, "seconds per rate and path");
DEFINE_int32(streams, 200, "open streams of the last measurement");

namespace foxtailquay {
namespace {

// Stated target for the latency that the fleet adds, in milliseconds.
constexpr double kTargetP50Ms = 1;
constexpr double kTargetP99Ms = 5;
// Number of connections over which the requests of one rate are distributed.
constexpr int kSenders = 40;

struct latency_result
{
  std::vector<double> mMilliseconds;
  int mFailed = 0;
};

double ComputePercentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

// Sends every kSenders-th request, starting with aFirst, at its planned time.
latency_result SendRequests(int aPort, int aFirst, int aCount,
                            absl::Duration aInterval, absl::Time aStart)
{
  latency_result result;
  httplib::Client client("127.0.0.1", aPort);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  const std::string body = MakeChatBody("how many folds", 1).toStyledString();
  const absl::Notification never;
  for (int i = aFirst; i < aCount; i += kSenders) {
    const absl::Time planned = aStart + i * aInterval;
    never.WaitForNotificationWithDeadline(planned);
    const auto response = client.Post(
      "/v1/chat/completions", MakeCallerHeaders(), body, "application/json");
    if (response && response->status == 200) {
      result.mMilliseconds.push_back(
        absl::ToDoubleMilliseconds(absl::Now() - planned));
    } else {
      ++result.mFailed;
    }
  }
  return result;
}

latency_result MeasureLatency(int aPort, double aRate)
{
  const int count = static_cast<int>(aRate * FLAGS_seconds);
  const absl::Time start = absl::Now() + absl::Milliseconds(50);
  std::vector<latency_result> results(kSenders);
  std::vector<std::thread> senders;
  senders.reserve(kSenders);
  for (int i = 0; i < kSenders; ++i) {
    senders.emplace_back([&results, aPort, i, count, aRate, start] {
      results[static_cast<std::size_t>(i)] =
        SendRequests(aPort, i, count, absl::Seconds(1 / aRate), start);
    });
  }
  latency_result all;
  for (int i = 0; i < kSenders; ++i) {
    senders[static_cast<std::size_t>(i)].join();
    latency_result& result = results[static_cast<std::size_t>(i)];
    all.mFailed += result.mFailed;
    all.mMilliseconds.insert(all.mMilliseconds.end(),
                             result.mMilliseconds.begin(),
                             result.mMilliseconds.end());
  }
  return all;
}

// Returns a field of /proc/PID/status, for memory in kB; 0 if it is missing.
double ReadStatusField(int aProcess, const std::string& aName)
{
  std::ifstream file(absl::StrCat("/proc/", aProcess, "/status"));
  std::string name;
  double value = 0;
  while (file >> name) {
    if (name == aName + ":") {
      file >> value;
      return value;
    }
    file.ignore(1 << 16, '\n');
  }
  return 0;
}

// Returns the user and system time of a process in seconds.
double ReadCpuSeconds(int aProcess)
{
  std::ifstream file(absl::StrCat("/proc/", aProcess, "/stat"));
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  // utime and stime are the 12th and 13th fields after the name.
  double ticks = 0;
  for (int i = 1; i <= 13 && fields >> field; ++i) {
    if (i >= 12) {
      ticks += std::stod(field);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Measures one rate and prints its row. Returns whether the target is met.
bool MeasureRate(const process_fleet& aFleet, double aRate)
{
  const int engine = aFleet.mAgents[0].mPort;
  const fleet_node& router = aFleet.mRouters[0];
  const latency_result direct = MeasureLatency(engine, aRate);
  const double before = ReadCpuSeconds(router.mProcess.mPid);
  const latency_result routed = MeasureLatency(router.mPort, aRate);
  const double cpuSeconds = ReadCpuSeconds(router.mProcess.mPid) - before;
  const double p50 = ComputePercentile(routed.mMilliseconds, 0.5) -
                     ComputePercentile(direct.mMilliseconds, 0.5);
  const double p99 = ComputePercentile(routed.mMilliseconds, 0.99) -
                     ComputePercentile(direct.mMilliseconds, 0.99);
  std::cout << absl::StrFormat(
    "| %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %.0f |\n", aRate,
    ComputePercentile(direct.mMilliseconds, 0.5),
    ComputePercentile(direct.mMilliseconds, 0.99),
    ComputePercentile(routed.mMilliseconds, 0.5),
    ComputePercentile(routed.mMilliseconds, 0.99), p50, p99,
    direct.mFailed + routed.mFailed,
    1e6 * cpuSeconds /
      std::max<double>(1, static_cast<double>(routed.mMilliseconds.size())));
  return p50 <= kTargetP50Ms && p99 <= kTargetP99Ms &&
         direct.mFailed + routed.mFailed == 0;
}

// Measures the memory and threads of the router with many open streams.
void MeasureStreams(process_fleet& aFleet)
{
  const fleet_node& router = aFleet.mRouters[0];
  const int process = router.mProcess.mPid;
  const double memory = ReadStatusField(process, "VmRSS");
  const double threads = ReadStatusField(process, "Threads");
  SetEngineFault(aFleet, "hold_after_tokens", 2);
  std::vector<std::unique_ptr<streamed_response>> streams;
  streams.reserve(static_cast<std::size_t>(std::max(0, FLAGS_streams)));
  for (int i = 0; i < FLAGS_streams; ++i) {
    streams.push_back(StartHttpCall(router.mPort, "POST",
                                    "/v1/chat/completions", MakeCallerHeaders(),
                                    MakeChatBody("a long brief", 20, true)));
  }
  int open = 0;
  for (auto& stream : streams) {
    open += AwaitText(*stream, "data:") ? 1 : 0;
  }
  const double count = std::max(1, open);
  std::cout << absl::StrFormat(
    "\n%d of %d streams open at the router: %.0f kB and %.2f threads per "
    "stream (VmRSS %.0f to %.0f kB)\n",
    open, FLAGS_streams, (ReadStatusField(process, "VmRSS") - memory) / count,
    (ReadStatusField(process, "Threads") - threads) / count, memory,
    ReadStatusField(process, "VmRSS"));
  SetEngineFault(aFleet, "hold_after_tokens", 0);
  for (auto& stream : streams) {
    AwaitEnd(*stream);
  }
}

// Runs all measurements; returns the exit code, 1 if the target is missed or
// the fleet does not start.
int Run()
{
  process_fleet fleet;
  fleet_options options;
  options.mRouters = 1;
  options.mEngines = 1;
  options.mServices = 0;
  options.mPaidIn = 50'000'000;
  options.mEngineFlags = { "--slots=512", "--token_delay_ms=0" };
  const auto started = StartFleet(fleet, options);
  if (!IsOk(started)) {
    std::cerr << ToString(GetError(started)) << "\n" << ReadLogTails(fleet);
    return 1;
  }
  std::cout << "| requests/s | direct p50 ms | direct p99 | routed p50 | "
               "routed p99 | added p50 | added p99 | failed | router CPU us "
               "per request |\n|---:|---:|---:|---:|---:|---:|---:|---:|"
               "---:|\n";
  bool isTargetMet = true;
  for (double rate : { 1.0, 50.0, 200.0 }) {
    isTargetMet = MeasureRate(fleet, rate) && isTargetMet;
  }
  MeasureStreams(fleet);
  std::cout << absl::StrFormat("target (added %.0f ms p50, %.0f ms p99): %s\n",
                               kTargetP50Ms, kTargetP99Ms,
                               isTargetMet ? "met" : "missed");
  return isTargetMet ? 0 : 1;
}

} // namespace
} // namespace foxtailquay

int main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return foxtailquay::Run();
}
