#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Model/Profile.h"
#include "Model/Topology.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

/// The tables of the platform's store that a host follows.
enum class Table : std::uint8_t
{
  /// What operators publish.
  Operator,
  /// Backend servers' own entries.
  Servers,
  /// The project's own: hosts and the promoter's lease.
  Fleet,
};

constexpr std::size_t kTableCount = 3;

/// What a database name that callers ask for stands for.
struct Route
{
  std::string mDatabase;
  std::string mGroup;
  Freshness mFreshness = Freshness::Primary;
  /// The greatest age of data that a read may show; for read-your-writes it
  /// bounds what others have written.
  Duration mMaxAge{ 0 };
  /// The longest that one statement may take.
  Duration mStatementTimeout{ 0 };
  /// The response time that the route is meant to keep.
  Duration mTarget{ 0 };
  /// Zero is the most urgent.
  std::uint32_t mUrgency = 0;

  bool operator==(const Route&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDatabase, mGroup, mFreshness);
    ArchivePacked(aArchive, mMaxAge);
    ArchivePacked(aArchive, mStatementTimeout);
    ArchivePacked(aArchive, mTarget);
    ArchivePacked(aArchive, mUrgency);
  }
};

/// What operators say of a group of backend servers.
struct GroupRules
{
  std::string mName;
  /// The most connections that one server takes from everyone.
  std::uint32_t mMaxConnections = 30;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName);
    ArchivePacked(aArchive, mMaxConnections);
  }
};

/// One published version of routes and groups.
struct RoutingVersion
{
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<GroupRules> mGroups;
  /// After this long without a statement a transaction may be ended.
  Duration mTransactionIdleTimeout{ 10'000'000 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mVersion);
    aArchive(mRoutes, mGroups);
    ArchivePacked(aArchive, mTransactionIdleTimeout);
  }
};

/// A backend server's entry.
struct ServerEntry
{
  std::string mName;
  std::string mGroup;
  Address mAddress;
  std::string mDataCentre;
  std::uint32_t mSlots = 5;
  bool mLeaving = false;
  bool mPrimary = false;
  /// When the server started: milliseconds since 1970, UTC, by its clock.
  std::uint64_t mStartedAt = 0;

  bool operator==(const ServerEntry&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mGroup, mAddress, mDataCentre, mLeaving, mPrimary);
    ArchivePacked(aArchive, mSlots);
    ArchivePacked(aArchive, mStartedAt);
  }
};

/// A host of the proxy's own.
struct HostEntry
{
  std::string mName;
  Address mPeerAddress;
  std::string mDataCentre;
  /// Drawn at random at process start.
  std::uint64_t mIncarnation = 0;
  /// The processor time that it may use, in thousandths of a core.
  std::uint32_t mProcessorShare = 0;

  bool operator==(const HostEntry&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mPeerAddress, mDataCentre, mIncarnation);
    ArchivePacked(aArchive, mProcessorShare);
  }
};

/// Who may promote servers, and the fencing token of its calls.
struct PromoterLease
{
  /// The host that holds the lease; empty if it was given back.
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mToken = 0;
  /// The version of the row, for conditional writes.
  std::uint64_t mRowVersion = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolder, mIncarnation);
    ArchivePacked(aArchive, mToken);
    ArchivePacked(aArchive, mRowVersion);
  }
};

/// A change of one row; no entry means that the row is gone or names
/// nothing to use.
template<typename Entry>
struct RowChange
{
  std::string mKey;
  std::optional<Entry> mEntry;
};

/// How a call to the platform ended.
enum class CallOutcome : std::uint8_t
{
  Ok,
  /// A condition did not hold; nothing was done.
  Conflict,
  /// The history that was asked for is no longer there.
  HistoryLost,
  /// Refused; nothing was done.
  Refused,
  /// No answer; it may have been done, or may still be.
  Unknown,
};

/// The rows of a table, all of them or those that changed.
struct TableAnswer
{
  CallId mCall;
  Table mTable = Table::Operator;
  CallOutcome mOutcome = CallOutcome::Unknown;
  /// Whether the rows are all that the table holds.
  bool mWhole = false;
  /// If there are more rows: the last key of these.
  std::string mMoreFrom;
  /// The store's version up to which the rows are known.
  std::uint64_t mVersion = 0;
  /// The store's steady clock.
  Duration mStoreTime{ 0 };
  std::optional<RoutingVersion> mRouting;
  std::vector<RowChange<ServerEntry>> mServers;
  std::vector<RowChange<HostEntry>> mHosts;
  std::optional<PromoterLease> mLease;
};

}
