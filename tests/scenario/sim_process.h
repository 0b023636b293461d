// Life cycle of simulated processes, and execution of the actions that their
// nodes return.
//
// Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_PROCESS_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_PROCESS_H

#include "world.h"

namespace foxtailquay::scenario {

// Sends aEvent to the state chart of the process. Precondition: the process
// exists.
void FireProcess(world& aWorld, const std::string& aName, process_event aEvent);
// Sends a planned stop to a running process; ignored if it is not running or
// already stopping.
void RequestStop(world& aWorld, const std::string& aName);

// Returns a reference to the present incarnation of a process.
process_ref GetProcessRef(const world& aWorld, const std::string& aName);
// Returns true if aRef is the running or paused incarnation of its process.
bool IsAlive(const world& aWorld, const process_ref& aRef);
bool IsReady(const sim_process& aProcess);
// Returns the configuration version that the process uses; 0 if it is down.
config_version GetConfigVersion(const sim_process& aProcess);

// Passes an event to the node and performs the actions that it returns.
// Precondition: the process is running.
void StepProcess(world& aWorld, const std::string& aName, router_event aEvent);
void StepProcess(world& aWorld, const std::string& aName, agent_event aEvent);

void OnEvent(world& aWorld, const process_ref& aTarget,
             const node_input& aInput);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const wake_up& aWakeTime);

} // namespace foxtailquay::scenario

#endif
