// HTTP status and text of errors.

#include "foxtailquay/error.h"

#include "absl/strings/str_cat.h"

namespace foxtailquay {

int ToHttpStatus(error_code aCode)
{
  switch (aCode) {
    case error_code::InvalidRequest:
    case error_code::InvalidConfig:
    case error_code::InvalidSetting:
    case error_code::InvalidChart:
      return 400;
    case error_code::Unauthorized:
      return 401;
    case error_code::BudgetExhausted:
      return 402;
    case error_code::UnknownModel:
    case error_code::UnknownService:
    case error_code::UnknownWorkspace:
    case error_code::NotFound:
      return 404;
    case error_code::IdempotencyConflict:
    case error_code::IdempotencyInProgress:
    case error_code::VersionConflict:
    case error_code::StaleConfig:
    case error_code::StaleIncarnation:
    case error_code::StaleFence:
      return 409;
    case error_code::RequestTimeout:
      return 408;
    case error_code::BodyTooLarge:
      return 413;
    case error_code::RateLimited:
    case error_code::ConcurrencyLimited:
      return 429;
    case error_code::HeaderTooLarge:
      return 431;
    case error_code::CallerDisconnected:
      return 499;
    case error_code::BackendServerFailed:
    case error_code::StreamBroken:
    case error_code::OutcomeUnknown:
    case error_code::ProtocolViolation:
    case error_code::PeerUnreachable:
      return 502;
    case error_code::Overloaded:
    case error_code::NoBackendServer:
    case error_code::PromptQuarantined:
    case error_code::RequestQuarantined:
    case error_code::BackendServerLeaving:
    case error_code::ClaimUnavailable:
    case error_code::ClaimCapacity:
    case error_code::StoreUnavailable:
    case error_code::StoreOutcomeUnknown:
    case error_code::NotReady:
    case error_code::ShuttingDown:
      return 503;
    case error_code::DeadlineExceeded:
      return 504;
    case error_code::Internal:
      return 500;
  }
  return 500;
}

std::string ToString(const error& aError)
{
  std::string text(ToName(aError.mCode));
  if (!aError.mField.empty()) {
    absl::StrAppend(&text, ": ", aError.mField);
  }
  if (!aError.mDetail.empty()) {
    absl::StrAppend(&text, ": ", aError.mDetail);
  }
  return text;
}

} // namespace foxtailquay
