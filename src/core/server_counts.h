// Numbers of backend servers in certain states, for metrics. They are updated
// where the state of a server changes, since a gateway reads them after each
// turn of its control loop and may know hundreds of servers.
//
//   const server_counts before = CountServer(view);
//   ...                                               // changes the view
//   ReplaceCounts(counts, before, CountServer(view));
//
// Not thread-safe.

#ifndef FOXTAILQUAY_CORE_SERVER_COUNTS_H
#define FOXTAILQUAY_CORE_SERVER_COUNTS_H

#include <cstddef>

#include "routing.h"

namespace foxtailquay {

struct server_counts
{
  // Servers that state a rate limit.
  std::size_t mRateLimited = 0;
  // Servers that are, or may be, cold.
  std::size_t mCold = 0;
};

// Returns what one server adds to the counts.
inline server_counts CountServer(const backend_view& aView)
{
  return { aView.mRateLimit.mStatus == rate_status::Limited ? 1U : 0U,
           aView.mCold.mStatus != cold_status::Warm ? 1U : 0U };
}

// Replaces what a server added before a change by what it adds now; a server
// that is removed adds {}. Precondition: aBefore is included in aCounts.
inline void ReplaceCounts(server_counts& aCounts, const server_counts& aBefore,
                          const server_counts& aAfter)
{
  aCounts.mRateLimited =
    aCounts.mRateLimited - aBefore.mRateLimited + aAfter.mRateLimited;
  aCounts.mCold = aCounts.mCold - aBefore.mCold + aAfter.mCold;
}

} // namespace foxtailquay

#endif
