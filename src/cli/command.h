// The commands of foxtailquayctl as a table over free functions.
//
//   exit_code code = RunProgram({ "config", "show" }, environment, streams);
//
// Commands read and write only the given streams, local files named on the
// command line, and the routers. One thread at a time, since gflags are
// global.

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
  // Results.
  std::ostream& mOut;
  // Messages to the person at the terminal.
  std::ostream& mErr;
};

struct command_context
{
  const cli_settings& mSettings;
  // The words after the command's name.
  std::vector<std::string> mArguments;
  cli_streams mStreams;
};

using command_function = cli_result<success> (*)(const command_context&);

struct command
{
  // One or two words.
  std::string_view mName;
  // Arguments as shown in the synopsis.
  std::string_view mArguments;
  std::size_t mMinArguments = 0;
  std::size_t mMaxArguments = 0;
  // One line for the list of commands.
  std::string_view mSummary;
  // Paragraphs for the command's own page.
  std::string_view mHelp;
  std::string_view mExamples;
  // Flags that the command uses, besides --help and --output.
  std::vector<cli_flag> mFlags;
  command_function mRun = nullptr;
};

// All commands, in the order of the help text.
const std::vector<command>& Commands();

// Runs the program. aArguments are without the program's name.
exit_code RunProgram(const std::vector<std::string>& aArguments,
                     const environment& aEnvironment, cli_streams aStreams);

// The page of the whole program, and of one command.
std::string MakeProgramHelp();
std::string MakeCommandHelp(const command& aCommand);

} // namespace foxtailquay

#endif
