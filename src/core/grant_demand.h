// Demand for prepaid tokens by priority, as grants use it. The functions that
// other code uses are in foxtailquay/grant.h. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_GRANT_DEMAND_H
#define FOXTAILQUAY_CORE_GRANT_DEMAND_H

#include "foxtailquay/grant.h"

namespace foxtailquay {

// Returns the priority that follows the highest one with demand; 0 if there is
// no demand.
int FindHighestPriorityEnd(const grant_share& aShare);

// Returns the number of tokens that are granted only for demand of the highest
// priority.
token_count ComputeReserved(const grant_share& aShare, token_count aPrepaid,
                            const grant_options& aOptions);

// Returns the expected demand over aTime, in tokens, of the priorities higher
// than aEnd.
token_count EstimateDemandBefore(const grant_share& aShare, int aEnd,
                                 absl::Duration aTime,
                                 const grant_options& aOptions,
                                 absl::Time aNow);

} // namespace foxtailquay

#endif
