// A tenant has used up its prepaid total. Some of its requesters set no limit
// of their own on the output: they state the largest 64-bit number. Such
// requests do not fit into the total, and must not let other requests of the
// tenant in.

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "common/standins.hpp"

using namespace review;

namespace {

constexpr long kPrepaid = 200000;
constexpr int kPromptTokens = 1460;
constexpr int kEvents = 5;
constexpr int kTokensPerEvent = 7;
// Memory of a worker, in tokens.
constexpr double kMemoryTokens = 408575;
constexpr int kRequesters = 8;
constexpr int kWithoutLimit = 3;
// Time in which a worker rejects a request, the way to another zone included.
constexpr double kRejectTime = 0.005;
constexpr double kLength = 40;
constexpr double kQuietTime = 15;

std::mutex gMutex;
long gInput = 0;
long gOutput = 0;
int gRuns = 0;
std::map<std::string, int> gStatuses;

void RunStream(worker& aSelf, connection& aCaller, const message& aRequest)
{
  const std::string id = aRequest.Field("Foxtailquay-Attempt-Id");
  const std::string counts = aRequest.Field("Foxtailquay-Token-Count");
  const double most =
    std::stod(counts) + std::stod(counts.substr(counts.find(',') + 1));
  if (most > kMemoryTokens) {
    // Larger than the memory: rejected as if the worker were full.
    Sleep(kRejectTime);
    aSelf.Log().Line("worker %s rejects %s", aSelf.Id().c_str(), id.c_str());
    aCaller.Send("HTTP/1.1 503 Service Unavailable\r\n"
                 "Foxtailquay-Attempt-Id: " +
                 id +
                 "\r\nFoxtailquay-Not-Executed: 1\r\n"
                 "Keep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  aSelf.Log().Line("worker %s runs %s", aSelf.Id().c_str(), id.c_str());
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gInput += kPromptTokens;
    ++gRuns;
  }
  if (!aCaller.Send(aSelf.Head(aRequest, 200) +
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n")) {
    return;
  }
  for (int i = 1; i <= kEvents; ++i) {
    Sleep(0.02);
    const std::string event =
      "id: " + std::to_string(i) + "\ndata: seven tokens of text\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!aCaller.Send(size + event + "\r\n")) {
      return;
    }
  }
  aCaller.Send("0\r\n\r\n");
}

// Sends one request after the other.
void Request(record& aLog, const gateway& aGate, int aNumber)
{
  const bool hasNoLimit = HasTrouble() && aNumber < kWithoutLimit;
  for (int i = 1; Now() < kLength; ++i) {
    const bool isLarge = hasNoLimit && Now() > kQuietTime;
    const std::string id = std::string(isLarge ? "unlimited-" : "usual-") +
                           std::to_string(aNumber + 1) + "-" +
                           std::to_string(i);
    const answer got =
      Call(aLog, aGate.Front(), id,
           MakeRequest("POST", "/brief/1", id, 12000,
                       "Foxtailquay-Model: m\r\nFoxtailquay-Token-Count: " +
                         std::to_string(kPromptTokens) + "," +
                         (isLarge ? "9223372036854775807" : "80") +
                         "\r\nFoxtailquay-Prompt-Prefix: "
                         "5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
                       "text"),
           12);
    std::size_t events = 0;
    for (std::size_t at = got.mBody.find("id: "); at != std::string::npos;
         at = got.mBody.find("id: ", at + 1)) {
      ++events;
    }
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      gOutput += static_cast<long>(events) * kTokensPerEvent;
      ++gStatuses[(isLarge ? "unlimited " : "usual ") +
                  std::to_string(got.mStatus)];
    }
    Sleep(0.1);
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  record log(aArgc > 1 ? aArgv[1] : "record.txt");
  store platform(log);
  worker a(log, 11, "i-a", "llm", RunStream);
  worker b(log, 12, "i-b", "llm", RunStream);
  std::string config = MakeConfig(
    3,
    R"([{"name":"r-1","host":"shop.example","prefix":"/brief/",)"
    R"("kind":"stream","timeout_ms":12000,"target_latency_ms":800,)"
    R"("priority":1,"service":"llm","max_attempts":1,"public":false,)"
    R"("sticky":true,"resumable":false,"gap_target_ms":400}])",
    R"([{"name":"llm","health_path":"/health","max_conns":370,)"
    R"("protocol":"h1","tls":false,"engine":{"slots":64,)"
    R"("kv_capacity_tokens":408575,"stride":7,"models":[{"name":"m"}]}}])");
  const std::string prepaid = "\"prepaid\":";
  const std::size_t at = config.find(prepaid) + prepaid.size();
  config.replace(at, config.find('}', at) - at, std::to_string(kPrepaid));
  platform.Put("op/config", config);
  platform.Put("servers/i-a", a.Entry("ready"));
  platform.Put("servers/i-b", b.Entry("ready"));
  gateway gate(log, platform, "front-1", 3);
  if (!gate.AwaitReady(15)) {
    Finish(log, 2, "the gateway is not ready");
  }
  Sleep(1);
  std::vector<std::thread> requesters;
  for (int i = 0; i < kRequesters; ++i) {
    requesters.emplace_back([&, i] { Request(log, gate, i); });
  }
  for (std::thread& each : requesters) {
    each.join();
  }
  for (const auto& each : gStatuses) {
    log.Line("answers %s: %d", each.first.c_str(), each.second);
  }
  log.Line("%d requests have run; the tenant has got %ld tokens (%ld in, %ld "
           "out) of its prepaid %ld",
           gRuns, gInput + gOutput, gInput, gOutput, kPrepaid);
  if (gInput + gOutput > kPrepaid) {
    Finish(log, 1, "BUDGET is broken");
  }
  Finish(log, 0, "BUDGET held");
}
