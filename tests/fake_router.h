// A stand-in for the operator interface of a router, for tests: answers on a
// loopback port with what the test has set, and keeps what it was asked.

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

struct fake_answer
{
  int mStatus = 200;
  std::string mBody = "{}";
  // Headers of the answer.
  std::map<std::string, std::string> mHeaders = {};
  // Breaks the connection off in the middle of the body.
  bool mBreakOff = false;
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
  // Guards the members below.
  std::mutex mMutex;
  // By "METHOD path"; anything else is answered with 404.
  std::map<std::string, fake_answer> mAnswers;
  std::vector<fake_request> mRequests;
};

inline void AnswerAs(const fake_answer& aAnswer, httplib::Response& aResponse)
{
  aResponse.status = aAnswer.mStatus;
  for (const auto& [name, value] : aAnswer.mHeaders) {
    aResponse.set_header(name, value);
  }
  if (aAnswer.mBreakOff) {
    aResponse.set_content_provider(
      1000, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink& aSink) {
        aSink.write("{", 1);
        return false;
      });
    return;
  }
  aResponse.set_content(aAnswer.mBody, "application/json");
}

inline void Handle(fake_router& aRouter, const httplib::Request& aRequest,
                   httplib::Response& aResponse)
{
  const std::lock_guard<std::mutex> lock(aRouter.mMutex);
  aRouter.mRequests.push_back({ aRequest.method, aRequest.path, aRequest.body,
                                aRequest.get_header_value("Authorization") });
  const auto found =
    aRouter.mAnswers.find(aRequest.method + " " + aRequest.path);
  AnswerAs(found != aRouter.mAnswers.end()
             ? found->second
             : fake_answer{ 404, "not found", {}, false },
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

// Returns once the port accepts connections.
inline fake_router_ptr StartFakeRouter()
{
  fake_router_ptr router(new fake_router);
  fake_router& started = *router;
  const auto handler = [&started](const httplib::Request& aRequest,
                                  httplib::Response& aResponse) {
    Handle(started, aRequest, aResponse);
  };
  started.mServer.Get(".*", handler);
  started.mServer.Post(".*", handler);
  const int port = started.mServer.bind_to_any_port("127.0.0.1");
  started.mAddress = "127.0.0.1:" + std::to_string(port);
  started.mThread =
    std::thread([&started] { started.mServer.listen_after_bind(); });
  // An answered request shows that the server runs; stop() has no effect on
  // one that does not yet.
  httplib::Client("http://" + started.mAddress).Get("/ready");
  started.mRequests.clear();
  return router;
}

} // namespace foxtailquay

#endif
