// What a gateway learns from its requests about their work and about the speed
// of servers. Part of gateway_state.h; not thread-safe.

#ifndef FOXTAILQUAY_CORE_GATEWAY_WORK_H
#define FOXTAILQUAY_CORE_GATEWAY_WORK_H

#include "gateway_state.h"

namespace foxtailquay {

// Returns the likely work of the request. aCached: tokens of its prompt that
// are probably cached.
work_estimate EstimateRequestWork(const gateway& aGateway,
                                  const forwarded_request& aRequest,
                                  token_count aCached, absl::Time aNow);

// Records that the request is being sent to the server, and reports it to other
// gateways. Returns the prompt tokens that the server had to process before.
// Precondition: the server is listed.
double StartWork(gateway& aGateway, forwarded_request& aRequest,
                 const backend_id& aBackend, const routing_query& aQuery,
                 absl::Time aNow);

// Records that the first event of the response has arrived.
void RecordFirstEvent(gateway& aGateway, forwarded_request& aRequest,
                      const std::optional<observed_load>& aLoad,
                      absl::Time aNow);

// Records the load that the response states, and learns from the attempt unless
// it failed, was cut off or repeated another one.
void RecordWork(gateway& aGateway, forwarded_request& aRequest,
                const attempt_report& aReport, absl::Time aNow);

// Ends the work of the current attempt.
void EndWork(forwarded_request& aRequest, backend_view& aView);

// Computes the rates of all servers anew from what was learned.
void AdvanceWork(gateway& aGateway, absl::Time aNow);

} // namespace foxtailquay

#endif
