#pragma once

#include <string>
#include <vector>

#include "Common/IniFile.h"

namespace camphorstep {

/// A key whose value differs between two profile files. An absent key or
/// section has an empty value.
struct ProfileChange
{
  std::string mSection;
  std::string mKey;
  std::string mOld;
  std::string mNew;
};

/// Compares two profile files by section and key. Comments, order and blank
/// space make no difference.
std::vector<ProfileChange> DiffProfiles(const IniFile& aOld,
                                        const IniFile& aNew);

/// The sections that differ, each once, in order.
std::vector<std::string> ChangedSections(
  const std::vector<ProfileChange>& aChanges);

}
