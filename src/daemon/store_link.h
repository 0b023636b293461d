// Performs the store calls of a gateway on the event loop of its traffic
// thread.
//
//   store_link link{ calls, storeAddress, name, peerAddress, post, onCall };
//   StartStoreCall(link, query);
//
// The response of each call except a deregistration is passed to mPost as one
// event. A directory query replaces the one on the same area that is in
// progress. Not thread-safe: use only on the event loop's thread.

#ifndef FOXTAILQUAY_DAEMON_STORE_LINK_H
#define FOXTAILQUAY_DAEMON_STORE_LINK_H

#include <array>
#include <functional>
#include <string>

#include "foxtailquay/gateway.h"
#include "platform/store_codec.h"
#include "transport/client_call.h"

namespace foxtailquay {

// A directory query in progress.
struct running_query
{
  // 0 if there is none.
  channel_id mCall = 0;
  // Era that the gateway knew.
  store_era mEra = 0;
};

struct store_link
{
  client_calls& mCalls;
  // "IP:port" of the store.
  std::string mAddress;
  // This gateway's name and its address for peers.
  std::string mName;
  std::string mPeerAddress;
  std::function<void(gateway_event)> mPost;
  // Called with the result and duration of each HTTP call, for metrics. The
  // duration of a watch includes the time that the store held the request.
  std::function<void(bool aFailed, absl::Duration)> mOnCall;
  std::array<running_query, CountEnumerators<directory_area>()> mQueries;
};

void StartStoreCall(store_link& aLink, const directory_query& aQuery);
void StartStoreCall(store_link& aLink, const grant_write& aWrite);
void StartStoreCall(store_link& aLink, const grant_read& aRead);
void StartStoreCall(store_link& aLink, const crash_report_write& aWrite);
void StartStoreCall(store_link& aLink, const registration_call& aCall);
void StartStoreCall(store_link& aLink, const deregistration_call& aCall);

// Ends the directory queries in progress as failed, since mAddress has changed.
void EndQueries(store_link& aLink);

} // namespace foxtailquay

#endif
