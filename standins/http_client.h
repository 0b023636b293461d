// HTTP client for ports of 127.0.0.1, for the demo and the tests with real
// processes. It waits for a response for at most a minute, much longer than a
// loaded machine needs, so that a missing response is a failure.

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
  // 0 if there was no complete response.
  int mStatus = 0;
  std::string mBody;
  // Null if the body is not JSON.
  Json::Value mJson;
  httplib::Headers mHeaders;
};

// Returns the value of a header field, or an empty text if it is missing.
std::string FindHeader(const client_response& aResponse,
                       const std::string& aName);

// Sends a request to a port of 127.0.0.1 and blocks until the response is
// complete.
client_response CallHttp(int aPort, const std::string& aMethod,
                         const std::string& aPath,
                         const httplib::Headers& aHeaders = {},
                         const std::string& aBody = {});
client_response CallHttp(int aPort, const std::string& aMethod,
                         const std::string& aPath,
                         const httplib::Headers& aHeaders,
                         const Json::Value& aBody);

// A request whose response is read by a separate thread while it arrives. The
// destructor cancels the call.
struct streamed_response
{
  explicit streamed_response(int aPort);
  ~streamed_response();

  httplib::Client mClient;
  std::thread mThread;
  std::mutex mMutex;
  // Notified when a member below changes.
  std::condition_variable mChanged;
  // This and the members below are guarded by mMutex.
  std::string mText;
  int mStatus = 0;
  httplib::Headers mHeaders;
  // True if the response is complete or the call has failed.
  bool mEnded = false;
  // True if the response was received completely.
  bool mComplete = false;
  bool mIsCancelled = false;
};

// Sends a request to a port of 127.0.0.1 without waiting for the response.
std::unique_ptr<streamed_response> StartHttpCall(
  int aPort, const std::string& aMethod, const std::string& aPath,
  const httplib::Headers& aHeaders, const Json::Value& aBody);
// Waits until the response contains aText or has ended. Returns whether it
// contains aText.
bool AwaitText(streamed_response& aResponse, const std::string& aText);
// Waits until the call has ended. Returns whether the response is complete;
// false also after a minute.
bool AwaitEnd(streamed_response& aResponse);
// Closes the connection without waiting for the rest of the response.
void CancelCall(streamed_response& aResponse);

} // namespace foxtailquay

#endif
