#include "wire/frame_check.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

error MakeProtocolError(std::string aField, std::string aDetail)
{
  return error{ error_code::ProtocolViolation, executed::Unknown,
                std::move(aField), std::move(aDetail), absl::ZeroDuration() };
}

} // namespace

result<success> CheckFrame(frame_check& aCheck, const run_frame& aFrame)
{
  if (aFrame.mNumber != aCheck.mNextNumber) {
    return MakeProtocolError("n",
                             absl::StrCat("expected frame ", aCheck.mNextNumber,
                                          ", got ", aFrame.mNumber));
  }
  ++aCheck.mNextNumber;
  const bool isHead = aFrame.mType == frame_type::Head;
  // A run that is interrupted before the backend server responds has no head.
  const bool isBroken = aFrame.mType == frame_type::Broken;
  const bool isInOrder =
    aCheck.mPhase == frame_phase::BeforeHead ? isHead || isBroken : !isHead;
  if (aCheck.mPhase == frame_phase::Ended || !isInOrder) {
    return MakeProtocolError(
      "type", absl::StrCat("unexpected frame of type ",
                           std::string(ToName(aFrame.mType)), " in phase ",
                           std::string(ToName(aCheck.mPhase))));
  }
  if (isHead && aFrame.mRequest != aCheck.mRequest) {
    return MakeProtocolError(
      "request", absl::StrCat("expected the response to ", aCheck.mRequest,
                              ", got the response to ", aFrame.mRequest));
  }
  const bool isLast = isBroken || aFrame.mType == frame_type::End;
  aCheck.mPhase = isLast ? frame_phase::Ended : frame_phase::InData;
  return success{};
}

result<std::vector<std::string>> TakeLines(line_splitter& aSplitter,
                                           std::string_view aBytes)
{
  std::vector<std::string> lines;
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    aSplitter.mPartialLine += aBytes.substr(0, end);
    if (aSplitter.mPartialLine.size() > kMaxFrameBytes) {
      return MakeProtocolError(
        "", absl::StrCat("a frame is longer than ", kMaxFrameBytes, " bytes"));
    }
    if (end == std::string_view::npos) {
      break;
    }
    lines.push_back(std::exchange(aSplitter.mPartialLine, {}));
    aBytes.remove_prefix(end + 1);
  }
  return lines;
}

} // namespace foxtailquay
