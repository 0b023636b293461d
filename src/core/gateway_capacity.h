// Functions of the gateway node on capacity, that of the servers and its own:
// who waits while all servers are full, what engines hold and have to process,
// and the log records of requests. Only the control thread uses them.

#ifndef FOXTAILQUAY_CORE_GATEWAY_CAPACITY_H
#define FOXTAILQUAY_CORE_GATEWAY_CAPACITY_H

#include <optional>

#include "gateway_state.h"

namespace foxtailquay {

// Time for which sent prompts are batched before they are reported to other
// gateways if one of them is large. It is shorter than the processing of a
// large prompt (30 ms and more).
constexpr absl::Duration kLargeReportDelay = absl::Milliseconds(15);
// Largest number of gateways that a report is sent to, so
// that its cost does not grow with the fleet. The other gateways still receive
// the load that the engines state.
constexpr std::size_t kMaxReportTargets = 8;

// --- gateway_request.cc, gateway_statements.cc ------------------------------

// Returns the query for the servers of the request.
routing_query MakeRoutingQuery(const gateway& aGateway,
                               const forwarded_request& aRequest,
                               absl::Time aNow);
// Returns the work of an engine for the request, in prompt tokens.
double ComputeCost(const caller_request& aCaller);

// --- gateway_admission.cc ---------------------------------------------------

admission_options MakeAdmissionOptions();
routing_options MakeRoomRouting(const routing_options& aRouting);
// Records the start and the end of an attempt. aLoad: load that its server has
// stated, if any. aIsServed: the attempt has ended with a complete response.
void RecordAttemptStart(gateway& aGateway, const forwarded_request& aRequest,
                        absl::Time aNow);
void RecordAttemptEnd(gateway& aGateway, const forwarded_request& aRequest);
void RecordAttemptLoad(gateway& aGateway, const forwarded_request& aRequest,
                       const std::optional<observed_load>& aLoad,
                       bool aIsServed, absl::Time aNow);
// Whether a request has to wait for a slot.
struct wait_decision
{
  bool mMustWait = false;
  demand_rank mRank = demand_rank::Usual;
};

// Decides whether the request has to wait for a slot; otherwise it is to be
// sent to aChosen, or refused if that is null. Records in the pace of its
// service that the servers are full, and what the request asks for.
wait_decision DecideWait(const gateway& aGateway,
                         const forwarded_request& aRequest,
                         const routing_query& aQuery,
                         const backend_view* aChosen,
                         const routing_options& aRouting, service_pace& aPace,
                         absl::Time aNow);
// Returns what a request that has to wait is queued with.
admission_request MakeWaitingRequest(const gateway& aGateway,
                                     const forwarded_request& aRequest,
                                     const routing_options& aRouting,
                                     absl::Time aNow);
// Queues the request, or returns the error if it is not expected to be sent in
// time.
std::optional<error> QueueWaitingRequest(admission_state& aAdmission,
                                         const admission_request& aWaiting,
                                         const traffic_route& aRoute,
                                         absl::Time aNow);
// Queues the request, or fires Refused on it if it is not expected to be sent
// in time.
void EnqueueRequest(gateway& aGateway, forwarded_request& aRequest,
                    absl::Time aNow);
// Removes the request from its queue.
void LeaveQueue(gateway& aGateway, const forwarded_request& aRequest);
// Sends the waiting requests for which there is room and refuses those that
// have waited for too long.
void AdvanceAdmission(gateway& aGateway, absl::Time aNow);
// Returns the time by which AdvanceAdmission must be called again.
absl::Time GetNextReviewTime(const gateway& aGateway);

// --- gateway_share.cc -------------------------------------------------------

// Records a prompt that is being sent to a backend server, to report it to
// other gateways.
void RecordPrompt(gateway& aGateway, const backend_id& aBackend,
                  token_count aUncached, const routing_query& aQuery,
                  absl::Time aNow);
// Adds the prompts that another gateway has sent to the load estimates.
void OnPromptsReported(gateway& aGateway, const prompts_reported& aEvent,
                       absl::Time aNow);
// Reports the recorded prompts to other gateways once they are due.
void AdvancePromptReports(gateway& aGateway, absl::Time aNow);

// --- gateway_load.cc --------------------------------------------------------

void OnLoadMeasured(gateway& aGateway, const load_measured& aEvent,
                    absl::Time aNow);
// Returns true while new connections should go to other gateways.
bool IsShedding(const gateway& aGateway);

// --- gateway_memory.cc ------------------------------------------------------

// Returns the memory of one engine of the service in tokens; 0 if it is not
// stated or has no limit.
token_count GetEngineMemory(const gateway& aGateway,
                            const service_id& aService);
// Returns what the request needs of an engine's memory.
memory_need MakeMemoryNeed(const gateway& aGateway,
                           const forwarded_request& aRequest, absl::Time aNow);
// Counts the tokens of an attempt that is being sent to the engine.
void HoldTokens(gateway& aGateway, forwarded_request& aRequest,
                const backend_id& aBackend, backend_view& aView,
                absl::Time aNow);
// Ends the count at the end of the attempt.
void ReleaseHeldTokens(gateway& aGateway, forwarded_request& aRequest,
                       absl::Time aNow);
// Returns the error for a request that is larger than the memory of each
// engine of its service; nothing if it is not.
std::optional<error> CheckMemory(const gateway& aGateway,
                                 const forwarded_request& aRequest);
// Learns from the load that the engine has stated, and has the next report
// state what this gateway holds there if the engine is tight.
void RecordMemoryLoad(gateway& aGateway, const backend_id& aBackend,
                      const backend_view& aView, absl::Time aNow);
// Records what another gateway states to hold at the engine, if anything. If it
// finds the engine tight, the next report states what this gateway holds there.
void RecordPeerStatement(gateway& aGateway, const std::string& aPeer,
                         const sent_prompt& aStatement, backend_view& aView,
                         absl::Time aNow);
// Adds to the entry of a report what this gateway holds at the engine.
void AddHolding(gateway& aGateway, sent_prompt& aPrompt, absl::Time aNow);
// Reports again what is held at tight engines and was not reported for long,
// and forgets old statements of other gateways.
void AdvanceHoldings(gateway& aGateway, absl::Time aNow);

// --- gateway_log.cc ---------------------------------------------------------

void RecordRequestRefused(gateway& aGateway, const forwarded_request& aRequest,
                          const error& aError, absl::Time aNow);
// aBacklog: prompt tokens that the server had to process before.
void RecordRequestDispatched(gateway& aGateway,
                             const forwarded_request& aRequest,
                             const backend_view& aView, double aBacklog,
                             absl::Time aNow);
// aBackend: server of the attempt that has ended.
void RecordRequestFinished(gateway& aGateway, const forwarded_request& aRequest,
                           const attempt_report& aReport,
                           const backend_id& aBackend, absl::Time aNow);

} // namespace foxtailquay

#endif
