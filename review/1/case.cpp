// A worker crashes and starts again with a new id at its old address. It sends
// a second copy of a 421 late. An order that has run must not be refused.

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "common/standins.hpp"

using namespace review;

namespace {

constexpr double kHeartbeat = 1.2; // heartbeat_ms
constexpr int kEarlyOrders = 20;
constexpr int kOrders = 12;

// The worker's present id; it changes with each start.
std::mutex gMutex;
std::string gId = "i-old";
std::map<std::string, int> gRuns;

std::string GetId()
{
  const std::lock_guard<std::mutex> lock(gMutex);
  return gId;
}

// Serves one channel. If aRepeats, the second copy of a 421 is sent late: at
// the point where the next response is expected.
void Serve(record& aLog, connection& aCaller, bool aRepeats)
{
  message request;
  std::string late;
  while (aCaller.Read(request, 15)) {
    const std::string id = request.Field("Foxtailquay-Attempt-Id");
    if (!late.empty()) {
      aLog.Line("worker %s sends the second copy of a 421", GetId().c_str());
      aCaller.Send(late);
      late.clear();
    }
    if (request.Field("Foxtailquay-Expect-Instance") != GetId()) {
      const std::string answer =
        "HTTP/1.1 421 Misdirected Request\r\nFoxtailquay-Attempt-Id: " + id +
        "\r\nFoxtailquay-Instance-Id: " + GetId() +
        "\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n";
      aLog.Line("worker %s answers 421 to %s, which is for %s", GetId().c_str(),
                id.c_str(),
                request.Field("Foxtailquay-Expect-Instance").c_str());
      aCaller.Send(answer);
      late = aRepeats ? answer : "";
      continue;
    }
    aLog.Line("worker %s runs %s", GetId().c_str(), id.c_str());
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      ++gRuns[id];
    }
    Sleep(0.02);
    aCaller.Send("HTTP/1.1 200 OK\r\nFoxtailquay-Attempt-Id: " + id +
                 "\r\nFoxtailquay-Server-Seal: seal-" + id +
                 "\r\nKeep-Alive: timeout=15\r\nContent-Length: 4\r\n\r\ndone");
  }
}

std::string MakeEntry(const std::string& aAddress, int aBorn)
{
  return "{\"service\":\"app\",\"address\":\"" + aAddress +
         "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
         "\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":178000000" +
         std::to_string(1000 + aBorn) + "}";
}

std::string MakeOrder(const std::string& aId)
{
  return MakeRequest("POST", "/order/1", aId, 1500, "", "dye 3");
}

} // namespace

int main(int aArgc, char** aArgv)
{
  record log(aArgc > 1 ? aArgv[1] : "record.txt");
  const bool trouble = HasTrouble();
  store platform(log);
  listener sockets(MakeIp(11),
                   [&](connection& aCaller) { Serve(log, aCaller, trouble); });
  platform.Put(
    "op/config",
    MakeConfig(3,
               R"([{"name":"r-2","host":"shop.example","prefix":"/order/",)"
               R"("kind":"non_idempotent","timeout_ms":1500,)"
               R"("target_latency_ms":100,"priority":1,"service":"app",)"
               R"("max_attempts":2,"public":false,"sticky":false}])",
               R"([{"name":"app","health_path":"/health","max_conns":110,)"
               R"("protocol":"h1","tls":false}])"));
  platform.Put("servers/i-old", MakeEntry(sockets.Address(), 0));
  gateway gate(log, platform, "front-1", 3);
  if (!gate.AwaitReady(15)) {
    Finish(log, 2, "the gateway is not ready");
  }
  // Usual traffic, from which the gateway earns its budget for repeats.
  for (int i = 0; i < kEarlyOrders; ++i) {
    const std::string id = "early-" + std::to_string(i + 1);
    Call(log, gate.Front(), id, MakeOrder(id), 3);
    Sleep(0.1);
  }
  log.Line("worker i-old crashes");
  sockets.Crash();
  Sleep(0.8);
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gId = "i-new";
  }
  sockets.Restart();
  log.Line("the worker is back as i-new");
  platform.Put("servers/i-new", MakeEntry(sockets.Address(), 100));
  Sleep(0.4);
  std::vector<std::thread> requesters;
  std::vector<answer> answers(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    requesters.emplace_back([&, i] {
      const std::string id = "order-" + std::to_string(i + 1);
      answers[static_cast<std::size_t>(i)] =
        Call(log, gate.Front(), id, MakeOrder(id), 3);
    });
    Sleep(0.1);
  }
  for (std::thread& each : requesters) {
    each.join();
  }
  // The entry of the crashed worker lapses after three heartbeats.
  Sleep(3 * kHeartbeat - 0.8 - 0.4 - 0.1 * kOrders);
  platform.Put("servers/i-old", "");
  int broken = 0;
  for (int i = 0; i < kOrders; ++i) {
    const answer& each = answers[static_cast<std::size_t>(i)];
    const bool promises = each.mStatus == 429 || each.mStatus == 503;
    if (promises && gRuns["order-" + std::to_string(i + 1)] > 0) {
      ++broken;
    }
  }
  log.Line("%d of %d orders were refused as not run and have run", broken,
           kOrders);
  if (broken > 0) {
    Finish(log, 1, "REFUSED is broken");
  }
  Finish(log, 0, "REFUSED held");
}
