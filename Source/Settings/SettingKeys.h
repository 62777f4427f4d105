#pragma once

#include <span>
#include <string>
#include <string_view>

namespace camphorstep {

/// A key of the settings file as docs/SETTINGS.md describes it.
struct SettingKey
{
  /// The section; "name.*" stands for all sections "name.something".
  std::string_view mSection;
  std::string_view mKey;
  /// What values the key takes.
  std::string_view mValues;
  /// The value when the key is absent; empty if it must be present.
  std::string_view mDefault;
  std::string_view mMeaning;
};

/// All keys in the order of the documentation.
std::span<const SettingKey> SettingKeyTable();

/// Whether a section of that name may have a key.
bool IsSettingKey(std::string_view aSection, std::string_view aKey);

/// The name under which the table lists a section: "server.*" for
/// "server.records-1".
std::string SettingSectionOf(std::string_view aSection);

}
