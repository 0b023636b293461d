// Makes the store calls of a gateway on the traffic thread's loop.
//
//   store_link link(calls, name, peerAddress, post);
//   StartStoreCall(link, query);        directory_query, grant_write, ...
//
// Each call ends in one event that is passed to aPost. For the thread of the
// loop.

#ifndef FOXTAILQUAY_DAEMON_STORE_LINK_H
#define FOXTAILQUAY_DAEMON_STORE_LINK_H

#include <functional>
#include <string>

#include "foxtailquay/gateway.h"
#include "platform/store_codec.h"
#include "transport/client_call.h"

namespace foxtailquay {

struct store_link
{
  client_calls& mCalls;
  // "IP:port" of the store.
  std::string mAddress;
  // This gateway's name and its address for peers.
  std::string mName;
  std::string mPeerAddress;
  std::function<void(gateway_event)> mPost;
  // Outcome of each call, for metrics; a watch counts the time that it waited.
  std::function<void(bool aFailed, absl::Duration)> mOnCall;
};

void StartStoreCall(store_link& aLink, const directory_query& aQuery);
void StartStoreCall(store_link& aLink, const grant_write& aWrite);
void StartStoreCall(store_link& aLink, const registration_call& aCall);
void StartStoreCall(store_link& aLink, const deregistration_call& aCall);

} // namespace foxtailquay

#endif
