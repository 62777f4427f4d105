#include "Configuration/ProfileDiff.h"

#include <map>
#include <set>
#include <utility>

namespace camphorstep {

namespace {

using FlatProfiles = std::map<std::pair<std::string, std::string>, std::string>;

FlatProfiles
Flatten(const IniFile& aFile)
{
  FlatProfiles values;
  for (const IniSection& section : aFile.mSections) {
    for (const IniEntry& entry : section.mEntries) {
      values[{ section.mName, entry.mKey }] = entry.mValue;
    }
  }
  return values;
}

}

std::vector<ProfileChange>
DiffProfiles(const IniFile& aOld, const IniFile& aNew)
{
  const FlatProfiles old = Flatten(aOld);
  const FlatProfiles next = Flatten(aNew);
  std::vector<ProfileChange> changes;
  for (const auto& [sectionAndKey, value] : old) {
    const auto it = next.find(sectionAndKey);
    const std::string newValue = it == next.end() ? "" : it->second;
    if (newValue != value) {
      changes.push_back(
        { sectionAndKey.first, sectionAndKey.second, value, newValue });
    }
  }
  for (const auto& [sectionAndKey, value] : next) {
    if (!old.contains(sectionAndKey)) {
      changes.push_back(
        { sectionAndKey.first, sectionAndKey.second, "", value });
    }
  }
  return changes;
}

std::vector<std::string>
ChangedSections(const std::vector<ProfileChange>& aChanges)
{
  std::set<std::string> sections;
  for (const ProfileChange& change : aChanges) {
    sections.insert(change.mSection);
  }
  return { sections.begin(), sections.end() };
}

}
