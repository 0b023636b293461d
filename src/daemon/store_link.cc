#include "daemon/store_link.h"

#include <utility>

#include "runtime/clock.h"

namespace foxtailquay {

namespace {

// The store answers in milliseconds; while it is slow a response takes some
// hundreds.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(1200);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);
// Survives an outage of the store without a change of the peer list.
constexpr absl::Duration kRegistrationTime = absl::Seconds(60);

using on_answer = std::function<void(const platform::store_call_response&)>;

void Make(store_link& aLink, const platform::store_call& aCall,
          on_answer aOnResponse)
{
  client_call call;
  call.mAddress = aLink.mAddress;
  call.mMethod = aCall.mMethod;
  call.mTarget = aCall.mTarget;
  call.mBody = aCall.mBody;
  call.mConnectTimeout = kConnectTimeout;
  call.mTimeout = kCallTimeout + aCall.mMaxHoldTime;
  StartCall(
    aLink.mCalls, call,
    [&aLink, start = MonotonicNow(),
     onAnswer = std::move(aOnResponse)](const call_response& aResponse) {
      aLink.mOnCall(aResponse.mStatus == 0 || aResponse.mStatus >= 429,
                    MonotonicNow() - start);
      onAnswer({ aResponse.mStatus, aResponse.mBody, aResponse.mNotSent });
    });
}

// Reads page after page; aSoFar holds the pages before.
void ReadPage(store_link& aLink, const directory_query& aQuery,
              const std::string& aAfter, directory_response aSoFar)
{
  Make(aLink, platform::EncodeQuery(aQuery, aAfter),
       [&aLink, aQuery, aAfter, soFar = std::move(aSoFar)](
         const platform::store_call_response& aResponse) mutable {
         auto page = platform::DecodeDirectory(aQuery, aResponse);
         directory_response& response = page.mResponse;
         if (!aAfter.empty() && response.mStatus == directory_status::Ok) {
           // Changes after the first page are seen by the watch.
           response.mRevision = soFar.mRevision;
           const auto prepend = [](auto& aInto, auto& aEarlier) {
             aInto.insert(aInto.begin(),
                          std::make_move_iterator(aEarlier.begin()),
                          std::make_move_iterator(aEarlier.end()));
           };
           prepend(response.mConfigs, soFar.mConfigs);
           prepend(response.mBackends, soFar.mBackends);
           prepend(response.mPeers, soFar.mPeers);
         }
         if (response.mStatus == directory_status::Ok &&
             !page.mNextAfter.empty()) {
           ReadPage(aLink, aQuery, page.mNextAfter, std::move(response));
           return;
         }
         aLink.mPost(std::move(response));
       });
}

} // namespace

void StartStoreCall(store_link& aLink, const directory_query& aQuery)
{
  ReadPage(aLink, aQuery, "", {});
}

void StartStoreCall(store_link& aLink, const grant_write& aWrite)
{
  Make(aLink, platform::EncodeGrantWrite(aWrite),
       [&aLink](const platform::store_call_response& aResponse) {
         aLink.mPost(platform::DecodeGrantWrite(aResponse));
       });
}

void StartStoreCall(store_link& aLink, const registration_call& aCall)
{
  if (aCall.mLease != 0) {
    Make(aLink, platform::EncodeRenewLease(aCall.mLease),
         [&aLink, lease = aCall.mLease](
           const platform::store_call_response& aResponse) {
           aLink.mPost(registration_response{
             platform::DecodeLeaseStatus(aResponse), lease });
         });
    return;
  }
  Make(
    aLink, platform::EncodeLease(kRegistrationTime),
    [&aLink](const platform::store_call_response& aResponse) {
      const auto lease = platform::DecodeLease(aResponse);
      if (!lease) {
        aLink.mPost(registration_response{ lease_status::Unavailable, 0 });
        return;
      }
      Make(
        aLink,
        platform::EncodePeerEntry(aLink.mName, aLink.mPeerAddress, *lease),
        [&aLink, lease = *lease](const platform::store_call_response& aEntry) {
          aLink.mPost(registration_response{
            platform::DecodeLeaseStatus(aEntry), lease });
        });
    });
}

void StartStoreCall(store_link& aLink, const deregistration_call& aCall)
{
  Make(aLink, platform::EncodeEndLease(aCall.mLease),
       [](const platform::store_call_response&) {
         // The lease runs out by itself if this did not reach the store.
       });
}

} // namespace foxtailquay
