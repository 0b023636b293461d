// Settings of foxtailquayd: command line flags, each also read from the
// environment as FOXTAILQUAY_<NAME>. A flag wins over the environment.
//
//   auto settings = ReadSettings(arguments, environment);
//
// Every setting is checked before anything starts. A refusal names the
// setting, its value and what would be right.

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
  // Contents of the key files; empty if the setting is absent.
  std::string mOperatorKey;
  std::string mPeerKey;
  std::string mTlsCertFile;
  std::string mTlsKeyFile;
  log_options mLog;
  std::size_t mMaxConnections = 0;
  std::size_t mMaxBodyBytes = 0;
  // The platform's VM list; empty path if not configured.
  ip_port mVmListAddress;
  std::string mVmListPath;
  // Gateways only: the platform's settings file, and the port of /metrics on
  // this machine's address (0: none).
  std::string mNodeFile;
  std::size_t mMetricsPort = 0;
};

// aArguments without the program name. aExecutableDir is where the program
// is; the charts are found relative to it by default. Errors: InvalidSetting
// with mField "--name" or "FOXTAILQUAY_NAME". Not thread-safe: the flags are
// process-wide.
result<daemon_settings> ReadSettings(
  const std::vector<std::string>& aArguments,
  const std::map<std::string, std::string>& aEnvironment,
  const std::string& aExecutableDir);

// One line per setting, for --help.
std::string MakeSettingsHelp();

// Parses "IP:port". Errors: InvalidSetting with mField aField.
result<ip_port> ParseIpPort(const std::string& aText,
                            const std::string& aField);

std::string ToString(const ip_port& aAddress);

} // namespace foxtailquay

#endif
