// What the observer concludes from the processes: the configuration in force,
// who can reach whom, and whether the fleet is at rest.

#include "absl/strings/str_cat.h"
#include "observer.h"
#include "sim_network.h"
#include "sim_process.h"
#include "world.h"

namespace foxtailquay::scenario {

namespace {

// Time that a reachable process has to take over a new configuration.
constexpr absl::Duration kReachLimit = absl::Seconds(5);
// The checks of reachability are done at this interval.
constexpr absl::Duration kReachInterval = absl::Milliseconds(250);
// A message loss above this makes a process count as not reachable.
constexpr int kMaxLossPermille = 50;

void CheckVersion(world& aWorld, const std::string& aName)
{
  const sim_process& process = aWorld.mProcesses.at(aName);
  if (process.mStatus == process_status::Down) {
    return;
  }
  const config_version version = GetVersion(process);
  const std::string own = absl::StrCat(aName, "#", process.mGeneration);
  std::vector<std::string> scopes{ own };
  // A process that is not ready yet has no version in force.
  if (IsReady(process)) {
    scopes.push_back(aName);
  }
  for (const std::string& scope : scopes) {
    config_version& highest = aWorld.mObserver.mHighest[scope];
    if (version < highest) {
      Report(aWorld, check_kind::ConfigNeverReverts,
             absl::StrCat(aName, " goes from configuration version ", highest,
                          " to ", version));
    }
    highest = std::max(highest, version);
  }
}

bool StoreAnswers(const fake_store& aStore)
{
  return aStore.mMode == store_mode::Up && aStore.mLosesResponses == 0 &&
         aStore.mDelay < kStoreTimeout / 2;
}

bool Connected(const world& aWorld, const std::string& aLeft,
               const std::string& aRight)
{
  return !IsCut(aWorld, aLeft, aRight) && !IsCut(aWorld, aRight, aLeft);
}

// Everyone who is connected, directly or through others, to the store or to a
// process with the newest version.
std::set<std::string> Reachable(const world& aWorld, config_version aNewest)
{
  std::vector<std::string> open;
  std::set<std::string> waiting;
  if (StoreAnswers(aWorld.mStore)) {
    open.emplace_back(kStoreName);
  }
  for (const auto& [name, process] : aWorld.mProcesses) {
    if (process.mStatus != process_status::Running) {
      continue;
    }
    if (GetVersion(process) >= aNewest) {
      open.push_back(name);
    } else if (IsReady(process)) {
      // A process that has not joined yet has no version in force; a process
      // that is stopping takes no new requests.
      waiting.insert(name);
    }
  }
  std::set<std::string> reached;
  while (!open.empty()) {
    const std::string from = open.back();
    open.pop_back();
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (Connected(aWorld, from, *it)) {
        open.push_back(*it);
        reached.insert(*it);
        it = waiting.erase(it);
      } else {
        ++it;
      }
    }
  }
  return reached;
}

void CheckReach(world& aWorld)
{
  observer_state& observer = aWorld.mObserver;
  observer.mNextReachCheck = aWorld.mNow + kReachInterval;
  if (observer.mConfigs.empty()) {
    return;
  }
  const config_version newest = observer.mConfigs.rbegin()->first;
  std::set<std::string> reachable = Reachable(aWorld, newest);
  if (aWorld.mNetwork.mLossPermille > kMaxLossPermille) {
    reachable.clear();
  }
  for (auto it = observer.mBehindSince.begin();
       it != observer.mBehindSince.end();) {
    it = reachable.count(it->first) == 0 ? observer.mBehindSince.erase(it)
                                         : std::next(it);
  }
  for (const std::string& name : reachable) {
    const absl::Time since =
      observer.mBehindSince.emplace(name, aWorld.mNow).first->second;
    if (aWorld.mNow - since > kReachLimit) {
      Report(aWorld, check_kind::ConfigReachesAll,
             absl::StrCat(name, " has had no configuration version ", newest,
                          " for ", absl::FormatDuration(aWorld.mNow - since)));
    }
  }
}

std::string OpenWorkOf(const std::string& aName, const sim_process& aProcess)
{
  if (aProcess.mRouter) {
    const router_dump dump = Dump(*aProcess.mRouter);
    if (!dump.mRequests.empty() || dump.mPendingStoreOps != 0) {
      std::string text =
        absl::StrCat(aName, " has ", dump.mRequests.size(), " requests and ",
                     dump.mPendingStoreOps, " store operations, shares:");
      for (const share_dump& share : dump.mShares) {
        absl::StrAppend(&text, " ", ToString(share.mShare), " ", share.mStatus,
                        " granted ", share.mGranted, " spent ", share.mSpent,
                        " reserved ", share.mReserved);
      }
      return text + "; ";
    }
  }
  if (aProcess.mAgent) {
    const agent_dump dump = Dump(*aProcess.mAgent);
    if (!dump.mRuns.empty() || dump.mRecords != 0) {
      return absl::StrCat(aName, " has ", dump.mRuns.size(), " runs and ",
                          dump.mRecords, " usage records; ");
    }
  }
  return "";
}

} // namespace

void CheckInstant(world& aWorld)
{
  std::set<std::string> touched;
  touched.swap(aWorld.mObserver.mTouched);
  for (const std::string& name : touched) {
    CheckVersion(aWorld, name);
  }
  if (aWorld.mNow >= aWorld.mObserver.mNextReachCheck) {
    CheckReach(aWorld);
  }
}

void ObserveTopology(world& aWorld)
{
  CheckReach(aWorld);
}

std::string OpenWork(const world& aWorld)
{
  std::string open;
  for (const sim_request& request : aWorld.mRequests) {
    if (request.mOutcome == request_outcome::Pending) {
      absl::StrAppend(&open, "request ", request.mName, "; ");
    }
  }
  for (const sim_stream& stream : aWorld.mStreams) {
    if (stream.mStatus != run_status::Ended && IsAlive(aWorld, stream.mAgent)) {
      absl::StrAppend(&open, "run ", ToString(stream.mRun.mRequest), "; ");
    }
  }
  for (const auto& [name, process] : aWorld.mProcesses) {
    open += OpenWorkOf(name, process);
  }
  return open;
}

bool IsQuiet(const world& aWorld)
{
  return OpenWork(aWorld).empty();
}

} // namespace foxtailquay::scenario
