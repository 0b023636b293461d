// Life cycle of simulated processes and the performance of their actions.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_PROCESS_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_PROCESS_H

#include "world.h"

namespace foxtailquay::scenario {

// Fires aEvent at the process's chart. Precondition: the process exists.
void ChangeProcess(world& aWorld, const std::string& aName,
                   process_event aEvent);
// Asks a running process for a planned stop.
void AskToStop(world& aWorld, const std::string& aName);

process_ref RefOf(const world& aWorld, const std::string& aName);
// True if aRef is the running or paused incarnation of its process.
bool IsAlive(const world& aWorld, const process_ref& aRef);
bool IsReady(const sim_process& aProcess);
config_version GetVersion(const sim_process& aProcess);

// Hands an event to the node and performs the actions it returns.
// Precondition: the process is running.
void Feed(world& aWorld, const std::string& aName, router_event aEvent);
void Feed(world& aWorld, const std::string& aName, agent_event aEvent);

void OnEvent(world& aWorld, const process_ref& aTarget,
             const node_input& aInput);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const wake_up& aWakeTime);

} // namespace foxtailquay::scenario

#endif
