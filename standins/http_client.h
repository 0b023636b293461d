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

struct http_answer
{
  // 0 if there was no answer.
  int mStatus = 0;
  std::string mBody;
  // Null if the body is not JSON.
  Json::Value mJson;
  httplib::Headers mHeaders;
};

std::string HeaderOf(const http_answer& aAnswer, const std::string& aName);

// One request to 127.0.0.1.
http_answer Ask(int aPort, const std::string& aMethod, const std::string& aPath,
                const httplib::Headers& aHeaders = {},
                const std::string& aBody = {});
http_answer Ask(int aPort, const std::string& aMethod, const std::string& aPath,
                const httplib::Headers& aHeaders, const Json::Value& aBody);

// A request whose answer is read on a thread of its own while it arrives.
struct open_answer
{
  explicit open_answer(int aPort);
  ~open_answer();

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
  bool mWhole = false;
  bool mStop = false;
};

std::unique_ptr<open_answer> AskAsync(int aPort, const std::string& aMethod,
                                      const std::string& aPath,
                                      const httplib::Headers& aHeaders,
                                      const Json::Value& aBody);
// Waits until the answer contains aText or has ended. Returns whether it
// contains it.
bool AwaitText(open_answer& aAnswer, const std::string& aText);
// Waits for the end. Returns false if it was cut off or took over a minute.
bool AwaitEnd(open_answer& aAnswer);
// Closes the connection without waiting for the end.
void Abandon(open_answer& aAnswer);

} // namespace foxtailquay

#endif
