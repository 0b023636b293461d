// The functions that execute the commands. The command table with the help
// texts is in command_table.cc.
//
// Each prints the result and returns success, or returns the failure, which
// RunProgram prints.

#ifndef FOXTAILQUAY_CLI_COMMANDS_H
#define FOXTAILQUAY_CLI_COMMANDS_H

#include "cli/command.h"

namespace foxtailquay {

cli_result<success> ShowConfig(const command_context& aContext);
cli_result<success> SendConfigPatch(const command_context& aContext);
cli_result<success> CheckConfigFiles(const command_context& aContext);
cli_result<success> HashApiKey(const command_context& aContext);

cli_result<success> ShowWorkspaces(const command_context& aContext);
cli_result<success> TopUpBudget(const command_context& aContext);
cli_result<success> ShowBudget(const command_context& aContext);
cli_result<success> ReleaseShare(const command_context& aContext);

cli_result<success> ShowState(const command_context& aContext);
cli_result<success> DrainProcess(const command_context& aContext);
cli_result<success> ExplainRequest(const command_context& aContext);
cli_result<success> ShowCharts(const command_context& aContext);

} // namespace foxtailquay

#endif
