// HTTP client of the platform's key-value service and VM list. The protocol is
// described in docs/platform.md.
//
//   store_client_ptr client = MakeStoreClient("10.0.0.5:2379", timeout);
//   store_response response = CallStore(*client, request);
//
// Thread-safe. A call blocks for at most about twice the timeout: once to
// connect and once for the response. A client keeps at most
// kMaxIdleConnections connections open between calls; a call that finds no
// idle connection opens another.

#ifndef FOXTAILQUAY_PLATFORM_STORE_CLIENT_H
#define FOXTAILQUAY_PLATFORM_STORE_CLIENT_H

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "foxtailquay/result.h"
#include "foxtailquay/store.h"
#include "foxtailquay/types.h"

namespace foxtailquay {

constexpr std::size_t kMaxIdleConnections = 4;
// Largest value that the service accepts, in bytes. A larger value is not sent.
constexpr std::size_t kMaxValueBytes = 1'000'000;

struct store_client;

// Deletes a client. Precondition: no call is in progress.
struct store_client_deleter
{
  void operator()(store_client* aClient) const;
};
using store_client_ptr = std::unique_ptr<store_client, store_client_deleter>;

// Returns a client that connects at the first call. Precondition: aAddress is
// "IP:port" and aTimeout is positive.
store_client_ptr MakeStoreClient(const std::string& aAddress,
                                 absl::Duration aTimeout);

// Performs one read or write. The status of the response is
// - Ok if the call succeeded; version 0 means that the key does not exist;
// - Unavailable if the service did not execute the request: it cannot be
//   reached, it responded with HTTP 413, 429 or 503, or the value is larger
//   than kMaxValueBytes;
// - Unknown if the connection failed or timed out after the request may have
//   been sent, or if the response is not valid;
// - Conflict if the service responded to a write with HTTP 409; the version is
//   then the current one, or 0 if the key does not exist.
// If aProblem is not null and the status is Unavailable or Unknown, it
// receives the error, with mExecuted No or Unknown respectively.
store_response CallStore(store_client& aClient, const store_request& aRequest,
                         error* aProblem = nullptr);

// The platform's list of VMs, which lags behind the actual state. A VM has the
// name of the foxtailquay process that runs on it.
struct vm_list
{
  std::vector<member_id> mLive;
  std::vector<member_id> mLeaving;
};

// Reads the VM list at aPath. Errors: StoreUnavailable if there is no
// successful response, ProtocolViolation if the list is not valid.
result<vm_list> ReadVmList(store_client& aClient,
                           const std::string& aPath = "/v1/vms");

// Returns the members that are in aBefore, live or leaving, and not in aAfter.
std::vector<member_id> ListRemovedVms(const vm_list& aBefore,
                                      const vm_list& aAfter);

} // namespace foxtailquay

#endif
