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

DEFINE_string(role, "", "router or agent");
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
              "file with the key that foxtailquay processes show each other");
DEFINE_string(tls_cert_file, "",
              "PEM certificate for the callers' port; routers only");
DEFINE_string(tls_key_file, "",
              "PEM private key for the callers' port; routers only");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_string(log_levels, "", "levels of single components: name=level,...");
DEFINE_int32(max_connections, 1024, "connections per port, 1 to 100000");
DEFINE_int32(max_body_bytes, 4194304, "largest request body, 1024 to 67108864");
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

error SettingError(std::string aField, std::string aDetail)
{
  return error{ error_code::InvalidSetting, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

std::string Flag(setting aSetting)
{
  return absl::StrCat("--", std::string(ToName(aSetting)));
}

std::string EnvironmentName(std::string_view aFlag)
{
  return absl::StrCat(std::string(kEnvironmentPrefix),
                      absl::AsciiStrToUpper(std::string(aFlag)));
}

std::string ValueText(setting aSetting)
{
  std::string value;
  gflags::GetCommandLineOption(std::string(ToName(aSetting)).c_str(), &value);
  return value;
}

std::string AllFlags()
{
  std::string text;
  for (const auto& entry : NameTable(setting{})) {
    absl::StrAppend(&text, text.empty() ? "--" : ", --",
                    std::string(entry.mName));
  }
  return text;
}

// Where each setting was given, for messages: "--listen" or its variable.
struct given_settings
{
  std::map<setting, std::string> mSource;
};

result<success> SetOne(given_settings& aGiven, setting aSetting,
                       const std::string& aSource, const std::string& aValue)
{
  const std::string name(ToName(aSetting));
  if (gflags::SetCommandLineOption(name.c_str(), aValue.c_str()).empty()) {
    return SettingError(aSource, absl::StrCat("\"", aValue, "\" is not valid: ",
                                              "it must be a whole number"));
  }
  aGiven.mSource[aSetting] = aSource;
  return success{};
}

result<success> SetFromEnvironment(
  given_settings& aGiven, const std::map<std::string, std::string>& aVariables)
{
  for (const auto& [name, value] : aVariables) {
    if (!absl::StartsWith(name, kEnvironmentPrefix.data()) ||
        absl::StartsWith(name, kToolPrefix.data())) {
      continue;
    }
    const auto found = FromName<setting>(
      absl::AsciiStrToLower(name.substr(kEnvironmentPrefix.size())));
    if (!found || EnvironmentName(ToName(*found)) != name) {
      return SettingError(name,
                          absl::StrCat("unknown setting with value \"", value,
                                       "\"; the settings are ", AllFlags(),
                                       " in upper case with this "
                                       "prefix"));
    }
    auto set = SetOne(aGiven, *found, name, value);
    if (!IsOk(set)) {
      return set;
    }
  }
  return success{};
}

result<success> SetFromArguments(given_settings& aGiven,
                                 const std::vector<std::string>& aArguments)
{
  std::set<setting> seen;
  for (std::size_t i = 0; i < aArguments.size(); ++i) {
    const std::string& argument = aArguments[i];
    if (!absl::StartsWith(argument, "-")) {
      return SettingError(argument, absl::StrCat("unexpected argument; every "
                                                 "setting is --name=value: ",
                                                 AllFlags()));
    }
    const std::string body =
      argument.substr(absl::StartsWith(argument, "--") ? 2 : 1);
    const auto equals = body.find('=');
    const std::string name = body.substr(0, equals);
    const auto found = FromName<setting>(name);
    if (!found) {
      return SettingError(absl::StrCat("--", name),
                          absl::StrCat("unknown setting \"", argument,
                                       "\"; the settings are ", AllFlags()));
    }
    if (equals == std::string::npos && i + 1 == aArguments.size()) {
      return SettingError(Flag(*found), "has no value; give --name=value");
    }
    const std::string value =
      equals == std::string::npos ? aArguments[++i] : body.substr(equals + 1);
    if (!seen.insert(*found).second) {
      return SettingError(Flag(*found),
                          absl::StrCat("given twice, the second time as \"",
                                       value, "\"; give it once"));
    }
    auto set = SetOne(aGiven, *found, Flag(*found), value);
    if (!IsOk(set)) {
      return set;
    }
  }
  return success{};
}

std::string SourceOf(const given_settings& aGiven, setting aSetting)
{
  const auto found = aGiven.mSource.find(aSetting);
  return found == aGiven.mSource.end() ? Flag(aSetting) : found->second;
}

// What each role needs and must not be given.
struct role_rule
{
  process_role mRole;
  setting mSetting;
  bool mRequired; // false: forbidden
  const char* mWhy;
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

result<success> CheckRoleRule(const given_settings& aGiven,
                              const role_rule& aRule)
{
  const std::string value = ValueText(aRule.mSetting);
  const std::string role(ToName(aRule.mRole));
  if (aRule.mRequired && value.empty()) {
    return SettingError(
      SourceOf(aGiven, aRule.mSetting),
      absl::StrCat("is empty, but --role=", role, " needs it: ", aRule.mWhy));
  }
  if (!aRule.mRequired && !value.empty()) {
    return SettingError(SourceOf(aGiven, aRule.mSetting),
                        absl::StrCat("\"", value, "\" contradicts --role=",
                                     role, ": ", aRule.mWhy));
  }
  return success{};
}

result<success> CheckRoleRules(const given_settings& aGiven, process_role aRole)
{
  // Contradictions first: they explain more than a setting that is missing.
  for (const bool required : { false, true }) {
    for (const role_rule& rule : kRoleRules) {
      auto checked = rule.mRole == aRole && rule.mRequired == required
                       ? CheckRoleRule(aGiven, rule)
                       : result<success>{};
      if (!IsOk(checked)) {
        return checked;
      }
    }
  }
  return success{};
}

result<std::string> ReadKeyFile(const given_settings& aGiven, setting aSetting)
{
  const std::string path = ValueText(aSetting);
  if (path.empty()) {
    return std::string();
  }
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const std::string key(absl::StripAsciiWhitespace(text.str()));
  // A key shorter than this could be found by trying.
  constexpr std::size_t kMinKeyLength = 16;
  if (!file || key.size() < kMinKeyLength) {
    return SettingError(SourceOf(aGiven, aSetting),
                        absl::StrCat("\"", path,
                                     "\" is not valid: it must be "
                                     "a readable file with a key of at least ",
                                     kMinKeyLength, " characters"));
  }
  return key;
}

result<success> ReadAddress(const given_settings& aGiven, setting aSetting,
                            ip_port& aAddress)
{
  const std::string text = ValueText(aSetting);
  if (text.empty()) {
    return success{};
  }
  auto parsed = ParseIpPort(text, SourceOf(aGiven, aSetting));
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  aAddress = GetValue(parsed);
  return success{};
}

result<success> ReadVmList(const given_settings& aGiven,
                           daemon_settings& aSettings)
{
  if (FLAGS_vm_list.empty()) {
    return success{};
  }
  const auto slash = FLAGS_vm_list.find('/');
  auto address = ParseIpPort(FLAGS_vm_list.substr(0, slash),
                             SourceOf(aGiven, setting::VmList));
  if (slash == std::string::npos || !IsOk(address)) {
    return SettingError(SourceOf(aGiven, setting::VmList),
                        absl::StrCat("\"", FLAGS_vm_list,
                                     "\" is not valid: it must be "
                                     "IP:port/path"));
  }
  aSettings.mVmListAddress = GetValue(address);
  aSettings.mVmListPath = FLAGS_vm_list.substr(slash);
  return success{};
}

result<success> ReadLogSettings(const given_settings& aGiven,
                                daemon_settings& aSettings)
{
  const auto level = FromName<log_level>(FLAGS_log_level);
  if (!level) {
    return SettingError(SourceOf(aGiven, setting::LogLevel),
                        absl::StrCat("\"", FLAGS_log_level,
                                     "\" is not valid: it must be debug, "
                                     "info, warn or error"));
  }
  aSettings.mLog.mLevel = *level;
  auto levels = ParseLogLevels(FLAGS_log_levels);
  if (!IsOk(levels)) {
    return SettingError(SourceOf(aGiven, setting::LogLevels),
                        GetError(levels).mDetail);
  }
  aSettings.mLog.mLevels = GetValue(levels);
  return success{};
}

result<success> ReadLimit(const given_settings& aGiven, setting aSetting,
                          int aValue, int aMin, int aMax, std::size_t& aTarget)
{
  if (aValue < aMin || aValue > aMax) {
    return SettingError(SourceOf(aGiven, aSetting),
                        absl::StrCat("\"", aValue,
                                     "\" is not valid: it must "
                                     "be from ",
                                     aMin, " to ", aMax));
  }
  aTarget = static_cast<std::size_t>(aValue);
  return success{};
}

// Names go into request ids, whose parts are separated by '/'.
result<success> CheckName(const given_settings& aGiven, setting aSetting)
{
  const std::string value = ValueText(aSetting);
  const bool valid =
    value.size() <= 64 &&
    std::all_of(value.begin(), value.end(), [](unsigned char aChar) {
      return absl::ascii_isalnum(aChar) || aChar == '-' || aChar == '_' ||
             aChar == '.';
    });
  if (!valid) {
    return SettingError(SourceOf(aGiven, aSetting),
                        absl::StrCat("\"", value,
                                     "\" is not valid: it must "
                                     "have at most 64 letters, digits, '-', "
                                     "'_' or '.'"));
  }
  return success{};
}

result<success> ReadTls(const given_settings& aGiven,
                        daemon_settings& aSettings)
{
  if (FLAGS_tls_cert_file.empty() != FLAGS_tls_key_file.empty()) {
    const setting missing =
      FLAGS_tls_cert_file.empty() ? setting::TlsCertFile : setting::TlsKeyFile;
    return SettingError(SourceOf(aGiven, missing),
                        "is empty: --tls_cert_file and --tls_key_file must be "
                        "given together");
  }
  if (!FLAGS_tls_cert_file.empty() && aSettings.mRole == process_role::Agent) {
    return SettingError(SourceOf(aGiven, setting::TlsCertFile),
                        absl::StrCat("\"", FLAGS_tls_cert_file,
                                     "\" contradicts --role=agent: only the "
                                     "callers' port has TLS; remove it"));
  }
  aSettings.mTlsCertFile = FLAGS_tls_cert_file;
  aSettings.mTlsKeyFile = FLAGS_tls_key_file;
  return success{};
}

result<success> ReadFiles(const given_settings& aGiven,
                          daemon_settings& aSettings)
{
  auto operatorKey = ReadKeyFile(aGiven, setting::OperatorKeyFile);
  auto peerKey = ReadKeyFile(aGiven, setting::PeerKeyFile);
  for (const auto* key : { &operatorKey, &peerKey }) {
    if (!IsOk(*key)) {
      return GetError(*key);
    }
  }
  aSettings.mOperatorKey = GetValue(operatorKey);
  aSettings.mPeerKey = GetValue(peerKey);
  return ReadTls(aGiven, aSettings);
}

result<success> ReadRole(const given_settings& aGiven,
                         daemon_settings& aSettings)
{
  const auto role = FromName<process_role>(FLAGS_role);
  if (!role) {
    return SettingError(SourceOf(aGiven, setting::Role),
                        absl::StrCat("\"", FLAGS_role,
                                     "\" is not valid: it "
                                     "must be router, agent or "
                                     "gateway"));
  }
  aSettings.mRole = *role;
  return CheckRoleRules(aGiven, *role);
}

result<success> ReadAll(const given_settings& aGiven,
                        daemon_settings& aSettings)
{
  const result<success> steps[] = {
    ReadRole(aGiven, aSettings),
    CheckName(aGiven, setting::Member),
    CheckName(aGiven, setting::Zone),
    ReadAddress(aGiven, setting::Listen, aSettings.mListen),
    ReadAddress(aGiven, setting::PeerListen, aSettings.mPeerListen),
    ReadAddress(aGiven, setting::Store, aSettings.mStore),
    ReadAddress(aGiven, setting::Backend, aSettings.mBackend),
    ReadVmList(aGiven, aSettings),
    ReadLogSettings(aGiven, aSettings),
    ReadLimit(aGiven, setting::MaxConnections, FLAGS_max_connections, 1, 100000,
              aSettings.mMaxConnections),
    ReadLimit(aGiven, setting::MaxBodyBytes, FLAGS_max_body_bytes, 1024,
              64 << 20, aSettings.mMaxBodyBytes),
    ReadLimit(aGiven, setting::MetricsPort, FLAGS_metrics_port, 0, 65535,
              aSettings.mMetricsPort),
    ReadFiles(aGiven, aSettings),
  };
  for (const auto& step : steps) {
    if (!IsOk(step)) {
      return step;
    }
  }
  if (aSettings.mPeerListen.mIp == "0.0.0.0") {
    return SettingError(SourceOf(aGiven, setting::PeerListen),
                        absl::StrCat("\"", FLAGS_peer_listen,
                                     "\" is not valid: it must be an address "
                                     "at which peers reach this process"));
  }
  if (aSettings.mRole == process_role::Router &&
      ToString(aSettings.mListen) == ToString(aSettings.mPeerListen)) {
    return SettingError(SourceOf(aGiven, setting::PeerListen),
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
  given_settings given;
  auto fromEnvironment = SetFromEnvironment(given, aEnvironment);
  if (!IsOk(fromEnvironment)) {
    return GetError(fromEnvironment);
  }
  auto fromArguments = SetFromArguments(given, aArguments);
  if (!IsOk(fromArguments)) {
    return GetError(fromArguments);
  }
  daemon_settings settings;
  auto read = ReadAll(given, settings);
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
    absl::StrAppend(&text, "; ", EnvironmentName(name), "\n");
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
    return SettingError(aField,
                        absl::StrCat("\"", aText,
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
