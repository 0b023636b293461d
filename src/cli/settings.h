// Command line and environment of foxtailquayctl.
//
// Settings are gflags, written with dashes or underscores. Those that concern
// the connection are also read from the environment as
// FOXTAILQUAY_CTL_<NAME>; a flag wins. The flags that identify one operation
// (--id, --if_version) are not, since a value left in the environment would
// turn the next top-up into a repetition of the last.
//
//   cli_result<parsed_line> line = ParseLine(arguments, environment);
//
// gflags are global: one thread at a time.

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
  Help,
  Version,
};

// The names of the gflags.
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
      { cli_flag::Help, "help" },
      { cli_flag::Version, "version" } });
}

// True if the flag is also read from the environment.
bool IsInEnvironment(cli_flag aFlag);

// Name of the environment variable, for example FOXTAILQUAY_CTL_ROUTER.
std::string EnvironmentNameOf(cli_flag aFlag);

// The gflags description, default value included.
std::string HelpOf(cli_flag aFlag);

struct cli_settings
{
  // "IP:port" each, tried in this order.
  std::vector<std::string> mRouters;
  // Content of --operator_key_file; empty if the flag is not given.
  std::string mOperatorKey;
  // The same for --peer_key_file.
  std::string mPeerKey;
  // Set to connect with TLS.
  std::string mTlsCaFile;
  output_format mOutput = output_format::Text;
  // Longest time that one router may take for one request.
  absl::Duration mTimeout = absl::Seconds(10);
  std::string mChartsDir;
  std::optional<config_version> mIfVersion;
  std::string mId;
};

struct parsed_line
{
  std::vector<std::string> mWords;
  // Flags that stood on the command line.
  std::set<cli_flag> mGiven;
  bool mHelp = false;
  bool mVersion = false;
};

// Looks up an environment variable; null if it is not set.
using environment = std::function<const char*(const char*)>;

// Splits aArguments (without the program's name) into words and flags and
// sets the gflags. "--" ends the flags. Errors: usage error with the flag's
// name for an unknown flag, a missing value or a value of the wrong type.
cli_result<parsed_line> ParseLine(const std::vector<std::string>& aArguments,
                                  const environment& aEnvironment);

// Reads the gflags that ParseLine has set, and the key files. Errors:
// usage error with the flag's name, its value and what would be right.
cli_result<cli_settings> LoadSettings();

// Checks that aText is "IP:port" or "[IPv6]:port".
cli_result<success> CheckAddress(const std::string& aField,
                                 const std::string& aText);

// The whole text of a file of at most aMaxBytes. Errors: usage error.
cli_result<std::string> ReadFile(const std::string& aPath,
                                 std::size_t aMaxBytes);

} // namespace foxtailquay

#endif
