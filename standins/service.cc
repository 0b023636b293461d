// standin_service: a plain service that takes orders, which must not be
// placed twice. The protocol and the faults are in docs/platform.md.

#include "gflags/gflags.h"
#include "stand_in.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");
DEFINE_int32(delay_ms, 0, "time before a call runs");

namespace standins {
namespace {

struct service_faults
{
  int mDelayMs = 0;
  int mBreakBeforeAnswer = 0;
  int mFail = 0;
};

std::vector<fault_field> ListFields(service_faults& aFaults)
{
  return { Count("delay_ms", aFaults.mDelayMs),
           Count("break_before_answer", aFaults.mBreakBeforeAnswer),
           Count("fail", aFaults.mFail) };
}

struct service
{
  std::mutex mMutex;
  // Signalled when the faults change.
  std::condition_variable mChanged;
  // All guarded by mMutex.
  service_faults mFaults;
  std::vector<Json::Value> mOrders;
  // Every call that ran, in order.
  Json::Value mRan{ Json::arrayValue };
  // Calls that have arrived but not run yet.
  int mWaiting = 0;
};

void Record(service& aService, const httplib::Request& aRequest)
{
  Json::Value call;
  call["method"] = aRequest.method;
  call["path"] = aRequest.path;
  call["body"] = aRequest.body;
  call["request_id"] = aRequest.get_header_value("X-Request-Id");
  aService.mRan.append(call);
}

void PlaceOrder(service& aService, const httplib::Request& aRequest,
                httplib::Response& aResponse)
{
  Json::Value order;
  if (!ReadObject(aRequest, aResponse, order)) {
    return;
  }
  Record(aService, aRequest);
  Json::Value placed;
  placed["id"] = static_cast<Json::UInt64>(aService.mOrders.size() + 1);
  placed["status"] = "placed";
  placed["order"] = order;
  aService.mOrders.push_back(placed);
  Answer(aResponse, 201, placed);
}

void ReadOrder(service& aService, const httplib::Request& aRequest,
               httplib::Response& aResponse)
{
  Record(aService, aRequest);
  const std::string id = aRequest.matches[1];
  for (const Json::Value& order : aService.mOrders) {
    if (order["id"].asString() == id) {
      Answer(aResponse, 200, order);
      return;
    }
  }
  AnswerError(aResponse, 404, "no such order");
}

using handler = void (*)(service&, const httplib::Request&, httplib::Response&);

// A protocol handler: subject to the faults, and called under the lock.
httplib::Server::Handler Faulty(service& aService, handler aHandler)
{
  return [&aService, aHandler](const httplib::Request& aRequest,
                               httplib::Response& aResponse) {
    std::unique_lock<std::mutex> lock(aService.mMutex);
    const auto arrived = steady::now();
    const auto isDue = [&aService, arrived] {
      return steady::now() >=
             arrived + std::chrono::milliseconds(aService.mFaults.mDelayMs);
    };
    ++aService.mWaiting;
    while (!isDue()) {
      aService.mChanged.wait_until(
        lock, arrived + std::chrono::milliseconds(aService.mFaults.mDelayMs));
    }
    --aService.mWaiting;
    if (aService.mFaults.mFail > 0) {
      --aService.mFaults.mFail;
      AnswerError(aResponse, 500, "failed");
      return;
    }
    aHandler(aService, aRequest, aResponse);
    if (aService.mFaults.mBreakBeforeAnswer > 0) {
      --aService.mFaults.mBreakBeforeAnswer;
      aResponse = httplib::Response();
      aResponse.status = 200;
      BreakAnswer(aResponse);
    }
  };
}

void AddHandlers(service& aService, httplib::Server& aServer)
{
  aServer.Post("/orders", Faulty(aService, &PlaceOrder));
  aServer.Get(R"(/orders/(\d+))", Faulty(aService, &ReadOrder));
  aServer.Get(
    "/ran", [&aService](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aService.mMutex);
      Json::Value json;
      json["ran"] = aService.mRan;
      json["orders"] = static_cast<Json::UInt64>(aService.mOrders.size());
      json["waiting"] = aService.mWaiting;
      Answer(aResponse, 200, json);
    });
  aServer.Get("/load", [&aService](const httplib::Request&,
                                   httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aService.mMutex);
    Json::Value json;
    json["running"] = aService.mWaiting;
    json["queued"] = 0;
    Answer(aResponse, 200, json);
  });
  aServer.Post("/fault", [&aService](const httplib::Request& aRequest,
                                     httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aService.mMutex);
    if (HandleFault(aRequest, aResponse, aService.mFaults)) {
      aService.mChanged.notify_all();
    }
  });
}

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standins::service service;
  service.mFaults.mDelayMs = FLAGS_delay_ms;
  httplib::Server server;
  standins::AddHandlers(service, server);
  return standins::Serve(server, FLAGS_port);
}
