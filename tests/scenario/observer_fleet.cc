// Checks of the observer on the state of the processes: the configuration
// version in use, which processes can be reached, and whether the fleet is
// idle.

#include "absl/strings/str_cat.h"
#include "observer.h"
#include "sim_network.h"
#include "sim_process.h"
#include "world.h"

namespace foxtailquay::scenario {

namespace {

// Maximum time in which a reachable process must adopt a new configuration.
constexpr absl::Duration kMaxConfigDelay = absl::Seconds(5);
// Interval of the reachability checks.
constexpr absl::Duration kReachabilityInterval = absl::Milliseconds(250);
// Message loss in 1/1000 above which no process is considered reachable.
constexpr int kMaxLossPermille = 50;

void CheckVersion(world& aWorld, const std::string& aName)
{
  const sim_process& process = aWorld.mProcesses.at(aName);
  if (process.mStatus == process_status::Down) {
    return;
  }
  const config_version version = GetConfigVersion(process);
  const std::string own = absl::StrCat(aName, "#", process.mGeneration);
  std::vector<std::string> scopes{ own };
  // A process that is not ready yet does not use its version for requests.
  if (IsReady(process)) {
    scopes.push_back(aName);
  }
  for (const std::string& scope : scopes) {
    config_version& highest = aWorld.mObserver.mHighestConfigVersion[scope];
    if (version < highest) {
      RecordViolation(aWorld, check_kind::ConfigNeverReverts,
                      absl::StrCat(aName, " went from configuration version ",
                                   highest, " to ", version));
    }
    highest = std::max(highest, version);
  }
}

bool IsStoreResponsive(const fake_store& aStore)
{
  return aStore.mMode == store_mode::Up && aStore.mResponsesToLose == 0 &&
         aStore.mDelay < kStoreTimeout / 2;
}

bool AreConnected(const world& aWorld, const std::string& aLeft,
                  const std::string& aRight)
{
  return !IsCut(aWorld, aLeft, aRight) && !IsCut(aWorld, aRight, aLeft);
}

// Returns the ready processes without the newest version that are connected,
// directly or through others, to the store or to a process that has it.
std::set<std::string> ListReachable(const world& aWorld, config_version aNewest)
{
  std::vector<std::string> open;
  std::set<std::string> waiting;
  if (IsStoreResponsive(aWorld.mStore)) {
    open.emplace_back(kStoreName);
  }
  for (const auto& [name, process] : aWorld.mProcesses) {
    if (process.mStatus != process_status::Running) {
      continue;
    }
    if (GetConfigVersion(process) >= aNewest) {
      open.push_back(name);
    } else if (IsReady(process)) {
      // A process that has not joined yet uses no version for requests; a
      // process that is stopping accepts no new requests.
      waiting.insert(name);
    }
  }
  std::set<std::string> reached;
  while (!open.empty()) {
    const std::string from = open.back();
    open.pop_back();
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (AreConnected(aWorld, from, *it)) {
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

void CheckConfigReach(world& aWorld)
{
  observer_state& observer = aWorld.mObserver;
  observer.mNextReachabilityCheckAt = aWorld.mNow + kReachabilityInterval;
  if (observer.mConfigs.empty()) {
    return;
  }
  const config_version newest = observer.mConfigs.rbegin()->first;
  std::set<std::string> reachable = ListReachable(aWorld, newest);
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
    if (aWorld.mNow - since > kMaxConfigDelay) {
      RecordViolation(
        aWorld, check_kind::ConfigReachesAll,
        absl::StrCat(name, " has not adopted configuration version ", newest,
                     " for ", absl::FormatDuration(aWorld.mNow - since)));
    }
  }
}

std::string DescribeOpenWorkOfProcess(const std::string& aName,
                                      const sim_process& aProcess)
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
  std::set<std::string> changedProcesses;
  changedProcesses.swap(aWorld.mObserver.mChangedProcesses);
  for (const std::string& name : changedProcesses) {
    CheckVersion(aWorld, name);
  }
  if (aWorld.mNow >= aWorld.mObserver.mNextReachabilityCheckAt) {
    CheckConfigReach(aWorld);
  }
}

void ObserveTopology(world& aWorld)
{
  CheckConfigReach(aWorld);
}

std::string DescribeOpenWork(const world& aWorld)
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
    open += DescribeOpenWorkOfProcess(name, process);
  }
  return open;
}

bool IsIdle(const world& aWorld)
{
  return DescribeOpenWork(aWorld).empty();
}

} // namespace foxtailquay::scenario
