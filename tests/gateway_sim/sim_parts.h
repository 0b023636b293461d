// Parts of the simulation that its source files share.
//
// gateway_sim.cc  processes, faults, the run
// sim_events.cc   the queue of events and the actions of the nodes
// sim_store.cc    the store: reads, watches, grants, the peer list
// sim_traffic.cc  callers, servers, tokens between gateways

#ifndef FOXTAILQUAY_TESTS_GATEWAY_SIM_PARTS_H
#define FOXTAILQUAY_TESTS_GATEWAY_SIM_PARTS_H

#include "gateway_sim/gateway_sim.h"

namespace foxtailquay::gateway_sim {

constexpr token_count kTokensPerEvent = 7;
constexpr absl::Duration kPeerLatency = absl::Milliseconds(2);
const absl::Time kStart = absl::FromUnixSeconds(100000);

// A number in [0, aBelow).
int Draw(fleet_sim& aSim, int aBelow);
absl::Duration DrawTime(fleet_sim& aSim, absl::Duration aBelow);

void After(fleet_sim& aSim, absl::Duration aTime, std::function<void()> aRun);
void RunUntil(fleet_sim& aSim, absl::Time aEnd);
void Report(fleet_sim& aSim, broken_promise aPromise,
            const std::string& aDetail);

void Deliver(fleet_sim& aSim, std::size_t aIndex, const gateway_event& aEvent);
// Delivers unless the process has ended meanwhile.
void DeliverAfter(fleet_sim& aSim, absl::Duration aTime, std::size_t aIndex,
                  gateway_event aEvent);
void Perform(fleet_sim& aSim, std::size_t aIndex,
             const gateway_actions& aActions);

// --- sim_store.cc -----------------------------------------------------------

void Query(fleet_sim& aSim, std::size_t aIndex, const directory_query& aQuery);
void WriteGrants(fleet_sim& aSim, std::size_t aIndex,
                 const grant_write& aWrite);
void Register(fleet_sim& aSim, std::size_t aIndex,
              const registration_call& aCall);
void SetPeer(fleet_sim& aSim, const std::string& aName,
             std::optional<gateway_peer> aPeer);
// Answers the watches that a change has satisfied.
void AnswerWatches(fleet_sim& aSim);

// --- sim_traffic.cc ---------------------------------------------------------

void SendRequest(fleet_sim& aSim, std::size_t aIndex, const char* aPath);
// A server runs the request, or not; the gateway may end meanwhile.
void Dispatch(fleet_sim& aSim, std::size_t aIndex,
              const dispatch_request& aAction);
void Refuse(fleet_sim& aSim, std::size_t aIndex, const send_error& aAction);
// The live gateway of that name, which is also its address.
std::optional<std::size_t> FindGateway(const fleet_sim& aSim,
                                       const std::string& aName);
void Ask(fleet_sim& aSim, std::size_t aIndex, const request_tokens& aAction);
void AnswerCall(fleet_sim& aSim, std::uint64_t aCall,
                std::optional<token_response> aResponse);

} // namespace foxtailquay::gateway_sim

#endif
