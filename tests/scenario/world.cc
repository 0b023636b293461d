#include "world.h"

#include "absl/strings/str_cat.h"
#include "fake_store.h"
#include "sim_caller.h"
#include "sim_network.h"
#include "sim_process.h"
#include "sim_stream.h"

namespace foxtailquay::scenario {

namespace {

// Start of the virtual clock. The core must not depend on its value.
constexpr std::int64_t kEpochSeconds = 1'800'000'000;

// Events that are discarded without further effect when their process is down.
template<typename Body>
void OnTargetDown(world&, const process_ref&, const Body&)
{}

// Events that wait in a paused process without further effect.
template<typename Body>
void OnTargetPaused(world&, const process_ref&, const Body&)
{}

// Passes an event to its target. An event for a process that is down goes to
// OnTargetDown; one for a paused process goes to OnTargetPaused and waits in
// its inbox.
void ProcessEvent(world& aWorld, sim_event aEvent)
{
  const process_ref target = aEvent.mTarget;
  if (!target.mName.empty()) {
    sim_process& process = aWorld.mProcesses.at(target.mName);
    const bool isGone =
      process.mStatus == process_status::Down ||
      (target.mGeneration != 0 && target.mGeneration != process.mGeneration);
    if (isGone) {
      std::visit(
        [&](const auto& aBody) { OnTargetDown(aWorld, target, aBody); },
        aEvent.mBody);
      return;
    }
    if (process.mStatus == process_status::Paused) {
      std::visit(
        [&](const auto& aBody) { OnTargetPaused(aWorld, target, aBody); },
        aEvent.mBody);
      process.mInbox.push_back(std::move(aEvent));
      return;
    }
    aWorld.mObserver.mChangedProcesses.insert(target.mName);
  }
  std::visit([&](const auto& aBody) { OnEvent(aWorld, target, aBody); },
             aEvent.mBody);
}

} // namespace

world::world(const sim_charts& aCharts, std::uint64_t aSeed)
  : mCharts(aCharts)
  , mRandom(aSeed)
  , mNow(absl::FromUnixSeconds(kEpochSeconds))
{}

bool HasFault(const world& aWorld, injected_fault aFault)
{
  return aWorld.mFaults.count(aFault) != 0;
}

void Schedule(world& aWorld, absl::Time aAt, sim_event aEvent)
{
  aWorld.mQueue.emplace(
    std::make_pair(std::max(aAt, aWorld.mNow), ++aWorld.mLastSequenceNumber),
    std::move(aEvent));
}

void RunUntil(world& aWorld, absl::Time aUntil)
{
  while (!aWorld.mQueue.empty() && aWorld.mObserver.mViolations.empty()) {
    const auto next = aWorld.mQueue.begin();
    if (next->first.first > aUntil) {
      break;
    }
    if (next->first.first > aWorld.mNow) {
      CheckInstant(aWorld);
      aWorld.mNow = next->first.first;
    }
    sim_event event = std::move(next->second);
    aWorld.mQueue.erase(next);
    ProcessEvent(aWorld, std::move(event));
  }
  CheckInstant(aWorld);
  if (aWorld.mObserver.mViolations.empty()) {
    aWorld.mNow = std::max(aWorld.mNow, aUntil);
  }
}

void Trace(world& aWorld, const std::string& aText)
{
  if (aWorld.mIsTracing) {
    aWorld.mTrace.push_back(absl::StrCat(
      absl::FormatTime("%M:%E6S", aWorld.mNow, absl::UTCTimeZone()), " ",
      aText));
  }
}

} // namespace foxtailquay::scenario
