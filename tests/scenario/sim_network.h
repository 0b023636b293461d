// Messages between processes, and between processes and the store.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_SIM_NETWORK_H
#define FOXTAILQUAY_TESTS_SCENARIO_SIM_NETWORK_H

#include "world.h"

namespace foxtailquay::scenario {

bool IsCut(const world& aWorld, const std::string& aFrom,
           const std::string& aTo);
// Cuts or heals the directed pair; a cut breaks the streams across it.
void SetCut(world& aWorld, const std::string& aFrom, const std::string& aTo,
            bool aCut);
// One-way delay of the next packet.
absl::Duration NextDelay(world& aWorld);

void SendMessage(world& aWorld, const process_ref& aFrom,
                 const send_action& aSend);
void OnEvent(world& aWorld, const process_ref& aTarget,
             const message_arrival& aArrival);
// The message found no running process.
void Lose(world& aWorld, const process_ref& aTarget,
          const message_arrival& aArrival);
// The message waits in a paused process; its sender gives up in the end.
void Stall(world& aWorld, const process_ref& aTarget,
           const message_arrival& aArrival);

} // namespace foxtailquay::scenario

#endif
