// Where prepaid tokens are, in the gateway simulation.

#include "gateway_sim/sim_parts.h"

#include <algorithm>

#include "core/gateway_placement.h"
#include "core/gateway_state.h"

namespace foxtailquay::gateway_sim {

namespace {

token_count FindUnspent(const fleet_sim& aSim, const workspace_id& aWorkspace)
{
  const auto spent = aSim.mSpent.find(aWorkspace);
  return aSim.mPrepaid.at(aWorkspace) -
         (spent == aSim.mSpent.end() ? 0 : spent->second);
}

token_count FindUngranted(const fleet_sim& aSim, const workspace_id& aWorkspace)
{
  const auto record = aSim.mStore.mGrants.find(aWorkspace);
  const token_count granted = record == aSim.mStore.mGrants.end()
                                ? 0
                                : ComputeTotal(record->second.mRecord);
  return std::max<token_count>(0, aSim.mPrepaid.at(aWorkspace) - granted);
}

const workspace_tokens* FindTokens(const sim_gateway& aGateway,
                                   const workspace_id& aWorkspace)
{
  if (!aGateway.mIsAlive) {
    return nullptr;
  }
  const auto& all = aGateway.mNode->mWorkspaceTokens;
  const auto found = all.find(aWorkspace);
  return found == all.end() ? nullptr : &found->second;
}

token_count CountFree(const workspace_tokens& aTokens)
{
  return aTokens.mShare.mFreeTokens + aTokens.mShare.mWithheldTokens;
}

} // namespace

refusal_cause FindRefusalCause(const fleet_sim& aSim, std::size_t aIndex,
                               const workspace_id& aWorkspace,
                               token_count aNeeded)
{
  const sim_gateway& refusing = aSim.mGateways[aIndex];
  token_count spare = 0;
  token_count reachable = 0;
  token_count away = 0;
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    const sim_gateway& each = aSim.mGateways[i];
    const workspace_tokens* const tokens = FindTokens(each, aWorkspace);
    if (tokens == nullptr) {
      continue;
    }
    const token_count free = CountFree(*tokens);
    if (i != aIndex && (refusing.mIsIsolated || each.mIsIsolated)) {
      away += free;
      continue;
    }
    const token_count soon =
      i == aIndex ? 0
                  : EstimateMean(tokens->mDemand, each.mNode->mTrafficSince,
                                 absl::Seconds(1), aSim.mNow);
    reachable += free;
    spare += std::max<token_count>(0, free - soon);
  }
  const token_count ungranted = FindUngranted(aSim, aWorkspace);
  const bool isStoreAway =
    refusing.mIsDisconnected || aSim.mStore.mMode == store_mode::Unresponsive;
  (isStoreAway ? away : spare) += ungranted;
  (isStoreAway ? away : reachable) += ungranted;
  if (FindUnspent(aSim, aWorkspace) < aNeeded) {
    return refusal_cause::UsedUp;
  }
  if (spare >= aNeeded) {
    return !isStoreAway && spare - ungranted < aNeeded
             ? refusal_cause::Ungranted
             : refusal_cause::Reachable;
  }
  if (reachable + away < aNeeded) {
    return refusal_cause::Lost;
  }
  return reachable >= aNeeded ? refusal_cause::NeededSoon
                              : refusal_cause::Unreachable;
}

token_census CountTokens(const fleet_sim& aSim)
{
  token_census census;
  for (const auto& [workspace, prepaid] : aSim.mPrepaid) {
    census.mPrepaid += prepaid;
    census.mUnspent += FindUnspent(aSim, workspace);
    census.mUngranted += FindUngranted(aSim, workspace);
    for (const sim_gateway& each : aSim.mGateways) {
      const workspace_tokens* const tokens = FindTokens(each, workspace);
      census.mFree += tokens == nullptr ? 0 : CountFree(*tokens);
    }
  }
  census.mLost = census.mUnspent - census.mUngranted - census.mFree;
  return census;
}

} // namespace foxtailquay::gateway_sim
