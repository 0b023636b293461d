// Formats a table of text cells with aligned columns.
//
//   text_table table{ { "WORKSPACE", "SPENT" }, { 1 }, {} };
//   table.mRows.push_back({ "looms", "1200" });
//   out << RenderTable(table);
//
// Pure function; safe on any thread.

#ifndef FOXTAILQUAY_CLI_TEXT_TABLE_H
#define FOXTAILQUAY_CLI_TEXT_TABLE_H

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace foxtailquay {

struct text_table
{
  std::vector<std::string> mHeader;
  // Indexes of the columns that are aligned to the right, such as numbers.
  std::set<std::size_t> mRightAligned;
  // Cells of a row beyond the columns of the header are not shown.
  std::vector<std::vector<std::string>> mRows;
};

// Returns the header and the rows as text, with two spaces between columns and
// no spaces at the end of a line. Control characters in the rows are replaced
// by "?", so that a name received from a router cannot send escape sequences to
// the terminal.
std::string RenderTable(const text_table& aTable);

} // namespace foxtailquay

#endif
