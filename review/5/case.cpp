// A worker that stops states so in the answer with which it continues a stream.
// The gateway must not send it requests 2 s later.

#include <atomic>
#include <string>
#include <vector>

#include "common/standins.hpp"

using namespace review;

namespace {

constexpr double kDrainTime = 2.0; // drain_ms
constexpr int kEvents = 55;
constexpr double kEventGap = 0.1;

// The stream that is interrupted.
const std::string kStream = "stream-1";
std::atomic<worker*> gFirst{ nullptr };
std::atomic<bool> gBreak{ false };
// Time at which the stopping worker sent the first event that it continued.
std::atomic<double> gResumedAt{ 0 };

struct arrival
{
  std::string mId;
  double mAt;
};
std::mutex gMutex;
std::vector<arrival> gArrivalsAtStopping;

// Answers with a stream of events, after Last-Event-Id.
void RunStream(worker& aSelf, connection& aCaller, const message& aRequest)
{
  const std::string id = aRequest.Field("Foxtailquay-Attempt-Id");
  const std::string last = aRequest.Field("Last-Event-Id");
  aSelf.Log().Line("worker %s runs %s after event '%s'%s", aSelf.Id().c_str(),
                   id.c_str(), last.c_str(),
                   aSelf.mLeaving ? ", answers with Server-Leaving" : "");
  if (aSelf.mLeaving) {
    const std::lock_guard<std::mutex> lock(gMutex);
    gArrivalsAtStopping.push_back({ id, Now() });
  }
  if (id == kStream && last.empty()) {
    gFirst = &aSelf;
  }
  if (!aCaller.Send(aSelf.Head(aRequest, 200) +
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n")) {
    return;
  }
  const int events = aRequest.Target() == "/brief/short" ? 3 : kEvents;
  for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= events; ++i) {
    Sleep(kEventGap);
    if (id == kStream && gBreak && &aSelf == gFirst) {
      gBreak = false;
      aSelf.Log().Line("worker %s resets the channel of %s before event %d",
                       aSelf.Id().c_str(), id.c_str(), i);
      aCaller.Reset();
      return;
    }
    const std::string event =
      "id: " + std::to_string(i) + "\ndata: seven tokens of text\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (aCaller.PeerClosed() || !aCaller.Send(size + event + "\r\n")) {
      aSelf.Log().Line("worker %s drops %s", aSelf.Id().c_str(), id.c_str());
      return;
    }
    if (id == kStream && aSelf.mLeaving && gResumedAt == 0) {
      gResumedAt = Now();
    }
  }
  aCaller.Send("0\r\n\r\n");
  aSelf.Log().Line("worker %s has finished %s", aSelf.Id().c_str(), id.c_str());
}

std::string MakeStreamRequest(const std::string& aId,
                              const std::string& aPath = "/brief/long")
{
  return MakeRequest("POST", aPath, aId, 12000,
                     "Foxtailquay-Model: m\r\n"
                     "Foxtailquay-Token-Count: 460,385\r\n"
                     "Foxtailquay-Prompt-Prefix: 5c1e07a2:200,91bd3f06:260\r\n",
                     "text");
}

} // namespace

int main(int argc, char** argv)
{
  record log(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  store platform(log);
  worker a(log, 11, "i-a", "llm", RunStream);
  worker b(log, 12, "i-b", "llm", RunStream);
  platform.Put(
    "op/config",
    MakeConfig(
      3,
      R"([{"name":"r-1","host":"shop.example","prefix":"/brief/",)"
      R"("kind":"stream","timeout_ms":12000,"target_latency_ms":400,)"
      R"("priority":1,"service":"llm","max_attempts":2,"public":false,)"
      R"("sticky":true,"resumable":true,"gap_target_ms":400},)"
      R"({"name":"r-2","host":"shop.example","prefix":"/report/",)"
      R"("kind":"stream","timeout_ms":12000,"target_latency_ms":800,)"
      R"("priority":1,"service":"llm","max_attempts":1,"public":false,)"
      R"("sticky":true,"resumable":false,"gap_target_ms":400}])",
      R"([{"name":"llm","health_path":"/health","max_conns":370,)"
      R"("protocol":"h1","tls":false,"engine":{"slots":64,)"
      R"("kv_capacity_tokens":408575,"stride":7,"models":[{"name":"m"}]}}])"));
  platform.Put("servers/i-a", a.Entry("ready"));
  platform.Put("servers/i-b", b.Entry("ready"));
  gateway gate(log, platform, "front-1", 3);
  if (!gate.AwaitReady(15)) {
    Finish(log, 2, "the gateway is not ready");
  }
  // Usual traffic, from which the gateway earns its budget for repeats.
  std::vector<std::thread> earlier;
  for (int i = 0; i < 20; ++i) {
    earlier.emplace_back([&log, &gate, i] {
      const std::string id = "early-" + std::to_string(i + 1);
      Call(log, gate.Front(), id, MakeStreamRequest(id, "/brief/short"), 12);
    });
    Sleep(0.1);
  }
  for (std::thread& each : earlier) {
    each.join();
  }

  answer stream;
  std::thread requester([&] {
    stream = Call(log, gate.Front(), kStream, MakeStreamRequest(kStream), 12);
  });
  for (int i = 0; i < 100 && gFirst == nullptr; ++i) {
    Sleep(0.02);
  }
  if (gFirst == nullptr) {
    Finish(log, 2, "the first stream has not reached a worker");
  }
  worker& stopping = gFirst == &a ? b : a;
  Sleep(0.4);

  // The store is silent for 4.5 s. Meanwhile a worker has begun a planned stop,
  // which it states in its answers; it cannot reach the store.
  if (trouble) {
    platform.SetSilent(true);
  }
  Sleep(0.1);
  stopping.mLeaving = true;
  log.Line("worker %s begins its planned stop", stopping.Id().c_str());
  std::thread draining([&] {
    platform.Put("servers/" + stopping.Id(), stopping.Entry("draining"));
    Sleep(kDrainTime + 0.3);
    log.Line("worker %s exits", stopping.Id().c_str());
    stopping.Sockets().Crash();
  });
  Sleep(0.1);
  const double brokenAt = Now();
  gBreak = trouble;
  Sleep(1);
  if (trouble && gResumedAt == 0) {
    Finish(log, 2, "the stream was not continued by the stopping worker");
  }
  const double passedAt = trouble ? gResumedAt.load() : brokenAt;
  Sleep(passedAt + kDrainTime + 0.3 - Now());

  // Later requests, sent more than drain_ms after that answer was passed on.
  log.Line("requests from here on are sent %.2f s after the answer with "
           "Server-Leaving",
           Now() - passedAt);
  const double sentFrom = Now();
  std::vector<std::thread> later;
  std::vector<answer> answers(6);
  for (int i = 0; i < 6; ++i) {
    later.emplace_back([&, i] {
      const std::string id = "late-" + std::to_string(i + 1);
      answers[static_cast<std::size_t>(i)] =
        Call(log, gate.Front(), id, MakeStreamRequest(id, "/report/1"), 12);
    });
    Sleep(0.1);
  }
  Sleep(1.3);
  if (trouble) {
    platform.SetSilent(false);
  }
  for (std::thread& each : later) {
    each.join();
  }
  requester.join();
  draining.join();

  int late = 0;
  for (const arrival& each : gArrivalsAtStopping) {
    if (each.mAt >= sentFrom && each.mId != kStream) {
      ++late;
    }
  }
  int cut = 0;
  for (const answer& each : answers) {
    cut += each.mComplete ? 0 : 1;
  }
  log.Line("%d requests reached the stopping worker; %d of 6 answers are "
           "incomplete; stream-1 is %s",
           late, cut, stream.mComplete ? "complete" : "incomplete");
  if (late > 0) {
    Finish(log, 1, "DRAIN is broken");
  }
  Finish(log, 0, "DRAIN held");
}
