// Reports between gateways on the prompts that they send to engines, which keep
// the load estimates of each gateway accurate.

#include <algorithm>

#include "gateway_state.h"

namespace foxtailquay {

namespace {

// Uncached tokens from which a prompt is large: its processing takes longer
// than the reports on it are under way, so that others can still avoid it.
constexpr token_count kLargePromptTokens = 2000;
// Time for which sent prompts are batched before they are reported to other
// gateways. For large ones it is shorter than their processing (30 ms and
// more). Small ones state mostly which parts an engine has cached.
constexpr absl::Duration kLargeReportDelay = absl::Milliseconds(15);
constexpr absl::Duration kSmallReportDelay = absl::Milliseconds(500);
// Largest number of prompts in one report, above what one gateway sends in
// kSmallReportDelay.
constexpr std::size_t kMaxReportedPrompts = 64;
// Largest numbers of gateways that a report is sent to, so that its cost does
// not grow with the fleet. The other gateways still receive the load that the
// engines state.
constexpr std::size_t kMaxLargeReportTargets = 24;
constexpr std::size_t kMaxSmallReportTargets = 8;
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
