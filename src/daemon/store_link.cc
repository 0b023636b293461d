#include "daemon/store_link.h"

#include <utility>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);
// Lease time of the peer registration; longer than a usual store outage, so
// that an outage does not change the peer list.
constexpr absl::Duration kRegistrationLeaseTime = absl::Seconds(60);

// Time after which a connection counts as broken if the store's host
// acknowledges neither data nor keep-alive probes. Watches wait for longer.
constexpr absl::Duration kUnresponsiveTimeout = absl::Seconds(2);

using on_store_response =
  std::function<void(const platform::store_call_response&)>;

channel_id StartHttpCall(store_link& aLink, const platform::store_call& aCall,
                         absl::Duration aTimeout, on_store_response aOnResponse)
{
  client_call call;
  call.mAddress = aLink.mAddress;
  call.mMethod = aCall.mMethod;
  call.mTarget = aCall.mTarget;
  call.mBody = aCall.mBody;
  call.mConnectTimeout = kConnectTimeout;
  call.mTimeout = aTimeout + aCall.mMaxHoldTime;
  call.mUnresponsiveTimeout = kUnresponsiveTimeout;
  return StartCall(
    aLink.mCalls, call,
    [&aLink, start = MonotonicNow(),
     onResponse = std::move(aOnResponse)](const call_response& aResponse) {
      aLink.mOnCall(aResponse.mStatus == 0 || aResponse.mStatus >= 429,
                    MonotonicNow() - start);
      onResponse({ aResponse.mStatus, aResponse.mBody, aResponse.mNotSent,
                   aResponse.mHead });
    });
}

response_era GetEra(store_era aKnown,
                    const platform::store_call_response& aResponse)
{
  return { aKnown, platform::DecodeEra(aResponse) };
}

// Returns true if the store changed its era between two pages of one read.
bool HasEraChanged(const response_era& aEarlier, const response_era& aLater)
{
  return aEarlier.mStated != aLater.mStated;
}

running_query& GetQuery(store_link& aLink, directory_area aArea)
{
  return aLink.mQueries[static_cast<std::size_t>(aArea)];
}

// Reads the pages of a directory after aAfter one by one and posts them as one
// response. aEarlierPages holds the pages that were read before.
void ReadPage(store_link& aLink, const directory_query& aQuery,
              const std::string& aAfter, directory_response aEarlierPages)
{
  running_query& running = GetQuery(aLink, aQuery.mArea);
  running.mEra = aQuery.mEra;
  running.mCall = StartHttpCall(
    aLink, platform::EncodeDirectoryQuery(aQuery, aAfter), kStoreResponseTime,
    [&aLink, aQuery, aAfter, earlierPages = std::move(aEarlierPages)](
      const platform::store_call_response& aResponse) mutable {
      auto page = platform::DecodeDirectoryPage(aQuery, aResponse);
      directory_response& response = page.mResponse;
      response.mEra = GetEra(aQuery.mEra, aResponse);
      if (!aAfter.empty() && HasEraChanged(earlierPages.mEra, response.mEra)) {
        response.mStatus = directory_status::Unavailable;
      }
      if (!aAfter.empty() && response.mStatus == directory_status::Ok) {
        // The watch starts at the first page's revision, so that it reports
        // changes that happen while later pages are read.
        response.mRevision = earlierPages.mRevision;
        const auto prepend = [](auto& aTarget, auto& aEarlier) {
          aTarget.insert(aTarget.begin(),
                         std::make_move_iterator(aEarlier.begin()),
                         std::make_move_iterator(aEarlier.end()));
        };
        prepend(response.mConfigs, earlierPages.mConfigs);
        prepend(response.mBackends, earlierPages.mBackends);
        prepend(response.mPeers, earlierPages.mPeers);
        prepend(response.mCrashReports, earlierPages.mCrashReports);
        prepend(response.mEvacuations, earlierPages.mEvacuations);
      }
      if (response.mStatus == directory_status::Ok &&
          !page.mNextPageAfter.empty()) {
        ReadPage(aLink, aQuery, page.mNextPageAfter, std::move(response));
        return;
      }
      GetQuery(aLink, aQuery.mArea).mCall = 0;
      aLink.mPost(std::move(response));
    });
}

// Reads the pages of the grant records after aAfter one by one and posts them
// as one response.
void ReadGrants(store_link& aLink, const grant_read& aRead,
                const std::string& aAfter, grants_read aEarlierPages)
{
  StartHttpCall(
    aLink, platform::EncodeGrantRead(aAfter), kStoreResponseTime,
    [&aLink, aRead, aAfter, earlierPages = std::move(aEarlierPages)](
      const platform::store_call_response& aResponse) mutable {
      auto page = platform::DecodeGrantsPage(aResponse);
      grants_read& response = page.mResponse;
      response.mEra = GetEra(aRead.mEra, aResponse);
      if (!aAfter.empty() && HasEraChanged(earlierPages.mEra, response.mEra)) {
        response.mIsRead = false;
      }
      response.mStates.insert(
        response.mStates.begin(),
        std::make_move_iterator(earlierPages.mStates.begin()),
        std::make_move_iterator(earlierPages.mStates.end()));
      if (response.mIsRead && !page.mNextPageAfter.empty()) {
        ReadGrants(aLink, aRead, page.mNextPageAfter, std::move(response));
        return;
      }
      aLink.mPost(std::move(response));
    });
}

} // namespace

void StartStoreCall(store_link& aLink, const directory_query& aQuery)
{
  AbandonCall(aLink.mCalls, GetQuery(aLink, aQuery.mArea).mCall);
  ReadPage(aLink, aQuery, "", {});
}

void StartStoreCall(store_link& aLink, const grant_write& aWrite)
{
  StartHttpCall(aLink, platform::EncodeGrantWrite(aWrite), kStoreResponseTime,
                [&aLink, era = aWrite.mEra](
                  const platform::store_call_response& aResponse) {
                  auto written = platform::DecodeGrantWrite(aResponse);
                  written.mEra = GetEra(era, aResponse);
                  aLink.mPost(std::move(written));
                });
}

void StartStoreCall(store_link& aLink, const grant_read& aRead)
{
  ReadGrants(aLink, aRead, "", {});
}

void StartStoreCall(store_link& aLink, const crash_report_write& aWrite)
{
  StartHttpCall(
    aLink, platform::EncodeCrashReportWrite(aWrite), kStoreResponseTime,
    [&aLink,
     era = aWrite.mEra](const platform::store_call_response& aResponse) {
      aLink.mPost(crash_report_write_response{ aResponse.mStatus == 200,
                                               GetEra(era, aResponse) });
    });
}

void StartStoreCall(store_link& aLink, const registration_call& aCall)
{
  if (aCall.mLease != 0) {
    StartHttpCall(
      aLink, platform::EncodeRenewLease(aCall.mLease), kHeartbeatTimeout,
      [&aLink, aCall](const platform::store_call_response& aResponse) {
        aLink.mPost(
          registration_response{ platform::DecodeLeaseStatus(aResponse),
                                 aCall.mLease, GetEra(aCall.mEra, aResponse) });
      });
    return;
  }
  StartHttpCall(
    aLink, platform::EncodeOpenLease(kRegistrationLeaseTime), kHeartbeatTimeout,
    [&aLink, aCall](const platform::store_call_response& aResponse) {
      const auto lease = platform::DecodeLeaseId(aResponse);
      const response_era era = GetEra(aCall.mEra, aResponse);
      if (!lease) {
        aLink.mPost(registration_response{ lease_status::Unavailable, 0, era });
        return;
      }
      StartHttpCall(
        aLink,
        platform::EncodePeerEntry(aLink.mName, aLink.mPeerAddress, *lease),
        kHeartbeatTimeout,
        [&aLink, lease = *lease,
         era](const platform::store_call_response& aEntry) {
          // In a later era, the lease may belong to another gateway.
          const response_era entryEra = GetEra(era.mKnown, aEntry);
          aLink.mPost(registration_response{
            HasEraChanged(era, entryEra) ? lease_status::Ended
                                         : platform::DecodeLeaseStatus(aEntry),
            lease, entryEra });
        });
    });
}

void StartStoreCall(store_link& aLink, const deregistration_call& aCall)
{
  StartHttpCall(aLink, platform::EncodeEndLease(aCall.mLease),
                kStoreResponseTime, [](const platform::store_call_response&) {
                  // If the request fails, the lease expires by itself.
                });
}

void EndQueries(store_link& aLink)
{
  for (const auto& entry : NameTable(directory_area{})) {
    running_query& running = GetQuery(aLink, entry.mValue);
    if (running.mCall == 0) {
      continue;
    }
    AbandonCall(aLink.mCalls, running.mCall);
    running.mCall = 0;
    directory_response failed;
    failed.mArea = entry.mValue;
    failed.mEra.mKnown = running.mEra;
    aLink.mPost(std::move(failed));
  }
}

} // namespace foxtailquay
