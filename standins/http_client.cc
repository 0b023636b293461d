#include "http_client.h"

#include <chrono>
#include <sstream>

namespace foxtailquay {

namespace {

constexpr int kAnswerSeconds = 60;

Json::Value Parse(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  std::istringstream text(aText);
  Json::Value json;
  std::string errors;
  return Json::parseFromStream(builder, text, &json, &errors) ? json
                                                              : Json::Value();
}

std::string ToBody(const Json::Value& aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aJson);
}

httplib::Request MakeRequest(const std::string& aMethod,
                             const std::string& aPath,
                             const httplib::Headers& aHeaders,
                             const std::string& aBody)
{
  httplib::Request request;
  request.method = aMethod;
  request.path = aPath;
  request.headers = aHeaders;
  request.body = aBody;
  if (!aBody.empty()) {
    request.set_header("Content-Type", "application/json");
  }
  return request;
}

void SetTimeouts(httplib::Client& aClient)
{
  aClient.set_connection_timeout(kAnswerSeconds);
  aClient.set_read_timeout(kAnswerSeconds);
  aClient.set_tcp_nodelay(true);
}

} // namespace

std::string HeaderOf(const http_answer& aAnswer, const std::string& aName)
{
  const auto found = aAnswer.mHeaders.find(aName);
  return found == aAnswer.mHeaders.end() ? "" : found->second;
}

http_answer Ask(int aPort, const std::string& aMethod, const std::string& aPath,
                const httplib::Headers& aHeaders, const std::string& aBody)
{
  httplib::Client client("127.0.0.1", aPort);
  SetTimeouts(client);
  const auto answer = client.send(MakeRequest(aMethod, aPath, aHeaders, aBody));
  if (!answer) {
    return {};
  }
  return { answer->status, answer->body, Parse(answer->body), answer->headers };
}

http_answer Ask(int aPort, const std::string& aMethod, const std::string& aPath,
                const httplib::Headers& aHeaders, const Json::Value& aBody)
{
  return Ask(aPort, aMethod, aPath, aHeaders, ToBody(aBody));
}

open_answer::open_answer(int aPort)
  : mClient("127.0.0.1", aPort)
{
  SetTimeouts(mClient);
}

open_answer::~open_answer()
{
  Abandon(*this);
  mThread.join();
}

namespace {

void ReadAnswer(open_answer& aAnswer, httplib::Request aRequest)
{
  aRequest.response_handler = [&aAnswer](const httplib::Response& aHead) {
    const std::lock_guard<std::mutex> lock(aAnswer.mMutex);
    aAnswer.mStatus = aHead.status;
    aAnswer.mHeaders = aHead.headers;
    aAnswer.mChanged.notify_all();
    return !aAnswer.mStop;
  };
  aRequest.content_receiver = [&aAnswer](const char* aData, std::size_t aSize,
                                         std::uint64_t, std::uint64_t) {
    const std::lock_guard<std::mutex> lock(aAnswer.mMutex);
    aAnswer.mText.append(aData, aSize);
    aAnswer.mChanged.notify_all();
    return !aAnswer.mStop;
  };
  const auto answer = aAnswer.mClient.send(aRequest);
  const std::lock_guard<std::mutex> lock(aAnswer.mMutex);
  aAnswer.mEnded = true;
  aAnswer.mWhole = static_cast<bool>(answer);
  aAnswer.mChanged.notify_all();
}

} // namespace

std::unique_ptr<open_answer> AskAsync(int aPort, const std::string& aMethod,
                                      const std::string& aPath,
                                      const httplib::Headers& aHeaders,
                                      const Json::Value& aBody)
{
  auto answer = std::make_unique<open_answer>(aPort);
  answer->mThread = std::thread(
    [&target = *answer,
     request = MakeRequest(aMethod, aPath, aHeaders, ToBody(aBody))] {
      ReadAnswer(target, request);
    });
  return answer;
}

bool AwaitText(open_answer& aAnswer, const std::string& aText)
{
  std::unique_lock<std::mutex> lock(aAnswer.mMutex);
  const auto contains = [&] {
    return aAnswer.mText.find(aText) != std::string::npos;
  };
  aAnswer.mChanged.wait_for(lock, std::chrono::seconds(kAnswerSeconds),
                            [&] { return aAnswer.mEnded || contains(); });
  return contains();
}

bool AwaitEnd(open_answer& aAnswer)
{
  std::unique_lock<std::mutex> lock(aAnswer.mMutex);
  aAnswer.mChanged.wait_for(lock, std::chrono::seconds(kAnswerSeconds),
                            [&] { return aAnswer.mEnded; });
  return aAnswer.mEnded && aAnswer.mWhole;
}

void Abandon(open_answer& aAnswer)
{
  {
    const std::lock_guard<std::mutex> lock(aAnswer.mMutex);
    aAnswer.mStop = true;
  }
  // Has no effect on a connection that is not open yet; mStop ends that one.
  aAnswer.mClient.stop();
}

} // namespace foxtailquay
