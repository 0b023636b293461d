#include "wire/http_call.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "httplib.h"

namespace foxtailquay {

namespace {

void AttachSocket(call_stopper& aStopper, int aSocket)
{
  absl::MutexLock lock(&aStopper.mMutex);
  if (aStopper.mSocket >= 0) {
    close(aStopper.mSocket);
  }
  aStopper.mSocket = dup(aSocket);
  if (aStopper.mStopped) {
    shutdown(aSocket, SHUT_RDWR);
  }
}

void ConfigureClient(httplib::Client& aClient, const http_call& aCall,
                     call_stopper* aStopper)
{
  aClient.set_tcp_nodelay(true);
  aClient.set_keep_alive(false);
  // The target is sent as it was received, already encoded.
  aClient.set_url_encode(false);
  aClient.set_connection_timeout(absl::ToChronoMicroseconds(
    std::max(aCall.mConnectTimeout, absl::Milliseconds(1))));
  aClient.set_read_timeout(absl::ToChronoMicroseconds(
    std::max(aCall.mReadTimeout, absl::Milliseconds(1))));
  aClient.set_write_timeout(absl::ToChronoMicroseconds(
    std::max(aCall.mReadTimeout, absl::Milliseconds(1))));
  if (aStopper != nullptr) {
    aClient.set_socket_options(
      [aStopper](socket_t aSocket) { AttachSocket(*aStopper, aSocket); });
  }
}

httplib::Request ToRequest(const http_call& aCall, const head_handler& aOnHead,
                           const data_handler& aOnData, bool& aStoppedByHandler)
{
  httplib::Request request;
  request.method = aCall.mMethod;
  request.path = aCall.mTarget;
  for (const auto& [name, value] : aCall.mHeaders) {
    request.headers.emplace(name, value);
  }
  if (aCall.mMethod != "GET" && aCall.mMethod != "HEAD") {
    request.body = aCall.mBody;
    if (!aCall.mContentType.empty()) {
      request.headers.emplace("Content-Type", aCall.mContentType);
    }
  }
  request.response_handler =
    [&aOnHead, &aStoppedByHandler](const httplib::Response& aResponse) {
      aStoppedByHandler =
        !aOnHead(aResponse.status, aResponse.get_header_value("Content-Type"));
      return !aStoppedByHandler;
    };
  request.content_receiver =
    [&aOnData, &aStoppedByHandler](const char* aData, size_t aSize, uint64_t,
                                   uint64_t) {
      aStoppedByHandler = !aOnData(std::string_view(aData, aSize));
      return !aStoppedByHandler;
    };
  return request;
}

call_outcome ToCallOutcome(bool aComplete, httplib::Error aError)
{
  if (aComplete) {
    return call_outcome::Complete;
  }
  return aError == httplib::Error::Connection ||
             aError == httplib::Error::ConnectionTimeout
           ? call_outcome::NotConnected
           : call_outcome::Broken;
}

} // namespace

call_stopper::~call_stopper()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

void Stop(call_stopper& aStopper)
{
  absl::MutexLock lock(&aStopper.mMutex);
  aStopper.mStopped = true;
  if (aStopper.mSocket >= 0) {
    shutdown(aStopper.mSocket, SHUT_RDWR);
  }
}

bool IsStopped(call_stopper& aStopper)
{
  absl::MutexLock lock(&aStopper.mMutex);
  return aStopper.mStopped;
}

call_outcome PerformCall(const http_call& aCall, const head_handler& aOnHead,
                         const data_handler& aOnData, call_stopper* aStopper)
{
  const auto colon = aCall.mAddress.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aCall.mAddress.substr(colon + 1), &port)) {
    return call_outcome::NotConnected;
  }
  if (aStopper != nullptr && IsStopped(*aStopper)) {
    return call_outcome::Stopped;
  }
  httplib::Client client(aCall.mAddress.substr(0, colon), port);
  ConfigureClient(client, aCall, aStopper);
  bool stoppedByHandler = false;
  const httplib::Request request =
    ToRequest(aCall, aOnHead, aOnData, stoppedByHandler);
  const httplib::Result response = client.send(request);
  const call_outcome outcome = ToCallOutcome(
    response.error() == httplib::Error::Success, response.error());
  if (outcome == call_outcome::Complete ||
      outcome == call_outcome::NotConnected) {
    return outcome;
  }
  return stoppedByHandler || (aStopper != nullptr && IsStopped(*aStopper))
           ? call_outcome::Stopped
           : outcome;
}

complete_response PerformCompleteCall(const http_call& aCall,
                                      std::size_t aMaxBytes)
{
  complete_response response;
  response.mOutcome = PerformCall(
    aCall,
    [&response](int aStatus, const std::string& aContentType) {
      response.mStatus = aStatus;
      response.mContentType = aContentType;
      return true;
    },
    [&response, aMaxBytes](std::string_view aData) {
      if (response.mBody.size() + aData.size() > aMaxBytes) {
        return false;
      }
      response.mBody.append(aData);
      return true;
    },
    nullptr);
  return response;
}

} // namespace foxtailquay
