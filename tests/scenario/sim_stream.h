// Simulated dispatch streams: the dispatch from a router to an agent, the run
// on the fake backend server, and the frames that the agent sends back.
//
// Not thread-safe. aStream is an index in mStreams.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_STREAM_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_STREAM_H

#include "world.h"

namespace foxtailquay::scenario {

// Opens a stream from the router to an agent.
void Dispatch(world& aWorld, const process_ref& aRouter,
              const dispatch_action& aDispatch);
// Closes the router's end of the stream of a run and reports the run to the
// router as failed. No effect if the stream is closed.
void CancelRun(world& aWorld, const process_ref& aRouter,
               const cancel_run_action& aCancel);
// Closes the router's end without an event to the router, because the process
// exits.
void CloseRouterEnd(world& aWorld, std::size_t aStream);
// Closes the agent's end, because the process exits; an unfinished run ends.
void CloseAgentEnd(world& aWorld, std::size_t aStream);

// Sends an event to the state chart of the run. aError is the reason of a
// refusal.
void FireRun(world& aWorld, std::size_t aStream, run_event aEvent,
             const error& aError = {});

// Cuts the connection; both ends detect it after kBreakDetection.
void CutStream(world& aWorld, std::size_t aStream);

void OnEvent(world& aWorld, const process_ref& aTarget,
             const dispatch_arrival& aArrival);
void OnTargetDown(world& aWorld, const process_ref& aTarget,
                  const dispatch_arrival& aArrival);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const frame_arrival& aArrival);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const agent_reset& aReset);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const backend_step& aStep);

} // namespace foxtailquay::scenario

#endif
