#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Gateway/Ids.h"
#include "Model/Position.h"

namespace camphorstep::gateway {

/// A connection from another host, unique within the process.
using PeerLinkId = StrongId<struct GatewayPeerTag>;

/// A server's status as the sender knows it.
struct ServerReport
{
  ServerId mServer;
  bool mPrimary = false;
  Term mTerm = 0;
  Position mReceived;
  Position mApplied;
  Term mPausedBy = 0;
  Duration mLag{ 0 };
  std::uint32_t mBusySlots = 0;
  std::uint32_t mConnections = 0;
  /// How long before the report was sent the status was asked for.
  Duration mAge{ 0 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer,
             mPrimary,
             mTerm,
             mReceived,
             mApplied,
             mPausedBy,
             mLag,
             mBusySlots,
             mConnections,
             mAge);
  }
};

/// Asks the host that holds the promoter's lease for the servers' statuses.
struct StatusQuery
{
  std::uint64_t mNumber = 0;
  std::string mHost;
  /// Servers that have been silent to the asking host.
  std::vector<ServerId> mSilent;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mHost, mSilent);
  }
};

struct StatusReport
{
  /// The number of the query.
  std::uint64_t mNumber = 0;
  std::vector<ServerReport> mServers;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mServers);
  }
};

/// Everything that hosts say to each other.
using PeerMessage = std::variant<StatusQuery, StatusReport>;

}
