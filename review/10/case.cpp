// The store executes a heartbeat of a worker late, after the worker has
// reported that it drains. See claim.txt.

#include <random>

#include "rig.hpp"

using namespace rig;

namespace {

constexpr int kGateways = 5;
constexpr int kWorkers = 3;
constexpr int kCallers = 10;
constexpr long kHeartbeatMs = 1200;
constexpr long kContactMs = 3000;
constexpr long kDrainMs = 2000;
constexpr long kWorkMs = 15;
// "late (done 1 to 6 s later)".
constexpr long kLateMs = 5400;
// Time from the lost answer to the report: beyond contact_ms, so that the store
// is stable.
constexpr long kStableMs = 3200;
// Shortest time between two requests of one caller; the longest is twice as
// long.
constexpr long kPauseMs = 30;

Json::Value MakeConfig()
{
  Json::Value config;
  config["version"] = 11;
  Json::Value& route = config["routes"][0];
  route["name"] = "lookup";
  route["host"] = "shop.example";
  route["prefix"] = "/lookup/";
  route["kind"] = "idempotent";
  route["service"] = "archive";
  route["timeout_ms"] = 800;
  route["target_latency_ms"] = 100;
  route["max_attempts"] = 2;
  route["priority"] = 0;
  config["services"][0]["name"] = "archive";
  config["services"][0]["max_conns"] = 110;
  config["services"][0]["health_path"] = "/health";
  Json::Value& limits = config["limits"];
  limits["max_header_bytes"] = 16384;
  limits["max_body_bytes"] = 4194304;
  limits["header_timeout_ms"] = 3000;
  limits["idle_timeout_ms"] = 60000;
  return config;
}

// Writes a heartbeat. The entry changes only if more than the sequence does.
void Beat(foxtailquay::users_store& aStore, const worker& aWorker,
          const char* aState, int aSequence)
{
  const std::string key = "servers/" + aWorker.mId;
  const Json::Value entry =
    MakeEntry(aWorker, "archive", aState, aSequence, 6);
  const Json::Value known = foxtailquay::ReadItem(aStore, key);
  if (!known.isObject() || known["state"] != entry["state"]) {
    foxtailquay::PutItem(aStore, key, entry);
  }
}

// Time at which the store accepted that the worker drains; 0 before.
std::atomic<long> gDrainingSince{ 0 };

} // namespace

int main(int, char** argv)
{
  OpenRecord(argv[1]);
  const bool trouble = HasTrouble();
  folder files;
  foxtailquay::users_store store;
  foxtailquay::StartStore(store);
  std::atomic<int> runs{ 0 };
  std::atomic<int> late{ 0 };
  std::vector<std::unique_ptr<worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.emplace_back();
    workers.back() = std::make_unique<worker>(
      "i-" + std::to_string(i + 1), [&, i](worker_call& aCall) {
        const long since = gDrainingSince;
        const bool isLeaving = i == 0 && since != 0;
        ++runs;
        const long sentAt = std::stol(aCall.mRequest.Get("X-Sent-At"));
        if (isLeaving && sentAt > since + kDrainMs) {
          ++late;
          Record("request %s, sent %ld ms after the store accepted that i-1 "
                 "drains, reaches i-1",
                 aCall.mRequest.Get("Foxtailquay-Attempt-Id").c_str(),
                 sentAt - since);
        }
        SleepMs(kWorkMs);
        SendAll(aCall.mSocket,
                MakeHead(*workers[static_cast<std::size_t>(i)], aCall.mRequest,
                         200,
                         std::string(isLeaving ? "Server-Leaving: 1\r\n" : "") +
                           "Content-Length: 4\r\n") +
                  "done");
      });
  }
  foxtailquay::PutItem(store, "op/config", MakeConfig());
  for (const auto& each : workers) {
    Beat(store, *each, "ready", 1);
  }
  std::vector<gateway> fronts;
  bool ready = true;
  for (int i = 1; i <= kGateways; ++i) {
    fronts.push_back(MakeGateway(files.mPath, i, store.mPort));
    ready = StartProcess(fronts.back()) && ready;
  }
  for (const gateway& each : fronts) {
    ready = ready && AwaitReady(each, 20000);
  }
  int result = kNotRun;
  if (ready) {
    std::atomic<bool> isStopping{ false };
    std::atomic<int> served{ 0 };
    std::atomic<int> sent{ 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        const gateway* const front =
          &fronts[static_cast<std::size_t>(i % kGateways)];
        channel caller;
        bool isOpen = false;
        std::minstd_rand pauses(static_cast<unsigned>(front->mFrontPort + i));
        while (!isStopping) {
          isOpen = isOpen || Open(caller, front->mIp, front->mFrontPort);
          const int number = ++sent;
          SendAll(caller.mSocket,
                  "GET /lookup/x HTTP/1.1\r\nHost: shop.example\r\n"
                  "Foxtailquay-Attempt-Id: a-" +
                    std::to_string(number) +
                    "\r\nFoxtailquay-Deadline-Ms: 1500\r\nX-Sent-At: " +
                    std::to_string(NowMs()) + "\r\n\r\n");
          const message got =
            ReadMessage(caller.mSocket, caller.mBuffer, true, 3000);
          isOpen = got.mIsComplete && got.Get("Connection") != "close";
          Note("a-%d sent at %s and answered: %d", number,
               front->mName.c_str(), got.Status());
          served += got.mIsComplete && got.Status() == 200 ? 1 : 0;
          SleepMs(kPauseMs + static_cast<long>(pauses() % kPauseMs));
        }
      });
    }
    SleepMs(2 * kContactMs);
    worker& leaving = *workers[0];
    const long start = NowMs();
    Record("heartbeat 5 of i-1 (ready): %s",
           trouble ? "the store loses the answer and will execute it later"
                   : "executed");
    Beat(store, leaving, "ready", 5);
    // Heartbeats 6 and 7 change nothing but the sequence.
    SleepMs(start + kStableMs - NowMs());
    Beat(store, leaving, "draining", 8);
    gDrainingSince = NowMs();
    Record("heartbeat 8 of i-1 (draining) is accepted %ld ms later",
           NowMs() - start);
    SleepMs(start + 4 * kHeartbeatMs - NowMs());
    Beat(store, leaving, "draining", 9);
    SleepMs(start + kLateMs - NowMs());
    if (trouble) {
      // Unconditional, as heartbeats are.
      foxtailquay::PutItem(store, "servers/" + leaving.mId,
                           MakeEntry(leaving, "archive", "ready", 5, 6));
      Record("heartbeat 5 of i-1 is executed, %ld ms late (limit 6000)",
             NowMs() - start);
    }
    SleepMs(start + 5 * kHeartbeatMs - NowMs());
    Beat(store, leaving, "draining", 10);
    Record("heartbeat 10 of i-1 (draining) is accepted");
    SleepMs(2000);
    isStopping = true;
    for (std::thread& each : callers) {
      each.join();
    }
    Record("sent %d, served %d, run %d; reached i-1 later than %ld ms after it "
           "was known to drain: %d",
           sent.load(), served.load(), runs.load(), kDrainMs, late.load());
    result = late > 0 ? kBroken : served > 100 ? kHeld : kNotRun;
  }
  for (gateway& each : fronts) {
    EndProcess(each, SIGKILL, 2000);
  }
  foxtailquay::StopStore(store);
  Record("result %d (0 held, 1 broken, 2 not run)", result);
  return result;
}
