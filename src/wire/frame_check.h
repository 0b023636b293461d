// Checks the frames of one run's answer as they arrive: the echoed request
// id, the numbers and the order. A caller must never receive a part of another
// request's answer, nor an answer with a part missing.

#ifndef FOXTAILQUAY_WIRE_FRAME_CHECK_H
#define FOXTAILQUAY_WIRE_FRAME_CHECK_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailquay/result.h"
#include "wire/run_codec.h"

namespace foxtailquay {

enum class frame_phase
{
  BeforeHead,
  InData,
  Ended,
};

constexpr auto NameTable(frame_phase)
{
  return MakeNameTable<frame_phase>(
    { { frame_phase::BeforeHead, "before_head" },
      { frame_phase::InData, "in_data" },
      { frame_phase::Ended, "ended" } });
}

struct frame_check
{
  // The request id that the head must echo.
  std::string mRequest;
  frame_phase mPhase = frame_phase::BeforeHead;
  std::uint64_t mNextNumber = 1;
};

// Takes the next frame. Errors: ProtocolViolation. After an error the rest of
// the answer must not be used.
result<success> CheckFrame(frame_check& aCheck, const run_frame& aFrame);

// Bounds the memory of one frame.
constexpr std::size_t kMaxFrameBytes = 4 << 20;

// Splits a byte stream into lines.
struct line_splitter
{
  std::string mRest;
};

// Returns the complete lines, without line feeds. Errors: ProtocolViolation
// for a line above kMaxFrameBytes.
result<std::vector<std::string>> TakeLines(line_splitter& aSplitter,
                                           std::string_view aBytes);

} // namespace foxtailquay

#endif
