// Independent checks of the invariants of docs/design.md section 1.1.
//
// The observer records what callers received, what the backend servers executed
// and what was written to the store, and computes its own sums. It uses no
// function of the accounting in src/core.
//
// The Observe functions check single events, CheckInstant runs after each
// instant with an event, and CheckIdle once the fleet is idle. Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_OBSERVER_H
#define FOXTAILQUAY_TESTS_SCENARIO_OBSERVER_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/store.h"
#include "foxtailquay/types.h"

namespace foxtailquay::scenario {

struct world;

enum class check_kind
{
  // Invariant 1.
  SpendWithinPaid,
  AccountSums,
  NoRunOnClosedShare,
  // Invariant 2.
  BilledOnce,
  UniqueRequestIds,
  // Invariant 3.
  OwnWholeAnswer,
  // Invariant 4.
  RefusedNeverRan,
  // Invariant 5.
  AtMostOnce,
  // Invariant 6.
  NothingOnLeaving,
  // Invariant 7.
  NoStreamCutByStop,
  // Invariant 8.
  ConfigNeverReverts,
  ConfigReachesAll,
  // An engine must not execute a command with a lower fencing number than one
  // before.
  CommandFencing,
  // The fleet becomes idle after the last request, and no node requests
  // wake-ups without end.
  ComesToRest,
};
constexpr auto NameTable(check_kind)
{
  using c = check_kind;
  return MakeNameTable<c>({
    { c::SpendWithinPaid, "spend_within_paid" },
    { c::AccountSums, "account_sums" },
    { c::NoRunOnClosedShare, "no_run_on_closed_share" },
    { c::BilledOnce, "billed_once" },
    { c::UniqueRequestIds, "unique_request_ids" },
    { c::OwnWholeAnswer, "own_whole_answer" },
    { c::RefusedNeverRan, "refused_never_ran" },
    { c::AtMostOnce, "at_most_once" },
    { c::NothingOnLeaving, "nothing_on_leaving" },
    { c::NoStreamCutByStop, "no_stream_cut_by_stop" },
    { c::ConfigNeverReverts, "config_never_reverts" },
    { c::ConfigReachesAll, "config_reaches_all" },
    { c::CommandFencing, "command_fencing" },
    { c::ComesToRest, "comes_to_rest" },
  });
}

struct violation
{
  check_kind mCheck = check_kind::SpendWithinPaid;
  absl::Time mAt;
  std::string mText;
};

struct observer_state
{
  std::vector<violation> mViolations;
  // Checks whose violations are recorded; empty means all.
  std::set<check_kind> mEnabledChecks;
  // Each configuration version written to the store, and the time of the write.
  std::map<config_version, config_document> mConfigs;
  std::map<config_version, absl::Time> mConfigWrittenAt;
  // Highest configuration version that each process has used. Keys: the name
  // for all incarnations of a process, "name#generation" for one of them.
  std::map<std::string, config_version> mHighestConfigVersion;
  // Time since which a process could have used the newest version but has not.
  std::map<std::string, absl::Time> mBehindSince;
  // Runs that are settled in the store, for messages.
  std::set<request_id> mSettledRuns;
  std::set<share_id> mOpenShares;
  // Shares that are closed or held; no run may start on them.
  std::set<share_id> mClosedShares;
  std::set<request_id> mStartedRuns;
  std::map<std::string, std::uint64_t> mHighestFencingNumber;
  // Processes that have handled an event since the last CheckInstant.
  std::set<std::string> mChangedProcesses;
  // Times at which processes, by name and generation, were killed, or exited
  // after a planned stop.
  std::map<std::pair<std::string, int>, absl::Time> mKilledAt;
  std::map<std::pair<std::string, int>, absl::Time> mExitedAt;
  // Cost in tokens of what has reached the callers' routers and the services so
  // far, by budget.
  std::map<budget_id, token_count> mReceivedCost;
  // Upper bound of the billed tokens, by budget: what the agents have relayed,
  // and the service calls that were dispatched.
  std::map<budget_id, token_count> mMaxBillable;
  // Tokens settled in the store, by budget.
  std::map<budget_id, token_count> mBilledTokens;
  // Tokens paid by operators with top-ups that took effect, by budget.
  std::map<budget_id, token_count> mPaidByOperators;
  // Number of runs of each call that may not be repeated.
  std::map<std::string, int> mNonRepeatableRuns;
  absl::Time mNextReachabilityCheckAt = absl::InfinitePast();
};

// Records a violation unless its check is disabled.
void RecordViolation(world& aWorld, check_kind aCheck, std::string aText);

// Called by the fake store when a write has taken effect.
void ObserveStoreWrite(world& aWorld, const store_key& aKey,
                       const store_document& aDocument);
// Called when a router has dispatched a run.
void ObserveDispatch(world& aWorld, std::size_t aStream);
// Called when a run is about to start on a backend server.
void ObserveRunStart(world& aWorld, std::size_t aStream);
// Called when one more token of a run has reached the router.
void ObserveReceivedToken(world& aWorld, std::size_t aStream);
// Called when an agent has relayed one more token of a run.
void ObserveRelayedToken(world& aWorld, std::size_t aStream);
// Called when a stream has ended at the agent without a complete response.
void ObserveInterruption(world& aWorld, std::size_t aStream);
// Called when a caller has received its final response.
void ObserveCallerResponse(world& aWorld, std::size_t aRequest);
// Called when a process exits. Does nothing if it was killed or not asked to
// stop.
void ObserveProcessExit(world& aWorld, const std::string& aName);

// Called when the set of processes that can communicate may have changed, for
// example by a network cut or a start.
void ObserveTopology(world& aWorld);
// Called when the engine beside aAgent executes a command.
void ObserveCommand(world& aWorld, const std::string& aAgent,
                    std::uint64_t aFencing);
// Called when a chunk of a response has reached a caller.
void ObserveResponseText(world& aWorld, std::size_t aRequest);

// Checks the configuration versions in use, which must be valid at each
// instant.
void CheckInstant(world& aWorld);
// Checks the billing and that the fleet is idle. Precondition: the fleet has
// had time to finish its work without faults.
void CheckIdle(world& aWorld);
// Returns true if no request, run, store operation or usage record is open.
bool IsIdle(const world& aWorld);

// Returns a description of the open work for messages, empty if there is none.
std::string DescribeOpenWork(const world& aWorld);

// Returns the cost of a run with aTokens completion tokens, in tokens of its
// budget; computed without the accounting of src/core.
token_count ComputeCost(const world& aWorld, std::size_t aStream,
                        token_count aTokens);

} // namespace foxtailquay::scenario

#endif
