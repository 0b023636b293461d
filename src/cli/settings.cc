#include "cli/settings.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <system_error>

#include <arpa/inet.h>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "gflags/gflags.h"

DEFINE_string(router, "",
              "Addresses of routers, as IP:port[,IP:port...]. If a router "
              "cannot be reached and the command is safe to repeat, the next "
              "one is tried.");
DEFINE_string(operator_key_file, "",
              "File that contains the operator key, on one line.");
DEFINE_string(peer_key_file, "",
              "File that contains the key with which foxtailquay processes "
              "authenticate to each other. If given, HOST is the peer port of "
              "a router or agent.");
DEFINE_string(tls_ca_file, "",
              "File of certificate authorities (PEM). If given, routers are "
              "called with TLS and their certificates are verified.");
DEFINE_string(output, "text", "Output format: text or json.");
DEFINE_string(timeout, "10s",
              "Maximum time for the response of one router, for example 500ms "
              "or 10s.");
DEFINE_string(charts_dir, "",
              "Folder of the state chart files. If empty, "
              "../share/foxtailquay/charts relative to the folder of the "
              "program.");
DEFINE_string(if_version, "",
              "Version of the configuration that the patch was made for.");
DEFINE_string(id, "",
              "Identifier of the patch or top-up. An operation with an "
              "identifier that was applied before has no further effect. If "
              "empty, a random identifier is chosen and printed.");

namespace foxtailquay {

namespace {

constexpr std::size_t kMaxKeyBytes = 4096;
constexpr absl::Duration kMaxTimeout = absl::Minutes(10);

std::string ToFlagText(cli_flag aFlag)
{
  return "--" + std::string(ToName(aFlag));
}

bool IsSwitch(cli_flag aFlag)
{
  return aFlag == cli_flag::Help || aFlag == cli_flag::Version;
}

cli_result<success> SetFlag(cli_flag aFlag, const std::string& aValue)
{
  const std::string name(ToName(aFlag));
  if (gflags::SetCommandLineOption(name.c_str(), aValue.c_str()).empty()) {
    return MakeUsageError(
      ToFlagText(aFlag), absl::StrCat("\"", aValue, "\" is not a valid value"));
  }
  return success{};
}

cli_result<success> SetFlagsFromEnvironment(const environment& aEnvironment)
{
  for (const auto& entry : NameTable(cli_flag{})) {
    if (!IsInEnvironment(entry.mValue)) {
      continue;
    }
    const char* value = aEnvironment(ToEnvironmentName(entry.mValue).c_str());
    if (value != nullptr) {
      auto set = SetFlag(entry.mValue, value);
      if (!IsOk(set)) {
        return set;
      }
    }
  }
  return success{};
}

// Parses the flag at aArguments[aIndex] and sets its gflag. If the value is the
// next argument, advances aIndex to it.
cli_result<success> ParseFlag(const std::vector<std::string>& aArguments,
                              std::size_t& aIndex, parsed_command_line& aLine)
{
  const std::string& argument = aArguments[aIndex];
  const std::size_t equals = argument.find('=');
  const std::string written = argument.substr(0, equals);
  const std::string name = absl::StrReplaceAll(
    written.substr(written[1] == '-' ? 2 : 1), { { "-", "_" } });
  const auto flag = name == "h" ? cli_flag::Help : FromName<cli_flag>(name);
  if (!flag) {
    return MakeUsageError(written, "unknown flag; see foxtailquayctl --help");
  }
  if (!aLine.mGivenFlags.insert(*flag).second) {
    return MakeUsageError(written, "is given twice");
  }
  if (IsSwitch(*flag)) {
    if (equals != std::string::npos) {
      return MakeUsageError(written, "takes no value");
    }
    aLine.mHelp = aLine.mHelp || *flag == cli_flag::Help;
    aLine.mVersion = aLine.mVersion || *flag == cli_flag::Version;
    return success{};
  }
  if (equals != std::string::npos) {
    return SetFlag(*flag, argument.substr(equals + 1));
  }
  if (aIndex + 1 == aArguments.size()) {
    return MakeUsageError(written, "needs a value");
  }
  return SetFlag(*flag, aArguments[++aIndex]);
}

cli_result<std::vector<std::string>> ParseRouters(const std::string& aText)
{
  std::vector<std::string> routers =
    absl::StrSplit(aText, ',', absl::SkipWhitespace());
  for (std::string& router : routers) {
    router = std::string(absl::StripAsciiWhitespace(router));
    auto checked = CheckAddress("--router", router);
    if (!IsOk(checked)) {
      return GetError(checked);
    }
  }
  return routers;
}

cli_result<absl::Duration> ParseTimeout(const std::string& aText)
{
  absl::Duration timeout;
  if (!absl::ParseDuration(aText, &timeout) ||
      timeout < absl::Milliseconds(1) || timeout > kMaxTimeout) {
    return MakeUsageError(
      "--timeout", absl::StrCat("\"", aText,
                                "\" is not a duration between 1ms and 10m, "
                                "for example 10s"));
  }
  return timeout;
}

std::string GetDefaultChartsDir()
{
  std::error_code failed;
  const auto program = std::filesystem::read_symlink("/proc/self/exe", failed);
  if (failed) {
    return "";
  }
  return (program.parent_path().parent_path() / "share/foxtailquay/charts")
    .string();
}

cli_result<std::optional<config_version>> ParseVersion(const std::string& aText)
{
  if (aText.empty()) {
    return std::optional<config_version>{};
  }
  config_version version = 0;
  if (!absl::SimpleAtoi(aText, &version)) {
    return MakeUsageError("--if_version",
                          absl::StrCat("\"", aText,
                                       "\" is not a version number; \"config "
                                       "show\" prints the current one"));
  }
  return std::optional<config_version>{ version };
}

} // namespace

bool IsInEnvironment(cli_flag aFlag)
{
  switch (aFlag) {
    case cli_flag::Router:
    case cli_flag::OperatorKeyFile:
    case cli_flag::PeerKeyFile:
    case cli_flag::TlsCaFile:
    case cli_flag::Output:
    case cli_flag::Timeout:
    case cli_flag::ChartsDir:
      return true;
    case cli_flag::IfVersion:
    case cli_flag::Id:
    case cli_flag::Host:
    case cli_flag::Path:
    case cli_flag::ApiKeyFile:
    case cli_flag::Workspace:
    case cli_flag::Attempt:
    case cli_flag::Tokens:
    case cli_flag::PromptParts:
    case cli_flag::LengthHint:
    case cli_flag::TimeLeft:
    case cli_flag::Help:
    case cli_flag::Version:
      return false;
  }
  return false;
}

std::string ToEnvironmentName(cli_flag aFlag)
{
  return "FOXTAILQUAY_CTL_" + absl::AsciiStrToUpper(std::string(ToName(aFlag)));
}

std::string GetFlagHelp(cli_flag aFlag)
{
  if (aFlag == cli_flag::Help) {
    return "Print the help of the program or of a command.";
  }
  if (aFlag == cli_flag::Version) {
    return "Print the version of the program.";
  }
  const auto info =
    gflags::GetCommandLineFlagInfoOrDie(std::string(ToName(aFlag)).c_str());
  return info.default_value.empty()
           ? info.description
           : info.description + " Default: " + info.default_value + ".";
}

cli_result<parsed_command_line> ParseCommandLine(
  const std::vector<std::string>& aArguments, const environment& aEnvironment)
{
  auto set = SetFlagsFromEnvironment(aEnvironment);
  if (!IsOk(set)) {
    return GetError(set);
  }
  parsed_command_line line;
  bool flagsEnded = false;
  for (std::size_t i = 0; i < aArguments.size(); ++i) {
    const std::string& argument = aArguments[i];
    if (flagsEnded || argument.size() < 2 || argument[0] != '-') {
      line.mWords.push_back(argument);
    } else if (argument == "--") {
      flagsEnded = true;
    } else {
      auto parsed = ParseFlag(aArguments, i, line);
      if (!IsOk(parsed)) {
        return GetError(parsed);
      }
    }
  }
  return line;
}

cli_result<cli_settings> ReadCliSettings()
{
  cli_settings settings;
  auto routers = ParseRouters(FLAGS_router);
  if (!IsOk(routers)) {
    return GetError(routers);
  }
  settings.mRouters = GetValue(std::move(routers));
  auto key = ReadKeyFile(cli_flag::OperatorKeyFile, FLAGS_operator_key_file);
  if (!IsOk(key)) {
    return GetError(key);
  }
  settings.mOperatorKey = GetValue(std::move(key));
  auto peerKey = ReadKeyFile(cli_flag::PeerKeyFile, FLAGS_peer_key_file);
  if (!IsOk(peerKey)) {
    return GetError(peerKey);
  }
  settings.mPeerKey = GetValue(std::move(peerKey));
  settings.mTlsCaFile = FLAGS_tls_ca_file;
  const auto output = FromName<output_format>(FLAGS_output);
  if (!output) {
    return MakeUsageError(
      "--output", absl::StrCat("\"", FLAGS_output, "\" is not text or json"));
  }
  settings.mOutput = *output;
  auto timeout = ParseTimeout(FLAGS_timeout);
  if (!IsOk(timeout)) {
    return GetError(timeout);
  }
  settings.mTimeout = GetValue(timeout);
  settings.mChartsDir =
    FLAGS_charts_dir.empty() ? GetDefaultChartsDir() : FLAGS_charts_dir;
  auto version = ParseVersion(FLAGS_if_version);
  if (!IsOk(version)) {
    return GetError(version);
  }
  settings.mIfVersion = GetValue(version);
  settings.mId = FLAGS_id;
  return settings;
}

cli_result<std::string> ReadKeyFile(cli_flag aFlag, const std::string& aPath)
{
  if (aPath.empty()) {
    return std::string();
  }
  auto text = ReadFile(aPath, kMaxKeyBytes);
  if (!IsOk(text)) {
    return text;
  }
  const std::string key(absl::StripAsciiWhitespace(GetValue(text)));
  const bool valid =
    !key.empty() && std::all_of(key.begin(), key.end(), [](char aLetter) {
      return absl::ascii_isgraph(static_cast<unsigned char>(aLetter));
    });
  if (!valid) {
    return MakeUsageError(ToFlagText(aFlag),
                          absl::StrCat("\"", aPath,
                                       "\" must contain one line of printable "
                                       "characters without spaces"));
  }
  return key;
}

cli_result<success> CheckAddress(const std::string& aField,
                                 const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const std::string host = aText.substr(0, colon);
  int port = 0;
  bool valid = colon != std::string::npos &&
               absl::SimpleAtoi(aText.substr(colon + 1), &port) && port > 0 &&
               port < 65536;
  in6_addr address{};
  if (valid && host.size() > 2 && host.front() == '[' && host.back() == ']') {
    const std::string inner = host.substr(1, host.size() - 2);
    valid = inet_pton(AF_INET6, inner.c_str(), &address) == 1;
  } else {
    valid = valid && inet_pton(AF_INET, host.c_str(), &address) == 1;
  }
  if (!valid) {
    return MakeUsageError(aField, absl::StrCat("\"", aText,
                                               "\" is not IP:port, for example "
                                               "192.0.2.7:8080"));
  }
  return success{};
}

cli_result<std::string> ReadFile(const std::string& aPath,
                                 std::size_t aMaxBytes)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text(aMaxBytes + 1, '\0');
  if (!file || std::filesystem::is_directory(aPath)) {
    return MakeUsageError(aPath, "cannot be opened for reading");
  }
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return MakeUsageError(aPath, "cannot be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > aMaxBytes) {
    return MakeUsageError(
      aPath, absl::StrCat("is larger than the limit of ", aMaxBytes, " bytes"));
  }
  return text;
}

} // namespace foxtailquay
