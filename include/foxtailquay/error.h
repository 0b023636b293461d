// Errors. Each failure is an `error` with a code from one table, which also
// fixes the HTTP status that callers receive.
//
// `executed` states whether the failed request was executed. executed::No is a
// guarantee: it may be used only where the request cannot have been executed.

#ifndef FOXTAILQUAY_ERROR_H
#define FOXTAILQUAY_ERROR_H

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

// Whether a request was executed.
enum class executed
{
  No,
  Yes,
  Unknown,
};

constexpr auto NameTable(executed)
{
  return MakeNameTable<executed>({ { executed::No, "no" },
                                   { executed::Yes, "yes" },
                                   { executed::Unknown, "unknown" } });
}

// The codes of all errors.
enum class error_code
{
  InvalidRequest,
  InvalidConfig,
  InvalidSetting,
  InvalidChart,
  Unauthorized,
  UnknownModel,
  UnknownService,
  UnknownWorkspace,
  NotFound,
  HeaderTooLarge,
  BodyTooLarge,
  // The request did not arrive in time.
  RequestTimeout,
  BudgetExhausted,
  RateLimited,
  ConcurrencyLimited,
  Overloaded,
  DeadlineExceeded,
  NoBackendServer,
  // Backend servers crash under a part of the prompt.
  PromptQuarantined,
  // Backend servers crash under this request.
  RequestQuarantined,
  BackendServerFailed,
  BackendServerLeaving,
  StreamBroken,
  IdempotencyConflict,
  IdempotencyInProgress,
  OutcomeUnknown,
  ClaimUnavailable,
  ClaimCapacity,
  StaleConfig,
  StaleIncarnation,
  StaleFence,
  VersionConflict,
  StoreUnavailable,
  StoreOutcomeUnknown,
  NotReady,
  ShuttingDown,
  CallerDisconnected,
  PeerUnreachable,
  ProtocolViolation,
  Internal,
};

constexpr auto NameTable(error_code)
{
  using e = error_code;
  return MakeNameTable<e>({
    { e::InvalidRequest, "invalid_request" },
    { e::InvalidConfig, "invalid_config" },
    { e::InvalidSetting, "invalid_setting" },
    { e::InvalidChart, "invalid_chart" },
    { e::Unauthorized, "unauthorized" },
    { e::UnknownModel, "unknown_model" },
    { e::UnknownService, "unknown_service" },
    { e::UnknownWorkspace, "unknown_workspace" },
    { e::NotFound, "not_found" },
    { e::HeaderTooLarge, "header_too_large" },
    { e::BodyTooLarge, "body_too_large" },
    { e::RequestTimeout, "request_timeout" },
    { e::BudgetExhausted, "budget_exhausted" },
    { e::RateLimited, "rate_limited" },
    { e::ConcurrencyLimited, "concurrency_limited" },
    { e::Overloaded, "overloaded" },
    { e::DeadlineExceeded, "deadline_exceeded" },
    { e::NoBackendServer, "no_backend_server" },
    { e::PromptQuarantined, "prompt_quarantined" },
    { e::RequestQuarantined, "request_quarantined" },
    { e::BackendServerFailed, "backend_server_failed" },
    { e::BackendServerLeaving, "backend_server_leaving" },
    { e::StreamBroken, "stream_broken" },
    { e::IdempotencyConflict, "idempotency_conflict" },
    { e::IdempotencyInProgress, "idempotency_in_progress" },
    { e::OutcomeUnknown, "outcome_unknown" },
    { e::ClaimUnavailable, "claim_unavailable" },
    { e::ClaimCapacity, "claim_capacity" },
    { e::StaleConfig, "stale_config" },
    { e::StaleIncarnation, "stale_incarnation" },
    { e::StaleFence, "stale_fence" },
    { e::VersionConflict, "version_conflict" },
    { e::StoreUnavailable, "store_unavailable" },
    { e::StoreOutcomeUnknown, "store_outcome_unknown" },
    { e::NotReady, "not_ready" },
    { e::ShuttingDown, "shutting_down" },
    { e::CallerDisconnected, "caller_disconnected" },
    { e::PeerUnreachable, "peer_unreachable" },
    { e::ProtocolViolation, "protocol_violation" },
    { e::Internal, "internal" },
  });
}

// One failure.
struct error
{
  error_code mCode = error_code::Internal;
  // Whether the failed request was executed.
  executed mExecuted = executed::No;
  // The invalid setting, configuration field, file position or parameter; empty
  // if the failure concerns none.
  std::string mField;
  // One sentence for people. Programs use mCode.
  std::string mDetail;
  // Time after which a retry can succeed; zero if unknown.
  absl::Duration mRetryAfter = absl::ZeroDuration();
};

// Returns the HTTP status that reports aCode to callers.
int ToHttpStatus(error_code aCode);

// Returns "code: field: detail" for logs and command line output.
std::string ToString(const error& aError);

} // namespace foxtailquay

#endif
