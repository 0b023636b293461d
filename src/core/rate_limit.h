// Rate limits that backend servers state for all gateways together.
//
// A server that names a limit in its responses takes that many requests a
// second from the whole fleet. No gateway knows what the others send, so each
// uses an equal share of the rate:
//
//   RecordStatement(limit, statement, sentAt, context);  // a response arrived
//   if (now >= limit.mNextRunAt) { ... }                 // may be used
//   RecordRunStart(limit, context);                      // is used
//
// The requests of one gateway have even intervals, but a few may follow each
// other closely after a pause. Life cycle: charts/rate_limit.yaml. All
// functions take constant time. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_RATE_LIMIT_H
#define FOXTAILQUAY_CORE_RATE_LIMIT_H

#include "absl/time/time.h"
#include "foxtailquay/chart.h"
#include "foxtailquay/gateway_events.h"
#include "foxtailquay/name_table.h"

namespace foxtailquay {

// Servers tolerate that requests come early: in any kToleranceWindow, half as
// many more than the rate allows, and kToleratedRequests.
constexpr absl::Duration kToleranceWindow = absl::Seconds(4);
constexpr double kToleratedRatio = 0.5;
constexpr double kToleratedRequests = 5;
// Fraction of the tolerance that bursts of the gateways use. The rest covers
// gateways that do not have each other in their peer lists yet.
constexpr double kBurstFraction = 0.5;
constexpr double kMaxBurst = 2;
// Fraction of the rate that is used if there are so many gateways that the
// tolerance does not cover one early request of each.
constexpr double kCrowdedFraction = 0.8;
// Longest interval between two requests, after which a gateway learns whether
// the limit still holds.
constexpr absl::Duration kMaxRunInterval = absl::Seconds(30);

enum class rate_status
{
  Unlimited,
  Limited,
};

constexpr auto NameTable(rate_status)
{
  return MakeNameTable<rate_status>({ { rate_status::Unlimited, "unlimited" },
                                      { rate_status::Limited, "limited" } });
}

enum class rate_event
{
  // A response states a limit.
  Stated,
  // A response states none.
  Absent,
  RunStarted,
};

constexpr auto NameTable(rate_event)
{
  using e = rate_event;
  return MakeNameTable<e>({ { e::Stated, "stated" },
                            { e::Absent, "absent" },
                            { e::RunStarted, "run_started" } });
}

enum class rate_guard
{
  // The request was sent after the last statement.
  IsCurrent,
};

constexpr auto NameTable(rate_guard)
{
  return MakeNameTable<rate_guard>({ { rate_guard::IsCurrent, "is_current" } });
}

enum class rate_action
{
  SetRate,
  // Allows the first request after a part of the interval.
  SpreadStart,
  // Allows the next request after the interval.
  Pause,
  Clear,
};

constexpr auto NameTable(rate_action)
{
  using a = rate_action;
  return MakeNameTable<a>({ { a::SetRate, "set_rate" },
                            { a::SpreadStart, "spread_start" },
                            { a::Pause, "pause" },
                            { a::Clear, "clear" } });
}

using rate_chart = chart<rate_status, rate_event, rate_guard, rate_action>;

// The limit of one backend server.
struct rate_limit
{
  rate_status mStatus = rate_status::Unlimited;
  // Requests a second, from all gateways.
  double mRate = 0;
  // Time of the last statement.
  absl::Time mStatedAt = absl::InfinitePast();
  // Time of the next request at even intervals.
  absl::Time mEvenRunAt = absl::InfinitePast();
  // Earliest time of the next request.
  absl::Time mNextRunAt = absl::InfinitePast();
  // Time from which a request that has not been used counts as spare: the
  // requests for which the server is kept do not come often enough.
  absl::Time mSpareAt = absl::InfinitePast();
};

// What a change of a limit depends on.
struct rate_context
{
  const rate_chart& mChart;
  // Number of gateways that share the rate, this one included; at least 1.
  int mGateways = 1;
  // Random part of the interval, 0 to 1, after which the first request is
  // allowed, so that the gateways do not send theirs at the same time.
  double mStartFraction = 0;
  absl::Time mNow;
};

// The requests that one gateway may send.
struct rate_share
{
  absl::Duration mInterval;
  // Number of requests that may follow each other without an interval; at least
  // 1, not always whole.
  double mBurst = 1;
};

// Returns the share of one of aGateways gateways. Precondition: aRate is not
// negative.
rate_share ComputeShare(double aRate, int aGateways);

// Applies what a response states. aSentAt is the time at which its request was
// sent. A malformed statement has no effect. Returns true if state or rate have
// changed.
bool RecordStatement(rate_limit& aLimit, const server_statement& aStatement,
                     absl::Time aSentAt, const rate_context& aContext);

// Records that a request is being sent to the server.
void RecordRunStart(rate_limit& aLimit, const rate_context& aContext);

} // namespace foxtailquay

#endif
