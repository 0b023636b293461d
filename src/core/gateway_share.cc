#include <algorithm>

#include "gateway_state.h"

namespace foxtailquay {

namespace {

// The gateways that are told: those next after this one by name, so that each
// is told by equally many.
std::vector<std::string> ShareTargets(const gateway& aGateway, absl::Time aNow)
{
  std::vector<std::string> targets;
  const auto start = aGateway.mPeers.upper_bound(aGateway.mSettings.mName);
  const auto add = [&](auto aFrom, auto aTo) {
    for (; aFrom != aTo && targets.size() < kMaxShareTargets; ++aFrom) {
      if (aNow >= aFrom->second.mSuspectUntil) {
        targets.push_back(aFrom->second.mPeer.mAddress);
      }
    }
  };
  add(start, aGateway.mPeers.end());
  add(aGateway.mPeers.begin(), start);
  return targets;
}

} // namespace

void NotePrompt(gateway& aGateway, const backend_id& aBackend,
                token_count aUncached, const routing_query& aQuery,
                absl::Time aNow)
{
  if (aQuery.mKind != backend_kind::Engine || aGateway.mPeers.empty()) {
    return;
  }
  aGateway.mUnshared.push_back({ aBackend, aUncached, aQuery.mPrefixes });
  const bool isFull = aGateway.mUnshared.size() >= kMaxSharedPrompts;
  aGateway.mShareAt =
    isFull ? aNow : std::min(aGateway.mShareAt, aNow + kShareDelay);
}

void OnPromptsShared(gateway& aGateway, const prompts_reported& aEvent,
                     absl::Time aNow)
{
  for (const sent_prompt& prompt : aEvent.mPrompts) {
    auto view = aGateway.mViews.find(prompt.mBackend);
    if (view != aGateway.mViews.end()) {
      RecordRemotePrompt(view->second, prompt.mTokens, prompt.mPrefixes,
                         aGateway.mRouting, aNow);
    }
  }
}

void TickSharing(gateway& aGateway, absl::Time aNow)
{
  if (aNow < aGateway.mShareAt) {
    return;
  }
  aGateway.mShareAt = absl::InfiniteFuture();
  report_prompts action{ ShareTargets(aGateway, aNow), {} };
  action.mPrompts.swap(aGateway.mUnshared);
  if (!action.mAddresses.empty()) {
    aGateway.mActions.push_back(std::move(action));
  }
}

} // namespace foxtailquay
