#include "wire/probes.h"

#include "wire/document_codec.h"
#include "wire/state_json.h"

namespace foxtailquay {

namespace {

http_reply ReadyReply(const result<bool>& aReady)
{
  if (!IsOk(aReady)) {
    return ErrorReply(ErrorOf(aReady));
  }
  http_reply reply;
  reply.mStatus = ValueOf(aReady) ? 200 : 503;
  reply.mBody = ValueOf(aReady) ? R"({"ready":true})" : R"({"ready":false})";
  return reply;
}

http_reply MetricsReply(const metrics& aMetrics,
                        const std::vector<gauge_value>& aGauges)
{
  http_reply reply;
  reply.mContentType = "text/plain; version=0.0.4";
  reply.mBody = RenderMetrics(aMetrics, aGauges);
  return reply;
}

http_reply JsonReply(const result<Json::Value>& aJson)
{
  if (!IsOk(aJson)) {
    return ErrorReply(ErrorOf(aJson));
  }
  http_reply reply;
  reply.mBody = ToText(ValueOf(aJson));
  return reply;
}

struct node_figures
{
  bool mReady = false;
  config_version mConfigVersion = 0;
};

std::vector<gauge_value> GaugesOf(const result<node_figures>& aFigures,
                                  std::size_t aOpen, std::size_t aQueued)
{
  std::vector<gauge_value> gauges{
    { gauge::OpenRequests, static_cast<double>(aOpen) },
    { gauge::ControlQueueLength, static_cast<double>(aQueued) },
  };
  if (IsOk(aFigures)) {
    gauges.push_back({ gauge::Ready, ValueOf(aFigures).mReady ? 1.0 : 0.0 });
    gauges.push_back({ gauge::ConfigVersion,
                       static_cast<double>(ValueOf(aFigures).mConfigVersion) });
  }
  return gauges;
}

} // namespace

http_reply HealthReply()
{
  http_reply reply;
  reply.mBody = R"({"status":"ok"})";
  return reply;
}

http_reply RouterReadyReply(router_link& aLink)
{
  return ReadyReply(QueryRouter<bool>(
    aLink, [](const router_state& aState) { return IsReady(aState); }));
}

http_reply AgentReadyReply(agent_link& aLink)
{
  return ReadyReply(QueryAgent<bool>(
    aLink, [](const agent_state& aState) { return IsReady(aState); }));
}

http_reply RouterMetricsReply(router_link& aLink)
{
  const auto figures =
    QueryRouter<node_figures>(aLink, [](const router_state& aState) {
      return node_figures{ IsReady(aState), ConfigOf(aState).mVersion };
    });
  return MetricsReply(*aLink.mMetrics, GaugesOf(figures, SizeOf(aLink.mCallers),
                                                SizeOf(aLink.mQueue)));
}

http_reply AgentMetricsReply(agent_link& aLink)
{
  const auto figures =
    QueryAgent<node_figures>(aLink, [](const agent_state& aState) {
      return node_figures{ IsReady(aState), Dump(aState).mConfigVersion };
    });
  return MetricsReply(*aLink.mMetrics, GaugesOf(figures, SizeOf(aLink.mRuns),
                                                SizeOf(aLink.mQueue)));
}

http_reply RouterStateReply(router_link& aLink)
{
  return JsonReply(
    QueryRouter<Json::Value>(aLink, [](const router_state& aState) {
      return DumpToJson(Dump(aState));
    }));
}

http_reply AgentStateReply(agent_link& aLink)
{
  return JsonReply(QueryAgent<Json::Value>(
    aLink, [](const agent_state& aState) { return DumpToJson(Dump(aState)); }));
}

} // namespace foxtailquay
