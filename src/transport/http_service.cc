#include "transport/http_service.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "runtime/clock.h"

namespace foxtailquay {

namespace {

// Parses received bytes and calls mOnCall once a call is complete. Later calls
// on the connection wait for the response.
void ReadNextCall(http_service& aService, channel_id aChannel)
{
  const auto found = aService.mConnections.find(aChannel);
  if (found == aService.mConnections.end() || found->second->mIsHandlingCall) {
    return;
  }
  service_connection& connection = *found->second;
  if (!connection.mInput.empty() &&
      connection.mCallStartedAt == absl::InfiniteFuture()) {
    connection.mCallStartedAt = MonotonicNow();
  }
  ParseInput(connection.mReader, connection.mInput);
  if (connection.mReader.mFailure != reader_failure::None) {
    aService.mConnections.erase(found);
    Close(aService.mLoop, aChannel);
    return;
  }
  if (!connection.mReader.mIsComplete) {
    return;
  }
  connection.mIsHandlingCall = true;
  connection.mCallStartedAt = absl::InfiniteFuture();
  http_service_call call{ aChannel, std::move(connection.mReader.mHead),
                          std::move(connection.mReader.mBody) };
  aService.mOnCall(call);
}

void OnAccepted(http_service& aService, channel_id aChannel)
{
  auto connection = std::make_unique<service_connection>();
  StartReading(connection->mReader, message_kind::Request, {});
  aService.mConnections[aChannel] = std::move(connection);
  channel_handlers handlers;
  handlers.mOnData = [&aService, aChannel](std::string_view aData) {
    const auto found = aService.mConnections.find(aChannel);
    if (found != aService.mConnections.end()) {
      service_connection& connection = *found->second;
      connection.mInput.append(aData.data(), aData.size());
      if (connection.mIsHandlingCall &&
          connection.mInput.size() > kMaxWaitingBytes) {
        SetReadingPaused(aService.mLoop, aChannel, true);
      }
      ReadNextCall(aService, aChannel);
    }
  };
  handlers.mOnClosed = [&aService, aChannel](close_cause) {
    aService.mConnections.erase(aChannel);
  };
  SetHandlers(aService.mLoop, aChannel, std::move(handlers));
}

} // namespace

result<success> StartService(http_service& aService,
                             const std::string& aAddress)
{
  return Listen(aService.mLoop, aAddress, {}, [&aService](channel_id aChannel) {
    OnAccepted(aService, aChannel);
  });
}

void SendResponse(http_service& aService, channel_id aChannel, int aStatus,
                  std::string_view aContentType, std::string_view aBody)
{
  const auto found = aService.mConnections.find(aChannel);
  if (found == aService.mConnections.end()) {
    return;
  }
  service_connection& connection = *found->second;
  const bool keep = connection.mReader.mKeepAlive;
  std::string text =
    absl::StrCat("HTTP/1.1 ", aStatus, aStatus == 200 ? " OK" : " Error",
                 "\r\nContent-Type: ",
                 absl::string_view(aContentType.data(), aContentType.size()),
                 "\r\nContent-Length: ", aBody.size(),
                 keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
  text.append(aBody);
  Send(aService.mLoop, aChannel, text);
  if (!keep) {
    aService.mConnections.erase(found);
    CloseWhenDrained(aService.mLoop, aChannel);
    return;
  }
  connection.mIsHandlingCall = false;
  StartReading(connection.mReader, message_kind::Request, {});
  SetReadingPaused(aService.mLoop, aChannel, false);
  ReadNextCall(aService, aChannel);
}

void ExpireCalls(http_service& aService, absl::Time aNow)
{
  std::vector<channel_id> expired;
  for (const auto& each : aService.mConnections) {
    if (aNow - each.second->mCallStartedAt > kMaxCallTime) {
      expired.push_back(each.first);
    }
  }
  for (const channel_id channel : expired) {
    aService.mConnections.erase(channel);
    Close(aService.mLoop, channel);
  }
}

} // namespace foxtailquay
