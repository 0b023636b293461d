// Exit codes of foxtailquayctl, and failures that carry one.
//
//   cli_result<Json::Value> answer = Call(client, request);
//   if (!IsOk(answer)) {
//     return GetError(answer);
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

// The numbers are part of the command line interface: scripts rely on them.
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

// One line for --help.
std::string_view DescriptionOf(exit_code aCode);

struct cli_failure
{
  exit_code mExit = exit_code::Refused;
  error mError;
};

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

// A wrong command line, setting or local file. aField names it.
cli_failure UsageError(std::string aField, std::string aDetail);

// A failure to read a local file or setting, reported as a usage error.
cli_failure LocalError(const error& aError);

// The failure that a router reported.
cli_failure RouterError(const error& aError);

} // namespace foxtailquay

#endif
