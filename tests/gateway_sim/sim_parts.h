// Functions that the source files of the simulation share.
//
// gateway_sim.cc  processes, faults, the run
// sim_config.cc   changes of the configuration, faults of the store
// sim_events.cc   the event queue and the actions of the nodes
// sim_store.cc    the store: reads, watches, grants, the peer list
// sim_limits.cc   rate limits that servers state
// sim_notices.cc  servers that leave or back off
// sim_prompts.cc  prompts with parts, servers that crash
// sim_refusals.cc where the tokens are that a refused request lacked
// sim_tokens.cc   callers with prepaid tokens
// sim_traffic.cc  callers, backend servers, tokens between gateways

#ifndef FOXTAILQUAY_TESTS_GATEWAY_SIM_PARTS_H
#define FOXTAILQUAY_TESTS_GATEWAY_SIM_PARTS_H

#include "gateway_sim/gateway_sim.h"

namespace foxtailquay::gateway_sim {

constexpr token_count kTokensPerEvent = 7;
constexpr absl::Duration kPeerLatency = absl::Milliseconds(2);
// Default contact time of a gateway.
constexpr absl::Duration kContactTime = absl::Seconds(3);
constexpr absl::Duration kServerDownTime = absl::Seconds(3);
constexpr absl::Duration kMaxRequestInterval = absl::Milliseconds(40);
const absl::Time kStart = absl::FromUnixSeconds(100000);

// Returns a random number in [0, aBelow).
int Draw(fleet_sim& aSim, int aBelow);
absl::Duration DrawTime(fleet_sim& aSim, absl::Duration aBelow);

// Runs aRun after aTime.
void Schedule(fleet_sim& aSim, absl::Duration aTime,
              std::function<void()> aRun);
// Runs the queued events up to aEnd, or up to the first violation.
void RunUntil(fleet_sim& aSim, absl::Time aEnd);
// Records a violation, which ends the run.
void RecordViolation(fleet_sim& aSim, violated_invariant aInvariant,
                     const std::string& aDetail);

// Delivers an event to a gateway and performs its actions, if it is alive.
void Deliver(fleet_sim& aSim, std::size_t aIndex, const gateway_event& aEvent);
// Delivers the event after aTime unless the process has ended by then.
void DeliverAfter(fleet_sim& aSim, absl::Duration aTime, std::size_t aIndex,
                  gateway_event aEvent);
void Perform(fleet_sim& aSim, std::size_t aIndex,
             const gateway_actions& aActions);

// --- gateway_sim.cc ---------------------------------------------------------

std::size_t DrawGateway(fleet_sim& aSim);
// Sends a random request at a random gateway, and the next one after at most
// aMaxInterval.
void SendRequestsPeriodically(fleet_sim& aSim, absl::Duration aMaxInterval);

// Starts aGateways gateways, with the workspaces of mPrepaid.
void StartFleet(fleet_sim& aSim, std::size_t aGateways);
// Writes a configuration with the present prepaid totals.
void PutConfig(fleet_sim& aSim, config_version aVersion);
// Ends the process and schedules its restart. A power loss also resets its
// steady clock.
void KillGateway(fleet_sim& aSim, std::size_t aIndex, bool aIsPowerLoss);

// --- sim_store.cc -----------------------------------------------------------

// Serve one call of a gateway on the store.
void HandleQuery(fleet_sim& aSim, std::size_t aIndex,
                 const directory_query& aQuery);
void HandleGrantWrite(fleet_sim& aSim, std::size_t aIndex,
                      const grant_write& aWrite);
void HandleGrantRead(fleet_sim& aSim, std::size_t aIndex,
                     const grant_read& aRead);
void HandleCrashReportWrite(fleet_sim& aSim, std::size_t aIndex,
                            const crash_report_write& aWrite);
void HandleRegistration(fleet_sim& aSim, std::size_t aIndex,
                        const registration_call& aCall);
void SetPeer(fleet_sim& aSim, const std::string& aName,
             std::optional<gateway_peer> aPeer);
void SetBackend(fleet_sim& aSim, const std::string& aName,
                const backend_entry& aEntry);
// Responds to the watches for which there are changes.
void SendWatchResponses(fleet_sim& aSim);
// Makes the store unavailable for aTime, in which the leases of all peer list
// entries run out.
void ExpirePeers(fleet_sim& aSim, absl::Duration aTime);
// Keeps a copy of the store now and then, for ReturnStore.
void KeepSnapshotsPeriodically(fleet_sim& aSim);
// Makes the store unavailable for aDown, after which it is as it was aAge ago.
// The operator and the servers write their entries again.
void ReturnStore(fleet_sim& aSim, absl::Duration aAge, absl::Duration aDown);
// Makes the connections of the gateway's watches silent: the watches fail when
// the transport ends them.
void SilenceWatches(fleet_sim& aSim, std::size_t aIndex);
// Makes all open connections of the gateway silent, also those in its pool.
void SilenceConnections(fleet_sim& aSim, std::size_t aIndex);
// Drops the history and cuts all watches.
void DropHistory(fleet_sim& aSim);

// --- sim_limits.cc ----------------------------------------------------------

// Counts a request that reaches a server, and checks the server's rate limit.
void CountArrival(fleet_sim& aSim, std::size_t aIndex,
                  const std::string& aServer);
// Returns what the server states in a response that the gateway relays now.
server_statement MakeStatement(fleet_sim& aSim, std::size_t aIndex,
                               const std::string& aServer);

// --- sim_notices.cc ---------------------------------------------------------

// Checks that a request may reach a server that leaves or has backed off.
void CheckNotices(fleet_sim& aSim, std::size_t aIndex,
                  const std::string& aServer);
// Adds what the server states of itself in a response that the gateway gets
// now.
void AddNotices(fleet_sim& aSim, std::size_t aIndex, const std::string& aServer,
                attempt_report& aReport);

// --- sim_tokens.cc ----------------------------------------------------------

// Counts a message about tokens.
void CountTokenMessage(fleet_sim& aSim, std::size_t aIndex);
// Counts a refusal for tokens by gateway aIndex. The caller repeats the request
// if the load says so.
void CountTokenRefusal(fleet_sim& aSim, std::size_t aIndex,
                       const sim_request& aRequest, const error& aError);

// --- sim_refusals.cc --------------------------------------------------------

// Returns where the tokens are that a request at gateway aIndex lacks.
refusal_cause FindRefusalCause(const fleet_sim& aSim, std::size_t aIndex,
                               const workspace_id& aWorkspace,
                               token_count aNeeded);

// --- sim_traffic.cc ---------------------------------------------------------

void SendRequest(fleet_sim& aSim, std::size_t aIndex, const char* aPath);
// Simulates the attempt on a backend server. The gateway may end before the
// report arrives.
void Dispatch(fleet_sim& aSim, std::size_t aIndex,
              const dispatch_request& aAction);
// Ends the attempts on the server and takes it down for kServerDownTime.
void CrashServer(fleet_sim& aSim, const std::string& aServer);
// Checks an error response and ends the request.
void HandleSendError(fleet_sim& aSim, std::size_t aIndex,
                     const send_error& aAction);
// Returns the index of the live gateway of that name, which is also its
// address.
std::optional<std::size_t> FindGateway(const fleet_sim& aSim,
                                       const std::string& aName);
// Like FindGateway, for a message of gateway aFrom; absent if it does not
// arrive.
std::optional<std::size_t> FindReachable(const fleet_sim& aSim,
                                         std::size_t aFrom,
                                         const std::string& aName);
// Sends tokens to another gateway.
void ReturnTokens(fleet_sim& aSim, std::size_t aIndex,
                  const return_tokens& aAction);
// Sends a request for tokens to another gateway. Without a response it fails
// after a timeout.
void RequestTokens(fleet_sim& aSim, std::size_t aIndex,
                   const request_tokens& aAction);
// Sends a recall to another gateway. Without a response it fails after a
// timeout.
void RecallTokens(fleet_sim& aSim, std::size_t aIndex,
                  const recall_tokens& aAction);
// Sends grant records to another gateway. Without a response the call fails
// after a timeout.
void ShareGrants(fleet_sim& aSim, std::size_t aIndex,
                 const share_grants& aAction);
void SendShareResponse(fleet_sim& aSim, std::uint64_t aCall,
                       std::optional<share_response> aResponse);
// Asks another gateway for what it knows of servers. A lost call has no
// response.
void RequestServers(fleet_sim& aSim, std::size_t aIndex,
                    const request_servers& aAction);
void SendServers(fleet_sim& aSim, std::uint64_t aCall,
                 const std::vector<known_server>& aServers);
// Ends the call aCall. aResponse is absent if the other gateway did not
// respond.
void SendTokenResponse(fleet_sim& aSim, std::uint64_t aCall,
                       std::optional<token_response> aResponse);

// --- sim_config.cc ----------------------------------------------------------

// Cuts a gateway off from the store for aTime.
void DisconnectGateway(fleet_sim& aSim, std::size_t aIndex,
                       absl::Duration aTime);

} // namespace foxtailquay::gateway_sim

#endif
