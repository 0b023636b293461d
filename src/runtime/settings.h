// Settings of foxtailquayd, from command line flags and from environment
// variables FOXTAILQUAY_<NAME>. A flag takes precedence over the variable.
//
//   auto settings = ReadSettings(arguments, environment, executableDir);
//
// All settings are checked before the process starts. An error names the
// setting, its value and the values that are valid.

#ifndef FOXTAILQUAY_RUNTIME_SETTINGS_H
#define FOXTAILQUAY_RUNTIME_SETTINGS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "foxtailquay/result.h"
#include "foxtailquay/types.h"
#include "runtime/log.h"

namespace foxtailquay {

// "IP:port"; the IP is a literal IPv4 address.
struct ip_port
{
  std::string mIp;
  int mPort = 0;
};

struct daemon_settings
{
  process_role mRole = process_role::Router;
  std::string mMember;
  std::string mZone;
  // Routers only.
  ip_port mListen;
  ip_port mPeerListen;
  ip_port mStore;
  // Agents only.
  ip_port mBackend;
  std::string mChartsDir;
  // Contents of the key files; empty if no file is set.
  std::string mOperatorKey;
  std::string mPeerKey;
  std::string mTlsCertFile;
  std::string mTlsKeyFile;
  log_options mLog;
  std::size_t mMaxConnections = 0;
  std::size_t mMaxBodyBytes = 0;
  // The platform's VM list. The path is empty if the list is not configured.
  ip_port mVmListAddress;
  std::string mVmListPath;
  // Gateways only: the platform's settings file, and the port of /metrics and
  // /debug/state on this machine's address (0: the port is not opened).
  std::string mNodeFile;
  std::size_t mMetricsPort = 0;
};

// Reads and checks all settings. aArguments excludes the program name.
// aExecutableDir is the folder of the program; the default folder of the charts
// is relative to it. Errors: InvalidSetting with mField "--name" or
// "FOXTAILQUAY_NAME". Not thread-safe, because the flags are global variables.
result<daemon_settings> ReadSettings(
  const std::vector<std::string>& aArguments,
  const std::map<std::string, std::string>& aEnvironment,
  const std::string& aExecutableDir);

// Returns the text for --help, with one line per setting.
std::string MakeSettingsHelp();

// Parses "IP:port". Errors: InvalidSetting with mField aField.
result<ip_port> ParseIpPort(const std::string& aText,
                            const std::string& aField);

std::string ToString(const ip_port& aAddress);

} // namespace foxtailquay

#endif
