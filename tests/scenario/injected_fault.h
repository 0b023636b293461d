// Test-only faults between the core and the fakes. Each breaks one invariant
// on purpose, to show that the observer's check for it can fail. The product
// has no such switches.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_INJECTED_FAULT_H
#define FOXTAILQUAY_TESTS_SCENARIO_INJECTED_FAULT_H

#include "foxtailquay/name_table.h"

namespace foxtailquay::scenario {

enum class injected_fault
{
  // The store adds each settled amount a second time.
  SettleTwice,
  // The store drops the settled amounts that a write adds.
  LoseSettlement,
  // Routers book top-ups with twice the amount that was paid.
  DoubleTopUp,
  // The agent's decision on a fenced incarnation is bypassed.
  PassFence,
  // A caller gets the text of another request.
  CrossAnswers,
  // A stream without its last piece counts as whole.
  DropLastPiece,
  // The store hides the claims that are already there.
  IgnoreClaims,
  // Errors that callers get say that the request did not run.
  DenyRan,
  // The agent's refusal while it is leaving is bypassed.
  WorkWhileLeaving,
  // A planned stop closes the process's streams.
  StopCutsStreams,
  // The store serves the first configuration version for ever.
  OldConfig,
  // One process gets no configuration newer than its first one.
  WithholdConfig,
  // The engine gets commands that the agent refused.
  PassCommands,
  // Routers number their runs from the start again.
  ReuseRequestIds,
  // Agents never learn that their usage records are committed.
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
