// Simulated callers, operators and the commands that agents pass to engines.
//
// Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_CALLER_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_CALLER_H

#include "world.h"

namespace foxtailquay::scenario {

// Returns the key hash of the only API key of a workspace.
std::string ComputeKeyHash(const std::string& aWorkspace);
// Returns the text of token aIndex of the model response to a request with the
// body aBody.
std::string MakeTokenText(const std::string& aBody, token_count aIndex);
// Returns the complete response of a service to a request with the body aBody.
std::string MakeServiceResponse(const std::string& aBody);

// Adds a request that is sent at aAt; returns its index in mRequests.
std::size_t AddRequest(world& aWorld, sim_request aRequest, absl::Time aAt);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const caller_sends& aSends);
// Closes the connection of the caller, unless the request has ended.
void Disconnect(world& aWorld, std::size_t aRequest);
// Adds response text that has reached the caller.
void OnResponseText(world& aWorld, std::size_t aRequest,
                    const std::string& aText);
// Ends the request with a response of the router. Records a violation if the
// request has a response already.
void SendCallerResponse(world& aWorld, const process_ref& aRouter,
                        const caller_response_action& aResponse);

// Sends an operator request named aName to a router. The call is recorded as
// lost if the router is down.
void AddOperatorCall(world& aWorld, const std::string& aName,
                     const std::string& aRouter, operator_request aRequest);
// Records the response to an operator request.
void SendOperatorResponse(world& aWorld,
                          const operator_response_action& aResponse);

// Sends an engine command with the fencing number aFencing to an agent.
void SendCommand(world& aWorld, const std::string& aAgent,
                 std::uint64_t aFencing);
// Records the response of the agent and whether the engine executes the
// command.
void SendCommandResponse(world& aWorld,
                         const command_response_action& aResponse);

} // namespace foxtailquay::scenario

#endif
