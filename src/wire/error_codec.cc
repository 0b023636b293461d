#include "wire/error_codec.h"

namespace foxtailquay {

error_type ToErrorType(error_code aCode)
{
  switch (ToHttpStatus(aCode)) {
    case 401:
      return error_type::Authentication;
    case 402:
      return error_type::InsufficientQuota;
    case 429:
      return error_type::RateLimit;
    case 409:
      return error_type::Conflict;
    case 400:
    case 404:
    case 408:
    case 413:
    case 431:
    case 499:
      return error_type::InvalidRequest;
    default:
      return error_type::Server;
  }
}

Json::Value ToJson(const error& aError)
{
  Json::Value body(Json::objectValue);
  body["message"] =
    aError.mDetail.empty() ? std::string(ToName(aError.mCode)) : aError.mDetail;
  body["type"] = std::string(ToName(ToErrorType(aError.mCode)));
  body["code"] = std::string(ToName(aError.mCode));
  body["param"] =
    aError.mField.empty() ? Json::Value() : Json::Value(aError.mField);
  body["ran"] = std::string(ToName(aError.mExecuted));
  Json::Value json(Json::objectValue);
  json["error"] = body;
  return json;
}

result<success> DecodeError(const Json::Value& aJson, error& aInto)
{
  const Json::Value& body =
    aJson.isObject() ? aJson["error"] : Json::Value::nullSingleton();
  const auto text = [&body](const char* aName) {
    const Json::Value& value =
      body.isObject() ? body[aName] : Json::Value::nullSingleton();
    return value.isString() ? value.asString() : std::string();
  };
  const auto code = FromName<error_code>(text("code"));
  const auto execution = FromName<executed>(text("ran"));
  if (!code || !execution) {
    return error{ error_code::ProtocolViolation, executed::Unknown, "error",
                  "expected an error object with code and ran",
                  absl::ZeroDuration() };
  }
  aInto = error{ *code, *execution, text("param"), text("message"),
                 absl::ZeroDuration() };
  return success{};
}

int ToRetryAfterSeconds(const error& aError)
{
  return static_cast<int>(
    absl::ToInt64Seconds(absl::Ceil(aError.mRetryAfter, absl::Seconds(1))));
}

} // namespace foxtailquay
