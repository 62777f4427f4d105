#include "Session/Routing.h"

#include <algorithm>
#include <limits>

#include "Backend/Pool.h"
#include "Gateway/Tuning.h"
#include "Group/Evidence.h"
#include "Group/RetiredTerms.h"
#include "Group/Sampling.h"

namespace camphorstep::gateway {

namespace {

/// Costs of a server, as the estimated delay of a request there.
constexpr Duration kOtherDataCentreCost = 3ms;
constexpr Duration kOtherRegionCost = 24ms;
constexpr Duration kBusySlotCost = 6ms;
/// Cost of the server that refused or lost the statement last, so that it is
/// chosen only if there is no other.
constexpr Duration kAvoidedCost = 500ms;
constexpr Duration kSilentCost = 300ms;
/// Cost of a server that has no connection left.
constexpr Duration kFullCost = 150ms;
/// Added cost of the primary for reads that a replica can serve too.
constexpr Duration kPrimaryCost = 100ms;
/// A replica is expected to have applied a position that the primary reached
/// longer ago than the replica's lag plus this margin.
constexpr Duration kApplyMargin = 40ms;

Group*
GroupOf(Context& aContext, const Session& aSession)
{
  const Route* const route = RouteOf(aContext, aSession);
  return route == nullptr
           ? nullptr
           : Find(aContext.mState.mGroups, IdOf<GroupId>(route->mGroup));
}

Duration
DistanceCost(const Context& aContext, const Backend& aBackend)
{
  switch (ProximityTo(aContext, aBackend)) {
    case Proximity::SameDataCentre:
      return Duration{ 0 };
    case Proximity::SameRegion:
      return kOtherDataCentreCost;
    case Proximity::OtherRegion:
      break;
  }
  return kOtherRegionCost;
}

bool
IsLikelyFresh(const Context& aContext,
              const Backend& aBackend,
              const RequiredPosition& aRequired)
{
  if (aBackend.mApplied >= aRequired.mPosition) {
    return true;
  }
  if (aContext.mNow < aBackend.mBehindUntil) {
    return false;
  }
  const Duration lag =
    aBackend.mStatus ? aBackend.mStatus->mLag : Duration{ 0 };
  // The lag is the time until a replica has applied all that it had received
  // when it was asked.
  const bool hasAppliedReceived =
    aBackend.mStatus && aBackend.mStatus->mReceived >= aRequired.mPosition &&
    aContext.mNow - aBackend.mStatusAskedAt > lag + kApplyMargin;
  return hasAppliedReceived ||
         aContext.mNow - aRequired.mSince > lag + kApplyMargin;
}

Duration
CostOf(const Context& aContext,
       const Backend& aBackend,
       const ActiveStatement& aActive)
{
  const auto waiting =
    aBackend.mRunning + static_cast<std::uint32_t>(aBackend.mQueue.size());
  const std::uint32_t reported =
    aBackend.mStatus ? aBackend.mStatus->mBusySlots : 0;
  Duration cost = DistanceCost(aContext, aBackend) +
                  kBusySlotCost * std::max(waiting, reported);
  if (aActive.mAvoidedServer == aBackend.mId) {
    cost += kAvoidedCost;
  }
  if (!HasFreeConnection(aContext, aBackend)) {
    cost += kFullCost;
  }
  const Instant lastHeardAt =
    std::max(aBackend.mLastReceivedAt, aBackend.mStatusAskedAt);
  if (aContext.mNow - lastHeardAt > kEvidenceTimeout ||
      aBackend.mLastTimeoutAt > aBackend.mLastReceivedAt) {
    cost += kSilentCost;
  }
  return cost;
}

/// Returns the replica with the lowest cost among those that are expected to
/// have the required position, or nullptr if there is none.
Backend*
ChooseReplica(Context& aContext,
              const Session& aSession,
              const Group& aGroup,
              const RequiredPosition& aRequired)
{
  Backend* best = nullptr;
  Duration bestCost = Duration::max();
  for (const ServerId id : aGroup.mServers) {
    Backend* const backend = Find(aContext.mState.mBackends, id);
    if (backend == nullptr || id == aGroup.mPrimary ||
        !CanTakeNewWork(*backend, aContext.mNow) || !backend->mStatus ||
        !IsLikelyFresh(aContext, *backend, aRequired)) {
      continue;
    }
    const Duration cost = CostOf(aContext, *backend, *aSession.mActive);
    if (cost < bestCost) {
      best = backend;
      bestCost = cost;
    }
  }
  return best;
}

Backend*
ChooseServer(Context& aContext, const Session& aSession, Group& aGroup)
{
  Backend* primary = ConfirmedPrimary(aContext, aGroup);
  if (primary != nullptr && (!CanTakeNewWork(*primary, aContext.mNow) ||
                             IsHeldBack(aContext, aSession, aGroup))) {
    primary = nullptr;
  }
  const auto required = NeedsPrimary(aContext, aSession)
                          ? std::nullopt
                          : RequiredReplicaPosition(aContext, aSession);
  Backend* const replica =
    required ? ChooseReplica(aContext, aSession, aGroup, *required) : nullptr;
  if (primary == nullptr || replica == nullptr) {
    return replica == nullptr ? primary : replica;
  }
  const Duration replicaCost = CostOf(aContext, *replica, *aSession.mActive);
  const Duration primaryCost =
    CostOf(aContext, *primary, *aSession.mActive) + kPrimaryCost;
  return primaryCost < replicaCost ? primary : replica;
}

}

void
RouteStatement(Context& aContext, Session& aSession)
{
  aSession.mActive->mStage = StatementStage::AwaitingServer;
  Group* const group = GroupOf(aContext, aSession);
  if (group == nullptr) {
    return;
  }
  if (Backend* const server = ChooseServer(aContext, aSession, *group)) {
    EnqueueAt(aContext, aSession, *server);
    return;
  }
  group->mHeld.insert(aSession.mId);
  RequestUrgentSample(aContext, *group);
}

void
RerouteQueuedReads(Context& aContext, Group& aGroup)
{
  Backend* const primary = Find(aContext.mState.mBackends, aGroup.mPrimary);
  if (primary == nullptr) {
    return;
  }
  const std::map<QueuePlace, SessionId> queue = primary->mQueue;
  for (const auto& [place, id] : queue) {
    Session* const session = Find(aContext.mState.mSessions, id);
    const bool isQueued = session != nullptr && session->mActive &&
                          session->mActive->mStage == StatementStage::Queued &&
                          session->mActive->mServer == primary->mId;
    if (isQueued && !NeedsPrimary(aContext, *session)) {
      LeaveQueue(aContext, *session);
      RouteStatement(aContext, *session);
    }
  }
}

bool
IsHeldBack(const Context& aContext,
           const Session& aSession,
           const Group& aGroup)
{
  const Transaction& transaction = aSession.mTransaction;
  const bool mayWrite = transaction.mState == TransactionState::Open
                          ? !transaction.mReadOnly
                          : IsWrite(aSession, aSession.mActive->mStatement);
  return mayWrite && IsTermRetired(aContext, aGroup);
}

const Route*
RouteOf(const Context& aContext, const Session& aSession)
{
  const Transaction& transaction = aSession.mTransaction;
  if (transaction.mState != TransactionState::None && transaction.mRoute) {
    return &*transaction.mRoute;
  }
  return Find(aContext.mState.mCatalogue.mRoutes, aSession.mDatabase);
}

bool
IsWrite(const Session& aSession, const Statement& aStatement)
{
  if (aStatement.mKind != StatementKind::Execute) {
    return aStatement.mKind == StatementKind::Write;
  }
  const PreparedStatement* const prepared =
    Find(aSession.mPrepared, aStatement.mName);
  return prepared != nullptr && prepared->mWrites;
}

bool
NeedsPrimary(const Context& aContext, const Session& aSession)
{
  const Route* const route = RouteOf(aContext, aSession);
  if (route == nullptr || route->mFreshness == Freshness::Primary) {
    return true;
  }
  const Transaction& transaction = aSession.mTransaction;
  if (transaction.mState == TransactionState::Open) {
    return !transaction.mReadOnly;
  }
  return IsWrite(aSession, aSession.mActive->mStatement);
}

std::optional<RequiredPosition>
RequiredReplicaPosition(const Context& aContext, const Session& aSession)
{
  const Route* const route = RouteOf(aContext, aSession);
  if (route == nullptr) {
    return std::nullopt;
  }
  const Group* const group =
    Find(aContext.mState.mGroups, IdOf<GroupId>(route->mGroup));
  if (group == nullptr) {
    return std::nullopt;
  }
  // The age counts from the statement's arrival, so that a replica that catches
  // up while the statement waits can serve it.
  const Instant oldest =
    aSession.mActive->mArrivedAt - route->mMaxAge + kAgeMargin;
  const auto it = std::find_if(group->mSamples.begin(),
                               group->mSamples.end(),
                               [oldest](const PositionSample& aSample) {
                                 return aSample.mAskedAt >= oldest;
                               });
  if (it == group->mSamples.end()) {
    return std::nullopt;
  }
  RequiredPosition required{ it->mPosition, it->mAskedAt };
  if (route->mFreshness == Freshness::ReadYourWrites &&
      aSession.mCommitGroup == route->mGroup &&
      aSession.mLastCommit.mPosition > required.mPosition) {
    required = { aSession.mLastCommit.mPosition, aSession.mLastCommit.mSince };
  }
  return required;
}

}
