#include "wire/router_link.h"

namespace foxtailquay {

void CancelRun(caller_exchange& aExchange, const request_id& aRequest)
{
  absl::MutexLock lock(&aExchange.mMutex);
  if (aExchange.mRunning != nullptr && aExchange.mRunningRequest == aRequest) {
    Stop(*aExchange.mRunning);
  } else {
    aExchange.mCancelled = aRequest;
  }
}

} // namespace foxtailquay
