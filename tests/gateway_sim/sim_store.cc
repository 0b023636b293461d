// The store of the gateway simulation.

#include "gateway_sim/sim_parts.h"

#include <utility>

namespace foxtailquay::gateway_sim {

namespace {

constexpr absl::Duration kStoreLatency = absl::Milliseconds(4);
// Prices of a call and of the renewal of a lease.
constexpr double kCallPrice = 1;
constexpr double kRenewalPrice = 0.1;

bool CanReachStore(const fleet_sim& aSim, std::size_t aIndex)
{
  const sim_gateway& gateway = aSim.mGateways[aIndex];
  return aSim.mStore.mMode != store_mode::Unresponsive &&
         !gateway.mIsDisconnected && !gateway.mHasSilentPool;
}

// Delivers a response that states that the call had none. The transport then
// closes the connections in the pool.
void DeliverFailure(fleet_sim& aSim, absl::Duration aTime, std::size_t aIndex,
                    gateway_event aEvent)
{
  const int start = aSim.mGateways[aIndex].mIncarnation;
  Schedule(aSim, aTime, [&aSim, aIndex, start, event = std::move(aEvent)] {
    if (aSim.mGateways[aIndex].mIncarnation == start) {
      aSim.mGateways[aIndex].mHasSilentPool = false;
      Deliver(aSim, aIndex, event);
    }
  });
}

// Returns the time after which a call without a response ends.
absl::Duration GetTimeout(const fleet_sim& aSim, absl::Duration aTime)
{
  constexpr absl::Duration kDelay = absl::Seconds(2);
  return aTime + (aSim.mFault == injected_fault::DelayTimeouts
                    ? kDelay
                    : absl::ZeroDuration());
}

// Delivers the response unless another query has replaced the query aQuery.
void DeliverToQuery(fleet_sim& aSim, absl::Duration aTime, std::size_t aIndex,
                    std::uint64_t aQuery, directory_response aResponse)
{
  const int start = aSim.mGateways[aIndex].mIncarnation;
  Schedule(aSim, aTime,
           [&aSim, aIndex, start, aQuery, response = std::move(aResponse)] {
             sim_gateway& gateway = aSim.mGateways[aIndex];
             if (gateway.mIncarnation == start &&
                 gateway.mQueries[response.mArea] == aQuery) {
               gateway.mHasSilentPool =
                 gateway.mHasSilentPool &&
                 response.mStatus != directory_status::Unavailable;
               Deliver(aSim, aIndex, response);
             }
           });
}

// Returns the eras of a response to a call that was made in aKnown.
response_era GetEra(const fleet_sim& aSim, store_era aKnown)
{
  return { aKnown, aSim.mFault == injected_fault::HideEras
                     ? std::nullopt
                     : std::make_optional(aSim.mStore.mEra) };
}

// Returns the contents of an area that changed after aAfter; all of it if
// aAfter is absent.
directory_response ReadArea(const fleet_sim& aSim, directory_area aArea,
                            std::optional<store_version> aAfter,
                            store_era aKnownEra)
{
  const sim_store& store = aSim.mStore;
  const store_version after = aAfter.value_or(0);
  directory_response response;
  response.mArea = aArea;
  response.mEra = GetEra(aSim, aKnownEra);
  if (after > store.mRevision || (aAfter && after < store.mHistoryStart)) {
    response.mStatus = directory_status::HistoryLost;
    return response;
  }
  response.mStatus = directory_status::Ok;
  response.mComplete = !aAfter;
  response.mRevision = store.mRevision;
  switch (aArea) {
    case directory_area::Configuration:
      if (store.mConfigRevision > after) {
        response.mConfigs = { { "", store.mConfigRevision, store.mConfig } };
      }
      break;
    case directory_area::Backends:
      for (const auto& [name, entry] : store.mBackends) {
        if (entry.second > after) {
          response.mBackends.push_back({ name, entry.second, entry.first });
        }
      }
      break;
    case directory_area::Peers:
      for (const auto& [name, entry] : store.mPeers) {
        if (entry.second > after && (aAfter || entry.first)) {
          response.mPeers.push_back({ name, entry.second, entry.first });
        }
      }
      for (const auto& [key, entry] : store.mCrashReports) {
        if (entry.second > after && (aAfter || !entry.first.mCrashes.empty())) {
          response.mCrashReports.push_back(entry.first);
        }
      }
      break;
  }
  return response;
}

bool IsEmpty(const directory_response& aResponse)
{
  return aResponse.mConfigs.empty() && aResponse.mBackends.empty() &&
         aResponse.mPeers.empty() && aResponse.mCrashReports.empty();
}

directory_response MakeFailure(directory_area aArea, store_era aKnownEra)
{
  directory_response failed;
  failed.mArea = aArea;
  failed.mEra.mKnown = aKnownEra;
  return failed;
}

// Writes the records if all have the expected versions.
grant_write_response WriteRecords(fleet_sim& aSim, const grant_write& aWrite)
{
  sim_store& store = aSim.mStore;
  bool matches = store.mMarkedEras.count(aWrite.mEra + 1) == 0;
  grant_write_response result;
  result.mEra = GetEra(aSim, aWrite.mEra);
  for (const grant_write::entry& entry : aWrite.mEntries) {
    const sim_record& record = store.mGrants[entry.mWorkspace];
    matches = matches && record.mVersion == entry.mPlan.mExpected;
    result.mStates.push_back(
      { entry.mWorkspace, record.mVersion, record.mRecord });
  }
  if (!matches && aSim.mFault != injected_fault::IgnoreVersions) {
    result.mOutcome = grant_outcome::Conflict;
    return result;
  }
  ++store.mRevision;
  for (store_era i = 0; aWrite.mMarksEra && i < 4 && i < aWrite.mEra; ++i) {
    store.mMarkedEras.insert(aWrite.mEra - i);
  }
  for (const grant_write::entry& entry : aWrite.mEntries) {
    store.mGrants[entry.mWorkspace] = { entry.mPlan.mRecord, store.mRevision };
  }
  result.mOutcome = grant_outcome::Written;
  result.mRevision = store.mRevision;
  result.mStates.clear();
  return result;
}

} // namespace

void SendWatchResponses(fleet_sim& aSim)
{
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    auto watches = aSim.mGateways[i].mWatches;
    for (const auto& [area, watch] : watches) {
      directory_response response =
        ReadArea(aSim, area, watch.mAfter, watch.mEra);
      const bool isLost = response.mStatus == directory_status::HistoryLost;
      if (CanReachStore(aSim, i) &&
          aSim.mStore.mMode != store_mode::HoldsWatches &&
          (isLost || !IsEmpty(response))) {
        aSim.mGateways[i].mWatches.erase(area);
        DeliverToQuery(aSim, kStoreLatency, i, watch.mQuery,
                       std::move(response));
      }
    }
  }
}

void SilenceWatches(fleet_sim& aSim, std::size_t aIndex)
{
  sim_gateway& gateway = aSim.mGateways[aIndex];
  for (const auto& [area, watch] : gateway.mWatches) {
    const absl::Duration left = watch.mEndsAt + kStoreResponseTime - aSim.mNow;
    DeliverToQuery(aSim, GetTimeout(aSim, left), aIndex, watch.mQuery,
                   MakeFailure(area, watch.mEra));
  }
  gateway.mWatches.clear();
}

void SilenceConnections(fleet_sim& aSim, std::size_t aIndex)
{
  SilenceWatches(aSim, aIndex);
  aSim.mGateways[aIndex].mHasSilentPool = true;
}

void DropHistory(fleet_sim& aSim)
{
  ++aSim.mStore.mRevision;
  aSim.mStore.mHistoryStart = aSim.mStore.mRevision;
  for (std::size_t i = 0; i < aSim.mGateways.size(); ++i) {
    const auto watches = std::move(aSim.mGateways[i].mWatches);
    aSim.mGateways[i].mWatches.clear();
    for (const auto& [area, watch] : watches) {
      DeliverToQuery(aSim, kStoreLatency, i, watch.mQuery,
                     MakeFailure(area, watch.mEra));
    }
  }
}

void HandleQuery(fleet_sim& aSim, std::size_t aIndex,
                 const directory_query& aQuery)
{
  aSim.mStoreCalls += kCallPrice;
  sim_gateway& gateway = aSim.mGateways[aIndex];
  const std::uint64_t query = ++gateway.mQueries[aQuery.mArea];
  gateway.mWatches.erase(aQuery.mArea);
  if (!CanReachStore(aSim, aIndex)) {
    DeliverToQuery(aSim, aQuery.mMaxWait + kStoreResponseTime, aIndex, query,
                   MakeFailure(aQuery.mArea, aQuery.mEra));
    return;
  }
  directory_response response =
    ReadArea(aSim, aQuery.mArea, aQuery.mAfter, aQuery.mEra);
  const bool isHeld = aSim.mStore.mMode == store_mode::HoldsWatches;
  if (!aQuery.mAfter || (!IsEmpty(response) && !isHeld) ||
      response.mStatus == directory_status::HistoryLost) {
    DeliverToQuery(aSim, kStoreLatency, aIndex, query, std::move(response));
    return;
  }
  gateway.mWatches[aQuery.mArea] = { *aQuery.mAfter,
                                     aSim.mNow + aQuery.mMaxWait, aQuery.mEra,
                                     query };
  const int start = gateway.mIncarnation;
  Schedule(aSim, aQuery.mMaxWait, [&aSim, aIndex, start, query, aQuery] {
    sim_gateway& waiting = aSim.mGateways[aIndex];
    const auto watch = waiting.mWatches.find(aQuery.mArea);
    if (waiting.mIncarnation != start || watch == waiting.mWatches.end() ||
        watch->second.mQuery != query) {
      return;
    }
    waiting.mWatches.erase(watch);
    if (CanReachStore(aSim, aIndex)) {
      Deliver(aSim, aIndex,
              ReadArea(aSim, aQuery.mArea, aQuery.mAfter, aQuery.mEra));
    } else {
      DeliverToQuery(aSim, kStoreResponseTime, aIndex, query,
                     MakeFailure(aQuery.mArea, aQuery.mEra));
    }
  });
}

void HandleGrantWrite(fleet_sim& aSim, std::size_t aIndex,
                      const grant_write& aWrite)
{
  aSim.mStoreCalls += kCallPrice;
  grant_write_response unknown;
  unknown.mOutcome = grant_outcome::Unknown;
  unknown.mEra.mKnown = aWrite.mEra;
  const bool lost =
    aSim.mStore.mMode == store_mode::LosesResponses && Draw(aSim, 3) == 0;
  if (!CanReachStore(aSim, aIndex)) {
    DeliverFailure(aSim, kStoreResponseTime, aIndex, unknown);
  } else if (lost) {
    // The write is applied immediately or seconds later, if its condition still
    // holds then.
    const absl::Duration late =
      Draw(aSim, 2) == 0 ? kStoreLatency : DrawTime(aSim, absl::Seconds(6));
    Schedule(aSim, late, [&aSim, aWrite] { WriteRecords(aSim, aWrite); });
    DeliverAfter(aSim, kStoreResponseTime, aIndex, unknown);
  } else {
    DeliverAfter(aSim, kStoreLatency, aIndex, WriteRecords(aSim, aWrite));
  }
}

void HandleGrantRead(fleet_sim& aSim, std::size_t aIndex,
                     const grant_read& aRead)
{
  aSim.mStoreCalls += kCallPrice;
  grants_read response;
  response.mEra.mKnown = aRead.mEra;
  if (!CanReachStore(aSim, aIndex)) {
    DeliverFailure(aSim, kStoreResponseTime, aIndex, response);
    return;
  }
  response.mIsRead = true;
  response.mEra = GetEra(aSim, aRead.mEra);
  for (const auto& [workspace, record] : aSim.mStore.mGrants) {
    if (record.mVersion != 0) {
      response.mStates.push_back(
        { workspace, record.mVersion, record.mRecord });
    }
  }
  DeliverAfter(aSim, kStoreLatency, aIndex, std::move(response));
}

void HandleCrashReportWrite(fleet_sim& aSim, std::size_t aIndex,
                            const crash_report_write& aWrite)
{
  aSim.mStoreCalls += kCallPrice;
  if (!CanReachStore(aSim, aIndex)) {
    DeliverFailure(
      aSim, kStoreResponseTime, aIndex,
      crash_report_write_response{ false, { aWrite.mEra, std::nullopt } });
    return;
  }
  ++aSim.mStore.mRevision;
  for (const crash_report& report : aWrite.mReports) {
    aSim.mStore.mCrashReports[{ report.mSuspect, report.mGateway }] = {
      report, aSim.mStore.mRevision
    };
  }
  SendWatchResponses(aSim);
  const bool lost =
    aSim.mStore.mMode == store_mode::LosesResponses && Draw(aSim, 3) == 0;
  DeliverAfter(aSim, lost ? kStoreResponseTime : kStoreLatency, aIndex,
               crash_report_write_response{ !lost, GetEra(aSim, aWrite.mEra) });
}

void SetPeer(fleet_sim& aSim, const std::string& aName,
             std::optional<gateway_peer> aPeer)
{
  aSim.mStore.mPeers[aName] = { std::move(aPeer), ++aSim.mStore.mRevision };
  SendWatchResponses(aSim);
}

void SetBackend(fleet_sim& aSim, const std::string& aName,
                const backend_entry& aEntry)
{
  aSim.mStore.mBackends[aName] = { aEntry, ++aSim.mStore.mRevision };
  SendWatchResponses(aSim);
}

void ExpirePeers(fleet_sim& aSim, absl::Duration aTime)
{
  aSim.mStore.mMode = store_mode::Unresponsive;
  for (auto& peer : aSim.mStore.mPeers) {
    peer.second = { std::nullopt, ++aSim.mStore.mRevision };
  }
  Schedule(aSim, aTime, [&aSim] {
    aSim.mStore.mMode = store_mode::Up;
    SendWatchResponses(aSim);
  });
}

void KeepSnapshotsPeriodically(fleet_sim& aSim)
{
  constexpr absl::Duration kInterval = absl::Milliseconds(200);
  constexpr std::size_t kSnapshots = 80;
  aSim.mSnapshots.push_back({ aSim.mNow, aSim.mStore });
  if (aSim.mSnapshots.size() > kSnapshots) {
    aSim.mSnapshots.pop_front();
  }
  Schedule(aSim, kInterval, [&aSim] { KeepSnapshotsPeriodically(aSim); });
}

void ReturnStore(fleet_sim& aSim, absl::Duration aAge, absl::Duration aDown)
{
  aSim.mStore.mMode = store_mode::Unresponsive;
  const absl::Time from = aSim.mNow - aAge;
  while (aSim.mSnapshots.size() > 1 && aSim.mSnapshots.back().mAt > from) {
    aSim.mSnapshots.pop_back();
  }
  sim_store restored = aSim.mSnapshots.back().mStore;
  Schedule(aSim, aDown, [&aSim, restored = std::move(restored)] {
    const sim_store lost = std::move(aSim.mStore);
    aSim.mStore = restored;
    sim_store& store = aSim.mStore;
    store.mMode = store_mode::Up;
    store.mEra = lost.mEra + 1;
    store.mDisturbedUntil = std::max(lost.mDisturbedUntil, aSim.mNow);
    store.mConfigTimes = lost.mConfigTimes;
    store.mConfig = lost.mConfig;
    store.mConfigRevision = ++store.mRevision;
    for (const auto& [name, entry] : lost.mBackends) {
      store.mBackends[name] = { entry.first, ++store.mRevision };
    }
    SendWatchResponses(aSim);
  });
}

void HandleRegistration(fleet_sim& aSim, std::size_t aIndex,
                        const registration_call& aCall)
{
  aSim.mStoreCalls += aCall.mLease == 0 ? kCallPrice : kRenewalPrice;
  registration_response response;
  response.mEra.mKnown = aCall.mEra;
  if (!CanReachStore(aSim, aIndex)) {
    DeliverFailure(aSim, GetTimeout(aSim, kHeartbeatTimeout), aIndex, response);
    return;
  }
  const std::string& name = aSim.mGateways[aIndex].mName;
  if (aCall.mLease == 0) {
    SetPeer(aSim, name, gateway_peer{ name });
  }
  response.mStatus =
    aSim.mStore.mPeers[name].first ? lease_status::Held : lease_status::Ended;
  response.mLease = 1;
  response.mEra = GetEra(aSim, aCall.mEra);
  DeliverAfter(aSim, kStoreLatency, aIndex, response);
}

} // namespace foxtailquay::gateway_sim
