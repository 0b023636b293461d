// Requests whose body has a transfer coding that the gateway does not know. The
// body must not be read as a further request.

#include <set>
#include <string>
#include <vector>

#include "common/standins.hpp"

using namespace review;

namespace {

std::mutex gMutex;
std::set<std::string> gRan;

void RunRequest(worker& aSelf, connection& aCaller, const message& aRequest)
{
  const std::string id = aRequest.Field("Foxtailquay-Attempt-Id");
  aSelf.Log().Line("worker %s runs %s %s, id %s, %zu bytes", aSelf.Id().c_str(),
                   aRequest.Method().c_str(), aRequest.Target().c_str(),
                   id.c_str(), aRequest.mBody.size());
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gRan.insert(id);
  }
  aCaller.Send(aSelf.Head(aRequest, 200) + "Content-Length: 4\r\n\r\ndone");
}

} // namespace

int main(int argc, char** argv)
{
  record log(argc > 1 ? argv[1] : "record.txt");
  store platform(log);
  worker a(log, 11, "i-a", "app", RunRequest);
  platform.Put(
    "op/config",
    MakeConfig(3,
               R"([{"name":"r-2","host":"shop.example","prefix":"/order/",)"
               R"("kind":"non_idempotent","timeout_ms":3000,)"
               R"("target_latency_ms":100,"priority":1,"service":"app",)"
               R"("max_attempts":1,"public":false,"sticky":false}])",
               R"([{"name":"app","health_path":"/health","max_conns":110,)"
               R"("protocol":"h1","tls":false}])"));
  platform.Put("servers/i-a", a.Entry("ready"));
  gateway gate(log, platform, "front-1", 3);
  if (!gate.AwaitReady(15)) {
    Finish(log, 2, "the gateway is not ready");
  }
  const std::vector<std::string> codings = { "gzip", "identity", "xchunked",
                                             "chunked, gzip",
                                             "chunked, identity" };
  int number = 0;
  for (const std::string& coding : codings) {
    const std::string id = "outer-" + std::to_string(++number);
    const std::string inner = "inner-" + std::to_string(number);
    const std::string hidden =
      MakeRequest("POST", "/order/hidden", inner, 3000, "", "order 99");
    const std::string fields =
      HasTrouble()
        ? "Transfer-Encoding: " + coding + "\r\n"
        : "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
    log.Line("coding %s", fields.c_str());
    connection channel(Connect(gate.Front()));
    log.Line("requester sends %s with %s", id.c_str(), inner.c_str());
    channel.Send("POST /order/outer HTTP/1.1\r\nHost: shop.example\r\n"
                 "Foxtailquay-Attempt-Id: " +
                 id +
                 "\r\nFoxtailquay-Deadline-Ms: 3000\r\n"
                 "Authorization: Bearer key-1\r\n" +
                 fields + "\r\n" + hidden);
    const double end = Now() + 0.4;
    while (Now() < end && channel.Receive(end - Now())) {
    }
    log.Line("requester gets %s", channel.Buffer().c_str());
    Sleep(0.2);
  }
  int smuggled = 0;
  for (const std::string& id : gRan) {
    smuggled += id.find("inner") == 0 ? 1 : 0;
  }
  log.Line("%d requests that were inside others have run", smuggled);
  if (smuggled > 0) {
    Finish(log, 1, "UNASKED is broken");
  }
  Finish(log, 0, "UNASKED held");
}
