// Simulated network: delays, cuts, losses and duplicates of the messages
// between processes, and between processes and the store.
//
// Not thread-safe.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_NETWORK_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_NETWORK_H

#include "world.h"

namespace foxtailquay::scenario {

// Returns whether packets from aFrom to aTo are lost.
bool IsCut(const world& aWorld, const std::string& aFrom,
           const std::string& aTo);
// Cuts or heals the directed pair. A cut interrupts the streams between the two
// processes in both directions.
void SetCut(world& aWorld, const std::string& aFrom, const std::string& aTo,
            bool aCut);
// Returns a random one-way delay for the next packet.
absl::Duration ChooseDelay(world& aWorld);

// Sends a message between nodes. The sender gets a peer_unreachable_event if
// the message or its acknowledgement is lost.
void SendMessage(world& aWorld, const process_ref& aFrom,
                 const send_action& aSend);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const message_arrival& aArrival);
// Reports to the sender that the receiver is not running.
void OnTargetDown(world& aWorld, const process_ref& aTarget,
                  const message_arrival& aArrival);
// Reports to the sender that the message timed out. The message itself waits
// until the paused receiver resumes.
void OnTargetPaused(world& aWorld, const process_ref& aTarget,
                    const message_arrival& aArrival);

} // namespace foxtailquay::scenario

#endif
