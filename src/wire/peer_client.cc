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

void Connect(peer_client& aClient)
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

// Sends the text of one call. Returns false if there was no response.
bool Exchange(peer_client& aClient, const std::string& aRequest,
              std::string& aResponse)
{
  const bool kept = aClient.mHttp != nullptr;
  if (!kept) {
    Connect(aClient);
  }
  auto response = aClient.mHttp->Post("/rpc", aRequest, "application/json");
  if (!response && kept) {
    Connect(aClient);
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

delivery Deliver(peer_client& aClient, const envelope& aEnvelope,
                 std::string& aDetail)
{
  const rpc_outcome outcome = CallRpc(
    [&aClient](const std::string& aRequest, std::string& aResponse) {
      return Exchange(aClient, aRequest, aResponse);
    },
    std::string(ToName(GetMessageKind(aEnvelope.mBody))), ToJson(aEnvelope));
  aDetail = outcome.mDetail;
  if (!outcome.mAnswered) {
    return delivery::Unreachable;
  }
  return outcome.mOk ? delivery::Delivered : delivery::Refused;
}

} // namespace foxtailquay
