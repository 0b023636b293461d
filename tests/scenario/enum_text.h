// Names of enumerators as std::string: absl::StrCat of the packaged Abseil
// does not take std::string_view.

#ifndef FOXTAILQUAY_TESTS_SCENARIO_ENUM_TEXT_H
#define FOXTAILQUAY_TESTS_SCENARIO_ENUM_TEXT_H

#include <string>

#include "foxtailquay/name_table.h"

namespace foxtailquay::scenario {

template<typename Enum>
std::string ToEnumText(Enum aValue)
{
  return std::string(ToName(aValue));
}

} // namespace foxtailquay::scenario

#endif
