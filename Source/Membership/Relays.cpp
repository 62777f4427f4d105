#include "Membership/Relays.h"

#include <algorithm>
#include <unordered_set>
#include <vector>

#include "Membership/Membership.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr std::size_t kRelaysPerDataCentre = 2;
/// The second relay polls this many times less often than the first.
constexpr int kSecondRelayFactor = 4;
/// A host exchanges heartbeats with this many hosts on each side of the ring.
constexpr std::size_t kRingNeighbours = 2;

/// A host that may be a relay, with its weight in rendezvous order.
struct RelayCandidate
{
  std::uint64_t mWeight = 0;
  HostId mHost;
};

/// The available hosts of a data centre that come first in rendezvous order.
std::vector<HostId>
RelaysOf(const State& aState, DataCentreId aDataCentre)
{
  std::vector<RelayCandidate> candidates;
  for (const HostId host : aState.mTopology.HostsOf(aDataCentre)) {
    if (IsAvailable(aState, host)) {
      candidates.push_back({ HashPair(host.mValue, aDataCentre.mValue), host });
    }
  }
  const std::size_t count = std::min(kRelaysPerDataCentre, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const RelayCandidate& aOne, const RelayCandidate& aTwo) {
                      return aOne.mWeight > aTwo.mWeight;
                    });
  std::vector<HostId> relays;
  for (std::size_t n = 0; n < count; ++n) {
    relays.push_back(candidates[n].mHost);
  }
  return relays;
}

/// The hosts near this one on the ring of its data centre.
std::unordered_set<HostId>
RingNeighbours(const State& aState)
{
  const std::vector<HostId>& ring =
    aState.mTopology.HostsOf(aState.mPlace.mDataCentre);
  const auto self = std::find(ring.begin(), ring.end(), aState.mSelf);
  std::unordered_set<HostId> neighbours;
  if (self == ring.end()) {
    return neighbours;
  }
  const auto selfIndex = static_cast<std::size_t>(self - ring.begin());
  for (std::size_t n = 1; n <= kRingNeighbours; ++n) {
    neighbours.insert(ring[(selfIndex + n) % ring.size()]);
    neighbours.insert(
      ring[(selfIndex + ring.size() - n % ring.size()) % ring.size()]);
  }
  neighbours.erase(aState.mSelf);
  return neighbours;
}

/// The data centres that have hosts, other than this host's own.
std::unordered_set<DataCentreId>
OtherDataCentres(const State& aState)
{
  std::unordered_set<DataCentreId> dataCentres;
  for (const auto& [id, host] : aState.mTopology.mHosts) {
    dataCentres.insert(host.mPlace.mDataCentre);
  }
  dataCentres.erase(aState.mPlace.mDataCentre);
  return dataCentres;
}

}

std::optional<std::size_t>
RelayRankOf(const State& aState, HostId aHost)
{
  const Host* const host = aState.mTopology.FindHost(aHost);
  if (host == nullptr) {
    return std::nullopt;
  }
  const std::vector<HostId> relays = RelaysOf(aState, host->mPlace.mDataCentre);
  const auto it = std::find(relays.begin(), relays.end(), aHost);
  return it == relays.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(it - relays.begin()));
}

std::optional<Duration>
PollInterval(const State& aState, Duration aBaseInterval)
{
  const std::optional<std::size_t> rank = RelayRankOf(aState, aState.mSelf);
  if (!rank) {
    return std::nullopt;
  }
  const std::vector<HostId>& hosts =
    aState.mTopology.HostsOf(aState.mPlace.mDataCentre);
  const auto available =
    std::count_if(hosts.begin(), hosts.end(), [&aState](HostId aHost) {
      return IsAvailable(aState, aHost);
    });
  const Duration scaled = aBaseInterval * static_cast<int>(hosts.size()) /
                          std::max<int>(static_cast<int>(available), 1);
  return *rank == 0 ? scaled : scaled * kSecondRelayFactor;
}

HeartbeatPartners
FindHeartbeatPartners(const State& aState)
{
  HeartbeatPartners partners;
  partners.mLocal = RingNeighbours(aState);
  if (!RelayRankOf(aState, aState.mSelf)) {
    return partners;
  }
  for (const DataCentreId centre : OtherDataCentres(aState)) {
    const std::vector<HostId> relays = RelaysOf(aState, centre);
    partners.mRemote.insert(relays.begin(), relays.end());
  }
  return partners;
}

}
