// Parses the command line and the environment of foxtailquayctl.
//
// Settings are gflags, written with dashes or underscores. They are also read
// from the environment as FOXTAILQUAY_CTL_<NAME>; a flag on the command line
// has precedence. The flags that identify one operation (--id, --if_version)
// are not read from the environment, since an --id left there would turn the
// next top-up into a repetition of the previous one. Nor are the flags that
// describe the request of "explain".
//
//   cli_result<parsed_command_line> line =
//     ParseCommandLine(arguments, environment);
//
// Not safe for concurrent calls, since gflags are global.

#ifndef FOXTAILQUAY_CLI_SETTINGS_H
#define FOXTAILQUAY_CLI_SETTINGS_H

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cli/exit_code.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

enum class output_format
{
  Text,
  Json,
};

constexpr auto NameTable(output_format)
{
  return MakeNameTable<output_format>(
    { { output_format::Text, "text" }, { output_format::Json, "json" } });
}

enum class cli_flag
{
  Router,
  OperatorKeyFile,
  PeerKeyFile,
  TlsCaFile,
  Output,
  Timeout,
  ChartsDir,
  IfVersion,
  Id,
  Host,
  Path,
  ApiKeyFile,
  Workspace,
  Attempt,
  Tokens,
  PromptParts,
  LengthHint,
  TimeLeft,
  Help,
  Version,
};

// The texts are the names of the gflags.
constexpr auto NameTable(cli_flag)
{
  return MakeNameTable<cli_flag>(
    { { cli_flag::Router, "router" },
      { cli_flag::OperatorKeyFile, "operator_key_file" },
      { cli_flag::PeerKeyFile, "peer_key_file" },
      { cli_flag::TlsCaFile, "tls_ca_file" },
      { cli_flag::Output, "output" },
      { cli_flag::Timeout, "timeout" },
      { cli_flag::ChartsDir, "charts_dir" },
      { cli_flag::IfVersion, "if_version" },
      { cli_flag::Id, "id" },
      { cli_flag::Host, "host" },
      { cli_flag::Path, "path" },
      { cli_flag::ApiKeyFile, "api_key_file" },
      { cli_flag::Workspace, "workspace" },
      { cli_flag::Attempt, "attempt" },
      { cli_flag::Tokens, "tokens" },
      { cli_flag::PromptParts, "prompt_parts" },
      { cli_flag::LengthHint, "length_hint" },
      { cli_flag::TimeLeft, "time_left" },
      { cli_flag::Help, "help" },
      { cli_flag::Version, "version" } });
}

// Returns whether the flag is also read from the environment.
bool IsInEnvironment(cli_flag aFlag);

// Returns the name of the environment variable, for example
// FOXTAILQUAY_CTL_ROUTER.
std::string ToEnvironmentName(cli_flag aFlag);

// Returns the description of the flag with its default value.
std::string GetFlagHelp(cli_flag aFlag);

struct cli_settings
{
  // Routers as "IP:port", tried in this order.
  std::vector<std::string> mRouters;
  // Content of --operator_key_file; empty if the flag is not given.
  std::string mOperatorKey;
  // Content of --peer_key_file; empty if the flag is not given.
  std::string mPeerKey;
  // File of certificate authorities (PEM); empty to connect without TLS.
  std::string mTlsCaFile;
  output_format mOutput = output_format::Text;
  // Maximum time for one request to one router.
  absl::Duration mTimeout = absl::Seconds(10);
  // Folder of the state chart files.
  std::string mChartsDir;
  // Version that a patch was made for; empty if the flag is not given.
  std::optional<config_version> mIfVersion;
  // Identifier of the patch or top-up; empty if the flag is not given.
  std::string mId;
};

struct parsed_command_line
{
  // Arguments that are not flags: the name of the command and its arguments.
  std::vector<std::string> mWords;
  // Flags on the command line, without those from the environment.
  std::set<cli_flag> mGivenFlags;
  bool mHelp = false;
  bool mVersion = false;
};

// Returns the value of an environment variable, or null if it is not set.
using environment = std::function<const char*(const char*)>;

// Splits aArguments, which does not include the name of the program, into words
// and flags, and sets the gflags from the environment and the flags. All
// arguments after "--" are words. Errors: Usage with the name of the flag if it
// is unknown or repeated, or if its value is missing or has the wrong type.
cli_result<parsed_command_line> ParseCommandLine(
  const std::vector<std::string>& aArguments, const environment& aEnvironment);

// Returns the settings from the gflags that ParseCommandLine has set, and reads
// the key files. Errors: Usage with the name of the flag, its value and the
// form expected.
cli_result<cli_settings> ReadCliSettings();

// Returns the key in the file at aPath, which is the value of aFlag, or an
// empty text if aPath is empty. Errors: Usage if the file does not contain one
// line of printable characters without spaces.
cli_result<std::string> ReadKeyFile(cli_flag aFlag, const std::string& aPath);

// Checks that aText is "IP:port" or "[IPv6]:port". Errors: Usage with aField.
cli_result<success> CheckAddress(const std::string& aField,
                                 const std::string& aText);

// Returns the content of a file. Errors: Usage if the file cannot be read or is
// larger than aMaxBytes.
cli_result<std::string> ReadFile(const std::string& aPath,
                                 std::size_t aMaxBytes);

} // namespace foxtailquay

#endif
