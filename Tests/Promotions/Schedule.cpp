#include "Promotions/Schedule.h"

#include <algorithm>
#include <array>

namespace camphorstep::promotions {

namespace {

/// Disruptions start after the hosts have settled, and close to each other.
constexpr int kFirstStartMs = 4'000;
constexpr int kLastStartMs = 13'000;
constexpr int kMinDisruptions = 2;
constexpr int kMaxDisruptions = 7;
/// How close to another disruption most of them start.
constexpr int kClusterMs = 2'500;

constexpr std::array<const char*,
                     static_cast<std::size_t>(DisruptionKind::Count)>
  kKindNames{
    "server crash",       "servers cut",
    "replication cut",    "staying replicas cut",
    "host-server cut",    "hosts cut",
    "host-store cut",     "store down",
    "store return",       "store burst",
    "promotions refused", "orders held",
    "link held",          "host freeze",
    "host crash",         "server replaced",
  };

constexpr std::array<const char*, 3> kRoleNames{ "leader",
                                                 "other 1",
                                                 "other 2" };

int
DrawNumber(std::mt19937_64& aRandom, int aMin, int aMax)
{
  return std::uniform_int_distribution<int>(aMin, aMax)(aRandom);
}

Role
DrawRole(std::mt19937_64& aRandom)
{
  return static_cast<Role>(DrawChance(aRandom, 50) ? 0
                                                   : DrawNumber(aRandom, 0, 2));
}

/// The longest time that a disruption of a kind lasts, in milliseconds.
int
MaxLengthMs(DisruptionKind aKind)
{
  switch (aKind) {
    case DisruptionKind::HostFreeze:
      return 3'000;
    case DisruptionKind::StoreDown:
    case DisruptionKind::StoreReturn:
      return 2'500;
    case DisruptionKind::ServerReplaced:
      return 9'000;
    default:
      return 7'000;
  }
}

/// The disruptions that have a primary replaced.
constexpr std::array kPrimaryKinds{ DisruptionKind::ServerCrash,
                                    DisruptionKind::ServerCrash,
                                    DisruptionKind::ReplicationCut,
                                    DisruptionKind::ServerReplaced,
                                    DisruptionKind::HostServerCut };

Disruption
DrawDisruption(std::mt19937_64& aRandom)
{
  Disruption drawn;
  drawn.mKind = static_cast<DisruptionKind>(
    DrawNumber(aRandom, 0, static_cast<int>(DisruptionKind::Count) - 1));
  drawn.mAt = DrawMilliseconds(aRandom, kFirstStartMs, kLastStartMs);
  drawn.mFor = DrawMilliseconds(aRandom, 300, MaxLengthMs(drawn.mKind));
  drawn.mHost = DrawRole(aRandom);
  drawn.mServer = DrawRole(aRandom);
  drawn.mOther = DrawRole(aRandom);
  drawn.mAmount = DrawMilliseconds(aRandom, 200, 4'000);
  return drawn;
}

bool
HasReplacement(const Schedule& aSchedule)
{
  return std::any_of(
    aSchedule.begin(), aSchedule.end(), [](const Disruption& aDisruption) {
      return aDisruption.mKind == DisruptionKind::ServerReplaced;
    });
}

/// A disruption that meets the primary and the holder of the lease, within
/// ranges of milliseconds.
Disruption
DrawWithin(std::mt19937_64& aRandom,
           DisruptionKind aKind,
           Duration aFrom,
           std::pair<int, int> aAfterMs,
           std::pair<int, int> aForMs)
{
  Disruption drawn;
  drawn.mKind = aKind;
  drawn.mAt =
    aFrom + DrawMilliseconds(aRandom, aAfterMs.first, aAfterMs.second);
  drawn.mFor = DrawMilliseconds(aRandom, aForMs.first, aForMs.second);
  drawn.mAmount = DrawMilliseconds(aRandom, 200, 4'000);
  return drawn;
}

/// The holder of the lease loses it while its orders are held up.
Schedule
LateOrders(std::mt19937_64& aRandom, Duration aFrom)
{
  constexpr std::array kEnds{ DisruptionKind::HostCrash,
                              DisruptionKind::HostStoreCut,
                              DisruptionKind::HostFreeze };
  const DisruptionKind end =
    kEnds.at(static_cast<std::size_t>(DrawNumber(aRandom, 0, 2)));
  Schedule schedule{
    DrawWithin(
      aRandom, DisruptionKind::OrdersHeld, aFrom, { 0, 300 }, { 3'000, 6'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerCrash,
               aFrom,
               { 0, 300 },
               { 3'000, 9'000 }),
    DrawWithin(aRandom, end, aFrom, { 1'000, 4'000 }, { 1'000, 8'000 }),
  };
  schedule[0].mAmount = DrawMilliseconds(aRandom, 500, 13'000);
  return schedule;
}

/// The store returns from a copy and turns the holder of the lease away, and
/// primaries are replaced.
Schedule
EarlierEra(std::mt19937_64& aRandom, Duration aFrom)
{
  Schedule schedule{
    DrawWithin(
      aRandom, DisruptionKind::StoreBurst, aFrom, { 0, 1'700 }, { 0, 0 }),
    DrawWithin(aRandom,
               DisruptionKind::StoreReturn,
               aFrom,
               { 1'800, 2'000 },
               { 1'000, 2'500 }),
    DrawWithin(aRandom,
               DisruptionKind::HostStoreCut,
               aFrom,
               { 1'800, 2'300 },
               { 5'000, 14'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerCrash,
               aFrom,
               { 7'000, 10'000 },
               { 2'000, 4'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerCrash,
               aFrom,
               { 13'000, 18'000 },
               { 2'000, 5'000 }),
  };
  schedule[1].mAmount = DrawMilliseconds(aRandom, 2'000, 4'000);
  return schedule;
}

/// The last replica that a primary reaches leaves, and the holder of the lease
/// starts anew.
Schedule
LastReplicaLeaves(std::mt19937_64& aRandom, Duration aFrom)
{
  Schedule schedule{
    DrawWithin(aRandom,
               DisruptionKind::ServerReplaced,
               aFrom,
               { 0, 0 },
               { 7'000, 9'500 }),
    DrawWithin(aRandom,
               DisruptionKind::StayingReplicasCut,
               aFrom,
               { 3'500, 8'500 },
               { 4'000, 7'000 }),
    DrawWithin(aRandom,
               DisruptionKind::HostCrash,
               aFrom,
               { 7'000, 10'500 },
               { 300, 1'000 }),
  };
  return schedule;
}

/// A server joins while the primary is cut from its replicas and the holder.
Schedule
JoinsInTakeover(std::mt19937_64& aRandom, Duration aFrom)
{
  Schedule schedule{
    DrawWithin(aRandom,
               DisruptionKind::ReplicationCut,
               aFrom,
               { 0, 50 },
               { 3'000, 7'000 }),
    DrawWithin(aRandom,
               DisruptionKind::HostServerCut,
               aFrom,
               { 0, 50 },
               { 3'000, 7'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerReplaced,
               aFrom,
               { 0, 2'000 },
               { 5'000, 9'000 }),
  };
  return schedule;
}

/// The platform refuses to promote, the primary comes back and a replica is
/// restarted.
Schedule
RefusedPromotion(std::mt19937_64& aRandom, Duration aFrom)
{
  Schedule schedule{
    DrawWithin(aRandom,
               DisruptionKind::PromotionsRefused,
               aFrom,
               { 0, 500 },
               { 3'000, 7'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerCrash,
               aFrom,
               { 0, 300 },
               { 1'500, 3'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerCrash,
               aFrom,
               { 1'800, 4'500 },
               { 300, 1'500 }),
  };
  schedule[2].mServer =
    DrawChance(aRandom, 50) ? Role::FirstOther : Role::SecondOther;
  return schedule;
}

/// A server is cut off when it is promoted, and crashes then. The promoter does
/// not reach the old primary.
Schedule
PromotedCrashes(std::mt19937_64& aRandom, Duration aFrom)
{
  Schedule schedule{
    DrawWithin(aRandom,
               DisruptionKind::HostServerCut,
               aFrom,
               { 0, 0 },
               { 4'000, 9'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ReplicationCut,
               aFrom,
               { 1'700, 2'000 },
               { 2'000, 7'000 }),
    DrawWithin(aRandom,
               DisruptionKind::ServerCrash,
               aFrom,
               { 2'100, 3'000 },
               { 3'500, 7'000 }),
  };
  schedule[1].mServer = Role::SecondOther;
  return schedule;
}

using Scenario = Schedule (*)(std::mt19937_64&, Duration);

constexpr std::array<Scenario, 6> kScenarios{
  PromotedCrashes,   LateOrders,      EarlierEra,
  LastReplicaLeaves, JoinsInTakeover, RefusedPromotion,
};

/// One of the scenarios that have shown faults before, varied.
Schedule
DrawScenario(std::mt19937_64& aRandom)
{
  const Scenario scenario = kScenarios.at(static_cast<std::size_t>(
    DrawNumber(aRandom, 0, static_cast<int>(kScenarios.size()) - 1)));
  return scenario(aRandom, DrawMilliseconds(aRandom, kFirstStartMs, 7'000));
}

}

Duration
DrawMilliseconds(std::mt19937_64& aRandom, int aMin, int aMax)
{
  return std::chrono::milliseconds(DrawNumber(aRandom, aMin, aMax));
}

bool
DrawChance(std::mt19937_64& aRandom, unsigned aPercent)
{
  return std::uniform_int_distribution<unsigned>(0, 99)(aRandom) < aPercent;
}

Schedule
MakeSchedule(std::mt19937_64& aRandom)
{
  const bool isScenario = DrawChance(aRandom, 50);
  Schedule schedule = isScenario ? DrawScenario(aRandom) : Schedule{};
  const int count = isScenario
                      ? DrawNumber(aRandom, 0, 3)
                      : DrawNumber(aRandom, kMinDisruptions, kMaxDisruptions);
  for (int n = 0; n < count; ++n) {
    Disruption drawn = DrawDisruption(aRandom);
    if (schedule.empty()) {
      drawn.mKind = kPrimaryKinds.at(static_cast<std::size_t>(
        DrawNumber(aRandom, 0, static_cast<int>(kPrimaryKinds.size()) - 1)));
      drawn.mServer = Role::Leader;
    } else if (DrawChance(aRandom, 70)) {
      drawn.mAt =
        schedule.back().mAt + DrawMilliseconds(aRandom, 0, kClusterMs);
    }
    // Two copies of the data must not go at about the same time.
    if (drawn.mKind != DisruptionKind::ServerReplaced ||
        !HasReplacement(schedule)) {
      schedule.push_back(drawn);
    }
  }
  std::stable_sort(schedule.begin(),
                   schedule.end(),
                   [](const Disruption& aFirst, const Disruption& aSecond) {
                     return aFirst.mAt < aSecond.mAt;
                   });
  return schedule;
}

std::string
Describe(const Disruption& aDisruption)
{
  const auto ms = [](Duration aTime) {
    return std::to_string(aTime.count() / 1'000) + " ms";
  };
  const auto name = [](Role aRole) {
    return std::string(kRoleNames.at(static_cast<std::size_t>(aRole)));
  };
  return "at " + ms(aDisruption.mAt) + " for " + ms(aDisruption.mFor) + ": " +
         kKindNames.at(static_cast<std::size_t>(aDisruption.mKind)) +
         ", host " + name(aDisruption.mHost) + ", server " +
         name(aDisruption.mServer) + ", other " + name(aDisruption.mOther) +
         ", amount " + ms(aDisruption.mAmount);
}

}
