// The JSON error object that every HTTP interface answers with:
// {"error": {"message", "type", "code", "param", "ran"}}.

#ifndef FOXTAILQUAY_WIRE_ERROR_CODEC_H
#define FOXTAILQUAY_WIRE_ERROR_CODEC_H

#include <string>
#include <string_view>

#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

// The coarse class of an error that callers of OpenAI-compatible interfaces
// know as "type".
enum class error_type
{
  InvalidRequest,
  Authentication,
  InsufficientQuota,
  RateLimit,
  Conflict,
  Server,
};

constexpr auto NameTable(error_type)
{
  return MakeNameTable<error_type>(
    { { error_type::InvalidRequest, "invalid_request_error" },
      { error_type::Authentication, "authentication_error" },
      { error_type::InsufficientQuota, "insufficient_quota" },
      { error_type::RateLimit, "rate_limit_error" },
      { error_type::Conflict, "conflict_error" },
      { error_type::Server, "server_error" } });
}

error_type TypeOf(error_code aCode);

// The whole body, {"error": {...}}.
Json::Value ToJson(const error& aError);

// Reads ToJson's form back into aInto. mRetryAfter is not part of it. Errors:
// ProtocolViolation if aJson is not such an object.
result<success> ReadError(const Json::Value& aJson, error& aInto);

// Retry-After in whole seconds, rounded up; 0 if a retry time is not known.
int RetryAfterSeconds(const error& aError);

} // namespace foxtailquay

#endif
