// Formats results and failures, and reads members of router responses with type
// checks.
//
// All functions but MakeRandomId are pure. Safe on any thread.

#ifndef FOXTAILQUAY_CLI_OUTPUT_H
#define FOXTAILQUAY_CLI_OUTPUT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "cli/exit_code.h"
#include "json/json.h"

namespace foxtailquay {

// Returns JSON text with one member per line, without a line end after the
// last.
std::string ToPrettyText(const Json::Value& aJson);

// Returns {"error": {...}, "exit_code": N, "exit_name": "..."}.
Json::Value ToJson(const cli_failure& aFailure);

// Returns one line with the error and, if the router stated it, the time until
// a retry.
std::string ToText(const cli_failure& aFailure);

// Return a member of a router's response. Errors: Refused with
// ProtocolViolation and the member's name if the member is missing or has
// another type.
cli_result<std::int64_t> GetInteger(const Json::Value& aObject,
                                    std::string_view aName);
cli_result<std::string> GetString(const Json::Value& aObject,
                                  std::string_view aName);

// Returns the failure for a response without the member aName of the type that
// aExpected describes, for example "an integer".
cli_failure MakeBadResponseFailure(std::string_view aName,
                                   std::string_view aExpected);

// Returns aPrefix followed by 32 random hexadecimal digits. Errors: Internal if
// OpenSSL cannot generate random numbers.
cli_result<std::string> MakeRandomId(std::string_view aPrefix);

// Returns the SHA-256 hash of aText in lower-case hexadecimal digits. Errors:
// Internal if OpenSSL fails.
cli_result<std::string> ComputeSha256(std::string_view aText);

} // namespace foxtailquay

#endif
