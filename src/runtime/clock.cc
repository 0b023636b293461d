#include "runtime/clock.h"

#include <chrono>

#include "absl/time/clock.h"

namespace foxtailquay {

absl::Time MonotonicNow()
{
  static const absl::Time kWallStart = absl::Now();
  static const std::chrono::steady_clock::time_point kSteadyStart =
    std::chrono::steady_clock::now();
  return kWallStart +
         absl::FromChrono(std::chrono::steady_clock::now() - kSteadyStart);
}

} // namespace foxtailquay
