// Checks the frames of one run's response as they arrive: the echoed request
// id, the frame numbers and the order of frame types. A caller must never
// receive data of another request's response, nor a response with a gap.
//
// Pure functions on plain structs; one thread at a time per object.

#ifndef FOXTAILQUAY_WIRE_FRAME_CHECK_H
#define FOXTAILQUAY_WIRE_FRAME_CHECK_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailquay/result.h"
#include "wire/run_codec.h"

namespace foxtailquay {

// The part of the response that the next frame belongs to.
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

// Checks the next frame and advances the phase. Errors: ProtocolViolation if
// the number, the type or the echoed request id is wrong. After an error the
// rest of the response must not be used.
result<success> CheckFrame(frame_check& aCheck, const run_frame& aFrame);

// Longest line in bytes; bounds the memory for one frame.
constexpr std::size_t kMaxFrameBytes = 4 << 20;

// State that splits a byte stream into lines.
struct line_splitter
{
  // The bytes since the last line feed.
  std::string mPartialLine;
};

// Appends aBytes and returns the lines that are complete, without line feeds.
// Errors: ProtocolViolation for a line longer than kMaxFrameBytes.
result<std::vector<std::string>> TakeLines(line_splitter& aSplitter,
                                           std::string_view aBytes);

} // namespace foxtailquay

#endif
