// Converts errors to and from the JSON object that all HTTP interfaces send as
// the body of an error response:
// {"error": {"message", "type", "code", "param", "ran"}}.
//
// Pure functions; safe on any thread with distinct objects.

#ifndef FOXTAILQUAY_WIRE_ERROR_CODEC_H
#define FOXTAILQUAY_WIRE_ERROR_CODEC_H

#include <string>
#include <string_view>

#include "foxtailquay/result.h"
#include "json/json.h"

namespace foxtailquay {

// The class of an error: the member "type" of error objects in
// OpenAI-compatible interfaces.
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

// Returns the type that belongs to the HTTP status of aCode.
error_type ToErrorType(error_code aCode);

// Returns the complete body, {"error": {...}}.
Json::Value ToJson(const error& aError);

// Decodes a body that ToJson made into aInto. mRetryAfter is not part of the
// body and becomes 0. Errors: ProtocolViolation if aJson has another form.
result<success> DecodeError(const Json::Value& aJson, error& aInto);

// Returns the value of the Retry-After header in whole seconds, rounded up; 0
// if the error has no retry time.
int ToRetryAfterSeconds(const error& aError);

} // namespace foxtailquay

#endif
