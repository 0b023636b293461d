// Dispatches, the runs they start on the fake backend servers, and the frames
// that travel back.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_STREAM_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_STREAM_H

#include "world.h"

namespace foxtailquay::scenario {

// Router side.
void Dispatch(world& aWorld, const process_ref& aRouter,
              const dispatch_action& aDispatch);
void CancelRun(world& aWorld, const process_ref& aRouter,
               const cancel_run_action& aCancel);
// The router closes its end without a report, because it exits.
void CloseRouterEnd(world& aWorld, std::size_t aStream);
// The same for the agent; its unfinished run ends.
void CloseAgentEnd(world& aWorld, std::size_t aStream);

// Agent side. aStream is the agent's request handle.
void FireRun(world& aWorld, std::size_t aStream, run_event aEvent,
             const error& aError = {});

// Breaks a connection at both ends after the detection time.
void BreakStream(world& aWorld, std::size_t aStream);

void OnEvent(world& aWorld, const process_ref& aTarget,
             const dispatch_arrival& aArrival);
void Lose(world& aWorld, const process_ref& aTarget,
          const dispatch_arrival& aArrival);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const frame_arrival& aArrival);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const agent_reset& aReset);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const backend_step& aStep);

} // namespace foxtailquay::scenario

#endif
