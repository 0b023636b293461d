// Load of the gateway's own process: when it asks the load balancer for no new
// connections.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway_capacity.h"

namespace foxtailquay {

namespace {

// Fraction of a limit from which a measurement counts as high. Above it, queues
// of packets or events grow within a second if the load varies.
constexpr double kHighLoad = 0.8;
// Fraction below which a gateway takes new connections again. Far below
// kHighLoad, since the load returns with the connections.
constexpr double kRecoveredLoad = 0.5;
// Consecutive high measurements that start the shedding: a single one may be a
// burst of some hundred milliseconds.
constexpr int kOverloadMeasurements = 2;
// Time in which the load balancer notices: two readiness checks, one a second,
// and their delay.
constexpr absl::Duration kNoticeTime = absl::Milliseconds(2600);
// Shortest time of shedding: the load balancer's notice, and as long again for
// the open connections to end.
constexpr absl::Duration kMinSheddingTime = absl::Milliseconds(5200);

struct load_context
{
  const load_state& mState;
  absl::Time mNow;
};

bool EvaluateGuard(load_guard aGuard, const load_context& aContext)
{
  const load_state& state = aContext.mState;
  const absl::Duration shedding = aContext.mNow - state.mSheddingSince;
  switch (aGuard) {
    case load_guard::IsOverloaded:
      return state.mHighMeasurements >= kOverloadMeasurements;
    case load_guard::HasRecovered:
      return shedding >= kMinSheddingTime && state.mLoad < kRecoveredLoad;
    case load_guard::IsNoticed:
      return shedding >= kNoticeTime && !state.mIsClosing;
  }
  return false;
}

void RecordLoadDecision(gateway& aGateway, const load_measured& aEvent)
{
  RecordDecision(
    aGateway, decision::LoadChanged,
    { { "state", std::string(ToName(aGateway.mLoad.mStatus)) },
      { "delay", absl::StrCat(aEvent.mDelay) },
      { "link", absl::StrCat(aEvent.mLink) },
      { "connections", absl::StrCat(aEvent.mConnections) },
      { "open_requests", absl::StrCat(aGateway.mRequests.size()) } });
}

void PerformAction(gateway& aGateway, load_action aAction,
                   const load_measured& aEvent, absl::Time aNow)
{
  load_state& state = aGateway.mLoad;
  switch (aAction) {
    case load_action::StopAccepting:
      state.mSheddingSince = aNow;
      RecordLoadDecision(aGateway, aEvent);
      break;
    case load_action::CloseConnections:
      state.mIsClosing = true;
      aGateway.mActions.push_back(set_closing{ true });
      break;
    case load_action::Accept:
      state.mSheddingSince = absl::InfiniteFuture();
      state.mIsClosing = false;
      aGateway.mActions.push_back(set_closing{ false });
      RecordLoadDecision(aGateway, aEvent);
      break;
  }
}

} // namespace

void OnLoadMeasured(gateway& aGateway, const load_measured& aEvent,
                    absl::Time aNow)
{
  load_state& state = aGateway.mLoad;
  state.mLoad = std::max({ aEvent.mDelay, aEvent.mLink, aEvent.mConnections });
  state.mHighMeasurements =
    state.mLoad >= kHighLoad ? state.mHighMeasurements + 1 : 0;
  for (load_action action :
       Fire(aGateway.mCharts.mLoad, state.mStatus, load_event::Measured,
            load_context{ state, aNow }, &EvaluateGuard)) {
    PerformAction(aGateway, action, aEvent, aNow);
  }
}

bool IsShedding(const gateway& aGateway)
{
  return aGateway.mLoad.mStatus == load_status::Shedding;
}

} // namespace foxtailquay
