// Callers and operators.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_CALLER_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_CALLER_H

#include "world.h"

namespace foxtailquay::scenario {

// Key hash of the only API key of a workspace.
std::string ComputeKeyHash(const std::string& aWorkspace);
// The whole answer that the backend servers give to a request with aBody.
std::string PieceOf(const std::string& aBody, token_count aIndex);
std::string ServiceAnswerTo(const std::string& aBody);

// Adds a request that is sent at aAt; returns its index.
std::size_t AddRequest(world& aWorld, sim_request aRequest, absl::Time aAt);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const caller_sends& aSends);
// The caller closes its connection.
void Disconnect(world& aWorld, std::size_t aRequest);
// A piece of the answer reaches the caller.
void DeliverText(world& aWorld, std::size_t aRequest, const std::string& aText);
void AnswerCaller(world& aWorld, const process_ref& aRouter,
                  const caller_response_action& aResponse);

void AskOperator(world& aWorld, const std::string& aName,
                 const std::string& aRouter, operator_request aAsk);
void SendOperatorResponse(world& aWorld,
                          const operator_response_action& aResponse);

void SendCommand(world& aWorld, const std::string& aAgent,
                 std::uint64_t aFencing);
void SendCommandResponse(world& aWorld,
                         const command_response_action& aResponse);

} // namespace foxtailquay::scenario

#endif
