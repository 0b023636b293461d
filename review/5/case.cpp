// A part of prompts crashes each worker that begins to write an answer on it.
// After five crashes, requests with that part must no longer reach workers.

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "common/standins.hpp"

using namespace review;

namespace {

constexpr int kWorkers = 6;
constexpr double kContactTime = 3.0; // contact_ms
constexpr double kDownTime = 2.5;
constexpr int kDeadly = 40;
constexpr double kDeadlyGap = 0.5;
const char* gKDeadlyPart = "dead0001";

std::mutex gMutex;
// Times at which a worker has crashed, and at which a request with the deadly
// part has reached one.
std::vector<double> gCrashes;
std::vector<double> gArrivals;
std::atomic<bool> gEnded{ false };
store* gStore = nullptr;

// Ends the worker like a process that dies: its channels are reset and its port
// is closed. It starts again later.
void Crash(worker& aSelf)
{
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gCrashes.push_back(Now());
  }
  aSelf.Log().Line("worker %s crashes", aSelf.Id().c_str());
  std::thread([&aSelf] {
    aSelf.Sockets().Crash();
    Sleep(kDownTime);
    if (gEnded) {
      return;
    }
    aSelf.mBorn += 1000;
    aSelf.Sockets().Restart();
    gStore->Put("servers/" + aSelf.Id(), aSelf.Entry("ready"));
  }).detach();
}

void RunStream(worker& aSelf, connection& aCaller, const message& aRequest)
{
  const std::string id = aRequest.Field("Foxtailquay-Attempt-Id");
  const bool deadly =
    aRequest.Field("Foxtailquay-Prompt-Prefix").find(gKDeadlyPart) !=
    std::string::npos;
  aSelf.Log().Line("worker %s runs %s", aSelf.Id().c_str(), id.c_str());
  if (deadly) {
    const std::lock_guard<std::mutex> lock(gMutex);
    gArrivals.push_back(Now());
  }
  Sleep(0.02);
  const std::string head = aSelf.Head(aRequest, 200) +
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  if (deadly) {
    // The answer has begun, but its header section is not complete.
    aCaller.Send(head.substr(0, 40));
    Sleep(0.01);
    Crash(aSelf);
    Sleep(0.5);
    return;
  }
  if (!aCaller.Send(head)) {
    return;
  }
  for (int i = 1; i <= 20; ++i) {
    const std::string event =
      "id: " + std::to_string(i) + "\ndata: seven tokens of text\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!aCaller.Send(size + event + "\r\n")) {
      return;
    }
    Sleep(0.05);
  }
  aCaller.Send("0\r\n\r\n");
}

std::string MakeStreamRequest(const std::string& aId, const std::string& aPart)
{
  return MakeRequest(
    "POST", "/brief/1", aId, 12000,
    "Foxtailquay-Model: m\r\n"
    "Foxtailquay-Token-Count: 460,140\r\n"
    "Foxtailquay-Prompt-Prefix: 5c1e07a2:200," +
      aPart + ":200," +
      std::to_string(100000 + std::hash<std::string>{}(aId) % 900000) +
      ":60\r\n",
    "text");
}

} // namespace

int main(int argc, char** argv)
{
  record log(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  store platform(log);
  gStore = &platform;
  std::vector<std::unique_ptr<worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<worker>(
      log, 11 + i, "i-" + std::to_string(i + 1), "llm", RunStream));
    platform.Put("servers/" + workers.back()->Id(),
                 workers.back()->Entry("ready"));
  }
  platform.Put(
    "op/config",
    MakeConfig(
      3,
      R"([{"name":"r-1","host":"shop.example","prefix":"/brief/",)"
      R"("kind":"stream","timeout_ms":12000,"target_latency_ms":800,)"
      R"("priority":1,"service":"llm","max_attempts":1,"public":false,)"
      R"("sticky":true,"resumable":false,"gap_target_ms":400}])",
      R"([{"name":"llm","health_path":"/health","max_conns":370,)"
      R"("protocol":"h1","tls":false,"engine":{"slots":64,)"
      R"("kv_capacity_tokens":408575,"stride":7,"models":[{"name":"m"}]}}])"));
  gateway gate(log, platform, "front-1", 3);
  if (!gate.AwaitReady(15)) {
    Finish(log, 2, "the gateway is not ready");
  }
  Sleep(1);
  std::vector<std::thread> requesters;
  std::atomic<int> sound{ 0 };
  std::atomic<int> soundCut{ 0 };
  for (int i = 0; i < kDeadly; ++i) {
    if (trouble) {
      requesters.emplace_back([&, i] {
        const std::string id = "deadly-" + std::to_string(i + 1);
        Call(log, gate.Front(), id, MakeStreamRequest(id, gKDeadlyPart), 12);
      });
    }
    for (int k = 0; k < 4; ++k) {
      requesters.emplace_back([&, i, k] {
        const std::string id =
          "sound-" + std::to_string(i + 1) + "-" + std::to_string(k + 1);
        const answer got = Call(
          log, gate.Front(), id,
          MakeStreamRequest(id, "a00000" + std::to_string(10 + (i + k) % 20)),
          12);
        ++sound;
        // An answer that has begun and ends early.
        soundCut += got.mStatus == 200 && !got.mComplete ? 1 : 0;
      });
      Sleep(kDeadlyGap / 4);
    }
  }
  for (std::thread& each : requesters) {
    each.join();
  }
  gEnded = true;
  int late = 0;
  if (gCrashes.size() >= 5) {
    for (const double each : gArrivals) {
      late += each > gCrashes[4] + kContactTime ? 1 : 0;
    }
  }
  log.Line("%zu crashes; %d requests with the deadly part reached workers "
           "later than 3 s after the fifth; %d of %d sound answers were cut",
           gCrashes.size(), late, soundCut.load(), sound.load());
  if (late > 3) {
    Finish(log, 1, "BUDGET is broken");
  }
  Finish(log, 0, "BUDGET held");
}
