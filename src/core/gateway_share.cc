// Reports between gateways on the prompts that they send to engines, which keep
// the load estimates of each gateway accurate.

#include <algorithm>

#include "gateway_state.h"

namespace foxtailquay {

namespace {

// Returns the addresses of the gateways that receive reports: those that follow
// this one in the order of names, so that each gateway receives reports from
// equally many others.
std::vector<std::string> ListReportTargets(const gateway& aGateway,
                                           absl::Time aNow)
{
  const std::size_t limit =
    aGateway.mHasLargePrompt ? kMaxLargeReportTargets : kMaxSmallReportTargets;
  std::vector<std::string> targets;
  const auto start = aGateway.mPeers.upper_bound(aGateway.mSettings.mName);
  const auto add = [&](auto aFrom, auto aTo) {
    for (; aFrom != aTo && targets.size() < limit; ++aFrom) {
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

void RecordPrompt(gateway& aGateway, const backend_id& aBackend,
                  token_count aUncached, const routing_query& aQuery,
                  absl::Time aNow)
{
  if (aQuery.mKind != backend_kind::Engine || aGateway.mPeers.empty()) {
    return;
  }
  aGateway.mUnreportedPrompts.push_back(
    { aBackend, aUncached, aQuery.mPrefixes });
  const bool isFull = aGateway.mUnreportedPrompts.size() >= kMaxReportedPrompts;
  const bool isLarge = aUncached >= kLargePromptTokens;
  aGateway.mHasLargePrompt = aGateway.mHasLargePrompt || isLarge;
  const absl::Duration delay = isLarge ? kLargeReportDelay : kSmallReportDelay;
  aGateway.mReportAt =
    isFull ? aNow : std::min(aGateway.mReportAt, aNow + delay);
}

void OnPromptsReported(gateway& aGateway, const prompts_reported& aEvent,
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

void AdvancePromptReports(gateway& aGateway, absl::Time aNow)
{
  if (aNow < aGateway.mReportAt) {
    return;
  }
  aGateway.mReportAt = absl::InfiniteFuture();
  report_prompts action{ ListReportTargets(aGateway, aNow), {} };
  action.mPrompts.swap(aGateway.mUnreportedPrompts);
  aGateway.mHasLargePrompt = false;
  if (!action.mAddresses.empty()) {
    aGateway.mActions.push_back(std::move(action));
  }
}

} // namespace foxtailquay
