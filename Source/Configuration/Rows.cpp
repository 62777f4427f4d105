#include "Configuration/Rows.h"

#include <algorithm>
#include <sstream>

#include <cereal/archives/json.hpp>

#include "Common/Hash.h"

namespace camphorstep {

namespace {

/// Decimal digits of the largest 64-bit number. Numbers are padded to this
/// width so that keys sort by number.
constexpr std::size_t kNumberWidth = 20;

std::string
PaddedNumber(std::uint64_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(kNumberWidth - digits.size(), '0') + digits;
}

template<typename Record>
std::string
EncodeJson(const Record& aRecord)
{
  std::ostringstream out;
  {
    cereal::JSONOutputArchive archive(
      out, cereal::JSONOutputArchive::Options::NoIndent());
    archive(cereal::make_nvp("record", aRecord));
  }
  return std::move(out).str();
}

template<typename Record>
std::optional<Record>
DecodeJson(const std::string& aValue)
{
  try {
    std::istringstream in(aValue);
    cereal::JSONInputArchive archive(in);
    Record record;
    archive(cereal::make_nvp("record", record));
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}

std::string
VersionKey(std::uint64_t aVersion)
{
  return "config/version/" + PaddedNumber(aVersion);
}

std::string
ChangeKey(const std::string& aChangeId)
{
  return "config/change/" + aChangeId;
}

std::string
AuditKey(std::int64_t aTime, const std::string& aId)
{
  const std::int64_t time = std::max<std::int64_t>(aTime, 0);
  return "audit/" + PaddedNumber(static_cast<std::uint64_t>(time)) + "/" + aId;
}

ChangeEntry
EntryOf(const ConfigurationRecord& aRecord)
{
  return { aRecord.mVersion,
           HashPair(Hash64(aRecord.mAuthor), Hash64(aRecord.mText)) };
}

std::string
EncodeRow(const ChangeEntry& aEntry)
{
  return std::to_string(aEntry.mVersion) + " " + std::to_string(aEntry.mDigest);
}

std::string
EncodeRow(const ConfigurationRecord& aRecord)
{
  return EncodeJson(aRecord);
}

std::string
EncodeRow(const AuditRecord& aRecord)
{
  return EncodeJson(aRecord);
}

std::optional<ConfigurationRecord>
DecodeRecord(const std::string& aValue)
{
  return DecodeJson<ConfigurationRecord>(aValue);
}

std::optional<ChangeEntry>
DecodeChange(const std::string& aValue)
{
  std::istringstream in(aValue);
  ChangeEntry entry;
  in >> entry.mVersion >> entry.mDigest;
  return in ? std::optional<ChangeEntry>(entry) : std::nullopt;
}

std::optional<AuditRecord>
DecodeAudit(const std::string& aValue)
{
  return DecodeJson<AuditRecord>(aValue);
}

const StoreRow*
FindRow(const std::vector<StoreRow>& aRows, const std::string& aKey)
{
  const auto it =
    std::find_if(aRows.begin(), aRows.end(), [&aKey](const StoreRow& aRow) {
      return aRow.mKey == aKey && aRow.mVersion != 0;
    });
  return it == aRows.end() ? nullptr : &*it;
}

}
