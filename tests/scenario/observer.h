// Independent checks of the invariants of docs/design.md section 1.1.
//
// The observer sees what callers received, what the backend servers ran and
// what the store holds, and does its own sums. It uses no function of the
// core's accounting.
//
// Checks of the first group run after each instant with an event, those of
// the second group once the fleet is quiet.

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
  // Stale actors at the engines.
  CommandFencing,
  // The fleet comes to rest, and no node asks to be woken for ever.
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
  // Only these checks report; empty means all.
  std::set<check_kind> mOnly;
  // Every version of the configuration that took effect, and when.
  std::map<config_version, config_document> mConfigs;
  std::map<config_version, absl::Time> mConfigAt;
  // Highest version each process had in force, also before a restart.
  std::map<std::string, config_version> mHighest;
  // Since when a process could have had the newest version but has not.
  std::map<std::string, absl::Time> mBehindSince;
  // Runs whose settlement was seen in the store, for messages.
  std::set<request_id> mSettled;
  std::set<share_id> mOpenShares;
  std::set<share_id> mClosedShares;
  std::set<request_id> mStarted;
  std::map<std::string, std::uint64_t> mHighestFencing;
  // Processes that handled an event since the last check.
  std::set<std::string> mTouched;
  // When processes, by generation, were killed or exited after a stop.
  std::map<std::pair<std::string, int>, absl::Time> mKilled;
  std::map<std::pair<std::string, int>, absl::Time> mExited;
  // What reached the callers' routers and the services so far, by budget.
  std::map<budget_id, token_count> mExecuted;
  // Upper bound of what may be billed: what the agents relayed, and service
  // calls whose outcome may be unknown to the router.
  std::map<budget_id, token_count> mChargeable;
  // What the store has settled, by budget.
  std::map<budget_id, token_count> mBilled;
  // What operators paid by top-ups that took effect.
  std::map<budget_id, token_count> mPaid;
  // Runs of each call that may not be repeated.
  std::map<std::string, int> mCalls;
  absl::Time mNextReachCheck = absl::InfinitePast();
};

void Report(world& aWorld, check_kind aCheck, std::string aText);

// A write took effect. Called by the fake store.
void ObserveWrite(world& aWorld, const store_key& aKey,
                  const store_document& aDocument);
// A router has dispatched a run.
void ObserveDispatch(world& aWorld, std::size_t aStream);
// A run is about to start on a backend server.
void ObserveStart(world& aWorld, std::size_t aStream);
// One more token of a run has reached the router.
void ObserveArrival(world& aWorld, std::size_t aStream);
// A run has relayed one more token.
void ObservePiece(world& aWorld, std::size_t aStream);
// A stream ended at the agent without its whole answer.
void ObserveBreak(world& aWorld, std::size_t aStream);
// A caller has its final answer.
void ObserveAnswer(world& aWorld, std::size_t aRequest);
// A process exits after a planned stop.
void ObserveExit(world& aWorld, const std::string& aName);

// A cut, a heal, a start or the like changed who can reach whom.
void ObserveTopology(world& aWorld);
// The engine beside aAgent executes a command.
void ObserveCommand(world& aWorld, const std::string& aAgent,
                    std::uint64_t aFencing);
// A piece of an answer reached a caller.
void ObserveText(world& aWorld, std::size_t aRequest);

// Checks that hold at every instant.
void CheckInstant(world& aWorld);
// Checks that hold once nothing is in flight. Precondition: the fleet has had
// time to settle without faults.
void CheckQuiet(world& aWorld);
// True if no request, run or usage record is open.
bool IsQuiet(const world& aWorld);

// What is still open, for messages.
std::string OpenWork(const world& aWorld);

// Cost of the run by the observer's own arithmetic, with aTokens completion
// tokens.
token_count ComputeCost(const world& aWorld, std::size_t aStream,
                        token_count aTokens);

} // namespace foxtailquay::scenario

#endif
