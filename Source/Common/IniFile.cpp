#include "Common/IniFile.h"

#include <algorithm>
#include <stdexcept>

#include <cxxtools/iniparser.h>

#include "Common/TextFile.h"

namespace camphorstep {

namespace {

/// Collects sections and keys while cxxtools' parser reads the text.
class IniCollector : public cxxtools::IniParser::Event
{
public:
  explicit IniCollector(IniFile& aFile)
    : mFile(aFile)
  {
  }

  bool onSection(const std::string& aName) override
  {
    if (mFile.Find(aName) != nullptr) {
      Fail("section [" + aName + "] appears twice");
    }
    mFile.mSections.push_back({ aName, mLine, {} });
    return false;
  }

  bool onKey(const std::string& aKey) override
  {
    if (mFile.mSections.empty()) {
      Fail("key '" + aKey + "' stands before the first section");
    }
    IniSection& section = mFile.mSections.back();
    if (section.Find(aKey) != nullptr) {
      Fail("key '" + aKey + "' appears twice in [" + section.mName + "]");
    }
    section.mEntries.push_back({ aKey, "", mLine });
    return false;
  }

  bool onValue(const std::string& aValue) override
  {
    mFile.mSections.back().mEntries.back().mValue = aValue;
    return false;
  }

  bool onError() override
  {
    Fail("malformed line");
    return true;
  }

  void SetLine(int aLine) { mLine = aLine; }

private:
  [[noreturn]] void Fail(const std::string& aMessage) const
  {
    throw std::runtime_error(DescribeLine(mFile, mLine, aMessage));
  }

  IniFile& mFile;
  int mLine = 1;
};

}

const IniEntry*
IniSection::Find(std::string_view aKey) const
{
  const auto it = std::find_if(
    mEntries.begin(), mEntries.end(), [aKey](const IniEntry& aEntry) {
      return aEntry.mKey == aKey;
    });
  return it == mEntries.end() ? nullptr : &*it;
}

const IniSection*
IniFile::Find(std::string_view aName) const
{
  const auto it = std::find_if(
    mSections.begin(), mSections.end(), [aName](const IniSection& aSection) {
      return aSection.mName == aName;
    });
  return it == mSections.end() ? nullptr : &*it;
}

std::vector<const IniSection*>
IniFile::FindAll(std::string_view aPrefix) const
{
  std::vector<const IniSection*> found;
  for (const IniSection& section : mSections) {
    const std::string_view name = section.mName;
    if (name.size() > aPrefix.size() && name.starts_with(aPrefix) &&
        name[aPrefix.size()] == '.') {
      found.push_back(&section);
    }
  }
  return found;
}

IniFile
ParseIni(std::string_view aText, std::string aPath)
{
  IniFile file;
  file.mPath = std::move(aPath);
  IniCollector collector(file);
  cxxtools::IniParser parser(collector);
  int line = 1;
  for (const char ch : aText) {
    collector.SetLine(line);
    // Values are opaque bytes here, so each byte becomes one character.
    parser.parse(cxxtools::Char(static_cast<unsigned char>(ch)));
    if (ch == '\n') {
      ++line;
    }
  }
  collector.SetLine(line);
  parser.parse(cxxtools::Char('\n'));
  parser.end();
  return file;
}

IniFile
ReadIniFile(const std::string& aPath)
{
  return ParseIni(ReadTextFile(aPath), aPath);
}

std::string
DescribeLine(const IniFile& aFile, int aLine, std::string_view aMessage)
{
  return aFile.mPath + ":" + std::to_string(aLine) + ": " +
         std::string(aMessage);
}

}
