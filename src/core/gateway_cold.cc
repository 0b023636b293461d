#include "gateway_cold.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_directory.h"
#include "gateway_statements.h"

namespace foxtailquay {

namespace {

// Returns the terms of the server's service; empty ones if there are none.
cold_terms GetTerms(const gateway& aGateway, const backend_id& aBackend)
{
  const auto listing = aGateway.mListings.find(aBackend);
  const traffic_service* service =
    aGateway.mTable && listing != aGateway.mListings.end()
      ? FindService(*aGateway.mTable, listing->second.mEntry.mService)
      : nullptr;
  return service == nullptr
           ? cold_terms{}
           : cold_terms{ service->mColdTime, service->mColdRate };
}

// Returns the share of this gateway in a cold server, as in cold_state.
absl::Duration ComputeInterval(const gateway& aGateway,
                               const backend_id& aBackend,
                               const cold_terms& aTerms)
{
  if (aTerms.mRate <= 0) {
    return absl::ZeroDuration();
  }
  const cold_share share =
    ComputeColdShare(aTerms.mRate, *aGateway.mSettings.mColdBounds,
                     CountListedGateways(aGateway));
  std::vector<std::string_view> peers;
  peers.reserve(aGateway.mPeers.size());
  for (const auto& peer : aGateway.mPeers) {
    peers.emplace_back(peer.first);
  }
  return IsColdUser(aBackend.mValue, aGateway.mSettings.mName, peers,
                    share.mUsers)
           ? share.mInterval
           : absl::InfiniteDuration();
}

// Returns the last time at which this gateway sent a request to the server, as
// far as is remembered.
absl::Time FindLastRunTime(const backend_view& aView)
{
  const auto last =
    std::find_if(aView.mLocalChanges.rbegin(), aView.mLocalChanges.rend(),
                 [](const local_change& aEach) { return aEach.mDelta > 0; });
  return last == aView.mLocalChanges.rend() ? absl::InfinitePast() : last->mAt;
}

cold_context MakeContext(gateway& aGateway, const backend_id& aBackend,
                         const backend_view& aView, absl::Time aNow)
{
  const cold_terms terms = GetTerms(aGateway, aBackend);
  std::uniform_real_distribution<double> fraction(0, 1);
  return { aGateway.mCharts.mCold,
           terms.mColdTime,
           ComputeInterval(aGateway, aBackend, terms),
           FindLastRunTime(aView),
           fraction(aGateway.mRandom),
           aNow };
}

std::string ToMilliseconds(absl::Duration aTime)
{
  return aTime == absl::InfiniteDuration()
           ? std::string("unknown")
           : absl::StrCat(absl::ToInt64Milliseconds(aTime));
}

// Applies the event and records a change of the state.
void Fire(gateway& aGateway, const backend_id& aBackend, backend_view& aView,
          cold_event aEvent, const cold_input& aInput, absl::Time aNow)
{
  cold_state& state = aView.mCold;
  // Most responses come from warm servers and tell nothing new.
  const bool isStart = state.mStatus == cold_status::Warm &&
                       aEvent != cold_event::StatedWarm &&
                       aEvent != cold_event::Responded;
  const cold_context context = isStart ||
                                   aEvent == cold_event::MayHaveStarted ||
                                   state.mStatus == cold_status::Unreachable
                                 ? MakeContext(aGateway, aBackend, aView, aNow)
                                 : cold_context{ aGateway.mCharts.mCold,
                                                 absl::ZeroDuration(),
                                                 state.mInterval,
                                                 absl::InfinitePast(),
                                                 0,
                                                 aNow };
  const server_counts before = CountServer(aView);
  if (!FireCold(state, aEvent, aInput, context)) {
    return;
  }
  ReplaceCounts(aGateway.mServerCounts, before, CountServer(aView));
  RecordDecision(
    aGateway, decision::ServerColdChanged,
    { { "backend", aBackend.mValue },
      { "state", std::string(ToName(state.mStatus)) },
      { "cause", std::string(ToName(aEvent)) },
      { "left_ms",
        ToMilliseconds(std::max(absl::ZeroDuration(), state.mEnd - aNow)) },
      { "interval_ms", state.mInterval == absl::InfiniteDuration()
                         ? std::string("not_used")
                         : ToMilliseconds(state.mInterval) },
      { "gateways", absl::StrCat(CountListedGateways(aGateway)) } });
}

// Returns true if cold servers of the service have a limit.
bool IsInForce(const gateway& aGateway, const backend_id& aBackend)
{
  return aGateway.mSettings.mColdBounds &&
         GetTerms(aGateway, aBackend).mRate > 0;
}

} // namespace

void RecordColdEntry(gateway& aGateway, const backend_id& aBackend,
                     bool aIsNewIncarnation, absl::Time aNow)
{
  if (!aGateway.mSettings.mColdBounds) {
    return;
  }
  backend_view& view = aGateway.mViews[aBackend];
  const std::optional<absl::Duration> left =
    aGateway.mListings[aBackend].mEntry.mColdLeft;
  if (!left) {
    if (aIsNewIncarnation) {
      Fire(aGateway, aBackend, view, cold_event::MayHaveStarted, { aNow },
           aNow);
    }
    return;
  }
  if (*left > absl::ZeroDuration()) {
    // The entry may be older than it seems; the state then lasts too long.
    Fire(aGateway, aBackend, view, cold_event::StatedCold, { aNow, *left },
         aNow);
    return;
  }
  const watched_area& area =
    aGateway.mAreas[static_cast<std::size_t>(directory_area::Backends)];
  const absl::Time writtenAfter =
    area.mIsFirstRead ? absl::InfinitePast() : area.mKnownAt;
  Fire(aGateway, aBackend, view, cold_event::StatedWarm,
       { writtenAfter - kColdEntryLag }, aNow);
}

void RecordColdStatement(gateway& aGateway, const forwarded_request& aRequest,
                         const server_statement& aStatement, absl::Time aNow)
{
  backend_view* view = aGateway.mSettings.mColdBounds
                         ? FindAttemptView(aGateway, aRequest)
                         : nullptr;
  if (view == nullptr) {
    return;
  }
  cold_event event = cold_event::Responded;
  if (aStatement.mColdLeft) {
    event = *aStatement.mColdLeft > absl::ZeroDuration()
              ? cold_event::StatedCold
              : cold_event::StatedWarm;
  }
  Fire(aGateway, aRequest.mBackend, *view, event,
       { aRequest.mDispatchedAt,
         aStatement.mColdLeft.value_or(absl::ZeroDuration()) },
       aNow);
}

void RecordConnectionLoss(gateway& aGateway, const forwarded_request& aRequest,
                          absl::Time aNow)
{
  backend_view* view = IsInForce(aGateway, aRequest.mBackend)
                         ? FindAttemptView(aGateway, aRequest)
                         : nullptr;
  if (view != nullptr) {
    Fire(aGateway, aRequest.mBackend, *view, cold_event::ConnectionLost,
         { aNow }, aNow);
  }
}

void OnColdProbe(gateway& aGateway, const server_probed& aEvent,
                 absl::Time aNow)
{
  const auto listing = aGateway.mListings.find(aEvent.mBackend);
  const auto view = aGateway.mViews.find(aEvent.mBackend);
  if (aEvent.mIsConnected && listing != aGateway.mListings.end() &&
      view != aGateway.mViews.end() &&
      listing->second.mEntry.mStartedMs == aEvent.mStartedMs) {
    Fire(aGateway, aEvent.mBackend, view->second, cold_event::Responded,
         { view->second.mCold.mProbedAt }, aNow);
  }
}

void RecordZoneReturn(gateway& aGateway, const zone_id& aZone, absl::Time aNow)
{
  for (auto& [id, view] : aGateway.mViews) {
    if (view.mConfig.mZone == aZone && IsInForce(aGateway, id)) {
      Fire(aGateway, id, view, cold_event::MayHaveStarted, { aNow }, aNow);
    }
  }
}

void UpdateColdShares(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mSettings.mColdBounds) {
    return;
  }
  for (auto& [id, view] : aGateway.mViews) {
    if (view.mCold.mStatus != cold_status::Warm) {
      SetColdInterval(view.mCold, MakeContext(aGateway, id, view, aNow));
    }
  }
}

void AdvanceColdServers(gateway& aGateway, absl::Time aNow)
{
  if (!aGateway.mSettings.mColdBounds) {
    return;
  }
  // Peers may have expired.
  UpdateColdShares(aGateway, aNow);
  for (auto& [id, view] : aGateway.mViews) {
    cold_state& state = view.mCold;
    if (state.mStatus == cold_status::Cold) {
      Fire(aGateway, id, view, cold_event::TimePassed, {}, aNow);
    }
    if (aNow >= state.mProbeAt) {
      state.mProbeAt = aNow + kColdProbeInterval;
      state.mProbedAt = aNow;
      aGateway.mActions.push_back(probe_server{
        id, view.mAddress, aGateway.mListings[id].mEntry.mStartedMs });
    }
  }
}

} // namespace foxtailquay
