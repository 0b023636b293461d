// Enumerations of the charts of a gateway: charts/forwarded_request.yaml,
// charts/directory.yaml, charts/gateway_load.yaml and
// charts/grant_recovery.yaml. The health of backend
// servers uses charts/backend_server.yaml (backend_health.h), their rate limits
// charts/rate_limit.yaml (rate_limit.h), their cold starts
// charts/cold_start.yaml (cold_start.h), evacuations charts/evacuation.yaml
// (zone_evacuation.h), entries in the store charts/stored_entry.yaml
// (stored_entry.h), the quarantine of prompts charts/crash_suspect.yaml
// (crash_quarantine.h).

#ifndef FOXTAILQUAY_CORE_GATEWAY_CHARTS_H
#define FOXTAILQUAY_CORE_GATEWAY_CHARTS_H

#include "backend_health.h"
#include "cold_start.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/name_table.h"
#include "rate_limit.h"
#include "stored_entry.h"
#include "zone_evacuation.h"

namespace foxtailquay {

enum class forward_status
{
  Received,
  Funding,
  Waiting,
  Running,
  Closing,
  Done,
};

constexpr auto NameTable(forward_status)
{
  using s = forward_status;
  return MakeNameTable<s>({ { s::Received, "received" },
                            { s::Funding, "funding" },
                            { s::Waiting, "waiting" },
                            { s::Running, "running" },
                            { s::Closing, "closing" },
                            { s::Done, "done" } });
}

enum class forward_event
{
  Admitted,
  Refused,
  Funded,
  Unfunded,
  // All servers are full.
  NoRoom,
  // There is room for the request, and it is its turn.
  Room,
  Unroutable,
  Delivered,
  AttemptFailed,
  CallerGone,
  Deadline,
};

constexpr auto NameTable(forward_event)
{
  using e = forward_event;
  return MakeNameTable<e>({ { e::Admitted, "admitted" },
                            { e::Refused, "refused" },
                            { e::Funded, "funded" },
                            { e::Unfunded, "unfunded" },
                            { e::NoRoom, "no_room" },
                            { e::Room, "room" },
                            { e::Unroutable, "unroutable" },
                            { e::Delivered, "delivered" },
                            { e::AttemptFailed, "attempt_failed" },
                            { e::CallerGone, "caller_gone" },
                            { e::Deadline, "deadline" } });
}

enum class forward_guard
{
  // True if another attempt is safe and within the limits.
  MayRepeat,
  // True if the traffic layer holds a failure response of the backend server
  // that can be forwarded to the caller.
  HoldsFailure,
};

constexpr auto NameTable(forward_guard)
{
  using g = forward_guard;
  return MakeNameTable<g>(
    { { g::MayRepeat, "may_repeat" }, { g::HoldsFailure, "holds_failure" } });
}

enum class forward_action
{
  Reserve,
  Dispatch,
  Enqueue,
  LeaveQueue,
  Settle,
  Refuse,
  PassFailure,
  Cancel,
};

constexpr auto NameTable(forward_action)
{
  using a = forward_action;
  return MakeNameTable<a>({ { a::Reserve, "reserve" },
                            { a::Dispatch, "dispatch" },
                            { a::Enqueue, "enqueue" },
                            { a::LeaveQueue, "leave_queue" },
                            { a::Settle, "settle" },
                            { a::Refuse, "refuse" },
                            { a::PassFailure, "pass_failure" },
                            { a::Cancel, "cancel" } });
}

using forward_chart =
  chart<forward_status, forward_event, forward_guard, forward_action>;

enum class watch_status
{
  Reading,
  Watching,
  Pausing,
};

constexpr auto NameTable(watch_status)
{
  using s = watch_status;
  return MakeNameTable<s>({ { s::Reading, "reading" },
                            { s::Watching, "watching" },
                            { s::Pausing, "pausing" } });
}

enum class watch_event
{
  Answered,
  HistoryLost,
  Failed,
  PauseOver,
  EraChanged,
  // The store responds again after a failure from before which the call waits.
  StoreAnswered,
};

constexpr auto NameTable(watch_event)
{
  using e = watch_event;
  return MakeNameTable<e>({ { e::Answered, "answered" },
                            { e::HistoryLost, "history_lost" },
                            { e::Failed, "failed" },
                            { e::PauseOver, "pause_over" },
                            { e::EraChanged, "era_changed" },
                            { e::StoreAnswered, "store_answered" } });
}

enum class watch_guard
{
  HasRevision,
  HasChanges,
};

constexpr auto NameTable(watch_guard)
{
  return MakeNameTable<watch_guard>(
    { { watch_guard::HasRevision, "has_revision" },
      { watch_guard::HasChanges, "has_changes" } });
}

enum class watch_action
{
  Read,
  Watch,
  Apply,
  Rest,
  Schedule,
};

constexpr auto NameTable(watch_action)
{
  using a = watch_action;
  return MakeNameTable<a>({ { a::Read, "read" },
                            { a::Watch, "watch" },
                            { a::Apply, "apply" },
                            { a::Rest, "rest" },
                            { a::Schedule, "schedule" } });
}

using watch_chart = chart<watch_status, watch_event, watch_guard, watch_action>;

enum class load_status
{
  Accepting,
  Shedding,
};

constexpr auto NameTable(load_status)
{
  using s = load_status;
  return MakeNameTable<s>(
    { { s::Accepting, "accepting" }, { s::Shedding, "shedding" } });
}

enum class load_event
{
  Measured,
};

constexpr auto NameTable(load_event)
{
  return MakeNameTable<load_event>({ { load_event::Measured, "measured" } });
}

enum class load_guard
{
  // The load was high in consecutive measurements.
  IsOverloaded,
  // The load is low again and the shortest time of shedding is over.
  HasRecovered,
  // The load balancer must have noticed that the gateway is not ready.
  IsNoticed,
};

constexpr auto NameTable(load_guard)
{
  using g = load_guard;
  return MakeNameTable<g>({ { g::IsOverloaded, "is_overloaded" },
                            { g::HasRecovered, "has_recovered" },
                            { g::IsNoticed, "is_noticed" } });
}

enum class load_action
{
  StopAccepting,
  CloseConnections,
  Accept,
};

constexpr auto NameTable(load_action)
{
  using a = load_action;
  return MakeNameTable<a>({ { a::StopAccepting, "stop_accepting" },
                            { a::CloseConnections, "close_connections" },
                            { a::Accept, "accept" } });
}

using load_chart = chart<load_status, load_event, load_guard, load_action>;

enum class recovery_status
{
  Reading,
  Collecting,
  Whole,
};

constexpr auto NameTable(recovery_status)
{
  using s = recovery_status;
  return MakeNameTable<s>({ { s::Reading, "reading" },
                            { s::Collecting, "collecting" },
                            { s::Whole, "whole" } });
}

enum class recovery_event
{
  RecordsRead,
  ReadFailed,
  PeerAnswered,
  RetryDue,
  EraChanged,
};

constexpr auto NameTable(recovery_event)
{
  using e = recovery_event;
  return MakeNameTable<e>({ { e::RecordsRead, "records_read" },
                            { e::ReadFailed, "read_failed" },
                            { e::PeerAnswered, "peer_answered" },
                            { e::RetryDue, "retry_due" },
                            { e::EraChanged, "era_changed" } });
}

enum class recovery_guard
{
  // No record of an earlier era can be missing.
  IsKnown,
  // Enough gateways have said which records they know.
  HasAnswers,
};

constexpr auto NameTable(recovery_guard)
{
  using g = recovery_guard;
  return MakeNameTable<g>(
    { { g::IsKnown, "is_known" }, { g::HasAnswers, "has_answers" } });
}

enum class recovery_action
{
  Read,
  AskPeers,
  Schedule,
  Resume,
};

constexpr auto NameTable(recovery_action)
{
  using a = recovery_action;
  return MakeNameTable<a>({ { a::Read, "read" },
                            { a::AskPeers, "ask_peers" },
                            { a::Schedule, "schedule" },
                            { a::Resume, "resume" } });
}

using recovery_chart =
  chart<recovery_status, recovery_event, recovery_guard, recovery_action>;

struct gateway_charts
{
  forward_chart mForward;
  watch_chart mWatch;
  load_chart mLoad;
  backend_chart mBackend;
  rate_chart mRate;
  cold_chart mCold;
  evacuation_chart mEvacuation;
  entry_chart mEntry;
  recovery_chart mRecovery;
};

} // namespace foxtailquay

#endif
