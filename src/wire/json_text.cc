// Compact JSON text: ToText and ParseJson of document_codec.h.

#include <memory>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "wire/document_codec.h"

namespace foxtailquay {

namespace {

error TextError(std::string aField, std::string aDetail)
{
  return error{ error_code::ProtocolViolation, executed::No, std::move(aField),
                std::move(aDetail), absl::ZeroDuration() };
}

// Length of the well-formed UTF-8 sequence at the start of aText, or 0.
// Follows table 3-7 of the Unicode standard.
std::size_t SequenceLength(std::string_view aText)
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

// Offset of the first byte that is not well-formed UTF-8, or npos. jsoncpp
// passes such bytes through, and its writer would then change the text.
std::size_t FindInvalidUtf8(std::string_view aText)
{
  for (std::size_t i = 0; i < aText.size();) {
    const std::size_t length = SequenceLength(aText.substr(i));
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
    return TextError(absl::StrCat("byte ", invalid), "is not valid UTF-8");
  }
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  // Strict mode admits only an object or array at the top.
  builder["strictRoot"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string errors;
  // jsoncpp throws when values are nested too deeply.
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &json,
                       &errors)) {
      while (!errors.empty() && errors.back() == '\n') {
        errors.pop_back();
      }
      return TextError({}, "is not JSON: " + errors);
    }
  } catch (const std::exception& thrown) {
    return TextError({}, absl::StrCat("is not JSON: ", thrown.what()));
  }
  return json;
}

} // namespace foxtailquay
