#include "http_client.h"

#include <chrono>
#include <sstream>

namespace foxtailquay {

namespace {

constexpr int kResponseTimeoutSeconds = 60;

Json::Value ParseJson(const std::string& aText)
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
  aClient.set_connection_timeout(kResponseTimeoutSeconds);
  aClient.set_read_timeout(kResponseTimeoutSeconds);
  aClient.set_tcp_nodelay(true);
}

} // namespace

std::string FindHeader(const client_response& aResponse,
                       const std::string& aName)
{
  const auto found = aResponse.mHeaders.find(aName);
  return found == aResponse.mHeaders.end() ? "" : found->second;
}

client_response CallHttp(int aPort, const std::string& aMethod,
                         const std::string& aPath,
                         const httplib::Headers& aHeaders,
                         const std::string& aBody)
{
  httplib::Client client("127.0.0.1", aPort);
  SetTimeouts(client);
  const auto response =
    client.send(MakeRequest(aMethod, aPath, aHeaders, aBody));
  if (!response) {
    return {};
  }
  return { response->status, response->body, ParseJson(response->body),
           response->headers };
}

client_response CallHttp(int aPort, const std::string& aMethod,
                         const std::string& aPath,
                         const httplib::Headers& aHeaders,
                         const Json::Value& aBody)
{
  return CallHttp(aPort, aMethod, aPath, aHeaders, ToBody(aBody));
}

streamed_response::streamed_response(int aPort)
  : mClient("127.0.0.1", aPort)
{
  SetTimeouts(mClient);
}

streamed_response::~streamed_response()
{
  CancelCall(*this);
  mThread.join();
}

namespace {

void ReadResponse(streamed_response& aResponse, httplib::Request aRequest)
{
  aRequest.response_handler =
    [&aResponse](const httplib::Response& aHeaderSection) {
      const std::lock_guard<std::mutex> lock(aResponse.mMutex);
      aResponse.mStatus = aHeaderSection.status;
      aResponse.mHeaders = aHeaderSection.headers;
      aResponse.mChanged.notify_all();
      return !aResponse.mIsCancelled;
    };
  aRequest.content_receiver = [&aResponse](const char* aData, std::size_t aSize,
                                           std::uint64_t, std::uint64_t) {
    const std::lock_guard<std::mutex> lock(aResponse.mMutex);
    aResponse.mText.append(aData, aSize);
    aResponse.mChanged.notify_all();
    return !aResponse.mIsCancelled;
  };
  const auto response = aResponse.mClient.send(aRequest);
  const std::lock_guard<std::mutex> lock(aResponse.mMutex);
  aResponse.mEnded = true;
  aResponse.mComplete = static_cast<bool>(response);
  aResponse.mChanged.notify_all();
}

} // namespace

std::unique_ptr<streamed_response> StartHttpCall(
  int aPort, const std::string& aMethod, const std::string& aPath,
  const httplib::Headers& aHeaders, const Json::Value& aBody)
{
  auto response = std::make_unique<streamed_response>(aPort);
  response->mThread = std::thread(
    [&target = *response,
     request = MakeRequest(aMethod, aPath, aHeaders, ToBody(aBody))] {
      ReadResponse(target, request);
    });
  return response;
}

bool AwaitText(streamed_response& aResponse, const std::string& aText)
{
  std::unique_lock<std::mutex> lock(aResponse.mMutex);
  const auto contains = [&] {
    return aResponse.mText.find(aText) != std::string::npos;
  };
  aResponse.mChanged.wait_for(lock,
                              std::chrono::seconds(kResponseTimeoutSeconds),
                              [&] { return aResponse.mEnded || contains(); });
  return contains();
}

bool AwaitEnd(streamed_response& aResponse)
{
  std::unique_lock<std::mutex> lock(aResponse.mMutex);
  aResponse.mChanged.wait_for(lock,
                              std::chrono::seconds(kResponseTimeoutSeconds),
                              [&] { return aResponse.mEnded; });
  return aResponse.mEnded && aResponse.mComplete;
}

void CancelCall(streamed_response& aResponse)
{
  {
    const std::lock_guard<std::mutex> lock(aResponse.mMutex);
    aResponse.mIsCancelled = true;
  }
  // stop() has no effect on a connection that is not open yet; mIsCancelled
  // closes that one when the first part of the response arrives.
  aResponse.mClient.stop();
}

} // namespace foxtailquay
