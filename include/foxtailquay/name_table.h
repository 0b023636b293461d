// Tables that give each enumerator of an `enum class` its name.
//
// An enumeration E declares, in its own namespace,
//
//   constexpr auto NameTable(E) { return MakeNameTable<E>({...}); }
//
// Entries are listed in the order of the enumerators, from zero and without
// gaps, so that ToName is an array access. Logs, JSON, charts and metrics use
// only these names.

#ifndef FOXTAILQUAY_NAME_TABLE_H
#define FOXTAILQUAY_NAME_TABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace foxtailquay {

// One enumerator and its name.
template<typename Enum>
struct name_entry
{
  Enum mValue;
  std::string_view mName;
};

// The names of all enumerators.
template<typename Enum, std::size_t Size>
using name_table = std::array<name_entry<Enum>, Size>;

// Builds a table from a braced list of {enumerator, name} pairs.
template<typename Enum, std::size_t Size>
constexpr name_table<Enum, Size> MakeNameTable(
  const name_entry<Enum> (&aEntries)[Size])
{
  name_table<Enum, Size> table{};
  for (std::size_t i = 0; i < Size; ++i) {
    table[i] = aEntries[i];
  }
  return table;
}

// Returns true if entry i names enumerator i for every i. This is the
// precondition of ToName.
template<typename Enum>
constexpr bool IsDense()
{
  constexpr auto kTable = NameTable(Enum{});
  for (std::size_t i = 0; i < kTable.size(); ++i) {
    if (static_cast<std::size_t>(kTable[i].mValue) != i) {
      return false;
    }
  }
  return true;
}

// Returns the number of enumerators of Enum.
template<typename Enum>
constexpr std::size_t CountEnumerators()
{
  return NameTable(Enum{}).size();
}

// Returns the name of aValue, or "invalid" for a value outside the table.
template<typename Enum>
constexpr std::string_view ToName(Enum aValue)
{
  static_assert(IsDense<Enum>(), "name table must follow enumerator order");
  constexpr auto kTable = NameTable(Enum{});
  const auto index = static_cast<std::size_t>(aValue);
  return index < kTable.size() ? kTable[index].mName
                               : std::string_view("invalid");
}

// Returns the enumerator with the name aName, if there is one.
template<typename Enum>
constexpr std::optional<Enum> FromName(std::string_view aName)
{
  for (const auto& entry : NameTable(Enum{})) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

} // namespace foxtailquay

#endif
