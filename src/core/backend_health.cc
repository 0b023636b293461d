#include "backend_health.h"

#include <algorithm>

#include "routing.h"

namespace foxtailquay {

namespace {

struct health_context
{
  const backend_view& mView;
  const routing_options& mOptions;
};

bool EvaluateGuard(backend_guard aGuard, const health_context& aContext)
{
  switch (aGuard) {
    case backend_guard::FailuresReached:
      return aContext.mView.mFailures + 1 >=
             aContext.mOptions.mEjectAfterFailures;
    case backend_guard::ProbeComplete:
      return aContext.mView.mSuccessfulProbes + 1 >=
             aContext.mOptions.mProbeSuccesses;
  }
  return false;
}

// Returns the duration of the next ejection after aEjections consecutive ones.
absl::Duration ComputeEjectionTime(int aEjections,
                                   const routing_options& aOptions)
{
  absl::Duration time = aOptions.mEjectionTime;
  for (int i = 0; i < aEjections && time < aOptions.mMaxEjectionTime; ++i) {
    time *= 2;
  }
  return std::min(time, aOptions.mMaxEjectionTime);
}

void PerformAction(backend_view& aView, backend_action aAction,
                   const routing_options& aOptions, absl::Time aNow)
{
  switch (aAction) {
    case backend_action::CountFailure:
      ++aView.mFailures;
      break;
    case backend_action::ClearFailures:
      aView.mFailures = 0;
      break;
    case backend_action::Eject:
      aView.mEjectedUntil =
        aNow + ComputeEjectionTime(aView.mEjections, aOptions);
      ++aView.mEjections;
      aView.mFailures = 0;
      break;
    case backend_action::ClearEjections:
      aView.mEjections = 0;
      break;
    case backend_action::StartProbe:
      aView.mSuccessfulProbes = 0;
      aView.mEjectedUntil = absl::InfinitePast();
      break;
    case backend_action::CountProbe:
      ++aView.mSuccessfulProbes;
      break;
  }
}

} // namespace

void FireHealth(backend_view& aView, backend_event aEvent,
                const backend_chart* aChart, const routing_options& aOptions,
                absl::Time aNow)
{
  if (aChart == nullptr) {
    return;
  }
  const health_context context{ aView, aOptions };
  for (backend_action action :
       Fire(*aChart, aView.mStatus, aEvent, context, &EvaluateGuard)) {
    PerformAction(aView, action, aOptions, aNow);
  }
}

void AdvanceHealth(backend_view& aView, const backend_chart* aChart,
                   const routing_options& aOptions, absl::Time aNow)
{
  if (aView.mStatus == backend_status::Ejected && aView.mEjectedUntil <= aNow) {
    FireHealth(aView, backend_event::EjectionOver, aChart, aOptions, aNow);
  }
}

int GetConcurrencyLimit(const backend_view& aView, absl::Time aNow)
{
  if (aView.mEjectedUntil > aNow) {
    return 0;
  }
  switch (aView.mStatus) {
    case backend_status::Healthy:
    case backend_status::Suspect:
      return aView.mConfig.mMaxConcurrency;
    case backend_status::Ejected:
      // The ejection time has passed but EjectionOver has not been fired yet.
      return 1;
    case backend_status::Probing:
      return std::min(aView.mConfig.mMaxConcurrency,
                      1 + aView.mSuccessfulProbes);
    case backend_status::Leaving:
    case backend_status::Gone:
      return 0;
  }
  return 0;
}

} // namespace foxtailquay
