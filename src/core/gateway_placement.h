// Prepaid tokens held ahead of need: first parts, refill, recall, and the
// return of what is not needed. Not thread-safe: only the control thread uses
// it.

#ifndef FOXTAILQUAY_CORE_GATEWAY_PLACEMENT_H
#define FOXTAILQUAY_CORE_GATEWAY_PLACEMENT_H

#include <optional>
#include <vector>

#include "foxtailquay/explanation.h"
#include "gateway_coordinator.h"
#include "gateway_state.h"

namespace foxtailquay {

// Largest number of messages ahead of need that are sent in one tick, for all
// workspaces. At a thousand workspaces below half of their targets, a gateway
// refills them within 4 s.
constexpr int kMaxTokenMessages = 64;

// Records a request of a caller of this gateway.
void RecordOwnDemand(gateway& aGateway, workspace_tokens& aTokens,
                     token_count aAmount, int aPriority, absl::Time aNow);

// Updates the token numbers of the share that depend on what is planned.
void UpdatePlannedTokens(workspace_tokens& aTokens);

// Updates what this gateway holds of a workspace ahead of need. Called once a
// tick.
void UpdateTargets(gateway& aGateway, workspace_tokens& aTokens,
                   absl::Time aNow);

// Schedules the first parts of a workspace that the configuration names.
void ScheduleFirstParts(workspace_tokens& aTokens, absl::Time aNow);
// Sends first parts that are due, as far as tokens are free.
void PlaceFirstParts(gateway& aGateway, const workspace_id& aWorkspace,
                     absl::Time aNow);

// Requests tokens from the coordinator if this gateway holds too few.
void RefillTokens(gateway& aGateway, const workspace_id& aWorkspace,
                  absl::Time aNow);

// Returns the number of tokens that this gateway keeps without an immediate
// need. It returns more than kReturnFactor times as many.
token_count ComputeRetained(const gateway& aGateway,
                            const workspace_tokens& aTokens, absl::Time aNow);

// Returns the number of tokens that this gateway retains when the total has no
// tokens left to grant: 0 if they would hardly serve a request. All gateways
// together would then keep many tokens that serve nobody.
token_count EstimateSoonNeeded(const gateway& aGateway,
                               const workspace_tokens& aTokens,
                               absl::Time aNow);

// Takes up to aAmount tokens that this gateway does not need itself, for
// another gateway, and returns their number.
token_count TakeSpareTokens(gateway& aGateway, workspace_tokens& aTokens,
                            token_count aAmount, int aPriority,
                            absl::Time aNow);

// Returns how many of aAmount tokens may be transferred ahead of need, so that
// not too many of the total are held.
token_count LimitAheadOfNeed(const workspace_tokens& aTokens,
                             token_count aAmount, absl::Time aNow);

// Adds tokens that could not be transferred ahead of need to those that the
// next grant is to cover.
void AddUnserved(workspace_tokens& aTokens, token_count aAmount,
                 absl::Time aNow);

// Forgets a gateway that is not listed any more. Called for each, so that what
// is kept by name does not grow with the gateways that have been.
void ForgetPeerTokens(gateway& aGateway, const std::string& aPeer);

// Records that a refill has ended. aIsComplete: it brought what was requested.
void RecordRefill(workspace_tokens& aTokens, bool aIsComplete, absl::Time aNow);

// Responds to a request ahead of need at once with what is spare.
void ServeRefill(gateway& aGateway, const tokens_requested& aEvent,
                 workspace_tokens& aTokens, absl::Time aNow);

// A recall that starts, and its calls.
struct recall_plan
{
  token_recall mRecall;
  std::vector<recall_tokens> mCalls;
};

// Decides whether a recall starts, and whom it asks.
std::optional<recall_plan> PlanRecall(const gateway& aGateway,
                                      const workspace_id& aWorkspace,
                                      const workspace_tokens& aTokens,
                                      bool aIsUsedUp, absl::Time aNow);
// Starts the recall, if one is planned. Returns true while responses are open.
bool ApplyRecall(gateway& aGateway, const workspace_id& aWorkspace,
                 std::optional<recall_plan> aPlan);

// Asks the other gateways for tokens that they do not need if this gateway is
// the coordinator, at most once a second. aIsUsedUp: the total has no tokens
// left to grant. Returns true while responses are open.
bool RecallTokens(gateway& aGateway, const workspace_id& aWorkspace,
                  bool aIsUsedUp, absl::Time aNow);

// Records the response of a peer to a recall, whose tokens have been added.
void RecordRecallResponse(gateway& aGateway,
                          const token_response_received& aEvent,
                          absl::Time aNow);

// Returns the time from which on RecallTokens asks the other gateways again.
absl::Time FindNextRecallTime(const gateway& aGateway,
                              const workspace_tokens& aTokens);

// Returns the tokens that are not granted, for a request of aPriority, or free
// at this gateway or at others; absent if this is not known, as while a gateway
// does not respond.
std::optional<token_count> FindLeft(const gateway& aGateway,
                                    const workspace_tokens& aTokens,
                                    int aPriority, absl::Time aNow);

// Returns true if all other gateways have just returned what they do not need
// soon.
bool HasRecalledAll(const gateway& aGateway, const workspace_tokens& aTokens,
                    absl::Time aNow);

} // namespace foxtailquay

#endif
