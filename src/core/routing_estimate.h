// What the files of routing share: estimates for one server. Not part of the
// interface in routing.h.

#ifndef FOXTAILQUAY_CORE_ROUTING_ESTIMATE_H
#define FOXTAILQUAY_CORE_ROUTING_ESTIMATE_H

#include <algorithm>
#include <string>
#include <vector>

#include "routing.h"

namespace foxtailquay {

// Age above which a report is ignored. A later report with a lower sequence
// number is then accepted, because the agent has restarted.
constexpr absl::Duration kReportExpiry = absl::Seconds(10);

template<typename Id>
bool HasId(const std::vector<Id>& aIds, const std::string& aText)
{
  return std::any_of(aIds.begin(), aIds.end(),
                     [&aText](const Id& aId) { return aId.mValue == aText; });
}

// Returns true if the report of the server is not too old to be used.
bool HasFreshReport(const backend_view& aView, absl::Time aNow);

// Returns true if a run does not have to wait for a model to be loaded. Returns
// true also while there is no fresh report.
bool IsTargetLoaded(const backend_view& aView, const routing_query& aQuery,
                    absl::Time aNow);

// Loads the entries that EstimateCachedFraction will read into the processor's
// cache. With hundreds of servers, the tables do not fit there.
void PrefetchPrefixes(const backend_view& aView, const routing_query& aQuery);

// EstimateDelay with the known result of EstimateCachedFraction, in seconds.
double EstimateDelayWith(const backend_view& aView, const routing_query& aQuery,
                         double aCachedFraction, double aRoutersPerBackend,
                         const routing_options& aOptions, absl::Time aNow);

} // namespace foxtailquay

#endif
