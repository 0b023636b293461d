// Printing of results and failures, and strict reading of router answers.
//
// Pure functions except NewId; safe on any thread.

#ifndef FOXTAILQUAY_CLI_OUTPUT_H
#define FOXTAILQUAY_CLI_OUTPUT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "cli/exit_code.h"
#include "json/json.h"

namespace foxtailquay {

// JSON with one member per line, without a line end after the last.
std::string ToPrettyText(const Json::Value& aJson);

// {"error": {...}, "exit_code": N, "exit_name": "..."}.
Json::Value FailureToJson(const cli_failure& aFailure);

// One line, with what a router said about running and retrying.
std::string FailureToText(const cli_failure& aFailure);

// Members of a router's answer. Errors: Refused with ProtocolViolation and
// the member's name, if it is missing or has another type.
cli_result<std::int64_t> IntegerOf(const Json::Value& aObject,
                                   std::string_view aName);
cli_result<std::string> StringOf(const Json::Value& aObject,
                                 std::string_view aName);

// The failure of an answer that does not follow the protocol.
cli_failure BadAnswer(std::string_view aName, std::string_view aExpected);

// A random identifier of 32 hexadecimal digits behind aPrefix. Errors:
// Internal if the system has no random numbers.
cli_result<std::string> NewId(std::string_view aPrefix);

// Lower-case hexadecimal SHA-256.
cli_result<std::string> Sha256(std::string_view aText);

} // namespace foxtailquay

#endif
