#include "runtime/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include <arpa/inet.h>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gflags/gflags.h"

DEFINE_string(role, "", "router, agent or gateway");
DEFINE_string(member, "", "name of this process, stable across restarts");
DEFINE_string(zone, "", "availability zone of this process");
DEFINE_string(listen, "", "IP:port for callers; routers only");
DEFINE_string(peer_listen, "", "IP:port for other foxtailquay processes");
DEFINE_string(store, "", "IP:port of the key-value service");
DEFINE_string(backend, "", "IP:port of the backend server; agents only");
DEFINE_string(charts_dir, "",
              "folder of the state charts; by default "
              "../share/foxtailquay/charts beside the program");
DEFINE_string(operator_key_file, "",
              "file with the operators' key; without it /admin is closed; "
              "routers only");
DEFINE_string(peer_key_file, "",
              "file with the key by which foxtailquay processes authenticate "
              "each other");
DEFINE_string(tls_cert_file, "",
              "PEM certificate for the callers' port; routers only");
DEFINE_string(tls_key_file, "",
              "PEM private key for the callers' port; routers only");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_string(log_levels, "",
              "levels of individual components: component=level,...");
DEFINE_int32(max_connections, 1024, "connections per port, 1 to 100000");
DEFINE_int32(max_body_bytes, 4194304,
             "largest request body in bytes, 1024 to 67108864");
DEFINE_string(vm_list, "",
              "IP:port/path of the platform's list of VMs; routers only");
DEFINE_string(node_file, "",
              "the platform's settings file of this machine; gateways only");
DEFINE_int32(metrics_port, 0,
             "port of /metrics and /debug/state, 0 to 65535; gateways only");

namespace foxtailquay {

namespace {

enum class setting
{
  Role,
  Member,
  Zone,
  Listen,
  PeerListen,
  Store,
  Backend,
  ChartsDir,
  OperatorKeyFile,
  PeerKeyFile,
  TlsCertFile,
  TlsKeyFile,
  LogLevel,
  LogLevels,
  MaxConnections,
  MaxBodyBytes,
  VmList,
  NodeFile,
  MetricsPort,
};

constexpr auto NameTable(setting)
{
  using s = setting;
  return MakeNameTable<s>({
    { s::Role, "role" },
    { s::Member, "member" },
    { s::Zone, "zone" },
    { s::Listen, "listen" },
    { s::PeerListen, "peer_listen" },
    { s::Store, "store" },
    { s::Backend, "backend" },
    { s::ChartsDir, "charts_dir" },
    { s::OperatorKeyFile, "operator_key_file" },
    { s::PeerKeyFile, "peer_key_file" },
    { s::TlsCertFile, "tls_cert_file" },
    { s::TlsKeyFile, "tls_key_file" },
    { s::LogLevel, "log_level" },
    { s::LogLevels, "log_levels" },
    { s::MaxConnections, "max_connections" },
    { s::MaxBodyBytes, "max_body_bytes" },
    { s::VmList, "vm_list" },
    { s::NodeFile, "node_file" },
    { s::MetricsPort, "metrics_port" },
  });
}

constexpr std::string_view kEnvironmentPrefix = "FOXTAILQUAY_";
// Settings of foxtailquayctl, which may share an environment with the daemon.
constexpr std::string_view kToolPrefix = "FOXTAILQUAY_CTL_";

error MakeSettingError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidSetting, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

std::string ToFlag(setting aSetting)
{
  return absl::StrCat("--", std::string(ToName(aSetting)));
}

std::string ToEnvironmentName(std::string_view aFlag)
{
  return absl::StrCat(std::string(kEnvironmentPrefix),
                      absl::AsciiStrToUpper(std::string(aFlag)));
}

std::string GetFlagValue(setting aSetting)
{
  std::string value;
  gflags::GetCommandLineOption(std::string(ToName(aSetting)).c_str(), &value);
  return value;
}

std::string JoinFlags()
{
  std::string text;
  for (const auto& entry : NameTable(setting{})) {
    absl::StrAppend(&text, text.empty() ? "--" : ", --",
                    std::string(entry.mName));
  }
  return text;
}

// Name under which each setting was given, for error messages: its flag, for
// example "--listen", or its environment variable.
struct setting_sources
{
  std::map<setting, std::string> mNames;
};

result<success> SetFlag(setting_sources& aSources, setting aSetting,
                        const std::string& aSource, const std::string& aValue)
{
  const std::string name(ToName(aSetting));
  if (gflags::SetCommandLineOption(name.c_str(), aValue.c_str()).empty()) {
    return MakeSettingError(
      aSource, absl::StrCat("\"", aValue,
                            "\" is not valid: ", "it must be a whole number"));
  }
  aSources.mNames[aSetting] = aSource;
  return success{};
}

result<success> SetFromEnvironment(
  setting_sources& aSources,
  const std::map<std::string, std::string>& aVariables)
{
  for (const auto& [name, value] : aVariables) {
    if (!absl::StartsWith(name, kEnvironmentPrefix.data()) ||
        absl::StartsWith(name, kToolPrefix.data())) {
      continue;
    }
    const auto found = FromName<setting>(
      absl::AsciiStrToLower(name.substr(kEnvironmentPrefix.size())));
    if (!found || ToEnvironmentName(ToName(*found)) != name) {
      return MakeSettingError(
        name, absl::StrCat("unknown setting with value \"", value,
                           "\"; the settings are ", JoinFlags(),
                           " in upper case with this "
                           "prefix"));
    }
    auto setResult = SetFlag(aSources, *found, name, value);
    if (!IsOk(setResult)) {
      return setResult;
    }
  }
  return success{};
}

result<success> SetFromArguments(setting_sources& aSources,
                                 const std::vector<std::string>& aArguments)
{
  std::set<setting> seen;
  for (std::size_t i = 0; i < aArguments.size(); ++i) {
    const std::string& argument = aArguments[i];
    if (!absl::StartsWith(argument, "-")) {
      return MakeSettingError(argument,
                              absl::StrCat("unexpected argument; every "
                                           "setting is --name=value: ",
                                           JoinFlags()));
    }
    const std::string body =
      argument.substr(absl::StartsWith(argument, "--") ? 2 : 1);
    const auto equals = body.find('=');
    const std::string name = body.substr(0, equals);
    const auto found = FromName<setting>(name);
    if (!found) {
      return MakeSettingError(absl::StrCat("--", name),
                              absl::StrCat("unknown setting \"", argument,
                                           "\"; the settings are ",
                                           JoinFlags()));
    }
    if (equals == std::string::npos && i + 1 == aArguments.size()) {
      return MakeSettingError(ToFlag(*found),
                              "has no value; give --name=value");
    }
    const std::string value =
      equals == std::string::npos ? aArguments[++i] : body.substr(equals + 1);
    if (!seen.insert(*found).second) {
      return MakeSettingError(ToFlag(*found),
                              absl::StrCat("given twice, the second time as \"",
                                           value, "\"; give it once"));
    }
    auto setResult = SetFlag(aSources, *found, ToFlag(*found), value);
    if (!IsOk(setResult)) {
      return setResult;
    }
  }
  return success{};
}

// Returns the name under which the setting was given, or else its flag.
std::string GetSource(const setting_sources& aSources, setting aSetting)
{
  const auto found = aSources.mNames.find(aSetting);
  return found == aSources.mNames.end() ? ToFlag(aSetting) : found->second;
}

// A setting that a role requires or does not allow.
struct role_rule
{
  process_role mRole;
  setting mSetting;
  bool mRequired; // false: forbidden
  const char* mReason;
};

constexpr std::array<role_rule, 18> kRoleRules{ {
  { process_role::Router, setting::Member, true, "the name of this process" },
  { process_role::Router, setting::Zone, true, "the availability zone" },
  { process_role::Router, setting::Listen, true, "IP:port for callers" },
  { process_role::Router, setting::PeerListen, true, "IP:port for peers" },
  { process_role::Router, setting::Store, true, "IP:port of the store" },
  { process_role::Router, setting::Backend, false,
    "only agents have a backend server; remove it or use --role=agent" },
  { process_role::Agent, setting::Member, true, "the backend server's name" },
  { process_role::Agent, setting::Zone, true, "the availability zone" },
  { process_role::Agent, setting::PeerListen, true, "IP:port for peers" },
  { process_role::Agent, setting::Store, true, "IP:port of the store" },
  { process_role::Agent, setting::Backend, true,
    "IP:port of the backend server" },
  { process_role::Agent, setting::Listen, false,
    "agents take no callers; remove it or use --role=router" },
  { process_role::Agent, setting::OperatorKeyFile, false,
    "only routers serve operators; remove it" },
  { process_role::Agent, setting::VmList, false,
    "only routers read the list of VMs; remove it" },
  { process_role::Gateway, setting::NodeFile, true,
    "the platform's settings file, which has its addresses" },
  { process_role::Gateway, setting::Listen, false,
    "a gateway takes its addresses from --node_file; remove it" },
  { process_role::Router, setting::NodeFile, false,
    "only gateways read it; remove it or use --role=gateway" },
  { process_role::Agent, setting::NodeFile, false,
    "only gateways read it; remove it or use --role=gateway" },
} };

result<success> CheckRoleRule(const setting_sources& aSources,
                              const role_rule& aRule)
{
  const std::string value = GetFlagValue(aRule.mSetting);
  const std::string role(ToName(aRule.mRole));
  if (aRule.mRequired && value.empty()) {
    return MakeSettingError(GetSource(aSources, aRule.mSetting),
                            absl::StrCat("is empty, but --role=", role,
                                         " needs it: ", aRule.mReason));
  }
  if (!aRule.mRequired && !value.empty()) {
    return MakeSettingError(GetSource(aSources, aRule.mSetting),
                            absl::StrCat("\"", value, "\" contradicts --role=",
                                         role, ": ", aRule.mReason));
  }
  return success{};
}

result<success> CheckRoleRules(const setting_sources& aSources,
                               process_role aRole)
{
  // Settings that are not allowed are reported first, because they often show
  // that the role is wrong, which also explains a missing setting.
  for (const bool required : { false, true }) {
    for (const role_rule& rule : kRoleRules) {
      auto checkResult = rule.mRole == aRole && rule.mRequired == required
                           ? CheckRoleRule(aSources, rule)
                           : result<success>{};
      if (!IsOk(checkResult)) {
        return checkResult;
      }
    }
  }
  return success{};
}

result<std::string> ReadKeyFile(const setting_sources& aSources,
                                setting aSetting)
{
  const std::string path = GetFlagValue(aSetting);
  if (path.empty()) {
    return std::string();
  }
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const std::string key(absl::StripAsciiWhitespace(text.str()));
  // A shorter key could be guessed by trying all values.
  constexpr std::size_t kMinKeyLength = 16;
  if (!file || key.size() < kMinKeyLength) {
    return MakeSettingError(
      GetSource(aSources, aSetting),
      absl::StrCat("\"", path,
                   "\" is not valid: it must be "
                   "a readable file with a key of at least ",
                   kMinKeyLength, " characters"));
  }
  return key;
}

result<success> ParseAddressSetting(const setting_sources& aSources,
                                    setting aSetting, ip_port& aAddress)
{
  const std::string text = GetFlagValue(aSetting);
  if (text.empty()) {
    return success{};
  }
  auto parsed = ParseIpPort(text, GetSource(aSources, aSetting));
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  aAddress = GetValue(parsed);
  return success{};
}

result<success> ParseVmListSetting(const setting_sources& aSources,
                                   daemon_settings& aSettings)
{
  if (FLAGS_vm_list.empty()) {
    return success{};
  }
  const auto slash = FLAGS_vm_list.find('/');
  auto address = ParseIpPort(FLAGS_vm_list.substr(0, slash),
                             GetSource(aSources, setting::VmList));
  if (slash == std::string::npos || !IsOk(address)) {
    return MakeSettingError(GetSource(aSources, setting::VmList),
                            absl::StrCat("\"", FLAGS_vm_list,
                                         "\" is not valid: it must be "
                                         "IP:port/path"));
  }
  aSettings.mVmListAddress = GetValue(address);
  aSettings.mVmListPath = FLAGS_vm_list.substr(slash);
  return success{};
}

result<success> ParseLogSettings(const setting_sources& aSources,
                                 daemon_settings& aSettings)
{
  const auto level = FromName<log_level>(FLAGS_log_level);
  if (!level) {
    return MakeSettingError(GetSource(aSources, setting::LogLevel),
                            absl::StrCat("\"", FLAGS_log_level,
                                         "\" is not valid: it must be debug, "
                                         "info, warn or error"));
  }
  aSettings.mLog.mLevel = *level;
  auto levels = ParseLogLevels(FLAGS_log_levels);
  if (!IsOk(levels)) {
    return MakeSettingError(GetSource(aSources, setting::LogLevels),
                            GetError(levels).mDetail);
  }
  aSettings.mLog.mLevels = GetValue(levels);
  return success{};
}

result<success> ParseLimit(const setting_sources& aSources, setting aSetting,
                           int aValue, int aMin, int aMax, std::size_t& aTarget)
{
  if (aValue < aMin || aValue > aMax) {
    return MakeSettingError(GetSource(aSources, aSetting),
                            absl::StrCat("\"", aValue,
                                         "\" is not valid: it must "
                                         "be from ",
                                         aMin, " to ", aMax));
  }
  aTarget = static_cast<std::size_t>(aValue);
  return success{};
}

// Checks a name of a process or zone. '/' is not allowed, because names become
// parts of request ids, which '/' separates.
result<success> CheckName(const setting_sources& aSources, setting aSetting)
{
  const std::string value = GetFlagValue(aSetting);
  const bool valid =
    value.size() <= 64 &&
    std::all_of(value.begin(), value.end(), [](unsigned char aChar) {
      return absl::ascii_isalnum(aChar) || aChar == '-' || aChar == '_' ||
             aChar == '.';
    });
  if (!valid) {
    return MakeSettingError(
      GetSource(aSources, aSetting),
      absl::StrCat("\"", value,
                   "\" is not valid: it must "
                   "have at most 64 letters, digits, '-', "
                   "'_' or '.'"));
  }
  return success{};
}

result<success> ParseTlsSettings(const setting_sources& aSources,
                                 daemon_settings& aSettings)
{
  if (FLAGS_tls_cert_file.empty() != FLAGS_tls_key_file.empty()) {
    const setting missing =
      FLAGS_tls_cert_file.empty() ? setting::TlsCertFile : setting::TlsKeyFile;
    return MakeSettingError(
      GetSource(aSources, missing),
      "is empty: --tls_cert_file and --tls_key_file must be "
      "given together");
  }
  if (!FLAGS_tls_cert_file.empty() && aSettings.mRole == process_role::Agent) {
    return MakeSettingError(
      GetSource(aSources, setting::TlsCertFile),
      absl::StrCat("\"", FLAGS_tls_cert_file,
                   "\" contradicts --role=agent: only the "
                   "callers' port has TLS; remove it"));
  }
  aSettings.mTlsCertFile = FLAGS_tls_cert_file;
  aSettings.mTlsKeyFile = FLAGS_tls_key_file;
  return success{};
}

result<success> ReadFileSettings(const setting_sources& aSources,
                                 daemon_settings& aSettings)
{
  auto operatorKey = ReadKeyFile(aSources, setting::OperatorKeyFile);
  auto peerKey = ReadKeyFile(aSources, setting::PeerKeyFile);
  for (const auto* key : { &operatorKey, &peerKey }) {
    if (!IsOk(*key)) {
      return GetError(*key);
    }
  }
  aSettings.mOperatorKey = GetValue(operatorKey);
  aSettings.mPeerKey = GetValue(peerKey);
  return ParseTlsSettings(aSources, aSettings);
}

result<success> ParseRole(const setting_sources& aSources,
                          daemon_settings& aSettings)
{
  const auto role = FromName<process_role>(FLAGS_role);
  if (!role) {
    return MakeSettingError(GetSource(aSources, setting::Role),
                            absl::StrCat("\"", FLAGS_role,
                                         "\" is not valid: it "
                                         "must be router, agent or "
                                         "gateway"));
  }
  aSettings.mRole = *role;
  return CheckRoleRules(aSources, *role);
}

result<success> ParseAllSettings(const setting_sources& aSources,
                                 daemon_settings& aSettings)
{
  const result<success> steps[] = {
    ParseRole(aSources, aSettings),
    CheckName(aSources, setting::Member),
    CheckName(aSources, setting::Zone),
    ParseAddressSetting(aSources, setting::Listen, aSettings.mListen),
    ParseAddressSetting(aSources, setting::PeerListen, aSettings.mPeerListen),
    ParseAddressSetting(aSources, setting::Store, aSettings.mStore),
    ParseAddressSetting(aSources, setting::Backend, aSettings.mBackend),
    ParseVmListSetting(aSources, aSettings),
    ParseLogSettings(aSources, aSettings),
    ParseLimit(aSources, setting::MaxConnections, FLAGS_max_connections, 1,
               100000, aSettings.mMaxConnections),
    ParseLimit(aSources, setting::MaxBodyBytes, FLAGS_max_body_bytes, 1024,
               64 << 20, aSettings.mMaxBodyBytes),
    ParseLimit(aSources, setting::MetricsPort, FLAGS_metrics_port, 0, 65535,
               aSettings.mMetricsPort),
    ReadFileSettings(aSources, aSettings),
  };
  for (const auto& step : steps) {
    if (!IsOk(step)) {
      return step;
    }
  }
  if (aSettings.mPeerListen.mIp == "0.0.0.0") {
    return MakeSettingError(
      GetSource(aSources, setting::PeerListen),
      absl::StrCat("\"", FLAGS_peer_listen,
                   "\" is not valid: it must be an address "
                   "at which peers reach this process"));
  }
  if (aSettings.mRole == process_role::Router &&
      ToString(aSettings.mListen) == ToString(aSettings.mPeerListen)) {
    return MakeSettingError(GetSource(aSources, setting::PeerListen),
                            absl::StrCat("\"", FLAGS_peer_listen,
                                         "\" is also --listen: the two must "
                                         "differ"));
  }
  return success{};
}

} // namespace

result<daemon_settings> ReadSettings(
  const std::vector<std::string>& aArguments,
  const std::map<std::string, std::string>& aEnvironment,
  const std::string& aExecutableDir)
{
  setting_sources sources;
  auto fromEnvironment = SetFromEnvironment(sources, aEnvironment);
  if (!IsOk(fromEnvironment)) {
    return GetError(fromEnvironment);
  }
  auto fromArguments = SetFromArguments(sources, aArguments);
  if (!IsOk(fromArguments)) {
    return GetError(fromArguments);
  }
  daemon_settings settings;
  auto read = ParseAllSettings(sources, settings);
  if (!IsOk(read)) {
    return GetError(read);
  }
  settings.mMember = FLAGS_member;
  settings.mZone = FLAGS_zone;
  settings.mNodeFile = FLAGS_node_file;
  settings.mChartsDir =
    FLAGS_charts_dir.empty()
      ? absl::StrCat(aExecutableDir, "/../share/foxtailquay/charts")
      : FLAGS_charts_dir;
  return settings;
}

std::string MakeSettingsHelp()
{
  std::string text =
    "foxtailquayd --role=router|agent|gateway [--name=value]...\n";
  for (const auto& entry : NameTable(setting{})) {
    const std::string name(entry.mName);
    const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
    absl::StrAppend(&text, "  --", name, "  ", info.description);
    if (!info.default_value.empty()) {
      absl::StrAppend(&text, " (default ", info.default_value, ")");
    }
    absl::StrAppend(&text, "; ", ToEnvironmentName(name), "\n");
  }
  return text;
}

result<ip_port> ParseIpPort(const std::string& aText, const std::string& aField)
{
  const auto colon = aText.rfind(':');
  ip_port address;
  in_addr parsed{};
  const bool valid =
    colon != std::string::npos &&
    inet_pton(AF_INET, aText.substr(0, colon).c_str(), &parsed) == 1 &&
    absl::SimpleAtoi(aText.substr(colon + 1), &address.mPort) &&
    address.mPort > 0 && address.mPort < 65536;
  if (!valid) {
    return MakeSettingError(
      aField, absl::StrCat("\"", aText,
                           "\" is not valid: it must "
                           "be IP:port, for example 10.0.0.5:8080"));
  }
  address.mIp = aText.substr(0, colon);
  return address;
}

std::string ToString(const ip_port& aAddress)
{
  return absl::StrCat(aAddress.mIp, ":", aAddress.mPort);
}

} // namespace foxtailquay
