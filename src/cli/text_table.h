// Aligned columns for people.
//
//   text_table table{ { "WORKSPACE", "SPENT" }, { 1 } };
//   table.mRows.push_back({ "looms", "1200" });
//   out << Render(table);
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
  // Columns of numbers, aligned to the right.
  std::set<std::size_t> mRight;
  // Cells beyond the header's width are not shown.
  std::vector<std::vector<std::string>> mRows;
};

// Two spaces between columns, no spaces at the end of a line. Control
// characters in cells are shown as "?", so that a name from a router cannot
// send commands to the terminal.
std::string Render(const text_table& aTable);

} // namespace foxtailquay

#endif
