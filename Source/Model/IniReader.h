#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>
#include <utility>

#include "Common/IniFile.h"
#include "Common/NamedEnum.h"
#include "Common/Time.h"

namespace camphorstep {

/// Reads the keys of one section into typed variables, leaves the defaults
/// of absent keys alone, and refuses keys that nothing asked for. Every
/// error is a std::runtime_error that names file and line.
class IniReader
{
public:
  IniReader(const IniFile& aFile, const IniSection& aSection)
    : mFile(aFile)
    , mSection(aSection)
  {
  }

  /// Reads a whole number within a range.
  template<typename Integer>
  void Read(std::string_view aKey, Integer& aValue, Integer aMin, Integer aMax)
  {
    if (const IniEntry* const entry = Take(aKey)) {
      aValue =
        static_cast<Integer>(ParseNumber(*entry,
                                         static_cast<std::int64_t>(aMin),
                                         static_cast<std::int64_t>(aMax)));
    }
  }

  /// Reads a decimal number within a range.
  void Read(std::string_view aKey, double& aValue, double aMin, double aMax)
  {
    const IniEntry* const entry = Take(aKey);
    if (entry == nullptr) {
      return;
    }
    const char* const end = entry->mValue.data() + entry->mValue.size();
    double value = 0;
    const auto parsed = std::from_chars(entry->mValue.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      Fail(*entry, "is not a number");
    }
    if (!(value >= aMin && value <= aMax)) {
      Fail(*entry, "is out of range");
    }
    aValue = value;
  }

  /// Reads a duration given in milliseconds.
  void ReadMilliseconds(std::string_view aKey,
                        Duration& aValue,
                        std::int64_t aMin,
                        std::int64_t aMax)
  {
    if (const IniEntry* const entry = Take(aKey)) {
      aValue = std::chrono::milliseconds(ParseNumber(*entry, aMin, aMax));
    }
  }

  /// Reads a text; an empty one is refused.
  void Read(std::string_view aKey, std::string& aValue)
  {
    if (const IniEntry* const entry = Take(aKey)) {
      if (entry->mValue.empty()) {
        Fail(*entry, "must not be empty");
      }
      aValue = entry->mValue;
    }
  }

  /// Reads a text that must be present.
  std::string Require(std::string_view aKey)
  {
    std::string value;
    Read(aKey, value);
    if (value.empty()) {
      throw std::runtime_error(DescribeLine(
        mFile,
        mSection.mLine,
        "[" + mSection.mName + "] lacks the key '" + std::string(aKey) + "'"));
    }
    return value;
  }

  /// Reads one of the names in a table.
  template<typename Enum, std::size_t Size>
  void Read(std::string_view aKey,
            Enum& aValue,
            const std::array<EnumName<Enum>, Size>& aTable)
  {
    if (const IniEntry* const entry = Take(aKey)) {
      const std::optional<Enum> value = ValueIn(aTable, entry->mValue);
      if (!value) {
        Fail(*entry, "has the unknown value '" + entry->mValue + "'");
      }
      aValue = *value;
    }
  }

  /// Refuses the first key that was never read.
  void RefuseUnknownKeys() const
  {
    for (const IniEntry& entry : mSection.mEntries) {
      if (!mTaken.contains(entry.mKey)) {
        Fail(entry, "is not a known key");
      }
    }
  }

  [[noreturn]] void Fail(const IniEntry& aEntry,
                         const std::string& aReason) const
  {
    throw std::runtime_error(DescribeLine(mFile,
                                          aEntry.mLine,
                                          "key '" + aEntry.mKey + "' in [" +
                                            mSection.mName + "] " + aReason));
  }

  /// Marks a key as known and finds it, or nullptr.
  const IniEntry* Take(std::string_view aKey)
  {
    mTaken.emplace(aKey);
    return mSection.Find(aKey);
  }

  const IniSection& Section() const { return mSection; }

  /// The keys that were asked for so far, present or not.
  const std::unordered_set<std::string>& AskedKeys() const { return mTaken; }

private:
  std::int64_t ParseNumber(const IniEntry& aEntry,
                           std::int64_t aMin,
                           std::int64_t aMax) const
  {
    std::size_t n = 0;
    std::int64_t value = 0;
    try {
      value = std::stoll(aEntry.mValue, &n);
    } catch (const std::logic_error&) {
      n = 0;
    }
    if (n == 0 || n != aEntry.mValue.size()) {
      Fail(aEntry, "is not a whole number");
    }
    if (value < aMin || value > aMax) {
      Fail(aEntry,
           "must be from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
    }
    return value;
  }

  const IniFile& mFile;
  const IniSection& mSection;
  std::unordered_set<std::string> mTaken;
};

}
