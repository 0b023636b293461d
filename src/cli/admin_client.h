// Calls of the operator interface (docs/design.md section 7.1) over HTTP.
//
//   admin_request request{ http_method::Get, "/admin/config", {},
//                          request_effect::Read };
//   cli_result<Json::Value> answer = Call(options, request);
//
// Routers are tried in order. A router that cannot be connected to has not
// run the request, so the next one is tried for every request. After a lost
// connection or a missing answer the request may have run, so the next one is
// tried only if running it twice has the effect of running it once.
//
// Blocks for at most mTimeout per router. Safe on any thread.

#ifndef FOXTAILQUAY_CLI_ADMIN_CLIENT_H
#define FOXTAILQUAY_CLI_ADMIN_CLIENT_H

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cli/exit_code.h"
#include "cli/settings.h"
#include "json/json.h"

namespace foxtailquay {

enum class http_method
{
  Get,
  Post,
};

constexpr auto NameTable(http_method)
{
  return MakeNameTable<http_method>(
    { { http_method::Get, "GET" }, { http_method::Post, "POST" } });
}

// What a second run of a request does.
enum class request_effect
{
  // Changes nothing.
  Read,
  // Carries an identifier, so that it takes effect once.
  Idempotent,
  // May take effect again or fail because of the first run.
  Once,
};

constexpr auto NameTable(request_effect)
{
  return MakeNameTable<request_effect>(
    { { request_effect::Read, "read" },
      { request_effect::Idempotent, "idempotent" },
      { request_effect::Once, "once" } });
}

// How one attempt at one router ended.
enum class attempt_outcome
{
  Answered,
  // Refused for a reason that holds at every router.
  Refused,
  // Not run, for a reason that may not hold at another router.
  NotRun,
  // No answer, or one that leaves the effect open.
  MaybeRun,
};

constexpr auto NameTable(attempt_outcome)
{
  return MakeNameTable<attempt_outcome>(
    { { attempt_outcome::Answered, "answered" },
      { attempt_outcome::Refused, "refused" },
      { attempt_outcome::NotRun, "not_run" },
      { attempt_outcome::MaybeRun, "maybe_run" } });
}

struct admin_request
{
  http_method mMethod = http_method::Get;
  std::string mPath;
  std::optional<Json::Value> mBody;
  request_effect mEffect = request_effect::Read;
};

struct admin_attempt
{
  attempt_outcome mOutcome = attempt_outcome::NotRun;
  // Set if mOutcome is Answered.
  Json::Value mResponse;
  // Set otherwise.
  error mError;
  // True if the router sent an answer.
  bool mReached = false;
};

struct client_options
{
  // "IP:port" each. Precondition: not empty.
  std::vector<std::string> mAddresses;
  // Shown as a bearer token unless it is empty.
  std::string mKey;
  std::string mTlsCaFile;
  absl::Duration mTimeout = absl::Seconds(10);
};

// Options for the routers of aSettings. Errors: usage error if there is none.
cli_result<client_options> RouterOptions(const cli_settings& aSettings);

// Errors: Refused, VersionConflict, Unreachable or OutcomeUnknown, with the
// error that a router reported if there is one.
cli_result<Json::Value> Call(const client_options& aOptions,
                             const admin_request& aRequest);

// Joins the attempts, in the order in which they were made, into one result.
// Precondition: aAttempts is not empty.
cli_result<Json::Value> CombineAttempts(
  const std::vector<admin_attempt>& aAttempts, request_effect aEffect);

// True if another router may be asked after aAttempt.
bool MayTryNext(const admin_attempt& aAttempt, request_effect aEffect);

// Percent-encodes one part of a path.
std::string EncodePathPart(const std::string& aText);

} // namespace foxtailquay

#endif
