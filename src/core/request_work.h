// What one attempt of a request shows of its work. Not thread-safe.

#ifndef FOXTAILQUAY_CORE_REQUEST_WORK_H
#define FOXTAILQUAY_CORE_REQUEST_WORK_H

#include "absl/time/time.h"
#include "foxtailquay/types.h"
#include "remaining_work.h"

namespace foxtailquay {

// What the current attempt of a request shows of its work.
struct request_work
{
  token_count mUncachedTokens = 0;
  waiting_prompt mPrompt;
  // True if other requests were probably ahead of it at its server.
  bool mHasWaited = false;
  // Time of the first event of the response.
  absl::Time mFirstAt;
};

} // namespace foxtailquay

#endif
