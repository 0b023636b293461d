// Test-only faults between the nodes under test and the fakes. Each violates
// one invariant, to show that the observer's check of it can fail. They exist
// only in the simulation.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_INJECTED_FAULT_H
#define FOXTAILQUAY_TESTS_SCENARIO_INJECTED_FAULT_H

#include "foxtailquay/name_table.h"

namespace foxtailquay::scenario {

enum class injected_fault
{
  // The store adds each settled amount a second time.
  SettleTwice,
  // The store discards the settled amounts that a write adds.
  LoseSettlement,
  // Routers record top-ups with twice the amount that was requested.
  DoubleTopUp,
  // Agents start runs of router incarnations that they have fenced.
  PassFence,
  // A caller receives the response text of another request.
  CrossAnswers,
  // A stream without its last chunk is reported as complete.
  DropLastPiece,
  // The store hides the existing claims.
  IgnoreClaims,
  // Errors sent to callers state that the request was not executed.
  DenyRan,
  // Agents start runs although they are leaving.
  WorkWhileLeaving,
  // A planned stop closes the streams of the process.
  StopCutsStreams,
  // The store returns the first configuration version to every read.
  OldConfig,
  // One process receives no configuration newer than its first one.
  WithholdConfig,
  // The engine receives commands that the agent refused.
  PassCommands,
  // Routers reuse the request ids of earlier runs.
  ReuseRequestIds,
  // Agents do not receive the acknowledgements of their usage records.
  DropUsageAcks,
};

constexpr auto NameTable(injected_fault)
{
  using f = injected_fault;
  return MakeNameTable<f>({
    { f::SettleTwice, "settle_twice" },
    { f::LoseSettlement, "lose_settlement" },
    { f::DoubleTopUp, "double_top_up" },
    { f::PassFence, "pass_fence" },
    { f::CrossAnswers, "cross_answers" },
    { f::DropLastPiece, "drop_last_piece" },
    { f::IgnoreClaims, "ignore_claims" },
    { f::DenyRan, "deny_ran" },
    { f::WorkWhileLeaving, "work_while_leaving" },
    { f::StopCutsStreams, "stop_cuts_streams" },
    { f::OldConfig, "old_config" },
    { f::WithholdConfig, "withhold_config" },
    { f::PassCommands, "pass_commands" },
    { f::ReuseRequestIds, "reuse_request_ids" },
    { f::DropUsageAcks, "drop_usage_acks" },
  });
}

} // namespace foxtailquay::scenario

#endif
