// The JSON of POST /run: the dispatch of one run to an agent, and the frames
// of its answer.
//
// A frame is one line of JSON. Numbers start at 1 without gaps; the last frame
// is "end" or "broken". Bytes that are not valid UTF-8 travel as base64.

#ifndef FOXTAILQUAY_WIRE_RUN_CODEC_H
#define FOXTAILQUAY_WIRE_RUN_CODEC_H

#include <cstdint>
#include <string>
#include <string_view>

#include "foxtailquay/messages.h"
#include "foxtailquay/result.h"

namespace foxtailquay {

enum class frame_type
{
  Head,
  Data,
  End,
  Broken,
};

constexpr auto NameTable(frame_type)
{
  return MakeNameTable<frame_type>({ { frame_type::Head, "head" },
                                     { frame_type::Data, "data" },
                                     { frame_type::End, "end" },
                                     { frame_type::Broken, "broken" } });
}

struct run_frame
{
  std::uint64_t mNumber = 0;
  frame_type mType = frame_type::Data;
  // Head: the run that this answer belongs to and the backend server's
  // status and content type.
  std::string mRequest;
  int mStatus = 0;
  std::string mContentType;
  // Data.
  std::string mText;
  // End and Broken: what was relayed.
  token_usage mUsage;
  // Broken.
  error mError;
};

// One line, without the line feed.
std::string EncodeFrame(const run_frame& aFrame);
// Errors: ProtocolViolation.
result<run_frame> DecodeFrame(std::string_view aLine);

struct run_dispatch
{
  // mBody is not used.
  envelope mHeader;
  run_request mRun;
};

std::string EncodeDispatch(const run_dispatch& aDispatch);
// Errors: ProtocolViolation with the path of the field.
result<run_dispatch> DecodeDispatch(std::string_view aText);

} // namespace foxtailquay

#endif
