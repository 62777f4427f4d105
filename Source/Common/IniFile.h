#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace camphorstep {

/// One key of an INI file with the line on which it stands.
struct IniEntry
{
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

/// One section of an INI file with its keys in file order.
struct IniSection
{
  std::string mName;
  int mLine = 0;
  std::vector<IniEntry> mEntries;

  /// Finds a key, or nullptr.
  const IniEntry* Find(std::string_view aKey) const;
};

/// A parsed INI file.
struct IniFile
{
  std::string mPath;
  std::vector<IniSection> mSections;

  /// Finds a section, or nullptr.
  const IniSection* Find(std::string_view aName) const;

  /// Finds all sections whose names are "prefix.something".
  std::vector<const IniSection*> FindAll(std::string_view aPrefix) const;
};

/// Parses INI text. The path only labels errors. Throws std::runtime_error
/// with path and line on malformed text, a repeated section or a repeated
/// key.
IniFile ParseIni(std::string_view aText, std::string aPath);

/// Reads and parses an INI file; throws std::runtime_error.
IniFile ReadIniFile(const std::string& aPath);

/// Formats "path:line: message".
std::string DescribeLine(const IniFile& aFile,
                         int aLine,
                         std::string_view aMessage);

}
