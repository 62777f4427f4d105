#include "Promotions/World.h"

#include <algorithm>
#include <cstdio>

namespace camphorstep::promotions {

using namespace gateway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ std::chrono::seconds(1000) };
/// How long a run lasts.
constexpr Duration kRunTime = 28s;
constexpr Duration kCopyInterval = 250ms;
/// A connection that is cut for longer than this is given up.
constexpr Duration kMaxRetransmission = 3s;

NodePair
PairOf(const std::string& aOne, const std::string& aTwo)
{
  return std::minmax(aOne, aTwo);
}

/// The host that has a role now. The leader is the holder of the lease.
std::size_t
ResolveHost(const World& aWorld, Role aRole)
{
  const auto& lease = aWorld.mStore.mRows.mLease.mValue;
  std::size_t holder = 0;
  for (std::size_t n = 0; n < kHostCount; ++n) {
    if (lease && aWorld.mHosts.at(n).mName == lease->mHolder) {
      holder = n;
    }
  }
  return (holder + static_cast<std::size_t>(aRole)) % kHostCount;
}

/// The server that has a role now.
std::string
ResolveServer(const World& aWorld, Role aRole)
{
  std::vector<std::string> names{ PrimaryOf(aWorld) };
  for (const auto& [name, server] : aWorld.mServers) {
    if (name != names[0] && !server.mIsGone) {
      names.push_back(name);
    }
  }
  if (names[0].empty()) {
    names.erase(names.begin());
  }
  return names[static_cast<std::size_t>(aRole) % names.size()];
}

bool
IsAnyServerDown(const World& aWorld)
{
  return std::any_of(
    aWorld.mServers.begin(), aWorld.mServers.end(), [](const auto& aEntry) {
      return !aEntry.second.mIsUp && !aEntry.second.mIsGone;
    });
}

/// Lists all servers again, as they do after the store's return.
void
ListAllServers(World& aWorld)
{
  for (const auto& [name, server] : aWorld.mServers) {
    ListServer(aWorld, name, DrawMilliseconds(aWorld.mRandom, 100, 1'500));
  }
}

void
StopStore(World& aWorld, const Disruption& aDisruption, bool aIsReturn)
{
  if (aWorld.mIsStoreDown) {
    return;
  }
  aWorld.mIsStoreDown = true;
  const Instant copied = aWorld.mNow - aDisruption.mAmount;
  After(aWorld, aDisruption.mFor, [&aWorld, aIsReturn, copied] {
    aWorld.mIsStoreDown = false;
    if (aIsReturn) {
      Trace(aWorld, "the store returns from a copy");
      ReturnFromCopy(aWorld.mStore, copied);
      ListAllServers(aWorld);
    }
  });
}

void
CutReplication(World& aWorld,
               const std::string& aServer,
               Duration aFor,
               bool aSparesLeaving)
{
  for (const auto& [name, server] : aWorld.mServers) {
    const bool isSpared = aSparesLeaving && server.mEntry.mLeaving;
    if (name != aServer && !isSpared) {
      Cut(aWorld, aServer, name, aFor);
    }
  }
}

void
StartDisruption(World& aWorld, const Disruption& aDisruption)
{
  const std::size_t host = ResolveHost(aWorld, aDisruption.mHost);
  const std::string hostName = aWorld.mHosts.at(host).mName;
  const std::string server = ResolveServer(aWorld, aDisruption.mServer);
  const std::string other = ResolveServer(aWorld, aDisruption.mOther);
  const Duration length = aDisruption.mFor;
  Trace(aWorld,
        "--- " + Describe(aDisruption) + " (" + hostName + ", " + server +
          ", " + other + ")");
  switch (aDisruption.mKind) {
    case DisruptionKind::ServerCrash:
      // Never two servers at the same time.
      if (!IsAnyServerDown(aWorld)) {
        CrashServer(aWorld, server, length);
      }
      break;
    case DisruptionKind::ServersCut:
      Cut(aWorld, server, other, length);
      break;
    case DisruptionKind::ReplicationCut:
      CutReplication(aWorld, server, length, false);
      break;
    case DisruptionKind::StayingReplicasCut:
      CutReplication(aWorld, server, length, true);
      break;
    case DisruptionKind::HostServerCut:
      Cut(aWorld, hostName, server, length);
      break;
    case DisruptionKind::HostsCut:
      Cut(aWorld,
          hostName,
          aWorld.mHosts.at((host + 1) % kHostCount).mName,
          length);
      break;
    case DisruptionKind::HostStoreCut:
      Cut(aWorld, hostName, "store", length);
      break;
    case DisruptionKind::StoreDown:
      StopStore(aWorld, aDisruption, false);
      break;
    case DisruptionKind::StoreReturn:
      StopStore(aWorld, aDisruption, true);
      break;
    case DisruptionKind::StoreBurst:
      aWorld.mStore.mRows.mNumber += static_cast<std::uint64_t>(
        DrawMilliseconds(aWorld.mRandom, 2, 14) / 1ms);
      break;
    case DisruptionKind::PromotionsRefused:
      aWorld.mPromotionsRefusedUntil = aWorld.mNow + length;
      break;
    case DisruptionKind::OrdersHeld:
      aWorld.mHeldPaths[{ hostName, "platform" }] = { aWorld.mNow + length,
                                                      aDisruption.mAmount };
      break;
    case DisruptionKind::LinkHeld:
      aWorld.mHeldPaths[{ hostName, server }] = { aWorld.mNow + length,
                                                  aDisruption.mAmount };
      break;
    case DisruptionKind::HostFreeze:
      FreezeHost(aWorld, host, length);
      break;
    case DisruptionKind::HostCrash:
      CrashHost(aWorld, host);
      After(aWorld, length, [&aWorld, host] { StartHost(aWorld, host); });
      break;
    case DisruptionKind::ServerReplaced:
      ReplaceServer(aWorld, server, length);
      break;
    case DisruptionKind::Count:
      break;
  }
}

void
PublishRouting(World& aWorld)
{
  Route route;
  route.mDatabase = "main";
  route.mGroup = "group";
  route.mFreshness = Freshness::Primary;
  route.mStatementTimeout = 3s;
  route.mTarget = 500ms;
  RoutingVersion routing;
  routing.mVersion = 1;
  routing.mRoutes = { route };
  routing.mGroups = { { "group", 30 } };
  aWorld.mStore.mRows.mRouting = { ++aWorld.mStore.mRows.mNumber, routing };
}

void
KeepCopies(World& aWorld)
{
  KeepCopy(aWorld.mStore, aWorld.mNow);
  After(aWorld, kCopyInterval, [&aWorld] { KeepCopies(aWorld); });
}

void
StartWorld(World& aWorld, const Schedule& aSchedule)
{
  aWorld.mStore.mGuardsEra = aWorld.mRules.mGuardsEra;
  PublishRouting(aWorld);
  for (std::size_t n = 0; n < kServerCount; ++n) {
    ListServer(aWorld, StartServer(aWorld, n == 0), 0ms);
  }
  Replicate(aWorld);
  KeepCopies(aWorld);
  for (std::size_t n = 0; n < kHostCount; ++n) {
    After(aWorld, 10ms, [&aWorld, n] { StartHost(aWorld, n); });
  }
  for (const Disruption& disruption : aSchedule) {
    After(aWorld, disruption.mAt, [&aWorld, disruption] {
      StartDisruption(aWorld, disruption);
    });
  }
}

}

void
After(World& aWorld, Duration aDelay, std::function<void()> aAction)
{
  aWorld.mQueue.emplace(aWorld.mNow + std::max(aDelay, Duration{ 0 }),
                        std::move(aAction));
}

void
Trace(const World& aWorld, const std::string& aText)
{
  if (aWorld.mRules.mIsTraced) {
    std::printf("%9.3f %s\n",
                static_cast<double>((aWorld.mNow - kStart).count()) / 1e6,
                aText.c_str());
  }
}

bool
IsCut(const World& aWorld, const std::string& aOne, const std::string& aTwo)
{
  const auto cut = aWorld.mCuts.find(PairOf(aOne, aTwo));
  return cut != aWorld.mCuts.end() && aWorld.mNow < cut->second;
}

void
Cut(World& aWorld,
    const std::string& aOne,
    const std::string& aTwo,
    Duration aFor)
{
  Instant& until = aWorld.mCuts[PairOf(aOne, aTwo)];
  until = std::max(until, aWorld.mNow + aFor);
}

std::optional<Duration>
DrawTransit(World& aWorld, const std::string& aFrom, const std::string& aTo)
{
  Duration transit = DrawMilliseconds(aWorld.mRandom, 1, 15);
  if (DrawChance(aWorld.mRandom, 1)) {
    transit += DrawMilliseconds(aWorld.mRandom, 10, 250);
  }
  if (IsCut(aWorld, aFrom, aTo)) {
    const Duration remaining =
      aWorld.mCuts.at(PairOf(aFrom, aTo)) - aWorld.mNow;
    if (remaining > kMaxRetransmission || DrawChance(aWorld.mRandom, 50)) {
      return std::nullopt;
    }
    transit += remaining + DrawMilliseconds(aWorld.mRandom, 0, 300);
  }
  const auto held = aWorld.mHeldPaths.find({ aFrom, aTo });
  if (held != aWorld.mHeldPaths.end() && aWorld.mNow < held->second.mUntil) {
    transit += DrawMilliseconds(
      aWorld.mRandom, 0, static_cast<int>(held->second.mMax / 1ms));
  }
  return transit;
}

Oracle
RunWorld(std::uint64_t aSeed, const Schedule& aSchedule, const Rules& aRules)
{
  World world;
  world.mRandom.seed(aSeed);
  world.mRules = aRules;
  StartWorld(world, aSchedule);
  while (!world.mQueue.empty() && world.mNow < kStart + kRunTime &&
         !world.mOracle.mBreach) {
    auto next = world.mQueue.extract(world.mQueue.begin());
    world.mNow = next.key();
    next.mapped()();
  }
  return world.mOracle;
}

}
