// Suspects and crash reports for the tests of the quarantine.

#ifndef TESTS_CRASH_VALUES_H
#define TESTS_CRASH_VALUES_H

#include <cstdint>
#include <string>
#include <vector>

#include "core/crash_quarantine.h"

namespace foxtailquay {

constexpr std::uint64_t kCommon = 0x10;
constexpr std::uint64_t kSubject = 0x20;
constexpr std::uint64_t kOtherSubject = 0x21;
constexpr std::uint64_t kPoisonous = 0xdead;
// Longer than kCoincidenceTime.
constexpr absl::Duration kPause = absl::Seconds(1);

inline suspect_id MakePart(std::uint64_t aHash)
{
  return { suspect_kind::PromptPart, aHash };
}

inline suspect_id MakeRequest(std::uint64_t aHash)
{
  return { suspect_kind::Request, aHash };
}

inline crash_report MakeReport(std::uint64_t aPart, const std::string& aGateway,
                               const std::vector<std::string>& aCrashes)
{
  crash_report report{ MakePart(aPart), aGateway, {} };
  for (const std::string& crash : aCrashes) {
    report.mCrashes.push_back({ crash, crash_evidence::ResponseBegun });
  }
  return report;
}

} // namespace foxtailquay

#endif
