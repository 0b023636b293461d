// HTTP client for the operator interface of the routers (docs/design.md
// section 7.1).
//
//   admin_request request{ http_method::Get, "/admin/config", {},
//                          request_effect::Read };
//   cli_result<Json::Value> response = CallRouters(options, request);
//
// Routers are tried in order. If the connection to a router fails, the request
// was not executed, and the next router is tried for every kind of request. If
// the connection is lost later or the response is missing, the request may have
// been executed, and the next router is tried only if executing the request
// twice has the same effect as executing it once.
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

// The effect of executing a request a second time.
enum class request_effect
{
  // None: the request changes nothing.
  Read,
  // The request carries an identifier and takes effect once.
  Idempotent,
  // The second execution may take effect again, or fail because of the first.
  Once,
};

constexpr auto NameTable(request_effect)
{
  return MakeNameTable<request_effect>(
    { { request_effect::Read, "read" },
      { request_effect::Idempotent, "idempotent" },
      { request_effect::Once, "once" } });
}

// The result of sending a request to one router.
enum class admin_attempt_outcome
{
  // The router executed the request and sent a JSON response.
  Answered,
  // Refused for a reason that applies to all routers.
  Refused,
  // Not executed, for a reason that may not apply to another router.
  NotRun,
  // Possibly executed: there is no complete response, or its error does not
  // state whether the request was executed.
  MaybeRun,
};

constexpr auto NameTable(admin_attempt_outcome)
{
  return MakeNameTable<admin_attempt_outcome>(
    { { admin_attempt_outcome::Answered, "answered" },
      { admin_attempt_outcome::Refused, "refused" },
      { admin_attempt_outcome::NotRun, "not_run" },
      { admin_attempt_outcome::MaybeRun, "maybe_run" } });
}

// A request to the operator interface.
struct admin_request
{
  http_method mMethod = http_method::Get;
  // Begins with "/"; its segments are percent-encoded.
  std::string mPath;
  std::optional<Json::Value> mBody;
  request_effect mEffect = request_effect::Read;
};

struct admin_attempt
{
  admin_attempt_outcome mOutcome = admin_attempt_outcome::NotRun;
  // Set if mOutcome is Answered.
  Json::Value mResponse;
  // Set if mOutcome is not Answered.
  error mError;
  // True if the router sent a complete HTTP response.
  bool mHasResponse = false;
};

struct client_options
{
  // Routers as "IP:port", tried in this order. Precondition: not empty.
  std::vector<std::string> mAddresses;
  // Sent as a bearer token unless it is empty.
  std::string mKey;
  // File of certificate authorities (PEM); empty to connect without TLS.
  std::string mTlsCaFile;
  // Maximum time for the call to one router.
  absl::Duration mTimeout = absl::Seconds(10);
};

// Returns the options for calling the routers in aSettings. Errors: Usage if
// aSettings has no router.
cli_result<client_options> MakeClientOptions(const cli_settings& aSettings);

// Sends aRequest to the routers in turn until one attempt decides the result,
// and returns the body of the response. Errors: Refused, VersionConflict,
// Unreachable or OutcomeUnknown, with the error that a router reported if there
// is one.
cli_result<Json::Value> CallRouters(const client_options& aOptions,
                                    const admin_request& aRequest);

// Computes the result of a request from its attempts, which are in the order in
// which they were made. The errors are those of CallRouters.
// Precondition: aAttempts is not empty.
cli_result<Json::Value> CombineAttempts(
  const std::vector<admin_attempt>& aAttempts, request_effect aEffect);

// Returns whether the request may be sent to another router after aAttempt.
bool MayTryNext(const admin_attempt& aAttempt, request_effect aEffect);

// Percent-encodes one segment of a path.
std::string EncodePathSegment(const std::string& aText);

} // namespace foxtailquay

#endif
