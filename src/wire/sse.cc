#include "wire/sse.h"

#include "absl/strings/str_cat.h"

namespace foxtailquay {

namespace {

// Parses the complete line in mLine, which has no line end. Returns false if
// the handler returned false.
bool OnLine(sse_parser& aParser, const sse_handler& aHandler)
{
  const std::string_view line = aParser.mLine;
  constexpr std::string_view kData = "data";
  if (line.empty()) {
    bool more = true;
    if (aParser.mHasData) {
      more = aHandler(aParser.mData);
    }
    aParser.mData.clear();
    aParser.mHasData = false;
    return more;
  }
  const auto colon = line.find(':');
  if (line.substr(0, colon) == kData) {
    std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value[0] == ' ') {
      value.remove_prefix(1);
    }
    if (aParser.mHasData) {
      aParser.mData += '\n';
    }
    aParser.mData += value;
    aParser.mHasData = true;
  }
  return true;
}

} // namespace

result<bool> Feed(sse_parser& aParser, std::string_view aBytes,
                  const sse_handler& aHandler)
{
  for (const char byte : aBytes) {
    const bool skip = byte == '\n' && aParser.mAfterCarriageReturn;
    aParser.mAfterCarriageReturn = byte == '\r';
    if (skip) {
      continue;
    }
    if (byte != '\n' && byte != '\r') {
      aParser.mLine += byte;
      if (aParser.mLine.size() + aParser.mData.size() > kMaxSseEventBytes) {
        return error{ error_code::ProtocolViolation, executed::Unknown, "",
                      absl::StrCat("an event of the stream must not exceed ",
                                   kMaxSseEventBytes, " bytes"),
                      absl::ZeroDuration() };
      }
      continue;
    }
    const bool more = OnLine(aParser, aHandler);
    aParser.mLine.clear();
    if (!more) {
      return false;
    }
  }
  return true;
}

bool TakeSseLine(std::string_view& aText, std::string_view& aLine)
{
  const std::size_t end = aText.find_first_of("\r\n");
  if (end == std::string_view::npos) {
    return false;
  }
  const bool isPair = aText.substr(end, 2) == "\r\n";
  aLine = aText.substr(0, end);
  aText.remove_prefix(end + (isPair ? 2 : 1));
  return true;
}

std::size_t FindSseEventEnd(std::string_view aText)
{
  std::string_view rest = aText;
  std::string_view line;
  while (TakeSseLine(rest, line)) {
    if (line.empty()) {
      return aText.size() - rest.size();
    }
  }
  return std::string_view::npos;
}

std::string EncodeSseEvent(std::string_view aPayload)
{
  std::string event;
  for (;;) {
    const auto end = aPayload.find('\n');
    event += "data: ";
    event += aPayload.substr(0, end);
    event += '\n';
    if (end == std::string_view::npos) {
      event += '\n';
      return event;
    }
    aPayload.remove_prefix(end + 1);
  }
}

std::string DecodeSseEvent(std::string_view aEvent)
{
  sse_parser parser;
  std::string payload;
  (void)Feed(parser, aEvent, [&payload](std::string_view aPayload) {
    payload = aPayload;
    return false;
  });
  return payload;
}

} // namespace foxtailquay
