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
constexpr std::uint64_t kMaxAnswerBytes = 64u << 20u;

struct http_answer
{
  int mStatus = 0;
  std::string mBody;
  std::string mRan;
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
ran RanOf(const http_answer& aAnswer, const std::string& aInBody)
{
  const auto stated = FromName<ran>(aInBody.empty() ? aAnswer.mRan : aInBody);
  if (stated) {
    return *stated;
  }
  return aAnswer.mStatus < 500 ? ran::No : ran::Unknown;
}

error ErrorFrom(const http_answer& aAnswer, const std::string& aAddress)
{
  error failed;
  const auto parsed = ParseJson(aAnswer.mBody);
  const Json::Value body =
    IsOk(parsed) && ValueOf(parsed).isObject() && ValueOf(parsed)["error"]
      ? ValueOf(parsed)["error"]
      : Json::Value();
  const std::string name = TextOf(body, "code");
  const auto code = FromName<error_code>(name);
  failed.mCode = code ? *code : CodeOfStatus(aAnswer.mStatus);
  failed.mField = TextOf(body, "param");
  failed.mDetail = TextOf(body, "message");
  if (failed.mDetail.empty()) {
    failed.mDetail =
      absl::StrCat(aAddress, " answered with HTTP status ", aAnswer.mStatus);
  }
  if (!code && !name.empty()) {
    absl::StrAppend(&failed.mDetail, " (code \"", name, "\")");
  }
  failed.mRan = RanOf(aAnswer, TextOf(body, "ran"));
  std::int64_t seconds = 0;
  if (absl::SimpleAtoi(aAnswer.mRetryAfter, &seconds) && seconds > 0) {
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

admin_attempt Judge(const http_answer& aAnswer, const std::string& aAddress)
{
  admin_attempt attempt;
  attempt.mReached = true;
  if (aAnswer.mStatus >= 200 && aAnswer.mStatus < 300) {
    auto parsed = ParseJson(aAnswer.mBody);
    if (IsOk(parsed)) {
      attempt.mOutcome = attempt_outcome::Answered;
      attempt.mAnswer = ValueOf(std::move(parsed));
      return attempt;
    }
    attempt.mOutcome = attempt_outcome::MaybeRun;
    attempt.mError = ErrorOf(parsed);
    attempt.mError.mField = aAddress;
    attempt.mError.mRan = ran::Unknown;
    return attempt;
  }
  attempt.mError = ErrorFrom(aAnswer, aAddress);
  if (attempt.mError.mRan == ran::Unknown) {
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
  attempt.mError = {
    error_code::PeerUnreachable, unsent ? ran::No : ran::Unknown, aAddress,
    absl::StrCat(unsent ? "cannot be reached (" : "gave no complete answer (",
                 httplib::to_string(aError), ")"),
    absl::ZeroDuration()
  };
  return attempt;
}

httplib::Request MakeHttpRequest(const client_options& aOptions,
                                 const admin_request& aRequest)
{
  httplib::Request request;
  request.method = std::string(NameOf(aRequest.mMethod));
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
    return absl::Now() < deadline && aCurrent <= kMaxAnswerBytes;
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
  const auto answer = client.send(MakeHttpRequest(aOptions, aRequest));
  if (!answer) {
    return JudgeFailure(answer.error(), aAddress);
  }
  return Judge({ answer->status, answer->body,
                 answer->get_header_value("X-Foxtailquay-Ran"),
                 answer->get_header_value("Retry-After") },
               aAddress);
}

cli_failure Unanswered(const std::vector<admin_attempt>& aAttempts,
                       exit_code aExit, ran aRan)
{
  std::vector<std::string> details;
  details.reserve(aAttempts.size());
  for (const admin_attempt& attempt : aAttempts) {
    details.push_back(absl::StrCat(attempt.mError.mField,
                                   attempt.mError.mField.empty() ? "" : " ",
                                   attempt.mError.mDetail));
  }
  return { aExit,
           { aAttempts.back().mError.mCode, aRan, "",
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

cli_result<Json::Value> Conclude(const std::vector<admin_attempt>& aAttempts,
                                 request_effect aEffect)
{
  const admin_attempt& last = aAttempts.back();
  if (last.mOutcome == attempt_outcome::Answered) {
    return last.mAnswer;
  }
  bool maybeRun = false;
  const admin_attempt* reached = nullptr;
  for (const admin_attempt& attempt : aAttempts) {
    maybeRun = maybeRun || (attempt.mOutcome == attempt_outcome::MaybeRun &&
                            aEffect != request_effect::Read);
    reached = attempt.mReached ? &attempt : reached;
  }
  // A conflict stays final after a lost answer: a router recognises a patch
  // that took effect by its id, and the version never goes back.
  if (maybeRun && last.mError.mCode != error_code::VersionConflict) {
    return Unanswered(aAttempts, exit_code::OutcomeUnknown, ran::Unknown);
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
  return Unanswered(aAttempts, exit_code::Unreachable, ran::No);
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
  return Conclude(attempts, aRequest.mEffect);
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
