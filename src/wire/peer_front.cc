#include "wire/peer_front.h"

#include <utility>
#include <vector>

#include "runtime/log.h"
#include "wire/error_codec.h"
#include "wire/key_check.h"
#include "wire/message_codec.h"

namespace foxtailquay {

namespace {

constexpr char kDrainMethod[] = "drain";

std::vector<std::string> ListMethods()
{
  std::vector<std::string> methods{ kDrainMethod };
  for (const auto& entry : NameTable(message_kind{})) {
    methods.emplace_back(entry.mName);
  }
  return methods;
}

bool HandleMessage(peer_front& aFront, const std::string& aMethod,
                   const Json::Value& aParams, Json::Value& aResult)
{
  if (aMethod == kDrainMethod) {
    aFront.mOptions.mOnDrain();
    return true;
  }
  const auto kind = FromName<message_kind>(aMethod);
  auto decoded = kind ? EnvelopeFromJson(*kind, aParams)
                      : result<envelope>(error{
                          error_code::ProtocolViolation, executed::No, "method",
                          "unknown method", absl::ZeroDuration() });
  if (!IsOk(decoded)) {
    Log(log_component::Peer, log_level::Warn, log_event::MessageInvalid,
        { { "kind", aMethod }, { "error", ToString(GetError(decoded)) } });
    aResult = ToJson(GetError(decoded));
    return false;
  }
  IncrementCounter(aFront.mMetrics, counter::MessagesReceived);
  Log(log_component::Peer, log_level::Debug, log_event::MessageReceived,
      { { "kind", aMethod }, { "from", ToString(GetValue(decoded).mSender) } });
  auto posted = aFront.mOptions.mOnMessage(GetValue(std::move(decoded)));
  if (!IsOk(posted)) {
    IncrementCounter(aFront.mMetrics, counter::EventsRefused);
    aResult = ToJson(GetError(posted));
    return false;
  }
  return true;
}

} // namespace

peer_front::peer_front(peer_front_options aOptions, metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mMetrics(aMetrics)
  , mRpc(MakeRpcServer(ListMethods(), [this](const std::string& aMethod,
                                             const Json::Value& aParams,
                                             Json::Value& aResult) {
    return HandleMessage(*this, aMethod, aParams, aResult);
  }))
{}

bool HasPeerKey(const std::string& aPeerKey, const http_request& aRequest)
{
  return aPeerKey.empty() || IsSameKey(FindBearerToken(aRequest), aPeerKey);
}

http_response MakePeerUnauthorizedResponse()
{
  return MakeErrorResponse(
    { error_code::Unauthorized, executed::No, "Authorization",
      "must be Bearer and the peers' key", absl::ZeroDuration() });
}

http_response HandleRpcRequest(peer_front& aFront, const http_request& aRequest)
{
  if (!HasPeerKey(aFront.mOptions.mPeerKey, aRequest)) {
    return MakePeerUnauthorizedResponse();
  }
  http_response response;
  response.mBody = HandleRpc(*aFront.mRpc, aRequest.mBody);
  return response;
}

} // namespace foxtailquay
