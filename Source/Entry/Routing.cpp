#include "Entry/Routing.h"

#include <algorithm>

#include "Entry/Freshness.h"
#include "Entry/Intake.h"
#include "Keeper/Keeper.h"
#include "Membership/HostList.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Cost of reading from a server in another data centre.
constexpr Duration kSameRegionCost = std::chrono::milliseconds(3);
constexpr Duration kOtherRegionCost = std::chrono::milliseconds(24);
/// Cost for each request ahead of the new one at a server.
constexpr Duration kQueueCost = std::chrono::milliseconds(2);
/// Equal costs are ordered by a hash of the request below this many
/// microseconds.
constexpr std::uint64_t kMaxTieBreakMicros = 1'000;
/// Fraction of the allowed age that is reserved for network and waiting time,
/// at most kMaxAgeMargin.
constexpr int kAgeMarginDivisor = 4;
constexpr Duration kMaxAgeMargin = std::chrono::milliseconds(300);

/// Returns the position that the session has seen, if any.
std::optional<Position>
SeenPosition(const PendingRequest& aPending)
{
  const auto it = aPending.mToken.mPositions.find(aPending.mDatabase);
  if (it == aPending.mToken.mPositions.end()) {
    return std::nullopt;
  }
  return IsSeeded(SeededFault::SkipMinPosition) ? Position{} : it->second;
}

/// Returns the least position that a replica must have applied; nothing if the
/// request needs the primary.
std::optional<Position>
NeededPosition(const PendingRequest& aPending,
               const DatabaseUse& aUse,
               Instant aNow)
{
  const std::optional<Position> seen = SeenPosition(aPending);
  const Profile& profile = aPending.mProfile;
  switch (profile.mFreshness) {
    case Freshness::Primary:
      return std::nullopt;
    case Freshness::ReadYourWrites:
      // Without a token the caller's writes are unknown.
      return seen;
    case Freshness::MaxAge: {
      if (IsSeeded(SeededFault::IgnoreReplicaAge)) {
        return Position{};
      }
      const Duration margin =
        std::min(kMaxAgeMargin, profile.mMaxAge / kAgeMarginDivisor);
      const std::optional<Position> fresh =
        MinPositionAt(aUse, aNow - (profile.mMaxAge - margin));
      if (!fresh) {
        return std::nullopt;
      }
      return std::max(*fresh, seen.value_or(Position{}));
    }
  }
  return std::nullopt;
}

bool
CanUseReplica(const State& aState, const PendingRequest& aPending)
{
  return aPending.mCaller.mOperation == CallerOperation::Run &&
         !aPending.mCaller.mWrite && !aPending.mAvoidReplicas &&
         aState.mConfiguration.mCurrent.mPolicy.mReplicaReads;
}

Duration
DistanceCost(const Place& aFrom, const Place& aTo)
{
  switch (ProximityOf(aFrom, aTo)) {
    case Proximity::SameDataCentre:
      return Duration{ 0 };
    case Proximity::SameRegion:
      return kSameRegionCost;
    case Proximity::OtherRegion:
      return kOtherRegionCost;
  }
  return kOtherRegionCost;
}

/// Returns the cost of the requests ahead at a server: those of this host in
/// flight, and those queued there with the same or a more urgent rank as the
/// dispatcher last reported.
Duration
QueueCost(const State& aState, const PendingRequest& aPending, ServerId aServer)
{
  const auto it = aState.mEntry.mIntake.find(aServer);
  if (it == aState.mEntry.mIntake.end()) {
    return Duration{ 0 };
  }
  int ahead = 0;
  for (const Rank rank : kRanks) {
    const RankUse& use = it->second.mRanks[IndexOf(rank)];
    ahead += use.mInFlight;
    ahead += rank <= aPending.mProfile.mRank ? use.mIntake.mWaiting : 0;
  }
  return kQueueCost * ahead;
}

/// A suitable replica and the cost of using it.
struct Candidate
{
  ServerId mServer;
  /// Replicas without room are chosen last.
  bool mIsFull = false;
  Duration mCost{ 0 };
};

/// Computes the cost of a replica; nothing if its view is missing or of another
/// term, or if it is not expected to apply the position in time.
std::optional<Candidate>
MakeCandidate(const State& aState,
              Instant aNow,
              RequestId aRequest,
              const PendingRequest& aPending,
              const DatabaseUse& aUse,
              ServerId aReplica,
              Position aNeeded)
{
  const auto known = aState.mEntry.mServers.find(aReplica);
  if (known == aState.mEntry.mServers.end() ||
      known->second.mView.mTerm != TermOf(aState, aPending.mDatabase)) {
    return std::nullopt;
  }
  const Duration wait =
    ExpectedCatchUpDelay(aUse, known->second, aNow, aNeeded);
  if (wait > aPending.mProfile.mReplicaWait) {
    return std::nullopt;
  }
  const Server& server = *aState.mTopology.FindServer(aReplica);
  const std::uint64_t hash = HashPair(aRequest.mSequence, aReplica.mValue);
  Candidate candidate;
  candidate.mServer = aReplica;
  candidate.mIsFull = !HasRoom(
    aState, aNow, aPending.mProfile.mRank, aPending.mCaller.mService, aReplica);
  candidate.mCost =
    wait + DistanceCost(aState.mPlace, server.mPlace) +
    QueueCost(aState, aPending, aReplica) +
    Duration(static_cast<std::int64_t>(hash % kMaxTieBreakMicros));
  return candidate;
}

/// Returns the replica with the lowest cost, preferring those with room.
std::optional<ServerId>
ChooseReplica(const State& aState,
              Instant aNow,
              RequestId aRequest,
              const PendingRequest& aPending,
              const DatabaseUse& aUse,
              Position aNeeded)
{
  const Database* const database =
    aState.mTopology.FindDatabase(aPending.mDatabase);
  const std::optional<ServerId> primary = PrimaryOf(aState, aPending.mDatabase);
  std::optional<Candidate> best;
  for (const ServerId id : database->mServers) {
    if (id == primary || IsServerLeaving(aState, id)) {
      continue;
    }
    const std::optional<Candidate> candidate =
      MakeCandidate(aState, aNow, aRequest, aPending, aUse, id, aNeeded);
    const bool better =
      candidate && (!best || std::pair(candidate->mIsFull, candidate->mCost) <
                               std::pair(best->mIsFull, best->mCost));
    if (better) {
      best = candidate;
    }
  }
  return best ? std::optional<ServerId>(best->mServer) : std::nullopt;
}

std::optional<Route>
ChooseReplicaRoute(const State& aState,
                   Instant aNow,
                   RequestId aRequest,
                   const PendingRequest& aPending)
{
  const auto use = aState.mEntry.mDatabases.find(aPending.mDatabase);
  if (use == aState.mEntry.mDatabases.end() ||
      !CanUseReplica(aState, aPending)) {
    return std::nullopt;
  }
  const std::optional<Position> needed =
    NeededPosition(aPending, use->second, aNow);
  if (!needed) {
    return std::nullopt;
  }
  const std::optional<ServerId> replica =
    ChooseReplica(aState, aNow, aRequest, aPending, use->second, *needed);
  if (!replica) {
    return std::nullopt;
  }
  return Route{ *replica, false, *needed };
}

}

std::optional<Route>
ChooseRoute(const State& aState,
            Instant aNow,
            RequestId aRequest,
            const PendingRequest& aPending)
{
  if (const std::optional<Route> route =
        ChooseReplicaRoute(aState, aNow, aRequest, aPending)) {
    return route;
  }
  const std::optional<ServerId> primary = PrimaryOf(aState, aPending.mDatabase);
  if (!primary) {
    return std::nullopt;
  }
  return Route{ *primary, true, SeenPosition(aPending).value_or(Position{}) };
}

bool
IsTooOld(const State& aState,
         Instant aNow,
         const PendingRequest& aPending,
         Position aPosition)
{
  if (!aPending.mFromReplica ||
      aPending.mProfile.mFreshness != Freshness::MaxAge) {
    return false;
  }
  const auto use = aState.mEntry.mDatabases.find(aPending.mDatabase);
  if (use == aState.mEntry.mDatabases.end()) {
    return true;
  }
  const std::optional<Duration> age = AgeOf(use->second, aNow, aPosition);
  return !age || *age > aPending.mProfile.mMaxAge;
}

}
