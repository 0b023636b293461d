#include "wire/utf8.h"

#include <cstddef>

namespace foxtailquay {

namespace {

// A row of table 3-7 of the Unicode standard: first byte, second byte and the
// length of the sequence. Later bytes are from 0x80 to 0xBF.
struct utf8_row
{
  unsigned char mFirstLow;
  unsigned char mFirstHigh;
  unsigned char mSecondLow;
  unsigned char mSecondHigh;
  std::size_t mLength;
};

constexpr utf8_row kRows[] = {
  { 0xC2, 0xDF, 0x80, 0xBF, 2 }, { 0xE0, 0xE0, 0xA0, 0xBF, 3 },
  { 0xE1, 0xEC, 0x80, 0xBF, 3 }, { 0xED, 0xED, 0x80, 0x9F, 3 },
  { 0xEE, 0xEF, 0x80, 0xBF, 3 }, { 0xF0, 0xF0, 0x90, 0xBF, 4 },
  { 0xF1, 0xF3, 0x80, 0xBF, 4 }, { 0xF4, 0xF4, 0x80, 0x8F, 4 },
};

bool Matches(const utf8_row& aRow, std::string_view aText)
{
  const auto at = [aText](std::size_t aIndex) {
    return static_cast<unsigned char>(aText[aIndex]);
  };
  if (aText.size() < aRow.mLength || at(0) < aRow.mFirstLow ||
      at(0) > aRow.mFirstHigh || at(1) < aRow.mSecondLow ||
      at(1) > aRow.mSecondHigh) {
    return false;
  }
  for (std::size_t i = 2; i < aRow.mLength; ++i) {
    if (at(i) < 0x80 || at(i) > 0xBF) {
      return false;
    }
  }
  return true;
}

// Length of the well-formed sequence at the start of aText, or 0.
std::size_t SequenceLength(std::string_view aText)
{
  if (static_cast<unsigned char>(aText[0]) < 0x80) {
    return 1;
  }
  for (const utf8_row& row : kRows) {
    if (Matches(row, aText)) {
      return row.mLength;
    }
  }
  return 0;
}

} // namespace

bool IsUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t length = SequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

} // namespace foxtailquay
