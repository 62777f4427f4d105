#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "Configuration/Rows.h"
#include "Support/Hosts.h"

using namespace camphorstep;
using namespace camphorstep::testing;

namespace {

constexpr Duration kDistributionTimeout = std::chrono::seconds(2);
/// Upper bound of the delay by an open circuit breaker.
constexpr Duration kSettleTime = std::chrono::seconds(8);

/// Hosts with version 1 in force.
void
PublishFirstVersion(Hosts& aHosts)
{
  aHosts.Publish(0, 0, "first", ProfileText(0));
  aHosts.Advance(kDistributionTimeout);
}

ConfigurationReply
MakeReply(std::uint64_t aVersion)
{
  ConfigurationReply reply;
  reply.mRecord.mVersion = aVersion;
  reply.mRecord.mText = ProfileText(static_cast<int>(aVersion));
  return reply;
}

}

TEST_CASE("A host never goes back to an older version", "[Distribution]")
{
  Hosts hosts(2);
  const HostId peer = hosts.IdAt(1);
  hosts.Apply(0, PeerMessageReceived{ peer, MakeReply(3) });
  hosts.Apply(0, PeerMessageReceived{ peer, MakeReply(2) });
  CHECK(hosts.VersionAt(0) == 3);
}

TEST_CASE("A version that cannot be used leaves the present one in force",
          "[Distribution]")
{
  Hosts hosts(2);
  PublishFirstVersion(hosts);
  ConfigurationReply reply = MakeReply(2);
  reply.mRecord.mText = "[profile.p]\nunheard_of = 1\n";
  hosts.Apply(0, PeerMessageReceived{ hosts.IdAt(1), reply });
  CHECK(hosts.VersionAt(0) == 1);
  hosts.Apply(0, PeerMessageReceived{ hosts.IdAt(1), MakeReply(3) });
  CHECK(hosts.VersionAt(0) == 3);
}

TEST_CASE("A host that starts in an outage takes the highest version of peers",
          "[Distribution]")
{
  Hosts hosts(6);
  PublishFirstVersion(hosts);
  // Hosts 1 and 2 are cut off and do not receive version 2.
  for (const std::size_t n : { 0U, 3U, 4U, 5U }) {
    hosts.Cut(1, n);
    hosts.Cut(2, n);
  }
  hosts.mStore.mDown = true;
  hosts.Apply(4, PeerMessageReceived{ hosts.IdAt(5), MakeReply(2) });
  hosts.Advance(kDistributionTimeout);
  REQUIRE(hosts.VersionAt(0) == 2);
  REQUIRE(hosts.VersionAt(1) == 1);
  hosts.Heal();
  hosts.Restart(3);
  hosts.Advance(std::chrono::seconds(3));
  CHECK(hosts.VersionAt(3) == 2);
  CHECK_FALSE(hosts.mReverted);
}

TEST_CASE(
  "A version reaches every host of a large data centre within two seconds",
  "[Distribution]")
{
  constexpr std::size_t kCount = 55;
  Hosts hosts(kCount, kCount);
  PublishFirstVersion(hosts);
  for (std::size_t n = 0; n < kCount; ++n) {
    CHECK(hosts.VersionAt(n) == 1);
  }
}

TEST_CASE("A host without any configuration waits", "[Distribution]")
{
  Hosts hosts(2);
  hosts.mStore.mDown = true;
  hosts.Advance(std::chrono::seconds(20));
  CHECK(hosts.VersionAt(0) == 0);
}

TEST_CASE("A paused relay delays a version by its timeout only",
          "[Distribution]")
{
  Hosts hosts(2);
  PublishFirstVersion(hosts);
  const std::size_t paused = GENERATE(0U, 1U);
  const std::size_t other = 1 - paused;
  hosts.Pause(paused, true);
  // Version 2 is published from another data centre.
  ConfigurationRecord record;
  record.mVersion = 2;
  record.mText = ProfileText(2);
  hosts.mStore.mRows[VersionKey(2)] = { VersionKey(2), 1, EncodeRow(record) };
  hosts.mStore.mRows[kHeadKey] = { kHeadKey, 2, "two" };
  hosts.Advance(kDistributionTimeout);
  CHECK(hosts.VersionAt(other) == 2);
  hosts.Pause(paused, false);
  hosts.Advance(kDistributionTimeout);
  CHECK(hosts.VersionAt(paused) == 2);
  CHECK_FALSE(hosts.mReverted);
}

TEST_CASE("Store reads do not increase when hosts cannot reach one another",
          "[Distribution]")
{
  Hosts hosts(6);
  PublishFirstVersion(hosts);
  const auto readsIn = [&hosts] {
    const std::uint64_t before = hosts.mStore.mReads;
    hosts.Advance(std::chrono::seconds(10));
    return hosts.mStore.mReads - before;
  };
  const std::uint64_t readsWhenConnected = readsIn();
  for (std::size_t n = 0; n < 6; ++n) {
    for (std::size_t other = 0; other < n; ++other) {
      hosts.Cut(n, other);
    }
  }
  hosts.Advance(std::chrono::seconds(5));
  CHECK(readsIn() <= readsWhenConnected);
}

TEST_CASE("Versions never decrease, and hosts that reach one another converge",
          "[Distribution]")
{
  rc::prop("random faults", [] {
    constexpr std::size_t kCount = 6;
    Hosts hosts(kCount);
    std::map<std::uint64_t, std::string> accepted;
    std::map<std::uint64_t, std::string> changes;
    const auto host = [] { return *rc::gen::inRange<std::size_t>(0, kCount); };
    const int steps = *rc::gen::inRange(5, 40);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
        case 2: {
          const std::size_t n = host();
          const std::string id = "change-" + std::to_string(step);
          const auto call =
            hosts.Publish(n, hosts.VersionAt(n), id, ProfileText(step));
          changes[call] = id;
          break;
        }
        case 3:
          hosts.Cut(host(), host());
          break;
        case 4:
          hosts.Heal();
          break;
        case 5:
          hosts.mStore.mDown = !hosts.mStore.mDown;
          break;
        case 6:
          hosts.mStore.mFates.push_back(*rc::gen::element(
            StoreFate::LostBefore, StoreFate::LostAfter, StoreFate::TooLate));
          break;
        case 7:
          hosts.Pause(host(), *rc::gen::arbitrary<bool>());
          break;
        default:
          hosts.Restart(host());
          break;
      }
      hosts.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 1'500)));
    }
    hosts.Heal();
    hosts.mStore.mDown = false;
    hosts.mStore.mFates.clear();
    for (std::size_t n = 0; n < kCount; ++n) {
      hosts.Pause(n, false);
    }
    hosts.Advance(kSettleTime + std::chrono::seconds(12));
    const std::uint64_t head = hosts.mStore.VersionOf(kHeadKey);
    for (std::size_t n = 0; n < kCount; ++n) {
      RC_ASSERT(hosts.VersionAt(n) == head);
    }
    RC_ASSERT(!hosts.mReverted);
    for (const auto& [call, answer] : hosts.mAnswers) {
      const bool stored =
        hosts.mStore.mRows.contains(ChangeKey(changes.at(call)));
      RC_ASSERT(answer.mOutcome != Outcome::Done || stored);
      RC_ASSERT(answer.mOutcome != Outcome::NotRun || !stored);
    }
  });
}
