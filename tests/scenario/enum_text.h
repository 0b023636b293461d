// Converts enumerators to their names as std::string, because absl::StrCat of
// the packaged Abseil does not accept std::string_view.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_ENUM_TEXT_H
#define FOXTAILQUAY_TESTS_SCENARIO_ENUM_TEXT_H

#include <string>

#include "foxtailquay/name_table.h"

namespace foxtailquay::scenario {

// Returns the name of aValue in its name table.
template<typename Enum>
std::string ToEnumText(Enum aValue)
{
  return std::string(ToName(aValue));
}

} // namespace foxtailquay::scenario

#endif
