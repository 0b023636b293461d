// Counters, gauges and latency histograms of a process, rendered as
// Prometheus text.
//
//   IncrementCounter(metrics, counter::CallerRequests);
//   Observe(metrics, histogram::FirstToken, elapsed);
//   std::string text = RenderMetrics(metrics, gauges);
//
// Thread-safe; no function takes a lock. Memory use does not depend on the
// number of observed values.

#ifndef FOXTAILQUAY_RUNTIME_METRICS_H
#define FOXTAILQUAY_RUNTIME_METRICS_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

enum class counter
{
  CallerRequests,
  CallerErrors,
  CallersGone,
  ConnectionsRefused,
  RunsDispatched,
  RunsRefused,
  RunsFinished,
  RunsFailed,
  PromptTokens,
  CompletionTokens,
  EventsHandled,
  EventsRefused,
  MessagesSent,
  MessagesReceived,
  MessagesDropped,
  PeersUnreachable,
  StoreCalls,
  StoreFailures,
  // Responses in which a statement of the server about itself is malformed.
  MalformedStatements,
};

constexpr auto NameTable(counter)
{
  using c = counter;
  return MakeNameTable<c>({
    { c::CallerRequests, "caller_requests_total" },
    { c::CallerErrors, "caller_errors_total" },
    { c::CallersGone, "callers_gone_total" },
    { c::ConnectionsRefused, "connections_refused_total" },
    { c::RunsDispatched, "runs_dispatched_total" },
    { c::RunsRefused, "runs_refused_total" },
    { c::RunsFinished, "runs_finished_total" },
    { c::RunsFailed, "runs_failed_total" },
    { c::PromptTokens, "prompt_tokens_total" },
    { c::CompletionTokens, "completion_tokens_total" },
    { c::EventsHandled, "control_events_total" },
    { c::EventsRefused, "control_events_refused_total" },
    { c::MessagesSent, "messages_sent_total" },
    { c::MessagesReceived, "messages_received_total" },
    { c::MessagesDropped, "messages_dropped_total" },
    { c::PeersUnreachable, "peers_unreachable_total" },
    { c::StoreCalls, "store_calls_total" },
    { c::StoreFailures, "store_failures_total" },
    { c::MalformedStatements, "malformed_statements_total" },
  });
}

enum class histogram
{
  FirstToken,
  InterToken,
  CallerRequest,
  ControlStep,
  StoreCall,
  PeerCall,
};

constexpr auto NameTable(histogram)
{
  using h = histogram;
  return MakeNameTable<h>({
    { h::FirstToken, "first_token_seconds" },
    { h::InterToken, "inter_token_seconds" },
    { h::CallerRequest, "caller_request_seconds" },
    { h::ControlStep, "control_step_seconds" },
    { h::StoreCall, "store_call_seconds" },
    { h::PeerCall, "peer_call_seconds" },
  });
}

enum class gauge
{
  OpenRequests,
  ControlQueueLength,
  ConfigVersion,
  // Suspects because of which requests are refused.
  QuarantinedSuspects,
  // Backend servers that state a rate limit.
  RateLimitedServers,
  // Backend servers that are, or may be, cold.
  ColdServers,
  UnconfirmedServers,
  // Availability zones that are evacuated.
  EvacuatedZones,
  WaitingRequests,
  PrepaidTokensHeld,
  PrepaidTokensTarget,
  Ready,
};

constexpr auto NameTable(gauge)
{
  return MakeNameTable<gauge>(
    { { gauge::OpenRequests, "open_requests" },
      { gauge::ControlQueueLength, "control_queue_length" },
      { gauge::ConfigVersion, "config_version" },
      { gauge::QuarantinedSuspects, "quarantined_suspects" },
      { gauge::RateLimitedServers, "rate_limited_servers" },
      { gauge::ColdServers, "cold_servers" },
      { gauge::UnconfirmedServers, "unconfirmed_servers" },
      { gauge::EvacuatedZones, "evacuated_zones" },
      { gauge::WaitingRequests, "waiting_requests" },
      { gauge::PrepaidTokensHeld, "prepaid_tokens_held" },
      { gauge::PrepaidTokensTarget, "prepaid_tokens_target" },
      { gauge::Ready, "ready" } });
}

struct gauge_value
{
  gauge mGauge = gauge::OpenRequests;
  double mValue = 0;
};

struct metrics;

struct metrics_deleter
{
  void operator()(metrics* aMetrics) const;
};
using metrics_ptr = std::unique_ptr<metrics, metrics_deleter>;

// Returns metrics whose counters and histograms are all 0.
metrics_ptr MakeMetrics();

void IncrementCounter(metrics& aMetrics, counter aCounter,
                      std::uint64_t aBy = 1);
// Adds one value to a histogram.
void Observe(metrics& aMetrics, histogram aHistogram, absl::Duration aValue);

std::uint64_t GetValue(const metrics& aMetrics, counter aCounter);

// Returns all metrics in the Prometheus text exposition format. Every name
// starts with "foxtailquay_".
std::string RenderMetrics(const metrics& aMetrics,
                          const std::vector<gauge_value>& aGauges);

} // namespace foxtailquay

#endif
