#include "Backend/Pool.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "Backend/Admission.h"
#include "Backend/LinkChoice.h"
#include "Backend/Preparation.h"
#include "Gateway/Tuning.h"
#include "Session/Authorization.h"
#include "Session/Execution.h"
#include "Session/Routing.h"
#include "Session/Sessions.h"

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

/// Finds the idle connection of the session's account that needs the least
/// preparation, or nullptr.
Link*
BestIdleLink(Context& aContext,
             const Backend& aBackend,
             const Session& aSession)
{
  Link* best = nullptr;
  int lowestCost = 0;
  for (const LinkId id : aBackend.mLinks) {
    Link* const link = Find(aContext.mState.mLinks, id);
    if (link == nullptr || !IsIdle(*link) ||
        link->mAccount != aSession.mAccount) {
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

bool
HasIdleLink(const Context& aContext, const Backend& aBackend)
{
  return std::any_of(
    aBackend.mLinks.begin(), aBackend.mLinks.end(), [&](LinkId aId) {
      const Link* const link = Find(aContext.mState.mLinks, aId);
      return link != nullptr && IsIdle(*link);
    });
}

/// Whether a connection can be opened in an account's name. A session's account
/// may have been removed since its statement was queued.
bool
CanOpenFor(const Context& aContext, AccountId aAccount)
{
  const auto& accounts = aContext.mState.mCatalogue.mAccounts;
  return !aAccount || (accounts && FindAccount(*accounts, aAccount) != nullptr);
}

/// Returns an account's name; empty for connections that belong to none.
std::string
NameOfAccount(const Context& aContext, AccountId aAccount)
{
  const auto& accounts = aContext.mState.mCatalogue.mAccounts;
  const ClientAccount* const account =
    accounts ? FindAccount(*accounts, aAccount) : nullptr;
  return account == nullptr ? "" : account->mName;
}

/// Returns the entry of an account, or nullptr if there is none.
LinkDemand*
FindDemand(std::vector<LinkDemand>& aDemands, AccountId aAccount)
{
  const auto it = std::find_if(
    aDemands.begin(), aDemands.end(), [&](const LinkDemand& aDemand) {
      return aDemand.mAccount == aAccount;
    });
  return it == aDemands.end() ? nullptr : &*it;
}

/// The waiting statements by account, in the order of the queue.
std::vector<LinkDemand>
CountDemands(const Context& aContext, const Backend& aBackend)
{
  if (!aContext.mState.mCatalogue.mAccounts) {
    return { { AccountId{},
               static_cast<std::uint32_t>(aBackend.mQueue.size()),
               0,
               Instant{} } };
  }
  std::vector<LinkDemand> demands;
  for (const auto& [place, id] : aBackend.mQueue) {
    const Session* const session = Find(aContext.mState.mSessions, id);
    if (session == nullptr || !session->mActive) {
      continue;
    }
    LinkDemand* demand = FindDemand(demands, session->mAccount);
    if (demand == nullptr) {
      demands.push_back(
        { session->mAccount, 0, 0, session->mActive->mArrivedAt });
      demand = &demands.back();
    }
    ++demand->mWaiting;
  }
  return demands;
}

/// The idle connections to a server.
std::vector<IdleLink>
FindIdleLinks(const Context& aContext, const Backend& aBackend)
{
  std::vector<IdleLink> idle;
  for (const LinkId id : aBackend.mLinks) {
    const Link* const link = Find(aContext.mState.mLinks, id);
    if (link != nullptr && IsIdle(*link)) {
      idle.push_back({ id, link->mAccount, link->mIdleSince });
    }
  }
  return idle;
}

/// Subtracts the connections that accounts have at hand, and notes those that
/// are being opened for them.
void
NoteConnections(const Context& aContext,
                const Backend& aBackend,
                std::vector<LinkDemand>& aDemands,
                std::vector<IdleLink>& aIdleLinks)
{
  for (IdleLink& link : aIdleLinks) {
    LinkDemand* const demand = FindDemand(aDemands, link.mAccount);
    link.mIsWanted = demand != nullptr && demand->mWaiting > 0;
    if (link.mIsWanted) {
      --demand->mWaiting;
    }
  }
  for (const LinkId id : aBackend.mLinks) {
    const Link* const link = Find(aContext.mState.mLinks, id);
    LinkDemand* const demand =
      link == nullptr ? nullptr : FindDemand(aDemands, link->mAccount);
    if (demand != nullptr && !link->mReady) {
      ++demand->mOpening;
    }
  }
  std::erase_if(aDemands, [&](const LinkDemand& aDemand) {
    return !CanOpenFor(aContext, aDemand.mAccount);
  });
}

/// Whether a connection can be opened without closing another one.
bool
HasRoom(const Context& aContext, const Backend& aBackend)
{
  return aBackend.mLinks.empty() ||
         (aBackend.mLinks.size() < LinkLimit(aContext, aBackend) &&
          !IsFull(aContext, aBackend));
}

/// Makes room for one more connection, by closing an idle one of another
/// account if the server has hardly any left. Returns false if there is none.
bool
MakeRoom(Context& aContext,
         Backend& aBackend,
         const LinkDemand& aDemand,
         std::vector<IdleLink>& aIdleLinks)
{
  const bool hasRoom = HasRoom(aContext, aBackend);
  if (hasRoom && UsedPercent(aContext, aBackend) < kVeryScarcePercent) {
    return true;
  }
  const LinkId link = ChooseLinkToClose(aIdleLinks, aDemand, aContext.mNow);
  if (!link) {
    return hasRoom;
  }
  ++aContext.mState.mCounters.mLinksClosedForOthers;
  DropLink(aContext, link);
  std::erase_if(aIdleLinks,
                [link](const IdleLink& aIdle) { return aIdle.mLink == link; });
  return true;
}

/// Opens connections for statements that have none of their account.
void
OpenQueuedLinks(Context& aContext, Backend& aBackend)
{
  if (aBackend.mOpenAfter > aContext.mNow) {
    aContext.mState.mTimers.ArmSooner(
      TimerKind::Pool, aBackend.mId.mValue, aBackend.mOpenAfter);
    return;
  }
  if (aBackend.mOpening >= kMaxOpening) {
    return;
  }
  std::vector<IdleLink> idle = FindIdleLinks(aContext, aBackend);
  if (idle.empty() && !HasRoom(aContext, aBackend)) {
    return;
  }
  std::vector<LinkDemand> demands = CountDemands(aContext, aBackend);
  NoteConnections(aContext, aBackend, demands, idle);
  while (aBackend.mOpening < kMaxOpening) {
    LinkDemand* const next = NextOpening(demands);
    if (next == nullptr || !MakeRoom(aContext, aBackend, *next, idle)) {
      return;
    }
    OpenLinkTo(aContext, aBackend, false, next->mAccount);
    ++next->mOpening;
  }
}

/// Whether a connection is to be opened for a statement before others start,
/// which would take the idle connection that can be closed for it.
bool
IsOpeningDue(const Context& aContext,
             const Backend& aBackend,
             const Session& aSession)
{
  const bool canOpen =
    aBackend.mOpenAfter <= aContext.mNow && aBackend.mOpening < kMaxOpening;
  const bool isOpening = std::any_of(
    aBackend.mLinks.begin(), aBackend.mLinks.end(), [&](LinkId aId) {
      const Link* const link = Find(aContext.mState.mLinks, aId);
      return link != nullptr && !link->mReady &&
             link->mAccount == aSession.mAccount;
    });
  return canOpen && !isOpening &&
         EndsOvertaking(aSession.mActive->mArrivedAt, aContext.mNow);
}

/// What became of an attempt to start one of the statements that wait.
enum class StartAttempt : std::uint8_t
{
  /// One was started, or left the queue.
  Made,
  /// The server is given no more for the moment, or nothing waits.
  None,
  /// At least one has no connection of its account, and none can start.
  LinkMissing,
};

/// Starts the first statement in the queue whose account has an idle
/// connection.
StartAttempt
StartNextStatement(Context& aContext, Backend& aBackend)
{
  StartAttempt attempt = StartAttempt::None;
  std::vector<AccountId> withoutLink;
  for (auto it = aBackend.mQueue.begin(); it != aBackend.mQueue.end(); ++it) {
    Session* const session = Find(aContext.mState.mSessions, it->second);
    if (session == nullptr || !session->mActive) {
      aBackend.mQueue.erase(it);
      return StartAttempt::Made;
    }
    if (std::find(withoutLink.begin(), withoutLink.end(), session->mAccount) !=
        withoutLink.end()) {
      continue;
    }
    if (aBackend.mRunning >=
        RunningLimit(aContext, aBackend, it->first.mUrgency)) {
      return attempt;
    }
    if (Link* const link = BestIdleLink(aContext, aBackend, *session)) {
      aBackend.mQueue.erase(it);
      RecordStart(aBackend.mPace, aContext.mNow, !aBackend.mQueue.empty());
      StartOnLink(aContext, *session, *link);
      return StartAttempt::Made;
    }
    if (!CanOpenFor(aContext, session->mAccount)) {
      const SessionId id = session->mId;
      if (!AuthorizeActive(aContext, *session)) {
        ContinueSession(aContext, id);
      }
      return StartAttempt::Made;
    }
    attempt = StartAttempt::LinkMissing;
    if (!HasIdleLink(aContext, aBackend) ||
        IsOpeningDue(aContext, aBackend, *session)) {
      return attempt;
    }
    withoutLink.push_back(session->mAccount);
  }
  return attempt;
}

/// Whether the server owes an answer to something that no session waits for,
/// such as a rollback, for too long.
bool
IsCleanupOverdue(const Link& aLink, Instant aNow)
{
  return aLink.mReady && !aLink.mSession && !aLink.mExchanges.empty() &&
         aNow - aLink.mExchanges.front().mSentAt >= kCleanupTimeout;
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
  return !IsFull(aContext, aBackend) || HasIdleLink(aContext, aBackend);
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
  StartAttempt attempt = StartAttempt::Made;
  while (attempt == StartAttempt::Made) {
    attempt = StartNextStatement(aContext, aBackend);
  }
  if (attempt == StartAttempt::LinkMissing) {
    OpenQueuedLinks(aContext, aBackend);
  }
}

void
RerouteQueue(Context& aContext, Backend& aBackend)
{
  const std::map<QueuePlace, SessionId> queue =
    std::exchange(aBackend.mQueue, {});
  for (const auto& [place, id] : queue) {
    if (Session* const session = Find(aContext.mState.mSessions, id)) {
      RouteStatement(aContext, *session);
    }
  }
}

LinkId
OpenLinkTo(Context& aContext,
           Backend& aBackend,
           bool aControl,
           AccountId aAccount)
{
  Link link;
  link.mId = NewId<LinkId>(aContext);
  link.mServer = aBackend.mId;
  link.mControl = aControl;
  link.mAccount = aAccount;
  link.mOpenedAt = aContext.mNow;
  if (aControl) {
    aBackend.mControlLink = link.mId;
    ++aContext.mState.mCounters.mControlLinksOpened;
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
                 aBackend.mEntry.mName,
                 NameOfAccount(aContext, aAccount) });
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
  if (KeepsTooMuch(aContext, aLink)) {
    ResetLink(aContext, aLink);
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
    if (backend->mLateControlLink == aLink) {
      backend->mLateControlLink = LinkId{};
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
    }
    const bool isOverdue = IsCleanupOverdue(*link, aContext.mNow);
    if (isOverdue) {
      Log(aContext,
          LogSeverity::Warning,
          "backend server did not clean a connection up in time; closing it",
          { { "server", aBackend.mEntry.mName } });
    }
    if (hasTimedOut || isIdle || isOverdue) {
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
