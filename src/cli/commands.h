// The functions behind the commands. See command.cc for the help texts.
//
// Each returns success after printing the result, or the failure to report.

#ifndef FOXTAILQUAY_CLI_COMMANDS_H
#define FOXTAILQUAY_CLI_COMMANDS_H

#include "cli/command.h"

namespace foxtailquay {

cli_result<success> ConfigShow(const command_context& aContext);
cli_result<success> ConfigPatch(const command_context& aContext);
cli_result<success> ConfigCheck(const command_context& aContext);
cli_result<success> ConfigHashKey(const command_context& aContext);

cli_result<success> WorkspaceList(const command_context& aContext);
cli_result<success> WorkspaceTopUp(const command_context& aContext);
cli_result<success> WorkspaceUsage(const command_context& aContext);
cli_result<success> WorkspaceRelease(const command_context& aContext);

cli_result<success> ShowState(const command_context& aContext);
cli_result<success> DrainProcess(const command_context& aContext);
cli_result<success> ShowCharts(const command_context& aContext);

} // namespace foxtailquay

#endif
