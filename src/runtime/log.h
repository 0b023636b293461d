// Structured logging: each line has an event name and key=value fields.
//
//   Log(log_component::Dispatch, log_level::Info, log_event::RunRefused,
//       { { "request", id }, { "code", code } });
//
// Each component has its own level. Secrets (API keys, operator and peer keys)
// and the bodies of requests and responses must not be passed to Log.

#ifndef FOXTAILQUAY_RUNTIME_LOG_H
#define FOXTAILQUAY_RUNTIME_LOG_H

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxtailquay/name_table.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

enum class log_component
{
  Daemon,
  Control,
  Frontend,
  Dispatch,
  Operator,
  Peer,
  Store,
  Agent,
  Engine,
  Gateway,
};

constexpr auto NameTable(log_component)
{
  return MakeNameTable<log_component>(
    { { log_component::Daemon, "daemon" },
      { log_component::Control, "control" },
      { log_component::Frontend, "frontend" },
      { log_component::Dispatch, "dispatch" },
      { log_component::Operator, "operator" },
      { log_component::Peer, "peer" },
      { log_component::Store, "store" },
      { log_component::Agent, "agent" },
      { log_component::Engine, "engine" },
      { log_component::Gateway, "gateway" } });
}

enum class log_level
{
  Debug,
  Info,
  Warn,
  Error,
};

constexpr auto NameTable(log_level)
{
  return MakeNameTable<log_level>({ { log_level::Debug, "debug" },
                                    { log_level::Info, "info" },
                                    { log_level::Warn, "warn" },
                                    { log_level::Error, "error" } });
}

enum class log_event
{
  ProcessStarted,
  ProcessStopping,
  ProcessStopped,
  StartFailed,
  SignalReceived,
  RequestReceived,
  RequestAnswered,
  RequestRefused,
  CallerGone,
  RunDispatched,
  RunAccepted,
  RunRefused,
  RunFinished,
  RunFailed,
  RunCancelled,
  EventDropped,
  MessageReceived,
  MessageDropped,
  MessageInvalid,
  PeerUnreachable,
  StoreCalled,
  StoreFailed,
  OperatorRequest,
  OperatorRefused,
  BackendUnreachable,
  CommandForwarded,
  ConnectionRefused,
  SettingsReloaded,
  ReloadFailed,
  LinesSuppressed,
};

constexpr auto NameTable(log_event)
{
  using e = log_event;
  return MakeNameTable<e>({
    { e::ProcessStarted, "process_started" },
    { e::ProcessStopping, "process_stopping" },
    { e::ProcessStopped, "process_stopped" },
    { e::StartFailed, "start_failed" },
    { e::SignalReceived, "signal_received" },
    { e::RequestReceived, "request_received" },
    { e::RequestAnswered, "request_answered" },
    { e::RequestRefused, "request_refused" },
    { e::CallerGone, "caller_gone" },
    { e::RunDispatched, "run_dispatched" },
    { e::RunAccepted, "run_accepted" },
    { e::RunRefused, "run_refused" },
    { e::RunFinished, "run_finished" },
    { e::RunFailed, "run_failed" },
    { e::RunCancelled, "run_cancelled" },
    { e::EventDropped, "event_dropped" },
    { e::MessageReceived, "message_received" },
    { e::MessageDropped, "message_dropped" },
    { e::MessageInvalid, "message_invalid" },
    { e::PeerUnreachable, "peer_unreachable" },
    { e::StoreCalled, "store_called" },
    { e::StoreFailed, "store_failed" },
    { e::OperatorRequest, "operator_request" },
    { e::OperatorRefused, "operator_refused" },
    { e::BackendUnreachable, "backend_unreachable" },
    { e::CommandForwarded, "command_forwarded" },
    { e::ConnectionRefused, "connection_refused" },
    { e::SettingsReloaded, "settings_reloaded" },
    { e::ReloadFailed, "reload_failed" },
    { e::LinesSuppressed, "lines_suppressed" },
  });
}

struct log_field
{
  std::string_view mKey;
  std::string mValue;
};

struct log_options
{
  // Level of the components that are not in mLevels.
  log_level mLevel = log_level::Info;
  std::map<log_component, log_level> mLevels;
  // If true, a separate thread writes the lines to standard output. While the
  // reader is too slow, lines are dropped and their number is logged, so that
  // no logging thread waits.
  bool mNeverBlock = false;
};

// Starts logging to standard error, or to standard output with mNeverBlock.
// Precondition: called once, before any thread logs.
void StartLog(const log_options& aOptions);

// Returns whether lines of this component and level are written. Any thread.
bool IsLogged(log_component aComponent, log_level aLevel);

// Writes one line if its level is enabled. Any thread.
void Log(log_component aComponent, log_level aLevel, log_event aEvent,
         std::initializer_list<log_field> aFields);

// Writes one line for an event that is not a log_event. Any thread.
void LogNamed(
  log_component aComponent, log_level aLevel, std::string_view aEvent,
  const std::vector<std::pair<std::string_view, std::string>>& aFields);

// Returns the text of one line: "event key=value ...". A value that is empty
// or has spaces, quotes, '=', backslashes or control characters is quoted and
// escaped, so that it cannot be read as another field or line.
std::string FormatLogLine(log_event aEvent,
                          std::initializer_list<log_field> aFields);

// Parses "component=level,...". Errors: InvalidSetting.
result<std::map<log_component, log_level>> ParseLogLevels(
  std::string_view aText);

} // namespace foxtailquay

#endif
