#include "wire/probes.h"

#include "wire/document_codec.h"
#include "wire/state_json.h"

namespace foxtailquay {

namespace {

http_response MakeReadyResponse(const result<bool>& aReady)
{
  if (!IsOk(aReady)) {
    return MakeErrorResponse(GetError(aReady));
  }
  http_response response;
  response.mStatus = GetValue(aReady) ? 200 : 503;
  response.mBody =
    GetValue(aReady) ? R"({"ready":true})" : R"({"ready":false})";
  return response;
}

http_response MakeMetricsResponse(const metrics& aMetrics,
                                  const std::vector<gauge_value>& aGauges)
{
  http_response response;
  response.mContentType = "text/plain; version=0.0.4";
  response.mBody = RenderMetrics(aMetrics, aGauges);
  return response;
}

http_response MakeJsonResponse(const result<Json::Value>& aJson)
{
  if (!IsOk(aJson)) {
    return MakeErrorResponse(GetError(aJson));
  }
  http_response response;
  response.mBody = ToText(GetValue(aJson));
  return response;
}

struct node_gauges
{
  bool mReady = false;
  config_version mConfigVersion = 0;
};

std::vector<gauge_value> ReadGauges(const result<node_gauges>& aNodeGauges,
                                    std::size_t aOpen, std::size_t aQueued)
{
  std::vector<gauge_value> gauges{
    { gauge::OpenRequests, static_cast<double>(aOpen) },
    { gauge::ControlQueueLength, static_cast<double>(aQueued) },
  };
  if (IsOk(aNodeGauges)) {
    gauges.push_back(
      { gauge::Ready, GetValue(aNodeGauges).mReady ? 1.0 : 0.0 });
    gauges.push_back(
      { gauge::ConfigVersion,
        static_cast<double>(GetValue(aNodeGauges).mConfigVersion) });
  }
  return gauges;
}

} // namespace

http_response MakeHealthResponse()
{
  http_response response;
  response.mBody = R"({"status":"ok"})";
  return response;
}

http_response MakeRouterReadyResponse(router_link& aLink)
{
  return MakeReadyResponse(QueryRouter<bool>(
    aLink, [](const router_state& aState) { return IsReady(aState); }));
}

http_response MakeAgentReadyResponse(agent_link& aLink)
{
  return MakeReadyResponse(QueryAgent<bool>(
    aLink, [](const agent_state& aState) { return IsReady(aState); }));
}

http_response MakeRouterMetricsResponse(router_link& aLink)
{
  const auto nodeGauges =
    QueryRouter<node_gauges>(aLink, [](const router_state& aState) {
      return node_gauges{ IsReady(aState), GetConfig(aState).mVersion };
    });
  return MakeMetricsResponse(
    *aLink.mMetrics,
    ReadGauges(nodeGauges, GetSize(aLink.mCallers), GetSize(aLink.mQueue)));
}

http_response MakeAgentMetricsResponse(agent_link& aLink)
{
  const auto nodeGauges =
    QueryAgent<node_gauges>(aLink, [](const agent_state& aState) {
      return node_gauges{ IsReady(aState), Dump(aState).mConfigVersion };
    });
  return MakeMetricsResponse(
    *aLink.mMetrics,
    ReadGauges(nodeGauges, GetSize(aLink.mRuns), GetSize(aLink.mQueue)));
}

http_response MakeRouterStateResponse(router_link& aLink)
{
  return MakeJsonResponse(QueryRouter<Json::Value>(
    aLink, [](const router_state& aState) { return ToJson(Dump(aState)); }));
}

http_response MakeAgentStateResponse(agent_link& aLink)
{
  return MakeJsonResponse(QueryAgent<Json::Value>(
    aLink, [](const agent_state& aState) { return ToJson(Dump(aState)); }));
}

} // namespace foxtailquay
