#include "cli/text_table.h"

#include <algorithm>

namespace foxtailquay {

namespace {

// Replaces control characters by "?".
std::string ToPrintable(std::string aText)
{
  for (char& letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (code < 0x20 || code == 0x7f) {
      letter = '?';
    }
  }
  return aText;
}

// Returns the number of characters in UTF-8 text, so that columns with
// non-ASCII names are aligned.
std::size_t ComputeWidth(const std::string& aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(),
                  [](unsigned char aByte) { return (aByte & 0xc0) != 0x80; }));
}

std::string RenderRow(const std::vector<std::string>& aCells,
                      const std::vector<std::size_t>& aWidths,
                      const std::set<std::size_t>& aRight)
{
  std::string line;
  for (std::size_t i = 0; i < aWidths.size(); ++i) {
    const std::string cell = i < aCells.size() ? ToPrintable(aCells[i]) : "";
    const std::string gap(aWidths[i] - std::min(aWidths[i], ComputeWidth(cell)),
                          ' ');
    line += i == 0 ? "" : "  ";
    line += aRight.count(i) != 0 ? gap + cell : cell + gap;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

} // namespace

std::string RenderTable(const text_table& aTable)
{
  std::vector<std::size_t> widths;
  for (const std::string& title : aTable.mHeader) {
    widths.push_back(ComputeWidth(title));
  }
  for (const auto& row : aTable.mRows) {
    for (std::size_t i = 0; i < std::min(row.size(), widths.size()); ++i) {
      widths[i] = std::max(widths[i], ComputeWidth(row[i]));
    }
  }
  std::string text = RenderRow(aTable.mHeader, widths, aTable.mRightAligned);
  for (const auto& row : aTable.mRows) {
    text += RenderRow(row, widths, aTable.mRightAligned);
  }
  return text;
}

} // namespace foxtailquay
