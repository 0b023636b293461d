// The recent requests for one service, by cost.
//
//   AddCost(profile, cost, now);                     // for each new request
//   if (cost >= FindCostOfTop(profile, rate, now))   // among the costliest?
//
// A request for which rate is given is among the costliest ones that together
// arrive at that rate. Costs are grouped by powers of two. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_COST_PROFILE_H
#define FOXTAILQUAY_CORE_COST_PROFILE_H

#include <array>
#include <cstddef>

#include "absl/time/time.h"

namespace foxtailquay {

// Time in which the weight of an earlier request falls to 1/e.
constexpr absl::Duration kCostMemory = absl::Seconds(5);
constexpr std::size_t kCostGroups = 32;

struct cost_profile
{
  // Requests a second with a cost from 2^i on and below 2^(i+1), by i, as of
  // mUpdatedAt.
  std::array<double, kCostGroups> mRates{};
  absl::Time mUpdatedAt = absl::InfinitePast();
  // Time of the first request.
  absl::Time mStartedAt = absl::InfiniteFuture();
};

// Adds a request. Precondition: aNow never decreases.
void AddCost(cost_profile& aProfile, double aCost, absl::Time aNow);

// Returns the lowest cost such that the requests with it or a higher one arrive
// at least aRate times a second; 0 if all requests together do not.
double FindCostOfTop(const cost_profile& aProfile, double aRate,
                     absl::Time aNow);

} // namespace foxtailquay

#endif
