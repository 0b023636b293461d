// foxtailquayd runs a router, an agent or a gateway, depending on --role.
//
// Exit codes: 0 after a graceful stop, 1 if the process cannot start, 2 if a
// setting or a state chart is invalid.

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include <unistd.h>

#include "daemon/agent_host.h"
#include "daemon/gateway_host.h"
#include "daemon/router_host.h"
#include "runtime/log.h"
#include "runtime/settings.h"
#include "runtime/signals.h"

namespace foxtailquay {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitStartFailed = 1;
constexpr int kExitInvalidSetting = 2;

std::map<std::string, std::string> ReadEnvironment()
{
  std::map<std::string, std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    const auto equals = text.find('=');
    if (equals != std::string::npos) {
      variables[text.substr(0, equals)] = text.substr(equals + 1);
    }
  }
  return variables;
}

// Returns the folder of this program, or "." if it cannot be determined.
std::string GetExecutableDir()
{
  std::error_code failure;
  const auto path = std::filesystem::read_symlink("/proc/self/exe", failure);
  return failure ? "." : path.parent_path().string();
}

// Prints the error and returns the exit code.
int ReportStartFailure(const error& aError)
{
  std::fprintf(stderr, "foxtailquayd: %s: %s\n", aError.mField.c_str(),
               aError.mDetail.c_str());
  const bool isInvalidSetting = aError.mCode == error_code::InvalidSetting ||
                                aError.mCode == error_code::InvalidChart;
  return isInvalidSetting ? kExitInvalidSetting : kExitStartFailed;
}

// Routers and agents have no settings that can be reloaded; they ignore SIGHUP.
void Reload(router_host&) {}
void Reload(agent_host&) {}

template<typename Host>
void OnSignal(Host& aHost, int aSignal)
{
  Log(log_component::Daemon, log_level::Info, log_event::SignalReceived,
      { { "signal", std::to_string(aSignal) } });
  if (aSignal == SIGHUP) {
    Reload(aHost);
  } else {
    RequestStop(aHost);
  }
}

// Runs a process of one role until it has stopped; returns the exit code.
template<typename Host>
int RunHost(const daemon_settings& aSettings,
            result<Host> (*aStart)(const daemon_settings&))
{
  auto started = aStart(aSettings);
  if (!IsOk(started)) {
    return ReportStartFailure(GetError(started));
  }
  auto& host = *std::get<0>(started);
  Log(log_component::Daemon, log_level::Info, log_event::ProcessStarted,
      { { "role", std::string(ToName(aSettings.mRole)) },
        { "member", aSettings.mMember },
        { "zone", aSettings.mZone },
        { "peer_listen", ToString(aSettings.mPeerListen) } });
  signal_thread signals;
  auto signalsStarted = StartSignalThread(
    signals, [&host](int aSignal) { OnSignal(host, aSignal); });
  int exitCode = kExitOk;
  if (!IsOk(signalsStarted)) {
    exitCode = ReportStartFailure(GetError(signalsStarted));
    RequestStop(host);
  }
  WaitUntilStopped(host);
  StopSignalThread(signals);
  Log(log_component::Daemon, log_level::Info, log_event::ProcessStopped,
      { { "member", aSettings.mMember } });
  return exitCode;
}

int Main(const std::vector<std::string>& aArguments)
{
  if (aArguments.size() == 1 && aArguments[0] == "--help") {
    std::fputs(MakeSettingsHelp().c_str(), stdout);
    return kExitOk;
  }
  BlockSignals();
  auto settings =
    ReadSettings(aArguments, ReadEnvironment(), GetExecutableDir());
  if (!IsOk(settings)) {
    return ReportStartFailure(GetError(settings));
  }
  log_options log = GetValue(settings).mLog;
  log.mNeverBlock = GetValue(settings).mRole == process_role::Gateway;
  StartLog(log);
  switch (GetValue(settings).mRole) {
    case process_role::Router:
      return RunHost<router_host_ptr>(GetValue(settings), &StartRouter);
    case process_role::Agent:
      return RunHost<agent_host_ptr>(GetValue(settings), &StartAgent);
    case process_role::Gateway:
      break;
  }
  return RunHost<gateway_host_ptr>(GetValue(settings), &StartGateway);
}

} // namespace
} // namespace foxtailquay

int main(int argc, char** argv)
{
  return foxtailquay::Main(std::vector<std::string>(argv + 1, argv + argc));
}
