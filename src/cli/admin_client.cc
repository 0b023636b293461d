#include "cli/admin_client.h"

#include <chrono>
#include <cstdint>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "httplib.h"
#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

// A state dump or configuration at the sizes of docs/design.md section 1.3 is
// a few megabytes; the limit keeps a faulty router from exhausting the memory
// of foxtailquayctl.
constexpr std::uint64_t kMaxResponseBytes = 64u << 20u;

struct client_response
{
  int mStatus = 0;
  std::string mBody;
  std::string mExecuted;
  std::string mRetryAfter;
};

// Returns the text of a member, or an empty text if the member is missing or
// is not a string.
std::string FindText(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject[aName].isString()) {
    return "";
  }
  return aObject[aName].asString();
}

// Returns the error code for a response whose body states none.
error_code ToErrorCode(int aStatus)
{
  switch (aStatus) {
    case 401:
      return error_code::Unauthorized;
    case 404:
      return error_code::NotFound;
    case 413:
      return error_code::BodyTooLarge;
    default:
      return error_code::ProtocolViolation;
  }
}

// Returns whether the request was executed. If the response does not state
// it, a client error (below 500) is taken as not executed, since the router
// finds it before execution; any other failure may have happened afterwards.
executed ToExecuted(const client_response& aResponse,
                    const std::string& aInBody)
{
  const auto stated =
    FromName<executed>(aInBody.empty() ? aResponse.mExecuted : aInBody);
  if (stated) {
    return *stated;
  }
  return aResponse.mStatus < 500 ? executed::No : executed::Unknown;
}

// Precondition: the status of aResponse is not 2xx.
error ParseErrorResponse(const client_response& aResponse,
                         const std::string& aAddress)
{
  error parsedError;
  const auto parsed = ParseJson(aResponse.mBody);
  const Json::Value body =
    IsOk(parsed) && GetValue(parsed).isObject() && GetValue(parsed)["error"]
      ? GetValue(parsed)["error"]
      : Json::Value();
  const std::string name = FindText(body, "code");
  const auto code = FromName<error_code>(name);
  parsedError.mCode = code ? *code : ToErrorCode(aResponse.mStatus);
  parsedError.mField = FindText(body, "param");
  parsedError.mDetail = FindText(body, "message");
  if (parsedError.mDetail.empty()) {
    parsedError.mDetail =
      absl::StrCat(aAddress, " responded with HTTP status ", aResponse.mStatus);
  }
  if (!code && !name.empty()) {
    absl::StrAppend(&parsedError.mDetail, " (code \"", name, "\")");
  }
  parsedError.mExecuted = ToExecuted(aResponse, FindText(body, "ran"));
  std::int64_t seconds = 0;
  if (absl::SimpleAtoi(aResponse.mRetryAfter, &seconds) && seconds > 0) {
    parsedError.mRetryAfter = absl::Seconds(seconds);
  }
  return parsedError;
}

// Returns whether the error concerns one router only, so that another router
// may execute the request.
bool IsLocalToRouter(error_code aCode)
{
  return aCode == error_code::NotReady || aCode == error_code::ShuttingDown ||
         aCode == error_code::StoreUnavailable ||
         aCode == error_code::Overloaded;
}

admin_attempt ToAttempt(const client_response& aResponse,
                        const std::string& aAddress)
{
  admin_attempt attempt;
  attempt.mHasResponse = true;
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300) {
    auto parsed = ParseJson(aResponse.mBody);
    if (IsOk(parsed)) {
      attempt.mOutcome = admin_attempt_outcome::Answered;
      attempt.mResponse = GetValue(std::move(parsed));
      return attempt;
    }
    attempt.mOutcome = admin_attempt_outcome::MaybeRun;
    attempt.mError = GetError(parsed);
    attempt.mError.mField = aAddress;
    attempt.mError.mExecuted = executed::Unknown;
    return attempt;
  }
  attempt.mError = ParseErrorResponse(aResponse, aAddress);
  if (attempt.mError.mExecuted == executed::Unknown) {
    attempt.mOutcome = admin_attempt_outcome::MaybeRun;
  } else if (IsLocalToRouter(attempt.mError.mCode)) {
    attempt.mOutcome = admin_attempt_outcome::NotRun;
  } else {
    attempt.mOutcome = admin_attempt_outcome::Refused;
  }
  return attempt;
}

// Returns whether the failure happened before any byte of the request was
// sent.
bool IsBeforeSending(httplib::Error aError)
{
  switch (aError) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
      return true;
    default:
      return false;
  }
}

admin_attempt ToFailedAttempt(httplib::Error aError,
                              const std::string& aAddress)
{
  const bool unsent = IsBeforeSending(aError);
  admin_attempt attempt;
  attempt.mOutcome =
    unsent ? admin_attempt_outcome::NotRun : admin_attempt_outcome::MaybeRun;
  attempt.mError = { error_code::PeerUnreachable,
                     unsent ? executed::No : executed::Unknown, aAddress,
                     absl::StrCat(unsent ? "cannot be reached ("
                                         : "sent no complete response (",
                                  httplib::to_string(aError), ")"),
                     absl::ZeroDuration() };
  return attempt;
}

httplib::Request MakeHttpRequest(const client_options& aOptions,
                                 const admin_request& aRequest)
{
  httplib::Request request;
  request.method = std::string(ToName(aRequest.mMethod));
  request.path = aRequest.mPath;
  if (!aOptions.mKey.empty()) {
    request.set_header("Authorization", "Bearer " + aOptions.mKey);
  }
  if (aRequest.mBody) {
    request.body = ToText(*aRequest.mBody);
    request.set_header("Content-Type", "application/json");
  }
  // The read timeout applies to each read. The deadline also ends a response
  // whose bytes arrive one by one.
  const absl::Time deadline = absl::Now() + aOptions.mTimeout;
  request.progress = [deadline](std::uint64_t aCurrent, std::uint64_t) {
    return absl::Now() < deadline && aCurrent <= kMaxResponseBytes;
  };
  return request;
}

// Sends aRequest to the router at aAddress and blocks until the attempt ends.
admin_attempt CallOneRouter(const client_options& aOptions,
                            const admin_request& aRequest,
                            const std::string& aAddress)
{
  const bool tls = !aOptions.mTlsCaFile.empty();
  httplib::Client client((tls ? "https://" : "http://") + aAddress);
  if (!client.is_valid()) {
    return ToFailedAttempt(httplib::Error::SSLLoadingCerts, aAddress);
  }
  if (tls) {
    client.set_ca_cert_path(aOptions.mTlsCaFile);
  }
  const auto timeout = absl::ToChronoMicroseconds(aOptions.mTimeout);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  const auto response = client.send(MakeHttpRequest(aOptions, aRequest));
  if (!response) {
    return ToFailedAttempt(response.error(), aAddress);
  }
  return ToAttempt({ response->status, response->body,
                     response->get_header_value("X-Foxtailquay-Ran"),
                     response->get_header_value("Retry-After") },
                   aAddress);
}

// Returns a failure whose text lists the errors of all attempts.
cli_failure MakeCombinedFailure(const std::vector<admin_attempt>& aAttempts,
                                exit_code aExit, executed aExecuted)
{
  std::vector<std::string> details;
  details.reserve(aAttempts.size());
  for (const admin_attempt& attempt : aAttempts) {
    details.push_back(absl::StrCat(attempt.mError.mField,
                                   attempt.mError.mField.empty() ? "" : " ",
                                   attempt.mError.mDetail));
  }
  return { aExit,
           { aAttempts.back().mError.mCode, aExecuted, "",
             absl::StrJoin(details, "; "),
             aAttempts.back().mError.mRetryAfter } };
}

} // namespace

cli_result<client_options> MakeClientOptions(const cli_settings& aSettings)
{
  if (aSettings.mRouters.empty()) {
    return MakeUsageError(
      "--router", absl::StrCat("is missing; give --router=IP:port or set ",
                               ToEnvironmentName(cli_flag::Router)));
  }
  return client_options{ aSettings.mRouters, aSettings.mOperatorKey,
                         aSettings.mTlsCaFile, aSettings.mTimeout };
}

bool MayTryNext(const admin_attempt& aAttempt, request_effect aEffect)
{
  return aAttempt.mOutcome == admin_attempt_outcome::NotRun ||
         (aAttempt.mOutcome == admin_attempt_outcome::MaybeRun &&
          aEffect != request_effect::Once);
}

cli_result<Json::Value> CombineAttempts(
  const std::vector<admin_attempt>& aAttempts, request_effect aEffect)
{
  const admin_attempt& last = aAttempts.back();
  if (last.mOutcome == admin_attempt_outcome::Answered) {
    return last.mResponse;
  }
  bool maybeExecuted = false;
  const admin_attempt* reached = nullptr;
  for (const admin_attempt& attempt : aAttempts) {
    maybeExecuted =
      maybeExecuted || (attempt.mOutcome == admin_attempt_outcome::MaybeRun &&
                        aEffect != request_effect::Read);
    reached = attempt.mHasResponse ? &attempt : reached;
  }
  // A version conflict is final even after a lost response: had the patch
  // taken effect, the router would have recognised its id, and the version
  // never decreases.
  if (maybeExecuted && last.mError.mCode != error_code::VersionConflict) {
    return MakeCombinedFailure(aAttempts, exit_code::OutcomeUnknown,
                               executed::Unknown);
  }
  if (last.mOutcome == admin_attempt_outcome::Refused) {
    return MakeRouterError(last.mError);
  }
  if (reached != nullptr) {
    cli_failure refused = MakeRouterError(reached->mError);
    // A read has no effect, so that its outcome is never unknown.
    refused.mExit = refused.mExit == exit_code::OutcomeUnknown
                      ? exit_code::Refused
                      : refused.mExit;
    return refused;
  }
  return MakeCombinedFailure(aAttempts, exit_code::Unreachable, executed::No);
}

cli_result<Json::Value> CallRouters(const client_options& aOptions,
                                    const admin_request& aRequest)
{
  std::vector<admin_attempt> attempts;
  attempts.reserve(aOptions.mAddresses.size());
  for (const std::string& address : aOptions.mAddresses) {
    attempts.push_back(CallOneRouter(aOptions, aRequest, address));
    if (!MayTryNext(attempts.back(), aRequest.mEffect)) {
      break;
    }
  }
  return CombineAttempts(attempts, aRequest.mEffect);
}

std::string EncodePathSegment(const std::string& aText)
{
  std::string encoded;
  for (const char letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (absl::ascii_isalnum(code) || letter == '-' || letter == '_' ||
        letter == '.' || letter == '~' || letter == ':') {
      encoded += letter;
    } else {
      absl::StrAppend(&encoded, "%", absl::Hex(code, absl::kZeroPad2));
    }
  }
  return encoded;
}

} // namespace foxtailquay
