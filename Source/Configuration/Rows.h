#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Messages/StoreMessage.h"
#include "Model/ConfigurationRecord.h"

namespace camphorstep {

// Layout of the configuration in the platform's table:
//   config/head            its row version is the current configuration's
//                          version; the value is the change identifier
//   config/version/N       a ConfigurationRecord, written once
//   config/change/ID       the version that a change published and the digest
//                          of its author and text, written once
//   audit/TIME/ID          an AuditRecord, written once
// Values are JSON or plain text, so that operators can read them.

inline const std::string kHeadKey = "config/head";

std::string VersionKey(std::uint64_t aVersion);
std::string ChangeKey(const std::string& aChangeId);

/// Returns a key that sorts by time. With an empty identifier it sorts before
/// all other keys of that time.
std::string AuditKey(std::int64_t aTime, const std::string& aId);

/// The published version of a change, and the digest of its author and text.
struct ChangeEntry
{
  std::uint64_t mVersion = 0;
  std::uint64_t mDigest = 0;
};

/// Returns the change entry of a record.
ChangeEntry EntryOf(const ConfigurationRecord& aRecord);

std::string EncodeRow(const ChangeEntry& aEntry);
std::string EncodeRow(const ConfigurationRecord& aRecord);
std::string EncodeRow(const AuditRecord& aRecord);

/// These return nothing if the value is malformed.
std::optional<ConfigurationRecord> DecodeRecord(const std::string& aValue);
std::optional<ChangeEntry> DecodeChange(const std::string& aValue);
std::optional<AuditRecord> DecodeAudit(const std::string& aValue);

/// Returns the row of a key, or nullptr if it does not exist.
const StoreRow* FindRow(const std::vector<StoreRow>& aRows,
                        const std::string& aKey);

}
