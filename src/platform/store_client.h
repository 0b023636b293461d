// Adapter to the platform's key-value service and VM list over HTTP. The
// protocol is described in docs/platform.md.
//
//   store_client_ptr client = MakeStoreClient("10.0.0.5:2379", timeout);
//   store_response reply = Call(*client, request);
//
// Calls block for at most about twice the timeout (once to connect, once for
// the answer) and may be made from several threads at once. A client keeps at
// most kMaxIdleConnections connections open between calls; a call that finds
// none opens another.

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
// Limit of the service. A larger value is not sent.
constexpr std::size_t kMaxValueBytes = 1'000'000;

struct store_client;

// Deleter for the private client type. Precondition: no call is in progress.
struct store_client_deleter
{
  void operator()(store_client* aClient) const;
};
using store_client_ptr = std::unique_ptr<store_client, store_client_deleter>;

// Opens no connection yet. Precondition: aAddress is "IP:port", aTimeout is
// positive.
store_client_ptr MakeStoreClient(const std::string& aAddress,
                                 absl::Duration aTimeout);

// Performs one read or write. The status is
// - Unavailable if the service did not take the request: no connection, HTTP
//   429 or 503, or a value that is above kMaxValueBytes;
// - Unknown if the connection broke or timed out after the request may have
//   been sent, or if the answer cannot be understood;
// - Conflict for HTTP 409, with the current version.
// If aProblem is not null and the status is Unavailable or Unknown, it
// receives the reason for the log; its mRan says the same as the status.
store_response Call(store_client& aClient, const store_request& aRequest,
                    error* aProblem = nullptr);

// The platform's list of VMs; it lags behind the actual state. A VM has the
// name of the foxtailquay process on it.
struct vm_list
{
  std::vector<member_id> mLive;
  std::vector<member_id> mLeaving;
};

// Reads the list at aPath. Errors: StoreUnavailable, ProtocolViolation.
result<vm_list> ReadVmList(store_client& aClient,
                           const std::string& aPath = "/v1/vms");

// Members of aBefore that aAfter no longer lists at all.
std::vector<member_id> ListRemovedVms(const vm_list& aBefore,
                                      const vm_list& aAfter);

} // namespace foxtailquay

#endif
