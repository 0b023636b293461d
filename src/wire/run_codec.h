// Encodes and decodes the JSON of POST /run: the dispatch of one run to an
// agent, and the frames of the response.
//
// A frame is one line of JSON. Frame numbers start at 1 and have no gaps; the
// last frame is "end" or "broken". Bytes that are not valid UTF-8 are sent as
// base64.
//
// Pure functions; safe on any thread with distinct objects.

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

// One frame. The comments name the types that have a field.
struct run_frame
{
  std::uint64_t mNumber = 0;
  frame_type mType = frame_type::Data;
  // Head: the run that this response belongs to, and the backend server's
  // status and content type.
  std::string mRequest;
  int mStatus = 0;
  std::string mContentType;
  // Data: bytes of the response.
  std::string mText;
  // End and Broken: the usage of what was relayed.
  token_usage mUsage;
  // Broken: why the run was interrupted.
  error mError;
};

// Returns one line without the line feed.
std::string EncodeFrame(const run_frame& aFrame);
// Decodes one line. Errors: ProtocolViolation.
result<run_frame> DecodeFrame(std::string_view aLine);

// The body of POST /run.
struct run_dispatch
{
  // The envelope; its mBody is not used.
  envelope mHeader;
  run_request mRun;
};

std::string EncodeDispatch(const run_dispatch& aDispatch);
// Decodes the body of POST /run. Errors: ProtocolViolation with the path of the
// field.
result<run_dispatch> DecodeDispatch(std::string_view aText);

} // namespace foxtailquay

#endif
