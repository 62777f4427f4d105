#include "Backend/Pool.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "Backend/AccountTurns.h"
#include "Backend/Admission.h"
#include "Backend/OpeningPace.h"
#include "Backend/Preparation.h"
#include "Gateway/Tuning.h"
#include "Session/Execution.h"
#include "Session/Routing.h"

namespace camphorstep::gateway {

namespace {

/// With more than this many statements for each slot a server is crowded, and
/// only the most urgent work goes on undiminished.
constexpr std::uint32_t kCrowdedStatementsPerSlot = 2;

/// How many statements of this host may run at a server when one more of a
/// given urgency is to start. A server in another region is kept busy by
/// twice as many, since as many again are on their way.
std::uint32_t
RunningLimit(const Context& aContext,
             const Backend& aBackend,
             std::uint32_t aUrgency)
{
  const std::uint32_t slots = std::max(1U, aBackend.mEntry.mSlots);
  const std::uint32_t most =
    ProximityTo(aContext, aBackend) == Proximity::OtherRegion ? 2 * slots
                                                              : slots;
  // What all hosts have brought to the server, waiting or running there.
  const std::uint32_t busy =
    aBackend.mStatus ? aBackend.mStatus->mBusySlots : 0;
  switch (aUrgency) {
    case 0:
      return 2 * most;
    case 1:
      return busy > kCrowdedStatementsPerSlot * slots ? std::max(1U, most / 2)
                                                      : most;
    default:
      return busy > kCrowdedStatementsPerSlot * slots ? 1
                                                      : std::max(1U, most / 2);
  }
}

std::uint32_t
LinkLimit(const Context& aContext, const Backend& aBackend)
{
  const Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  const std::uint32_t most =
    group == nullptr ? 0 : group->mRules.mMaxConnections;
  // Hosts differ in the work that reaches them, so each may have half.
  return most <= kSpareConnections ? 1 : (most - kSpareConnections + 1) / 2;
}

/// The percentage of a server's connections that were used when it last said
/// so.
std::uint32_t
UsedPercent(const Context& aContext, const Backend& aBackend)
{
  const Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  if (group == nullptr || !aBackend.mStatus ||
      group->mRules.mMaxConnections == 0) {
    return 0;
  }
  return 100 * aBackend.mStatus->mConnections / group->mRules.mMaxConnections;
}

/// Whether the server is known to hold as many connections as it takes.
bool
IsFull(const Context& aContext, const Backend& aBackend)
{
  const Group* const group = Find(aContext.mState.mGroups, aBackend.mGroup);
  return aContext.mNow < aBackend.mFullUntil ||
         (group != nullptr && aBackend.mStatus &&
          aBackend.mStatus->mConnections + 1 >= group->mRules.mMaxConnections);
}

/// How long a connection to the server may be idle before it is closed.
Duration
IdleLinkTimeout(const Context& aContext, const Backend& aBackend)
{
  const std::uint32_t used = UsedPercent(aContext, aBackend);
  if (used >= kVeryScarcePercent || aContext.mNow < aBackend.mFullUntil) {
    return kVeryScarceIdleLinkTimeout;
  }
  return used >= kScarcePercent ? kScarceIdleLinkTimeout : kIdleLinkTimeout;
}

bool
IsIdle(const Link& aLink)
{
  return aLink.mReady && !aLink.mSession && aLink.mExchanges.empty();
}

/// Finds the idle connection that needs the least preparation, or nullptr.
Link*
BestIdleLink(Context& aContext,
             const Backend& aBackend,
             const Session& aSession)
{
  Link* best = nullptr;
  int lowestCost = 0;
  for (const LinkId id : aBackend.mLinks) {
    Link* const link = Find(aContext.mState.mLinks, id);
    if (link == nullptr || !IsIdle(*link)) {
      continue;
    }
    const int cost = PreparationCost(*link, aSession);
    if (best == nullptr || cost < lowestCost) {
      best = link;
      lowestCost = cost;
    }
  }
  return best;
}

void
OpenQueuedLinks(Context& aContext, Backend& aBackend)
{
  if (aBackend.mOpenAfter > aContext.mNow) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::Pool, aBackend.mId.mValue, aBackend.mOpenAfter);
    return;
  }
  const std::uint32_t limit = LinkLimit(aContext, aBackend);
  while (aBackend.mOpening < aBackend.mOpeningPace.mWindow &&
         aBackend.mOpening < aBackend.mQueue.size() &&
         aBackend.mLinks.size() < limit &&
         (aBackend.mLinks.empty() || !IsFull(aContext, aBackend))) {
    OpenLinkTo(aContext, aBackend, false);
  }
}

/// Gives a statement its turn in a server's queue. One that returns to the
/// queue keeps the turn that it had there.
void
AssignTurn(Session& aSession, Backend& aBackend)
{
  ActiveStatement& active = *aSession.mActive;
  if (active.mTurnServer == aBackend.mId) {
    return;
  }
  active.mTurnServer = aBackend.mId;
  active.mPlace.mTurn =
    TakeTurn(aBackend.mTurns[active.mPlace.mUrgency], aSession.mAccount);
}

/// Removes the first statement from a server's queue to start it.
void
TakeFirst(Backend& aBackend)
{
  const QueuePlace place = aBackend.mQueue.begin()->first;
  aBackend.mQueue.erase(aBackend.mQueue.begin());
  AccountTurns& turns = aBackend.mTurns[place.mUrgency];
  StartTurn(turns, place.mTurn);
  const auto next = aBackend.mQueue.begin();
  if (next == aBackend.mQueue.end() || next->first.mUrgency != place.mUrgency) {
    EndTurns(turns);
  }
}

bool
CountsAsRunning(ExchangeKind aKind)
{
  return aKind == ExchangeKind::Statement || aKind == ExchangeKind::Begin;
}

}

bool
HasFreeConnection(const Context& aContext, const Backend& aBackend)
{
  return !IsFull(aContext, aBackend) || HasIdleConnection(aContext, aBackend);
}

bool
HasIdleConnection(const Context& aContext, const Backend& aBackend)
{
  return std::any_of(
    aBackend.mLinks.begin(), aBackend.mLinks.end(), [&](LinkId aId) {
      const Link* const link = Find(aContext.mState.mLinks, aId);
      return link != nullptr && IsIdle(*link);
    });
}

Proximity
ProximityTo(const Context& aContext, const Backend& aBackend)
{
  const Identity& self = aContext.mState.mSelf;
  const std::string& ownDataCentre = self.mEntry.mDataCentre;
  const std::string& serverDataCentre = aBackend.mEntry.mDataCentre;
  if (ownDataCentre == serverDataCentre) {
    return Proximity::SameDataCentre;
  }
  const auto* const ownRegion = Find(self.mRegions, ownDataCentre);
  const auto* const serverRegion = Find(self.mRegions, serverDataCentre);
  return ownRegion != nullptr && serverRegion != nullptr &&
             *ownRegion == *serverRegion
           ? Proximity::SameRegion
           : Proximity::OtherRegion;
}

bool
CanTakeNewWork(const Backend& aBackend, Instant aNow)
{
  if (!aBackend.mLeavingSince) {
    return true;
  }
  const bool leads = aBackend.mStatus && aBackend.mStatus->mPrimary;
  return leads && aNow - *aBackend.mLeavingSince < kLeavingPrimaryTimeout;
}

void
EnqueueAt(Context& aContext, Session& aSession, Backend& aBackend)
{
  ActiveStatement& active = *aSession.mActive;
  active.mStage = StatementStage::Queued;
  active.mServer = aBackend.mId;
  active.mQueueDeadline =
    LatestStart(aBackend.mPace, active.mArrivedAt, active.mDeadline);
  AssignTurn(aSession, aBackend);
  aBackend.mQueue.emplace(active.mPlace, aSession.mId);
  if (active.mAttempts == 0) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::Statement, aSession.mId.mValue, active.mQueueDeadline);
  }
  DispatchQueue(aContext, aBackend);
}

void
LeaveQueue(Context& aContext, Session& aSession)
{
  const ActiveStatement& active = *aSession.mActive;
  if (active.mStage != StatementStage::Queued) {
    return;
  }
  if (Backend* const backend =
        Find(aContext.mState.mBackends, active.mServer)) {
    backend->mQueue.erase(active.mPlace);
    ReturnTurn(backend->mTurns[active.mPlace.mUrgency],
               aSession.mAccount,
               active.mPlace.mTurn);
  }
}

bool
IsWaitHopeless(const Context& aContext, const Session& aSession)
{
  const ActiveStatement& active = *aSession.mActive;
  const Backend* const backend =
    Find(aContext.mState.mBackends, active.mServer);
  if (active.mStage != StatementStage::Queued || backend == nullptr) {
    return false;
  }
  const auto ahead =
    std::distance(backend->mQueue.begin(), backend->mQueue.find(active.mPlace));
  return IsWaitHopeless(backend->mPace,
                        static_cast<std::size_t>(ahead),
                        aContext.mNow,
                        active.mQueueDeadline);
}

void
DispatchQueue(Context& aContext, Backend& aBackend)
{
  while (!aBackend.mQueue.empty()) {
    const auto it = aBackend.mQueue.begin();
    if (aBackend.mRunning >=
        RunningLimit(aContext, aBackend, it->first.mUrgency)) {
      return;
    }
    Session* const session = Find(aContext.mState.mSessions, it->second);
    if (session == nullptr || !session->mActive) {
      aBackend.mQueue.erase(it);
      continue;
    }
    Link* const link = BestIdleLink(aContext, aBackend, *session);
    if (link == nullptr) {
      OpenQueuedLinks(aContext, aBackend);
      return;
    }
    TakeFirst(aBackend);
    RecordStart(aBackend.mPace, aContext.mNow, !aBackend.mQueue.empty());
    StartOnLink(aContext, *session, *link);
  }
}

void
RerouteQueue(Context& aContext, Backend& aBackend)
{
  const std::map<QueuePlace, SessionId> queue =
    std::exchange(aBackend.mQueue, {});
  for (auto& [urgency, turns] : aBackend.mTurns) {
    EndTurns(turns);
  }
  for (const auto& [place, id] : queue) {
    if (Session* const session = Find(aContext.mState.mSessions, id)) {
      RouteStatement(aContext, *session);
    }
  }
}

LinkId
OpenLinkTo(Context& aContext, Backend& aBackend, bool aControl)
{
  Link link;
  link.mId = NewId<LinkId>(aContext);
  link.mServer = aBackend.mId;
  link.mControl = aControl;
  link.mOpenedAt = aContext.mNow;
  if (aControl) {
    aBackend.mControlLink = link.mId;
  } else {
    aBackend.mLinks.push_back(link.mId);
    ++aBackend.mOpening;
    aContext.mState.mTimers.ArmSooner(
      TimerKind::Pool, aBackend.mId.mValue, aContext.mNow + kOpenTimeout);
  }
  ++aContext.mState.mCounters.mLinksOpened;
  Emit(aContext,
       OpenLink{ link.mId,
                 aBackend.mEntry.mAddress,
                 aBackend.mEntry.mGroup,
                 aBackend.mEntry.mName });
  const LinkId id = link.mId;
  aContext.mState.mLinks.emplace(id, std::move(link));
  return id;
}

void
ReleaseLink(Context& aContext, Link& aLink)
{
  aLink.mSession = SessionId{};
  aLink.mIdleSince = aContext.mNow;
  Backend* const backend = Find(aContext.mState.mBackends, aLink.mServer);
  if (backend == nullptr || !CanTakeNewWork(*backend, aContext.mNow)) {
    DropLink(aContext, aLink.mId);
    return;
  }
  aContext.mState.mTimers.ArmSooner(TimerKind::Pool,
                                    backend->mId.mValue,
                                    aContext.mNow +
                                      IdleLinkTimeout(aContext, *backend));
  DispatchQueue(aContext, *backend);
}

void
ForgetLink(Context& aContext, LinkId aLink)
{
  const Link* const link = Find(aContext.mState.mLinks, aLink);
  if (link == nullptr) {
    return;
  }
  if (Backend* const backend = Find(aContext.mState.mBackends, link->mServer)) {
    if (backend->mControlLink == aLink) {
      backend->mControlLink = LinkId{};
    }
    if (std::erase(backend->mLinks, aLink) > 0 && !link->mReady) {
      --backend->mOpening;
    }
    for (const Exchange& exchange : link->mExchanges) {
      backend->mRunning -= CountsAsRunning(exchange.mKind) ? 1 : 0;
    }
  }
  aContext.mState.mLinks.erase(aLink);
}

void
DropLink(Context& aContext, LinkId aLink)
{
  Emit(aContext, CloseLink{ aLink });
  ForgetLink(aContext, aLink);
}

void
SendRequest(Context& aContext,
            Link& aLink,
            BackendRequest aRequest,
            ExchangeKind aKind)
{
  aLink.mExchanges.push_back({ aKind, aContext.mNow });
  Backend* const backend = Find(aContext.mState.mBackends, aLink.mServer);
  if (backend != nullptr && CountsAsRunning(aKind)) {
    ++backend->mRunning;
  }
  Emit(aContext, SendOnLink{ aLink.mId, std::move(aRequest) });
}

void
MaintainPool(Context& aContext, Backend& aBackend)
{
  const std::vector<LinkId> links = aBackend.mLinks;
  for (const LinkId id : links) {
    const Link* const link = Find(aContext.mState.mLinks, id);
    if (link == nullptr) {
      continue;
    }
    const bool hasTimedOut =
      !link->mReady && aContext.mNow - link->mOpenedAt >= kOpenTimeout;
    const bool isIdle = IsIdle(*link) && aContext.mNow - link->mIdleSince >=
                                           IdleLinkTimeout(aContext, aBackend);
    if (hasTimedOut) {
      Log(aContext,
          LogSeverity::Warning,
          "connection to a backend server was not ready in time",
          { { "server", aBackend.mEntry.mName } });
      aBackend.mOpenAfter = aContext.mNow + kOpenRetryDelay;
      aBackend.mLastTimeoutAt = aContext.mNow;
      RecordOpeningFailed(aBackend.mOpeningPace);
    }
    if (hasTimedOut || isIdle) {
      DropLink(aContext, id);
    }
  }
  if (!aBackend.mLinks.empty()) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::Pool, aBackend.mId.mValue, aContext.mNow + kOpenTimeout);
  }
  DispatchQueue(aContext, aBackend);
}

}
