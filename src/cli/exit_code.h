// Exit codes of foxtailquayctl, and the failures that determine them.
//
//   cli_result<Json::Value> response = CallRouters(options, request);
//   if (!IsOk(response)) {
//     return GetError(response);
//   }
//
// Pure functions; safe on any thread.

#ifndef FOXTAILQUAY_CLI_EXIT_CODE_H
#define FOXTAILQUAY_CLI_EXIT_CODE_H

#include <string_view>
#include <utility>
#include <variant>

#include "foxtailquay/error.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

// The numeric values are part of the command line interface: scripts rely on
// them.
enum class exit_code
{
  Ok,
  Refused,
  Usage,
  Unreachable,
  VersionConflict,
  OutcomeUnknown,
};

constexpr auto NameTable(exit_code)
{
  return MakeNameTable<exit_code>(
    { { exit_code::Ok, "ok" },
      { exit_code::Refused, "refused" },
      { exit_code::Usage, "usage" },
      { exit_code::Unreachable, "unreachable" },
      { exit_code::VersionConflict, "version_conflict" },
      { exit_code::OutcomeUnknown, "outcome_unknown" } });
}

// Returns the description of an exit code for the help texts.
std::string_view GetDescription(exit_code aCode);

// An error and the exit code that reports it.
struct cli_failure
{
  exit_code mExit = exit_code::Refused;
  error mError;
};

// A value or a failure.
template<typename T>
using cli_result = std::variant<T, cli_failure>;

template<typename T>
bool IsOk(const cli_result<T>& aResult)
{
  return aResult.index() == 0;
}

// Precondition: IsOk(aResult).
template<typename T>
const T& GetValue(const cli_result<T>& aResult)
{
  return std::get<0>(aResult);
}

// Precondition: IsOk(aResult).
template<typename T>
T&& GetValue(cli_result<T>&& aResult)
{
  return std::get<0>(std::move(aResult));
}

// Precondition: !IsOk(aResult).
template<typename T>
const cli_failure& GetError(const cli_result<T>& aResult)
{
  return std::get<1>(aResult);
}

// Returns the failure for an invalid command line, setting or local file, named
// by aField.
cli_failure MakeUsageError(std::string aField, std::string aDetail);

// Returns the failure for an error in a local file or setting; the exit code is
// Usage.
cli_failure MakeLocalError(const error& aError);

// Returns the failure for an error that a router reported.
cli_failure MakeRouterError(const error& aError);

} // namespace foxtailquay

#endif
