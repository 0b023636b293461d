#include "wire/peer_client.h"

#include "absl/strings/numbers.h"
#include "httplib.h"
#include "wire/json_rpc.h"
#include "wire/message_codec.h"

namespace foxtailquay {

struct peer_client
{
  std::string mIp;
  int mPort = 0;
  peer_client_options mOptions;
  std::unique_ptr<httplib::Client> mHttp;
};

namespace {

// Replaces the HTTP client; the next call opens a new connection.
void ResetHttpClient(peer_client& aClient)
{
  aClient.mHttp = std::make_unique<httplib::Client>(aClient.mIp, aClient.mPort);
  aClient.mHttp->set_keep_alive(true);
  aClient.mHttp->set_tcp_nodelay(true);
  aClient.mHttp->set_connection_timeout(
    absl::ToChronoMicroseconds(aClient.mOptions.mConnectTimeout));
  aClient.mHttp->set_read_timeout(
    absl::ToChronoMicroseconds(aClient.mOptions.mResponseTimeout));
  aClient.mHttp->set_write_timeout(
    absl::ToChronoMicroseconds(aClient.mOptions.mResponseTimeout));
  if (!aClient.mOptions.mPeerKey.empty()) {
    aClient.mHttp->set_bearer_token_auth(aClient.mOptions.mPeerKey);
  }
}

// Sends the text of one JSON-RPC call, on a new connection if the open one
// fails. Returns false if there was no response.
bool CallRpcPath(peer_client& aClient, const std::string& aRequest,
                 std::string& aResponse)
{
  const bool wasOpen = aClient.mHttp != nullptr;
  if (!wasOpen) {
    ResetHttpClient(aClient);
  }
  auto response = aClient.mHttp->Post("/rpc", aRequest, "application/json");
  if (!response && wasOpen) {
    ResetHttpClient(aClient);
    response = aClient.mHttp->Post("/rpc", aRequest, "application/json");
  }
  if (!response) {
    aClient.mHttp.reset();
    return false;
  }
  aResponse = response->body;
  return true;
}

} // namespace

void peer_client_deleter::operator()(peer_client* aClient) const
{
  delete aClient;
}

peer_client_ptr MakePeerClient(const std::string& aAddress,
                               const peer_client_options& aOptions)
{
  peer_client_ptr client(new peer_client);
  const auto colon = aAddress.rfind(':');
  client->mIp = aAddress.substr(0, colon);
  // A malformed address leaves port 0, which cannot be connected to.
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(aAddress.substr(colon + 1), &client->mPort)) {
    client->mPort = 0;
  }
  client->mOptions = aOptions;
  return client;
}

delivery_outcome DeliverMessage(peer_client& aClient, const envelope& aEnvelope,
                                std::string& aDetail)
{
  const rpc_outcome outcome = CallRpc(
    [&aClient](const std::string& aRequest, std::string& aResponse) {
      return CallRpcPath(aClient, aRequest, aResponse);
    },
    std::string(ToName(GetMessageKind(aEnvelope.mBody))), ToJson(aEnvelope));
  aDetail = outcome.mDetail;
  if (!outcome.mHasResponse) {
    return delivery_outcome::Unreachable;
  }
  return outcome.mSucceeded ? delivery_outcome::Delivered
                            : delivery_outcome::Refused;
}

} // namespace foxtailquay
