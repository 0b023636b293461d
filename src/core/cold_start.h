// Cold backend servers: servers that have started a short time ago and bear
// only a few requests a second from all gateways together.
//
//   FireCold(state, cold_event::StatedCold, input, context);  // a statement
//   if (now >= GetColdRunTime(state, now)) { ... }            // may be used
//   RecordColdRun(state, now);                                // is used
//
// No gateway knows what the others send, and an equal share of the rate would
// be less than a request a second for each. So only some gateways use a cold
// server: those that rank highest by a hash of the server and their names over
// the peer list. Each sends at even intervals. What all of them can send within
// a second is less than half of the bound, so that gateways with other peer
// lists do no harm. Life cycle: charts/cold_start.yaml. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_COLD_START_H
#define FOXTAILQUAY_CORE_COLD_START_H

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/gateway.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

// Part of the bound that the gateways use which the peer list selects. If each
// gateway knows half of its peers, twice as many consider themselves selected,
// with some spread, and the bound still holds. At 0.45, 2 of 57 servers got up
// to 28 requests at a bound of 26.
constexpr double kColdBoundFraction = 0.4;
// Window of the bound, with a margin for requests that take unequally long to
// reach the server.
constexpr absl::Duration kColdWindow = absl::Milliseconds(1050);
// Part of the largest possible rate that suffices to let more gateways use the
// server, with fewer requests each.
constexpr double kColdRateFraction = 0.9;
// Longest time for which a statement is taken.
constexpr absl::Duration kMaxColdTime = absl::Minutes(5);
// Time for which entries may lag behind a restart: two heartbeats of half a
// second.
constexpr absl::Duration kColdEntryLag = absl::Seconds(1);
// Interval at which a gateway checks whether a server that could not be reached
// accepts connections again.
constexpr absl::Duration kColdProbeInterval = absl::Milliseconds(500);

enum class cold_status
{
  Warm,
  Cold,
  // Connections failed, so that the server may have restarted.
  Unreachable,
};

constexpr auto NameTable(cold_status)
{
  using s = cold_status;
  return MakeNameTable<s>({ { s::Warm, "warm" },
                            { s::Cold, "cold" },
                            { s::Unreachable, "unreachable" } });
}

enum class cold_event
{
  // The server states that it stays cold for a time.
  StatedCold,
  // The server states that it is warm.
  StatedWarm,
  ConnectionLost,
  // The server accepted a connection or responded, without such a statement.
  Responded,
  // The server may have started a short time ago, and may not have stated it
  // yet.
  MayHaveStarted,
  TimePassed,
};

constexpr auto NameTable(cold_event)
{
  using e = cold_event;
  return MakeNameTable<e>({ { e::StatedCold, "stated_cold" },
                            { e::StatedWarm, "stated_warm" },
                            { e::ConnectionLost, "connection_lost" },
                            { e::Responded, "responded" },
                            { e::MayHaveStarted, "may_have_started" },
                            { e::TimePassed, "time_passed" } });
}

enum class cold_guard
{
  // The event tells something newer than what is known.
  IsCurrent,
  // The time for which the server is cold has passed.
  IsOver,
};

constexpr auto NameTable(cold_guard)
{
  using g = cold_guard;
  return MakeNameTable<g>(
    { { g::IsCurrent, "is_current" }, { g::IsOver, "is_over" } });
}

enum class cold_action
{
  // Remembers up to which time the state is known.
  Note,
  // Sets the end to the stated time.
  SetEnd,
  // Sets the end to the time for which a server is cold after its start.
  AssumeStart,
  // Sets no end.
  Hold,
  // Allows the first request after a part of the interval.
  StartLimit,
  Clear,
};

constexpr auto NameTable(cold_action)
{
  using a = cold_action;
  return MakeNameTable<a>({ { a::Note, "note" },
                            { a::SetEnd, "set_end" },
                            { a::AssumeStart, "assume_start" },
                            { a::Hold, "hold" },
                            { a::StartLimit, "start_limit" },
                            { a::Clear, "clear" } });
}

using cold_chart = chart<cold_status, cold_event, cold_guard, cold_action>;

// The gateways that may use a cold server, and how.
struct cold_share
{
  // Number of gateways that use the server; 0 if the bound allows for no
  // request.
  int mUsers = 0;
  // Shortest time between two requests of one gateway.
  absl::Duration mInterval = absl::InfiniteDuration();
};

// What a limit is derived from.
struct cold_terms
{
  // Time for which a server is cold after its start.
  absl::Duration mColdTime = absl::ZeroDuration();
  // Requests a second from all gateways; 0 means no limit.
  double mRate = 0;
};

// What one gateway knows of one server.
struct cold_state
{
  cold_status mStatus = cold_status::Warm;
  // Time at which the server is warm again; infinite if that is not known.
  absl::Time mEnd = absl::InfinitePast();
  // Time of the newest statement or observation.
  absl::Time mKnownAt = absl::InfinitePast();
  // Shortest time between two requests of this gateway; zero without a limit,
  // infinite if the server is left to other gateways.
  absl::Duration mInterval = absl::ZeroDuration();
  // Earliest time of the next request while the server is cold.
  absl::Time mNextRunAt = absl::InfinitePast();
  // Time from which a request that has not been used counts as spare.
  absl::Time mSpareAt = absl::InfinitePast();
  // Times of the next and of the last check whether the server accepts
  // connections.
  absl::Time mProbeAt = absl::InfiniteFuture();
  absl::Time mProbedAt = absl::InfinitePast();
};

// What an event tells.
struct cold_input
{
  // Time as of which it tells something.
  absl::Time mAsOf = absl::InfinitePast();
  // The stated time.
  absl::Duration mLeft = absl::ZeroDuration();
};

// What a change of the state depends on.
struct cold_context
{
  const cold_chart& mChart;
  absl::Duration mColdTime = absl::ZeroDuration();
  // Share of this gateway, as in cold_state.
  absl::Duration mInterval = absl::ZeroDuration();
  // Last time at which this gateway sent a request to the server.
  absl::Time mLastRunAt = absl::InfinitePast();
  // Random part of the interval, 0 to 1, after which the first request is
  // allowed, so that the gateways do not send theirs at the same time.
  double mStartFraction = 0;
  absl::Time mNow;
};

// Returns the shares of aGateways gateways in a server that bears aRate
// requests a second. Preconditions: aRate is positive, aGateways at least 1.
cold_share ComputeColdShare(double aRate, const cold_bounds& aBounds,
                            int aGateways);

// Returns true if the gateway aOwnName is among the aUsers gateways that rank
// highest for the server. aPeers: names of the others.
bool IsColdUser(const std::string& aServer, std::string_view aOwnName,
                const std::vector<std::string_view>& aPeers, int aUsers);

// Applies an event. Returns true if the status has changed.
bool FireCold(cold_state& aState, cold_event aEvent, const cold_input& aInput,
              const cold_context& aContext);

// Adopts a share that has changed.
void SetColdInterval(cold_state& aState, const cold_context& aContext);

// Returns true if the server is, or may be, cold.
bool IsCold(const cold_state& aState, absl::Time aNow);

// Returns true if this gateway may send requests to the server, but limited
// ones.
bool IsColdLimited(const cold_state& aState, absl::Time aNow);

// Returns the earliest time at which the server takes a request of this
// gateway; in the past if there is no limit.
absl::Time GetColdRunTime(const cold_state& aState, absl::Time aNow);

// Records that a request is being sent to the server.
void RecordColdRun(cold_state& aState, absl::Time aNow);

} // namespace foxtailquay

#endif
