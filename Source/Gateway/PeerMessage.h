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
#include "Wire/Packed.h"

namespace camphorstep::gateway {

/// A connection from another host, unique within the process.
using PeerLinkId = StrongId<struct GatewayPeerTag>;

/// A server's status as the sender knows it.
struct ServerReport
{
  ServerId mServer;
  BackendStatus mStatus;
  Position mApplied;
  /// How long before the report was sent the status was asked for.
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

/// How many hosts, the sender among them, a server is silent to.
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

/// All usable rows of one of the store's tables.
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

/// What the sender of a report knows of one of the store's tables.
struct TableNews
{
  Table mTable = Table::Operator;
  /// The store's version up to which the sender knows the table.
  std::uint64_t mVersion = 0;
  /// How long before the report was sent the store had nothing newer.
  Duration mAge{ 0 };
  /// The rows, if they changed after the version that the query names.
  std::optional<TableContent> mContent;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTable, mContent);
    ArchivePacked(aArchive, mVersion);
    ArchivePacked(aArchive, mAge);
  }
};

/// The promoter's lease as the sender of a report knows it.
struct LeaseNews
{
  PromoterLease mLease;
  /// The store's clock at a time when the row was there already.
  Duration mSeenAt{ 0 };
  /// The store's clock when the report was sent, or less.
  Duration mStoreTime{ 0 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLease);
    ArchivePacked(aArchive, mSeenAt);
    ArchivePacked(aArchive, mStoreTime);
  }
};

/// Asks another host for what it knows.
struct NewsQuery
{
  std::uint64_t mNumber = 0;
  std::string mHost;
  /// How long the answer may wait for news.
  Duration mHold{ 0 };
  /// The statuses that the asked host has reported before.
  std::uint64_t mSequence = 0;
  /// The versions up to which the asking host knows the tables; zero is not
  /// at all.
  std::array<std::uint64_t, kTableCount> mVersions{};
  std::vector<SilentServer> mSilent;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mNumber);
    aArchive(mHost, mSilent);
    ArchivePacked(aArchive, mHold);
    ArchivePacked(aArchive, mSequence);
    for (std::uint64_t& version : mVersions) {
      ArchivePacked(aArchive, version);
    }
  }
};

/// What a host knows of servers and tables.
struct NewsReport
{
  /// The number of the query.
  std::uint64_t mNumber = 0;
  /// How long the query waited for this.
  Duration mHeld{ 0 };
  /// Grows with each status that the sender takes.
  std::uint64_t mSequence = 0;
  /// Whether the sender holds the promoter's lease.
  bool mIsPromoter = false;
  std::vector<ServerReport> mServers;
  std::vector<TableNews> mTables;
  std::optional<LeaseNews> mLease;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mNumber);
    ArchivePacked(aArchive, mHeld);
    ArchivePacked(aArchive, mSequence);
    aArchive(mIsPromoter, mServers, mTables, mLease);
  }
};

/// Everything that hosts say to each other.
using PeerMessage = std::variant<NewsQuery, NewsReport>;

}
