#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "Model/Ids.h"

namespace camphorstep {

/// An IP address and port.
struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  bool operator==(const Address&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIp, mPort);
  }
};

/// Where a machine stands.
struct Place
{
  DataCentreId mDataCentre;
  RegionId mRegion;

  bool operator==(const Place&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDataCentre, mRegion);
  }
};

/// A host that runs the proxy.
struct Host
{
  HostId mId;
  std::string mName;
  Place mPlace;
  Address mPeerAddress;
};

/// A backend server of a database.
struct Server
{
  ServerId mId;
  std::string mName;
  DatabaseId mDatabase;
  Place mPlace;
  Address mAddress;
  /// The most connections that the server takes from everyone.
  int mMaxConnections = 30;
  /// The most statements that the server runs at once.
  int mSlots = 5;
};

/// A database and the servers of its group.
struct Database
{
  DatabaseId mId;
  std::string mName;
  std::vector<ServerId> mServers;
};

/// How near two places are, the nearest first.
enum class Proximity : std::uint8_t
{
  SameDataCentre,
  SameRegion,
  OtherRegion
};

Proximity ProximityOf(const Place& aFirst, const Place& aSecond);

/// The hosts, databases and servers that a host knows of.
struct Topology
{
  std::unordered_map<HostId, Host> mHosts;
  std::unordered_map<DatabaseId, Database> mDatabases;
  std::unordered_map<ServerId, Server> mServers;

  /// The hosts of a data centre in the order of their identifiers. Hosts are
  /// indexed anew when their number has changed.
  const std::vector<HostId>& HostsOf(DataCentreId aDataCentre) const;

  const Server* FindServer(ServerId aServer) const;
  const Database* FindDatabase(DatabaseId aDatabase) const;
  const Host* FindHost(HostId aHost) const;

private:
  void IndexHosts() const;

  mutable std::unordered_map<DataCentreId, std::vector<HostId>> mHostsOf;
  mutable std::size_t mIndexedHosts = 0;
};

}
