// Services of a gateway process other than that for callers. Used on the
// traffic thread.

#include "absl/strings/str_cat.h"
#include "daemon/gateway_host_state.h"
#include "platform/request_codec.h"
#include "runtime/log.h"
#include "wire/gateway_codec.h"

namespace foxtailquay {

namespace {

std::vector<gauge_value> ReadGauges(gateway_host& aHost)
{
  return {
    { gauge::OpenRequests, double(aHost.mSummary.mRequests) },
    { gauge::ControlQueueLength, double(GetSize(aHost.mQueue)) },
    { gauge::ConfigVersion, double(aHost.mSummary.mVersion) },
    { gauge::QuarantinedSuspects, double(aHost.mSummary.mQuarantinedSuspects) },
    { gauge::RateLimitedServers, double(aHost.mSummary.mRateLimitedBackends) },
    { gauge::ColdServers, double(aHost.mSummary.mColdBackends) },
    { gauge::UnconfirmedServers, double(aHost.mSummary.mUnconfirmedBackends) },
    { gauge::EvacuatedZones, double(aHost.mSummary.mEvacuatedZones) },
    { gauge::WaitingRequests, double(aHost.mSummary.mWaitingRequests) },
    { gauge::PrepaidTokensHeld, double(aHost.mSummary.mTokensHeld) },
    { gauge::PrepaidTokensTarget, double(aHost.mSummary.mTokensTarget) },
    { gauge::Ready, aHost.mReady ? 1.0 : 0.0 }
  };
}

} // namespace

void OnReadyCall(gateway_host& aHost, const http_service_call& aCall)
{
  const bool isReadinessCheck = platform::IsReadinessCheck(aCall.mHead);
  const int status = !isReadinessCheck ? 404 : (aHost.mReady ? 200 : 503);
  SendResponse(aHost.mReadyService, aCall.mChannel, status, "text/plain",
               status == 200 ? "ready\n" : "not ready\n");
}

void OnPeerCall(gateway_host& aHost, const http_service_call& aCall)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesReceived);
  auto decoded = DecodeGatewayCall(aCall.mBody);
  if (!IsOk(decoded)) {
    Log(log_component::Peer, log_level::Warn, log_event::MessageInvalid,
        { { "problem", ToString(GetError(decoded)) } });
    SendResponse(aHost.mPeerService, aCall.mChannel, 400, "text/plain", "");
    return;
  }
  gateway_message message = GetValue(std::move(decoded));
  if (auto* request = std::get_if<tokens_requested>(&message)) {
    request->mCall = aCall.mChannel;
    PostEvent(aHost, *request);
    return;
  }
  if (auto* recall = std::get_if<tokens_recalled>(&message)) {
    recall->mCall = aCall.mChannel;
    PostEvent(aHost, std::move(*recall));
    return;
  }
  if (auto* grants = std::get_if<grants_shared>(&message)) {
    grants->mCall = aCall.mChannel;
    PostEvent(aHost, std::move(*grants));
    return;
  }
  if (auto* servers = std::get_if<servers_requested>(&message)) {
    servers->mCall = aCall.mChannel;
    PostEvent(aHost, *servers);
    return;
  }
  if (auto* explain = std::get_if<explain_requested>(&message)) {
    explain->mCall = aCall.mChannel;
    if (!PostEvent(aHost, std::move(*explain))) {
      SendResponse(aHost.mPeerService, aCall.mChannel, 503, "text/plain", "");
    }
    return;
  }
  if (auto* returned = std::get_if<tokens_returned>(&message)) {
    PostEvent(aHost, std::move(*returned));
  } else {
    PostEvent(aHost, std::get<prompts_reported>(std::move(message)));
  }
  SendResponse(aHost.mPeerService, aCall.mChannel, 200, "application/json",
               EncodeTokenResponse({}));
}

void OnMetricsCall(gateway_host& aHost, const http_service_call& aCall)
{
  if (aCall.mHead.mTarget == "/metrics") {
    SendResponse(aHost.mMetricsService, aCall.mChannel, 200, "text/plain",
                 RenderMetrics(*aHost.mMetrics, ReadGauges(aHost)));
    return;
  }
  const gateway_summary& summary = aHost.mSummary;
  SendResponse(
    aHost.mMetricsService, aCall.mChannel,
    aCall.mHead.mTarget == "/debug/state" ? 200 : 404, "application/json",
    absl::StrCat("{\"config_version\":", summary.mVersion,
                 ",\"open_requests\":", summary.mRequests, ",\"backends\":",
                 summary.mBackends, ",\"peers\":", summary.mPeers,
                 ",\"quarantined_suspects\":", summary.mQuarantinedSuspects,
                 ",\"rate_limited_servers\":", summary.mRateLimitedBackends,
                 ",\"cold_servers\":", summary.mColdBackends,
                 ",\"unconfirmed_servers\":", summary.mUnconfirmedBackends,
                 ",\"evacuated_zones\":", summary.mEvacuatedZones,
                 ",\"waiting_requests\":", summary.mWaitingRequests,
                 ",\"ready\":", summary.mReady ? "true" : "false", "}\n"));
}

} // namespace foxtailquay
