#include "wire/utf8.h"

#include <cstddef>

namespace foxtailquay {

namespace {

// A row of table 3-7 of the Unicode standard: the ranges of the first and
// second byte and the length of the sequence in bytes. The third and fourth
// bytes are always from 0x80 to 0xBF.
struct utf8_row
{
  unsigned char mMinFirst;
  unsigned char mMaxFirst;
  unsigned char mMinSecond;
  unsigned char mMaxSecond;
  std::size_t mLength;
};

constexpr utf8_row kUtf8Rows[] = {
  { 0xC2, 0xDF, 0x80, 0xBF, 2 }, { 0xE0, 0xE0, 0xA0, 0xBF, 3 },
  { 0xE1, 0xEC, 0x80, 0xBF, 3 }, { 0xED, 0xED, 0x80, 0x9F, 3 },
  { 0xEE, 0xEF, 0x80, 0xBF, 3 }, { 0xF0, 0xF0, 0x90, 0xBF, 4 },
  { 0xF1, 0xF3, 0x80, 0xBF, 4 }, { 0xF4, 0xF4, 0x80, 0x8F, 4 },
};

bool HasSequenceAtStart(const utf8_row& aRow, std::string_view aText)
{
  const auto at = [aText](std::size_t aIndex) {
    return static_cast<unsigned char>(aText[aIndex]);
  };
  if (aText.size() < aRow.mLength || at(0) < aRow.mMinFirst ||
      at(0) > aRow.mMaxFirst || at(1) < aRow.mMinSecond ||
      at(1) > aRow.mMaxSecond) {
    return false;
  }
  for (std::size_t i = 2; i < aRow.mLength; ++i) {
    if (at(i) < 0x80 || at(i) > 0xBF) {
      return false;
    }
  }
  return true;
}

// Returns the length in bytes of the well-formed sequence at the start of
// aText, or 0 if there is none. Precondition: aText is not empty.
std::size_t ComputeSequenceLength(std::string_view aText)
{
  if (static_cast<unsigned char>(aText[0]) < 0x80) {
    return 1;
  }
  for (const utf8_row& row : kUtf8Rows) {
    if (HasSequenceAtStart(row, aText)) {
      return row.mLength;
    }
  }
  return 0;
}

} // namespace

bool IsUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t length = ComputeSequenceLength(aText);
    if (length == 0) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

} // namespace foxtailquay
