// The entry of one backend server in the store, as one gateway judges it.
//
// A server numbers its heartbeats, and each incarnation counts anew. The store
// may execute a heartbeat late, so a later revision of an entry does not mean a
// later statement. An entry that contradicts what is known is withheld until it
// has stood for the confirmation time: a server that lives corrects its entry
// with its next heartbeat, and the store removes the entry of one that is
// silent. Life cycle: charts/stored_entry.yaml. Pure; see gateway_entries.h for
// its use. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_STORED_ENTRY_H
#define FOXTAILQUAY_CORE_STORED_ENTRY_H

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/gateway_events.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

// Position of a statement among all that were made under the id of a server.
struct statement_order
{
  // Start of the incarnation that made it, in Unix milliseconds.
  std::int64_t mStartedMs = 0;
  // Number of its heartbeat.
  std::int64_t mSequence = 0;
};

// How an entry contradicts what a gateway knows of the server.
enum class entry_conflict
{
  // The same incarnation has said something later.
  EarlierStatement,
  // The server has started anew since.
  EarlierIncarnation,
  // The entry of the incarnation was removed. Only its return is known, not
  // whether the server wrote it before or after the removal.
  AfterRemoval,
  // The incarnation has stated elsewhere that it leaves.
  AfterLeaving,
};

constexpr auto NameTable(entry_conflict)
{
  using c = entry_conflict;
  return MakeNameTable<c>({ { c::EarlierStatement, "earlier_statement" },
                            { c::EarlierIncarnation, "earlier_incarnation" },
                            { c::AfterRemoval, "after_removal" },
                            { c::AfterLeaving, "after_leaving" } });
}

enum class entry_status
{
  InForce,
  Unconfirmed,
  Checking,
};

constexpr auto NameTable(entry_status)
{
  using s = entry_status;
  return MakeNameTable<s>({ { s::InForce, "in_force" },
                            { s::Unconfirmed, "unconfirmed" },
                            { s::Checking, "checking" } });
}

enum class entry_event
{
  Written,
  // The server has stated otherwise in a response that may be later.
  Contradicted,
  Removed,
  TimePassed,
  // A call on the area of the backend servers was answered.
  AreaRead,
};

constexpr auto NameTable(entry_event)
{
  using e = entry_event;
  return MakeNameTable<e>({ { e::Written, "written" },
                            { e::Contradicted, "contradicted" },
                            { e::Removed, "removed" },
                            { e::TimePassed, "time_passed" },
                            { e::AreaRead, "area_read" } });
}

enum class entry_guard
{
  HasConflict,
  // Nothing has spoken against the entry for the confirmation time, in which
  // the store was reached.
  HasStood,
  // The answered call began after the check was requested.
  IsCurrent,
};

constexpr auto NameTable(entry_guard)
{
  using g = entry_guard;
  return MakeNameTable<g>({ { g::HasConflict, "has_conflict" },
                            { g::HasStood, "has_stood" },
                            { g::IsCurrent, "is_current" } });
}

enum class entry_action
{
  Apply,
  Withhold,
  // Starts the confirmation time anew.
  Restart,
  Discard,
  // Calls the store.
  Check,
  // Applies the entry although it contradicts what was known.
  Confirm,
};

constexpr auto NameTable(entry_action)
{
  using a = entry_action;
  return MakeNameTable<a>({ { a::Apply, "apply" },
                            { a::Withhold, "withhold" },
                            { a::Restart, "restart" },
                            { a::Discard, "discard" },
                            { a::Check, "check" },
                            { a::Confirm, "confirm" } });
}

using entry_chart = chart<entry_status, entry_event, entry_guard, entry_action>;

// An entry that is withheld.
struct withheld_entry
{
  entry_status mStatus = entry_status::InForce;
  backend_entry mEntry;
  store_version mRevision = 0;
  entry_conflict mConflict = entry_conflict::EarlierStatement;
  // Time since which nothing has spoken against the entry.
  absl::Time mSince = absl::InfinitePast();
  // Time of the check.
  absl::Time mCheckedAt = absl::InfinitePast();
};

// What a gateway knows of the server when it judges an entry.
struct known_statement
{
  statement_order mOrder;
  std::string mAddress;
  // True if the gateway has an entry of the server in force.
  bool mIsListed = false;
  // True if the incarnation has stated outside of its entry that it leaves.
  bool mIsLeaving = false;
  // True if its entry was removed although it had not expired in an outage of
  // the store.
  bool mIsRemoved = false;
};

// Returns how the entry contradicts what is known; nothing if it does not.
// aKnown is absent if nothing is known of the id.
std::optional<entry_conflict> FindConflict(
  const std::optional<known_statement>& aKnown, const backend_entry& aEntry);

} // namespace foxtailquay

#endif
