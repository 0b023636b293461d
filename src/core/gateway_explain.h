// Explains where a request would go, without sending it.
//
//   explanation result = ExplainRequest(gateway, query, now);
//
// It calls the functions that decide on a request. What they record on the way
// is recorded in copies. Not thread-safe: only the control thread uses it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_EXPLAIN_H
#define FOXTAILQUAY_CORE_GATEWAY_EXPLAIN_H

#include "foxtailquay/explanation.h"
#include "gateway_state.h"

namespace foxtailquay {

// Returns what would become of the request if it arrived at aNow. Takes time
// proportional to the numbers of servers, gateways and waiting requests.
explanation ExplainRequest(const gateway& aGateway, const explain_query& aQuery,
                           absl::Time aNow);

} // namespace foxtailquay

#endif
