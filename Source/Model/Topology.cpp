#include "Model/Topology.h"

#include <algorithm>

namespace camphorstep {

namespace {

template<typename Map, typename Key>
auto
FindIn(const Map& aMap, Key aKey) -> decltype(&aMap.begin()->second)
{
  const auto it = aMap.find(aKey);
  return it == aMap.end() ? nullptr : &it->second;
}

}

Proximity
ProximityOf(const Place& aFirst, const Place& aSecond)
{
  if (aFirst.mRegion != aSecond.mRegion) {
    return Proximity::OtherRegion;
  }
  return aFirst.mDataCentre == aSecond.mDataCentre ? Proximity::SameDataCentre
                                                   : Proximity::SameRegion;
}

const std::vector<HostId>&
Topology::HostsOf(DataCentreId aDataCentre) const
{
  if (mIndexedHosts != mHosts.size()) {
    IndexHosts();
  }
  static const std::vector<HostId> kNone;
  const auto it = mHostsOf.find(aDataCentre);
  return it == mHostsOf.end() ? kNone : it->second;
}

void
Topology::IndexHosts() const
{
  mHostsOf.clear();
  for (const auto& [id, host] : mHosts) {
    mHostsOf[host.mPlace.mDataCentre].push_back(id);
  }
  for (auto& [centre, hosts] : mHostsOf) {
    std::sort(hosts.begin(), hosts.end());
  }
  mIndexedHosts = mHosts.size();
}

const Server*
Topology::FindServer(ServerId aServer) const
{
  return FindIn(mServers, aServer);
}

const Database*
Topology::FindDatabase(DatabaseId aDatabase) const
{
  return FindIn(mDatabases, aDatabase);
}

const Host*
Topology::FindHost(HostId aHost) const
{
  return FindIn(mHosts, aHost);
}

}
