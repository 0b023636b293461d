// Implements ToText and ParseJson of document_codec.h: JSON to compact text
// and back.

#include <memory>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

error MakeJsonError(std::string aField, std::string aDetail)
{
  return error{ error_code::ProtocolViolation, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

// Returns the length in bytes of the well-formed UTF-8 sequence at the start
// of aText, or 0 if there is none. The ranges are those of table 3-7 of the
// Unicode standard. Precondition: aText is not empty.
std::size_t ComputeSequenceLength(std::string_view aText)
{
  const auto at = [&aText](std::size_t aIndex) {
    return aIndex < aText.size() ? static_cast<unsigned char>(aText[aIndex])
                                 : 0u;
  };
  const auto in = [&at](std::size_t aIndex, unsigned aLow, unsigned aHigh) {
    return at(aIndex) >= aLow && at(aIndex) <= aHigh;
  };
  const unsigned first = at(0);
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xC2 && first <= 0xDF) {
    return in(1, 0x80, 0xBF) ? 2 : 0;
  }
  if (first >= 0xE0 && first <= 0xEF) {
    const unsigned low = first == 0xE0 ? 0xA0 : 0x80;
    const unsigned high = first == 0xED ? 0x9F : 0xBF;
    return in(1, low, high) && in(2, 0x80, 0xBF) ? 3 : 0;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    const unsigned low = first == 0xF0 ? 0x90 : 0x80;
    const unsigned high = first == 0xF4 ? 0x8F : 0xBF;
    return in(1, low, high) && in(2, 0x80, 0xBF) && in(3, 0x80, 0xBF) ? 4 : 0;
  }
  return 0;
}

// Returns the offset of the first byte that is not well-formed UTF-8, or npos.
// jsoncpp does not reject such bytes when it parses, but its writer would
// change them.
std::size_t FindInvalidUtf8(std::string_view aText)
{
  for (std::size_t i = 0; i < aText.size();) {
    const std::size_t length = ComputeSequenceLength(aText.substr(i));
    if (length == 0) {
      return i;
    }
    i += length;
  }
  return std::string_view::npos;
}

} // namespace

std::string ToText(const Json::Value& aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aJson);
}

result<Json::Value> ParseJson(std::string_view aText)
{
  const std::size_t invalid = FindInvalidUtf8(aText);
  if (invalid != std::string_view::npos) {
    return MakeJsonError(absl::StrCat("byte ", invalid), "is not valid UTF-8");
  }
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  // Strict mode accepts only an object or array at the top level; any JSON
  // value is accepted here.
  builder["strictRoot"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string errors;
  // jsoncpp throws if values are nested too deeply.
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &json,
                       &errors)) {
      while (!errors.empty() && errors.back() == '\n') {
        errors.pop_back();
      }
      return MakeJsonError({}, "is not JSON: " + errors);
    }
  } catch (const std::exception& thrown) {
    return MakeJsonError({}, absl::StrCat("is not JSON: ", thrown.what()));
  }
  return json;
}

} // namespace foxtailquay
