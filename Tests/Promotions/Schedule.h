#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace camphorstep::promotions {

inline constexpr std::size_t kHostCount = 3;
inline constexpr std::size_t kServerCount = 3;

/// What can go wrong in the world.
enum class DisruptionKind : std::uint8_t
{
  /// A server is down and comes back with its log.
  ServerCrash,
  /// Two servers do not reach each other.
  ServersCut,
  /// The first server reaches no other one.
  ReplicationCut,
  /// The same, but it still reaches servers that are leaving.
  StayingReplicasCut,
  /// A host does not reach a server.
  HostServerCut,
  /// Two hosts do not reach each other.
  HostsCut,
  /// The store turns a host away.
  HostStoreCut,
  /// The store answers nobody.
  StoreDown,
  /// The store is away and returns from an older copy.
  StoreReturn,
  /// Others write rows, so that the store's numbers run ahead of its copy.
  StoreBurst,
  /// The platform refuses to promote.
  PromotionsRefused,
  /// Orders to promote that a host sends are held up on the way.
  OrdersHeld,
  /// What a host sends to a server is held up on the way.
  LinkHeld,
  HostFreeze,
  HostCrash,
  /// A server is replaced by a new one.
  ServerReplaced,
  Count,
};

/// Whom a disruption meets, by the role at the time when it starts.
enum class Role : std::uint8_t
{
  /// The primary; of the hosts the holder of the lease.
  Leader,
  FirstOther,
  SecondOther,
};

/// One disruption of a run.
struct Disruption
{
  DisruptionKind mKind = DisruptionKind::ServerCrash;
  Duration mAt{ 0 };
  Duration mFor{ 0 };
  Role mHost = Role::Leader;
  Role mServer = Role::Leader;
  Role mOther = Role::FirstOther;
  /// A second amount: how old the copy is, or how long a message is held.
  Duration mAmount{ 0 };
};

using Schedule = std::vector<Disruption>;

/// Draws the disruptions of a run.
Schedule MakeSchedule(std::mt19937_64& aRandom);

/// Describes a disruption in one line.
std::string Describe(const Disruption& aDisruption);

/// A uniform number of milliseconds in a range.
Duration DrawMilliseconds(std::mt19937_64& aRandom, int aMin, int aMax);

/// Whether an event with the given chance in percent occurs.
bool DrawChance(std::mt19937_64& aRandom, unsigned aPercent);

}
