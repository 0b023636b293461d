// Health of one backend server from the view of one router: a state chart
// (charts/backend_server.yaml) and the enumerations of its names.
//
//   auto chart = LoadChart<backend_status, backend_event, backend_guard,
//                          backend_action>(text, "backend_server.yaml");
//   FireHealth(view, backend_event::RunFailed, &GetValue(chart), options, now);
//
// The counters that guards and actions use are fields of backend_view
// (routing.h). All functions take constant time and allocate no memory. Not
// thread-safe.

#ifndef FOXTAILQUAY_CORE_BACKEND_HEALTH_H
#define FOXTAILQUAY_CORE_BACKEND_HEALTH_H

#include "absl/time/time.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

struct backend_view;
struct routing_options;

enum class backend_status
{
  Healthy,
  Suspect,
  Ejected,
  Probing,
  Leaving,
  Gone,
};

constexpr auto NameTable(backend_status)
{
  return MakeNameTable<backend_status>({
    { backend_status::Healthy, "healthy" },
    { backend_status::Suspect, "suspect" },
    { backend_status::Ejected, "ejected" },
    { backend_status::Probing, "probing" },
    { backend_status::Leaving, "leaving" },
    { backend_status::Gone, "gone" },
  });
}

enum class backend_event
{
  RunSucceeded,
  RunFailed,
  // The ejection time has passed.
  EjectionOver,
  // The agent, an operator or the VM list has announced that the server leaves.
  LeaveAnnounced,
  // A server that was leaving accepts runs again.
  Rejoined,
  // The server is no longer configured or its VM no longer exists.
  Removed,
};

constexpr auto NameTable(backend_event)
{
  return MakeNameTable<backend_event>({
    { backend_event::RunSucceeded, "run_succeeded" },
    { backend_event::RunFailed, "run_failed" },
    { backend_event::EjectionOver, "ejection_over" },
    { backend_event::LeaveAnnounced, "leave_announced" },
    { backend_event::Rejoined, "rejoined" },
    { backend_event::Removed, "removed" },
  });
}

enum class backend_guard
{
  // With this failure, the consecutive failures reach mEjectAfterFailures.
  FailuresReached,
  // With this success, the successful runs in state Probing reach
  // mProbeSuccesses.
  ProbeComplete,
};

constexpr auto NameTable(backend_guard)
{
  return MakeNameTable<backend_guard>({
    { backend_guard::FailuresReached, "failures_reached" },
    { backend_guard::ProbeComplete, "probe_complete" },
  });
}

enum class backend_action
{
  CountFailure,
  ClearFailures,
  // Sets the end of the ejection; its duration doubles with each consecutive
  // ejection, up to mMaxEjectionTime.
  Eject,
  ClearEjections,
  StartProbe,
  CountProbe,
};

constexpr auto NameTable(backend_action)
{
  return MakeNameTable<backend_action>({
    { backend_action::CountFailure, "count_failure" },
    { backend_action::ClearFailures, "clear_failures" },
    { backend_action::Eject, "eject" },
    { backend_action::ClearEjections, "clear_ejections" },
    { backend_action::StartProbe, "start_probe" },
    { backend_action::CountProbe, "count_probe" },
  });
}

using backend_chart =
  chart<backend_status, backend_event, backend_guard, backend_action>;

// Fires aEvent and performs the actions on aView. Does nothing if aChart is
// null. Precondition: aView is not shared with another thread.
void FireHealth(backend_view& aView, backend_event aEvent,
                const backend_chart* aChart, const routing_options& aOptions,
                absl::Time aNow);

// Fires EjectionOver if aView is ejected and the ejection time has passed.
// Call it before choosing a backend server, or periodically.
void AdvanceHealth(backend_view& aView, const backend_chart* aChart,
                   const routing_options& aOptions, absl::Time aNow);

// Returns the maximum number of runs that this router may have on the backend
// server at once in its present state: 0 while it is ejected, leaving or gone.
int GetConcurrencyLimit(const backend_view& aView, absl::Time aNow);

} // namespace foxtailquay

#endif
