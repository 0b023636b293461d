// The commands of foxtailquayctl as a table over free functions.
//
//   exit_code code = RunProgram({ "config", "show" }, environment, streams);
//
// Commands access the given streams, the local files named on the command line
// and the routers only. Not safe for concurrent calls, since gflags are global.

#ifndef FOXTAILQUAY_CLI_COMMAND_H
#define FOXTAILQUAY_CLI_COMMAND_H

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"
#include "cli/settings.h"

namespace foxtailquay {

struct cli_streams
{
  std::istream& mIn;
  // Results, as text or JSON.
  std::ostream& mOut;
  // Errors and hints for the user.
  std::ostream& mErr;
};

// The input of one run of a command.
struct command_context
{
  const cli_settings& mSettings;
  // The words after the name of the command, without flags.
  std::vector<std::string> mArguments;
  cli_streams mStreams;
};

using command_function = cli_result<success> (*)(const command_context&);

// A command with its help text.
struct command
{
  // One or two words, separated by a space.
  std::string_view mName;
  // Arguments as shown in the synopsis.
  std::string_view mArguments;
  std::size_t mMinArguments = 0;
  std::size_t mMaxArguments = 0;
  // Description in the list of commands, on one line.
  std::string_view mSummary;
  // Paragraphs of the command's help text, separated by empty lines.
  std::string_view mHelp;
  std::string_view mExamples;
  // Flags that the command uses, besides --help and --output.
  std::vector<cli_flag> mFlags;
  command_function mRun = nullptr;
};

// Returns all commands, in the order of the help text.
const std::vector<command>& GetCommands();

// Runs the program and returns its exit code. aArguments does not include the
// name of the program.
exit_code RunProgram(const std::vector<std::string>& aArguments,
                     const environment& aEnvironment, cli_streams aStreams);

// Return the help text of the program, and of one command.
std::string MakeProgramHelp();
std::string MakeCommandHelp(const command& aCommand);

} // namespace foxtailquay

#endif
