// Performs the actions of the control thread on the traffic thread.

#include "daemon/gateway_host_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "wire/gateway_codec.h"

namespace foxtailquay {

namespace {

// Timeouts of a call to another gateway, which takes one round trip and at
// most one store write by the peer.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(600);
constexpr absl::Duration kPeerConnectTimeout = absl::Milliseconds(300);
// Interval at which a stopping process checks whether all responses are sent.
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);

client_call MakePeerCall(const std::string& aAddress, std::string aBody)
{
  client_call call;
  call.mAddress = aAddress;
  call.mMethod = "POST";
  call.mTarget = "/rpc";
  call.mBody = std::move(aBody);
  call.mConnectTimeout = kPeerConnectTimeout;
  call.mTimeout = kPeerTimeout;
  return call;
}

void RequestTokens(gateway_host& aHost, const request_tokens& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeRequestTokens(aAction)),
    [&aHost, aAction](const call_response& aResponse) {
      token_response_received receivedEvent{ aAction.mPeer, aAction.mWorkspace,
                                             std::nullopt, aAction.mKind };
      if (aResponse.mStatus == 200) {
        auto decoded = DecodeTokenResponse(aResponse.mBody);
        if (IsOk(decoded)) {
          receivedEvent.mResponse = GetValue(decoded);
        }
      }
      if (!receivedEvent.mResponse) {
        IncrementCounter(*aHost.mMetrics, counter::PeersUnreachable);
      }
      PostEvent(aHost, receivedEvent);
    });
}

void RecallTokens(gateway_host& aHost, const recall_tokens& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeRecallTokens(aAction)),
    [&aHost, aAction](const call_response& aResponse) {
      token_response_received received{ aAction.mPeer, aAction.mWorkspace,
                                        std::nullopt, token_call::Recall };
      if (aResponse.mStatus == 200) {
        auto decoded = DecodeTokenResponse(aResponse.mBody);
        if (IsOk(decoded)) {
          received.mResponse = GetValue(decoded);
        }
      } else if (aResponse.mStatus != 0) {
        // A gateway of an earlier version does not know the call and returns
        // nothing.
        received.mResponse = token_response{};
      }
      if (!received.mResponse) {
        IncrementCounter(*aHost.mMetrics, counter::PeersUnreachable);
      }
      PostEvent(aHost, std::move(received));
    });
}

void ReturnTokens(gateway_host& aHost, const return_tokens& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeReturnTokens(aAction)),
    [&aHost, aAction](const call_response& aResponse) {
      if (aResponse.mNotSent) {
        // The peer cannot have received the tokens, so they stay in this
        // gateway's grant. After any other failure the peer may have them.
        PostEvent(aHost, tokens_returned{ aAction.mWorkspace, aAction.mAmount,
                                          aAction.mPeer });
        return;
      }
      if (aResponse.mStatus != 200) {
        Log(log_component::Peer, log_level::Warn, log_event::MessageDropped,
            { { "message", "return_tokens" },
              { "workspace", aAction.mWorkspace.mValue },
              { "tokens", std::to_string(aAction.mAmount) },
              { "peer", aAction.mAddress } });
      }
    });
}

void ShareGrants(gateway_host& aHost, const share_grants& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(
    aHost.mCalls, MakePeerCall(aAction.mAddress, EncodeShareGrants(aAction)),
    [&aHost, peer = aAction.mPeer, replication = aAction.mReplication,
     era = aAction.mEra](const call_response& aResponse) {
      share_response_received received{ peer, replication, era, std::nullopt };
      if (aResponse.mStatus == 200) {
        auto decoded = DecodeShareResponse(aResponse.mBody);
        if (IsOk(decoded)) {
          received.mResponse = GetValue(std::move(decoded));
        }
      }
      if (!received.mResponse) {
        IncrementCounter(*aHost.mMetrics, counter::PeersUnreachable);
      }
      PostEvent(aHost, std::move(received));
    });
}

void RequestServers(gateway_host& aHost, const request_servers& aAction)
{
  IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
  StartCall(aHost.mCalls,
            MakePeerCall(aAction.mAddress, EncodeRequestServers()),
            [&aHost, peer = aAction.mPeer](const call_response& aResponse) {
              servers_received received{ peer, {} };
              // A gateway of an earlier version does not know the call.
              if (aResponse.mStatus == 200) {
                auto decoded = DecodeServersResponse(aResponse.mBody);
                if (IsOk(decoded)) {
                  received.mServers = GetValue(std::move(decoded));
                }
              }
              PostEvent(aHost, std::move(received));
            });
}

void ReportPrompts(gateway_host& aHost, const report_prompts& aAction)
{
  const std::string body = EncodeReportPrompts(aAction);
  for (const std::string& address : aAction.mAddresses) {
    IncrementCounter(*aHost.mMetrics, counter::MessagesSent);
    // A failure needs no handling: the peer's load estimate is only less exact.
    StartCall(aHost.mCalls, MakePeerCall(address, body),
              [](const call_response&) {});
  }
}

// Ends the process once the last responses are sent. Requests that arrive
// before that are refused by the control thread.
void ExitWhenDrained(gateway_host& aHost)
{
  if (!IsDrained(aHost.mTraffic, MonotonicNow()) &&
      MonotonicNow() < aHost.mStopDeadline) {
    StartTimer(aHost.mLoop, kDrainPollInterval,
               [&aHost] { ExitWhenDrained(aHost); });
    return;
  }
  Close(aHost.mQueue);
  StopLoop(aHost.mLoop);
}

void FinishStop(gateway_host& aHost)
{
  StopListening(aHost.mLoop);
  // Requests on the connections accepted last have not been read yet.
  StartTimer(aHost.mLoop, kDrainPollInterval,
             [&aHost] { ExitWhenDrained(aHost); });
}

struct action_performer
{
  gateway_host& mHost;

  void operator()(const send_error& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::CallerErrors);
    SendError(mHost.mTraffic, aAction);
  }
  void operator()(const deliver_failure& aAction)
  {
    DeliverFailure(mHost.mTraffic, aAction.mHandle);
  }
  void operator()(const cancel_request& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::CallersGone);
    CancelExchange(mHost.mTraffic, aAction.mHandle);
  }
  void operator()(const dispatch_request& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::RunsDispatched);
    DispatchExchange(mHost.mTraffic, aAction);
  }
  void operator()(const directory_query& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const grant_write& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const crash_report_write& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const probe_server& aAction)
  {
    ProbeServer(mHost.mTraffic, aAction);
  }
  void operator()(const registration_call& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const deregistration_call& aAction)
  {
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const grant_read& aAction)
  {
    IncrementCounter(*mHost.mMetrics, counter::StoreCalls);
    StartStoreCall(mHost.mStore, aAction);
  }
  void operator()(const share_grants& aAction) { ShareGrants(mHost, aAction); }
  void operator()(const request_servers& aAction)
  {
    RequestServers(mHost, aAction);
  }
  void operator()(const send_servers& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeServersResponse(aAction.mServers));
  }
  void operator()(const send_share_response& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeShareResponse(aAction.mResponse));
  }
  void operator()(const send_token_response& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeTokenResponse(aAction.mResponse));
  }
  void operator()(const request_tokens& aAction)
  {
    RequestTokens(mHost, aAction);
  }
  void operator()(const recall_tokens& aAction)
  {
    RecallTokens(mHost, aAction);
  }
  void operator()(const return_tokens& aAction)
  {
    ReturnTokens(mHost, aAction);
  }
  void operator()(const report_prompts& aAction)
  {
    ReportPrompts(mHost, aAction);
  }
  void operator()(const set_ready& aAction) { mHost.mReady = aAction.mReady; }
  void operator()(const set_closing& aAction)
  {
    mHost.mTraffic.mIsClosing = aAction.mIsClosing;
  }
  void operator()(const set_limits& aAction)
  {
    mHost.mTraffic.mLimits = aAction.mLimits;
  }
  void operator()(const stop_finished&) { FinishStop(mHost); }
  void operator()(const send_explanation& aAction)
  {
    SendResponse(mHost.mPeerService, aAction.mCall, 200, "application/json",
                 EncodeExplanation(aAction.mExplanation));
  }
  void operator()(const decision_record& aAction)
  {
    LogDecision(mHost.mDecisionLog, aAction, MonotonicNow());
  }
};

} // namespace

void PerformActions(gateway_host& aHost, const gateway_actions& aActions)
{
  for (const gateway_action& action : aActions) {
    std::visit(action_performer{ aHost }, action);
  }
}

} // namespace foxtailquay
