#include "wire/probes.h"

#include "wire/document_codec.h"
#include "wire/state_json.h"

namespace foxtailquay {

namespace {

http_response ReadyReply(const result<bool>& aReady)
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

http_response MetricsReply(const metrics& aMetrics,
                           const std::vector<gauge_value>& aGauges)
{
  http_response response;
  response.mContentType = "text/plain; version=0.0.4";
  response.mBody = RenderMetrics(aMetrics, aGauges);
  return response;
}

http_response JsonReply(const result<Json::Value>& aJson)
{
  if (!IsOk(aJson)) {
    return MakeErrorResponse(GetError(aJson));
  }
  http_response response;
  response.mBody = ToText(GetValue(aJson));
  return response;
}

struct node_figures
{
  bool mReady = false;
  config_version mConfigVersion = 0;
};

std::vector<gauge_value> ReadGauges(const result<node_figures>& aFigures,
                                    std::size_t aOpen, std::size_t aQueued)
{
  std::vector<gauge_value> gauges{
    { gauge::OpenRequests, static_cast<double>(aOpen) },
    { gauge::ControlQueueLength, static_cast<double>(aQueued) },
  };
  if (IsOk(aFigures)) {
    gauges.push_back({ gauge::Ready, GetValue(aFigures).mReady ? 1.0 : 0.0 });
    gauges.push_back(
      { gauge::ConfigVersion,
        static_cast<double>(GetValue(aFigures).mConfigVersion) });
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
  return ReadyReply(QueryRouter<bool>(
    aLink, [](const router_state& aState) { return IsReady(aState); }));
}

http_response MakeAgentReadyResponse(agent_link& aLink)
{
  return ReadyReply(QueryAgent<bool>(
    aLink, [](const agent_state& aState) { return IsReady(aState); }));
}

http_response MakeRouterMetricsResponse(router_link& aLink)
{
  const auto figures =
    QueryRouter<node_figures>(aLink, [](const router_state& aState) {
      return node_figures{ IsReady(aState), GetConfig(aState).mVersion };
    });
  return MetricsReply(
    *aLink.mMetrics,
    ReadGauges(figures, GetSize(aLink.mCallers), GetSize(aLink.mQueue)));
}

http_response MakeAgentMetricsResponse(agent_link& aLink)
{
  const auto figures =
    QueryAgent<node_figures>(aLink, [](const agent_state& aState) {
      return node_figures{ IsReady(aState), Dump(aState).mConfigVersion };
    });
  return MetricsReply(*aLink.mMetrics, ReadGauges(figures, GetSize(aLink.mRuns),
                                                  GetSize(aLink.mQueue)));
}

http_response MakeRouterStateResponse(router_link& aLink)
{
  return JsonReply(
    QueryRouter<Json::Value>(aLink, [](const router_state& aState) {
      return DumpToJson(Dump(aState));
    }));
}

http_response MakeAgentStateResponse(agent_link& aLink)
{
  return JsonReply(QueryAgent<Json::Value>(
    aLink, [](const agent_state& aState) { return DumpToJson(Dump(aState)); }));
}

} // namespace foxtailquay
