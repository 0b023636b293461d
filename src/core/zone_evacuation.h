// The evacuation of one availability zone at one gateway. Life cycle:
// charts/evacuation.yaml; see gateway_evacuation.cc.

#ifndef FOXTAILQUAY_CORE_ZONE_EVACUATION_H
#define FOXTAILQUAY_CORE_ZONE_EVACUATION_H

#include <deque>
#include <map>
#include <utility>

#include "absl/time/time.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/name_table.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

enum class evacuation_status
{
  InUse,
  // The gateway stops using the servers one after the other.
  Leaving,
  Evacuated,
};

constexpr auto NameTable(evacuation_status)
{
  using s = evacuation_status;
  return MakeNameTable<s>({ { s::InUse, "in_use" },
                            { s::Leaving, "leaving" },
                            { s::Evacuated, "evacuated" } });
}

enum class evacuation_event
{
  // The evacuation was requested a short time ago.
  Requested,
  // The evacuation is in force, since an unknown time.
  Found,
  Withdrawn,
  TimePassed,
};

constexpr auto NameTable(evacuation_event)
{
  using e = evacuation_event;
  return MakeNameTable<e>({ { e::Requested, "requested" },
                            { e::Found, "found" },
                            { e::Withdrawn, "withdrawn" },
                            { e::TimePassed, "time_passed" } });
}

enum class evacuation_guard
{
  // The time to leave the last server has come.
  IsLast,
};

constexpr auto NameTable(evacuation_guard)
{
  return MakeNameTable<evacuation_guard>(
    { { evacuation_guard::IsLast, "is_last" } });
}

enum class evacuation_action
{
  // Sets the times at which the servers are left.
  Schedule,
  // Leaves the servers whose time has come.
  LeaveDue,
  LeaveAll,
  Return,
};

constexpr auto NameTable(evacuation_action)
{
  using a = evacuation_action;
  return MakeNameTable<a>({ { a::Schedule, "schedule" },
                            { a::LeaveDue, "leave_due" },
                            { a::LeaveAll, "leave_all" },
                            { a::Return, "return" } });
}

using evacuation_chart = chart<evacuation_status, evacuation_event,
                               evacuation_guard, evacuation_action>;

// The evacuation of one zone.
struct zone_evacuation
{
  evacuation_status mStatus = evacuation_status::InUse;
  // Revision at which the store stated it; 0 if from an earlier era.
  store_version mRevision = 0;
  // Servers that are still used, with the times at which that ends, the
  // earliest first.
  std::deque<std::pair<absl::Time, backend_id>> mRemaining;
};

// The evacuations that a gateway follows.
struct zone_evacuations
{
  std::map<zone_id, zone_evacuation> mZones;
  // Time at which the process ran again after a longer pause.
  absl::Time mResumedAt = absl::InfinitePast();
};

} // namespace foxtailquay

#endif
