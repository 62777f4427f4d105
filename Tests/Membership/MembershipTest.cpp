#include <catch2/catch.hpp>

#include "Membership/HostList.h"
#include "Membership/Membership.h"
#include "Membership/Relays.h"
#include "Support/Hosts.h"
#include "Wire/PeerFrame.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kPeerDetectionTimeout = std::chrono::seconds(2);

/// A core with many hosts in one data centre and some servers.
State
MakeState(std::size_t aHosts)
{
  State state;
  for (std::size_t n = 0; n < aHosts; ++n) {
    const std::string name = "host-" + std::to_string(n);
    const HostId id = IdOf<HostId>(name);
    state.mTopology.mHosts[id] =
      Host{ id, name, { DataCentreId{ 1 }, RegionId{ 1 } }, {} };
    state.mMembership.mPeers[id].mConnected = true;
  }
  for (std::uint64_t n = 1; n <= 100; ++n) {
    Server server;
    server.mId = ServerId{ Hash64(std::to_string(n)) };
    server.mPlace = { DataCentreId{ 1 }, RegionId{ 1 } };
    state.mTopology.mServers[server.mId] = server;
  }
  state.mSelf = IdOf<HostId>("host-0");
  state.mPlace = { DataCentreId{ 1 }, RegionId{ 1 } };
  return state;
}

ListedMachine
Leaving(const std::string& aName, std::uint64_t aGeneration)
{
  return { aName, MachineKind::EntryHost, true, aGeneration };
}

Heartbeat
MakeHeartbeat(bool aLeaving,
              std::uint64_t aStartedAt,
              std::uint64_t aGeneration)
{
  Heartbeat heartbeat;
  heartbeat.mLeaving = aLeaving;
  heartbeat.mStartedAt = aStartedAt;
  heartbeat.mGeneration = aGeneration;
  return heartbeat;
}

}

TEST_CASE("Losing a host reassigns only the servers that it dispatched",
          "[Membership]")
{
  State state = MakeState(8);
  const HostId gone = IdOf<HostId>("host-3");
  std::map<ServerId, HostId> before;
  for (const auto& [id, server] : state.mTopology.mServers) {
    before[id] = *DispatcherOf(state, id);
  }
  state.mMembership.mPeers[gone].mConnected = false;
  int moved = 0;
  for (const auto& [id, server] : state.mTopology.mServers) {
    const HostId now = *DispatcherOf(state, id);
    CHECK((now == before[id] || before[id] == gone));
    CHECK(now != gone);
    moved += now == before[id] ? 0 : 1;
  }
  CHECK(moved > 0);
}

TEST_CASE("A silent peer is replaced within two seconds and rejoins later",
          "[Membership]")
{
  Hosts hosts(2);
  hosts.Advance(kPeerDetectionTimeout);
  REQUIRE(hosts.IsAvailableAt(0, 1));
  hosts.Pause(1, true);
  hosts.Advance(kPeerDetectionTimeout);
  CHECK_FALSE(hosts.IsAvailableAt(0, 1));
  hosts.Pause(1, false);
  hosts.Advance(kPeerDetectionTimeout);
  CHECK(hosts.IsAvailableAt(0, 1));
}

TEST_CASE(
  "Leaving overrides live, and a new process overrides an earlier leaving",
  "[Membership]")
{
  Hosts hosts(2);
  const HostId peer = hosts.IdAt(1);
  const auto receive = [&](const Heartbeat& aHeartbeat) {
    hosts.Apply(0, PeerMessageReceived{ peer, aHeartbeat });
    return hosts.IsAvailableAt(0, 1);
  };
  CHECK_FALSE(receive(MakeHeartbeat(true, 100, 1)));
  // A late heartbeat of an earlier process.
  CHECK_FALSE(receive(MakeHeartbeat(false, 90, 1)));
  CHECK(receive(MakeHeartbeat(false, 200, 2)));
  // The platform's list is stale by thirty seconds: it still shows the old
  // generation as leaving.
  hosts.mStore.mMachines = { Leaving("host-1", 1) };
  hosts.Advance(std::chrono::seconds(5));
  CHECK(receive(MakeHeartbeat(false, 200, 2)));
  hosts.mStore.mMachines = { Leaving("host-1", 2) };
  hosts.Advance(std::chrono::seconds(5));
  CHECK_FALSE(receive(MakeHeartbeat(false, 200, 2)));
}

TEST_CASE("A leaving server is known on every host and through an outage",
          "[Membership]")
{
  Hosts hosts(6);
  hosts.Advance(std::chrono::seconds(1));
  hosts.mStore.mMachines = {
    { "records-1", MachineKind::BackendServer, true, 1 }
  };
  hosts.Advance(std::chrono::milliseconds(2'500));
  hosts.mStore.mDown = true;
  hosts.Advance(std::chrono::seconds(30));
  const ServerId server = IdOf<ServerId>("records-1");
  for (std::size_t n = 0; n < 6; ++n) {
    CHECK(IsServerLeaving(hosts.StateAt(n), server));
  }
  hosts.mStore.mDown = false;
  hosts.mStore.mMachines.clear();
  hosts.Advance(std::chrono::seconds(45));
  for (std::size_t n = 0; n < 6; ++n) {
    CHECK_FALSE(IsServerLeaving(hosts.StateAt(n), server));
  }
}

TEST_CASE("The number of heartbeat partners does not grow with the data centre",
          "[Membership]")
{
  State state = MakeState(55);
  const HostId self = state.mSelf;
  const HeartbeatPartners partners = FindHeartbeatPartners(state);
  CHECK(partners.mLocal.size() == 4);
  CHECK(partners.mRemote.empty());
  for (const HostId partner : partners.mLocal) {
    state.mSelf = partner;
    CHECK(FindHeartbeatPartners(state).Contains(self));
  }
}

TEST_CASE("A silent peer is reported to every host of a large data centre",
          "[Membership]")
{
  constexpr std::size_t kCount = 12;
  Hosts hosts(kCount, kCount);
  const auto countAvailable = [&hosts] {
    int count = 0;
    for (std::size_t n = 1; n < kCount; ++n) {
      count += hosts.IsAvailableAt(n, 0) ? 1 : 0;
    }
    return count;
  };
  hosts.Advance(kPeerDetectionTimeout);
  REQUIRE(countAvailable() == kCount - 1);
  hosts.Pause(0, true);
  hosts.Advance(kPeerDetectionTimeout);
  CHECK(countAvailable() == 0);
  hosts.Advance(std::chrono::seconds(30));
  CHECK(countAvailable() == 0);
  hosts.Pause(0, false);
  hosts.Advance(kPeerDetectionTimeout);
  CHECK(countAvailable() == kCount - 1);
}

TEST_CASE("The control traffic of a relay fits the budget at full size",
          "[Membership]")
{
  // 40 data centres of 55 hosts; 5,000 bytes a second, both ways together.
  constexpr std::size_t kCentres = 40;
  constexpr std::size_t kHostsEach = 55;
  constexpr std::size_t kBudget = 5'000;
  constexpr std::size_t kTcpIpHeaders = 52;
  State state;
  for (std::size_t n = 0; n < kCentres * kHostsEach; ++n) {
    const HostId id = IdOf<HostId>("host-" + std::to_string(n));
    state.mTopology.mHosts[id] =
      Host{ id, "", { DataCentreId{ n / kHostsEach + 1 }, RegionId{ 1 } }, {} };
    state.mMembership.mPeers[id].mConnected = true;
    state.mMembership.mPeers[id].mLastReceivedAt =
      Instant(std::chrono::hours(1));
  }
  for (const auto& [id, host] : state.mTopology.mHosts) {
    state.mSelf = id;
    state.mPlace = host.mPlace;
    if (RelayRankOf(state, id)) {
      break;
    }
  }
  state.mMembership.mPeers.erase(state.mSelf);
  const MacKey key = DeriveMacKey("a secret for tests", "peer");
  Instant now(std::chrono::hours(1));
  std::size_t bytes = 0;
  constexpr int kSeconds = 20;
  for (int tick = 0; tick < kSeconds * 10; ++tick) {
    now += std::chrono::milliseconds(100);
    for (auto& [id, peer] : state.mMembership.mPeers) {
      peer.mLastReceivedAt = now;
    }
    for (const Effect& effect : Step(state, Event{ now, Tick{} })) {
      if (const auto* const sent = std::get_if<SendToPeer>(&effect)) {
        PeerEnvelope envelope;
        envelope.mMessage = sent->mMessage;
        bytes += SealPeerFrame(key, envelope).size() + sizeof(std::uint32_t) +
                 kTcpIpHeaders;
      }
    }
  }
  CAPTURE(bytes / kSeconds);
  CHECK(bytes / kSeconds * 2 <= kBudget);
  CHECK(bytes > 0);
}

TEST_CASE("A data centre has two relays", "[Membership]")
{
  const State state = MakeState(55);
  int relays = 0;
  for (const auto& [id, host] : state.mTopology.mHosts) {
    relays += RelayRankOf(state, id) ? 1 : 0;
  }
  CHECK(relays == 2);
}
