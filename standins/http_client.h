// A plain HTTP client to loopback ports, for the demo and the real-process
// tests. Answers are awaited for at most a minute, far above what a loaded
// machine needs; a wait that ends without an answer is a failure.

#ifndef STANDINS_HTTP_CLIENT_H
#define STANDINS_HTTP_CLIENT_H

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "httplib.h"
#include "json/json.h"

namespace foxtailquay {

struct client_response
{
  // 0 if there was no answer.
  int mStatus = 0;
  std::string mBody;
  // Null if the body is not JSON.
  Json::Value mJson;
  httplib::Headers mHeaders;
};

std::string FindHeader(const client_response& aResponse,
                       const std::string& aName);

// One request to 127.0.0.1.
client_response CallHttp(int aPort, const std::string& aMethod,
                         const std::string& aPath,
                         const httplib::Headers& aHeaders = {},
                         const std::string& aBody = {});
client_response CallHttp(int aPort, const std::string& aMethod,
                         const std::string& aPath,
                         const httplib::Headers& aHeaders,
                         const Json::Value& aBody);

// A request whose answer is read on a thread of its own while it arrives.
struct streamed_response
{
  explicit streamed_response(int aPort);
  ~streamed_response();

  httplib::Client mClient;
  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mChanged;
  // Guarded by mMutex.
  std::string mText;
  int mStatus = 0;
  httplib::Headers mHeaders;
  bool mEnded = false;
  // True if the answer ended properly.
  bool mComplete = false;
  bool mStop = false;
};

std::unique_ptr<streamed_response> StartHttpCall(
  int aPort, const std::string& aMethod, const std::string& aPath,
  const httplib::Headers& aHeaders, const Json::Value& aBody);
// Waits until the answer contains aText or has ended. Returns whether it
// contains it.
bool AwaitText(streamed_response& aResponse, const std::string& aText);
// Waits for the end. Returns false if it was cut off or took over a minute.
bool AwaitEnd(streamed_response& aResponse);
// Closes the connection without waiting for the end.
void Abandon(streamed_response& aResponse);

} // namespace foxtailquay

#endif
