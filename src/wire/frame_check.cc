#include "wire/frame_check.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

error Violation(std::string aField, std::string aDetail)
{
  return error{ error_code::ProtocolViolation, executed::Unknown,
                std::move(aField), std::move(aDetail), absl::ZeroDuration() };
}

} // namespace

result<success> CheckFrame(frame_check& aCheck, const run_frame& aFrame)
{
  if (aFrame.mNumber != aCheck.mNextNumber) {
    return Violation("n", absl::StrCat("frame ", aFrame.mNumber, " instead of ",
                                       aCheck.mNextNumber));
  }
  ++aCheck.mNextNumber;
  const bool isHead = aFrame.mType == frame_type::Head;
  // A run that breaks before the backend server answers has no head.
  const bool isBroken = aFrame.mType == frame_type::Broken;
  const bool inOrder =
    aCheck.mPhase == frame_phase::BeforeHead ? isHead || isBroken : !isHead;
  if (aCheck.mPhase == frame_phase::Ended || !inOrder) {
    return Violation(
      "type", absl::StrCat("frame ", std::string(ToName(aFrame.mType)),
                           " in phase ", std::string(ToName(aCheck.mPhase))));
  }
  if (isHead && aFrame.mRequest != aCheck.mRequest) {
    return Violation("request", absl::StrCat("answer to ", aFrame.mRequest,
                                             " instead of ", aCheck.mRequest));
  }
  const bool last = isBroken || aFrame.mType == frame_type::End;
  aCheck.mPhase = last ? frame_phase::Ended : frame_phase::InData;
  return success{};
}

result<std::vector<std::string>> TakeLines(line_splitter& aSplitter,
                                           std::string_view aBytes)
{
  std::vector<std::string> lines;
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    aSplitter.mRest += aBytes.substr(0, end);
    if (aSplitter.mRest.size() > kMaxFrameBytes) {
      return Violation("", "a frame is too large");
    }
    if (end == std::string_view::npos) {
      break;
    }
    lines.push_back(std::exchange(aSplitter.mRest, {}));
    aBytes.remove_prefix(end + 1);
  }
  return lines;
}

} // namespace foxtailquay
