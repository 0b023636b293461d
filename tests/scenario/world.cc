#include "world.h"

#include "absl/strings/str_cat.h"
#include "fake_store.h"
#include "sim_caller.h"
#include "sim_network.h"
#include "sim_process.h"
#include "sim_stream.h"

namespace foxtailquay::scenario {

namespace {

// Any fixed point in time; the core must not depend on it.
constexpr std::int64_t kEpochSeconds = 1'800'000'000;

// Events that need no more than to be dropped when their process is gone.
template<typename Body>
void Lose(world&, const process_ref&, const Body&)
{}

// Events that may wait in a paused process without further effect.
template<typename Body>
void Stall(world&, const process_ref&, const Body&)
{}

void Process(world& aWorld, sim_event aEvent)
{
  const process_ref target = aEvent.mTarget;
  if (!target.mName.empty()) {
    sim_process& process = aWorld.mProcesses.at(target.mName);
    const bool gone =
      process.mStatus == process_status::Down ||
      (target.mGeneration != 0 && target.mGeneration != process.mGeneration);
    if (gone) {
      std::visit([&](const auto& aBody) { Lose(aWorld, target, aBody); },
                 aEvent.mBody);
      return;
    }
    if (process.mStatus == process_status::Paused) {
      std::visit([&](const auto& aBody) { Stall(aWorld, target, aBody); },
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
    std::make_pair(std::max(aAt, aWorld.mNow), ++aWorld.mOrder),
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
    Process(aWorld, std::move(event));
  }
  CheckInstant(aWorld);
  if (aWorld.mObserver.mViolations.empty()) {
    aWorld.mNow = std::max(aWorld.mNow, aUntil);
  }
}

void Trace(world& aWorld, const std::string& aText)
{
  if (aWorld.mTracing) {
    aWorld.mTrace.push_back(absl::StrCat(
      absl::FormatTime("%M:%E6S", aWorld.mNow, absl::UTCTimeZone()), " ",
      aText));
  }
}

} // namespace foxtailquay::scenario
