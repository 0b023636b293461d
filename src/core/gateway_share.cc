// Reports between gateways on the prompts that they send to engines, which keep
// the load estimates of each gateway accurate.

#include <algorithm>

#include "gateway_capacity.h"

namespace foxtailquay {

namespace {

// Uncached tokens from which a prompt is large: its processing takes longer
// than the reports on it are under way, so that others can still avoid it.
constexpr token_count kLargePromptTokens = 2000;
// Time for which small prompts are batched before they are reported. They state
// mostly which parts an engine has cached.
constexpr absl::Duration kSmallReportDelay = absl::Milliseconds(500);
// Largest number of prompts in one report, above what one gateway sends in
// kSmallReportDelay.
constexpr std::size_t kMaxReportedPrompts = 64;

// Returns the addresses of the gateways that receive reports: those that follow
// this one in the order of names, so that each gateway receives reports from
// equally many others. aCount: their largest number.
std::vector<std::string> ListReportTargets(const gateway& aGateway,
                                           std::size_t aCount, absl::Time aNow)
{
  std::vector<std::string> targets;
  const auto start = aGateway.mPeers.upper_bound(aGateway.mSettings.mName);
  const auto add = [&](auto aFrom, auto aTo) {
    for (; aFrom != aTo && targets.size() < aCount; ++aFrom) {
      if (aNow >= aFrom->second.mSuspectUntil) {
        targets.push_back(aFrom->second.mPeer.mAddress);
      }
    }
  };
  add(start, aGateway.mPeers.end());
  add(aGateway.mPeers.begin(), start);
  return targets;
}

// States in the prompts what this gateway holds at each engine, and adds
// entries for the engines of which only that has changed.
void AddHoldings(gateway& aGateway, std::vector<sent_prompt>& aPrompts,
                 absl::Time aNow)
{
  std::set<backend_id> changed;
  changed.swap(aGateway.mChangedHoldings);
  for (const sent_prompt& prompt : aPrompts) {
    changed.erase(prompt.mBackend);
  }
  for (const backend_id& backend : changed) {
    aPrompts.push_back({ backend, 0, {}, std::nullopt });
  }
  for (sent_prompt& prompt : aPrompts) {
    const auto view = aGateway.mViews.find(prompt.mBackend);
    if (view != aGateway.mViews.end() && view->second.mMemory.mCapacity > 0) {
      prompt.mHeldTokens = view->second.mMemory.mOwnTokens;
      view->second.mMemory.mReportedAt = aNow;
    }
  }
}

// Returns an entry without a prompt for each engine of which the prompts state
// what is held.
std::vector<sent_prompt> ListHoldings(const std::vector<sent_prompt>& aPrompts)
{
  std::map<backend_id, token_count> held;
  for (const sent_prompt& prompt : aPrompts) {
    if (prompt.mHeldTokens) {
      held[prompt.mBackend] = *prompt.mHeldTokens;
    }
  }
  std::vector<sent_prompt> holdings;
  holdings.reserve(held.size());
  for (const auto& [backend, tokens] : held) {
    holdings.push_back({ backend, 0, {}, tokens });
  }
  return holdings;
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
    { aBackend, aUncached, aQuery.mPrefixes, std::nullopt });
  const bool isFull = aGateway.mUnreportedPrompts.size() >= kMaxReportedPrompts;
  const bool isLarge = aUncached >= kLargePromptTokens;
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
      if (prompt.mHeldTokens && !aEvent.mGateway.empty()) {
        RecordPeerHolding(view->second.mMemory, aEvent.mGateway,
                          *prompt.mHeldTokens, aNow);
      }
    }
  }
}

void AdvancePromptReports(gateway& aGateway, absl::Time aNow)
{
  if (aNow < aGateway.mReportAt) {
    return;
  }
  aGateway.mReportAt = absl::InfiniteFuture();
  report_prompts action{ ListReportTargets(aGateway, kMaxReportTargets, aNow),
                         {},
                         aGateway.mSettings.mName };
  action.mPrompts.swap(aGateway.mUnreportedPrompts);
  AddHoldings(aGateway, action.mPrompts, aNow);
  report_prompts rest;
  rest.mGateway = action.mGateway;
  if (aGateway.mIsReportUrgent) {
    aGateway.mIsReportUrgent = false;
    rest.mAddresses = ListReportTargets(aGateway, aGateway.mPeers.size(), aNow);
    rest.mAddresses.erase(
      rest.mAddresses.begin(),
      rest.mAddresses.begin() +
        static_cast<std::ptrdiff_t>(action.mAddresses.size()));
    rest.mPrompts = ListHoldings(action.mPrompts);
  }
  for (report_prompts* each : { &action, &rest }) {
    if (!each->mAddresses.empty()) {
      aGateway.mActions.push_back(std::move(*each));
    }
  }
}

} // namespace foxtailquay
