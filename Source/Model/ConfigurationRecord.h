#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace camphorstep {

/// A published version of the profiles, as it stands in the store and as
/// hosts pass it on. Times of operators are microseconds since 1970, UTC.
struct ConfigurationRecord
{
  std::uint64_t mVersion = 0;
  std::string mChangeId;
  std::string mAuthor;
  std::string mReason;
  std::int64_t mPublishedAt = 0;
  /// The INI text.
  std::string mText;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(cereal::make_nvp("version", mVersion),
             cereal::make_nvp("change_id", mChangeId),
             cereal::make_nvp("author", mAuthor),
             cereal::make_nvp("reason", mReason),
             cereal::make_nvp("published_at", mPublishedAt),
             cereal::make_nvp("text", mText));
  }
};

/// One action of an operator. Audit records are only ever added.
struct AuditRecord
{
  std::int64_t mTime = 0;
  std::string mAuthor;
  /// "publish", "drain" or "switch-over".
  std::string mAction;
  std::string mReason;
  std::string mChangeId;
  /// The host that carried the action out.
  std::string mHost;
  /// The version that the action published; zero for other actions.
  std::uint64_t mVersion = 0;
  /// The sections of the profile file that changed.
  std::vector<std::string> mSections;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(cereal::make_nvp("time", mTime),
             cereal::make_nvp("author", mAuthor),
             cereal::make_nvp("action", mAction),
             cereal::make_nvp("reason", mReason),
             cereal::make_nvp("change_id", mChangeId),
             cereal::make_nvp("host", mHost),
             cereal::make_nvp("version", mVersion),
             cereal::make_nvp("sections", mSections));
  }
};

}
