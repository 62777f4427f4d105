#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace camphorstep {

/// One row of a table that names the values of an enumeration.
template<typename Enum>
struct EnumName
{
  Enum mValue;
  std::string_view mName;
};

/// Looks up the name of a value; "unknown" if the table lacks it.
template<typename Enum, std::size_t Size>
constexpr std::string_view
NameIn(const std::array<EnumName<Enum>, Size>& aTable, Enum aValue)
{
  const auto it = std::find_if(
    aTable.begin(), aTable.end(), [aValue](const EnumName<Enum>& aRow) {
      return aRow.mValue == aValue;
    });
  return it == aTable.end() ? std::string_view("unknown") : it->mName;
}

/// Looks up the value that bears a name.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum>
ValueIn(const std::array<EnumName<Enum>, Size>& aTable, std::string_view aName)
{
  const auto it = std::find_if(
    aTable.begin(), aTable.end(), [aName](const EnumName<Enum>& aRow) {
      return aRow.mName == aName;
    });
  return it == aTable.end() ? std::nullopt : std::optional<Enum>(it->mValue);
}

}
