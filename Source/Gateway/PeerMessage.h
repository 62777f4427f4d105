#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Gateway/BackendMessage.h"
#include "Gateway/Ids.h"
#include "Gateway/StoreRecord.h"
#include "Model/Position.h"
#include "RateLimits/RateLimitMessage.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

/// A connection from another host, unique within the process.
using PeerLinkId = StrongId<struct GatewayPeerTag>;

/// The latest status of a server that the sender has.
struct ServerReport
{
  ServerId mServer;
  BackendStatus mStatus;
  Position mApplied;
  /// Time between the status request and the sending of the report.
  Duration mAge{ 0 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mStatus);
    ArchivePacked(aArchive, mApplied.mTerm);
    ArchivePacked(aArchive, mApplied.mIndex);
    ArchivePacked(aArchive, mAge);
  }
};

/// The number of hosts, including the sender, to which a server is silent.
struct SilentServer
{
  ServerId mServer;
  std::uint64_t mHosts = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer);
    ArchivePacked(aArchive, mHosts);
  }
};

/// All valid rows of one of the store's tables.
struct TableContent
{
  std::optional<RoutingVersion> mRouting;
  std::vector<ServerEntry> mServers;
  std::vector<HostEntry> mHosts;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRouting, mServers, mHosts);
  }
};

/// The sender's copy of one of the store's tables.
struct TableReport
{
  Table mTable = Table::Operator;
  /// The store's version up to which the sender's copy is complete.
  StoreVersion mVersion = 0;
  /// Age, when the report was sent, of the last confirmation that the store
  /// had nothing newer.
  Duration mAge{ 0 };
  /// All valid rows, if any changed after the version in the query.
  std::optional<TableContent> mContent;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTable, mContent);
    ArchivePacked(aArchive, mVersion);
    ArchivePacked(aArchive, mAge);
  }
};

/// The promoter's lease as last read by the sender of a report.
struct LeaseReport
{
  PromoterLease mLease;
  /// A time by the store's clock at which the row already had this version.
  Duration mSeenAt{ 0 };
  /// A lower bound of the store's clock when the report was sent.
  Duration mStoreTime{ 0 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLease);
    ArchivePacked(aArchive, mSeenAt);
    ArchivePacked(aArchive, mStoreTime);
  }
};

/// The newest retired term of a group.
struct RetiredTerm
{
  std::string mGroup;
  Term mTerm = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mGroup);
    ArchivePacked(aArchive, mTerm);
  }
};

/// The retired terms of all groups that the sender of a report knows.
struct RetiredTermsReport
{
  /// The version of the fleet table up to which they are complete.
  StoreVersion mVersion = 0;
  /// Age, when the report was sent, of the last confirmation that the store
  /// had no record of another one.
  Duration mAge{ 0 };
  std::vector<RetiredTerm> mTerms;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mVersion);
    ArchivePacked(aArchive, mAge);
    aArchive(mTerms);
  }
};

/// Queries another host for statuses, tables and the promoter's lease.
struct PeerQuery
{
  /// Identifies the query; the report repeats it.
  std::uint64_t mNumber = 0;
  /// The name of the querying host.
  std::string mHost;
  /// How long the answer may be delayed while there is nothing new to report.
  Duration mMaxWait{ 0 };
  /// The sequence number of the last report from the queried host; zero if
  /// there was none.
  std::uint64_t mSequence = 0;
  /// For each table, the version that the querying host has; zero if it has
  /// none.
  std::array<StoreVersion, kTableCount> mVersions{};
  /// The servers that are silent to the querying host, or to hosts that query
  /// it.
  std::vector<SilentServer> mSilent;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mNumber);
    aArchive(mHost, mSilent);
    ArchivePacked(aArchive, mMaxWait);
    ArchivePacked(aArchive, mSequence);
    for (StoreVersion& version : mVersions) {
      ArchivePacked(aArchive, version);
    }
  }
};

namespace detail {

/// The configuration that tables bring, or nullptr if they bring none.
inline RoutingVersion*
FindRouting(std::vector<TableReport>& aTables)
{
  for (TableReport& table : aTables) {
    if (table.mContent && table.mContent->mRouting) {
      return &*table.mContent->mRouting;
    }
  }
  return nullptr;
}

/// The parts that a report may end with. Each begins with its number. Nothing
/// is written for one that is not needed, so that hosts without it exchange the
/// same bytes as those that do not know it.
enum class ReportPart : std::uint8_t
{
  /// The client accounts of the configuration.
  Accounts,
  RetiredTerms,
};

template<typename Archive>
void
SaveReportParts(Archive& aArchive,
                std::vector<TableReport>& aTables,
                const std::optional<RetiredTermsReport>& aRetiredTerms)
{
  const RoutingVersion* const routing = FindRouting(aTables);
  if (routing != nullptr && routing->mAccountRules) {
    aArchive(static_cast<std::uint8_t>(ReportPart::Accounts),
             *routing->mAccountRules);
  }
  if (aRetiredTerms) {
    aArchive(static_cast<std::uint8_t>(ReportPart::RetiredTerms),
             *aRetiredTerms);
  }
}

template<typename Archive>
void
LoadReportPart(Archive& aArchive,
               std::vector<TableReport>& aTables,
               std::optional<RetiredTermsReport>& aRetiredTerms)
{
  std::uint8_t part = 0;
  aArchive(part);
  RoutingVersion* const routing = FindRouting(aTables);
  switch (static_cast<ReportPart>(part)) {
    case ReportPart::Accounts:
      if (routing == nullptr) {
        throw cereal::Exception("accounts without a configuration");
      }
      aArchive(routing->mAccountRules.emplace());
      return;
    case ReportPart::RetiredTerms:
      aArchive(aRetiredTerms.emplace());
      return;
  }
  throw cereal::Exception("a part of a report is not known");
}

}

/// The answer to a query: the statuses, tables and lease known to a host.
struct PeerReport
{
  /// The number of the query.
  std::uint64_t mNumber = 0;
  /// How long the answer was delayed.
  Duration mHeld{ 0 };
  /// Increases with each server status that the sender records.
  std::uint64_t mSequence = 0;
  /// Whether the sender holds the promoter's lease.
  bool mIsPromoter = false;
  std::vector<ServerReport> mServers;
  std::vector<TableReport> mTables;
  std::optional<LeaseReport> mLease;
  /// Reported around changes of primary only.
  std::optional<RetiredTermsReport> mRetiredTerms;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mNumber);
    ArchivePacked(aArchive, mHeld);
    ArchivePacked(aArchive, mSequence);
    aArchive(mIsPromoter, mServers, mTables, mLease);
    if constexpr (Archive::is_saving::value) {
      detail::SaveReportParts(aArchive, mTables, mRetiredTerms);
    } else {
      while (aArchive.Left() != 0) {
        detail::LoadReportPart(aArchive, mTables, mRetiredTerms);
      }
    }
  }
};

/// The version of the messages with which hosts pass sessions on; see
/// RelayMessage.h.
constexpr std::uint32_t kRelayVersion = 1;

/// The first message of a connection that passes sessions on; all others on it
/// are a RelayRequest or a RelayResponse. A host that does not know it, or not
/// its version, closes the connection.
struct RelayGreeting
{
  std::uint32_t mVersion = kRelayVersion;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mVersion);
  }
};

/// A message between two hosts. Those about limits are sent only where accounts
/// have limits, the greeting only where connections are shared.
using PeerMessage = std::variant<PeerQuery,
                                 PeerReport,
                                 RateLimitQuery,
                                 RateLimitReport,
                                 RelayGreeting>;

}
