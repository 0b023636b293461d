// A fake of the operator interface of a router: sends the responses that the
// test has set, on a port of 127.0.0.1, and records the requests.

#ifndef FOXTAILQUAY_TESTS_FAKE_ROUTER_H
#define FOXTAILQUAY_TESTS_FAKE_ROUTER_H

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "httplib.h"

namespace foxtailquay {

struct fake_response
{
  int mStatus = 200;
  std::string mBody = "{}";
  // Header fields of the response.
  std::map<std::string, std::string> mHeaders = {};
  // Closes the connection in the middle of the body.
  bool mInterruptsBody = false;
};

struct fake_request
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::string mAuthorization;
};

struct fake_router
{
  httplib::Server mServer;
  std::thread mThread;
  std::string mAddress;
  // Guards the members below; a test may access them without the lock while it
  // sends no request.
  std::mutex mMutex;
  // By "METHOD path"; the response to any other request is 404.
  std::map<std::string, fake_response> mResponses;
  std::vector<fake_request> mRequests;
};

inline void SetResponse(const fake_response& aFakeResponse,
                        httplib::Response& aResponse)
{
  aResponse.status = aFakeResponse.mStatus;
  for (const auto& [name, value] : aFakeResponse.mHeaders) {
    aResponse.set_header(name, value);
  }
  if (aFakeResponse.mInterruptsBody) {
    aResponse.set_content_provider(
      1000, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink& aSink) {
        aSink.write("{", 1);
        return false;
      });
    return;
  }
  aResponse.set_content(aFakeResponse.mBody, "application/json");
}

inline void HandleRequest(fake_router& aRouter,
                          const httplib::Request& aRequest,
                          httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aRouter.mMutex);
  aRouter.mRequests.push_back({ aRequest.method, aRequest.path, aRequest.body,
                                aRequest.get_header_value("Authorization") });
  const auto found =
    aRouter.mResponses.find(aRequest.method + " " + aRequest.path);
  SetResponse(found != aRouter.mResponses.end()
                ? found->second
                : fake_response{ 404, "not found", {}, false },
              aResponse);
}

// Stops the server and joins its thread.
struct fake_router_deleter
{
  void operator()(fake_router* aRouter) const
  {
    aRouter->mServer.stop();
    aRouter->mThread.join();
    std::default_delete<fake_router>()(aRouter);
  }
};
using fake_router_ptr = std::unique_ptr<fake_router, fake_router_deleter>;

// Starts a fake router. Returns once it responds to requests.
inline fake_router_ptr StartFakeRouter()
{
  fake_router_ptr router(new fake_router);
  fake_router& started = *router;
  const auto handler = [&started](const httplib::Request& aRequest,
                                  httplib::Response& aResponse) {
    HandleRequest(started, aRequest, aResponse);
  };
  started.mServer.Get(".*", handler);
  started.mServer.Post(".*", handler);
  const int port = started.mServer.bind_to_any_port("127.0.0.1");
  started.mAddress = "127.0.0.1:" + std::to_string(port);
  started.mThread =
    std::thread([&started] { started.mServer.listen_after_bind(); });
  // The response to a request shows that the server runs; stop() has no effect
  // before.
  httplib::Client("http://" + started.mAddress).Get("/ready");
  started.mRequests.clear();
  return router;
}

} // namespace foxtailquay

#endif
