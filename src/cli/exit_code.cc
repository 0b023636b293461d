#include "cli/exit_code.h"

namespace foxtailquay {

std::string_view GetDescription(exit_code aCode)
{
  switch (aCode) {
    case exit_code::Ok:
      return "The operation took effect, or the response was printed.";
    case exit_code::Refused:
      return "A router refused the operation; it had no effect.";
    case exit_code::Usage:
      return "The command line, a setting or a local file is invalid; nothing "
             "was sent.";
    case exit_code::Unreachable:
      return "No router was reached; the operation had no effect.";
    case exit_code::VersionConflict:
      return "The configuration is no longer at the version that the patch "
             "was made for; it had no effect.";
    case exit_code::OutcomeUnknown:
      return "The operation may have taken effect. Repeating it with the "
             "same id is safe.";
  }
  return "";
}

cli_failure MakeUsageError(std::string aField, std::string aDetail)
{
  return { exit_code::Usage,
           { error_code::InvalidSetting, executed::No, std::move(aField),
             std::move(aDetail), absl::ZeroDuration() } };
}

cli_failure MakeLocalError(const error& aError)
{
  return { exit_code::Usage, aError };
}

cli_failure MakeRouterError(const error& aError)
{
  if (aError.mCode == error_code::VersionConflict) {
    return { exit_code::VersionConflict, aError };
  }
  if (aError.mExecuted == executed::Unknown) {
    return { exit_code::OutcomeUnknown, aError };
  }
  return { exit_code::Refused, aError };
}

} // namespace foxtailquay
