#pragma once

#include <cstddef>
#include <optional>
#include <unordered_set>

#include "Common/Time.h"
#include "Model/Ids.h"

namespace camphorstep {

struct State;

/// The rank of a host, from zero, among the relays of its data centre: the
/// first two available hosts in rendezvous order, which poll the platform on
/// behalf of all. Empty for other hosts.
std::optional<std::size_t> RelayRankOf(const State& aState, HostId aHost);

/// The interval at which this host polls the platform, given that of the first
/// relay when all hosts of the data centre are available. Empty if this host is
/// no relay.
///
/// The second relay polls less often. The interval grows in inverse proportion
/// to the share of available hosts, so that the read rate of a partitioned data
/// centre, in which every host may consider itself a relay, does not rise.
std::optional<Duration> PollInterval(const State& aState,
                                     Duration aBaseInterval);

/// The hosts with which this host exchanges heartbeats.
struct HeartbeatPartners
{
  /// Neighbours on the ring of the data centre.
  std::unordered_set<HostId> mLocal;
  /// If this host is a relay, the relays of the other data centres.
  std::unordered_set<HostId> mRemote;

  bool Contains(HostId aHost) const
  {
    return mLocal.contains(aHost) || mRemote.contains(aHost);
  }
};

HeartbeatPartners FindHeartbeatPartners(const State& aState);

}
