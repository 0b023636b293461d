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
// a few megabytes; the bound keeps a broken router from filling the memory.
constexpr std::uint64_t kMaxResponseBytes = 64u << 20u;

struct client_response
{
  int mStatus = 0;
  std::string mBody;
  std::string mExecuted;
  std::string mRetryAfter;
};

// Text of a member, or empty if it is missing or no string.
std::string TextOf(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject[aName].isString()) {
    return "";
  }
  return aObject[aName].asString();
}

error_code CodeOfStatus(int aStatus)
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

// Without a statement of the router, a failure that is the client's fault was
// found before running; any other may have happened afterwards.
executed RanOf(const client_response& aResponse, const std::string& aInBody)
{
  const auto stated =
    FromName<executed>(aInBody.empty() ? aResponse.mExecuted : aInBody);
  if (stated) {
    return *stated;
  }
  return aResponse.mStatus < 500 ? executed::No : executed::Unknown;
}

error ErrorFrom(const client_response& aResponse, const std::string& aAddress)
{
  error failed;
  const auto parsed = ParseJson(aResponse.mBody);
  const Json::Value body =
    IsOk(parsed) && GetValue(parsed).isObject() && GetValue(parsed)["error"]
      ? GetValue(parsed)["error"]
      : Json::Value();
  const std::string name = TextOf(body, "code");
  const auto code = FromName<error_code>(name);
  failed.mCode = code ? *code : CodeOfStatus(aResponse.mStatus);
  failed.mField = TextOf(body, "param");
  failed.mDetail = TextOf(body, "message");
  if (failed.mDetail.empty()) {
    failed.mDetail =
      absl::StrCat(aAddress, " answered with HTTP status ", aResponse.mStatus);
  }
  if (!code && !name.empty()) {
    absl::StrAppend(&failed.mDetail, " (code \"", name, "\")");
  }
  failed.mExecuted = RanOf(aResponse, TextOf(body, "ran"));
  std::int64_t seconds = 0;
  if (absl::SimpleAtoi(aResponse.mRetryAfter, &seconds) && seconds > 0) {
    failed.mRetryAfter = absl::Seconds(seconds);
  }
  return failed;
}

// Conditions of one router that another one need not share.
bool IsLocalToRouter(error_code aCode)
{
  return aCode == error_code::NotReady || aCode == error_code::ShuttingDown ||
         aCode == error_code::StoreUnavailable ||
         aCode == error_code::Overloaded;
}

admin_attempt Judge(const client_response& aResponse,
                    const std::string& aAddress)
{
  admin_attempt attempt;
  attempt.mReached = true;
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300) {
    auto parsed = ParseJson(aResponse.mBody);
    if (IsOk(parsed)) {
      attempt.mOutcome = attempt_outcome::Answered;
      attempt.mResponse = GetValue(std::move(parsed));
      return attempt;
    }
    attempt.mOutcome = attempt_outcome::MaybeRun;
    attempt.mError = GetError(parsed);
    attempt.mError.mField = aAddress;
    attempt.mError.mExecuted = executed::Unknown;
    return attempt;
  }
  attempt.mError = ErrorFrom(aResponse, aAddress);
  if (attempt.mError.mExecuted == executed::Unknown) {
    attempt.mOutcome = attempt_outcome::MaybeRun;
  } else if (IsLocalToRouter(attempt.mError.mCode)) {
    attempt.mOutcome = attempt_outcome::NotRun;
  } else {
    attempt.mOutcome = attempt_outcome::Refused;
  }
  return attempt;
}

// True if the failure happened before any byte of the request was sent.
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

admin_attempt JudgeFailure(httplib::Error aError, const std::string& aAddress)
{
  const bool unsent = IsBeforeSending(aError);
  admin_attempt attempt;
  attempt.mOutcome =
    unsent ? attempt_outcome::NotRun : attempt_outcome::MaybeRun;
  attempt.mError = { error_code::PeerUnreachable,
                     unsent ? executed::No : executed::Unknown, aAddress,
                     absl::StrCat(unsent ? "cannot be reached ("
                                         : "gave no complete answer (",
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
  // The read timeout applies to each read; this ends a slow trickle too.
  const absl::Time deadline = absl::Now() + aOptions.mTimeout;
  request.progress = [deadline](std::uint64_t aCurrent, std::uint64_t) {
    return absl::Now() < deadline && aCurrent <= kMaxResponseBytes;
  };
  return request;
}

admin_attempt TryOne(const client_options& aOptions,
                     const admin_request& aRequest, const std::string& aAddress)
{
  const bool tls = !aOptions.mTlsCaFile.empty();
  httplib::Client client((tls ? "https://" : "http://") + aAddress);
  if (!client.is_valid()) {
    return JudgeFailure(httplib::Error::SSLLoadingCerts, aAddress);
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
    return JudgeFailure(response.error(), aAddress);
  }
  return Judge({ response->status, response->body,
                 response->get_header_value("X-Foxtailquay-Ran"),
                 response->get_header_value("Retry-After") },
               aAddress);
}

cli_failure Unanswered(const std::vector<admin_attempt>& aAttempts,
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

cli_result<client_options> RouterOptions(const cli_settings& aSettings)
{
  if (aSettings.mRouters.empty()) {
    return UsageError("--router",
                      absl::StrCat("is needed: --router=IP:port, or set ",
                                   EnvironmentNameOf(cli_flag::Router)));
  }
  return client_options{ aSettings.mRouters, aSettings.mOperatorKey,
                         aSettings.mTlsCaFile, aSettings.mTimeout };
}

bool MayTryNext(const admin_attempt& aAttempt, request_effect aEffect)
{
  return aAttempt.mOutcome == attempt_outcome::NotRun ||
         (aAttempt.mOutcome == attempt_outcome::MaybeRun &&
          aEffect != request_effect::Once);
}

cli_result<Json::Value> CombineAttempts(
  const std::vector<admin_attempt>& aAttempts, request_effect aEffect)
{
  const admin_attempt& last = aAttempts.back();
  if (last.mOutcome == attempt_outcome::Answered) {
    return last.mResponse;
  }
  bool maybeRun = false;
  const admin_attempt* reached = nullptr;
  for (const admin_attempt& attempt : aAttempts) {
    maybeRun = maybeRun || (attempt.mOutcome == attempt_outcome::MaybeRun &&
                            aEffect != request_effect::Read);
    reached = attempt.mReached ? &attempt : reached;
  }
  // A conflict stays final after a lost response: a router recognises a patch
  // that took effect by its id, and the version never goes back.
  if (maybeRun && last.mError.mCode != error_code::VersionConflict) {
    return Unanswered(aAttempts, exit_code::OutcomeUnknown, executed::Unknown);
  }
  if (last.mOutcome == attempt_outcome::Refused) {
    return RouterError(last.mError);
  }
  if (reached != nullptr) {
    cli_failure refused = RouterError(reached->mError);
    // A read has no effect, so its outcome cannot be unknown.
    refused.mExit = refused.mExit == exit_code::OutcomeUnknown
                      ? exit_code::Refused
                      : refused.mExit;
    return refused;
  }
  return Unanswered(aAttempts, exit_code::Unreachable, executed::No);
}

cli_result<Json::Value> Call(const client_options& aOptions,
                             const admin_request& aRequest)
{
  std::vector<admin_attempt> attempts;
  attempts.reserve(aOptions.mAddresses.size());
  for (const std::string& address : aOptions.mAddresses) {
    attempts.push_back(TryOne(aOptions, aRequest, address));
    if (!MayTryNext(attempts.back(), aRequest.mEffect)) {
      break;
    }
  }
  return CombineAttempts(attempts, aRequest.mEffect);
}

std::string EncodePathPart(const std::string& aText)
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
