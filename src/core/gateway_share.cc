// Reports between gateways on the prompts that they send to engines, which keep
// the load estimates of each gateway accurate.

#include <algorithm>

#include "gateway_capacity.h"
#include "gateway_directory.h"

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

// Returns the addresses of the gateways that receive reports. aCount: their
// largest number.
std::vector<std::string> ListReportTargets(const gateway& aGateway,
                                           std::size_t aCount, absl::Time aNow)
{
  std::vector<std::string> targets;
  for (const listed_peer* peer : ListNextPeers(aGateway, aCount, aNow)) {
    targets.push_back(peer->second.mPeer.mAddress);
  }
  return targets;
}

// States what this gateway holds at each engine with a changed holding: with
// one of the prompts sent there, otherwise in an entry of its own.
void AddHoldings(gateway& aGateway, std::vector<sent_prompt>& aPrompts,
                 absl::Time aNow)
{
  std::set<backend_id> changed;
  changed.swap(aGateway.mChangedHoldings);
  for (sent_prompt& prompt : aPrompts) {
    if (changed.erase(prompt.mBackend) > 0) {
      AddHolding(aGateway, prompt, aNow);
    }
  }
  for (const backend_id& backend : changed) {
    aPrompts.push_back({ backend, 0, {} });
    AddHolding(aGateway, aPrompts.back(), aNow);
  }
}

// Returns an entry without a prompt for each engine of which the prompts state
// what is held.
std::vector<sent_prompt> ListHoldings(const std::vector<sent_prompt>& aPrompts)
{
  std::vector<sent_prompt> holdings;
  for (const sent_prompt& prompt : aPrompts) {
    if (prompt.mHeldTokens) {
      holdings.push_back(
        { prompt.mBackend, 0, {}, prompt.mHeldTokens, prompt.mIsTight });
    }
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
    { aBackend, aUncached, aQuery.mPrefixes });
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
      if (!aEvent.mGateway.empty()) {
        RecordPeerStatement(aGateway, aEvent.mGateway, prompt, view->second,
                            aNow);
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
  rest.mPrompts = ListHoldings(action.mPrompts);
  if (!rest.mPrompts.empty()) {
    // All gateways must know what is held at a tight engine.
    rest.mAddresses = ListReportTargets(aGateway, aGateway.mPeers.size(), aNow);
    rest.mAddresses.erase(
      rest.mAddresses.begin(),
      rest.mAddresses.begin() +
        static_cast<std::ptrdiff_t>(action.mAddresses.size()));
  }
  for (report_prompts* each : { &action, &rest }) {
    if (!each->mAddresses.empty()) {
      aGateway.mActions.push_back(std::move(*each));
    }
  }
}

} // namespace foxtailquay
