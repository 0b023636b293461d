// standin_service: a stand-in for a service without a model. It accepts orders,
// which must not be placed twice. The protocol and the faults are in
// docs/platform.md.

#include "gflags/gflags.h"
#include "stand_in.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");
DEFINE_int32(delay_ms, 0, "time before a call is executed, in ms");

namespace standins {
namespace {

struct service_faults
{
  int mDelayMs = 0;
  int mInterruptedResponses = 0;
  int mFailedCalls = 0;
};

std::vector<fault_field> ListFields(service_faults& aFaults)
{
  return { MakeIntegerFault("delay_ms", aFaults.mDelayMs),
           MakeIntegerFault("break_before_answer",
                            aFaults.mInterruptedResponses),
           MakeIntegerFault("fail", aFaults.mFailedCalls) };
}

struct service
{
  std::mutex mMutex;
  // Notified when the faults change.
  std::condition_variable mChanged;
  // The members below are guarded by mMutex.
  service_faults mFaults;
  std::vector<Json::Value> mOrders;
  // All executed calls, in order.
  Json::Value mExecutedCalls{ Json::arrayValue };
  // Calls that have arrived and are not executed yet.
  int mDelayedCalls = 0;
};

void RecordCall(service& aService, const httplib::Request& aRequest)
{
  Json::Value call;
  call["method"] = aRequest.method;
  call["path"] = aRequest.path;
  call["body"] = aRequest.body;
  call["request_id"] = aRequest.get_header_value("X-Request-Id");
  aService.mExecutedCalls.append(call);
}

void PlaceOrder(service& aService, const httplib::Request& aRequest,
                httplib::Response& aResponse)
{
  Json::Value order;
  if (!ParseObjectBody(aRequest, aResponse, order)) {
    return;
  }
  RecordCall(aService, aRequest);
  Json::Value placed;
  placed["id"] = static_cast<Json::UInt64>(aService.mOrders.size() + 1);
  placed["status"] = "placed";
  placed["order"] = order;
  aService.mOrders.push_back(placed);
  SendResponse(aResponse, 201, placed);
}

void ReadOrder(service& aService, const httplib::Request& aRequest,
               httplib::Response& aResponse)
{
  RecordCall(aService, aRequest);
  const std::string id = aRequest.matches[1];
  for (const Json::Value& order : aService.mOrders) {
    if (order["id"].asString() == id) {
      SendResponse(aResponse, 200, order);
      return;
    }
  }
  SendError(aResponse, 404, "no such order");
}

using handler = void (*)(service&, const httplib::Request&, httplib::Response&);

// Returns a handler that applies the faults and calls aHandler with the mutex
// held.
httplib::Server::Handler WithFaults(service& aService, handler aHandler)
{
  return [&aService, aHandler](const httplib::Request& aRequest,
                               httplib::Response& aResponse) {
    std::unique_lock<std::mutex> lock(aService.mMutex);
    const auto arrived = steady::now();
    const auto isDue = [&aService, arrived] {
      return steady::now() >=
             arrived + std::chrono::milliseconds(aService.mFaults.mDelayMs);
    };
    ++aService.mDelayedCalls;
    while (!isDue()) {
      aService.mChanged.wait_until(
        lock, arrived + std::chrono::milliseconds(aService.mFaults.mDelayMs));
    }
    --aService.mDelayedCalls;
    if (aService.mFaults.mFailedCalls > 0) {
      --aService.mFaults.mFailedCalls;
      SendError(aResponse, 500, "failed");
      return;
    }
    aHandler(aService, aRequest, aResponse);
    if (aService.mFaults.mInterruptedResponses > 0) {
      --aService.mFaults.mInterruptedResponses;
      aResponse = httplib::Response();
      aResponse.status = 200;
      InterruptResponse(aResponse);
    }
  };
}

void AddHandlers(service& aService, httplib::Server& aServer)
{
  aServer.Post("/orders", WithFaults(aService, &PlaceOrder));
  aServer.Get(R"(/orders/(\d+))", WithFaults(aService, &ReadOrder));
  aServer.Get(
    "/ran", [&aService](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aService.mMutex);
      Json::Value json;
      json["ran"] = aService.mExecutedCalls;
      json["orders"] = static_cast<Json::UInt64>(aService.mOrders.size());
      json["waiting"] = aService.mDelayedCalls;
      SendResponse(aResponse, 200, json);
    });
  aServer.Get("/load", [&aService](const httplib::Request&,
                                   httplib::Response& aResponse) {
    const std::lock_guard<std::mutex> lock(aService.mMutex);
    Json::Value json;
    json["running"] = aService.mDelayedCalls;
    json["queued"] = 0;
    SendResponse(aResponse, 200, json);
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
  return standins::RunServer(server, FLAGS_port);
}
