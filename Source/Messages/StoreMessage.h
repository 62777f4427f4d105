#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorstep {

/// A row of the platform's table service. Each write of a row raises its
/// version by one; version zero stands for a row that is not there.
struct StoreRow
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  std::string mValue;

  bool operator==(const StoreRow&) const = default;
};

/// A row that a transaction depends on but does not write.
struct StoreCheck
{
  std::string mKey;
  std::uint64_t mVersion = 0;

  bool operator==(const StoreCheck&) const = default;
};

/// Takes effect as a whole, and only if every row that it names has the
/// version given here. Sent twice, it takes effect once.
struct StoreTransaction
{
  std::vector<StoreCheck> mChecks;
  /// The rows to write; their versions are those that they must have before.
  std::vector<StoreRow> mWrites;
};

/// Asks for the rows of some keys, or of a range of keys.
struct StoreQuery
{
  std::vector<std::string> mKeys;
  /// The first key of the range; empty for no range.
  std::string mFrom;
  /// The first key after the range.
  std::string mTo;
  /// The most rows of the range that are returned.
  std::uint32_t mLimit = 0;
};

/// What a machine is to the platform.
enum class MachineKind : std::uint8_t
{
  EntryHost,
  BackendServer
};

/// A line of the platform's list of hosts, which lags behind the truth.
struct ListedMachine
{
  std::string mName;
  MachineKind mKind = MachineKind::EntryHost;
  bool mLeaving = false;
  /// Grows each time that the machine is started anew.
  std::uint64_t mGeneration = 0;
};

}
