// How long a stated slowness holds, learned from the statements themselves.
//
//   LearnPeriod(service, history, stated, now);        // a response arrived
//   PoolEvidence(service, history, now);               // for each server
//   UpdatePeriod(service);                             // service.mPeriod
//
// Only pairs of statements of one server are compared whose first is unusual.
// With the period P, the second, a time g later, differs with the probability
// g / P at most, since the moment of the first within its period is unknown.
// For each of some periods, a server has the likelihood of its pairs. Pairs
// count once the server has stated something else, so that a constant statement
// shows no period. One server shifts the sum over all by a bounded amount, so
// that a server with false statements does not decide. Memory is constant for
// each server and each service, all functions take constant time. Not
// thread-safe.

#ifndef FOXTAILQUAY_CORE_SLOWNESS_PERIOD_H
#define FOXTAILQUAY_CORE_SLOWNESS_PERIOD_H

#include <array>
#include <cstddef>

#include "absl/time/time.h"

namespace foxtailquay {

// Period before anything was learned: that of the deployment for which it was
// first measured.
constexpr absl::Duration kPriorSlownessPeriod = absl::Milliseconds(600);
// Range of periods. A shorter one ends before a choice can use it; a slowness
// that lasts longer is learned as the speed of the server.
constexpr absl::Duration kMinSlownessPeriod = absl::Milliseconds(100);
constexpr absl::Duration kMaxSlownessPeriod = absl::Seconds(10);
// Number of periods that are compared, at even logarithmic intervals over the
// range: each is 1.22 times the one before.
constexpr std::size_t kPeriodSteps = 24;
// Memory of what was learned. A gateway hears from an engine every few seconds,
// and one pair in forty tells anything.
constexpr absl::Duration kPeriodMemory = absl::Minutes(5);

// Logarithms of the likelihoods of the periods.
using period_evidence = std::array<float, kPeriodSteps>;

// What one server has stated.
struct statement_history
{
  // The last statement that was compared.
  double mFactor = 1;
  absl::Time mStatedAt = absl::InfinitePast();
  // Time of the first of the equal statements that ended with it.
  absl::Time mSince = absl::InfinitePast();
  // Pairs of these, not counted yet.
  period_evidence mPending{};
  // Pairs that count.
  period_evidence mEvidence{};
  absl::Time mLearnedAt = absl::InfinitePast();
};

// What is known of the servers of one service.
struct slowness_period
{
  absl::Duration mPeriod = kPriorSlownessPeriod;
  // Sum over the servers since the last update.
  period_evidence mSum{};
  bool mHasEvidence = false;
  // Numbers of statements, and of unusual ones, as decayed sums.
  double mStatements = 0;
  double mUnusual = 0;
  absl::Time mCountedAt = absl::InfinitePast();
};

// Learns from a statement of a server of the service. aFactor is positive.
void LearnPeriod(slowness_period& aService, statement_history& aHistory,
                 double aFactor, absl::Time aNow);

// Returns true if the server has shown anything.
bool HasEvidence(const statement_history& aHistory);

// Adds what a server has shown to the sum of its service.
void PoolEvidence(slowness_period& aService, const statement_history& aHistory,
                  absl::Time aNow);

// Computes the period from the sum, which is cleared. If no server has shown
// anything since the last update, the period stays.
void UpdatePeriod(slowness_period& aService);

} // namespace foxtailquay

#endif
