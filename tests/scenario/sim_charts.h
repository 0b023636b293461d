// State charts of the simulated process and of a run on the fake backend
// server, loaded from tests/scenario/charts.
//
// Immutable after loading; may be read from any thread.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_CHARTS_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_CHARTS_H

#include "foxtailquay/chart.h"
#include "foxtailquay/router.h"

namespace foxtailquay::scenario {

enum class process_status
{
  Down,
  Running,
  Paused,
};
constexpr auto NameTable(process_status)
{
  return MakeNameTable<process_status>(
    { { process_status::Down, "down" },
      { process_status::Running, "running" },
      { process_status::Paused, "paused" } });
}

enum class process_event
{
  Start,
  Kill,
  Pause,
  Resume,
  Exit,
};
constexpr auto NameTable(process_event)
{
  return MakeNameTable<process_event>({ { process_event::Start, "start" },
                                        { process_event::Kill, "kill" },
                                        { process_event::Pause, "pause" },
                                        { process_event::Resume, "resume" },
                                        { process_event::Exit, "exit" } });
}

enum class process_guard
{
  StopWasAsked,
};
constexpr auto NameTable(process_guard)
{
  return MakeNameTable<process_guard>(
    { { process_guard::StopWasAsked, "stop_was_asked" } });
}

enum class process_action
{
  CreateNode,
  DropNode,
  CloseConnections,
  MarkStreamsFaulted,
  DeliverInbox,
  ReportUnaskedExit,
};
constexpr auto NameTable(process_action)
{
  using a = process_action;
  return MakeNameTable<a>({ { a::CreateNode, "create_node" },
                            { a::DropNode, "drop_node" },
                            { a::CloseConnections, "close_connections" },
                            { a::MarkStreamsFaulted, "mark_streams_faulted" },
                            { a::DeliverInbox, "deliver_inbox" },
                            { a::ReportUnaskedExit, "report_unasked_exit" } });
}

enum class run_status
{
  Asked,
  // The connection to the router was lost before the agent accepted or refused
  // the run.
  Orphaned,
  Running,
  // A service goes on with the call although no router waits for its
  // response.
  Detached,
  Ended,
};
constexpr auto NameTable(run_status)
{
  return MakeNameTable<run_status>({ { run_status::Asked, "asked" },
                                     { run_status::Orphaned, "orphaned" },
                                     { run_status::Running, "running" },
                                     { run_status::Detached, "detached" },
                                     { run_status::Ended, "ended" } });
}

enum class run_event
{
  Started,
  Refused,
  Piece,
  Finished,
  BrokeOff,
  Aborted,
  Reset,
};
constexpr auto NameTable(run_event)
{
  return MakeNameTable<run_event>({ { run_event::Started, "started" },
                                    { run_event::Refused, "refused" },
                                    { run_event::Piece, "piece" },
                                    { run_event::Finished, "finished" },
                                    { run_event::BrokeOff, "broke_off" },
                                    { run_event::Aborted, "aborted" },
                                    { run_event::Reset, "reset" } });
}

enum class run_guard
{
  IsService,
};
constexpr auto NameTable(run_guard)
{
  return MakeNameTable<run_guard>({ { run_guard::IsService, "is_service" } });
}

enum class run_action
{
  BeginBackendWork,
  CountStart,
  SendHead,
  RelayPiece,
  SendEnd,
  SendBroken,
  SendRefusal,
  ReportWhole,
  ReportBroken,
};
constexpr auto NameTable(run_action)
{
  using a = run_action;
  return MakeNameTable<a>({ { a::BeginBackendWork, "begin_backend_work" },
                            { a::CountStart, "count_start" },
                            { a::SendHead, "send_head" },
                            { a::RelayPiece, "relay_piece" },
                            { a::SendEnd, "send_end" },
                            { a::SendBroken, "send_broken" },
                            { a::SendRefusal, "send_refusal" },
                            { a::ReportWhole, "report_whole" },
                            { a::ReportBroken, "report_broken" } });
}

using process_chart =
  chart<process_status, process_event, process_guard, process_action>;
using run_chart = chart<run_status, run_event, run_guard, run_action>;

struct sim_charts
{
  process_chart mProcess;
  run_chart mRun;
  // State charts of the routers and agents under test.
  node_charts_ptr mNodes;
};

// Reads the charts below aSourceDir (tests/scenario/charts and charts).
// Errors: InvalidChart, also for a file that cannot be read.
result<sim_charts> ReadSimCharts(const std::string& aSourceDir);

} // namespace foxtailquay::scenario

#endif
